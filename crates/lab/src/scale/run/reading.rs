//! Two looks at all processes, and what lies between them.

use super::member::MemberReading;
use crate::scale::hollow::protocol::{RelaySnapshot, Snapshot};
use crate::scale::record::{HostFigures, MemberFigures, Traffic, Window};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A look at all processes.
pub struct Reading {
    /// When it was.
    pub at: Instant,
    /// Each voter, then each relay with a process of its own: its name, and what was read.
    pub members: Vec<(String, MemberReading)>,
    /// How many of them vote.
    pub voters: usize,
    /// Each process of hollow relays.
    pub hosts: Vec<Snapshot>,
}

/// What lies between two looks.
pub fn window(before: &Reading, after: &Reading) -> Window {
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let mut members: Vec<MemberFigures> = after
        .members
        .iter()
        .zip(&before.members)
        .map(|((name, after), (_, before))| member(name, before, after, seconds))
        .collect();
    let real = members.split_off(after.voters);
    let hollow = hollow(before, after, seconds);
    let busiest = hollow
        .iter()
        .max_by(|a, b| a.per_second.bytes().total_cmp(&b.per_second.bytes()));
    Window {
        seconds,
        voters: members,
        real,
        hollow_mean: mean(&hollow),
        hollow_busiest: busiest.cloned().unwrap_or_default(),
        hollow_most_core: hollow
            .iter()
            .map(|relay| relay.control_core)
            .fold(0.0, f64::max),
        hosts: before
            .hosts
            .iter()
            .zip(&after.hosts)
            .map(|(before, after)| host(before, after))
            .collect(),
    }
}

fn member(
    name: &str,
    before: &MemberReading,
    after: &MemberReading,
    seconds: f64,
) -> MemberFigures {
    let core =
        |now: Duration, earlier: Duration| now.saturating_sub(earlier).as_secs_f64() / seconds;
    MemberFigures {
        name: name.into(),
        per_second: after.traffic.since(&before.traffic, 1.0 / seconds),
        control_core: core(after.sample.of_thread, before.sample.of_thread),
        process_core: core(after.sample.on_processor, before.sample.on_processor),
        memory_bytes: after.sample.memory_bytes as f64,
        threads: after.sample.threads,
        descriptors: after.sample.descriptors,
    }
}

fn hollow(before: &Reading, after: &Reading, seconds: f64) -> Vec<MemberFigures> {
    let earlier: BTreeMap<&str, &RelaySnapshot> = before
        .hosts
        .iter()
        .flat_map(|host| &host.relays)
        .map(|relay| (relay.history.name.as_str(), relay))
        .collect();
    let mut figures = Vec::new();
    for host in &after.hosts {
        // What the process has taken since before the first was opened, shared among them.
        let memory = host.memory_bytes.saturating_sub(host.memory_at_start) as f64
            / host.relays.len().max(1) as f64;
        for relay in &host.relays {
            let Some(earlier) = earlier.get(relay.history.name.as_str()) else {
                continue;
            };
            let busy = relay.cpu_ns.saturating_sub(earlier.cpu_ns) as f64 / 1e9;
            figures.push(MemberFigures {
                name: relay.history.name.clone(),
                per_second: relay.traffic.since(&earlier.traffic, 1.0 / seconds),
                control_core: busy / seconds,
                memory_bytes: memory,
                ..MemberFigures::default()
            });
        }
    }
    figures
}

fn mean(all: &[MemberFigures]) -> MemberFigures {
    let mut mean = MemberFigures {
        name: "mean".into(),
        ..MemberFigures::default()
    };
    let share = 1.0 / all.len().max(1) as f64;
    let mut traffic = Traffic::default();
    for figures in all {
        traffic.add(&figures.per_second, share);
        mean.control_core += figures.control_core * share;
        mean.memory_bytes += figures.memory_bytes * share;
    }
    mean.per_second = traffic;
    mean
}

fn host(before: &Snapshot, after: &Snapshot) -> HostFigures {
    let seconds = after.at.saturating_sub(before.at) as f64 / 1e6;
    HostFigures {
        relays: after.relays.len(),
        core: after.cpu_ns.saturating_sub(before.cpu_ns) as f64 / 1e9 / seconds,
        memory_bytes: after.memory_bytes,
        memory_at_start: after.memory_at_start,
        threads: after.threads,
        descriptors: after.descriptors,
    }
}
