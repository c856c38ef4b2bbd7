//! The event loop of the thread that serves clients. It accepts clients, drives every connection,
//! attempt and health check, fires the timers of the decisions, and takes over the connections of
//! another process. At a shutdown it migrates the established connections or hands them over.
//!
//! Everything that it drives is a state machine that never blocks. The only wait is
//! [`Poller::wait`], and the only clock that of the decisions. A relay therefore needs no more
//! threads under load. With one thread per first line, dial and health check, a machine with
//! hundreds of relays ran out of threads, and clients were disconnected without an answer.
//!
//! Guards against: a silent peer that delays others (nothing here blocks), a burst of new clients
//! that delays established ones (the number accepted per turn is limited), and an event that is
//! taken for one of another socket (see the tokens in `connection`).

use crate::config::endpoint_list::endpoint_id;
use crate::config::Names;
use crate::decisions::api::{EndpointId, Micros, Outcome};
use crate::load::LoadReportCache;
use crate::log::log;
use crate::net::connection::{BackendSide, Connection, Phase, NUMBER_SHIFT};
use crate::net::forward::CHECK_INTERVAL;
pub use crate::net::handshake::ListenerProtocol;
use crate::net::link::Link;
use crate::net::listen::Listener;
use crate::net::poll::{dial, is_local_failure, Events, Interest, Poller, Ready};
use crate::net::session::{ConnectionRecord, Session};
use crate::net::shared::SharedState;
use crate::platform::health_check::{self, HealthCheck, MAX_HEALTH_CHECKS};
use crate::platform::takeover::{HandedOver, HandoverListener, LinkState, Predecessor, Successor};
use crate::protocol::line::LineForwarder;
use crate::sys::{boottime, timed_out, Wake};
use crossbeam_channel::Receiver;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long new clients may still arrive after the signal to stop, in microseconds: the platform's
/// front end takes 0.4 s to stop sending them.
const LATE_CLIENT_TIME: Micros = 450_000;
/// The platform kills a process that was told to stop after the longest deadline of its classes,
/// but at most this, plus [`KILL_DELAY`]. In microseconds.
const MAX_KILL_DEADLINE: Micros = 3_000_000;
/// The time that the platform adds to that deadline, in microseconds.
const KILL_DELAY: Micros = 700_000;
/// The interval between two steps of a drain, in microseconds.
const DRAIN_INTERVAL: Micros = 25_000;
/// A drain ends this long before the kill, in microseconds.
const KILL_MARGIN: Micros = 200_000;
/// All pending requests are answered this long before the end of the drain, in microseconds, also
/// those whose clients would wait longer. The time is for the answers to arrive, for the
/// connections that were established last to be migrated, and for clients to close.
const ANSWER_MARGIN: Micros = 300_000;
/// From this long after the start of a drain, in microseconds, clients that have begun to send a
/// request are dismissed too. Those that have sent nothing are dismissed earlier.
const HANDSHAKE_DRAIN_TIME: Micros = 2 * LATE_CLIENT_TIME;
/// Clients accepted, or handed-over connections received, per listener and turn. The others wait in
/// the kernel's queues while existing connections are served.
const MAX_PER_TURN: usize = 32;
/// The pause before a relay without capacity accepts clients again, in microseconds.
const FULL_PAUSE: Micros = 1_000;
/// The pause after an accept failed, as for lack of descriptors, in microseconds.
const ACCEPT_ERROR_PAUSE: Micros = 5_000;

/// Kinds of tokens other than a connection's two sides ([`CLIENT`](crate::net::connection::CLIENT)
/// and [`BACKEND`](crate::net::connection::BACKEND)). The kind has the place of the side in a
/// token.
const HEALTH_CHECK: u64 = 2;
const OTHER: u64 = 3;
const KIND_MASK: u64 = 3;
/// Numbers of tokens of the kind [`OTHER`]: the listener for predecessors, then the listeners for
/// clients, then the links from predecessors.
const TAKEOVER_LISTENER: u64 = 0;
const FIRST_LISTENER: u64 = 16;
const FIRST_PREDECESSOR: u64 = 1024;

const READ: Interest = Interest {
    read: true,
    write: false,
    peer_closed: false,
};
const WRITE: Interest = Interest {
    read: false,
    write: true,
    peer_closed: false,
};

fn other_token(n: u64) -> u64 {
    n << NUMBER_SHIFT | OTHER
}

struct ListenerEntry {
    listener: Arc<Listener>,
    protocol: ListenerProtocol,
    /// Whether the poller watches the socket now.
    watched: bool,
    /// Whether this process accepts no more clients from it.
    closed: bool,
}

