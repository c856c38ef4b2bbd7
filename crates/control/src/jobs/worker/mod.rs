//! Worker: runs the jobs that this relay owns, and executes the updates of other owners. No I/O and no clock.
//!
//! Input: the time, the lease, this relay's endpoints and migrations, and received messages. Output: commands that the
//! relay executes.
//!
//! An owner's message is created only in the call that has checked the lease. What leaves an owner: updates (fenced at
//! each voter and each relay), checkpoints (fenced by the log), and probes of endpoints, which carry no token and are
//! harmless when late or repeated.
//!
//! Guards against: a job that continues with the state of a former owner (each token starts new state, from the
//! checkpoint), reports to jobs that this relay does not own, and an owner that cannot do its job (it relinquishes it).

mod load_job;
mod migration_job;
mod takeover;
mod updates;

use crate::broadcast::subscriber::{Subscriber, POLL_INTERVAL};
use crate::broadcast::table::Table;
use crate::jobs::assignment::FencingToken;
use crate::jobs::moves::{self, MigrationStatus};
use crate::jobs::owner::JobOwner;
use crate::lease::client::LeaseClient;
use crate::wire::message::{Message, OperatorRequest, Report};
#[cfg(feature = "injected-bugs")]
use crate::InjectedBugs;
use crate::Micros;
use load_job::LoadJob;
use migration_job::MigrationJob;
use std::collections::BTreeMap;

/// Number of a request for a job's token. Operators send theirs over other links, so one number is enough.
const TOKEN_REQUEST_NUMBER: u64 = 1;

/// What the relay must do.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCommand {
    /// Send a message to a voter.
    Send(u64, Message),
    /// Send a message to a voter as the owner of a job. The lease was checked in this call.
    SendAsOwner(u64, Message),
    /// Probe the load of this endpoint and pass the result to [`Worker::health_checked`].
    CheckHealth(u64),
    /// Store these loads, which the owner of a load watch has published.
    LoadReports(Vec<EndpointLoad>),
    /// Permit this number of migrations, counted since the relay's start.
    PermitMigrations(u64),
    /// Write a line to the log.
    Log(String),
}

/// Load of an endpoint, dated by the local clock.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLoad {
    /// The endpoint's number.
    pub endpoint: u64,
    /// Earliest time at which the endpoint reported.
    pub seen_at: Micros,
    /// One value for each of [`WorkContext::report_columns`].
    pub values: Vec<f32>,
}

/// What the worker needs to know of its relay.
#[derive(Clone, Copy)]
pub struct WorkContext<'a> {
    /// Names of the columns in which the endpoints report their load.
    pub report_columns: &'a [String],
    /// Endpoints of a zone that may get requests, by the zone's name.
    pub endpoints_in_zone: &'a dyn Fn(&str) -> Vec<u64>,
    /// This relay's migrations, and how many per second the policy allows the whole fleet; none if the fleet does not pace
    /// them.
    pub migration_status: &'a dyn Fn() -> Option<(MigrationStatus, u64)>,
}

/// A job that this relay acts on.
struct ActiveJob {
    token: FencingToken,
    state: JobState,
}

enum JobState {
    LoadWatch(Box<LoadJob>),
    Migrations(MigrationJob),
    /// Of a kind without work in this build.
    Idle,
}

/// What a job's tick reads and writes.
struct JobTick<'a> {
    now: Micros,
    name: &'a str,
    token: FencingToken,
    context: WorkContext<'a>,
    owner: &'a mut JobOwner,
    subscriber: &'a mut Subscriber,
    commands: &'a mut Vec<WorkerCommand>,
}

impl JobTick<'_> {
    fn send_as_owner(&mut self, messages: Vec<(u64, Message)>) {
        self.commands.extend(
            messages
                .into_iter()
                .map(|(voter, message)| WorkerCommand::SendAsOwner(voter, message)),
        );
    }
}

/// The worker of one relay.
pub struct Worker {
    subscriber: Subscriber,
    jobs: BTreeMap<String, ActiveJob>,
    /// Jobs whose token must be requested, and when it is requested next.
    unknown_tokens: BTreeMap<String, Micros>,
    /// Number of updates that were rejected because a former owner sent them.
    pub updates_rejected: u64,
    /// Number of updates that were executed.
    pub updates_accepted: u64,
}

