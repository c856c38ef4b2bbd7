//! State of a voter while it leads: progress of each relay, step of the pending proposal, and
//! relinquished jobs. It is discarded when the leadership ends; a new leader waits until the leases
//! of its predecessor have expired.

use super::relinquish_backoff::RelinquishBackoff;
use super::Voter;
use crate::log::state::ProposalId;
use crate::relay::{JobCapabilities, RelayId};
use crate::wire::message::RenewRequest;
use crate::{FleetTiming, InjectedBug, Micros};
use std::collections::BTreeMap;

/// Maximum number of relays that a leader tracks. Renewals of further ones are rejected.
const MAX_RELAYS: usize = 8192;

/// Progress of a relay, as known from its renewals. Times are of the leader's clock.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayProgress {
    /// When the relay was last granted a lease on the policy.
    pub lease_granted_at: Option<Micros>,
    /// Epoch of the relay's policy.
    pub epoch: u64,
    /// Proposal that the relay has checked and stored.
    pub prepared: Option<ProposalId>,
    /// Sealed proposal for which the relay has stopped admitting clients under the old policy.
    pub stopped_for: Option<ProposalId>,
    /// Version of the job list that the relay has applied; `None` if it does no jobs.
    pub jobs_version: Option<u64>,
    /// When the relay was last granted a lease on its jobs.
    pub jobs_lease_granted_at: Option<Micros>,
    /// Jobs that the relay can do.
    pub capabilities: JobCapabilities,
    /// First response that the relay has not acknowledged.
    pub unacknowledged: Option<SentResponse>,
    /// When the relay's latest renewal was processed.
    pub last_seen: Micros,
}

/// A response to a renewal that was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentResponse {
    /// Sequence number of the request.
    sequence: u64,
    sent_at: Micros,
}

impl RelayProgress {
    /// Whether the relay's lease on the policy may still be valid.
    pub(super) fn may_hold_lease(&self, now: Micros, timing: &FleetTiming) -> bool {
        self.lease_granted_at
            .is_some_and(|at| now < timing.lease_expired_by(at))
    }

    /// Whether the relay's lease on its jobs may still be valid.
    pub(super) fn may_hold_jobs_lease(&self, now: Micros, timing: &FleetTiming) -> bool {
        self.jobs_lease_granted_at
            .is_some_and(|at| now < timing.lease_expired_by(at))
    }

    /// Records a renewal that is about to be answered. Returns whether responses reach the relay.
    ///
    /// A relay that has acknowledged no response for the duration of a lease holds no lease, and
    /// must not be granted one until it acknowledges a response. Otherwise a relay whose requests
    /// arrive but which receives no responses would keep its jobs and delay policy changes.
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

/// Step of the pending proposal, as seen by this leader.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProposalStep {
    /// Identifies the proposal.
    pub id: ProposalId,
    /// Whether the proposal is sealed. If not, it is being prepared.
    pub is_sealed: bool,
    /// When this leader first saw the proposal at this step.
    pub since: Micros,
    /// When the entry for the next step was last proposed.
    pub proposed_at: Option<Micros>,
}

/// A run of the job assignment.
#[derive(Clone, Copy, Debug)]
pub(super) struct AssignmentRun {
    /// Version of the jobs that the run was based on.
    pub jobs_version: u64,
    /// Time of the run.
    pub at: Micros,
}

/// Leadership of this voter during one term.
#[derive(Debug, Default)]
pub(super) struct Leadership {
    /// Term of the leadership.
    pub term: u64,
    /// When this voter noticed that it leads. This is after its election, so waits that count from
    /// it are longer than necessary, which is safe.
    pub since: Micros,
    /// Relays that have requested a lease from this leader.
    pub relays: BTreeMap<RelayId, RelayProgress>,
    /// Step of the pending proposal.
    pub proposal_step: Option<ProposalStep>,
    /// When a change of the membership was last proposed.
    pub membership_proposed_at: Option<Micros>,
    /// Latest run of the job assignment.
    pub last_assignment: Option<AssignmentRun>,
    /// When jobs were last revoked.
    pub last_revocation_at: Micros,
    /// Jobs that their owners have relinquished because they could not do them.
    pub relinquished: BTreeMap<String, RelinquishBackoff>,
}

impl Leadership {
    /// Progress of a relay, which is tracked from now on. `None` if too many relays are tracked.
    pub(super) fn track_relay(&mut self, relay: &RelayId) -> Option<&mut RelayProgress> {
        if !self.relays.contains_key(relay) && self.relays.len() >= MAX_RELAYS {
            return None;
        }
        Some(self.relays.entry(relay.clone()).or_default())
    }
}

impl Voter {
    /// Starts or ends this voter's leadership if the raft library's state has changed. Returns
    /// whether this voter leads and an entry of its own term is committed.
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

    /// State of the leadership, if it belongs to the raft library's current term.
    pub(super) fn current_leadership(&mut self) -> Option<&mut Leadership> {
        let term = self.node.raft.term;
        self.leadership
            .as_mut()
            .filter(|leadership| leadership.term == term)
    }

    /// Whether all leases that the previous leader may have granted have expired.
    pub(super) fn previous_leases_expired(&self, leadership: &Leadership) -> bool {
        self.injected.is(InjectedBug::SkipPredecessorWait)
            || self.now >= self.timing.lease_expired_by(leadership.since)
    }

    /// Removes relays whose latest renewal is older than the sum of the proposal timeout and the
    /// lease duration. Their leases have expired.
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
