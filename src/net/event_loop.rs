//! The one thread that serves: it takes clients in, drives every connection, attempt and probe, fires the timers of
//! the decisions, takes over what an older process passes on, and at the end moves what stands.
//!
//! All of them are machines that never wait; the only wait is [`Poller::wait`], and the only clock that of the
//! decisions. So a relay needs no further thread whatever its load: with a thread for each first line, dial and
//! probe, a machine with hundreds of relays ran out of them, and clients were dropped without a word.
//!
//! Guards against: a silent machine that holds up others (nothing here blocks), a crowd at the listener that holds up
//! those who are served (a turn takes in so many), and an event that is taken for another socket's (see `conn`).

use crate::config::listing::server_id;
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
use crate::platform::probe::{self, Probe, PROBES};
use crate::platform::takeover::{HandoverListener, Older, Passed, Rest, Successor};
use crate::protocol::line::Lines;
use crate::sys::{boottime, timed_out, Wake};
use crossbeam_channel::Receiver;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long connections go on coming after the signal to stop, in microseconds: the platform's front takes 0.4 s.
const LATE_CLIENT_TIME: Micros = 450_000;
/// The longest deadline that the platform waits for before it kills, and what it adds, in microseconds.
const MAX_KILL_DEADLINE: Micros = 3_000_000;
const KILL_DELAY: Micros = 700_000;
/// How often the relay that stops moves some of what stands, in microseconds, and by when it is done before the kill.
const DRAIN_INTERVAL: Micros = 25_000;
const KILL_MARGIN: Micros = 200_000;
/// What is owed is answered so long before that, in microseconds: a request whose client would wait for longer is not
/// left to the kill. Time for the words' way, for what came up last to be moved, and for clients to close.
const ANSWER_MARGIN: Micros = 300_000;
/// A client that has come by the end may take so long to ask, in microseconds; one that rests is sent away.
const HANDSHAKE_DRAIN_TIME: Micros = 2 * LATE_CLIENT_TIME;
/// Clients and passed connections taken in a turn: the others wait in their queues while those here are served.
const MAX_PER_TURN: usize = 32;
/// Wait of a full relay before it looks at its listeners again, in microseconds, and of one without descriptors.
const FULL_PAUSE: Micros = 1_000;
const ACCEPT_ERROR_PAUSE: Micros = 5_000;

/// What a token that is no connection's names. The side's place in a token says which.
const HEALTH_CHECK: u64 = 2;
const OTHER: u64 = 3;
const KIND_MASK: u64 = 3;
const TAKEOVER_LISTENER: u64 = 0;
/// From here on listeners, and links from older processes.
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
    /// Whether its clients are waited for just now.
    watched: bool,
    closed: bool,
}

/// A relay that stops.
struct Drain {
    started_at: Micros,
    /// By when all that stands has been told to move, and when it must be over.
    migrated_by: Micros,
    kill_after: Micros,
    late_client_time: Micros,
    next_step: Micros,
    successor: Option<Successor>,
}

/// What other threads may ask of the one that serves.
pub struct Handle {
    stop: AtomicBool,
    wake: Wake,
}

impl Handle {
    /// Stop: move what stands, and return.
    pub fn stop(&self) {
        self.stop.store(true, Relaxed);
        (self.wake)();
    }
}

/// All that one relay drives.
pub struct EventLoop {
    shared: Arc<SharedState>,
    poller: Poller,
    handle: Arc<Handle>,
    connections: BTreeMap<u64, Box<Connection>>,
    /// When connections and probes must be called though nothing happens: once each, by their tokens.
    timers: BTreeSet<(Micros, u64)>,
    /// Connections that wait for a list which names their backend, and the list that they know.
    awaiting_address: BTreeSet<u64>,
    list_version: u64,
    listeners: Vec<ListenerEntry>,
    /// When closed listeners are looked at again, and whether the last client could not be taken in: said once.
    paused_until: Option<Micros>,
    accept_failed: bool,
    takeover_listener: Option<HandoverListener>,
    predecessors: BTreeMap<u64, Older>,
    next_predecessor: u64,
    check_requests: Receiver<EndpointId>,
    /// What the fleet's load watch knows, where there is one.
    load_reports: Option<Arc<LoadReportCache>>,
    names: Names,
    health_checks: BTreeMap<u64, Probe>,
    next_check_number: u64,
    health_check_timeout: Micros,
    /// The directory that the processes of this relay share.
    takeover_dir: Option<PathBuf>,
    drain: Option<Drain>,
    last_check: Micros,
}

