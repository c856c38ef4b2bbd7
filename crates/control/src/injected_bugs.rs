//! Bugs that tests inject, to show that the checkers find them. A build without the feature `injected-bugs` has none.

/// A bug that is injected to show that a checker finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// A relay admits clients though its lease has run out.
    IgnoreLease,
    /// A relay counts its lease from when it was granted, not from when it was requested.
    LeaseFromGrant,
    /// A relay continues to admit under the old policy after it has confirmed that it stopped.
    AdmitAfterStop,
    /// A restarted relay takes over the lease of its previous process.
    LeaseSurvivesRestart,
    /// A leader puts a policy in force without waiting for leases that may still run.
    SkipLeaseWait,
    /// A new leader does not wait for leases that its predecessor granted.
    SkipPredecessorWait,
    /// A leader grants leases without a majority's confirmation that it still leads.
    GrantUnconfirmed,
    /// A leader grants leases on the old policy after the proposal is sealed.
    GrantAfterSeal,
    /// A voter sends messages before its log is durable, and loses it in a crash.
    SendBeforePersist,
    /// Voters accept a voter with a replaced disk as the one that they knew.
    TrustReplacedDisk,
    /// An owner continues to act on its jobs though its lease has run out.
    ActAfterLease,
    /// A leader releases a job while its owner's lease may still run.
    ReleaseEarly,
    /// An owner acts on a job after it has confirmed that it stopped.
    ActAfterStop,
    /// Receivers accept any fencing token.
    NoFence,
    /// A restarted receiver accepts commands before it knows the fencing tokens.
    AcceptBeforeTokens,
    /// Relays apply changes to a table though earlier ones are missing.
    ApplyWithGap,
    /// A relay applies changes that lead to an older version of a table than it has.
    ApplyOlderVersion,
}

impl InjectedBug {
    /// All bugs, with their names on the command line.
    pub const ALL: [(&'static str, InjectedBug); 17] = [
        ("ignore-lease", InjectedBug::IgnoreLease),
        ("lease-from-grant", InjectedBug::LeaseFromGrant),
        ("keep-after-yield", InjectedBug::AdmitAfterStop),
        ("lease-survives-restart", InjectedBug::LeaseSurvivesRestart),
        ("skip-wait", InjectedBug::SkipLeaseWait),
        ("forget-predecessor", InjectedBug::SkipPredecessorWait),
        ("grant-alone", InjectedBug::GrantUnconfirmed),
        ("grant-closed", InjectedBug::GrantAfterSeal),
        ("skip-store", InjectedBug::SendBeforePersist),
        ("trust-reborn", InjectedBug::TrustReplacedDisk),
        ("own-forever", InjectedBug::ActAfterLease),
        ("give-early", InjectedBug::ReleaseEarly),
        ("keep-job", InjectedBug::ActAfterStop),
        ("no-fence", InjectedBug::NoFence),
        ("trust-first", InjectedBug::AcceptBeforeTokens),
        ("lost-change", InjectedBug::ApplyWithGap),
        ("version-back", InjectedBug::ApplyOlderVersion),
    ];

    /// The bug of this name.
    pub fn by_name(name: &str) -> Option<InjectedBug> {
        InjectedBug::ALL
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, bug)| *bug)
    }
}

/// The bug that is injected here. Always none without the feature `injected-bugs`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InjectedBugs(#[cfg(feature = "injected-bugs")] pub Option<InjectedBug>);

impl InjectedBugs {
    /// Whether this bug is injected.
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
