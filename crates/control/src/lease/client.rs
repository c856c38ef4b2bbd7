//! A relay's side: it holds the policy that it admits clients under, and a lease on it.
//!
//! A lease runs from when the relay asked for it, by a clock that counts the time that the machine slept. It is looked at
//! right before each placement, so a process that was stopped and woken places nothing under a policy that may have been
//! replaced meanwhile. A relay that has just started admits nobody before it has a lease of its own.
//!
//! Guards against: an answer to a question from before it stopped or changed its policy (it counts for nothing), a lease that outlives a restart, and
//! a proposal that this build does not understand (it is refused, with the reason, and the fleet keeps what it has).

use crate::jobs::owner::JobOwner;
use crate::log::membership::Membership;
use crate::log::state::{Policy, Proposal, ProposalId};
use crate::wire::message::{RelayId, RenewRequest, RenewResponse};
use crate::{FleetTiming, InjectedBug, InjectedBugs, Micros};
use std::collections::VecDeque;

/// Questions whose answers may still come; what is older has lost its lease anyway.
const ASKED: usize = 32;

/// What a relay does when it hears from no leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaderlessMode {
    /// It admits nobody: nothing is ever served under two policies.
    #[default]
    Reject,
    /// It goes on under the policy that it has: served, but perhaps by an old policy.
    Serve,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Store it as the policy that is prepared; [`LeaseClient::prepared`] says that it is stored.
    PersistProposal(Proposal),
    /// Store it as the policy to start with, then serve under it.
    AdoptPolicy(Policy),
    /// Who votes has changed: store it, and know where to reach them.
    PersistMembership(Membership),
    /// Send this to that voter.
    SendRenew(u64, Box<RenewRequest>),
}

/// See the module's text.
#[derive(Clone, Debug)]
pub struct LeaseClient {
    relay: RelayId,
    times: FleetTiming,
    alone: LeaderlessMode,
    injected: InjectedBugs,
    voters: Vec<u64>,
    /// The version of the membership that it knows; 0 for those of the operator file.
    membership: u64,
    policy: Policy,
    proposal_persisted: Option<Proposal>,
    refused: Option<(ProposalId, String)>,
    /// The proposal that it has stopped for, and when.
    revoked: Option<(ProposalId, Micros)>,
    /// Up to when clients may be admitted.
    lease: Micros,
    number: u64,
    /// The last question that a leader has answered, as far as it has heard.
    handle_response: u64,
    /// Answers to questions up to this number count for nothing any more.
    barrier: u64,
    /// The last questions, each with its number and when it was asked.
    asked: VecDeque<(u64, Micros)>,
    /// When it asks next though nothing comes, and whether an answer is out.
    next: Micros,
    waits: bool,
    /// Whom it asks.
    voter: usize,
    /// What it does for the fleet, where it does any.
    owner: Option<JobOwner>,
    /// The last token that the fleet has given, as far as it was told.
    last_token: Option<u64>,
}

impl LeaseClient {
    /// A relay with the policy that it had stored. Its voters are asked in turn until one leads.
    pub fn new(
        relay: RelayId,
        voters: Vec<u64>,
        kept: Policy,
        times: FleetTiming,
        alone: LeaderlessMode,
    ) -> LeaseClient {
        let spread = relay
            .name
            .bytes()
            .fold(0, |sum, byte| sum + usize::from(byte));
        let voter = spread % voters.len().max(1);
        LeaseClient {
            relay,
            times,
            alone,
            injected: InjectedBugs::default(),
            voters,
            membership: 0,
            policy: kept,
            proposal_persisted: None,
            refused: None,
            revoked: None,
            lease: 0,
            number: 0,
            handle_response: 0,
            barrier: 0,
            asked: VecDeque::new(),
            next: 0,
            waits: false,
            voter,
            owner: None,
            last_token: None,
        }
    }

