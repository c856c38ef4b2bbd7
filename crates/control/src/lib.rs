//! The control plane of a fleet of relays: a replicated log of policies and jobs, and leases under which relays act on them.
//!
//! Inputs are messages as bytes, times and stored entries; outputs are messages, batches to store and actions. Nothing here
//! knows a socket, a file or a clock, so the same code runs in the relay and on a virtual network, disk and clock.
//!
//! The rule that all of it serves: at no moment do two relays admit clients under different policies, and none admits under
//! an older policy than one that was in force before. `docs/design/control.md` has the proof.

#![deny(missing_docs, unreachable_pub, rust_2018_idioms)]
#![deny(clippy::too_many_lines, clippy::many_single_char_names)]

pub mod broadcast;
mod injected_bugs;
pub mod jobs;
pub mod lease;
pub mod log;
pub mod relay;
mod serialization;
mod timing;
pub mod wire;

pub use injected_bugs::{InjectedBug, InjectedBugs};
pub use timing::{max_elapsed, min_elapsed, FleetTiming, Micros, MAX_CLOCK_DRIFT_PER_MILLE};
