//! The sub-commands: what is asked for on the command line, and the order in which the parts start.

pub mod cells;
pub mod check;
pub mod fleet;
pub mod jobs;
pub mod policy;
pub mod serve;
mod voters;

/// What ends a sub-command early.
pub type Failure = Box<dyn std::error::Error>;

/// The value of a variable of the environment.
pub fn env(key: &str) -> Option<String> {
    std::env::var(key).ok()
}
