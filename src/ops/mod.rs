//! Operations: the admin address, manual ejections of backends, and metrics.

pub mod admin;
pub mod manual_ejections;
pub mod metrics;
pub mod traffic;
