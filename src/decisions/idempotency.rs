//! Idempotency: whether a request may be attempted again after an attempt that may have executed
//! it.
//!
//! Inputs: the idempotency of the request's class, the first attempt that may have executed it.
//! Guards against a request that is executed twice.

use super::api::{DeduplicationScope, Idempotency, Micros};
use super::endpoints::Endpoint;
use super::requests::{PendingRequest, Phase};

/// Whether another attempt may send its first byte at this time: within the deduplication window of
/// a keyed request.
pub(super) fn permits_first_byte_at(pending: &PendingRequest, first_byte_at: Micros) -> bool {
    let Some(first) = &pending.possible_execution else {
        return true;
    };
    match pending.class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed { window, .. } => first_byte_at < first.started_at + window,
    }
}

/// Whether another attempt may go to an endpoint: one that drops a duplicate of a keyed request.
pub(super) fn permits_endpoint(pending: &PendingRequest, endpoint: &Endpoint) -> bool {
    let Some(first) = &pending.possible_execution else {
        return true;
    };
    match pending.class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed { scope, .. } => match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => endpoint.zone == first.zone,
            DeduplicationScope::Cell => endpoint.cell == first.cell,
        },
    }
}

/// Whether a rejection may promise the client that another attempt of its own is harmless: nothing
/// may have been executed, or any endpoint drops the duplicate. The client's next attempt carries
/// the same key, and the window is its own concern.
pub(super) fn is_harmless_for_client(pending: &PendingRequest) -> bool {
    let may_have_executed =
        pending.possible_execution.is_some() || pending.phase == Phase::Attempting;
    let is_harmless = match pending.class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed { scope, .. } => scope == DeduplicationScope::All,
    };
    is_harmless || !may_have_executed
}
