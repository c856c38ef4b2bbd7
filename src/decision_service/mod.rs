//! Thread-safe access to the balancers of all cells, with their clock and their timers.
//!
//! Users see neither events nor actions. They [submit](DecisionService::submit) a request, read its
//! [`Decision`]s, report how each attempt ended, and fire the timers. The service turns this into
//! [`Event`]s of the balancer of the request's cell and carries out the actions that the balancer
//! returns. It depends on no socket or client protocol.
//!
//! One lock protects all state. While it is held, only [`Hooks::watch_endpoint_list`] and the
//! callback of `submit` are called. After it is released, the waker is called first, then the
//! handles of requests and the log, in the order of the actions.

#![warn(unreachable_pub, rust_2018_idioms)]
#![warn(clippy::too_many_lines, clippy::many_single_char_names)]

mod actions;
mod admission;
mod api;
mod callbacks;
mod cell_balancer;
mod cell_map;
mod endpoint_list;
mod in_flight;
mod migration_queue;
mod migrations;
mod requests;
mod state;
mod timers;

pub use api::{
    CellMetrics, ConnectionSample, Decision, Hooks, MigrationProgress, RequestHandle,
    MAX_REQUEST_DEADLINE,
};
pub use in_flight::PendingDecision;

use crate::cells::Cells;
use crate::decisions::api::{
    EndpointId, EndpointListKind, Event, ListedEndpoint, Micros, Outcome, Settings, SECOND,
};
use crate::decisions::Parameters;
use crate::sys::Wake;
use admission::AdmissionLease;
use callbacks::Callback;
use state::ServiceState;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use timers::TimerOwner;

/// The longest sleep of the thread that fires the timers.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Decides about the requests and connections of all threads.
pub struct DecisionService {
    state: Mutex<ServiceState>,
    /// Wakes the thread that sleeps until the first timer.
    first_timer_changed: Condvar,
    /// Called when the first timer has changed.
    waker: OnceLock<Wake>,
    started: Instant,
    /// Unix time at `started`.
    started_at: Micros,
    lease: AdmissionLease,
}

impl DecisionService {
    /// Creates a service with one cell and these settings. `cached` is the endpoint list as last
    /// known.
    pub fn new(
        settings: Settings,
        seed: u64,
        cached: Vec<ListedEndpoint>,
        hooks: Hooks,
    ) -> Arc<Self> {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let service = Arc::new(DecisionService {
            state: Mutex::new(ServiceState::new(settings, seed, hooks)),
            first_timer_changed: Condvar::new(),
            waker: OnceLock::new(),
            started: Instant::now(),
            started_at: unix_time.as_micros() as Micros,
            lease: AdmissionLease::unlimited(),
        });
        service.update_endpoints(EndpointListKind::Cached, cached);
        service
    }

    /// Sets the callback for a change of the first timer, for a driver that does not wait in
    /// [`DecisionService::fire_timers_and_sleep`]. A second call is ignored.
    pub fn set_waker(&self, wake: Wake) {
        let _ = self.waker.set(wake);
    }

    /// Unix time in microseconds, comparable with the start times in the endpoint list. Monotonic
    /// within a process: a change of the system clock after the start has no effect.
    pub fn now(&self) -> Micros {
        self.started_at + self.started.elapsed().as_micros() as Micros
    }

    /// This moment on the clock of [`DecisionService::now`]; that of the start for an earlier one.
    pub fn time_of(&self, moment: Instant) -> Micros {
        self.started_at + moment.saturating_duration_since(self.started).as_micros() as Micros
    }

    /// Time left until a moment of [`DecisionService::now`]; zero if it has passed.
    pub fn time_until(&self, until: Micros) -> Duration {
        Duration::from_micros(until.saturating_sub(self.now()))
    }

    /// Allows new clients to be admitted until this moment of [`boottime`](crate::sys::boottime), a
    /// clock that includes the time in which the machine was suspended. Without a call there is no
    /// limit.
    pub fn set_admission_lease(&self, until: Micros) {
        self.lease.set_expiry(until);
    }

    /// Whether a new client may be admitted now. Checked right before each placement and before the
    /// first byte of each attempt, so that a process that was suspended sends nothing under a
    /// policy that has been replaced.
    pub fn may_admit(&self) -> bool {
        self.lease.is_valid()
    }

    /// Applies a policy as a whole: no request is placed while only its cells or only its
    /// parameters are in force.
    pub fn apply_policy(&self, cells: Cells, parameters: Parameters) {
        self.update(self.lock(), |state, now, callbacks| {
            state.parameters = parameters;
            for cell in &mut state.balancers {
                cell.balancer.set_parameters(parameters);
            }
            state.adopt_cells(cells, now, callbacks);
        });
    }

    /// Applies other cells. Endpoints that change their cell drain in the old one; connections
    /// whose group has another cell are migrated one by one, each once.
    pub fn update_cells(&self, cells: Cells) {
        self.update(self.lock(), |state, now, callbacks| {
            state.adopt_cells(cells, now, callbacks);
        });
    }

    /// Applies other settings.
    pub fn update_settings(&self, settings: Settings) {
        self.update(self.lock(), |state, now, callbacks| {
            state.update_settings(settings, now, callbacks);
        });
    }

