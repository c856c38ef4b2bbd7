//! Model of a backend: its capacity, its load and the service its clients get. The caller passes
//! the time to each call.
//!
//! Its cores are shared by its connections, a cost for each group with a connection, and
//! connection set-ups. Messages take longer as the load nears the capacity; above it a backlog
//! builds up.

use super::scenario::{micros, Scenario};
use jaspermoor::decisions::api::{EndpointId, Micros};
use std::collections::BTreeMap;

/// Minimum share of a backend's cores that is available for connection set-ups at any load.
const MIN_SETUP_SHARE: f64 = 0.1;

/// State of a backend's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// It accepts connections.
    Up,
    /// It keeps its connections and accepts no new ones.
    Draining,
    /// Its process has ended: connections to it are refused.
    Down,
    /// Its host does not respond.
    Silent,
}

/// Load report that health checks return; it is refreshed periodically.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Number of connections.
    pub connections: f64,
    /// Load divided by capacity.
    pub load: f64,
}

/// A backend.
#[derive(Debug)]
#[allow(missing_docs)]
pub struct Backend {
    pub id: EndpointId,
    pub zone: usize,
    /// Cores times speed: core-seconds of the reference core per second.
    pub compute_power: f64,
    pub cores: f64,
    /// Size in the endpoint list.
    pub listed_size: f64,
    pub queue_per_core: f64,
    pub initial_warmth: f64,
    pub warm_up_time: Micros,
    pub state: BackendState,
    /// Number of its process's start; events of an earlier incarnation are ignored.
    pub incarnation: u32,
    /// When it last started cold; `None` if it has been warm since before the run.
    pub started_at: Option<Micros>,
    /// Connected clients by their try number, that is, in the order of their tries.
    pub clients: BTreeMap<u64, usize>,
    /// Number of connections by group.
    pub groups: BTreeMap<usize, u32>,
    /// Load of the connections, in mean loads.
    pub load: f64,
    /// Backlog of work, in seconds.
    pub backlog_s: f64,
    /// Load divided by capacity, as of the last step.
    pub utilization: f64,
    pub speed_factor: f64,
    pub error_rate: f64,
    /// When its queue of set-ups will be empty.
    pub queue_free_at: Micros,
    pub queued_setups: u32,
    /// Work of set-ups and probes since the last step, in core-seconds.
    pub overhead_work_s: f64,
    overloaded_since: Option<Micros>,
    /// The report that health checks return, and the next one with the time it becomes visible.
    pub report: LoadReport,
    pub next_report: (Micros, LoadReport),
}

