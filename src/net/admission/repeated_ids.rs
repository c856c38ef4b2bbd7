//! Ids of ended requests that may have been executed, and must not be executed again.
//!
//! A client that has left, or was cut off, may come again under its id. While its earlier request
//! awaits an answer the id is in use; afterwards it is remembered here. Inputs: ids with the time
//! from which repeating them does harm. Bounded in time and number; the ids that ended first are
//! forgotten first.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// How long an id is remembered. Longer than clients go on with their retries.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);
/// The most ids that are remembered: about 1 MiB.
const MAX_REMEMBERED: usize = 4096;

/// The ids that must not be executed again.
#[derive(Default)]
pub(super) struct RepeatedIds {
    /// From when on repeating each id does harm.
    harmful_from: BTreeMap<String, Instant>,
    /// The same ids with the times at which they are forgotten, the earliest first.
    expiries: VecDeque<(Instant, String)>,
}

impl RepeatedIds {
    /// Remembers an id whose repetition does harm from `harmful_from` on.
    pub(super) fn insert(&mut self, id: &str, harmful_from: Instant, now: Instant) {
        self.forget_expired(now);
        if let Some(earlier) = self.harmful_from.get_mut(id) {
            *earlier = harmful_from.min(*earlier);
            return;
        }
        if self.expiries.len() >= MAX_REMEMBERED {
            self.forget_first();
        }
        self.harmful_from.insert(id.to_string(), harmful_from);
        let expiry = harmful_from.max(now) + REMEMBERED_FOR;
        self.expiries.push_back((expiry, id.to_string()));
    }

    /// From when on a request under this id must not be executed; none if it may be at any time.
    pub(super) fn harmful_from(&mut self, id: &str, now: Instant) -> Option<Instant> {
        self.forget_expired(now);
        self.harmful_from.get(id).copied()
    }

    /// All ids, and from when on each must not be executed.
    pub(super) fn all(&mut self, now: Instant) -> impl Iterator<Item = (&str, Instant)> {
        self.forget_expired(now);
        let all = self.harmful_from.iter();
        all.map(|(id, harmful_from)| (id.as_str(), *harmful_from))
    }

    fn forget_expired(&mut self, now: Instant) {
        while self.expiries.front().is_some_and(|(at, _)| *at <= now) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, id)) = self.expiries.pop_front() {
            self.harmful_from.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
