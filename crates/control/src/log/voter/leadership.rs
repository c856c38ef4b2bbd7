//! What a voter knows while it leads: of each relay, of the proposal under way, and of jobs that were relinquished. All of
//! it is lost with the leadership; a new leader waits until the leases of its predecessor have run out.

use super::relinquish_backoff::RelinquishBackoff;
use super::Voter;
use crate::log::state::ProposalId;
use crate::relay::{JobCapabilities, RelayId};
use crate::wire::message::RenewRequest;
use crate::{FleetTiming, InjectedBug, Micros};
use std::collections::BTreeMap;

/// Relays that a leader tracks; renewals of more are rejected.
const MAX_RELAYS: usize = 8192;

/// What a leader knows of a relay from its renewals. Times are of the leader's clock.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayProgress {
    /// When it was last granted a lease on the policy.
    pub lease_granted_at: Option<Micros>,
    /// The epoch of its policy.
    pub epoch: u64,
    /// The proposal that it has checked and stored.
    pub prepared: Option<ProposalId>,
    /// The proposal for which it has stopped admitting under the old policy.
    pub stopped_for: Option<ProposalId>,
    /// The version of the jobs that it acts by; none where it does no jobs.
    pub jobs_version: Option<u64>,
    /// When it was last granted a lease on its jobs.
    pub jobs_lease_granted_at: Option<Micros>,
    /// Which jobs it can do.
    pub capabilities: JobCapabilities,
    /// The first response that it has not acknowledged.
    pub unacknowledged: Option<SentResponse>,
    /// When its last renewal was processed.
    pub last_seen: Micros,
}

/// A response to a renewal.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentResponse {
    /// The sequence of the request that it answers.
    sequence: u64,
    sent_at: Micros,
}

impl RelayProgress {
    /// Whether its lease on the policy may still run.
    pub(super) fn may_hold_lease(&self, now: Micros, timing: &FleetTiming) -> bool {
        self.lease_granted_at
            .is_some_and(|at| now < timing.lease_expired_by(at))
    }

    /// Whether its lease on its jobs may still run.
    pub(super) fn may_hold_jobs_lease(&self, now: Micros, timing: &FleetTiming) -> bool {
        self.jobs_lease_granted_at
            .is_some_and(|at| now < timing.lease_expired_by(at))
    }

    /// Records a renewal that is about to be answered. Returns whether responses reach the relay: one that has acknowledged
    /// none for the length of a lease holds no lease, and must be granted none until it acknowledges one. Otherwise it would
    /// keep its jobs, and hold up a change of policy, for as long as only its requests arrive.
    pub(super) fn record_renewal(
        &mut self,
        request: &RenewRequest,
        now: Micros,
        lease_duration: Micros,
    ) -> bool {
        self.epoch = request.epoch;
        self.prepared = request.prepared;
        self.stopped_for = request.stopped_for;
        self.last_seen = now;
        self.unacknowledged = self
            .unacknowledged
            .filter(|response| response.sequence > request.last_seen_response);
        let is_unreachable = self
            .unacknowledged
            .is_some_and(|response| now >= response.sent_at + lease_duration);
        self.unacknowledged.get_or_insert(SentResponse {
            sequence: request.sequence,
            sent_at: now,
        });
        !is_unreachable
    }
}

/// The step of a proposal that the leader is at.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProposalStep {
    /// The proposal.
    pub id: ProposalId,
    /// Whether it is sealed; it is being prepared otherwise.
    pub is_sealed: bool,
    /// Since when this leader sees it at this step.
    pub since: Micros,
    /// When the entry for its next step was last proposed.
    pub proposed_at: Option<Micros>,
}

/// A run of the job assignment.
#[derive(Clone, Copy, Debug)]
pub(super) struct AssignmentRun {
    /// The version of the jobs that it looked at.
    pub jobs_version: u64,
    /// When it was.
    pub at: Micros,
}

/// One term of this voter as leader.
#[derive(Debug, Default)]
pub(super) struct Leadership {
    /// The term.
    pub term: u64,
    /// When this voter knew that it leads. Later than its election, which errs on the safe side.
    pub since: Micros,
    /// The relays that have asked this leader for a lease.
    pub relays: BTreeMap<RelayId, RelayProgress>,
    /// The proposal under way.
    pub proposal_step: Option<ProposalStep>,
    /// When a change of the members was last proposed.
    pub membership_proposed_at: Option<Micros>,
    /// The last run of the job assignment.
    pub last_assignment: Option<AssignmentRun>,
    /// When jobs were last revoked for balance.
    pub rebalanced_at: Micros,
    /// Jobs that their owners have relinquished lately.
    pub relinquished: BTreeMap<String, RelinquishBackoff>,
}

impl Leadership {
    /// What is known of a relay, from now on also of a new one; none where too many are tracked.
    pub(super) fn track_relay(&mut self, relay: &RelayId) -> Option<&mut RelayProgress> {
        if !self.relays.contains_key(relay) && self.relays.len() >= MAX_RELAYS {
            return None;
        }
        Some(self.relays.entry(relay.clone()).or_default())
    }
}

impl Voter {
    /// Begins or ends this voter's leadership where that has changed. Returns whether it leads, with an entry of its own
    /// term committed.
    pub(super) fn update_leadership(&mut self) -> bool {
        let confirmed_term = self
            .leader_term()
            .filter(|_| self.node.raft.commit_to_current_term());
        let Some(term) = confirmed_term else {
            self.leadership = None;
            return false;
        };
        let is_known = self
            .leadership
            .as_ref()
            .is_some_and(|leadership| leadership.term == term);
        if !is_known {
            self.leadership = Some(Leadership {
                term,
                since: self.now,
                ..Leadership::default()
            });
        }
        true
    }

    /// What this voter knows as leader of the raft library's present term.
    pub(super) fn current_leadership(&mut self) -> Option<&mut Leadership> {
        let term = self.node.raft.term;
        self.leadership
            .as_mut()
            .filter(|leadership| leadership.term == term)
    }

    /// Whether all leases that the previous leader may have granted have run out.
    pub(super) fn previous_leases_expired(&self, leadership: &Leadership) -> bool {
        self.injected.is(InjectedBug::SkipPredecessorWait)
            || self.now >= self.timing.lease_expired_by(leadership.since)
    }

    /// Forgets relays whose last renewal is older than a proposal's timeout and a lease: their leases have run out.
    pub(super) fn forget_silent_relays(&mut self) {
        let (now, timing) = (self.now, self.timing);
        let timeout = timing.proposal_timeout + timing.lease_expired_by(0);
        if let Some(leadership) = &mut self.leadership {
            leadership
                .relays
                .retain(|_, relay| now < relay.last_seen + timeout);
        }
    }
}
