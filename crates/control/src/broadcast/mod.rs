//! Reports of relays up to the owners of jobs, and updates of owners down to all relays, by way of the voters.
//! `docs/design/broadcast.md` says what was weighed and why it holds.

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
