//! Lease client: the policy of a relay, and the lease under which it may admit clients.
//!
//! Input: the time, and responses of voters. Output: [`LeaseAction`]s.
//!
//! A lease starts when the relay requested it, by a clock that also counts time during which the
//! machine was suspended. It is checked right before each client is admitted, so a process that was
//! paused does not admit clients under a policy that may have been replaced. A restarted process
//! admits no clients until it has a lease of its own.
//!
//! Guards against: responses to requests that were sent before the relay stopped admitting or
//! changed its policy (ignored), a lease that outlives a restart, and a proposal that this build
//! does not understand (rejected with the reason; the policy in force stays).

use crate::jobs::owner::JobOwner;
use crate::log::membership::Membership;
use crate::log::state::{Policy, Proposal, ProposalId};
use crate::relay::RelayId;
use crate::wire::message::RenewRequest;
use crate::{FleetTiming, InjectedBug, InjectedBugs, Micros};
use std::collections::VecDeque;

mod response;
#[cfg(test)]
mod tests;

/// Maximum number of requests whose responses are still accepted. A lease from an older request
/// would have expired.
const MAX_TRACKED_REQUESTS: usize = 32;
/// A request without a response is sent to the next voter after the renewal interval divided by
/// this.
const RETRY_DIVISOR: Micros = 2;

/// Behaviour of a relay while no leader responds to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaderlessMode {
    /// The relay rejects clients once its lease has expired, so clients are never admitted under
    /// two policies.
    #[default]
    Reject,
    /// The relay continues to admit clients under its policy, which may have been replaced.
    Serve,
}

/// An action that the caller must execute, in the order in which actions are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Store the proposal durably, then call [`LeaseClient::proposal_persisted`].
    PersistProposal(Proposal),
    /// Store the policy durably, to be used after a restart, and apply it to the decisions.
    /// [`LeaseClient::may_admit`] says when clients may be admitted under it.
    AdoptPolicy(Policy),
    /// Store the membership durably, and connect to its voters.
    PersistMembership(Membership),
    /// Send the request to the voter with this number.
    SendRenew(u64, Box<RenewRequest>),
}

/// A renewal request that was sent.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    sequence: u64,
    sent_at: Micros,
}

/// A proposal that this relay has rejected.
#[derive(Clone, Debug)]
struct Rejection {
    id: ProposalId,
    reason: String,
}

/// A sealed proposal for which this relay has stopped admitting clients, and when.
#[derive(Clone, Copy, Debug)]
struct AdmissionStop {
    id: ProposalId,
    at: Micros,
}

/// Tracks the policy of this relay and the lease under which it may admit clients.
#[derive(Clone, Debug)]
pub struct LeaseClient {
    relay: RelayId,
    timing: FleetTiming,
    leaderless_mode: LeaderlessMode,
    injected: InjectedBugs,
    voters: Vec<u64>,
    /// Version of the membership that `voters` was taken from; 0 for the operator file.
    membership_version: u64,
    policy: Policy,
    /// Proposal that this relay has checked and stored.
    prepared: Option<Proposal>,
    rejected: Option<Rejection>,
    stopped_for: Option<AdmissionStop>,
    /// The lease expires at this time; 0 if there is none.
    lease_until: Micros,
    /// Sequence number of the latest request.
    last_sequence: u64,
    /// Highest sequence number whose response from a leader has arrived.
    last_seen_response: u64,
    /// Responses to requests up to this sequence number are ignored, because they were sent before
    /// the relay stopped admitting or changed its policy.
    ignored_up_to: u64,
    /// Latest requests, the newest last.
    requests: VecDeque<SentRequest>,
    /// When the next request is due, unless a response arrives before.
    next_request_at: Micros,
    /// Whether the latest request has no response yet.
    awaits_response: bool,
    /// Index into `voters`, modulo its length, of the voter that requests are sent to.
    voter_cursor: usize,
    /// Jobs of this relay; `None` if it does no jobs.
    owner: Option<JobOwner>,
    /// Latest fencing token of the fleet that a leader has reported.
    last_token: Option<u64>,
}

impl LeaseClient {
    /// Creates the lease client of a relay with its stored policy. It sends requests to one voter
    /// after the other until it finds the leader.
    pub fn new(
        relay: RelayId,
        voters: Vec<u64>,
        stored: Policy,
        timing: FleetTiming,
        leaderless_mode: LeaderlessMode,
    ) -> LeaseClient {
        // Derived from the name, so that relays start with different voters.
        let voter_cursor = relay.name.bytes().map(usize::from).sum::<usize>() % voters.len().max(1);
        LeaseClient {
            relay,
            timing,
            leaderless_mode,
            injected: InjectedBugs::default(),
            voters,
            membership_version: 0,
            policy: stored,
            prepared: None,
            rejected: None,
            stopped_for: None,
            lease_until: 0,
            last_sequence: 0,
            last_seen_response: 0,
            ignored_up_to: 0,
            requests: VecDeque::new(),
            next_request_at: 0,
            awaits_response: false,
            voter_cursor,
            owner: None,
            last_token: None,
        }
    }

