//! Bugs that tests inject to prove that the rule checkers of the fault tests find them. A build
//! without the feature `injected-bugs` cannot inject any.

/// A bug that tests can inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// A relay admits clients after its lease has expired.
    IgnoreLease,
    /// A relay counts its lease from when the grant arrived instead of when it was requested.
    LeaseFromGrant,
    /// A relay continues to admit clients under the old policy after it has confirmed that it
    /// stopped.
    AdmitAfterStop,
    /// A restarted relay continues to use the lease of its previous process.
    LeaseSurvivesRestart,
    /// A leader puts a policy in force while leases on the old one may still be valid.
    SkipLeaseWait,
    /// A new leader does not wait for leases that its predecessor granted to expire.
    SkipPredecessorWait,
    /// A leader grants leases before a majority has confirmed that it still leads.
    GrantUnconfirmed,
    /// A leader grants leases on the old policy after a proposal is sealed, that is, after no such
    /// lease may be granted any more.
    GrantAfterSeal,
    /// A voter sends messages without storing its log first, and loses those entries in a crash.
    SendBeforePersist,
    /// Voters treat a voter with a replaced disk as the member that it was before.
    TrustReplacedDisk,
    /// An owner continues to act on its jobs after its lease has expired.
    ActAfterLease,
    /// A leader releases a job while its owner's lease may still be valid.
    ReleaseEarly,
    /// An owner acts on a job after it has confirmed that it stopped.
    ActAfterStop,
    /// Receivers accept stale fencing tokens.
    NoFence,
    /// A restarted receiver accepts commands before it knows the current fencing tokens.
    AcceptBeforeTokens,
    /// Relays apply changes of a table although earlier changes are missing.
    ApplyWithGap,
    /// Relays apply changes that lead to an older version of a table than they have.
    ApplyOlderVersion,
}

impl InjectedBug {
    /// All bugs with their names in settings and on the command line. These names are older than
    /// the variants and must not change.
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

    /// Returns the bug with this name.
    pub fn by_name(name: &str) -> Option<InjectedBug> {
        InjectedBug::ALL
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, bug)| *bug)
    }
}

/// The injected bug of a component, if any. Always none without the feature `injected-bugs`.
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
