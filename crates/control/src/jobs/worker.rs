//! What a relay does for its fleet: the jobs that it owns, and what owners tell it. No I/O and no clock: the relay gives
//! it the time, its backends and its moves, and carries out what it says.
//!
//! An owner's word leaves only as an effect of the same call that has looked at its lease. Everything that leaves an owner:
//! words to all relays (fenced at each voter and each relay), checkpoints (fenced by the log), and probes of backends, which
//! know no token and are harmless when late or doubled.
//!
//! Guards against: a job that goes on by what an owner of before knew (state is made anew with each token, from the
//! checkpoint), words of relays to jobs that are not theirs, and an owner that is of no use (it gives the job up).

use crate::broadcast::message::{Delivery, Receipt};
use crate::broadcast::subscriber::{CommandBody, OwnerCommand, ReceivedUpdates, Subscriber};
use crate::broadcast::table::{Row, Table, Version};
use crate::jobs::assignment::FencingToken;
use crate::jobs::load_watch::{self, LoadReports, LoadWatch};
use crate::jobs::moves::{self, MigrationPacer, MigrationPermits, MigrationStatus};
use crate::lease::client::LeaseClient;
use crate::relay::job_kind;
use crate::wire::message::{Message, OperatorRequest, Report, Updates};
#[cfg(feature = "injected-bugs")]
use crate::InjectedBugs;
use crate::Micros;
use std::collections::BTreeMap;

/// How often an owner of moves says to the log how far it is.
const CHECKPOINT: Micros = 1_000_000;
/// How often an owner of moves asks the voters what relays report, and tells them what it allows.
const SUBMIT: Micros = 500_000;
/// Number of a question for a job's token: its answer is told from those of operators, who ask by other links.
const TOKEN: u64 = 1;

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCommand {
    /// Hand this to that voter.
    Send(u64, Message),
    /// The same, with which an owner acts: its lease was looked at in this call.
    SendAsOwner(u64, Message),
    /// Probe this backend, and say to [`Worker::found`] what it said.
    CheckHealth(u64),
    /// Backends' loads as their zone's owner saw them, each with when that was at the earliest.
    LoadReports(Vec<(u64, Micros, Vec<f32>)>),
    /// So many moves may have been made since the start.
    PermitMigrations(u64),
    /// Something for the log.
    Log(String),
}

/// What the relay knows besides.
#[derive(Clone, Copy)]
pub struct WorkContext<'a> {
    /// The names of the columns in which its backends tell their load.
    pub report_columns: &'a [String],
    /// Backends of a zone that may be sent something, by the zone's name.
    pub endpoints_in_zone: &'a dyn Fn(&str) -> Vec<u64>,
    /// How its moves are, and moves a second that the policy allows the whole fleet; none where the fleet does not pace
    /// them.
    pub migration_status: &'a dyn Fn() -> Option<(MigrationStatus, u64)>,
}

enum Job {
    LoadWatch(Box<LoadWatch>, SharedTable),
    MigrationPacer(PacedMoves),
    /// Of a kind that this build does not do, or that is there to be owned only.
    Idle,
}

/// A load watch's table, and the version of it that each voter has.
struct SharedTable {
    table: Table,
    acknowledged: BTreeMap<u64, Version>,
}

/// The moves of the fleet, when their owner said last to the log how far it is, and when it spoke to the voters.
struct PacedMoves {
    mover: MigrationPacer,
    saved: Micros,
    submitted: Micros,
}

/// See the module's text.
pub struct Worker {
    subscriber: Subscriber,
    jobs: BTreeMap<String, (FencingToken, Job)>,
    /// Jobs whose token is to be asked for.
    doubts: BTreeMap<String, Micros>,
    /// Words of owners of before that were refused, and words obeyed.
    pub updates_rejected: u64,
    /// See `refused`.
    pub updates_accepted: u64,
}

impl Worker {
    /// Of a process that has just started.
    pub fn new(subscriber: Subscriber) -> Worker {
        Worker {
            subscriber,
            jobs: BTreeMap::new(),
            doubts: BTreeMap::new(),
            updates_rejected: 0,
            updates_accepted: 0,
        }
    }

