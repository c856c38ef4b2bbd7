//! Evidence about a zone, combined from what the relays observe of its endpoints.
//!
//! Guards against: relays with a fault of their own, which observe failures everywhere, and a
//! network fault between two zones, which only the relays of one zone observe.

use super::{ZoneObservation, ZoneObservations};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum number of attempts of a relay in a zone for its observation to count.
const MIN_ATTEMPTS: u32 = 4;
/// A relay observes a zone as bad if at least this share of its attempts failed.
const BAD_FAILURE_RATE: f64 = 0.5;
/// Minimum number of zones whose relays must observe a zone as bad. If fewer zones
/// have relays with enough attempts, all of those zones must.
const MIN_OBSERVER_ZONES: usize = 2;

/// Combined observations of a zone.
pub(super) struct Evidence {
    /// Whether the zone fails: more than half of the relays, from enough zones, observe it as bad.
    pub is_bad: bool,
    /// Failed attempts as a share of all; `None` if no relay made enough attempts.
    pub failure_rate: Option<f64>,
    /// Summary for operators.
    pub description: String,
}

impl Evidence {
    /// Combines these observations of a zone.
    pub(super) fn for_zone(zone: &str, observations: &[&ZoneObservations]) -> Evidence {
        let mut observing_zones = BTreeSet::new();
        let mut zones_observing_bad = BTreeSet::new();
        let mut relay_count = 0;
        let mut bad_relay_count = 0;
        let mut attempts = 0;
        let mut failed = 0;
        for relay in observations {
            let Some(observation) = relay.for_zone(zone) else {
                continue;
            };
            relay_count += 1;
            observing_zones.insert(relay.observer_zone.as_str());
            if observation.is_bad() {
                bad_relay_count += 1;
                zones_observing_bad.insert(relay.observer_zone.as_str());
            }
            attempts += u64::from(observation.attempts);
            failed += u64::from(observation.failed);
        }
        // If relays of only one zone observe it, relays of other zones cannot confirm it.
        let has_enough_zones =
            zones_observing_bad.len() >= observing_zones.len().min(MIN_OBSERVER_ZONES);
        Evidence {
            is_bad: bad_relay_count * 2 > relay_count && has_enough_zones,
            failure_rate: (attempts > 0).then(|| failed as f64 / attempts as f64),
            description: format!(
                "{bad_relay_count} of {relay_count} relays, in {} zones, observe failures",
                zones_observing_bad.len()
            ),
        }
    }
}

impl ZoneObservations {
    /// The observation of a zone, if it has enough attempts.
    fn for_zone(&self, zone: &str) -> Option<&ZoneObservation> {
        self.zones
            .iter()
            .find(|observation| observation.zone == zone && observation.attempts >= MIN_ATTEMPTS)
    }

    /// Whether this relay has enough attempts in at least two of these zones, and more than half of
    /// those zones are bad for it.
    fn observes_majority_as_bad(&self, zones: &[&str]) -> bool {
        let observed: Vec<&ZoneObservation> = zones
            .iter()
            .filter_map(|zone| self.for_zone(zone))
            .collect();
        let bad_count = observed
            .iter()
            .filter(|observation| observation.is_bad())
            .count();
        observed.len() > 1 && bad_count * 2 > observed.len()
    }
}

impl ZoneObservation {
    fn is_bad(&self) -> bool {
        f64::from(self.failed) >= BAD_FAILURE_RATE * f64::from(self.attempts)
    }
}

/// The observations without those of relays that find most zones bad, since such a relay probably
/// has a fault of its own. If most relays find most zones bad, all observations are returned.
pub(super) fn plausible_observations<'a>(
    all: &[&'a ZoneObservations],
    zones: &[&str],
) -> Vec<&'a ZoneObservations> {
    let plausible: Vec<&ZoneObservations> = all
        .iter()
        .copied()
        .filter(|relay| !relay.observes_majority_as_bad(zones))
        .collect();
    let implausible_count = all.len() - plausible.len();
    if implausible_count * 2 > all.len() {
        return all.to_vec();
    }
    plausible
}

/// Mean failure rate of the zones other than this one; 0 if no rate is known.
pub(super) fn mean_failure_rate_of_others(
    evidence: &BTreeMap<String, Evidence>,
    zone: &str,
) -> f64 {
    let mut sum = 0.0;
    let mut count = 0.0;
    for (name, of_zone) in evidence {
        if name == zone {
            continue;
        }
        if let Some(failure_rate) = of_zone.failure_rate {
            sum += failure_rate;
            count += 1.0;
        }
    }
    if count > 0.0 {
        sum / count
    } else {
        0.0
    }
}
