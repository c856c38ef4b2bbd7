//! A cache of load reports between the fleet's load watch and this relay's health checks.
//!
//! The fleet's thread inserts the reports that the load watch distributes, and requests the health
//! checks that the load watch wants from this relay. The serving thread looks up a report before it
//! checks an endpoint itself, makes the requested checks, and returns their results. Nothing is
//! decided here.
//!
//! The cache returns no report older than [`MAX_REPORT_AGE`], because an own check gives a fresher
//! one. The queues are bounded, so that they do not grow while one of the threads is behind. All
//! times are those of [`crate::sys::boottime`].

#![warn(unreachable_pub, rust_2018_idioms)]
#![warn(clippy::too_many_lines, clippy::many_single_char_names)]

#[cfg(test)]
mod tests;

use crate::decisions::api::{EndpointId, Micros};
use crate::sys::Wake;
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

/// A report replaces a health check while it is younger than this, in microseconds: one and a half
/// rounds of the load watch, and the time that a report takes to get here. A load lookup of the
/// decisions checks an endpoint again after 1.5 s (`lookup_max_report_age_us`).
pub const MAX_REPORT_AGE: Micros = 1_000_000;
/// Reports older than this are evicted, in microseconds.
const EVICTION_AGE: Micros = 10 * MAX_REPORT_AGE;
/// The most requested checks, and the most results, in a queue.
const QUEUE_CAPACITY: usize = 256;

/// The load that an endpoint reported.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The earliest time at which the endpoint may have made the report.
    pub measured_at: Micros,
    /// The values of its report, in the columns of the settings.
    pub values: Vec<f32>,
}

/// The result of a health check that the load watch requested.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckResult {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When the check was made; 0 if it was never made.
    pub checked_at: Micros,
    /// The endpoint's report; none if the check failed or the report was empty.
    pub report: Option<Vec<f32>>,
}

/// The newest report of an endpoint.
struct CachedReport {
    measured_at: Micros,
    values: Vec<f32>,
}

#[derive(Default)]
struct CacheState {
    reports: BTreeMap<EndpointId, CachedReport>,
    requested_checks: VecDeque<EndpointId>,
    results: VecDeque<CheckResult>,
}

/// The cache, shared by the fleet's thread and the serving thread.
#[derive(Default)]
pub struct LoadReportCache {
    state: Mutex<CacheState>,
    checker_waker: OnceLock<Wake>,
    publisher_waker: OnceLock<Wake>,
    /// Health checks that a fresh report replaced.
    pub checks_avoided: AtomicU64,
    /// Health checks that were made because there was no fresh report.
    pub checks_sent: AtomicU64,
}

impl LoadReportCache {
    fn lock(&self) -> MutexGuard<'_, CacheState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the callback for requested checks. A second call is ignored.
    pub fn set_checker_waker(&self, wake: Wake) {
        let _ = self.checker_waker.set(wake);
    }

    /// Sets the callback for results of requested checks. A second call is ignored.
    pub fn set_publisher_waker(&self, wake: Wake) {
        let _ = self.publisher_waker.set(wake);
    }

    /// Caches reports. One that is not newer than the cached report of its endpoint is ignored.
    pub fn insert(&self, reports: impl IntoIterator<Item = LoadReport>) {
        let mut state = self.lock();
        for report in reports {
            let cached = state.reports.get(&report.endpoint);
            if cached.is_some_and(|cached| report.measured_at <= cached.measured_at) {
                continue;
            }
            let newer = CachedReport {
                measured_at: report.measured_at,
                values: report.values,
            };
            state.reports.insert(report.endpoint, newer);
        }
    }

    /// The report that replaces a health check of this endpoint now, if there is a fresh one. Each
    /// call counts as a check that was avoided or sent.
    pub fn fresh_report(&self, endpoint: EndpointId, now: Micros) -> Option<Vec<f32>> {
        let state = self.lock();
        let fresh = state
            .reports
            .get(&endpoint)
            .filter(|cached| now < cached.measured_at + MAX_REPORT_AGE)
            .map(|cached| cached.values.clone());
        let counter = if fresh.is_some() {
            &self.checks_avoided
        } else {
            &self.checks_sent
        };
        counter.fetch_add(1, Relaxed);
        fresh
    }

    /// Evicts reports of endpoints that are not listed, and reports older than `EVICTION_AGE`.
    pub fn evict(&self, now: Micros, listed: impl Fn(EndpointId) -> bool) {
        self.lock().reports.retain(|endpoint, cached| {
            now < cached.measured_at + EVICTION_AGE && listed(*endpoint)
        });
    }

    /// Requests health checks for the load watch. A check that does not fit into the queue fails at
    /// once, so that the round of the load watch ends.
    pub fn request_checks(&self, endpoints: impl IntoIterator<Item = EndpointId>) {
        let mut state = self.lock();
        for endpoint in endpoints {
            if state.requested_checks.len() < QUEUE_CAPACITY {
                state.requested_checks.push_back(endpoint);
            } else {
                state.push_result(CheckResult {
                    endpoint,
                    checked_at: 0,
                    report: None,
                });
            }
        }
        drop(state);
        wake(&self.checker_waker);
    }

    /// Takes the next requested check from the queue and returns its endpoint.
    pub fn next_check(&self) -> Option<EndpointId> {
        self.lock().requested_checks.pop_front()
    }

    /// Reports the result of a requested check. The endpoint's report is cached at once.
    pub fn check_finished(
        &self,
        endpoint: EndpointId,
        checked_at: Micros,
        report: Option<Vec<f32>>,
    ) {
        let report = report.filter(|values| !values.is_empty());
        self.insert(report.iter().map(|values| LoadReport {
            endpoint,
            measured_at: checked_at,
            values: values.clone(),
        }));
        self.lock().push_result(CheckResult {
            endpoint,
            checked_at,
            report,
        });
        wake(&self.publisher_waker);
    }

    /// Takes the results of the requested checks that have ended since the last call.
    pub fn take_results(&self) -> Vec<CheckResult> {
        self.lock().results.drain(..).collect()
    }
}

impl CacheState {
    /// Adds a result, or drops it if the queue is full because the thread that takes the results is
    /// behind.
    fn push_result(&mut self, result: CheckResult) {
        if self.results.len() < QUEUE_CAPACITY {
            self.results.push_back(result);
        }
    }
}

fn wake(waker: &OnceLock<Wake>) {
    if let Some(wake) = waker.get() {
        wake();
    }
}
