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

mod accept;
mod adoption;
mod drain;
mod health_checks;
mod id_exchange;

use crate::config::Names;
use crate::decisions::api::{EndpointId, Micros};
use crate::load::LoadReportCache;
use crate::log::log;
use crate::net::connection::{Connection, NUMBER_SHIFT};
use crate::net::forward::CHECK_INTERVAL;
pub use crate::net::handshake::ListenerProtocol;
use crate::net::listen::Listener;
use crate::net::poll::{Events, Interest, Poller, Ready};
use crate::net::shared::SharedState;
use crate::platform::health_check::{self, HealthCheck};
use crate::platform::takeover::{HandoverListener, Predecessor};
use crate::sys::Wake;
use accept::ListenerEntry;
use crossbeam_channel::Receiver;
use drain::Drain;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

/// Clients accepted, or handed-over connections received, per listener and turn. The others wait in
/// the kernel's queues while existing connections are served.
const MAX_PER_TURN: usize = 32;
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

/// A process that goes on this much later than it asked the system to, in microseconds, logs it:
/// its clients have waited for as long.
const LOGGED_DELAY: Micros = 250_000;

const READ: Interest = Interest {
    read: true,
    write: false,
};
fn other_token(n: u64) -> u64 {
    n << NUMBER_SHIFT | OTHER
}

/// The log line of a turn that ended later than it should have: one that began at `began` and asked
/// to wait for `limit` at most.
fn delay_report(began: Micros, limit: Duration, now: Micros) -> Option<String> {
    let late = now.saturating_sub(began + limit.as_micros() as Micros);
    (late >= LOGGED_DELAY).then(|| format!("loop: held up for {} ms", late / 1_000))
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
    /// Since when no client can be accepted for lack of capacity, and whether that was logged.
    stalled: Option<(Micros, bool)>,
    /// Accepts links from other processes of this relay that hand over their connections.
    takeover_listener: Option<HandoverListener>,
    predecessors: BTreeMap<u64, Predecessor>,
    next_predecessor: u64,
    /// Those of them with which ids are exchanged.
    id_peers: BTreeSet<u64>,
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
            stalled: None,
            takeover_listener: None,
            predecessors: BTreeMap::new(),
            next_predecessor: FIRST_PREDECESSOR,
            id_peers: BTreeSet::new(),
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
        listener: Listener,
        protocol: ListenerProtocol,
    ) -> io::Result<()> {
        let token = other_token(FIRST_LISTENER + self.listeners.len() as u64);
        self.poller.watch(&listener, token, None, Some(READ))?;
        self.listeners.push(ListenerEntry {
            listener: Some(Arc::new(listener)),
            protocol,
            watched: true,
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
        // Before this process is found in place of the one that serves.
        self.request_ids(&dir);
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
        let mut last_turn: Option<(Micros, Duration)> = None;
        loop {
            let timer = self.shared.decisions.fire_timers();
            // The clock is read once per turn, because that has cost more than the rest of an idle
            // turn.
            let now = self.shared.decisions.now();
            let delay = last_turn.and_then(|(began, limit)| delay_report(began, limit, now));
            delay.iter().for_each(|line| log(line));
            self.handle_wake_queue();
            self.start_health_checks();
            self.handle_list_update();
            self.fire_timers(now);
            if self.handle.stop.load(Relaxed) && self.advance_drain(now) {
                return;
            }
            self.check_connections(now);
            self.resume_accepting(now);
            self.send_id_changes();
            // Work that this turn has scheduled for the loop itself is done before the next wait.
            let limit = if self.poller.take_rescheduled() {
                Duration::ZERO
            } else {
                self.next_wait(timer, now)
            };
            last_turn = Some((now, limit));
            self.poller.wait(limit, &mut events, &mut ready);
            self.make_room_for_requests();
            self.read_id_changes();
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
            _ => {
                self.update_connection(number, |conn| conn.handle_ready(ready));
                self.make_room_in_memory();
            }
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
}

#[cfg(test)]
mod tests;
