//! The driver of the fleet's control plane. The protocol is [`jaspermoor_control`]'s, without I/O
//! or clock; this module gives it sockets, the durable ledger and the time, in one thread.
//!
//! Inputs: the operator file's `[fleet]`, messages of the voters and of other relays, results of
//! health checks. Outputs: the policy and the admission lease, handed to the [`DecisionService`];
//! messages to the voters; metrics. Without `[fleet]` there is no thread, no listener and no file.
//!
//! It has its own thread because a synced write waits for the disk, and no client may wait for
//! that.
//!
//! Guards against: a voter that is slow or hostile (bounded frames and queues; replaceable messages
//! are dropped first), one that stopped without closing its connection (a link that accepts no
//! bytes is closed and dialled again), and a full or failing disk (this relay stops voting and
//! continues to serve).
//!
//! Files: `settings` checks the configuration; `event_loop` runs the steps of a tick; `dispatch`
//! hands each message to its driver (`lease_driver`, `voter_driver`, `job_driver`); `peers` and
//! `link` are the connections; `status` publishes metrics and log lines.

#![warn(unreachable_pub, rust_2018_idioms)]
#![warn(clippy::too_many_lines, clippy::many_single_char_names)]

mod dispatch;
mod error;
mod event_loop;
mod job_driver;
mod lease_driver;
mod link;
mod peers;
mod settings;
mod status;
#[cfg(test)]
mod tests;
mod voter_driver;

pub use error::OpenError;
pub use job_driver::JobResources;
pub use settings::FleetSettings;

use crate::config::operator;
use crate::config::policy::{self, PolicyRules};
use crate::decision_service::DecisionService;
use crate::decisions::api::Micros;
use crate::log::log;
use crate::net::poll::Poller;
use crate::ops::metrics::Metrics;
use crate::platform::ledger::{Ledger, LedgerError};
use crate::sys::Wake;
use dispatch::Inbound;
use jaspermoor_control::lease::client::{LeaderlessMode, LeaseClient};
use jaspermoor_control::log::membership::Membership;
use jaspermoor_control::log::state::Policy;
use jaspermoor_control::log::voter::Voter;
use jaspermoor_control::wire::message::RelayId;
use job_driver::JobRunner;
use link::{Link, LinkId};
use peers::VoterPeer;
use status::Status;
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;

/// Bytes of a [`random_number`].
const RANDOM_BYTES: usize = 16;
/// The file name in errors of a policy that came from the fleet.
const POLICY_NAME: &str = "policy";

/// Ends the work of the fleet's thread from other threads.
#[derive(Clone)]
pub struct Handle {
    drain: Arc<AtomicBool>,
    shutdown: Arc<AtomicBool>,
    wake: Wake,
}

impl Handle {
    /// Relinquishes the jobs of this relay, so that others get them before it has stopped. The
    /// thread continues.
    pub fn drain(&self) {
        self.drain.store(true, Relaxed);
        (self.wake)();
    }

    /// Relinquishes the jobs, after which [`Fleet::run`] returns. For processes that outlive the
    /// relay.
    pub fn shutdown(&self) {
        // In this order: the thread must not see the shutdown without the drain.
        self.drain.store(true, Relaxed);
        self.shutdown.store(true, Relaxed);
        (self.wake)();
    }
}

/// An unpredictable random number, for sessions, proposals and incarnations.
///
/// # Panics
///
/// Where the system has no random numbers: no message could be authenticated.
pub fn random_number() -> [u8; RANDOM_BYTES] {
    let mut number = [0; RANDOM_BYTES];
    getrandom::fill(&mut number)
        .unwrap_or_else(|e| panic!("the system gives no random numbers: {e}"));
    number
}

/// An unpredictable random number of 64 bits; see [`random_number`].
pub fn random_u64() -> u64 {
    let mut number = [0; 8];
    number.copy_from_slice(&random_number()[..8]);
    u64::from_be_bytes(number)
}

/// A relay's membership in its fleet: the state of the thread that runs [`Fleet::run`].
pub struct Fleet {
    settings: FleetSettings,
    relay_name: String,
    /// The operator file's own cells and parameters, in force while the fleet has no policy.
    local_rules: PolicyRules,
    decisions: Arc<DecisionService>,
    poller: Poller,
    /// Open while this relay votes.
    listener: Option<TcpListener>,
    links: BTreeMap<LinkId, Link>,
    next_link_id: LinkId,
    /// Voters that were dialled, by their number.
    voter_peers: BTreeMap<u64, VoterPeer>,
    /// The latest known membership: the addresses of voters that the operator file does not name.
    membership: Membership,
    /// None while another process has the ledger open, and where it cannot be used.
    ledger: Option<Ledger>,
    /// When to try to open the ledger again; none if it is open or cannot be used.
    ledger_retry_at: Option<Micros>,
    /// None on a relay that does not vote.
    voter: Option<Voter>,
    lease_client: LeaseClient,
    /// None where the operator file enables no jobs.
    jobs: Option<JobRunner>,
    handle: Handle,
    /// Whether the jobs were relinquished since [`Handle::drain`].
    jobs_released: bool,
    /// Whether this build does not understand the policy in force. If so, no client is admitted,
    /// even with a lease.
    policy_unsupported: bool,
    /// Messages to be dispatched: received ones, and those that this process sent to itself.
    inbox: VecDeque<Inbound>,
    status: Status,
    metrics: Arc<Metrics>,
}

