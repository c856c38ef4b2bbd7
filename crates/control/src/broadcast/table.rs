//! What the owner of a load watch tells, as a table of backends with a version, and the changes from one version to
//! another.
//!
//! Each row knows the version in which it changed last, so changes can be written from any version that a receiver has;
//! no old table is kept. Rows are never moved or taken out within a table, so a row is named by its place; a table that
//! has too many rows of backends that are gone is begun anew, and whoever has an older version is sent the whole one.
//!
//! What has not changed is not sent again: one span of time confirms all rows that were seen unchanged in this version,
//! and names those that were not.
//!
//! Guards against: changes that are applied without those before them (`from` must not be newer than what the receiver
//! has), an older version after a newer one, rows that do not fit, and ages that come out too young (spans of another
//! clock are lengthened, offsets are rounded up, and what is beyond their range has no time at all).

use super::quantise::{level, load, Level};
use crate::jobs::assignment::FencingToken;
use crate::{max_elapsed, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Counts what an owner has told under one token; zero is no version.
pub type Version = u64;

/// Offsets of time are told in such steps, rounded up.
const STEP: Micros = 5_000;
/// The offset that stands for "longer ago than can be told".
const UNKNOWN: u16 = u16::MAX;
/// Rows of a table, and columns of a row, at most.
pub const MOST_ROWS: usize = 4_096;
const MOST_COLUMNS: usize = 16;
/// A row whose backend has not answered for so long is given up when the table is begun anew.
const LOST: Micros = 30_000_000;
/// Changes that are kept encoded, from as many versions.
const ENCODED: usize = 16;

/// A backend's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The backend's number.
    pub backend: u64,
    /// Its load, column by column.
    pub levels: Vec<Level>,
    /// When that was true, at the earliest, by the clock of whoever keeps the table.
    pub seen: Micros,
    /// The version that it came with.
    added: Version,
    /// The version in which its levels changed last.
    changed: Version,
    /// The version that saw it last.
    confirmed: Version,
    /// The version in which its backend made a new report last, whatever levels that had.
    renewed: Version,
    /// Whether its backend made an odd number of new reports: decisions take a load that differs for a new report.
    odd: bool,
}

impl Row {
    fn new(backend: u64, levels: Vec<Level>, seen: Micros, version: Version) -> Row {
        let (added, changed, confirmed, renewed) = (version, version, version, version);
        Row {
            backend,
            levels,
            seen,
            added,
            changed,
            confirmed,
            renewed,
            odd: false,
        }
    }

    /// The loads that its levels stand for. A new report of the same levels differs by a millionth part.
    pub fn loads(&self) -> impl Iterator<Item = f32> + '_ {
        let factor = if self.odd { 1.0 + 1e-6 } else { 1.0 };
        self.levels.iter().map(move |level| load(*level) * factor)
    }
}

/// See the module's text.
#[derive(Clone, Debug, Default)]
pub struct Table {
    token: FencingToken,
    version: Version,
    /// The oldest version that changes can be written from.
    base: Version,
    columns: Vec<String>,
    rows: Vec<Row>,
    /// Where each backend's row is: kept by the owner alone.
    places: BTreeMap<u64, usize>,
    /// The raw reports that were seen last: kept by the owner alone.
    reports: BTreeMap<u64, Vec<f32>>,
    /// When its version was made or taken, by the clock of whoever keeps it: offsets count from there.
    at: Micros,
    encoded: BTreeMap<Version, Vec<u8>>,
}

/// Changes from one version to another, as they are sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Changes {
    /// The version that they start from; zero where they are the whole table.
    from: Version,
    /// The version that they lead to.
    to: Version,
    /// The columns' names, with a whole table.
    columns: Vec<String>,
    /// The place of the first backend that was added, and the added ones.
    first: u32,
    added: Vec<u64>,
    /// Changed rows: by how much their place exceeds that of the one before; how long ago they were seen; their levels,
    /// row after row.
    gaps: Vec<u16>,
    offsets: Vec<u16>,
    levels: Vec<Level>,
    /// How long ago rows that did not change were seen at the earliest, but for those that were missed.
    confirmed: u16,
    /// Bits of the rows that this version did not see, and of those whose report was new though it changed nothing.
    missed: Vec<u8>,
    renewed: Vec<u8>,
}

