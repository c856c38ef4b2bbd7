//! What follows from a voter's response to a renewal: members, a redirect, the jobs, a policy, a lease, a proposal.

use super::{AdmissionStop, LeaseAction, LeaseClient, Rejection, SentRequest};
use crate::log::state::{Policy, ProposalId};
use crate::wire::message::RenewResponse;
use crate::{InjectedBug, Micros};

/// A relay that has stopped for a sealed proposal renews after this part of the renewal interval: the proposal takes force
/// shortly.
const SEALED_RENEW_DIVISOR: Micros = 10;

impl LeaseClient {
    /// A response has arrived. `check` returns what is wrong with a policy's text where this build does not understand it.
    pub fn handle_response(
        &mut self,
        now: Micros,
        mut response: RenewResponse,
        check: impl Fn(&str) -> Result<(), String>,
    ) -> Vec<LeaseAction> {
        // A delayed response to the previous process may bear the sequence of a request of this one.
        if response.incarnation != self.relay.incarnation {
            return Vec::new();
        }
        let Some(request) = self.find_request(response.sequence) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        let membership = response.membership.take();
        if let Some(membership) = membership.filter(|new| new.version > self.membership_version) {
            self.learn_membership(&membership);
            actions.push(LeaseAction::PersistMembership(membership));
        }
        if let Some(leader) = response.redirect {
            actions.extend(self.follow_redirect(now, request, leader));
            return actions;
        }
        self.record_response(&response);
        // What changes is reported at once: the leader waits for it.
        let mut has_changed = self.update_jobs(request, &response);
        if let Some(policy) = self.adopt_policy(response.policy) {
            actions.push(LeaseAction::AdoptPolicy(policy));
            has_changed = true;
        }
        if response.grant == Some(self.policy.epoch) && !has_changed {
            self.extend_lease(now, request);
        }
        if let Some(proposal) = response.prepare.filter(|new| !self.has_checked(new.id)) {
            match check(&proposal.text) {
                Ok(()) => actions.push(LeaseAction::PersistProposal(proposal)),
                Err(reason) => {
                    let id = proposal.id;
                    self.rejected = Some(Rejection { id, reason });
                    has_changed = true;
                }
            }
        }
        if let Some(id) = response.sealed {
            has_changed |= self.stop_admitting(now, id);
            let soon = now + self.timing.renew_interval / SEALED_RENEW_DIVISOR;
            self.next_request_at = self.next_request_at.min(soon);
        }
        if has_changed {
            actions.push(self.send_request(now));
        }
        actions
    }

    /// The request of this sequence, where its response still counts.
    fn find_request(&self, sequence: u64) -> Option<SentRequest> {
        self.requests
            .iter()
            .find(|request| request.sequence == sequence && request.sequence > self.barrier)
            .copied()
    }

    /// The voter does not lead. Where the last request was answered so, it is sent to the leader at once, or to the next
    /// voter when it is due.
    fn follow_redirect(
        &mut self,
        now: Micros,
        request: SentRequest,
        leader: Option<u64>,
    ) -> Option<LeaseAction> {
        if request.sequence != self.last_sequence || !std::mem::take(&mut self.awaits_response) {
            return None;
        }
        match leader.and_then(|leader| self.position_of(leader)) {
            Some(position) if position != self.voter_position() => {
                self.voter_cursor = position;
                Some(self.send_request(now))
            }
            _ => {
                self.voter_cursor += 1;
                None
            }
        }
    }

    /// A leader has answered: the next renewal is due by the interval again.
    fn record_response(&mut self, response: &RenewResponse) {
        if std::mem::take(&mut self.awaits_response) {
            if let Some(last) = self.requests.back() {
                self.next_request_at = last.at + self.timing.renew_interval;
            }
        }
        self.last_seen_response = self.last_seen_response.max(response.sequence);
        self.last_token = response.last_token.max(self.last_token);
    }

    /// Renews the lease on this relay's jobs. Returns whether the jobs have changed.
    fn update_jobs(&mut self, request: SentRequest, response: &RenewResponse) -> bool {
        let Some(owner) = &mut self.owner else {
            return false;
        };
        owner.handle_response(request.at, response, self.timing);
        response.jobs.is_some()
    }

    /// Takes a newer policy in place of the present one, without a lease on it. Returns it.
    fn adopt_policy(&mut self, policy: Option<Policy>) -> Option<Policy> {
        let policy = policy.filter(|policy| policy.epoch > self.policy.epoch)?;
        self.prepared = None;
        self.rejected = None;
        self.stopped_for = None;
        self.lease_until = 0;
        self.barrier = self.last_sequence;
        self.policy = policy.clone();
        Some(policy)
    }

    fn extend_lease(&mut self, now: Micros, request: SentRequest) {
        let from_grant = self.injected.is(InjectedBug::LeaseFromGrant);
        let start = if from_grant { now } else { request.at };
        let until = start + self.timing.lease_duration;
        self.lease_until = self.lease_until.max(until);
    }

    /// Whether this relay has stored or rejected a proposal.
    fn has_checked(&self, id: ProposalId) -> bool {
        let has_prepared = self
            .prepared
            .as_ref()
            .is_some_and(|proposal| proposal.id == id);
        let has_rejected = self
            .rejected
            .as_ref()
            .is_some_and(|rejection| rejection.id == id);
        has_prepared || has_rejected
    }

    /// Ends the lease for a sealed proposal, before that is reported. Returns whether the relay had not stopped for it yet.
    fn stop_admitting(&mut self, now: Micros, id: ProposalId) -> bool {
        if self.stopped_for.is_some_and(|stop| stop.id == id) {
            return false;
        }
        if !self.injected.is(InjectedBug::AdmitAfterStop) {
            self.lease_until = 0;
        }
        self.stopped_for = Some(AdmissionStop { id, at: now });
        self.barrier = self.last_sequence;
        true
    }
}
