//! A fleet in one process: the code that serves, on a network, disks and clocks that a seed decides. A play is the same
//! each time, so a seed is all that is needed to see a broken rule again.
//!
//! What can happen: messages that are lost, late, doubled, or held back and let go much later; links cut one way or both;
//! processes that are killed and come back with what their disk has, or are stopped for longer than a lease and go on as
//! if nothing had been; clocks that differ by as much as is allowed.

use super::figures::{Ages, Traffic};
use super::history::{Broken, Fact, Line, Moment};
use jaspermoor_control::broadcast::subscriber::Subscriber;
use jaspermoor_control::jobs::assignment::JobChange;
use jaspermoor_control::jobs::fence::{Fence, FenceDecision};
use jaspermoor_control::jobs::moves::MigrationStatus;
use jaspermoor_control::jobs::owner::JobOwner;
use jaspermoor_control::jobs::worker::{WorkContext, Worker, WorkerCommand};
use jaspermoor_control::lease::client::{LeaderlessMode, LeaseAction, LeaseClient};
use jaspermoor_control::log::membership::{Membership, MembershipChange};
use jaspermoor_control::log::state::{Policy, Proposal, ProposalId};
use jaspermoor_control::log::storage::{PersistBatch, PersistedLog, RaftLog};
use jaspermoor_control::log::voter::Voter;
use jaspermoor_control::wire::message::{
    job_kind, Delivery, JobCapabilities, Message, OperatorRequest, OperatorResponse, RelayId,
    Updates,
};
use jaspermoor_control::{FleetTiming, InjectedBug, InjectedBugs, Micros};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// The tick at which processes look at their time and clients request, in microseconds.
const TICK: Moment = 10_000;
/// Operators look so often how far the replacement of a voter is.
const OPERATORS_LOOK: Moment = 300_000;
/// Number of questions of receivers of orders.
const RECEIVERS: u64 = 2;
/// The sender that stands for operators.
const OPERATORS: usize = usize::MAX;

/// What a play is made of.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    /// Decides all that happens.
    pub seed: u64,
    /// Voters, and relays beside them.
    pub voters: usize,
    /// See `voters`.
    pub observers: usize,
    /// How long faults go on; then all is mended, and the fleet must come together.
    pub length: Moment,
    /// How long the play goes on after that.
    pub rest: Moment,
    /// Jobs that the fleet has owners for.
    pub jobs: usize,
    /// Zones whose backends' loads are watched, one job each, and backends of each.
    pub zones: usize,
    /// See `zones`.
    pub backends: usize,
    /// Every so many-th process is of a build that knows no deliveries; zero for none.
    pub older: usize,
    /// Processes are stopped and started again one after the other, voters first, from 15 s on.
    pub rolling: bool,
    /// In place of drawn faults: the owner of a job is killed at 20 s, that of another is stopped at 35 s for 8 s, and
    /// operators hand a third over at 50 s.
    pub owners_fail: bool,
    /// A fault in the program.
    pub bug: Option<InjectedBug>,
    /// Whether faults happen at all: without, what is seen is what the fleet costs.
    pub faults: bool,
}

impl Default for Play {
    fn default() -> Play {
        Play {
            seed: 1,
            voters: 3,
            observers: 3,
            length: 40_000_000,
            rest: 30_000_000,
            jobs: 6,
            zones: 1,
            backends: 6,
            older: 0,
            rolling: false,
            owners_fail: false,
            bug: None,
            faults: true,
        }
    }
}

/// What a play showed.
#[derive(Debug, Default)]
pub struct Seen {
    /// Rules that did not hold.
    pub broken: Vec<Broken>,
    /// The last epoch in force.
    pub epoch: u64,
    /// Proposals that were told to be in force, refused, and given up.
    pub outcomes: [usize; 3],
    /// Faults.
    pub faults: usize,
    /// Everything, in the order of time.
    pub history: Vec<Line>,
    /// Time from each proposal that came into force to when the last relay had it, in microseconds.
    pub took: Vec<Moment>,
    /// Orders that were obeyed, and refused by a fence; checkpoints in the log; times that a job changed hands.
    pub orders: [usize; 2],
    /// See `orders`.
    pub checkpoints: u64,
    /// See `orders`.
    pub hands: usize,
    /// Moves that all relays made.
    pub moves: u64,
    /// Reports of the load watch that relays took.
    pub words: usize,
    /// Of the three jobs whose owners fail: how long nobody could act on each, in microseconds.
    pub ownerless: [Moment; 3],
    /// What processes have sent to others, voters first, and how long that took.
    pub traffic: Traffic,
    /// See `traffic`.
    pub length: Moment,
    /// How old the load of a backend was that relays knew, looked at again and again from the tenth second on.
    pub ages: Ages,
    /// The same, of the relay's own zone.
    pub ages_near: Ages,
}

struct Process {
    name: String,
    voter: Option<Voter>,
    lease_client: Option<LeaseClient>,
    /// What its disk has: a log where it is a voter, and the disk's incarnation.
    kept: PersistedLog,
    incarnation: u64,
    /// The voters that it knows.
    membership: Membership,
    /// Its voter's disk was lost and made anew by mistake, as if it were new: it may find that out itself.
    reborn: bool,
    /// What it knows as a receiver of orders. Relays with an even number keep it through a restart.
    fence: Fence,
    /// Orders that it asks about before it obeys or refuses them.
    doubts: Vec<Order>,
    /// What it does for the fleet as a relay does it, and its connections that wait to be moved.
    worker: Option<Worker>,
    moving: MigrationStatus,
    /// The version of each table, by job and token, that it has had.
    versions: BTreeMap<(String, u64), u64>,
    /// When each backend's load that it knows was true, by the true time.
    loads: BTreeMap<u64, Moment>,
    policy: Policy,
    /// What it has not stored, though it should have: lost in a crash.
    unstored: Vec<PersistBatch>,
    starts: u64,
    /// Stopped up to then; what comes meanwhile waits.
    stopped_until: Moment,
    inbox: Vec<(usize, Message)>,
    /// Its clock: where it stood at the begin, and its rate in millionths.
    clock: (Micros, u64),
    wakes: Moment,
}

/// Jobs that are done as relays do them are of these kinds; with the others owners act at random.
const DONE: [&str; 2] = ["load", "moves"];
/// How often a backend says another load than to the probe before.
const CHANGES: f64 = 0.4;
/// Tables of about so many relays are compared with their owners'.
const CHECKED: usize = 60;
/// The ages of what relays know are looked at so often.
const LOOK_AT_AGES: Moment = 230_000;
/// A rolling restart: it begins then, a process is away so long, and the next follows so long after the one before.
const ROLLING_FROM: Moment = 12_000_000;
/// See above.
const ROLLING_AWAY: Moment = 700_000;
/// Moves a second that the policy allows all relays together.
const MOVES: u64 = 20;

