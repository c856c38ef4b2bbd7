//! Deliveries to relays, and submissions of owners.

use super::*;

#[test]
fn subscribers_receive_changes_from_their_version_and_older_builds_full_updates() {
    let (mut broadcaster, jobs, mut owner) = (Broadcaster::new(1), jobs(1), table(2));
    let messages = broadcaster.handle_subscribe(1_000_000, 7, subscribe("n3", 1, "a", &[]), &jobs);
    assert!(
        matches!(&messages[..], [Message::Updates(of), Message::Delivery(_)] if of.version == VERSION)
    );
    broadcaster.handle_subscribe(1_000_000, 8, subscribe_as_older_build("n4", 1, &[]), &jobs);
    let messages =
        broadcaster.handle_submission(1_100_000, 9, submit(owner.changes(0), 1_000_000), &jobs);
    let older = messages.iter().find(|(to, _)| *to == 8).unwrap();
    assert!(
        matches!(&older.1, Message::Updates(of) if of.updates[0].sequence == 2 && of.version == 0)
    );
    assert!(matches!(&messages.last().unwrap().1, Message::Receipt(of) if of.version == 2));
    assert_eq!(delivered_versions(messages), [(7, vec![(0, 2)])]);
    // The next changes start from the version that was sent, or from the one that the relay has.
    owner.update(3, &["x0".to_string()], &[load_report(0.9)]);
    let messages =
        broadcaster.handle_submission(1_200_000, 9, submit(owner.changes(2), 1_100_000), &jobs);
    assert_eq!(delivered_versions(messages), [(7, vec![(2, 3)])]);
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
    assert_eq!(delivery.updates, [], "the delivery may still be in flight");
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
        let messages = broadcaster.handle_submission(1_100_000, 9, submit(&changes, stamp), &jobs);
        assert!(
            matches!(&messages[..], [(9, Message::Receipt(of))] if of.version == 0 && of.stamp == 1_100_000)
        );
    }
    let stale = Submission {
        token: 0,
        ..submit(owner.changes(0), 1_000_000)
    };
    let messages = broadcaster.handle_submission(1_100_000, 9, stale, &jobs);
    assert_eq!(messages, [(9, Message::StaleToken("load/a".into(), 1))]);
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
        "a stream that the voter does not know"
    );
    assert!(
        broadcaster
            .handle_poll(10, 8, poll(5, 4, 0), &jobs)
            .unwrap()
            .must_resubscribe,
        "no subscription from this connection"
    );
    assert!(
        broadcaster
            .handle_poll(4_000_000, 7, poll(6, 4, 0), &jobs)
            .unwrap()
            .must_resubscribe,
        "the relay was silent"
    );
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one sequence of messages, checked after each step"
)]
fn an_owner_receives_one_summary_and_each_relay_its_own_permits() {
    let mut jobs = Jobs::default();
    jobs.apply(JobChange::Open(vec![moves::KIND.into()]));
    jobs.apply(JobChange::Assign(vec![(moves::KIND.into(), relay("n1"))]));
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
        let request = Subscribe {
            reports: report(n),
            ..subscribe(&format!("n{n}"), 1, "a", &[])
        };
        broadcaster.handle_subscribe(0, n, request, &jobs);
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
            incarnation: 5,
            permitted,
        }),
        ..Submission::default()
    };
    let messages = broadcaster.handle_submission(1_000, 200, allow(51), &jobs);
    let Some((200, Message::Receipt(receipt))) = messages.last() else {
        panic!("{messages:?}")
    };
    let summary = receipt.migrations.unwrap();
    assert_eq!(
        (summary.relays, summary.waiting, summary.used),
        (51, 100 + 49 * 25, 51)
    );
    assert!(
        Message::Receipt(receipt.clone()).encode().len() < 120,
        "the length does not depend on the number of relays"
    );
    // The relay with the largest demand comes first: from 100 down to 50, and one permit for n49.
    let [(99, Message::Updates(updates)), ..] = &messages[..] else {
        panic!("{messages:?}")
    };
    let permits = moves::MigrationPermits::decode(&updates.updates[0].payload).unwrap();
    assert_eq!(permits.by_relay, [(relay("n99"), 51)]);
    assert_eq!(messages.len(), 2);
    let messages = broadcaster.handle_submission(1_000, 200, allow(53), &jobs);
    assert_eq!(
        messages.len(),
        3,
        "both relays have an unmet demand of 49: {messages:?}"
    );
}
