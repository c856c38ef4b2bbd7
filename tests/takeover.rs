//! Connections that another process of the relay has established, on real sockets: what the process
//! that takes them over learns late applies to them, too.

#[allow(dead_code)]
mod peers;

use jaspermoor::platform::takeover::{Handover, HandoverListener, Message, Successor};
use peers::*;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The processes of an upgrade: what they share, and the configuration of both.
struct Upgrade {
    fleet: Fleet,
    shared: tempfile::TempDir,
    held: TcpListener,
    config: String,
}

impl Upgrade {
    /// Backends s-1 and s-2, of which the configuration knows the first.
    fn new() -> Upgrade {
        let fleet = Fleet::new(&["s-1", "s-2"]);
        let config = config(fleet.discovery.addr(), &[fleet.entry("s-1", "active")]);
        Upgrade {
            fleet,
            shared: tempfile::tempdir().unwrap(),
            held: TcpListener::bind("127.0.0.1:0").unwrap(),
            config,
        }
    }

    fn start(&self) -> Relay {
        Relay::start_shared(&self.config, &self.held, self.shared.path())
    }

    /// Starts a process that learns of s-2 from discovery and has a connection there.
    fn start_with_connection_at_s2(&self) -> (Relay, Peer, Peer) {
        let relay = self.start();
        let mut watch = self.fleet.accept_watch();
        watch.send_list(2, true, &[self.fleet.entry("s-2", "active")]);
        relay.wait_for_log("discovery: version 2");
        let (client, backend) = self.fleet.pair(&relay, "01");
        (relay, client, backend)
    }

    /// Stops a process, whose connection the other one takes over.
    fn hand_over(&self, from: &mut Relay, to: &Relay) {
        from.signal("TERM");
        to.wait_for_log("1 connections taken over");
        assert!(from.exit().success());
    }
}

/// Guards against clients that are cut off when their backend leaves: the process that took them
/// over read only later that it drains.
#[test]
fn the_client_of_a_draining_backend_is_migrated_if_the_list_arrives_after_the_takeover() {
    for full in [true, false] {
        let upgrade = Upgrade::new();
        let (mut old, mut client, mut backend) = upgrade.start_with_connection_at_s2();
        let new = upgrade.start();
        upgrade.hand_over(&mut old, &new);
        let mut watch = upgrade.fleet.accept_watch();
        let entries = ["s-1", "s-2"].map(|name| {
            let state = if name == "s-2" { "leaving" } else { "active" };
            upgrade.fleet.entry(name, state)
        });
        watch.send_list(3, full, &entries);
        assert_eq!(client.line(), "MOVE", "full: {full}");
        assert!(client.ended() && backend.ended());
    }
}

/// Guards against new connections to a backend that drains: the second process knew only the list
/// of its configuration for as long as discovery did not answer.
#[test]
fn a_second_process_sends_nothing_to_a_backend_that_the_first_knows_to_drain() {
    let upgrade = Upgrade::new();
    let mut old = upgrade.start();
    let mut watch = upgrade.fleet.accept_watch();
    let entry = |name, state| upgrade.fleet.entry(name, state);
    watch.send_list(2, false, &[entry("s-1", "leaving"), entry("s-2", "active")]);
    old.wait_for_log("discovery: version 2");
    let new = upgrade.start();
    // Its call is not answered. It asks for what has changed since the list of the first process.
    let (_call, line) = upgrade.fleet.discovery.accept_call();
    assert!(
        line.starts_with("GET /v1/endpoints?watch=1&after=2 "),
        "{line}"
    );
    old.signal("TERM");
    assert!(old.exit().success());
    let pairs: Vec<_> = (0..10)
        .map(|n| {
            let mut client = new.client();
            client.send(&format!("OPEN 0{n} {n}f c=chat,d=60000"));
            let (name, mut backend) = upgrade.fleet.accept_any();
            backend.line();
            backend.send("UP r");
            assert_eq!((client.line().as_str(), name.as_str()), ("UP r", "s-2"));
            (client, backend)
        })
        .collect();
    assert_eq!(pairs.len(), 10);
}