/// What an owner tells a receiver.
#[derive(Clone, Debug)]
struct Order {
    from: usize,
    job: String,
    token: u64,
}

/// What a voter has told a relay.
enum Heard {
    Updates(u64, Updates),
    Delivery(u64, Delivery),
}

enum Event {
    Tick(usize),
    /// An order comes to a receiver.
    Order(usize, Order),
    /// A receiver's refusal comes back.
    Stale(usize, String, u64),
    Arrives(usize, usize, Box<Message>),
    Fault,
    Start(usize),
    Propose,
    /// The ages of what relays know are looked at.
    Ages,
    /// That process is stopped and started again, in a rolling restart.
    Restart(usize),
    /// Operators have jobs opened, and take one back from its owner now and then.
    Jobs,
    /// The owner of that job fails.
    OwnerFails(usize),
    /// Whether anybody may act on the jobs whose owners fail is looked at.
    Look,
    /// Operators look after the replacement of a voter that is under way.
    Operators,
    Mend,
    /// Operators look for relays that cannot find their fleet.
    Find,
}

#[derive(Clone, Copy, Default)]
struct Cut {
    until: Moment,
    /// Whether what is sent meanwhile comes when the link is back, and is not lost.
    holds: bool,
}

struct World {
    play: Play,
    times: FleetTiming,
    rng: ChaCha8Rng,
    now: Moment,
    order: u64,
    events: BinaryHeap<Reverse<(Moment, u64)>>,
    what: BTreeMap<u64, Event>,
    processes: Vec<Process>,
    cuts: BTreeMap<(usize, usize), Cut>,
    /// Loss in thousandths and the longest delay, fleet-wide, up to then.
    network: (u32, Moment, Moment),
    /// The process that takes the place of another among the voters.
    replaced: Option<(usize, usize)>,
    /// The lowest process that can take one: a number is given once.
    free: usize,
    proposals: Vec<ProposalId>,
    seen: Seen,
    admitted: BTreeMap<usize, u64>,
    /// When each text was proposed, and when the last relay took it.
    texts: BTreeMap<String, (Moment, Moment)>,
    leads: BTreeMap<u64, u64>,
    /// Moves that all relays have made.
    moves: u64,
    /// When each backend said each of its loads last.
    said: BTreeMap<u64, Vec<Moment>>,
    /// What owners' tables had at each version, by job and token.
    tables: BTreeMap<(String, u64), BTreeMap<u64, u64>>,
}

/// The backends of a zone, by its name.
fn backends(zone: &str, zones: usize, per_zone: usize) -> Vec<u64> {
    let zone = zone
        .strip_prefix('z')
        .and_then(|number| number.parse::<usize>().ok());
    let of = |zone: usize| (zone * per_zone) as u64..((zone + 1) * per_zone) as u64;
    zone.filter(|zone| *zone < zones)
        .map(of)
        .into_iter()
        .flatten()
        .collect()
}

/// Applies what is stored to a disk, as the relay's own store does.
fn store(kept: &mut PersistedLog, stored: PersistBatch) {
    let index = |bytes: &Vec<u8>| entry_index(bytes);
    if let Some(vote) = stored.hard_state {
        kept.hard_state = Some(vote);
    }
    if let Some(snapshot) = stored.snapshot {
        kept.snapshot = Some(snapshot);
        match stored.compact_to {
            Some(to) => kept.entries.retain(|e| index(e) > to),
            None => kept.entries.clear(),
        }
    }
    if let Some((first, _)) = stored.entries.first() {
        kept.entries.retain(|e| index(e) < *first);
        kept.entries
            .extend(stored.entries.into_iter().map(|(_, bytes)| bytes));
    }
}

fn entry_index(bytes: &[u8]) -> u64 {
    use protobuf::Message as _;
    raft::eraftpb::Entry::parse_from_bytes(bytes).map_or(0, |e| e.index)
}

/// Plays it.
pub fn run(play: Play) -> Seen {
    let mut world = World::new(play);
    world.begin();
    while let Some(Reverse((at, order))) = world.events.pop() {
        if at > play.length + play.rest {
            break;
        }
        world.now = at;
        if let Some(event) = world.what.remove(&order) {
            world.happen(event);
        }
    }
    world.end()
}

impl World {
    fn new(play: Play) -> World {
        World {
            play,
            times: FleetTiming {
                proposal_timeout: 4_000_000,
                ..FleetTiming::default()
            },
            rng: ChaCha8Rng::seed_from_u64(play.seed),
            now: 0,
            order: 0,
            events: BinaryHeap::new(),
            what: BTreeMap::new(),
            processes: Vec::new(),
            cuts: BTreeMap::new(),
            network: (0, 0, 0),
            replaced: None,
            free: play.voters,
            proposals: Vec::new(),
            seen: Seen::default(),
            admitted: BTreeMap::new(),
            texts: BTreeMap::new(),
            leads: BTreeMap::new(),
            moves: 0,
            said: BTreeMap::new(),
            tables: BTreeMap::new(),
        }
    }

