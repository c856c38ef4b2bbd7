//! Wire protocol between the processes of a fleet: messages, their encoding, and authenticated
//! frames.

mod encoding;
pub mod frame;
pub mod message;
mod operator;
mod renewal;
mod updates;

pub use crate::relay;
pub use encoding::{decode, encode};
#[cfg(feature = "injected-bugs")]
pub use encoding::{encode_as_later_build, ENCODE_AS_LATER_BUILD};
