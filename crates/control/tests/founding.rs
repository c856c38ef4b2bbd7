//! Founders introduce themselves until each knows all others. Voters that have completed the
//! founding answer introductions, but must not answer each other's answers endlessly.

use jaspermoor_control::log::storage::{PersistedLog, RaftLog};
use jaspermoor_control::log::voter::Voter;
use jaspermoor_control::wire::message::Message;
use jaspermoor_control::FleetTiming;

const FOUNDERS: [u64; 2] = [1, 2];
/// Delay of a message, in microseconds.
const DELAY: u64 = 1_000;

fn founder(number: u64) -> Voter {
    let batch = RaftLog::for_new_fleet(&FOUNDERS).persist_all();
    let stored = PersistedLog {
        hard_state: batch.hard_state,
        snapshot: batch.snapshot,
        entries: Vec::new(),
    };
    Voter::new(number, 10 * number, &stored, FleetTiming::default(), 0).unwrap()
}

/// Voters to which a founder introduces itself at this time.
fn introductions(voter: &mut Voter, now: u64) -> Vec<u64> {
    voter.tick(now);
    let target =
        |(to, message): &(u64, Message)| matches!(message, Message::Founding(..)).then_some(*to);
    voter
        .ready(now)
        .voter_messages
        .iter()
        .filter_map(target)
        .collect()
}

/// Whether a voter answers the introduction of another.
fn answers(voter: &mut Voter, now: u64, from: u64) -> bool {
    voter.handle_founding(now, from, from, 10 * from);
    let replies = voter.ready(now).replies;
    replies
        .iter()
        .any(|(to, message)| *to == from && matches!(message, Message::Founding(..)))
}

#[test]
fn two_voters_that_completed_the_founding_stop_answering_each_other() {
    let [mut one, mut two] = FOUNDERS.map(founder);
    assert_eq!(
        (introductions(&mut one, 0), introductions(&mut two, 0)),
        (vec![2], vec![1])
    );
    assert!(
        !answers(&mut two, DELAY, 1) && !answers(&mut one, DELAY, 2),
        "both have just completed the founding"
    );
    // A repeated introduction is still in flight.
    let mut now = 2 * DELAY;
    let mut answered = 0;
    let (mut receiver, mut sender) = (&mut two, &mut one);
    while answers(receiver, now, sender.id()) {
        now += DELAY;
        answered += 1;
        assert!(answered < 10, "they answer each other endlessly");
        std::mem::swap(&mut receiver, &mut sender);
    }
    assert!(
        answered >= 1,
        "a founder that has not completed the founding needs an answer"
    );
}

#[test]
fn a_founder_whose_answer_was_lost_is_answered_again() {
    let [mut one, mut two] = FOUNDERS.map(founder);
    introductions(&mut one, 0);
    answers(&mut two, DELAY, 1);
    // The founder repeats its introduction until it knows the other one.
    let mut now = DELAY;
    for _ in 0..3 {
        let introduced_at = (1..100)
            .map(|n| now + n * 10_000)
            .find(|at| introductions(&mut one, *at) == [2]);
        now = introduced_at.unwrap();
        assert!(answers(&mut two, now + DELAY, 1));
    }
}