impl EventLoop {
    /// One that serves nobody yet; `orders` are the probes that the decisions ask for.
    pub fn new(
        shared: Arc<SharedState>,
        names: Names,
        check_requests: Receiver<EndpointId>,
    ) -> io::Result<EventLoop> {
        let poller = Poller::new()?;
        let wake = poller.waker();
        shared.decisions.set_waker(wake.clone());
        shared.directory.wakes(wake.clone());
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
            health_check_timeout: probe::LIMIT,
            takeover_dir: None,
            drain: None,
            last_check,
        })
    }

    /// What other threads may ask of it.
    pub fn handle(&self) -> Arc<Handle> {
        self.handle.clone()
    }

    /// Takes in clients at this listener, which speak so.
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

    /// Probes for the fleet's load watch, and takes what it knows in place of own probes.
    pub fn use_load_reports(&mut self, load_reports: Arc<LoadReportCache>) {
        load_reports.set_checker_waker(self.handle.wake.clone());
        self.load_reports = Some(load_reports);
    }

    /// Takes over what older processes pass on in this directory, and passes on there what stands at the end.
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

    /// Serves until it has been told to stop and nothing stands any more, or the platform is about to kill.
    pub fn run(mut self) {
        self.poller.set_owner();
        self.shared.accepting.store(true, Relaxed);
        let (mut events, mut ready) = (Events::default(), Vec::new());
        loop {
            let timer = self.shared.decisions.fire_timers();
            // One look at the clock for all of a turn: it has cost more than the rest of an idle one.
            let now = self.shared.decisions.now();
            self.handle_wake_queue();
            self.start_health_checks();
            self.handle_list_update();
            self.fire_timers(now);
            if self.handle.stop.load(Relaxed) && self.drive_drain(now) {
                return;
            }
            self.check_connections(now);
            self.resume_accepting(now);
            // What this turn has given itself to do comes before the wait.
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

    /// How long nothing is due.
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

    /// Does something with a connection, and waits for what it needs then.
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
            // Its room is free again.
            self.paused_until = self.paused_until.map(|_| 0);
        }
    }

    fn add_connection(&mut self, conn: Connection) {
        let number = conn.number;
        self.connections.insert(number, Box::new(conn));
        self.update_connection(number, |_| {});
    }

    /// What the decisions have news of.
    fn handle_wake_queue(&mut self) {
        for number in self.shared.wake_queue.take() {
            self.update_connection(number, Connection::handle_update);
        }
    }

    /// A list has come: whoever waits for its backend looks again.
    fn handle_list_update(&mut self) {
        let version = self.shared.directory.version();
        if std::mem::replace(&mut self.list_version, version) != version {
            for number in std::mem::take(&mut self.awaiting_address) {
                self.update_connection(number, Connection::handle_timer);
            }
        }
    }

    /// Calls those whose time is up.
    fn fire_timers(&mut self, now: Micros) {
        let late: Vec<(Micros, u64)> = self.timers.range(..=(now, u64::MAX)).copied().collect();
        for (at, token) in late {
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

    /// Looks at what only time shows.
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

    // Doors.

    /// Clients wait at a listener.
    fn accept_clients(&mut self, n: usize) {
        for _ in 0..MAX_PER_TURN {
            let Some(entry) = self.listeners.get(n).filter(|entry| !entry.closed) else {
                return;
            };
            let (listener, protocol) = (entry.listener.clone(), entry.protocol);
            // What cannot be taken in now waits in the listener's queue.
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

    /// Whether one more client can be taken in; if not, some that rest are sent away.
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

    /// Leaves all listeners alone for so long.
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

    // Probes.

    /// The next probe that is to be made, and whether it is for the load watch. Where what the watch knows is as good,
    /// the decisions are told that.
    fn next_health_check(&mut self) -> Option<(EndpointId, bool)> {
        for _ in 0..MAX_PER_TURN {
            let Ok(endpoint_id) = self.check_requests.try_recv() else {
                break;
            };
            let directory = &self.shared.directory;
            let load_reports = self
                .load_reports
                .as_ref()
                .filter(|_| directory.takes_new(endpoint_id));
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
        while self.health_checks.len() < PROBES {
            let Some((endpoint_id, watch)) = self.next_health_check() else {
                return;
            };
            // It may have been told to leave since the probe was asked for.
            let directory = &self.shared.directory;
            let Some(endpoint) = directory
                .endpoint(endpoint_id)
                .filter(|_| directory.takes_new(endpoint_id))
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
                Ok(Probe::new(
                    endpoint_id,
                    watch,
                    stream,
                    now,
                    self.health_check_timeout,
                ))
            });
            match begun {
                Ok(probe) => {
                    self.next_check_number += 1;
                    self.timers.insert((probe.by, token));
                    self.health_checks.insert(n, probe);
                }
                // For want of a descriptor or a port: it says nothing of the backend.
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
        let Some(probe) = self.health_checks.get_mut(&n) else {
            return;
        };
        let (before, dialled, token) = (probe.by, probe.dials(), n << NUMBER_SHIFT | HEALTH_CHECK);
        let found = probe.go(self.shared.decisions.now(), ready, &self.names);
        self.timers.remove(&(before, token));
        let Some((outcome, report)) = found else {
            self.timers.insert((probe.by, token));
            if dialled != probe.dials() {
                let _ = self
                    .poller
                    .watch(&probe.stream, token, Some(WRITE), Some(READ));
            }
            return;
        };
        let (endpoint_id, watch) = (probe.server, probe.watch);
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

    // Other processes of this relay.

    fn accept_predecessor(&mut self) {
        let Some(takeover_listener) = &self.takeover_listener else {
            return;
        };
        match takeover_listener.next() {
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

    fn receive_handovers(&mut self, n: u64) {
        let Some(mut predecessor) = self.predecessors.remove(&n) else {
            return;
        };
        let mut handovers = Vec::new();
        let rest = predecessor.receive(MAX_PER_TURN, &mut |p| handovers.push(p));
        if rest == Rest::Later {
            self.predecessors.insert(n, predecessor);
        }
        handovers
            .into_iter()
            .for_each(|handovers| self.adopt_connection(handovers));
    }

    /// Takes a connection over that has come up in another process of this relay.
    fn adopt_connection(&mut self, (handover, client, backend): Passed) {
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
            tally: Some(shared.metrics.begin(&handover.class)),
        };
        let Ok(slot) = waiting.admit_request(&handover.name) else {
            let whole = handover
                .down
                .iter()
                .rposition(|&b| b == b'\n')
                .map_or(0, |at| at + 1);
            conn.last_words = [&handover.down[..whole], b"MOVE\r\n"].concat();
            conn.waiting = Some(waiting);
            conn.close();
            record.log_end("no-descriptors");
            return self.add_connection(conn);
        };
        let (keys, backend) = ((handover.key, handover.group), Arc::new(backend));
        let session = Session::new(&shared.wake_queue, keys, slot, false, Some(backend.clone()));
        drop(waiting);
        // One that has vanished here goes on under any: the decisions look at nothing but its aims.
        let class = shared
            .settings()
            .rules
            .classes
            .index(&handover.class)
            .unwrap_or(0);
        let endpoint_id = server_id(&handover.backend);
        let id = shared.decisions.adopt_connection(
            Connection::request_of_established(class, keys),
            endpoint_id,
            session.clone(),
        );
        // Only lines go from one process to another.
        let backend = BackendSide {
            link: Link::plain(backend),
            id,
            endpoint_id,
            passage: Box::new(Lines),
        };
        conn.take_over(record, session, backend, handover);
        self.add_connection(conn);
    }

    // The end.

    /// Moves the standing connections in a paced way; true once none is left, or when the platform is about to kill.
    /// Where the platform holds the listening socket, new clients are left to the process that takes over;
    /// elsewhere they are served as long as they come.
    fn drive_drain(&mut self, now: Micros) -> bool {
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
        let longest = self.shared.settings().rules.classes.longest();
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
            // All told to move by then: time enough for the ends and for answers that are still owed.
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

    /// This listener's socket is the process's own, and goes with it: who waits there would be reset.
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
        // What cannot change process is moved, whoever takes over.
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
                // What could not be given away right now is tried again, up to half the time.
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
        // Whoever rests is sent away, and whoever has begun to ask has some time: nobody else would hear them.
        let is_dismissible = |conn: &Connection| {
            conn.is_waiting() || (now > HANDSHAKE_DRAIN_TIME && conn.phase == Phase::Handshake)
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
        // The listener's queue goes with this process, where it is its own: who waits there would be reset.
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
    use crate::config::listing::Endpoint;
    use crate::config::Config;
    use crate::decision_service::{DecisionService, Hooks};
    use crate::decisions::api::{EndpointState, ListedEndpoint};
    use crate::load::LoadReport;
    use crate::platform::directory::Directory;
    use crossbeam_channel::{bounded, Sender};
    use std::io::{ErrorKind, Read, Write};
    use std::net::{TcpListener, TcpStream};

    /// Polls until something is there; far longer than it takes, so that a slow machine changes no verdict.
    fn until<T>(mut look: impl FnMut() -> Option<T>) -> T {
        let end = Instant::now() + Duration::from_secs(30);
        loop {
            if let Some(found) = look() {
                return found;
            }
            assert!(Instant::now() < end, "waited in vain");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// An engine that serves nobody, listening stand-ins for its backends, and where probes are ordered.
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
            let endpoint = Endpoint {
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
        let (watch, (probe, _)) = (Box::new(|_| ()), bounded(1));
        let decisions = DecisionService::new(
            config.settings.clone(),
            1,
            Vec::new(),
            Hooks {
                watch_endpoint_list: watch,
                check_health: probe,
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

    /// The probe that comes to this backend.
    fn accept_health_check(listener: &TcpListener) -> TcpStream {
        let mut asked: TcpStream = until(|| listener.accept().ok()).0;
        asked.set_nonblocking(false).unwrap();
        let mut line = [0; 7];
        asked.read_exact(&mut line).unwrap();
        assert_eq!(&line, b"STATS\r\n");
        asked
    }

    #[test]
    fn what_the_fleets_watch_told_stands_for_a_probe_and_what_it_wants_is_probed() {
        let (mut event_loop, listeners, requests) = event_loop_with_backends(3);
        let load_reports = Arc::new(LoadReportCache::default());
        // Young for as long as the test may take.
        load_reports.insert([LoadReport {
            endpoint: EndpointId(0),
            measured_at: boottime() + 3_600_000_000,
            values: vec![0.5],
        }]);
        event_loop.use_load_reports(load_reports.clone());
        let handle = event_loop.handle();
        // Both are there before it begins: in their order.
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
        let found = until(|| load_reports.take_results().pop());
        assert_eq!(
            (found.endpoint, found.report),
            (EndpointId(2), Some(vec![0.25]))
        );
        assert_eq!(
            load_reports.fresh_report(EndpointId(2), found.checked_at),
            Some(vec![0.25]),
            "its own relay knows it at once"
        );
        handle.stop();
        serving.join().unwrap();
    }

    /// A lost zone once held up the probes of all others, 250 ms for each of its servers.
    #[test]
    fn silent_servers_do_not_hold_up_the_probes_of_the_others() {
        let (mut event_loop, listeners, requests) = event_loop_with_backends(7);
        // So long a limit that a seventh which waited for the six would never be asked.
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
        // It has its answer and goes; the others are still waited for.
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
