//! Which zones the fleet leaves, and how it returns: decided by the owner of one job on what many relays have seen. No I/O
//! and no clock; what it says takes hold as a part of the policy, so all relays change as one.
//!
//! Guards against: a relay that is itself ill, or a zone that is cut off from one other only (relays of two zones and more
//! than half of all must see it), a fault of all zones alike, such as a bad release (nobody leaves), a rest that cannot
//! bear what is left (the fleet leaves in part, or not), two zones at a time, swings (each state has a least time, which
//! doubles with each relapse), and a return faster than its backends bear (steps, each held until the zone's figures are as
//! good as the others').

use crate::{wire, Micros};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// The kind of the job, which is its name, too.
pub const KIND: &str = "zones";
const SECOND: Micros = 1_000_000;
/// What a relay has seen longer ago counts for nothing.
const SILENT: Micros = 3 * SECOND;
/// Tries that a relay must have made in a zone before its view of it counts.
const TRIES: u32 = 4;
/// From that share of failures on a relay sees a zone as bad.
const BAD: f64 = 0.5;
/// Bad for so long without a break: then the fleet leaves. With what comes before and after it is in force within two
/// seconds of a zone's death.
const SUSPECT: Micros = SECOND;
/// What the rest may be loaded with by a leaving, as a share of its capacity: the cap of the decisions leaves as much for
/// unevenness.
const ROOM: f64 = 0.9;
/// From that load of all others on a return makes no further step.
const PEAK: f64 = 0.85;
/// The least time out before a trial; doubled with each relapse up to the last.
const OUT: Micros = 10 * SECOND;
const OUT_MOST: Micros = 320 * SECOND;
/// Shares of what a zone would take, in hundredths, one after the other on a return; and how long each is held at least.
const STEPS: [u8; 6] = [1, 5, 10, 25, 50, 100];
const STEP: Micros = 5 * SECOND;
/// A zone that returns may fail so much more of its tries than the others: above that it relapses.
const WORSE: f64 = 0.05;
/// A zone that has been back for so long has forgotten its relapses.
const FORGOTTEN: Micros = 600 * SECOND;

/// What a relay has seen of a zone's backends since it last said so.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneObservation {
    /// The zone.
    pub zone: String,
    /// Attempts that ended, and those of them that failed, were reset or came back with nothing.
    #[serde(rename = "tries")]
    pub attempts: u32,
    /// See `tries`.
    pub failed: u32,
}

/// What a relay says to the owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneObservations {
    /// Where it stands.
    #[serde(rename = "own")]
    pub observer_zone: String,
    /// What it has seen.
    #[serde(rename = "of")]
    pub zones: Vec<ZoneObservation>,
}

impl ZoneObservations {
    /// As it is said.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(self)
    }

    /// As it was said; none where it is nothing of the kind.
    pub fn decode(bytes: &[u8]) -> Option<ZoneObservations> {
        wire::decode(bytes)
    }

    fn sight(&self, zone: &str) -> Option<&ZoneObservation> {
        self.zones
            .iter()
            .find(|sight| sight.zone == zone && sight.attempts >= TRIES)
    }

    fn sees_bad(&self, zone: &str) -> Option<bool> {
        let sight = self.sight(zone)?;
        Some(f64::from(sight.failed) >= BAD * f64::from(sight.attempts))
    }
}

/// What a zone's backends can do and bear now, in any one unit, as the load watch tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneCapacity {
    /// What they can do.
    pub capacity: f64,
    /// What they bear.
    pub load: f64,
}

/// How it stands with a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// It takes its whole part.
    #[default]
    #[serde(rename = "Well")]
    Healthy,
    /// Seen as bad, and not for long enough.
    Suspect,
    /// It takes nothing new, or less.
    #[serde(rename = "Out")]
    Ejected,
    /// It takes a part again, more with each step.
    Returning,
    /// Operators have said what it takes.
    #[serde(rename = "Held")]
    Manual,
}

/// What the fleet is to do with a zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneStatus {
    /// See [`ZoneState`].
    pub state: ZoneState,
    /// Its part of what it would take, in hundredths.
    pub share: u8,
    /// Why, in words.
    #[serde(rename = "why")]
    pub reason: String,
}

