//! What a relay of a fleet keeps on its disk: the policy that it serves under, the one that it has prepared, and, where
//! it is a voter, its log and vote. All of it is in one file of a kept store, which writes whole or not at all.
//!
//! Guards against: a disk that was lost and a voter that comes back under its old number without what it had answered
//! for (its directory must have been made by `fleet init`), a directory of another fleet or relay, and a file that is
//! damaged or of a newer build (refused with a remedy; nothing is overwritten).

use jaspermoor_control::log::membership::Membership;
use jaspermoor_control::log::state::{Policy, Proposal};
use jaspermoor_control::log::storage::{PersistBatch, PersistedLog, RaftLog};
use jaspermoor_control::wire;
use redb::{Database, DatabaseError, ReadableTable, TableDefinition};
use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
/// The file in the directory.
const FILE: &str = "ledger.redb";
/// Any failure of the store, on its way to one sentence.
type Failure = Box<dyn std::error::Error>;
/// Format of what stands in the tables.
const FORMAT: u8 = 3;

/// A ledger that cannot be used, and what to do.
#[derive(Debug)]
pub struct LedgerError {
    file: PathBuf,
    what: String,
    /// Another process has it: the older one of this relay, during an upgrade.
    pub held: bool,
}

impl fmt::Display for LedgerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file.display(), self.what)
    }
}

impl std::error::Error for LedgerError {}

/// See the module's text.
pub struct Ledger {
    file: PathBuf,
    db: Database,
}

/// Ends the process where a test wants it, and says so: the test has to know that it came so far.
#[cfg(feature = "injected-bugs")]
fn end(point: &str) -> ! {
    crate::log::log(&format!("fleet: ends at the fail point {point}"));
    std::process::abort()
}

type Facts<'a> = redb::Table<'a, &'static str, &'static [u8]>;
type Entries<'a> = redb::Table<'a, u64, &'static [u8]>;

fn put(facts: &mut Facts, entries: &mut Entries, stored: &PersistBatch) -> Result<(), Failure> {
    if let Some(vote) = &stored.hard_state {
        facts.insert("vote", vote.as_slice())?;
    }
    if let Some(snapshot) = &stored.snapshot {
        facts.insert("snapshot", snapshot.as_slice())?;
        let to = stored.compact_to.unwrap_or(u64::MAX);
        entries.retain(|index, _| index > to)?;
    }
    if let Some((first, _)) = stored.entries.first() {
        entries.retain_in(*first.., |_, _| false)?;
    }
    for (index, entry) in &stored.entries {
        entries.insert(index, entry.as_slice())?;
    }
    Ok(())
}

/// Opens the store's file, or makes it. The store asserts some of what it reads: a file whose tail is torn off makes it
/// panic, not fail, and what that prints says nothing to operators that the line in the log does not.
fn open(file: &Path) -> std::thread::Result<Result<Database, DatabaseError>> {
    // What is put back must be what was there: two at once would leave the process without its word on a panic.
    static ONE: Mutex<()> = Mutex::new(());
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let opened = std::panic::catch_unwind(|| Database::create(file));
    std::panic::set_hook(hook);
    opened
}

/// Whose ledger it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The fleet's id.
    pub fleet: String,
    /// The voter's number; 0 for a relay that has no vote.
    pub voter: u64,
}

impl Owner {
    fn bytes(&self) -> Vec<u8> {
        format!("{}\n{}", self.voter, self.fleet).into_bytes()
    }
}

impl Ledger {
    /// Opens a relay's ledger. Without a vote it is made where there is none; a voter's must have been made.
    pub fn open(dir: &Path, owner: &Owner) -> Result<Ledger, LedgerError> {
        let file = dir.join(FILE);
        if owner.voter != 0 && !file.exists() {
            return Err(LedgerError {
                what: format!(
                    "there is no ledger of voter {}: for a new fleet make it with 'jaspermoor fleet init'; if its disk \
                     was lost, another voter under a new number must take its place ('jaspermoor fleet replace')",
                    owner.voter
                ),
                file,
                held: false,
            });
        }
        let ledger = Ledger::at(file)?;
        match ledger.fact("owner")? {
            None => ledger.write("owner", |facts, _| {
                facts
                    .insert("owner", owner.bytes().as_slice())
                    .map(drop)
                    .map_err(Into::into)
            })?,
            Some(was) if was != owner.bytes() => {
                return Err(
                    ledger.error("is of another fleet or voter: compare fleet.id and fleet.voter")
                )
            }
            Some(_) => {}
        }
        Ok(ledger)
    }

