//! What a relay does for its fleet: the jobs that it owns, and what owners tell it. No I/O and no clock: the relay gives
//! it the time, its backends and its moves, and carries out what it says.
//!
//! An owner's word leaves only as an effect of the same call that has looked at its lease. Everything that leaves an owner:
//! words to all relays (fenced at each voter and each relay), checkpoints (fenced by the log), and probes of backends, which
//! know no token and are harmless when late or doubled.
//!
//! Guards against: a job that goes on by what an owner of before knew (state is made anew with each token, from the
//! checkpoint), words of relays to jobs that are not theirs, and an owner that is of no use (it gives the job up).

use crate::broadcast::subscriber::{Order, Subscriber};
use crate::jobs::assignment::Token;
use crate::jobs::load_watch::{self, LoadWatch, Loads};
use crate::jobs::moves::{self, Mover, Moving, Permits};
use crate::lease::client::LeaseClient;
use crate::wire::message::{Ask, Message, Report, Updates};
use crate::wire::relay::kind_of;
#[cfg(feature = "injected-bugs")]
use crate::InjectedBugs;
use crate::Micros;
use std::collections::BTreeMap;

/// How often an owner of moves says to the log how far it is.
const CHECKPOINT: Micros = 1_000_000;
/// Number of a question for a job's token: its answer is told from those of operators, who ask by other links.
const TOKEN: u64 = 1;

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCommand {
    /// Hand this to that voter.
    Send(u64, Message),
    /// The same, with which an owner acts: its lease was looked at in this call.
    Act(u64, Message),
    /// Probe this backend, and say to [`Worker::found`] what it said.
    Probe(u64),
    /// Backends' loads as their zone's owner saw them, each with when that was at the earliest.
    Loads(Vec<(u64, Micros, Vec<f32>)>),
    /// So many moves may have been made since the start.
    Permit(u64),
    /// Something for the log.
    Log(String),
}

/// What the relay knows besides.
#[derive(Clone, Copy)]
pub struct WorkContext<'a> {
    /// The names of the columns in which its backends tell their load.
    pub columns: &'a [String],
    /// Backends of a zone that may be sent something, by the zone's name.
    pub listed: &'a dyn Fn(&str) -> Vec<u64>,
    /// How its moves are, and moves a second that the policy allows the whole fleet; none where the fleet does not pace
    /// them.
    pub moves: &'a dyn Fn() -> Option<(Moving, u64)>,
}

enum Job {
    LoadWatch(LoadWatch),
    Mover(Mover, Micros),
    /// Of a kind that this build does not do, or that is there to be owned only.
    Idle,
}

/// See the module's text.
pub struct Worker {
    subscriber: Subscriber,
    jobs: BTreeMap<String, (Token, Job)>,
    /// Jobs whose token is to be asked for.
    doubts: BTreeMap<String, Micros>,
    /// Words of owners of before that were refused, and words obeyed.
    pub refused: u64,
    /// See `refused`.
    pub obeyed: u64,
}

impl Worker {
    /// Of a process that has just started.
    pub fn new(subscriber: Subscriber) -> Worker {
        Worker { subscriber, jobs: BTreeMap::new(), doubts: BTreeMap::new(), refused: 0, obeyed: 0 }
    }

