//! The discovery client on real sockets: whichever call fails, the relay gets the list again within
//! the time that the platform allows.

#[allow(dead_code)]
mod peers;

use crossbeam_channel::bounded;
use jaspermoor::config::Names;
use jaspermoor::decision_service::{DecisionService, Hooks};
use jaspermoor::decisions::api::{EndpointListKind, Settings};
use jaspermoor::decisions::Parameters;
use jaspermoor::platform::directory::Directory;
use jaspermoor::platform::discovery::{
    WatchControl, WatchMode, Watcher, CONNECT_TIMEOUT, FIRST_ITEM_TIMEOUT, LIVENESS_TIMEOUT,
    MAX_UPDATE_DELAY, RESPONSE_ALLOWANCE,
};
use peers::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

#[test]
fn a_failed_call_and_its_retry_take_less_than_the_longest_allowed_delay_of_an_update() {
    let backoff = |micros| Duration::from_micros(micros);
    let parameters = Parameters::default();
    // A watch that goes silent, a call that is accepted and gets no response, and a connection
    // attempt that gets no answer.
    for timeout in [LIVENESS_TIMEOUT, FIRST_ITEM_TIMEOUT, CONNECT_TIMEOUT] {
        let backoff = backoff(parameters.discovery_max_backoff_after_timeout_us);
        assert!(timeout + backoff + RESPONSE_ALLOWANCE < MAX_UPDATE_DELAY);
    }
    // A refused connection, a reset, an error response and a relocation are noticed at once.
    let backoff = backoff(parameters.discovery_max_backoff_us);
    assert!(backoff + RESPONSE_ALLOWANCE < MAX_UPDATE_DELAY);
}

/// A fault of discovery, at a call that has arrived or at an open watch.
enum Fault {
    Call(fn(&mut Peer)),
    Watch(fn(&mut Watch)),
}

