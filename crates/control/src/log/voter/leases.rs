//! Leases on the policy in force: the leader's response to a relay's renewal.
//!
//! A relay is granted a lease if it has the policy in force, no proposal is sealed, and responses
//! reach it.

use super::job_leases::renew_jobs_lease;
use super::read_confirmation::PendingRequest;
use super::{ReplyAddress, Voter};
use crate::log::state::{Command, ProposalPhase};
use crate::wire::message::{RenewRequest, RenewResponse};
use crate::{InjectedBug, Micros};

impl Voter {
    /// Handles the renewal request of a relay. The response follows in a later [`super::Ready`],
    /// once the leadership is confirmed.
    pub fn handle_renew(&mut self, now: Micros, from: ReplyAddress, request: RenewRequest) {
        self.now = now;
        self.enqueue(PendingRequest::Renew {
            reply_to: from,
            request: Box::new(request),
        });
    }

    /// Returns the leader's response to a renewal after the leadership was confirmed. Records the
    /// relay's progress, and proposes the entries that follow from the request.
    pub(super) fn grant_lease(&mut self, request: &RenewRequest) -> RenewResponse {
        let now = self.now;
        let lease_duration = self.timing.lease_duration;
        let injected_grant_after_seal = self.injected.is(InjectedBug::GrantAfterSeal);
        let term = self.node.raft.term;
        let mut response = RenewResponse::for_request(request);
        let leadership = self
            .leadership
            .as_mut()
            .filter(|leadership| leadership.term == term);
        let Some(leadership) = leadership else {
            response.redirect = Some(None);
            return response;
        };
        let Some(relay) = leadership.track_relay(&request.relay) else {
            response.redirect = Some(None);
            return response;
        };
        let is_reachable = relay.record_renewal(request, now, lease_duration);
        let policy = &self.state.policy;
        if request.epoch != policy.epoch {
            response.policy = Some(policy.clone());
        }
        if request.membership_version < self.state.membership.version {
            response.membership = Some(self.state.membership.clone());
        }
        let may_hold_lease = is_reachable && request.epoch == policy.epoch;
        let phase = &self.state.phase;
        let rejection = respond_to_phase(
            phase,
            request,
            may_hold_lease,
            injected_grant_after_seal,
            &mut response,
        );
        if response.grant.is_some() {
            relay.lease_granted_at = Some(now);
        }
        let mut job_changes = Vec::new();
        if is_reachable {
            job_changes = renew_jobs_lease(&self.state.jobs, relay, request, &mut response, now);
            leadership.record_relinquished(&job_changes, now);
        }
        let commands = rejection
            .into_iter()
            .chain(job_changes.into_iter().map(Command::ChangeJobs));
        for command in commands {
            self.propose(&command);
        }
        response
    }
}

/// Grants the lease, or requests that the relay prepares or stops, depending on the phase of the
/// proposal. Returns the entry to propose if the relay rejects the proposal that is being prepared.
fn respond_to_phase(
    phase: &ProposalPhase,
    request: &RenewRequest,
    may_hold_lease: bool,
    injected_grant_after_seal: bool,
    response: &mut RenewResponse,
) -> Option<Command> {
    if let ProposalPhase::Sealed(proposal) = phase {
        if !injected_grant_after_seal {
            response.sealed = Some(proposal.id);
            return None;
        }
    }
    response.grant = may_hold_lease.then_some(request.epoch);
    let ProposalPhase::Preparing(proposal) = phase else {
        return None;
    };
    if let Some((id, reason)) = &request.rejected {
        if *id == proposal.id {
            let relay = request.relay.name.clone();
            return Some(Command::Reject(proposal.id, relay, reason.clone()));
        }
    }
    if request.prepared != Some(proposal.id) {
        response.prepare = Some(proposal.clone());
    }
    None
}
