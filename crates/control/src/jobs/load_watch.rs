//! Load watch: the job of checking the load of a zone's endpoints on behalf of all relays.
//!
//! Input: the time, the endpoints of the zone, and the results of health checks. Output: endpoints
//! to check, and once per round the load reports of those that answered.
//!
//! Guards against: an owner that reaches no endpoint (failed health checks are not published, so no
//! relay considers an endpoint down because of them, and after a timeout the owner relinquishes the
//! job), a round that never ends (it is published after a timeout), and too many concurrent health
//! checks.

use crate::broadcast::table::{LoadReport, Row, Table};
use crate::{wire, Micros};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

#[cfg(test)]
mod tests;

/// Kind of these jobs; their names are `load/ZONE`.
pub const KIND: &str = "load";
/// Interval between the starts of two rounds. Endpoints refresh their reports every 570 to 1,400
/// ms.
const ROUND_INTERVAL: Micros = 500_000;
/// A round is published after this time even if endpoints have not answered. A step of a health
/// check may take 250 ms.
const ROUND_TIMEOUT: Micros = 300_000;
/// Maximum number of concurrent health checks, the same as for a relay's own decisions.
const MAX_CONCURRENT_CHECKS: usize = 4;
/// An owner that has reached no endpoint for this time relinquishes the job.
const UNREACHABLE_TIMEOUT: Micros = 3_000_000;

/// Load reports of a round, as owners of older builds publish them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReports {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Reports of the endpoints that answered. Their ages are those at the time of sending.
    #[serde(rename = "of")]
    pub reports: Vec<LoadReport>,
}

impl LoadReports {
    /// Encodes the reports.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(self)
    }

    /// Decodes reports. Returns `None` if the bytes are invalid.
    pub fn decode(bytes: &[u8]) -> Option<LoadReports> {
        wire::decode(bytes)
    }

    /// Reports from the rows that the current version of a table confirms.
    pub fn of_table(table: &Table) -> LoadReports {
        let report = |row: &Row| LoadReport {
            endpoint: row.endpoint,
            age: table.updated_at().saturating_sub(row.seen_at),
            values: row.loads().collect(),
        };
        LoadReports {
            columns: table.columns().to_vec(),
            reports: table.confirmed_rows().map(report).collect(),
        }
    }

    /// The reports with only these columns, in this order. Reports with a wrong number of values
    /// are left out. If a column is missing, all reports are left out, since the sender has other
    /// settings.
    pub fn rows<'a>(&'a self, columns: &[String]) -> impl Iterator<Item = LoadReport> + 'a {
        let indexes = column_indexes(&self.columns, columns);
        self.reports.iter().filter_map(move |report| {
            let indexes = indexes.as_ref()?;
            if report.values.len() != self.columns.len() {
                return None;
            }
            Some(LoadReport {
                endpoint: report.endpoint,
                age: report.age,
                values: select_values(&report.values, indexes),
            })
        })
    }
}

/// Index of each wanted column among the available ones; `None` if one is missing.
pub(super) fn column_indexes(available: &[String], wanted: &[String]) -> Option<Vec<usize>> {
    let index_of = |column: &String| available.iter().position(|other| other == column);
    wanted.iter().map(index_of).collect()
}

/// The values with these indexes; missing ones are skipped.
pub(super) fn select_values(values: &[f32], indexes: &[usize]) -> Vec<f32> {
    indexes
        .iter()
        .filter_map(|index| values.get(*index).copied())
        .collect()
}

/// Result of a successful health check.
#[derive(Clone, Debug)]
struct HealthCheckResult {
    received_at: Micros,
    values: Vec<f32>,
}

/// State of the owner of a load watch. Default: no round has started.
#[derive(Clone, Debug, Default)]
pub struct LoadWatch {
    /// Start of the current round.
    round_started_at: Option<Micros>,
    /// Endpoints that have not been checked yet in this round.
    waiting: VecDeque<u64>,
    /// Endpoints whose health checks have not ended.
    in_flight: Vec<u64>,
    /// Endpoints that have answered in this round.
    answered: BTreeMap<u64, HealthCheckResult>,
    /// Whether this round has been published.
    is_published: bool,
    /// When the first health check after the latest successful one failed.
    failing_since: Option<Micros>,
}

impl LoadWatch {
    /// Returns the endpoints to check now. `endpoints` lists those of the zone; it is called at the
    /// start of each round.
    pub fn tick<L>(&mut self, now: Micros, endpoints: impl FnOnce() -> L) -> Vec<u64>
    where
        L: IntoIterator<Item = u64>,
    {
        let starts_round = self
            .round_started_at
            .is_none_or(|started_at| now >= started_at + ROUND_INTERVAL);
        if starts_round {
            self.round_started_at = Some(now);
            self.is_published = false;
            self.waiting = endpoints().into_iter().collect();
            self.in_flight.clear();
            self.answered.clear();
        }
        let free_slots = MAX_CONCURRENT_CHECKS.saturating_sub(self.in_flight.len());
        let count = free_slots.min(self.waiting.len());
        let started: Vec<u64> = self.waiting.drain(..count).collect();
        self.in_flight.extend(&started);
        started
    }

    /// Handles the end of a health check; `report` is `None` if it failed. Endpoints without a
    /// health check in flight are ignored.
    pub fn health_checked(&mut self, now: Micros, endpoint: u64, report: Option<Vec<f32>>) {
        let Some(index) = self.in_flight.iter().position(|other| *other == endpoint) else {
            return;
        };
        self.in_flight.remove(index);
        match report.filter(|values| !values.is_empty()) {
            Some(values) => {
                self.failing_since = None;
                let result = HealthCheckResult {
                    received_at: now,
                    values,
                };
                self.answered.insert(endpoint, result);
            }
            None => _ = self.failing_since.get_or_insert(now),
        }
    }

    /// Returns the reports to publish, once per round: when all endpoints have answered, or after
    /// the timeout. A health check of another thread may have ended after the caller read `now`: its
    /// report has age 0.
    pub fn take_reports(&mut self, now: Micros, columns: &[String]) -> Option<LoadReports> {
        let started_at = self.round_started_at?;
        let is_complete = self.waiting.is_empty() && self.in_flight.is_empty();
        let is_timed_out = now >= started_at + ROUND_TIMEOUT;
        if self.is_published || !(is_complete || is_timed_out) {
            return None;
        }
        // Set even if there is nothing to publish, since the round is over and nothing is due
        // before the next one.
        self.is_published = true;
        if self.answered.is_empty() {
            return None;
        }
        let report = |(endpoint, result): (&u64, &HealthCheckResult)| LoadReport {
            endpoint: *endpoint,
            age: now.saturating_sub(result.received_at),
            values: result.values.clone(),
        };
        Some(LoadReports {
            columns: columns.to_vec(),
            reports: self.answered.iter().map(report).collect(),
        })
    }

    /// Reason for which this owner should relinquish the job, if there is one.
    pub fn failure(&self, now: Micros) -> Option<&'static str> {
        self.failing_since
            .filter(|since| now >= since + UNREACHABLE_TIMEOUT)
            .map(|_| "it reaches no endpoint of the zone")
    }

    /// When [`LoadWatch::tick`] or [`LoadWatch::take_reports`] has something to do next, unless a
    /// health check ends before.
    pub fn next_tick(&self) -> Micros {
        let delay = if self.is_published {
            ROUND_INTERVAL
        } else {
            ROUND_TIMEOUT.min(ROUND_INTERVAL)
        };
        self.round_started_at
            .map_or(0, |started_at| started_at + delay)
    }
}
