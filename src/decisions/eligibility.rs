//! Eligibility: which endpoints a request may be sent to at all.
//!
//! Inputs: the endpoint list, ejections, slow start, the request's earlier attempts and its
//! idempotency. Guards against: a request to an endpoint that is draining or removed, a second
//! attempt at the same endpoint, and one that could execute a request twice.

use super::endpoints::EndpointIndex;
use super::idempotency;
use super::requests::PendingRequest;
use super::Balancer;

impl Balancer {
    /// Whether an endpoint is permitted for a request and not ejected for failures. Like
    /// [`Balancer::is_permitted`], it refills the token bucket of a permitted endpoint.
    pub(super) fn is_eligible(&mut self, index: EndpointIndex, pending: &PendingRequest) -> bool {
        !self.endpoints[index].health.is_ejected(self.now) && self.is_permitted(index, pending)
    }

    /// Whether the list, the earlier attempts, the idempotency and slow start permit an endpoint
    /// for a request.
    pub(super) fn is_permitted(&mut self, index: EndpointIndex, pending: &PendingRequest) -> bool {
        let endpoint = &self.endpoints[index];
        endpoint.availability.ready
            && !pending.attempted.contains(&endpoint.id)
            && idempotency::permits_endpoint(pending, endpoint)
            && self.slow_start_admits(index)
    }
}
