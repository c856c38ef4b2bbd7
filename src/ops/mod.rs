//! What staff see and say: the figures, backends out by hand, the second address.

pub mod admin;
pub mod manual_ejections;
pub mod metrics;
pub mod traffic;
