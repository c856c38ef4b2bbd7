//! A relay whose questions arrive and that no answer reaches: it holds nothing, and nobody waits for it.

use jaspermoor_control::log::storage::{PersistedLog, RaftLog};
use jaspermoor_control::log::voter::Voter;
use jaspermoor_control::wire::message::{
    JobCapabilities, Message, RelayId, RenewRequest, RenewResponse,
};
use jaspermoor_control::FleetTiming;

/// A fleet of one voter, which leads once it has met itself, and the time there.
fn leader(times: FleetTiming) -> (Voter, u64) {
    let stored = RaftLog::for_new_fleet(&[1]).persist_all();
    let kept = PersistedLog {
        hard_state: stored.hard_state,
        snapshot: stored.snapshot,
        entries: Vec::new(),
    };
    let mut voter = Voter::new(1, 7, &kept, times, 0).unwrap();
    let mut now = 0;
    while voter.leader_term().is_none() {
        now += times.tick;
        assert!(now < 60_000_000, "it never led");
        voter.tick(now);
        voter.ready(now);
    }
    // What its predecessor may have granted has run out by then.
    (voter, now + 2 * times.lease_duration)
}

fn asks(voter: &mut Voter, now: u64, number: u64, heard: u64) -> RenewResponse {
    let relay = RelayId {
        name: "n1".into(),
        incarnation: 3,
    };
    let skills = JobCapabilities {
        expected_jobs: vec!["load/a".into()],
        ..JobCapabilities::default()
    };
    voter.handle_renew(
        now,
        5,
        RenewRequest {
            relay,
            sequence: number,
            last_seen_response: heard,
            jobs_version: Some(0),
            capabilities: skills,
            ..RenewRequest::default()
        },
    );
    let mut answers = Vec::new();
    for tick in 0..4 {
        voter.tick(now + tick);
        answers.extend(voter.ready(now + tick).replies);
    }
    let reply = answers.into_iter().find_map(|(to, message)| match message {
        Message::RenewResponse(reply) if to == 5 => Some(reply),
        _ => None,
    });
    reply.expect("an answer")
}

#[test]
fn who_hears_no_answer_is_granted_nothing_and_loses_its_jobs_until_it_does() {
    let times = FleetTiming::default();
    let (mut voter, mut now) = leader(times);
    let mut number = 0;
    let mut step = |voter: &mut Voter, heard: Option<u64>| {
        (now, number) = (now + times.renew_interval, number + 1);
        (
            asks(voter, now, number, heard.unwrap_or(number - 1)),
            number,
        )
    };
    let owner = |voter: &Voter| {
        voter
            .state()
            .jobs
            .by_name
            .get("load/a")
            .and_then(|job| job.owner.clone())
    };
    for _ in 0..8 {
        assert_eq!(step(&mut voter, None).0.grant, Some(0));
    }
    assert!(owner(&voter).is_some(), "it has the job");
    let (_, last) = step(&mut voter, None);
    // From here on no answer reaches it. At first it may only be late.
    assert_eq!(step(&mut voter, Some(last)).0.grant, Some(0));
    let mut granted = Vec::new();
    for _ in 0..12 {
        let reply = step(&mut voter, Some(last)).0;
        granted.push(reply.grant.is_some() || reply.last_token.is_some());
    }
    assert!(
        granted[..2].iter().all(|granted| *granted) && !granted[6..].contains(&true),
        "{granted:?}"
    );
    assert_eq!(owner(&voter), None, "its job is free for others");
    assert_eq!(
        step(&mut voter, None).0.grant,
        Some(0),
        "it has heard an answer again"
    );
}
