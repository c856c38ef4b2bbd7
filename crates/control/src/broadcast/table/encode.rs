//! Encoding of the changes of a table that a receiver lacks.

use super::changes::{encode_age, set_bit, Changes};
use super::{Table, Version};

/// Maximum number of versions from which encoded changes are cached.
pub(super) const MAX_CACHED_CHANGES: usize = 16;

impl Table {
    /// Encoded changes from a receiver's version to the current one; the whole table if the
    /// receiver's version is 0 or too old. The bytes are the same for all receivers: ages in them
    /// count back from [`Table::updated_at`], whose age is sent with them.
    pub fn changes(&mut self, from: Version) -> &[u8] {
        let is_available = from >= self.base.max(1) && from <= self.version;
        let wanted = if is_available { from } else { 0 };
        let start = if self.encoded.len() < MAX_CACHED_CHANGES {
            wanted
        } else {
            // The cache is full. Changes from an older version contain more than the receiver
            // lacks, but need not be encoded again.
            self.encoded
                .range(..=wanted)
                .next_back()
                .map_or(0, |(cached, _)| *cached)
        };
        if !self.encoded.contains_key(&start) {
            let bytes = self.encode(start);
            self.encoded.insert(start, bytes);
        }
        self.encoded.get(&start).map_or(&[], Vec::as_slice)
    }

    fn encode(&self, from: Version) -> Vec<u8> {
        let is_whole = from == 0;
        let first_added = if is_whole {
            0
        } else {
            self.rows.partition_point(|row| row.added_in <= from)
        };
        let mut changes = Changes {
            from,
            to: self.version,
            first_added: first_added as u32,
            ..Changes::default()
        };
        if is_whole {
            changes.columns = self.columns.clone();
        }
        changes.added = self.rows[first_added..]
            .iter()
            .map(|row| row.endpoint)
            .collect();
        let mut next_index = 0;
        let mut oldest_unchanged = self.updated_at;
        for (index, row) in self.rows.iter().enumerate() {
            let is_confirmed = row.confirmed_in == self.version;
            if is_whole || row.changed_in > from {
                changes.index_gaps.push((index - next_index) as u16);
                changes.ages.push(encode_age(self.updated_at, row.seen_at));
                changes.levels.extend(&row.levels);
                next_index = index + 1;
            } else if is_confirmed {
                oldest_unchanged = oldest_unchanged.min(row.seen_at);
            }
            if !is_confirmed {
                set_bit(&mut changes.missed, index);
            }
            if row.renewed_in == self.version && row.changed_in != self.version {
                set_bit(&mut changes.renewed, index);
            }
        }
        changes.unchanged_age = encode_age(self.updated_at, oldest_unchanged);
        postcard::to_allocvec(&changes).unwrap_or_default()
    }
}