    /// Applies an update of the endpoint list; each cell gets its own endpoints.
    pub fn update_endpoints(&self, kind: EndpointListKind, endpoints: Vec<ListedEndpoint>) {
        self.update(self.lock(), |state, now, callbacks| {
            state.update_endpoints(kind, endpoints, now, callbacks);
        });
    }

    /// Sets the number of processes of this relay that serve beside this one, during an upgrade.
    /// They share what this relay may send to endpoints that warm up.
    pub fn set_other_processes(&self, count: u32) {
        self.lock().set_other_processes(count);
    }

    /// Ejects an endpoint by an operator's order, or readmits it.
    pub fn set_manual_ejection(&self, endpoint: EndpointId, ejected: bool) {
        let mut state = self.lock();
        state.record_manual_ejection(endpoint, ejected);
        let balancer = state.balancer_of_endpoint(endpoint);
        self.dispatch(state, balancer, Event::ManualEjection { endpoint, ejected });
    }

    /// Reports the result of a health check.
    pub fn health_checked(&self, endpoint: EndpointId, outcome: Outcome, report: Vec<f32>) {
        let state = self.lock();
        let balancer = state.balancer_of_endpoint(endpoint);
        let event = Event::HealthCheck {
            endpoint,
            outcome,
            report,
        };
        self.dispatch(state, balancer, event);
    }

    /// Number of listed endpoints that get no new requests now.
    pub fn unavailable_endpoints(&self) -> usize {
        let now = self.now();
        self.lock()
            .balancers
            .iter()
            .map(|cell| cell.balancer.unavailable_endpoints(now))
            .sum()
    }

    /// Requires from now on that the fleet permits each migration of a displaced connection.
    pub fn pace_migrations(&self) {
        self.lock().migrations.require_permits();
    }

    /// Permits this many migrations in total since the start. A lower number than before is
    /// ignored.
    pub fn permit_migrations(&self, total: u64) {
        self.update(self.lock(), |state, now, _| {
            state.migrations.permit(total);
            state.schedule_migration(now);
        });
    }

    /// Progress of the migrations; none unless they need the fleet's permits.
    pub fn migration_status(&self) -> Option<MigrationProgress> {
        let state = self.lock();
        let permitted = state.migrations.permitted()?;
        Some(MigrationProgress {
            waiting: state.migrations.len() as u64,
            completed: state.migrations.completed(),
            permitted,
            max_per_second: SECOND / state.cells.migration_interval.max(1),
        })
    }

    /// The metrics of each cell of the map, and the number of connections that wait for their
    /// migration to another cell.
    pub fn cell_metrics(&self) -> (Vec<CellMetrics>, usize) {
        let mut state = self.lock();
        state.recount_endpoints();
        let metrics = (0..state.balancer_of_cell.len())
            .map(|cell| state.cell_metrics(cell).clone())
            .collect();
        (metrics, state.migrations.len())
    }

    /// Fires the timers whose deadline has come and sleeps until the next one, for a second at
    /// most.
    pub fn fire_timers_and_sleep(&self) {
        let (state, next_deadline) = self.fire_expired_timers();
        let sleep = next_deadline.map_or(MAX_SLEEP, |deadline| {
            self.time_until(deadline).min(MAX_SLEEP)
        });
        drop(self.first_timer_changed.wait_timeout(state, sleep));
    }

    /// Fires the timers whose deadline has come; returns the next deadline.
    pub fn fire_timers(&self) -> Option<Micros> {
        self.fire_expired_timers().1
    }

    /// Fires the timers whose deadline has come; returns the next deadline. The returned guard
    /// keeps the lock, so that no timer can be set before the caller sleeps until that deadline.
    fn fire_expired_timers(&self) -> (MutexGuard<'_, ServiceState>, Option<Micros>) {
        loop {
            let mut state = self.lock();
            let Some(owner) = state.timers.pop_expired(self.now()) else {
                let next_deadline = state.timers.next_deadline();
                return (state, next_deadline);
            };
            match owner {
                TimerOwner::Balancer { balancer, token } => {
                    self.dispatch(state, balancer, Event::Timer(token));
                }
                TimerOwner::Migration => self.update(state, ServiceState::migrate_next),
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Dispatches one event to a balancer and carries out its actions.
    fn dispatch(&self, state: MutexGuard<'_, ServiceState>, balancer: usize, event: Event) {
        self.update(state, |state, now, callbacks| {
            state.dispatch(balancer, now, event, callbacks);
        });
    }

    /// Changes the state, releases the lock, and then makes the callbacks that the change returned.
    fn update(
        &self,
        mut state: MutexGuard<'_, ServiceState>,
        change: impl FnOnce(&mut ServiceState, Micros, &mut Vec<Callback>),
    ) {
        let mut callbacks = Vec::new();
        let now = self.now().max(state.last_event_at);
        state.last_event_at = now;
        let deadline_before = state.timers.next_deadline();
        change(&mut state, now, &mut callbacks);
        let first_timer_changed = state.timers.next_deadline() != deadline_before;
        if first_timer_changed {
            self.first_timer_changed.notify_one();
        }
        drop(state);
        if let Some(wake) = self.waker.get().filter(|_| first_timer_changed) {
            wake();
        }
        for callback in callbacks {
            callback.run();
        }
    }
}