/// The state that was read from the disk at the start.
struct StoredState {
    ledger: Option<Ledger>,
    policy: Policy,
    ledger_retry_at: Option<Micros>,
}

impl Fleet {
    /// Opens the ledger and, on a voter, the listener.
    ///
    /// From here on clients are admitted only under a lease, except by a relay that is configured
    /// to serve without a leader. `local_rules` are the operator file's own cells and parameters,
    /// in force while the fleet has no policy.
    ///
    /// # Errors
    ///
    /// Fails if the poller or the listener cannot be opened, or an open ledger cannot be read. A
    /// ledger that cannot be opened is only logged: the relay follows its fleet and does not vote.
    pub fn open(
        settings: FleetSettings,
        name: &str,
        local_rules: PolicyRules,
        decisions: Arc<DecisionService>,
    ) -> Result<Fleet, OpenError> {
        #[cfg(feature = "injected-bugs")]
        set_up_injection();
        let poller = Poller::new()?;
        let stored = load_stored_state(&settings)?;
        let policy_unsupported = !apply_stored_policy(&stored.policy, &decisions);
        let policy = if policy_unsupported {
            Policy::default()
        } else {
            stored.policy
        };
        let stored_membership = match &stored.ledger {
            Some(ledger) => ledger.load_membership()?,
            None => None,
        };
        let membership = stored_membership.unwrap_or_default();
        let lease_client = new_lease_client(&settings, name, policy, &membership);
        let handle = Handle {
            drain: Arc::default(),
            shutdown: Arc::default(),
            wake: poller.waker(),
        };
        let mut fleet = Fleet {
            settings,
            relay_name: name.into(),
            local_rules,
            decisions,
            poller,
            listener: None,
            links: BTreeMap::new(),
            next_link_id: link::FIRST_LINK,
            voter_peers: BTreeMap::new(),
            membership,
            ledger: stored.ledger,
            ledger_retry_at: stored.ledger_retry_at,
            voter: None,
            lease_client,
            jobs: None,
            handle,
            jobs_released: false,
            policy_unsupported,
            inbox: VecDeque::new(),
            status: Status::default(),
            metrics: Arc::default(),
        };
        // The lease before the listener: nothing may be admitted or answered without it.
        fleet.publish_admission_lease();
        fleet.start_voting()?;
        Ok(fleet)
    }

    /// Returns a handle for other threads.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }
}

/// The lease client of this process. Its random incarnation distinguishes it from earlier processes
/// of this relay.
fn new_lease_client(
    settings: &FleetSettings,
    name: &str,
    policy: Policy,
    membership: &Membership,
) -> LeaseClient {
    let relay = RelayId {
        name: name.into(),
        incarnation: random_u64(),
    };
    let voters = settings.voter_numbers();
    let mode = leaderless_mode(settings.fleet.alone);
    let mut lease_client = LeaseClient::new(relay, voters, policy, settings.timing(), mode);
    lease_client.learn_membership(membership);
    #[cfg(feature = "injected-bugs")]
    let lease_client = lease_client.with_injected(injected_bugs(), crate::sys::boottime());
    lease_client
}

fn leaderless_mode(configured: operator::LeaderlessMode) -> LeaderlessMode {
    match configured {
        operator::LeaderlessMode::Refuse => LeaderlessMode::Reject,
        operator::LeaderlessMode::Serve => LeaderlessMode::Serve,
    }
}

fn load_stored_state(settings: &FleetSettings) -> Result<StoredState, LedgerError> {
    let mut stored = StoredState {
        ledger: None,
        policy: Policy::default(),
        ledger_retry_at: None,
    };
    match Ledger::open(&settings.directory, &settings.ledger_owner()) {
        Ok(ledger) => {
            stored.policy = ledger.load_policy()?;
            stored.ledger = Some(ledger);
        }
        Err(e) if e.is_in_use() => stored.ledger_retry_at = Some(0),
        // Without a ledger the relay cannot vote, but still follows the fleet.
        Err(e) => log(&format!("fleet: {e}; this relay does not vote")),
    }
    Ok(stored)
}

/// Puts the stored policy in force; false where this build does not understand it.
fn apply_stored_policy(policy: &Policy, decisions: &DecisionService) -> bool {
    if policy.epoch == 0 {
        return true;
    }
    match policy::parse(Path::new(POLICY_NAME), &policy.text) {
        Ok(rules) => {
            decisions.apply_policy(rules.cells, rules.parameters);
            true
        }
        Err(e) => {
            log(&format!(
                "fleet: the policy of epoch {} is not understood by this build: {e}",
                policy.epoch
            ));
            false
        }
    }
}

/// Enables fail points and the wire format of a later build, once per process.
#[cfg(feature = "injected-bugs")]
fn set_up_injection() {
    // The library holds a lock for as long as a scenario exists: a second one would block forever.
    static SCENARIO: std::sync::Once = std::sync::Once::new();
    SCENARIO.call_once(|| std::mem::forget(fail::FailScenario::setup()));
    let later_build = std::env::var("JASPERMOOR_BUILD").is_ok_and(|build| build == "later");
    jaspermoor_control::wire::ENCODE_AS_LATER_BUILD.store(later_build, Relaxed);
}

/// The bug that a test has injected into this process.
#[cfg(feature = "injected-bugs")]
fn injected_bugs() -> jaspermoor_control::InjectedBugs {
    let name = std::env::var("JASPERMOOR_INJECTED_BUG").unwrap_or_default();
    jaspermoor_control::InjectedBugs(jaspermoor_control::InjectedBug::by_name(&name))
}
