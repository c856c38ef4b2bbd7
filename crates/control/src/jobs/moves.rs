//! Migration pacing: the job of limiting the rate at which all relays together migrate established
//! connections to other cells. Migrations away from draining or overloaded endpoints are not
//! counted.
//!
//! Each relay reports how many of its connections wait to be migrated and how many it has migrated
//! since its start. The owner permits each relay a total number of migrations since that start.
//! This total only grows, so a message that arrives late or twice permits nothing more. A relay
//! without a permit migrates nothing.
//!
//! Voters merge the reports of the relays that follow them into one summary, and distribute the
//! allowance that the owner gives them; [`crate::broadcast::allowance`] explains why the total
//! stays bounded. Relays that follow voters of older builds get their permits individually.
//!
//! Guards against: more migrations per second than the policy allows the fleet, also when the owner
//! changes (a new owner starts from the reported permits and with an empty token bucket), and a
//! relay that no longer reports (it gets no permits).

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
/// Interval between two distributions of permits.
const PERMIT_INTERVAL: Micros = 250_000;
/// Size of the token bucket, as the time in which the rate fills it. Permits that no relay needs do
/// not accumulate.
const MAX_BURST: Micros = 1_000_000;
/// Number of tokens that one permit costs. In each microsecond the bucket gains as many tokens as
/// the rate in migrations per second.
const TOKENS_PER_PERMIT: u64 = 1_000_000;

/// Report of a relay about its migrations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct MigrationStatus {
    /// Number of connections that wait to be migrated.
    pub waiting: u64,
    /// Number of migrations since the relay's start.
    #[serde(rename = "made")]
    pub completed: u64,
    /// Permitted number of migrations since the relay's start, as far as the relay knows.
    pub permitted: u64,
}

impl MigrationStatus {
    /// Encodes the report.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(self)
    }

    /// Decodes a report. Returns `None` if the bytes are invalid.
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
    /// Encodes the permits.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(self)
    }

    /// Decodes permits. Returns `None` if the bytes are invalid.
    pub fn decode(bytes: &[u8]) -> Option<MigrationPermits> {
        wire::decode(bytes)
    }

    /// Number of migrations that a relay's process is permitted, if the permits name it.
    pub fn for_relay(&self, relay: &RelayId) -> Option<u64> {
        self.by_relay
            .iter()
            .find(|(permitted_relay, _)| permitted_relay == relay)
            .map(|(_, permitted)| *permitted)
    }
}

/// A process that requests permits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Requester {
    /// A relay that follows a voter of an older build.
    Relay(RelayId),
    /// A voter's process, on behalf of all relays that follow it.
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
    /// Total number of permits. Each increment costs tokens.
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

/// State of the job's owner: a token bucket, and the reports of relays and voters. By default there
/// are no reports and the bucket is empty.
#[derive(Default)]
pub struct MigrationPacer {
    requesters: BTreeMap<Requester, RequesterState>,
    last_tick: Option<Micros>,
    tokens: u64,
    /// Total number of permits given by all owners, see [`MigrationPacer::permitted_total`].
    permitted_total: u64,
}

impl MigrationPacer {
    /// Creates a pacer that continues from a checkpoint. An empty or damaged checkpoint counts as
    /// zero.
    pub fn resume(checkpoint: &[u8]) -> MigrationPacer {
        MigrationPacer {
            permitted_total: checkpoint.try_into().map_or(0, u64::from_be_bytes),
            ..MigrationPacer::default()
        }
    }

    /// Checkpoint of the current state, for the log.
    pub fn checkpoint(&self) -> Vec<u8> {
        self.permitted_total.to_be_bytes().to_vec()
    }

    /// Number of migrations permitted since the job was created: up to the checkpoint by former
    /// owners, and since then by this one.
    pub fn permitted_total(&self) -> u64 {
        self.permitted_total
    }

    /// When permits are distributed next.
    pub fn next_tick(&self) -> Micros {
        self.last_tick
            .map_or(0, |last_tick| last_tick + PERMIT_INTERVAL)
    }

    /// Handles a relay's report; `reported_at` is the earliest time at which it was valid. A report
    /// older than the latest one is ignored.
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

    /// Handles a voter's summary. Its allowance continues from the value that it reports. A summary
    /// older than the latest one is ignored.
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

    /// Allowance of a voter's latest process; `None` until the voter has reported.
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

    /// Distributes permits at this rate, in migrations per second of the whole fleet, each to the
    /// requester with the largest unmet demand. Returns the permits for single relays, if there are
    /// new ones or a relay does not know its permits yet.
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

    /// Gives permits until the tokens are spent or there is no unmet demand. Returns whether it
    /// gave any.
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

    /// Permits of relays that follow voters of older builds. They are repeated while a relay does
    /// not know its permits, since messages may be lost.
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
