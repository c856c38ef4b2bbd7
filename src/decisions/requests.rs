//! The life cycle of a request: it arrives, waits for an endpoint, is attempted, and becomes an
//! established connection or gets its final answer.
//!
//! Inputs: events about one request. Outputs: attempts, their cancellation, final answers. A
//! request gets exactly one final answer, and has one attempt at a time at most.

use super::api::{Action, Class, EndpointId, Micros, Outcome, Request, RequestId, UnknownId};
use super::endpoints::EndpointIndex;
use super::timers::Timer;
use super::Balancer;

/// Phase of a request.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) enum Phase {
    /// It has no endpoint now.
    #[default]
    WaitingForEndpoint,
    /// An attempt is under way.
    Attempting,
    /// Its connection is up.
    Established,
}

/// The issue of an attempt: the moment at which it was decided on, before anything was sent, and
/// the groups in which its endpoint was then. Endpoints of these groups see its idempotency key.
#[derive(Clone, Copy, Default)]
pub(super) struct AttemptIssue {
    pub issued_at: Micros,
    pub zone: u16,
    pub cell: u16,
}

/// A request or connection in flight.
#[derive(Default)]
pub(super) struct PendingRequest {
    pub request: Request,
    pub class: Class,
    pub deadline: Micros,
    pub phase: Phase,
    /// It has had its final answer, or its client has disconnected.
    pub answered: bool,
    /// Its client has been asked to connect elsewhere.
    pub migrating: bool,
    /// The endpoint of its last attempt.
    pub endpoint: EndpointId,
    /// The issue of its last attempt.
    pub last_attempt: AttemptIssue,
    /// The endpoints of its attempts, in order.
    pub attempted: Vec<EndpointId>,
    /// When the next placement is due, while no endpoint can take it.
    placement_retry_at: Micros,
    /// An attempt has begun, so an endpoint may have worked on it.
    pub has_begun: bool,
    /// The first attempt that may have executed it.
    pub possible_execution: Option<AttemptIssue>,
    /// Until when endpoints drop duplicates of an earlier request under the same id, if one may
    /// have been executed.
    pub deduplicated_until: Option<Micros>,
}

impl Balancer {
    /// Handles a client's new request. An earlier one under the same id may have been executed;
    /// endpoints drop duplicates of it until `deduplicated_until`.
    pub(super) fn request_arrived(
        &mut self,
        request: Request,
        deduplicated_until: Option<Micros>,
        actions: &mut Vec<Action>,
    ) {
        if !request.returning {
            self.record_arrival(request.group);
        }
        let deadline = self.now + request.time_left;
        self.set_deadline_timer(request.id, deadline, actions);
        let pending = PendingRequest {
            class: self.class_of(&request),
            request,
            deduplicated_until,
            deadline,
            ..PendingRequest::default()
        };
        self.attempt_or_answer(pending, actions);
    }

    /// Takes over a connection that was established before this balancer started.
    pub(super) fn adopt_connection(
        &mut self,
        request: Request,
        endpoint: EndpointId,
        actions: &mut Vec<Action>,
    ) {
        self.record_arrival(request.group);
        let index = self.endpoints.find_or_insert(endpoint);
        self.endpoints.add_in_flight(index);
        self.migrate_if_leaving(index, request.id, actions);
        let id = request.id;
        let pending = PendingRequest {
            class: self.class_of(&request),
            request,
            deadline: Micros::MAX,
            phase: Phase::Established,
            answered: true,
            endpoint,
            ..PendingRequest::default()
        };
        self.requests.insert(id, pending);
    }

    /// The class of a request. Changed settings may have fewer classes than requests use: an index
    /// without a class has the last one.
    fn class_of(&self, request: &Request) -> Class {
        let classes = &self.settings.classes;
        let class = classes.get(request.class).or(classes.last());
        class.copied().unwrap_or_default()
    }

    /// Sets the timer of the final answer, a tick before the client gives up.
    fn set_deadline_timer(&self, id: RequestId, deadline: Micros, actions: &mut Vec<Action>) {
        let last_moment = deadline.saturating_sub(self.settings.tick);
        let at = last_moment.max(self.now + 1);
        self.set_timer(at, Timer::Deadline(id), actions);
    }

    /// Moves the deadline earlier; a later one than before changes nothing.
    pub(super) fn shorten_deadline(
        &mut self,
        id: RequestId,
        deadline: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        if !pending.answered && pending.deadline > deadline {
            pending.deadline = deadline;
            self.set_deadline_timer(id, deadline, actions);
        }
    }

    /// Starts the next attempt of a request, keeps it waiting for an endpoint, or answers it.
    pub(super) fn attempt_or_answer(
        &mut self,
        mut pending: PendingRequest,
        actions: &mut Vec<Action>,
    ) {
        self.update_load_shedding();
        let sheds = !pending.request.established && self.load_shedding.is_shed(&pending.request);
        if sheds || !self.may_attempt(&pending) {
            self.answer(&mut pending, actions);
            return;
        }
        let endpoint = if self.look_up_load(&pending, actions) {
            None
        } else {
            self.place(&pending)
        };
        match endpoint {
            Some(index) => self.start_attempt(&mut pending, index, actions),
            None if pending.attempted.is_empty() => {
                self.wait_for_endpoint(&mut pending, actions);
            }
            None => {
                self.answer(&mut pending, actions);
                return;
            }
        }
        self.requests.insert(pending.request.id, pending);
    }

