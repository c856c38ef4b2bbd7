//! Leases on the policy in force. The leader's side is part of the voter; this is the relay's.

pub mod client;
