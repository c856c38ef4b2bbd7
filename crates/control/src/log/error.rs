//! Errors because of which a voter cannot start or must stop voting.

use thiserror::Error;

/// Error because of which a voter must not use its log. No retry helps: an operator must replace
/// the voter, its disk or its build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LogError {
    /// The stored snapshot is damaged.
    #[error("the stored snapshot cannot be read")]
    UnreadableSnapshot,
    /// The stored term, vote and commit index are damaged.
    #[error("the stored term, vote and commit index cannot be read")]
    UnreadableHardState,
    /// A stored entry is damaged.
    #[error("a stored entry of the log cannot be read")]
    UnreadableEntry,
    /// The indices of the stored entries have a gap.
    #[error("the log has a gap: entries are missing")]
    MissingEntries,
    /// No snapshot is stored, although each log begins with one.
    #[error("the log has no snapshot")]
    MissingSnapshot,
    /// The stored commit index is beyond the last stored entry.
    #[error("committed entries are missing at the end of the log")]
    MissingCommittedEntries,
    /// The leader has recorded acknowledgements of this voter for entries that its disk does not
    /// have.
    #[error("the log lacks entries that this voter has acknowledged")]
    AcknowledgedEntriesLost,
    /// The raft library rejects the log together with its voters.
    #[error("the log does not match its voters")]
    VotersMismatch,
    /// This build cannot read an entry or the state in a snapshot.
    #[error("the log has an entry or a state that this build cannot read: a later build wrote it (upgrade this relay), or it is damaged")]
    UnsupportedVersion,
    /// The membership has no voter with this number and this disk.
    #[error("this voter was removed")]
    Removed,
}