    /// The same with a fault in it: for tests of the checkers.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(self, injected: InjectedBugs) -> Worker {
        Worker { subscriber: self.subscriber.with_injected(injected), ..self }
    }

    /// Time has passed.
    pub fn turn(
        &mut self,
        now: Micros,
        lease_client: &mut LeaseClient,
        context: WorkContext,
    ) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        self.take_over(now, lease_client, &mut commands);
        for (name, (token, job)) in &mut self.jobs {
            let token = *token;
            let Some(owner) = lease_client.owner_mut() else { break };
            // Right before each order, and with it in one call.
            if owner.may_act(now, name).is_none_or(|own| own.token != token) {
                continue;
            }
            let said = match job {
                Job::LoadWatch(watch) => {
                    let zone = name.split_once('/').map_or("", |(_, zone)| zone);
                    let probes = watch.turn(now, || (context.listed)(zone));
                    commands.extend(probes.into_iter().map(WorkerCommand::Probe));
                    if let Some(why) = watch.useless(now) {
                        owner.give_up(name, why);
                        commands.push(WorkerCommand::Log(format!(
                            "fleet: gives up {name}, token {token}: {why}"
                        )));
                        continue;
                    }
                    watch.tell(now, context.columns).map(|loads| loads.encode())
                }
                Job::Mover(mover, said) => {
                    let rate = if now < mover.due() { None } else { (context.moves)() };
                    let permits = rate.and_then(|(_, rate)| mover.turn(now, rate));
                    let permits = permits.map(|permits| permits.encode());
                    if mover.given() > 0
                        && now >= *said + CHECKPOINT
                        && owner.checkpoint(name, mover.checkpoint())
                    {
                        *said = now;
                    }
                    permits
                }
                Job::Idle => None,
            };
            if let Some(body) = said {
                let to = self.subscriber.publish(now, name, token, 0, &body);
                commands.extend(to.into_iter().map(|(voter, message)| WorkerCommand::Act(voter, message)));
            }
        }
        self.follow(now, lease_client, context, &mut commands);
        commands
    }

    /// Jobs that have come and gone.
    fn take_over(&mut self, now: Micros, lease_client: &LeaseClient, commands: &mut Vec<WorkerCommand>) {
        let Some(owner) = lease_client.owner() else { return };
        let own = |name: &str| owner.may_act(now, name);
        self.jobs.retain(|name, (token, _)| {
            let stays = own(name).is_some_and(|own| own.token == *token);
            if !stays {
                commands.push(WorkerCommand::Log(format!("fleet: acts on {name} no more, token {token}")));
            }
            stays
        });
        for name in owner.names() {
            let Some(own) = own(name).filter(|_| !self.jobs.contains_key(name)) else { continue };
            let job = match kind_of(name) {
                load_watch::KIND => Job::LoadWatch(LoadWatch::default()),
                moves::KIND => Job::Mover(Mover::resume(&own.checkpoint), now),
                _ => Job::Idle,
            };
            self.jobs.insert(name.into(), (own.token, job));
            commands.push(WorkerCommand::Log(format!(
                "fleet: acts on {name}, token {}, from step {}",
                own.token, own.step
            )));
        }
    }

    fn follow(
        &mut self,
        now: Micros,
        lease_client: &LeaseClient,
        context: WorkContext,
        commands: &mut Vec<WorkerCommand>,
    ) {
        let (voters, leader) = lease_client.voters();
        let report = |moving: Moving| Report { kind: moves::KIND.into(), body: moving.encode() };
        let reports = || (context.moves)().map(|(moving, _)| report(moving)).into_iter().collect();
        let said = self.subscriber.tick(now, voters, !self.jobs.is_empty(), reports);
        commands.extend(said.into_iter().map(|(voter, message)| WorkerCommand::Send(voter, message)));
        let Some(leader) = leader else { return };
        for (name, next) in self.doubts.iter_mut().filter(|(_, next)| now >= **next) {
            *next = now + crate::broadcast::subscriber::PACE;
            commands.push(WorkerCommand::Send(leader, Message::Ask(TOKEN, Ask::Token(name.clone()))));
        }
    }

    /// A voter has told something.
    pub fn updates(
        &mut self,
        now: Micros,
        voter: u64,
        lease_client: &LeaseClient,
        context: WorkContext,
        updates: Updates,
    ) -> Vec<WorkerCommand> {
        let heard =
            self.subscriber.heard(now, voter, lease_client.voters().0, lease_client.tokens(), updates);
        self.refused += heard.refused as u64;
        heard.ask.into_iter().for_each(|job| _ = self.doubts.entry(job).or_insert(0));
        for (relay, at, reports) in heard.reports {
            for report in reports {
                if let Some((_, Job::Mover(mover, _))) = self.jobs.get_mut(&report.kind) {
                    mover.heard(at, relay.clone(), &report.body);
                }
            }
        }
        heard.orders.into_iter().flat_map(|order| self.obey(lease_client, context, order)).collect()
    }

    fn obey(&mut self, lease_client: &LeaseClient, context: WorkContext, order: Order) -> Vec<WorkerCommand> {
        self.obeyed += 1;
        let mut commands = Vec::new();
        if order.first {
            commands
                .push(WorkerCommand::Log(format!("fleet: obeys {} under token {}", order.job, order.token)));
        }
        match kind_of(&order.job) {
            load_watch::KIND => {
                let loads = Loads::decode(&order.body).unwrap_or_default();
                let at =
                    |(server, age, row): (u64, Micros, Vec<f32>)| (server, order.at.saturating_sub(age), row);
                let rows: Vec<_> = loads.rows(context.columns).map(at).collect();
                commands.extend((!rows.is_empty()).then_some(WorkerCommand::Loads(rows)));
            }
            moves::KIND => {
                let permits = Permits::decode(&order.body).unwrap_or_default();
                commands.extend(permits.for_relay(lease_client.relay()).map(WorkerCommand::Permit));
            }
            _ => {}
        }
        commands
    }

    /// A backend that it was to probe has answered, or has not.
    pub fn found(&mut self, now: Micros, server: u64, report: Option<Vec<f32>>) {
        for (_, job) in self.jobs.values_mut() {
            if let Job::LoadWatch(watch) = job {
                watch.found(now, server, report.clone());
            }
        }
    }

    /// The token that a job has now, as the leader says.
    pub fn known(&mut self, job: &str, token: Token) {
        self.doubts.remove(job);
        self.subscriber.known(job, token);
    }

    /// A voter knows a newer token of a job than the one that this relay acts under.
    pub fn stale(&mut self, now: Micros, lease_client: &mut LeaseClient, job: &str, token: Token) {
        let Some(owner) = lease_client.owner_mut() else { return };
        if owner.may_act(now, job).is_some_and(|own| own.token < token) {
            owner.give_up(job, "a voter knows a newer token");
        }
        self.jobs.remove(job);
    }

    /// The jobs that it acts on, with their tokens.
    pub fn acts_on(&self) -> impl Iterator<Item = (&str, Token)> {
        self.jobs.iter().map(|(name, (token, _))| (name.as_str(), *token))
    }

    /// When it has something to do next though nothing comes.
    pub fn due(&self) -> Micros {
        let job = |job: &Job| match job {
            Job::LoadWatch(watch) => watch.due(),
            Job::Mover(mover, _) => mover.due(),
            Job::Idle => Micros::MAX,
        };
        let jobs = self.jobs.values().map(|(_, of)| job(of)).min().unwrap_or(Micros::MAX);
        jobs.min(self.subscriber.due())
    }
}
