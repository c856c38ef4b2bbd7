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
use crate::net::connection::{Backend, Conn, Phase, NUMBER_SHIFT};
use crate::net::forward::LOOK;
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
const STILL_COMING: Micros = 450_000;
/// The longest deadline that the platform waits for before it kills, and what it adds, in microseconds.
const KILL_DEADLINE: Micros = 3_000_000;
const KILL_AFTER: Micros = 700_000;
/// How often the relay that stops moves some of what stands, in microseconds, and by when it is done before the kill.
const DRAIN_STEP: Micros = 25_000;
const DRAIN_SPARE: Micros = 200_000;
/// What is owed is answered so long before that, in microseconds: a request whose client would wait for longer is not
/// left to the kill. Time for the words' way, for what came up last to be moved, and for clients to close.
const LAST_WORDS: Micros = 300_000;
/// A client that has come by the end may take so long to ask, in microseconds; one that rests is sent away.
const LAST_REQUESTS: Micros = 2 * STILL_COMING;
/// Clients and passed connections taken in a turn: the others wait in their queues while those here are served.
const TURN: usize = 32;
/// Wait of a full relay before it looks at its listeners again, in microseconds, and of one without descriptors.
const FULL: Micros = 1_000;
const SHORT: Micros = 5_000;

/// What a token that is no connection's names. The side's place in a token says which.
const PROBE: u64 = 2;
const OTHER: u64 = 3;
const SIDES: u64 = 3;
const HANDOVERS: u64 = 0;
/// From here on listeners, and links from older processes.
const LISTENERS: u64 = 16;
const OLDER: u64 = 1024;

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

fn other(n: u64) -> u64 {
    n << NUMBER_SHIFT | OTHER
}

struct Entry {
    listener: Arc<Listener>,
    speaks: ListenerProtocol,
    /// Whether its clients are waited for just now.
    watched: bool,
    closed: bool,
}

/// A relay that stops.
struct Drain {
    start: Micros,
    /// By when all that stands has been told to move, and when it must be over.
    moved_by: Micros,
    kill: Micros,
    still_coming: Micros,
    next: Micros,
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
    conns: BTreeMap<u64, Box<Conn>>,
    /// When connections and probes must be called though nothing happens: once each, by their tokens.
    due: BTreeSet<(Micros, u64)>,
    /// Connections that wait for a list which names their backend, and the list that they know.
    seeking: BTreeSet<u64>,
    list: u64,
    listeners: Vec<Entry>,
    /// When closed listeners are looked at again, and whether the last client could not be taken in: said once.
    paused: Option<Micros>,
    short: bool,
    handovers: Option<HandoverListener>,
    older: BTreeMap<u64, Older>,
    next_older: u64,
    orders: Receiver<EndpointId>,
    /// What the fleet's load watch knows, where there is one.
    book: Option<Arc<LoadReportCache>>,
    names: Names,
    probes: BTreeMap<u64, Probe>,
    next_probe: u64,
    probe_limit: Micros,
    /// The directory that the processes of this relay share.
    takeover_dir: Option<PathBuf>,
    drain: Option<Drain>,
    looked: Micros,
}

