//! Slow start: limits the rate of requests to an endpoint that warms up.
//!
//! An endpoint fails if it gets its full load while it is cold, from one balancer or from all of
//! them together. The platform's rule counts the requests that all balancers together send to a
//! warming endpoint within the overload window. Each balancer has a token bucket for each warming
//! endpoint, filled with its fraction of that budget. Inputs: the endpoint's start, the warm-up of
//! the settings, and load reports if there are any.

use super::api::{EndpointId, Micros};
use super::endpoints::{Endpoint, EndpointIndex};
use super::Balancer;

/// Windows whose tokens may be spent within one span of a window's length: a burst at the end of
/// one window may be followed by another at the start of the next. The budget is divided by this.
const WINDOWS_PER_SPAN: f32 = 2.0;
/// Standard deviations above the mean that the platform's rule allows for random arrivals.
const ALLOWED_DEVIATIONS: f32 = 2.0;

/// The token bucket of one warming endpoint. A request takes one token.
#[derive(Default)]
pub(super) struct SlowStart {
    tokens: f32,
    refilled_at: Micros,
}

impl SlowStart {
    /// Creates a bucket with these tokens.
    pub(super) fn new(tokens: f32, now: Micros) -> SlowStart {
        SlowStart {
            tokens,
            refilled_at: now,
        }
    }

    /// Takes the token of a request that is sent to the endpoint.
    pub(super) fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Adds the tokens earned since the last refill. `rate` is in tokens per microsecond.
    fn refill(&mut self, now: Micros, rate: f32, overload_window: Micros) {
        let elapsed = now.saturating_sub(self.refilled_at) as f32;
        let earned = self.tokens + elapsed * rate;
        let earned_in_window = rate * overload_window as f32;
        // Tokens that are not spent within a window expire down to one, because many balancers
        // would spend them in one burst. If a window earns less than one token, only whole tokens
        // expire: the fraction that remains keeps the balancers' requests spread over time.
        let expired = if earned_in_window < 1.0 {
            (earned - earned_in_window).ceil() - 1.0
        } else {
            earned - 1.0
        };
        self.tokens = earned - expired.max(0.0);
        self.refilled_at = now;
    }
}

impl Balancer {
    /// Fraction of its capacity that an endpoint has by now: it grows linearly from the initial
    /// capacity to 1.
    pub(super) fn warm_fraction(&self, endpoint: &Endpoint) -> f32 {
        let availability = &endpoint.availability;
        let Some(started_at) = availability.started_at.max(availability.returned_at) else {
            return 1.0;
        };
        let age = self.now.saturating_sub(started_at) as f32;
        let initial = self.settings.initial_capacity;
        let warm_up_time = (self.settings.warm_up_time as f32).max(1.0);
        (initial + (1.0 - initial) * age / warm_up_time).min(1.0)
    }

    /// Requests that all balancers together may send to a warming endpoint within the overload
    /// window: N + 2·√N, N being the number that the overload factor allows. None for a warm
    /// endpoint, and while the work of a connection is unknown for lack of load reports.
    ///
    /// Capacity is counted as a rate of requests: the rate that fills an endpoint, whose capacity
    /// grows linearly, by the end of its warm-up.
    pub fn warm_up_budget(&self, id: EndpointId) -> Option<f32> {
        let endpoint = &self.endpoints[self.endpoints.find(id)?];
        let work_per_connection = self.fleet_load.work_per_connection;
        let warm_fraction = self.warm_fraction(endpoint);
        let is_known_to_warm_up = work_per_connection > 0.0 && warm_fraction < 1.0;
        if !is_known_to_warm_up {
            return None;
        }
        let time_to_fill =
            self.settings.warm_up_time as f32 * (1.0 + self.settings.initial_capacity) / 2.0;
        let window = self.settings.overload_window as f32;
        let capacity = endpoint.size / work_per_connection * warm_fraction * window / time_to_fill;
        let allowed = self.settings.overload_factor * capacity;
        Some(allowed + ALLOWED_DEVIATIONS * allowed.sqrt())
    }

    /// Tokens per microsecond that this balancer earns for a warming endpoint.
    fn slow_start_rate(&self, endpoint: &Endpoint) -> f32 {
        let Some(budget) = self.warm_up_budget(endpoint.id) else {
            let mean = self.endpoints.mean_in_flight(endpoint.size);
            return self.parameters.slow_start_blind_factor * mean * self.warm_fraction(endpoint)
                / self.settings.warm_up_time as f32;
        };
        let own_share = self.parameters.slow_start_budget_fraction
            / WINDOWS_PER_SPAN
            / self.settings.balancer_count as f32
            / self.settings.overload_window as f32;
        own_share * budget
    }

    /// Refills an endpoint's token bucket. Returns whether slow start lets this balancer send the
    /// endpoint a request now.
    pub(super) fn slow_start_admits(&mut self, index: EndpointIndex) -> bool {
        let endpoint = &self.endpoints[index];
        let is_warm = self.warm_fraction(endpoint) >= 1.0;
        let rate = self.slow_start_rate(endpoint);
        let overload_window = self.settings.overload_window;
        let bucket = &mut self.endpoints[index].slow_start;
        bucket.refill(self.now, rate, overload_window);
        is_warm || bucket.tokens >= 1.0
    }
}
