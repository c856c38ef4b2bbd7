//! Connections that have had their last bytes and stay open, on real sockets: they take no capacity
//! from the clients that come after them.

#[allow(dead_code)]
mod peers;

use peers::*;
use std::time::{Duration, Instant};

/// A relay with few descriptors, and its backend.
fn small_relay() -> (Fleet, Relay) {
    let fleet = Fleet::new(&["s-1"]);
    let few = fleet
        .config(fleet.discovery.addr())
        .replace("\"sockets\":1024", "\"sockets\":128");
    let relay = Relay::start(&few, None);
    (fleet, relay)
}

/// Guards against requests without an answer beside clients that are rejected and stay: each
/// occupied a place for a second, and the clients behind them in the queue of the listener were not
/// accepted before their time was up.
#[test]
fn a_request_is_answered_in_time_behind_rejected_clients_that_stay() {
    const REJECTED: usize = 128;
    const DEADLINE: Duration = Duration::from_millis(2_000);
    let (fleet, relay) = small_relay();
    // The listener's queue keeps their order.
    let mut rejected: Vec<Peer> = (0..REJECTED).map(|_| relay.client()).collect();
    for client in &mut rejected {
        client.send("NONSENSE");
    }
    let mut usual = relay.client();
    usual.send("OPEN usual 7f c=chat,d=2000");
    let sent_at = Instant::now();
    let mut backend = fleet.backend("s-1").accept();
    assert!(backend.line().starts_with("OPEN usual "));
    backend.send("UP r");
    assert_eq!(usual.line(), "UP r");
    assert!(sent_at.elapsed() < DEADLINE, "{:?}", sent_at.elapsed());
    // Each of them had its error, since the relay waits for that before it closes.
    for client in &mut rejected {
        assert!(client.line().starts_with("ERR "));
    }
}

/// Guards against clients that are rejected because of others that were served and stay: each
/// occupied the capacity of a request, and its id, until it closed or a second was over.
#[test]
fn an_ended_connection_that_stays_open_takes_neither_capacity_nor_its_id() {
    /// More than a third of the descriptors: the relay takes no more requests at a time.
    const REQUESTS: usize = 43;
    let (fleet, relay) = small_relay();
    let mut served: Vec<(Peer, Peer)> = (0..REQUESTS)
        .map(|n| fleet.pair(&relay, &format!("{n:x}")))
        .collect();
    let mut excess = relay.client();
    excess.send("OPEN ffff 7f c=chat,d=60000");
    assert!(excess.rest().starts_with("BUSY"), "the limit is reached");
    for (client, backend) in &mut served {
        backend.send("BYE");
        backend.end();
        assert_eq!(client.rest(), "BYE\r\n");
    }
    // None of the served clients has closed its side. Each keeps one descriptor, and the other one
    // of its two is free: half of the requests are admitted again at once, under the same ids.
    let again: Vec<(Peer, Peer)> = (0..REQUESTS / 2)
        .map(|n| fleet.pair(&relay, &format!("{n:x}")))
        .collect();
    assert_eq!(again.len(), REQUESTS / 2);
}