/// The state of a relay that stops. `migrated_by`, `kill_after` and `late_client_time` are relative
/// to `started_at`.
struct Drain {
    started_at: Micros,
    /// When all established connections have been told to migrate.
    migrated_by: Micros,
    /// When the platform kills the process.
    kill_after: Micros,
    /// How long new clients may still arrive; until then nothing is migrated.
    late_client_time: Micros,
    /// The time of the next step.
    next_step: Micros,
    /// The process that takes over the established connections, if there is one.
    successor: Option<Successor>,
}

/// Controls an event loop from other threads.
pub struct Handle {
    stop: AtomicBool,
    wake: Wake,
}

impl Handle {
    /// Starts the drain, after which [`EventLoop::run`] returns.
    pub fn stop(&self) {
        self.stop.store(true, Relaxed);
        (self.wake)();
    }
}

/// The event loop of one relay, with all that it drives.
pub struct EventLoop {
    shared: Arc<SharedState>,
    poller: Poller,
    handle: Arc<Handle>,
    connections: BTreeMap<u64, Box<Connection>>,
    /// The timers of connections and health checks, with their tokens; one each.
    timers: BTreeSet<(Micros, u64)>,
    /// Connections that wait for an endpoint list that names their backend.
    awaiting_address: BTreeSet<u64>,
    /// The version of the endpoint list that these have seen.
    list_version: u64,
    listeners: Vec<ListenerEntry>,
    /// Until when no listener is watched.
    paused_until: Option<Micros>,
    /// Whether the last accept failed: repeated failures are logged once.
    accept_failed: bool,
    /// Accepts links from other processes of this relay that hand over their connections.
    takeover_listener: Option<HandoverListener>,
    predecessors: BTreeMap<u64, Predecessor>,
    next_predecessor: u64,
    /// Endpoints whose health the decisions want checked.
    check_requests: Receiver<EndpointId>,
    /// Load reports of the fleet's load watch, and its requests for health checks, if it is
    /// enabled.
    load_reports: Option<Arc<LoadReportCache>>,
    names: Names,
    health_checks: BTreeMap<u64, HealthCheck>,
    next_check_number: u64,
    health_check_timeout: Micros,
    /// The directory where the processes of this relay find each other.
    takeover_dir: Option<PathBuf>,
    drain: Option<Drain>,
    /// When the timeouts of connections were last checked.
    last_check: Micros,
}

impl EventLoop {
    /// An event loop without listeners. `check_requests` are the endpoints whose health the
    /// decisions want checked.
    pub fn new(
        shared: Arc<SharedState>,
        names: Names,
        check_requests: Receiver<EndpointId>,
    ) -> io::Result<EventLoop> {
        let poller = Poller::new()?;
        let wake = poller.waker();
        shared.decisions.set_waker(wake.clone());
        shared.directory.on_change(wake.clone());
        shared.wake_queue.set_waker(wake.clone());
        let last_check = shared.decisions.now();
        Ok(EventLoop {
            shared,
            handle: Arc::new(Handle {
                stop: AtomicBool::new(false),
                wake,
            }),
            poller,
            connections: BTreeMap::new(),
            timers: BTreeSet::new(),
            awaiting_address: BTreeSet::new(),
            list_version: 0,
            listeners: Vec::new(),
            paused_until: None,
            accept_failed: false,
            takeover_listener: None,
            predecessors: BTreeMap::new(),
            next_predecessor: FIRST_PREDECESSOR,
            check_requests,
            load_reports: None,
            names,
            health_checks: BTreeMap::new(),
            next_check_number: 0,
            health_check_timeout: health_check::STEP_TIMEOUT_US,
            takeover_dir: None,
            drain: None,
            last_check,
        })
    }

    /// Returns a handle for other threads.
    pub fn handle(&self) -> Arc<Handle> {
        self.handle.clone()
    }

    /// Accepts clients of this protocol from a listener.
    pub fn add_listener(
        &mut self,
        listener: Arc<Listener>,
        protocol: ListenerProtocol,
    ) -> io::Result<()> {
        let token = other_token(FIRST_LISTENER + self.listeners.len() as u64);
        self.poller.watch(&listener, token, None, Some(READ))?;
        self.listeners.push(ListenerEntry {
            listener,
            protocol,
            watched: true,
            closed: false,
        });
        Ok(())
    }

