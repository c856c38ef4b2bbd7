use super::*;
use crate::jobs::assignment::Assignment;
use crate::log::state::{Command, FleetState, STATE_VERSION};
use crate::wire::message::{Message, RenewRequest};
use serde::Deserialize;

/// A question as an older and as a later build write it.
#[derive(Serialize, Deserialize, Debug, PartialEq)]
struct Older {
    relay: crate::wire::message::RelayId,
    number: u64,
    epoch: u64,
}

#[derive(Serialize)]
struct Later {
    #[serde(flatten)]
    renew: RenewRequest,
    of_a_later_build: Vec<u64>,
}

#[test]
fn builds_of_two_ages_understand_each_other() {
    let renew = RenewRequest {
        sequence: 7,
        epoch: 3,
        jobs_version: Some(4),
        ..RenewRequest::default()
    };
    let older: Older = decode(&encode(&renew)).unwrap();
    assert_eq!((older.number, older.epoch), (7, 3));
    let read: RenewRequest = decode(&encode(&older)).unwrap();
    assert_eq!(
        read,
        RenewRequest {
            sequence: 7,
            epoch: 3,
            ..RenewRequest::default()
        }
    );
    let later = Later {
        renew: renew.clone(),
        of_a_later_build: vec![1],
    };
    assert_eq!(decode::<RenewRequest>(&encode(&later)), Some(renew));
    let message = Message::RenewRequest(RenewRequest {
        sequence: 7,
        ..RenewRequest::default()
    });
    assert_ne!(encode_later(&message), encode(&message));
    assert_eq!(decode(&encode_later(&message)), Some(message));
    // Not what it could misread.
    #[derive(Serialize)]
    enum Command2 {
        OfALaterBuild(u64),
    }
    assert_eq!(
        decode::<Command>(&encode(&Command2::OfALaterBuild(1))),
        None
    );
    assert_eq!(decode::<Message>(&[0xff, 0x13, 7]), None);
}

#[test]
fn a_state_that_needs_a_later_build_says_so() {
    let mut state = FleetState::default();
    assert_eq!(
        state.required_version, 0,
        "a fleet without jobs can go back to a build that knows none"
    );
    state.apply(Command::Assignment(Assignment::Open(vec!["a".into()])));
    assert_eq!(FleetState::decode(&encode(&state)), Some(state.clone()));
    state.required_version = STATE_VERSION + 1;
    assert_eq!(FleetState::decode(&encode(&state)), None);
}