    /// Makes the ledger of a voter of a new fleet; the incarnation is a random number, which names this disk for good.
    pub fn found(
        dir: &Path,
        owner: &Owner,
        voters: &[u64],
        incarnation: u64,
    ) -> Result<(), LedgerError> {
        Ledger::make(dir, owner, &RaftLog::for_new_fleet(voters), incarnation)
    }

    /// Makes the ledger of a voter that joins a fleet.
    pub fn join(dir: &Path, owner: &Owner, incarnation: u64) -> Result<(), LedgerError> {
        Ledger::make(dir, owner, &RaftLog::for_joining_voter(), incarnation)
    }

    /// One write: a crash leaves none, or all of it. A relay that had no vote keeps the policy that it serves under.
    fn make(dir: &Path, owner: &Owner, log: &RaftLog, incarnation: u64) -> Result<(), LedgerError> {
        let ledger = Ledger::at(dir.join(FILE))?;
        let before = Owner {
            voter: 0,
            ..owner.clone()
        }
        .bytes();
        if ledger.fact("owner")?.is_some_and(|was| was != before) {
            return Err(
                ledger.error("there is a ledger of a voter already, and it is left as it is")
            );
        }
        ledger.write("found", |facts, entries| {
            facts.insert("owner", owner.bytes().as_slice())?;
            facts.insert("incarnation", &incarnation.to_be_bytes()[..])?;
            put(facts, entries, &log.persist_all())
        })
    }

    /// The incarnation of a voter's disk; 0 where it has none.
    pub fn incarnation(&self) -> Result<u64, LedgerError> {
        let bytes = self.fact("incarnation")?.unwrap_or_default();
        Ok(bytes.try_into().map_or(0, u64::from_be_bytes))
    }

    fn at(file: PathBuf) -> Result<Ledger, LedgerError> {
        let fail = |what: String, held: bool| LedgerError {
            file: file.clone(),
            what,
            held,
        };
        if let Some(dir) = file.parent() {
            std::fs::create_dir_all(dir)
                .map_err(|e| fail(format!("cannot make its directory: {e}"), false))?;
        }
        let opened = open(&file);
        let opened = opened.map_err(|_| fail("is damaged, and is left as it is".into(), false))?;
        let db = opened.map_err(|e| match e {
            DatabaseError::DatabaseAlreadyOpen => fail("another process has it open".into(), true),
            DatabaseError::UpgradeRequired(_) => fail("is of another build's store".into(), false),
            e => fail(format!("cannot be read, and is left as it is: {e}"), false),
        })?;
        let ledger = Ledger {
            file: file.clone(),
            db,
        };
        match ledger.fact("format")? {
            None => ledger.write("format", |facts, _| {
                facts
                    .insert("format", &[FORMAT][..])
                    .map(drop)
                    .map_err(Into::into)
            })?,
            Some(format) if format != [FORMAT] => {
                return Err(fail(
                    format!("is of format {}, this build knows {FORMAT}", format[0]),
                    false,
                ))
            }
            Some(_) => {}
        }
        Ok(ledger)
    }

    fn error(&self, e: impl fmt::Display) -> LedgerError {
        LedgerError {
            file: self.file.clone(),
            what: e.to_string(),
            held: false,
        }
    }

    fn fact(&self, name: &str) -> Result<Option<Vec<u8>>, LedgerError> {
        let read = || -> Result<_, Failure> {
            let read = self.db.begin_read()?;
            match read.open_table(FACTS) {
                Ok(table) => Ok(table.get(name)?.map(|value| value.value().to_vec())),
                Err(redb::TableError::TableDoesNotExist(_)) => Ok(None),
                Err(e) => Err(e.into()),
            }
        };
        read().map_err(|e| self.error(e))
    }

