//! Memory and descriptors of connections that stand.

use super::listeners::open_until;
use super::{Failure, Rig, STANDING};
use crate::scale::record::{Record, StandingRecord};
use std::thread;
use std::time::Duration;

/// How long the relay is left alone before it is looked at, and how long it is looked at.
const SETTLES: Duration = Duration::from_secs(1);
const LOOKED_AT: Duration = Duration::from_secs(3);

/// Measures the relay without connections and at each size up to the most that descriptors allow.
pub fn run(
    rig: &Rig,
    most: u64,
    keep: &mut dyn FnMut(Record) -> Result<(), Failure>,
) -> Result<(), Failure> {
    let mut open = Vec::new();
    let mut sizes: Vec<u64> = STANDING.iter().map(|size| *size.min(&most)).collect();
    sizes.dedup();
    for size in [0].into_iter().chain(sizes) {
        open_until(rig.relay.addr, &mut open, size)?;
        thread::sleep(SETTLES);
        let before = rig.sample()?;
        thread::sleep(LOOKED_AT);
        let after = rig.sample()?;
        keep(Record::Standing(StandingRecord {
            origin: rig.origin.clone(),
            connections: size,
            memory_bytes: after.sample.memory_bytes,
            descriptors: after.sample.descriptors,
            core: after.core_since(&before),
        }))?;
    }
    Ok(())
}
