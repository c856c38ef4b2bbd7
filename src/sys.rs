//! Helpers for threads, sockets, locks and the monotonic clock.

use crate::log::log;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Stack size of threads that do little.
pub const SMALL_STACK_BYTES: usize = 128 * 1024;
/// How long thread creation is retried during startup. The platform sends clients when all relays
/// are ready, or after 30 s; many relays that start at once on one machine compete for threads.
const THREAD_RETRY_LIMIT: Duration = Duration::from_secs(10);
/// Pause between two attempts to create a thread.
const THREAD_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A callback that wakes the thread that waits for work.
pub type Wake = Arc<dyn Fn() + Send + Sync>;

/// The function that a thread runs.
type Work = Box<dyn FnOnce() + Send>;

/// Starts a thread; retries for a limited time if the system has none to give.
///
/// Call it during startup only: nothing that happens later may depend on a thread that the system
/// may refuse.
pub fn spawn(name: &str, stack: usize, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let spawn_thread = |work: Work| {
        thread::Builder::new()
            .name(name.into())
            .stack_size(stack)
            .spawn(work)
            .map(drop)
    };
    spawn_with_retry(spawn_thread, THREAD_RETRY_LIMIT, name, Box::new(work))
}

/// Calls `spawn_thread` until it succeeds or `limit` has passed.
fn spawn_with_retry(
    spawn_thread: impl Fn(Work) -> io::Result<()>,
    limit: Duration,
    name: &str,
    work: Work,
) -> io::Result<()> {
    // A failed call drops its argument, so the work itself stays here until a thread takes it.
    let work = Arc::new(Mutex::new(Some(work)));
    let deadline = Instant::now() + limit;
    let mut logged = false;
    loop {
        let shared = work.clone();
        let run = move || {
            let work = lock(&shared).take();
            if let Some(work) = work {
                work();
            }
        };
        let Err(e) = spawn_thread(Box::new(run)) else {
            return Ok(());
        };
        if Instant::now() >= deadline {
            let message = format!(
                "no thread for '{name}' within {} s: {e}; the machine or this user has too many threads \
                 (pid_max, ulimit -u)",
                limit.as_secs()
            );
            return Err(io::Error::new(e.kind(), message));
        }
        if !std::mem::replace(&mut logged, true) {
            log(&format!(
                "start: no thread for '{name}': {e}; trying again for {} s",
                limit.as_secs()
            ));
        }
        thread::sleep(THREAD_RETRY_INTERVAL.min(limit));
    }
}

/// Whether a read or write failed only because of its timeout, or would have blocked.
pub fn timed_out(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Microseconds since boot, including time asleep (`CLOCK_BOOTTIME`). Leases are measured with it:
/// a change of the wall clock does not affect it, and it goes on while the process is stopped.
pub fn boottime() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// Microseconds of the monotonic clock (`CLOCK_MONOTONIC`), which all processes of a machine share.
pub fn monotonic() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// This moment on the clock of [`monotonic`], or a little earlier where the thread is held up
/// meanwhile.
pub fn monotonic_of(moment: Instant) -> u64 {
    let now = monotonic();
    now.saturating_add(moment.saturating_duration_since(Instant::now()).as_micros() as u64)
}

/// The moment at this time of [`monotonic`], or a little earlier where the thread is held up
/// meanwhile; now for an earlier one.
pub fn instant_of(monotonic_time: u64) -> Instant {
    let now = Instant::now();
    now + Duration::from_micros(monotonic_time.saturating_sub(monotonic()))
}

/// Locks a mutex and ignores poisoning. For values that are changed in a single step, so that a
/// panicking thread leaves them consistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::Cell;
    use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

    fn resource_unavailable() -> io::Error {
        io::Error::from_raw_os_error(11)
    }

    /// Without the retry a relay that found no thread at startup exited with status 1, and its
    /// clients were lost.
    #[test]
    fn thread_creation_is_retried_at_startup_and_the_work_runs_once() {
        let (calls, runs) = (Cell::new(0), Arc::new(AtomicUsize::new(0)));
        let spawn_thread = |work: Work| {
            calls.set(calls.get() + 1);
            if calls.get() < 4 {
                return Err(resource_unavailable());
            }
            work();
            Ok(())
        };
        let count = runs.clone();
        let work = Box::new(move || _ = count.fetch_add(1, SeqCst));
        spawn_with_retry(spawn_thread, Duration::from_secs(3600), "serve", work).unwrap();
        assert_eq!((calls.get(), runs.load(SeqCst)), (4, 1));
    }

    #[test]
    fn a_failed_thread_creation_names_the_thread_and_the_remedy() {
        let result = spawn_with_retry(
            |_| Err(resource_unavailable()),
            Duration::ZERO,
            "serve",
            Box::new(|| {}),
        );
        let message = result.unwrap_err().to_string();
        assert!(
            message.contains("'serve'") && message.contains("ulimit -u"),
            "{message}"
        );
    }
}
