//! Jobs of the fleet: their assignment to relays, fencing of former owners, and the work of each
//! kind.

pub mod assignment;
pub mod fence;
pub mod load_watch;
pub mod moves;
pub mod owner;
pub mod worker;
pub mod zones;
