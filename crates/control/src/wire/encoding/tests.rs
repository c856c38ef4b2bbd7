use super::*;
use crate::jobs::assignment::JobChange;
use crate::log::state::{Command, FleetState, STATE_VERSION};
use crate::wire::message::{Message, RenewRequest};
use serde::Deserialize;

/// A renewal request with only the fields that an older build has.
#[derive(Serialize, Deserialize, Debug, PartialEq)]
struct OlderRenewRequest {
    relay: crate::relay::RelayId,
    number: u64,
    epoch: u64,
}

/// A renewal request with a field that only a later build has.
#[derive(Serialize)]
struct LaterRenewRequest {
    #[serde(flatten)]
    renew: RenewRequest,
    of_a_later_build: Vec<u64>,
}

#[test]
fn an_older_and_a_later_build_decode_each_others_messages() {
    let renew = RenewRequest {
        sequence: 7,
        epoch: 3,
        jobs_version: Some(4),
        ..RenewRequest::default()
    };
    let older: OlderRenewRequest = decode(&encode(&renew)).unwrap();
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
    let later = LaterRenewRequest {
        renew: renew.clone(),
        of_a_later_build: vec![1],
    };
    assert_eq!(decode::<RenewRequest>(&encode(&later)), Some(renew));
    let message = Message::RenewRequest(RenewRequest {
        sequence: 7,
        ..RenewRequest::default()
    });
    assert_ne!(encode_as_later_build(&message), encode(&message));
    assert_eq!(decode(&encode_as_later_build(&message)), Some(message));
    // An unknown variant does not decode.
    #[derive(Serialize)]
    enum LaterCommand {
        OfALaterBuild(u64),
    }
    assert_eq!(
        decode::<Command>(&encode(&LaterCommand::OfALaterBuild(1))),
        None
    );
    assert_eq!(decode::<Message>(&[0xff, 0x13, 7]), None);
}

#[test]
fn a_state_that_requires_a_later_build_does_not_decode() {
    let mut state = FleetState::default();
    assert_eq!(
        state.required_version, 0,
        "a fleet without jobs can be downgraded to a build that knows none"
    );
    state.apply(Command::ChangeJobs(JobChange::Open(vec!["a".into()])));
    assert_eq!(FleetState::decode(&encode(&state)), Some(state.clone()));
    state.required_version = STATE_VERSION + 1;
    assert_eq!(FleetState::decode(&encode(&state)), None);
}
