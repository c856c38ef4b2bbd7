//! Drives the fleet's jobs on this relay: the jobs that it owns, and the updates from owners of
//! others.
//!
//! Inputs: job messages of the voters, results of health checks, the state of migrations. Outputs:
//! load reports for the relay's cache, permits for migrations, messages to the voters, metrics.

use super::dispatch::LOCAL;
use super::Fleet;
use crate::config::operator;
use crate::decision_service::DecisionService;
use crate::decisions::api::{EndpointId, Micros};
use crate::load::{LoadReport, LoadReportCache};
use crate::log::log;
use crate::platform::directory::Directory;
use crate::sys::boottime;
use jaspermoor_control::broadcast::subscriber::Subscriber;
use jaspermoor_control::jobs::assignment::is_valid_job_name;
use jaspermoor_control::jobs::load_watch;
use jaspermoor_control::jobs::moves::{self, MigrationStatus};
use jaspermoor_control::jobs::owner::JobOwner;
use jaspermoor_control::jobs::worker::{WorkContext, Worker, WorkerCommand};
use jaspermoor_control::log::voter::ReplyAddress;
use jaspermoor_control::wire::message::{JobCapabilities, Message};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;

/// The parts and settings of the relay that the fleet's jobs use.
pub struct JobResources {
    /// The relay's endpoints.
    pub directory: Arc<Directory>,
    /// Names of the zones, in the order of the settings.
    pub zones: Vec<String>,
    /// Names of the columns of a load report.
    pub report_columns: Vec<String>,
    /// The relay's own zone: an index into `zones`.
    pub own_zone: u16,
    /// Whether the settings allow health checks, and endpoints report their load in the answers.
    pub may_check_health: bool,
    /// Load reports of the load watch, and requests for health checks.
    pub load_reports: Arc<LoadReportCache>,
}

impl JobResources {
    fn endpoints_in_zone(&self, zone: &str) -> Vec<u64> {
        let Some(index) = self.zones.iter().position(|name| name == zone) else {
            return Vec::new();
        };
        self.directory
            .available_in_zone(index as u16)
            .into_iter()
            .map(|endpoint| endpoint.0)
            .collect()
    }

    /// The kinds of jobs that this relay can own, and the jobs that should exist because of it.
    fn capabilities(&self, jobs: operator::Jobs) -> JobCapabilities {
        let mut capabilities = JobCapabilities::default();
        if jobs.load_watch && self.may_check_health {
            capabilities.kinds.push(load_watch::KIND.into());
            capabilities.expected_jobs.extend(self.load_watch_jobs());
        }
        if jobs.paced_moves {
            capabilities.kinds.push(moves::KIND.into());
            capabilities.expected_jobs.push(moves::KIND.into());
        }
        let own_zone = self.zones.get(usize::from(self.own_zone));
        capabilities.zone = own_zone.cloned().unwrap_or_default();
        capabilities
    }

    /// Names of the load watch's jobs, one per zone. A zone whose name is too long for a job name
    /// is logged and has no job.
    fn load_watch_jobs(&self) -> Vec<String> {
        let names = self
            .zones
            .iter()
            .map(|zone| format!("{}/{zone}", load_watch::KIND));
        let (valid, invalid): (Vec<String>, Vec<String>) =
            names.partition(|name| is_valid_job_name(name));
        for name in invalid {
            log(&format!(
                "fleet.jobs.load_watch: '{name}' is not a valid job name; the zone needs a shorter name"
            ));
        }
        valid
    }
}

/// The worker of the fleet's jobs, with the resources that it uses.
pub(super) struct JobRunner {
    pub(super) worker: Worker,
    resources: JobResources,
}

impl Fleet {
    /// Lets this relay own jobs of the fleet and follow those of others, as its operator file and
    /// settings allow.
    pub fn enable_jobs(&mut self, resources: JobResources) {
        let jobs = self.settings.fleet.jobs;
        if !jobs.any() {
            return;
        }
        if jobs.load_watch && !resources.may_check_health {
            log("fleet.jobs.load_watch: not used: the settings allow no health checks, or backends report no load");
        }
        let capabilities = resources.capabilities(jobs);
        // An empty list of kinds would mean all kinds.
        if capabilities.kinds.is_empty() {
            return;
        }
        resources
            .load_reports
            .set_publisher_waker(self.poller.waker());
        if jobs.paced_moves {
            self.decisions.pace_migrations();
        }
        let worker = Worker::new(self.subscriber(jobs, &capabilities.zone));
        #[cfg(feature = "injected-bugs")]
        let worker = worker.with_injected(super::injected_bugs());
        #[cfg(not(feature = "injected-bugs"))]
        let owner = JobOwner::default();
        #[cfg(feature = "injected-bugs")]
        let owner = JobOwner::with_injected(super::injected_bugs());
        self.lease_client
            .set_job_owner(owner.with_capabilities(capabilities));
        self.jobs = Some(JobRunner { worker, resources });
    }

    fn subscriber(&self, jobs: operator::Jobs, zone: &str) -> Subscriber {
        let relay = self.lease_client.relay().clone();
        let subscriber = Subscriber::new(relay).in_zone(zone);
        if jobs.compact_updates {
            subscriber
        } else {
            subscriber.with_full_updates()
        }
    }

    /// Relinquishes the jobs in the first tick after a drain began.
    pub(super) fn release_jobs_on_drain(&mut self, now: Micros) {
        if self.jobs_released || !self.handle.drain.load(Relaxed) {
            return;
        }
        self.jobs_released = true;
        let renewal = self.lease_client.relinquish_jobs(now);
        self.apply_lease_actions(renewal);
    }

