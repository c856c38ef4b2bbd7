//! Raft log of one voter: its entries, its hard state, and the snapshot that replaces the entries
//! before them.
//!
//! The log is held in memory, where the raft library reads it. Every change is also returned as a
//! [`PersistBatch`] to be written to disk, and the disk's content is passed in as a
//! [`PersistedLog`] at the next start.
//!
//! Guards against: a disk that lost committed entries, has gaps or is damaged ([`RaftLog::restore`]
//! fails), and a crash between storing a snapshot and deleting the entries that it replaces (they
//! are skipped).

use crate::log::error::LogError;
use crate::log::membership::Membership;
use crate::log::state::FleetState;
use crate::wire;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};

/// Index and term of a new fleet's first snapshot. To the raft library, index 0 means a voter whose
/// log is empty.
const FIRST_INDEX: u64 = 1;
const FIRST_TERM: u64 = 1;

/// Changes of the log that must be durable before the messages that depend on them are sent. Values
/// of the raft library are encoded as protocol buffers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistBatch {
    /// Term, vote and commit index, which replace the stored ones.
    pub hard_state: Option<Vec<u8>>,
    /// Snapshot that replaces the stored one. Without `compact_to` it also replaces all entries.
    pub snapshot: Option<Vec<u8>>,
    /// Entries with their indices, in ascending order. Stored entries with the first of these
    /// indices or a higher one are deleted.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Stored entries up to and including this index may be deleted.
    pub compact_to: Option<u64>,
}

impl PersistBatch {
    /// Whether there is nothing to store.
    pub fn is_empty(&self) -> bool {
        *self == PersistBatch::default()
    }
}

/// The stored log, as read from disk at a start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedLog {
    /// See [`PersistBatch::hard_state`].
    pub hard_state: Option<Vec<u8>>,
    /// See [`PersistBatch::snapshot`].
    pub snapshot: Option<Vec<u8>>,
    /// All entries, in ascending order of their indices.
    pub entries: Vec<Vec<u8>>,
}

/// Log of one voter in memory. Implements the storage interface of the raft library.
#[derive(Default)]
pub struct RaftLog {
    hard_state: HardState,
    snapshot: Snapshot,
    /// Entries after the snapshot, without gaps.
    entries: Vec<Entry>,
}

fn from_bytes<M: protobuf::Message>(bytes: &[u8], error: LogError) -> Result<M, LogError> {
    M::parse_from_bytes(bytes).map_err(|_| error)
}

