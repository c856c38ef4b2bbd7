//! Clients that leave before their answer, and dials that go wrong, on real sockets: nothing is begun for nobody, and
//! nothing is held against a backend that is not its own doing.

#[allow(dead_code)]
mod peers;

use peers::*;

/// Its end stood behind more than is read ahead, and was never seen: the attempt went on for as long as its client
/// had said that it would wait.
#[test]
fn a_client_that_sent_much_and_left_is_seen_to_have_left() {
    let fleet = Fleet::new(&["s-1"]);
    let relay = fleet.relay();
    let mut client = relay.client();
    client.send("OPEN 01 7f c=chat,d=60000");
    let mut backend = fleet.backend("s-1").accept();
    backend.line();
    client.write(&[b'x'; 32 * 1024]);
    drop(client);
    assert!(backend.ended());
    relay.wait_for_log("reason=client-gave-up");
}

/// A dial that is over and the end of its client, in one batch of events: the request was sent on for nobody.
#[test]
fn nothing_is_sent_for_a_client_that_left_while_the_dial_was_under_way() {
    let (mut fleet, mut crowded) = (Fleet::new(&["s-1"]), FullBacklog::new());
    fleet.set_backend_addr("s-1", crowded.addr());
    let relay = fleet.relay();
    let mut client = relay.client();
    client.send("OPEN 01 7f c=chat,d=60000");
    relay.wait_for_dial(crowded.addr());
    relay.signal("STOP");
    let mut backend = crowded.accept();
    // Behind the dial, in the order of their coming.
    drop(client);
    relay.signal("CONT");
    assert!(backend.ended(), "its line came for nobody");
    relay.wait_for_log("reason=client-gave-up");
}

/// An answer that lets the request go elsewhere and the end of its client, in one batch of events.
#[test]
fn no_further_attempt_begins_for_a_client_that_left() {
    let fleet = Fleet::new(&["s-1", "s-2"]);
    let relay = fleet.relay();
    let mut client = relay.client();
    client.send("OPEN 01 7f c=chat,d=60000");
    let (at, mut backend) = fleet.accept_any();
    backend.line();
    relay.signal("STOP");
    backend.send("BUSY");
    drop(client);
    relay.signal("CONT");
    relay.wait_for_log("reason=client-gave-up");
    let other = if at == "s-1" { "s-2" } else { "s-1" };
    assert!(
        fleet.backend(other).has_no_new_connection(),
        "an attempt began for nobody"
    );
}

/// Attempts that did not begin, since their clients had left, once spent the retry budget of those who stayed.
#[test]
fn clients_that_left_leave_the_retry_budget_to_the_others() {
    let fleet = Fleet::new(&["s-1", "s-2"]);
    let relay = fleet.relay();
    // Four further attempts are saved, and each request earns 0.3 of one.
    for n in 0..5 {
        let mut client = relay.client();
        client.send(&format!("OPEN left{n} 7f c=chat,d=60000"));
        let (_, mut backend) = fleet.accept_any();
        backend.line();
        relay.signal("STOP");
        backend.send("BUSY");
        drop(client);
        relay.signal("CONT");
        until("the end of each", || {
            (relay.times_logged("reason=client-gave-up") == n + 1).then_some(())
        });
    }
    let mut stays = relay.client();
    stays.send("OPEN stays 7f c=chat,d=60000");
    fleet.accept_any().1.answer("BUSY");
    let (_, mut second) = fleet.accept_any();
    second.line();
    second.send("UP r");
    assert_eq!(stays.line(), "UP r");
}

/// A dial that came up after its time, while the process was held up, was used all the same.
#[test]
fn a_dial_that_comes_up_after_its_time_is_closed_unused() {
    let (mut fleet, mut crowded) = (Fleet::new(&["s-1"]), FullBacklog::new());
    fleet.set_backend_addr("s-1", crowded.addr());
    let short = fleet
        .config(fleet.discovery.addr())
        .replace("\"dial_timeout\": 10000.0", "\"dial_timeout\": 500.0");
    let relay = Relay::start(&short, None);
    let mut client = relay.client();
    client.send("OPEN 01 7f c=chat,d=60000");
    relay.wait_for_dial(crowded.addr());
    relay.signal("STOP");
    // The kernel tries again a second after the first time.
    let mut backend = crowded.accept();
    relay.signal("CONT");
    assert!(backend.ended(), "a line came on a dial whose time was over");
    assert!(client.line().starts_with("BUSY"));
}

/// A dial that this machine had no descriptor for was once held against the backend, which got nothing for seconds.
#[test]
fn a_dial_for_which_there_is_no_descriptor_is_not_the_backends_failure() {
    let fleet = Fleet::new(&["s-1"]);
    let admin =
        fleet
            .config(fleet.discovery.addr())
            .replacen('{', "{\"admin\":\"127.0.0.1:0\",", 1);
    let relay = Relay::start_with_descriptors(&admin, 32);
    // Held off, so that the relay's own needs do not change meanwhile.
    let _watch = fleet.accept_watch();
    let mut clients = Vec::new();
    until("the last descriptor", || {
        clients.push(relay.client());
        relay.logged("accept: Too many open files").then_some(())
    });
    let asking = &mut clients[0];
    asking.send("OPEN 01 7f c=chat,d=60000");
    assert!(asking.line().starts_with("BUSY"));
    clients.clear();
    until("descriptors", || (relay.descriptors() < 24).then_some(()));
    assert_eq!(relay.metric("skipped_backends"), Some(0));
    relay.wait_for_log(": dial of s-1: Too many open files");
    fleet.pair(&relay, "02");
}

/// The smallest limits, all filled with clients that rest while discovery is down: what the relay needs itself is
/// kept, and those that rest make room.
#[test]
fn idle_clients_that_fill_the_descriptors_keep_neither_the_list_nor_requests_out() {
    let (fleet, down) = (Fleet::new(&["s-1", "s-2"]), RefusingPort::new());
    for most in [128, 256] {
        let sockets = format!("\"sockets\":{most}");
        let few = |at| fleet.config(at).replace("\"sockets\":1024", &sockets);
        let relay = Relay::start_with_descriptors(&few(down.addr()), most);
        let mut crowd = Vec::new();
        for n in 0..2 * most {
            let mut one = relay.client();
            if n % 3 == 0 {
                one.send("PING");
            }
            crowd.push(one);
        }
        relay.wait_for_log("discovery: the watch failed");
        let up = Discovery::new();
        relay.reload(&few(up.addr()));
        let mut watch = up.accept_watch("GET /v1/endpoints?watch=1 HTTP");
        watch.send_list(
            2,
            true,
            &[fleet.entry("s-1", "leaving"), fleet.entry("s-2", "active")],
        );
        relay.wait_for_log("discovery: version 2");
        let (_client, _backend) = fleet.pair(&relay, "01");
        assert!(!relay.logged("Too many open files"), "of {most}");
    }
}
