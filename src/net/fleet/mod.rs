//! The fleet: one thread that talks to the voters, keeps the ledger, and tells the decisions which policy holds and up to
//! when clients may be admitted under it. What it decides is [`jaspermoor_control`]'s; this is sockets, disk and clock.
//!
//! It is a thread of its own because a ledger's sync waits for the disk, and no client may wait for that. Without
//! `[fleet]` in the operator file there is none: no listener, no thread, no file.
//!
//! Guards against: a voter that is slow or hostile (bounded frames and queues, the replaceable goes first), one that
//! vanished (a link that takes nothing is dialled anew), and a full or failing disk (the vote ends, service does not).

mod jobs;
mod lease;
mod link;
mod links;
mod messages;
mod setup;
#[cfg(test)]
mod tests;
mod voting;

pub use jobs::JobResources;
pub use setup::Setup;

use crate::config::operator;
use crate::config::policy::{self, Rules};
use crate::decision_service::DecisionService;
use crate::decisions::api::Micros;
use crate::log::log;
use crate::net::poll::{Events, Poller};
use crate::ops::metrics::Metrics;
use crate::platform::ledger::Ledger;
use crate::sys::{boottime, Wake};
use jaspermoor_control::jobs::worker::Worker;
use jaspermoor_control::lease::client::{LeaderlessMode, LeaseClient};
use jaspermoor_control::log::membership::Membership;
use jaspermoor_control::log::state::Policy;
use jaspermoor_control::log::voter::Voter;
use jaspermoor_control::wire::message::{Message, RelayId};
use link::Link;
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

/// The longest wait between two turns.
const LONGEST_WAIT: Micros = crate::decisions::api::SECOND;
/// The token of the listening socket, and of the first link.
const LISTEN: u64 = 1;
const FIRST_LINK: u64 = 16;
/// Who asks from within this process.
const LOCAL: u64 = u64::MAX;

/// What other threads may ask of the fleet's.
#[derive(Clone)]
pub struct Handle {
    stop: Arc<AtomicBool>,
    end: Arc<AtomicBool>,
    wake: Wake,
}

impl Handle {
    /// The relay stops: it gives its jobs up, so that others have them before it has gone.
    pub fn stop(&self) {
        self.stop.store(true, Relaxed);
        (self.wake)();
    }

    /// The same, and [`Fleet::run`] returns then: for processes that outlive the relay.
    pub fn end(&self) {
        // In this order: it must not return before it has given its jobs up.
        self.stop.store(true, Relaxed);
        self.end.store(true, Relaxed);
        (self.wake)();
    }
}

/// A random number, which nobody can guess: for sessions, proposals and disks.
pub fn random_number() -> [u8; 16] {
    let mut number = [0; 16];
    // Without random numbers nothing may be authenticated: a process that cannot have any must not go on.
    getrandom::fill(&mut number)
        .unwrap_or_else(|e| panic!("the system gives no random numbers: {e}"));
    number
}

/// See the module's text.
pub struct Fleet {
    setup: Setup,
    name: String,
    own: Rules,
    decisions: Arc<DecisionService>,
    poller: Poller,
    listener: Option<TcpListener>,
    links: BTreeMap<u64, Link>,
    next_token: u64,
    /// The link to each voter, and when it was last dialled.
    voters: BTreeMap<u64, (Option<u64>, Micros)>,
    /// Who votes, as it was told last.
    membership: Membership,
    ledger: Option<Ledger>,
    voter: Option<Voter>,
    lease_client: LeaseClient,
    /// What it does for the fleet, and what it needs for that; none where the operator file wants no jobs.
    work: Option<(Worker, JobResources)>,
    handle: Handle,
    /// It has given its jobs up.
    stopped: bool,
    /// When the ledger is asked for again.
    retry: Option<Micros>,
    leads: Option<u64>,
    /// Founders that this one has not heard yet.
    missing: Vec<u64>,
    admits: bool,
    /// The policy in force is one that this build does not understand: nobody is admitted, whatever lease it has.
    foreign: bool,
    /// Messages of this process to its own voter, and answers of it.
    inbox: VecDeque<(u64, Message)>,
    metrics: Arc<Metrics>,
}