/// Why changes could not be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableError {
    /// The receiver has that version, or a newer one.
    Old,
    /// The receiver lacks a version before: it must ask for the whole table.
    Gap,
    /// They are no changes of this table.
    Damaged,
}

/// A backend's report as the owner saw it: its number, how long ago, and its columns.
pub type Report = (u64, Micros, Vec<f32>);

impl Table {
    /// A table that nothing is known of.
    pub fn new(token: FencingToken) -> Table {
        Table {
            token,
            ..Table::default()
        }
    }

    /// A new table of an owner that may have told others under this token, up to this version: it had the job before, and
    /// its lease ran out meanwhile.
    pub fn after(token: FencingToken, version: Version) -> Table {
        Table {
            token,
            version,
            base: version + 1,
            ..Table::default()
        }
    }

    /// The token of its owner.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Its version; zero where nothing is known.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The names of its columns.
    pub fn columns(&self) -> &[String] {
        &self.columns
    }

    /// Its rows.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Rows that its version has seen.
    pub fn confirmed(&self) -> impl Iterator<Item = &Row> {
        self.rows.iter().filter(|row| row.confirmed == self.version)
    }

    /// When its version was made or taken.
    pub fn at(&self) -> Micros {
        self.at
    }

    /// A number that tells tables of different content apart, whatever their times: for the checkers.
    pub fn digest(&self) -> u64 {
        let content: Vec<(u64, &[Level])> = self
            .rows
            .iter()
            .map(|row| (row.backend, row.levels.as_slice()))
            .collect();
        xxhash_rust::xxh3::xxh3_64(&crate::wire::encode(&(&self.columns, content)))
    }

    /// The owner has ended a round: these have answered.
    pub fn update(&mut self, now: Micros, columns: &[String], reports: &[Report]) {
        self.version += 1;
        self.at = now;
        self.encoded.clear();
        if self.columns != columns || self.has_many_lost(now) {
            self.begin_anew(now, columns);
        }
        for (backend, age, report) in reports {
            let levels: Option<Vec<Level>> = report.iter().map(|load| level(*load)).collect();
            let Some(levels) = levels.filter(|levels| levels.len() == self.columns.len()) else {
                continue;
            };
            let renewed = self
                .reports
                .insert(*backend, report.clone())
                .is_none_or(|old| old != *report);
            self.set(*backend, levels, now.saturating_sub(*age), renewed);
        }
    }

    fn set(&mut self, backend: u64, levels: Vec<Level>, seen: Micros, renewed: bool) {
        let version = self.version;
        if !self.places.contains_key(&backend) {
            if self.rows.len() >= MOST_ROWS {
                return;
            }
            self.places.insert(backend, self.rows.len());
            self.rows.push(Row::new(backend, levels, seen, version));
            return;
        }
        let Some(row) = self
            .places
            .get(&backend)
            .and_then(|place| self.rows.get_mut(*place))
        else {
            return;
        };
        if row.levels != levels {
            (row.levels, row.changed) = (levels, version);
        }
        if renewed {
            (row.renewed, row.odd) = (version, !row.odd);
        }
        (row.seen, row.confirmed) = (seen, version);
    }

    fn has_many_lost(&self, now: Micros) -> bool {
        let lost = self
            .rows
            .iter()
            .filter(|row| now >= row.seen + LOST)
            .count();
        lost > 0 && (lost * 4 >= self.rows.len() || self.rows.len() >= MOST_ROWS)
    }