    /// Makes health checks for the fleet's load watch, and uses its load reports in place of own
    /// health checks.
    pub fn use_load_reports(&mut self, load_reports: Arc<LoadReportCache>) {
        load_reports.set_checker_waker(self.handle.wake.clone());
        self.load_reports = Some(load_reports);
    }

    /// Takes over connections of other processes through this directory, and hands over its own
    /// there when it stops.
    pub fn enable_takeover(&mut self, dir: PathBuf) -> io::Result<()> {
        let takeover_listener = HandoverListener::open(&dir)?;
        self.takeover_dir = Some(dir);
        self.poller.watch(
            &takeover_listener,
            other_token(TAKEOVER_LISTENER),
            None,
            Some(READ),
        )?;
        self.takeover_listener = Some(takeover_listener);
        Ok(())
    }

    /// Serves until a drain has ended all connections, or the platform is about to kill the
    /// process.
    pub fn run(mut self) {
        self.poller.set_owner();
        self.shared.accepting.store(true, Relaxed);
        let (mut events, mut ready) = (Events::default(), Vec::new());
        loop {
            let timer = self.shared.decisions.fire_timers();
            // The clock is read once per turn, because that has cost more than the rest of an idle
            // turn.
            let now = self.shared.decisions.now();
            self.handle_wake_queue();
            self.start_health_checks();
            self.handle_list_update();
            self.fire_timers(now);
            if self.handle.stop.load(Relaxed) && self.advance_drain(now) {
                return;
            }
            self.check_connections(now);
            self.resume_accepting(now);
            // Work that this turn has scheduled for the loop itself is done before the next wait.
            let limit = if self.poller.take_rescheduled() {
                Duration::ZERO
            } else {
                self.next_wait(timer, now)
            };
            self.poller.wait(limit, &mut events, &mut ready);
            for ready in ready.drain(..) {
                self.handle_ready(ready);
            }
        }
    }

    /// The time until the earliest timer.
    fn next_wait(&self, timer: Option<Micros>, now: Micros) -> Duration {
        let next = self.last_check + CHECK_INTERVAL;
        let drain = self.drain.as_ref().map(|drain| drain.next_step);
        let due = self.timers.first().map(|&(at, _)| at);
        let next = [timer, drain, due, self.paused_until]
            .into_iter()
            .flatten()
            .fold(next, Micros::min);
        Duration::from_micros(next.saturating_sub(now))
    }

    fn handle_ready(&mut self, ready: Ready) {
        let token = ready.token;
        let number = token >> NUMBER_SHIFT;
        match token & KIND_MASK {
            HEALTH_CHECK => self.advance_health_check(number, true),
            OTHER if number == TAKEOVER_LISTENER => self.accept_predecessor(),
            OTHER if number >= FIRST_PREDECESSOR => self.receive_handovers(number),
            OTHER => self.accept_clients((number - FIRST_LISTENER) as usize),
            _ => self.update_connection(number, |conn| conn.handle_ready(ready)),
        }
    }

    /// Calls a connection, then updates the watches on its sockets and its timer, and removes it if
    /// it is closed.
    fn update_connection(&mut self, number: u64, work: impl FnOnce(&mut Connection)) {
        let Some(conn) = self.connections.get_mut(&number) else {
            return;
        };
        work(conn);
        let (before, token) = (conn.timer, number << NUMBER_SHIFT);
        let stays = conn.update_interest(&self.poller);
        let (after, seeks) = (conn.timer, conn.awaits_address());
        if !stays {
            self.connections.remove(&number);
        }
        let after = after.filter(|_| stays);
        if before != after {
            before
                .iter()
                .for_each(|&at| _ = self.timers.remove(&(at, token)));
            after
                .iter()
                .for_each(|&at| _ = self.timers.insert((at, token)));
        }
        if seeks && stays {
            self.awaiting_address.insert(number);
        } else {
            self.awaiting_address.remove(&number);
        }
        if !stays {
            // Its slot is free again.
            self.paused_until = self.paused_until.map(|_| 0);
        }
    }

    fn add_connection(&mut self, conn: Connection) {
        let number = conn.number;
        self.connections.insert(number, Box::new(conn));
        self.update_connection(number, |_| {});
    }

    /// Calls the connections that the decisions have an update for.
    fn handle_wake_queue(&mut self) {
        for number in self.shared.wake_queue.take() {
            self.update_connection(number, Connection::handle_update);
        }
    }

    /// After a list update, calls the connections that wait for the address of their backend.
    fn handle_list_update(&mut self) {
        let version = self.shared.directory.version();
        if std::mem::replace(&mut self.list_version, version) != version {
            for number in std::mem::take(&mut self.awaiting_address) {
                self.update_connection(number, Connection::handle_timer);
            }
        }
    }

