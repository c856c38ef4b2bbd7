//! The stored form of a ledger: file name, format number, tables and keys.
//!
//! Every name here is on the disks of running relays: older builds wrote it and later builds read
//! it. Do not change any; a new meaning needs a new key, and an incompatible change a new
//! [`FORMAT`].

use super::error::StoreError;
use jaspermoor_control::log::storage::PersistBatch;
use redb::{ReadableTable, TableDefinition};

/// The file in the relay's ledger directory.
pub(super) const FILE_NAME: &str = "ledger.redb";
/// Format of the tables and of the values in them.
pub(super) const FORMAT: u8 = 3;

/// Single values by key; see [`key`].
pub(super) const VALUES: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("facts");
/// Entries of the replicated log by their index.
pub(super) const LOG_ENTRIES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("entries");

/// The table [`VALUES`], open for writing.
pub(super) type Values<'a> = redb::Table<'a, &'static str, &'static [u8]>;
/// The table [`LOG_ENTRIES`], open for writing.
pub(super) type LogEntries<'a> = redb::Table<'a, u64, &'static [u8]>;

/// Keys of [`VALUES`].
pub(super) mod key {
    /// One byte: [`FORMAT`](super::FORMAT).
    pub(crate) const FORMAT: &str = "format";
    /// Voter number and fleet id, as text, separated by a line feed.
    pub(crate) const OWNER: &str = "owner";
    /// Eight bytes, big endian: the random number that identifies a voter's disk.
    pub(crate) const INCARNATION: &str = "incarnation";
    /// Raft's hard state: term, vote and commit index.
    pub(crate) const HARD_STATE: &str = "vote";
    /// Raft's snapshot, in place of the entries before it.
    pub(crate) const SNAPSHOT: &str = "snapshot";
    /// The policy in force.
    pub(crate) const POLICY: &str = "policy";
    /// The proposal for which this relay has answered that it is prepared.
    pub(crate) const PREPARED: &str = "prepared";
    /// The latest known membership.
    pub(crate) const MEMBERSHIP: &str = "seats";
}

/// Writes a batch of Raft's log and state, as part of one transaction.
pub(super) fn write_log_batch(
    values: &mut Values<'_>,
    log_entries: &mut LogEntries<'_>,
    batch: &PersistBatch,
) -> Result<(), StoreError> {
    if let Some(hard_state) = &batch.hard_state {
        values.insert(key::HARD_STATE, hard_state.as_slice())?;
    }
    if let Some(snapshot) = &batch.snapshot {
        values.insert(key::SNAPSHOT, snapshot.as_slice())?;
        // A snapshot without a limit replaces the whole log.
        let compact_to = batch.compact_to.unwrap_or(u64::MAX);
        log_entries.retain(|index, _| index > compact_to)?;
    }
    // A new leader overwrites the log from its first entry on: older entries from there on are
    // void.
    if let Some((first_index, _)) = batch.entries.first() {
        log_entries.retain_in(*first_index.., |_, _| false)?;
    }
    for (index, entry) in &batch.entries {
        log_entries.insert(index, entry.as_slice())?;
    }
    Ok(())
}

/// All log entries, in the order of their indexes.
pub(super) fn read_log_entries(
    table: &impl ReadableTable<u64, &'static [u8]>,
) -> Result<Vec<Vec<u8>>, StoreError> {
    let mut log_entries = Vec::new();
    for entry in table.iter()? {
        let (_, bytes) = entry?;
        log_entries.push(bytes.value().to_vec());
    }
    Ok(log_entries)
}
