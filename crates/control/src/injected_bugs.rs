//! Bugs that tests inject, to show that the checkers find them. A build without the feature `injected-bugs` has none.

/// A bug that is injected to show that a checker finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// A relay admits clients though its lease has run out.
    IgnoreLease,
    /// A relay counts its lease from when it was granted, not from when it was requested.
    LeaseFromGrant,
    /// A relay continues to admit under the old policy after it has confirmed that it stopped.
    KeepAfterYield,
    /// A restarted relay takes over the lease of its previous process.
    LeaseSurvivesRestart,
    /// A leader puts a policy in force without waiting for leases that may still run.
    SkipWait,
    /// A new leader does not wait for leases that its predecessor granted.
    ForgetPredecessor,
    /// A leader grants leases without a majority's confirmation that it still leads.
    GrantAlone,
    /// A leader grants leases on the old policy after the proposal is sealed.
    GrantClosed,
    /// A voter sends messages before its log is durable, and loses it in a crash.
    SkipStore,
    /// Voters accept a voter whose disk was lost and made anew as the one that they knew.
    TrustReborn,
    /// An owner continues to act on its jobs though its lease has run out.
    OwnForever,
    /// A leader releases a job while its owner's lease may still run.
    GiveEarly,
    /// An owner acts on a job after it has confirmed that it stopped.
    KeepJob,
    /// Receivers accept any fencing token.
    NoFence,
    /// A restarted receiver accepts commands before it knows the fencing tokens.
    TrustFirst,
    /// Relays apply changes to a table though earlier ones are missing.
    LostChange,
    /// A relay applies changes that lead to an older version of a table than it has.
    VersionBack,
}

impl InjectedBug {
    /// All bugs, with their names on the command line.
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
