//! What this relay does for the fleet, and what it needs for that.

use super::{Fleet, LOCAL};
use crate::config::operator;
use crate::decision_service::DecisionService;
use crate::decisions::api::EndpointId;
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
use jaspermoor_control::wire::message::{JobCapabilities, Message};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;

/// What jobs of the fleet need of the relay.
pub struct JobResources {
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
    pub book: Arc<LoadReportCache>,
}

impl JobResources {
    fn of_zone(&self, zone: &str) -> Vec<u64> {
        let Some(at) = self.zones.iter().position(|of| of == zone) else {
            return Vec::new();
        };
        self.directory
            .of_zone(at as u16)
            .into_iter()
            .map(|server| server.0)
            .collect()
    }

    /// What this relay can do for the fleet.
    fn skills(&self, jobs: operator::Jobs) -> JobCapabilities {
        let mut skills = JobCapabilities::default();
        if jobs.load_watch && self.probes {
            skills.kinds.push(load_watch::KIND.into());
            let named = self
                .zones
                .iter()
                .map(|zone| format!("{}/{zone}", load_watch::KIND));
            let (may, cannot): (Vec<String>, Vec<String>) =
                named.partition(|name| is_valid_job_name(name));
            for name in cannot {
                log(&format!("fleet.jobs.load_watch: no job can be named '{name}': a shorter name of the zone is wanted"));
            }
            skills.expected_jobs.extend(may);
        }
        if jobs.paced_moves {
            skills.kinds.push(moves::KIND.into());
            skills.expected_jobs.push(moves::KIND.into());
        }
        skills.zone = self
            .zones
            .get(usize::from(self.zone))
            .cloned()
            .unwrap_or_default();
        skills
    }
}

impl Fleet {
    /// It takes jobs of the fleet, and follows those that others have, as far as its operator file wants that.
    pub fn work_with(&mut self, resources: JobResources) {
        let jobs = self.setup.fleet.jobs;
        if !jobs.any() {
            return;
        }
        if jobs.load_watch && !resources.probes {
            log("fleet.jobs.load_watch: the settings allow no probes, or backends tell no load: it does none of that");
        }
        let skills = resources.skills(jobs);
        // Without any kind it would be given jobs of all kinds.
        if skills.kinds.is_empty() {
            return;
        }
        resources.book.set_publisher_waker(self.poller.wake());
        if jobs.paced_moves {
            self.decisions.pace_migrations();
        }
        #[cfg(not(feature = "injected-bugs"))]
        let owner = JobOwner::default();
        #[cfg(feature = "injected-bugs")]
        let owner = JobOwner::with_injected(super::injected());
        let subscriber = Subscriber::new(self.lease_client.relay().clone()).in_zone(&skills.zone);
        let subscriber = if jobs.compact_updates {
            subscriber
        } else {
            subscriber.with_whole_updates()
        };
        self.lease_client
            .set_job_owner(owner.with_capabilities(skills));
        let worker = Worker::new(subscriber);
        #[cfg(feature = "injected-bugs")]
        let worker = worker.with_injected(super::injected());
        self.work = Some((worker, resources));
    }

    /// What it does for the fleet.
    pub(super) fn do_jobs(&mut self) {
        let Some((worker, resources)) = &mut self.work else {
            return;
        };
        let now = boottime();
        for result in resources.book.take_results() {
            worker.health_checked(result.checked_at, result.endpoint.0, result.report);
        }
        let (decisions, paced) = (&self.decisions, self.setup.fleet.jobs.paced_moves);
        let context = WorkContext {
            report_columns: &resources.columns,
            endpoints_in_zone: &|zone| resources.of_zone(zone),
            migration_status: &|| moving(decisions).filter(|_| paced),
        };
        let commands = worker.tick(now, &mut self.lease_client, context);
        let figures = &self.metrics.control;
        figures.works.store(true, Relaxed);
        figures.obeyed.store(worker.updates_accepted, Relaxed);
        figures.refused.store(worker.updates_rejected, Relaxed);
        figures
            .spared
            .store(resources.book.checks_avoided.load(Relaxed), Relaxed);
        figures
            .made
            .store(resources.book.checks_sent.load(Relaxed), Relaxed);
        // Told by name only where it has changed: a turn is short.
        let mut told = crate::sys::lock(&figures.jobs);
        if !told
            .iter()
            .map(|(name, token)| (name.as_str(), *token))
            .eq(worker.active_jobs())
        {
            *told = worker
                .active_jobs()
                .map(|(name, token)| (name.to_string(), token))
                .collect();
        }
        drop(told);
        self.carry_out_commands(commands);
    }

    /// Takes what a voter tells of the jobs.
    pub(super) fn hear_updates(&mut self, from: u64, message: Message) {
        let voter = if from == LOCAL {
            self.setup.fleet.voter
        } else {
            self.links.get(&from).and_then(|link| link.voter)
        };
        let (Some(voter), Some((worker, resources))) = (voter, &mut self.work) else {
            return;
        };
        let context = WorkContext {
            report_columns: &resources.columns,
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
        self.carry_out_commands(commands);
    }

    pub(super) fn carry_out_commands(&mut self, commands: Vec<WorkerCommand>) {
        for command in commands {
            match command {
                WorkerCommand::Send(voter, message) => self.send_to_voter(voter, message),
                WorkerCommand::SendAsOwner(voter, message) => {
                    // The worst moment to be stopped: the lease was looked at, the order is not sent.
                    #[cfg(feature = "injected-bugs")]
                    fail::fail_point!("before-order");
                    self.send_to_voter(voter, message);
                }
                WorkerCommand::CheckHealth(server) => {
                    if let Some((_, resources)) = &self.work {
                        resources.book.request_checks([EndpointId(server)]);
                    }
                }
                WorkerCommand::LoadReports(rows) => {
                    let Some((_, resources)) = &self.work else {
                        continue;
                    };
                    resources.book.evict(boottime(), |server| {
                        resources.directory.endpoint(server).is_some()
                    });
                    let reports = rows.into_iter().map(|load| LoadReport {
                        endpoint: EndpointId(load.endpoint),
                        measured_at: load.seen_at,
                        columns: load.values,
                    });
                    resources.book.insert(reports);
                }
                WorkerCommand::PermitMigrations(upto) => self.decisions.permit_migrations(upto),
                WorkerCommand::Log(line) => log(&line),
            }
        }
    }
}

/// How the fleet's moves are here, and how many a second there may be in the whole fleet.
fn moving(decisions: &DecisionService) -> Option<(MigrationStatus, u64)> {
    let progress = decisions.migration_status()?;
    Some((
        MigrationStatus {
            waiting: progress.waiting,
            completed: progress.completed,
            permitted: progress.permitted,
        },
        progress.max_per_second,
    ))
}
