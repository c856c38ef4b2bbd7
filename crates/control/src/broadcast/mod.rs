//! Reports of relays up to the owners of jobs, and updates of owners down to all relays, by way of the voters.

pub mod broadcaster;
pub mod subscriber;
