//! Time units and timeouts of the control plane, and bounds for the drift between clocks.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Maximum rate difference between two clocks, in thousandths. Hardware clocks differ by less than
/// 0.1 thousandths; the rest allows for a clock that is being slewed.
pub const MAX_CLOCK_DRIFT_PER_MILLE: u64 = 10;

/// Shortest time that can have passed on the local clock while another clock measured `duration`.
pub fn min_elapsed(duration: Micros) -> Micros {
    duration - duration * MAX_CLOCK_DRIFT_PER_MILLE / 1_000
}

/// Longest time that can have passed on the local clock while another clock measured `duration`.
pub fn max_elapsed(duration: Micros) -> Micros {
    duration + duration * MAX_CLOCK_DRIFT_PER_MILLE / 1_000
}

/// Intervals and timeouts of a fleet. All relays must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetTiming {
    /// Tick interval of the raft library, in microseconds; 50 ms by default. Determines how soon a
    /// failed leader is replaced: a voter starts an election after 10 to 31 ticks without a leader,
    /// depending on its number.
    pub tick: Micros,
    /// Duration of a lease, counted from when the relay requested it, in microseconds; 2 s by
    /// default. Limits how long a relay without a leader continues to admit clients, and how long a
    /// policy change waits for a relay that does not respond.
    pub lease_duration: Micros,
    /// Maximum rate difference between a relay's clock and the leader's, in thousandths;
    /// [`MAX_CLOCK_DRIFT_PER_MILLE`] by default. The leader waits this much longer for leases of
    /// relays to expire.
    pub clock_drift_per_mille: u64,
    /// Interval between two renewals of a lease, in microseconds; 500 ms by default. Determines how
    /// soon a relay learns of a change.
    pub renew_interval: Micros,
    /// How long a proposal waits until all relays that hold a lease have prepared it, in
    /// microseconds; 10 s by default. After that it has timed out, and its outcome names the relays
    /// that did not prepare it.
    pub proposal_timeout: Micros,
}

impl Default for FleetTiming {
    fn default() -> FleetTiming {
        // Four renewals per lease, so three consecutive ones may be lost.
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
    /// Time by which a lease that was requested at `requested_at` has expired on every clock within
    /// the allowed drift.
    pub fn lease_expired_by(&self, requested_at: Micros) -> Micros {
        let drift = self.lease_duration * self.clock_drift_per_mille / 1_000;
        requested_at + self.lease_duration + drift + 1
    }
}
