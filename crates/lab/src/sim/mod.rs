//! Cell emulator: backends and clients modelled on a virtual clock, at sizes that tests with
//! sockets cannot reach. The decisions are not modelled: each emulated relay runs the production
//! [`jaspermoor::Balancer`], one for each cell of its [`jaspermoor::cells::CellMap`].
//!
//! Events are handled in order of time and, at equal times, in the order in which they were
//! scheduled. All random numbers of a run come from one ChaCha stream. Therefore a seed gives the
//! same run on any machine and with any number of threads, which the digest over all events
//! confirms.

pub mod poison;
pub mod simulation;
