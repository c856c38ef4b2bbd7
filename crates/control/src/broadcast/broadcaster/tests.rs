use super::*;
use crate::jobs::assignment::Assignment;

fn relay(name: &str) -> Relay {
    Relay { name: name.into(), start: 1 }
}

fn jobs(tokens: u64) -> Jobs {
    let mut jobs = Jobs::default();
    jobs.apply(Assignment::Open(vec!["load/a".into()]));
    for token in 1..=tokens {
        jobs.apply(Assignment::Assign(vec![("load/a".into(), relay(&format!("n{token}")))]));
        if token < tokens {
            jobs.apply(Assignment::Release(vec![("load/a".into(), token)]));
        }
    }
    jobs
}

fn follow(name: &str, number: u64, knows: &[(Token, u64)]) -> Subscribe {
    let knows = knows.iter().map(|(token, number)| ("load/a".to_string(), *token, *number)).collect();
    let reports = vec![Report { kind: "load".into(), body: vec![number as u8] }];
    Subscribe { relay: relay(name), number, knows, reports }
}

fn publish(token: Token, number: u64, age: Micros, stamp: Micros, since: Micros) -> Publish {
    let update = Update { job: "load/a".into(), token, number, age, body: vec![token as u8] };
    Publish { update, stamp, since }
}

fn updates(messages: Vec<Message>) -> Updates {
    match <[Message; 1]>::try_from(messages) {
        Ok([Message::Updates(updates)]) => updates,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_word_is_as_old_as_it_is_and_one_of_an_owner_of_before_stops_its_sender() {
    let (mut broadcaster, jobs) = (Broadcaster::default(), jobs(2));
    assert_eq!(updates(broadcaster.subscribe(1_000_000, 7, follow("n3", 1, &[]), &jobs)).updates, []);
    // Sent 100 ms after the stamp, true 50 ms before that, held back for a second on its way.
    let out = broadcaster.publish(2_100_000, 8, publish(2, 1, 50_000, 1_000_000, 100_000), &jobs);
    let [(7, Message::Updates(told))] = &out[..] else { panic!("{out:?}") };
    // And a hundredth of each span, by which clocks may differ.
    assert_eq!((told.number, told.since, told.updates[0].age), (1, 1_100_000, 1_051_500));
    let stale = broadcaster.publish(2_200_000, 9, publish(1, 9, 0, 2_000_000, 0), &jobs);
    assert_eq!(stale, [(9, Message::Stale("load/a".into(), 2))]);
    // Whoever missed it is told again, whoever has it is not.
    assert_eq!(updates(broadcaster.subscribe(2_300_000, 7, follow("n3", 2, &[]), &jobs)).updates.len(), 1);
    assert_eq!(updates(broadcaster.subscribe(2_400_000, 7, follow("n3", 3, &[(2, 1)]), &jobs)).updates, []);
    // A token that this voter's log does not have yet is newer than all that it knows.
    assert_eq!(broadcaster.publish(2_500_000, 8, publish(3, 1, 0, 2_400_000, 0), &jobs).len(), 1);
    let stale = broadcaster.publish(2_600_000, 9, publish(2, 2, 0, 2_500_000, 0), &jobs);
    assert_eq!(stale, [(9, Message::Stale("load/a".into(), 3))]);
}

#[test]
fn a_word_without_an_age_or_a_job_is_not_kept_and_who_is_silent_is_told_nothing() {
    let (mut broadcaster, jobs) = (Broadcaster::default(), jobs(1));
    broadcaster.subscribe(0, 7, follow("n3", 1, &[]), &jobs);
    assert!(broadcaster.publish(1_000, 8, publish(1, 1, 0, 0, 0), &jobs).is_empty(), "no stamp");
    assert!(broadcaster.publish(1_000, 8, publish(1, 1, 0, 900, 300), &jobs).is_empty(), "from the future");
    let mut unknown = publish(1, 1, 0, 1, 0);
    unknown.update.job = "load/b".into();
    assert!(broadcaster.publish(1_000, 8, unknown, &jobs).is_empty());
    assert!(
        broadcaster.publish(SILENT, 8, publish(1, 1, 0, 1, 0), &jobs).is_empty(),
        "nobody follows any more"
    );
}

#[test]
fn owners_hear_what_relays_say_to_their_kind_of_jobs() {
    let (mut broadcaster, jobs) = (Broadcaster::default(), jobs(1));
    broadcaster.subscribe(0, 7, follow("n3", 5, &[]), &jobs);
    assert_eq!(
        updates(broadcaster.subscribe(10, 8, follow("n4", 1, &[]), &jobs)).reports,
        [],
        "it owns nothing"
    );
    let reports = updates(broadcaster.subscribe(20, 9, follow("n1", 2, &[]), &jobs)).reports;
    let seen: Vec<_> =
        reports.iter().map(|(relay, age, of)| (&relay.name[..], *age, of[0].body[0])).collect();
    assert_eq!(seen, [("n3", 20, 5), ("n4", 10, 1), ("n1", 0, 2)]);
}
