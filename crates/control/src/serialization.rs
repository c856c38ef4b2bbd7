//! Helpers for serialized types.

/// Whether a field has its default value and can be omitted. Older builds also read a missing field
/// as its default.
pub(crate) fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
