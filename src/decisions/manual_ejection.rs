//! Manual ejection: operators take an endpoint out of use and back.
//!
//! Inputs: the operators' orders. An ejection stays in force whatever a list says of the endpoint.
//! Afterwards the endpoint counts as one that has just started, and its slow start limits what it
//! gets: many balancers that return to it together would overload it.

use super::api::{Action, EndpointId, Micros};
use super::endpoints::EndpointIndex;
use super::Balancer;

impl Balancer {
    /// Begins or ends a manual ejection. Repeating it changes nothing.
    pub(super) fn set_manual_ejection(
        &mut self,
        id: EndpointId,
        ejected: bool,
        actions: &mut Vec<Action>,
    ) {
        let changed = self.endpoints.record_manual_ejection(id, ejected);
        let Some(index) = self.endpoints.find(id).filter(|_| changed) else {
            return;
        };
        if ejected {
            self.endpoints.make_unavailable(index, self.now);
            self.migrate_all(id, actions);
        } else {
            self.end_manual_ejection(index);
        }
        self.rebuild_endpoints();
    }

    /// Makes an endpoint available again. Operators restart an ejected endpoint, so it counts as
    /// cold since the start that the list gives, or else from now on.
    fn end_manual_ejection(&mut self, index: EndpointIndex) {
        let was_warm = self.warm_fraction(&self.endpoints[index]) >= 1.0;
        self.endpoints.reset_process(index);
        let availability = &mut self.endpoints[index].availability;
        availability.ready = availability.listed_ready && !availability.removed;
        let restarted = availability.started_at > Some(availability.unavailable_since);
        availability.returned_at = if restarted { None } else { Some(self.now) };
        self.return_slowly(index, was_warm);
        let delay = self.delay_of_return(index);
        self.endpoints[index].availability.first_request_due = Some(self.now.saturating_add(delay));
    }

    /// Time until the first request to an endpoint whose manual ejection has ended. Where slow
    /// start would let all balancers send one at the same moment, they take turns. The first of
    /// them does not wait, nor does a single balancer.
    fn delay_of_return(&self, index: EndpointIndex) -> Micros {
        if !self.returns_everywhere_at_once(index) {
            return 0;
        }
        let spread = self.parameters.manual_return_spread_us;
        let turn = u64::from(self.settings.balancer_index);
        spread.saturating_mul(turn) / u64::from(self.settings.balancer_count.max(1))
    }
}