    /// Calls the connections and health checks whose timers have expired.
    fn fire_timers(&mut self, now: Micros) {
        let expired: Vec<(Micros, u64)> = self.timers.range(..=(now, u64::MAX)).copied().collect();
        for (at, token) in expired {
            let number = token >> NUMBER_SHIFT;
            if token & KIND_MASK == HEALTH_CHECK {
                self.advance_health_check(number, false);
            } else if self
                .connections
                .get(&number)
                .is_some_and(|conn| conn.timer == Some(at))
            {
                self.update_connection(number, Connection::handle_timer);
            }
        }
    }

    /// Checks the timeouts of all connections, once per interval.
    fn check_connections(&mut self, now: Micros) {
        if now < self.last_check + CHECK_INTERVAL {
            return;
        }
        self.last_check = now;
        let numbers: Vec<u64> = self.connections.keys().copied().collect();
        numbers
            .into_iter()
            .for_each(|number| self.update_connection(number, Connection::check_timeouts));
    }

    // Listeners.

    /// Accepts clients that wait at a listener.
    fn accept_clients(&mut self, n: usize) {
        for _ in 0..MAX_PER_TURN {
            let Some(entry) = self.listeners.get(n).filter(|entry| !entry.closed) else {
                return;
            };
            let (listener, protocol) = (entry.listener.clone(), entry.protocol);
            // Clients that cannot be accepted now wait in the listener's queue.
            if !self.make_room() {
                return self.pause_accepting(FULL_PAUSE);
            }
            match listener.accept() {
                Ok(client) => {
                    self.accept_failed = false;
                    self.add_client(client, protocol);
                }
                Err(e) if timed_out(&e) => return,
                Err(e) => {
                    if !std::mem::replace(&mut self.accept_failed, true) {
                        log(&format!("accept: {e}"));
                    }
                    return self.pause_accepting(ACCEPT_ERROR_PAUSE);
                }
            }
        }
    }

    /// Whether one more client can be accepted. If not, some connections without a request are
    /// dismissed.
    fn make_room(&mut self) -> bool {
        let dismissals = match self.shared.admission.check_capacity() {
            Ok(()) => return true,
            Err(dismissals) => dismissals,
        };
        dismissals
            .into_iter()
            .for_each(|number| self.update_connection(number, Connection::dismiss));
        false
    }

    fn add_client(&mut self, client: std::net::TcpStream, protocol: ListenerProtocol) {
        let waiting = self.shared.admission.register(client);
        if let Some(conn) = Connection::accept(&self.shared, waiting, protocol) {
            self.add_connection(conn);
        }
    }

    /// Accepts no clients for this time.
    fn pause_accepting(&mut self, wait: Micros) {
        self.paused_until = Some(self.shared.decisions.now() + wait);
        self.watch_listeners(false);
    }

    fn resume_accepting(&mut self, now: Micros) {
        if self.paused_until.is_some_and(|until| now >= until) {
            self.paused_until = None;
            self.watch_listeners(true);
        }
    }

    fn watch_listeners(&mut self, on: bool) {
        for (n, entry) in self.listeners.iter_mut().enumerate() {
            let on = on && !entry.closed;
            let of = |on: bool| on.then_some(READ);
            match self.poller.watch(
                &entry.listener,
                other_token(FIRST_LISTENER + n as u64),
                of(entry.watched),
                of(on),
            ) {
                Ok(()) => entry.watched = on,
                Err(e) => log(&format!("accept: a listener is not watched: {e}")),
            }
        }
    }

    // Health checks.

    /// The next endpoint to check, and whether the check is for the load watch. Where the load
    /// watch has a fresh report of an endpoint, the decisions get that report instead.
    fn next_health_check(&mut self) -> Option<(EndpointId, bool)> {
        for _ in 0..MAX_PER_TURN {
            let Ok(endpoint_id) = self.check_requests.try_recv() else {
                break;
            };
            let directory = &self.shared.directory;
            let load_reports = self
                .load_reports
                .as_ref()
                .filter(|_| directory.is_available(endpoint_id));
            match load_reports
                .and_then(|load_reports| load_reports.fresh_report(endpoint_id, boottime()))
            {
                Some(report) => {
                    self.finish_health_check(endpoint_id, false, Outcome::Success, report)
                }
                None => return Some((endpoint_id, false)),
            }
        }
        self.load_reports
            .as_ref()?
            .next_check()
            .map(|endpoint_id| (endpoint_id, true))
    }

