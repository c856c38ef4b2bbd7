//! What the processes of a fleet exchange: messages, their encoding, and the frames that authenticate them.

mod encoding;
pub mod mac;
pub mod message;
mod operator;
mod renewal;
mod updates;

pub use crate::relay;
pub use encoding::{decode, encode};
#[cfg(feature = "injected-bugs")]
pub use encoding::{encode_later, LATER};
