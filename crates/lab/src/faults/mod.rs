//! The fault laboratory: many relays, faults between them, books of what each did, and checkers of the books.

pub mod books;
pub mod figures;
pub mod harness;
pub mod plot;
pub mod proxy;
pub mod scenario;
pub mod virtual_fleet;
