//! Update of a table by its owner: adds the load reports of a round, and removes lost endpoints.

use super::{LoadReport, Row, Table, MAX_COLUMNS, MAX_ROWS};
use crate::broadcast::quantise::{level, Level};
use crate::Micros;

/// An endpoint that has not reported for this time counts as lost. Its row is removed when the
/// table is rebuilt.
pub(super) const LOST_ENDPOINT_TIMEOUT: Micros = 30_000_000;

impl Table {
    /// Creates the next version from the reports of a round that has ended. If the columns differ
    /// from the previous ones, all rows are removed first. Reports with an invalid load or a wrong
    /// number of values are ignored.
    pub fn update(&mut self, now: Micros, columns: &[String], reports: &[LoadReport]) {
        self.version += 1;
        self.updated_at = now;
        self.encoded.clear();
        if self.columns != columns || self.has_many_lost_rows(now) {
            self.rebuild(now, columns);
        }
        for report in reports {
            let levels: Option<Vec<Level>> =
                report.values.iter().map(|value| level(*value)).collect();
            let Some(levels) = levels.filter(|levels| levels.len() == self.columns.len()) else {
                continue;
            };
            let previous = self
                .raw_reports
                .insert(report.endpoint, report.values.clone());
            let is_new_report = previous.is_none_or(|previous| previous != report.values);
            let seen_at = now.saturating_sub(report.age);
            self.set_row(report.endpoint, levels, seen_at, is_new_report);
        }
    }

    fn set_row(&mut self, endpoint: u64, levels: Vec<Level>, seen_at: Micros, is_new_report: bool) {
        let version = self.version;
        let Some(index) = self.row_indexes.get(&endpoint).copied() else {
            if self.rows.len() < MAX_ROWS {
                self.row_indexes.insert(endpoint, self.rows.len());
                self.rows.push(Row::new(endpoint, levels, seen_at, version));
            }
            return;
        };
        let Some(row) = self.rows.get_mut(index) else {
            return;
        };
        if row.levels != levels {
            row.levels = levels;
            row.changed_in = version;
        }
        if is_new_report {
            row.renewed_in = version;
            row.is_offset = !row.is_offset;
        }
        row.seen_at = seen_at;
        row.confirmed_in = version;
    }

    /// Whether at least a quarter of the rows, or any rows of a full table, belong to lost
    /// endpoints.
    fn has_many_lost_rows(&self, now: Micros) -> bool {
        let is_lost = |row: &&Row| now >= row.seen_at + LOST_ENDPOINT_TIMEOUT;
        let lost_count = self.rows.iter().filter(is_lost).count();
        let is_full = self.rows.len() >= MAX_ROWS;
        lost_count > 0 && (lost_count * 4 >= self.rows.len() || is_full)
    }

    /// Removes the rows of lost endpoints, and all rows if the columns differ. Receivers with older
    /// versions get the whole table.
    fn rebuild(&mut self, now: Micros, columns: &[String]) {
        self.base = self.version;
        if self.columns != columns {
            self.columns = columns[..columns.len().min(MAX_COLUMNS)].to_vec();
            self.rows.clear();
        }
        self.rows
            .retain(|row| now < row.seen_at + LOST_ENDPOINT_TIMEOUT);
        self.row_indexes = self
            .rows
            .iter()
            .enumerate()
            .map(|(index, row)| (row.endpoint, index))
            .collect();
        let row_indexes = &self.row_indexes;
        self.raw_reports
            .retain(|endpoint, _| row_indexes.contains_key(endpoint));
    }
}