#[derive(Clone, Debug, Default)]
struct Place {
    state: ZoneState,
    share: u8,
    since: Micros,
    step: usize,
    relapses: u32,
    why: String,
}

/// See the module's text.
#[derive(Clone, Debug, Default)]
pub struct ZoneFailover {
    places: BTreeMap<String, Place>,
    seen: BTreeMap<String, (Micros, ZoneObservations)>,
}

/// What all relays together say of a zone.
struct Evidence {
    bad: bool,
    /// Failures of all tries there, where there were enough.
    failed: Option<f64>,
    why: String,
}

impl ZoneFailover {
    /// The zones of the settings, each well; those that are known already stay as they are.
    pub fn add_zones<'a>(&mut self, zones: impl IntoIterator<Item = &'a str>) {
        for zone in zones {
            let well = || Place {
                share: 100,
                why: "it takes its part".into(),
                ..Place::default()
            };
            self.places.entry(zone.into()).or_insert_with(well);
        }
    }

    /// Goes on where the policy in force says that an owner of before had come to: a zone that was out is held out for its
    /// least time again, and none returns faster for a change of owner.
    pub fn resume(&mut self, now: Micros, zones: &BTreeMap<String, ZoneStatus>) {
        for (name, zone) in zones {
            let step = STEPS
                .iter()
                .rposition(|step| *step <= zone.share)
                .unwrap_or(0);
            let state = if zone.state == ZoneState::Suspect {
                ZoneState::Healthy
            } else {
                zone.state
            };
            let place = Place {
                state,
                share: zone.share,
                since: now,
                step,
                relapses: 0,
                why: zone.reason.clone(),
            };
            self.places.insert(name.clone(), place);
        }
    }

    /// A relay has said what it has seen, at that moment at the earliest.
    pub fn handle_observations(&mut self, at: Micros, relay: &str, seen: ZoneObservations) {
        let newer = self.seen.get(relay).is_none_or(|(before, _)| at >= *before);
        if newer {
            self.seen.insert(relay.into(), (at, seen));
        }
    }

    /// Operators hold a zone at a share, or let it go: it returns then, by steps from what it has.
    pub fn set_manual_share(
        &mut self,
        now: Micros,
        zone: &str,
        share: Option<u8>,
    ) -> Result<(), String> {
        let known: Vec<&str> = self.places.keys().map(String::as_str).collect();
        let names = known.join(", ");
        let Some(place) = self.places.get_mut(zone) else {
            return Err(format!("there is no zone '{zone}'; there are {names}"));
        };
        match share {
            Some(share) => {
                place.become_(
                    now,
                    ZoneState::Manual,
                    share.min(100),
                    "operators hold it".into(),
                );
            }
            None if place.state == ZoneState::Manual => {
                let share = place.share;
                place.become_(
                    now,
                    ZoneState::Ejected,
                    share,
                    "operators let it go: it returns by steps".into(),
                );
            }
            None => return Err(format!("{zone} is not held")),
        }
        Ok(())
    }

    /// Time has passed: what the fleet is to do, where that has changed.
    pub fn tick(
        &mut self,
        now: Micros,
        rooms: &BTreeMap<String, ZoneCapacity>,
    ) -> Option<BTreeMap<String, ZoneStatus>> {
        self.seen.retain(|_, (at, _)| now < *at + SILENT);
        let before = self.status();
        let names: Vec<String> = self.places.keys().cloned().collect();
        let evidence: BTreeMap<&str, Evidence> = names
            .iter()
            .map(|name| (name.as_str(), self.evidence(name)))
            .collect();
        let bad = evidence.values().filter(|evidence| evidence.bad).count();
        // A fault of most zones is none of a zone: a release, discovery, or the relays themselves.
        let alike = bad * 2 > names.len();
        for name in &names {
            let Some(seen) = evidence.get(name.as_str()) else {
                continue;
            };
            let others = evidence
                .iter()
                .filter(|(other, _)| *other != name)
                .filter_map(|(_, e)| e.failed);
            let others = others.fold((0.0, 0.0), |(sum, n), failed| (sum + failed, n + 1.0));
            let usual = if others.1 > 0.0 {
                others.0 / others.1
            } else {
                0.0
            };
            self.step(now, name, seen, alike, usual, rooms);
        }
        let told = self.status();
        (told != before).then_some(told)
    }

    /// How each zone stands.
    pub fn status(&self) -> BTreeMap<String, ZoneStatus> {
        let zone = |place: &Place| ZoneStatus {
            state: place.state,
            share: place.share,
            reason: place.why.clone(),
        };
        self.places
            .iter()
            .map(|(name, place)| (name.clone(), zone(place)))
            .collect()
    }

    /// Relays that see most zones as bad, where most relays do not, are ill themselves: they are left out.
    fn sound(&self) -> Vec<&ZoneObservations> {
        let ill = |seen: &&ZoneObservations| {
            let views: Vec<bool> = self
                .places
                .keys()
                .filter_map(|zone| seen.sees_bad(zone))
                .collect();
            views.len() > 1 && views.iter().filter(|bad| **bad).count() * 2 > views.len()
        };
        let all: Vec<&ZoneObservations> = self.seen.values().map(|(_, seen)| seen).collect();
        let sick = all.iter().filter(|seen| ill(seen)).count();
        if sick * 2 > all.len() {
            return all;
        }
        all.into_iter().filter(|seen| !ill(seen)).collect()
    }

    fn evidence(&self, zone: &str) -> Evidence {
        let views: Vec<(&ZoneObservations, bool)> = self
            .sound()
            .into_iter()
            .filter_map(|seen| Some((seen, seen.sees_bad(zone)?)))
            .collect();
        let against: Vec<&ZoneObservations> = views
            .iter()
            .filter(|(_, bad)| *bad)
            .map(|(seen, _)| *seen)
            .collect();
        let from: BTreeSet<&str> = against
            .iter()
            .map(|seen| seen.observer_zone.as_str())
            .collect();
        // With one zone that looks on there is nobody else to ask.
        let onlookers: BTreeSet<&str> = views
            .iter()
            .map(|(seen, _)| seen.observer_zone.as_str())
            .collect();
        let enough = from.len() >= onlookers.len().min(2);
        let bad = against.len() * 2 > views.len() && enough && !views.is_empty();
        let (tries, failed) =
            views
                .iter()
                .filter_map(|(seen, _)| seen.sight(zone))
                .fold((0, 0), |sum, sight| {
                    (
                        sum.0 + u64::from(sight.attempts),
                        sum.1 + u64::from(sight.failed),
                    )
                });
        let failed = (tries > 0).then(|| failed as f64 / tries as f64);
        let why = format!(
            "{} of {} relays, of {} zones, see it fail",
            against.len(),
            views.len(),
            from.len()
        );
        Evidence { bad, failed, why }
    }

    /// How much of a zone can be left: all, where the others have room for what it bears.
    fn leaves(&self, zone: &str, rooms: &BTreeMap<String, ZoneCapacity>) -> u8 {
        let Some(own) = rooms.get(zone).filter(|own| own.load > 0.0) else {
            return 0;
        };
        let others = rooms.iter().filter(|(name, _)| *name != zone);
        let (capacity, load) = others.fold((0.0, 0.0), |sum, (name, room)| {
            let share = self
                .places
                .get(name)
                .map_or(1.0, |place| f64::from(place.share) / 100.0);
            (sum.0 + room.capacity * share, sum.1 + room.load)
        });
        let room = (ROOM * capacity - load).max(0.0);
        let stays = (1.0 - room / own.load).clamp(0.0, 1.0);
        (stays * 100.0).ceil() as u8
    }

    fn step(
        &mut self,
        now: Micros,
        name: &str,
        evidence: &Evidence,
        alike: bool,
        usual: f64,
        rooms: &BTreeMap<String, ZoneCapacity>,
    ) {
        let away = |place: &Place| {
            matches!(place.state, ZoneState::Ejected | ZoneState::Returning) && place.share < 100
        };
        let another = self
            .places
            .iter()
            .find(|(other, place)| *other != name && away(place));
        let another = another.map(|(other, _)| other.clone());
        let stays = self.leaves(name, rooms);
        let others = rooms.iter().filter(|(other, _)| *other != name);
        let (capacity, load) = others.fold((0.0, 0.0), |s, (_, room)| {
            (s.0 + room.capacity, s.1 + room.load)
        });
        let peak = capacity > 0.0 && load > PEAK * capacity;
        let Some(place) = self.places.get_mut(name) else {
            return;
        };
        let lasted = now.saturating_sub(place.since);
        match place.state {
            ZoneState::Manual => {}
            ZoneState::Healthy if evidence.bad => {
                place.become_(now, ZoneState::Suspect, place.share, evidence.why.clone());
            }
            ZoneState::Healthy if lasted >= FORGOTTEN => place.relapses = 0,
            ZoneState::Healthy => {}
            ZoneState::Suspect if !evidence.bad => {
                place.become_(
                    now,
                    ZoneState::Healthy,
                    place.share,
                    "it was suspect for a moment".into(),
                );
            }
            ZoneState::Suspect if lasted < SUSPECT => {}
            ZoneState::Suspect if alike => {
                place.why =
                    "most zones fail alike: that is no zone's fault, and nobody leaves".into();
            }
            ZoneState::Suspect if another.is_some() => {
                let other = another.unwrap_or_default();
                place.why = format!(
                    "{}; the fleet is away from {other}: one zone at a time",
                    evidence.why
                );
            }
            ZoneState::Suspect if stays >= 100 => {
                place.why = format!(
                    "{}; the others have no room for what it bears",
                    evidence.why
                );
            }
            ZoneState::Suspect => {
                let part = if stays > 0 {
                    "; the others have room for a part only"
                } else {
                    ""
                };
                place.become_(
                    now,
                    ZoneState::Ejected,
                    stays,
                    format!("{}{part}", evidence.why),
                );
            }
            ZoneState::Ejected if lasted < (OUT << place.relapses.min(5)).min(OUT_MOST) => {}
            ZoneState::Ejected if peak => {
                place.why = "the others are at their peak: it waits".into()
            }
            ZoneState::Ejected => {
                // One that was left in part goes on from there.
                place.step = STEPS
                    .iter()
                    .rposition(|step| *step <= place.share)
                    .unwrap_or(0);
                let share = STEPS[place.step].max(place.share);
                place.become_(
                    now,
                    ZoneState::Returning,
                    share,
                    format!("tried with {share} in a hundred"),
                );
            }
            ZoneState::Returning => {
                let worse = evidence.failed.is_some_and(|failed| failed > usual + WORSE);
                if evidence.bad || (worse && lasted >= SUSPECT) {
                    place.relapse(now);
                } else if lasted >= STEP && evidence.failed.is_some() && !peak {
                    place.forth(now);
                } else if lasted >= STEP && peak {
                    place.why = "the others are at their peak: no further step".into();
                }
            }
        }
    }
}

impl Place {
    fn become_(&mut self, now: Micros, state: ZoneState, share: u8, why: String) {
        (self.state, self.share, self.since, self.why) = (state, share, now, why);
    }

    /// Back a step, or out where there is none, and longer before the next.
    fn relapse(&mut self, now: Micros) {
        self.relapses += 1;
        if self.step == 0 {
            return self.become_(now, ZoneState::Ejected, 0, "the trial failed".into());
        }
        self.step -= 1;
        let wait = STEP << self.relapses.min(5);
        let why = format!(
            "it fails more than the others: back to {} in a hundred",
            STEPS[self.step]
        );
        // Held for longer: the time counts from later on.
        self.become_(
            now + wait - STEP,
            ZoneState::Returning,
            STEPS[self.step],
            why,
        );
    }

    fn forth(&mut self, now: Micros) {
        self.step += 1;
        match STEPS.get(self.step) {
            Some(100) | None => self.become_(now, ZoneState::Healthy, 100, "it is back".into()),
            Some(share) => {
                let why = format!(
                    "as good as the others at {} in a hundred",
                    STEPS[self.step - 1]
                );
                self.become_(now, ZoneState::Returning, *share, why);
            }
        }
    }
}
