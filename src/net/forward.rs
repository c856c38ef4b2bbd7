//! Passes lines on, both ways, for all connections: one thread that waits for whichever socket is ready.
//!
//! Threads that wait in reads were measured here first, two for each connection. The platform stops and
//! continues a process that is over its share of the processor, and each time all of them wake: with 300
//! threads the waking alone kept the process over its share for good, and lines were held back for seconds.

use crate::api::{Micros, Outcome, RequestId, ServerId};
use crate::net::backend::{reset, Up};
use crate::net::client::{Account, Relay, Session};
use crate::net::greet::LINGER;
use crate::net::line::{told, trim, LineBuffer, Told, MAX_LINE};
use crate::net::takeover::{self, Parcel, Successor};
use crate::net::{log, timed_out};
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::fd::OwnedFd;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How often connections on which nothing happens are looked at.
const LOOK: Duration = Duration::from_millis(200);
/// A backend that leaves a client's line unanswered for so long counts as lost: clients give up on a
/// connection after 7 s, and a crowded backend may take about 3 s.
const SILENT: Micros = 5_000_000;
/// The longest wait for a client that takes no bytes.
const STUCK: Duration = Duration::from_secs(5);
/// What is thrown away at a time of a client that has had its last word; more waits for the next look, so
/// that one that sends at full speed does not take the processor from the others.
const PIECE: usize = 8192;

/// A backend's socket, and the connection and server as the decisions know them.
pub type Backend = (Arc<TcpStream>, RequestId, ServerId);

/// How a connection that was up has ended.
struct End {
    outcome: Outcome,
    report: Vec<f32>,
    reason: &'static str,
}

fn end(outcome: Outcome, reason: &'static str) -> End {
    End { outcome, report: Vec::new(), reason }
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// The request waits for its answer; what the client sends waits too.
    Placing,
    /// The connection is up.
    Up,
    /// The client gets its last words since then; true once it has them.
    Closing(Instant, bool),
    Done,
}

struct Conn {
    session: Arc<Session>,
    phase: Phase,
    account: Option<Account>,
    backend: Option<Backend>,
    /// From the client to the backend, and the other way.
    up: LineBuffer,
    down: LineBuffer,
    /// How much of `down` has been read already.
    seen: usize,
    /// Last words for the client.
    last: Vec<u8>,
    farewell: Option<End>,
    /// When the oldest unanswered line of the client was passed on.
    asked: Option<Micros>,
    client_ended: Option<Instant>,
    up_blocked: bool,
    down_blocked: Option<Instant>,
    flooded: bool,
    /// What is waited for on either socket; none once it is not watched.
    watched: [Option<EventFlags>; 2],
}

