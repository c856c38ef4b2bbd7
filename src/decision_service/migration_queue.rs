//! Paces migrations: which connections wait for theirs, and whether the next one may take place.
//!
//! Guards against many connections that change their endpoints at once. A fleet can set the pace by permitting a total
//! number of migrations; without it, time alone paces them.

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
    /// Adds a connection at the end.
    pub(super) fn push(&mut self, id: RequestId) {
        self.waiting.push_back(id);
    }

    /// Takes the first connection.
    pub(super) fn pop(&mut self) -> Option<RequestId> {
        self.waiting.pop_front()
    }

    /// Replaces all connections that wait.
    pub(super) fn replace(&mut self, ids: impl IntoIterator<Item = RequestId>) {
        self.waiting = ids.into_iter().collect();
    }

    /// Connections that wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a timer has to be set now for the next migration; from then on it counts as set.
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

    /// The timer has fired.
    pub(super) fn timer_fired(&mut self) {
        self.timer_set = false;
    }

    /// Counts a migration.
    pub(super) fn record_completed(&mut self) {
        self.completed += 1;
    }

    /// Migrations since the start.
    pub(super) fn completed(&self) -> u64 {
        self.completed
    }

    /// Migrations that are permitted since the start; none where only time paces them.
    pub(super) fn permitted(&self) -> Option<u64> {
        self.permitted
    }

    /// From now on each migration needs a permit.
    pub(super) fn require_permits(&mut self) {
        self.permitted.get_or_insert(0);
    }

    /// Permits this many migrations since the start, if permits are required. A lower number than before is ignored.
    pub(super) fn permit(&mut self, total: u64) {
        self.permitted = self.permitted.map(|before| before.max(total));
    }
}
