//! The queue of connections to migrate, and whether the next migration may take place.
//!
//! Migrations are paced, so that not many connections change their endpoints at once: there is one
//! migration per interval, and a fleet can limit them further by permitting a total number.

use crate::decisions::api::RequestId;
use std::collections::VecDeque;

/// Connections that wait for their migration, first in, first out.
#[derive(Default)]
pub(super) struct MigrationQueue {
    waiting: VecDeque<RequestId>,
    timer_set: bool,
    completed: u64,
    permitted: Option<u64>,
}

impl MigrationQueue {
    /// Adds a connection to the end of the queue.
    pub(super) fn push(&mut self, id: RequestId) {
        self.waiting.push_back(id);
    }

    /// Removes the first connection.
    pub(super) fn pop(&mut self) -> Option<RequestId> {
        self.waiting.pop_front()
    }

    /// Replaces all connections in the queue.
    pub(super) fn replace(&mut self, ids: impl IntoIterator<Item = RequestId>) {
        self.waiting = ids.into_iter().collect();
    }

    /// Number of connections in the queue.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the caller has to set the timer of the next migration now. If so, the timer counts
    /// as set from then on.
    pub(super) fn needs_timer(&mut self) -> bool {
        let allowed = self
            .permitted
            .is_none_or(|permitted| self.completed < permitted);
        if !allowed || self.waiting.is_empty() || self.timer_set {
            return false;
        }
        self.timer_set = true;
        true
    }

    /// Records that the timer has fired.
    pub(super) fn timer_fired(&mut self) {
        self.timer_set = false;
    }

    /// Counts a migration.
    pub(super) fn record_completed(&mut self) {
        self.completed += 1;
    }

    /// Number of migrations since the start.
    pub(super) fn completed(&self) -> u64 {
        self.completed
    }

    /// Number of migrations that are permitted since the start; none if no permits are required.
    pub(super) fn permitted(&self) -> Option<u64> {
        self.permitted
    }

    /// Requires a permit for each migration from now on.
    pub(super) fn require_permits(&mut self) {
        self.permitted.get_or_insert(0);
    }

    /// Permits this many migrations in total since the start, if permits are required. A lower
    /// number than before is ignored.
    pub(super) fn permit(&mut self, total: u64) {
        self.permitted = self.permitted.map(|before| before.max(total));
    }
}
