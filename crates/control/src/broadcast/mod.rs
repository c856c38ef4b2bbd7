//! Reports of relays up to the owners of jobs, and updates of owners down to all relays, by way of the voters.

pub mod allowance;
pub mod broadcaster;
pub mod message;
pub mod quantise;
pub mod stream;
pub mod subscriber;
pub mod table;