    /// Injects a bug, for tests of the checkers.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(mut self, injected: InjectedBugs, now: Micros) -> LeaseClient {
        self.injected = injected;
        if injected.is(InjectedBug::LeaseSurvivesRestart) && self.policy.epoch > 0 {
            self.lease_until = now + self.timing.lease_duration;
        }
        self
    }

    /// Replaces the known voters by those of a membership, which comes from a response or, on a
    /// relay that votes, from its log. Returns false, and changes nothing, if it is not newer than
    /// the known one or has no voters.
    pub fn learn_membership(&mut self, membership: &Membership) -> bool {
        if membership.version <= self.membership_version {
            return false;
        }
        let current = self.voters[self.voter_position()];
        let voters: Vec<u64> = membership.voters().collect();
        if voters.is_empty() {
            return false;
        }
        self.voters = voters;
        self.membership_version = membership.version;
        if let Some(position) = self.position_of(current) {
            self.voter_cursor = position;
        }
        true
    }

    /// Makes this relay available for jobs.
    pub fn set_job_owner(&mut self, owner: JobOwner) {
        self.owner = Some(owner);
    }

    /// Jobs of this relay, for changes.
    pub fn owner_mut(&mut self) -> Option<&mut JobOwner> {
        self.owner.as_mut()
    }

    /// Jobs of this relay.
    pub fn owner(&self) -> Option<&JobOwner> {
        self.owner.as_ref()
    }

    /// Latest fencing token of the fleet that a leader has reported to this process. A receiver
    /// accepts no commands without it.
    pub fn last_token(&self) -> Option<u64> {
        self.last_token
    }

    /// The known voters, and the one that requests are sent to, which is the leader if it is known.
    pub fn voters(&self) -> (&[u64], Option<u64>) {
        let current = self.voters.get(self.voter_position()).copied();
        (&self.voters, current)
    }

    /// Identity of this process.
    pub fn relay(&self) -> &RelayId {
        &self.relay
    }

    /// Relinquishes all jobs because the relay stops. Returns the request that reports this.
    pub fn relinquish_jobs(&mut self, now: Micros) -> Option<LeaseAction> {
        self.owner.as_mut()?.relinquish_all();
        Some(self.send_request(now))
    }

    /// Policy of this relay.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Whether clients may be admitted now.
    pub fn may_admit(&self, now: Micros) -> bool {
        now < self.admit_until(now)
    }

    /// Time until which clients may be admitted, unless a response changes it.
    pub fn admit_until(&self, now: Micros) -> Micros {
        let injected_ignore_lease =
            self.injected.is(InjectedBug::IgnoreLease) && self.lease_until > 0;
        // A relay that serves without a leader also stops for a sealed proposal, until the
        // proposal's timeout.
        let has_stopped = self
            .stopped_for
            .is_some_and(|stop| now < stop.at + self.timing.proposal_timeout);
        let serves_leaderless = self.leaderless_mode == LeaderlessMode::Serve && !has_stopped;
        if injected_ignore_lease || serves_leaderless {
            return Micros::MAX;
        }
        self.lease_until
    }

    /// Sends a renewal request if it is due.
    pub fn tick(&mut self, now: Micros) -> Option<LeaseAction> {
        if now < self.next_request_at {
            return None;
        }
        if self.awaits_response {
            self.voter_cursor += 1;
        }
        Some(self.send_request(now))
    }

    /// Index of the voter that requests are sent to.
    fn voter_position(&self) -> usize {
        self.voter_cursor % self.voters.len().max(1)
    }

    fn position_of(&self, voter: u64) -> Option<usize> {
        self.voters.iter().position(|known| *known == voter)
    }

    fn send_request(&mut self, now: Micros) -> LeaseAction {
        self.last_sequence += 1;
        if self.requests.len() == MAX_TRACKED_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back(SentRequest {
            sequence: self.last_sequence,
            sent_at: now,
        });
        self.next_request_at = now + self.timing.renew_interval / RETRY_DIVISOR;
        self.awaits_response = true;
        let rejection = self.rejected.as_ref();
        let mut request = RenewRequest {
            relay: self.relay.clone(),
            sequence: self.last_sequence,
            last_seen_response: self.last_seen_response,
            epoch: self.policy.epoch,
            prepared: self.prepared.as_ref().map(|proposal| proposal.id),
            rejected: rejection.map(|rejection| (rejection.id, rejection.reason.clone())),
            stopped_for: self.stopped_for.map(|stop| stop.id),
            membership_version: self.membership_version,
            ..RenewRequest::default()
        };
        if let Some(owner) = &self.owner {
            owner.fill_request(&mut request);
        }
        LeaseAction::SendRenew(self.voters[self.voter_position()], Box::new(request))
    }

    /// Records that a proposal was stored durably. Returns the request that reports this.
    pub fn proposal_persisted(&mut self, now: Micros, proposal: Proposal) -> LeaseAction {
        self.prepared = Some(proposal);
        self.send_request(now)
    }

    /// When [`LeaseClient::tick`] must be called next, unless a response arrives before.
    pub fn next_tick(&self) -> Micros {
        self.next_request_at
    }
}
