//! The emulator: what the relay balances, as a model on a virtual clock, at sizes that no socket test holds. The
//! decisions are not modelled: each relay of the model runs the relay's own [`jaspermoor::Balancer`], one for each
//! cell of its own [`jaspermoor::cells::CellMap`].
//!
//! Events are handled in the order of their time and, at one time, of their making; random numbers come from one
//! ChaCha stream a run. So one seed is one run, on any machine and with any number of threads, and the digest over
//! all that happened says so.

pub mod poison;
pub mod simulation;
