//! The encoding of messages, log entries and stored state: CBOR, with the names of fields and variants.
//!
//! Relays of a fleet are upgraded one after the other, so builds of two versions exchange messages. A build ignores fields
//! that it does not know, and reads missing ones as their default. An unknown variant, such as a log entry of a later build,
//! does not decode at all; the caller handles that.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// The encoded value.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Into memory, of types that all serialize: this cannot fail.
    ciborium::into_writer(value, &mut bytes).unwrap_or_else(|error| unreachable!("{error}"));
    bytes
}

/// The decoded value; none where the bytes do not encode one.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}

/// Whether this process encodes messages as a later build would, see [`encode_as_later_build`]: for tests of fleets of two builds.
#[cfg(feature = "injected-bugs")]
pub static ENCODE_AS_LATER_BUILD: std::sync::atomic::AtomicBool =
    std::sync::atomic::AtomicBool::new(false);

/// The encoded value with a field that no build knows.
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
