//! Tests of one attempt, with a backend that the test plays.

use super::*;
use crate::config::Config;
use crate::decision_service::{Decision, DecisionService, Hooks, PendingDecision};
use crate::decisions::api::{EndpointState, ListedEndpoint};
use crate::net::poll::{Events, Poller};
use crate::platform::directory::Directory;
use crate::protocol::line::LineRequestReader;
use crate::protocol::{ReaderAction, RequestReader};
use crossbeam_channel::bounded;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

const ENDPOINT: EndpointId = EndpointId(1);
const MINUTE: Micros = 60_000_000;
const SETTINGS: &str = include_str!("../../../tests/data/settings.json");

struct Setup {
    shared: Arc<SharedState>,
    session: Arc<Session>,
    client_request: Box<dyn ClientRequest>,
    _client: TcpStream,
}

fn listed(id: EndpointId, state: EndpointState) -> ListedEndpoint {
    ListedEndpoint {
        id,
        zone: 0,
        cell: 0,
        state,
        size: 1.0,
        started_at: None,
    }
}

/// A session with one backend in this state at this address. `at` is the last part of the
/// request's line.
fn setup(addr: SocketAddr, state: EndpointState, at: &str, dial_ms: f64) -> Setup {
    let dial_timeout = format!("\"dial_timeout\": {dial_ms:.3}");
    let settings = SETTINGS.replace("\"dial_timeout\": 250.0", &dial_timeout);
    setup_with(&settings, addr, &[(ENDPOINT, state)], at)
}

