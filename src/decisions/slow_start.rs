//! Slow start: limits the rate of requests to an endpoint that warms up.
//!
//! An endpoint fails if it gets its full load while it is cold, from one balancer or from all of
//! them together. The platform's rule counts the requests that all balancers together send to a
//! warming endpoint within the overload window. Each balancer has a token bucket for each warming
//! endpoint, filled with its fraction of that budget. Inputs: the endpoint's start, the warm-up of
//! the settings, and load reports if there are any, else what other endpoints of its size carry.
//!
//! The buckets of the balancers are spread evenly over the time that a token takes, so that at any
//! time some of them have one. No request passes them by: where they allow fewer requests than
//! there are balancers, an endpoint that returns gets its first request of each balancer in turn.

use super::api::{EndpointId, Micros};
use super::endpoints::{Endpoint, EndpointIndex};
use super::ring::fraction;
use super::Balancer;

/// Windows whose tokens may be spent within one span of a window's length: a burst at the end of
/// one window may be followed by another at the start of the next. The budget is divided by this.
const WINDOWS_PER_SPAN: f32 = 2.0;
/// Requests within a window below which the platform's rule allows larger deviations.
const FEW_REQUESTS: f32 = 30.0;
/// Lower bound of the budget of an endpoint, in requests: the rule allows so many of any.
const MIN_BUDGET: f32 = 2.0;
/// Fractional part of the golden ratio. Its multiples modulo 1 are spread evenly over [0, 1).
const GOLDEN_RATIO: f32 = 0.618_034;
/// Number of different orders in which balancers get their tokens for endpoints.
const ORDERS: u64 = 4;

/// The most requests within a window that the platform's rule allows where an endpoint can take
/// `expected`: N + 3·√N + 3 below 30, else N + 2·√N + 2. The excess is for random arrivals.
fn max_requests(expected: f32) -> f32 {
    let deviations = if expected < FEW_REQUESTS { 3.0 } else { 2.0 };
    expected + deviations * expected.sqrt() + deviations
}

/// The part of them that is used where `expected` is known from load reports: N + 2·√N. The rest is
/// for the unevenness of the balancers' requests.
fn usual_requests(expected: f32) -> f32 {
    (expected + 2.0 * expected.sqrt()).max(MIN_BUDGET)
}

/// The token bucket of one warming endpoint. A request takes one token.
#[derive(Default)]
pub(super) struct SlowStart {
    tokens: f32,
    refilled_at: Micros,
    /// When this balancer last sent the endpoint a request, or an earlier process of this relay may
    /// have: before the endpoint was known here.
    last_request_at: Micros,
}

impl SlowStart {
    /// The bucket of an endpoint to which an earlier process of this relay may have sent requests.
    pub(super) fn of_unknown_history(now: Micros) -> SlowStart {
        SlowStart {
            tokens: 0.0,
            refilled_at: now,
            last_request_at: now,
        }
    }

    /// Sets the tokens, whatever was earned or spent before.
    fn reset(&mut self, tokens: f32, now: Micros) {
        self.tokens = tokens;
        self.refilled_at = now;
    }

    /// The tokens at the last refill. Those of a bucket with more expire earlier.
    pub(super) fn tokens(&self) -> f32 {
        self.tokens
    }

