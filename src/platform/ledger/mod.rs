//! The durable state of a relay in a fleet: the policy in force, a prepared proposal, the latest
//! membership and, for a voter, its replicated log and vote. One file; each method that writes is
//! one transaction, synced before it returns.
//!
//! Order of the writes:
//!
//! - [`Ledger::persist_log`] before any message of the voter that follows from the batch is sent
//!   (Raft's rule: a vote or an acknowledgement that a crash could undo must not be sent).
//! - [`Ledger::save_prepared`] before the relay answers that it is prepared for the proposal.
//! - [`Ledger::save_policy`] before clients are admitted under the policy. A relay that cannot save
//!   it continues nevertheless: after a restart it needs a lease, and with it gets the fleet's
//!   policy, unless it is configured to serve without a leader.
//! - [`Ledger::save_membership`] whenever the membership changes: after a restart the operator file
//!   may name no voter that is still a member.
//!
//! Guards against: a voter that lost its disk and returns under its old number without its vote
//! (its ledger must be created explicitly, by `fleet init` or `fleet join`); a ledger of another
//! fleet or relay; and a file that is damaged or of another format (it is refused with a remedy,
//! and nothing is overwritten).

#![warn(unreachable_pub, rust_2018_idioms)]
#![warn(clippy::too_many_lines, clippy::many_single_char_names)]

mod error;
mod schema;
mod store;
#[cfg(test)]
mod tests;

pub use error::{LedgerError, LedgerErrorCause};

use jaspermoor_control::log::membership::Membership;
use jaspermoor_control::log::state::{Policy, Proposal};
use jaspermoor_control::log::storage::{PersistBatch, PersistedLog, RaftLog};
use jaspermoor_control::wire;
use schema::{key, FILE_NAME};
use std::path::Path;
use store::{Store, WriteStep};

/// The number that [`Owner::voter`] has for a relay without a vote.
const NO_VOTER: u64 = 0;

/// The relay that a ledger belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The fleet's id.
    pub fleet: String,
    /// The voter's number; 0 for a relay without a vote.
    pub voter: u64,
}

impl Owner {
    /// The stored form.
    fn to_bytes(&self) -> Vec<u8> {
        format!("{}\n{}", self.voter, self.fleet).into_bytes()
    }

    /// The same relay before it became a voter.
    fn without_vote(&self) -> Owner {
        Owner {
            fleet: self.fleet.clone(),
            voter: NO_VOTER,
        }
    }
}

/// An open ledger. At most one process has it open at a time.
pub struct Ledger {
    store: Store,
}

impl Ledger {
    /// Opens the ledger in a directory. It is created for a relay without a vote; a voter's must
    /// exist.
    ///
    /// # Errors
    ///
    /// If a voter's ledger is missing, if another process has the ledger open, if it has another
    /// owner or format, if the file is damaged, and if a read or write fails.
    pub fn open(directory: &Path, owner: &Owner) -> Result<Ledger, LedgerError> {
        let file = directory.join(FILE_NAME);
        if owner.voter != NO_VOTER && !file.exists() {
            let cause = LedgerErrorCause::MissingVoterLedger { voter: owner.voter };
            return Err(LedgerError::new(&file, cause));
        }
        let store = Store::open(&file)?;
        match store.get(key::OWNER)? {
            None => store.put(WriteStep::Owner, key::OWNER, &owner.to_bytes())?,
            Some(stored) if stored != owner.to_bytes() => {
                return Err(store.error(LedgerErrorCause::OwnerMismatch));
            }
            Some(_) => {}
        }
        Ok(Ledger { store })
    }

    /// Creates the ledger of a voter of a new fleet.
    ///
    /// `voters` are the numbers of all founding voters. `incarnation` is a random number that
    /// identifies this disk for as long as it exists; it is not 0.
    ///
    /// # Errors
    ///
    /// Those of [`Ledger::open`]; also if a voter's ledger exists already, which is left unchanged.
    pub fn create_for_new_fleet(
        directory: &Path,
        owner: &Owner,
        voters: &[u64],
        incarnation: u64,
    ) -> Result<(), LedgerError> {
        let log = RaftLog::for_new_fleet(voters);
        Ledger::create(directory, owner, &log, incarnation)
    }

