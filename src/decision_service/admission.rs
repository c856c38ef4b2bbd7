//! The admission lease, which limits the time in which this process may admit new clients.
//!
//! A process that was suspended must not admit clients under a policy that the fleet has replaced
//! meanwhile. Its lease has expired by then, because the lease is measured on a clock that includes
//! suspended time. Input: the expiry of the lease. Output: whether it is valid now.

use crate::decisions::api::{Micros, SECOND};
use crate::sys::boottime;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};

/// Retry-After of clients that are rejected because the lease is not valid, in microseconds: by
/// then it has been renewed, or another policy is in force.
pub(super) const RETRY_AFTER_WITHOUT_LEASE: Micros = SECOND / 4;

/// Expiry of a lease without an end: the relay belongs to no fleet, or serves without a leader. The
/// lease client of the control crate returns the same value.
const NEVER: Micros = Micros::MAX;

/// A lease that expires at a moment of [`boottime`].
pub(super) struct AdmissionLease {
    expires_at: AtomicU64,
}

impl AdmissionLease {
    /// Creates a lease that never expires.
    pub(super) fn unlimited() -> Self {
        AdmissionLease {
            expires_at: AtomicU64::new(NEVER),
        }
    }

    /// Sets when the lease expires.
    pub(super) fn set_expiry(&self, expires_at: Micros) {
        self.expires_at.store(expires_at, SeqCst);
    }

    /// Whether the lease is valid now.
    pub(super) fn is_valid(&self) -> bool {
        let expires_at = self.expires_at.load(SeqCst);
        expires_at == NEVER || boottime() < expires_at
    }
}
