//! The side of the clients: a request is let in, has its verdicts carried out, and gets its answer or its connection.

use crate::config::listing::server_id;
use crate::decision_service::{Decision, RequestHandle};
use crate::decisions::api::{Micros, Outcome, Request};
use crate::net::admission::{AdmissionError, WaitingConnection};
use crate::net::attempt::{Attempt, Failed, Ground, Up, ADOPT};
use crate::net::connection::{Backend, Conn, Phase, Placing};
use crate::net::session::{ConnectionRecord, Session};
use crate::protocol::{Answer, Cause, Order};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;

/// Counts a connection by its final answer.
fn count(record: &ConnectionRecord, answer: Answer) {
    match (&record.tally, answer) {
        (Some(tally), Answer::Refused(_)) => tally.dropped(),
        (Some(tally), Answer::Failed(_) | Answer::IdInUse) => tally.failed(),
        (None, _) => {}
    }
}

impl Conn {
    /// A client has asked for this.
    pub fn let_in(&mut self, idle: &WaitingConnection, order: Box<dyn Order>) {
        let shared = self.shared.clone();
        if let Some(record) = &mut self.record {
            record.id = order.name().to_string();
            record.class = shared
                .settings()
                .rules
                .classes
                .name(order.request().class)
                .to_string();
            record.tally = Some(shared.metrics.begin(&record.class));
        }
        let (answer, reason) = match idle.admit_request(order.name()) {
            Ok(place) => {
                let keys = (order.request().client_key, order.request().group);
                let finishes = order.finishes();
                self.session = Some(Session::new(
                    &shared.wake_queue,
                    keys,
                    place,
                    finishes,
                    None,
                ));
                self.phase = Phase::Placing;
                return self.begin(order);
            }
            // Nothing was sent, so a refusal promises nothing false.
            Err(AdmissionError::NoCapacity) => (
                Answer::Refused(shared.settings().max_retry_after / 2),
                "no-descriptors",
            ),
            Err(AdmissionError::IdInUse) => (Answer::IdInUse, "id-in-use"),
        };
        self.finish(Some(answer), order.words(answer), reason);
    }

    /// Asks the decisions, or goes back to the backend at which the connection was open before the start.
    fn begin(&mut self, order: Box<dyn Order>) {
        let Some(session) = self.session.clone() else {
            return;
        };
        let (shared, now) = (self.shared.clone(), self.now());
        // Where this process stops, the answer is owed before it ends.
        let stop_by = shared.answer_deadline.load(Relaxed);
        let asked = &Request {
            time_left: order.request().time_left.min(stop_by.saturating_sub(now)),
            ..order.request().clone()
        };
        let flow: Arc<dyn RequestHandle> = session.clone();
        let name = session.connection_id();
        tracing::debug!(id = %name, group = asked.group, key = asked.client_key, again = asked.returning, "request");
        let (id, pick, attempt, server, answer_by) = match order.at() {
            Some(at) => {
                let server = server_id(at);
                let id = shared
                    .decisions
                    .adopt_connection(asked.clone(), server, flow);
                if let Some(record) = &mut self.record {
                    (record.backend, record.attempts) = (at.to_string(), 1);
                }
                let until = (now + ADOPT).min(stop_by);
                (
                    id,
                    None,
                    Some(Attempt::new(&*order, server, until, 0, now)),
                    server,
                    until,
                )
            }
            None => {
                // Whoever waits is owed its answer by then; what went before the request is the client's own time.
                let answer_by = now + asked.time_left;
                let pick = shared
                    .decisions
                    .submit(asked.clone(), flow, |id| session.set_request_id(id));
                (pick.id, Some(pick), None, Default::default(), answer_by)
            }
        };
        let cause = Cause::Broke;
        self.placing = Some(Box::new(Placing {
            order,
            id,
            pick,
            attempt,
            server,
            cause,
            answer_by,
        }));
        self.place(false);
    }

    /// All that is owed to it is owed by then: this process stops.
    pub fn hurry(&mut self, by: Micros) {
        self.answer_by = self.answer_by.map(|at| at.min(by));
        if let Some(p) = &mut self.placing {
            p.answer_by = p.answer_by.min(by);
            p.attempt.iter_mut().for_each(|attempt| attempt.hurry(by));
            if p.pick.is_some() {
                self.shared.decisions.shorten_deadline(p.id, by);
            }
        }
    }

