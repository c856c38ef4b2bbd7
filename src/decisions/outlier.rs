//! Outlier detection: an endpoint is ejected after consecutive failures, and its cap is cut after
//! signs of overload.
//!
//! Inputs: the outcomes of attempts, connections and health checks. Outputs: the time until which
//! an endpoint is ejected, and the fraction of its cap that is in use. An ejected endpoint gets no
//! requests; an overloaded one gets fewer connections until its cap has recovered.

use super::api::{Micros, Outcome};
use super::endpoints::{Endpoint, EndpointIndex};
use super::Balancer;

/// The most doublings of the duration of an ejection.
const MAX_EJECTION_DOUBLINGS: u32 = 3;

/// Failures and signs of overload of an endpoint's process.
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

    /// Records a success: earlier failures no longer count.
    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejections = 0;
    }

    /// Cuts the cap, after the endpoint has shown that it is overloaded.
    pub(super) fn cut_cap(&mut self, now: Micros) {
        self.cap_cut_at = Some(now);
    }
}

impl Balancer {
    /// Records a failed attempt or health check. An endpoint that cannot be reached is ejected at
    /// once, others after consecutive failures.
    pub(super) fn record_failure(&mut self, index: EndpointIndex, outcome: Outcome) {
        let jitter = self.random.range(0..self.parameters.base_ejection_us);
        let endpoint = &mut self.endpoints[index];
        if outcome == Outcome::Rejected {
            // A rejection for lack of capacity is no failure: it shows that the cap, which is
            // computed from connection counts, is too high.
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

    /// Fraction of an endpoint's cap that is in use: less than 1 while it recovers from a cut or
    /// warms up.
    pub(super) fn cap_fraction(&self, endpoint: &Endpoint) -> f32 {
        let recovered = endpoint.health.cap_cut_at.map_or(1.0, |cut_at| {
            self.now.saturating_sub(cut_at) as f32 / self.parameters.cap_recovery_us as f32
        });
        recovered.min(1.0).min(self.warm_fraction(endpoint))
    }
}
