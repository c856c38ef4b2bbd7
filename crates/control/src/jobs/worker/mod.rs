//! Worker: runs the jobs that this relay owns, and executes the updates of other owners. It does no
//! I/O and reads no clock.
//!
//! Input: the time, the lease, this relay's endpoints and migrations, and received messages.
//! Output: commands that the relay executes.
//!
//! An owner's messages are created only in the call that has checked the lease. An owner sends
//! updates (fenced at each voter and each relay), checkpoints (fenced by the log), and health
//! checks, which carry no token but are harmless when late or repeated.
//!
//! Guards against: a job that continues with the state of an earlier assignment (each token starts
//! with new state from the checkpoint), reports to jobs that this relay does not own (ignored), and
//! an owner that cannot do its job (it relinquishes it).

mod active_jobs;
mod load_job;
mod migration_job;
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

/// Number of a request for a job's token. It is always the same, since operators send their
/// requests over other links.
const TOKEN_REQUEST_NUMBER: u64 = 1;

/// A command that the relay must execute.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCommand {
    /// Send a message to a voter.
    Send(u64, Message),
    /// Send a message to a voter as the owner of a job. The lease was checked in this call.
    SendAsOwner(u64, Message),
    /// Check the health of this endpoint and pass the result to [`Worker::health_checked`].
    CheckHealth(u64),
    /// Store these loads, which the owner of a load watch has published.
    LoadReports(Vec<EndpointLoad>),
    /// Permit this total number of migrations, counted since the relay's start.
    PermitMigrations(u64),
    /// Write a line to the relay's log output.
    Log(String),
}

/// Load of an endpoint, with a time of the local clock.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLoad {
    /// The endpoint's number.
    pub endpoint: u64,
    /// Earliest time at which the endpoint reported.
    pub seen_at: Micros,
    /// One value for each of [`WorkContext::report_columns`].
    pub values: Vec<f32>,
}

/// Settings and state of the relay that the worker needs.
#[derive(Clone, Copy)]
pub struct WorkContext<'a> {
    /// Names of the columns in which the endpoints report their load.
    pub report_columns: &'a [String],
    /// Endpoints of a zone that may get requests, by the zone's name.
    pub endpoints_in_zone: &'a dyn Fn(&str) -> Vec<u64>,
    /// This relay's migrations, and how many per second the policy allows the whole fleet; `None`
    /// if the policy does not limit them.
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
    /// A kind of job for which this build has no work.
    Idle,
}

/// Arguments of a job's tick.
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
    /// Jobs whose tokens must be requested, and when each is requested next.
    unknown_tokens: BTreeMap<String, Micros>,
    /// Number of updates that were rejected because a former owner sent them.
    pub updates_rejected: u64,
    /// Number of updates that were executed.
    pub updates_accepted: u64,
}

impl Worker {
    /// Creates the worker of a process that has just started.
    pub fn new(subscriber: Subscriber) -> Worker {
        Worker {
            subscriber,
            jobs: BTreeMap::new(),
            unknown_tokens: BTreeMap::new(),
            updates_rejected: 0,
            updates_accepted: 0,
        }
    }

    /// Injects a bug, for tests of the checkers.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(self, injected: InjectedBugs) -> Worker {
        Worker {
            subscriber: self.subscriber.with_injected(injected),
            ..self
        }
    }

    /// Starts and stops jobs according to the lease, runs the active ones, and sends requests to
    /// voters.
    pub fn tick(
        &mut self,
        now: Micros,
        lease_client: &mut LeaseClient,
        context: WorkContext<'_>,
    ) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        self.sync_active_jobs(now, lease_client, &mut commands);
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

    /// Sends requests to voters, and requests unknown tokens from the leader.
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

    /// When [`Worker::tick`] has something to do next, unless a message arrives before.
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

    /// The table of a load watch: the published one if this relay owns the job, else the received
    /// one.
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
