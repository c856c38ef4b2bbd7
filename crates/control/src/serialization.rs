//! Helpers for serialized types.

/// Whether a field has its default value and may be left out. Older builds read a missing field so, too.
pub(crate) fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
