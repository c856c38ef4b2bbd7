//! Measurements of the data path at the sizes of an installation: standing connections, deliveries to the listeners of a
//! topic, and set-ups, each at several sizes, as results that `scale fit` takes.

mod deliveries;
mod listeners;
mod set_ups;
mod standing;
mod topic;

use super::Failure;
use crate::demo::setup;
use crate::discovery::{Discovery, Entry};
use crate::relay::Relay;
use crate::scale::process::{self, ProcessSample};
use crate::scale::record::{append, Origin, Record};
use indicatif::ProgressBar;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use topic::Topic;

/// Standing connections whose memory and descriptors are measured, as far as descriptors allow.
const STANDING: [u64; 6] = [1_000, 2_000, 4_000, 6_000, 8_000, 20_000];
/// Listeners of one topic at one relay: 520,000 over 550 relays.
const LISTENERS: u64 = 945;
/// Deliveries a second through one relay: 5 million over 550 relays is the last.
const DELIVERIES: [u64; 5] = [945, 1_890, 3_780, 6_615, 9_100];
/// Set-ups a second.
const SET_UPS: [u64; 5] = [25, 50, 100, 200, 400];
/// How long each rate is measured.
const MEASURED: Duration = Duration::from_secs(5);
/// Descriptors that are left to the tool and the relay for other than connections.
const SPARE_DESCRIPTORS: u64 = 400;
/// Memory that the relay is told it has: room for all connections, as it reckons them.
const RELAY_MEMORY_MB: u64 = 4_096;

/// What is measured, and where its results go.
pub struct Plan {
    /// The relay's program.
    pub program: PathBuf,
    /// A directory for files.
    pub dir: PathBuf,
    /// The file that results are appended to.
    pub json: Option<PathBuf>,
    /// What distinguishes these results from others.
    pub label: String,
}

/// A relay between a topic's backend and its listeners.
struct Rig {
    topic: Topic,
    relay: Relay,
    origin: Origin,
    _discovery: Discovery,
}

impl Rig {
    fn start(plan: &Plan, connections: u64) -> Result<Rig, Failure> {
        let topic = Topic::start()?;
        let discovery = Discovery::start(None, &[Entry::active("s-1", topic.addr)])?;
        let mut setup = setup(&plan.program, &plan.dir, &discovery);
        // A relay has one processor on the platform.
        setup.core = Some(0);
        // It lets clients that are served hold a third of its descriptors at most.
        setup.sockets = 3 * connections + 2_048;
        let memory = format!("\"memory_mb\": {RELAY_MEMORY_MB}");
        setup.replace.push(("\"memory_mb\": 192".into(), memory));
        let relay = Relay::start(&setup)?;
        let origin = crate::scale::origin(&plan.label, "none")?;
        Ok(Rig {
            topic,
            relay,
            origin,
            _discovery: discovery,
        })
    }

    fn sample(&self) -> Result<Look, Failure> {
        Ok(Look {
            at: Instant::now(),
            sample: process::sample(self.relay.pid(), "")?,
        })
    }
}

/// A look at the relay's process, and when it was.
struct Look {
    at: Instant,
    sample: ProcessSample,
}

impl Look {
    /// The relay's part of a processor since an earlier look.
    fn core_since(&self, earlier: &Look) -> f64 {
        let busy = self
            .sample
            .on_processor
            .saturating_sub(earlier.sample.on_processor);
        busy.as_secs_f64() / self.at.duration_since(earlier.at).as_secs_f64()
    }
}

/// Measures all, appends the results to the file, and returns them.
pub fn run(plan: &Plan) -> Result<Vec<Record>, Failure> {
    let descriptors = process::raise_descriptor_limit();
    let mut records = Vec::new();
    let bar = ProgressBar::new((STANDING.len() + DELIVERIES.len() + SET_UPS.len()) as u64);
    let mut keep = |record: Record| -> Result<(), Failure> {
        bar.inc(1);
        if let Some(file) = &plan.json {
            append(file, &record)?;
        }
        records.push(record);
        Ok(())
    };
    // Each connection takes two descriptors in the relay and two in this process.
    let most = descriptors.saturating_sub(SPARE_DESCRIPTORS) / 2;
    for part in [standing::run, deliveries::run, set_ups::run] {
        let rig = Rig::start(plan, most)?;
        part(&rig, most, &mut keep)?;
    }
    bar.finish_and_clear();
    Ok(records)
}

/// Measures all, and says it in lines for people.
pub fn report(plan: &Plan) -> Result<String, Failure> {
    let lines = run(plan)?
        .iter()
        .map(serde_json::to_string)
        .collect::<Result<Vec<_>, _>>()?;
    Ok(lines.join("\n") + "\n")
}
