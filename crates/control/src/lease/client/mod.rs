//! Lease client: the policy that a relay has, and the lease under which it may admit clients.
//!
//! A lease runs from when the relay requested it, by a clock that counts the time during which the machine was suspended. It
//! is checked right before each client is placed, so a process that was paused places no client under a policy that may have
//! been replaced. A process that has just started admits no client before it has a lease of its own.
//!
//! Guards against: responses to requests from before the relay stopped or changed its policy (ignored), a lease that outlives
//! a restart, and a proposal that this build does not understand (rejected with the reason; the fleet keeps its policy).
//!
//! Inputs are times and responses, outputs are [`LeaseAction`]s.

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

/// Requests whose responses may still arrive. A lease from an older one would have run out.
const MAX_TRACKED_REQUESTS: usize = 32;
/// A request without a response is repeated, at the next voter, after this part of the renewal interval.
const RETRY_DIVISOR: Micros = 2;

/// What a relay does while no leader answers it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaderlessMode {
    /// It admits no clients once its lease has run out: never are clients admitted under two policies.
    #[default]
    Reject,
    /// It continues under the policy that it has, which may have been replaced.
    Serve,
}

/// What the caller must do, in the order of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Store the proposal durably, then call [`LeaseClient::proposal_persisted`].
    PersistProposal(Proposal),
    /// Store the policy durably as the one to start with, then admit clients under it.
    AdoptPolicy(Policy),
    /// Store the members durably, and connect to their voters.
    PersistMembership(Membership),
    /// Send the request to the voter of this number.
    SendRenew(u64, Box<RenewRequest>),
}

/// A renewal that was sent.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    sequence: u64,
    at: Micros,
}

/// A proposal that this relay has rejected.
#[derive(Clone, Debug)]
struct Rejection {
    id: ProposalId,
    reason: String,
}

/// A sealed proposal for which this relay has stopped admitting.
#[derive(Clone, Copy, Debug)]
struct AdmissionStop {
    id: ProposalId,
    at: Micros,
}

/// Lease client: tracks the policy in force and the lease under which this relay may admit clients.
#[derive(Clone, Debug)]
pub struct LeaseClient {
    relay: RelayId,
    timing: FleetTiming,
    leaderless_mode: LeaderlessMode,
    injected: InjectedBugs,
    voters: Vec<u64>,
    /// The version of the members that the voters are from; 0 for those of the operator file.
    membership_version: u64,
    policy: Policy,
    /// The proposal that this relay has checked and stored.
    prepared: Option<Proposal>,
    rejected: Option<Rejection>,
    stopped_for: Option<AdmissionStop>,
    /// Clients may be admitted before this time; 0 for no lease.
    lease_until: Micros,
    /// The sequence of the last request.
    last_sequence: u64,
    /// The last request that a leader has answered.
    last_seen_response: u64,
    /// Responses to requests up to this sequence are ignored.
    barrier: u64,
    /// The last requests, the newest last.
    requests: VecDeque<SentRequest>,
    /// When the next request is due if nothing arrives before.
    next_request_at: Micros,
    /// Whether the last request has no response yet.
    awaits_response: bool,
    /// Counts up from voter to voter, see [`LeaseClient::voter_position`].
    voter_cursor: usize,
    /// This relay's jobs, where it does any.
    owner: Option<JobOwner>,
    /// The last fencing token of the fleet that a leader has reported.
    last_token: Option<u64>,
}

impl LeaseClient {
    /// A relay with the policy that it had stored. It requests leases from each of the voters in turn, until one leads.
    pub fn new(
        relay: RelayId,
        voters: Vec<u64>,
        stored: Policy,
        timing: FleetTiming,
        leaderless_mode: LeaderlessMode,
    ) -> LeaseClient {
        // By its name, so that relays begin with different voters.
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
            barrier: 0,
            requests: VecDeque::new(),
            next_request_at: 0,
            awaits_response: false,
            voter_cursor,
            owner: None,
            last_token: None,
        }
    }

    /// The same client with an injected bug, for tests of the checkers.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(mut self, injected: InjectedBugs, now: Micros) -> LeaseClient {
        self.injected = injected;
        if injected.is(InjectedBug::LeaseSurvivesRestart) && self.policy.epoch > 0 {
            self.lease_until = now + self.timing.lease_duration;
        }
        self
    }

    /// Sends requests to the voters among these members from now on, and not to those that it was made with. A relay that
    /// votes knows them from its log, too. Returns whether they are newer than those that it had.
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

    /// Allows this relay to be assigned jobs.
    pub fn set_job_owner(&mut self, owner: JobOwner) {
        self.owner = Some(owner);
    }

    /// This relay's jobs, to act on.
    pub fn owner_mut(&mut self) -> Option<&mut JobOwner> {
        self.owner.as_mut()
    }

    /// This relay's jobs.
    pub fn owner(&self) -> Option<&JobOwner> {
        self.owner.as_ref()
    }

    /// The last fencing token of the fleet that a leader has reported to this process. A receiver needs it before it accepts
    /// commands.
    pub fn last_token(&self) -> Option<u64> {
        self.last_token
    }

    /// The voters that this relay knows, and the one that it sends requests to: the leader, as far as it is known.
    pub fn voters(&self) -> (&[u64], Option<u64>) {
        let current = self.voters.get(self.voter_position()).copied();
        (&self.voters, current)
    }

    /// This process of the relay.
    pub fn relay(&self) -> &RelayId {
        &self.relay
    }

    /// The relay stops: relinquishes its jobs, and reports it with the request that is returned.
    pub fn relinquish_jobs(&mut self, now: Micros) -> Option<LeaseAction> {
        self.owner.as_mut()?.relinquish_all();
        Some(self.send_request(now))
    }

    /// The policy that this relay has.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Whether a client may be admitted now.
    pub fn may_admit(&self, now: Micros) -> bool {
        now < self.admit_until(now)
    }

    /// Clients may be admitted before this time, unless something arrives that changes it.
    pub fn admit_until(&self, now: Micros) -> Micros {
        let ignores_lease = self.injected.is(InjectedBug::IgnoreLease) && self.lease_until > 0;
        // Also a relay that serves without a leader stops for a sealed proposal, for as long as the fleet may need.
        let has_stopped = self
            .stopped_for
            .is_some_and(|stop| now < stop.at + self.timing.proposal_timeout);
        let serves_leaderless = self.leaderless_mode == LeaderlessMode::Serve && !has_stopped;
        if ignores_lease || serves_leaderless {
            return Micros::MAX;
        }
        self.lease_until
    }

    /// Time has passed: renews the lease where that is due.
    pub fn tick(&mut self, now: Micros) -> Option<LeaseAction> {
        if now < self.next_request_at {
            return None;
        }
        if self.awaits_response {
            self.voter_cursor += 1;
        }
        Some(self.send_request(now))
    }

    /// A position in the list of voters.
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
            at: now,
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

    /// A proposal is stored durably: reports it with the request that is returned.
    pub fn proposal_persisted(&mut self, now: Micros, proposal: Proposal) -> LeaseAction {
        self.prepared = Some(proposal);
        self.send_request(now)
    }

    /// When [`LeaseClient::tick`] has something to do if nothing arrives before.
    pub fn next_tick(&self) -> Micros {
        self.next_request_at
    }
}