/// Guards against a second process that asks an address which a new configuration has replaced: the
/// variable that it is started with is as old as the first process.
#[test]
fn a_second_process_asks_discovery_where_a_new_configuration_has_moved_it() {
    let upgrade = Upgrade::new();
    let (earlier, discovery) = (Discovery::new(), &upgrade.fleet.discovery);
    let start = |config: &str| {
        let shared = upgrade.shared.path();
        Relay::start_shared_with(config, &upgrade.held, shared, Some(earlier.addr()))
    };
    let moved = upgrade.config.as_str();
    let old = start(&moved.replace(&discovery.addr().to_string(), &earlier.addr().to_string()));
    let _earlier_watch = earlier.accept_watch("GET /v1/endpoints?watch=1&after=1 ");
    old.reload(moved);
    let mut watch = upgrade.fleet.accept_watch();
    watch.send_list(9, true, &[upgrade.fleet.entry("s-2", "active")]);
    old.wait_for_log("discovery: version 9");
    let _new = start(moved);
    let (is_moved, (_call, line)) = until("a call of the second process", || {
        let at_earlier = earlier.try_accept_call().map(|call| (false, call));
        at_earlier.or_else(|| Some((true, discovery.try_accept_call()?)))
    });
    // The version is that of the new address, too.
    assert!(
        line.starts_with("GET /v1/endpoints?watch=1&after=9 ") && is_moved,
        "{line}"
    );
}

/// A client's and a backend's connection that can be handed over, with the test's sides.
fn connection() -> [(TcpStream, TcpStream); 2] {
    [(); 2].map(|()| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let relay_side = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        (relay_side, listener.accept().unwrap().0)
    })
}

/// Guards against clients that stay at a manually ejected backend: the process that took them over
/// knew of the ejection before it knew the backend.
#[test]
fn the_client_of_an_ejected_backend_is_migrated_before_a_list_names_it() {
    let upgrade = Upgrade::new();
    // Another process has made the ejection.
    let ejections = upgrade.shared.path().join("jaspermoor-offline");
    std::fs::create_dir(&ejections).unwrap();
    std::fs::write(ejections.join("s%2D2"), b"").unwrap();
    let relay = upgrade.start();
    relay.wait_for_log("backend s-2 is ejected manually");
    let [(client, own_client), (backend, _own_backend)] = connection();
    let handover = Handover {
        name: "01".into(),
        class: "chat".into(),
        backend: "s-2".into(),
        ..Handover::default()
    };
    let successor = Successor::find(upgrade.shared.path()).unwrap();
    successor.send(&handover, &client, &backend).unwrap();
    drop((client, backend));
    assert_eq!(Peer::new(own_client).rest(), "MOVE\r\n");
}

/// Guards against connections that are kept for too long after an upgrade: the process that took
/// them over did not know when their backends had last sent something.
#[test]
fn a_silent_backend_is_given_up_by_the_time_of_its_last_line_in_the_earlier_process() {
    let upgrade = Upgrade::new();
    let relay = upgrade.start();
    let successor = Successor::find(upgrade.shared.path()).unwrap();
    let handover = |name: &str, asked_ms, heard_ms| Handover {
        name: name.into(),
        class: "chat".into(),
        backend: "s-1".into(),
        asked_ms: Some(asked_ms),
        heard_ms,
        ..Handover::default()
    };
    // An older build does not tell. Its connection ends later, although its line has waited for
    // longer.
    let cases = [("told", 4_100, Some(6_500)), ("untold", 4_500, None)];
    let _sides = cases.map(|(name, asked_ms, heard_ms)| {
        let [(client, own_client), (backend, own_backend)] = connection();
        let handover = handover(name, asked_ms, heard_ms);
        successor.send(&handover, &client, &backend).unwrap();
        (own_client, own_backend)
    });
    relay.wait_for_log("end id=untold ");
    let order = relay.first_logged(&["end id=told ", "end id=untold "]);
    assert_eq!(order, Some("end id=told "));
}

