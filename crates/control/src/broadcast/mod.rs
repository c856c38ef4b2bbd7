//! Broadcast: reports of relays to the owners of jobs, and updates of owners to all relays. The
//! voters forward both. `docs/design/broadcast.md` describes the design and its reasons.

pub mod allowance;
pub mod broadcaster;
pub mod channel;
mod feed;
pub mod message;
pub mod quantise;
pub mod stream;
pub mod subscriber;
mod subscription;
pub mod table;
mod token_bucket;