    fn start_attempt(
        &mut self,
        pending: &mut PendingRequest,
        index: EndpointIndex,
        actions: &mut Vec<Action>,
    ) {
        let give_up_at = self.attempt_deadline(pending);
        self.endpoints.add_in_flight(index);
        self.retry_budget.record_attempt(pending, &self.parameters);
        let endpoint = &mut self.endpoints[index];
        endpoint.availability.first_request_due = None;
        endpoint.slow_start.take_token(self.now);
        endpoint.load.record_request();
        pending.phase = Phase::Attempting;
        pending.endpoint = endpoint.id;
        pending.last_attempt = AttemptIssue {
            issued_at: self.now,
            zone: endpoint.zone,
            cell: endpoint.cell,
        };
        pending.attempted.push(endpoint.id);
        actions.push(Action::Attempt {
            id: pending.request.id,
            endpoint: endpoint.id,
            give_up_at,
        });
    }

    /// Sets the timer of the next placement, unless it is set: health checks that end before it
    /// fires place the request again, too.
    fn wait_for_endpoint(&mut self, pending: &mut PendingRequest, actions: &mut Vec<Action>) {
        if pending.placement_retry_at <= self.now {
            pending.placement_retry_at = self.now + self.parameters.lookup_timeout_us;
            let timer = Timer::PlacementRetry(pending.request.id);
            self.set_timer(pending.placement_retry_at, timer, actions);
        }
    }

    /// Places a request again if it still waits for an endpoint.
    pub(super) fn retry_placement(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let phase = self.requests.get(&id).map(|pending| pending.phase);
        if phase != Some(Phase::WaitingForEndpoint) {
            return;
        }
        if let Some(pending) = self.requests.remove(&id) {
            self.attempt_or_answer(pending, actions);
        }
    }

    /// Requests that wait for an endpoint and have had no attempt yet.
    pub(super) fn requests_awaiting_first_attempt(&self) -> Vec<RequestId> {
        let waits = |pending: &&PendingRequest| {
            pending.phase == Phase::WaitingForEndpoint && pending.attempted.is_empty()
        };
        let waiting = self.requests.values().filter(waits);
        waiting.map(|pending| pending.request.id).collect()
    }

    /// Handles the connection of an attempt.
    pub(super) fn attempt_connected(
        &mut self,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> Result<(), UnknownId> {
        let pending = self.requests.get_mut(&id);
        let pending = pending.ok_or(UnknownId::Request(id))?;
        if pending.phase == Phase::Attempting && !pending.answered {
            pending.phase = Phase::Established;
            pending.answered = true;
        }
        let endpoint = pending.endpoint;
        self.connection_rate.record(self.now);
        let index = self.endpoints.find_or_insert(endpoint);
        self.endpoints[index].health.record_success();
        self.migrate_if_leaving(index, id, actions);
        Ok(())
    }

    /// Handles the end of an attempt or connection.
    pub(super) fn attempt_ended(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        request_finished: bool,
        actions: &mut Vec<Action>,
    ) -> Result<(), UnknownId> {
        let removed = self.requests.remove(&id);
        // A request that waits for an endpoint has no attempt that could end; it is dropped with
        // the error.
        let in_flight = removed.filter(|pending| pending.phase != Phase::WaitingForEndpoint);
        let mut pending = in_flight.ok_or(UnknownId::Request(id))?;
        let index = self.endpoints.find_or_insert(pending.endpoint);
        self.endpoints.remove_in_flight(index);
        self.record_outcome(index, &pending, outcome);
        if request_finished || pending.answered {
            return Ok(());
        }
        Self::record_possible_execution(&mut pending, outcome);
        if outcome == Outcome::Reset {
            // A connection that breaks during set-up fails the request, whatever its class: it is
            // unknown how far the set-up came, and the client connects again.
            actions.push(Action::Fail(id));
        } else {
            self.attempt_or_answer(pending, actions);
        }
        Ok(())
    }

    /// Records an outcome in the endpoint's health and in the retry budget.
    fn record_outcome(&mut self, index: EndpointIndex, pending: &PendingRequest, outcome: Outcome) {
        match outcome {
            Outcome::Success => self.endpoints[index].health.record_success(),
            Outcome::NotAttempted => self.retry_budget.refund(pending, &self.parameters),
            Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::Reset if pending.phase == Phase::Established => {
                self.endpoints[index].health.cut_cap(self.now);
            }
            _ => self.record_failure(index, outcome),
        }
    }

    /// Remembers the first attempt that may have executed the request; it limits further attempts.
    fn record_possible_execution(pending: &mut PendingRequest, outcome: Outcome) {
        pending.phase = Phase::WaitingForEndpoint;
        pending.has_begun |= outcome != Outcome::NotAttempted;
        if !outcome.proves_not_executed() {
            pending
                .possible_execution
                .get_or_insert(pending.last_attempt);
        }
    }

    /// Handles the end of a client. An attempt that is under way still has to end.
    pub(super) fn client_disconnected(&mut self, id: RequestId) {
        match self.requests.get_mut(&id) {
            Some(pending) if pending.phase != Phase::WaitingForEndpoint => pending.answered = true,
            _ => {
                self.requests.remove(&id);
            }
        }
    }

    /// Gives the final answer, and cancels an attempt that is under way.
    pub(super) fn deadline_reached(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(mut pending) = self.requests.remove(&id) else {
            return;
        };
        let is_attempting = pending.phase == Phase::Attempting;
        if is_attempting && !pending.answered && self.settings.may_cancel {
            let attempt = pending.attempted.len() as u16 - 1;
            actions.push(Action::CancelAttempt { id, attempt });
        }
        self.answer(&mut pending, actions);
        if pending.phase != Phase::WaitingForEndpoint {
            self.requests.insert(id, pending);
        }
    }
}
