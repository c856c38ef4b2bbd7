//! Placement of a request: it is admitted and submitted to the decisions, their verdicts are
//! carried out, and the client gets its final answer or its connection.

use crate::config::endpoint_list::endpoint_id;
use crate::decision_service::Decision;
use crate::decisions::api::{EndpointId, Idempotency, Micros, Outcome, Request};
use crate::net::admission::{AdmissionError, WaitingConnection};
use crate::net::attempt::{
    Attempt, AttemptContext, AttemptFailure, EstablishedBackend, ADOPT_TIMEOUT,
};
use crate::net::connection::{BackendSide, Connection, PendingRequest, Phase};
use crate::net::session::{ConnectionRecord, Session};
use crate::protocol::{ClientRequest, FailureCause, FinalAnswer};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;

/// Counts a request's final answer in the metrics.
fn count_answer(record: &ConnectionRecord, answer: FinalAnswer) {
    match (&record.tally, answer) {
        (Some(tally), FinalAnswer::Rejected(_)) => tally.rejected(),
        (Some(tally), FinalAnswer::Failed(_) | FinalAnswer::IdInUse | FinalAnswer::EarlyInput) => {
            tally.failed()
        }
        (None, _) => {}
    }
}

impl Connection {
    /// Admits a client's request, or rejects it.
    pub fn admit(&mut self, waiting: &WaitingConnection, client_request: Box<dyn ClientRequest>) {
        let shared = self.shared.clone();
        if let Some(record) = &mut self.record {
            record.id = client_request.connection_id().to_string();
            record.class = shared
                .settings()
                .rules
                .classes
                .name(client_request.request().class)
                .to_string();
            record.tally = Some(shared.metrics.begin_request(&record.class));
        }
        let (answer, reason) = match waiting.admit_request(client_request.connection_id()) {
            Ok(slot) => {
                let keys = (
                    client_request.request().client_key,
                    client_request.request().group,
                );
                let finishes = client_request.backend_finishes_first();
                self.session = Some(Session::new(&shared.wake_queue, keys, slot, finishes, None));
                self.phase = Phase::Pending;
                return self.submit(client_request);
            }
            // Nothing was sent to a backend, so the client may safely retry.
            Err(AdmissionError::NoCapacity) => (
                FinalAnswer::Rejected(shared.settings().max_retry_after / 2),
                "no-descriptors",
            ),
            Err(AdmissionError::IdInUse) => (FinalAnswer::IdInUse, "id-in-use"),
        };
        self.answer_request(&*client_request, Some(answer), reason);
    }

    /// Submits a request to the decisions. A connection that was established before this process
    /// started goes to its earlier backend instead.
    fn submit(&mut self, client_request: Box<dyn ClientRequest>) {
        let Some(session) = self.session.clone() else {
            return;
        };
        let now = self.now();
        // While this process stops, the client must have its answer before the process ends.
        let shutdown_deadline = self.shared.answer_deadline.load(Relaxed);
        let request = client_request.request();
        let request = Request {
            time_left: request.time_left.min(shutdown_deadline.saturating_sub(now)),
            ..request.clone()
        };
        let id = session.connection_id();
        tracing::debug!(%id, group = request.group, key = request.client_key, again = request.returning, "request");
        let pending = match client_request.adopted_backend().map(str::to_string) {
            Some(backend) => {
                let deadline = (now + ADOPT_TIMEOUT).min(shutdown_deadline);
                self.adopt_request(client_request, request, &session, backend, deadline)
            }
            None => self.submit_new_request(client_request, request, &session, now),
        };
        self.pending = Some(Box::new(pending));
        self.advance_request(false);
    }

    /// Submits a new request, which the decisions place. The time before it arrived does not count
    /// against the client's deadline.
    fn submit_new_request(
        &self,
        client_request: Box<dyn ClientRequest>,
        request: Request,
        session: &Arc<Session>,
        now: Micros,
    ) -> PendingRequest {
        let answer_deadline = now + request.time_left;
        let decisions = &self.shared.decisions;
        let (handle, registered) = (session.clone(), |id| session.set_request_id(id));
        let decision = match session.deduplicated_until() {
            None => decisions.submit(request, handle, registered),
            Some(until) => {
                decisions.submit_repeated(request, decisions.time_of(until), handle, registered)
            }
        };
        PendingRequest {
            idempotency: self.idempotency_of(&*client_request),
            client_request,
            id: decision.id,
            decision: Some(decision),
            attempt: None,
            endpoint_id: EndpointId::default(),
            failure_cause: FailureCause::BackendFailed,
            answer_deadline,
            withdrawal: None,
        }
    }

