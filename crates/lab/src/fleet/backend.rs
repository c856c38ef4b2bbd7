//! A backend: what it can do, what is asked of it, and what its clients get. Time comes in with each call.
//!
//! Its cores are shared by all it holds: connections, a cost for each group that it holds any of, and set-ups. Nearer to
//! its capacity messages take longer, and beyond it work piles up.

use super::scenario::Scene;
use jaspermoor::decisions::api::{EndpointId, Micros};
use std::collections::BTreeMap;

/// A backend never gets less of its cores than this for set-ups, however much else there is.
const SET_UP_LEAST: f64 = 0.1;

/// Whether it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Runs {
    /// It serves.
    Up,
    /// It finishes what it has.
    Draining,
    /// Its process is gone: new connections are refused.
    Down,
    /// Its machine says nothing.
    Silent,
}

/// What probes are told, made now and then.
#[derive(Clone, Copy, Debug, Default)]
pub struct Told {
    /// Connections.
    pub active: f64,
    /// Load over capacity.
    pub load: f64,
}

/// A backend.
#[derive(Debug)]
#[allow(missing_docs)]
pub struct Backend {
    pub id: EndpointId,
    pub zone: usize,
    /// Cores times speed: seconds of the yardstick's core a second.
    pub power: f64,
    pub cores: f64,
    /// Its size as the list has it.
    pub size: f64,
    pub queue: f64,
    pub cold_from: f64,
    pub cold_for: Micros,
    pub runs: Runs,
    /// A process that is gone knows nothing of what came before: what belongs to an older one is void.
    pub life: u32,
    /// When it last came up cold; none for a long time back.
    pub started: Option<Micros>,
    /// Clients that it holds, in the order in which they came.
    pub held: BTreeMap<u64, usize>,
    pub groups: BTreeMap<usize, u32>,
    /// Load of the connections, in mean loads of the first class.
    pub load: f64,
    /// Work piled up, in seconds.
    pub piled: f64,
    /// Load over capacity as of the last step.
    pub asked: f64,
    pub slow: f64,
    pub errors: f64,
    /// When its queue of set-ups is through, and how many stand in it.
    pub through: Micros,
    pub waiting: u32,
    /// Work of set-ups and probes since the last step, in seconds of a core.
    pub side: f64,
    over_since: Option<Micros>,
    /// The report that probes see, and the one that will be seen.
    pub told: Told,
    pub next_told: (Micros, Told),
}

impl Backend {
    /// How warm it is: the share of its capacity that it has.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let age = now.saturating_sub(started) as f64 / self.cold_for.max(1) as f64;
        (self.cold_from + (1.0 - self.cold_from) * age).min(1.0)
    }

    /// Mean loads that it bears now.
    pub fn capacity(&self, scene: &Scene, now: Micros) -> f64 {
        self.power * scene.per_core * self.warmth(now) * self.slow
    }

    /// Whether it takes something new now; what it answers where not is `BUSY`.
    pub fn room(&self, scene: &Scene) -> bool {
        let most = self.power * scene.per_core * scene.cap;
        let queue = self.cores * self.queue;
        self.runs == Runs::Up && (self.held.len() as f64) < most && f64::from(self.waiting) < queue
    }

    /// Takes a set-up into its queue; when it will be through.
    pub fn set_up(&mut self, scene: &Scene, work: f64, now: Micros) -> Micros {
        let warm = self.warmth(now);
        let free = (1.0 - self.asked).max(SET_UP_LEAST);
        let mut takes = work / (self.power * warm * self.slow * free).max(1e-6);
        if warm < 1.0 {
            // No faster than fills it over its warm-up.
            let each = self.cold_for as f64 / 1e6 / (self.power * scene.per_core);
            takes = takes.max(each);
        }
        self.side += work;
        self.waiting += 1;
        self.through = self.through.max(now) + super::scenario::micros(takes);
        self.through
    }

    /// Holds a client.
    pub fn take(&mut self, turn: u64, client: usize, group: usize, load: f64) {
        self.held.insert(turn, client);
        *self.groups.entry(group).or_default() += 1;
        self.load += load;
    }

    /// Lets go of it.
    pub fn lose(&mut self, turn: u64, group: usize, load: f64) {
        if self.held.remove(&turn).is_none() {
            return;
        }
        if let Some(n) = self.groups.get_mut(&group) {
            *n -= 1;
            if *n == 0 {
                self.groups.remove(&group);
            }
        }
        // Sums of many small numbers drift; an empty one has none.
        self.load = if self.held.is_empty() {
            0.0
        } else {
            (self.load - load).max(0.0)
        };
    }

    /// Lets a step pass; true if it has been sent so much that a cold one falls over.
    pub fn step(&mut self, scene: &Scene, now: Micros, step: f64) -> bool {
        let capacity = self.capacity(scene, now);
        let side = std::mem::take(&mut self.side)
            / (self.power * self.warmth(now) * self.slow).max(1e-6)
            / step;
        self.asked = if capacity > 0.0 {
            (self.load + scene.group_cost * self.groups.len() as f64) / capacity + side.min(1.0)
        } else {
            0.0
        };
        self.piled = (self.piled + (self.asked - 1.0) * step).clamp(0.0, scene.buffer * 2.0);
        let rules = &scene.site.rules;
        let over =
            self.started.is_some() && self.warmth(now) < 1.0 && self.asked > rules.fall_multiple;
        let since = *self.over_since.get_or_insert(now);
        if !over {
            self.over_since = None;
        }
        over && now >= since + super::scenario::micros(rules.fall_s)
    }

    /// The share of messages that are answered within that aim, in seconds.
    pub fn quality(&self, scene: &Scene, aim: f64) -> f64 {
        let left = aim - self.piled;
        if left <= 0.0 {
            return 0.0;
        }
        let free = (1.0 - self.asked).max(0.02);
        1.0 - (-left * free / scene.message).exp()
    }

    /// How long a message takes, in seconds.
    pub fn message(&self, scene: &Scene) -> f64 {
        self.piled + scene.message / (1.0 - self.asked).max(0.02)
    }

    /// Forgets all, as a process does that dies.
    pub fn dies(&mut self, runs: Runs) {
        self.runs = runs;
        self.life += 1;
        self.groups.clear();
        self.held.clear();
        (self.load, self.piled, self.asked, self.side) = (0.0, 0.0, 0.0, 0.0);
        (self.waiting, self.through, self.over_since) = (0, 0, None);
        (self.told, self.next_told) = (Told::default(), (0, Told::default()));
    }

    /// Comes up cold.
    pub fn starts(&mut self, now: Micros) {
        self.runs = Runs::Up;
        self.started = Some(now);
        self.life += 1;
    }

    /// One that has not begun to serve; what it can do is the caller's to say.
    pub fn new(id: EndpointId, zone: usize) -> Backend {
        Backend {
            id,
            zone,
            power: 1.0,
            cores: 1.0,
            size: 1.0,
            queue: 1.0,
            cold_from: 1.0,
            cold_for: 1,
            runs: Runs::Up,
            life: 0,
            started: None,
            held: BTreeMap::new(),
            groups: BTreeMap::new(),
            load: 0.0,
            piled: 0.0,
            asked: 0.0,
            slow: 1.0,
            errors: 0.0,
            through: 0,
            waiting: 0,
            side: 0.0,
            over_since: None,
            told: Told::default(),
            next_told: (0, Told::default()),
        }
    }
}
