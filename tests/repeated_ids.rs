//! A keyed request that a client of the line protocol repeats under its id, at a relay process: its
//! window counts from the earlier request, which may have run.

#[allow(dead_code)]
mod peers;

use peers::{Fleet, Peer, RefusingPort, Relay, Watch};
use std::thread;
use std::time::{Duration, Instant};

/// Long enough that a request is repeated within it on a busy machine.
const WINDOW: Duration = Duration::from_secs(3);

/// A relay before one backend, and a request that the backend has and its client has left.
struct Play {
    fleet: Fleet,
    relay: Relay,
    watch: Watch,
    /// Versions of the list so far.
    version: u64,
    /// A moment after the issue of the request.
    sent_by: Instant,
}

impl Play {
    /// Plays up to the end of the first request, whose class has this idempotency.
    fn start(idempotency: &str) -> Play {
        Play::start_with_reload(idempotency, |config| config)
    }

    /// The same, where this configuration is put in force while the backend has the request.
    fn start_with_reload(idempotency: &str, reload: impl Fn(String) -> String) -> Play {
        let fleet = Fleet::new(&["s-1", "s-2", "s-3"]);
        let config = peers::config(fleet.discovery.addr(), &[fleet.entry("s-1", "active")])
            .replace(
                "\"name\":\"n1\"",
                "\"name\":\"n1\",\"admin\":\"127.0.0.1:0\"",
            )
            .replace("\"safe\"", &format!("\"{idempotency}\""))
            .replace(
                "\"window\": 5000.0",
                &format!("\"window\": {}.0", WINDOW.as_millis()),
            )
            .replace("\"dial_timeout\": 10000.0", "\"dial_timeout\": 250.0");
        let relay = Relay::start(&config, None);
        let watch = fleet.accept_watch();
        let mut client = relay.client();
        client.send("OPEN 01 7f c=chat,d=60000");
        let mut backend = fleet.backend("s-1").accept();
        backend.line();
        let sent_by = Instant::now();
        let reloaded = reload(config.clone());
        if reloaded != config {
            relay.reload(&reloaded);
            relay.wait_for_metric("loads_total", 1);
        }
        drop(client);
        assert!(backend.ended());
        relay.wait_for_metric("in_progress", 0);
        Play {
            fleet,
            relay,
            watch,
            version: 1,
            sent_by,
        }
    }

    /// Lists `s-1` in this state, and one more backend that takes no requests, and waits until the
    /// relay has the list.
    fn list(&mut self, state: &str) {
        self.version += 1;
        let another = format!("s-{}", self.version);
        let entries = [
            self.fleet.entry("s-1", state),
            self.fleet.entry(&another, "leaving"),
        ];
        self.watch.send_list(self.version, false, &entries);
        self.relay.wait_for_metric("known_backends", self.version);
    }

    /// Repeats the request, which waits in the relay for a list.
    fn repeat(&self, more: &str) -> Peer {
        let mut client = self.relay.client();
        client.send(&format!("OPEN 01 7f c=chat,d=60000{more}"));
        self.relay.wait_for_metric("in_progress", 1);
        client
    }

    /// The client's answer; none where this backend gets an attempt before it.
    fn answer_before_attempt(&self, client: &mut Peer, backend: &str) -> Option<String> {
        answer_before(client, || {
            self.fleet.backend(backend).try_accept().is_some()
        })
    }

    fn wait_for_end_of_window(&self) {
        thread::sleep((self.sent_by + WINDOW).saturating_duration_since(Instant::now()));
    }
}

/// The client's answer; none where the backend gets an attempt before it.
fn answer_before(client: &mut Peer, is_attempted: impl Fn() -> bool) -> Option<String> {
    client.stream.set_nonblocking(true).unwrap();
    let is_answered = peers::until("an answer or an attempt", || {
        let attempted = is_attempted();
        let answered = client.stream.peek(&mut [0]).is_ok();
        (attempted || answered).then_some(!attempted)
    });
    client.stream.set_nonblocking(false).unwrap();
    is_answered.then(|| client.line())
}

/// Guards against a keyed request that runs twice: its client comes again within the window, and the
/// relay sends the repetition when a backend is available, long after it.
#[test]
fn a_repeated_keyed_request_that_waits_for_a_backend_is_not_sent_after_the_first_one_s_window() {
    let mut play = Play::start("keyed");
    play.list("leaving");
    let mut client = play.repeat("");
    play.wait_for_end_of_window();
    play.list("active");
    let answer = play.answer_before_attempt(&mut client, "s-1");
    assert_eq!(answer.as_deref(), Some("BUSY"));
}

/// The same for a client that names its earlier backend, for whose address the relay waits.
#[test]
fn a_repeated_keyed_request_that_waits_for_an_address_is_not_sent_after_the_first_one_s_window() {
    let mut play = Play::start("keyed");
    play.list("leaving");
    let mut client = play.repeat(",at=s-3");
    play.wait_for_end_of_window();
    play.list("active");
    let answer = play.answer_before_attempt(&mut client, "s-3");
    assert_eq!(answer.as_deref(), Some("FAILED"));
}

/// The same for such a client whose backend cannot be reached, and is dialled again and again.
#[test]
fn a_repeated_keyed_request_that_waits_for_a_dial_is_not_sent_after_the_first_one_s_window() {
    let mut play = Play::start("keyed");
    let refusing = RefusingPort::new();
    play.fleet.set_backend_addr("s-3", refusing.addr());
    play.list("leaving");
    play.list("leaving");
    let mut client = play.repeat(",at=s-3");
    play.relay.wait_for_log("adopted connection: dialled again");
    play.wait_for_end_of_window();
    let backend = refusing.listen();
    let answer = answer_before(&mut client, || backend.try_accept().is_some());
    assert_eq!(answer.as_deref(), Some("FAILED"));
}

/// Guards against a keyed request that runs twice: new settings with a longer window counted for a
/// request that its backend had under the earlier ones.
#[test]
fn a_request_keeps_the_window_of_its_settings_after_a_reload() {
    let play = Play::start_with_reload("keyed", |config| {
        config.replace("\"window\": 3000.0", "\"window\": 3600000.0")
    });
    play.wait_for_end_of_window();
    let mut client = play.relay.client();
    client.send("OPEN 01 7f c=chat,d=60000");
    let answer = play.answer_before_attempt(&mut client, "s-1");
    assert_eq!(answer.as_deref(), Some("ERR id-in-use"));
}

/// What it costs: within the window the repetition is sent, and one that may run again always is.
#[test]
fn a_repeated_request_that_may_run_is_sent() {
    for (idempotency, past_window) in [("keyed", false), ("safe", true)] {
        let mut play = Play::start(idempotency);
        play.list("leaving");
        let mut client = play.repeat("");
        if past_window {
            play.wait_for_end_of_window();
        }
        play.list("active");
        let mut backend = play.fleet.backend("s-1").accept();
        assert!(backend.line().starts_with("OPEN 01 "), "{idempotency}");
        backend.send("UP r");
        assert_eq!(client.line(), "UP r", "{idempotency}");
    }
}
