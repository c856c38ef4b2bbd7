//! The fleet's moves of standing connections to their sites' new cells: one owner paces them for all relays.
//!
//! Each relay says how many of its connections wait to be moved and how many it has moved since its start. The owner
//! permits each relay a number of moves since that start, which only grows: a word that comes late or twice permits
//! nothing more. A relay without a word moves nobody.
//!
//! Voters merge what the relays that follow them say into one summary, and divide what the owner allows them: see
//! [`crate::broadcast::allowance`], which says why the bound holds. Relays that follow voters of builds before that are
//! permitted one by one.
//!
//! Guards against: more moves a second than the policy allows for the whole fleet, also over a change of owner (a new one
//! begins with what relays say to be permitted and without credit), and a relay that has gone (it is given nothing).

use crate::broadcast::message::{Allowance, MovesSummary};
use crate::relay::RelayId;
use crate::{wire, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The kind of this job, which is its name, too.
pub const KIND: &str = "moves";
/// A relay that has said nothing for so long is given nothing.
const SILENT: Micros = 3_000_000;
/// Permits are given so often.
const TURN: Micros = 250_000;
/// Credit at most, in time: what nobody asked for is not saved up.
const SAVED: Micros = 1_000_000;

/// What a relay says of its moves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct MigrationStatus {
    /// Connections that wait to be moved.
    pub waiting: u64,
    /// Moved since its start.
    #[serde(rename = "made")]
    pub completed: u64,
    /// Permitted since its start.
    pub permitted: u64,
}

impl MigrationStatus {
    /// As it is said.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(self)
    }

    /// As it was said; none where it is nothing of the kind.
    pub fn decode(bytes: &[u8]) -> Option<MigrationStatus> {
        wire::decode(bytes)
    }
}

/// What the owner tells: how many moves each relay may have made since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct MigrationPermits {
    /// See there.
    #[serde(rename = "of")]
    pub by_relay: Vec<(RelayId, u64)>,
}

impl MigrationPermits {
    /// As it is told.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(self)
    }

    /// As it was told; none where it is nothing of the kind.
    pub fn decode(bytes: &[u8]) -> Option<MigrationPermits> {
        wire::decode(bytes)
    }

    /// What this process may have made.
    pub fn for_relay(&self, relay: &RelayId) -> Option<u64> {
        self.by_relay
            .iter()
            .find(|(of, _)| of == relay)
            .map(|(_, upto)| *upto)
    }
}

/// Who asks for moves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Claimant {
    /// A relay that follows a voter of an older build.
    RelayId(RelayId),
    /// A voter, by its number and that of its process, for all relays that follow it.
    Voter(u64, u64),
}

/// What it says.
enum Said {
    RelayId(MigrationStatus),
    Voter(MovesSummary),
}

struct Known {
    said: Said,
    at: Micros,
    /// What it was permitted, in all. Raised by one at a time, each paid for with credit.
    upto: u64,
}

impl Known {
    /// Connections that wait and that nothing was permitted for.
    fn lacking(&self) -> u64 {
        match &self.said {
            Said::RelayId(said) => said
                .completed
                .saturating_add(said.waiting)
                .saturating_sub(self.upto),
            Said::Voter(said) => said
                .lacking
                .saturating_sub(self.upto.saturating_sub(said.used)),
        }
    }
}

/// See the module's text.
#[derive(Default)]
pub struct MigrationPacer {
    claims: BTreeMap<Claimant, Known>,
    last: Option<Micros>,
    /// In moves times microseconds a second.
    credit: u64,
    permitted_total: u64,
}

impl MigrationPacer {
    /// One that goes on where the last checkpoint says.
    pub fn resume(checkpoint: &[u8]) -> MigrationPacer {
        MigrationPacer {
            permitted_total: checkpoint.try_into().map_or(0, u64::from_be_bytes),
            ..MigrationPacer::default()
        }
    }

    /// How far it is, for the log.
    pub fn checkpoint(&self) -> Vec<u8> {
        self.permitted_total.to_be_bytes().to_vec()
    }

    /// Moves that were permitted since the job began, by all its owners.
    pub fn permitted_total(&self) -> u64 {
        self.permitted_total
    }

    /// When permits are given next.
    pub fn next_tick(&self) -> Micros {
        self.last.map_or(0, |last| last + TURN)
    }

    /// A relay has said how its moves are. What it said before that comes later changes nothing.
    pub fn handle_report(&mut self, at: Micros, relay: RelayId, said: &[u8]) {
        let Some(said) = MigrationStatus::decode(said) else {
            return;
        };
        let new = || Known {
            said: Said::RelayId(said),
            at,
            upto: said.permitted,
        };
        let known = self
            .claims
            .entry(Claimant::RelayId(relay))
            .or_insert_with(new);
        let Said::RelayId(before) = known.said else {
            return;
        };
        if said.completed >= before.completed && at >= known.at {
            (known.said, known.at) = (Said::RelayId(said), at);
            known.upto = known.upto.max(said.permitted);
        }
    }

    /// A voter has said how the moves of the relays are that follow it. It goes on from the allowance that it has.
    pub fn handle_summary(&mut self, now: Micros, voter: u64, said: MovesSummary) {
        let new = || Known {
            said: Said::Voter(said),
            at: now,
            upto: said.allowed,
        };
        let claimant = Claimant::Voter(voter, said.instance);
        let known = self.claims.entry(claimant).or_insert_with(new);
        let Said::Voter(before) = &known.said else {
            return;
        };
        if said.used >= before.used {
            (known.said, known.at) = (Said::Voter(said), now);
            known.upto = known.upto.max(said.allowed);
        }
    }

    /// What a voter may permit in all, as far as it has said which process it is.
    pub fn allowance(&self, voter: u64) -> Option<Allowance> {
        let of = Claimant::Voter(voter, 0)..=Claimant::Voter(voter, u64::MAX);
        let (claimant, known) = self.claims.range(of).max_by_key(|(_, known)| known.at)?;
        let Claimant::Voter(_, instance) = claimant else {
            return None;
        };
        Some(Allowance {
            instance: *instance,
            permitted: known.upto,
        })
    }

    /// Time has passed: what is permitted now, at so many moves a second for the whole fleet. Those that wait with most go
    /// first.
    pub fn tick(&mut self, now: Micros, per_second: u64) -> Option<MigrationPermits> {
        let last = *self.last.get_or_insert(now);
        if now < last + TURN {
            return None;
        }
        let second = 1_000_000;
        self.credit =
            (self.credit + (now - last).min(SAVED) * per_second).min(per_second.max(1) * SAVED);
        self.last = Some(now);
        self.claims.retain(|_, known| now < known.at + SILENT);
        let mut gave = false;
        while self.credit >= second {
            let Some(known) = self.claims.values_mut().max_by_key(|known| known.lacking()) else {
                break;
            };
            if known.lacking() == 0 {
                break;
            }
            known.upto += 1;
            (self.credit, self.permitted_total, gave) =
                (self.credit - second, self.permitted_total + 1, true);
        }
        let mut of = Vec::new();
        let mut waits = false;
        for (claimant, known) in &self.claims {
            let (Claimant::RelayId(relay), Said::RelayId(said)) = (claimant, &known.said) else {
                continue;
            };
            waits |= said.permitted < known.upto;
            if known.upto > 0 {
                of.push((relay.clone(), known.upto));
            }
        }
        // Said again while somebody waits for it: a word may be lost.
        ((gave || waits) && !of.is_empty()).then_some(MigrationPermits { by_relay: of })
    }
}
