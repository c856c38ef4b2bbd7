//! The sub-commands of the command line, one a file or folder; `serve` also fixes the order in which the relay starts.

pub mod cells;
pub mod check;
pub mod fleet;
mod operator_client;
mod output;
pub mod policy;
pub mod serve;

/// Why a sub-command failed: its text is printed, and the exit code is that of a failure.
pub type Failure = Box<dyn std::error::Error>;

/// The value of an environment variable; none where it is not set or not Unicode.
pub fn env(key: &str) -> Option<String> {
    std::env::var(key).ok()
}
