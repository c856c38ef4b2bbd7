//! Application of received changes to a table, after checks that they fit it.

use super::changes::{decode_seen_at, has_bit, Changes};
use super::{Row, Table, MAX_COLUMNS, MAX_ROWS};
use crate::Micros;

/// Error when changes cannot be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableError {
    /// The receiver already has the version that the changes lead to, or a newer one.
    Old,
    /// The receiver lacks the version that the changes start from. It must report its version to be
    /// sent other changes.
    Gap,
    /// The changes cannot be decoded or do not fit the table.
    Damaged,
}

/// Checks of versions before changes are applied. Only injected bugs leave a check out.
#[derive(Clone, Copy, Debug)]
pub(in crate::broadcast) struct Checks {
    /// Reject changes that lead to no newer version.
    pub old: bool,
    /// Reject changes that start from a version that the receiver lacks.
    pub gap: bool,
}

impl Checks {
    /// All checks.
    pub(crate) const ALL: Checks = Checks {
        old: true,
        gap: true,
    };
}

impl Table {
    /// Applies changes. `sent_at` is the earliest time, by the local clock, at which they were
    /// sent. After an error the table is unchanged.
    pub fn apply(&mut self, sent_at: Micros, bytes: &[u8]) -> Result<(), TableError> {
        self.apply_checked(sent_at, bytes, Checks::ALL)
    }

    /// Like [`Table::apply`], with only some of the checks.
    pub(in crate::broadcast) fn apply_checked(
        &mut self,
        sent_at: Micros,
        bytes: &[u8],
        checks: Checks,
    ) -> Result<(), TableError> {
        let changes: Changes = postcard::from_bytes(bytes).map_err(|_| TableError::Damaged)?;
        if checks.old && changes.to <= self.version {
            return Err(TableError::Old);
        }
        if checks.gap && !changes.is_whole() && changes.from > self.version {
            return Err(TableError::Gap);
        }
        let changed_indexes = changes.changed_indexes();
        if !self.fits(&changes, &changed_indexes) {
            return Err(TableError::Damaged);
        }
        if changes.is_whole() {
            self.columns = changes.columns.clone();
            self.base = changes.to;
            self.rows.clear();
        }
        let already_added = self.rows.len().saturating_sub(changes.first_added as usize);
        let new_row = |endpoint: &u64| Row::new(*endpoint, Vec::new(), 0, changes.to);
        self.rows
            .extend(changes.added.iter().skip(already_added).map(new_row));
        self.version = changes.to;
        self.updated_at = sent_at;
        self.encoded.clear();
        self.apply_confirmations(&changes, &changed_indexes);
        self.apply_levels(&changes, &changed_indexes);
        Ok(())
    }

    /// Whether the changes are consistent with this table.
    fn fits(&self, changes: &Changes, changed_indexes: &[usize]) -> bool {
        let (row_count, column_count) = if changes.is_whole() {
            (0, changes.columns.len())
        } else {
            (self.rows.len(), self.columns.len())
        };
        let first_added = changes.first_added as usize;
        let new_row_count = row_count.max(first_added + changes.added.len());
        let known_rows = self.rows.iter().skip(first_added).take(row_count);
        let has_same_endpoints = known_rows
            .zip(&changes.added)
            .all(|(row, endpoint)| row.endpoint == *endpoint);
        let has_all_levels = changes.levels.len() == changed_indexes.len() * column_count
            && changes.ages.len() == changed_indexes.len();
        let changed_new_rows = changed_indexes
            .iter()
            .filter(|index| **index >= row_count)
            .count();
        let new_rows_have_levels = changed_new_rows == new_row_count - row_count;
        let is_in_range = first_added <= row_count
            && new_row_count <= MAX_ROWS
            && column_count <= MAX_COLUMNS
            && changed_indexes
                .last()
                .is_none_or(|last| *last < new_row_count);
        has_same_endpoints && has_all_levels && new_rows_have_levels && is_in_range
    }

    /// Updates the rows that the new version confirms: the time of unchanged rows, and whether the
    /// endpoint made a new report.
    fn apply_confirmations(&mut self, changes: &Changes, changed_indexes: &[usize]) {
        let unchanged_seen_at = decode_seen_at(self.updated_at, changes.unchanged_age);
        let mut changed = changed_indexes.iter().copied().peekable();
        for (index, row) in self.rows.iter_mut().enumerate() {
            let is_changed = changed.next_if_eq(&index).is_some();
            if has_bit(&changes.missed, index) {
                continue;
            }
            row.confirmed_in = changes.to;
            if !is_changed {
                row.seen_at = row.seen_at.max(unchanged_seen_at);
            }
            if has_bit(&changes.renewed, index) {
                row.renewed_in = changes.to;
                row.is_offset = !row.is_offset;
            }
        }
    }

    /// Sets the levels and times of the changed rows.
    fn apply_levels(&mut self, changes: &Changes, changed_indexes: &[usize]) {
        let column_count = self.columns.len();
        for (position, index) in changed_indexes.iter().enumerate() {
            let Some(row) = self.rows.get_mut(*index) else {
                continue;
            };
            let first_level = position * column_count;
            row.levels = changes.levels[first_level..first_level + column_count].to_vec();
            row.changed_in = changes.to;
            row.renewed_in = changes.to;
            row.is_offset = false;
            row.seen_at = decode_seen_at(self.updated_at, changes.ages[position]);
        }
    }
}
