//! Migration pacing: the job of limiting the rate at which all relays migrate established connections to other cells.
//! Migrations away from draining or overloaded endpoints are not counted here.
//!
//! Each relay reports how many of its connections wait and how many it has migrated since its start. The owner permits
//! each relay a number of migrations since that start, which only grows, so a message that arrives late or twice permits
//! nothing more. A relay without a permit migrates nothing.
//!
//! Voters merge the reports of the relays that follow them into one summary and distribute the allowance that the owner
//! gives them; [`crate::broadcast::allowance`] has the argument for the bound. Relays that follow voters of older builds
//! get their permits one by one.
//!
//! Guards against: more migrations per second than the policy allows the fleet, also when the owner changes (a new one
//! starts with the permits that are reported and without tokens), and a relay that is gone (it gets no permits).

use crate::broadcast::message::{Allowance, MigrationSummary};
use crate::relay::RelayId;
use crate::{wire, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Kind of this job, which is also its name.
pub const KIND: &str = "moves";
/// A relay or voter that has not reported for this time gets no permits.
const REPORT_TIMEOUT: Micros = 3_000_000;
/// Interval at which permits are given.
const PERMIT_INTERVAL: Micros = 250_000;
/// Size of the token bucket, as the time in which the rate fills it. Permits that no relay needs do not accumulate.
const MAX_BURST: Micros = 1_000_000;
/// Tokens that one permit costs: the bucket gains the rate, in migrations per second, with each microsecond.
const TOKENS_PER_PERMIT: u64 = 1_000_000;

/// Report of a relay about its migrations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct MigrationStatus {
    /// Connections that wait to be migrated.
    pub waiting: u64,
    /// Migrations since the relay's start.
    #[serde(rename = "made")]
    pub completed: u64,
    /// Permitted migrations since the relay's start, as far as it knows.
    pub permitted: u64,
}

impl MigrationStatus {
    /// The report as bytes.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(self)
    }

    /// The report from bytes; none if the bytes cannot be decoded.
    pub fn decode(bytes: &[u8]) -> Option<MigrationStatus> {
        wire::decode(bytes)
    }
}

/// Permits of the owner for single relays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct MigrationPermits {
    /// Relays, and the number of migrations that each is permitted since its start.
    #[serde(rename = "of")]
    pub by_relay: Vec<(RelayId, u64)>,
}

impl MigrationPermits {
    /// The permits as bytes.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(self)
    }

    /// The permits from bytes; none if the bytes cannot be decoded.
    pub fn decode(bytes: &[u8]) -> Option<MigrationPermits> {
        wire::decode(bytes)
    }

    /// The number of migrations that a relay's process is permitted, if it is named.
    pub fn for_relay(&self, relay: &RelayId) -> Option<u64> {
        self.by_relay
            .iter()
            .find(|(permitted_relay, _)| permitted_relay == relay)
            .map(|(_, permitted)| *permitted)
    }
}

/// Who requests permits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Requester {
    /// A relay that follows a voter of an older build.
    Relay(RelayId),
    /// A process of a voter, for all relays that follow it.
    Voter { voter: u64, incarnation: u64 },
}

/// Latest report of a requester.
enum Demand {
    Relay(MigrationStatus),
    Voter(MigrationSummary),
}

struct RequesterState {
    demand: Demand,
    reported_at: Micros,
    /// Permits in total. Each increment costs tokens.
    permitted: u64,
}

impl RequesterState {
    /// Number of waiting connections without a permit.
    fn unmet_demand(&self) -> u64 {
        match &self.demand {
            Demand::Relay(status) => status
                .completed
                .saturating_add(status.waiting)
                .saturating_sub(self.permitted),
            Demand::Voter(summary) => {
                let not_distributed = self.permitted.saturating_sub(summary.used);
                summary.unmet_demand.saturating_sub(not_distributed)
            }
        }
    }
}

/// The owner's state: a token bucket, and what relays and voters report. Default: nothing is known, the bucket is empty.
#[derive(Default)]
pub struct MigrationPacer {
    requesters: BTreeMap<Requester, RequesterState>,
    last_tick: Option<Micros>,
    tokens: u64,
    permitted_total: u64,
}

impl MigrationPacer {
    /// A pacer that continues from a checkpoint; an empty or damaged one counts as zero.
    pub fn resume(checkpoint: &[u8]) -> MigrationPacer {
        MigrationPacer {
            permitted_total: checkpoint.try_into().map_or(0, u64::from_be_bytes),
            ..MigrationPacer::default()
        }
    }

    /// The checkpoint for the log.
    pub fn checkpoint(&self) -> Vec<u8> {
        self.permitted_total.to_be_bytes().to_vec()
    }

