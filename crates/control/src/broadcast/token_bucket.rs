//! Token bucket that limits the bytes per second that a voter sends to one relay.
//!
//! Input: the time, the rate, and the bytes sent. Output: whether the relay may be sent more.
//! Urgent messages are sent regardless and may leave the bucket in debt.
//!
//! Guards against: bursts after a pause, and a debt that would block a relay for a long time. Both
//! are limited to one second of the rate.

use crate::Micros;

#[cfg(test)]
mod tests;

/// Maximum level and maximum debt of a bucket, as the time in which the rate fills it, in
/// milliseconds.
const MAX_BURST_MS: u64 = 1_000;

/// A bucket of bytes that fills at a constant rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    /// In thousandths of a byte; negative while in debt.
    level: i64,
    /// Time up to which the bucket is filled.
    filled_at: Micros,
}

impl TokenBucket {
    /// An empty bucket that starts to fill now.
    pub(super) fn new(now: Micros) -> TokenBucket {
        TokenBucket {
            level: 0,
            filled_at: now,
        }
    }

    /// Adds the bytes for the time since the last call, in whole milliseconds. Returns whether
    /// bytes are available.
    pub(super) fn fill(&mut self, now: Micros, bytes_per_second: u64) -> bool {
        let elapsed_ms = now.saturating_sub(self.filled_at) / 1_000;
        if elapsed_ms > 0 {
            let max_level = (bytes_per_second * MAX_BURST_MS) as i64;
            let added = elapsed_ms.min(2 * MAX_BURST_MS) * bytes_per_second;
            self.level = (self.level + added as i64).min(max_level);
            self.filled_at += elapsed_ms * 1_000;
        }
        self.has_bytes()
    }

    /// Removes sent bytes.
    pub(super) fn take(&mut self, bytes: usize, bytes_per_second: u64) {
        let min_level = -((bytes_per_second * MAX_BURST_MS) as i64);
        self.level = (self.level - bytes as i64 * 1_000).max(min_level);
    }

    /// Whether bytes are available.
    pub(super) fn has_bytes(&self) -> bool {
        self.level > 0
    }
}
