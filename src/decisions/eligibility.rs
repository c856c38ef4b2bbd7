//! Eligibility: the endpoints to which a request may be sent at all.
//!
//! Inputs: the endpoint list, ejections, slow start, the request's earlier attempts and its
//! idempotency. Excluded are endpoints that are draining, removed or ejected, endpoints that the
//! request was sent to before, endpoints at which it could be executed a second time, and warming
//! endpoints without a slow-start token.

use super::endpoints::EndpointIndex;
use super::idempotency;
use super::requests::PendingRequest;
use super::Balancer;

impl Balancer {
    /// Whether an endpoint is permitted for a request and not ejected for failures. Refills the
    /// endpoint's token bucket as [`Balancer::is_permitted`] does.
    pub(super) fn is_eligible(&mut self, index: EndpointIndex, pending: &PendingRequest) -> bool {
        !self.endpoints[index].health.is_ejected(self.now) && self.is_permitted(index, pending)
    }

    /// Whether the endpoint list, the request's earlier attempts, its idempotency and slow start
    /// permit an endpoint. Slow start is checked last and refills the endpoint's token bucket.
    pub(super) fn is_permitted(&mut self, index: EndpointIndex, pending: &PendingRequest) -> bool {
        let endpoint = &self.endpoints[index];
        endpoint.availability.ready
            && !pending.attempted.contains(&endpoint.id)
            && idempotency::permits_endpoint(pending, endpoint)
            && self.slow_start_admits(index)
    }
}
