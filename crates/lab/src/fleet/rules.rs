//! The four rules, checked on books of its own with every event: one answer in time, never two attempts out, nothing
//! new to a backend that leaves, no cold backend pushed over.

use super::days::Rules;
use super::scenario::micros;
use jaspermoor::decisions::api::{EndpointState, Micros};
use std::collections::{BTreeSet, HashMap};
use std::fmt;

/// Breaks that are kept; the others are only counted.
const KEPT: usize = 20;

/// A broken rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Break {
    /// Which.
    pub rule: &'static str,
    /// When.
    pub at: Micros,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "{} at {:.3} s: {}",
            self.rule,
            self.at as f64 / 1e6,
            self.what
        )
    }
}

/// Watches.
pub struct Watchdog {
    grace: Micros,
    /// Answers owed, by when.
    owed: BTreeSet<(Micros, usize, u32, u32)>,
    by_request: HashMap<(usize, u32), Micros>,
    /// When a relay was told that a backend takes nothing new.
    told: HashMap<(usize, usize), Micros>,
    /// What was broken, the first ones.
    pub breaks: Vec<Break>,
    /// All of them.
    pub count: usize,
}

impl Watchdog {
    /// With these figures.
    pub fn new(rules: &Rules) -> Watchdog {
        Watchdog {
            grace: micros(rules.drain_grace_ms / 1_000.0),
            owed: BTreeSet::new(),
            by_request: HashMap::new(),
            told: HashMap::new(),
            breaks: Vec::new(),
            count: 0,
        }
    }

    fn broken(&mut self, rule: &'static str, at: Micros, what: String) {
        self.count += 1;
        if self.breaks.len() < KEPT {
            self.breaks.push(Break { rule, at, what });
        }
    }

    /// A relay owes an answer by then.
    pub fn owes(&mut self, relay: usize, life: u32, id: u32, by: Micros) {
        self.owed.insert((by, relay, life, id));
        self.by_request.insert((relay, id), by);
    }

    /// It has given it, or its client is gone.
    pub fn answered(&mut self, relay: usize, life: u32, id: u32) {
        if let Some(by) = self.by_request.remove(&(relay, id)) {
            self.owed.remove(&(by, relay, life, id));
        }
    }

    /// A relay's second answer.
    pub fn twice(&mut self, now: Micros, relay: usize, id: u32) {
        self.broken(
            "answer",
            now,
            format!("relay n{relay} answered request {id} twice"),
        );
    }

    /// What a killed relay owed is its client's own affair.
    pub fn died(&mut self, relay: usize) {
        let gone: Vec<_> = self.owed.iter().filter(|o| o.1 == relay).copied().collect();
        for owed in gone {
            self.owed.remove(&owed);
            self.by_request.remove(&(relay, owed.3));
        }
        self.told.retain(|(r, _), _| *r != relay);
    }

    /// A relay has this list now.
    pub fn listed(&mut self, now: Micros, relay: usize, list: &[Option<EndpointState>]) {
        for (backend, state) in list.iter().enumerate() {
            if *state == Some(EndpointState::Ready) {
                self.told.remove(&(relay, backend));
            } else {
                self.told.entry((relay, backend)).or_insert(now);
            }
        }
    }

    /// An attempt goes out.
    pub fn sent(
        &mut self,
        now: Micros,
        relay: usize,
        id: u32,
        two: bool,
        state: Option<EndpointState>,
        backend: usize,
    ) {
        if two {
            self.broken(
                "one-attempt",
                now,
                format!("relay n{relay} has two attempts of request {id} out"),
            );
        }
        let late = self
            .told
            .get(&(relay, backend))
            .is_some_and(|&told| now > told + self.grace);
        if late && state != Some(EndpointState::Ready) {
            self.broken(
                "drain",
                now,
                format!("relay n{relay} sent request {id} to backend {backend} ({state:?})"),
            );
        }
    }

    /// A cold backend fell over.
    pub fn fell(&mut self, now: Micros, backend: usize) {
        self.broken("cold", now, format!("backend {backend} was pushed over"));
    }

    /// Looks for answers that are overdue.
    pub fn due(&mut self, now: Micros) {
        while let Some(&(by, relay, life, id)) = self.owed.first().filter(|o| o.0 < now) {
            self.owed.remove(&(by, relay, life, id));
            self.by_request.remove(&(relay, id));
            self.broken(
                "answer",
                by,
                format!("relay n{relay} owed request {id} an answer by then"),
            );
        }
    }
}
