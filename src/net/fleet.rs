//! The fleet: one thread that talks to the voters, keeps the ledger, and tells the decisions which policy holds and up to
//! when clients may be admitted under it. What it decides is [`jaspermoor_control`]'s; this is sockets, disk and clock.
//!
//! It is a thread of its own because a ledger's sync waits for the disk, and no client may wait for that. Without
//! `[fleet]` in the operator file there is none: no listener, no thread, no file.
//!
//! Guards against: a voter that is slow or hostile (bounded frames and queues, the replaceable goes first), one that
//! vanished (a link that takes nothing is dialled anew), and a full or failing disk (the vote ends, service does not).

use crate::api::{Micros, ServerId};
use crate::config::operator::{self, FleetVoter, OperatorError, OperatorFile};
use crate::config::policy::{self, Rules};
use crate::decide::Decisions;
use crate::load::LoadBook;
use crate::log::log;
use crate::net::poll::{dial, Events, Interest, Poller, Ready};
use crate::ops::metrics::Metrics;
use crate::platform::directory::Directory;
use crate::platform::ledger::{self, Ledger};
use crate::sys::{boottime, timed_out, Wake};
use jaspermoor_control::broadcast::subscriber::Subscriber;
use jaspermoor_control::jobs::assignment::may_be_named;
use jaspermoor_control::jobs::load_watch;
use jaspermoor_control::jobs::moves::{self, Moving};
use jaspermoor_control::jobs::owner::Owner;
use jaspermoor_control::jobs::worker::{WorkContext, Worker, WorkerCommand};
use jaspermoor_control::lease::client::{Alone, Effect, LeaseClient};
use jaspermoor_control::log::membership::Membership;
use jaspermoor_control::log::state::Policy;
use jaspermoor_control::log::voter::Voter;
use jaspermoor_control::wire::mac::Session;
use jaspermoor_control::wire::message::{Answer, Message, Relay, Skills};
use jaspermoor_control::Times;
use socket2::{Domain, Socket, Type};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Messages that wait for one link, and bytes that a link has not taken: beyond that the replaceable are left out.
const QUEUE: usize = 256;
const UNSENT: usize = 1024 * 1024;
/// Links from others at most: a fleet of hundreds asks a voter by one each.
const LINKS: usize = 2048;
/// A voter that could not be reached is dialled again after so long; a link that stands but takes nothing for so long
/// is given up.
const REDIAL: Micros = 200_000;
const STUCK: Micros = 5_000_000;
/// A ledger that another process has is asked for again so often: the older one of this relay, during an upgrade.
const HELD: Micros = 500_000;
/// Bytes read of a link in a turn: one that sends at full speed must not hold up the others.
const PIECE: usize = 64 * 1024;
/// Longest name of a key file's line, and its least length in bytes: shorter ones can be guessed.
const KEY_LEAST: usize = 32;

const LISTEN: u64 = 1;
const FIRST: u64 = 16;
/// Who asks from within this process.
const LOCAL: u64 = u64::MAX;

/// A fleet as the operator file sets it, checked, with its keys read.
#[derive(Clone)]
pub struct Setup {
    /// See [`operator::Fleet`].
    pub fleet: operator::Fleet,
    /// See [`operator::Fleet`].
    pub keys: Vec<Vec<u8>>,
    /// See [`operator::Fleet`].
    pub directory: PathBuf,
}

impl Setup {
    /// What `[fleet]` sets; none where the file does not have it.
    pub fn of(file: &OperatorFile) -> Result<Option<Setup>, OperatorError> {
        let Some(fleet) = file.operator.fleet.clone() else { return Ok(None) };
        if fleet.voters.is_empty() || fleet.voters.len() > 7 {
            return Err(file
                .error("fleet.voters", "one to seven are wanted; three bear the loss of one, five of two"));
        }
        for (i, voter) in fleet.voters.iter().enumerate() {
            let key = format!("fleet.voters[{i}].number");
            if voter.number == 0 {
                return Err(file.error(&key, "is 0; numbers begin with 1"));
            }
            if fleet.voters[..i].iter().any(|other| other.number == voter.number) {
                return Err(file.error(&key, format!("{} stands twice", voter.number)));
            }
        }
        if let Some(own) = fleet.voter.filter(|own| fleet.voters.iter().all(|voter| voter.number != *own)) {
            return Err(file.error("fleet.voter", format!("no voter has the number {own}")));
        }
        if !(200..=60_000).contains(&fleet.lease_ms) {
            return Err(file.error("fleet.lease_ms", format!("is {}, outside 200 to 60000", fleet.lease_ms)));
        }
        let path = file.resolve(&fleet.keys);
        let text = std::fs::read_to_string(&path)
            .map_err(|e| file.error("fleet.keys", format!("{} cannot be read: {e}", path.display())))?;
        let keys: Vec<Vec<u8>> = text
            .lines()
            .map(str::trim)
            .filter(|line| !line.is_empty())
            .map(|line| line.as_bytes().to_vec())
            .collect();
        if keys.is_empty() || keys.iter().any(|key| key.len() < KEY_LEAST) {
            let what =
                format!("{} wants keys of {KEY_LEAST} characters and more, one a line", path.display());
            return Err(file.error("fleet.keys", what));
        }
        let directory = file.resolve(&fleet.directory);
        Ok(Some(Setup { fleet, keys, directory }))
    }

