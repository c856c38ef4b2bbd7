//! Zone failover: the job of deciding which zones the fleet ejects, and how their traffic returns.
//! It does no I/O and reads no clock. No relay runs this job yet.
//!
//! Input: observations of relays ([`ZoneObservations`]), the capacity and load of the zones, and
//! shares that operators set. Output: the state and the traffic share of each zone
//! ([`ZoneStatus`]), which takes effect as a part of the policy, so that all relays change
//! together.
//!
//! Guards against: a relay with a fault of its own or a network fault between only two zones (more
//! than half of the relays, from at least two zones, must observe the failures), a fault that all
//! zones share, such as a bad release (no zone is ejected), other zones without capacity for the
//! load (a zone is ejected in part or not at all), ejection of two zones at a time, flapping (each
//! state has a minimum duration, which doubles with each relapse), and a return that overloads cold
//! endpoints (it proceeds in steps, and each lasts until the zone does not fail more often than the
//! others).

mod capacity;
mod evidence;
mod state_machine;

#[cfg(test)]
mod tests;

use crate::{wire, Micros};
use evidence::Evidence;
use serde::{Deserialize, Serialize};
use state_machine::{TransitionInput, Zone};
use std::collections::BTreeMap;
use std::fmt;

/// Kind of this job, which is also its name.
pub const KIND: &str = "zones";
const SECOND: Micros = 1_000_000;
/// An observation older than this is ignored.
const OBSERVATION_TIMEOUT: Micros = 3 * SECOND;

/// Attempts of a relay to endpoints of one zone, since its previous observation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneObservation {
    /// Name of the zone.
    pub zone: String,
    /// Attempts that ended.
    #[serde(rename = "tries")]
    pub attempts: u32,
    /// Number of them that failed, were reset or got no response.
    pub failed: u32,
}

/// Observations of one relay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneObservations {
    /// Zone of the relay.
    #[serde(rename = "own")]
    pub observer_zone: String,
    /// One observation per zone.
    #[serde(rename = "of")]
    pub zones: Vec<ZoneObservation>,
}

impl ZoneObservations {
    /// Encodes the observations.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(self)
    }

    /// Decodes observations. Returns `None` if the bytes are invalid.
    pub fn decode(bytes: &[u8]) -> Option<ZoneObservations> {
        wire::decode(bytes)
    }
}

/// Capacity and load of a zone's endpoints, in the same unit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneCapacity {
    /// Load that the endpoints can handle.
    pub capacity: f64,
    /// Load that the endpoints have.
    pub load: f64,
}

/// State of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// The zone gets all of its traffic.
    #[default]
    #[serde(rename = "well")]
    Healthy,
    /// The zone has been observed to fail, but not for long enough to be ejected.
    Suspect,
    /// The zone gets no new traffic, or only a part of it.
    #[serde(rename = "out")]
    Ejected,
    /// The zone gets a part of its traffic again, which grows with each step.
    Returning,
    /// Operators have set the zone's share.
    #[serde(rename = "held")]
    Manual,
}

/// State of a zone and its share of traffic, as all relays must apply them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneStatus {
    /// State of the zone.
    pub state: ZoneState,
    /// Share of its traffic that the zone gets, in percent.
    pub share: u8,
    /// Reason for the state, for operators.
    #[serde(rename = "why")]
    pub reason: String,
}

/// Error when a manual share cannot be set or cleared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ManualShareError {
    /// There is no zone of this name.
    UnknownZone {
        /// Name that was requested.
        zone: String,
        /// Names of the zones that exist.
        known: Vec<String>,
    },
    /// The zone has no manual share to clear.
    NotManual {
        /// Name of the zone.
        zone: String,
    },
}

impl fmt::Display for ManualShareError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ManualShareError::UnknownZone { zone, known } => {
                let known = known.join(", ");
                write!(f, "there is no zone '{zone}'; the zones are {known}")
            }
            ManualShareError::NotManual { zone } => write!(f, "zone '{zone}' has no manual share"),
        }
    }
}

impl std::error::Error for ManualShareError {}

/// Latest observations of a relay.
#[derive(Clone, Debug)]
struct ReceivedObservations {
    valid_since: Micros,
    observations: ZoneObservations,
}

/// State of the job's owner: the zones, and the latest observations of the relays. By default there
/// are no zones.
#[derive(Clone, Debug, Default)]
pub struct ZoneFailover {
    zones: BTreeMap<String, Zone>,
    /// Latest observations by name of the relay.
    observations: BTreeMap<String, ReceivedObservations>,
}

