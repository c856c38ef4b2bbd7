//! Encoding of messages, log entries and stored state: CBOR with the names of fields and variants.
//!
//! The relays of a fleet are upgraded one after the other, so builds of two versions exchange
//! messages. A build ignores unknown fields and reads missing ones as their default. An unknown
//! variant, such as a log entry of a later build, fails to decode, and the caller handles that.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Encodes a value.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory cannot fail, and all types of this crate can be serialized.
    ciborium::into_writer(value, &mut bytes).unwrap_or_else(|error| unreachable!("{error}"));
    bytes
}

/// Decodes a value. Returns `None` if the bytes do not encode one.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}

/// Whether this process encodes messages with [`encode_as_later_build`], for tests of fleets with
/// two builds.
#[cfg(feature = "injected-bugs")]
pub static ENCODE_AS_LATER_BUILD: std::sync::atomic::AtomicBool =
    std::sync::atomic::AtomicBool::new(false);

/// Encodes a value with an additional field that no build knows, as a later build might.
#[cfg(feature = "injected-bugs")]
pub fn encode_as_later_build(value: &impl Serialize) -> Vec<u8> {
    use ciborium::Value;
    let mut value = Value::serialized(value).unwrap_or_else(|error| unreachable!("{error}"));
    if let Value::Map(variant) = &mut value {
        if let Some((_, Value::Map(fields))) = variant.first_mut() {
            fields.push((
                Value::Text("of_a_later_build".into()),
                Value::Array(vec![Value::Bool(true)]),
            ));
        }
    }
    encode(&value)
}

#[cfg(test)]
mod tests;
