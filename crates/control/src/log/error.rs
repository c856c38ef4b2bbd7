//! Why a voter cannot start, or must not vote any more.

use thiserror::Error;

/// A log that cannot be trusted, or that is not this voter's any more. Each is final until an operator acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LogError {
    /// The stored snapshot is damaged.
    #[error("the snapshot cannot be read")]
    UnreadableSnapshot,
    /// The stored term, vote and commit index are damaged.
    #[error("the vote cannot be read")]
    UnreadableHardState,
    /// A stored entry is damaged.
    #[error("an entry of the log cannot be read")]
    UnreadableEntry,
    /// The indices of the stored entries have a gap.
    #[error("entries of the log are missing")]
    MissingEntries,
    /// No snapshot is stored; each log begins with one.
    #[error("there is no snapshot")]
    MissingSnapshot,
    /// The stored commit index is beyond the last stored entry.
    #[error("entries that were answered for are missing at the end of the log")]
    MissingCommittedEntries,
    /// The leader knows more entries as acknowledged by this voter than its disk has.
    #[error("entries that were answered for are not there any more")]
    AcknowledgedEntriesLost,
    /// The raft library does not accept the log with its voters.
    #[error("the log does not fit its voters")]
    VotersMismatch,
    /// An entry or a state that this build cannot read.
    #[error("the log has what this build cannot read: it is of a later build (upgrade this relay), or damaged")]
    UnsupportedVersion,
    /// The members have another voter under this number, or none any more.
    #[error("this voter was removed")]
    Removed,
}