    /// Creates the ledger of a voter that joins an existing fleet; `incarnation` and errors as in
    /// [`Ledger::create_for_new_fleet`].
    pub fn create_for_joining_voter(
        directory: &Path,
        owner: &Owner,
        incarnation: u64,
    ) -> Result<(), LedgerError> {
        let log = RaftLog::for_joining_voter();
        Ledger::create(directory, owner, &log, incarnation)
    }

    /// Creates the ledger in one transaction, so that a crash leaves no voter without a log. If the
    /// same relay has a ledger without a vote, that becomes the voter's and keeps its policy.
    fn create(
        directory: &Path,
        owner: &Owner,
        log: &RaftLog,
        incarnation: u64,
    ) -> Result<(), LedgerError> {
        let store = Store::open(&directory.join(FILE_NAME))?;
        let stored_owner = store.get(key::OWNER)?;
        if stored_owner.is_some_and(|stored| stored != owner.without_vote().to_bytes()) {
            return Err(store.error(LedgerErrorCause::AlreadyExists));
        }
        store.write(WriteStep::CreateVoter, |values, log_entries| {
            values.insert(key::OWNER, owner.to_bytes().as_slice())?;
            values.insert(key::INCARNATION, &incarnation.to_be_bytes()[..])?;
            schema::write_log_batch(values, log_entries, &log.persist_all())
        })
    }

    /// The random number that identifies a voter's disk; 0 for a relay without a vote.
    pub fn incarnation(&self) -> Result<u64, LedgerError> {
        let bytes = self.store.get(key::INCARNATION)?.unwrap_or_default();
        Ok(bytes.try_into().map_or(0, u64::from_be_bytes))
    }

    /// Loads the replicated log as persisted last.
    pub fn load_log(&self) -> Result<PersistedLog, LedgerError> {
        Ok(PersistedLog {
            entries: self.store.log_entries()?,
            hard_state: self.store.get(key::HARD_STATE)?,
            snapshot: self.store.get(key::SNAPSHOT)?,
        })
    }

    /// Persists a batch of the replicated log. Must succeed before a message that follows from the
    /// batch is sent.
    pub fn persist_log(&self, batch: &PersistBatch) -> Result<(), LedgerError> {
        self.store.write(WriteStep::Log, |values, log_entries| {
            schema::write_log_batch(values, log_entries, batch)
        })
    }

    /// Loads the policy that was in force last; the default one, of epoch 0, if none was saved.
    pub fn load_policy(&self) -> Result<Policy, LedgerError> {
        match self.store.get(key::POLICY)? {
            None => Ok(Policy::default()),
            Some(bytes) => wire::decode(&bytes)
                .ok_or_else(|| self.store.error(LedgerErrorCause::UndecodablePolicy)),
        }
    }

    /// Saves the policy to start with after a restart, and removes the prepared proposal. Call it
    /// before the relay serves under the policy.
    pub fn save_policy(&self, policy: &Policy) -> Result<(), LedgerError> {
        self.store.write(WriteStep::Policy, |values, _| {
            values.insert(key::POLICY, wire::encode(policy).as_slice())?;
            values.remove(key::PREPARED)?;
            Ok(())
        })
    }

    /// Saves a proposal that this relay has checked. Call it before the relay answers that it is
    /// prepared for it.
    pub fn save_prepared(&self, proposal: &Proposal) -> Result<(), LedgerError> {
        let bytes = wire::encode(proposal);
        self.store.put(WriteStep::Prepared, key::PREPARED, &bytes)
    }

    /// Loads the latest known membership; none while that of the operator file is valid.
    pub fn load_membership(&self) -> Result<Option<Membership>, LedgerError> {
        let decode = |bytes: Vec<u8>| {
            wire::decode(&bytes)
                .ok_or_else(|| self.store.error(LedgerErrorCause::UndecodableMembership))
        };
        self.store.get(key::MEMBERSHIP)?.map(decode).transpose()
    }

    /// Saves the membership to start with after a restart.
    pub fn save_membership(&self, membership: &Membership) -> Result<(), LedgerError> {
        let bytes = wire::encode(membership);
        self.store
            .put(WriteStep::Membership, key::MEMBERSHIP, &bytes)
    }
}