    fn start_health_checks(&mut self) {
        while self.health_checks.len() < MAX_HEALTH_CHECKS {
            let Some((endpoint_id, watch)) = self.next_health_check() else {
                return;
            };
            // It may have begun to leave since the health check was requested.
            let directory = &self.shared.directory;
            let Some(endpoint) = directory
                .backend_address(endpoint_id)
                .filter(|_| directory.is_available(endpoint_id))
            else {
                self.finish_health_check(endpoint_id, watch, Outcome::NotAttempted, Vec::new());
                continue;
            };
            let now = self.shared.decisions.now();
            let (n, token) = (
                self.next_check_number,
                self.next_check_number << NUMBER_SHIFT | HEALTH_CHECK,
            );
            let begun = dial(endpoint.addr).and_then(|stream| {
                self.poller.watch(&stream, token, None, Some(WRITE))?;
                Ok(HealthCheck::new(
                    endpoint_id,
                    watch,
                    stream,
                    now,
                    self.health_check_timeout,
                ))
            });
            match begun {
                Ok(check) => {
                    self.next_check_number += 1;
                    self.timers.insert((check.step_deadline, token));
                    self.health_checks.insert(n, check);
                }
                // For lack of a descriptor or a port, which says nothing about the backend.
                Err(e) if is_local_failure(&e) => {
                    self.finish_health_check(endpoint_id, watch, Outcome::NotAttempted, Vec::new())
                }
                Err(_) => {
                    self.finish_health_check(endpoint_id, watch, Outcome::ConnectFailed, Vec::new())
                }
            }
        }
    }

    fn advance_health_check(&mut self, n: u64, ready: bool) {
        let Some(check) = self.health_checks.get_mut(&n) else {
            return;
        };
        let (before, dialled, token) = (
            check.step_deadline,
            check.is_connecting(),
            n << NUMBER_SHIFT | HEALTH_CHECK,
        );
        let found = check.advance(self.shared.decisions.now(), ready, &self.names);
        self.timers.remove(&(before, token));
        let Some((outcome, report)) = found else {
            self.timers.insert((check.step_deadline, token));
            if dialled != check.is_connecting() {
                let _ = self
                    .poller
                    .watch(&check.stream, token, Some(WRITE), Some(READ));
            }
            return;
        };
        let (endpoint_id, watch) = (check.endpoint, check.for_load_watch);
        self.health_checks.remove(&n);
        self.finish_health_check(endpoint_id, watch, outcome, report);
    }

    fn finish_health_check(
        &self,
        endpoint_id: EndpointId,
        watch: bool,
        outcome: Outcome,
        report: Vec<f32>,
    ) {
        tracing::debug!(server = endpoint_id.0, watch, ?outcome, ?report, "probe");
        if let Some(load_reports) = self.load_reports.as_ref().filter(|_| watch) {
            return load_reports.check_finished(
                endpoint_id,
                boottime(),
                (outcome == Outcome::Success).then_some(report),
            );
        }
        self.shared
            .decisions
            .health_checked(endpoint_id, outcome, report);
    }

    // Takeover from other processes of this relay.

    /// Accepts a link from a process that hands over its connections.
    fn accept_predecessor(&mut self) {
        let Some(takeover_listener) = &self.takeover_listener else {
            return;
        };
        match takeover_listener.accept() {
            Ok(predecessor) => {
                let n = self.next_predecessor;
                self.next_predecessor += 1;
                if self
                    .poller
                    .watch(&predecessor, other_token(n), None, Some(READ))
                    .is_ok()
                {
                    self.predecessors.insert(n, predecessor);
                }
            }
            Err(e) if timed_out(&e) || e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => log(&format!("takeover: {e}")),
        }
    }

    /// Takes over the connections that have arrived on a link.
    fn receive_handovers(&mut self, n: u64) {
        let Some(mut predecessor) = self.predecessors.remove(&n) else {
            return;
        };
        let mut handovers = Vec::new();
        let state = predecessor.receive(MAX_PER_TURN, &mut |p| handovers.push(p));
        if state == LinkState::Open {
            self.predecessors.insert(n, predecessor);
        }
        handovers
            .into_iter()
            .for_each(|handover| self.adopt_connection(handover));
    }