/// All connections whose requests are under way.
pub struct Forwarder {
    epoll: OwnedFd,
    conns: Mutex<BTreeMap<u64, Arc<Mutex<Conn>>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Forwarder {
    /// One with no connections.
    pub fn new() -> io::Result<Forwarder> {
        Ok(Forwarder { epoll: epoll::create(epoll::CreateFlags::CLOEXEC)?, conns: Mutex::default() })
    }

    /// Watches a client whose request is being placed. `up` is what it has sent after its first line.
    pub fn watch(&self, session: &Arc<Session>, up: LineBuffer) {
        let conn = Conn {
            session: session.clone(),
            phase: Phase::Placing,
            account: None,
            backend: None,
            up,
            down: LineBuffer::default(),
            seen: 0,
            last: Vec::new(),
            farewell: None,
            asked: None,
            client_ended: None,
            up_blocked: false,
            down_blocked: None,
            flooded: false,
            watched: [None, None],
        };
        let _ = session.client.set_nonblocking(true);
        let conn = Arc::new(Mutex::new(conn));
        lock(&self.conns).insert(session.number(), conn.clone());
        self.settle(&mut lock(&conn));
    }

    fn with(&self, number: u64, work: impl FnOnce(&mut Conn)) {
        let conn = lock(&self.conns).get(&number).cloned();
        if let Some(conn) = conn {
            let mut conn = lock(&conn);
            work(&mut conn);
            self.settle(&mut conn);
        }
    }

    /// Gives a client the final answer that is no connection.
    pub fn answer(&self, session: &Session, account: Account, answer: &str, reason: &'static str) {
        self.with(session.number(), |conn| {
            account.log(reason);
            account.answered(answer);
            if !answer.is_empty() {
                conn.last = format!("{answer}\r\n").into_bytes();
            }
            conn.close();
        });
    }

    /// Takes over a connection that has come up.
    pub fn stand(&self, session: &Session, account: Account, id: RequestId, server: ServerId, up: Up) {
        self.with(session.number(), |conn| {
            let _ = up.0.set_nonblocking(true);
            (conn.backend, conn.down) = (Some((up.0, id, server)), up.1);
            account.passed();
            (conn.account, conn.phase) = (Some(account), Phase::Up);
            conn.flush_down();
            conn.flush_up();
        });
    }

    /// Gives a standing connection to the process that takes over, unless it is about to end here. An error
    /// is one of the link; the connection is kept then.
    pub fn hand_over(&self, number: u64, to: &Successor) -> io::Result<()> {
        let mut result = Ok(());
        self.with(number, |conn| result = conn.hand_over(to));
        result
    }

    /// Goes on with a connection that stood in another process.
    pub fn take_over(&self, session: &Arc<Session>, account: Account, backend: Backend, parcel: Parcel) {
        self.watch(session, LineBuffer::holding(parcel.up));
        self.with(session.number(), |conn| {
            let now = session.relay.decisions.now();
            conn.asked = parcel.asked_ms.map(|ms| now.saturating_sub(ms * 1_000));
            (conn.backend, conn.down) = (Some(backend), LineBuffer::holding(parcel.down));
            (conn.account, conn.phase, conn.seen) = (Some(account), Phase::Up, parcel.seen);
            conn.flush_down();
            conn.flush_up();
        });
    }

    /// Serves all connections for good.
    pub fn run(&self) -> ! {
        let mut events = epoll::EventVec::with_capacity(64);
        let mut looked = Instant::now();
        loop {
            let left = LOOK.saturating_sub(looked.elapsed()).as_millis() as i32;
            match epoll::wait(&self.epoll, &mut events, left.max(1)) {
                Ok(()) | Err(rustix::io::Errno::INTR) => {}
                Err(e) => {
                    log(&format!("forward: {e}"));
                    std::thread::sleep(LOOK);
                }
            }
            for event in events.iter() {
                let (token, flags) = (event.data.u64(), event.flags);
                self.with(token / 2, |conn| match token % 2 {
                    0 => conn.client_ready(flags),
                    _ => conn.backend_ready(flags),
                });
            }
            events.clear();
            if looked.elapsed() >= LOOK {
                looked = Instant::now();
                let numbers: Vec<u64> = lock(&self.conns).keys().copied().collect();
                numbers.into_iter().for_each(|number| self.with(number, Conn::look));
            }
        }
    }

    /// Waits for what the connection now needs, or forgets it.
    fn settle(&self, conn: &mut Conn) {
        let number = conn.session.number();
        let wanted = conn.wanted();
        let backend = conn.backend.as_ref().map(|b| b.0.clone());
        let sockets = [Some(conn.session.client.clone()), backend];
        for (side, socket) in sockets.iter().enumerate() {
            let (Some(socket), now) = (socket, &mut conn.watched[side]) else {
                // A socket that was let go of is closed, and so is no longer watched.
                conn.watched[side] = None;
                continue;
            };
            let data = EventData::new_u64(number * 2 + side as u64);
            let _ = match (*now, wanted[side]) {
                (None, Some(flags)) => epoll::add(&self.epoll, socket, data, flags),
                (Some(old), Some(flags)) if old != flags => epoll::modify(&self.epoll, socket, data, flags),
                (Some(_), None) => epoll::delete(&self.epoll, socket),
                _ => Ok(()),
            };
            *now = wanted[side];
        }
        if conn.phase == Phase::Done {
            lock(&self.conns).remove(&number);
        }
    }
}

/// Writes as much as goes; the number of bytes, and whether the socket takes no more for now.
fn write_some(mut to: &TcpStream, bytes: &[u8]) -> io::Result<(usize, bool)> {
    let mut done = 0;
    while done < bytes.len() {
        match to.write(&bytes[done..]) {
            Ok(n) => done += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if timed_out(&e) => return Ok((done, true)),
            Err(e) => return Err(e),
        }
    }
    Ok((done, false))
}

impl Conn {
    fn relay(&self) -> Arc<Relay> {
        self.session.relay.clone()
    }

