//! The spread of reports and updates.

pub mod allowance;
pub mod message;
pub mod quantise;
pub mod stream;
pub mod table;
