//! Changes of a table from one version to another, as encoded on the wire (postcard).

use super::Version;
use crate::broadcast::quantise::Level;
use crate::{max_elapsed, Micros};
use serde::{Deserialize, Serialize};

/// Unit of the ages in changes; ages are rounded up.
const AGE_UNIT: Micros = 5_000;
/// Encoded age that represents an age beyond the range.
const UNKNOWN_AGE: u16 = u16::MAX;

/// Changes from one version to another. The encoding has no names: the order of the fields is part
/// of the format.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Changes {
    /// Version that the changes start from; 0 for a whole table.
    pub from: Version,
    /// Version that the changes lead to.
    pub to: Version,
    /// Names of the columns; only in a whole table.
    pub columns: Vec<String>,
    /// Index of the first added row.
    pub first_added: u32,
    /// Endpoints of the added rows.
    pub added: Vec<u64>,
    /// For each changed row: its index minus the lowest possible one, which is 0 for the first row
    /// and otherwise the index after the previous changed row.
    pub index_gaps: Vec<u16>,
    /// For each changed row: its encoded age.
    pub ages: Vec<u16>,
    /// Levels of the changed rows, row by row.
    pub levels: Vec<Level>,
    /// Encoded age of the oldest unchanged row, not counting missed rows.
    pub unchanged_age: u16,
    /// Bitmap of the missed rows: those whose endpoints did not answer in this version.
    pub missed: Vec<u8>,
    /// Bitmap of the rows whose endpoints made a new report with unchanged levels.
    pub renewed: Vec<u8>,
}

impl Changes {
    /// Whether the changes contain the whole table.
    pub(super) fn is_whole(&self) -> bool {
        self.from == 0
    }

    /// Indexes of the changed rows, in ascending order.
    pub(super) fn changed_indexes(&self) -> Vec<usize> {
        let mut next = 0;
        let to_index = |gap: &u16| {
            let index = next + usize::from(*gap);
            next = index + 1;
            index
        };
        self.index_gaps.iter().map(to_index).collect()
    }
}

/// Decodes only the versions from and to which changes lead. Returns `None` if the bytes are
/// damaged.
pub fn versions(bytes: &[u8]) -> Option<(Version, Version)> {
    let (versions, _) = postcard::take_from_bytes(bytes).ok()?;
    Some(versions)
}

/// Encodes the age at `now` of a report that was seen at `seen_at`.
pub(super) fn encode_age(now: Micros, seen_at: Micros) -> u16 {
    let units = now.saturating_sub(seen_at).div_ceil(AGE_UNIT);
    u16::try_from(units).unwrap_or(UNKNOWN_AGE)
}

/// Earliest time at which a report with this encoded age was seen; 0 if its age is unknown. The age
/// was measured with another clock.
pub(super) fn decode_seen_at(now: Micros, age: u16) -> Micros {
    if age == UNKNOWN_AGE {
        return 0;
    }
    now.saturating_sub(max_elapsed(Micros::from(age) * AGE_UNIT))
}

pub(super) fn set_bit(bitmap: &mut Vec<u8>, index: usize) {
    if bitmap.len() <= index / 8 {
        bitmap.resize(index / 8 + 1, 0);
    }
    bitmap[index / 8] |= 1 << (index % 8);
}

pub(super) fn has_bit(bitmap: &[u8], index: usize) -> bool {
    bitmap
        .get(index / 8)
        .is_some_and(|byte| byte & 1 << (index % 8) != 0)
}
