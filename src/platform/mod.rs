//! What the platform tells and holds: the list of backends, probes of their load, and the process that takes
//! over.

pub mod directory;
pub mod discovery;
pub mod discovery_response;
pub mod health_check;
pub mod ledger;
pub mod takeover;