    /// The number that stands for its name on the wire.
    pub fn id(&self) -> u64 {
        xxh3_64(self.fleet.id.as_bytes())
    }

    /// Whose ledger it is.
    pub fn owner(&self) -> ledger::Owner {
        ledger::Owner { fleet: self.fleet.id.clone(), voter: self.fleet.voter.unwrap_or(0) }
    }

    /// The numbers of the voters.
    pub fn numbers(&self) -> Vec<u64> {
        self.fleet.voters.iter().map(|voter| voter.number).collect()
    }

    /// Its times.
    pub fn times(&self) -> Times {
        let lease = self.fleet.lease_ms * 1_000;
        Times { lease, renew: lease / 4, patience: self.fleet.patience_ms * 1_000, ..Times::default() }
    }
}

/// What jobs of the fleet need of the relay.
pub struct Ground {
    /// Its backends.
    pub directory: Arc<Directory>,
    /// The names of its zones, in the order of the settings, and of the columns in which backends tell their load.
    pub zones: Vec<String>,
    /// See `zones`.
    pub columns: Vec<String>,
    /// Its own zone, by its place.
    pub zone: u16,
    /// Whether its settings let it probe, and backends tell their load then.
    pub probes: bool,
    /// What the load watch knows.
    pub book: Arc<LoadBook>,
}

impl Ground {
    fn of_zone(&self, zone: &str) -> Vec<u64> {
        let Some(at) = self.zones.iter().position(|of| of == zone) else { return Vec::new() };
        self.directory.of_zone(at as u16).into_iter().map(|server| server.0).collect()
    }

    /// What this relay can do for the fleet.
    fn skills(&self, jobs: operator::Jobs) -> Skills {
        let mut skills = Skills::default();
        if jobs.load_watch && self.probes {
            skills.kinds.push(load_watch::KIND.into());
            let named = self.zones.iter().map(|zone| format!("{}/{zone}", load_watch::KIND));
            let (may, cannot): (Vec<String>, Vec<String>) = named.partition(|name| may_be_named(name));
            for name in cannot {
                log(&format!("fleet.jobs.load_watch: no job can be named '{name}': a shorter name of the zone is wanted"));
            }
            skills.opens.extend(may);
        }
        if jobs.paced_moves {
            skills.kinds.push(moves::KIND.into());
            skills.opens.push(moves::KIND.into());
        }
        skills.zone = self.zones.get(usize::from(self.zone)).cloned().unwrap_or_default();
        skills
    }
}

/// What other threads may ask of the fleet's.
#[derive(Clone)]
pub struct Handle {
    stop: Arc<AtomicBool>,
    wake: Wake,
}

impl Handle {
    /// The relay stops: it gives its jobs up, so that others have them before it has gone.
    pub fn stop(&self) {
        self.stop.store(true, Relaxed);
        (self.wake)();
    }
}

/// Random bytes for a session.
pub fn number() -> [u8; 16] {
    let mut number = [0; 16];
    // Without random numbers nothing may be sealed: a process that cannot have any must not go on.
    getrandom::fill(&mut number).unwrap_or_else(|e| panic!("the system gives no random numbers: {e}"));
    number
}

struct Wire {
    socket: TcpStream,
    session: Session,
    /// The voter that was dialled; none for a link that came in.
    voter: Option<u64>,
    connecting: bool,
    watched: Interest,
    queue: VecDeque<Message>,
    /// Since when it has taken nothing of what waits.
    blocked: Option<Micros>,
}

/// See the module's text.
pub struct Fleet {
    setup: Setup,
    name: String,
    own: Rules,
    decisions: Arc<Decisions>,
    poller: Poller,
    listener: Option<TcpListener>,
    wires: BTreeMap<u64, Wire>,
    next: u64,
    /// The link to each voter, and when it was last dialled.
    voters: BTreeMap<u64, (Option<u64>, Micros)>,
    /// Who votes, as it was told last.
    membership: Membership,
    ledger: Option<Ledger>,
    voter: Option<Voter>,
    lease_client: LeaseClient,
    /// What it does for the fleet, and what it needs for that; none where the operator file wants no jobs.
    work: Option<(Worker, Ground)>,
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
    inner: VecDeque<(u64, Message)>,
    metrics: Arc<Metrics>,
}