    /// Writes whole and synced, or not at all. The step's name is for tests that end the process right before or after it,
    /// or fill its disk.
    fn write(
        &self,
        step: &str,
        work: impl FnOnce(&mut Facts, &mut Entries) -> Result<(), Failure>,
    ) -> Result<(), LedgerError> {
        let write = || -> Result<(), Failure> {
            let mut write = self.db.begin_write()?;
            write.set_durability(redb::Durability::Immediate);
            work(
                &mut write.open_table(FACTS)?,
                &mut write.open_table(ENTRIES)?,
            )?;
            write.commit()?;
            Ok(())
        };
        #[cfg(feature = "injected-bugs")]
        {
            fail::fail_point!(&format!("before-{step}"), |_| end(&format!(
                "before-{step}"
            )));
            fail::fail_point!("disk-full", |_| Err(self.error("no space left on device")));
        }
        write().map_err(|e| self.error(e))?;
        #[cfg(feature = "injected-bugs")]
        fail::fail_point!(&format!("after-{step}"), |_| end(&format!("after-{step}")));
        let _ = step;
        Ok(())
    }

    /// What the log had stored.
    pub fn kept(&self) -> Result<PersistedLog, LedgerError> {
        let read = || -> Result<Vec<Vec<u8>>, Failure> {
            let table = self.db.begin_read()?.open_table(ENTRIES)?;
            let mut entries = Vec::new();
            for entry in table.iter()? {
                entries.push(entry?.1.value().to_vec());
            }
            Ok(entries)
        };
        let entries = read().map_err(|e| self.error(e))?;
        Ok(PersistedLog {
            hard_state: self.fact("vote")?,
            snapshot: self.fact("snapshot")?,
            entries,
        })
    }

    /// Stores what the log has to store.
    pub fn store(&self, stored: &PersistBatch) -> Result<(), LedgerError> {
        self.write("store", |facts, entries| put(facts, entries, stored))
    }

    /// The policy that it served under last; the empty one of a new fleet where there is none.
    pub fn policy(&self) -> Result<Policy, LedgerError> {
        match self.fact("policy")? {
            None => Ok(Policy::default()),
            Some(bytes) => {
                wire::decode(&bytes).ok_or_else(|| self.error("the policy in it cannot be read"))
            }
        }
    }

    /// From now on it serves under this one.
    pub fn adopt(&self, policy: &Policy) -> Result<(), LedgerError> {
        self.write("adopt", |facts, _| {
            facts.insert("policy", wire::encode(policy).as_slice())?;
            facts.remove("prepared")?;
            Ok(())
        })
    }

    /// Who votes, as it was told last; none where the operator file's hold still.
    pub fn membership(&self) -> Result<Option<Membership>, LedgerError> {
        let read = |bytes: Vec<u8>| {
            wire::decode(&bytes).ok_or_else(|| self.error("the voters in it cannot be read"))
        };
        self.fact("seats")?.map(read).transpose()
    }

    /// These vote from now on.
    pub fn seat(&self, seats: &Membership) -> Result<(), LedgerError> {
        self.write("seat", |facts, _| {
            facts
                .insert("seats", wire::encode(seats).as_slice())
                .map(drop)
                .map_err(Into::into)
        })
    }

