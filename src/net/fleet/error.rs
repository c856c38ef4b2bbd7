//! Why a relay cannot take part in its fleet.

use crate::platform::ledger::LedgerError;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why the fleet's thread cannot start, or this relay cannot vote.
#[derive(Debug)]
pub enum OpenError {
    /// A socket or the poller failed.
    Io(io::Error),
    /// The ledger cannot be read.
    Ledger(LedgerError),
    /// `fleet.voter` is none of `fleet.voters`.
    UnknownVoter,
    /// The voter's address cannot be listened on.
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::Io(e) => e.fmt(f),
            OpenError::Ledger(e) => e.fmt(f),
            OpenError::UnknownVoter => f.write_str("fleet.voter: no voter has this number"),
            OpenError::Listen { address, source } => {
                write!(f, "fleet.voters: cannot listen on {address}: {source}")
            }
        }
    }
}

impl std::error::Error for OpenError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            OpenError::Io(e) => Some(e),
            OpenError::Ledger(e) => Some(e),
            OpenError::UnknownVoter => None,
            OpenError::Listen { source, .. } => Some(source),
        }
    }
}

impl From<io::Error> for OpenError {
    fn from(e: io::Error) -> OpenError {
        OpenError::Io(e)
    }
}

impl From<LedgerError> for OpenError {
    fn from(e: LedgerError) -> OpenError {
        OpenError::Ledger(e)
    }
}
