//! Calls that are made after the lock is released: to the handles of requests, and to the log.

use super::api::RequestHandle;
use std::sync::Arc;

/// A call that is made without the lock.
pub(super) enum Callback {
    /// A decision can be read.
    DecisionReady(Arc<dyn RequestHandle>),
    /// This attempt of the request is to be cancelled.
    CancelAttempt(Arc<dyn RequestHandle>, u16),
    /// The connection is to be migrated.
    Migrate(Arc<dyn RequestHandle>),
    /// A line for the log.
    Log(String),
}

impl Callback {
    /// Makes the call.
    pub(super) fn run(self) {
        match self {
            Callback::DecisionReady(handle) => handle.decision_ready(),
            Callback::CancelAttempt(handle, attempt) => handle.cancel_attempt(attempt),
            Callback::Migrate(handle) => handle.migrate(),
            Callback::Log(line) => crate::log::log(&line),
        }
    }
}
