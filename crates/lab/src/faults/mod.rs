//! The fault laboratory: many relays, faults between them, history of what each did, and checkers of the history.

pub mod figures;
pub mod harness;
pub mod history;
pub mod plot;
pub mod proxy;
pub mod scenario;
pub mod virtual_fleet;
