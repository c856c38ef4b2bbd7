//! The methods of [`DecisionService`] for a single request, from its submission to the end of its
//! connection.

use super::admission::RETRY_AFTER_WITHOUT_LEASE;
use super::api::{ConnectionSample, Decision, RequestHandle};
use super::callbacks::Callback;
use super::in_flight::{InFlight, PendingDecision};
use super::DecisionService;
use crate::cells::Placement;
use crate::decisions::api::{EndpointId, Event, Micros, Outcome, Request, RequestId};
use crate::decisions::send_check::SendRefusal;
use std::sync::Arc;

impl DecisionService {
    /// Submits a request and gives it its id; its decisions arrive in the returned
    /// `PendingDecision`. `registered` gets the id before the first decision, so that the request
    /// can be withdrawn while it waits. It is called with the lock held.
    pub fn submit(
        &self,
        request: Request,
        handle: Arc<dyn RequestHandle>,
        registered: impl FnOnce(RequestId),
    ) -> PendingDecision {
        self.submit_event(request, handle, registered, Event::Request)
    }

    /// The same for a request whose connection id had an earlier one, which may have been executed;
    /// endpoints drop duplicates of it until this time.
    pub fn submit_repeated(
        &self,
        request: Request,
        deduplicated_until: Micros,
        handle: Arc<dyn RequestHandle>,
        registered: impl FnOnce(RequestId),
    ) -> PendingDecision {
        let event = |request| Event::RepeatedRequest {
            request,
            deduplicated_until,
        };
        self.submit_event(request, handle, registered, event)
    }

    fn submit_event(
        &self,
        request: Request,
        handle: Arc<dyn RequestHandle>,
        registered: impl FnOnce(RequestId),
        event: impl FnOnce(Request) -> Event,
    ) -> PendingDecision {
        let mut state = self.lock();
        let placement = if self.may_admit() {
            Some(state.place(request.group))
        } else {
            None
        };
        let cell = placement.and_then(Placement::cell);
        let balancer = match cell {
            Some(cell) => state.balancer_of_cell[cell],
            None => state.home_balancer(request.group),
        };
        let (mut entry, decisions) = InFlight::awaiting(&request, balancer, handle);
        entry.borrowed = matches!(placement, Some(Placement::Borrowed(_)));
        let id = state.register(entry);
        registered(id);
        if cell.is_some() {
            let request = Request { id, ..request };
            self.dispatch(state, balancer, event(request));
        } else {
            // No balancer gets the request: no cell can take it, or the lease is not valid.
            let retry_after = if placement.is_some() {
                state.cells.retry_after
            } else {
                RETRY_AFTER_WITHOUT_LEASE
            };
            self.update(state, |state, _, callbacks| {
                state.answer(id, Decision::Reject(retry_after), callbacks);
            });
        }
        PendingDecision::new(id, decisions)
    }

    /// Takes over a connection that another process established to an endpoint, and gives it its
    /// id.
    pub fn adopt_connection(
        &self,
        request: Request,
        endpoint: EndpointId,
        handle: Arc<dyn RequestHandle>,
    ) -> RequestId {
        let mut state = self.lock();
        let balancer = state.balancer_of_endpoint(endpoint);
        let entry = InFlight::established(&request, balancer, endpoint, handle);
        let id = state.register(entry);
        // The previous process may have been migrating the connections of this group; this process
        // continues the migration.
        let displaced = state.home_balancer(request.group) != balancer;
        if displaced && !state.cells.map.is_single() {
            state.migrations.push(id);
        }
        self.update(state, |state, now, callbacks| {
            state.schedule_migration(now);
            let request = Request { id, ..request };
            let event = Event::Adopted { request, endpoint };
            state.dispatch(balancer, now, event, callbacks);
        });
        id
    }

    /// Reports that an attempt has connected, after `elapsed`. Returns false if the request already
    /// has its final answer: the caller must then close the connection.
    pub fn connected(&self, id: RequestId, elapsed: Micros) -> bool {
        let mut state = self.lock();
        let Some(entry) = state.in_flight.unanswered_mut(id) else {
            return false;
        };
        entry.answered = true;
        let balancer = entry.balancer;
        let endpoint = entry.endpoint;
        let map_has_changed = entry.map_version != state.map_version;
        state.balancers[balancer].metrics.connected += 1;
        let event = Event::Connected {
            id,
            endpoint,
            elapsed,
        };
        self.update(state, |state, now, callbacks| {
            state.dispatch(balancer, now, event, callbacks);
            if map_has_changed {
                state.settle_connection(id, now, callbacks);
            }
        });
        true
    }