/// The process that stops tells how long ago the backend last sent something.
#[test]
fn a_handover_tells_when_the_backend_last_sent_something() {
    let upgrade = Upgrade::new();
    let (relay, mut client, mut backend) = upgrade.start_with_connection_at_s2();
    backend.send("M 1");
    assert_eq!(client.line(), "M 1");
    let heard_by = Instant::now();
    until("some time without a line", || {
        (heard_by.elapsed() > Duration::from_millis(50)).then_some(())
    });
    client.send("M 2");
    assert_eq!(backend.line(), "M 2");
    let asked_by = Instant::now();
    let listener = HandoverListener::open(upgrade.shared.path()).unwrap();
    relay.signal("TERM");
    let mut predecessor = until("the link", || listener.accept().ok());
    let mut handovers = Vec::new();
    until("the connection", || {
        predecessor.receive(1, &mut |message| match message {
            Message::Connection((handover, ..)) => handovers.push(handover),
            Message::ListRequest | Message::IdChanges(_) => {
                panic!("a process that stops asks for nothing")
            }
        });
        (!handovers.is_empty()).then_some(())
    });
    let Handover {
        asked_ms, heard_ms, ..
    } = &handovers[0];
    let between = asked_by.duration_since(heard_by).as_millis() as u64;
    let (asked_ms, heard_ms) = (asked_ms.unwrap(), heard_ms.unwrap());
    assert!(
        heard_ms + 1 >= asked_ms + between.min(50),
        "{heard_ms} {asked_ms} {between}"
    );
}

/// Guards against an id that runs twice during an upgrade: the second process serves a request under
/// the id of one that is open at the first.
#[test]
fn an_id_that_is_open_at_one_process_is_refused_by_the_other() {
    let upgrade = Upgrade::new();
    let old = upgrade.start();
    let (_client, _backend) = upgrade.fleet.pair(&old, "01");
    let new = upgrade.start();
    // The first process accepts nobody while it is stopped, so the second one gets this client.
    old.signal("STOP");
    let mut again = new.client();
    again.send("OPEN 01 7f c=chat,d=3000");
    let answer = until("an answer, or a second attempt", || {
        let attempted = upgrade.fleet.backend("s-1").try_accept().is_some();
        let mut byte = [0];
        again.stream.set_nonblocking(true).unwrap();
        let answered = matches!(again.stream.peek(&mut byte), Ok(1..));
        again.stream.set_nonblocking(false).unwrap();
        (attempted || answered).then_some(answered)
    });
    old.signal("CONT");
    assert!(answer, "the id was attempted a second time");
    assert_eq!(again.rest(), "ERR id-in-use\r\n");
}

/// The answer to a request under this id at `at`, while `other` accepts nobody.
fn answer_at(at: &Relay, other: &Relay, id: &str) -> String {
    other.signal("STOP");
    let mut client = at.client();
    client.send(&format!("OPEN {id} 7f c=chat,d=3000"));
    at.signal("CONT");
    let answer = client.rest();
    other.signal("CONT");
    answer
}

/// The same for ids that are opened once both processes serve, at either of them, and for one whose
/// connection is handed over, in a class that may not be run twice.
#[test]
fn ids_are_refused_by_both_processes_of_an_upgrade_before_and_after_the_handover() {
    let upgrade = Upgrade::new();
    let unsafe_class = upgrade
        .config
        .replace("\"idempotency\": \"safe\"", "\"idempotency\": \"unsafe\"");
    let start = || Relay::start_shared(&unsafe_class, &upgrade.held, upgrade.shared.path());
    let (mut old, new) = (start(), start());
    // While a process is stopped the other one accepts; it reads of the id before the next client.
    new.signal("STOP");
    let (mut first, mut backend) = upgrade.fleet.pair(&old, "01");
    assert_eq!(answer_at(&new, &old, "01"), "ERR id-in-use\r\n");
    old.signal("STOP");
    let _second = upgrade.fleet.pair(&new, "02");
    assert_eq!(answer_at(&old, &new, "02"), "ERR id-in-use\r\n");
    old.signal("CONT");
    upgrade.hand_over(&mut old, &new);
    backend.send("line");
    assert_eq!(first.line(), "line");
    for id in ["01", "02"] {
        let mut again = new.client();
        again.send(&format!("OPEN {id} 7f c=chat,d=3000"));
        assert_eq!(again.rest(), "ERR id-in-use\r\n", "{id}");
    }
}