    /// What is waited for on the client's socket and the backend's.
    fn wanted(&self) -> [Option<EventFlags>; 2] {
        let flag = |on: bool, flag: EventFlags| if on { flag } else { EventFlags::empty() };
        let client_in = self.client_ended.is_none()
            && match self.phase {
                Phase::Placing => self.up.rest().len() < MAX_LINE,
                Phase::Up => !self.up_blocked,
                Phase::Closing(..) => !self.flooded,
                Phase::Done => false,
            };
        let client_out = self.down_blocked.is_some();
        // Once a client has ended there is nothing to be heard from it but, with nothing wanted, errors
        // again and again.
        let client = self.phase != Phase::Done && (self.client_ended.is_none() || client_out);
        let client = client.then(|| flag(client_in, EventFlags::IN) | flag(client_out, EventFlags::OUT));
        let backend = (self.phase == Phase::Up)
            .then(|| flag(!client_out, EventFlags::IN) | flag(self.up_blocked, EventFlags::OUT));
        [client, backend]
    }

    /// The connection as another process needs it, with both sockets; here it is done then. It goes on
    /// without a word to either side: nothing may be shut down here after that.
    fn hand_over(&mut self, to: &Successor) -> io::Result<()> {
        let (Phase::Up, None, None) = (self.phase, self.client_ended, &self.farewell) else { return Ok(()) };
        let (Some((backend, id, _)), Some(account)) = (self.backend.clone(), &self.account) else {
            return Ok(());
        };
        let bytes = self.up.rest().len() + self.down.rest().len();
        if bytes > takeover::MAX_BYTES || !self.session.give_away() {
            return Ok(());
        }
        let now = self.session.relay.decisions.now();
        let parcel = Parcel {
            name: account.name.clone(),
            class: account.class.clone(),
            backend: account.backend.clone(),
            key: self.session.keys.0,
            group: self.session.keys.1,
            attempts: account.attempts,
            age_ms: account.began.elapsed().as_millis() as u64,
            asked_ms: self.asked.map(|at| now.saturating_sub(at) / 1_000),
            seen: self.seen,
            up: self.up.rest().to_vec(),
            down: self.down.rest().to_vec(),
        };
        if let Err(e) = to.send(&parcel, &self.session.client, &backend) {
            self.session.keep(&backend);
            return Err(e);
        }
        account.log("handed-over");
        self.account = None;
        // The sockets stay with this value until they are no longer waited for (see `settle`): they live on
        // in the other process, and would go on waking this one.
        self.phase = Phase::Done;
        self.session.relay.decisions.end(id, Outcome::Cancelled, Vec::new());
        Ok(())
    }

    fn client_ready(&mut self, flags: EventFlags) {
        if flags.contains(EventFlags::OUT) && self.down_blocked.is_some() {
            self.flush_down();
        }
        if flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR) {
            match self.phase {
                Phase::Placing | Phase::Up => self.read_client(),
                Phase::Closing(..) => self.discard(),
                Phase::Done => {}
            }
        }
    }

