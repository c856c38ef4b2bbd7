//! Small helpers round the standard library's threads and sockets.

use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;

/// Stack of the threads that serve connections.
pub const STACK: usize = 128 * 1024;

/// Starts a thread with a small stack.
pub fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    spawn_with(STACK, name, work)
}

/// Starts a thread with that much stack.
pub fn spawn_with(stack: usize, name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.into()).stack_size(stack).spawn(work).map(drop)
}

/// Whether a read or write only ran into its time limit.
pub fn timed_out(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// Takes a lock, also one that a thread which failed has left behind: what it guards is changed in one step.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
