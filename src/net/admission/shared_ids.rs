//! The ids that another process of this relay has open, and the changes that it has to be told.

use super::Admission;
use crate::platform::id_exchange::IdChange;
use crate::sys::{instant_of, monotonic_of};
use std::collections::BTreeSet;
use std::time::Instant;

/// The most ids of the other process that are kept: far more than its limit of requests.
const MAX_FOREIGN: usize = 65_536;

/// What two processes know of each other's ids.
#[derive(Default)]
pub(super) struct SharedIds {
    foreign: BTreeSet<String>,
    /// Changes that the other process was not told yet; none while there is no other process.
    untold: Option<Vec<IdChange>>,
}

impl SharedIds {
    /// Records changes from now on.
    pub(super) fn start(&mut self) {
        self.untold.get_or_insert_with(Vec::new);
    }

    /// Forgets the other process.
    pub(super) fn stop(&mut self) {
        *self = SharedIds::default();
    }

    /// Records a change, if there is another process.
    pub(super) fn record(&mut self, change: impl FnOnce() -> IdChange) {
        if let Some(untold) = &mut self.untold {
            untold.push(change());
        }
    }

    /// Takes the changes that the other process was not told yet.
    pub(super) fn take_untold(&mut self) -> Vec<IdChange> {
        self.untold.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Whether the other process has this id open.
    pub(super) fn is_foreign(&self, id: &str) -> bool {
        self.foreign.contains(id)
    }

    pub(super) fn insert_foreign(&mut self, id: String) {
        if self.foreign.len() < MAX_FOREIGN {
            self.foreign.insert(id);
        }
    }

    pub(super) fn remove_foreign(&mut self, id: &str) {
        self.foreign.remove(id);
    }
}

/// The end of a request whose id must not be executed again from `harmful_from` on.
pub(super) fn ended(id: &str, harmful_from: Instant, now: Instant) -> IdChange {
    if harmful_from <= now {
        IdChange::EndedForGood(id.to_string())
    } else {
        IdChange::EndedUntil(id.to_string(), monotonic_of(harmful_from))
    }
}

impl Admission {
    /// Begins to record changes for another process; the ids that it has to know already.
    pub fn share_ids(&self) -> Vec<IdChange> {
        let mut inner = self.lock();
        inner.shared_ids.start();
        let now = Instant::now();
        let remembered = inner.repeated_ids.all(now);
        let ended: Vec<IdChange> = remembered
            .map(|(id, harmful_from)| ended(id, harmful_from, now))
            .collect();
        let open = inner.requests.keys().cloned().map(IdChange::Opened);
        open.chain(ended).collect()
    }

    /// Takes the changes since the last call that another process has to be told.
    pub fn take_id_changes(&self) -> Vec<IdChange> {
        self.lock().shared_ids.take_untold()
    }

    /// Applies what another process has told.
    pub fn apply_id_changes(&self, changes: Vec<IdChange>) {
        let mut inner = self.lock();
        for change in changes {
            match change {
                IdChange::Opened(id) => inner.shared_ids.insert_foreign(id),
                IdChange::Ended(id) => inner.shared_ids.remove_foreign(&id),
                IdChange::EndedForGood(id) => {
                    inner.shared_ids.remove_foreign(&id);
                    let now = Instant::now();
                    inner.repeated_ids.insert(&id, now, now);
                }
                IdChange::EndedUntil(id, time) => {
                    let now = Instant::now();
                    inner.repeated_ids.insert(&id, instant_of(time), now);
                }
            }
        }
    }

    /// Forgets the ids of another process, which is gone.
    pub fn stop_sharing_ids(&self) {
        self.lock().shared_ids.stop();
    }
}
