//! What processes say to each other: messages, their encoding, and the frames that authenticate them.

mod encoding;
pub mod mac;
pub mod message;
pub mod relay;

pub use encoding::{decode, encode};
#[cfg(feature = "injected-bugs")]
pub use encoding::{encode_later, LATER};
