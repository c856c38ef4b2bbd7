//! What the fleet's load watch knows of each backend: what was told, how old it is, and what is still to be asked. Facts
//! only; which server is chosen is the decisions'. Between the thread that serves, which probes, and the fleet's, which tells.
//!
//! Guards against: a report that is older than a probe would be (it is not used, and the relay probes for itself), and one
//! of a backend that the own list does not name (whoever asks looks there first).

use crate::decisions::api::{EndpointId, Micros};
use crate::sys::Wake;
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

/// A report that is told stands for a probe while it is younger than that, in microseconds: a round of the watch and a
/// half, and what it may take on its way. The decisions hold a load for known for 1.5 s.
pub const MAX_REPORT_AGE: Micros = 1_000_000;
/// Probes for the watch that wait, and answers that nobody has taken: a thread that is behind gets no longer queue.
const QUEUE: usize = 256;

/// How a probe for the watch has ended: the backend, when, and what it said.
pub type Found = (EndpointId, Micros, Option<Vec<f32>>);

#[derive(Default)]
struct Inner {
    told: BTreeMap<EndpointId, (Micros, Vec<f32>)>,
    wanted: VecDeque<EndpointId>,
    found: VecDeque<Found>,
}

/// See the module's text. Moments are those of [`crate::sys::boottime`].
#[derive(Default)]
pub struct LoadReportCache {
    inner: Mutex<Inner>,
    prober: OnceLock<Wake>,
    teller: OnceLock<Wake>,
    /// Probes that a report stood for, and those that were made for want of one.
    pub checks_avoided: AtomicU64,
    /// See `spared`.
    pub checks_sent: AtomicU64,
}

impl LoadReportCache {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Called where there is something to probe. Once.
    pub fn set_checker_waker(&self, wake: Wake) {
        let _ = self.prober.set(wake);
    }

    /// Called where a probe has ended. Once.
    pub fn set_publisher_waker(&self, wake: Wake) {
        let _ = self.teller.set(wake);
    }

    /// Backends' loads, as they were at these moments at the earliest. An older word changes nothing.
    pub fn insert(&self, rows: impl IntoIterator<Item = (EndpointId, Micros, Vec<f32>)>) {
        let mut inner = self.lock();
        for (server, at, report) in rows {
            if inner.told.get(&server).is_none_or(|(known, _)| at > *known) {
                inner.told.insert(server, (at, report));
            }
        }
    }

    /// What stands for a probe of this backend at this moment. Counted.
    pub fn fresh_report(&self, server: EndpointId, now: Micros) -> Option<Vec<f32>> {
        let inner = self.lock();
        let told = inner
            .told
            .get(&server)
            .filter(|(at, _)| now < at + MAX_REPORT_AGE)
            .map(|(_, report)| report.clone());
        if told.is_some() {
            &self.checks_avoided
        } else {
            &self.checks_sent
        }
        .fetch_add(1, Relaxed);
        told
    }

    /// Forgets backends that no list names any more, and words that nobody can use.
    pub fn evict(&self, now: Micros, listed: impl Fn(EndpointId) -> bool) {
        self.lock()
            .told
            .retain(|server, (at, _)| now < *at + 10 * MAX_REPORT_AGE && listed(*server));
    }

    /// The watch wants these probed.
    pub fn request_checks(&self, servers: impl IntoIterator<Item = EndpointId>) {
        let mut inner = self.lock();
        for server in servers {
            if inner.wanted.len() < QUEUE {
                inner.wanted.push_back(server);
            } else if inner.found.len() < QUEUE {
                inner.found.push_back((server, 0, None));
            }
        }
        drop(inner);
        self.prober.get().iter().for_each(|wake| wake());
    }

    /// The next that the watch wants probed.
    pub fn next_check(&self) -> Option<EndpointId> {
        self.lock().wanted.pop_front()
    }

    /// A probe for the watch has ended. What the backend said is known here at once.
    pub fn check_finished(&self, server: EndpointId, at: Micros, report: Option<Vec<f32>>) {
        let report = report.filter(|report| !report.is_empty());
        self.insert(report.iter().map(|report| (server, at, report.clone())));
        let mut inner = self.lock();
        if inner.found.len() < QUEUE {
            inner.found.push_back((server, at, report));
        }
        drop(inner);
        self.teller.get().iter().for_each(|wake| wake());
    }

    /// How probes for the watch have ended since the last call.
    pub fn take_results(&self) -> Vec<Found> {
        self.lock().found.drain(..).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_report_stands_for_a_probe_while_it_is_young_and_no_older_one_takes_its_place() {
        let (book, server) = (LoadReportCache::default(), EndpointId(7));
        assert_eq!(book.fresh_report(server, 0), None);
        book.insert([(server, 1_000, vec![0.5])]);
        book.insert([(server, 900, vec![0.9])]);
        assert_eq!(
            book.fresh_report(server, 1_000 + MAX_REPORT_AGE - 1),
            Some(vec![0.5])
        );
        assert_eq!(
            book.fresh_report(server, 1_000 + MAX_REPORT_AGE),
            None,
            "older than a probe would be"
        );
        assert_eq!(
            (
                book.checks_avoided.load(Relaxed),
                book.checks_sent.load(Relaxed)
            ),
            (1, 2)
        );
        book.insert([(server, 2_000, vec![0.7])]);
        book.evict(2_000, |_| false);
        assert_eq!(book.fresh_report(server, 2_000), None);
    }

    #[test]
    fn what_the_watch_found_is_known_here_at_once_and_no_queue_grows() {
        let book = LoadReportCache::default();
        book.request_checks((0..300).map(EndpointId));
        assert_eq!(std::iter::from_fn(|| book.next_check()).count(), QUEUE);
        assert_eq!(
            book.take_results().len(),
            300 - QUEUE,
            "said to have failed, so that its round ends"
        );
        book.check_finished(EndpointId(1), 50, Some(vec![0.25]));
        book.check_finished(EndpointId(2), 60, None);
        assert_eq!(book.fresh_report(EndpointId(1), 60), Some(vec![0.25]));
        assert_eq!(
            book.take_results(),
            [
                (EndpointId(1), 50, Some(vec![0.25])),
                (EndpointId(2), 60, None)
            ]
        );
    }
}
