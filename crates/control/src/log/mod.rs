//! The replicated log: voters, what they store, who of them votes, and the state that its entries come to.

pub mod membership;
pub mod state;
pub mod storage;
pub mod voter;