    /// Takes the token of a request that is sent to the endpoint. A warm endpoint needs none.
    pub(super) fn take_token(&mut self, now: Micros) {
        self.tokens = (self.tokens - 1.0).max(0.0);
        self.last_request_at = now;
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
    /// window. None for a warm endpoint, and for one that is not known.
    pub fn warm_up_budget(&self, id: EndpointId) -> Option<f32> {
        let endpoint = &self.endpoints[self.endpoints.find(id)?];
        (self.warm_fraction(endpoint) < 1.0).then(|| self.present_budget(endpoint))
    }

    /// Requests that all balancers together may send to an endpoint with its present capacity
    /// within the overload window.
    fn present_budget(&self, endpoint: &Endpoint) -> f32 {
        let window = self.settings.overload_window as f32;
        let capacity = self.request_capacity(endpoint) * self.warm_fraction(endpoint) * window;
        let expected = self.settings.overload_factor * capacity;
        if self.knows_work_per_connection() {
            usual_requests(expected)
        } else {
            max_requests(expected)
        }
    }

    fn knows_work_per_connection(&self) -> bool {
        self.fleet_load.work_per_connection > 0.0
    }

    /// Requests per microsecond that fill a warm endpoint: the rate that fills one whose capacity
    /// grows linearly by the end of its warm-up.
    fn request_capacity(&self, endpoint: &Endpoint) -> f32 {
        let warm_up_time = (self.settings.warm_up_time as f32).max(1.0);
        let time_to_fill = warm_up_time * (1.0 + self.settings.initial_capacity) / 2.0;
        if self.knows_work_per_connection() {
            return endpoint.size / self.fleet_load.work_per_connection / time_to_fill;
        }
        let carried = self.carried_requests(endpoint.size, time_to_fill);
        self.parameters.slow_start_blind_factor * carried
    }

    /// Requests per microsecond that an endpoint of this size carries now, from all balancers, if
    /// each process of each has as much traffic as this one: what connects there, or what fills it
    /// with the connections that it has, if that is less. When many clients return at once, more
    /// connects for a while than an endpoint can carry for long; and short connections end before
    /// they fill it.
    fn carried_requests(&self, size: f32, time_to_fill: f32) -> f32 {
        let connecting = self.connection_rate.per_microsecond(self.now)
            * self.endpoints.fraction_of_ready_size(size);
        let filling = self.endpoints.mean_in_flight(size) / time_to_fill;
        self.sharing_processes() * connecting.min(filling)
    }

    /// Number of processes that share the budget of an endpoint: those of all balancers, if each
    /// has as many as this one.
    fn sharing_processes(&self) -> f32 {
        self.settings.balancer_count as f32 * (1 + self.other_processes) as f32
    }

    /// Tokens that this balancer earns for an endpoint within the overload window.
    fn tokens_per_window(&self, endpoint: &Endpoint) -> f32 {
        self.parameters.slow_start_budget_fraction * self.present_budget(endpoint)
            / WINDOWS_PER_SPAN
            / self.sharing_processes()
    }

    /// Whether slow start lets this balancer send an endpoint a request now. Refills the token
    /// bucket of a warming endpoint.
    pub(super) fn slow_start_admits(&mut self, index: EndpointIndex) -> bool {
        self.warm_fraction(&self.endpoints[index]) >= 1.0 || self.has_token(index)
    }

    /// Whether an endpoint's bucket has a token, after a refill. Requests that are sent to an
    /// endpoint whatever their keys need one even if it is warm: many balancers would send theirs
    /// at the moment in which it becomes warm.
    pub(super) fn has_token(&mut self, index: EndpointIndex) -> bool {
        let overload_window = self.settings.overload_window.max(1);
        let rate = self.tokens_per_window(&self.endpoints[index]) / overload_window as f32;
        let bucket = &mut self.endpoints[index].slow_start;
        bucket.refill(self.now, rate, overload_window);
        bucket.tokens >= 1.0
    }

    /// Begins the slow start of an endpoint whose process has started. Each balancer begins with
    /// another fraction of a token, so that their first requests are spread evenly: with random
    /// fractions, many would come at once.
    ///
    /// A repeated start grants no token: the process may be the one that got requests already.
    pub(super) fn start_slowly(&mut self, index: EndpointIndex) {
        let phase = self.slow_start_phase(index);
        self.endpoints[index].slow_start.reset(phase, self.now);
    }

    /// Begins the slow start of an endpoint whose manual ejection has ended. `was_warm` says
    /// whether it was warm before.
    ///
    /// Its process has got no request of this balancer if it is new, which it is if it was warm and
    /// counts as cold now. Then, or if the last request is a window ago, the bucket is as after a
    /// long time without requests: those of some balancers have a token. Otherwise it stays as it
    /// is: several ejections in a row would grant one each time.
    pub(super) fn return_slowly(&mut self, index: EndpointIndex, was_warm: bool) {
        let endpoint = &self.endpoints[index];
        let last_request_at = endpoint.slow_start.last_request_at;
        let is_new = was_warm || endpoint.availability.started_at > Some(last_request_at);
        let is_idle = last_request_at + self.settings.overload_window <= self.now;
        if is_new || is_idle {
            let earned = self.tokens_per_window(endpoint).min(1.0);
            let phase = self.slow_start_phase(index);
            let bucket = &mut self.endpoints[index].slow_start;
            bucket.reset(earned + phase, self.now);
        }
    }

    /// Fraction of a token with which this balancer's bucket of an endpoint begins. The order of
    /// the balancers differs by endpoint: with the same one, a balancer's tokens for two endpoints
    /// could always come together, and one of them expire for lack of a second request.
    fn slow_start_phase(&self, index: EndpointIndex) -> f32 {
        let endpoint = self.endpoints[index].id.0;
        let step = GOLDEN_RATIO * (1 + endpoint % ORDERS) as f32;
        let position = self.settings.balancer_index as f32 * step + fraction(endpoint, 0);
        position.fract()
    }

    /// Whether each balancer has at least a token for a returning endpoint at once, so that slow
    /// start does not spread their first requests.
    pub(super) fn returns_everywhere_at_once(&self, index: EndpointIndex) -> bool {
        self.tokens_per_window(&self.endpoints[index]) >= 1.0
    }
}
