//! What the platform tells and holds: the list of backends, probes of their load, and the process that takes
//! over.

pub mod answer;
pub mod directory;
pub mod discovery;
pub mod ledger;
pub mod probe;
pub mod takeover;