    /// Begins the only attempt of a connection that was established at this backend before this
    /// process started.
    fn adopt_request(
        &mut self,
        client_request: Box<dyn ClientRequest>,
        request: Request,
        session: &Arc<Session>,
        backend: String,
        deadline: Micros,
    ) -> PendingRequest {
        let endpoint_id = endpoint_id(&backend);
        let id = self
            .shared
            .decisions
            .adopt_connection(request, endpoint_id, session.clone());
        if let Some(record) = &mut self.record {
            (record.backend, record.attempts) = (backend, 1);
        }
        let attempt = Attempt::new(&*client_request, endpoint_id, deadline, 0, self.now());
        PendingRequest {
            idempotency: self.idempotency_of(&*client_request),
            client_request,
            id,
            decision: None,
            attempt: Some(attempt),
            endpoint_id,
            failure_cause: FailureCause::BackendFailed,
            answer_deadline: deadline,
            withdrawal: None,
        }
    }

    fn idempotency_of(&self, client_request: &dyn ClientRequest) -> Idempotency {
        let class = client_request.request().class;
        self.shared.settings().idempotency(class)
    }

    /// Lowers the deadline of its answer, because the process stops.
    pub fn shorten_deadline(&mut self, by: Micros) {
        self.answer_deadline = self.answer_deadline.map(|at| at.min(by));
        if let Some(p) = &mut self.pending {
            p.answer_deadline = p.answer_deadline.min(by);
            p.attempt
                .iter_mut()
                .for_each(|attempt| attempt.shorten_deadline(by));
            if p.decision.is_some() {
                self.shared.decisions.shorten_deadline(p.id, by);
            }
        }
    }

    /// Continues a pending request; `ready` says whether the socket of its attempt is ready.
    pub fn advance_request(&mut self, mut ready: bool) {
        let Some(session) = self.session.clone() else {
            return;
        };
        loop {
            let attempt = self.pending.as_ref().and_then(|p| p.attempt.as_ref());
            if attempt.is_some_and(|a| a.may_dial_or_send(ready)) {
                // Where the client does not wait, the attempt below ends as cancelled.
                self.check_client_waits();
            }
            let Some(p) = self.pending.take() else {
                return;
            };
            let goes_on = if p.attempt.is_some() {
                self.advance_attempt(p, &session, std::mem::take(&mut ready))
            } else {
                self.follow_decision(p)
            };
            if !goes_on {
                return;
            }
        }
    }

    /// Continues the attempt of a request. Returns whether it has ended.
    fn advance_attempt(
        &mut self,
        mut p: Box<PendingRequest>,
        session: &Session,
        ready: bool,
    ) -> bool {
        let context = AttemptContext {
            shared: &self.shared,
            session,
            client_request: &*p.client_request,
            id: p.id,
        };
        let result = p.attempt.as_mut().and_then(|a| a.advance(context, ready));
        let Some(result) = result else {
            self.pending = Some(p);
            return false;
        };
        self.handle_attempt_result(p, session, result);
        true
    }

    /// Carries out the next decision on a request without an attempt. Returns whether there was one
    /// to begin an attempt.
    fn follow_decision(&mut self, mut p: Box<PendingRequest>) -> bool {
        let decision = match &p.decision {
            Some(decision) => decision.try_next(),
            None => Some(Decision::Withdrawn),
        };
        let (answer, reason) = match decision {
            None => {
                self.pending = Some(p);
                return false;
            }
            Some(Decision::Attempt {
                endpoint,
                give_up_at,
                number,
            }) => {
                self.begin_attempt(&mut p, endpoint, give_up_at, number);
                self.pending = Some(p);
                return true;
            }
            Some(Decision::Reject(wait)) => {
                let wait = wait.min(self.shared.settings().max_retry_after);
                (Some(FinalAnswer::Rejected(wait)), "refused")
            }
            Some(Decision::Fail) => (Some(FinalAnswer::Failed(p.failure_cause)), "failed"),
            Some(Decision::Withdrawn) => p.withdrawn_answer(),
        };
        self.shared.decisions.remove(p.id);
        self.answer_request(&*p.client_request, answer, reason);
        false
    }

    /// Begins an attempt at this endpoint, which the decisions have chosen.
    fn begin_attempt(
        &mut self,
        p: &mut PendingRequest,
        endpoint_id: EndpointId,
        deadline: Micros,
        number: u16,
    ) {
        if let Some(record) = &mut self.record {
            record.attempts += 1;
            record.backend = self
                .shared
                .directory
                .backend_address(endpoint_id)
                .map_or(String::new(), |e| e.name);
        }
        let issued_at = self.shared.decisions.attempt_issued_at(p.id);
        let attempt = Attempt::new(
            &*p.client_request,
            endpoint_id,
            deadline,
            number,
            issued_at.unwrap_or_else(|| self.now()),
        );
        (p.attempt, p.endpoint_id) = (Some(attempt), endpoint_id);
    }

