//! A voter or a relay that has a process of its own, and its client.

use super::clients::Client;
use crate::relay::{Relay, Setup};
use crate::scale::admissions::{RelayHistory, Tenure};
use crate::scale::error::ScaleError;
use crate::scale::guard::{Guard, Guarded};
use crate::scale::process::{self, ProcessSample};
use crate::scale::record::Traffic;
use jaspermoor::sys::boottime;
use std::collections::BTreeMap;
use std::time::Instant;

/// The thread of the control.
const CONTROL_THREAD: &str = "fleet";
/// Lines of the log that say that it acts on a job.
const ACTS_ON: &str = "fleet: acts on ";
/// Where the figures are.
const COUNTERS: &str = "/control/counters";

/// See the module's text.
pub struct Member {
    /// What it is started with.
    pub setup: Setup,
    /// The place of its zone.
    pub zone: u16,
    /// Its client.
    pub client: Client,
    /// None while it is away.
    process: Option<(Relay, Guarded)>,
    /// Jobs that processes of it have acted on which have ended.
    tenures: Vec<Tenure>,
}

/// A look at its process.
#[derive(Clone, Debug, Default)]
pub struct MemberReading {
    /// What it takes.
    pub sample: ProcessSample,
    /// Messages and bytes since its start.
    pub traffic: Traffic,
}

impl Member {
    /// Starts its process, and waits until it serves.
    pub fn start(guard: &Guard, number: usize, setup: Setup, zone: u16) -> Result<Member, ScaleError> {
        let relay = Relay::start(&setup)?;
        let guarded = guard.started(relay.pid());
        let client = Client::start(number, relay.addr);
        Ok(Member { setup, zone, client, process: Some((relay, guarded)), tenures: Vec::new() })
    }

    /// Kills its process, as a machine that goes out does.
    pub fn kill(&mut self) {
        self.client.at(None);
        self.tenures = self.all_tenures();
        if let Some((relay, guarded)) = self.process.take() {
            relay.end();
            drop(guarded);
        }
    }

    /// Starts it again; when its process was called.
    pub fn start_again(&mut self, guard: &Guard) -> Result<u64, ScaleError> {
        let at = boottime();
        let relay = Relay::start(&self.setup)?;
        let guarded = guard.started(relay.pid());
        self.client.at(Some(relay.addr));
        self.process = Some((relay, guarded));
        Ok(at)
    }

    /// Its process, where it has one now.
    pub fn relay(&self) -> Option<&Relay> {
        self.process.as_ref().map(|(relay, _)| relay)
    }

    /// Looks at its process; nothing is read of one that is away.
    pub fn reading(&self) -> Result<MemberReading, ScaleError> {
        let Some(relay) = self.relay() else { return Ok(MemberReading::default()) };
        let sample = process::sample(relay.pid(), CONTROL_THREAD)?;
        let (_, text) = relay.call("GET", COUNTERS)?;
        Ok(MemberReading { sample, traffic: traffic_of(&text) })
    }

    /// What it has done, with epochs in place of cells.
    pub fn history(&self, epochs: &BTreeMap<u64, u64>) -> RelayHistory {
        RelayHistory {
            name: self.setup.name.clone(),
            is_direct: false,
            admissions: self.client.seen().renumbered(epochs),
            tenures: self.all_tenures(),
        }
    }

    fn all_tenures(&self) -> Vec<Tenure> {
        let lines = self.relay().map(Relay::stamped).unwrap_or_default();
        let now = boottime();
        let own = lines.iter().filter_map(|(at, line)| tenure(now, *at, line));
        self.tenures.iter().cloned().chain(own).collect()
    }
}

/// A line of the log that says that the relay acts on a job from then on.
fn tenure(now: u64, at: Instant, line: &str) -> Option<Tenure> {
    let (_, rest) = line.split_once(ACTS_ON)?;
    let (job, rest) = rest.split_once(", token ")?;
    let (token, _) = rest.split_once(", from step")?;
    let from = now.saturating_sub(at.elapsed().as_micros() as u64);
    Some(Tenure { job: job.into(), token: token.parse().ok()?, from })
}

/// Messages and bytes by type, as the relay's figures tell them.
fn traffic_of(text: &str) -> Traffic {
    let mut traffic = Traffic::default();
    for line in text.lines() {
        let Some((name, value)) = line.split_once("\"} ") else { continue };
        let Some((name, kind)) = name.split_once("{type=\"") else { continue };
        let Ok(value) = value.trim().parse::<f64>() else { continue };
        let (by_kind, counts_bytes) = match name {
            "edge_balancer_fleet_messages_sent_total" => (&mut traffic.sent, false),
            "edge_balancer_fleet_bytes_sent_total" => (&mut traffic.sent, true),
            "edge_balancer_fleet_messages_received_total" => (&mut traffic.received, false),
            "edge_balancer_fleet_bytes_received_total" => (&mut traffic.received, true),
            _ => continue,
        };
        let amount = by_kind.entry(kind.to_string()).or_default();
        if counts_bytes {
            amount.bytes = value;
        } else {
            amount.messages = value;
        }
    }
    traffic
}