/// Encodes a value of the raft library for the disk or the wire.
pub(crate) fn to_bytes(message: &impl protobuf::Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

impl RaftLog {
    /// Creates the log of a new fleet with these voters.
    pub fn for_new_fleet(voters: &[u64]) -> RaftLog {
        let state = FleetState {
            membership: Membership::for_new_fleet(voters),
            ..FleetState::default()
        };
        let mut log = RaftLog::default();
        log.snapshot.data = wire::encode(&state).into();
        let metadata = log.snapshot.mut_metadata();
        metadata.index = FIRST_INDEX;
        metadata.term = FIRST_TERM;
        metadata.set_conf_state(ConfState::from((voters.to_vec(), Vec::new())));
        log.hard_state.term = FIRST_TERM;
        log.hard_state.commit = FIRST_INDEX;
        log
    }

    /// Creates the log of a voter that joins a fleet. It is empty; the leader sends the content.
    pub fn for_joining_voter() -> RaftLog {
        RaftLog::default()
    }

    /// Restores the stored log. Fails if a part of it is damaged or missing.
    pub fn restore(stored: &PersistedLog) -> Result<RaftLog, LogError> {
        let mut log = RaftLog::default();
        if let Some(snapshot) = &stored.snapshot {
            log.snapshot = from_bytes(snapshot, LogError::UnreadableSnapshot)?;
        }
        if let Some(hard_state) = &stored.hard_state {
            log.hard_state = from_bytes(hard_state, LogError::UnreadableHardState)?;
        }
        for entry in &stored.entries {
            let entry: Entry = from_bytes(entry, LogError::UnreadableEntry)?;
            // A crash right after storing the snapshot leaves entries that the snapshot replaces.
            if entry.index <= log.snapshot_index() {
                continue;
            }
            if entry.index != log.end_index() + 1 {
                return Err(LogError::MissingEntries);
            }
            log.entries.push(entry);
        }
        if stored.snapshot.is_none() {
            return Err(LogError::MissingSnapshot);
        }
        if log.hard_state.commit > log.end_index() {
            return Err(LogError::MissingCommittedEntries);
        }
        log.hard_state.commit = log.hard_state.commit.max(log.snapshot_index());
        Ok(log)
    }

    /// Replaces the state in a founder's first snapshot when the founding is complete.
    pub(crate) fn replace_founding_state(&mut self, state: Vec<u8>) -> PersistBatch {
        self.snapshot.data = state.into();
        PersistBatch {
            snapshot: Some(to_bytes(&self.snapshot)),
            compact_to: Some(self.snapshot_index()),
            ..PersistBatch::default()
        }
    }

    /// The complete log as a batch, for the first write to a new disk.
    pub fn persist_all(&self) -> PersistBatch {
        let entries = self.entries.iter();
        PersistBatch {
            hard_state: Some(to_bytes(&self.hard_state)),
            snapshot: Some(to_bytes(&self.snapshot)),
            entries: entries
                .map(|entry| (entry.index, to_bytes(entry)))
                .collect(),
            compact_to: None,
        }
    }

    /// Index of the last entry that the snapshot replaces.
    fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    /// Index of the last entry of the log.
    fn end_index(&self) -> u64 {
        self.entries
            .last()
            .map_or(self.snapshot_index(), |entry| entry.index)
    }

    /// Encoded state in the snapshot; empty for a voter that joins.
    pub fn state(&self) -> &[u8] {
        &self.snapshot.data
    }

    /// Number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries after the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
    }

    /// Appends entries. Existing entries with the first one's index or a higher one are deleted.
    pub(crate) fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        self.entries.retain(|entry| entry.index < first.index);
        self.entries.extend_from_slice(entries);
    }

    /// Replaces the whole log with a snapshot of the leader.
    pub(crate) fn install(&mut self, snapshot: &Snapshot) {
        self.snapshot = snapshot.clone();
        let metadata = snapshot.get_metadata();
        self.hard_state.term = self.hard_state.term.max(metadata.term);
        self.hard_state.commit = self.hard_state.commit.max(metadata.index);
        self.entries.clear();
    }

    /// Replaces the entries up to and including `index`, which must be applied, with a snapshot of
    /// this state. Returns an empty batch if the entry is not in the log.
    pub(crate) fn compact(
        &mut self,
        index: u64,
        voters: &ConfState,
        state: Vec<u8>,
    ) -> PersistBatch {
        let Ok(term) = self.term(index) else {
            return PersistBatch::default();
        };
        let metadata = self.snapshot.mut_metadata();
        metadata.index = index;
        metadata.term = term;
        metadata.set_conf_state(voters.clone());
        self.snapshot.data = state.into();
        self.entries.retain(|entry| entry.index > index);
        PersistBatch {
            snapshot: Some(to_bytes(&self.snapshot)),
            compact_to: Some(index),
            ..PersistBatch::default()
        }
    }
}

impl Storage for RaftLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(
            self.hard_state.clone(),
            self.snapshot.get_metadata().get_conf_state().clone(),
        ))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.snapshot_index() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let position =
            |index: u64| ((index - self.snapshot_index() - 1) as usize).min(self.entries.len());
        let mut entries = self.entries[position(low)..position(high)].to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        match index.checked_sub(self.snapshot_index()) {
            None => Err(Error::Store(StorageError::Compacted)),
            Some(0) => Ok(self.snapshot.get_metadata().term),
            Some(distance) => match self.entries.get(distance as usize - 1) {
                Some(entry) => Ok(entry.term),
                None => Err(Error::Store(StorageError::Unavailable)),
            },
        }
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot_index() + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.end_index())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot_index() < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
