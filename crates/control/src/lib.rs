//! What the relays of a fleet agree on: a replicated log of policies, and a lease on the policy in force for each relay
//! that serves. Bytes, times and stored entries come in; messages, things to store and effects go out. Nothing here
//! knows a socket, a file or a clock, so the same code runs in the relay and on a virtual network, disk and clock.
//!
//! The rule that all of it serves: at no moment do two relays admit clients under different policies, and none admits
//! under an older policy than one that was in force before. `docs/design/control.md` has the proof.

pub mod broadcast;
pub mod jobs;
pub mod lease;
pub mod log;
pub mod relay;
mod serialization;
pub mod wire;

/// A moment or a span of time, in microseconds.
pub type Micros = u64;

/// FleetTiming of a fleet. All its relays must have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetTiming {
    /// The tick of the log: an election begins after ten of them, or some more, without a leader.
    pub tick: Micros,
    /// How long a relay may admit clients after it asked for its lease.
    pub lease_duration: Micros,
    /// How much faster than the others' a relay's clock may run, in thousandths: a lease is waited for so much longer.
    pub clock_drift_per_mille: u64,
    /// A relay asks for its lease anew so often.
    pub renew_interval: Micros,
    /// A relay that answers a proposal with nothing for so long, though it serves, makes it given up.
    pub proposal_timeout: Micros,
}

/// How much faster one clock may run than another, in thousandths: those of machines differ by under 0.1, ten leave room
/// for one that is slewed.
pub const MAX_CLOCK_DRIFT_PER_MILLE: u64 = 10;

/// How long a span that another clock has measured was here at least.
pub fn min_elapsed(span: Micros) -> Micros {
    span - span * MAX_CLOCK_DRIFT_PER_MILLE / 1_000
}

/// The same at most.
pub fn max_elapsed(span: Micros) -> Micros {
    span + span * MAX_CLOCK_DRIFT_PER_MILLE / 1_000
}

impl Default for FleetTiming {
    fn default() -> FleetTiming {
        // Four renewals a lease: three in a row may be lost.
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
    /// By when a lease that was asked for at a time has run out on any clock that drifts no more than allowed.
    pub fn lease_expired_by(&self, asked: Micros) -> Micros {
        asked + self.lease_duration + self.lease_duration * self.clock_drift_per_mille / 1_000 + 1
    }
}

/// A fault that is injected to show that a checker finds it. In a build that serves there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// A relay admits clients though its lease has run out.
    IgnoreLease,
    /// A relay counts its lease from when it was granted, not from when it asked.
    LeaseFromGrant,
    /// A relay goes on under the old policy after it has said that it stopped.
    KeepAfterYield,
    /// A relay that has started anew takes up the lease of its last process.
    LeaseSurvivesRestart,
    /// A leader puts a policy in force without waiting for leases that may still run.
    SkipWait,
    /// A leader that is new in leadership does not wait for leases that its predecessor gave.
    ForgetPredecessor,
    /// A leader grants leases without asking a majority whether it still leads.
    GrantAlone,
    /// A leader grants leases on the old policy after it has closed it.
    GrantClosed,
    /// A voter answers before its log is stored, and loses it in a crash.
    SkipStore,
    /// Voters take one whose disk was lost and made anew for the one that they knew.
    TrustReborn,
    /// An owner acts on though its lease has run out.
    OwnForever,
    /// A leader gives a job away while its owner's lease may still run.
    GiveEarly,
    /// An owner acts on a job that it has said to have revoked.
    KeepJob,
    /// Receivers obey any token.
    NoFence,
    /// A receiver that has started anew obeys before it knows the tokens.
    TrustFirst,
    /// Relays apply changes though those before them are missing.
    LostChange,
    /// A relay applies changes that lead to an older version than it has.
    VersionBack,
}

impl InjectedBug {
    /// All of them, by the names that the command line knows.
    pub const ALL: [(&'static str, InjectedBug); 17] = [
        ("ignore-lease", InjectedBug::IgnoreLease),
        ("lease-from-grant", InjectedBug::LeaseFromGrant),
        ("keep-after-yield", InjectedBug::KeepAfterYield),
        ("lease-survives-restart", InjectedBug::LeaseSurvivesRestart),
        ("skip-wait", InjectedBug::SkipWait),
        ("forget-predecessor", InjectedBug::ForgetPredecessor),
        ("grant-alone", InjectedBug::GrantAlone),
        ("grant-closed", InjectedBug::GrantClosed),
        ("skip-store", InjectedBug::SkipStore),
        ("trust-reborn", InjectedBug::TrustReborn),
        ("own-forever", InjectedBug::OwnForever),
        ("give-early", InjectedBug::GiveEarly),
        ("keep-job", InjectedBug::KeepJob),
        ("no-fence", InjectedBug::NoFence),
        ("trust-first", InjectedBug::TrustFirst),
        ("lost-change", InjectedBug::LostChange),
        ("version-back", InjectedBug::VersionBack),
    ];

    /// The fault of that name.
    pub fn by_name(name: &str) -> Option<InjectedBug> {
        InjectedBug::ALL
            .iter()
            .find(|(n, _)| *n == name)
            .map(|(_, bug)| *bug)
    }
}

/// Which fault is injected here. Always none without the feature `plants`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InjectedBugs(#[cfg(feature = "injected-bugs")] pub Option<InjectedBug>);

impl InjectedBugs {
    /// Whether it is this one.
    pub fn is(self, bug: InjectedBug) -> bool {
        #[cfg(feature = "injected-bugs")]
        return self.0 == Some(bug);
        #[cfg(not(feature = "injected-bugs"))]
        {
            let _ = bug;
            false
        }
    }
}
