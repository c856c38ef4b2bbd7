use super::*;
use crate::wire::message::RenewResponse;

const SECOND: Micros = 1_000_000;

fn lease_client(incarnation: u64) -> LeaseClient {
    LeaseClient::new(
        RelayId {
            name: "n1".into(),
            incarnation,
        },
        vec![1],
        Policy::default(),
        FleetTiming::default(),
        LeaderlessMode::Reject,
    )
}

fn next_request(client: &mut LeaseClient, now: Micros) -> RenewRequest {
    match client.tick(now) {
        Some(LeaseAction::SendRenew(1, renewal)) => *renewal,
        other => panic!("{other:?}"),
    }
}

fn grant(renewal: &RenewRequest) -> RenewResponse {
    RenewResponse {
        grant: Some(renewal.epoch),
        ..RenewResponse::for_request(renewal)
    }
}

fn accept(_: &str) -> Result<(), String> {
    Ok(())
}

#[test]
fn a_lease_starts_when_it_was_requested() {
    let mut client = lease_client(1);
    let renewal = next_request(&mut client, SECOND);
    assert!(!client.may_admit(SECOND));
    client.handle_response(2 * SECOND, grant(&renewal), accept);
    assert!(client.may_admit(3 * SECOND - 1) && !client.may_admit(3 * SECOND));
    // A response that arrives after the lease would have expired grants nothing.
    let renewal = next_request(&mut client, 4 * SECOND);
    client.handle_response(7 * SECOND, grant(&renewal), accept);
    assert!(!client.may_admit(7 * SECOND));
}

#[test]
fn a_response_to_the_previous_process_grants_no_lease() {
    let old = next_request(&mut lease_client(1), SECOND);
    let mut new = lease_client(2);
    assert_eq!(next_request(&mut new, 5 * SECOND).sequence, old.sequence);
    assert_eq!(new.handle_response(5 * SECOND, grant(&old), accept), []);
    assert!(!new.may_admit(5 * SECOND));
}

#[test]
fn a_relay_that_stopped_ignores_a_lease_that_was_in_flight() {
    let mut client = lease_client(1);
    let first = next_request(&mut client, SECOND);
    let second = next_request(&mut client, SECOND + FleetTiming::default().renew_interval);
    let actions = client.handle_response(
        2 * SECOND,
        RenewResponse {
            sealed: Some(7),
            ..RenewResponse::for_request(&second)
        },
        accept,
    );
    assert!(
        matches!(&actions[..], [LeaseAction::SendRenew(1, renewal)] if renewal.stopped_for == Some(7))
    );
    client.handle_response(2 * SECOND, grant(&first), accept);
    assert!(!client.may_admit(2 * SECOND));
    // The policy for which it stopped arrives with the next response, and a lease on it with the
    // one after that.
    let renewal = next_request(&mut client, 3 * SECOND);
    let policy = Policy {
        epoch: 1,
        ..Policy::default()
    };
    let response = RenewResponse {
        policy: Some(policy.clone()),
        ..RenewResponse::for_request(&renewal)
    };
    let actions = client.handle_response(3 * SECOND, response, accept);
    assert_eq!(actions[0], LeaseAction::AdoptPolicy(policy));
    let LeaseAction::SendRenew(1, renewal) = &actions[1] else {
        panic!("{actions:?}")
    };
    client.handle_response(3 * SECOND, grant(renewal), accept);
    assert!(client.may_admit(3 * SECOND));
}

#[test]
fn a_redirect_updates_the_membership_and_is_followed_at_once() {
    let mut client = lease_client(1);
    let renewal = next_request(&mut client, SECOND);
    let mut membership = Membership::for_new_fleet(&[1]);
    membership.apply(&crate::log::membership::MembershipChange::Add(
        2,
        "host:1".into(),
        5,
    ));
    membership.apply(&crate::log::membership::MembershipChange::Promote(2));
    let response = RenewResponse {
        redirect: Some(Some(2)),
        membership: Some(membership.clone()),
        ..RenewResponse::for_request(&renewal)
    };
    let actions = client.handle_response(SECOND, response, accept);
    assert_eq!(
        actions[0],
        LeaseAction::PersistMembership(membership.clone())
    );
    assert!(
        matches!(&actions[1], LeaseAction::SendRenew(2, renewal) if renewal.membership_version == membership.version)
    );
    assert!(
        !client.learn_membership(&Membership::for_new_fleet(&[1])),
        "an older membership is ignored"
    );
}

#[test]
fn a_proposal_is_rejected_with_a_reason_or_stored_before_it_is_reported() {
    let mut client = lease_client(1);
    let renewal = next_request(&mut client, SECOND);
    let proposal = Proposal {
        id: 9,
        base_epoch: 0,
        text: "x".into(),
        author: String::new(),
        reason: String::new(),
    };
    let response = RenewResponse {
        prepare: Some(proposal.clone()),
        ..RenewResponse::for_request(&renewal)
    };
    let actions = client.handle_response(SECOND, response.clone(), |_| Err("line 1".into()));
    let LeaseAction::SendRenew(1, renewal) = &actions[0] else {
        panic!("{actions:?}")
    };
    assert_eq!(
        (renewal.rejected.clone(), renewal.prepared),
        (Some((9, "line 1".into())), None)
    );
    let mut client = lease_client(1);
    next_request(&mut client, SECOND);
    assert_eq!(
        client.handle_response(SECOND, response, accept),
        [LeaseAction::PersistProposal(proposal.clone())]
    );
    let LeaseAction::SendRenew(1, renewal) = client.proposal_persisted(SECOND, proposal) else {
        panic!()
    };
    assert_eq!(renewal.prepared, Some(9));
}

#[test]
fn a_relay_in_serve_mode_stops_for_a_sealed_proposal_until_the_timeout() {
    let timing = FleetTiming::default();
    let relay = RelayId {
        name: "n1".into(),
        incarnation: 1,
    };
    let mut client = LeaseClient::new(
        relay,
        vec![1],
        Policy::default(),
        timing,
        LeaderlessMode::Serve,
    );
    assert!(client.may_admit(0));
    let renewal = next_request(&mut client, SECOND);
    client.handle_response(
        SECOND,
        RenewResponse {
            sealed: Some(7),
            ..RenewResponse::for_request(&renewal)
        },
        accept,
    );
    assert!(!client.may_admit(2 * SECOND) && client.may_admit(SECOND + timing.proposal_timeout));
}
