//! Load lookup: before a request is placed, its candidates without a recent load report are sent
//! health checks.
//!
//! Inputs: the request's candidates and the age of their reports. Output: whether placement waits
//! for the answers. Without lookups, balancers with little traffic of their own would place by old
//! reports. A lookup has a short timeout, so that the request still meets its latency objective.

use super::api::Action;
use super::endpoints::{Endpoint, EndpointIndex};
use super::requests::PendingRequest;
use super::Balancer;

impl Balancer {
    /// Sends health checks to the first candidates that have not been checked recently. Returns
    /// whether the request has to wait for them.
    pub(super) fn look_up_load(
        &mut self,
        pending: &PendingRequest,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !self.may_look_up_load(pending) {
            return false;
        }
        let candidates = self.candidates_to_check(pending);
        for &index in &candidates {
            self.check_for_lookup(index, actions);
        }
        !candidates.is_empty()
    }

    /// Whether a request may wait for a lookup: before its first attempt, until the timeout.
    fn may_look_up_load(&self, pending: &PendingRequest) -> bool {
        let waited_until = pending.deadline + self.parameters.lookup_timeout_us;
        self.has_load_reports()
            && pending.attempted.is_empty()
            && self.now + pending.request.time_left < waited_until
    }

    /// The candidates to check: those before the first one that is known to have spare capacity,
    /// and among them those whose last check is too long ago.
    fn candidates_to_check(&mut self, pending: &PendingRequest) -> Vec<EndpointIndex> {
        let mut candidates = self.candidates(pending).endpoints;
        let own_zone_first = self.has_own_estimates();
        candidates.sort_by_key(|&index| {
            !own_zone_first || self.endpoints[index].zone != self.settings.zone
        });
        let first_with_capacity = candidates.iter().position(|&index| {
            let endpoint = &self.endpoints[index];
            self.was_checked_recently(endpoint) && self.has_spare_capacity(endpoint)
        });
        let to_search = first_with_capacity.unwrap_or(candidates.len());
        candidates.truncate(to_search.min(self.parameters.lookup_candidates));
        candidates.retain(|&index| !self.was_checked_recently(&self.endpoints[index]));
        candidates.truncate(self.parameters.lookup_parallelism);
        candidates
    }

    fn was_checked_recently(&self, endpoint: &Endpoint) -> bool {
        let max_age = self.parameters.lookup_max_report_age_us;
        let checked_at = endpoint.load.checked_at;
        checked_at.is_some_and(|at| self.now < at + max_age)
    }

    /// Sends a health check, unless that of another lookup is under way.
    fn check_for_lookup(&mut self, index: EndpointIndex, actions: &mut Vec<Action>) {
        let timeout = self.parameters.lookup_timeout_us;
        let endpoint = &mut self.endpoints[index];
        let sent_at = endpoint.load.lookup_sent_at;
        if sent_at.is_none_or(|at| self.now >= at + timeout) {
            endpoint.load.lookup_sent_at = Some(self.now);
            actions.push(Action::CheckHealth(endpoint.id));
        }
    }
}
