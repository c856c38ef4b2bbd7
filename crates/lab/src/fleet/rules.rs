//! Checks four rules during a run, independently of the relays' own state: each request gets one
//! answer by its deadline, it never has two attempts at once, a draining backend gets no new
//! attempts after the grace time, and no cold backend is overloaded until it crashes.

use super::days::Rules;
use super::scenario::micros;
use jaspermoor::decisions::api::{EndpointState, Micros};
use std::collections::{BTreeSet, HashMap};
use std::fmt;

/// Violations that are kept in full; later ones are only counted.
const MAX_KEPT_VIOLATIONS: usize = 20;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    /// Time of the violation.
    pub at: Micros,
    /// Description of the event.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "{} at {:.3} s: {}",
            self.rule,
            self.at as f64 / 1e6,
            self.description
        )
    }
}

/// Checker of the rules.
pub struct RuleChecker {
    drain_grace: Micros,
    /// Pending answers as (deadline, relay, relay's incarnation, request).
    answers_owed: BTreeSet<(Micros, usize, u32, u32)>,
    deadline_by_request: HashMap<(usize, u32), Micros>,
    /// By relay and backend: when the relay learned that the backend accepts nothing new.
    drained_at: HashMap<(usize, usize), Micros>,
    /// The first violations.
    pub violations: Vec<Violation>,
    /// Number of all violations.
    pub total: usize,
}

impl RuleChecker {
    /// Creates a checker with the day's limits.
    pub fn new(rules: &Rules) -> RuleChecker {
        RuleChecker {
            drain_grace: micros(rules.drain_grace_ms / 1_000.0),
            answers_owed: BTreeSet::new(),
            deadline_by_request: HashMap::new(),
            drained_at: HashMap::new(),
            violations: Vec::new(),
            total: 0,
        }
    }

    fn record(&mut self, rule: &'static str, at: Micros, description: String) {
        self.total += 1;
        if self.violations.len() < MAX_KEPT_VIOLATIONS {
            self.violations.push(Violation {
                rule,
                at,
                description,
            });
        }
    }

    /// Records that a relay must answer a request by `deadline`.
    pub fn expect_answer(&mut self, relay: usize, incarnation: u32, id: u32, deadline: Micros) {
        self.answers_owed.insert((deadline, relay, incarnation, id));
        self.deadline_by_request.insert((relay, id), deadline);
    }

    /// Records that a request was answered or its client has disconnected.
    pub fn answer_given(&mut self, relay: usize, incarnation: u32, id: u32) {
        if let Some(deadline) = self.deadline_by_request.remove(&(relay, id)) {
            self.answers_owed
                .remove(&(deadline, relay, incarnation, id));
        }
    }

    /// Records that a relay answered a request a second time.
    pub fn second_answer(&mut self, now: Micros, relay: usize, id: u32) {
        self.record(
            "answer",
            now,
            format!("relay n{relay} answered request {id} twice"),
        );
    }

    /// Forgets the pending answers of a relay whose process has ended.
    pub fn relay_died(&mut self, relay: usize) {
        let pending: Vec<_> = self
            .answers_owed
            .iter()
            .filter(|o| o.1 == relay)
            .copied()
            .collect();
        for answer in pending {
            self.answers_owed.remove(&answer);
            self.deadline_by_request.remove(&(relay, answer.3));
        }
        self.drained_at.retain(|(r, _), _| *r != relay);
    }

    /// Records the endpoint list that a relay has received.
    pub fn list_received(&mut self, now: Micros, relay: usize, list: &[Option<EndpointState>]) {
        for (backend, state) in list.iter().enumerate() {
            if *state == Some(EndpointState::Ready) {
                self.drained_at.remove(&(relay, backend));
            } else {
                self.drained_at.entry((relay, backend)).or_insert(now);
            }
        }
    }

    /// Checks an attempt when it starts.
    pub fn attempt_started(
        &mut self,
        now: Micros,
        relay: usize,
        id: u32,
        another_out: bool,
        state: Option<EndpointState>,
        backend: usize,
    ) {
        if another_out {
            self.record(
                "one-attempt",
                now,
                format!("relay n{relay} has two attempts of request {id} out"),
            );
        }
        let after_grace = self
            .drained_at
            .get(&(relay, backend))
            .is_some_and(|&since| now > since + self.drain_grace);
        if after_grace && state != Some(EndpointState::Ready) {
            self.record(
                "drain",
                now,
                format!("relay n{relay} sent request {id} to backend {backend} ({state:?})"),
            );
        }
    }

    /// Records that a cold backend crashed under overload.
    pub fn cold_backend_crashed(&mut self, now: Micros, backend: usize) {
        self.record("cold", now, format!("backend {backend} was pushed over"));
    }

    /// Records answers that are overdue.
    pub fn check_deadlines(&mut self, now: Micros) {
        while let Some(&(deadline, relay, incarnation, id)) =
            self.answers_owed.first().filter(|o| o.0 < now)
        {
            self.answers_owed
                .remove(&(deadline, relay, incarnation, id));
            self.deadline_by_request.remove(&(relay, id));
            self.record(
                "answer",
                deadline,
                format!("relay n{relay} owed request {id} an answer by then"),
            );
        }
    }
}
