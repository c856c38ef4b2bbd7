//! Control plane of a fleet of relays: a replicated log of policies and jobs, and the leases under
//! which relays act on them.
//!
//! Input: encoded messages, the time and stored log entries. Output: messages, batches to store and
//! actions. The crate does no I/O and reads no clock, so the same code runs in a relay and in a
//! simulation with a virtual network, disk and clock.
//!
//! Safety property: at no time do two relays admit clients under different policies, and no relay
//! admits clients under a policy older than one that was in force before. `docs/design/control.md`
//! has the proof.

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
