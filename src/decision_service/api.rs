//! The types that users of [`DecisionService`](super::DecisionService) exchange with it.

use crate::decisions::api::{EndpointId, Micros, SECOND};
use crossbeam_channel::Sender;

/// The longest time that a request may ask for, in microseconds.
pub const MAX_REQUEST_DEADLINE: Micros = 3600 * SECOND;

/// The next step of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Make this attempt, and stop waiting for it at the stated time.
    Attempt {
        /// The endpoint to connect to.
        endpoint: EndpointId,
        /// When to stop waiting, on the clock of
        /// [`DecisionService::now`](super::DecisionService::now).
        give_up_at: Micros,
        /// Which attempt of the request it is, from 0.
        number: u16,
    },
    /// Final: the request is rejected. The client may safely send it again, after this advised wait
    /// in microseconds (0: no advice).
    Reject(Micros),
    /// Final: the request has failed. It may have been executed.
    Fail,
    /// The request awaits no answer any more.
    Withdrawn,
}

/// Calls of the service to a request or connection in flight. Made without the lock; must not
/// block.
pub trait RequestHandle: Send + Sync {
    /// A decision can be read from the [`PendingDecision`](super::PendingDecision). A caller that
    /// blocks there needs no notification.
    fn decision_ready(&self) {}
    /// Stop waiting for this attempt.
    fn cancel_attempt(&self, attempt: u16);
    /// End the established connection gracefully, so that its client reconnects.
    fn migrate(&self);
}

/// A measurement on an established connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionSample {
    /// Its present load: work in microseconds per second.
    Load(f32),
    /// The delay of a message at its endpoint.
    Delay(Micros),
}

/// Receivers of the actions that concern no single request. Neither may block.
pub struct Hooks {
    /// Subscribes to the endpoint list (`true`; once more after each subscription that failed) or
    /// unsubscribes (`false`). Called with the lock held.
    pub watch_endpoint_list: Box<dyn Fn(bool) + Send>,
    /// Receives the endpoints that need a health check.
    pub check_health: Sender<EndpointId>,
}

/// Gauges and counters of one cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellMetrics {
    /// The cell's name.
    pub name: String,
    /// Listed endpoints of the cell.
    pub endpoints: usize,
    /// Whether one of these endpoints is ready and not ejected manually.
    pub usable: bool,
    /// Requests and connections in flight.
    pub in_flight: u32,
    /// Those of them that belong to groups of other cells.
    pub borrowed: u32,
    /// Requests that connected, since the start.
    pub connected: u64,
    /// Requests that were rejected, since the start.
    pub rejected: u64,
    /// Requests that failed, since the start.
    pub failed: u64,
}

/// Progress of the migrations whose pace the fleet sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MigrationProgress {
    /// Connections that wait for their migration.
    pub waiting: u64,
    /// Migrations since the start.
    pub completed: u64,
    /// Migrations that the fleet has permitted since the start.
    pub permitted: u64,
    /// The most migrations per second in the whole fleet.
    pub max_per_second: u64,
}