    /// Does one tick of the jobs.
    pub(super) fn run_jobs(&mut self) {
        let Some(JobRunner { worker, resources }) = &mut self.jobs else {
            return;
        };
        for result in resources.load_reports.take_results() {
            worker.health_checked(result.checked_at, result.endpoint.0, result.report);
        }
        // After the results were taken: none of them is of a later time.
        let now = boottime();
        let decisions = &self.decisions;
        let paced_moves = self.settings.fleet.jobs.paced_moves;
        let context = WorkContext {
            report_columns: &resources.report_columns,
            endpoints_in_zone: &|zone| resources.endpoints_in_zone(zone),
            migration_status: &|| migration_status(decisions).filter(|_| paced_moves),
        };
        let commands = worker.tick(now, &mut self.lease_client, context);
        self.update_job_metrics();
        self.apply_worker_commands(commands);
    }

    fn update_job_metrics(&self) {
        let Some(JobRunner { worker, resources }) = &self.jobs else {
            return;
        };
        let metrics = &self.metrics.fleet;
        let checks_avoided = resources.load_reports.checks_avoided.load(Relaxed);
        let checks_sent = resources.load_reports.checks_sent.load(Relaxed);
        metrics.takes_jobs.store(true, Relaxed);
        metrics
            .updates_accepted
            .store(worker.updates_accepted, Relaxed);
        metrics
            .updates_rejected
            .store(worker.updates_rejected, Relaxed);
        metrics.checks_avoided.store(checks_avoided, Relaxed);
        metrics.checks_sent.store(checks_sent, Relaxed);
        let mut published_jobs = crate::sys::lock(&metrics.owned_jobs);
        let published = published_jobs
            .iter()
            .map(|(name, token)| (name.as_str(), *token));
        // Names are copied only after a change: this runs in each tick.
        if !published.eq(worker.active_jobs()) {
            *published_jobs = worker
                .active_jobs()
                .map(|(name, token)| (name.to_string(), token))
                .collect();
        }
    }

    /// Handles a voter's message about jobs.
    pub(super) fn handle_job_message(&mut self, from: ReplyAddress, message: Message) {
        let voter = if from == LOCAL {
            self.settings.fleet.voter
        } else {
            self.links.get(&from).and_then(|link| link.dialled_voter)
        };
        // Job messages are accepted only from voters that this relay has dialled.
        let Some(voter) = voter else {
            return;
        };
        let Some(JobRunner { worker, resources }) = &mut self.jobs else {
            return;
        };
        // Handling a message needs only the columns; the worker's tick reads endpoints and
        // migrations.
        let context = WorkContext {
            report_columns: &resources.report_columns,
            endpoints_in_zone: &|_| Vec::new(),
            migration_status: &|| None,
        };
        let now = boottime();
        let commands = match message {
            Message::Updates(updates) => {
                worker.handle_updates(now, voter, &self.lease_client, context, updates)
            }
            Message::Delivery(delivery) => {
                worker.handle_delivery(now, voter, &self.lease_client, context, delivery)
            }
            Message::Receipt(receipt) => {
                worker.handle_receipt(now, voter, receipt);
                return;
            }
            _ => return,
        };
        self.apply_worker_commands(commands);
    }

    /// Handles the answer that a job of this relay has a newer token, and therefore another owner.
    pub(super) fn handle_stale_token(&mut self, job: &str, token: u64) {
        let Some(jobs) = &mut self.jobs else {
            return;
        };
        log(&format!(
            "fleet: {job} has a newer token, {token}: this relay no longer acts on it"
        ));
        jobs.worker
            .handle_stale_token(boottime(), &mut self.lease_client, job, token);
    }

    fn apply_worker_commands(&mut self, commands: Vec<WorkerCommand>) {
        for command in commands {
            match command {
                WorkerCommand::Send(voter, message) => self.send_to_voter(voter, message),
                WorkerCommand::SendAsOwner(voter, message) => {
                    // Tests stop the process here, between the check of its lease and the message
                    // that depends on it.
                    #[cfg(feature = "injected-bugs")]
                    fail::fail_point!("before-order");
                    self.send_to_voter(voter, message);
                }
                WorkerCommand::CheckHealth(endpoint) => {
                    if let Some(jobs) = &self.jobs {
                        let load_reports = &jobs.resources.load_reports;
                        load_reports.request_checks([EndpointId(endpoint)]);
                    }
                }
                WorkerCommand::LoadReports(rows) => {
                    if let Some(jobs) = &self.jobs {
                        let reports = rows.into_iter().map(|row| LoadReport {
                            endpoint: EndpointId(row.endpoint),
                            measured_at: row.seen_at,
                            values: row.values,
                        });
                        insert_load_reports(&jobs.resources, reports);
                    }
                }
                WorkerCommand::PermitMigrations(upto) => self.decisions.permit_migrations(upto),
                WorkerCommand::Log(line) => log(&line),
            }
        }
    }
}

/// Inserts received load reports, after evicting those of endpoints that are no longer listed.
fn insert_load_reports(resources: &JobResources, reports: impl Iterator<Item = LoadReport>) {
    let is_listed = |endpoint| resources.directory.backend_address(endpoint).is_some();
    resources.load_reports.evict(boottime(), is_listed);
    resources.load_reports.insert(reports);
}

/// The state of migrations on this relay, and the limit of migrations per second for the whole
/// fleet.
fn migration_status(decisions: &DecisionService) -> Option<(MigrationStatus, u64)> {
    let progress = decisions.migration_status()?;
    let status = MigrationStatus {
        waiting: progress.waiting,
        completed: progress.completed,
        permitted: progress.permitted,
    };
    Some((status, progress.max_per_second))
}
