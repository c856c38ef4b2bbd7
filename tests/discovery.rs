//! Discovery on real sockets: whatever call fails, the list is had again in the time after which it counts as told.

#[allow(dead_code)]
mod peers;

use crossbeam_channel::bounded;
use jaspermoor::config::Names;
use jaspermoor::decision_service::{DecisionService, Hooks};
use jaspermoor::decisions::api::{EndpointListKind, Settings};
use jaspermoor::decisions::Parameters;
use jaspermoor::platform::directory::Directory;
use jaspermoor::platform::discovery::{Source, Upkeep, Watcher, ANSWER, CALL, DIAL, SILENT, TOLD};
use peers::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

#[test]
fn what_a_failed_call_can_take_adds_up_to_less_than_the_time_after_which_a_change_counts_as_told() {
    let pause = |micros| Duration::from_micros(micros);
    let t = Parameters::default();
    // A watch that falls silent, and a call that is accepted or dialled and gets no answer.
    for seen in [SILENT, CALL, DIAL] {
        assert!(seen + pause(t.discovery_max_backoff_after_timeout_us) + ANSWER < TOLD);
    }
    // What is refused, reset or answered with an error is seen at once; so is a move.
    assert!(pause(t.discovery_max_backoff_us) + ANSWER < TOLD);
}

/// What discovery does to a call that has come, or to a watch that stands.
enum Fault {
    Call(fn(&mut Peer)),
    Watch(fn(&mut Watch)),
}