    /// The same with a fault in it: for tests of the checkers.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(self, injected: InjectedBugs) -> Worker {
        Worker {
            subscriber: self.subscriber.with_injected(injected),
            ..self
        }
    }

    /// Time has passed.
    pub fn tick(
        &mut self,
        now: Micros,
        lease_client: &mut LeaseClient,
        context: WorkContext,
    ) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        self.take_over(now, lease_client, &mut commands);
        for (name, (token, job)) in &mut self.jobs {
            let token = *token;
            let Some(owner) = lease_client.owner_mut() else {
                break;
            };
            // Right before each order, and with it in one call.
            if owner
                .may_act(now, name)
                .is_none_or(|own| own.token != token)
            {
                continue;
            }
            let said = match job {
                Job::LoadWatch(watch, shared) => {
                    let zone = name.split_once('/').map_or("", |(_, zone)| zone);
                    let probes = watch.tick(now, || (context.endpoints_in_zone)(zone));
                    commands.extend(probes.into_iter().map(WorkerCommand::CheckHealth));
                    if let Some(why) = watch.failure(now) {
                        owner.relinquish(name, why);
                        commands.push(WorkerCommand::Log(format!(
                            "fleet: gives up {name}, token {token}: {why}"
                        )));
                        continue;
                    }
                    let Some(loads) = watch.take_reports(now, context.report_columns) else {
                        continue;
                    };
                    commands.extend(shared.update(now, &loads, context.report_columns));
                    shared.tell(now, name, token, &loads, &mut self.subscriber)
                }
                Job::MigrationPacer(moves) => {
                    if now < moves.mover.next_tick() {
                        continue;
                    }
                    let Some((_, rate)) = (context.migration_status)() else {
                        continue;
                    };
                    let said = moves.tell(now, name, token, rate, &mut self.subscriber);
                    if moves.mover.permitted_total() > 0
                        && now >= moves.saved + CHECKPOINT
                        && owner.checkpoint(name, moves.mover.checkpoint())
                    {
                        moves.saved = now;
                    }
                    said
                }
                Job::Idle => continue,
            };
            commands.extend(
                said.into_iter()
                    .map(|(voter, message)| WorkerCommand::SendAsOwner(voter, message)),
            );
        }
        self.follow(now, lease_client, context, &mut commands);
        commands
    }

    /// Jobs that have come and gone.
    fn take_over(
        &mut self,
        now: Micros,
        lease_client: &LeaseClient,
        commands: &mut Vec<WorkerCommand>,
    ) {
        let Some(owner) = lease_client.owner() else {
            return;
        };
        let own = |name: &str| owner.may_act(now, name);
        self.jobs.retain(|name, (token, _)| {
            let stays = own(name).is_some_and(|own| own.token == *token);
            if !stays {
                commands.push(WorkerCommand::Log(format!(
                    "fleet: acts on {name} no more, token {token}"
                )));
            }
            stays
        });
        for name in owner.names() {
            let Some(own) = own(name).filter(|_| !self.jobs.contains_key(name)) else {
                continue;
            };
            let job = match job_kind(name) {
                load_watch::KIND => {
                    let table = Table::after(own.token, self.subscriber.last_sequence());
                    Job::LoadWatch(
                        Box::default(),
                        SharedTable {
                            table,
                            acknowledged: BTreeMap::new(),
                        },
                    )
                }
                moves::KIND => Job::MigrationPacer(PacedMoves {
                    mover: MigrationPacer::resume(&own.checkpoint),
                    saved: now,
                    submitted: 0,
                }),
                _ => Job::Idle,
            };
            self.jobs.insert(name.into(), (own.token, job));
            commands.push(WorkerCommand::Log(format!(
                "fleet: acts on {name}, token {}, from step {}",
                own.token, own.checkpoint_step
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
        let report = |moving: MigrationStatus| Report {
            kind: moves::KIND.into(),
            payload: moving.encode(),
        };
        let reports = || {
            (context.migration_status)()
                .map(|(moving, _)| report(moving))
                .into_iter()
                .collect()
        };
        let owns = self.jobs.values().any(|(_, job)| !matches!(job, Job::Idle));
        let said = self.subscriber.tick(now, voters, owns, reports);
        commands.extend(
            said.into_iter()
                .map(|(voter, message)| WorkerCommand::Send(voter, message)),
        );
        let Some(leader) = leader else { return };
        for (name, next) in self.doubts.iter_mut().filter(|(_, next)| now >= **next) {
            *next = now + crate::broadcast::subscriber::POLL_INTERVAL;
            commands.push(WorkerCommand::Send(
                leader,
                Message::OperatorRequest(TOKEN, OperatorRequest::Token(name.clone())),
            ));
        }
    }

    /// A voter has told something.
    pub fn handle_updates(
        &mut self,
        now: Micros,
        voter: u64,
        lease_client: &LeaseClient,
        context: WorkContext,
        updates: Updates,
    ) -> Vec<WorkerCommand> {
        let heard = self.subscriber.handle_updates(
            now,
            voter,
            lease_client.voters().0,
            lease_client.last_token(),
            updates,
        );
        self.act_on(lease_client, context, heard)
    }

    /// A voter delivers updates.
    pub fn handle_delivery(
        &mut self,
        now: Micros,
        voter: u64,
        lease_client: &LeaseClient,
        context: WorkContext,
        delivery: Delivery,
    ) -> Vec<WorkerCommand> {
        let (voters, last) = (lease_client.voters().0, lease_client.last_token());
        let heard = self
            .subscriber
            .handle_delivery(now, voter, voters, last, delivery);
        self.act_on(lease_client, context, heard)
    }

    /// A voter says what it has of what this owner submitted.
    pub fn handle_receipt(&mut self, now: Micros, voter: u64, receipt: Receipt) {
        if !self.subscriber.handle_receipt(now, voter, &receipt) {
            return;
        }
        match self.jobs.get_mut(&receipt.job) {
            Some((_, Job::LoadWatch(_, shared))) => {
                shared.acknowledged.insert(voter, receipt.version);
            }
            Some((_, Job::MigrationPacer(moves))) => {
                receipt
                    .moves
                    .into_iter()
                    .for_each(|said| moves.mover.handle_summary(now, voter, said));
            }
            _ => {}
        }
    }

    fn act_on(
        &mut self,
        lease_client: &LeaseClient,
        context: WorkContext,
        heard: ReceivedUpdates,
    ) -> Vec<WorkerCommand> {
        self.updates_rejected += heard.rejected as u64;
        heard
            .unknown_tokens
            .into_iter()
            .for_each(|job| _ = self.doubts.entry(job).or_insert(0));
        for (relay, at, reports) in heard.reports {
            for report in reports {
                if let Some((_, Job::MigrationPacer(moves))) = self.jobs.get_mut(&report.kind) {
                    moves
                        .mover
                        .handle_report(at, relay.clone(), &report.payload);
                }
            }
        }
        heard
            .commands
            .into_iter()
            .flat_map(|order| self.obey(lease_client, context, order))
            .collect()
    }

    fn obey(
        &mut self,
        lease_client: &LeaseClient,
        context: WorkContext,
        order: OwnerCommand,
    ) -> Vec<WorkerCommand> {
        self.updates_accepted += 1;
        let mut commands = Vec::new();
        if order.is_first {
            commands.push(WorkerCommand::Log(format!(
                "fleet: obeys {} under token {}",
                order.job, order.token
            )));
        }
        match (job_kind(&order.job), &order.payload) {
            (load_watch::KIND, CommandBody::Table) => {
                let table = self.subscriber.table(&order.job);
                commands.extend(table.and_then(|table| loads_of(table, context.report_columns)));
            }
            (load_watch::KIND, CommandBody::Full(body)) => {
                let loads = LoadReports::decode(body).unwrap_or_default();
                commands.extend(rows_of(&loads, order.valid_since, context.report_columns));
            }
            (moves::KIND, CommandBody::PermittedMigrations(upto)) => {
                commands.push(WorkerCommand::PermitMigrations(*upto))
            }
            (moves::KIND, CommandBody::Full(body)) => {
                let permits = MigrationPermits::decode(body).unwrap_or_default();
                commands.extend(
                    permits
                        .for_relay(lease_client.relay())
                        .map(WorkerCommand::PermitMigrations),
                );
            }
            _ => {}
        }
        commands
    }

    /// A backend that it was to probe has answered, or has not.
    pub fn health_checked(&mut self, now: Micros, server: u64, report: Option<Vec<f32>>) {
        for (_, job) in self.jobs.values_mut() {
            if let Job::LoadWatch(watch, _) = job {
                watch.health_checked(now, server, report.clone());
            }
        }
    }

    /// The token that a job has now, as the leader says.
    pub fn learn_token(&mut self, job: &str, token: FencingToken) {
        self.doubts.remove(job);
        self.subscriber.learn_token(job, token);
    }

    /// A voter knows a newer token of a job than the one that this relay acts under.
    pub fn handle_stale_token(
        &mut self,
        now: Micros,
        lease_client: &mut LeaseClient,
        job: &str,
        token: FencingToken,
    ) {
        let Some(owner) = lease_client.owner_mut() else {
            return;
        };
        if owner.may_act(now, job).is_some_and(|own| own.token < token) {
            owner.relinquish(job, "a voter knows a newer token");
        }
        self.jobs.remove(job);
    }

    /// The jobs that it acts on, with their tokens.
    pub fn active_jobs(&self) -> impl Iterator<Item = (&str, FencingToken)> {
        self.jobs
            .iter()
            .map(|(name, (token, _))| (name.as_str(), *token))
    }

    /// When it has something to do next though nothing comes.
    pub fn next_tick(&self) -> Micros {
        let job = |job: &Job| match job {
            Job::LoadWatch(watch, _) => watch.next_tick(),
            Job::MigrationPacer(moves) => moves.mover.next_tick(),
            Job::Idle => Micros::MAX,
        };
        let jobs = self
            .jobs
            .values()
            .map(|(_, of)| job(of))
            .min()
            .unwrap_or(Micros::MAX);
        jobs.min(self.subscriber.next_tick())
    }
}

impl Worker {
    /// The table of a load watch: as this relay tells it where it owns the job, or as it knows it.
    pub fn table(&self, job: &str) -> Option<&Table> {
        match self.jobs.get(job) {
            Some((_, Job::LoadWatch(_, shared))) => Some(&shared.table),
            _ => self.subscriber.table(job),
        }
    }

    /// The table of a load watch as this relay was told it.
    pub fn received_table(&self, job: &str) -> Option<&Table> {
        self.subscriber.table(job)
    }
}

impl SharedTable {
    /// A round has ended. This relay knows at once what it tells the others.
    fn update(
        &mut self,
        now: Micros,
        loads: &LoadReports,
        columns: &[String],
    ) -> Option<WorkerCommand> {
        self.table.update(now, &loads.columns, &loads.reports);
        loads_of(&self.table, columns)
    }

    /// What the voters are told of it.
    fn tell(
        &mut self,
        now: Micros,
        job: &str,
        token: FencingToken,
        loads: &LoadReports,
        subscriber: &mut Subscriber,
    ) -> Vec<(u64, Message)> {
        let said = (job, token, self.table.version());
        subscriber.reserve_sequence(self.table.version());
        let mut out = subscriber.submit(now, said, |voter, submission| {
            let from = self.acknowledged.get(&voter).copied().unwrap_or(0);
            submission.changes = Some(serde_bytes::ByteBuf::from(self.table.changes(from)));
        });
        if subscriber.has_older_voters(now) {
            out.extend(subscriber.publish(now, said, &loads.encode()));
        }
        out
    }
}

impl PacedMoves {
    /// Permits moves, and tells the voters from time to time.
    fn tell(
        &mut self,
        now: Micros,
        job: &str,
        token: FencingToken,
        rate: u64,
        subscriber: &mut Subscriber,
    ) -> Vec<(u64, Message)> {
        let permits = self.mover.tick(now, rate);
        let number = subscriber.next_sequence();
        let mut out = Vec::new();
        if now >= self.submitted + SUBMIT {
            self.submitted = now;
            out.extend(
                subscriber.submit(now, (job, token, number), |voter, submission| {
                    submission.allowance = self.mover.allowance(voter);
                }),
            );
        }
        if let Some(permits) = permits {
            out.extend(subscriber.publish(now, (job, token, number), &permits.encode()));
        }
        out
    }
}

/// What a table says of backends, in these columns.
fn loads_of(table: &Table, columns: &[String]) -> Option<WorkerCommand> {
    let places: Option<Vec<usize>> = columns
        .iter()
        .map(|column| table.columns().iter().position(|of| of == column))
        .collect();
    let places = places?;
    let row = |row: &Row| {
        let loads: Vec<f32> = row.loads().collect();
        let wanted = places
            .iter()
            .filter_map(|place| loads.get(*place).copied())
            .collect();
        (row.backend, row.seen, wanted)
    };
    let rows: Vec<_> = table.rows().iter().map(row).collect();
    (!rows.is_empty()).then_some(WorkerCommand::LoadReports(rows))
}

/// What a whole update says of backends that was true then.
fn rows_of(loads: &LoadReports, at: Micros, columns: &[String]) -> Option<WorkerCommand> {
    let row = |(server, age, row): (u64, Micros, Vec<f32>)| (server, at.saturating_sub(age), row);
    let rows: Vec<_> = loads.rows(columns).map(row).collect();
    (!rows.is_empty()).then_some(WorkerCommand::LoadReports(rows))
}
