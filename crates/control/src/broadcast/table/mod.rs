//! Load table: the loads of a zone's endpoints, as the owner of a load watch publishes them, with a version.
//!
//! Input at the owner: the load reports of each round ([`Table::update`]). Between processes: changes from one version to
//! another ([`Table::changes`], [`Table::apply`]). Each row knows the version in which it changed last, so changes can be
//! written from any version that a receiver has, and no old table is stored. Rows are never moved or removed within a
//! table, so a row is identified by its index. A table with too many rows of lost endpoints is rebuilt, and receivers of
//! an older version get the whole table.
//!
//! Unchanged rows are not sent again: one age confirms all rows that this version saw unchanged, and a bitmap names the
//! rows that it did not see.
//!
//! Guards against: changes that are applied with a gap before them, an older version after a newer one, changes that do
//! not fit the table, and ages that are understated (spans of another clock are lengthened, offsets are rounded up, and
//! an age beyond their range is unknown).

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

/// Version of a table; grows with each round under one token. 0 means that nothing is known.
pub type Version = u64;

/// Maximum number of rows of a table.
pub const MAX_ROWS: usize = 4_096;
/// Maximum number of columns of a table.
const MAX_COLUMNS: usize = 16;

/// Load of one endpoint as the owner saw it. Serialized as the tuple (endpoint, age, values).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, Micros, Vec<f32>)", into = "(u64, Micros, Vec<f32>)")]
pub struct LoadReport {
    /// The endpoint's number.
    pub endpoint: u64,
    /// How long ago the endpoint reported.
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
    /// Its quantised load, column by column.
    pub levels: Vec<Level>,
    /// Earliest time, by the local clock, at which the load was reported.
    pub seen_at: Micros,
    /// Version in which the row was added.
    added_in: Version,
    /// Version in which its levels changed last.
    changed_in: Version,
    /// Latest version that saw the endpoint.
    confirmed_in: Version,
    /// Version in which the endpoint made a new report last, whether its levels changed or not.
    renewed_in: Version,
    /// Toggles with each new report of unchanged levels; see [`Row::loads`].
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

    /// The loads that the levels stand for. The decisions recognise a new report by a different load, so a new report of
    /// the same levels differs by a millionth.
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
    /// Oldest version that changes can be written from.
    base: Version,
    columns: Vec<String>,
    rows: Vec<Row>,
    /// Index of each endpoint's row. Only the owner has it.
    row_indexes: BTreeMap<u64, usize>,
    /// Latest values that each endpoint reported, not quantised. Only the owner has them.
    raw_reports: BTreeMap<u64, Vec<f32>>,
    /// When this version was made or received, by the local clock. Ages count back from it.
    updated_at: Micros,
    /// Encoded changes to this version, by the version that they start from.
    encoded: BTreeMap<Version, Vec<u8>>,
}

impl Table {
    /// An empty table of an owner with this token.
    pub fn new(token: FencingToken) -> Table {
        Table {
            token,
            ..Table::default()
        }
    }

    /// An empty table of an owner that may have published others under this token, up to this version: it had the job
    /// before and lost it when its lease expired.
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

    /// Current version; 0 if nothing is known.
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

    /// Rows that the current version saw.
    pub fn confirmed_rows(&self) -> impl Iterator<Item = &Row> {
        self.rows
            .iter()
            .filter(|row| row.confirmed_in == self.version)
    }

    /// When the current version was made or received, by the local clock.
    pub fn updated_at(&self) -> Micros {
        self.updated_at
    }

    /// Hash of the content without its times, for the checkers.
    pub fn digest(&self) -> u64 {
        let content: Vec<(u64, &[Level])> = self
            .rows
            .iter()
            .map(|row| (row.endpoint, row.levels.as_slice()))
            .collect();
        xxhash_rust::xxh3::xxh3_64(&crate::wire::encode(&(&self.columns, content)))
    }
}
