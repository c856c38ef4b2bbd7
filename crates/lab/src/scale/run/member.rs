//! A voter or a relay that has a process of its own, and its client.

use super::clients::Client;
use crate::relay::{Relay, Setup};
use crate::scale::admissions::{Moment, RelayHistory, Tenure};
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
/// Lines of the log that say that it admits clients under a policy.
const ADMITS_UNDER: &str = "fleet: clients are admitted, policy of epoch ";
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
    /// Lines of the log of its processes that have ended, each with when it was read.
    said: Vec<(Instant, String)>,
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
    pub fn start(
        guard: &Guard,
        number: usize,
        setup: Setup,
        zone: u16,
    ) -> Result<Member, ScaleError> {
        let relay = Relay::start(&setup)?;
        let guarded = guard.started(relay.pid());
        let client = Client::start(number, relay.addr);
        Ok(Member {
            setup,
            zone,
            client,
            process: Some((relay, guarded)),
            said: Vec::new(),
        })
    }

    /// Kills its process, as a machine that goes out does.
    pub fn kill(&mut self) {
        self.client.at(None);
        if let Some((relay, guarded)) = self.process.take() {
            self.said.extend(relay.end());
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
        let Some(relay) = self.relay() else {
            return Ok(MemberReading::default());
        };
        let sample = process::sample(relay.pid(), CONTROL_THREAD)?;
        let (_, text) = relay.call("GET", COUNTERS)?;
        Ok(MemberReading {
            sample,
            traffic: traffic_of(&text),
        })
    }

    /// What it has done, with epochs in place of cells.
    pub fn history(&self, epochs: &BTreeMap<u64, u64>) -> RelayHistory {
        let said = self.said(boottime());
        let mut logged = BTreeMap::new();
        for (at, epoch) in said
            .iter()
            .filter_map(|(at, line)| Some((*at, admits_under(line)?)))
        {
            logged.entry(epoch).or_insert(at);
        }
        RelayHistory {
            name: self.setup.name.clone(),
            is_direct: false,
            admissions: self.client.seen().renumbered(epochs),
            tenures: said
                .iter()
                .filter_map(|(at, line)| tenure(*at, line))
                .collect(),
            logged,
        }
    }

    /// Its log so far, each line with the moment at which it was read.
    fn said(&self, now: Moment) -> Vec<(Moment, String)> {
        let current = self.relay().map(Relay::stamped).unwrap_or_default();
        let moment = |at: &Instant| now.saturating_sub(at.elapsed().as_micros() as Moment);
        self.said
            .iter()
            .chain(&current)
            .map(|(at, line)| (moment(at), line.clone()))
            .collect()
    }
}

/// The epoch of the policy that a line of the log says that clients are admitted under.
fn admits_under(line: &str) -> Option<u64> {
    line.split_once(ADMITS_UNDER)?.1.trim().parse().ok()
}

/// A line of the log that says that the relay acts on a job from then on.
fn tenure(from: Moment, line: &str) -> Option<Tenure> {
    let (_, rest) = line.split_once(ACTS_ON)?;
    let (job, rest) = rest.split_once(", token ")?;
    let (token, _) = rest.split_once(", from step")?;
    Some(Tenure {
        job: job.into(),
        token: token.parse().ok()?,
        from,
    })
}

/// Messages and bytes by type, as the relay's figures tell them.
fn traffic_of(text: &str) -> Traffic {
    let mut traffic = Traffic::default();
    for line in text.lines() {
        let Some((name, value)) = line.split_once("\"} ") else {
            continue;
        };
        let Some((name, kind)) = name.split_once("{type=\"") else {
            continue;
        };
        let Ok(value) = value.trim().parse::<f64>() else {
            continue;
        };
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
