//! The log: one line at a time, on standard error.

use std::io::{self, Write};

/// Writes one line to the log. A log that cannot be written must not end the relay.
pub fn log(line: &str) {
    let _ = io::stderr().lock().write_all(format!("{line}\n").as_bytes());
}