/// Each of these once kept a relay from its list for longer than the platform allows, or for good.
#[test]
fn whatever_a_call_meets_the_next_one_comes_in_time() {
    use Fault::{Call, Watch};
    let cases: [(&str, Fault); 10] = [
        ("accepted and mute", Call(|_| {})),
        ("reset", Call(Peer::close_with_reset)),
        (
            "503",
            Call(|peer| peer.write(b"HTTP/1.1 503 Service Unavailable\r\n\r\n")),
        ),
        (
            "half a head",
            Call(|peer| peer.write(b"HTTP/1.1 200 OK\r\nTransfer-")),
        ),
        (
            "a head that dribbles",
            Call(|peer| dribble(peer, b"HTTP/1.1 200 OK\r\nX: ", b"y")),
        ),
        (
            "a length that has come",
            Call(|peer| peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n\n")),
        ),
        ("a watch that falls silent", Watch(|_| {})),
        (
            "a watch that is reset",
            Watch(|watch| watch.peer.close_with_reset()),
        ),
        (
            "an object that dribbles",
            Watch(|watch| dribble(&mut watch.peer, b"fff0\r\n{\"version\":\"", b"2")),
        ),
        (
            "a chunk's size that dribbles",
            Watch(|watch| dribble(&mut watch.peer, b"1;", b"x")),
        ),
    ];
    std::thread::scope(|scope| {
        for (name, fault) in cases {
            scope.spawn(move || {
                let fleet = Fleet::new(&["s-1", "s-2"]);
                let relay = fleet.relay();
                let mut peer = fleet.discovery.accept_call().0;
                let broken = match fault {
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
                        // Held open: the relay is to give it up by itself.
                        std::mem::forget(watch);
                        since
                    }
                };
                let mut watch = fleet.accept_watch();
                let took = broken.elapsed();
                assert!(
                    took + ANSWER < TOLD,
                    "{name}: the next call came after {took:?}"
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

/// Goes on with single bytes, a few each second, for as long as anybody reads them.
fn dribble(peer: &mut Peer, begin: &[u8], byte: &'static [u8]) {
    peer.write(begin);
    let mut stream = peer.stream.try_clone().unwrap();
    std::thread::spawn(move || {
        while std::io::Write::write_all(&mut stream, byte).is_ok() {
            std::thread::sleep(Duration::from_millis(200));
        }
    });
}

/// Refused for long enough that the pauses have grown to their most; then it can be reached.
#[test]
fn discovery_that_has_refused_is_called_in_time_once_it_can_be_reached() {
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
    assert!(since.elapsed() + ANSWER < TOLD, "{:?}", since.elapsed());
    relay.wait_for_log("discovery: version 2");
}

/// A reload that moves discovery while a call to the old place waits for its answer: that call is not waited for.
#[test]
fn a_reload_in_the_midst_of_a_call_is_followed_at_once() {
    let (fleet, new) = (Fleet::new(&["s-1"]), Discovery::new());
    let relay = fleet.relay();
    let (mut mute, _) = fleet.discovery.accept_call();
    let since = Instant::now();
    relay.reload(&fleet.config(new.addr()));
    new.accept_watch("GET /v1/endpoints?watch=1 HTTP");
    assert!(since.elapsed() < CALL, "{:?}", since.elapsed());
    assert!(mute.ended());
}

/// A process that was stopped finds its time up and a whole list waiting: the watch stands.
#[test]
fn a_relay_that_was_stopped_for_long_reads_what_has_come_before_it_judges_the_watch() {
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
    std::thread::sleep(SILENT + Duration::from_millis(300));
    relay.signal("CONT");
    relay.wait_for_log("discovery: version 3");
    watch.send_list(4, false, &[fleet.entry("s-2", "leaving")]);
    relay.wait_for_log("discovery: version 4");
    assert!(!relay.logged("the watch failed"));
}

/// The platform pushes lists: the relay once never opened the watch that brings them, and sent clients to backends
/// that had left for as long as it ran.
#[test]
fn where_lists_are_pushed_the_watch_stands_from_the_start_and_is_opened_anew_at_once() {
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
    // What the agent has counts as told, watch or no watch.
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
    // A new configuration moves the watch.
    let second = Discovery::new();
    relay.reload(&pushed(second.addr()));
    assert!(watch.peer.ended());
    second
        .accept_watch("GET /v1/endpoints?watch=1 HTTP")
        .send_list(9, true, &[fleet.entry("s-2", "active")]);
    fleet.pair(&relay, "02");
}

/// A list that is written over several lines was cut at the first, and the watch given up each time it came.
#[test]
fn a_list_may_come_indented_and_an_entry_that_is_none_is_left_out_and_named() {
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

/// A reload once ended watching for good: the order for the new place came while the thread was busy with a list of
/// the old one, and was taken for an order to stop.
#[test]
fn an_order_and_a_move_that_come_in_the_middle_of_a_list_are_both_kept() {
    let (old, new, fleet) = (Discovery::new(), Discovery::new(), Fleet::new(&["s-1"]));
    let source = Source::new(old.addr(), Upkeep::Asked);
    let (orders, settings) = (
        source.clone(),
        Settings {
            polls_endpoint_list: true,
            ..Settings::default()
        },
    );
    let orders = Hooks {
        watch_endpoint_list: Box::new(move |on| orders.order(on)),
        check_health: bounded(1).0,
    };
    let decisions = DecisionService::new(settings, 1, Vec::new(), orders);
    let directory = Arc::new(Directory::default());
    // The thread of the watch is held in the middle of the first list, until all has come.
    let ((arrived, list), (go, held)) = (bounded(1), bounded::<()>(0));
    directory.wakes(Arc::new(move || {
        let _ = arrived.send(());
        let _ = held.recv();
    }));
    let (at, told, known) = (source.clone(), decisions.clone(), directory.clone());
    std::thread::spawn(move || {
        let names = Names {
            zones: vec!["x".into()],
            columns: Vec::new(),
        };
        Watcher {
            source: &at,
            names: &names,
            directory: &known,
            decisions: &told,
            version: 0,
        }
        .run();
    });
    source.order(true);
    old.accept_watch("GET")
        .send_list(1, true, &[fleet.entry("s-1", "active")]);
    list.recv().unwrap();
    assert!(source.relocate(new.addr()));
    decisions.update_endpoints(EndpointListKind::Relocated, Vec::new());
    source.order(true);
    drop(go);
    new.accept_watch("GET /v1/endpoints?watch=1 HTTP");
}