    /// Goes on with a request that is placed; `ready` says that the socket of its attempt is.
    pub fn place(&mut self, mut ready: bool) {
        let Some(session) = self.session.clone() else {
            return;
        };
        loop {
            if self
                .placing
                .as_ref()
                .and_then(|p| p.attempt.as_ref())
                .is_some_and(|a| a.begins(ready))
            {
                self.look_for_end();
            }
            let Some(mut p) = self.placing.take() else {
                return;
            };
            if let Some(attempt) = &mut p.attempt {
                let ground = Ground {
                    shared: &self.shared,
                    session: &session,
                    order: &*p.order,
                    id: p.id,
                };
                let Some(result) = attempt.go(ground, std::mem::take(&mut ready)) else {
                    self.placing = Some(p);
                    return;
                };
                self.attempted(p, &session, result);
                continue;
            }
            let verdict = match &p.pick {
                Some(pick) => pick.try_next(),
                None => Some(Decision::Withdrawn),
            };
            let (answer, reason) = match verdict {
                None => {
                    self.placing = Some(p);
                    return;
                }
                Some(Decision::Attempt {
                    endpoint: server,
                    give_up_at: until,
                    number,
                }) => {
                    if let Some(record) = &mut self.record {
                        record.attempts += 1;
                        record.backend = self
                            .shared
                            .directory
                            .endpoint(server)
                            .map_or(String::new(), |e| e.name);
                    }
                    p.attempt = Some(Attempt::new(&*p.order, server, until, number, self.now()));
                    p.server = server;
                    self.placing = Some(p);
                    continue;
                }
                Some(Decision::Reject(wait)) => (
                    Some(Answer::Refused(
                        wait.min(self.shared.settings().max_retry_after),
                    )),
                    "refused",
                ),
                Some(Decision::Fail) => (Some(Answer::Failed(p.cause)), "failed"),
                Some(Decision::Withdrawn) => (None, "client-gave-up"),
            };
            self.shared.decisions.remove(p.id);
            let words = answer.map_or(Vec::new(), |answer| p.order.words(answer));
            self.finish(answer, words, reason);
        }
    }

    /// An attempt has come up or failed.
    fn attempted(&mut self, mut p: Box<Placing>, session: &Session, result: Result<Up, Failed>) {
        let decisions = self.shared.decisions.clone();
        let began = p.attempt.take().map_or(0, |attempt| attempt.began);
        // Before the decisions hear of it: they may ask for a move at once.
        session.set_established(result.is_ok());
        match (result, p.pick.is_some()) {
            (Ok(up), false) => return self.stand(*p, up),
            (Ok(up), true) if decisions.connected(p.id, self.now().saturating_sub(began)) => {
                return self.stand(*p, up)
            }
            (Ok(up), true) => {
                // Answered meanwhile: the attempt is closed before anything else happens.
                drop(up);
                session.detach_backend();
                session.set_established(false);
                decisions.attempt_failed(p.id, Outcome::Cancelled, Vec::new());
            }
            (Err((outcome, report)), true) => {
                p.cause = if outcome == Outcome::Timeout {
                    Cause::Late
                } else {
                    Cause::Broke
                };
                decisions.attempt_failed(p.id, outcome, report);
            }
            (Err((outcome, report)), false) => {
                decisions.connection_ended(p.id, outcome, report);
                let answer = Answer::Failed(Cause::Broke);
                return self.finish(Some(answer), p.order.words(answer), "not-adopted");
            }
        }
        self.placing = Some(p);
    }

    /// Gives a client the final answer that is no connection; nothing where it is gone.
    fn finish(&mut self, answer: Option<Answer>, words: Vec<u8>, reason: &'static str) {
        if let Some(record) = self.record.take() {
            answer.iter().for_each(|answer| count(&record, *answer));
            record.log_end(reason);
        }
        self.last = words;
        self.close();
    }

    /// Goes on with a connection that has come up.
    fn stand(&mut self, p: Placing, up: Up) {
        let Up {
            link,
            inbox,
            passage,
        } = up;
        if passage.answered() {
            self.record
                .iter()
                .filter_map(|record| record.tally.as_ref())
                .for_each(|tally| tally.passed());
        } else {
            self.answer_by = Some(p.answer_by);
        }
        if !passage.portable() {
            self.shared.metrics.xmpp.sessions.fetch_add(1, Relaxed);
            self.up.make_roomy();
        }
        self.down = inbox;
        if !passage.portable() {
            self.down.make_roomy();
        }
        self.backend = Some(Backend {
            link,
            id: p.id,
            server: p.server,
            passage,
        });
        (self.phase, self.heard) = (Phase::Up, self.now());
        self.flush_down();
        self.flush_up();
    }
}
