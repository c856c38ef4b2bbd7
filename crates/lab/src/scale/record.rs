//! The results of runs: one JSON object a line, so that a later run can be compared with an earlier one.

use super::error::ScaleError;
use super::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;

/// One result, of whichever kind of run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Record {
    /// A whole fleet: voters, relays and hollow relays.
    Scale(Box<ScaleRecord>),
    /// Standing connections of one relay.
    Standing(StandingRecord),
    /// Deliveries of one topic through one relay.
    Deliveries(DeliveryRecord),
    /// Connections set up at one relay.
    SetUps(SetUpRecord),
}

/// Where and when a result was measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Origin {
    /// Seconds since 1970.
    pub unix_seconds: u64,
    /// What distinguishes this set of runs from others, as its caller names it.
    pub label: String,
    /// Processors of the machine.
    pub processors: usize,
    /// Memory of the machine, in bytes.
    pub memory_bytes: u64,
    /// Where ledgers stood: a directory in memory makes a sync free.
    pub ledgers: String,
}

/// Messages and bytes a second, or in all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Amount {
    /// Messages.
    pub messages: f64,
    /// Bytes with their frames.
    pub bytes: f64,
}

/// What was sent and received, by the type of message.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Sent.
    pub sent: BTreeMap<String, Amount>,
    /// Received.
    pub received: BTreeMap<String, Amount>,
}

impl Traffic {
    /// Bytes of all types, sent and received together.
    pub fn bytes(&self) -> f64 {
        self.sent
            .values()
            .chain(self.received.values())
            .map(|amount| amount.bytes)
            .sum()
    }

    /// Messages of all types, sent and received together.
    pub fn messages(&self) -> f64 {
        self.sent
            .values()
            .chain(self.received.values())
            .map(|amount| amount.messages)
            .sum()
    }

    /// What has come since an earlier reading of the same counters, each multiplied by a factor.
    pub fn since(&self, earlier: &Traffic, factor: f64) -> Traffic {
        Traffic {
            sent: amounts_since(&self.sent, &earlier.sent, factor),
            received: amounts_since(&self.received, &earlier.received, factor),
        }
    }

    /// Adds another one's amounts, each multiplied by a factor.
    pub fn add(&mut self, other: &Traffic, factor: f64) {
        for (own, others) in [
            (&mut self.sent, &other.sent),
            (&mut self.received, &other.received),
        ] {
            for (kind, amount) in others {
                let own = own.entry(kind.clone()).or_default();
                own.messages += amount.messages * factor;
                own.bytes += amount.bytes * factor;
            }
        }
    }
}

fn amounts_since(
    now: &BTreeMap<String, Amount>,
    earlier: &BTreeMap<String, Amount>,
    factor: f64,
) -> BTreeMap<String, Amount> {
    let since = |(kind, amount): (&String, &Amount)| {
        let before = earlier.get(kind).copied().unwrap_or_default();
        // A process that was started anew counts from 0.
        let messages = (amount.messages - before.messages).max(0.0) * factor;
        let bytes = (amount.bytes - before.bytes).max(0.0) * factor;
        (kind.clone(), Amount { messages, bytes })
    };
    now.iter().map(since).collect()
}

/// One voter, one relay, or the mean of several, over a window of time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberFigures {
    /// Its name.
    pub name: String,
    /// Messages and bytes a second.
    pub per_second: Traffic,
    /// Time on a processor of the thread that does the control, as a fraction of one processor.
    pub control_core: f64,
    /// The same of the whole process; 0 for a relay that shares its process.
    pub process_core: f64,
    /// Resident memory in bytes: of the whole process, or the share of one hollow relay.
    pub memory_bytes: f64,
    /// Threads of the process; 0 for a relay that shares its process.
    pub threads: u64,
    /// Open descriptors of the process; 0 for a relay that shares its process.
    pub descriptors: u64,
}

/// A process that has many hollow relays.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostFigures {
    /// Hollow relays in it.
    pub relays: usize,
    /// Time on a processor, as a fraction of one.
    pub core: f64,
    /// Resident memory in bytes.
    pub memory_bytes: u64,
    /// Resident memory in bytes before any relay was opened.
    pub memory_at_start: u64,
    /// Threads.
    pub threads: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// All roles over a window of time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// How long it was.
    pub seconds: f64,
    /// Each voter.
    pub voters: Vec<MemberFigures>,
    /// Each relay with a process of its own.
    pub real: Vec<MemberFigures>,
    /// The mean of all hollow relays.
    pub hollow_mean: MemberFigures,
    /// The hollow relay with most bytes.
    pub hollow_busiest: MemberFigures,
    /// The most time on a processor of any hollow relay, as a fraction of one processor.
    pub hollow_most_core: f64,
    /// Processes of hollow relays.
    pub hosts: Vec<HostFigures>,
}

impl Window {
    /// Bytes a second of the busiest relay that has no vote.
    pub fn relay_bytes(&self) -> f64 {
        let real = self.real.iter().map(|relay| relay.per_second.bytes());
        real.fold(self.hollow_busiest.per_second.bytes(), f64::max)
    }

    /// Messages a second of the mean hollow relay.
    pub fn relay_mean_messages(&self) -> f64 {
        self.hollow_mean.per_second.messages()
    }

    /// The control's part of a processor at the busiest relay that has no vote.
    pub fn relay_core(&self) -> f64 {
        self.real
            .iter()
            .map(|relay| relay.control_core)
            .fold(self.hollow_most_core, f64::max)
    }

    /// Memory of the relay's whole process that has most; of a hollow relay where there is no other.
    pub fn relay_memory(&self) -> f64 {
        match self.real.is_empty() {
            true => self.hollow_mean.memory_bytes,
            false => self
                .real
                .iter()
                .map(|relay| relay.memory_bytes)
                .fold(0.0, f64::max),
        }
    }