impl Fleet {
    /// Opens what it needs. Until it has run, no client is admitted but where relays that are alone serve; `own` are the
    /// operator file's own cells and parameters, for as long as the fleet has no policy.
    pub fn open(
        setup: Setup,
        name: &str,
        own: Rules,
        decisions: Arc<Decisions>,
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
        start.copy_from_slice(&number()[..8]);
        let relay = Relay { name: name.into(), start: u64::from_be_bytes(start) };
        let alone = match setup.fleet.alone {
            operator::Alone::Refuse => Alone::Refuse,
            operator::Alone::Serve => Alone::Serve,
        };
        let (mut ledger, mut kept, mut retry) = (None, Policy::default(), None);
        match Ledger::open(&setup.directory, &setup.owner()) {
            Ok(opened) => {
                kept = opened.policy()?;
                ledger = Some(opened);
            }
            Err(e) if e.held => retry = Some(0),
            // It follows the fleet all the same; what it cannot do without its ledger is vote.
            Err(e) => log(&format!("fleet: {e}; this relay does not vote")),
        }
        let mut foreign = false;
        if kept.epoch > 0 {
            match policy::read(Path::new("policy"), &kept.text) {
                Ok(rules) => decisions.policy(rules.cells, rules.tuning),
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
        let membership = ledger.as_ref().map_or(Ok(None), Ledger::membership)?.unwrap_or_default();
        lease_client.learn_membership(&membership);
        let now = boottime();
        #[cfg(feature = "injected-bugs")]
        let lease_client = lease_client.with_injected(injected(), now);
        decisions.lease(if foreign { 0 } else { lease_client.until(now) });
        let handle = Handle { stop: Arc::default(), wake: poller.wake() };
        let mut fleet = Fleet {
            name: name.into(),
            work: None,
            handle,
            stopped: false,
            own,
            decisions,
            poller,
            listener: None,
            wires: BTreeMap::new(),
            next: FIRST,
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
            inner: VecDeque::new(),
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

    /// It takes jobs of the fleet, and follows those that others have, as far as its operator file wants that.
    pub fn work_with(&mut self, ground: Ground) {
        let jobs = self.setup.fleet.jobs;
        if !jobs.any() {
            return;
        }
        if jobs.load_watch && !ground.probes {
            log("fleet.jobs.load_watch: the settings allow no probes, or backends tell no load: it does none of that");
        }
        let skills = ground.skills(jobs);
        // Without any kind it would be given jobs of all kinds.
        if skills.kinds.is_empty() {
            return;
        }
        ground.book.wakes_teller(self.poller.wake());
        if jobs.paced_moves {
            self.decisions.pace_moves();
        }
        #[cfg(not(feature = "injected-bugs"))]
        let owner = Owner::default();
        #[cfg(feature = "injected-bugs")]
        let owner = Owner::with_injected(injected());
        let subscriber = Subscriber::new(self.lease_client.relay().clone()).in_zone(&skills.zone);
        self.lease_client.works(owner.skilled(skills));
        let worker = Worker::new(subscriber);
        #[cfg(feature = "injected-bugs")]
        let worker = worker.with_injected(injected());
        self.work = Some((worker, ground));
    }

    /// Becomes the voter that the ledger says, and listens: not before, or links would lead to a process that cannot
    /// answer while the older one of this relay still votes.
    fn take_vote(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        let (Some(ledger), Some(number)) = (&self.ledger, self.setup.fleet.voter) else { return Ok(()) };
        let kept = ledger.kept()?;
        let voter = Voter::new(number, ledger.incarnation()?, &kept, self.setup.times(), boottime());
        let voter = match voter {
            Ok(voter) => voter,
            Err(damaged) => {
                let place = self.setup.directory.display();
                log(&format!(
                    "fleet: {place}: {}; it is left as it is, and this relay does not vote",
                    damaged.0
                ));
                return Ok(());
            }
        };
        #[cfg(feature = "injected-bugs")]
        let voter = voter.with_injected(injected());
        if let Some(why) = voter.ended() {
            log(&format!("fleet: {}; voter {number} does not vote", why.0));
            return Ok(());
        }
        let own = self.setup.fleet.voters.iter().find(|voter| voter.number == number);
        let listener = listen(own.ok_or("fleet.voter: no voter has this number")?)?;
        self.poller.watch(
            &listener,
            LISTEN,
            None,
            Some(Interest { read: true, write: false, end: false }),
        )?;
        log(&format!("{}: votes in its fleet on {}", self.name, listener.local_addr()?));
        (self.voter, self.listener) = (Some(voter), Some(listener));
        Ok(())
    }

    /// Runs for as long as the process does; its figures are among these.
    pub fn run(mut self, metrics: Arc<Metrics>) {
        self.metrics = metrics;
        self.metrics.control.on.store(true, Relaxed);
        self.poller.own();
        let (mut events, mut ready) = (Events::default(), Vec::new());
        loop {
            self.turn();
            let now = boottime();
            let beat = if self.voter.is_some() { now + self.setup.times().tick / 2 } else { Micros::MAX };
            let worker = self.work.as_ref().map_or(Micros::MAX, |(worker, _)| worker.due());
            let due = self
                .lease_client
                .due()
                .min(worker)
                .min(beat)
                .min(self.retry.unwrap_or(Micros::MAX))
                .min(now + SECOND);
            self.poller.wait(Duration::from_micros(due.saturating_sub(now)), &mut events, &mut ready);
            for ready in ready.drain(..) {
                self.ready(ready);
            }
        }
    }

    fn turn(&mut self) {
        let now = boottime();
        if self.retry.is_some_and(|at| now >= at) {
            self.reopen(now);
        }
        if let Some(voter) = &mut self.voter {
            voter.tick(now);
            if self.lease_client.learn_membership(&voter.state().membership) {
                let membership = voter.state().membership.clone();
                self.seat(membership);
            }
        }
        let effect = self.lease_client.tick(now);
        self.carry_out(effect.into_iter().collect());
        self.work();
        if self.handle.stop.load(Relaxed) && !std::mem::replace(&mut self.stopped, true) {
            let effect = self.lease_client.stop_work(now);
            self.carry_out(effect.into_iter().collect());
        }
        self.do_jobs();
        self.work();
        self.publish();
        let stuck = |wire: &Wire| wire.blocked.is_some_and(|since| now >= since + STUCK);
        let stuck: Vec<u64> =
            self.wires.iter().filter(|(_, wire)| stuck(wire)).map(|(token, _)| *token).collect();
        stuck.into_iter().for_each(|token| self.close(token, "takes nothing"));
    }

    /// The older process of this relay may have ended.
    fn reopen(&mut self, now: Micros) {
        match Ledger::open(&self.setup.directory, &self.setup.owner()) {
            Ok(ledger) => {
                self.retry = None;
                // It has followed the fleet meanwhile: what it has is newer than what stands there.
                let policy = self.lease_client.policy().clone();
                let newer = ledger.policy().is_ok_and(|kept| kept.epoch < policy.epoch);
                if let Err(e) = if newer { ledger.adopt(&policy) } else { Ok(()) } {
                    return log(&format!("fleet: {e}; this relay does not vote"));
                }
                self.ledger = Some(ledger);
                if let Err(e) = self.take_vote() {
                    log(&format!("fleet: {e}"));
                }
            }
            Err(e) if e.held => self.retry = Some(now + HELD),
            Err(e) => {
                self.retry = None;
                log(&format!("fleet: {e}; this relay does not vote"));
            }
        }
    }

    /// Tells the decisions up to when clients may be admitted. Always before anything is said that rests on it.
    fn publish(&mut self) {
        let now = boottime();
        let until = self.until(now);
        self.decisions.lease(until);
        let admits = now < until;
        if std::mem::replace(&mut self.admits, admits) != admits {
            let epoch = self.lease_client.policy().epoch;
            let what = if admits { "clients are admitted" } else { "no lease: new clients are refused" };
            log(&format!("fleet: {what}, policy of epoch {epoch}"));
        }
        let missing = self.voter.as_ref().map(Voter::missing).unwrap_or_default();
        if missing != self.missing {
            if !missing.is_empty() {
                let names: Vec<String> = missing.iter().map(u64::to_string).collect();
                log(&format!("fleet: founders {} have not been heard yet", names.join(", ")));
            }
            self.missing = missing;
        }
        let leads = self.voter.as_ref().and_then(Voter::leads);
        let figures = &self.metrics.control;
        figures.epoch.store(self.lease_client.policy().epoch, Relaxed);
        figures.votes.store(self.voter.is_some() && self.missing.is_empty(), Relaxed);
        figures.leads.store(leads.unwrap_or(0), Relaxed);
        if figures.admits.swap(admits, Relaxed) && !admits {
            figures.stops.fetch_add(1, Relaxed);
        }
        if std::mem::replace(&mut self.leads, leads) != leads {
            match leads {
                Some(term) => log(&format!("fleet: leads in term {term}")),
                None => log("fleet: leads no more"),
            }
        }
    }

    /// Up to when clients may be admitted.
    fn until(&self, now: Micros) -> Micros {
        if self.foreign {
            0
        } else {
            self.lease_client.until(now)
        }
    }

    /// What it does for the fleet.
    fn do_jobs(&mut self) {
        let Some((worker, ground)) = &mut self.work else { return };
        let now = boottime();
        for (server, at, report) in ground.book.take() {
            worker.found(at, server.0, report);
        }
        let (decisions, paced) = (&self.decisions, self.setup.fleet.jobs.paced_moves);
        let context = WorkContext {
            columns: &ground.columns,
            listed: &|zone| ground.of_zone(zone),
            moves: &|| moving(decisions).filter(|_| paced),
        };
        let commands = worker.turn(now, &mut self.lease_client, context);
        let figures = &self.metrics.control;
        figures.works.store(true, Relaxed);
        figures.obeyed.store(worker.obeyed, Relaxed);
        figures.refused.store(worker.refused, Relaxed);
        figures.spared.store(ground.book.spared.load(Relaxed), Relaxed);
        figures.made.store(ground.book.made.load(Relaxed), Relaxed);
        // Told by name only where it has changed: a turn is short.
        let mut told = crate::sys::lock(&figures.jobs);
        if !told.iter().map(|(name, token)| (name.as_str(), *token)).eq(worker.acts_on()) {
            *told = worker.acts_on().map(|(name, token)| (name.to_string(), token)).collect();
        }
        drop(told);
        self.carry_out_deeds(commands);
    }

    fn hear_updates(&mut self, from: u64, message: Message) {
        let voter = if from == LOCAL {
            self.setup.fleet.voter
        } else {
            self.wires.get(&from).and_then(|wire| wire.voter)
        };
        let (Some(voter), Some((worker, ground))) = (voter, &mut self.work) else { return };
        let context = WorkContext { columns: &ground.columns, listed: &|_| Vec::new(), moves: &|| None };
        let now = boottime();
        let commands = match message {
            Message::Updates(updates) => worker.updates(now, voter, &self.lease_client, context, updates),
            Message::Delivery(delivery) => worker.delivery(now, voter, &self.lease_client, context, delivery),
            Message::Receipt(receipt) => {
                worker.receipt(now, voter, receipt);
                return;
            }
            _ => return,
        };
        self.carry_out_deeds(commands);
    }

    fn carry_out_deeds(&mut self, commands: Vec<WorkerCommand>) {
        for command in commands {
            match command {
                WorkerCommand::Send(voter, message) => self.tell(voter, message),
                WorkerCommand::Act(voter, message) => {
                    // The worst moment to be stopped: the lease was looked at, the order is not sent.
                    #[cfg(feature = "injected-bugs")]
                    fail::fail_point!("before-order");
                    self.tell(voter, message);
                }
                WorkerCommand::Probe(server) => {
                    if let Some((_, ground)) = &self.work {
                        ground.book.want([ServerId(server)]);
                    }
                }
                WorkerCommand::Loads(rows) => {
                    let Some((_, ground)) = &self.work else { continue };
                    ground.book.forget(boottime(), |server| ground.directory.endpoint(server).is_some());
                    ground.book.tell(rows.into_iter().map(|(server, at, row)| (ServerId(server), at, row)));
                }
                WorkerCommand::Permit(upto) => self.decisions.permit(upto),
                WorkerCommand::Log(line) => log(&line),
            }
        }
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        // A lease that has ended ends before the words that say so.
        self.decisions.lease(self.until(boottime()));
        for effect in effects {
            match effect {
                Effect::Send(voter, renew) => self.tell(voter, Message::Renew(*renew)),
                Effect::Adopt(policy) => self.adopt(&policy),
                Effect::Membership(membership) => self.seat(membership),
                Effect::Prepare(proposal) => {
                    let stored = self.ledger.as_ref().map_or(Ok(()), |ledger| ledger.prepare(&proposal));
                    if let Err(e) = stored {
                        // Unanswered, it will be given up, and the fleet keeps what it has.
                        log(&format!("fleet: a proposal cannot be stored: {e}"));
                        continue;
                    }
                    let effect = self.lease_client.prepared(boottime(), proposal);
                    self.carry_out(vec![effect]);
                }
            }
        }
    }

    /// These vote now. Stored also where its own log says so: it may vote no more when it starts again, and then its
    /// operator file may name nobody who does (seed 2147 of the virtual fleet).
    fn seat(&mut self, membership: Membership) {
        if let Some(Err(e)) = self.ledger.as_ref().map(|ledger| ledger.seat(&membership)) {
            log(&format!("fleet: the voters cannot be stored: {e}"));
        }
        self.membership = membership;
    }

    fn adopt(&mut self, policy: &Policy) {
        if let Some(Err(e)) = self.ledger.as_ref().map(|ledger| ledger.adopt(policy)) {
            // After a restart it asks for the policy before it admits anybody.
            log(&format!("fleet: the policy cannot be stored: {e}"));
        }
        let rules = match (policy.epoch, policy::read(Path::new("policy"), &policy.text)) {
            (0, _) => self.own.clone(),
            (_, Ok(rules)) => rules,
            (epoch, Err(e)) => {
                // It came up after the others had agreed. It must serve nobody: not under this policy, and not under
                // another.
                log(&format!(
                    "fleet: the policy of epoch {epoch} is not understood, clients are refused: {e}"
                ));
                self.foreign = true;
                return self.decisions.lease(0);
            }
        };
        self.foreign = false;
        self.decisions.policy(rules.cells, rules.tuning);
        log(&format!(
            "fleet: policy of epoch {} ({}) in force, by {}: {}",
            policy.epoch,
            policy::digest(&policy.text),
            policy.who,
            policy.why
        ));
    }

    /// Hands a message to a voter, which may be this process.
    fn tell(&mut self, voter: u64, message: Message) {
        if self.setup.fleet.voter == Some(voter) {
            self.inner.push_back((LOCAL, message));
            return;
        }
        let (link, dialled) = self.voters.get(&voter).copied().unwrap_or((None, 0));
        let token = match link {
            Some(token) => token,
            None if dialled > 0 && boottime() < dialled + REDIAL => return,
            None => {
                let Some(token) = self.dial(voter) else { return };
                token
            }
        };
        self.say(token, message);
    }

    fn dial(&mut self, voter: u64) -> Option<u64> {
        let addr = self.address(voter)?;
        self.voters.insert(voter, (None, boottime()));
        let socket = dial(addr).ok()?;
        let session = Session::new(true, self.setup.keys.clone(), self.setup.id(), number());
        let watched = Interest { read: false, write: true, end: false };
        let token = self.enter(Wire {
            socket,
            session,
            voter: Some(voter),
            connecting: true,
            watched,
            queue: VecDeque::new(),
            blocked: None,
        })?;
        self.voters.insert(voter, (Some(token), boottime()));
        Some(token)
    }

    /// Where a voter is reached: the operator file's word goes before the log's, for a way of this relay's own.
    fn address(&self, voter: u64) -> Option<SocketAddr> {
        let own = self.setup.fleet.voters.iter().find(|v| v.number == voter).map(|v| v.address);
        let seat =
            |membership: &Membership| membership.of.get(&voter).and_then(|seat| seat.address.parse().ok());
        own.or_else(|| seat(&self.membership)).or_else(|| seat(&self.voter.as_ref()?.state().membership))
    }

    fn enter(&mut self, wire: Wire) -> Option<u64> {
        let token = self.next;
        self.next += 1;
        self.poller.watch(&wire.socket, token, None, Some(wire.watched)).ok()?;
        self.wires.insert(token, wire);
        Some(token)
    }

    fn say(&mut self, token: u64, message: Message) {
        let Some(wire) = self.wires.get_mut(&token) else { return };
        if wire.queue.len() >= QUEUE {
            // The oldest that a later one makes needless; where there is none, the link is of no use any more.
            match wire.queue.iter().position(Message::replaceable) {
                Some(at) => drop(wire.queue.remove(at)),
                None => return self.close(token, "takes nothing"),
            }
        }
        wire.queue.push_back(message);
        self.flush(token);
    }

    fn flush(&mut self, token: u64) {
        let Some(wire) = self.wires.get_mut(&token) else { return };
        if wire.connecting {
            return;
        }
        while wire.session.ready() && wire.session.out().len() < UNSENT {
            let Some(message) = wire.queue.pop_front() else { break };
            wire.session.send(&message.encode());
        }
        let out = wire.session.out();
        let mut done = 0;
        let mut fault = false;
        while done < out.len() {
            match (&wire.socket).write(&out[done..]) {
                Ok(n) if n > 0 => done += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if timed_out(&e) => break,
                _ => {
                    fault = true;
                    break;
                }
            }
        }
        out.drain(..done);
        let waits = !out.is_empty();
        if fault {
            return self.close(token, "broke");
        }
        wire.blocked = if !waits {
            None
        } else if done > 0 {
            Some(boottime())
        } else {
            wire.blocked.or(Some(boottime()))
        };
        let wanted = Interest { read: true, write: waits, end: false };
        if wanted != wire.watched {
            let _ = self.poller.watch(&wire.socket, token, Some(wire.watched), Some(wanted));
            wire.watched = wanted;
        }
    }

    fn close(&mut self, token: u64, why: &str) {
        let Some(wire) = self.wires.remove(&token) else { return };
        if let Some(voter) = &mut self.voter {
            voter.gone(token);
        }
        if let Some((link, _)) = wire.voter.and_then(|voter| self.voters.get_mut(&voter)) {
            *link = None;
        }
        tracing::debug!(voter = ?wire.voter, why, "fleet: a link has ended");
    }

    fn ready(&mut self, Ready { token, read, write, .. }: Ready) {
        if token == LISTEN {
            return self.accept();
        }
        let Some(wire) = self.wires.get_mut(&token) else { return };
        if wire.connecting && (write || read) {
            if !matches!(wire.socket.take_error(), Ok(None)) || !write {
                return self.close(token, "could not be dialled");
            }
            wire.connecting = false;
            return self.flush(token);
        }
        if read {
            self.hear(token);
        }
        if write {
            self.flush(token);
        }
    }

    fn accept(&mut self) {
        while let Some(Ok((socket, _))) = self.listener.as_ref().map(TcpListener::accept) {
            if self.wires.len() >= LINKS || socket.set_nonblocking(true).is_err() {
                // Dropped: whoever it was dials again.
                continue;
            }
            let _ = socket.set_nodelay(true);
            let session = Session::new(false, self.setup.keys.clone(), self.setup.id(), number());
            let watched = Interest { read: true, write: false, end: false };
            let queue = VecDeque::new();
            self.enter(Wire {
                socket,
                session,
                voter: None,
                connecting: false,
                watched,
                queue,
                blocked: None,
            });
        }
    }

    fn hear(&mut self, token: u64) {
        let Some(wire) = self.wires.get_mut(&token) else { return };
        let mut piece = vec![0; PIECE];
        let n = match (&wire.socket).read(&mut piece) {
            Ok(0) => return self.close(token, "ended"),
            Ok(n) => n,
            Err(e) if timed_out(&e) || e.kind() == io::ErrorKind::Interrupted => return,
            Err(_) => return self.close(token, "broke"),
        };
        let messages = match wire.session.feed(&piece[..n]) {
            Ok(messages) => messages,
            Err(fault) => {
                let peer = wire.socket.peer_addr().map_or("a process".into(), |addr| addr.to_string());
                log(&format!("fleet: {peer} {fault}"));
                return self.close(token, "fault");
            }
        };
        for message in messages.iter().filter_map(|bytes| Message::decode(bytes)) {
            self.inner.push_back((token, message));
        }
        self.work();
        // Its hello may have come: what has waited for it goes out.
        self.flush(token);
    }

    /// Takes what has come, and does what follows, until nothing does.
    fn work(&mut self) {
        loop {
            let now = boottime();
            if let Some((from, message)) = self.inner.pop_front() {
                match (message, &mut self.voter) {
                    (Message::Founding(number, incarnation), Some(voter)) => {
                        voter.founder(now, from, number, incarnation);
                    }
                    (Message::Gone(number, incarnation), Some(voter))
                        if number == voter.id() && incarnation == voter.incarnation() =>
                    {
                        let remedy = "another under a new number may take its place";
                        self.end_vote(&format!("this voter was removed, or its ledger made anew: {remedy}"));
                    }
                    (Message::Log(incarnation, bytes), Some(voter)) => {
                        if let Err(damaged) = voter.step(now, from, incarnation, &bytes) {
                            let remedy =
                                "its disk must be replaced, and a voter of a new number take its place";
                            self.give_up_vote(&format!("the ledger: {}: {remedy}", damaged.0));
                        }
                    }
                    (Message::Renew(renew), Some(voter)) => voter.renew(now, from, renew),
                    (Message::Ask(number, ask), Some(voter)) => voter.ask(now, from, number, ask),
                    (Message::Subscribe(subscribe), Some(voter)) => voter.subscribe(now, from, subscribe),
                    (Message::Publish(publish), Some(voter)) => voter.publish(now, from, publish),
                    (Message::Poll(poll), Some(voter)) => voter.poll(now, from, poll),
                    (Message::Submission(submission), Some(voter)) => voter.submit(now, from, submission),
                    (message @ (Message::Updates(_) | Message::Delivery(_) | Message::Receipt(_)), _) => {
                        self.hear_updates(from, message)
                    }
                    (Message::Stale(job, token), _) => {
                        if let Some((worker, _)) = &mut self.work {
                            log(&format!("fleet: {job} has token {token} by now: it acts on it no more"));
                            worker.stale(now, &mut self.lease_client, &job, token);
                        }
                    }
                    (Message::Answer(_, Answer::Token(job, token)), _) => {
                        if let Some((worker, _)) = &mut self.work {
                            worker.known(&job, token);
                        }
                    }
                    (Message::Reply(reply), _) => {
                        let check = |text: &str| {
                            policy::read(Path::new("policy"), text).map(drop).map_err(|e| e.to_string())
                        };
                        let effects = self.lease_client.heard(now, reply, check);
                        self.carry_out(effects);
                        self.publish();
                    }
                    _ => {}
                }
                continue;
            }
            let Some(voter) = &mut self.voter else { return };
            let work = voter.work(now);
            if let Some(why) = voter.ended() {
                return self.end_vote(why.0);
            }
            if work.is_empty() {
                return;
            }
            #[cfg(feature = "injected-bugs")]
            let skip = injected().is(jaspermoor_control::InjectedBug::SkipStore);
            #[cfg(not(feature = "injected-bugs"))]
            let skip = false;
            if !work.store.is_empty() && !skip {
                if let Some(Err(e)) = self.ledger.as_ref().map(|ledger| ledger.store(&work.store)) {
                    return self.give_up_vote(&e.to_string());
                }
            }
            for (to, message) in work.to_voters {
                self.tell(to, message);
            }
            for (to, message) in work.answers {
                if to == LOCAL {
                    self.inner.push_back((LOCAL, message));
                } else {
                    self.say(to, message);
                }
            }
        }
    }

    /// What it cannot store it must not say: it votes no more, and serves on.
    fn give_up_vote(&mut self, e: &str) {
        log(&format!("fleet: {e}"));
        self.ledger = None;
        self.end_vote("its ledger is of no use");
    }

    /// It votes no more, and serves on like any relay that never did.
    fn end_vote(&mut self, why: &str) {
        log(&format!("fleet: {why}; {} does not vote", self.name));
        self.voter = None;
        if let Some(listener) = self.listener.take() {
            let _ = self.poller.watch(
                &listener,
                LISTEN,
                Some(Interest { read: true, write: false, end: false }),
                None,
            );
        }
    }
}

const SECOND: Micros = crate::api::SECOND;

/// How the fleet's moves are here, and how many a second there may be in the whole fleet.
fn moving(decisions: &Decisions) -> Option<(Moving, u64)> {
    let (waiting, made, permitted, rate) = decisions.moving()?;
    Some((Moving { waiting, made, permitted }, rate))
}

fn listen(voter: &FleetVoter) -> Result<TcpListener, String> {
    let addr = voter.listen.unwrap_or(voter.address);
    let open = || -> io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())?;
        socket.listen(128)?;
        socket.set_nonblocking(true)?;
        Ok(socket.into())
    };
    open().map_err(|e| format!("fleet.voters: cannot listen on {addr}: {e}"))
}

/// The fault that a test has injected in this process.
#[cfg(feature = "injected-bugs")]
fn injected() -> jaspermoor_control::InjectedBugs {
    let name = std::env::var("JASPERMOOR_INJECTED_BUG").unwrap_or_default();
    jaspermoor_control::InjectedBugs(jaspermoor_control::InjectedBug::named(&name))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::Settings;
    use crate::decide::Orders;
    use crossbeam_channel::bounded;

    fn setup(dir: &Path, jobs: operator::Jobs) -> Setup {
        let voter = FleetVoter { number: 1, address: ([127, 0, 0, 1], 1).into(), listen: None };
        let fleet = operator::Fleet {
            id: "f".into(),
            directory: dir.into(),
            keys: PathBuf::new(),
            voter: None,
            voters: vec![voter],
            alone: operator::Alone::Serve,
            lease_ms: 2_000,
            patience_ms: 10_000,
            jobs,
        };
        Setup { fleet, keys: vec![vec![7; KEY_LEAST]], directory: dir.into() }
    }

    /// One whose settings allow no probes, and that wants the load watch only, once could do jobs of every kind.
    #[test]
    fn a_relay_takes_the_jobs_that_its_file_and_settings_let_it_do_and_no_others() {
        let dir = tempfile::tempdir().unwrap();
        let kinds = |load_watch, paced_moves, probes| {
            let jobs = operator::Jobs { load_watch, paced_moves };
            let (watch, (probe, _)) = (Box::new(|_| ()), bounded(1));
            let decisions = Decisions::new(Settings::default(), 1, Vec::new(), Orders { watch, probe });
            let mut fleet = Fleet::open(setup(dir.path(), jobs), "n1", Rules::default(), decisions).unwrap();
            let (zones, columns) = (vec!["a".into(), "b".repeat(90)], vec!["x0".into()]);
            let (directory, book) = (Arc::default(), Arc::default());
            fleet.work_with(Ground { directory, zones, columns, zone: 0, probes, book });
            let mut renew = jaspermoor_control::wire::message::Renew::default();
            fleet.lease_client.owner()?.fill(&mut renew);
            Some((renew.skills.kinds.join(" "), renew.skills.opens.join(" ")))
        };
        let some = |kinds: &str, opens: &str| Some((kinds.to_string(), opens.to_string()));
        assert_eq!(kinds(false, false, true), None);
        assert_eq!(kinds(true, false, false), None, "it may not probe");
        assert_eq!(kinds(true, false, true), some("load", "load/a"), "the other zone's name is too long");
        assert_eq!(kinds(true, true, false), some("moves", "moves"));
        assert_eq!(kinds(true, true, true), some("load moves", "load/a moves"));
    }

    /// A relay of an older build comes back to a policy that it does not know: it once logged that it refuses clients,
    /// and served them under its own rules.
    #[test]
    fn nobody_is_admitted_under_a_policy_that_this_build_does_not_understand() {
        let dir = tempfile::tempdir().unwrap();
        let setup = setup(dir.path(), operator::Jobs::default());
        let (watch, (probe, _)) = (Box::new(|_| ()), bounded(1));
        let decisions = Decisions::new(Settings::default(), 1, Vec::new(), Orders { watch, probe });
        let open = || Fleet::open(setup.clone(), "n1", Rules::default(), decisions.clone()).unwrap();
        let policy = |epoch, text: &str| Policy { epoch, text: text.into(), ..Policy::default() };
        let mut fleet = open();
        assert!(decisions.admits());
        fleet.adopt(&policy(1, "[of_a_later_build]"));
        fleet.publish();
        assert!(!decisions.admits());
        // Nor after a restart, with that policy on its disk.
        drop(fleet);
        let mut fleet = open();
        assert!(!decisions.admits());
        fleet.adopt(&policy(2, "[parameters]\nepsilon = 1.5"));
        fleet.publish();
        assert!(decisions.admits());
    }
}
