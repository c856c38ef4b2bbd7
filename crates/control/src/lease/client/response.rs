//! Handling of a voter's response to a renewal: membership, redirect, jobs, policy, lease and
//! proposal.

use super::{AdmissionStop, LeaseAction, LeaseClient, Rejection, SentRequest};
use crate::log::state::{Policy, ProposalId};
use crate::wire::message::RenewResponse;
use crate::{InjectedBug, Micros};

/// A relay that has stopped for a sealed proposal renews after the renewal interval divided by
/// this, since the proposal will be in force soon.
const SEALED_RENEW_DIVISOR: Micros = 10;

impl LeaseClient {
    /// Handles a response. `check` returns an error if this build does not understand the text of a
    /// policy.
    pub fn handle_response(
        &mut self,
        now: Micros,
        mut response: RenewResponse,
        check: impl Fn(&str) -> Result<(), String>,
    ) -> Vec<LeaseAction> {
        // A delayed response to the previous process may have the sequence number of a request of
        // this one.
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
        // Changes are reported at once, because the leader waits for them.
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

    /// The request with this sequence number, if its response is still accepted.
    fn find_request(&self, sequence: u64) -> Option<SentRequest> {
        self.requests
            .iter()
            .find(|request| request.sequence == sequence && request.sequence > self.ignored_up_to)
            .copied()
    }

    /// Handles a redirect, which a voter sends that does not lead. If it answers the latest
    /// request, the request is repeated at once at the leader, or when it is due at the next voter
    /// if the leader is not known.
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

    /// Records the response of a leader. The next renewal is due one renewal interval after the
    /// latest request.
    fn record_response(&mut self, response: &RenewResponse) {
        if std::mem::take(&mut self.awaits_response) {
            if let Some(last) = self.requests.back() {
                self.next_request_at = last.sent_at + self.timing.renew_interval;
            }
        }
        self.last_seen_response = self.last_seen_response.max(response.sequence);
        self.last_token = response.last_token.max(self.last_token);
    }

    /// Updates the jobs of this relay and their lease. Returns whether the response has a list of
    /// jobs.
    fn update_jobs(&mut self, request: SentRequest, response: &RenewResponse) -> bool {
        let Some(owner) = &mut self.owner else {
            return false;
        };
        owner.handle_response(request.sent_at, response, self.timing);
        response.jobs.is_some()
    }

    /// Replaces the policy by a newer one, on which the relay has no lease yet. Returns it.
    fn adopt_policy(&mut self, policy: Option<Policy>) -> Option<Policy> {
        let policy = policy.filter(|policy| policy.epoch > self.policy.epoch)?;
        self.prepared = None;
        self.rejected = None;
        self.stopped_for = None;
        self.lease_until = 0;
        self.ignored_up_to = self.last_sequence;
        self.policy = policy.clone();
        Some(policy)
    }

    fn extend_lease(&mut self, now: Micros, request: SentRequest) {
        let injected_lease_from_grant = self.injected.is(InjectedBug::LeaseFromGrant);
        let start = if injected_lease_from_grant {
            now
        } else {
            request.sent_at
        };
        let until = start + self.timing.lease_duration;
        self.lease_until = self.lease_until.max(until);
    }

    /// Whether this relay has stored or rejected the proposal.
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

    /// Ends the lease for a sealed proposal, before that is reported. Returns false if the relay
    /// had already stopped for it.
    fn stop_admitting(&mut self, now: Micros, id: ProposalId) -> bool {
        if self.stopped_for.is_some_and(|stop| stop.id == id) {
            return false;
        }
        if !self.injected.is(InjectedBug::AdmitAfterStop) {
            self.lease_until = 0;
        }
        self.stopped_for = Some(AdmissionStop { id, at: now });
        self.ignored_up_to = self.last_sequence;
        true
    }
}
