//! Outlier detection: an endpoint is ejected after consecutive failures, and its cap is cut after
//! signs of overload.
//!
//! Inputs: how attempts, connections and health checks end. Outputs: the time until which an
//! endpoint is ejected, and the fraction of its cap that is in use. Guards against: requests that
//! an endpoint keeps failing, and an overloaded one that gets as much as before.

use super::api::{Micros, Outcome};
use super::endpoints::{Endpoint, EndpointIndex};
use super::Balancer;

/// Doublings of the time of an ejection.
const MAX_EJECTION_DOUBLINGS: u32 = 3;

/// What failures and overload say of an endpoint's process.
#[derive(Default)]
pub(super) struct Health {
    consecutive_failures: u32,
    /// Ejections since the last success.
    ejections: u32,
    ejected_until: Micros,
    /// When the cap was last cut.
    cap_cut_at: Option<Micros>,
}

impl Health {
    /// Whether the endpoint is ejected for failures at this time.
    pub(super) fn is_ejected(&self, now: Micros) -> bool {
        now < self.ejected_until
    }

    /// A request succeeded: earlier failures no longer count.
    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejections = 0;
    }

    /// The endpoint showed that it has too much.
    pub(super) fn cut_cap(&mut self, now: Micros) {
        self.cap_cut_at = Some(now);
    }
}

impl Balancer {
    /// An attempt or a health check failed. An endpoint that cannot be reached is ejected at once.
    pub(super) fn record_failure(&mut self, index: EndpointIndex, outcome: Outcome) {
        let jitter = self.random.range(0..self.parameters.base_ejection_us);
        let endpoint = &mut self.endpoints[index];
        if outcome == Outcome::Rejected {
            // The endpoint rejected for want of capacity, so its connection count overstates the
            // cap.
            endpoint.health.cut_cap(self.now);
            return;
        }
        endpoint.health.consecutive_failures += 1;
        let unreachable = outcome == Outcome::ConnectFailed;
        if unreachable {
            endpoint.load.forget_report();
        }
        let health = &mut endpoint.health;
        if unreachable || health.consecutive_failures >= self.parameters.ejection_failures {
            let base = self.parameters.base_ejection_us;
            let duration = base << health.ejections.min(MAX_EJECTION_DOUBLINGS);
            health.ejected_until = self.now + duration - base / 2 + jitter;
            health.ejections += 1;
            health.consecutive_failures = 0;
        }
    }

    /// Fraction of an endpoint's cap that is in use: less while it recovers from a cut or is
    /// warming up.
    pub(super) fn cap_fraction(&self, endpoint: &Endpoint) -> f32 {
        let recovered = endpoint.health.cap_cut_at.map_or(1.0, |cut_at| {
            self.now.saturating_sub(cut_at) as f32 / self.parameters.cap_recovery_us as f32
        });
        recovered.min(1.0).min(self.warm_fraction(endpoint))
    }
}
