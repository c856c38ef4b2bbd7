//! One hollow relay: the thread of the control, its ledger and its links, and the decisions that it tells whether clients
//! may be admitted.

use super::prober::{Prober, COLUMNS};
use super::protocol::FleetOptions;
use crate::scale::plan::ZONES;
use crate::scale::process::time_of_thread;
use crate::scale::record::{Amount, Traffic};
use crossbeam_channel::bounded;
use jaspermoor::config::endpoint_list::{endpoint_id, BackendAddress};
use jaspermoor::config::operator::{self, FleetVoter};
use jaspermoor::config::policy::PolicyRules;
use jaspermoor::decision_service::{DecisionService, Hooks};
use jaspermoor::decisions::api::{EndpointState, ListedEndpoint, Settings};
use jaspermoor::load::LoadReportCache;
use jaspermoor::net::fleet::{Fleet, FleetSettings, Handle, JobResources};
use jaspermoor::ops::metrics::Metrics;
use jaspermoor::ops::traffic::Direction;
use jaspermoor::platform::directory::Directory;
use std::error::Error;
use std::path::PathBuf;
use std::sync::atomic::{AtomicI32, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

type Failure = Box<dyn Error + Send + Sync>;

/// Stack of its thread, as the program has it.
const STACK: usize = 1024 * 1024;

/// See the module's text.
pub struct HollowRelay {
    /// What it is told about admission.
    pub decisions: Arc<DecisionService>,
    /// Its figures.
    pub metrics: Arc<Metrics>,
    handle: Handle,
    thread: JoinHandle<()>,
    /// The number of its thread; 0 before it runs.
    number: Arc<AtomicI32>,
}

impl HollowRelay {
    /// Opens its ledger, or makes it, and runs it.
    pub fn open(
        name: &str,
        zone: u16,
        options: &FleetOptions,
        directory: &Arc<Directory>,
        prober: &Prober,
    ) -> Result<HollowRelay, Failure> {
        let decisions = decisions();
        let setup = setup(name, options);
        let opened = Fleet::open(setup, name, PolicyRules::default(), decisions.clone());
        let mut fleet = opened.map_err(|e| format!("{name}: {e}"))?;
        if !options.watched_zones.is_empty() || options.paced_moves {
            fleet.enable_jobs(resources(zone, options, directory, prober));
        }
        let (handle, metrics) = (fleet.handle(), Arc::<Metrics>::default());
        let (number, figures) = (Arc::<AtomicI32>::default(), metrics.clone());
        let own_number = number.clone();
        let thread = thread::Builder::new()
            .name(name.into())
            .stack_size(STACK)
            .spawn(move || {
                own_number.store(rustix::thread::gettid().as_raw_nonzero().get(), Relaxed);
                fleet.run(figures);
            })?;
        Ok(HollowRelay {
            decisions,
            metrics,
            handle,
            thread,
            number,
        })
    }

    /// Ends it, as the program does when it is told to stop: its jobs are given up first.
    pub fn end(self) {
        self.handle.shutdown();
        let _ = self.thread.join();
    }

    /// Time on a processor of its thread so far, in nanoseconds.
    pub fn cpu_ns(&self) -> u64 {
        time_of_thread(self.number.load(Relaxed)).map_or(0, |time| time.as_nanos() as u64)
    }

    /// Messages and bytes so far.
    pub fn traffic(&self) -> Traffic {
        let mut traffic = Traffic::default();
        for count in self.metrics.fleet.traffic.counts() {
            let by_kind = match count.direction {
                Direction::Sent => &mut traffic.sent,
                Direction::Received => &mut traffic.received,
            };
            let amount = Amount {
                messages: count.messages as f64,
                bytes: count.bytes as f64,
            };
            by_kind.insert(count.kind.into(), amount);
        }
        traffic
    }
}

/// Decisions that nobody asks for a backend.
fn decisions() -> Arc<DecisionService> {
    let (probe, _) = bounded(1);
    let orders = Hooks {
        watch_endpoint_list: Box::new(|_| ()),
        check_health: probe,
    };
    DecisionService::new(Settings::default(), 1, Vec::new(), orders)
}

fn setup(name: &str, options: &FleetOptions) -> FleetSettings {
    let voter = |(number, address): &(u64, _)| FleetVoter {
        number: *number,
        address: *address,
        listen: None,
    };
    let fleet = operator::Fleet {
        id: options.id.clone(),
        directory: options.directory.join(name),
        keys: PathBuf::new(),
        voter: None,
        voters: options.voters.iter().map(voter).collect(),
        alone: operator::LeaderlessMode::Refuse,
        lease_ms: options.lease_ms,
        patience_ms: options.patience_ms,
        jobs: operator::Jobs {
            load_watch: !options.watched_zones.is_empty(),
            paced_moves: options.paced_moves,
            compact_updates: true,
        },
    };
    let directory = fleet.directory.clone();
    FleetSettings {
        fleet,
        keys: vec![options.key.clone().into_bytes()],
        directory,
    }
}

fn resources(
    zone: u16,
    options: &FleetOptions,
    directory: &Arc<Directory>,
    prober: &Prober,
) -> JobResources {
    let book = Arc::<LoadReportCache>::default();
    prober.serve(&book);
    JobResources {
        directory: directory.clone(),
        zones: options.watched_zones.clone(),
        report_columns: COLUMNS.map(String::from).into(),
        own_zone: zone,
        may_check_health: true,
        load_reports: book,
    }
}

/// The list of backends, which all hollow relays of a process share.
pub fn directory(options: &FleetOptions) -> Arc<Directory> {
    let directory = Arc::<Directory>::default();
    let entry = |(name, addr, zone): &(String, _, u16)| {
        let member = ListedEndpoint {
            id: endpoint_id(name),
            zone: (*zone).min(ZONES.len() as u16 - 1),
            cell: 0,
            state: EndpointState::Ready,
            size: 1.0,
            started_at: None,
        };
        (
            BackendAddress {
                name: name.clone(),
                addr: *addr,
            },
            member,
        )
    };
    directory.update(
        true,
        &options.backends.iter().map(entry).collect::<Vec<_>>(),
    );
    directory
}
