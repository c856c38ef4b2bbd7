//! Leases on the policy in force, on the relay's side. The leader's side is part of the voter.

pub mod client;
