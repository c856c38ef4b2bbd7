//! Looks at each hollow relay all the time, as a client that asks again and again would: whether it admits, under which
//! policy, and which jobs it acts on.

use super::relay::HollowRelay;
use crate::scale::admissions::{RelayHistory, Tenure};
use jaspermoor::sys::{boottime, lock};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The pause between two looks: a time without admission is known to within that.
const PAUSE: Duration = Duration::from_millis(2);
/// Looks between two at the jobs.
const JOBS_EVERY: u32 = 10;

/// A relay and what was seen of it; the relay is missing while it is restarted.
pub struct Watched {
    /// The relay.
    pub relay: Option<HollowRelay>,
    /// What was seen.
    pub history: RelayHistory,
}

/// Relays by name.
pub type Relays = Arc<Mutex<BTreeMap<String, Watched>>>;

/// Starts to look, for as long as the process lasts.
pub fn start(relays: &Relays) {
    let relays = relays.clone();
    thread::spawn(move || {
        for look in 0_u32.. {
            for watched in lock(&relays).values_mut() {
                admissions(watched);
                if look % JOBS_EVERY == 0 {
                    jobs(watched);
                }
            }
            thread::sleep(PAUSE);
        }
    });
}

/// Whether a relay admits clients, and under which epoch: only where the epoch was the same before and after the look.
pub fn admits(relay: &HollowRelay) -> Option<u64> {
    let epoch = relay.metrics.fleet.epoch.load(Relaxed);
    let admits = relay.decisions.may_admit();
    let same = relay.metrics.fleet.epoch.load(Relaxed) == epoch;
    // Before its thread has run for the first time there is no epoch to compare.
    (admits && same && relay.metrics.fleet.enabled.load(Relaxed)).then_some(epoch)
}

fn admissions(watched: &mut Watched) {
    let Some(relay) = &watched.relay else { return };
    let asked = boottime();
    if let Some(epoch) = admits(relay) {
        watched
            .history
            .admissions
            .admitted(epoch, asked, boottime());
    }
}

fn jobs(watched: &mut Watched) {
    let Some(relay) = &watched.relay else { return };
    let held = lock(&relay.metrics.fleet.owned_jobs).clone();
    for (job, token) in held {
        let tenures = &mut watched.history.tenures;
        if !tenures
            .iter()
            .any(|tenure| tenure.job == job && tenure.token == token)
        {
            tenures.push(Tenure {
                job,
                token,
                from: boottime(),
            });
        }
    }
}
