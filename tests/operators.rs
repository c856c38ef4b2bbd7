//! What staff do with a running relay: the second address and its figures, an upgrade.

#[allow(dead_code)]
mod peers;

use peers::*;
use std::io::Write;
use std::net::TcpListener;
use std::path::PathBuf;

/// The configuration of a relay with a second address.
fn with_admin(fleet: &Fleet) -> String {
    fleet
        .config(fleet.discovery.addr())
        .replacen('{', "{\"admin\":\"127.0.0.1:0\",", 1)
}

/// A directory of its own for each test.
fn shared(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("shared-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir(&path).unwrap();
    path
}

#[test]
fn calls_are_answered_although_others_keep_every_place_without_a_whole_call() {
    let fleet = Fleet::new(&["s-1"]);
    let relay = Relay::start(&with_admin(&fleet), None);
    let hanging: Vec<_> = (0..40)
        .map(|n| {
            let mut caller = relay.admin_connection();
            if n % 2 == 0 {
                caller.write_all(b"GET /control/rea").unwrap();
            }
            caller
        })
        .collect();
    for (method, path, status) in [
        ("GET", "/control/ready", 200),
        ("GET", "/control/counters", 200),
        ("POST", "/control/counters", 405),
        ("GET", "/control/nothing", 404),
    ] {
        assert_eq!(
            relay.admin_request(method, path).0,
            status,
            "{method} {path}"
        );
    }
    drop(hanging);
    // One that comes a byte at a time is heard as well.
    let mut slow = relay.admin_connection();
    slow.set_nodelay(true).unwrap();
    for byte in b"GET /control/ready HTTP/1.1\r\n\r\n" {
        slow.write_all(&[*byte]).unwrap();
    }
    assert_eq!(read_answer(slow).0, 200);
}

#[test]
fn the_figures_follow_what_happens() {
    let fleet = Fleet::new(&["s-1", "s-2"]);
    let relay = Relay::start(&with_admin(&fleet), None);
    for figure in ["passed_total", "dropped_total", "bad_gateway_total"] {
        assert_eq!(
            relay.metric(&format!("{figure}{{category=\"chat\"}}")),
            Some(0)
        );
    }
    let (client, backend) = fleet.pair(&relay, "01");
    assert_eq!(relay.metric("in_progress"), Some(1));
    let mut refused = relay.client();
    refused.send("OPEN 02 7f c=chat,d=60000");
    // Two attempts, and then a refusal.
    (0..2).for_each(|_| fleet.accept_any().1.answer("BUSY"));
    assert!(refused.line().starts_with("BUSY"));
    let mut failed = relay.client();
    failed.send("OPEN 01 7f c=chat,d=60000");
    assert_eq!(failed.line(), "ERR id-in-use");
    for (figure, value) in [
        ("passed_total{category=\"chat\"}", 1),
        ("dropped_total{category=\"chat\"}", 1),
        ("bad_gateway_total{category=\"chat\"}", 1),
        ("upstream_tries_total", 3),
        ("known_backends", 2),
        ("skipped_backends", 0),
    ] {
        relay.wait_for_metric(figure, value);
    }
    drop((client, backend));
    relay.wait_for_metric("in_progress", 0);
    let mut watch = fleet.accept_watch();
    watch.send_list(
        2,
        true,
        &[fleet.entry("s-1", "leaving"), fleet.entry("s-2", "active")],
    );
    relay.wait_for_metric("skipped_backends", 1);
    watch.send_list(3, false, &[fleet.entry("s-1", "left")]);
    relay.wait_for_metric("known_backends", 1);
}

/// An upgrade: a second process takes clients at the same socket, then the first one is stopped. It takes
/// no one after that, answers those it has, and gives away what stands, in the middle of a line if need be.
#[test]
fn a_second_process_takes_over_the_socket_that_the_platform_holds() {
    let (fleet, shared) = (Fleet::new(&["s-1"]), shared("upgrade"));
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let config = fleet.config(fleet.discovery.addr());
    let mut old = Relay::start_shared(&config, &held, &shared);
    let (mut standing, mut backend) = fleet.pair(&old, "01");
    standing.stream.write_all(b"M 1 a").unwrap();
    backend.stream.write_all(b"M 2 \xff").unwrap();
    // It has come in but not asked yet, at the time of the stop.
    let mut early = old.client();
    early.send("PING");
    assert_eq!(early.line(), "PONG");
    let new = Relay::start_shared(&config, &held, &shared);
    assert_eq!(new.admin_request("GET", "/control/ready").0, 200);
    old.signal("TERM");
    until("the old process", || {
        (old.admin_request("GET", "/control/ready").0 == 503).then_some(())
    });
    early.send("OPEN 02 7f c=chat,d=60000");
    let mut served = fleet.backend("s-1").accept();
    served.line();
    served.send("UP r");
    assert_eq!(early.line(), "UP r");
    let pairs: Vec<_> = (3..9).map(|n| fleet.pair(&old, &format!("0{n}"))).collect();
    assert_eq!(new.metric("passed_total{category=\"chat\"}"), Some(6));
    assert!(old.exit().success());
    old.wait_for_log("id=01 class=chat backend=s-1 attempts=1");
    old.wait_for_log("reason=handed-over");
    // What stood there goes on as if nothing had been.
    standing.stream.write_all(b"bc\r\n").unwrap();
    assert_eq!(backend.line(), "M 1 abc");
    backend.stream.write_all(b"\xfe\r\n").unwrap();
    assert_eq!(standing.bytes(), b"M 2 \xff\xfe\r\n");
    served.send("M 3");
    assert_eq!(early.line(), "M 3");
    assert_eq!(new.metric("in_progress"), Some(8));
    // The socket still lets clients in, and the id of one that was taken over is in use.
    fleet.pair(&new, "10");
    let mut again = new.client();
    again.send("OPEN 01 7f c=chat,d=60000");
    assert_eq!(again.line(), "ERR id-in-use");
    drop(backend);
    assert!(standing.ended());
    new.wait_for_log("id=01 class=chat backend=s-1 attempts=1");
    drop(pairs);
    std::fs::remove_dir_all(shared).unwrap();
}

/// A call to either process of an upgrade binds both, and the ban lasts until the call back.
#[test]
fn a_backend_taken_out_by_hand_stays_out_across_an_upgrade() {
    let (fleet, shared) = (Fleet::new(&["s-1", "s-2"]), shared("bans"));
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let config = fleet.config(fleet.discovery.addr());
    let mut old = Relay::start_shared(&config, &held, &shared);
    let mut watch = fleet.accept_watch();
    let (mut client, backend) = fleet.pair(&old, "01");
    assert_eq!(
        old.admin_request("POST", "/control/backends/s-9/offline").0,
        404
    );
    for _ in 0..2 {
        assert_eq!(
            old.admin_request("POST", "/control/backends/s-1/offline").0,
            200
        );
    }
    old.wait_for_metric("skipped_backends", 1);
    // Whatever the list says.
    watch.send_list(2, true, &[fleet.entry("s-2", "active")]);
    old.wait_for_metric("known_backends", 1);
    watch.send_list(
        3,
        true,
        &[fleet.entry("s-1", "active"), fleet.entry("s-2", "active")],
    );
    old.wait_for_metric("known_backends", 2);
    let new = Relay::start_shared(&config, &held, &shared);
    assert_eq!(new.metric("skipped_backends"), Some(1));
    old.signal("TERM");
    until("the old process", || {
        (old.admin_request("GET", "/control/ready").0 == 503).then_some(())
    });
    for n in 2..10 {
        let mut client = old.client();
        client.send(&format!("OPEN 0{n} {n}f c=chat,d=60000"));
        let mut backend = fleet.backend("s-2").accept();
        backend.line();
        backend.send("UP r");
        assert_eq!(client.line(), "UP r");
    }
    // The connection from before was moved off the backend that is out.
    assert_eq!(client.line(), "MOVE");
    drop((client, backend));
    assert!(old.exit().success());
    assert_eq!(
        new.admin_request("POST", "/control/backends/s-1/online").0,
        200
    );
    new.wait_for_metric("skipped_backends", 0);
    assert_eq!(
        new.admin_request("POST", "/control/backends/s-9/online").0,
        404
    );
    std::fs::remove_dir_all(shared).unwrap();
}

/// While both processes run, what one of them is told binds the other.
#[test]
fn a_call_to_one_process_binds_the_other() {
    let (fleet, shared) = (Fleet::new(&["s-1", "s-2"]), shared("both"));
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let config = fleet.config(fleet.discovery.addr());
    let (old, new) = (
        Relay::start_shared(&config, &held, &shared),
        Relay::start_shared(&config, &held, &shared),
    );
    for (told, other) in [(&old, &new), (&new, &old)] {
        assert_eq!(
            told.admin_request("POST", "/control/backends/s-2/offline")
                .0,
            200
        );
        other.wait_for_metric("skipped_backends", 1);
        assert_eq!(
            other
                .admin_request("POST", "/control/backends/s-2/online")
                .0,
            200
        );
        told.wait_for_metric("skipped_backends", 0);
    }
    std::fs::remove_dir_all(shared).unwrap();
}

/// New settings at SIGHUP: a class comes, another vanishes, fewer attempts are allowed; a connection under
/// way keeps its class, and a broken file changes nothing.
#[test]
fn new_settings_hold_after_a_reload_and_broken_ones_change_nothing() {
    let fleet = Fleet::new(&["s-1", "s-2"]);
    let config = with_admin(&fleet);
    let relay = Relay::start(&config, None);
    let standing = fleet.pair(&relay, "01");
    let open = |id: &str, class: &str| {
        let mut client = relay.client();
        client.send(&format!("OPEN {id} 7f c={class},d=60000"));
        client
    };
    assert_eq!(open("02", "next").line(), "ERR unknown-class");
    let changed = config
        .replace("\"chat\"", "\"next\"")
        .replace("\"max_attempts\": 6", "\"max_attempts\": 1");
    relay.reload(&changed);
    relay.wait_for_metric("loads_total", 1);
    assert_eq!(relay.metric("passed_total{category=\"next\"}"), Some(0));
    assert_eq!(relay.metric("passed_total{category=\"chat\"}"), Some(1));
    let mut client = open("03", "next");
    // One attempt is all there is now.
    fleet.accept_any().1.answer("BUSY");
    assert!(client.line().starts_with("BUSY"));
    assert_eq!(open("04", "chat").line(), "ERR unknown-class");
    for (n, broken) in [
        "",
        &changed[..changed.len() - 9],
        &changed.replace("1200.0", "0.0"),
    ]
    .iter()
    .enumerate()
    {
        relay.reload(broken);
        relay.wait_for_metric("load_errors_total", n as u64 + 1);
    }
    assert_eq!(relay.metric("loads_total"), Some(1));
    let _client = open("05", "next");
    let (_, mut backend) = fleet.accept_any();
    backend.line();
    backend.send("UP r");
    relay.wait_for_metric("passed_total{category=\"next\"}", 1);
    // The connection from before was never touched.
    let (mut client, mut backend) = standing;
    client.send("M 1 abc");
    assert_eq!(backend.line(), "M 1 abc");
    client.end();
    relay.wait_for_log("id=01 class=chat");
}

/// Where nobody takes over, what stands is moved as at any stop.
#[test]
fn a_process_without_a_successor_moves_what_stands() {
    let (fleet, shared) = (Fleet::new(&["s-1"]), shared("alone"));
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let config = fleet.config(fleet.discovery.addr());
    // One that has died leaves its place behind.
    drop(Relay::start_shared(&config, &held, &shared));
    let mut relay = Relay::start_shared(&config, &held, &shared);
    let (mut client, mut backend) = fleet.pair(&relay, "01");
    relay.signal("TERM");
    assert_eq!(client.line(), "MOVE");
    assert!(client.ended() && backend.ended());
    drop((client, backend));
    assert!(relay.exit().success());
    std::fs::remove_dir_all(shared).unwrap();
}
