use super::*;

fn subscriber() -> Subscriber {
    Subscriber::new(RelayId {
        name: "n1".into(),
        incarnation: 4,
    })
}

fn asks(subscriber: &mut Subscriber, now: Micros, owns: bool) -> Vec<(u64, u64)> {
    let said = subscriber.tick(now, &[1, 2, 3], owns, Vec::new);
    let number = |message: &Message| match message {
        Message::Subscribe(follow) => follow.sequence,
        other => panic!("{other:?}"),
    };
    said.iter()
        .map(|(voter, message)| (*voter, number(message)))
        .collect()
}

fn updates(number: u64, since: Micros, updates: &[(FencingToken, u64, Micros)]) -> Updates {
    let update = |(token, number, age): &(FencingToken, u64, Micros)| Update {
        job: "load/a".into(),
        token: *token,
        sequence: *number,
        age: *age,
        payload: Vec::new(),
    };
    let updates = updates.iter().map(update).collect();
    Updates {
        incarnation: 4,
        sequence: number,
        request_age: since,
        stamp: 77,
        updates,
        ..Updates::default()
    }
}

#[test]
fn an_updates_age_includes_its_transit_time_and_stale_updates_are_rejected() {
    let mut subscriber = subscriber();
    let (voter, number) = asks(&mut subscriber, 1_000_000, false)[0];
    let hears = |subscriber: &mut Subscriber, now, updates| {
        subscriber.handle_updates(now, voter, &[1, 2, 3], Some(3), updates)
    };
    // Sent 200 ms after its question came there, true 100 ms before; here much later.
    let heard = hears(
        &mut subscriber,
        9_000_000,
        updates(number, 200_000, &[(5, 1, 100_000)]),
    );
    assert_eq!(
        (heard.commands[0].valid_since, heard.commands[0].is_first),
        (1_097_000, true)
    );
    let heard = hears(
        &mut subscriber,
        9_100_000,
        updates(number, 200_000, &[(5, 1, 0), (4, 9, 0), (5, 2, 0)]),
    );
    assert_eq!(
        (heard.commands.len(), heard.rejected),
        (1, 1),
        "once each, and none of before"
    );
    assert!(!heard.commands[0].is_first);
    // Numbers begin anew with each owner; an answer to the process before this one counts for nothing.
    assert_eq!(
        hears(&mut subscriber, 9_200_000, updates(number, 0, &[(6, 1, 0)]))
            .commands
            .len(),
        1
    );
    let other = Updates {
        incarnation: 3,
        ..updates(number, 0, &[(7, 1, 0)])
    };
    assert_eq!(
        hears(&mut subscriber, 9_200_000, other),
        ReceivedUpdates::default()
    );
    assert_eq!(
        hears(&mut subscriber, 9_200_000, updates(99, 0, &[(7, 1, 0)])),
        ReceivedUpdates::default(),
        "never asked"
    );
}

#[test]
fn a_relay_that_just_started_asks_for_unknown_tokens_first() {
    let mut subscriber = subscriber();
    let (voter, number) = asks(&mut subscriber, 0, false)[0];
    let said = updates(number, 0, &[(3, 1, 0)]);
    let heard = subscriber.handle_updates(1, voter, &[1, 2, 3], Some(9), said.clone());
    assert_eq!(
        (heard.commands.len(), heard.unknown_tokens),
        (0, vec!["load/a".to_string()])
    );
    subscriber.learn_token("load/a", 3);
    assert_eq!(
        subscriber
            .handle_updates(2, voter, &[1, 2, 3], Some(9), said)
            .commands
            .len(),
        1
    );
}

#[test]
fn a_relay_fails_over_from_a_silent_voter_and_as_an_owner_contacts_all() {
    let mut subscriber = subscriber();
    let first = asks(&mut subscriber, 1, false)[0].0;
    assert_eq!(asks(&mut subscriber, 2, false), [], "not before it is time");
    let mut followed = Vec::new();
    for n in 1..=9 {
        followed.push(asks(&mut subscriber, 1 + n * POLL_INTERVAL, false)[0].0);
    }
    assert_eq!(followed.iter().collect::<BTreeSet<_>>().len(), 3);
    assert_eq!(followed[..2], [first, first]);
    assert_eq!(asks(&mut subscriber, 20 * POLL_INTERVAL, true).len(), 3);
    // Without a voter's clock its words would have no age.
    assert!(subscriber
        .publish(20 * POLL_INTERVAL, ("load/a", 1, 1), &[])
        .is_empty());
    subscriber.handle_updates(
        20 * POLL_INTERVAL + 1,
        2,
        &[1, 2, 3],
        None,
        updates(subscriber.number, 0, &[]),
    );
    let said = subscriber.publish(20 * POLL_INTERVAL + 5, ("load/a", 1, 2), &[]);
    let [(2, Message::Publish(publish))] = &said[..] else {
        panic!("{said:?}")
    };
    assert_eq!(
        (publish.stamp, publish.stamp_age, publish.update.age),
        (77, 4, 0)
    );
}
