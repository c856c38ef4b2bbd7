//! Jobs of the fleet: which relay owns each, how stale commands of former owners are fenced, and what each kind does.

pub mod assignment;
pub mod fence;
pub mod load_watch;
pub mod moves;
pub mod owner;
pub mod worker;
pub mod zones;
