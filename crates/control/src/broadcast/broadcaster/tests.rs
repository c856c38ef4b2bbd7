use super::*;
use crate::broadcast::message::{Allowance, Delivered, Poll, Submission, VERSION};
use crate::broadcast::table::{LoadReport, Table};
use crate::jobs::assignment::Assignment;
use crate::jobs::assignment::{FencingToken, Jobs};
use crate::jobs::moves;
use crate::wire::message::{Message, Publish, RelayId, Report, Subscribe};
use crate::wire::message::{Update, Updates};

fn relay(name: &str) -> RelayId {
    RelayId {
        name: name.into(),
        incarnation: 1,
    }
}

fn jobs(tokens: u64) -> Jobs {
    let mut jobs = Jobs::default();
    jobs.apply(Assignment::Open(vec!["load/a".into()]));
    for token in 1..=tokens {
        jobs.apply(Assignment::Assign(vec![(
            "load/a".into(),
            relay(&format!("n{token}")),
        )]));
        if token < tokens {
            jobs.apply(Assignment::Release(vec![("load/a".into(), token)]));
        }
    }
    jobs
}

fn subscribe_as_older_build(name: &str, number: u64, knows: &[(FencingToken, u64)]) -> Subscribe {
    let knows = knows
        .iter()
        .map(|(token, number)| ("load/a".to_string(), *token, *number))
        .collect();
    let reports = vec![Report {
        kind: "load".into(),
        payload: vec![number as u8],
    }];
    Subscribe {
        relay: relay(name),
        sequence: number,
        known_updates: knows,
        reports,
        ..Subscribe::default()
    }
}

fn publish(token: FencingToken, number: u64, age: Micros, stamp: Micros, since: Micros) -> Publish {
    let update = Update {
        job: "load/a".into(),
        token,
        sequence: number,
        age,
        payload: vec![token as u8],
    };
    Publish {
        update,
        stamp,
        stamp_age: since,
    }
}

