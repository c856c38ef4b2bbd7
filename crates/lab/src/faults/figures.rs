//! What a fleet costs and how old its updates are, as a play on the virtual network shows it.

use super::history::Moment;
use jaspermoor_control::wire::message::Message;
use std::collections::BTreeMap;

/// The length of the windows in which traffic must stay within its budget, in seconds.
pub const WINDOW: usize = 10;

/// Bytes and messages of one type.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Volume {
    /// Messages.
    pub messages: u64,
    /// Their bytes, as they are encoded.
    pub bytes: u64,
}

/// What one process sent and received.
#[derive(Clone, Debug, Default)]
pub struct ProcessTraffic {
    /// What it sent, by type of message.
    pub sent: BTreeMap<&'static str, Volume>,
    /// What was sent to it, by type of message.
    pub received: BTreeMap<&'static str, Volume>,
    /// Bytes sent and received together, in each second.
    seconds: Vec<u64>,
}

impl ProcessTraffic {
    fn count(&mut self, at: Moment, bytes: u64) {
        let second = (at / 1_000_000) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, 0);
        }
        self.seconds[second] += bytes;
    }

    /// Bytes that it sent.
    pub fn bytes_sent(&self) -> u64 {
        self.sent.values().map(|volume| volume.bytes).sum()
    }

    /// Bytes that it received.
    pub fn bytes_received(&self) -> u64 {
        self.received.values().map(|volume| volume.bytes).sum()
    }

    /// Bytes a second, sent and received together, in the worst [`WINDOW`] seconds that begin at or after that second.
    pub fn worst_window(&self, from: usize) -> f64 {
        let seconds = self.seconds.get(from..).unwrap_or_default();
        let worst = seconds
            .windows(WINDOW)
            .map(|window| window.iter().sum::<u64>())
            .max()
            .unwrap_or(0);
        worst as f64 / WINDOW as f64
    }
}

/// The traffic of a fleet. Messages of a process to itself do not count.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Of each process.
    pub of: Vec<ProcessTraffic>,
}

impl Traffic {
    /// A message leaves one process for another.
    pub fn count(&mut self, at: Moment, from: usize, to: usize, message: &Message) {
        if from == to {
            return;
        }
        let (name, bytes) = (type_name(message), message.encode().len() as u64);
        if self.of.len() <= from.max(to) {
            self.of.resize(from.max(to) + 1, ProcessTraffic::default());
        }
        let add = |volume: &mut Volume| {
            volume.messages += 1;
            volume.bytes += bytes;
        };
        add(self.of[from].sent.entry(name).or_default());
        add(self.of[to].received.entry(name).or_default());
        self.of[from].count(at, bytes);
        self.of[to].count(at, bytes);
    }
}

fn type_name(message: &Message) -> &'static str {
    match message {
        Message::Log(..) => "Log",
        Message::Founding(..) => "Founding",
        Message::NotAMember(..) => "Gone",
        Message::RenewRequest(_) => "Renew",
        Message::RenewResponse(_) => "Reply",
        Message::OperatorRequest(..) => "Ask",
        Message::OperatorResponse(..) => "Answer",
        Message::Subscribe(_) => "Subscribe",
        Message::Updates(_) => "Updates",
        Message::Publish(_) => "Publish",
        Message::StaleToken(..) => "Stale",
        Message::Poll(_) => "Poll",
        Message::Delivery(_) => "Delivery",
        Message::Submission(_) => "Submission",
        Message::Receipt(_) => "Receipt",
    }
}

/// Ages in classes of ten milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Ages {
    classes: Vec<u64>,
    count: u64,
}

/// The width of a class, in microseconds.
const CLASS: Moment = 10_000;
/// What is older than that is in the last class.
const CLASSES: usize = 3_000;

impl Ages {
    /// Something is that old.
    pub fn add(&mut self, age: Moment) {
        let class = ((age / CLASS) as usize).min(CLASSES);
        if self.classes.len() <= class {
            self.classes.resize(class + 1, 0);
        }
        self.classes[class] += 1;
        self.count += 1;
    }

    /// How many there are.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// The age that so many of a hundred do not exceed, in milliseconds.
    pub fn percentile(&self, percent: u64) -> u64 {
        let wanted = (self.count * percent).div_ceil(100);
        let mut sum = 0;
        for (class, count) in self.classes.iter().enumerate() {
            sum += count;
            if sum >= wanted {
                return (class as u64 + 1) * CLASS / 1_000;
            }
        }
        0
    }
}
