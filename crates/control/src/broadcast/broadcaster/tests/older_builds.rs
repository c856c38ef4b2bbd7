//! Messages of relays and owners of builds that do not support deliveries.

use super::*;

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
    // The update was sent 100 ms after the stamp, was 50 ms old by then, and was delayed by a
    // second in transit.
    let messages = broadcaster.handle_publish(
        2_100_000,
        8,
        publish(2, 1, 50_000, 1_000_000, 100_000),
        &jobs,
    );
    let [(7, Message::Updates(sent))] = &messages[..] else {
        panic!("{messages:?}")
    };
    // Each duration is lengthened by one hundredth, the maximum clock drift.
    assert_eq!(
        (sent.sequence, sent.request_age, sent.updates[0].age),
        (1, 1_100_000, 1_051_500)
    );
    let stale = broadcaster.handle_publish(2_200_000, 9, publish(1, 9, 0, 2_000_000, 0), &jobs);
    assert_eq!(stale, [(9, Message::StaleToken("load/a".into(), 2))]);
    // The update is sent again only to a relay that lacks it.
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
    // A token that is newer than the one in this voter's log is accepted.
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
        "an update without a stamp"
    );
    assert!(
        broadcaster
            .handle_publish(1_000, 8, publish(1, 1, 0, 900, 300), &jobs)
            .is_empty(),
        "an update that was sent in the future"
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
        "no relay follows this voter any longer"
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
        "the relay owns no job"
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