impl Fleet {
    /// Opens what it needs. Until it has run, no client is admitted but where relays that are alone serve; `own` are the
    /// operator file's own cells and parameters, for as long as the fleet has no policy.
    pub fn open(
        setup: Setup,
        name: &str,
        own: Rules,
        decisions: Arc<DecisionService>,
    ) -> Result<Fleet, Box<dyn std::error::Error>> {
        // For as long as the process runs.
        #[cfg(feature = "injected-bugs")]
        {
            // Once a process: the library holds a lock for as long as a set-up lasts, and a second one would wait for good.
            static POINTS: std::sync::Once = std::sync::Once::new();
            POINTS.call_once(|| std::mem::forget(fail::FailScenario::setup()));
            let later = std::env::var("JASPERMOOR_BUILD").is_ok_and(|build| build == "later");
            jaspermoor_control::wire::LATER.store(later, Relaxed);
        }
        let poller = Poller::new()?;
        let mut start = [0; 8];
        start.copy_from_slice(&random_number()[..8]);
        let relay = RelayId {
            name: name.into(),
            incarnation: u64::from_be_bytes(start),
        };
        let alone = match setup.fleet.alone {
            operator::LeaderlessMode::Refuse => LeaderlessMode::Reject,
            operator::LeaderlessMode::Serve => LeaderlessMode::Serve,
        };
        let (mut ledger, mut kept, mut retry) = (None, Policy::default(), None);
        match Ledger::open(&setup.directory, &setup.owner()) {
            Ok(opened) => {
                kept = opened.load_policy()?;
                ledger = Some(opened);
            }
            Err(e) if e.is_in_use() => retry = Some(0),
            // It follows the fleet all the same; what it cannot do without its ledger is vote.
            Err(e) => log(&format!("fleet: {e}; this relay does not vote")),
        }
        let mut foreign = false;
        if kept.epoch > 0 {
            match policy::read(Path::new("policy"), &kept.text) {
                Ok(rules) => decisions.apply_policy(rules.cells, rules.tuning),
                Err(e) => {
                    log(&format!(
                        "fleet: the policy of epoch {} is not understood by this build: {e}",
                        kept.epoch
                    ));
                    (kept, foreign) = (Policy::default(), true);
                }
            }
        }
        let mut lease_client = LeaseClient::new(relay, setup.numbers(), kept, setup.times(), alone);
        let membership = ledger
            .as_ref()
            .map_or(Ok(None), Ledger::load_membership)?
            .unwrap_or_default();
        lease_client.learn_membership(&membership);
        let now = boottime();
        #[cfg(feature = "injected-bugs")]
        let lease_client = lease_client.with_injected(injected(), now);
        decisions.set_admission_lease(if foreign {
            0
        } else {
            lease_client.admit_until(now)
        });
        let handle = Handle {
            stop: Arc::default(),
            end: Arc::default(),
            wake: poller.wake(),
        };
        let mut fleet = Fleet {
            name: name.into(),
            work: None,
            handle,
            stopped: false,
            own,
            decisions,
            poller,
            listener: None,
            links: BTreeMap::new(),
            next_token: FIRST_LINK,
            voters: BTreeMap::new(),
            membership,
            ledger,
            voter: None,
            lease_client,
            retry,
            leads: None,
            missing: Vec::new(),
            admits: false,
            foreign,
            inbox: VecDeque::new(),
            metrics: Arc::default(),
            setup,
        };
        fleet.take_vote()?;
        Ok(fleet)
    }

    /// What other threads may ask of it.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Runs until [`Handle::end`], or for as long as the process does; its figures are among these.
    pub fn run(mut self, metrics: Arc<Metrics>) {
        self.metrics = metrics;
        self.metrics.control.on.store(true, Relaxed);
        self.poller.own();
        let (mut events, mut ready) = (Events::default(), Vec::new());
        loop {
            let ends = self.handle.end.load(Relaxed);
            self.turn();
            if ends {
                return;
            }
            let now = boottime();
            let wait = Duration::from_micros(self.due(now).saturating_sub(now));
            self.poller.wait(wait, &mut events, &mut ready);
            for ready in ready.drain(..) {
                self.ready(ready);
            }
        }
    }

    /// When it has something to do next though nothing comes.
    fn due(&self, now: Micros) -> Micros {
        let voter = self
            .voter
            .as_ref()
            .map(|_| now + self.setup.times().tick / 2);
        let worker = self.work.as_ref().map(|(worker, _)| worker.next_tick());
        let due = [
            Some(self.lease_client.next_tick()),
            voter,
            worker,
            self.retry,
        ];
        due.into_iter()
            .flatten()
            .fold(now + LONGEST_WAIT, Micros::min)
    }

    fn turn(&mut self) {
        let now = boottime();
        if self.retry.is_some_and(|at| now >= at) {
            self.reopen(now);
        }
        if let Some(voter) = &mut self.voter {
            voter.tick(now);
            if self
                .lease_client
                .learn_membership(&voter.state().membership)
            {
                let membership = voter.state().membership.clone();
                self.seat(membership);
            }
        }
        let effect = self.lease_client.tick(now);
        self.carry_out(effect.into_iter().collect());
        self.work();
        if self.handle.stop.load(Relaxed) && !std::mem::replace(&mut self.stopped, true) {
            let effect = self.lease_client.release_jobs(now);
            self.carry_out(effect.into_iter().collect());
        }
        self.do_jobs();
        self.work();
        self.publish();
        self.close_stuck(now);
    }
}

/// The fault that a test has injected in this process.
#[cfg(feature = "injected-bugs")]
fn injected() -> jaspermoor_control::InjectedBugs {
    let name = std::env::var("JASPERMOOR_INJECTED_BUG").unwrap_or_default();
    jaspermoor_control::InjectedBugs(jaspermoor_control::InjectedBug::by_name(&name))
}
