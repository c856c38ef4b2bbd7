//! Jobs of the fleet: who owns them, what fences their owners' commands, and what each kind does.

pub mod assignment;
pub mod fence;
pub mod load_watch;
pub mod moves;
pub mod owner;
pub mod worker;
pub mod zones;
