//! The file of a ledger: opening it, reads, and synced transactions.
//!
//! Guards against: a damaged file that makes the store panic, a file of another format, and a
//! partial write (a transaction is on the disk whole, or not at all).

use super::error::{LedgerError, LedgerErrorCause, StoreError};
use super::schema::{self, key, LogEntries, Values, FORMAT, LOG_ENTRIES, VALUES};
use redb::{Database, DatabaseError, TableError};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

/// The purpose of a transaction; it names the fail points before and after it.
#[derive(Clone, Copy, Debug)]
pub(super) enum WriteStep {
    /// The format number of a new file.
    Format,
    /// The owner of a new file.
    Owner,
    /// The whole ledger of a new voter.
    CreateVoter,
    /// A batch of Raft's log and state.
    Log,
    /// The policy in force.
    Policy,
    /// A prepared proposal.
    Prepared,
    /// The latest membership.
    Membership,
}

impl WriteStep {
    /// The name in fail points, `before-NAME` and `after-NAME`.
    #[cfg(feature = "injected-bugs")]
    fn name(self) -> &'static str {
        match self {
            WriteStep::Format => "format",
            WriteStep::Owner => "owner",
            WriteStep::CreateVoter => "found",
            WriteStep::Log => "store",
            WriteStep::Policy => "adopt",
            WriteStep::Prepared => "prepare",
            WriteStep::Membership => "seat",
        }
    }
}

/// Aborts the process at a fail point. Logs its name, by which tests check that it was reached.
#[cfg(feature = "injected-bugs")]
fn abort_at(fail_point: &str) -> ! {
    crate::log::log(&format!("fleet: ends at the fail point {fail_point}"));
    std::process::abort()
}

/// An open file with the current format.
pub(super) struct Store {
    file: PathBuf,
    database: Database,
}

impl Store {
    /// Opens the file, or creates it and its directory.
    pub(super) fn open(file: &Path) -> Result<Store, LedgerError> {
        let error = |cause| LedgerError::new(file, cause);
        if let Some(directory) = file.parent() {
            std::fs::create_dir_all(directory)
                .map_err(|e| error(LedgerErrorCause::CreateDirectory(e)))?;
        }
        let opened =
            open_catching_panics(file).map_err(|_panic| error(LedgerErrorCause::Damaged))?;
        let database = opened.map_err(|e| error(open_error(e)))?;
        let store = Store {
            file: file.to_path_buf(),
            database,
        };
        store.check_format()?;
        Ok(store)
    }

    /// Writes the format number into a new file, and refuses a file of another format.
    fn check_format(&self) -> Result<(), LedgerError> {
        match self.get(key::FORMAT)? {
            None => self.put(WriteStep::Format, key::FORMAT, &[FORMAT]),
            Some(found) if found != [FORMAT] => Err(self.error(LedgerErrorCause::UnknownFormat {
                found: found[0],
                known: FORMAT,
            })),
            Some(_) => Ok(()),
        }
    }

    /// An error with this file's path.
    pub(super) fn error(&self, cause: LedgerErrorCause) -> LedgerError {
        LedgerError::new(&self.file, cause)
    }

    /// Reads the value of a key; none if it was never written.
    pub(super) fn get(&self, key: &str) -> Result<Option<Vec<u8>>, LedgerError> {
        let read = || -> Result<_, StoreError> {
            let transaction = self.database.begin_read()?;
            match transaction.open_table(VALUES) {
                Ok(values) => Ok(values.get(key)?.map(|value| value.value().to_vec())),
                Err(TableError::TableDoesNotExist(_)) => Ok(None),
                Err(e) => Err(e.into()),
            }
        };
        read().map_err(|e| self.error(LedgerErrorCause::Store(e)))
    }

    /// Reads all log entries, in the order of their indexes.
    pub(super) fn log_entries(&self) -> Result<Vec<Vec<u8>>, LedgerError> {
        let read = || -> Result<_, StoreError> {
            let table = self.database.begin_read()?.open_table(LOG_ENTRIES)?;
            schema::read_log_entries(&table)
        };
        read().map_err(|e| self.error(LedgerErrorCause::Store(e)))
    }

    /// Writes one value, synced.
    pub(super) fn put(&self, step: WriteStep, key: &str, value: &[u8]) -> Result<(), LedgerError> {
        self.write(step, |values, _| {
            values.insert(key, value)?;
            Ok(())
        })
    }

    /// Runs one transaction. When this returns `Ok`, all of it is synced to the disk; otherwise
    /// none of it was written.
    pub(super) fn write(
        &self,
        step: WriteStep,
        change: impl FnOnce(&mut Values<'_>, &mut LogEntries<'_>) -> Result<(), StoreError>,
    ) -> Result<(), LedgerError> {
        self.fail_points_before(step)?;
        self.commit(change)
            .map_err(|e| self.error(LedgerErrorCause::Store(e)))?;
        self.fail_points_after(step);
        Ok(())
    }

    fn commit(
        &self,
        change: impl FnOnce(&mut Values<'_>, &mut LogEntries<'_>) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        let mut transaction = self.database.begin_write()?;
        transaction.set_durability(redb::Durability::Immediate);
        change(
            &mut transaction.open_table(VALUES)?,
            &mut transaction.open_table(LOG_ENTRIES)?,
        )?;
        transaction.commit()?;
        Ok(())
    }

    #[cfg(feature = "injected-bugs")]
    fn fail_points_before(&self, step: WriteStep) -> Result<(), LedgerError> {
        let fail_point = format!("before-{}", step.name());
        fail::fail_point!(&fail_point, |_| abort_at(&fail_point));
        fail::fail_point!("disk-full", |_| Err(
            self.error(LedgerErrorCause::InjectedDiskFull)
        ));
        Ok(())
    }

    #[cfg(not(feature = "injected-bugs"))]
    fn fail_points_before(&self, _step: WriteStep) -> Result<(), LedgerError> {
        Ok(())
    }

    #[cfg(feature = "injected-bugs")]
    fn fail_points_after(&self, step: WriteStep) {
        let fail_point = format!("after-{}", step.name());
        fail::fail_point!(&fail_point, |_| abort_at(&fail_point));
    }

    #[cfg(not(feature = "injected-bugs"))]
    fn fail_points_after(&self, _step: WriteStep) {}
}

fn open_error(error: DatabaseError) -> LedgerErrorCause {
    match error {
        DatabaseError::DatabaseAlreadyOpen => LedgerErrorCause::InUse,
        DatabaseError::UpgradeRequired(_) => LedgerErrorCause::StoreVersionMismatch,
        error => LedgerErrorCause::Open(error),
    }
}

/// Opens the database and catches panics. The store uses assertions on what it reads, so a
/// truncated file makes it panic; the panic's own message is suppressed, because the caller logs
/// what operators need.
fn open_catching_panics(file: &Path) -> std::thread::Result<Result<Database, DatabaseError>> {
    // The panic hook is process-wide: two threads that swap it at the same time would lose the
    // original.
    static HOOK_SWAP: Mutex<()> = Mutex::new(());
    let _guard = HOOK_SWAP.lock().unwrap_or_else(PoisonError::into_inner);
    let original_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let opened = std::panic::catch_unwind(|| Database::create(file));
    std::panic::set_hook(original_hook);
    opened
}
