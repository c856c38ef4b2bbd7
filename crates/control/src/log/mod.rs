//! Replicated log: its voters, their storage, the membership, and the state that results from the
//! entries.

pub mod error;
pub mod membership;
pub mod state;
pub mod storage;
pub mod voter;