impl Backend {
    /// Share of its full capacity that it has reached while warming up.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(started) = self.started_at else {
            return 1.0;
        };
        let age = now.saturating_sub(started) as f64 / self.warm_up_time.max(1) as f64;
        (self.initial_warmth + (1.0 - self.initial_warmth) * age).min(1.0)
    }

    /// Current capacity, in mean loads.
    pub fn capacity(&self, scenario: &Scenario, now: Micros) -> f64 {
        self.compute_power * scenario.load_per_core * self.warmth(now) * self.speed_factor
    }

    /// Whether it accepts a new connection; otherwise it answers `BUSY`.
    pub fn accepts_setup(&self, scenario: &Scenario) -> bool {
        let max_clients =
            self.compute_power * scenario.load_per_core * scenario.connection_cap_factor;
        let queue_limit = self.cores * self.queue_per_core;
        self.state == BackendState::Up
            && (self.clients.len() as f64) < max_clients
            && f64::from(self.queued_setups) < queue_limit
    }

    /// Queues a set-up of `work` core-seconds and returns when it will be done.
    pub fn enqueue_setup(&mut self, scenario: &Scenario, work: f64, now: Micros) -> Micros {
        let warmth = self.warmth(now);
        let free = (1.0 - self.utilization).max(MIN_SETUP_SHARE);
        let mut duration_s =
            work / (self.compute_power * warmth * self.speed_factor * free).max(1e-6);
        if warmth < 1.0 {
            // A cold backend accepts connections no faster than it would fill up over its warm-up.
            let fill_interval_s =
                self.warm_up_time as f64 / 1e6 / (self.compute_power * scenario.load_per_core);
            duration_s = duration_s.max(fill_interval_s);
        }
        self.overhead_work_s += work;
        self.queued_setups += 1;
        self.queue_free_at = self.queue_free_at.max(now) + micros(duration_s);
        self.queue_free_at
    }

    /// Adds an established connection.
    pub fn add_client(&mut self, try_number: u64, client: usize, group: usize, load: f64) {
        self.clients.insert(try_number, client);
        *self.groups.entry(group).or_default() += 1;
        self.load += load;
    }

    /// Removes a connection.
    pub fn remove_client(&mut self, try_number: u64, group: usize, load: f64) {
        if self.clients.remove(&try_number).is_none() {
            return;
        }
        if let Some(count) = self.groups.get_mut(&group) {
            *count -= 1;
            if *count == 0 {
                self.groups.remove(&group);
            }
        }
        // Rounding errors accumulate in the sum, so it is reset when the backend is empty.
        self.load = if self.clients.is_empty() {
            0.0
        } else {
            (self.load - load).max(0.0)
        };
    }

    /// Settles one step; returns true if the backend is cold and has been overloaded long enough
    /// to crash.
    pub fn step(&mut self, scenario: &Scenario, now: Micros, step_s: f64) -> bool {
        let capacity = self.capacity(scenario, now);
        let overhead = std::mem::take(&mut self.overhead_work_s)
            / (self.compute_power * self.warmth(now) * self.speed_factor).max(1e-6)
            / step_s;
        self.utilization = if capacity > 0.0 {
            (self.load + scenario.group_cost * self.groups.len() as f64) / capacity
                + overhead.min(1.0)
        } else {
            0.0
        };
        self.backlog_s = (self.backlog_s + (self.utilization - 1.0) * step_s)
            .clamp(0.0, scenario.backlog_limit_s * 2.0);
        let rules = &scenario.site.rules;
        let overloaded = self.started_at.is_some()
            && self.warmth(now) < 1.0
            && self.utilization > rules.fall_multiple;
        let since = *self.overloaded_since.get_or_insert(now);
        if !overloaded {
            self.overloaded_since = None;
        }
        overloaded && now >= since + micros(rules.fall_s)
    }

    /// Share of messages that are answered within `objective_s` seconds.
    pub fn share_answered_within(&self, scenario: &Scenario, objective_s: f64) -> f64 {
        let left_s = objective_s - self.backlog_s;
        if left_s <= 0.0 {
            return 0.0;
        }
        let free = (1.0 - self.utilization).max(0.02);
        1.0 - (-left_s * free / scenario.idle_message_s).exp()
    }

    /// Mean time of a message, in seconds.
    pub fn message_seconds(&self, scenario: &Scenario) -> f64 {
        self.backlog_s + scenario.idle_message_s / (1.0 - self.utilization).max(0.02)
    }

    /// Ends the process; its connections, backlog and reports are lost.
    pub fn stop(&mut self, state: BackendState) {
        self.state = state;
        self.incarnation += 1;
        self.groups.clear();
        self.clients.clear();
        (
            self.load,
            self.backlog_s,
            self.utilization,
            self.overhead_work_s,
        ) = (0.0, 0.0, 0.0, 0.0);
        (
            self.queued_setups,
            self.queue_free_at,
            self.overloaded_since,
        ) = (0, 0, None);
        (self.report, self.next_report) = (LoadReport::default(), (0, LoadReport::default()));
    }

    /// Starts a new process, which is cold.
    pub fn start_cold(&mut self, now: Micros) {
        self.state = BackendState::Up;
        self.started_at = Some(now);
        self.incarnation += 1;
    }

    /// Creates a backend with neutral values; the caller sets its capacity.
    pub fn new(id: EndpointId, zone: usize) -> Backend {
        Backend {
            id,
            zone,
            compute_power: 1.0,
            cores: 1.0,
            listed_size: 1.0,
            queue_per_core: 1.0,
            initial_warmth: 1.0,
            warm_up_time: 1,
            state: BackendState::Up,
            incarnation: 0,
            started_at: None,
            clients: BTreeMap::new(),
            groups: BTreeMap::new(),
            load: 0.0,
            backlog_s: 0.0,
            utilization: 0.0,
            speed_factor: 1.0,
            error_rate: 0.0,
            queue_free_at: 0,
            queued_setups: 0,
            overhead_work_s: 0.0,
            overloaded_since: None,
            report: LoadReport::default(),
            next_report: (0, LoadReport::default()),
        }
    }
}
