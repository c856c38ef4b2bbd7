//! How messages, entries and what stands on disks are written: CBOR, with the names of their parts.
//!
//! Relays of a fleet are upgraded one after the other, so builds of two ages talk. A part that an older build does not
//! know it leaves out; one that an older build did not write has its empty value. What may not be left out (an entry of
//! the log, a state of a later build) is not decoded at all, and whoever reads it says so.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// As bytes.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Into memory, and without a type of ours that would refuse: this cannot fail.
    ciborium::into_writer(value, &mut bytes).unwrap_or_else(|e| unreachable!("{e}"));
    bytes
}

/// From bytes; none where they are nothing of the kind.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}

/// Whether this process writes messages as a later build would: for tests of fleets of two builds.
#[cfg(feature = "injected-bugs")]
pub static LATER: std::sync::atomic::AtomicBool = std::sync::atomic::AtomicBool::new(false);

/// The same with a part that no build knows.
#[cfg(feature = "injected-bugs")]
pub fn encode_later(value: &impl Serialize) -> Vec<u8> {
    use ciborium::Value;
    let mut value = Value::serialized(value).unwrap_or_else(|e| unreachable!("{e}"));
    if let Value::Map(variant) = &mut value {
        if let Some((_, Value::Map(parts))) = variant.first_mut() {
            parts.push((
                Value::Text("of_a_later_build".into()),
                Value::Array(vec![Value::Bool(true)]),
            ));
        }
    }
    encode(&value)
}

#[cfg(test)]
mod tests;