    fn backend_ready(&mut self, flags: EventFlags) {
        if self.phase == Phase::Up && self.up_blocked && flags.contains(EventFlags::OUT) {
            self.flush_up();
        }
        if self.phase == Phase::Up && flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR) {
            self.read_backend();
        }
    }

    fn read_client(&mut self) {
        let ended = match self.up.fill(&mut &*self.session.client) {
            Ok(n) if n > 0 => {
                if self.phase == Phase::Up {
                    self.flush_up();
                }
                return;
            }
            Err(e) if timed_out(&e) => return,
            ended => ended,
        };
        self.client_ended = Some(Instant::now());
        let relay = self.relay();
        match (self.phase, ended) {
            (Phase::Placing, _) => {
                // It left before its answer. An attempt that is out is ended, and reported by its thread.
                if let Some(id) = self.session.client_has_ended() {
                    relay.decisions.vanish(id);
                }
            }
            (_, Err(_)) => self.reset_both(end(Outcome::Cancelled, "client-reset")),
            _ => self.flush_up(),
        }
    }

    fn read_backend(&mut self) {
        let Some((backend, ..)) = &self.backend else { return };
        match self.down.fill(&mut &**backend) {
            Ok(0) => {
                let gone = match self.client_ended {
                    Some(_) => end(Outcome::Cancelled, "client-left"),
                    None => end(Outcome::Reset, "backend-ended"),
                };
                match self.farewell.take() {
                    Some(farewell) => self.part(farewell, true),
                    None if self.session.moving() => self.leave(Outcome::Cancelled, "moved"),
                    None => self.part(gone, true),
                }
            }
            Ok(_) => {
                self.asked = None;
                self.flush_down();
            }
            Err(e) if timed_out(&e) => {}
            Err(_) => {
                // Ended by a reset: so is the other side.
                let gone = self.farewell.take().unwrap_or(end(Outcome::Reset, "backend-reset"));
                self.reset_both(gone);
            }
        }
    }

    /// Passes on to the backend what the client has sent.
    fn flush_up(&mut self) {
        let Some((backend, ..)) = self.backend.clone() else { return };
        self.up_blocked = false;
        match self.up.whole() {
            Ok(0) => {}
            Ok(n) => {
                self.asked.get_or_insert(self.session.relay.decisions.now());
                match write_some(&backend, &self.up.rest()[..n]) {
                    Ok((n, blocked)) => {
                        self.up.consume(n);
                        self.up_blocked = blocked;
                    }
                    // That the backend is gone is noticed on its own side.
                    Err(_) => self.up.discard(),
                }
            }
            Err(_) => {
                log(&format!("client {}: a line is longer than allowed", self.session.name()));
                // What follows may begin inside that line: none of it may reach the backend.
                return self.leave(Outcome::Cancelled, "moved");
            }
        }
        if self.client_ended.is_some() && !self.up_blocked {
            let _ = backend.shutdown(Shutdown::Write);
        }
    }

    /// Passes on to the client what the backend has sent, and hears what it means; after the end of the
    /// backend, passes on the last words.
    fn flush_down(&mut self) {
        if let Phase::Closing(since, false) = self.phase {
            match write_some(&self.session.client, &self.last) {
                Ok((n, blocked)) => {
                    self.last.drain(..n);
                    self.down_blocked = blocked.then_some(since);
                    if !blocked {
                        let _ = self.session.client.shutdown(Shutdown::Write);
                        self.phase = Phase::Closing(Instant::now(), true);
                    }
                }
                Err(_) => self.phase = Phase::Done,
            }
            return;
        }
        let (relay, Some((_, id, server))) = (self.relay(), self.backend.clone()) else { return };
        let Ok(whole) = self.down.whole() else { return self.leave(Outcome::Reset, "line-too-long") };
        for line in self.down.rest()[self.seen..whole].split_inclusive(|&b| b == b'\n') {
            match told(trim(line), &relay.names) {
                Told::Load(x) => {
                    let note = relay.notes.read(server, id, relay.decisions.now(), x);
                    relay.decisions.note(id, note);
                }
                Told::Bye(report) => self.farewell = Some(End { report, ..end(Outcome::Ok, "served") }),
                Told::Move => self.farewell = Some(end(Outcome::Cancelled, "sent-away")),
                _ => {}
            }
        }
        match write_some(&self.session.client, &self.down.rest()[..whole]) {
            Ok((n, blocked)) => {
                self.down.consume(n);
                self.seen = whole - n;
                self.down_blocked = blocked.then(|| self.down_blocked.unwrap_or_else(Instant::now));
            }
            Err(_) => self.reset_both(end(Outcome::Cancelled, "client-reset")),
        }
    }

    /// Sends the client away between two lines, then ends both sides.
    fn leave(&mut self, outcome: Outcome, reason: &'static str) {
        self.last = b"MOVE\r\n".to_vec();
        self.part(end(outcome, reason), false);
    }

    /// Ends the backend's side; the client gets what has come from there, then the last words.
    fn part(&mut self, end: End, rest: bool) {
        let whole = self.down.whole().unwrap_or(0);
        let to = if rest { self.down.rest().len() } else { whole };
        let mut last = self.down.rest()[..to].to_vec();
        last.append(&mut self.last);
        self.last = last;
        if let Some((backend, ..)) = &self.backend {
            let _ = backend.shutdown(Shutdown::Both);
        }
        self.report(end);
        self.close();
    }

    fn close(&mut self) {
        self.phase = Phase::Closing(Instant::now(), false);
        if self.client_ended.is_some() && self.last.is_empty() {
            self.phase = Phase::Done;
        } else {
            self.flush_down();
        }
    }

    /// Closes both sides by a reset.
    fn reset_both(&mut self, end: End) {
        reset(&self.session.client);
        if let Some((backend, ..)) = &self.backend {
            reset(backend);
        }
        self.report(end);
        self.phase = Phase::Done;
    }

    /// Tells the decisions and the log how the connection ended, and lets go of its backend.
    fn report(&mut self, end: End) {
        if let Some((backend, id, _)) = self.backend.take() {
            self.session.release();
            drop(backend);
            self.session.relay.decisions.end(id, end.outcome, end.report);
        }
        if let Some(account) = self.account.take() {
            account.log(end.reason);
        }
    }

    /// Throws away what a client sends that has had its last words.
    fn discard(&mut self) {
        match (&*self.session.client).read(&mut [0; PIECE]) {
            Ok(PIECE) => self.flooded = true,
            Ok(n) if n > 0 => {}
            Err(e) if timed_out(&e) || e.kind() == ErrorKind::Interrupted => {}
            _ => self.phase = Phase::Done,
        }
    }

    /// What only time shows.
    fn look(&mut self) {
        let now = self.session.relay.decisions.now();
        let stuck = self.down_blocked.is_some_and(|since| since.elapsed() > STUCK);
        match self.phase {
            Phase::Closing(since, true) if since.elapsed() > LINGER => self.phase = Phase::Done,
            Phase::Closing(..) if stuck => self.phase = Phase::Done,
            Phase::Closing(..) if self.flooded => {
                self.flooded = false;
                self.discard();
            }
            Phase::Up if stuck => self.reset_both(end(Outcome::Cancelled, "client-stuck")),
            Phase::Up if self.client_ended.is_some_and(|at| at.elapsed() > LINGER) => {
                self.part(end(Outcome::Cancelled, "client-left"), true);
            }
            // A machine that vanished says nothing and keeps its connections open: only a line that stays
            // unanswered shows it.
            Phase::Up if self.asked.is_some_and(|at| now.saturating_sub(at) > SILENT) => {
                self.leave(Outcome::Reset, "backend-silent");
            }
            _ => {}
        }
    }
}