    /// Migrations that all owners have permitted since the job was created, up to the latest checkpoint and by this one.
    pub fn permitted_total(&self) -> u64 {
        self.permitted_total
    }

    /// When permits are given next.
    pub fn next_tick(&self) -> Micros {
        self.last_tick
            .map_or(0, |last_tick| last_tick + PERMIT_INTERVAL)
    }

    /// Handles the report of a relay that was valid at this time at the earliest. An older report than the latest is
    /// ignored.
    pub fn handle_report(&mut self, reported_at: Micros, relay: RelayId, report: &[u8]) {
        let Some(status) = MigrationStatus::decode(report) else {
            return;
        };
        let state = self
            .requesters
            .entry(Requester::Relay(relay))
            .or_insert_with(|| RequesterState {
                demand: Demand::Relay(status),
                reported_at,
                permitted: status.permitted,
            });
        let Demand::Relay(previous) = &state.demand else {
            return;
        };
        if status.completed >= previous.completed && reported_at >= state.reported_at {
            state.demand = Demand::Relay(status);
            state.reported_at = reported_at;
            state.permitted = state.permitted.max(status.permitted);
        }
    }

    /// Handles the summary of a voter. Its allowance continues from the one that it reports. An older summary than the
    /// latest is ignored.
    pub fn handle_summary(&mut self, now: Micros, voter: u64, summary: MigrationSummary) {
        let requester = Requester::Voter {
            voter,
            incarnation: summary.incarnation,
        };
        let state = self
            .requesters
            .entry(requester)
            .or_insert_with(|| RequesterState {
                demand: Demand::Voter(summary),
                reported_at: now,
                permitted: summary.allowed,
            });
        let Demand::Voter(previous) = &state.demand else {
            return;
        };
        if summary.used >= previous.used {
            state.demand = Demand::Voter(summary);
            state.reported_at = now;
            state.permitted = state.permitted.max(summary.allowed);
        }
    }

    /// The allowance of a voter's latest process; none until the voter has reported.
    pub fn allowance(&self, voter: u64) -> Option<Allowance> {
        let all_incarnations = Requester::Voter {
            voter,
            incarnation: 0,
        }..=Requester::Voter {
            voter,
            incarnation: u64::MAX,
        };
        let (requester, state) = self
            .requesters
            .range(all_incarnations)
            .max_by_key(|(_, state)| state.reported_at)?;
        let Requester::Voter { incarnation, .. } = requester else {
            return None;
        };
        Some(Allowance {
            incarnation: *incarnation,
            permitted: state.permitted,
        })
    }

    /// Gives permits at this rate, in migrations per second of the whole fleet, each to the requester with the largest
    /// unmet demand. Returns the permits for single relays, if there are new ones or a relay does not know its permits yet.
    pub fn tick(&mut self, now: Micros, per_second: u64) -> Option<MigrationPermits> {
        let last_tick = *self.last_tick.get_or_insert(now);
        if now < last_tick + PERMIT_INTERVAL {
            return None;
        }
        self.last_tick = Some(now);
        let added = (now - last_tick).min(MAX_BURST) * per_second;
        self.tokens = (self.tokens + added).min(per_second.max(1) * MAX_BURST);
        self.requesters
            .retain(|_, state| now < state.reported_at + REPORT_TIMEOUT);
        let has_new_permits = self.spend_tokens();
        self.permits_for_relays(has_new_permits)
    }

    /// Gives permits until the tokens are spent or no demand is left. Returns whether it gave any.
    fn spend_tokens(&mut self) -> bool {
        let mut has_new_permits = false;
        while self.tokens >= TOKENS_PER_PERMIT {
            let neediest = self
                .requesters
                .values_mut()
                .max_by_key(|state| state.unmet_demand());
            let Some(state) = neediest.filter(|state| state.unmet_demand() > 0) else {
                break;
            };
            state.permitted += 1;
            self.tokens -= TOKENS_PER_PERMIT;
            self.permitted_total += 1;
            has_new_permits = true;
        }
        has_new_permits
    }

    /// The permits of relays that follow voters of older builds. They are repeated while a relay does not know its permits,
    /// since a message may be lost.
    fn permits_for_relays(&self, has_new_permits: bool) -> Option<MigrationPermits> {
        let mut by_relay = Vec::new();
        let mut has_unknown_permits = false;
        for (requester, state) in &self.requesters {
            let (Requester::Relay(relay), Demand::Relay(status)) = (requester, &state.demand)
            else {
                continue;
            };
            has_unknown_permits |= status.permitted < state.permitted;
            if state.permitted > 0 {
                by_relay.push((relay.clone(), state.permitted));
            }
        }
        let must_send = (has_new_permits || has_unknown_permits) && !by_relay.is_empty();
        must_send.then_some(MigrationPermits { by_relay })
    }
}
