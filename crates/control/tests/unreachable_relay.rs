//! A relay whose requests reach the leader, but which receives no responses, must lose its lease
//! and its jobs. If each of its requests renewed them, it would keep its jobs and delay policy
//! changes.

use jaspermoor_control::log::storage::{PersistedLog, RaftLog};
use jaspermoor_control::log::voter::Voter;
use jaspermoor_control::wire::message::{
    JobCapabilities, Message, RelayId, RenewRequest, RenewResponse,
};
use jaspermoor_control::FleetTiming;

/// Address to which responses to the relay are sent.
const RELAY_ADDRESS: u64 = 5;

/// The only voter of a fleet after its election, and a time at which leases of any predecessor have
/// expired.
fn leader(timing: FleetTiming) -> (Voter, u64) {
    let batch = RaftLog::for_new_fleet(&[1]).persist_all();
    let stored = PersistedLog {
        hard_state: batch.hard_state,
        snapshot: batch.snapshot,
        entries: Vec::new(),
    };
    let mut voter = Voter::new(1, 7, &stored, timing, 0).unwrap();
    let mut now = 0;
    while voter.leader_term().is_none() {
        now += timing.tick;
        assert!(now < 60_000_000, "the voter was never elected");
        voter.tick(now);
        voter.ready(now);
    }
    (voter, now + 2 * timing.lease_duration)
}

/// Response to a renewal with this sequence number, from a relay that has received responses up to
/// `last_seen`.
fn renew(voter: &mut Voter, now: u64, sequence: u64, last_seen: u64) -> RenewResponse {
    let relay = RelayId {
        name: "n1".into(),
        incarnation: 3,
    };
    let capabilities = JobCapabilities {
        expected_jobs: vec!["load/a".into()],
        ..JobCapabilities::default()
    };
    voter.handle_renew(
        now,
        RELAY_ADDRESS,
        RenewRequest {
            relay,
            sequence,
            last_seen_response: last_seen,
            jobs_version: Some(0),
            capabilities,
            ..RenewRequest::default()
        },
    );
    let mut replies = Vec::new();
    for tick in 0..4 {
        voter.tick(now + tick);
        replies.extend(voter.ready(now + tick).replies);
    }
    let response = replies.into_iter().find_map(|(to, message)| match message {
        Message::RenewResponse(response) if to == RELAY_ADDRESS => Some(response),
        _ => None,
    });
    response.expect("a response")
}

#[test]
fn a_relay_that_sees_no_response_loses_its_lease_and_jobs_until_it_sees_one() {
    let timing = FleetTiming::default();
    let (mut voter, mut now) = leader(timing);
    let mut sequence = 0;
    let mut step = |voter: &mut Voter, last_seen: Option<u64>| {
        now += timing.renew_interval;
        sequence += 1;
        (
            renew(voter, now, sequence, last_seen.unwrap_or(sequence - 1)),
            sequence,
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
    assert!(owner(&voter).is_some(), "the relay owns the job");
    let (_, last) = step(&mut voter, None);
    // From now on no response reaches the relay. The first one may only be delayed, so leases are
    // still granted.
    assert_eq!(step(&mut voter, Some(last)).0.grant, Some(0));
    let mut granted = Vec::new();
    for _ in 0..12 {
        let response = step(&mut voter, Some(last)).0;
        granted.push(response.grant.is_some() || response.last_token.is_some());
    }
    assert!(
        granted[..2].iter().all(|granted| *granted) && !granted[6..].contains(&true),
        "{granted:?}"
    );
    assert_eq!(owner(&voter), None, "the relay's job is released");
    assert_eq!(
        step(&mut voter, None).0.grant,
        Some(0),
        "a response has reached the relay again"
    );
}