impl Worker {
    /// The worker of a process that has just started.
    pub fn new(subscriber: Subscriber) -> Worker {
        Worker {
            subscriber,
            jobs: BTreeMap::new(),
            unknown_tokens: BTreeMap::new(),
            updates_rejected: 0,
            updates_accepted: 0,
        }
    }

    /// Injects a fault, for tests of the checkers.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(self, injected: InjectedBugs) -> Worker {
        Worker {
            subscriber: self.subscriber.with_injected(injected),
            ..self
        }
    }

    /// Starts and stops jobs as the lease says, runs those that are active, and sends requests to voters.
    pub fn tick(
        &mut self,
        now: Micros,
        lease_client: &mut LeaseClient,
        context: WorkContext<'_>,
    ) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        self.take_over(now, lease_client, &mut commands);
        self.run_jobs(now, lease_client, context, &mut commands);
        self.send_requests(now, lease_client, context, &mut commands);
        commands
    }

    fn run_jobs(
        &mut self,
        now: Micros,
        lease_client: &mut LeaseClient,
        context: WorkContext<'_>,
        commands: &mut Vec<WorkerCommand>,
    ) {
        let Some(owner) = lease_client.owner_mut() else {
            return;
        };
        for (name, job) in &mut self.jobs {
            // Checked right before the job's messages are created.
            let may_act = owner
                .may_act(now, name)
                .is_some_and(|owned| owned.token == job.token);
            if !may_act {
                continue;
            }
            let tick = JobTick {
                now,
                name,
                token: job.token,
                context,
                owner,
                subscriber: &mut self.subscriber,
                commands,
            };
            match &mut job.state {
                JobState::LoadWatch(load_job) => load_job.tick(tick),
                JobState::Migrations(migration_job) => migration_job.tick(tick),
                JobState::Idle => {}
            }
        }
    }

    /// Polls voters, and requests unknown tokens from the leader.
    fn send_requests(
        &mut self,
        now: Micros,
        lease_client: &LeaseClient,
        context: WorkContext<'_>,
        commands: &mut Vec<WorkerCommand>,
    ) {
        let (voters, leader) = lease_client.voters();
        let owns_jobs = self
            .jobs
            .values()
            .any(|job| !matches!(job.state, JobState::Idle));
        let messages = self
            .subscriber
            .tick(now, voters, owns_jobs, || reports(context));
        commands.extend(
            messages
                .into_iter()
                .map(|(voter, message)| WorkerCommand::Send(voter, message)),
        );
        let Some(leader) = leader else { return };
        for (job, next_request) in &mut self.unknown_tokens {
            if now < *next_request {
                continue;
            }
            *next_request = now + POLL_INTERVAL;
            let request = OperatorRequest::Token(job.clone());
            commands.push(WorkerCommand::Send(
                leader,
                Message::OperatorRequest(TOKEN_REQUEST_NUMBER, request),
            ));
        }
    }

    /// Jobs that this relay acts on, with their tokens.
    pub fn active_jobs(&self) -> impl Iterator<Item = (&str, FencingToken)> {
        self.jobs
            .iter()
            .map(|(name, job)| (name.as_str(), job.token))
    }

    /// When [`Worker::tick`] has something to do next, if no message arrives before.
    pub fn next_tick(&self) -> Micros {
        self.jobs
            .values()
            .map(|job| match &job.state {
                JobState::LoadWatch(load_job) => load_job.next_tick(),
                JobState::Migrations(migration_job) => migration_job.next_tick(),
                JobState::Idle => Micros::MAX,
            })
            .chain([self.subscriber.next_tick()])
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// The table of a load watch: the published one if this relay owns the job, else the received one.
    pub fn table(&self, job: &str) -> Option<&Table> {
        match self.jobs.get(job).map(|job| &job.state) {
            Some(JobState::LoadWatch(load_job)) => Some(load_job.table()),
            _ => self.subscriber.table(job),
        }
    }

    /// The table of a load watch as this relay received it.
    pub fn received_table(&self, job: &str) -> Option<&Table> {
        self.subscriber.table(job)
    }
}

/// This relay's reports to job owners.
fn reports(context: WorkContext<'_>) -> Vec<Report> {
    (context.migration_status)()
        .map(|(status, _)| Report {
            kind: moves::KIND.into(),
            payload: status.encode(),
        })
        .into_iter()
        .collect()
}