impl EventLoop {
    /// One that serves nobody yet; `orders` are the probes that the decisions ask for.
    pub fn new(
        shared: Arc<SharedState>,
        names: Names,
        orders: Receiver<EndpointId>,
    ) -> io::Result<EventLoop> {
        let poller = Poller::new()?;
        let wake = poller.waker();
        shared.decisions.set_waker(wake.clone());
        shared.directory.wakes(wake.clone());
        shared.wake_queue.set_waker(wake.clone());
        let looked = shared.decisions.now();
        Ok(EventLoop {
            shared,
            handle: Arc::new(Handle {
                stop: AtomicBool::new(false),
                wake,
            }),
            poller,
            conns: BTreeMap::new(),
            due: BTreeSet::new(),
            seeking: BTreeSet::new(),
            list: 0,
            listeners: Vec::new(),
            paused: None,
            short: false,
            handovers: None,
            older: BTreeMap::new(),
            next_older: OLDER,
            orders,
            book: None,
            names,
            probes: BTreeMap::new(),
            next_probe: 0,
            probe_limit: probe::LIMIT,
            takeover_dir: None,
            drain: None,
            looked,
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
        speaks: ListenerProtocol,
    ) -> io::Result<()> {
        let token = other(LISTENERS + self.listeners.len() as u64);
        self.poller.watch(&listener, token, None, Some(READ))?;
        self.listeners.push(Entry {
            listener,
            speaks,
            watched: true,
            closed: false,
        });
        Ok(())
    }

    /// Probes for the fleet's load watch, and takes what it knows in place of own probes.
    pub fn use_load_reports(&mut self, book: Arc<LoadReportCache>) {
        book.set_checker_waker(self.handle.wake.clone());
        self.book = Some(book);
    }

    /// Takes over what older processes pass on in this directory, and passes on there what stands at the end.
    pub fn enable_takeover(&mut self, dir: PathBuf) -> io::Result<()> {
        let handovers = HandoverListener::open(&dir)?;
        self.takeover_dir = Some(dir);
        self.poller
            .watch(&handovers, other(HANDOVERS), None, Some(READ))?;
        self.handovers = Some(handovers);
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
            self.woken();
            self.start_probes();
            self.listed();
            self.late(now);
            if self.handle.stop.load(Relaxed) && self.drained(now) {
                return;
            }
            self.look(now);
            self.resume(now);
            // What this turn has given itself to do comes before the wait.
            let limit = if self.poller.take_rescheduled() {
                Duration::ZERO
            } else {
                self.limit(timer, now)
            };
            self.poller.wait(limit, &mut events, &mut ready);
            for ready in ready.drain(..) {
                self.ready(ready);
            }
        }
    }

    /// How long nothing is due.
    fn limit(&self, timer: Option<Micros>, now: Micros) -> Duration {
        let next = self.looked + LOOK;
        let drain = self.drain.as_ref().map(|drain| drain.next);
        let due = self.due.first().map(|&(at, _)| at);
        let next = [timer, drain, due, self.paused]
            .into_iter()
            .flatten()
            .fold(next, Micros::min);
        Duration::from_micros(next.saturating_sub(now))
    }

    fn ready(&mut self, ready: Ready) {
        let token = ready.token;
        let number = token >> NUMBER_SHIFT;
        match token & SIDES {
            PROBE => self.probe_ready(number, true),
            OTHER if number == HANDOVERS => self.older_came(),
            OTHER if number >= OLDER => self.passed_on(number),
            OTHER => self.clients_wait((number - LISTENERS) as usize),
            _ => self.with(number, |conn| conn.ready(ready)),
        }
    }

    /// Does something with a connection, and waits for what it needs then.
    fn with(&mut self, number: u64, work: impl FnOnce(&mut Conn)) {
        let Some(conn) = self.conns.get_mut(&number) else {
            return;
        };
        work(conn);
        let (before, token) = (conn.due, number << NUMBER_SHIFT);
        let stays = conn.settle(&self.poller);
        let (after, seeks) = (conn.due, conn.seeks());
        if !stays {
            self.conns.remove(&number);
        }
        let after = after.filter(|_| stays);
        if before != after {
            before
                .iter()
                .for_each(|&at| _ = self.due.remove(&(at, token)));
            after
                .iter()
                .for_each(|&at| _ = self.due.insert((at, token)));
        }
        if seeks && stays {
            self.seeking.insert(number);
        } else {
            self.seeking.remove(&number);
        }
        if !stays {
            // Its room is free again.
            self.paused = self.paused.map(|_| 0);
        }
    }

    fn enter(&mut self, conn: Conn) {
        let number = conn.number;
        self.conns.insert(number, Box::new(conn));
        self.with(number, |_| {});
    }

    /// What the decisions have news of.
    fn woken(&mut self) {
        for number in self.shared.wake_queue.take() {
            self.with(number, Conn::woken);
        }
    }

    /// A list has come: whoever waits for its backend looks again.
    fn listed(&mut self) {
        let version = self.shared.directory.version();
        if std::mem::replace(&mut self.list, version) != version {
            for number in std::mem::take(&mut self.seeking) {
                self.with(number, Conn::late);
            }
        }
    }

    /// Calls those whose time is up.
    fn late(&mut self, now: Micros) {
        let late: Vec<(Micros, u64)> = self.due.range(..=(now, u64::MAX)).copied().collect();
        for (at, token) in late {
            let number = token >> NUMBER_SHIFT;
            if token & SIDES == PROBE {
                self.probe_ready(number, false);
            } else if self
                .conns
                .get(&number)
                .is_some_and(|conn| conn.due == Some(at))
            {
                self.with(number, Conn::late);
            }
        }
    }

    /// Looks at what only time shows.
    fn look(&mut self, now: Micros) {
        if now < self.looked + LOOK {
            return;
        }
        self.looked = now;
        let numbers: Vec<u64> = self.conns.keys().copied().collect();
        numbers
            .into_iter()
            .for_each(|number| self.with(number, Conn::look));
    }

    // Doors.

    /// Clients wait at a listener.
    fn clients_wait(&mut self, n: usize) {
        for _ in 0..TURN {
            let Some(entry) = self.listeners.get(n).filter(|entry| !entry.closed) else {
                return;
            };
            let (listener, speaks) = (entry.listener.clone(), entry.speaks);
            // What cannot be taken in now waits in the listener's queue.
            if !self.make_room() {
                return self.pause(FULL);
            }
            match listener.accept() {
                Ok(client) => {
                    self.short = false;
                    self.take_in(client, speaks);
                }
                Err(e) if timed_out(&e) => return,
                Err(e) => {
                    if !std::mem::replace(&mut self.short, true) {
                        log(&format!("accept: {e}"));
                    }
                    return self.pause(SHORT);
                }
            }
        }
    }

    /// Whether one more client can be taken in; if not, some that rest are sent away.
    fn make_room(&mut self) -> bool {
        let leave = match self.shared.admission.check_capacity() {
            Ok(()) => return true,
            Err(leave) => leave,
        };
        leave
            .into_iter()
            .for_each(|number| self.with(number, Conn::dismiss));
        false
    }

    fn take_in(&mut self, client: std::net::TcpStream, speaks: ListenerProtocol) {
        let idle = self.shared.admission.register(client);
        if let Some(conn) = Conn::greet(&self.shared, idle, speaks) {
            self.enter(conn);
        }
    }

    /// Leaves all listeners alone for so long.
    fn pause(&mut self, wait: Micros) {
        self.paused = Some(self.shared.decisions.now() + wait);
        self.watch_listeners(false);
    }

    fn resume(&mut self, now: Micros) {
        if self.paused.is_some_and(|until| now >= until) {
            self.paused = None;
            self.watch_listeners(true);
        }
    }

    fn watch_listeners(&mut self, on: bool) {
        for (n, entry) in self.listeners.iter_mut().enumerate() {
            let on = on && !entry.closed;
            let of = |on: bool| on.then_some(READ);
            match self.poller.watch(
                &entry.listener,
                other(LISTENERS + n as u64),
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
    fn ordered(&mut self) -> Option<(EndpointId, bool)> {
        for _ in 0..TURN {
            let Ok(server) = self.orders.try_recv() else {
                break;
            };
            let directory = &self.shared.directory;
            let book = self.book.as_ref().filter(|_| directory.takes_new(server));
            match book.and_then(|book| book.fresh_report(server, boottime())) {
                Some(report) => self.probed(server, false, Outcome::Success, report),
                None => return Some((server, false)),
            }
        }
        self.book
            .as_ref()?
            .next_check()
            .map(|server| (server, true))
    }

    fn start_probes(&mut self) {
        while self.probes.len() < PROBES {
            let Some((server, watch)) = self.ordered() else {
                return;
            };
            // It may have been told to leave since the probe was asked for.
            let directory = &self.shared.directory;
            let Some(endpoint) = directory
                .endpoint(server)
                .filter(|_| directory.takes_new(server))
            else {
                self.probed(server, watch, Outcome::NotAttempted, Vec::new());
                continue;
            };
            let now = self.shared.decisions.now();
            let (n, token) = (self.next_probe, self.next_probe << NUMBER_SHIFT | PROBE);
            let begun = dial(endpoint.addr).and_then(|stream| {
                self.poller.watch(&stream, token, None, Some(WRITE))?;
                Ok(Probe::new(server, watch, stream, now, self.probe_limit))
            });
            match begun {
                Ok(probe) => {
                    self.next_probe += 1;
                    self.due.insert((probe.by, token));
                    self.probes.insert(n, probe);
                }
                // For want of a descriptor or a port: it says nothing of the backend.
                Err(e) if is_local_failure(&e) => {
                    self.probed(server, watch, Outcome::NotAttempted, Vec::new())
                }
                Err(_) => self.probed(server, watch, Outcome::ConnectFailed, Vec::new()),
            }
        }
    }

    fn probe_ready(&mut self, n: u64, ready: bool) {
        let Some(probe) = self.probes.get_mut(&n) else {
            return;
        };
        let (before, dialled, token) = (probe.by, probe.dials(), n << NUMBER_SHIFT | PROBE);
        let found = probe.go(self.shared.decisions.now(), ready, &self.names);
        self.due.remove(&(before, token));
        let Some((outcome, report)) = found else {
            self.due.insert((probe.by, token));
            if dialled != probe.dials() {
                let _ = self
                    .poller
                    .watch(&probe.stream, token, Some(WRITE), Some(READ));
            }
            return;
        };
        let (server, watch) = (probe.server, probe.watch);
        self.probes.remove(&n);
        self.probed(server, watch, outcome, report);
    }

    fn probed(&self, server: EndpointId, watch: bool, outcome: Outcome, report: Vec<f32>) {
        tracing::debug!(server = server.0, watch, ?outcome, ?report, "probe");
        if let Some(book) = self.book.as_ref().filter(|_| watch) {
            return book.check_finished(
                server,
                boottime(),
                (outcome == Outcome::Success).then_some(report),
            );
        }
        self.shared
            .decisions
            .health_checked(server, outcome, report);
    }

    // Other processes of this relay.

    fn older_came(&mut self) {
        let Some(handovers) = &self.handovers else {
            return;
        };
        match handovers.next() {
            Ok(older) => {
                let n = self.next_older;
                self.next_older += 1;
                if self
                    .poller
                    .watch(&older, other(n), None, Some(READ))
                    .is_ok()
                {
                    self.older.insert(n, older);
                }
            }
            Err(e) if timed_out(&e) || e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => log(&format!("takeover: {e}")),
        }
    }

    fn passed_on(&mut self, n: u64) {
        let Some(mut older) = self.older.remove(&n) else {
            return;
        };
        let mut passed = Vec::new();
        let rest = older.receive(TURN, &mut |p| passed.push(p));
        if rest == Rest::Later {
            self.older.insert(n, older);
        }
        passed
            .into_iter()
            .for_each(|passed| self.adopt_standing(passed));
    }

    /// Takes a connection over that has come up in another process of this relay.
    fn adopt_standing(&mut self, (handover, client, backend): Passed) {
        let shared = self.shared.clone();
        let set = client
            .set_nonblocking(true)
            .and_then(|()| backend.set_nonblocking(true));
        if let Err(e) = set {
            return log(&format!("takeover: {e}"));
        }
        let idle = shared.admission.register(client);
        let mut conn = Conn::new(&shared, idle.number(), idle.stream.clone());
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
        let Ok(place) = idle.admit_request(&handover.name) else {
            let whole = handover
                .down
                .iter()
                .rposition(|&b| b == b'\n')
                .map_or(0, |at| at + 1);
            conn.last = [&handover.down[..whole], b"MOVE\r\n"].concat();
            conn.idle = Some(idle);
            conn.close();
            record.log_end("no-descriptors");
            return self.enter(conn);
        };
        let (keys, backend) = ((handover.key, handover.group), Arc::new(backend));
        let session = Session::new(
            &shared.wake_queue,
            keys,
            place,
            false,
            Some(backend.clone()),
        );
        drop(idle);
        // One that has vanished here goes on under any: the decisions look at nothing but its aims.
        let class = shared
            .settings()
            .rules
            .classes
            .index(&handover.class)
            .unwrap_or(0);
        let server = server_id(&handover.backend);
        let id = shared.decisions.adopt_connection(
            Conn::standing_request(class, keys),
            server,
            session.clone(),
        );
        // Only lines go from one process to another.
        let backend = Backend {
            link: Link::plain(backend),
            id,
            server,
            passage: Box::new(Lines),
        };
        conn.take_over(record, session, backend, handover);
        self.enter(conn);
    }

    // The end.

    /// Moves the standing connections in a paced way; true once none is left, or when the platform is about to kill.
    /// Where the platform holds the listening socket, new clients are left to the process that takes over;
    /// elsewhere they are served as long as they come.
    fn drained(&mut self, now: Micros) -> bool {
        let Some(mut drain) = self.drain.take() else {
            self.drain = Some(self.begin_drain(now));
            return false;
        };
        if now < drain.next {
            self.drain = Some(drain);
            return false;
        }
        drain.next = now + DRAIN_STEP;
        let over = self.step(&mut drain, now);
        self.drain = Some(drain);
        over
    }

    fn begin_drain(&mut self, now: Micros) -> Drain {
        let held = self.listeners.iter().any(|entry| entry.listener.inherited);
        for n in 0..self.listeners.len() {
            let entry = &mut self.listeners[n];
            if entry.speaks == ListenerProtocol::Line && !entry.listener.inherited {
                continue;
            }
            entry.closed = true;
            if entry.speaks == ListenerProtocol::Line {
                self.shared.accepting.store(false, Relaxed);
            } else {
                self.last_clients(n);
            }
        }
        self.watch_listeners(self.paused.is_none());
        let longest = self.shared.settings().rules.classes.longest();
        let kill = longest.min(KILL_DEADLINE) + KILL_AFTER;
        let stop_by = now + kill - DRAIN_SPARE - LAST_WORDS;
        self.shared.answer_deadline.store(stop_by, Relaxed);
        let numbers: Vec<u64> = self.conns.keys().copied().collect();
        numbers
            .into_iter()
            .for_each(|number| self.with(number, |conn| conn.hurry(stop_by)));
        let still_coming = if held { 0 } else { STILL_COMING };
        Drain {
            start: now,
            // All told to move by then: time enough for the ends and for answers that are still owed.
            moved_by: (kill * 3 / 5).max(still_coming + DRAIN_STEP),
            kill,
            still_coming,
            next: now + DRAIN_STEP,
            successor: self
                .takeover_dir
                .as_deref()
                .filter(|_| held)
                .and_then(Successor::find),
        }
    }

    /// This listener's socket is the process's own, and goes with it: who waits there would be reset.
    fn last_clients(&mut self, n: usize) {
        let (listener, speaks) = (self.listeners[n].listener.clone(), self.listeners[n].speaks);
        while self.make_room() {
            let Ok(client) = listener.accept() else {
                return;
            };
            self.take_in(client, speaks);
        }
    }

    fn step(&mut self, drain: &mut Drain, time: Micros) -> bool {
        let now = time.saturating_sub(drain.start);
        if now + DRAIN_SPARE >= drain.kill {
            self.conns.values_mut().for_each(|conn| conn.cut_off());
            return true;
        }
        let stands = |conn: &Conn| {
            let session = conn
                .session
                .as_ref()
                .filter(|s| conn.phase == Phase::Up && s.may_migrate());
            session.map(|s| (conn.number, s.clone()))
        };
        let standing = self.conns.values().filter_map(|conn| stands(conn));
        // What cannot change process is moved, whoever takes over.
        let (mut standing, fixed): (Vec<_>, Vec<_>) = standing.partition(|(_, s)| s.is_portable());
        if let Some(to) = &drain.successor {
            let mut result = Ok(());
            for (number, _) in &standing {
                self.with(*number, |conn| result = conn.hand_over(to));
                if result.is_err() {
                    break;
                }
            }
            match result {
                // What could not be given away right now is tried again, up to half the time.
                Ok(()) if now < drain.kill / 2 => standing.clear(),
                Ok(()) => {}
                Err(e) if timed_out(&e) && now < drain.kill / 2 => standing.clear(),
                Err(e) => {
                    log(&format!("takeover: the successor takes no more: {e}"));
                    drain.successor = None;
                }
            }
        }
        if now < drain.still_coming {
            return false;
        }
        let steps = (drain.moved_by.saturating_sub(now) as f32 / DRAIN_STEP as f32).max(1.0);
        standing.extend(fixed);
        let share = (standing.len() as f32 / steps).ceil() as usize;
        standing
            .iter()
            .take(share)
            .for_each(|(_, session)| crate::decision_service::RequestHandle::migrate(&**session));
        // Whoever rests is sent away, and whoever has begun to ask has some time: nobody else would hear them.
        let rests =
            |conn: &Conn| conn.rests() || (now > LAST_REQUESTS && conn.phase == Phase::Hearing);
        let resting: Vec<u64> = self
            .conns
            .values()
            .filter(|conn| rests(conn))
            .map(|conn| conn.number)
            .collect();
        resting
            .into_iter()
            .for_each(|number| self.with(number, Conn::dismiss));
        if !self.conns.is_empty() {
            return false;
        }
        // The listener's queue goes with this process, where it is its own: who waits there would be reset.
        for n in 0..self.listeners.len() {
            if !self.listeners[n].closed {
                self.last_clients(n);
            }
        }
        self.conns.is_empty()
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
    fn probing(backends: usize) -> (EventLoop, Vec<TcpListener>, Sender<EndpointId>) {
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
            let server = EndpointId(n as u64);
            let endpoint = Endpoint {
                name: format!("s-{n}"),
                addr: listener.local_addr().unwrap(),
            };
            let state = EndpointState::Ready;
            (
                endpoint,
                ListedEndpoint {
                    id: server,
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
        let (order, orders) = bounded(16);
        let names = Names {
            columns: vec!["x0".into()],
            ..config.names.clone()
        };
        (
            EventLoop::new(
                SharedState::new(&config, decisions, directory),
                names,
                orders,
            )
            .unwrap(),
            listeners,
            order,
        )
    }

    /// The probe that comes to this backend.
    fn probed(listener: &TcpListener) -> TcpStream {
        let mut asked: TcpStream = until(|| listener.accept().ok()).0;
        asked.set_nonblocking(false).unwrap();
        let mut line = [0; 7];
        asked.read_exact(&mut line).unwrap();
        assert_eq!(&line, b"STATS\r\n");
        asked
    }

    #[test]
    fn what_the_fleets_watch_told_stands_for_a_probe_and_what_it_wants_is_probed() {
        let (mut engine, listeners, order) = probing(3);
        let book = Arc::new(LoadReportCache::default());
        // Young for as long as the test may take.
        book.insert([LoadReport {
            endpoint: EndpointId(0),
            measured_at: boottime() + 3_600_000_000,
            values: vec![0.5],
        }]);
        engine.use_load_reports(book.clone());
        let handle = engine.handle();
        // Both are there before it begins: in their order.
        order.send(EndpointId(0)).unwrap();
        order.send(EndpointId(1)).unwrap();
        let serving = std::thread::spawn(move || engine.run());
        drop(probed(&listeners[1]));
        assert_eq!(
            listeners[0].accept().unwrap_err().kind(),
            ErrorKind::WouldBlock
        );
        assert_eq!(
            (
                book.checks_avoided.load(Relaxed),
                book.checks_sent.load(Relaxed)
            ),
            (1, 1)
        );
        book.request_checks([EndpointId(2)]);
        probed(&listeners[2])
            .write_all(b"PONG x0=0.25\r\n")
            .unwrap();
        let found = until(|| book.take_results().pop());
        assert_eq!(
            (found.endpoint, found.report),
            (EndpointId(2), Some(vec![0.25]))
        );
        assert_eq!(
            book.fresh_report(EndpointId(2), found.checked_at),
            Some(vec![0.25]),
            "its own relay knows it at once"
        );
        handle.stop();
        serving.join().unwrap();
    }

    /// A lost zone once held up the probes of all others, 250 ms for each of its servers.
    #[test]
    fn silent_servers_do_not_hold_up_the_probes_of_the_others() {
        let (mut engine, listeners, order) = probing(7);
        // So long a limit that a seventh which waited for the six would never be asked.
        engine.probe_limit = 3_600_000_000;
        let handle = engine.handle();
        let serving = std::thread::spawn(move || engine.run());
        let ask = |n: usize| {
            order.send(EndpointId(n as u64)).unwrap();
            (handle.wake)();
            probed(&listeners[n])
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
