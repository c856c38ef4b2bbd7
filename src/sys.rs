//! Small helpers round the standard library's threads and sockets.

use crate::log::log;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Stack of the threads that do one small thing.
pub const SMALL_STACK_BYTES: usize = 128 * 1024;
/// How long a missing thread is asked for again at the start. The platform sends clients when all relays are
/// ready, or after 30 s: many relays that start at once on one machine wait for each other's threads.
const START: Duration = Duration::from_secs(10);
/// Wait before a thread is asked for again.
const AGAIN: Duration = Duration::from_millis(50);

/// Something to be called when another thread has work for the one that waits.
pub type Wake = Arc<dyn Fn() + Send + Sync>;

/// What a thread does.
type Work = Box<dyn FnOnce() + Send>;

/// Starts a thread with a small stack. Only at the start of the process: nothing that comes later may hang on a
/// thread that is not there.
pub fn spawn(name: &str, stack: usize, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let os = |work: Work| {
        thread::Builder::new()
            .name(name.into())
            .stack_size(stack)
            .spawn(work)
            .map(drop)
    };
    spawn_by(os, START, name, Box::new(work))
}

/// Starts a thread by that call, which may say that there is none just now: it is asked again for so long.
fn spawn_by(
    os: impl Fn(Work) -> io::Result<()>,
    limit: Duration,
    name: &str,
    work: Work,
) -> io::Result<()> {
    // A call that fails drops what it was given: the work itself stays here until one has succeeded.
    let work = Arc::new(Mutex::new(Some(work)));
    let end = Instant::now() + limit;
    let mut said = false;
    loop {
        let shared = work.clone();
        let run = move || {
            let work = lock(&shared).take();
            if let Some(work) = work {
                work();
            }
        };
        let Err(e) = os(Box::new(run)) else {
            return Ok(());
        };
        if Instant::now() >= end {
            let what = format!(
                "no thread for '{name}' within {} s: {e}; the machine or this user has too many threads \
                 (pid_max, ulimit -u)",
                limit.as_secs()
            );
            return Err(io::Error::new(e.kind(), what));
        }
        if !std::mem::replace(&mut said, true) {
            log(&format!(
                "start: no thread for '{name}': {e}; trying again for {} s",
                limit.as_secs()
            ));
        }
        thread::sleep(AGAIN.min(limit));
    }
}

/// Whether a read or write only ran into its time limit.
pub fn timed_out(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Microseconds since the machine started, those that it slept counted: what a lease is measured by. No change of the
/// wall clock moves it, and a process that was stopped finds that it has gone on.
pub fn boottime() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// Takes a lock, also one that a thread which failed has left behind: what it guards is changed in one step.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::Cell;
    use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

    fn none() -> io::Error {
        io::Error::from_raw_os_error(11)
    }

    /// A relay that found no thread at its start ended with 1, and its clients with it.
    #[test]
    fn a_thread_that_is_missing_at_the_start_is_asked_for_again_and_its_work_is_done_once() {
        let (asked, done) = (Cell::new(0), Arc::new(AtomicUsize::new(0)));
        let os = |work: Work| {
            asked.set(asked.get() + 1);
            if asked.get() < 4 {
                return Err(none());
            }
            work();
            Ok(())
        };
        let count = done.clone();
        let work = Box::new(move || _ = count.fetch_add(1, SeqCst));
        spawn_by(os, Duration::from_secs(3600), "serve", work).unwrap();
        assert_eq!((asked.get(), done.load(SeqCst)), (4, 1));
    }

    #[test]
    fn a_thread_that_stays_missing_is_named_with_the_remedy() {
        let error =
            spawn_by(|_| Err(none()), Duration::ZERO, "serve", Box::new(|| {})).unwrap_err();
        let said = error.to_string();
        assert!(
            said.contains("'serve'") && said.contains("ulimit -u"),
            "{said}"
        );
    }
}
