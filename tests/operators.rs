//! Operations on a running relay: the admin address, metrics, manual ejections, reloads and
//! upgrades.

#[allow(dead_code)]
mod peers;

use peers::*;
use std::io::Write;
use std::net::TcpListener;
use std::path::PathBuf;

/// The configuration of a relay with an admin address.
fn with_admin(fleet: &Fleet) -> String {
    fleet
        .config(fleet.discovery.addr())
        .replacen('{', "{\"admin\":\"127.0.0.1:0\",", 1)
}

/// Creates an empty shared directory for a test.
fn shared_directory(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("shared-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir(&path).unwrap();
    path
}

#[test]
fn requests_are_answered_while_incomplete_requests_occupy_every_place() {
    let fleet = Fleet::new(&["s-1"]);
    let relay = Relay::start(&with_admin(&fleet), None);
    let incomplete: Vec<_> = (0..40)
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
    drop(incomplete);
    // A request that arrives byte by byte is answered as well.
    let mut slow = relay.admin_connection();
    slow.set_nodelay(true).unwrap();
    for byte in b"GET /control/ready HTTP/1.1\r\n\r\n" {
        slow.write_all(&[*byte]).unwrap();
    }
    assert_eq!(read_answer(slow).0, 200);
}

#[test]
fn metrics_follow_requests_and_list_updates() {
    let fleet = Fleet::new(&["s-1", "s-2"]);
    let relay = Relay::start(&with_admin(&fleet), None);
    for metric in ["passed_total", "dropped_total", "bad_gateway_total"] {
        assert_eq!(
            relay.metric(&format!("{metric}{{category=\"chat\"}}")),
            Some(0)
        );
    }
    let (client, backend) = fleet.pair(&relay, "01");
    assert_eq!(relay.metric("in_progress"), Some(1));
    let mut rejected = relay.client();
    rejected.send("OPEN 02 7f c=chat,d=60000");
    // Two attempts, then a rejection.
    (0..2).for_each(|_| fleet.accept_any().1.answer("BUSY"));
    assert!(rejected.line().starts_with("BUSY"));
    let mut failed = relay.client();
    failed.send("OPEN 01 7f c=chat,d=60000");
    assert_eq!(failed.line(), "ERR id-in-use");
    for (metric, value) in [
        ("passed_total{category=\"chat\"}", 1),
        ("dropped_total{category=\"chat\"}", 1),
        ("bad_gateway_total{category=\"chat\"}", 1),
        ("upstream_tries_total", 3),
        ("known_backends", 2),
        ("skipped_backends", 0),
    ] {
        relay.wait_for_metric(metric, value);
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

/// An upgrade: a second process accepts clients at the same socket, then the first one is stopped.
/// It accepts no more clients, answers those it has, and hands its established connections over,
/// even in the middle of a line.
#[test]
fn a_second_process_takes_over_connections_at_the_inherited_socket() {
    let (fleet, shared) = (Fleet::new(&["s-1"]), shared_directory("upgrade"));
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let config = fleet.config(fleet.discovery.addr());
    let mut old = Relay::start_shared(&config, &held, &shared);
    let (mut established, mut backend) = fleet.pair(&old, "01");
    established.stream.write_all(b"M 1 a").unwrap();
    backend.stream.write_all(b"M 2 \xff").unwrap();
    // A client that is connected, but has sent no request yet when the old process is stopped.
    let mut pending = old.client();
    pending.send("PING");
    assert_eq!(pending.line(), "PONG");
    let new = Relay::start_shared(&config, &held, &shared);
    // The log line that `start_shared` waits for precedes the first turn of the serving thread.
    until("the new process to accept clients", || {
        (new.admin_request("GET", "/control/ready").0 == 200).then_some(())
    });
    assert_eq!(new.admin_request("GET", "/control/ready").0, 200);
    old.signal("TERM");
    until("the old process", || {
        (old.admin_request("GET", "/control/ready").0 == 503).then_some(())
    });
    pending.send("OPEN 02 7f c=chat,d=60000");
    let mut pending_backend = fleet.backend("s-1").accept();
    pending_backend.line();
    pending_backend.send("UP r");
    assert_eq!(pending.line(), "UP r");
    let pairs: Vec<_> = (3..9).map(|n| fleet.pair(&old, &format!("0{n}"))).collect();
    assert_eq!(new.metric("passed_total{category=\"chat\"}"), Some(6));
    assert!(old.exit().success());
    old.wait_for_log("id=01 class=chat backend=s-1 attempts=1");
    old.wait_for_log("reason=handed-over");
    // The established connections continue, without loss.
    established.stream.write_all(b"bc\r\n").unwrap();
    assert_eq!(backend.line(), "M 1 abc");
    backend.stream.write_all(b"\xfe\r\n").unwrap();
    assert_eq!(established.bytes(), b"M 2 \xff\xfe\r\n");
    pending_backend.send("M 3");
    assert_eq!(pending.line(), "M 3");
    assert_eq!(new.metric("in_progress"), Some(8));
    // The socket still accepts clients, and the id of a connection that was taken over is in use.
    fleet.pair(&new, "10");
    let mut duplicate = new.client();
    duplicate.send("OPEN 01 7f c=chat,d=60000");
    assert_eq!(duplicate.line(), "ERR id-in-use");
    drop(backend);
    assert!(established.ended());
    new.wait_for_log("id=01 class=chat backend=s-1 attempts=1");
    drop(pairs);
    std::fs::remove_dir_all(shared).unwrap();
}

/// A manual ejection outlasts an upgrade and list updates, until an operator ends it.
#[test]
fn a_manually_ejected_backend_stays_ejected_across_an_upgrade() {
    let (fleet, shared) = (Fleet::new(&["s-1", "s-2"]), shared_directory("ejections"));
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
    // The ejection stays, whatever the list says.
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
    // The earlier connection was migrated away from the ejected backend.
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

/// While both processes of an upgrade run, an ejection made or ended at one applies to the other.
#[test]
fn an_ejection_at_one_process_applies_to_the_other() {
    let (fleet, shared) = (Fleet::new(&["s-1", "s-2"]), shared_directory("both"));
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let config = fleet.config(fleet.discovery.addr());
    let (old, new) = (
        Relay::start_shared(&config, &held, &shared),
        Relay::start_shared(&config, &held, &shared),
    );
    for (ordered, other) in [(&old, &new), (&new, &old)] {
        assert_eq!(
            ordered
                .admin_request("POST", "/control/backends/s-2/offline")
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
        ordered.wait_for_metric("skipped_backends", 0);
    }
    std::fs::remove_dir_all(shared).unwrap();
}

/// New settings at SIGHUP: a class is added, another one is removed, and fewer attempts are
/// allowed. An established connection keeps its class, and a malformed file changes nothing.
#[test]
fn a_reload_applies_new_settings_and_malformed_ones_change_nothing() {
    let fleet = Fleet::new(&["s-1", "s-2"]);
    let config = with_admin(&fleet);
    let relay = Relay::start(&config, None);
    let established = fleet.pair(&relay, "01");
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
    // Only one attempt is allowed now.
    fleet.accept_any().1.answer("BUSY");
    assert!(client.line().starts_with("BUSY"));
    assert_eq!(open("04", "chat").line(), "ERR unknown-class");
    for (n, malformed) in [
        "",
        &changed[..changed.len() - 9],
        &changed.replace("1200.0", "0.0"),
    ]
    .iter()
    .enumerate()
    {
        relay.reload(malformed);
        relay.wait_for_metric("load_errors_total", n as u64 + 1);
    }
    assert_eq!(relay.metric("loads_total"), Some(1));
    let _client = open("05", "next");
    let (_, mut backend) = fleet.accept_any();
    backend.line();
    backend.send("UP r");
    relay.wait_for_metric("passed_total{category=\"next\"}", 1);
    // The earlier connection was not affected.
    let (mut client, mut backend) = established;
    client.send("M 1 abc");
    assert_eq!(backend.line(), "M 1 abc");
    client.end();
    relay.wait_for_log("id=01 class=chat");
}

/// Without a successor the established connections are migrated, as at any stop.
#[test]
fn a_process_without_a_successor_migrates_its_connections() {
    let (fleet, shared) = (Fleet::new(&["s-1"]), shared_directory("alone"));
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let config = fleet.config(fleet.discovery.addr());
    // A process that was killed leaves its socket file behind.
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
