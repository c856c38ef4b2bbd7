use super::*;

fn subscriber() -> Subscriber {
    Subscriber::new(Relay {
        name: "n1".into(),
        start: 4,
    })
}

fn asks(subscriber: &mut Subscriber, now: Micros, owns: bool) -> Vec<(u64, u64)> {
    let said = subscriber.tick(now, &[1, 2, 3], owns, Vec::new);
    let number = |message: &Message| match message {
        Message::Subscribe(follow) => follow.number,
        other => panic!("{other:?}"),
    };
    said.iter()
        .map(|(voter, message)| (*voter, number(message)))
        .collect()
}

fn updates(number: u64, since: Micros, updates: &[(Token, u64, Micros)]) -> Updates {
    let update = |(token, number, age): &(Token, u64, Micros)| Update {
        job: "load/a".into(),
        token: *token,
        number: *number,
        age: *age,
        body: Vec::new(),
    };
    let updates = updates.iter().map(update).collect();
    Updates {
        start: 4,
        number,
        since,
        stamp: 77,
        updates,
        ..Updates::default()
    }
}

#[test]
fn a_word_is_no_younger_than_its_way_was_long_and_none_of_before_is_obeyed() {
    let mut subscriber = subscriber();
    let (voter, number) = asks(&mut subscriber, 1_000_000, false)[0];
    let hears = |subscriber: &mut Subscriber, now, updates| {
        subscriber.heard(now, voter, &[1, 2, 3], Some(3), updates)
    };
    // Sent 200 ms after its question came there, true 100 ms before; here much later.
    let heard = hears(
        &mut subscriber,
        9_000_000,
        updates(number, 200_000, &[(5, 1, 100_000)]),
    );
    assert_eq!(
        (heard.orders[0].at, heard.orders[0].first),
        (1_097_000, true)
    );
    let heard = hears(
        &mut subscriber,
        9_100_000,
        updates(number, 200_000, &[(5, 1, 0), (4, 9, 0), (5, 2, 0)]),
    );
    assert_eq!(
        (heard.orders.len(), heard.refused),
        (1, 1),
        "once each, and none of before"
    );
    assert!(!heard.orders[0].first);
    // Numbers begin anew with each owner; an answer to the process before this one counts for nothing.
    assert_eq!(
        hears(&mut subscriber, 9_200_000, updates(number, 0, &[(6, 1, 0)]))
            .orders
            .len(),
        1
    );
    let other = Updates {
        start: 3,
        ..updates(number, 0, &[(7, 1, 0)])
    };
    assert_eq!(hears(&mut subscriber, 9_200_000, other), Heard::default());
    assert_eq!(
        hears(&mut subscriber, 9_200_000, updates(99, 0, &[(7, 1, 0)])),
        Heard::default(),
        "never asked"
    );
}

#[test]
fn one_that_has_just_started_asks_for_the_token_first() {
    let mut subscriber = subscriber();
    let (voter, number) = asks(&mut subscriber, 0, false)[0];
    let said = updates(number, 0, &[(3, 1, 0)]);
    let heard = subscriber.heard(1, voter, &[1, 2, 3], Some(9), said.clone());
    assert_eq!(
        (heard.orders.len(), heard.ask),
        (0, vec!["load/a".to_string()])
    );
    subscriber.known("load/a", 3);
    assert_eq!(
        subscriber
            .heard(2, voter, &[1, 2, 3], Some(9), said)
            .orders
            .len(),
        1
    );
}

#[test]
fn it_follows_the_next_voter_where_one_is_silent_and_as_an_owner_all() {
    let mut subscriber = subscriber();
    let first = asks(&mut subscriber, 1, false)[0].0;
    assert_eq!(asks(&mut subscriber, 2, false), [], "not before it is time");
    let mut followed = Vec::new();
    for n in 1..=9 {
        followed.push(asks(&mut subscriber, 1 + n * PACE, false)[0].0);
    }
    assert_eq!(followed.iter().collect::<BTreeSet<_>>().len(), 3);
    assert_eq!(followed[..2], [first, first]);
    assert_eq!(asks(&mut subscriber, 20 * PACE, true).len(), 3);
    // Without a voter's clock its words would have no age.
    assert!(subscriber
        .publish(20 * PACE, ("load/a", 1, 1), &[])
        .is_empty());
    subscriber.heard(
        20 * PACE + 1,
        2,
        &[1, 2, 3],
        None,
        updates(subscriber.number, 0, &[]),
    );
    let said = subscriber.publish(20 * PACE + 5, ("load/a", 1, 2), &[]);
    let [(2, Message::Publish(publish))] = &said[..] else {
        panic!("{said:?}")
    };
    assert_eq!(
        (publish.stamp, publish.since, publish.update.age),
        (77, 4, 0)
    );
}
