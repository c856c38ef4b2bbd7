//! Times of the control plane, and what the drift of clocks does to them.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// How much faster one clock may run than another, in thousandths. Clocks of machines differ by less than 0.1 thousandths;
/// the rest is for a clock that is being slewed.
pub const MAX_CLOCK_DRIFT_PER_MILLE: u64 = 10;

/// The shortest time that may have passed here while another clock measured `duration`.
pub fn min_elapsed(duration: Micros) -> Micros {
    duration - duration * MAX_CLOCK_DRIFT_PER_MILLE / 1_000
}

/// The longest time that may have passed here while another clock measured `duration`.
pub fn max_elapsed(duration: Micros) -> Micros {
    duration + duration * MAX_CLOCK_DRIFT_PER_MILLE / 1_000
}

/// The timing of a fleet, the same at all its relays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetTiming {
    /// One tick of the raft library, in microseconds; 50 ms by default. Bounds how soon a lost leader is replaced: an
    /// election begins after 10 to 31 ticks without one, depending on the voter's number.
    pub tick: Micros,
    /// How long a lease runs from when the relay requested it, in microseconds; 2 s by default. Bounds how long a relay
    /// without a leader still admits clients, and how long a change waits for a relay that does not answer.
    pub lease_duration: Micros,
    /// How much faster a relay's clock may run than the leader's, in thousandths; [`MAX_CLOCK_DRIFT_PER_MILLE`] by default.
    /// Extends the wait for leases of others.
    pub clock_drift_per_mille: u64,
    /// The time between two renewals of a lease, in microseconds; 500 ms by default. Bounds how soon a relay learns of a
    /// change.
    pub renew_interval: Micros,
    /// How long a proposal waits to be prepared by relays that hold a lease, in microseconds; 10 s by default. It is
    /// abandoned afterwards, and names those relays.
    pub proposal_timeout: Micros,
}

impl Default for FleetTiming {
    fn default() -> FleetTiming {
        // Four renewals in a lease: three in a row may be lost.
        FleetTiming {
            tick: 50_000,
            lease_duration: 2_000_000,
            clock_drift_per_mille: MAX_CLOCK_DRIFT_PER_MILLE,
            renew_interval: 500_000,
            proposal_timeout: 10_000_000,
        }
    }
}

impl FleetTiming {
    /// When a lease that was requested at `requested_at` has run out on any clock within the allowed drift.
    pub fn lease_expired_by(&self, requested_at: Micros) -> Micros {
        let drift = self.lease_duration * self.clock_drift_per_mille / 1_000;
        requested_at + self.lease_duration + drift + 1
    }
}
