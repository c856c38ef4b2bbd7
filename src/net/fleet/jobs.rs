//! What this relay does for the fleet, and what it needs for that.

use super::{Fleet, LOCAL};
use crate::api::ServerId;
use crate::config::operator;
use crate::decide::Decisions;
use crate::load::LoadBook;
use crate::log::log;
use crate::platform::directory::Directory;
use crate::sys::boottime;
use jaspermoor_control::broadcast::subscriber::Subscriber;
use jaspermoor_control::jobs::assignment::may_be_named;
use jaspermoor_control::jobs::load_watch;
use jaspermoor_control::jobs::moves::{self, Moving};
use jaspermoor_control::jobs::owner::Owner;
use jaspermoor_control::jobs::worker::{WorkContext, Worker, WorkerCommand};
use jaspermoor_control::wire::message::{Message, Skills};
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
    pub book: Arc<LoadBook>,
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
    fn skills(&self, jobs: operator::Jobs) -> Skills {
        let mut skills = Skills::default();
        if jobs.load_watch && self.probes {
            skills.kinds.push(load_watch::KIND.into());
            let named = self
                .zones
                .iter()
                .map(|zone| format!("{}/{zone}", load_watch::KIND));
            let (may, cannot): (Vec<String>, Vec<String>) =
                named.partition(|name| may_be_named(name));
            for name in cannot {
                log(&format!("fleet.jobs.load_watch: no job can be named '{name}': a shorter name of the zone is wanted"));
            }
            skills.opens.extend(may);
        }
        if jobs.paced_moves {
            skills.kinds.push(moves::KIND.into());
            skills.opens.push(moves::KIND.into());
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
        resources.book.wakes_teller(self.poller.wake());
        if jobs.paced_moves {
            self.decisions.pace_moves();
        }
        #[cfg(not(feature = "injected-bugs"))]
        let owner = Owner::default();
        #[cfg(feature = "injected-bugs")]
        let owner = Owner::with_injected(super::injected());
        let subscriber = Subscriber::new(self.lease_client.relay().clone()).in_zone(&skills.zone);
        let subscriber = if jobs.compact_updates {
            subscriber
        } else {
            subscriber.with_whole_updates()
        };
        self.lease_client.works(owner.skilled(skills));
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
        for (server, at, report) in resources.book.take() {
            worker.found(at, server.0, report);
        }
        let (decisions, paced) = (&self.decisions, self.setup.fleet.jobs.paced_moves);
        let context = WorkContext {
            columns: &resources.columns,
            listed: &|zone| resources.of_zone(zone),
            moves: &|| moving(decisions).filter(|_| paced),
        };
        let commands = worker.turn(now, &mut self.lease_client, context);
        let figures = &self.metrics.control;
        figures.works.store(true, Relaxed);
        figures.obeyed.store(worker.obeyed, Relaxed);
        figures.refused.store(worker.refused, Relaxed);
        figures
            .spared
            .store(resources.book.spared.load(Relaxed), Relaxed);
        figures
            .made
            .store(resources.book.made.load(Relaxed), Relaxed);
        // Told by name only where it has changed: a turn is short.
        let mut told = crate::sys::lock(&figures.jobs);
        if !told
            .iter()
            .map(|(name, token)| (name.as_str(), *token))
            .eq(worker.acts_on())
        {
            *told = worker
                .acts_on()
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
            columns: &resources.columns,
            listed: &|_| Vec::new(),
            moves: &|| None,
        };
        let now = boottime();
        let commands = match message {
            Message::Updates(updates) => {
                worker.updates(now, voter, &self.lease_client, context, updates)
            }
            Message::Delivery(delivery) => {
                worker.delivery(now, voter, &self.lease_client, context, delivery)
            }
            Message::Receipt(receipt) => {
                worker.receipt(now, voter, receipt);
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
                WorkerCommand::Act(voter, message) => {
                    // The worst moment to be stopped: the lease was looked at, the order is not sent.
                    #[cfg(feature = "injected-bugs")]
                    fail::fail_point!("before-order");
                    self.send_to_voter(voter, message);
                }
                WorkerCommand::Probe(server) => {
                    if let Some((_, resources)) = &self.work {
                        resources.book.want([ServerId(server)]);
                    }
                }
                WorkerCommand::Loads(rows) => {
                    let Some((_, resources)) = &self.work else {
                        continue;
                    };
                    resources.book.forget(boottime(), |server| {
                        resources.directory.endpoint(server).is_some()
                    });
                    resources.book.tell(
                        rows.into_iter()
                            .map(|(server, at, row)| (ServerId(server), at, row)),
                    );
                }
                WorkerCommand::Permit(upto) => self.decisions.permit(upto),
                WorkerCommand::Log(line) => log(&line),
            }
        }
    }
}

/// How the fleet's moves are here, and how many a second there may be in the whole fleet.
fn moving(decisions: &Decisions) -> Option<(Moving, u64)> {
    let (waiting, made, permitted, rate) = decisions.moving()?;
    Some((
        Moving {
            waiting,
            made,
            permitted,
        },
        rate,
    ))
}
