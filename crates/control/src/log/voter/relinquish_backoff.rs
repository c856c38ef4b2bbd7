//! Backoff for jobs that owners relinquish repeatedly because they cannot do them.
//!
//! Guards against: a job that is reassigned endlessly among relays of which none can do it.

use crate::Micros;

/// A job that is relinquished again within this time is backed off, in microseconds.
const RELINQUISH_WINDOW: Micros = 60_000_000;
/// Backoff of a job that was relinquished twice in a row, in microseconds. It doubles with each
/// further time.
const MIN_RELINQUISH_BACKOFF: Micros = 5_000_000;
/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Backoff of one job. While it is active, the job is not assigned.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RelinquishBackoff {
    /// How many times in a row the job was relinquished, each within [`RELINQUISH_WINDOW`] of the
    /// previous one.
    count: u32,
    last_at: Micros,
}

impl RelinquishBackoff {
    /// Records that the job was relinquished.
    pub(super) fn record(&mut self, now: Micros) {
        let is_repeated = now < self.last_at + RELINQUISH_WINDOW;
        self.count = if is_repeated { self.count + 1 } else { 1 };
        self.last_at = now;
    }

    /// Whether the backoff is active, so that the job must not be assigned.
    pub(super) fn is_active(&self, now: Micros) -> bool {
        if self.count < 2 {
            return false;
        }
        let doublings = (self.count - 2).min(MAX_BACKOFF_DOUBLINGS);
        now < self.last_at + (MIN_RELINQUISH_BACKOFF << doublings)
    }
}
