//! Load table: the loads of a zone's endpoints, as the owner of a load watch publishes them, with a
//! version.
//!
//! The owner updates the table with the load reports of each round ([`Table::update`]). Processes
//! exchange changes from one version to another ([`Table::changes`], [`Table::apply`]). Each row
//! records the version in which it last changed, so changes can be computed from any version that a
//! receiver has, without storing old tables. Rows are never moved or removed within a table, so a
//! row is identified by its index. A table with too many rows of lost endpoints is rebuilt, and
//! receivers with an older version get the whole table.
//!
//! Unchanged rows are not sent again: one age applies to all rows whose endpoints reported
//! unchanged levels, and a bitmap has the rows whose endpoints did not answer.
//!
//! Guards against: changes with a gap before them, changes that lead to an older version, changes
//! that do not fit the table, and understated ages (durations of another clock are lengthened by
//! the maximum drift, encoded ages are rounded up, and an age beyond their range is unknown).

mod apply;
mod changes;
mod encode;
mod update;

#[cfg(test)]
mod tests;

pub(super) use apply::Checks;
pub use apply::TableError;
pub use changes::versions;

use super::quantise::{load, Level};
use crate::jobs::assignment::FencingToken;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Version of a table, which grows with each round under one token. 0 means that there is no table.
pub type Version = u64;

/// Maximum number of rows of a table.
pub const MAX_ROWS: usize = 4_096;
/// Maximum number of columns of a table.
const MAX_COLUMNS: usize = 16;

/// Load of one endpoint as the owner received it. Serialized as the tuple (endpoint, age, values).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, Micros, Vec<f32>)", into = "(u64, Micros, Vec<f32>)")]
pub struct LoadReport {
    /// The endpoint's number.
    pub endpoint: u64,
    /// How long ago the endpoint reported, in microseconds.
    pub age: Micros,
    /// One value per column.
    pub values: Vec<f32>,
}

impl From<(u64, Micros, Vec<f32>)> for LoadReport {
    fn from((endpoint, age, values): (u64, Micros, Vec<f32>)) -> LoadReport {
        LoadReport {
            endpoint,
            age,
            values,
        }
    }
}

impl From<LoadReport> for (u64, Micros, Vec<f32>) {
    fn from(report: LoadReport) -> (u64, Micros, Vec<f32>) {
        (report.endpoint, report.age, report.values)
    }
}

/// Row of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The endpoint's number.
    pub endpoint: u64,
    /// Quantised values of the endpoint's load, one per column.
    pub levels: Vec<Level>,
    /// Earliest time, by the local clock, at which the load was reported.
    pub seen_at: Micros,
    /// Version in which the row was added.
    added_in: Version,
    /// Version in which the levels last changed.
    changed_in: Version,
    /// Latest version for which the endpoint answered.
    confirmed_in: Version,
    /// Version in which the endpoint last made a new report, whether the levels changed or not.
    renewed_in: Version,
    /// Whether [`Row::loads`] adds a small offset. Toggles with each new report of unchanged
    /// levels.
    is_offset: bool,
}

impl Row {
    fn new(endpoint: u64, levels: Vec<Level>, seen_at: Micros, version: Version) -> Row {
        Row {
            endpoint,
            levels,
            seen_at,
            added_in: version,
            changed_in: version,
            confirmed_in: version,
            renewed_in: version,
            is_offset: false,
        }
    }

    /// Loads that the levels represent. The decisions detect a new report by a different load, so
    /// every second report of the same levels is larger by a factor of one millionth.
    pub fn loads(&self) -> impl Iterator<Item = f32> + '_ {
        let factor = if self.is_offset { 1.0 + 1e-6 } else { 1.0 };
        self.levels.iter().map(move |level| load(*level) * factor)
    }
}

/// The load table of one zone, at its owner, at a voter or at a relay.
#[derive(Clone, Debug, Default)]
pub struct Table {
    token: FencingToken,
    version: Version,
    /// Oldest version from which changes can be computed.
    base: Version,
    columns: Vec<String>,
    rows: Vec<Row>,
    /// Index of each endpoint's row. Only maintained at the owner.
    row_indexes: BTreeMap<u64, usize>,
    /// Latest values that each endpoint reported, not quantised. Only maintained at the owner.
    raw_reports: BTreeMap<u64, Vec<f32>>,
    /// When this version was created, or earliest time at which it was sent, by the local clock.
    /// Encoded ages count back from it.
    updated_at: Micros,
    /// Cache of encoded changes to the current version, by the version that they start from.
    encoded: BTreeMap<Version, Vec<u8>>,
}

impl Table {
    /// Creates an empty table of an owner with this token.
    pub fn new(token: FencingToken) -> Table {
        Table {
            token,
            ..Table::default()
        }
    }

    /// Creates an empty table of an owner that may have published tables under this token before,
    /// up to this version, because it stopped when its lease expired and has resumed the job.
    pub fn continuing_after(token: FencingToken, version: Version) -> Table {
        Table {
            token,
            version,
            base: version + 1,
            ..Table::default()
        }
    }

    /// Fencing token of the owner.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Current version; 0 if there is no content yet.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Names of the columns.
    pub fn columns(&self) -> &[String] {
        &self.columns
    }

    /// All rows.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Rows whose endpoints answered for the current version.
    pub fn confirmed_rows(&self) -> impl Iterator<Item = &Row> {
        self.rows
            .iter()
            .filter(|row| row.confirmed_in == self.version)
    }

    /// When the current version was created, or earliest time at which it was sent, by the local
    /// clock.
    pub fn updated_at(&self) -> Micros {
        self.updated_at
    }

    /// Hash of the content without times, for the checkers.
    pub fn digest(&self) -> u64 {
        let content: Vec<(u64, &[Level])> = self
            .rows
            .iter()
            .map(|row| (row.endpoint, row.levels.as_slice()))
            .collect();
        xxhash_rust::xxh3::xxh3_64(&crate::wire::encode(&(&self.columns, content)))
    }
}