    /// Handles the result of an attempt.
    fn handle_attempt_result(
        &mut self,
        mut p: Box<PendingRequest>,
        session: &Session,
        result: Result<EstablishedBackend, AttemptFailure>,
    ) {
        let decisions = self.shared.decisions.clone();
        let (issued_at, number) = p
            .attempt
            .as_ref()
            .map_or((0, 0), |attempt| (attempt.issued_at, attempt.number));
        let failure = result.as_ref().err().map(|(outcome, _)| *outcome);
        if p.attempt
            .take()
            .is_some_and(|attempt| attempt.may_have_executed(failure))
        {
            let began = Duration::from_micros(self.now().saturating_sub(issued_at));
            session.record_possible_execution(p.idempotency, began);
        }
        // Before the decisions are told: they may request a migration at once.
        session.set_established(result.is_ok());
        match (result, p.decision.is_some()) {
            (Ok(established), false) => return self.establish(*p, established),
            (Ok(established), true)
                if decisions.connected(p.id, self.now().saturating_sub(issued_at)) =>
            {
                return self.establish(*p, established)
            }
            (Ok(established), true) => {
                // The request was answered meanwhile. The backend's socket is closed before the
                // decisions are told.
                drop(established);
                session.detach_backend();
                session.set_established(false);
                decisions.attempt_failed(p.id, Outcome::Cancelled, Vec::new());
            }
            (Err((outcome, report)), true) => {
                p.failure_cause = if outcome == Outcome::Timeout {
                    FailureCause::Timeout
                } else {
                    FailureCause::BackendFailed
                };
                decisions.attempt_failed(p.id, outcome, report);
            }
            (Err((outcome, report)), false) => {
                return self.handle_failed_adoption(p, session, number, (outcome, report))
            }
        }
        self.pending = Some(p);
    }

    /// Dials the backend of a connection from before the start of this process again, or gives the
    /// connection up.
    fn handle_failed_adoption(
        &mut self,
        mut p: Box<PendingRequest>,
        session: &Session,
        number: u16,
        (outcome, report): AttemptFailure,
    ) {
        let failure = (number, outcome);
        let endpoint_id = p.endpoint_id;
        let until = session.deduplicated_until();
        let until = until.map_or(Micros::MAX, |until| self.shared.decisions.time_of(until));
        let deadline = p.answer_deadline.min(until);
        if p.withdrawal.is_none() {
            let request = &*p.client_request;
            p.attempt =
                Attempt::retry_adoption(request, endpoint_id, deadline, failure, self.now());
        }
        if p.attempt.is_some() {
            let (id, server) = (session.connection_id(), endpoint_id.0);
            tracing::info!(%id, server, ?outcome, "adopted connection: dialled again");
            if let Some(record) = &mut self.record {
                record.attempts += 1;
            }
            self.pending = Some(p);
            return;
        }
        self.shared
            .decisions
            .connection_ended(p.id, outcome, report);
        let not_adopted = FinalAnswer::Failed(FailureCause::BackendFailed);
        let (answer, reason) = match p.withdrawal {
            Some(_) => p.withdrawn_answer(),
            None => (Some(not_adopted), "not-adopted"),
        };
        self.answer_request(&*p.client_request, answer, reason);
    }

    /// Sends the client of a request its final answer other than a connection, and closes; no answer
    /// where the client is gone.
    fn answer_request(
        &mut self,
        client_request: &dyn ClientRequest,
        answer: Option<FinalAnswer>,
        reason: &'static str,
    ) {
        if let Some(record) = self.record.take() {
            answer
                .iter()
                .for_each(|answer| count_answer(&record, *answer));
            record.log_end(reason);
        }
        self.last_bytes = answer.map_or(Vec::new(), |answer| client_request.encode_answer(answer));
        self.close();
    }

    /// Continues as an established connection.
    fn establish(&mut self, p: PendingRequest, established: EstablishedBackend) {
        let EstablishedBackend {
            link,
            inbox,
            forwarder,
        } = established;
        if forwarder.established_is_final_answer() {
            self.record
                .iter()
                .filter_map(|record| record.tally.as_ref())
                .for_each(|tally| tally.connected());
        } else {
            self.answer_deadline = Some(p.answer_deadline);
        }
        if !forwarder.supports_takeover() {
            self.shared.metrics.xmpp.sessions.fetch_add(1, Relaxed);
            self.to_backend.enable_large_reads();
        }
        self.to_client = inbox;
        if !forwarder.supports_takeover() {
            self.to_client.enable_large_reads();
        }
        self.backend = Some(BackendSide {
            link,
            id: p.id,
            endpoint_id: p.endpoint_id,
            forwarder,
        });
        (self.phase, self.last_heard) = (Phase::Established, self.now());
        self.flush_to_client();
        self.flush_to_backend();
    }
}
