use super::*;
use crate::wire::message::{Message, Update, Updates};

fn subscriber() -> Subscriber {
    Subscriber::new(RelayId {
        name: "n1".into(),
        incarnation: 4,
    })
}

fn update_id(sequence: u64) -> UpdateId<'static> {
    UpdateId {
        job: "load/a",
        token: 1,
        sequence,
    }
}

/// The subscriptions that are sent at this time: voter and sequence number.
fn requests(subscriber: &mut Subscriber, now: Micros, owns_jobs: bool) -> Vec<(u64, u64)> {
    let messages = subscriber.tick(now, &[1, 2, 3], owns_jobs, Vec::new);
    let sequence_of = |message: &Message| match message {
        Message::Subscribe(subscribe) => subscribe.sequence,
        other => panic!("{other:?}"),
    };
    messages
        .iter()
        .map(|(voter, message)| (*voter, sequence_of(message)))
        .collect()
}

fn updates(sequence: u64, request_age: Micros, updates: &[(FencingToken, u64, Micros)]) -> Updates {
    let update = |(token, sequence, age): &(FencingToken, u64, Micros)| Update {
        job: "load/a".into(),
        token: *token,
        sequence: *sequence,
        age: *age,
        payload: Vec::new(),
    };
    let updates = updates.iter().map(update).collect();
    Updates {
        incarnation: 4,
        sequence,
        request_age,
        stamp: 77,
        updates,
        ..Updates::default()
    }
}

#[test]
fn an_updates_age_includes_its_transit_time_and_stale_updates_are_rejected() {
    let mut subscriber = subscriber();
    let (voter, sequence) = requests(&mut subscriber, 1_000_000, false)[0];
    let receive = |subscriber: &mut Subscriber, now, updates| {
        subscriber.handle_updates(now, voter, &[1, 2, 3], Some(3), updates)
    };
    // The update was sent 200 ms after the request arrived, was 100 ms old by then, and arrives
    // much later.
    let received = receive(
        &mut subscriber,
        9_000_000,
        updates(sequence, 200_000, &[(5, 1, 100_000)]),
    );
    assert_eq!(
        (
            received.commands[0].valid_since,
            received.commands[0].is_first
        ),
        (1_097_000, true)
    );
    let received = receive(
        &mut subscriber,
        9_100_000,
        updates(sequence, 200_000, &[(5, 1, 0), (4, 9, 0), (5, 2, 0)]),
    );
    assert_eq!(
        (received.commands.len(), received.rejected),
        (1, 1),
        "duplicates and updates of a former owner are not accepted"
    );
    assert!(!received.commands[0].is_first);
    // Sequence numbers start over with each owner. A response to the previous process is ignored.
    assert_eq!(
        receive(
            &mut subscriber,
            9_200_000,
            updates(sequence, 0, &[(6, 1, 0)])
        )
        .commands
        .len(),
        1
    );
    let other = Updates {
        incarnation: 3,
        ..updates(sequence, 0, &[(7, 1, 0)])
    };
    assert_eq!(
        receive(&mut subscriber, 9_200_000, other),
        ReceivedUpdates::default()
    );
    assert_eq!(
        receive(&mut subscriber, 9_200_000, updates(99, 0, &[(7, 1, 0)])),
        ReceivedUpdates::default(),
        "there was no request with this sequence number"
    );
}

#[test]
fn a_relay_that_just_started_requests_unknown_tokens_first() {
    let mut subscriber = subscriber();
    let (voter, sequence) = requests(&mut subscriber, 0, false)[0];
    let response = updates(sequence, 0, &[(3, 1, 0)]);
    let received = subscriber.handle_updates(1, voter, &[1, 2, 3], Some(9), response.clone());
    assert_eq!(
        (received.commands.len(), received.unknown_tokens),
        (0, vec!["load/a".to_string()])
    );
    subscriber.learn_token("load/a", 3);
    assert_eq!(
        subscriber
            .handle_updates(2, voter, &[1, 2, 3], Some(9), response)
            .commands
            .len(),
        1
    );
}

#[test]
fn a_relay_fails_over_from_a_silent_voter_and_an_owner_contacts_all_voters() {
    let mut subscriber = subscriber();
    let first = requests(&mut subscriber, 1, false)[0].0;
    assert_eq!(
        requests(&mut subscriber, 2, false),
        [],
        "the poll interval has not passed"
    );
    let mut followed = Vec::new();
    for n in 1..=9 {
        followed.push(requests(&mut subscriber, 1 + n * POLL_INTERVAL, false)[0].0);
    }
    assert_eq!(followed.iter().collect::<BTreeSet<_>>().len(), 3);
    assert_eq!(followed[..2], [first, first]);
    assert_eq!(requests(&mut subscriber, 20 * POLL_INTERVAL, true).len(), 3);
    // Without a time of the voter's clock an update would have no age.
    assert!(subscriber
        .publish(20 * POLL_INTERVAL, update_id(1), &[])
        .is_empty());
    subscriber.handle_updates(
        20 * POLL_INTERVAL + 1,
        2,
        &[1, 2, 3],
        None,
        updates(subscriber.sequence, 0, &[]),
    );
    let messages = subscriber.publish(20 * POLL_INTERVAL + 5, update_id(2), &[]);
    let [(2, Message::Publish(publish))] = &messages[..] else {
        panic!("{messages:?}")
    };
    assert_eq!(
        (publish.stamp, publish.stamp_age, publish.update.age),
        (77, 4, 0)
    );
}
