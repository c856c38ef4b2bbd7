//! The check right before a request is sent: whether what the decision for its attempt rested on
//! still holds.
//!
//! Time passes between that decision and the last byte of the request: dial, TLS, a negotiation,
//! a socket that accepts nothing, a process that was suspended. Inputs: the time of the write, the
//! request of the attempt, and the endpoint as it is listed now. Output: why the request must not
//! be sent, if it must not.

use super::api::{Micros, RequestId};
use super::idempotency;
use super::requests::{PendingRequest, Phase};
use super::Balancer;

/// Why the request of an attempt must not be sent, or not be sent further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// The request awaits no answer any more.
    Answered,
    /// The admission lease has expired.
    NoLease,
    /// The endpoint list no longer names the endpoint as ready, or an operator has ejected it.
    EndpointUnavailable,
    /// An earlier attempt may have executed the request, and the endpoints have forgotten its key.
    WindowEnded,
    /// An earlier attempt may have executed the request, and the endpoint is no longer in the zone
    /// or cell that has seen its key.
    OutsideGroup,
}

impl Balancer {
    /// Whether the request of the attempt in progress may be sent at this time. The caller reads
    /// its clock right before it writes, and asks again before each write up to the last byte.
    pub fn check_send(&self, now: Micros, id: RequestId) -> Result<(), SendRefusal> {
        let pending = self.attempting(id).ok_or(SendRefusal::Answered)?;
        if !idempotency::permits_send_at(pending, now) {
            return Err(SendRefusal::WindowEnded);
        }
        let index = self.endpoints.find(pending.endpoint);
        let index = index.ok_or(SendRefusal::EndpointUnavailable)?;
        if !idempotency::permits_endpoint(pending, &self.endpoints[index]) {
            return Err(SendRefusal::OutsideGroup);
        }
        Ok(())
    }

    /// The time from which on [`Balancer::check_send`] refuses the request of the attempt in
    /// progress because its window has ended. It is the same for the whole attempt; none if there
    /// is no such time.
    pub fn send_deadline(&self, id: RequestId) -> Option<Micros> {
        idempotency::send_deadline(self.attempting(id)?)
    }

    /// When the attempt in progress was issued.
    pub fn attempt_issued_at(&self, id: RequestId) -> Option<Micros> {
        Some(self.attempting(id)?.last_attempt.issued_at)
    }

    /// The request with this id, if an attempt is in progress and its answer is awaited.
    fn attempting(&self, id: RequestId) -> Option<&PendingRequest> {
        let pending = self.requests.get(&id)?;
        (pending.phase == Phase::Attempting && !pending.answered).then_some(pending)
    }
}