    /// It has checked this one, and can serve under it.
    pub fn prepare(&self, proposal: &Proposal) -> Result<(), LedgerError> {
        self.write("prepare", |facts, _| {
            facts
                .insert("prepared", wire::encode(proposal).as_slice())
                .map(drop)
                .map_err(Into::into)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn dir() -> tempfile::TempDir {
        tempfile::tempdir().unwrap()
    }

    fn owner(fleet: &str, voter: u64) -> Owner {
        Owner {
            fleet: fleet.into(),
            voter,
        }
    }

    #[test]
    fn what_was_stored_is_there_at_the_next_start() {
        let dir = dir();
        let one = owner("f", 1);
        Ledger::found(dir.path(), &one, &[1, 2, 3], 77).unwrap();
        {
            let ledger = Ledger::open(dir.path(), &one).unwrap();
            let entry = |n: u64| (n, vec![n as u8]);
            ledger
                .store(&PersistBatch {
                    entries: vec![entry(2), entry(3), entry(4)],
                    ..PersistBatch::default()
                })
                .unwrap();
            // A new leader's entry takes the place of two.
            let stored = PersistBatch {
                hard_state: Some(vec![9]),
                entries: vec![(3, vec![33])],
                ..PersistBatch::default()
            };
            ledger.store(&stored).unwrap();
            ledger
                .adopt(&Policy {
                    epoch: 4,
                    ..Policy::default()
                })
                .unwrap();
            assert!(
                Ledger::open(dir.path(), &one).is_err_and(|e| e.held),
                "one process at a time"
            );
        }
        let ledger = Ledger::open(dir.path(), &one).unwrap();
        let kept = ledger.kept().unwrap();
        assert_eq!(
            (kept.hard_state, kept.entries),
            (Some(vec![9]), vec![vec![2], vec![33]])
        );
        assert_eq!(
            (
                ledger.policy().unwrap().epoch,
                ledger.incarnation().unwrap()
            ),
            (4, 77)
        );
        let stored = PersistBatch {
            snapshot: Some(vec![7]),
            compact_to: Some(2),
            ..PersistBatch::default()
        };
        ledger.store(&stored).unwrap();
        assert_eq!(ledger.kept().unwrap().entries, [[33]]);
    }

    /// A relay that had no vote takes the place of a voter whose disk was lost, and keeps the policy that it has.
    #[test]
    fn a_relay_without_a_vote_joins_the_voters_once() {
        let dir = dir();
        Ledger::open(dir.path(), &owner("f", 0))
            .unwrap()
            .adopt(&Policy {
                epoch: 3,
                ..Policy::default()
            })
            .unwrap();
        Ledger::join(dir.path(), &owner("f", 4), 44).unwrap();
        assert!(Ledger::join(dir.path(), &owner("f", 4), 45).is_err());
        let ledger = Ledger::open(dir.path(), &owner("f", 4)).unwrap();
        assert_eq!(
            (
                ledger.incarnation().unwrap(),
                ledger.policy().unwrap().epoch
            ),
            (44, 3)
        );
        assert!(RaftLog::restore(&ledger.kept().unwrap()).is_ok_and(|log| log.is_empty()));
        assert!(ledger.membership().unwrap().is_none());
        let seats = Membership::for_new_fleet(&[4]);
        ledger.seat(&seats).unwrap();
        assert_eq!(ledger.membership().unwrap(), Some(seats));
    }

    #[test]
    fn a_ledger_that_is_lost_damaged_or_anothers_is_refused_and_left_alone() {
        let dir = dir();
        let error = |voter| {
            Ledger::open(dir.path(), &owner("f", voter))
                .err()
                .unwrap()
                .to_string()
        };
        assert!(
            error(2).contains("fleet init"),
            "a voter's disk was lost: {}",
            error(2)
        );
        Ledger::found(dir.path(), &owner("f", 2), &[2], 7).unwrap();
        assert!(
            Ledger::found(dir.path(), &owner("f", 2), &[2], 8).is_err(),
            "never made over"
        );
        assert!(error(3).contains("another fleet or voter"));
        let file = dir.path().join(FILE);
        // Its tail is torn off.
        let whole = std::fs::read(&file).unwrap();
        std::fs::write(&file, &whole[..whole.len() - 8192]).unwrap();
        assert!(error(2).contains("damaged"), "{}", error(2));
        assert_eq!(std::fs::read(&file).unwrap(), whole[..whole.len() - 8192]);
        std::fs::write(
            &file,
            b"not a ledger, and longer than the head of one would be",
        )
        .unwrap();
        assert!(error(2).contains("left as it is"), "{}", error(2));
        assert_eq!(std::fs::read(&file).unwrap().len(), 54);
    }
}
