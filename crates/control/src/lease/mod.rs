//! Leases on the policy in force: the relay's side. The leader's side is in [`crate::log::voter`].

pub mod client;
