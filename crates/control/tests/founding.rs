//! Founders that meet: each hears of all others, and then they are silent about it.

use jaspermoor_control::log::storage::{PersistedLog, RaftLog};
use jaspermoor_control::log::voter::Voter;
use jaspermoor_control::wire::message::Message;
use jaspermoor_control::FleetTiming;

const FOUNDERS: [u64; 2] = [1, 2];
/// How long a message is on its way.
const WAY: u64 = 1_000;

fn founder(number: u64) -> Voter {
    let stored = RaftLog::for_new_fleet(&FOUNDERS).persist_all();
    let kept = PersistedLog {
        hard_state: stored.hard_state,
        snapshot: stored.snapshot,
        entries: Vec::new(),
    };
    Voter::new(number, 10 * number, &kept, FleetTiming::default(), 0).unwrap()
}

/// What a founder says to the others at that moment.
fn introductions(voter: &mut Voter, now: u64) -> Vec<u64> {
    voter.tick(now);
    let says =
        |(to, message): &(u64, Message)| matches!(message, Message::Founding(..)).then_some(*to);
    voter
        .ready(now)
        .voter_messages
        .iter()
        .filter_map(says)
        .collect()
}

/// Whether a voter answers another one's introduction.
fn answers(voter: &mut Voter, now: u64, from: u64) -> bool {
    voter.handle_founding(now, from, from, 10 * from);
    let answers = voter.ready(now).replies;
    answers
        .iter()
        .any(|(to, message)| *to == from && matches!(message, Message::Founding(..)))
}

/// Two that were past the founding once answered each other's answers for good, as fast as the network was: of five voters
/// on one machine four took up to a whole processor each.
#[test]
fn an_answer_to_an_introduction_is_not_answered_for_good() {
    let [mut one, mut two] = FOUNDERS.map(founder);
    assert_eq!(
        (introductions(&mut one, 0), introductions(&mut two, 0)),
        (vec![2], vec![1])
    );
    assert!(
        !answers(&mut two, WAY, 1) && !answers(&mut one, WAY, 2),
        "both have heard the other now"
    );
    // An introduction that was said twice is still on its way.
    let (mut now, mut said) = (2 * WAY, 0);
    let (mut hears, mut other) = (&mut two, &mut one);
    while answers(hears, now, other.id()) {
        (now, said) = (now + WAY, said + 1);
        assert!(said < 10, "they answer each other for good");
        std::mem::swap(&mut hears, &mut other);
    }
    assert!(
        said >= 1,
        "who is not past the founding yet needs an answer"
    );
}

#[test]
fn a_founder_that_heard_no_answer_is_answered_when_it_asks_again() {
    let [mut one, mut two] = FOUNDERS.map(founder);
    introductions(&mut one, 0);
    answers(&mut two, WAY, 1);
    // It says again who it is, until it has heard the other.
    let mut now = WAY;
    for _ in 0..3 {
        let asked = (1..100)
            .map(|n| now + n * 10_000)
            .find(|at| introductions(&mut one, *at) == [2]);
        now = asked.unwrap();
        assert!(answers(&mut two, now + WAY, 1));
    }
}
