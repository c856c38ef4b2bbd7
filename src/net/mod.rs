//! The relay on sockets. It chooses no server, retries nothing by itself and judges no load: what to
//! do comes from [`crate::decide`].

pub mod admin;
pub mod admit;
pub mod backend;
pub mod bans;
pub mod client;
pub mod discovery;
pub mod forward;
pub mod greet;
pub mod line;
pub mod listen;
pub mod metrics;
pub mod note;
pub mod probe;
pub mod takeover;

use std::io::{self, Write};
use std::thread;

/// Stack of the threads that serve connections: there are two for each.
const STACK: usize = 128 * 1024;

/// Writes one line to the log. A log that cannot be written must not end the relay.
pub fn log(line: &str) {
    let _ = io::stderr().lock().write_all(format!("{line}\n").as_bytes());
}

/// Starts a thread with a small stack.
pub fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.into()).stack_size(STACK).spawn(work).map(drop)
}

/// Whether a read or write only ran into its time limit.
pub(crate) fn timed_out(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