    /// Takes over a connection that was established in another process of this relay.
    fn adopt_connection(&mut self, (handover, client, backend): HandedOver) {
        let shared = self.shared.clone();
        let set = client
            .set_nonblocking(true)
            .and_then(|()| backend.set_nonblocking(true));
        if let Err(e) = set {
            return log(&format!("takeover: {e}"));
        }
        let waiting = shared.admission.register(client);
        let mut conn = Connection::new(&shared, waiting.number(), waiting.stream.clone());
        let record = ConnectionRecord {
            front: "line",
            id: handover.name.clone(),
            class: handover.class.clone(),
            backend: handover.backend.clone(),
            attempts: handover.attempts,
            started_at: Instant::now()
                .checked_sub(Duration::from_millis(handover.age_ms))
                .unwrap_or_else(Instant::now),
            tally: Some(shared.metrics.begin_request(&handover.class)),
        };
        let Ok(slot) = waiting.admit_request(&handover.name) else {
            let whole_lines = handover
                .down
                .iter()
                .rposition(|&b| b == b'\n')
                .map_or(0, |at| at + 1);
            conn.last_bytes = [&handover.down[..whole_lines], b"MOVE\r\n"].concat();
            conn.waiting = Some(waiting);
            conn.close();
            record.log_end("no-descriptors");
            return self.add_connection(conn);
        };
        let (keys, backend) = ((handover.key, handover.group), Arc::new(backend));
        let session = Session::new(&shared.wake_queue, keys, slot, false, Some(backend.clone()));
        drop(waiting);
        // Any class will do where this process does not know it: of an established connection the
        // decisions use only the latency objectives of its class.
        let class = shared
            .settings()
            .rules
            .classes
            .find_including_removed(&handover.class)
            .unwrap_or(0);
        let endpoint_id = endpoint_id(&handover.backend);
        let id = shared.decisions.adopt_connection(
            Connection::request_of_established(class, keys),
            endpoint_id,
            session.clone(),
        );
        // Only connections of the line protocol are handed over.
        let backend = BackendSide {
            link: Link::plain(backend),
            id,
            endpoint_id,
            forwarder: Box::new(LineForwarder),
        };
        conn.take_over(record, session, backend, handover);
        self.add_connection(conn);
    }

    // Shutdown.

    /// Hands over or migrates the established connections at a limited pace. True once none is
    /// left, or when the platform is about to kill the process. Where the listening socket is
    /// inherited from the platform, new clients are left to the successor; elsewhere they are
    /// served as long as they arrive.
    fn advance_drain(&mut self, now: Micros) -> bool {
        let Some(mut drain) = self.drain.take() else {
            self.drain = Some(self.begin_drain(now));
            return false;
        };
        if now < drain.next_step {
            self.drain = Some(drain);
            return false;
        }
        drain.next_step = now + DRAIN_INTERVAL;
        let over = self.drain_step(&mut drain, now);
        self.drain = Some(drain);
        over
    }

    fn begin_drain(&mut self, now: Micros) -> Drain {
        let inherited = self.listeners.iter().any(|entry| entry.listener.inherited);
        for n in 0..self.listeners.len() {
            let entry = &mut self.listeners[n];
            if entry.protocol == ListenerProtocol::Line && !entry.listener.inherited {
                continue;
            }
            entry.closed = true;
            if entry.protocol == ListenerProtocol::Line {
                self.shared.accepting.store(false, Relaxed);
            } else {
                self.accept_queued_clients(n);
            }
        }
        self.watch_listeners(self.paused_until.is_none());
        let longest = self.shared.settings().rules.classes.longest_deadline();
        let kill_after = longest.min(MAX_KILL_DEADLINE) + KILL_DELAY;
        let answer_deadline = now + kill_after - KILL_MARGIN - ANSWER_MARGIN;
        self.shared.answer_deadline.store(answer_deadline, Relaxed);
        let numbers: Vec<u64> = self.connections.keys().copied().collect();
        numbers.into_iter().for_each(|number| {
            self.update_connection(number, |conn| conn.shorten_deadline(answer_deadline))
        });
        let late_client_time = if inherited { 0 } else { LATE_CLIENT_TIME };
        Drain {
            started_at: now,
            // Leaves time for the migrated connections to end, and for pending requests.
            migrated_by: (kill_after * 3 / 5).max(late_client_time + DRAIN_INTERVAL),
            kill_after,
            late_client_time,
            next_step: now + DRAIN_INTERVAL,
            successor: self
                .takeover_dir
                .as_deref()
                .filter(|_| inherited)
                .and_then(Successor::find),
        }
    }

