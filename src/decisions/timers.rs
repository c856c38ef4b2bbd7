//! Timers that the decisions set, and their encoding as the tokens of
//! [`Action::SetTimer`](super::api::Action::SetTimer).

use super::api::RequestId;

/// A timer, named after the step that is due when it fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The final answer of this request.
    Deadline(RequestId),
    /// Another placement of this request, which no endpoint could take before.
    PlacementRetry(RequestId),
    /// The migration of this connection.
    Migration(RequestId),
    /// The call to discovery that opens the watch on the endpoint list.
    WatchEndpointList,
    /// The health check of the next endpoint.
    HealthCheck,
}

/// The upper half of a token holds the kind of timer, the lower half the request.
const KIND_SHIFT: u32 = 32;
const DEADLINE: u64 = 1;
const PLACEMENT_RETRY: u64 = 2;
const MIGRATION: u64 = 3;
const WATCH_ENDPOINT_LIST: u64 = 4;
const HEALTH_CHECK: u64 = 5;

impl Timer {
    /// The token of this timer.
    pub fn token(self) -> u64 {
        let (kind, request) = match self {
            Timer::Deadline(request) => (DEADLINE, request),
            Timer::PlacementRetry(request) => (PLACEMENT_RETRY, request),
            Timer::Migration(request) => (MIGRATION, request),
            Timer::WatchEndpointList => (WATCH_ENDPOINT_LIST, RequestId(0)),
            Timer::HealthCheck => (HEALTH_CHECK, RequestId(0)),
        };
        kind << KIND_SHIFT | u64::from(request.0)
    }

    /// The timer of this token; none for a token that no timer has.
    pub fn from_token(token: u64) -> Option<Timer> {
        let request = RequestId(token as u32);
        match token >> KIND_SHIFT {
            DEADLINE => Some(Timer::Deadline(request)),
            PLACEMENT_RETRY => Some(Timer::PlacementRetry(request)),
            MIGRATION => Some(Timer::Migration(request)),
            WATCH_ENDPOINT_LIST => Some(Timer::WatchEndpointList),
            HEALTH_CHECK => Some(Timer::HealthCheck),
            _ => None,
        }
    }
}