    fn begin_anew(&mut self, now: Micros, columns: &[String]) {
        self.base = self.version;
        if self.columns != columns {
            self.columns = columns[..columns.len().min(MOST_COLUMNS)].to_vec();
            self.rows.clear();
        }
        self.rows.retain(|row| now < row.seen + LOST);
        self.places = self
            .rows
            .iter()
            .enumerate()
            .map(|(place, row)| (row.backend, place))
            .collect();
        let places = &self.places;
        self.reports
            .retain(|backend, _| places.contains_key(backend));
    }

    /// Changes from a version that a receiver has; the whole table for one that has none, or too old a one. The same bytes
    /// for all receivers: how old they are is told beside them, from [`Table::at`] on.
    pub fn changes(&mut self, from: Version) -> &[u8] {
        let known = from >= self.base.max(1) && from <= self.version;
        let from = if known { from } else { 0 };
        // Where receivers have many versions, some are sent more than they lack.
        let kept = if self.encoded.len() >= ENCODED {
            self.encoded
                .range(..=from)
                .next_back()
                .map_or(0, |(kept, _)| *kept)
        } else {
            from
        };
        if !self.encoded.contains_key(&kept) {
            let bytes = self.encode(kept);
            self.encoded.insert(kept, bytes);
        }
        self.encoded.get(&kept).map_or(&[], Vec::as_slice)
    }

    fn encode(&self, from: Version) -> Vec<u8> {
        let whole = from == 0;
        let mut changes = Changes {
            from,
            to: self.version,
            ..Changes::default()
        };
        if whole {
            changes.columns = self.columns.clone();
        }
        let known = if whole {
            0
        } else {
            self.rows.partition_point(|row| row.added <= from)
        };
        changes.first = known as u32;
        changes.added = self
            .rows
            .iter()
            .skip(known)
            .map(|row| row.backend)
            .collect();
        let mut next = 0;
        let mut oldest = self.at;
        for (place, row) in self.rows.iter().enumerate() {
            if whole || row.changed > from {
                changes.gaps.push((place - next) as u16);
                changes.offsets.push(self.offset(row.seen));
                changes.levels.extend(&row.levels);
                next = place + 1;
            } else if row.confirmed == self.version {
                oldest = oldest.min(row.seen);
            }
            if row.confirmed != self.version {
                set_bit(&mut changes.missed, place);
            }
            if row.renewed == self.version && row.changed != self.version {
                set_bit(&mut changes.renewed, place);
            }
        }
        changes.confirmed = self.offset(oldest);
        postcard::to_allocvec(&changes).unwrap_or_default()
    }

    fn offset(&self, seen: Micros) -> u16 {
        let steps = self.at.saturating_sub(seen).div_ceil(STEP);
        u16::try_from(steps).unwrap_or(UNKNOWN)
    }
}

impl Table {
    /// Takes changes that were sent at `sent`, at the earliest, by the own clock.
    pub fn apply(&mut self, sent: Micros, bytes: &[u8]) -> Result<(), TableError> {
        self.apply_checked(sent, bytes, Checks::ALL)
    }

    /// The same with some checks only.
    pub(super) fn apply_checked(
        &mut self,
        sent: Micros,
        bytes: &[u8],
        checks: Checks,
    ) -> Result<(), TableError> {
        let changes: Changes = postcard::from_bytes(bytes).map_err(|_| TableError::Damaged)?;
        if checks.old && changes.to <= self.version {
            return Err(TableError::Old);
        }
        let whole = changes.from == 0;
        if checks.gap && !whole && changes.from > self.version {
            return Err(TableError::Gap);
        }
        let places = changes.places();
        self.fits(&changes, &places)?;
        if whole {
            (self.columns, self.base) = (changes.columns.clone(), changes.to);
            self.rows.clear();
        }
        let known = self.rows.len().saturating_sub(changes.first as usize);
        let new = |backend: &u64| Row::new(*backend, Vec::new(), 0, changes.to);
        self.rows.extend(changes.added.iter().skip(known).map(new));
        (self.version, self.at) = (changes.to, sent);
        self.encoded.clear();
        self.confirm(&changes, &places);
        self.change(&changes, &places);
        Ok(())
    }

