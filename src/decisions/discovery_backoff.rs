//! Discovery backoff: when the endpoint list is requested again after a failed call, a broken watch
//! or a change of discovery's address.
//!
//! Inputs: the result of the last call, the number of balancers, the time after which a change
//! counts as notified. The calls of all balancers are spread over time, so that discovery gets no
//! more of them than it can answer. No wait is longer than the time after which a change counts as
//! notified.

use super::api::{Action, EndpointListKind, Micros};
use super::timers::Timer;
use super::Balancer;

/// The most doublings of the backoff.
const MAX_DOUBLINGS: u32 = 3;
/// The wait is drawn at random between the backoff divided by this and the whole backoff.
const JITTER_DIVISOR: Micros = 8;

/// State of the watch on the endpoint list.
#[derive(Default)]
pub(super) struct DiscoveryBackoff {
    /// A watch is open or has been requested.
    watching: bool,
    /// Calls that failed in a row.
    failures: u32,
}

impl Balancer {
    /// Time over which the calls of all balancers are spread, in microseconds: at most half of the
    /// time after which a change counts as notified.
    fn discovery_spread(&self) -> Micros {
        let balancers = u64::from(self.settings.balancer_count.max(1));
        (self.parameters.discovery_interval_us * balancers)
            .min(self.max_poll_interval() / 2)
            .min(self.parameters.discovery_max_backoff_us)
    }

    fn max_poll_interval(&self) -> Micros {
        self.settings.max_poll_interval.max(2)
    }

    /// Sets the timer of the next call after one that failed or a watch that broke.
    pub(super) fn back_off_discovery(&mut self, kind: EndpointListKind, actions: &mut Vec<Action>) {
        self.discovery.watching = false;
        let max_backoff = if kind == EndpointListKind::WatchTimedOut {
            self.parameters.discovery_max_backoff_after_timeout_us
        } else {
            self.parameters.discovery_max_backoff_us
        };
        let base = self
            .parameters
            .discovery_backoff_us
            .max(self.discovery_spread());
        let backoff = (base << self.discovery.failures.min(MAX_DOUBLINGS))
            .min(self.max_poll_interval())
            .min(max_backoff)
            .max(JITTER_DIVISOR);
        self.discovery.failures += 1;
        let jittered = self.random.range(backoff / JITTER_DIVISOR..backoff);
        self.set_timer(self.now + jittered, Timer::WatchEndpointList, actions);
    }

    /// Sets the timer of the next call if an update requires one: discovery has another address, or
    /// the list is only the cached one.
    pub(super) fn continue_discovery(
        &mut self,
        kind: EndpointListKind,
        list_is_empty: bool,
        actions: &mut Vec<Action>,
    ) {
        let relocated = kind == EndpointListKind::Relocated;
        let cached = kind == EndpointListKind::Cached;
        if relocated {
            self.discovery.watching = false;
        }
        if !cached {
            // Failures at the former address say nothing about the new one.
            self.discovery.failures = 0;
        }
        if relocated || (cached && self.settings.polls_endpoint_list) {
            // Without any endpoint no request can be served, so the call is made at once.
            let spread = if list_is_empty && self.endpoints.ready().is_empty() {
                1
            } else {
                self.discovery_spread()
            };
            let at = self.now + self.random.range(0..spread);
            self.set_timer(at, Timer::WatchEndpointList, actions);
        }
    }

    /// Opens the watch, unless there is one.
    pub(super) fn open_watch(&mut self, actions: &mut Vec<Action>) {
        if !self.discovery.watching {
            self.discovery.watching = true;
            actions.push(Action::WatchEndpointList(true));
        }
    }
}
