//! Names on the wire and in stored files that differ from the names in the code. Builds from before
//! the renaming must still understand messages, and the ledgers that they wrote must remain
//! readable.

use ciborium::Value;
use jaspermoor_control::jobs::assignment::{Job, JobChange, Jobs};
use jaspermoor_control::log::membership::{Membership, MembershipChange};
use jaspermoor_control::log::state::{Command, FleetState, Proposal, ProposalPhase};
use jaspermoor_control::wire::message::{
    FleetStatus, Message, OperatorRequest, OperatorResponse, Publish, RenewRequest, RenewResponse,
    Subscribe, Updates,
};
use serde::Serialize;

/// All keys of maps and all texts in a serialized value.
fn names(value: &impl Serialize) -> Vec<String> {
    fn collect(value: &Value, names: &mut Vec<String>) {
        match value {
            Value::Text(text) => names.push(text.clone()),
            Value::Array(values) => values.iter().for_each(|value| collect(value, names)),
            Value::Map(pairs) => pairs.iter().for_each(|(key, value)| {
                collect(key, names);
                collect(value, names);
            }),
            _ => {}
        }
    }
    let mut names = Vec::new();
    collect(&Value::serialized(value).unwrap(), &mut names);
    names
}

#[test]
fn serialized_names_stay_as_builds_before_the_renaming_wrote_them() {
    // Fields with their default value may be left out, so these have other values.
    let renew = RenewRequest {
        stopped_for: Some(1),
        membership_version: 1,
        ..RenewRequest::default()
    };
    let reply = RenewResponse {
        sealed: Some(1),
        membership: Some(Membership::default()),
        ..RenewResponse::default()
    };
    let cases = [
        (names(&renew), vec!["yielded", "seats"]),
        (names(&reply), vec!["close", "seats"]),
        (names(&Publish::default()), vec!["item"]),
        (names(&Updates::default()), vec!["items", "facts"]),
        (names(&Subscribe::default()), vec!["facts"]),
        (names(&FleetStatus::default()), vec!["seats"]),
        (names(&FleetState::default()), vec!["seats"]),
        (names(&Job::default()), vec!["yields"]),
        (names(&Jobs::default()), vec!["of"]),
        (names(&Membership::default()), vec!["highest", "of"]),
        (
            names(&Message::Subscribe(Subscribe::default())),
            vec!["Follow"],
        ),
        (names(&Message::Updates(Updates::default())), vec!["News"]),
        (
            names(&OperatorRequest::Member(MembershipChange::Promote(1))),
            vec!["Seat"],
        ),
        (names(&OperatorResponse::Member(Ok(()))), vec!["Seat"]),
        (names(&JobChange::Assign(Vec::new())), vec!["Give"]),
        (names(&JobChange::Revoke(Vec::new())), vec!["Yield"]),
        (names(&JobChange::Release(Vec::new())), vec!["Free"]),
        (
            names(&Command::ChangeJobs(JobChange::Open(Vec::new()))),
            vec!["Deal", "Open"],
        ),
        (names(&Command::Seal(1)), vec!["Close"]),
        (
            names(&ProposalPhase::Sealed(Proposal::default())),
            vec!["Closing"],
        ),
    ];
    for (written, expected) in cases {
        for name in expected {
            assert!(
                written.iter().any(|found| found == name),
                "no '{name}' in {written:?}"
            );
        }
    }
}