    fn later(&mut self, at: Moment, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order)));
        self.what.insert(self.order, event);
    }

    fn write(&mut self, fact: Fact) {
        self.seen.history.push(Line { at: self.now, fact });
    }

    fn local(&self, n: usize) -> Micros {
        let (offset, rate) = self.processes[n].clock;
        offset + self.now / 1_000 * rate / 1_000
    }

    fn begin(&mut self) {
        let ids: Vec<u64> = (1..=self.play.voters as u64).collect();
        // Half of the allowed drift to either side of the true time.
        let half = self.times.clock_drift_per_mille * 1_000 / 2;
        for n in 0..self.play.voters + self.play.observers {
            let mut kept = PersistedLog::default();
            if n < self.play.voters {
                store(&mut kept, RaftLog::for_new_fleet(&ids).persist_all());
            }
            let clock = (
                self.rng.random_range(0..1 << 40),
                self.rng.random_range(1_000_000 - half..=1_000_000 + half),
            );
            self.processes.push(Process {
                name: format!("n{n}"),
                voter: None,
                lease_client: None,
                kept,
                incarnation: 1_000 + n as u64,
                membership: Membership::default(),
                reborn: false,
                fence: Fence::with_injected(InjectedBugs(self.play.bug)),
                doubts: Vec::new(),
                worker: None,
                moving: MigrationStatus {
                    waiting: 200,
                    ..MigrationStatus::default()
                },
                versions: BTreeMap::new(),
                loads: BTreeMap::new(),
                policy: Policy::default(),
                unstored: Vec::new(),
                starts: 0,
                stopped_until: 0,
                inbox: Vec::new(),
                clock,
                wakes: 0,
            });
            self.later(0, Event::Start(n));
        }
        let mut at = 3_000_000;
        while self.play.faults && at < self.play.length {
            self.later(at, Event::Fault);
            at += self.rng.random_range(200_000..2_500_000);
        }
        if self.play.jobs > 0 {
            self.later(1_500_000, Event::Jobs);
        }
        if self.play.owners_fail {
            (0..3).for_each(|n| {
                self.later(20_000_000 + n * 15_000_000, Event::OwnerFails(n as usize))
            });
            self.later(20_000_000, Event::Look);
        }
        let mut at = 2_000_000;
        while at < self.play.length + 10_000_000 {
            self.later(at, Event::Propose);
            at += self.rng.random_range(300_000..4_000_000);
        }
        self.later(self.play.length, Event::Mend);
        self.later(10_000_000, Event::Ages);
        if self.play.rolling {
            // All of them within what is left of the play, voters first, and those slowly.
            let (voters, all) = (self.play.voters as u64, self.processes.len() as u64);
            let (slow, begin) = (3_000_000, ROLLING_FROM + voters * 3_000_000);
            let rest = self.play.length.saturating_sub(begin) / all.max(1);
            for n in 0..all {
                let at = if n < voters {
                    ROLLING_FROM + n * slow
                } else {
                    begin + (n - voters) * rest
                };
                self.later(at, Event::Restart(n as usize));
            }
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick(n) => self.tick(n),
            Event::Order(to, order) => self.order(to, order),
            Event::Stale(to, job, token) => self.stale(to, &job, token),
            Event::Arrives(to, from, message) => self.arrives(to, from, *message),
            Event::Fault => self.fault(),
            Event::Start(n) => self.start(n),
            Event::Propose => self.propose(),
            Event::Ages => self.look_at_ages(),
            Event::Restart(n) => {
                self.kill(n);
                self.later(self.now + ROLLING_AWAY, Event::Start(n));
            }
            Event::Operators => self.operators(),
            Event::Jobs => self.staff_jobs(),
            Event::OwnerFails(n) => self.owner_fails(n),
            Event::Look => {
                for n in 0..3 {
                    if self.owners(&format!("job-{n}")).is_empty()
                        && self.now >= 20_000_000 + n as u64 * 15_000_000
                    {
                        self.seen.ownerless[n] += TICK;
                    }
                }
                self.later(self.now + TICK, Event::Look);
            }
            Event::Find => self.find(),
            Event::Mend => {
                self.cuts.clear();
                self.network = (0, 0, 0);
                self.write(Fact::Fault {
                    text: "all is mended".into(),
                });
                for n in 0..self.processes.len() {
                    self.processes[n].stopped_until = self.processes[n].stopped_until.min(self.now);
                }
                self.find();
            }
        }
    }

    fn with_injected(&self) -> InjectedBugs {
        InjectedBugs(self.play.bug)
    }

    fn start(&mut self, n: usize) {
        if self.processes[n].lease_client.is_some() {
            return;
        }
        let (local, injected, times) = (self.local(n), self.with_injected(), self.times);
        if let Some(membership) = self.strange(n) {
            self.processes[n].membership = membership;
        }
        let voters: Vec<u64> = (1..=self.play.voters as u64).collect();
        let opens = if self.play.jobs > 0 {
            self.done().collect()
        } else {
            Vec::new()
        };
        let (zones, is_older) = (self.play.zones, self.is_older(n));
        let p = &mut self.processes[n];
        p.starts += 1;
        // As long as a number that is drawn.
        let start = p.starts.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let relay = RelayId {
            name: p.name.clone(),
            incarnation: start,
        };
        let mut lease_client = LeaseClient::new(
            relay,
            voters,
            p.policy.clone(),
            times,
            LeaderlessMode::Reject,
        )
        .with_injected(injected, local);
        lease_client.learn_membership(&p.membership);
        let zone = format!("z{}", n % zones.max(1));
        let skills = JobCapabilities {
            expected_jobs: opens,
            zone: zone.clone(),
            ..JobCapabilities::default()
        };
        lease_client.set_job_owner(JobOwner::with_injected(injected).with_capabilities(skills));
        let subscriber = Subscriber::new(lease_client.relay().clone()).in_zone(&zone);
        let subscriber = if is_older {
            subscriber.with_full_updates()
        } else {
            subscriber
        };
        p.worker = Some(Worker::new(subscriber).with_injected(injected));
        // Counted since the start of each process.
        p.moving = MigrationStatus {
            waiting: p.moving.waiting,
            ..MigrationStatus::default()
        };
        p.lease_client = Some(lease_client);
        // A disk without a log is that of a relay that has no vote, or was lost.
        if p.kept.snapshot.is_some() {
            match Voter::new(n as u64 + 1, p.incarnation, &p.kept, times, local) {
                Ok(voter) if voter.fatal_error().is_some() => {}
                Ok(voter) => {
                    let voter = voter.with_injected(injected);
                    p.voter = Some(if is_older {
                        voter.of_older_build()
                    } else {
                        voter
                    });
                }
                Err(damaged) => {
                    let text = format!("n{n} cannot start: {damaged:?}");
                    self.seen.broken.push(Broken {
                        rule: "a voter starts with what it stored",
                        at: self.now,
                        text,
                    });
                }
            }
        }
        self.processes[n].wakes += 1;
        self.later(self.now, Event::Tick(n));
    }

    /// The voters, where a process knows none of them any more: each was replaced while it was away. It cannot find its
    /// fleet before operators have put one into its operator file, as the pages ask for, and have started it again.
    fn strange(&self, n: usize) -> Option<Membership> {
        let p = &self.processes[n];
        let now = &self.leader()?.state().membership;
        let known: Vec<u64> = match p.membership.version {
            0 => (1..=self.play.voters as u64).collect(),
            _ => p.membership.voters().collect(),
        };
        let known = known
            .iter()
            .any(|number| now.voters().any(|voter| voter == *number));
        (!known && now.version > p.membership.version).then(|| now.clone())
    }

    /// Operators start those anew that cannot find their fleet. They cannot tell while nobody leads, and look again then: seed
    /// 5331 was mended in the middle of an election, and its operators never looked a second time.
    fn find(&mut self) {
        if self.leader().is_none() {
            return self.later(self.now + OPERATORS_LOOK, Event::Find);
        }
        for n in 0..self.processes.len() {
            if self.strange(n).is_some() {
                self.kill(n);
                self.later(self.now, Event::Start(n));
            }
        }
    }

    fn kill(&mut self, n: usize) {
        let injected = self.with_injected();
        let p = &mut self.processes[n];
        (p.voter, p.lease_client, p.worker) = (None, None, None);
        p.loads.clear();
        p.versions.clear();
        p.inbox.clear();
        p.unstored.clear();
        p.doubts.clear();
        p.stopped_until = 0;
        if n % 2 == 1 {
            p.fence = Fence::with_injected(injected);
        }
    }

    fn tick(&mut self, n: usize) {
        if self.processes[n].lease_client.is_none() {
            return;
        }
        if self.now < self.processes[n].stopped_until {
            let at = self.processes[n].stopped_until;
            return self.later(at, Event::Tick(n));
        }
        // A client may request before what waited in the sockets is read: after a stop the lease is all that counts.
        self.request(n);
        for (from, message) in std::mem::take(&mut self.processes[n].inbox) {
            self.take(n, from, message);
        }
        let local = self.local(n);
        if let Some(voter) = &mut self.processes[n].voter {
            voter.tick(local);
            let membership = voter.state().membership.clone();
            let p = &mut self.processes[n];
            if p.lease_client
                .as_mut()
                .is_some_and(|lease_client| lease_client.learn_membership(&membership))
            {
                p.membership = membership;
            }
        }
        self.work(n);
        let effect = self.processes[n]
            .lease_client
            .as_mut()
            .and_then(|lease_client| lease_client.tick(local));
        self.carry_out(n, effect.into_iter().collect());
        self.request(n);
        self.act(n);
        self.do_jobs(n, None);
        self.work(n);
        self.ask_doubts(n);
        self.later(self.now + TICK, Event::Tick(n));
    }

    /// What a relay does for the fleet; or what it does with updates of a voter.
    fn do_jobs(&mut self, n: usize, heard: Option<Heard>) {
        let local = self.local(n);
        let (zones, per_zone) = (self.play.zones, self.play.backends);
        let p = &mut self.processes[n];
        let (Some(worker), Some(lease_client)) = (&mut p.worker, &mut p.lease_client) else {
            return;
        };
        let moving = p.moving;
        let context = WorkContext {
            report_columns: &["x0".to_string(), "active".to_string()],
            endpoints_in_zone: &|zone| backends(zone, zones, per_zone),
            migration_status: &|| Some((moving, MOVES)),
        };
        let commands = match heard {
            Some(Heard::Updates(voter, updates)) => {
                worker.handle_updates(local, voter, lease_client, context, updates)
            }
            Some(Heard::Delivery(voter, delivery)) => {
                worker.handle_delivery(local, voter, lease_client, context, delivery)
            }
            None => worker.tick(local, lease_client, context),
        };
        for (job, token) in worker.active_jobs() {
            if let Some(table) = worker.table(job) {
                let of = self.tables.entry((job.into(), token)).or_default();
                of.entry(table.version()).or_insert_with(|| table.digest());
            }
        }
        let acts: Vec<(String, u64)> = worker
            .active_jobs()
            .map(|(name, token)| (name.into(), token))
            .collect();
        if commands
            .iter()
            .any(|command| matches!(command, WorkerCommand::SendAsOwner(..)))
        {
            for (job, token) in acts
                .iter()
                .filter(|(name, _)| DONE.contains(&job_kind(name)))
            {
                self.write(Fact::Acted {
                    relay: format!("n{n}"),
                    job: job.clone(),
                    token: *token,
                });
            }
        }
        for command in commands {
            match command {
                WorkerCommand::Send(voter, message)
                | WorkerCommand::SendAsOwner(voter, message) => {
                    self.send(n, voter as usize - 1, message);
                }
                WorkerCommand::CheckHealth(server) => {
                    let report = self.rng.random_bool(0.9).then(|| self.probe(server));
                    self.processes[n]
                        .worker
                        .iter_mut()
                        .for_each(|w| w.health_checked(local, server, report.clone()));
                }
                WorkerCommand::LoadReports(rows) => rows
                    .iter()
                    .for_each(|load| self.word(n, load.endpoint, load.seen_at, &load.values)),
                WorkerCommand::PermitMigrations(upto) => {
                    let moving = &mut self.processes[n].moving;
                    moving.permitted = moving.permitted.max(upto);
                }
                WorkerCommand::Log(line) => {
                    if let Some((job, token)) = super::history::obeyed(&line) {
                        self.write(Fact::Obeyed {
                            receiver: format!("n{n}/{}", self.processes[n].starts),
                            job,
                            token,
                        });
                    }
                }
            }
        }
        let moving = &mut self.processes[n].moving;
        while moving.waiting > 0 && moving.completed < moving.permitted {
            (moving.waiting, moving.completed, self.moves) =
                (moving.waiting - 1, moving.completed + 1, self.moves + 1);
        }
        let most = MOVES * (self.now / 1_000_000 + 2) * 102 / 100;
        if self.moves > most {
            let text = format!("{} moves by all relays, at {MOVES} a second", self.moves);
            self.seen.broken.push(Broken {
                rule: "paced",
                at: self.now,
                text,
            });
        }
    }

    /// A relay has taken changes of these tables: each is what its owner had at that version, and no older than the one
    /// before.
    fn check_tables(&mut self, n: usize, jobs: &[String]) {
        if !n.is_multiple_of(1 + self.processes.len() / CHECKED) {
            return;
        }
        let p = &mut self.processes[n];
        for job in jobs {
            let Some(table) = p
                .worker
                .as_ref()
                .and_then(|worker| worker.received_table(job))
            else {
                continue;
            };
            let (token, version) = (table.token(), table.version());
            let before = p
                .versions
                .insert((job.clone(), token), version)
                .unwrap_or(0);
            if version < before {
                let text = format!(
                    "n{n} had version {before} of {job} under token {token}, then {version}"
                );
                self.seen.broken.push(Broken {
                    rule: "versions only grow",
                    at: self.now,
                    text,
                });
            }
            let owners = self
                .tables
                .get(&(job.clone(), token))
                .and_then(|of| of.get(&version));
            if owners != Some(&table.digest()) {
                let text = format!(
                    "n{n} has another table of {job} at version {version} under token {token}"
                );
                self.seen.broken.push(Broken {
                    rule: "tables are their owners'",
                    at: self.now,
                    text,
                });
            }
        }
    }

    /// A backend says its load. What it says changes from time to time, and each is said by its number.
    fn probe(&mut self, server: u64) -> Vec<f32> {
        let changes = self.rng.random_bool(CHANGES);
        let said = self.said.entry(server).or_default();
        if said.is_empty() || changes {
            said.push(self.now);
        }
        let number = said.len() - 1;
        said[number] = self.now;
        [number / 32 % 32, number % 32]
            .map(|digit| (digit as f32 + 0.5) / 20.0)
            .to_vec()
    }

    /// A word of the load watch: it is no younger than the last time that its backend said so, whatever clocks and links
    /// do.
    fn word(&mut self, n: usize, server: u64, at: Micros, row: &[f32]) {
        self.seen.words += 1;
        let [high, low] = row else { return };
        let digit = |value: &f32| (*value * 20.0) as usize;
        let number = digit(high) * 32 + digit(low);
        // The latest that is written so.
        let said = self.said.get(&server).map_or(&[][..], |said| said);
        let numbers = (0..said.len()).rev().filter(|of| of % 1_024 == number);
        let Some(truth) = numbers.map(|of| said[of]).next() else {
            let text = format!("n{n} took a load of backend {server} that it never had");
            return self.seen.broken.push(Broken {
                rule: "no word is made up",
                at: self.now,
                text,
            });
        };
        self.processes[n]
            .loads
            .entry(server)
            .and_modify(|of| *of = truth.max(*of))
            .or_insert(truth);
        let (offset, rate) = self.processes[n].clock;
        let here = offset + truth / 1_000 * rate / 1_000;
        // Clocks go in milliseconds here, and five readings of them are in a word's age; the rest is what they drift.
        let slack = 6_000 + (self.now - truth) * self.times.clock_drift_per_mille / 1_000;
        if at > here + slack {
            let text = format!(
                "n{n} took a report of {truth} us for one that is {} us younger",
                at - here
            );
            self.seen.broken.push(Broken {
                rule: "no word is younger than it is",
                at: self.now,
                text,
            });
        }
    }

    /// How old the loads are that some relays know.
    fn look_at_ages(&mut self) {
        self.later(self.now + LOOK_AT_AGES, Event::Ages);
        let per_zone = self.play.backends as u64;
        for n in (0..self.processes.len()).step_by(1 + self.processes.len() / 50) {
            let p = &self.processes[n];
            if p.lease_client.is_none() || self.now < p.stopped_until {
                continue;
            }
            for (server, at) in &p.loads {
                let age = self.now - at;
                self.seen.ages.add(age);
                if server / per_zone == (n % self.play.zones) as u64 {
                    self.seen.ages_near.add(age);
                }
            }
        }
    }

    /// Whether that process is of a build that knows no deliveries. It is so through all its starts.
    fn is_older(&self, n: usize) -> bool {
        self.play.older > 0 && n % self.play.older == 1 % self.play.older
    }

    /// The names of the jobs that are done as relays do them.
    fn done(&self) -> impl Iterator<Item = String> {
        (0..self.play.zones)
            .map(|zone| format!("load/z{zone}"))
            .chain(["moves".to_string()])
    }

    /// An owner acts: it sends an order, says how far it is, or gives a job up.
    fn act(&mut self, n: usize) {
        let (local, all) = (self.local(n), self.processes.len());
        let Some(owner) = self.processes[n]
            .lease_client
            .as_mut()
            .and_then(LeaseClient::owner_mut)
        else {
            return;
        };
        let names = owner.names().filter(|name| !DONE.contains(&job_kind(name)));
        let names: Vec<String> = names.map(String::from).collect();
        for job in names {
            // Some hundred orders a job and play.
            if self.rng.random_range(0..20) > 0 {
                continue;
            }
            let (to, whim) = (self.rng.random_range(0..all), self.rng.random_range(0..400));
            let Some(owner) = self.processes[n]
                .lease_client
                .as_mut()
                .and_then(LeaseClient::owner_mut)
            else {
                return;
            };
            let Some(token) = owner.may_act(local, &job).map(|own| own.token) else {
                continue;
            };
            match whim {
                // Not near the end, where each job must have its owner.
                0 if self.now < self.play.length => owner.relinquish(&job, "it is of no use"),
                1..40 => drop(owner.checkpoint(&job, token.to_be_bytes().to_vec())),
                _ => {}
            }
            let relay = self.processes[n].name.clone();
            self.write(Fact::Acted {
                relay,
                job: job.clone(),
                token,
            });
            for at in self.arrivals(n, to) {
                self.later(
                    at,
                    Event::Order(
                        to,
                        Order {
                            from: n,
                            job: job.clone(),
                            token,
                        },
                    ),
                );
            }
        }
    }

    fn order(&mut self, to: usize, order: Order) {
        if self.processes[to].lease_client.is_none() {
            return;
        }
        let until = self.processes[to].stopped_until;
        if self.now < until {
            return self.later(until, Event::Order(to, order));
        }
        let last = self.processes[to]
            .lease_client
            .as_ref()
            .and_then(LeaseClient::last_token);
        let p = &mut self.processes[to];
        if let Some(last) = last {
            p.fence.set_floor(last);
        }
        match p.fence.check(&order.job, order.token) {
            FenceDecision::Accept => {
                self.seen.orders[0] += 1;
                let (receiver, Order { job, token, .. }) = (self.processes[to].name.clone(), order);
                self.write(Fact::Obeyed {
                    receiver,
                    job,
                    token,
                });
            }
            FenceDecision::Stale(highest) => {
                self.seen.orders[1] += 1;
                for at in self.arrivals(to, order.from) {
                    self.later(at, Event::Stale(order.from, order.job.clone(), highest));
                }
            }
            // As many as it can bear to wait; the rest is sent again by owners that hear nothing.
            FenceDecision::Unknown if p.doubts.len() < 64 => p.doubts.push(order),
            FenceDecision::Unknown => {}
        }
    }

    fn stale(&mut self, to: usize, job: &str, token: u64) {
        let local = self.local(to);
        let Some(owner) = self.processes[to]
            .lease_client
            .as_mut()
            .and_then(LeaseClient::owner_mut)
        else {
            return;
        };
        if owner
            .may_act(local, job)
            .is_some_and(|own| own.token < token)
        {
            owner.relinquish(job, "a receiver knows a newer token");
        }
    }

    /// Asks the fleet about orders that may be of owners of before.
    fn ask_doubts(&mut self, n: usize) {
        if self.now % 500_000 >= TICK {
            return;
        }
        let jobs: Vec<String> = self.processes[n]
            .doubts
            .iter()
            .map(|order| order.job.clone())
            .collect();
        for job in jobs {
            for voter in 0..self.processes.len() {
                self.send(
                    n,
                    voter,
                    Message::OperatorRequest(RECEIVERS, OperatorRequest::Token(job.clone())),
                );
            }
        }
    }

    /// A client asks to be admitted.
    fn request(&mut self, n: usize) {
        let local = self.local(n);
        let Some(lease_client) = &self.processes[n].lease_client else {
            return;
        };
        if !lease_client.may_admit(local) {
            return;
        }
        let epoch = lease_client.policy().epoch;
        let name = self.processes[n].name.clone();
        // Each change, and again from time to time: the history is to be read.
        if self.admitted.insert(n, epoch) != Some(epoch)
            || self.now % 500_000 < TICK
            || self.admitted.values().any(|e| *e != epoch)
        {
            // It asks and is answered in the same moment: what was admitted in an earlier one came before.
            self.write(Fact::Admitted {
                relay: name,
                epoch,
                asked: self.now,
            });
        }
    }

    fn arrives(&mut self, to: usize, from: usize, message: Message) {
        if to == OPERATORS {
            if let Message::OperatorResponse(_, answer) = message {
                self.told(answer);
            }
            return;
        }
        let p = &mut self.processes[to];
        if p.lease_client.is_none() {
            return;
        }
        if self.now < p.stopped_until {
            p.inbox.push((from, message));
            return;
        }
        self.take(to, from, message);
        self.work(to);
    }

    fn take(&mut self, n: usize, from: usize, message: Message) {
        let local = self.local(n);
        let p = &mut self.processes[n];
        match (message, &mut p.voter, &mut p.lease_client) {
            (Message::Founding(number, incarnation), Some(voter), _) => {
                voter.handle_founding(local, from as u64, number, incarnation);
            }
            (Message::NotAMember(number, incarnation), Some(voter), _)
                if (number, incarnation) == (voter.id(), voter.disk_id()) =>
            {
                p.voter = None;
            }
            (Message::Log(incarnation, bytes), Some(voter), _) => {
                if let Err(damaged) = voter.step(local, from as u64, incarnation, &bytes) {
                    p.voter = None;
                    if p.reborn {
                        return;
                    }
                    let text = format!("n{n}: {damaged}");
                    let rule = "a voter keeps what it has answered for";
                    self.seen.broken.push(Broken {
                        rule,
                        at: self.now,
                        text,
                    });
                }
            }
            (Message::RenewRequest(renew), Some(voter), _) => {
                voter.handle_renew(local, from as u64, renew)
            }
            (Message::OperatorRequest(number, ask), Some(voter), _) => {
                voter.handle_operator_request(local, from as u64, number, ask)
            }
            (Message::Subscribe(follow), Some(voter), _) => {
                voter.handle_subscribe(local, from as u64, follow)
            }
            (Message::Publish(publish), Some(voter), _) => {
                voter.handle_publish(local, from as u64, publish)
            }
            (Message::Poll(poll), Some(voter), _) => voter.handle_poll(local, from as u64, poll),
            (Message::Submission(of), Some(voter), _) => {
                voter.handle_submission(local, from as u64, of)
            }
            (Message::Updates(updates), ..) => {
                self.do_jobs(n, Some(Heard::Updates(from as u64 + 1, updates)))
            }
            (Message::Delivery(delivery), ..) => {
                let jobs = delivery
                    .updates
                    .iter()
                    .filter(|update| update.changes.is_some());
                let jobs: Vec<String> = jobs.map(|update| update.job.clone()).collect();
                self.do_jobs(n, Some(Heard::Delivery(from as u64 + 1, delivery)));
                self.check_tables(n, &jobs);
            }
            (Message::Receipt(receipt), ..) => {
                p.worker.iter_mut().for_each(|worker| {
                    worker.handle_receipt(local, from as u64 + 1, receipt.clone())
                });
            }
            (Message::StaleToken(job, token), _, Some(lease_client)) => {
                p.worker
                    .iter_mut()
                    .for_each(|worker| worker.handle_stale_token(local, lease_client, &job, token));
            }
            (Message::OperatorResponse(_, OperatorResponse::Token(job, token)), ..) => {
                p.worker
                    .iter_mut()
                    .for_each(|worker| worker.learn_token(&job, token));
                p.fence.learn_token(&job, token);
                let (known, wait): (Vec<Order>, _) =
                    p.doubts.drain(..).partition(|order| order.job == job);
                p.doubts = wait;
                known.into_iter().for_each(|order| self.order(n, order));
            }
            (Message::RenewResponse(reply), _, Some(lease_client)) => {
                let check = |text: &str| {
                    if text.contains("bad") {
                        Err("a key that nobody knows".into())
                    } else {
                        Ok(())
                    }
                };
                let effects = lease_client.handle_response(local, reply, check);
                self.carry_out(n, effects);
                self.request(n);
            }
            _ => {}
        }
    }

    fn carry_out(&mut self, n: usize, effects: Vec<LeaseAction>) {
        let local = self.local(n);
        for effect in effects {
            match effect {
                LeaseAction::PersistProposal(proposal) => {
                    let again = self.processes[n]
                        .lease_client
                        .as_mut()
                        .map(|lease_client| lease_client.proposal_persisted(local, proposal));
                    self.carry_out(n, again.into_iter().collect());
                }
                LeaseAction::AdoptPolicy(policy) => {
                    let (relay, epoch, text) = (
                        self.processes[n].name.clone(),
                        policy.epoch,
                        policy.text.clone(),
                    );
                    self.processes[n].policy = policy;
                    let now = self.now;
                    self.texts
                        .entry(text.clone())
                        .and_modify(|(_, last)| *last = now);
                    self.write(Fact::Holds { relay, epoch, text });
                }
                LeaseAction::PersistMembership(membership) => {
                    self.processes[n].membership = membership
                }
                LeaseAction::SendRenew(voter, renew) => {
                    self.send(n, voter as usize - 1, Message::RenewRequest(*renew))
                }
            }
        }
    }

    fn work(&mut self, n: usize) {
        let local = self.local(n);
        loop {
            let Some(voter) = &mut self.processes[n].voter else {
                return;
            };
            let work = voter.ready(local);
            let (leads, id, removed) = (
                voter.leader_term(),
                voter.id(),
                voter.fatal_error().is_some(),
            );
            if let Some(term) = leads {
                if self.leads.insert(id, term) != Some(term) {
                    self.write(Fact::Leads { voter: id, term });
                }
            }
            if work.is_empty() {
                return;
            }
            let p = &mut self.processes[n];
            if self.play.bug == Some(InjectedBug::SendBeforePersist) {
                p.unstored.push(work.persist);
                // It is written some time; what came last is not.
                if p.unstored.len() > 4 {
                    let stored = p.unstored.remove(0);
                    store(&mut p.kept, stored);
                }
            } else {
                store(&mut p.kept, work.persist);
            }
            if removed {
                self.processes[n].voter = None;
                return;
            }
            for (to, message) in work.voter_messages {
                self.send(n, to as usize - 1, message);
            }
            for (to, message) in work.replies {
                self.send(n, to as usize, message);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        // Receivers of orders, which ask here for tokens, are the play's own.
        let is_of_play = matches!(
            message,
            Message::OperatorRequest(RECEIVERS, _) | Message::OperatorResponse(RECEIVERS, _)
        );
        if to != OPERATORS && !is_of_play {
            self.seen.traffic.count(self.now, from, to, &message);
        }
        for at in self.arrivals(from, to) {
            self.later(at, Event::Arrives(to, from, Box::new(message.clone())));
        }
    }

    /// When what is sent now arrives: never, once, or twice.
    fn arrivals(&mut self, from: usize, to: usize) -> Vec<Moment> {
        let (loss, delay, until) = self.network;
        let mut wait = self.rng.random_range(100..3_000);
        let mut arrivals = Vec::new();
        if self.now < until && from != to {
            if self.rng.random_range(0..1_000) < loss {
                return arrivals;
            }
            wait += self.rng.random_range(0..=delay);
            if self.rng.random_range(0..20) == 0 {
                arrivals.push(self.now + self.rng.random_range(0..5_000_000));
            }
        }
        match self
            .cuts
            .get(&(from, to))
            .filter(|cut| self.now < cut.until)
        {
            Some(cut) if !cut.holds => {}
            Some(cut) => arrivals.push(cut.until + wait),
            None => arrivals.push(self.now + wait),
        }
        arrivals
    }

    fn fault(&mut self) {
        self.seen.faults += 1;
        let n = self.rng.random_range(0..self.processes.len());
        let span = match self.rng.random_range(0..3) {
            0 => self.rng.random_range(50_000..1_000_000),
            1 => self.rng.random_range(1_000_000..4_000_000),
            _ => self.rng.random_range(4_000_000..15_000_000),
        };
        let until = self.now + span;
        let text = match self.rng.random_range(0..10) {
            8 if self.replaced.is_none() && self.free < self.processes.len() => self.replace(),
            0 | 1 => {
                self.kill(n);
                self.later(until, Event::Start(n));
                format!("n{n} is killed for {} ms", span / 1_000)
            }
            2 | 3 => {
                self.processes[n].stopped_until = until;
                format!("n{n} is stopped for {} ms", span / 1_000)
            }
            4 => {
                let holds = self.rng.random_bool(0.5);
                let both = self.rng.random_bool(0.5);
                for m in 0..self.processes.len() {
                    self.cuts.insert((n, m), Cut { until, holds });
                    if both {
                        self.cuts.insert((m, n), Cut { until, holds });
                    }
                }
                let (way, what) = (
                    if both { "both ways" } else { "one way" },
                    if holds { "held" } else { "lost" },
                );
                format!("n{n} is cut off {way} for {} ms, {what}", span / 1_000)
            }
            5 => {
                let m = self.rng.random_range(0..self.processes.len());
                self.cuts.insert(
                    (n, m),
                    Cut {
                        until,
                        holds: self.rng.random_bool(0.5),
                    },
                );
                format!("n{n} to n{m} is cut for {} ms", span / 1_000)
            }
            6 => {
                let (loss, delay) = (
                    self.rng.random_range(0..400),
                    self.rng.random_range(1_000..2_000_000),
                );
                self.network = (loss, delay, until);
                format!(
                    "{loss} in 1000 lost, up to {} ms late, for {} ms",
                    delay / 1_000,
                    span / 1_000
                )
            }
            7 => {
                for n in 0..self.processes.len() {
                    if self.processes[n].voter.is_some() && self.rng.random_bool(0.6) {
                        self.kill(n);
                        self.later(until, Event::Start(n));
                    }
                }
                format!("most voters are killed for {} ms", span / 1_000)
            }
            _ => {
                // The leader, at the worst of times.
                let leader = (0..self.processes.len()).find(|n| {
                    self.processes[*n]
                        .voter
                        .as_ref()
                        .is_some_and(|v| v.leader_term().is_some())
                });
                let n = leader.unwrap_or(n);
                self.processes[n].stopped_until = until;
                format!("n{n}, which leads, is stopped for {} ms", span / 1_000)
            }
        };
        self.write(Fact::Fault { text });
    }

    /// A voter's place is taken by a relay that had no vote: while the voter runs, or since its disk was lost; then it
    /// may have been made anew, as the pages say that nobody should.
    fn replace(&mut self) -> String {
        let new = self.free;
        let Some(known) = self
            .leader()
            .map(|leader| leader.state().membership.clone())
        else {
            return "no voter leads, and none is replaced".into();
        };
        // Not one more disk than the others can bear the loss of.
        if known.members.values().any(|seat| !seat.is_voter) {
            return "a voter learns the log, and none is replaced".into();
        }
        let voters: Vec<u64> = known.voters().collect();
        let old = voters[self.rng.random_range(0..voters.len())] as usize - 1;
        let mut lost = self.rng.random_range(0..3);
        // Whoever makes all founders anew has founded another fleet.
        let others = self.processes[..self.play.voters]
            .iter()
            .enumerate()
            .filter(|(n, _)| *n != old);
        if lost == 1 && others.clone().all(|(_, p)| p.reborn) {
            lost = 0;
        }
        if lost < 2 {
            self.kill(old);
            let p = &mut self.processes[old];
            // Its operator file names those that vote now, as the pages ask for.
            (p.kept, p.policy, p.membership) = (PersistedLog::default(), Policy::default(), known);
            if lost == 1 {
                let ids: Vec<u64> = (1..=self.play.voters as u64).collect();
                store(&mut p.kept, RaftLog::for_new_fleet(&ids).persist_all());
                (p.incarnation, p.reborn) = (p.incarnation + 100, true);
            }
            let at = self.now + self.rng.random_range(50_000..2_000_000);
            self.later(at, Event::Start(old));
        }
        // Joins, and is started anew.
        self.kill(new);
        let p = &mut self.processes[new];
        p.kept = PersistedLog::default();
        store(&mut p.kept, RaftLog::for_joining_voter().persist_all());
        self.free += 1;
        self.replaced = Some((old, new));
        self.later(self.now, Event::Start(new));
        self.later(self.now + OPERATORS_LOOK, Event::Operators);
        let what = [
            "with its disk lost",
            "with its disk made anew",
            "while it runs",
        ][lost];
        format!("n{new} takes the place of n{old} {what}")
    }

    /// Processes that may act on a job now.
    fn owners(&self, name: &str) -> Vec<usize> {
        let acts = |n: &usize| {
            let local = self.local(*n);
            let p = &self.processes[*n];
            let owner = p.lease_client.as_ref().and_then(LeaseClient::owner);
            self.now >= p.stopped_until
                && owner.is_some_and(|owner| owner.may_act(local, name).is_some())
        };
        (0..self.processes.len()).filter(acts).collect()
    }

    fn owner_fails(&mut self, which: usize) {
        let name = format!("job-{which}");
        let Some(n) = self.owners(&name).first().copied() else {
            return;
        };
        match which {
            0 => {
                self.kill(n);
                self.later(self.now + 10_000_000, Event::Start(n));
            }
            1 => self.processes[n].stopped_until = self.now + 8_000_000,
            _ => {
                let token = self
                    .leader()
                    .and_then(|leader| leader.state().jobs.by_name.get(&name))
                    .map_or(0, |job| job.token);
                let deal = JobChange::Revoke(vec![(name, token, "operators hand it over".into())]);
                for n in 0..self.processes.len() {
                    let ask = Message::OperatorRequest(3, OperatorRequest::Job(deal.clone()));
                    self.later(self.now, Event::Arrives(n, OPERATORS, Box::new(ask)));
                }
            }
        }
    }

    fn staff_jobs(&mut self) {
        self.later(self.now + 3_000_000, Event::Jobs);
        let names = (0..self.play.jobs).map(|n| format!("job-{n}"));
        let names: Vec<String> = names.chain(self.done()).collect();
        let some = names[self.rng.random_range(0..names.len())].clone();
        let known = self
            .leader()
            .map(|leader| leader.state().jobs.clone())
            .unwrap_or_default();
        let deal = match known.by_name.get(&some) {
            Some(job)
                if self.play.faults && self.now < self.play.length && self.rng.random_bool(0.3) =>
            {
                JobChange::Revoke(vec![(some, job.token, "operators hand it over".into())])
            }
            _ => JobChange::Open(names),
        };
        for n in 0..self.processes.len() {
            let ask = Message::OperatorRequest(3, OperatorRequest::Job(deal.clone()));
            self.later(self.now, Event::Arrives(n, OPERATORS, Box::new(ask)));
        }
    }

    fn leader(&self) -> Option<&Voter> {
        let voters = self.processes.iter().filter_map(|p| p.voter.as_ref());
        voters
            .filter(|voter| voter.leader_term().is_some())
            .max_by_key(|voter| voter.leader_term())
    }

    fn operators(&mut self) {
        let Some((old, new)) = self.replaced else {
            return;
        };
        self.later(self.now + OPERATORS_LOOK, Event::Operators);
        let Some(membership) = self
            .leader()
            .map(|leader| leader.state().membership.clone())
        else {
            return;
        };
        let (goes, comes) = (old as u64 + 1, new as u64 + 1);
        let votes = membership
            .members
            .get(&comes)
            .is_some_and(|seat| seat.is_voter);
        let change = match votes {
            false => {
                MembershipChange::Add(comes, format!("n{new}"), self.processes[new].incarnation)
            }
            true if membership.members.contains_key(&goes) => MembershipChange::Remove(goes),
            true => {
                self.replaced = None;
                if self.now > self.play.length {
                    self.find();
                }
                return self.write(Fact::Fault {
                    text: format!("n{new} has the place of n{old}"),
                });
            }
        };
        for n in 0..self.processes.len() {
            let ask = Message::OperatorRequest(1, OperatorRequest::Member(change.clone()));
            self.later(self.now, Event::Arrives(n, OPERATORS, Box::new(ask)));
        }
    }

    fn propose(&mut self) {
        // Sometimes asks again for what became of an earlier one, sometimes proposes one twice.
        let old = self.proposals.len();
        let again = old > 0 && self.rng.random_bool(0.4);
        let ask = if again {
            OperatorRequest::Outcome(self.proposals[self.rng.random_range(0..old)])
        } else {
            let id: ProposalId = self.rng.random();
            self.proposals.push(id);
            let bad = if self.rng.random_bool(0.1) {
                "bad"
            } else {
                "good"
            };
            let text = format!("{bad} {}", old + 1);
            self.texts.insert(text.clone(), (self.now, 0));
            OperatorRequest::Propose(Proposal {
                id,
                base_epoch: 0,
                text,
                author: "operators".into(),
                reason: "a play".into(),
            })
        };
        // Every voter is asked: the one that leads answers.
        for n in 0..self.processes.len() {
            self.later(
                self.now,
                Event::Arrives(
                    n,
                    OPERATORS,
                    Box::new(Message::OperatorRequest(1, ask.clone())),
                ),
            );
        }
    }

    fn told(&mut self, answer: OperatorResponse) {
        use jaspermoor_control::log::state::ProposalOutcome;
        if let OperatorResponse::Outcome(outcome) = answer {
            let n = match &outcome {
                ProposalOutcome::InForce(_) => 0,
                ProposalOutcome::Rejected(..) => 1,
                ProposalOutcome::TimedOut(_) => 2,
            };
            self.seen.outcomes[n] += 1;
        }
    }

    fn end(mut self) -> Seen {
        self.seen
            .broken
            .extend(super::history::check(&self.seen.history));
        self.seen.length = self.now;
        self.seen.moves = self.moves;
        let took = self
            .texts
            .values()
            .filter(|(_, last)| *last > 0)
            .map(|(begin, last)| last - begin);
        self.seen.took = took.collect();
        self.seen.took.sort_unstable();
        // Once all is mended the fleet must have come together: every relay admits, all under one policy.
        if let Some((old, new)) = self.replaced {
            let text = format!(
                "n{new} has not taken the place of n{old}, 20 s and more after all was mended"
            );
            self.seen.broken.push(Broken {
                rule: "a voter can be replaced",
                at: self.now,
                text,
            });
        }
        let jobs = self
            .leader()
            .map(|leader| leader.state().jobs.clone())
            .unwrap_or_default();
        self.seen.checkpoints = jobs.by_name.values().map(|job| job.checkpoint_step).sum();
        self.seen.hands = jobs.last_token as usize;
        // Each job has an owner that may act on it, and one only.
        for (name, job) in &jobs.by_name {
            let owners = self.owners(name);
            // One may be on its way from one relay to another just now: by its own wish, or for balance.
            if owners.len() != 1 && job.owner.is_some() && job.revoked_at.is_none() {
                let text = format!("{name} has the owners {owners:?}, the log says {job:?}");
                self.seen.broken.push(Broken {
                    rule: "each job has its owner",
                    at: self.now,
                    text,
                });
            }
        }
        let wanted = if self.play.jobs > 0 {
            self.play.jobs + self.play.zones + 1
        } else {
            0
        };
        if jobs.by_name.len() != wanted {
            let text = format!("{} of {wanted} jobs are there", jobs.by_name.len());
            self.seen.broken.push(Broken {
                rule: "each job has its owner",
                at: self.now,
                text,
            });
        }
        let states: Vec<(bool, u64)> = (0..self.processes.len())
            .map(|n| {
                let lease_client = self.processes[n].lease_client.as_ref();
                lease_client.map_or((false, 0), |h| {
                    (h.may_admit(self.local(n)), h.policy().epoch)
                })
            })
            .collect();
        self.seen.epoch = states.iter().map(|(_, epoch)| *epoch).max().unwrap_or(0);
        if states.iter().any(|state| *state != (true, self.seen.epoch)) {
            let text = format!(
                "20 s and more after all was mended: (admits, epoch) of each relay {states:?}"
            );
            self.seen.broken.push(Broken {
                rule: "the fleet comes together",
                at: self.now,
                text,
            });
        }
        self.seen
    }
}
