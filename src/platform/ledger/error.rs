//! Errors of a ledger that cannot be created, opened, read or written.

use redb::DatabaseError;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// Any error of a transaction. Boxed: redb has a type for each operation, and its common type is
/// large.
pub(super) type StoreError = Box<dyn std::error::Error + Send + Sync>;

/// The error of a ledger that cannot be used. Its text begins with the path of the file and tells
/// operators what to do.
#[derive(Debug)]
pub struct LedgerError {
    file: PathBuf,
    cause: LedgerErrorCause,
}

/// The reason of a [`LedgerError`].
#[derive(Debug)]
#[non_exhaustive]
pub enum LedgerErrorCause {
    /// The ledger of this voter does not exist. It is never created implicitly: a voter without the
    /// record of its vote could vote twice in one term.
    MissingVoterLedger {
        /// The voter's number.
        voter: u64,
    },
    /// The ledger belongs to another fleet or voter.
    OwnerMismatch,
    /// A voter's ledger exists already where a new one was to be created.
    AlreadyExists,
    /// The directory of the ledger cannot be created.
    CreateDirectory(io::Error),
    /// The store panicked while it read the file.
    Damaged,
    /// Another process has the file open: the predecessor of this relay, during an upgrade.
    InUse,
    /// The file was written by another version of the store.
    StoreVersionMismatch,
    /// The file cannot be opened.
    Open(DatabaseError),
    /// The tables have a format that this build does not know.
    UnknownFormat {
        /// The format in the file.
        found: u8,
        /// The format of this build.
        known: u8,
    },
    /// The stored policy cannot be decoded.
    UndecodablePolicy,
    /// The stored membership cannot be decoded.
    UndecodableMembership,
    /// A read or a write failed.
    Store(Box<dyn std::error::Error + Send + Sync>),
    /// The injected fault of a full disk.
    #[cfg(feature = "injected-bugs")]
    InjectedDiskFull,
}

impl LedgerError {
    pub(super) fn new(file: &Path, cause: LedgerErrorCause) -> LedgerError {
        LedgerError {
            file: file.to_path_buf(),
            cause,
        }
    }

    /// The reason of the error.
    pub fn cause(&self) -> &LedgerErrorCause {
        &self.cause
    }

    /// Whether another process has the ledger open, so that opening it later may succeed.
    pub fn is_in_use(&self) -> bool {
        matches!(self.cause, LedgerErrorCause::InUse)
    }
}

impl fmt::Display for LedgerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file.display(), self.cause)
    }
}

impl fmt::Display for LedgerErrorCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LedgerErrorCause::MissingVoterLedger { voter } => write!(
                f,
                "there is no ledger of voter {voter}: for a new fleet make it with 'jaspermoor fleet init'; if its disk \
                 was lost, another voter under a new number must take its place ('jaspermoor fleet replace')"
            ),
            LedgerErrorCause::OwnerMismatch => {
                f.write_str("is of another fleet or voter: compare fleet.id and fleet.voter")
            }
            LedgerErrorCause::AlreadyExists => {
                f.write_str("there is a ledger of a voter already, and it is left as it is")
            }
            LedgerErrorCause::CreateDirectory(e) => write!(f, "cannot make its directory: {e}"),
            LedgerErrorCause::Damaged => f.write_str("is damaged, and is left as it is"),
            LedgerErrorCause::InUse => f.write_str("another process has it open"),
            LedgerErrorCause::StoreVersionMismatch => f.write_str("is of another build's store"),
            LedgerErrorCause::Open(e) => {
                write!(f, "cannot be read, and is left as it is: {e}")
            }
            LedgerErrorCause::UnknownFormat { found, known } => {
                write!(f, "is of format {found}, this build knows {known}")
            }
            LedgerErrorCause::UndecodablePolicy => f.write_str("the policy in it cannot be read"),
            LedgerErrorCause::UndecodableMembership => {
                f.write_str("the voters in it cannot be read")
            }
            LedgerErrorCause::Store(e) => e.fmt(f),
            #[cfg(feature = "injected-bugs")]
            LedgerErrorCause::InjectedDiskFull => f.write_str("no space left on device"),
        }
    }
}

impl std::error::Error for LedgerError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.cause {
            LedgerErrorCause::CreateDirectory(e) => Some(e),
            LedgerErrorCause::Open(e) => Some(e),
            LedgerErrorCause::Store(e) => Some(e.as_ref()),
            _ => None,
        }
    }
}
