//! The load watch of a zone: its owner probes each backend there, round by round, and tells all relays what they said.
//!
//! Guards against: an owner that reaches no backend (what failed is not told, so nobody takes a backend for gone on its
//! word, and after a while it gives the job up), a round that never ends (it is told as far as it came), and probes
//! that pile up (so many are out at a time).

use crate::broadcast::table::{Row, Table};
use crate::{wire, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The kind of these jobs: `load/ZONE`.
pub const KIND: &str = "load";
/// A round begins so long after the one before, in microseconds: the deployments' backends refresh what they say of their
/// load every 570 to 1,400 ms.
const ROUND: Micros = 500_000;
/// A round is told after so long, whoever has not answered: a probe may take 250 ms a step.
const ROUND_END: Micros = 300_000;
/// Probes that are out at a time: the relay keeps as many for its own decisions.
const OUT: usize = 4;
/// An owner that reaches no backend for so long gives the job up.
const USELESS: Micros = 3_000_000;

/// What an owner tells: each backend's load as its columns say it, and how old that is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReports {
    /// The names of the columns.
    pub columns: Vec<String>,
    /// Each backend that answered: its number, how long before the word was sent, and its columns.
    #[serde(rename = "of")]
    pub reports: Vec<(u64, Micros, Vec<f32>)>,
}

impl LoadReports {
    /// As it is told.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(self)
    }

    /// As it was told; none where it is nothing of the kind.
    pub fn decode(bytes: &[u8]) -> Option<LoadReports> {
        wire::decode(bytes)
    }

    /// A table as owners of older builds tell it: the rows that its version has seen.
    pub fn of_table(table: &Table) -> LoadReports {
        let row = |row: &Row| {
            (
                row.backend,
                table.at().saturating_sub(row.seen),
                row.loads().collect(),
            )
        };
        LoadReports {
            columns: table.columns().to_vec(),
            reports: table.confirmed().map(row).collect(),
        }
    }

    /// What is said in these columns: each backend's age and values. Nothing where a column is missing, or a row is not as
    /// long as the head: the sender's settings are others.
    pub fn rows<'a>(
        &'a self,
        columns: &[String],
    ) -> impl Iterator<Item = (u64, Micros, Vec<f32>)> + 'a {
        let at = |column: &String| self.columns.iter().position(|c| c == column);
        let places: Option<Vec<usize>> = columns.iter().map(at).collect();
        let row = move |(server, age, row): &'a (u64, Micros, Vec<f32>)| {
            let places = places
                .as_ref()
                .filter(|_| row.len() == self.columns.len())?;
            Some((
                *server,
                *age,
                places
                    .iter()
                    .filter_map(|at| row.get(*at).copied())
                    .collect(),
            ))
        };
        self.reports.iter().filter_map(row)
    }
}

/// See the module's text.
#[derive(Clone, Debug, Default)]
pub struct LoadWatch {
    began: Option<Micros>,
    /// Of this round: who is to be probed, who is out, and who has answered when.
    todo: Vec<u64>,
    out: Vec<u64>,
    health_checked: BTreeMap<u64, (Micros, Vec<f32>)>,
    told: bool,
    /// Since when no backend has answered, though some were asked.
    vain: Option<Micros>,
}

impl LoadWatch {
    /// Time has passed: which of the zone's backends are to be probed now. Who is listed is asked once a round.
    pub fn tick<L>(&mut self, now: Micros, listed: impl FnOnce() -> L) -> Vec<u64>
    where
        L: IntoIterator<Item = u64>,
    {
        if self.began.is_none_or(|began| now >= began + ROUND) {
            (self.began, self.told) = (Some(now), false);
            self.todo = listed().into_iter().collect();
            self.out.clear();
            self.health_checked.clear();
        }
        let free = OUT.saturating_sub(self.out.len()).min(self.todo.len());
        let next: Vec<u64> = self.todo.drain(..free).collect();
        self.out.extend(&next);
        next
    }

    /// A probe has ended, with what the backend said.
    pub fn health_checked(&mut self, now: Micros, server: u64, report: Option<Vec<f32>>) {
        let Some(at) = self.out.iter().position(|out| *out == server) else {
            return;
        };
        self.out.remove(at);
        match report.filter(|report| !report.is_empty()) {
            Some(report) => {
                self.vain = None;
                self.health_checked.insert(server, (now, report));
            }
            None => _ = self.vain.get_or_insert(now),
        }
    }

    /// What is to be told now: once a round, when all have answered or it has lasted long enough.
    pub fn take_reports(&mut self, now: Micros, columns: &[String]) -> Option<LoadReports> {
        let began = self.began?;
        let done = self.todo.is_empty() && self.out.is_empty();
        if self.told || !(done || now >= began + ROUND_END) {
            return None;
        }
        // Also where there is nothing to tell: the round is over, and nothing is due before the next.
        self.told = true;
        if self.health_checked.is_empty() {
            return None;
        }
        let row = |(server, (at, report)): (&u64, &(Micros, Vec<f32>))| {
            (*server, now - at, report.clone())
        };
        Some(LoadReports {
            columns: columns.to_vec(),
            reports: self.health_checked.iter().map(row).collect(),
        })
    }

    /// Why it is of no use to the fleet, by its own measure.
    pub fn failure(&self, now: Micros) -> Option<&'static str> {
        self.vain
            .filter(|since| now >= since + USELESS)
            .map(|_| "it reaches no backend of the zone")
    }

    /// When it has something to do next though nothing comes.
    pub fn next_tick(&self) -> Micros {
        self.began.map_or(0, |began| {
            began
                + if self.told {
                    ROUND
                } else {
                    ROUND_END.min(ROUND)
                }
        })
    }
}
