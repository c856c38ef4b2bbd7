//! Quorum confirmation of requests (raft's read index): a request is answered only after a majority
//! has confirmed, later than the request arrived, that this voter still leads.
//!
//! Guards against: a leader that was deposed while it was paused or cut off, and that would answer
//! from an old state.

use super::{ReplyAddress, Voter};
use crate::wire::message::{
    Message, OperatorRequest, OperatorResponse, RenewRequest, RenewResponse,
};
use crate::{InjectedBug, Micros};
use raft::ReadState;
use std::collections::BTreeMap;

/// Maximum number of requests that wait for the next confirmation. Further ones are rejected.
const MAX_PENDING_REQUESTS: usize = 8192;

/// A request that waits for a confirmation.
pub(super) enum PendingRequest {
    Renew {
        reply_to: ReplyAddress,
        request: Box<RenewRequest>,
    },
    Operator {
        reply_to: ReplyAddress,
        number: u64,
        request: OperatorRequest,
    },
}

/// Requests that wait for a confirmation of the leadership.
#[derive(Default)]
pub(super) struct ReadConfirmations {
    /// Requests whose confirmation has not been requested yet.
    queued: Vec<PendingRequest>,
    /// Requests whose confirmation is in progress, by the number of the confirmation.
    in_flight: BTreeMap<u64, Vec<PendingRequest>>,
    /// Number of the latest confirmation that was requested.
    last_number: u64,
    /// When the latest confirmation was requested.
    requested_at: Micros,
}

impl ReadConfirmations {
    /// Whether a confirmation is in progress. It counts as lost after `timeout`.
    fn is_in_progress(&self, now: Micros, timeout: Micros) -> bool {
        !self.in_flight.is_empty() && now < self.requested_at + timeout
    }

    /// Removes and returns the requests that the raft library reports as confirmed.
    pub(super) fn take_confirmed(&mut self, read_states: Vec<ReadState>) -> Vec<PendingRequest> {
        let mut confirmed = Vec::new();
        for read_state in read_states {
            let Ok(number) = read_state.request_ctx.as_slice().try_into() else {
                continue;
            };
            // A confirmation also covers all earlier ones, which may have been lost.
            let later = self.in_flight.split_off(&(u64::from_be_bytes(number) + 1));
            let up_to_this = std::mem::replace(&mut self.in_flight, later);
            confirmed.extend(up_to_this.into_values().flatten());
        }
        confirmed
    }
}

impl Voter {
    /// Queues a request for the next confirmation, or rejects it if this voter does not lead or the
    /// queue is full.
    pub(super) fn enqueue(&mut self, request: PendingRequest) {
        let has_room = self.confirmations.queued.len() < MAX_PENDING_REQUESTS;
        if self.leader_term().is_some() && has_room {
            self.confirmations.queued.push(request);
        } else {
            self.reject(request);
        }
    }

    /// Requests a confirmation by a majority that this voter still leads, for all queued requests.
    pub(super) fn request_confirmation(&mut self) {
        if self.confirmations.queued.is_empty() {
            return;
        }
        if self.leader_term().is_none() {
            for request in std::mem::take(&mut self.confirmations.queued) {
                self.reject(request);
            }
            return;
        }
        // A leader without a committed entry of its own term cannot be confirmed.
        if !self.node.raft.commit_to_current_term() {
            return;
        }
        // Only one confirmation at a time: requests that arrive in the meantime share the next one,
        // so the cost does not grow with the number of relays.
        if self
            .confirmations
            .is_in_progress(self.now, self.timing.tick)
        {
            return;
        }
        self.confirmations.last_number += 1;
        self.confirmations.requested_at = self.now;
        let requests = std::mem::take(&mut self.confirmations.queued);
        if self.injected.is(InjectedBug::GrantUnconfirmed) {
            for request in requests {
                self.answer(request);
            }
            return;
        }
        let number = self.confirmations.last_number;
        self.confirmations.in_flight.insert(number, requests);
        self.node.read_index(number.to_be_bytes().to_vec());
    }

    /// Answers a confirmed request.
    pub(super) fn answer(&mut self, request: PendingRequest) {
        if self.leader_term().is_none() {
            self.reject(request);
            return;
        }
        match request {
            PendingRequest::Renew { reply_to, request } => {
                let response = self.grant_lease(&request);
                self.reply(reply_to, Message::RenewResponse(response));
            }
            PendingRequest::Operator {
                reply_to,
                number,
                request,
            } => {
                let response = self.answer_operator(request);
                self.reply(reply_to, Message::OperatorResponse(number, response));
            }
        }
    }

    /// Rejects the requests in progress if this voter no longer leads, since their confirmation
    /// will not arrive.
    pub(super) fn reject_unconfirmed(&mut self) {
        if self.leader_term().is_some() {
            return;
        }
        let lost = std::mem::take(&mut self.confirmations.in_flight);
        for request in lost.into_values().flatten() {
            self.reject(request);
        }
    }

    /// Rejects a request by redirecting it to the leader, if it is known.
    fn reject(&mut self, request: PendingRequest) {
        let leader = Some(self.node.raft.leader_id).filter(|id| *id != 0 && *id != self.id());
        match request {
            PendingRequest::Renew { reply_to, request } => {
                let response = self.redirect_renewal(&request, leader);
                self.reply(reply_to, Message::RenewResponse(response));
            }
            PendingRequest::Operator {
                reply_to, number, ..
            } => {
                let target = leader.map(|id| (id, self.address_of(id)));
                let response = OperatorResponse::Redirect(target);
                self.reply(reply_to, Message::OperatorResponse(number, response));
            }
        }
    }

    /// Response that redirects a renewal. It has the membership if the relay knows an older one,
    /// since the leader may be missing from the relay's operator file.
    fn redirect_renewal(&self, request: &RenewRequest, leader: Option<u64>) -> RenewResponse {
        let members = &self.state.membership;
        let is_newer = request.membership_version < members.version;
        RenewResponse {
            redirect: Some(leader),
            membership: is_newer.then(|| members.clone()),
            ..RenewResponse::for_request(request)
        }
    }

    /// Address of a member; empty if it is not known.
    fn address_of(&self, number: u64) -> String {
        let member = self.state.membership.members.get(&number);
        member.map_or(String::new(), |member| member.address.clone())
    }
}