    /// Accepts the clients that wait at a listener whose socket is closed with this process: the
    /// close would reset them.
    fn accept_queued_clients(&mut self, n: usize) {
        let (listener, protocol) = (
            self.listeners[n].listener.clone(),
            self.listeners[n].protocol,
        );
        while self.make_room() {
            let Ok(client) = listener.accept() else {
                return;
            };
            self.add_client(client, protocol);
        }
    }

    fn drain_step(&mut self, drain: &mut Drain, time: Micros) -> bool {
        let now = time.saturating_sub(drain.started_at);
        if now + KILL_MARGIN >= drain.kill_after {
            self.connections
                .values_mut()
                .for_each(|conn| conn.log_cut_off());
            return true;
        }
        let session_to_migrate = |conn: &Connection| {
            let session = conn
                .session
                .as_ref()
                .filter(|s| conn.phase == Phase::Established && s.may_migrate());
            session.map(|s| (conn.number, s.clone()))
        };
        let established = self
            .connections
            .values()
            .filter_map(|conn| session_to_migrate(conn));
        // Connections that cannot be handed over are migrated even if there is a successor.
        let (mut established, not_portable): (Vec<_>, Vec<_>) =
            established.partition(|(_, s)| s.is_portable());
        if let Some(to) = &drain.successor {
            let mut result = Ok(());
            for (number, _) in &established {
                self.update_connection(*number, |conn| result = conn.hand_over(to));
                if result.is_err() {
                    break;
                }
            }
            match result {
                // Connections that could not be handed over now are tried again in the next step,
                // for half of the time. After that they are migrated.
                Ok(()) if now < drain.kill_after / 2 => established.clear(),
                Ok(()) => {}
                Err(e) if timed_out(&e) && now < drain.kill_after / 2 => established.clear(),
                Err(e) => {
                    log(&format!("takeover: the successor takes no more: {e}"));
                    drain.successor = None;
                }
            }
        }
        if now < drain.late_client_time {
            return false;
        }
        let steps = (drain.migrated_by.saturating_sub(now) as f32 / DRAIN_INTERVAL as f32).max(1.0);
        established.extend(not_portable);
        let share = (established.len() as f32 / steps).ceil() as usize;
        established
            .iter()
            .take(share)
            .for_each(|(_, session)| crate::decision_service::RequestHandle::migrate(&**session));
        // Connections without a request are dismissed. Clients that have begun to send one have
        // some time to finish, because no other process can read the rest.
        let is_dismissible = |conn: &Connection| {
            conn.may_be_dismissed()
                || (now > HANDSHAKE_DRAIN_TIME && conn.phase == Phase::Handshake)
        };
        let numbers: Vec<u64> = self
            .connections
            .values()
            .filter(|conn| is_dismissible(conn))
            .map(|conn| conn.number)
            .collect();
        numbers
            .into_iter()
            .for_each(|number| self.update_connection(number, Connection::dismiss));
        if !self.connections.is_empty() {
            return false;
        }
        // Clients in the queue of a listener that is closed with this process would be reset.
        for n in 0..self.listeners.len() {
            if !self.listeners[n].closed {
                self.accept_queued_clients(n);
            }
        }
        self.connections.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::endpoint_list::BackendAddress;
    use crate::config::Config;
    use crate::decision_service::{DecisionService, Hooks};
    use crate::decisions::api::{EndpointState, ListedEndpoint};
    use crate::load::LoadReport;
    use crate::platform::directory::Directory;
    use crossbeam_channel::{bounded, Sender};
    use std::io::{ErrorKind, Read, Write};
    use std::net::{TcpListener, TcpStream};

    /// Polls until there is a result. The limit is far longer than any test takes, so that a slow
    /// machine does not fail it.
    fn poll_until<T>(mut check: impl FnMut() -> Option<T>) -> T {
        let end = Instant::now() + Duration::from_secs(30);
        loop {
            if let Some(found) = check() {
                return found;
            }
            assert!(Instant::now() < end, "timed out");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// An event loop without clients, listeners in place of its backends, and the sender of
    /// requests for health checks.
    fn event_loop_with_backends(
        backends: usize,
    ) -> (EventLoop, Vec<TcpListener>, Sender<EndpointId>) {
        let listeners: Vec<TcpListener> = (0..backends)
            .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
            .collect();
        listeners
            .iter()
            .for_each(|listener| listener.set_nonblocking(true).unwrap());
        let text = format!(
            r#"{{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"1","settings":{}}}"#,
            include_str!("../../tests/data/settings.json")
        );
        let config = Config::parse(text.into_bytes(), &|_| None).unwrap();
        let listed = |(n, listener): (usize, &TcpListener)| {
            let endpoint_id = EndpointId(n as u64);
            let endpoint = BackendAddress {
                name: format!("s-{n}"),
                addr: listener.local_addr().unwrap(),
            };
            let state = EndpointState::Ready;
            (
                endpoint,
                ListedEndpoint {
                    id: endpoint_id,
                    zone: 0,
                    cell: 0,
                    state,
                    size: 1.0,
                    started_at: None,
                },
            )
        };
        let directory = Arc::new(Directory::default());
        directory.update(
            true,
            &listeners.iter().enumerate().map(listed).collect::<Vec<_>>(),
        );
        let (watch, (check_health, _)) = (Box::new(|_| ()), bounded(1));
        let decisions = DecisionService::new(
            config.settings.clone(),
            1,
            Vec::new(),
            Hooks {
                watch_endpoint_list: watch,
                check_health,
            },
        );
        let (requests, check_requests) = bounded(16);
        let names = Names {
            columns: vec!["x0".into()],
            ..config.names.clone()
        };
        (
            EventLoop::new(
                SharedState::new(&config, decisions, directory),
                names,
                check_requests,
            )
            .unwrap(),
            listeners,
            requests,
        )
    }

    /// Accepts a health check at this backend and reads its line.
    fn accept_health_check(listener: &TcpListener) -> TcpStream {
        let mut stream: TcpStream = poll_until(|| listener.accept().ok()).0;
        stream.set_nonblocking(false).unwrap();
        let mut line = [0; 7];
        stream.read_exact(&mut line).unwrap();
        assert_eq!(&line, b"STATS\r\n");
        stream
    }

    #[test]
    fn a_report_of_the_load_watch_replaces_a_health_check_and_its_own_requests_are_made() {
        let (mut event_loop, listeners, requests) = event_loop_with_backends(3);
        let load_reports = Arc::new(LoadReportCache::default());
        // Fresh for as long as the test may take.
        load_reports.insert([LoadReport {
            endpoint: EndpointId(0),
            measured_at: boottime() + 3_600_000_000,
            values: vec![0.5],
        }]);
        event_loop.use_load_reports(load_reports.clone());
        let handle = event_loop.handle();
        // Both are queued before the loop starts, so they are handled in order.
        requests.send(EndpointId(0)).unwrap();
        requests.send(EndpointId(1)).unwrap();
        let serving = std::thread::spawn(move || event_loop.run());
        drop(accept_health_check(&listeners[1]));
        assert_eq!(
            listeners[0].accept().unwrap_err().kind(),
            ErrorKind::WouldBlock
        );
        assert_eq!(
            (
                load_reports.checks_avoided.load(Relaxed),
                load_reports.checks_sent.load(Relaxed)
            ),
            (1, 1)
        );
        load_reports.request_checks([EndpointId(2)]);
        accept_health_check(&listeners[2])
            .write_all(b"PONG x0=0.25\r\n")
            .unwrap();
        let found = poll_until(|| load_reports.take_results().pop());
        assert_eq!(
            (found.endpoint, found.report),
            (EndpointId(2), Some(vec![0.25]))
        );
        assert_eq!(
            load_reports.fresh_report(EndpointId(2), found.checked_at),
            Some(vec![0.25]),
            "the relay that made the check has its report at once"
        );
        handle.stop();
        serving.join().unwrap();
    }

    /// Guards against health checks that wait for each other: a lost zone delayed those of all
    /// others by 250 ms for each of its backends.
    #[test]
    fn silent_backends_do_not_delay_the_health_checks_of_others() {
        let (mut event_loop, listeners, requests) = event_loop_with_backends(7);
        // With this timeout, a seventh check that waited for the first six would never begin.
        event_loop.health_check_timeout = 3_600_000_000;
        let handle = event_loop.handle();
        let serving = std::thread::spawn(move || event_loop.run());
        let ask = |n: usize| {
            requests.send(EndpointId(n as u64)).unwrap();
            (handle.wake)();
            accept_health_check(&listeners[n])
        };
        let silent: Vec<TcpStream> = (0..6).map(ask).collect();
        let mut seventh = ask(6);
        seventh.write_all(b"PONG x0=0.5\r\n").unwrap();
        // The check that was answered ends; the others are still in progress.
        assert_eq!(seventh.read(&mut [0]).unwrap(), 0);
        for mut stream in silent {
            stream.set_nonblocking(true).unwrap();
            assert_eq!(
                stream.read(&mut [0]).unwrap_err().kind(),
                ErrorKind::WouldBlock
            );
        }
        handle.stop();
        serving.join().unwrap();
    }
}