/// Each of these faults used to keep a relay from its list for longer than the platform allows, or
/// for ever.
#[test]
fn after_any_fault_of_a_call_the_next_one_comes_in_time() {
    use Fault::{Call, Watch};
    let cases: [(&str, Fault); 10] = [
        ("accepted without a response", Call(|_| {})),
        ("reset", Call(Peer::close_with_reset)),
        (
            "503",
            Call(|peer| peer.write(b"HTTP/1.1 503 Service Unavailable\r\n\r\n")),
        ),
        (
            "part of a header",
            Call(|peer| peer.write(b"HTTP/1.1 200 OK\r\nTransfer-")),
        ),
        (
            "a header that trickles in",
            Call(|peer| trickle(peer, b"HTTP/1.1 200 OK\r\nX: ", b"y")),
        ),
        (
            "a body complete by its length",
            Call(|peer| peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n\n")),
        ),
        ("a watch that goes silent", Watch(|_| {})),
        (
            "a watch that is reset",
            Watch(|watch| watch.peer.close_with_reset()),
        ),
        (
            "an object that trickles in",
            Watch(|watch| trickle(&mut watch.peer, b"fff0\r\n{\"version\":\"", b"2")),
        ),
        (
            "a chunk size that trickles in",
            Watch(|watch| trickle(&mut watch.peer, b"1;", b"x")),
        ),
    ];
    std::thread::scope(|scope| {
        for (name, fault) in cases {
            scope.spawn(move || {
                let fleet = Fleet::new(&["s-1", "s-2"]);
                let relay = fleet.relay();
                let mut peer = fleet.discovery.accept_call().0;
                let failed_at = match fault {
                    Call(fault) => {
                        fault(&mut peer);
                        Instant::now()
                    }
                    Watch(fault) => {
                        peer.write(WATCH_RESPONSE_HEAD);
                        let mut watch = peers::Watch { peer };
                        watch.send_line("");
                        let since = Instant::now();
                        fault(&mut watch);
                        // Left open: the relay must give it up by itself.
                        std::mem::forget(watch);
                        since
                    }
                };
                let mut watch = fleet.accept_watch();
                let delay = failed_at.elapsed();
                assert!(
                    delay + RESPONSE_ALLOWANCE < MAX_UPDATE_DELAY,
                    "{name}: the next call came after {delay:?}"
                );
                watch.send_list(
                    2,
                    true,
                    &[fleet.entry("s-1", "leaving"), fleet.entry("s-2", "active")],
                );
                relay.wait_for_log("discovery: version 2");
            });
        }
    });
}

/// Writes `begin`, then a few single bytes each second until the connection ends.
fn trickle(peer: &mut Peer, begin: &[u8], byte: &'static [u8]) {
    peer.write(begin);
    let mut stream = peer.stream.try_clone().unwrap();
    std::thread::spawn(move || {
        while std::io::Write::write_all(&mut stream, byte).is_ok() {
            std::thread::sleep(Duration::from_millis(200));
        }
    });
}

/// Discovery refuses connections until the backoff has reached its maximum; then it is reachable.
#[test]
fn discovery_that_was_unreachable_for_long_is_called_in_time_once_it_is_reachable() {
    let (fleet, down) = (Fleet::new(&["s-1"]), RefusingPort::new());
    let relay = Relay::start(&fleet.config(down.addr()), None);
    until("six refusals", || {
        (relay.times_logged("discovery: the watch failed") >= 6).then_some(())
    });
    let since = Instant::now();
    let discovery = down.listen();
    discovery
        .accept_watch("GET")
        .send_list(2, true, &[fleet.entry("s-1", "active")]);
    assert!(
        since.elapsed() + RESPONSE_ALLOWANCE < MAX_UPDATE_DELAY,
        "{:?}",
        since.elapsed()
    );
    relay.wait_for_log("discovery: version 2");
}

/// A reload changes discovery's address while a call to the old address waits for its response: the
/// relay must not wait for that response.
#[test]
fn a_reload_during_a_call_takes_effect_at_once() {
    let (fleet, new) = (Fleet::new(&["s-1"]), Discovery::new());
    let relay = fleet.relay();
    let (mut old_call, _) = fleet.discovery.accept_call();
    let since = Instant::now();
    relay.reload(&fleet.config(new.addr()));
    new.accept_watch("GET /v1/endpoints?watch=1 HTTP");
    assert!(
        since.elapsed() < FIRST_ITEM_TIMEOUT,
        "{:?}",
        since.elapsed()
    );
    assert!(old_call.ended());
}

/// A process that was stopped (SIGSTOP) finds the watch's deadline past and a whole list in the
/// socket's buffer: the watch is alive.
#[test]
fn a_relay_that_was_stopped_reads_what_has_arrived_before_it_checks_the_deadline() {
    let fleet = Fleet::new(&["s-1", "s-2"]);
    let relay = fleet.relay();
    let mut watch = fleet.accept_watch();
    watch.send_list(
        2,
        true,
        &[fleet.entry("s-1", "active"), fleet.entry("s-2", "active")],
    );
    relay.wait_for_log("discovery: version 2");
    relay.signal("STOP");
    watch.send_list(3, false, &[fleet.entry("s-1", "leaving")]);
    std::thread::sleep(LIVENESS_TIMEOUT + Duration::from_millis(300));
    relay.signal("CONT");
    relay.wait_for_log("discovery: version 3");
    watch.send_list(4, false, &[fleet.entry("s-2", "leaving")]);
    relay.wait_for_log("discovery: version 4");
    assert!(!relay.logged("the watch failed"));
}

/// With pushed lists a relay used not to open the watch at all, and sent clients to backends that
/// had left.
#[test]
fn with_pushed_lists_the_watch_is_open_from_the_start_and_is_reopened_at_once() {
    let fleet = Fleet::new(&["s-1", "s-2"]);
    let pushed = |discovery| {
        fleet
            .config(discovery)
            .replace("\"on_request\"", "\"pushed\"")
    };
    let relay = Relay::start(&pushed(fleet.discovery.addr()), None);
    let mut watch = fleet.accept_watch();
    let (mut client, _backend) = fleet.pair(&relay, "01");
    watch.send_list(
        2,
        false,
        &[fleet.entry("s-1", "leaving"), fleet.entry("s-2", "leaving")],
    );
    assert_eq!(client.line(), "MOVE");
    // The platform takes what its agent has as known to the relay, whether a watch is open or not.
    let since = Instant::now();
    watch.peer.close_with_reset();
    drop(watch);
    let mut watch = fleet
        .discovery
        .accept_watch("GET /v1/endpoints?watch=1&after=2 HTTP");
    assert!(
        since.elapsed() < Duration::from_secs(2),
        "{:?}",
        since.elapsed()
    );
    // A new configuration changes the address of discovery.
    let second = Discovery::new();
    relay.reload(&pushed(second.addr()));
    assert!(watch.peer.ended());
    second
        .accept_watch("GET /v1/endpoints?watch=1 HTTP")
        .send_list(9, true, &[fleet.entry("s-2", "active")]);
    fleet.pair(&relay, "02");
}

/// A list that spans several lines used to be cut after the first one, so that each watch failed.
#[test]
fn a_list_may_be_indented_and_a_malformed_entry_is_left_out_and_named() {
    let fleet = Fleet::new(&["s-1", "s-2"]);
    let relay = fleet.relay();
    let mut watch = fleet.accept_watch();
    let entries = [
        fleet.entry("s-1", "leaving"),
        "{\n\"id\": 7\n}".into(),
        fleet.entry("s-2", "active"),
    ];
    watch.send_line(&format!(
        "{{\n  \"version\": 2,\n  \"full\": true,\n  \"servers\": [\n{}\n]\n}}",
        entries.join(",\n")
    ));
    relay.wait_for_log("an entry was left out: servers[1].id");
    relay.wait_for_log("discovery: version 2, 2 entries");
    watch.send_list(3, false, &[fleet.entry("s-1", "active")]);
    relay.wait_for_log("discovery: version 3");
    assert!(!relay.logged("the watch failed"));
}

/// A reload used to end watching for ever: the request for the new address came while the thread
/// was applying a list from the old one, and was taken for a request to stop.
#[test]
fn a_request_and_a_relocation_during_a_list_update_are_both_kept() {
    let (old, new, fleet) = (Discovery::new(), Discovery::new(), Fleet::new(&["s-1"]));
    let watch_control = WatchControl::new(old.addr(), WatchMode::OnRequest);
    let (watch_requests, settings) = (
        watch_control.clone(),
        Settings {
            polls_endpoint_list: true,
            ..Settings::default()
        },
    );
    let hooks = Hooks {
        watch_endpoint_list: Box::new(move |on| watch_requests.request_watch(on)),
        check_health: bounded(1).0,
    };
    let decisions = DecisionService::new(settings, 1, Vec::new(), hooks);
    let directory = Arc::new(Directory::default());
    // The watch thread is blocked while it applies the first list, until the relocation is done.
    let ((list_sender, list_applied), (resume, blocked)) = (bounded(1), bounded::<()>(0));
    directory.on_change(Arc::new(move || {
        let _ = list_sender.send(());
        let _ = blocked.recv();
    }));
    let watcher_parts = (watch_control.clone(), decisions.clone(), directory.clone());
    std::thread::spawn(move || {
        let (control, decisions, directory) = watcher_parts;
        let names = Names {
            zones: vec!["x".into()],
            columns: Vec::new(),
        };
        Watcher {
            control: &control,
            names: &names,
            directory: &directory,
            decisions: &decisions,
            version: 0,
        }
        .run();
    });
    watch_control.request_watch(true);
    old.accept_watch("GET")
        .send_list(1, true, &[fleet.entry("s-1", "active")]);
    list_applied.recv().unwrap();
    assert!(watch_control.relocate(new.addr()));
    decisions.update_endpoints(EndpointListKind::Relocated, Vec::new());
    watch_control.request_watch(true);
    drop(resume);
    new.accept_watch("GET /v1/endpoints?watch=1 HTTP");
}
