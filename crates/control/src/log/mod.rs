//! The replicated log: its voters, what they store, who is a member, and the state that the entries come to.

pub mod error;
pub mod membership;
pub mod state;
pub mod storage;
pub mod voter;
