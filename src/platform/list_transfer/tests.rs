//! Tests of the endpoint list as one process sends it and another one reads it.

use super::*;
use crate::config::endpoint_list::{endpoint_id, BackendAddress};
use crate::decisions::api::ListedEndpoint;
use crate::platform::takeover::{Handover, HandoverListener, Message};

fn snapshot(backends: usize) -> ListSnapshot {
    let entry = |n: usize| {
        let name = format!("s-{n}\"é");
        let state = [EndpointState::Ready, EndpointState::Draining][n % 2];
        let listed = ListedEndpoint {
            id: endpoint_id(&name),
            zone: (n % 2) as u16,
            cell: 3,
            state,
            size: 1.3,
            started_at: [None, Some(1_764_800_000_123_000)][n % 2],
        };
        let addr = "10.1.0.18:8080".parse().unwrap();
        (BackendAddress { name, addr }, listed)
    };
    ListSnapshot {
        version: 43,
        discovery: Some("127.0.0.1:8500".parse().unwrap()),
        entries: (0..backends).map(entry).collect(),
    }
}

fn zones() -> Vec<String> {
    ["a", "b"].map(String::from).to_vec()
}

#[test]
fn a_list_is_decoded_as_it_was_encoded_and_a_malformed_one_is_refused() {
    let sent = snapshot(5);
    let text = encode(&sent, &zones());
    let received = decode(text, &zones()).unwrap();
    assert_eq!(received.discovery, sent.discovery);
    assert_eq!(received.update.problems, [""; 0]);
    assert_eq!((received.update.version, received.update.full), (43, true));
    assert_eq!(received.update.entries, sent.entries);
    for text in ["", "{}", "[", &"[".repeat(100)] {
        assert!(decode(text.into(), &zones()).is_err(), "{text}");
    }
}

/// A list of thousands of backends is longer than a packet.
#[test]
fn a_long_list_arrives_whole_and_without_a_process_there_is_none() {
    let dir = tempfile::tempdir().unwrap();
    assert!(request(dir.path()).unwrap().is_none(), "no process");
    let listener = HandoverListener::open(dir.path()).unwrap();
    let list = encode(&snapshot(3_200), &zones());
    let expected = list.clone();
    let running = std::thread::spawn(move || {
        let mut link = loop {
            if let Ok(link) = listener.accept() {
                break link;
            }
            std::thread::yield_now();
        };
        let mut requested = false;
        while !requested {
            link.receive(1, &mut |message| {
                requested = matches!(message, Message::ListRequest);
            });
        }
        link.send_list(&list).unwrap();
    });
    let received = request(dir.path()).unwrap();
    running.join().unwrap();
    assert!(
        received == Some(expected),
        "{:?}",
        received.map(|r| r.len())
    );
}

/// A process of an earlier build accepts the link, takes the request for a malformed packet, and
/// does not reply.
#[test]
fn a_process_that_does_not_reply_delays_the_start_by_a_bounded_time() {
    let dir = tempfile::tempdir().unwrap();
    let _listener = HandoverListener::open(dir.path()).unwrap();
    let since = Instant::now();
    assert!(request(dir.path()).unwrap().is_none());
    assert!(since.elapsed() >= REPLY_TIMEOUT);
    assert!(Handover::decode(LIST_REQUEST).is_err());
}

/// Guards against a list that is lost at the upgrade right after a move of discovery, against one of
/// an earlier time, and against an empty one.
#[test]
fn a_received_list_replaces_the_known_one_unless_it_is_older_or_empty() {
    let discovery: SocketAddr = "127.0.0.1:8500".parse().unwrap();
    let elsewhere: SocketAddr = "127.0.0.1:8501".parse().unwrap();
    // (version, of which address, entries, version with which it replaces version 41)
    let cases = [
        (43, Some(discovery), 2, Some(43)),
        (41, Some(discovery), 2, Some(41)),
        (40, Some(discovery), 2, None),
        (0, Some(discovery), 2, Some(0)),
        (7, Some(elsewhere), 2, Some(0)),
        (43, None, 2, Some(0)),
        (43, Some(discovery), 0, None),
    ];
    for (version, address, entries, replacing) in cases {
        let list = ListSnapshot {
            version,
            discovery: address,
            ..snapshot(entries)
        };
        let received = decode(encode(&list, &zones()), &zones()).unwrap();
        let found = received.replacing_version(41, discovery);
        assert_eq!(found, replacing, "{version} of {address:?}, {entries}");
    }
}
