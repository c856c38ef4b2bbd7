//! Zone failover: the job of deciding which zones the fleet ejects, and how their traffic returns. No I/O and no clock.
//! Not wired in yet: no relay runs this job.
//!
//! Input: what relays observe of each zone ([`ZoneObservations`]), the capacity and load of the zones, and shares that
//! operators set. Output: the state and the traffic share of each zone ([`ZoneStatus`]). It takes effect as a part of the
//! policy, so all relays change together.
//!
//! Guards against: a relay with a fault of its own, or a zone that is cut off from only one other (relays of two zones and
//! more than half of all must observe the failures), a fault that all zones share, such as a bad release (no zone is
//! ejected), other zones without capacity for the load (a zone is ejected in part, or not), two zones at a time, flapping
//! (each state has a minimum duration, which doubles with each relapse), and a return faster than the endpoints can bear
//! (it goes in steps, and each lasts until the zone fails no more than the others).

mod capacity;
mod evidence;
mod state_machine;

#[cfg(test)]
mod tests;

use crate::{wire, Micros};
use evidence::Evidence;
use serde::{Deserialize, Serialize};
use state_machine::{Situation, Zone};
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
    /// Those of them that failed, were reset or had no response.
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
    /// The observations as bytes.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(self)
    }

    /// The observations from bytes; none if the bytes cannot be decoded.
    pub fn decode(bytes: &[u8]) -> Option<ZoneObservations> {
        wire::decode(bytes)
    }
}

/// Capacity and load of a zone's endpoints, both in the same unit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneCapacity {
    /// Load that they can bear.
    pub capacity: f64,
    /// Load that they have.
    pub load: f64,
}

/// State of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// It gets its full traffic.
    #[default]
    #[serde(rename = "well")]
    Healthy,
    /// It is observed to fail, but not for long enough.
    Suspect,
    /// It gets no new traffic, or less.
    #[serde(rename = "out")]
    Ejected,
    /// It gets a part of its traffic again, more with each step.
    Returning,
    /// Operators have set its share.
    #[serde(rename = "held")]
    Manual,
}

/// What the fleet must do with a zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneStatus {
    /// State of the zone.
    pub state: ZoneState,
    /// Share of its traffic that it gets, in percent.
    pub share: u8,
    /// The reason, for operators.
    #[serde(rename = "why")]
    pub reason: String,
}

/// Why a manual share could not be set or cleared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ManualShareError {
    /// There is no zone of this name.
    UnknownZone {
        /// The name that was given.
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
                write!(f, "there is no zone '{zone}'; there are {known}")
            }
            ManualShareError::NotManual { zone } => write!(f, "{zone} is not held"),
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

/// The owner's state: the zones, and the latest observations of the relays. Default: no zones.
#[derive(Clone, Debug, Default)]
pub struct ZoneFailover {
    zones: BTreeMap<String, Zone>,
    /// By name of the relay.
    observations: BTreeMap<String, ReceivedObservations>,
}

impl ZoneFailover {
    /// Adds zones of the settings as healthy. Zones that exist already do not change.
    pub fn add_zones<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        for name in names {
            self.zones.entry(name.into()).or_insert_with(Zone::healthy);
        }
    }

    /// Continues from the states that a former owner put in force. Each starts its minimum duration again, so no zone
    /// returns faster because the owner changed.
    pub fn resume(&mut self, now: Micros, statuses: &BTreeMap<String, ZoneStatus>) {
        for (name, status) in statuses {
            self.zones.insert(name.clone(), Zone::resume(now, status));
        }
    }

    /// Stores the observations of a relay, which were valid at this time at the earliest, unless newer ones are known.
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

    /// Sets the share of a zone in percent (at most 100), or clears it: the zone then returns by steps from its share.
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

    /// Returns the status of all zones, if it has changed.
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
        // A fault of most zones is not a zone's own: it is a release, discovery, or the relays themselves.
        let is_common_fault = bad_zones * 2 > self.zones.len();
        for (name, of_zone) in &evidence {
            let situation = Situation {
                now,
                evidence: of_zone,
                is_common_fault,
                failure_rate_elsewhere: evidence::mean_failure_rate_of_others(&evidence, name),
                other_ejected_zone: self.other_ejected_zone(name),
                required_share: capacity::required_share(name, capacities, &self.shares()),
                is_peak_elsewhere: capacity::is_peak_elsewhere(name, capacities),
            };
            if let Some(zone) = self.zones.get_mut(name) {
                zone.tick(situation);
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

    /// Another zone that does not have its full traffic because it was ejected.
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