    /// Reports the outcome of an attempt that did not connect. If the request has no final answer
    /// yet, its next decision follows.
    pub fn attempt_failed(&self, id: RequestId, outcome: Outcome, report: Vec<f32>) {
        let state = self.lock();
        let Some(entry) = state.in_flight.get(id) else {
            return;
        };
        let balancer = entry.balancer;
        let event = Event::AttemptEnded {
            id,
            endpoint: entry.endpoint,
            outcome,
            request_finished: entry.answered,
            report,
        };
        self.dispatch(state, balancer, event);
    }

    /// Reports the end of an established connection. No decision follows.
    pub fn connection_ended(&self, id: RequestId, outcome: Outcome, report: Vec<f32>) {
        let mut state = self.lock();
        let Some(entry) = state.deregister(id) else {
            return;
        };
        let event = Event::AttemptEnded {
            id,
            endpoint: entry.endpoint,
            outcome,
            request_finished: true,
            report,
        };
        self.dispatch(state, entry.balancer, event);
    }

    /// Reports that a client has disconnected before its answer. Its request gets
    /// [`Decision::Withdrawn`]. The end of an attempt that is under way must still be reported.
    pub fn client_disconnected(&self, id: RequestId) {
        let mut state = self.lock();
        let Some(entry) = state.in_flight.unanswered_mut(id) else {
            return;
        };
        entry.answered = true;
        entry.send(Decision::Withdrawn);
        let balancer = entry.balancer;
        let handle = entry.handle.clone();
        self.update(state, |state, now, callbacks| {
            callbacks.push(Callback::DecisionReady(handle));
            state.dispatch(balancer, now, Event::ClientDisconnected(id), callbacks);
        });
    }

    /// Whether a request awaits its final answer.
    pub fn awaits_answer(&self, id: RequestId) -> bool {
        self.lock().in_flight.unanswered(id).is_some()
    }

    /// Whether the request of the attempt in progress may be sent now. The clock is read once the
    /// lock is held, so that a wait for the lock is not overlooked.
    pub fn check_send(&self, id: RequestId) -> Result<(), SendRefusal> {
        let state = self.lock();
        let entry = state.in_flight.unanswered(id);
        let balancer = entry.ok_or(SendRefusal::Answered)?.balancer;
        if !self.may_admit() {
            return Err(SendRefusal::NoLease);
        }
        let now = self.now();
        state.balancers[balancer].balancer.check_send(now, id)
    }

    /// The time from which on [`DecisionService::check_send`] refuses the request of the attempt in
    /// progress because its window has ended; none if there is no such time.
    pub fn send_deadline(&self, id: RequestId) -> Option<Micros> {
        let state = self.lock();
        let balancer = state.in_flight.get(id)?.balancer;
        state.balancers[balancer].balancer.send_deadline(id)
    }

    /// When the attempt in progress was issued; none if there is none.
    pub fn attempt_issued_at(&self, id: RequestId) -> Option<Micros> {
        let state = self.lock();
        let balancer = state.in_flight.get(id)?.balancer;
        state.balancers[balancer].balancer.attempt_issued_at(id)
    }

    /// Sets an earlier deadline for a request, because this process stops. A deadline
    /// later than the current one is ignored.
    pub fn shorten_deadline(&self, id: RequestId, deadline: Micros) {
        let state = self.lock();
        let Some(entry) = state.in_flight.unanswered(id) else {
            return;
        };
        let balancer = entry.balancer;
        self.dispatch(state, balancer, Event::ShortenDeadline { id, deadline });
    }

    /// Removes a request that has had its final answer.
    pub fn remove(&self, id: RequestId) {
        self.lock().deregister(id);
    }

    /// Reports a measurement on an established connection.
    pub fn record_sample(&self, id: RequestId, sample: ConnectionSample) {
        let state = self.lock();
        let Some(entry) = state.in_flight.get(id) else {
            return;
        };
        let balancer = entry.balancer;
        let endpoint = entry.endpoint;
        let event = match sample {
            ConnectionSample::Load(load) => Event::LoadSample { id, endpoint, load },
            ConnectionSample::Delay(delay) => Event::DelaySample {
                id,
                endpoint,
                delay,
            },
        };
        self.dispatch(state, balancer, event);
    }
}