/// A session with these settings and these endpoints, all at this address. All were ready when the
/// decisions last heard of them; the directory has their present states.
fn setup_with(
    settings: &str,
    addr: SocketAddr,
    endpoints: &[(EndpointId, EndpointState)],
    at: &str,
) -> Setup {
    let text =
        format!(r#"{{"listen":"{addr}","discovery":"{addr}","seed":"1","settings":{settings}}}"#);
    let config = Config::parse(text.into_bytes(), &|_| None).unwrap();
    let (watch, (probe, _)) = (Box::new(|_| ()), bounded(1));
    let ready = |(id, _): &(EndpointId, EndpointState)| listed(*id, EndpointState::Ready);
    let cached = endpoints.iter().map(ready).collect();
    let decisions = DecisionService::new(
        config.settings.clone(),
        1,
        cached,
        Hooks {
            watch_endpoint_list: watch,
            check_health: probe,
        },
    );
    let directory = Arc::new(Directory::default());
    let present = |&(id, state): &(EndpointId, EndpointState)| {
        let name = format!("s-{}", id.0);
        (BackendAddress { name, addr }, listed(id, state))
    };
    let present: Vec<_> = endpoints.iter().map(present).collect();
    directory.update(true, &present);
    let shared = SharedState::new(&config, decisions, directory);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let idle = shared
        .admission
        .register(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
    let mut inbox = Buffer::from_bytes(format!("OPEN 1 7f c=one,d=60000{at}\r\n").into_bytes());
    let rules = shared.settings().rules.clone();
    let ReaderAction::Request(client_request) =
        LineRequestReader::new(0).next_action(&mut inbox, 0, &rules)
    else {
        panic!()
    };
    let place = idle.admit_request("1").unwrap();
    let session = Session::new(&shared.wake_queue, (0x7f, 0), place, false, None);
    Setup {
        shared,
        session,
        client_request,
        _client: listener.accept().unwrap().0,
    }
}

impl Setup {
    fn context(&self, id: RequestId) -> AttemptContext<'_> {
        AttemptContext {
            shared: &self.shared,
            session: &self.session,
            client_request: &*self.client_request,
            id,
        }
    }

    fn attempt(&self, left: Micros) -> Attempt {
        let now = self.shared.decisions.now();
        Attempt::new(&*self.client_request, ENDPOINT, now + left, 0, now)
    }

    /// Drives an attempt to its end as the event loop does.
    fn drive(
        &self,
        id: RequestId,
        mut attempt: Attempt,
    ) -> Result<EstablishedBackend, AttemptFailure> {
        let (poller, mut events, mut ready) =
            (Poller::new().unwrap(), Events::default(), Vec::new());
        let (mut ready_now, mut watched) = (false, None);
        loop {
            if let Some(result) = attempt.advance(self.context(id), ready_now) {
                return result;
            }
            if let Some((socket, interest)) = attempt.interest() {
                poller.watch(socket, 1, watched, Some(interest)).unwrap();
                watched = Some(interest);
            }
            poller.wait(
                self.shared.decisions.time_until(attempt.next_timer()),
                &mut events,
                &mut ready,
            );
            ready_now = ready.drain(..).count() > 0;
        }
    }
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// A backend may leave, or a request may be answered, while the dial is in progress. Then no
/// byte may be sent on the new connection.
#[test]
fn nothing_is_sent_after_the_dial_to_a_backend_that_left_or_for_an_answered_request() {
    for (state, answered) in [
        (EndpointState::Draining, false),
        (EndpointState::Ready, true),
    ] {
        let (listener, addr) = listener();
        let s = setup(addr, state, "", 10_000.0);
        let pick = s.shared.decisions.submit(
            s.client_request.request().clone(),
            s.session.clone(),
            |_| {},
        );
        if answered {
            s.shared.decisions.client_disconnected(pick.id);
        }
        let result = s.drive(pick.id, s.attempt(MINUTE));
        assert!(
            matches!(result, Err((Outcome::NotAttempted, _))),
            "{state:?} {answered}"
        );
        // The socket is closed by now, so the next attempt may begin.
        let mut sent = Vec::new();
        listener.accept().unwrap().0.read_to_end(&mut sent).unwrap();
        assert_eq!(sent, b"", "{state:?} {answered}");
    }
}

/// Guards against a wait for an adopted connection that starts again after each silence and
/// never ends.
#[test]
fn the_wait_for_an_adopted_connection_ends() {
    let (_listener, addr) = listener();
    let s = setup(addr, EndpointState::Ready, ",at=s-1", 10_000.0);
    let id = s.shared.decisions.adopt_connection(
        s.client_request.request().clone(),
        ENDPOINT,
        s.session.clone(),
    );
    assert!(matches!(
        s.drive(id, s.attempt(300_000)),
        Err((Outcome::Timeout, _))
    ));
}

/// An adopted connection whose backend is not listed yet waits without a dial.
#[test]
fn an_adopted_connection_waits_for_the_list_that_names_its_backend() {
    let (_listener, addr) = listener();
    let s = setup(addr, EndpointState::Removed, ",at=s-1", 10_000.0);
    let id = s.shared.decisions.adopt_connection(
        s.client_request.request().clone(),
        ENDPOINT,
        s.session.clone(),
    );
    let mut attempt = s.attempt(MINUTE);
    assert!(attempt.advance(s.context(id), false).is_none() && attempt.awaits_address());
    s.shared.directory.update(
        false,
        &[(
            BackendAddress {
                name: "s-1".into(),
                addr,
            },
            listed(ENDPOINT, EndpointState::Ready),
        )],
    );
    assert!(attempt.advance(s.context(id), false).is_none() && !attempt.awaits_address());
    assert!(attempt.interest().is_some());
}

/// Each dial reports one outcome; after a failure its socket is closed and nothing was sent.
#[test]
fn a_dial_that_is_refused_or_hangs_or_succeeds_too_late_fails_once() {
    // Refused: the port is bound, but nothing listens on it.
    let bound = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    bound
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    let refusing = bound.local_addr().unwrap().as_socket().unwrap();
    let s = setup(refusing, EndpointState::Ready, "", 10_000.0);
    let pick = s.shared.decisions.submit(
        s.client_request.request().clone(),
        s.session.clone(),
        |_| {},
    );
    assert!(matches!(
        s.drive(pick.id, s.attempt(MINUTE)),
        Err((Outcome::ConnectFailed, _))
    ));

    // Hanging: a listener whose accept queue is full does not answer a dial.
    let (full, addr) = listener();
    socket2::SockRef::from(&full).listen(0).unwrap();
    let _waiting: Vec<TcpStream> = (0..3).map(|_| dial(addr).unwrap()).collect();
    let s = setup(addr, EndpointState::Ready, "", 20.0);
    let pick = s.shared.decisions.submit(
        s.client_request.request().clone(),
        s.session.clone(),
        |_| {},
    );
    assert!(matches!(
        s.drive(pick.id, s.attempt(MINUTE)),
        Err((Outcome::ConnectFailed, _))
    ));

    // Too late: the deadline passes before the success is reported, or both are reported at
    // once with the success first, as to a process that was suspended. It must not use the
    // connection.
    for ready_now in [false, true] {
        let (listener, addr) = listener();
        let s = setup(addr, EndpointState::Ready, "", 1.0);
        let pick = s.shared.decisions.submit(
            s.client_request.request().clone(),
            s.session.clone(),
            |_| {},
        );
        let mut attempt = s.attempt(MINUTE);
        assert!(attempt.advance(s.context(pick.id), false).is_none());
        let (mut backend, _) = listener.accept().unwrap();
        while s.shared.decisions.now() < attempt.next_timer() {
            std::thread::sleep(Duration::from_millis(1));
        }
        assert!(matches!(
            attempt.advance(s.context(pick.id), ready_now),
            Some(Err((Outcome::ConnectFailed, _)))
        ));
        let mut sent = Vec::new();
        backend.read_to_end(&mut sent).unwrap();
        assert!(sent.is_empty() && attempt.interest().is_none());
        assert!(
            attempt.advance(s.context(pick.id), true).is_none(),
            "the attempt reported two outcomes"
        );
    }
}

/// Guards against a request that is sent twice to the backend of an adopted connection: only a
/// failure before its last byte is followed by another dial, later each time and within the
/// deadline.
#[test]
fn an_adopted_connection_is_dialled_again_only_if_its_request_was_not_sent() {
    let (_listener, addr) = listener();
    let s = setup(addr, EndpointState::Ready, ",at=s-1", 10_000.0);
    let retry = |number, outcome, deadline| {
        let next =
            Attempt::retry_adoption(&*s.client_request, ENDPOINT, deadline, (number, outcome), 0);
        next.map(|attempt| (attempt.number, attempt.next_timer()))
    };
    for outcome in [Outcome::ConnectFailed, Outcome::NotAttempted] {
        assert_eq!(retry(0, outcome, MINUTE), Some((1, 100_000)));
        assert_eq!(retry(2, outcome, MINUTE), Some((3, 400_000)));
        assert_eq!(retry(60, outcome, MINUTE), Some((61, 2_000_000)));
        assert_eq!(retry(0, outcome, 100_000), None, "no time is left");
    }
    for outcome in [
        Outcome::Reset,
        Outcome::Timeout,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::Cancelled,
    ] {
        assert_eq!(retry(0, outcome, MINUTE), None, "{outcome:?}");
    }
}

/// An attempt whose backend made it buffer too much ends as where its connection breaks: before the
/// request's last byte was sent it cannot have run, after that it may have.
#[test]
fn an_attempt_out_of_memory_closes_its_socket_and_ends_like_a_broken_connection() {
    for (sent, expected) in [(false, Outcome::ConnectFailed), (true, Outcome::Reset)] {
        let (listener, addr) = listener();
        let setup = setup(addr, EndpointState::Ready, "", 1_000.0);
        let request = setup.client_request.request().clone();
        let decision = setup
            .shared
            .decisions
            .submit(request, setup.session.clone(), |_| {});
        let id = decision.id;
        let mut attempt = setup.attempt(MINUTE);
        assert!(attempt.advance(setup.context(id), false).is_none());
        let mut backend = listener.accept().unwrap().0;
        if sent {
            while !attempt.request_sent {
                assert!(attempt.advance(setup.context(id), true).is_none());
            }
        }
        assert_eq!(attempt.excess_buffered_bytes(), 0);
        attempt.end_out_of_memory();
        let result = attempt.advance(setup.context(id), false);
        let outcome = result.and_then(Result::err).map(|(outcome, _)| outcome);
        assert_eq!(outcome, Some(expected), "request sent: {sent}");
        // The end of the stream, or a reset.
        backend
            .set_read_timeout(Some(Duration::from_secs(30)))
            .unwrap();
        let mut rest = Vec::new();
        let _ = backend.read_to_end(&mut rest);
        assert_eq!(rest.is_empty(), !sent);
    }
}

/// The deduplication window of the requests below: long enough that their second attempt begins within
/// it on a busy machine.
const WINDOW: Micros = 2_000_000;

/// A session whose request is of a class with this idempotency, and two ready endpoints.
fn setup_with_class(addr: SocketAddr, idempotency: &str) -> Setup {
    let window = format!("\"window\": {}.0", WINDOW / 1_000);
    let settings = SETTINGS
        .replace("\"dial_timeout\": 250.0", "\"dial_timeout\": 20.0")
        .replace(
            "\"idempotency\": \"safe\"",
            &format!("\"idempotency\": \"{idempotency}\""),
        )
        .replace("\"goal_time\": 300.0", "\"goal_time\": 60000.0")
        .replace("\"window\": 5000.0", &window);
    let ready = [ENDPOINT, EndpointId(2)].map(|id| (id, EndpointState::Ready));
    setup_with(&settings, addr, &ready, "")
}

impl Setup {
    /// The second attempt of the request, whose first one may have run; and a time at which its window
    /// has ended.
    fn second_attempt(&self) -> (PendingDecision, Attempt, Micros) {
        let decisions = &self.shared.decisions;
        let request = self.client_request.request().clone();
        let pending = decisions.submit(request, self.session.clone(), |_| {});
        let window_ended_by = decisions.now() + WINDOW;
        assert!(matches!(
            pending.wait(),
            Decision::Attempt { number: 0, .. }
        ));
        decisions.attempt_failed(pending.id, Outcome::Error, Vec::new());
        let Decision::Attempt {
            endpoint,
            give_up_at,
            number: 1,
        } = pending.wait()
        else {
            panic!("no second attempt")
        };
        let now = decisions.now();
        let attempt = Attempt::new(&*self.client_request, endpoint, give_up_at, 1, now);
        (pending, attempt, window_ended_by)
    }

    fn wait_until(&self, time: Micros) {
        std::thread::sleep(self.shared.decisions.time_until(time));
    }
}

/// Writes to a socket until it accepts no more; the number of bytes that it has accepted.
fn fill(socket: &TcpStream) -> usize {
    let mut accepted = 0;
    while let Ok(n) = { socket }.write(&[b'-'; 4096]) {
        accepted += n;
    }
    accepted
}

/// Guards against a keyed request of the line protocol that is sent past its window by a process that
/// was suspended right behind the decision, before it dialled. A request that may run again is sent.
#[test]
fn an_attempt_that_is_dialled_after_the_window_sends_no_keyed_request() {
    for (idempotency, is_sent) in [("keyed", false), ("safe", true)] {
        let (listener, addr) = listener();
        let setup = setup_with_class(addr, idempotency);
        let (pending, mut attempt, window_ended_by) = setup.second_attempt();
        setup.wait_until(window_ended_by);
        // Up to the first answer of the socket, or of the attempt.
        while attempt.advance(setup.context(pending.id), true).is_none() && !attempt.request_sent {}
        assert_eq!(attempt.request_sent, is_sent, "{idempotency}");
        drop(attempt);
        setup.session.detach_backend();
        drop(listener);
    }
}

/// Guards against a keyed request that waits in the relay for a socket that takes nothing, and is
/// written when it does. Nothing of it was sent, and the backend has not failed.
#[test]
fn a_keyed_request_that_a_full_socket_held_back_is_not_sent_after_the_window() {
    for (idempotency, is_sent) in [("keyed", false), ("safe", true)] {
        let (listener, addr) = listener();
        let setup = setup_with_class(addr, idempotency);
        let (pending, mut attempt, window_ended_by) = setup.second_attempt();
        assert!(attempt.advance(setup.context(pending.id), false).is_none());
        let (mut backend, _) = listener.accept().unwrap();
        let socket = attempt.interest().unwrap().0.clone();
        let filled = fill(&socket);
        // The dial is over, and the request finds the socket full.
        assert!(attempt.advance(setup.context(pending.id), true).is_none());
        assert!(!attempt.request_sent && attempt.blocked, "{idempotency}");
        setup.wait_until(window_ended_by);
        backend.read_exact(&mut vec![0; filled]).unwrap();
        let result = loop {
            match attempt.advance(setup.context(pending.id), true) {
                None if !attempt.request_sent => {}
                result => break result,
            }
        };
        assert_eq!(attempt.request_sent, is_sent, "{idempotency}");
        let outcome = result.and_then(Result::err).map(|(outcome, _)| outcome);
        let expected = (!is_sent).then_some(Outcome::NotAttempted);
        assert_eq!(outcome, expected, "{idempotency}");
    }
}
