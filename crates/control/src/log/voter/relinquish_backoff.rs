//! Backoff of jobs that relay after relay relinquishes because it cannot do them.
//!
//! Guards against: a job that circulates among relays of which none can do it.

use crate::Micros;

/// A job that is relinquished again within this time backs off, in microseconds.
const RELINQUISH_WINDOW: Micros = 60_000_000;
/// The first backoff of a job that was relinquished twice, in microseconds; it doubles each further time.
const MIN_RELINQUISH_BACKOFF: Micros = 5_000_000;
/// How often the backoff doubles at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Backoff of a job that its owners relinquish: it is not assigned while the backoff lasts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RelinquishBackoff {
    /// How often in a row the job was relinquished, each time within [`RELINQUISH_WINDOW`] of the time before.
    count: u32,
    last_at: Micros,
}

impl RelinquishBackoff {
    /// Counts a relinquishment.
    pub(super) fn record(&mut self, now: Micros) {
        let is_repeated = now < self.last_at + RELINQUISH_WINDOW;
        self.count = if is_repeated { self.count + 1 } else { 1 };
        self.last_at = now;
    }

    /// Whether the job must not be assigned now.
    pub(super) fn is_active(&self, now: Micros) -> bool {
        if self.count < 2 {
            return false;
        }
        let doublings = (self.count - 2).min(MAX_BACKOFF_DOUBLINGS);
        now < self.last_at + (MIN_RELINQUISH_BACKOFF << doublings)
    }
}
