//! The side of the clients: a request is let in, has its verdicts carried out, and gets its answer or its connection.

use crate::config::endpoint_list::endpoint_id;
use crate::decision_service::{Decision, RequestHandle};
use crate::decisions::api::{Micros, Outcome, Request};
use crate::net::admission::{Denied, Idle};
use crate::net::attempt::{Attempt, Failed, Ground, Up, ADOPT};
use crate::net::connection::{Backend, Conn, Phase, Placing};
use crate::net::session::{Account, Session};
use crate::protocol::{ClientRequest, FailureCause, FinalAnswer};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;

/// Counts a connection by its final answer.
fn count(account: &Account, answer: FinalAnswer) {
    match (&account.tally, answer) {
        (Some(tally), FinalAnswer::Rejected(_)) => tally.rejected(),
        (Some(tally), FinalAnswer::Failed(_) | FinalAnswer::IdInUse) => tally.failed(),
        (None, _) => {}
    }
}

impl Conn {
    /// A client has asked for this.
    pub fn let_in(&mut self, idle: &Idle, order: Box<dyn ClientRequest>) {
        let core = self.core.clone();
        if let Some(account) = &mut self.account {
            account.name = order.connection_id().to_string();
            account.class = core
                .terms()
                .rules
                .classes
                .name(order.request().class)
                .to_string();
            account.tally = Some(core.metrics.begin_request(&account.class));
        }
        let (answer, reason) = match idle.request(order.connection_id()) {
            Ok(place) => {
                let keys = (order.request().client_key, order.request().group);
                let finishes = order.backend_finishes_first();
                self.session = Some(Session::new(&core.woken, keys, place, finishes, None));
                self.phase = Phase::Placing;
                return self.begin(order);
            }
            // Nothing was sent, so a refusal promises nothing false.
            Err(Denied::Full) => (
                FinalAnswer::Rejected(core.terms().max_retry_after / 2),
                "no-descriptors",
            ),
            Err(Denied::IdInUse) => (FinalAnswer::IdInUse, "id-in-use"),
        };
        self.finish(Some(answer), order.encode_answer(answer), reason);
    }

    /// Asks the decisions, or goes back to the backend at which the connection was open before the start.
    fn begin(&mut self, order: Box<dyn ClientRequest>) {
        let Some(session) = self.session.clone() else {
            return;
        };
        let (core, now) = (self.core.clone(), self.now());
        // Where this process stops, the answer is owed before it ends.
        let stop_by = core.stop_by.load(Relaxed);
        let asked = &Request {
            time_left: order.request().time_left.min(stop_by.saturating_sub(now)),
            ..order.request().clone()
        };
        let flow: Arc<dyn RequestHandle> = session.clone();
        let name = session.name();
        tracing::debug!(id = %name, group = asked.group, key = asked.client_key, again = asked.returning, "request");
        let (id, pick, attempt, server, answer_by) = match order.adopted_backend() {
            Some(at) => {
                let server = endpoint_id(at);
                let id = core.decisions.adopt_connection(asked.clone(), server, flow);
                if let Some(account) = &mut self.account {
                    (account.backend, account.attempts) = (at.to_string(), 1);
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
                let pick = core
                    .decisions
                    .submit(asked.clone(), flow, |id| session.takes_id(id));
                (pick.id, Some(pick), None, Default::default(), answer_by)
            }
        };
        let cause = FailureCause::BackendFailed;
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
                self.core.decisions.shorten_deadline(p.id, by);
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
                    core: &self.core,
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
                    if let Some(account) = &mut self.account {
                        account.attempts += 1;
                        account.backend = self
                            .core
                            .directory
                            .backend_address(server)
                            .map_or(String::new(), |e| e.name);
                    }
                    p.attempt = Some(Attempt::new(&*p.order, server, until, number, self.now()));
                    p.server = server;
                    self.placing = Some(p);
                    continue;
                }
                Some(Decision::Reject(wait)) => (
                    Some(FinalAnswer::Rejected(
                        wait.min(self.core.terms().max_retry_after),
                    )),
                    "refused",
                ),
                Some(Decision::Fail) => (Some(FinalAnswer::Failed(p.cause)), "failed"),
                Some(Decision::Withdrawn) => (None, "client-gave-up"),
            };
            self.core.decisions.remove(p.id);
            let words = answer.map_or(Vec::new(), |answer| p.order.encode_answer(answer));
            self.finish(answer, words, reason);
        }
    }

    /// An attempt has come up or failed.
    fn attempted(&mut self, mut p: Box<Placing>, session: &Session, result: Result<Up, Failed>) {
        let decisions = self.core.decisions.clone();
        let began = p.attempt.take().map_or(0, |attempt| attempt.began);
        // Before the decisions hear of it: they may ask for a move at once.
        session.is_up(result.is_ok());
        match (result, p.pick.is_some()) {
            (Ok(up), false) => return self.stand(*p, up),
            (Ok(up), true) if decisions.connected(p.id, self.now().saturating_sub(began)) => {
                return self.stand(*p, up)
            }
            (Ok(up), true) => {
                // Answered meanwhile: the attempt is closed before anything else happens.
                drop(up);
                session.release();
                session.is_up(false);
                decisions.attempt_failed(p.id, Outcome::Cancelled, Vec::new());
            }
            (Err((outcome, report)), true) => {
                p.cause = if outcome == Outcome::Timeout {
                    FailureCause::Timeout
                } else {
                    FailureCause::BackendFailed
                };
                decisions.attempt_failed(p.id, outcome, report);
            }
            (Err((outcome, report)), false) => {
                decisions.connection_ended(p.id, outcome, report);
                let answer = FinalAnswer::Failed(FailureCause::BackendFailed);
                return self.finish(Some(answer), p.order.encode_answer(answer), "not-adopted");
            }
        }
        self.placing = Some(p);
    }

    /// Gives a client the final answer that is no connection; nothing where it is gone.
    fn finish(&mut self, answer: Option<FinalAnswer>, words: Vec<u8>, reason: &'static str) {
        if let Some(account) = self.account.take() {
            answer.iter().for_each(|answer| count(&account, *answer));
            account.log(reason);
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
        if passage.established_is_final_answer() {
            self.account
                .iter()
                .filter_map(|account| account.tally.as_ref())
                .for_each(|tally| tally.connected());
        } else {
            self.answer_by = Some(p.answer_by);
        }
        if !passage.supports_takeover() {
            self.core.metrics.xmpp.sessions.fetch_add(1, Relaxed);
            self.up.enable_large_reads();
        }
        self.down = inbox;
        if !passage.supports_takeover() {
            self.down.enable_large_reads();
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
