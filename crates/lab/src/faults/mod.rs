//! The fault laboratory: many relays, faults between them, books of what each did, and checkers of the books.

pub mod books;
pub mod virtual_fleet;