    /// Bytes a second of the busiest voter.
    pub fn voter_bytes(&self) -> f64 {
        self.voters
            .iter()
            .map(|voter| voter.per_second.bytes())
            .fold(0.0, f64::max)
    }

    /// Messages a second of the busiest voter.
    pub fn voter_messages(&self) -> f64 {
        self.voters
            .iter()
            .map(|voter| voter.per_second.messages())
            .fold(0.0, f64::max)
    }

    /// The control's part of a processor at the busiest voter.
    pub fn voter_core(&self) -> f64 {
        self.voters
            .iter()
            .map(|voter| voter.control_core)
            .fold(0.0, f64::max)
    }

    /// Memory of the voter's process that has most.
    pub fn voter_memory(&self) -> f64 {
        self.voters
            .iter()
            .map(|voter| voter.memory_bytes)
            .fold(0.0, f64::max)
    }
}

/// One policy change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The epoch that it became.
    pub epoch: u64,
    /// Milliseconds from the proposal until the last serving relay was under it.
    pub in_force_ms: f64,
    /// Milliseconds from the proposal until the command that made it had its outcome.
    pub outcome_ms: f64,
    /// Milliseconds without admission, over the relays: median and worst.
    pub closed_p50_ms: f64,
    /// See `closed_p50_ms`.
    pub closed_worst_ms: f64,
}

/// A fault and what followed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FaultRecord {
    /// The kind of fault.
    pub kind: String,
    /// How many relays or voters it was done to.
    pub harmed: usize,
    /// Milliseconds from the fault, or from its end where a process had to start anew, until each harmed relay had a lease:
    /// median and worst.
    pub lease_p50_ms: f64,
    /// See `lease_p50_ms`.
    pub lease_worst_ms: f64,
    /// The longest time without admission at any relay that nothing was done to, in milliseconds.
    pub others_closed_worst_ms: f64,
    /// A change that was proposed right after the fault: milliseconds until it was in force.
    pub change_in_force_ms: f64,
}

/// The median and the worst of some times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Times {
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// Worst, in milliseconds.
    pub worst_ms: f64,
}

/// What a run of a whole fleet has shown.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ScaleRecord {
    /// See [`Origin`].
    pub origin: Origin,
    /// What was asked for.
    pub plan: Plan,
    /// Milliseconds from the start of the last process until all relays admitted clients for the first time.
    pub start_ms: f64,
    /// The steady part: no change, no fault.
    pub steady: Window,
    /// The part with changes.
    pub changing: Window,
    /// Each change.
    pub changes: Vec<ChangeRecord>,
    /// From the proposal of a change until the last serving relay was under it.
    pub in_force: Times,
    /// Without admission, a relay and change.
    pub closed: Times,
    /// The fault, where one was asked for.
    pub fault: Option<FaultRecord>,
    /// Rules that were broken, each in a sentence.
    pub broken: Vec<String>,
}

/// A number of standing connections.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StandingRecord {
    /// See [`Origin`].
    pub origin: Origin,
    /// Connections that stand.
    pub connections: u64,
    /// Resident memory of the relay, in bytes.
    pub memory_bytes: u64,
    /// Its open descriptors.
    pub descriptors: u64,
    /// Its part of a processor while nothing is sent.
    pub core: f64,
}

/// A rate of deliveries to the listeners of one topic.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DeliveryRecord {
    /// See [`Origin`].
    pub origin: Origin,
    /// Connections that listen to the topic.
    pub listeners: u64,
    /// Deliveries a second that were asked for.
    pub asked_per_second: f64,
    /// Deliveries a second that came.
    pub delivered_per_second: f64,
    /// Deliveries that were sent and never came.
    pub lost: u64,
    /// The relay's part of a processor.
    pub core: f64,
    /// Milliseconds from the publication until a listener had it: median, and 99 of 100.
    pub p50_ms: f64,
    /// See `p50_ms`.
    pub p99_ms: f64,
}

/// A rate of connections set up and ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SetUpRecord {
    /// See [`Origin`].
    pub origin: Origin,
    /// Set-ups a second that were asked for.
    pub asked_per_second: f64,
    /// Set-ups a second that were made.
    pub made_per_second: f64,
    /// The relay's part of a processor.
    pub core: f64,
    /// Milliseconds from the dial until the answer: median, and 99 of 100.
    pub p50_ms: f64,
    /// See `p50_ms`.
    pub p99_ms: f64,
}

/// Appends a result to a file.
pub fn append(file: &Path, record: &Record) -> Result<(), ScaleError> {
    let unwritable = |e: &dyn std::fmt::Display| ScaleError::File {
        file: file.into(),
        line: None,
        what: format!("cannot be written: {e}"),
    };
    let line = serde_json::to_string(record).map_err(|e| unwritable(&e))?;
    let mut opened = OpenOptions::new()
        .create(true)
        .append(true)
        .open(file)
        .map_err(|e| unwritable(&e))?;
    writeln!(opened, "{line}").map_err(|e| unwritable(&e))
}

/// Reads all results of a file.
pub fn read(file: &Path) -> Result<Vec<Record>, ScaleError> {
    let error = |line, what| ScaleError::File {
        file: file.into(),
        line,
        what,
    };
    let text =
        std::fs::read_to_string(file).map_err(|e| error(None, format!("cannot be read: {e}")))?;
    let mut records = Vec::new();
    for (number, line) in text
        .lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty())
    {
        let record = serde_json::from_str(line)
            .map_err(|e| error(Some(number + 1), format!("is not a result of a run: {e}")))?;
        records.push(record);
    }
    Ok(records)
}
