//! Tests of the broadcaster in a fleet that has one load watch.

use super::*;
use crate::broadcast::message::{Allowance, DeliveredUpdate, Poll, Submission, VERSION};
use crate::broadcast::table::{LoadReport, Table};
use crate::jobs::assignment::{FencingToken, JobChange, Jobs};
use crate::jobs::moves;
use crate::wire::message::{Message, Publish, RelayId, Report, Subscribe, Update, Updates};

mod deliveries;
mod older_builds;

fn relay(name: &str) -> RelayId {
    RelayId {
        name: name.into(),
        incarnation: 1,
    }
}

/// Jobs of a fleet whose load watch was assigned this many times, to another relay each time.
fn jobs(tokens: u64) -> Jobs {
    let mut jobs = Jobs::default();
    jobs.apply(JobChange::Open(vec!["load/a".into()]));
    for token in 1..=tokens {
        jobs.apply(JobChange::Assign(vec![(
            "load/a".into(),
            relay(&format!("n{token}")),
        )]));
        if token < tokens {
            jobs.apply(JobChange::Release(vec![("load/a".into(), token)]));
        }
    }
    jobs
}

fn subscribe_as_older_build(
    name: &str,
    sequence: u64,
    known_updates: &[(FencingToken, u64)],
) -> Subscribe {
    let known_updates = known_updates
        .iter()
        .map(|(token, sequence)| ("load/a".to_string(), *token, *sequence))
        .collect();
    let reports = vec![Report {
        kind: "load".into(),
        payload: vec![sequence as u8],
    }];
    Subscribe {
        relay: relay(name),
        sequence,
        known_updates,
        reports,
        ..Subscribe::default()
    }
}

fn publish(
    token: FencingToken,
    sequence: u64,
    age: Micros,
    stamp: Micros,
    stamp_age: Micros,
) -> Publish {
    let update = Update {
        job: "load/a".into(),
        token,
        sequence,
        age,
        payload: vec![token as u8],
    };
    Publish {
        update,
        stamp,
        stamp_age,
    }
}

fn updates(messages: Vec<Message>) -> Updates {
    match <[Message; 1]>::try_from(messages) {
        Ok([Message::Updates(updates)]) => updates,
        other => panic!("{other:?}"),
    }
}

/// A subscription of a relay of this build, in this zone and with these versions of the table.
fn subscribe(name: &str, sequence: u64, zone: &str, tables: &[(FencingToken, u64)]) -> Subscribe {
    let tables = tables
        .iter()
        .map(|(token, version)| ("load/a".to_string(), *token, *version))
        .collect();
    Subscribe {
        tables,
        version: VERSION,
        zone: zone.into(),
        reports: Vec::new(),
        ..subscribe_as_older_build(name, sequence, &[])
    }
}

fn poll(sequence: u64, stream: u64, highest: u64) -> Poll {
    Poll {
        incarnation: 1,
        sequence,
        stream,
        highest,
        received_bitmap: u32::MAX,
        reports: None,
    }
}

fn load_report(load: f32) -> LoadReport {
    LoadReport {
        endpoint: 7,
        age: 0,
        values: vec![load],
    }
}

fn table(versions: u64) -> Table {
    let mut table = Table::new(1);
    for version in 1..=versions {
        table.update(
            version,
            &["x0".to_string()],
            &[load_report(version as f32 / 10.0)],
        );
    }
    table
}

fn submit(changes: &[u8], stamp: Micros) -> Submission {
    let changes = Some(serde_bytes::ByteBuf::from(changes));
    Submission {
        job: "load/a".into(),
        token: 1,
        stamp,
        changes,
        ..Submission::default()
    }
}

fn versions_of(delivered: &DeliveredUpdate) -> (u64, u64) {
    crate::broadcast::table::versions(delivered.changes.as_ref().unwrap()).unwrap()
}

/// For each delivery: the address, and the versions from and to which its changes lead.
fn delivered_versions(
    messages: Vec<(ReplyAddress, Message)>,
) -> Vec<(ReplyAddress, Vec<(u64, u64)>)> {
    let delivery = |(to, message)| match message {
        Message::Delivery(delivery) => {
            Some((to, delivery.updates.iter().map(versions_of).collect()))
        }
        _ => None,
    };
    messages.into_iter().filter_map(delivery).collect()
}