impl ZoneFailover {
    /// Adds zones as healthy. Existing zones do not change.
    pub fn add_zones<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        for name in names {
            self.zones.entry(name.into()).or_insert_with(Zone::healthy);
        }
    }

    /// Continues from the states that a former owner put in force. The minimum duration of each
    /// state starts again, so a change of the owner does not make a zone return faster.
    pub fn resume(&mut self, now: Micros, statuses: &BTreeMap<String, ZoneStatus>) {
        for (name, status) in statuses {
            self.zones.insert(name.clone(), Zone::resume(now, status));
        }
    }

    /// Stores the observations of a relay, unless newer ones are known. `valid_since` is the
    /// earliest time at which they were valid.
    pub fn handle_observations(
        &mut self,
        valid_since: Micros,
        relay: &str,
        observations: ZoneObservations,
    ) {
        let is_newer = self
            .observations
            .get(relay)
            .is_none_or(|previous| valid_since >= previous.valid_since);
        if is_newer {
            let received = ReceivedObservations {
                valid_since,
                observations,
            };
            self.observations.insert(relay.into(), received);
        }
    }

    /// Sets the share of a zone in percent (at most 100), or clears it; the zone then returns in
    /// steps from its current share.
    pub fn set_manual_share(
        &mut self,
        now: Micros,
        name: &str,
        share: Option<u8>,
    ) -> Result<(), ManualShareError> {
        let Some(zone) = self.zones.get_mut(name) else {
            return Err(ManualShareError::UnknownZone {
                zone: name.into(),
                known: self.zones.keys().cloned().collect(),
            });
        };
        match share {
            Some(share) => zone.set_manual(now, share),
            None if zone.is_manual() => zone.clear_manual(now),
            None => return Err(ManualShareError::NotManual { zone: name.into() }),
        }
        Ok(())
    }

    /// Updates the states of all zones. Returns the status of all zones if it has changed.
    pub fn tick(
        &mut self,
        now: Micros,
        capacities: &BTreeMap<String, ZoneCapacity>,
    ) -> Option<BTreeMap<String, ZoneStatus>> {
        self.observations
            .retain(|_, received| now < received.valid_since + OBSERVATION_TIMEOUT);
        let before = self.status();
        let evidence = self.evidence();
        let bad_zones = evidence.values().filter(|of_zone| of_zone.is_bad).count();
        // If most zones fail, the fault is not in one zone but in a release, discovery, or the
        // relays themselves.
        let is_common_fault = bad_zones * 2 > self.zones.len();
        for (name, of_zone) in &evidence {
            let input = TransitionInput {
                now,
                evidence: of_zone,
                is_common_fault,
                failure_rate_elsewhere: evidence::mean_failure_rate_of_others(&evidence, name),
                other_ejected_zone: self.other_ejected_zone(name),
                required_share: capacity::required_share(name, capacities, &self.shares()),
                is_peak_elsewhere: capacity::is_peak_elsewhere(name, capacities),
            };
            if let Some(zone) = self.zones.get_mut(name) {
                zone.tick(input);
            }
        }
        let status = self.status();
        (status != before).then_some(status)
    }

    fn evidence(&self) -> BTreeMap<String, Evidence> {
        let names: Vec<&str> = self.zones.keys().map(String::as_str).collect();
        let all: Vec<&ZoneObservations> = self
            .observations
            .values()
            .map(|received| &received.observations)
            .collect();
        let plausible = evidence::plausible_observations(&all, &names);
        names
            .into_iter()
            .map(|name| (name.to_string(), Evidence::for_zone(name, &plausible)))
            .collect()
    }

    /// Name of another zone that was ejected and has not returned completely.
    fn other_ejected_zone(&self, name: &str) -> Option<String> {
        self.zones
            .iter()
            .find(|(other, zone)| *other != name && zone.is_ejected())
            .map(|(other, _)| other.clone())
    }

    /// Share of each zone, in percent.
    fn shares(&self) -> BTreeMap<&str, u8> {
        self.zones
            .iter()
            .map(|(name, zone)| (name.as_str(), zone.share()))
            .collect()
    }

    /// Status of each zone.
    pub fn status(&self) -> BTreeMap<String, ZoneStatus> {
        self.zones
            .iter()
            .map(|(name, zone)| (name.clone(), zone.status()))
            .collect()
    }
}