/// Guards against a keyed request that runs twice: what one process knows of its window was told to the
/// other one only once it had ended, and not at all if the request had ended before. Rows: whether the
/// second process starts before the request.
#[test]
fn the_window_of_a_keyed_request_binds_both_processes_of_an_upgrade() {
    const WINDOW: Duration = Duration::from_secs(3);
    let answers = [false, true].map(|starts_before| {
        let mut upgrade = Upgrade::new();
        upgrade.config = upgrade
            .config
            .replace("\"idempotency\": \"safe\"", "\"idempotency\": \"keyed\"")
            .replace("\"window\": 5000.0", "\"window\": 3000.0");
        let old = upgrade.start();
        let before = starts_before.then(|| upgrade.start());
        before.iter().for_each(|new| new.signal("STOP"));
        let mut client = old.client();
        client.send("OPEN 01 7f c=chat,d=60000");
        let mut backend = upgrade.fleet.backend("s-1").accept();
        backend.line();
        let sent_by = Instant::now();
        drop(client);
        assert!(backend.ended());
        old.wait_for_metric("in_progress", 0);
        let new = before.unwrap_or_else(|| upgrade.start());
        std::thread::sleep((sent_by + WINDOW).saturating_duration_since(Instant::now()));
        old.signal("STOP");
        let mut again = new.client();
        again.send("OPEN 01 7f c=chat,d=60000");
        new.signal("CONT");
        let is_answered = until("an answer, or a second attempt", || {
            let attempted = upgrade.fleet.backend("s-1").try_accept().is_some();
            again.stream.set_nonblocking(true).unwrap();
            let answered = again.stream.peek(&mut [0]).is_ok();
            again.stream.set_nonblocking(false).unwrap();
            (attempted || answered).then_some(!attempted)
        });
        old.signal("CONT");
        is_answered.then(|| again.rest())
    });
    let refused = || Some("ERR id-in-use\r\n".to_string());
    assert_eq!(answers, [refused(), refused()]);
}

/// Guards against two processes of an upgrade that each send cold backends the whole share of their
/// relay: each knows of the other as long as that serves.
#[test]
fn the_processes_of_an_upgrade_know_how_many_serve() {
    let upgrade = Upgrade::new();
    let mut old = upgrade.start();
    let new = upgrade.start();
    for process in [&old, &new] {
        process.wait_for_log("takeover: processes beside this one: 1");
    }
    old.signal("TERM");
    assert!(old.exit().success());
    new.wait_for_log("takeover: processes beside this one: 0");
}

/// Guards against a count of the processes that does not reach the decisions. A backend that is
/// called back gets a token's request of each process that has the relay's whole share; of two that
/// share it, here where no token is earned within the test, not of both.
#[test]
fn the_processes_of_an_upgrade_share_the_first_requests_to_a_returning_backend() {
    let mut upgrade = Upgrade::new();
    upgrade.config = config(
        upgrade.fleet.discovery.addr(),
        &["s-1", "s-2"].map(|name| upgrade.fleet.entry(name, "active")),
    )
    .replace("\"fall\": 1000.0", "\"fall\": 600000.0")
    .replace("\"warm_within\": 24000.0", "\"warm_within\": 3600000.0")
    .replace("\"overload_factor\": 2.5", "\"overload_factor\": 0.001")
    .replace("\"peers_total\": 1", "\"peers_total\": 3");
    let processes = [upgrade.start(), upgrade.start()];
    for process in &processes {
        process.wait_for_log("takeover: processes beside this one: 1");
    }
    for (order, ejected) in [("offline", 1), ("online", 0)] {
        let path = format!("/control/backends/s-2/{order}");
        assert_eq!(processes[0].admin_request("POST", &path).0, 200);
        for process in &processes {
            process.wait_for_metric("skipped_backends", ejected);
        }
    }
    let mut open = Vec::new();
    let mut at_s2 = 0;
    // The kernel chooses the process that accepts a client: until both have served some.
    let served = |process: &Relay| process.metric("passed_total{category=\"chat\"}") >= Some(4);
    while !processes.iter().all(served) {
        assert!(open.len() < 200, "a process accepts no clients");
        let mut client = processes[0].client();
        client.send(&format!(
            "OPEN {:02x} {:02x}f c=chat,d=60000",
            open.len(),
            open.len()
        ));
        let (backend, mut connection) = upgrade.fleet.accept_any();
        connection.line();
        connection.send("UP r");
        assert_eq!(client.line(), "UP r");
        at_s2 += u32::from(backend == "s-2");
        open.push((client, connection));
    }
    assert!(at_s2 <= 1, "{at_s2} requests");
}