    /// The same with a fault in it: for tests of the checkers.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(mut self, injected: InjectedBugs, now: Micros) -> LeaseClient {
        self.injected = injected;
        if injected.is(InjectedBug::LeaseSurvivesRestart) && self.policy.epoch > 0 {
            self.lease = now + self.times.lease_duration;
        }
        self
    }

    /// Asks these from now on, and not those that it was made with. A relay that votes knows them from its log, too.
    pub fn learn_membership(&mut self, membership: &Membership) -> bool {
        if membership.version <= self.membership {
            return false;
        }
        let asked = self.voters[self.voter % self.voters.len()];
        let voters: Vec<u64> = membership.voters().collect();
        if voters.is_empty() {
            return false;
        }
        (self.voters, self.membership) = (voters, membership.version);
        self.voter = self
            .voters
            .iter()
            .position(|voter| *voter == asked)
            .unwrap_or(self.voter);
        true
    }

    /// It may be given jobs from now on.
    pub fn set_job_owner(&mut self, owner: JobOwner) {
        self.owner = Some(owner);
    }

    /// Its jobs, to act on.
    pub fn owner_mut(&mut self) -> Option<&mut JobOwner> {
        self.owner.as_mut()
    }

    /// Its jobs.
    pub fn owner(&self) -> Option<&JobOwner> {
        self.owner.as_ref()
    }

    /// The last token that the fleet has given, as a leader told this process last: what a receiver has to know first.
    pub fn last_token(&self) -> Option<u64> {
        self.last_token
    }

    /// Who votes, as far as it knows, and whom of them it asks: the leader, if it can.
    pub fn voters(&self) -> (&[u64], Option<u64>) {
        (
            &self.voters,
            self.voters
                .get(self.voter % self.voters.len().max(1))
                .copied(),
        )
    }

    /// The process that it is.
    pub fn relay(&self) -> &RelayId {
        &self.relay
    }

    /// Its relay stops: it gives up its jobs, and says so at once.
    pub fn release_jobs(&mut self, now: Micros) -> Option<LeaseAction> {
        self.owner.as_mut()?.release_all();
        Some(self.ask(now))
    }

    /// The policy that it has.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Whether a client may be admitted at this moment.
    pub fn may_admit(&self, now: Micros) -> bool {
        now < self.admit_until(now)
    }

    /// Up to when clients may be admitted, as things stand.
    pub fn admit_until(&self, now: Micros) -> Micros {
        let forever = self.injected.is(InjectedBug::IgnoreLease) && self.lease > 0;
        // One that serves alone still stops when it is asked to, for as long as the fleet may need.
        let stopped = self
            .revoked
            .is_some_and(|(_, at)| now < at + self.times.proposal_timeout);
        if forever || (self.alone == LeaderlessMode::Serve && !stopped) {
            return Micros::MAX;
        }
        self.lease
    }

    /// Time has passed: asks for the lease anew where that is due.
    pub fn tick(&mut self, now: Micros) -> Option<LeaseAction> {
        if now < self.next {
            return None;
        }
        // Nothing came back: another voter may know more.
        self.voter += usize::from(self.waits);
        Some(self.ask(now))
    }

    fn ask(&mut self, now: Micros) -> LeaseAction {
        self.number += 1;
        if self.asked.len() == ASKED {
            self.asked.pop_front();
        }
        self.asked.push_back((self.number, now));
        // Half the usual time for an answer, which is moved on once it has come.
        (self.next, self.waits) = (now + self.times.renew_interval / 2, true);
        let mut renew = RenewRequest {
            relay: self.relay.clone(),
            sequence: self.number,
            last_seen_response: self.handle_response,
            epoch: self.policy.epoch,
            prepared: self.proposal_persisted.as_ref().map(|p| p.id),
            rejected: self.refused.clone(),
            revoked: self.revoked.map(|(id, _)| id),
            membership_version: self.membership,
            ..RenewRequest::default()
        };
        if let Some(owner) = &self.owner {
            owner.fill_request(&mut renew);
        }
        LeaseAction::SendRenew(self.voters[self.voter % self.voters.len()], Box::new(renew))
    }

    /// An answer has come. `check` says whether this build understands a policy's text, and what is wrong with it.
    pub fn handle_response(
        &mut self,
        now: Micros,
        mut reply: RenewResponse,
        check: impl Fn(&str) -> Result<(), String>,
    ) -> Vec<LeaseAction> {
        // An answer to the process before this one, held back on its way, once bore the number of a question of this
        // one, and was taken for a lease.
        if reply.incarnation != self.relay.incarnation {
            return Vec::new();
        }
        let asked = self
            .asked
            .iter()
            .find(|(number, _)| *number == reply.sequence && *number > self.barrier);
        let Some(&(_, asked)) = asked else {
            return Vec::new();
        };
        let last = reply.sequence == self.number;
        let mut effects = Vec::new();
        if let Some(membership) = reply
            .membership
            .take()
            .filter(|membership| membership.version > self.membership)
        {
            self.learn_membership(&membership);
            effects.push(LeaseAction::PersistMembership(membership));
        }
        if let Some(leader) = reply.redirect {
            if !last || !std::mem::take(&mut self.waits) {
                return effects;
            }
            match leader.and_then(|id| self.voters.iter().position(|v| *v == id)) {
                Some(at) if at != self.voter % self.voters.len() => {
                    self.voter = at;
                    effects.push(self.ask(now));
                }
                // Nobody leads just now: the next voter, when it is time.
                _ => self.voter += 1,
            }
            return effects;
        }
        if std::mem::take(&mut self.waits) {
            self.next = self
                .asked
                .back()
                .map_or(now, |(_, at)| at + self.times.renew_interval);
        }
        self.handle_response = self.handle_response.max(reply.sequence);
        self.last_token = reply.last_token.max(self.last_token);
        let mut updates = false;
        if let Some(owner) = &mut self.owner {
            owner.handle_response(asked, &reply, self.times);
            // Said at once that it has stopped: somebody waits for its jobs.
            updates = reply.jobs.is_some();
        }
        if let Some(policy) = reply
            .policy
            .filter(|policy| policy.epoch > self.policy.epoch)
        {
            (self.proposal_persisted, self.refused, self.revoked) = (None, None, None);
            (self.lease, self.policy, self.barrier) = (0, policy.clone(), self.number);
            effects.push(LeaseAction::AdoptPolicy(policy));
            updates = true;
        }
        if reply.grant.is_some_and(|epoch| epoch == self.policy.epoch) && !updates {
            let from = if self.injected.is(InjectedBug::LeaseFromGrant) {
                now
            } else {
                asked
            };
            self.lease = self.lease.max(from + self.times.lease_duration);
        }
        if let Some(proposal) = reply.prepare {
            let known = self
                .proposal_persisted
                .as_ref()
                .is_some_and(|p| p.id == proposal.id)
                || self
                    .refused
                    .as_ref()
                    .is_some_and(|(id, _)| *id == proposal.id);
            match check(&proposal.text) {
                _ if known => {}
                Ok(()) => effects.push(LeaseAction::PersistProposal(proposal)),
                Err(why) => {
                    self.refused = Some((proposal.id, why));
                    updates = true;
                }
            }
        }
        if let Some(id) = reply.revoke {
            if self.revoked.is_none_or(|(of, _)| of != id) {
                // Before it is said: from here on nobody is admitted.
                if !self.injected.is(InjectedBug::KeepAfterYield) {
                    self.lease = 0;
                }
                (self.revoked, self.barrier) = (Some((id, now)), self.number);
                updates = true;
            }
            // In force within a moment: asked for sooner than usual.
            self.next = self.next.min(now + self.times.renew_interval / 10);
        }
        if updates {
            effects.push(self.ask(now));
        }
        effects
    }

    /// A proposal is stored: now it may be said.
    pub fn proposal_persisted(&mut self, now: Micros, proposal: Proposal) -> LeaseAction {
        self.proposal_persisted = Some(proposal);
        self.ask(now)
    }

    /// When it has something to do next though nothing comes.
    pub fn next_tick(&self) -> Micros {
        self.next
    }
}

#[cfg(test)]
mod tests;
