//! Errors that keep a relay from taking part in its fleet.

use crate::platform::ledger::LedgerError;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// An error that keeps the fleet's thread from starting, or this relay from voting.
#[derive(Debug)]
pub enum OpenError {
    /// A socket or the poller failed.
    Io(io::Error),
    /// The ledger cannot be read.
    Ledger(LedgerError),
    /// `fleet.voter` is not the number of any of `fleet.voters`.
    UnknownVoter,
    /// The voter's address cannot be listened on.
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
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
