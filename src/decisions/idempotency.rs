//! Idempotency: whether a request may be attempted again after an attempt that may have executed
//! it.
//!
//! Inputs: the idempotency of the request's class, and the first attempt that may have executed the
//! request. A request that must not be executed twice gets no further attempt after that one; a
//! keyed request gets one only at endpoints that drop the duplicate, and while they remember its
//! key.

use super::api::{DeduplicationScope, Idempotency, Micros};
use super::endpoints::Endpoint;
use super::requests::{AttemptIssue, PendingRequest, Phase};

/// The time from which on no byte of another attempt may be sent, because the attempt would be a
/// second execution: the endpoints forget a key when the deduplication window ends, which is
/// measured from the issue of the earliest attempt that may have executed the request. None where
/// there is no such time.
pub(super) fn send_deadline(pending: &PendingRequest) -> Option<Micros> {
    let first = pending.possible_execution.as_ref();
    earliest_end(pending, first)
}

/// The time from which on a repetition of the request by its client would be a second execution, as
/// far as attempts may have executed it: an attempt in progress may, too. None where there is no
/// such time.
pub(super) fn repetition_deadline(pending: &PendingRequest) -> Option<Micros> {
    let in_progress = (pending.phase == Phase::Attempting).then_some(&pending.last_attempt);
    let first = pending.possible_execution.as_ref().or(in_progress);
    earliest_end(pending, first)
}

/// The end of the window of this execution, or that of an earlier request under the same id.
fn earliest_end(pending: &PendingRequest, execution: Option<&AttemptIssue>) -> Option<Micros> {
    let idempotency = pending.class.idempotency;
    let own = execution.and_then(|execution| end_of_window(idempotency, execution));
    own.into_iter().chain(pending.deduplicated_until).min()
}

/// The time from which on endpoints do not drop duplicates of this execution; none where these do
/// no harm.
fn end_of_window(idempotency: Idempotency, execution: &AttemptIssue) -> Option<Micros> {
    match idempotency {
        Idempotency::Idempotent => None,
        Idempotency::NonIdempotent => Some(execution.issued_at),
        Idempotency::Keyed { window, .. } => Some(execution.issued_at.saturating_add(window)),
    }
}

/// Whether another attempt may send a byte of the request at this time.
pub(super) fn permits_send_at(pending: &PendingRequest, time: Micros) -> bool {
    send_deadline(pending).is_none_or(|deadline| time < deadline)
}

/// Whether another attempt may go to an endpoint; that of a keyed request only to one that drops
/// duplicates of the first.
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

/// Whether the client may safely send the request again: it has certainly not been executed, or
/// repeating it does no harm, or all endpoints drop its duplicates. In the last case the client
/// sends the same key again, and has to do so within the deduplication window.
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

/// From how long after the first possible execution of a request a repetition by its client does
/// harm; none where it never does. A keyed request can be repeated while all endpoints drop its
/// duplicates; where only some of them do, the repetition may be placed at another one.
pub fn harmful_repetition_after(idempotency: Idempotency) -> Option<Micros> {
    match idempotency {
        Idempotency::Idempotent => None,
        Idempotency::NonIdempotent => Some(0),
        Idempotency::Keyed {
            scope: DeduplicationScope::All,
            window,
        } => Some(window),
        Idempotency::Keyed { .. } => Some(0),
    }
}
