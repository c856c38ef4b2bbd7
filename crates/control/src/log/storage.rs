//! What a voter has stored: the log's entries, its vote, and a snapshot that stands for the entries before them. Kept
//! in memory for the consensus library to read; every change goes out as [`PersistBatch`] for the disk, and comes back as a
//! [`PersistedLog`] at the next start.

use crate::log::membership::Membership;
use crate::log::state::FleetState;
use crate::wire;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};

/// What must be on the disk before anything that follows from it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistBatch {
    /// Term, vote and commit.
    pub hard_state: Option<Vec<u8>>,
    /// Replaces all entries, and what they stand for.
    pub snapshot: Option<Vec<u8>>,
    /// Entries from that index on; those that were there from it on are gone.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Entries up to this index are needless.
    pub compact_to: Option<u64>,
}

impl PersistBatch {
    /// Whether there is nothing to store.
    pub fn is_empty(&self) -> bool {
        *self == PersistBatch::default()
    }
}

/// What the disk gives back at a start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedLog {
    /// See [`PersistBatch`].
    pub hard_state: Option<Vec<u8>>,
    /// See [`PersistBatch`].
    pub snapshot: Option<Vec<u8>>,
    /// All entries, in their order.
    pub entries: Vec<Vec<u8>>,
}

/// Stored bytes that cannot be what was stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CorruptLog(pub &'static str);

/// See the module's text.
#[derive(Default)]
pub struct RaftLog {
    vote: HardState,
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

fn read<M: protobuf::Message>(bytes: &[u8], what: &'static str) -> Result<M, CorruptLog> {
    M::parse_from_bytes(bytes).map_err(|_| CorruptLog(what))
}

pub(crate) fn bytes(message: &impl protobuf::Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

impl RaftLog {
    /// The log of a new fleet with these voters.
    pub fn for_new_fleet(voters: &[u64]) -> RaftLog {
        let mut log = RaftLog::default();
        let meta = log.snapshot.mut_metadata();
        // The library takes an index of 0 for a voter that knows nothing yet.
        (meta.index, meta.term) = (1, 1);
        meta.set_conf_state(ConfState::from((voters.to_vec(), Vec::new())));
        let state = FleetState {
            membership: Membership::for_new_fleet(voters),
            ..FleetState::default()
        };
        log.snapshot.data = wire::encode(&state).into();
        (log.vote.term, log.vote.commit) = (1, 1);
        log
    }

    /// The log of a voter that joins a fleet: it knows nothing, and learns all from the leader.
    pub fn for_joining_voter() -> RaftLog {
        RaftLog::default()
    }

    /// The log as it was stored.
    pub fn restore(kept: &PersistedLog) -> Result<RaftLog, CorruptLog> {
        let mut log = RaftLog::default();
        if let Some(snapshot) = &kept.snapshot {
            log.snapshot = read(snapshot, "the snapshot cannot be read")?;
        }
        if let Some(vote) = &kept.hard_state {
            log.vote = read(vote, "the vote cannot be read")?;
        }
        for entry in &kept.entries {
            let entry: Entry = read(entry, "an entry of the log cannot be read")?;
            // What the snapshot stands for may be there still: a crash between the two steps.
            if entry.index <= log.base() {
                continue;
            }
            if entry.index != log.end() + 1 {
                return Err(CorruptLog("entries of the log are missing"));
            }
            log.entries.push(entry);
        }
        if kept.snapshot.is_none() {
            return Err(CorruptLog("there is no snapshot"));
        }
        if log.vote.commit > log.end() {
            return Err(CorruptLog(
                "entries that were answered for are missing at the end of the log",
            ));
        }
        log.vote.commit = log.vote.commit.max(log.base());
        Ok(log)
    }

    /// Lets a founder's first snapshot say who the others are.
    pub(crate) fn met(&mut self, state: Vec<u8>) -> PersistBatch {
        self.snapshot.data = state.into();
        PersistBatch {
            snapshot: Some(bytes(&self.snapshot)),
            compact_to: Some(self.base()),
            ..PersistBatch::default()
        }
    }

    /// All of it, as the first thing that is stored.
    pub fn persist_all(&self) -> PersistBatch {
        let entries = self.entries.iter().map(|e| (e.index, bytes(e))).collect();
        PersistBatch {
            hard_state: Some(bytes(&self.vote)),
            snapshot: Some(bytes(&self.snapshot)),
            entries,
            compact_to: None,
        }
    }

    fn base(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    fn end(&self) -> u64 {
        self.entries.last().map_or(self.base(), |e| e.index)
    }

    /// The state that its snapshot holds.
    pub fn state(&self) -> &[u8] {
        &self.snapshot.data
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn set_vote(&mut self, vote: &HardState) {
        self.vote = vote.clone();
    }

    pub(crate) fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        self.entries.retain(|e| e.index < first.index);
        self.entries.extend_from_slice(entries);
    }

    pub(crate) fn install(&mut self, snapshot: &Snapshot) {
        self.snapshot = snapshot.clone();
        let meta = snapshot.get_metadata();
        self.vote.term = self.vote.term.max(meta.term);
        self.vote.commit = self.vote.commit.max(meta.index);
        self.entries.clear();
    }

    /// Lets the state at an entry that is applied stand for all up to it.
    pub(crate) fn compact(&mut self, index: u64, conf: &ConfState, state: Vec<u8>) -> PersistBatch {
        let Ok(term) = self.term(index) else {
            return PersistBatch::default();
        };
        let meta = self.snapshot.mut_metadata();
        (meta.index, meta.term) = (index, term);
        meta.set_conf_state(conf.clone());
        self.snapshot.data = state.into();
        self.entries.retain(|e| e.index > index);
        PersistBatch {
            snapshot: Some(bytes(&self.snapshot)),
            compact_to: Some(index),
            ..PersistBatch::default()
        }
    }
}

impl Storage for RaftLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(
            self.vote.clone(),
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
        if low <= self.base() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let at = |index: u64| ((index - self.base() - 1) as usize).min(self.entries.len());
        let mut found = self.entries[at(low)..at(high)].to_vec();
        raft::util::limit_size(&mut found, max_size.into());
        Ok(found)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        match index.checked_sub(self.base()) {
            None => Err(Error::Store(StorageError::Compacted)),
            Some(0) => Ok(self.snapshot.get_metadata().term),
            Some(n) => match self.entries.get(n as usize - 1) {
                Some(entry) => Ok(entry.term),
                None => Err(Error::Store(StorageError::Unavailable)),
            },
        }
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.base() + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.end())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.base() < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
