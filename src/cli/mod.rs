//! The sub-commands of the command line, one file or folder each. `serve` also defines the order in
//! which the components of the relay start.

pub mod cells;
pub mod check;
pub mod fleet;
mod operator_client;
mod output;
pub mod policy;
pub mod serve;

/// Error of a sub-command: its text is printed, and the process exits with a failure code.
pub type Failure = Box<dyn std::error::Error>;

/// The value of an environment variable; `None` if it is unset or not Unicode.
pub fn env(key: &str) -> Option<String> {
    std::env::var(key).ok()
}
