//! Settings of the decisions: a deployment's classes, endpoints and limits.

use super::api::{Micros, SECOND};

/// Whether a request of a class may be attempted again after it may have been executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May be attempted again without limit.
    #[default]
    Idempotent,
    /// Carries an idempotency key: some endpoints drop duplicates for a time.
    Keyed {
        /// The endpoints that drop each other's duplicates.
        scope: DeduplicationScope,
        /// How long they remember a key, counted from the first attempt that may have been
        /// executed.
        window: Micros,
    },
    /// Must not be executed twice.
    NonIdempotent,
}

/// Which endpoints share the idempotency keys that they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Class {
    /// Latency objective of the set-up. A connection that is established within it has its full
    /// value.
    pub setup_objective: Micros,
    /// How long a client waits over all its attempts. Requests carry their own time left; the
    /// decisions do not read this.
    pub deadline: Micros,
    /// Whether a request may be attempted again.
    pub idempotency: Idempotency,
    /// Latency objective of a message on an established connection; 0 where none is stated.
    pub message_objective: Micros,
}

/// The meaning of the sizes in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointWeights {
    /// Sizes have no meaning.
    #[default]
    None,
    /// The size as registered, at least approximately.
    Nominal,
    /// The size divided by the load at some earlier time; it changes from list to list.
    Live,
}

/// The value that a column of a load report holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportColumn {
    /// Offered load over capacity; 1 is full.
    Load,
    /// Requests or connections in flight.
    Active,
    /// Anything that the decisions do not use.
    Other,
}

/// Configuration of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many balancers share the endpoints, this one included.
    pub balancer_count: u32,
    /// Index of this balancer among them, from 0.
    pub balancer_index: u32,
    /// The zone of this balancer.
    pub zone: u16,
    /// The shortest time between two batches of events.
    pub tick: Micros,
    /// The relay forwards packets, so connections outlive it and may arrive already established.
    pub forwards_packets: bool,
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// The endpoint list has to be polled; otherwise it is pushed.
    pub polls_endpoint_list: bool,
    /// How endpoint sizes are to be read.
    pub weights: EndpointWeights,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Endpoints may be sent health checks.
    pub may_check_health: bool,
    /// The number of attempts that a request may have.
    pub max_attempts: u32,
    /// Time within which an attempt has to establish its connection.
    pub connect_timeout: Micros,
    /// The longest Retry-After that a rejected client obeys; 0 if clients are given none.
    pub max_retry_after: Micros,
    /// Columns of a load report.
    pub report_columns: Vec<ReportColumn>,
    /// Time within which new requests to a draining or removed endpoint have to stop.
    pub drain_grace: Micros,
    /// The fraction of its capacity with which an endpoint starts.
    pub initial_capacity: f32,
    /// An endpoint has its whole capacity after this time at the latest.
    pub warm_up_time: Micros,
    /// A warming endpoint fails when it is sent this multiple of its current capacity, as a rate,
    /// throughout the overload window.
    pub overload_factor: f32,
    /// The time over which the requests to a warming endpoint are counted.
    pub overload_window: Micros,
    /// Time after the last poll from which the platform counts this balancer as notified of a
    /// change, whether or not it has polled again.
    pub max_poll_interval: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balancer_count: 1,
            balancer_index: 0,
            zone: 0,
            tick: 1_000,
            forwards_packets: false,
            classes: vec![Class {
                setup_objective: 300_000,
                deadline: 1_200_000,
                idempotency: Idempotency::Idempotent,
                message_objective: 100_000,
            }],
            polls_endpoint_list: false,
            weights: EndpointWeights::None,
            may_cancel: true,
            may_check_health: false,
            max_attempts: 4,
            connect_timeout: 250_000,
            max_retry_after: 0,
            report_columns: Vec::new(),
            drain_grace: SECOND,
            initial_capacity: 0.2,
            warm_up_time: 20 * SECOND,
            overload_factor: 3.0,
            overload_window: 2 * SECOND,
            max_poll_interval: 10 * SECOND,
        }
    }
}