fn updates(messages: Vec<Message>) -> Updates {
    match <[Message; 1]>::try_from(messages) {
        Ok([Message::Updates(updates)]) => updates,
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_updates_age_includes_its_delays_and_a_stale_token_stops_the_sender() {
    let (mut broadcaster, jobs) = (Broadcaster::default(), jobs(2));
    assert_eq!(
        updates(broadcaster.handle_subscribe(
            1_000_000,
            7,
            subscribe_as_older_build("n3", 1, &[]),
            &jobs
        ))
        .updates,
        []
    );
    // Sent 100 ms after the stamp, valid 50 ms before that, and delayed for a second on its way.
    let out = broadcaster.handle_publish(
        2_100_000,
        8,
        publish(2, 1, 50_000, 1_000_000, 100_000),
        &jobs,
    );
    let [(7, Message::Updates(sent))] = &out[..] else {
        panic!("{out:?}")
    };
    // Each span is lengthened by one hundredth, the maximum clock drift.
    assert_eq!(
        (sent.sequence, sent.request_age, sent.updates[0].age),
        (1, 1_100_000, 1_051_500)
    );
    let stale = broadcaster.handle_publish(2_200_000, 9, publish(1, 9, 0, 2_000_000, 0), &jobs);
    assert_eq!(stale, [(9, Message::StaleToken("load/a".into(), 2))]);
    // It is sent again only to a relay that lacks it.
    assert_eq!(
        updates(broadcaster.handle_subscribe(
            2_300_000,
            7,
            subscribe_as_older_build("n3", 2, &[]),
            &jobs
        ))
        .updates
        .len(),
        1
    );
    assert_eq!(
        updates(broadcaster.handle_subscribe(
            2_400_000,
            7,
            subscribe_as_older_build("n3", 3, &[(2, 1)]),
            &jobs
        ))
        .updates,
        []
    );
    // A token that the log of this voter does not have yet is accepted.
    assert_eq!(
        broadcaster
            .handle_publish(2_500_000, 8, publish(3, 1, 0, 2_400_000, 0), &jobs)
            .len(),
        1
    );
    let stale = broadcaster.handle_publish(2_600_000, 9, publish(2, 2, 0, 2_500_000, 0), &jobs);
    assert_eq!(stale, [(9, Message::StaleToken("load/a".into(), 3))]);
}

#[test]
fn updates_without_age_or_job_are_dropped_and_silent_relays_receive_none() {
    let (mut broadcaster, jobs) = (Broadcaster::default(), jobs(1));
    broadcaster.handle_subscribe(0, 7, subscribe_as_older_build("n3", 1, &[]), &jobs);
    assert!(
        broadcaster
            .handle_publish(1_000, 8, publish(1, 1, 0, 0, 0), &jobs)
            .is_empty(),
        "no stamp"
    );
    assert!(
        broadcaster
            .handle_publish(1_000, 8, publish(1, 1, 0, 900, 300), &jobs)
            .is_empty(),
        "from the future"
    );
    let mut unknown = publish(1, 1, 0, 1, 0);
    unknown.update.job = "load/b".into();
    assert!(broadcaster
        .handle_publish(1_000, 8, unknown, &jobs)
        .is_empty());
    assert!(
        broadcaster
            .handle_publish(3_000_000, 8, publish(1, 1, 0, 1, 0), &jobs)
            .is_empty(),
        "no relay follows any longer"
    );
}

#[test]
fn owners_receive_reports_for_their_kinds_of_jobs() {
    let (mut broadcaster, jobs) = (Broadcaster::default(), jobs(1));
    broadcaster.handle_subscribe(0, 7, subscribe_as_older_build("n3", 5, &[]), &jobs);
    assert_eq!(
        updates(broadcaster.handle_subscribe(10, 8, subscribe_as_older_build("n4", 1, &[]), &jobs))
            .reports,
        [],
        "it owns nothing"
    );
    let reports =
        updates(broadcaster.handle_subscribe(20, 9, subscribe_as_older_build("n1", 2, &[]), &jobs))
            .reports;
    let seen: Vec<_> = reports
        .iter()
        .map(|(relay, age, of)| (&relay.name[..], *age, of[0].payload[0]))
        .collect();
    assert_eq!(seen, [("n3", 20, 5), ("n4", 10, 1), ("n1", 0, 2)]);
}

/// A subscription of this build: in that zone, with these tables.
fn subscribe(name: &str, number: u64, zone: &str, tables: &[(FencingToken, u64)]) -> Subscribe {
    let tables = tables
        .iter()
        .map(|(token, version)| ("load/a".to_string(), *token, *version))
        .collect();
    Subscribe {
        tables,
        version: VERSION,
        zone: zone.into(),
        reports: Vec::new(),
        ..subscribe_as_older_build(name, number, &[])
    }
}

fn poll(number: u64, stream: u64, highest: u64) -> Poll {
    Poll {
        incarnation: 1,
        sequence: number,
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

fn versions_of(delivered: &Delivered) -> (u64, u64) {
    crate::broadcast::table::versions(delivered.changes.as_ref().unwrap()).unwrap()
}

fn deliveries(messages: Vec<(ReplyAddress, Message)>) -> Vec<(ReplyAddress, Vec<(u64, u64)>)> {
    let delivery = |(to, message)| match message {
        Message::Delivery(delivery) => {
            Some((to, delivery.updates.iter().map(versions_of).collect()))
        }
        _ => None,
    };
    messages.into_iter().filter_map(delivery).collect()
}

#[test]
fn subscribers_receive_changes_from_their_version_and_older_builds_full_updates() {
    let (mut broadcaster, jobs, mut owner) = (Broadcaster::new(1), jobs(1), table(2));
    let messages = broadcaster.handle_subscribe(1_000_000, 7, subscribe("n3", 1, "a", &[]), &jobs);
    assert!(
        matches!(&messages[..], [Message::Updates(of), Message::Delivery(_)] if of.version == VERSION)
    );
    broadcaster.handle_subscribe(1_000_000, 8, subscribe_as_older_build("n4", 1, &[]), &jobs);
    let out =
        broadcaster.handle_submission(1_100_000, 9, submit(owner.changes(0), 1_000_000), &jobs);
    let older = out.iter().find(|(to, _)| *to == 8).unwrap();
    assert!(
        matches!(&older.1, Message::Updates(of) if of.updates[0].sequence == 2 && of.version == 0)
    );
    assert!(matches!(&out.last().unwrap().1, Message::Receipt(of) if of.version == 2));
    assert_eq!(deliveries(out), [(7, vec![(0, 2)])]);
    // The next changes start from that version, and for a relay with an older version from that one.
    owner.update(3, &["x0".to_string()], &[load_report(0.9)]);
    let out =
        broadcaster.handle_submission(1_200_000, 9, submit(owner.changes(2), 1_100_000), &jobs);
    assert_eq!(deliveries(out), [(7, vec![(2, 3)])]);
    let messages =
        broadcaster.handle_subscribe(1_300_000, 10, subscribe("n5", 1, "a", &[(1, 2)]), &jobs);
    let Some(Message::Delivery(delivery)) = messages.last() else {
        panic!("{messages:?}")
    };
    assert_eq!(versions_of(&delivery.updates[0]), (2, 3));
    // A lost delivery is sent again, from the acknowledged version.
    let delivery = broadcaster
        .handle_poll(1_400_000, 7, poll(2, 1, 1), &jobs)
        .unwrap();
    assert_eq!(delivery.updates, [], "it may be in flight");
    let delivery = broadcaster
        .handle_poll(2_300_000, 7, poll(3, 1, 1), &jobs)
        .unwrap();
    assert_eq!(versions_of(&delivery.updates[0]), (2, 3));
}

#[test]
fn changes_with_a_gap_are_rejected_and_the_receipt_names_the_stored_version() {
    let (mut broadcaster, jobs, mut owner) = (Broadcaster::new(1), jobs(1), table(3));
    broadcaster.handle_subscribe(1_000_000, 7, subscribe("n3", 1, "a", &[]), &jobs);
    for (changes, stamp) in [
        (owner.changes(2).to_vec(), 1_000_000),
        (owner.changes(0).to_vec(), 0),
    ] {
        let out = broadcaster.handle_submission(1_100_000, 9, submit(&changes, stamp), &jobs);
        assert!(
            matches!(&out[..], [(9, Message::Receipt(of))] if of.version == 0 && of.stamp == 1_100_000)
        );
    }
    let stale = Submission {
        token: 0,
        ..submit(owner.changes(0), 1_000_000)
    };
    let out = broadcaster.handle_submission(1_100_000, 9, stale, &jobs);
    assert_eq!(out, [(9, Message::StaleToken("load/a".into(), 1))]);
}

#[test]
fn an_unknown_or_silent_relay_must_resubscribe() {
    let (mut broadcaster, jobs) = (Broadcaster::new(1), jobs(1));
    broadcaster.handle_subscribe(0, 7, subscribe("n3", 4, "a", &[]), &jobs);
    assert!(
        !broadcaster
            .handle_poll(10, 7, poll(5, 4, 0), &jobs)
            .unwrap()
            .must_resubscribe
    );
    assert!(
        broadcaster
            .handle_poll(10, 7, poll(5, 3, 0), &jobs)
            .unwrap()
            .must_resubscribe,
        "another stream"
    );
    assert!(
        broadcaster
            .handle_poll(10, 8, poll(5, 4, 0), &jobs)
            .unwrap()
            .must_resubscribe,
        "another link"
    );
    assert!(
        broadcaster
            .handle_poll(4_000_000, 7, poll(6, 4, 0), &jobs)
            .unwrap()
            .must_resubscribe,
        "it was silent"
    );
}

#[test]
fn an_owner_receives_one_summary_and_each_relay_its_own_permits() {
    let mut jobs = Jobs::default();
    jobs.apply(Assignment::Open(vec![moves::KIND.into()]));
    jobs.apply(Assignment::Assign(vec![(moves::KIND.into(), relay("n1"))]));
    let mut broadcaster = Broadcaster::new(5);
    let report = |waiting| {
        let status = moves::MigrationStatus {
            waiting,
            ..moves::MigrationStatus::default()
        };
        vec![Report {
            kind: moves::KIND.into(),
            payload: status.encode(),
        }]
    };
    for n in 0..50 {
        let follow = Subscribe {
            reports: report(n),
            ..subscribe(&format!("n{n}"), 1, "a", &[])
        };
        broadcaster.handle_subscribe(0, n, follow, &jobs);
    }
    let older = Subscribe {
        reports: report(100),
        ..subscribe_as_older_build("n99", 1, &[])
    };
    broadcaster.handle_subscribe(0, 99, older, &jobs);
    let allow = |permitted| Submission {
        job: moves::KIND.into(),
        token: 1,
        sequence: 3,
        allowance: Some(Allowance {
            instance: 5,
            permitted,
        }),
        ..Submission::default()
    };
    let out = broadcaster.handle_submission(1_000, 200, allow(51), &jobs);
    let Some((200, Message::Receipt(receipt))) = out.last() else {
        panic!("{out:?}")
    };
    let summary = receipt.moves.unwrap();
    assert_eq!(
        (summary.relays, summary.waiting, summary.used),
        (51, 100 + 49 * 25, 51)
    );
    assert!(
        Message::Receipt(receipt.clone()).encode().len() < 120,
        "for any number of relays"
    );
    // The relay with the largest demand comes first: from 100 down to 50, and one permit for n49.
    let [(99, Message::Updates(updates)), ..] = &out[..] else {
        panic!("{out:?}")
    };
    let permits = moves::MigrationPermits::decode(&updates.updates[0].payload).unwrap();
    assert_eq!(permits.by_relay, [(relay("n99"), 51)]);
    assert_eq!(out.len(), 2);
    let out = broadcaster.handle_submission(1_000, 200, allow(53), &jobs);
    assert_eq!(out.len(), 3, "both have an unmet demand of 49: {out:?}");
}