    /// Whether changes can be those of this table.
    fn fits(&self, changes: &Changes, places: &[usize]) -> Result<(), TableError> {
        let whole = changes.from == 0;
        let (rows, columns) = if whole {
            (0, changes.columns.len())
        } else {
            (self.rows.len(), self.columns.len())
        };
        let first = changes.first as usize;
        let all = rows.max(first + changes.added.len());
        let known = self
            .rows
            .iter()
            .skip(first)
            .take(if whole { 0 } else { rows });
        let same = known
            .zip(&changes.added)
            .all(|(row, backend)| row.backend == *backend);
        let has_levels =
            changes.levels.len() == places.len() * columns && changes.offsets.len() == places.len();
        let new_have_levels = places.iter().filter(|place| **place >= rows).count() == all - rows;
        let in_range =
            first <= rows && all <= MOST_ROWS && places.last().is_none_or(|last| *last < all);
        let fits = same && has_levels && new_have_levels && in_range && columns <= MOST_COLUMNS;
        fits.then_some(()).ok_or(TableError::Damaged)
    }

    /// Rows that were seen unchanged, and those that were missed.
    fn confirm(&mut self, changes: &Changes, places: &[usize]) {
        let seen = seen(self.at, changes.confirmed);
        let mut changed = places.iter().copied().peekable();
        for (place, row) in self.rows.iter_mut().enumerate() {
            let is_changed = changed.next_if_eq(&place).is_some();
            if has_bit(&changes.missed, place) {
                continue;
            }
            row.confirmed = changes.to;
            if !is_changed {
                row.seen = row.seen.max(seen);
            }
            if has_bit(&changes.renewed, place) {
                (row.renewed, row.odd) = (changes.to, !row.odd);
            }
        }
    }

    fn change(&mut self, changes: &Changes, places: &[usize]) {
        let columns = self.columns.len();
        for (n, place) in places.iter().enumerate() {
            let Some(row) = self.rows.get_mut(*place) else {
                continue;
            };
            row.levels = changes.levels[n * columns..(n + 1) * columns].to_vec();
            (row.changed, row.renewed, row.odd) = (changes.to, changes.to, false);
            row.seen = seen(self.at, changes.offsets[n]);
        }
    }
}

/// Which checks are made of the versions: all of them, but in tests of the checkers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Checks {
    /// That they lead to a newer one.
    pub old: bool,
    /// That none is missing before them.
    pub gap: bool,
}

impl Checks {
    /// All of them.
    pub const ALL: Checks = Checks {
        old: true,
        gap: true,
    };
}

impl Changes {
    /// The places of the changed rows, which grow.
    fn places(&self) -> Vec<usize> {
        let mut next = 0;
        let place = |gap: &u16| {
            let place = next + usize::from(*gap);
            next = place + 1;
            place
        };
        self.gaps.iter().map(place).collect()
    }
}

/// Reads which versions changes lead from and to, without the rest.
pub fn versions(bytes: &[u8]) -> Option<(Version, Version)> {
    let (versions, _) = postcard::take_from_bytes(bytes).ok()?;
    Some(versions)
}

/// When something was seen, at the earliest, that was told with that offset.
fn seen(at: Micros, offset: u16) -> Micros {
    if offset == UNKNOWN {
        return 0;
    }
    at.saturating_sub(max_elapsed(Micros::from(offset) * STEP))
}

fn set_bit(bits: &mut Vec<u8>, place: usize) {
    if bits.len() <= place / 8 {
        bits.resize(place / 8 + 1, 0);
    }
    bits[place / 8] |= 1 << (place % 8);
}

fn has_bit(bits: &[u8], place: usize) -> bool {
    bits.get(place / 8)
        .is_some_and(|byte| byte & 1 << (place % 8) != 0)
}
