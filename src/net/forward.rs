//! Passes lines on, both ways, for all connections: one thread that waits for whichever socket is ready.
//!
//! Threads that wait in reads were measured here first, two for each connection. The platform stops and
//! continues a process that is over its share of the processor, and each time all of them wake: with 300
//! threads the waking alone kept the process over its share for good, and lines were held back for seconds.

use crate::api::{Micros, Outcome, RequestId, ServerId};
use crate::front::buffer::{Buffer, MAX_LINE};
use crate::front::line::Lines;
use crate::front::{Away, News, Parting, Passage};
use crate::log::log;
use crate::net::attempt::{reset, Up};
use crate::net::core::Core;
use crate::net::greet::LINGER;
use crate::net::link::Link;
use crate::net::session::{Account, Session};
use crate::platform::takeover::{self, Parcel, Successor};
use crate::sys::{lock, timed_out};
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::fd::OwnedFd;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How often connections on which nothing happens are looked at.
const LOOK: Duration = Duration::from_millis(200);
/// The longest wait for a client that takes no bytes.
const STUCK: Duration = Duration::from_secs(5);
/// What is thrown away at a time of a client that has had its last word; more waits for the next look, so
/// that one that sends at full speed does not take the processor from the others.
const PIECE: usize = 8192;

/// The backend's side of a connection that is up.
struct Backend {
    link: Link,
    /// The connection as the decisions know it.
    id: RequestId,
    server: ServerId,
    passage: Box<dyn Passage>,
}

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
    core: Arc<Core>,
    session: Arc<Session>,
    client: Link,
    phase: Phase,
    account: Option<Account>,
    backend: Option<Backend>,
    /// From the client to the backend, and the other way.
    up: Buffer,
    down: Buffer,
    /// How many bytes at the front of either may go on.
    up_passed: usize,
    down_passed: usize,
    /// Whether the backend owes an answer to what is to go on.
    asks: bool,
    /// By when the client is owed its final answer; none once it has it.
    answer_by: Option<Micros>,
    /// Up to when the backend may finish what it sends, or its client be answered, before it is moved.
    finish_by: Option<Micros>,
    /// Whether the backend was told to finish.
    parting: bool,
    /// Memory of its buffers that is counted with that of all.
    held: usize,
    /// How it ends once what may go on has gone on, and the last words.
    over: Option<(Vec<u8>, End)>,
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
    core: Arc<Core>,
    epoll: OwnedFd,
    conns: Mutex<BTreeMap<u64, Arc<Mutex<Conn>>>>,
}

impl Forwarder {
    /// One with no connections.
    pub fn new(core: Arc<Core>) -> io::Result<Forwarder> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Forwarder { core, epoll, conns: Mutex::default() })
    }

    /// Watches a client whose request is being placed. `up` is what it has sent after its request.
    pub fn watch(&self, session: &Arc<Session>, client: Link, up: Buffer) {
        let conn = Conn {
            core: self.core.clone(),
            session: session.clone(),
            client,
            phase: Phase::Placing,
            account: None,
            backend: None,
            up,
            down: Buffer::default(),
            up_passed: 0,
            down_passed: 0,
            asks: false,
            answer_by: None,
            finish_by: None,
            parting: false,
            held: 0,
            over: None,
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

    /// Gives a client the final answer that is no connection; nothing where it is gone.
    pub fn answer(&self, session: &Session, account: Account, words: Vec<u8>, reason: &'static str) {
        self.with(session.number(), |conn| {
            account.log(reason);
            conn.last = words;
            conn.close();
        });
    }

    /// Takes over a connection that has come up. `answer_by` is when its client is owed its final answer.
    pub fn stand(
        &self,
        session: &Session,
        account: Account,
        (id, server): (RequestId, ServerId),
        up: Up,
        answer_by: Micros,
    ) {
        self.with(session.number(), |conn| {
            let Up { link, inbox, passage } = up;
            let _ = link.socket.set_nonblocking(true);
            if passage.answered() {
                account.tally.iter().for_each(|tally| tally.passed());
            } else {
                conn.answer_by = Some(answer_by);
            }
            let lines = passage.portable();
            (conn.backend, conn.down) = (Some(Backend { link, id, server, passage }), inbox);
            if !lines {
                conn.core.metrics.xmpp.sessions.fetch_add(1, Relaxed);
                conn.up.make_roomy();
                conn.down.make_roomy();
            }
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
    pub fn take_over(
        &self,
        session: &Arc<Session>,
        account: Account,
        (backend, id, server): (Arc<TcpStream>, RequestId, ServerId),
        parcel: Parcel,
    ) {
        self.watch(session, Link::plain(session.client.clone()), Buffer::holding(parcel.up));
        self.with(session.number(), |conn| {
            let now = conn.core.decisions.now();
            conn.asked = parcel.asked_ms.map(|ms| now.saturating_sub(ms * 1_000));
            // Only lines go from one process to another.
            let (link, passage) = (Link::plain(backend), Box::new(Lines));
            conn.backend = Some(Backend { link, id, server, passage });
            (conn.down, conn.down_passed) = (Buffer::holding(parcel.down), parcel.seen);
            (conn.account, conn.phase) = (Some(account), Phase::Up);
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
        conn.count_memory();
        let number = conn.session.number();
        let wanted = conn.wanted();
        let backend = conn.backend.as_ref().map(|b| b.link.socket.clone());
        let sockets = [Some(conn.client.socket.clone()), backend];
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

impl Conn {
    /// Counts what its buffers hold; whoever asks for more when there is none left gives up its place. Lines are
    /// short and not counted.
    fn count_memory(&mut self) {
        let lines = self.backend.as_ref().is_none_or(|b| b.passage.portable());
        let now = if lines { 0 } else { self.up.room() + self.down.room() };
        let before = std::mem::replace(&mut self.held, now);
        if !self.core.held.change(before, now) && self.phase == Phase::Up {
            let words = self.backend.as_ref().map(|b| b.passage.words(Away::NoRoom));
            self.leave(words.unwrap_or_default(), end(Outcome::Cancelled, "no-memory"));
            self.count_memory();
        }
    }

    /// What is waited for on the client's socket and the backend's.
    fn wanted(&self) -> [Option<EventFlags>; 2] {
        let flag = |on: bool, flag: EventFlags| if on { flag } else { EventFlags::empty() };
        let client_in = self.client_ended.is_none()
            && !self.parting
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
        let (Some(backend), Some(account)) = (&self.backend, &self.account) else { return Ok(()) };
        let (backend, id) = (backend.link.socket.clone(), backend.id);
        if !self.backend.as_ref().is_some_and(|b| b.passage.portable()) {
            return Ok(());
        }
        let bytes = self.up.rest().len() + self.down.rest().len();
        if bytes > takeover::MAX_BYTES || !self.session.give_away() {
            return Ok(());
        }
        let now = self.core.decisions.now();
        let parcel = Parcel {
            name: account.name.clone(),
            class: account.class.clone(),
            backend: account.backend.clone(),
            key: self.session.keys.0,
            group: self.session.keys.1,
            attempts: account.attempts,
            age_ms: account.began.elapsed().as_millis() as u64,
            asked_ms: self.asked.map(|at| now.saturating_sub(at) / 1_000),
            seen: self.down_passed,
            up: self.up.rest().to_vec(),
            down: self.down.rest().to_vec(),
        };
        if let Err(e) = to.send(&parcel, &self.client.socket, &backend) {
            self.session.keep(&backend);
            return Err(e);
        }
        account.log("handed-over");
        self.account = None;
        // The sockets stay with this value until they are no longer waited for (see `settle`): they live on
        // in the other process, and would go on waking this one.
        self.phase = Phase::Done;
        self.core.decisions.end(id, Outcome::Cancelled, Vec::new());
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
        let ended = match self.client.fill(&mut self.up) {
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
        match (self.phase, ended) {
            (Phase::Placing, _) => {
                // It left before its answer. An attempt that is out is ended, and reported by its thread.
                if let Some(id) = self.session.client_has_ended() {
                    self.core.decisions.vanish(id);
                }
            }
            (_, Err(_)) => self.reset_both(end(Outcome::Cancelled, "client-reset")),
            _ => self.flush_up(),
        }
    }

    fn read_backend(&mut self) {
        let Some(backend) = &mut self.backend else { return };
        match backend.link.fill(&mut self.down) {
            Ok(0) => self.backend_ended(),
            Ok(_) => {
                self.asked = None;
                self.flush_down();
            }
            Err(e) if timed_out(&e) => {}
            Err(_) if !backend.passage.mirrors_end() => self.backend_ended(),
            Err(_) => {
                // Ended by a reset: so is the other side.
                let gone = self.farewell.take().unwrap_or(end(Outcome::Reset, "backend-reset"));
                self.reset_both(gone);
            }
        }
    }

    /// The backend has ended its side.
    fn backend_ended(&mut self) {
        let Some(backend) = &self.backend else { return };
        let mirrors = backend.passage.mirrors_end();
        let gone = match self.client_ended {
            Some(_) => end(Outcome::Cancelled, "client-left"),
            None => end(Outcome::Reset, "backend-ended"),
        };
        match self.farewell.take() {
            Some(farewell) if !self.parting => self.part(farewell, true),
            _ if self.parting || self.session.moving() => self.move_away(),
            None if !mirrors && self.client_ended.is_none() => {
                let words = backend.passage.words(Away::Gone);
                self.leave(words, gone);
            }
            farewell => self.part(farewell.unwrap_or(gone), true),
        }
    }

    /// Passes on to the backend what the client has sent.
    fn flush_up(&mut self) {
        let Some(backend) = &mut self.backend else { return };
        let mut blocked = std::mem::take(&mut self.up_blocked);
        loop {
            let mut fresh = 0;
            match backend.passage.up(&self.up.rest()[self.up_passed..]) {
                Ok(passed) => {
                    fresh = passed.bytes;
                    self.asks |= passed.asks;
                }
                // What came before it goes on first.
                Err(_) if self.up_passed > 0 => {}
                Err(fault) => {
                    log(&format!("client {}: {}", self.session.name(), fault.what));
                    return self.leave(fault.words, end(Outcome::Cancelled, fault.reason));
                }
            }
            self.up_passed += fresh;
            if self.up_passed == 0 && !blocked {
                break;
            }
            if self.asks {
                self.asked.get_or_insert(self.core.decisions.now());
            }
            match backend.link.write_some(&self.up.rest()[..self.up_passed]) {
                Ok((n, full)) => {
                    self.up.consume(n);
                    self.up_passed -= n;
                    blocked = full;
                }
                // That the backend is gone is noticed on its own side.
                Err(_) => {
                    self.up.discard();
                    (self.up_passed, blocked) = (0, false);
                }
            }
            self.asks &= self.up_passed > 0;
            if blocked || fresh == 0 {
                break;
            }
        }
        self.up_blocked = blocked;
        if self.client_ended.is_some() && !self.up_blocked {
            backend.link.end_sending();
        }
    }

    /// Passes on to the client what the backend has sent, and hears what it means; after the end of the
    /// backend, passes on the last words.
    fn flush_down(&mut self) {
        if let Phase::Closing(since, false) = self.phase {
            match self.client.write_some(&self.last) {
                Ok((n, blocked)) => {
                    self.last.drain(..n);
                    self.down_blocked = blocked.then_some(since);
                    if !blocked {
                        self.client.end_sending();
                        self.phase = Phase::Closing(Instant::now(), true);
                    }
                }
                Err(_) => self.phase = Phase::Done,
            }
            return;
        }
        let mut finished = false;
        loop {
            let Some(backend) = &mut self.backend else { return };
            let (id, server) = (backend.id, backend.server);
            let (mut fresh, mut news) = (0, Vec::new());
            let unread = &self.down.rest()[self.down_passed..];
            match backend.passage.down(unread, &self.core.terms().rules, &mut news) {
                Ok(n) => fresh = n,
                Err(_) if self.down_passed > 0 => {}
                Err(fault) => {
                    log(&format!("backend of {}: {}", self.session.name(), fault.what));
                    return self.leave(fault.words, end(Outcome::Reset, fault.reason));
                }
            }
            self.down_passed += fresh;
            for news in news {
                match news {
                    News::Load(x) => {
                        let note = self.core.notes.read(server, id, self.core.decisions.now(), x);
                        self.core.decisions.note(id, note);
                    }
                    News::Farewell(outcome, report, reason) => {
                        self.farewell = Some(End { outcome, report, reason });
                    }
                    News::Answered(served) => self.answered(served),
                    News::Over(words, outcome, reason) => self.over = Some((words, end(outcome, reason))),
                    News::Finished => finished = true,
                }
            }
            match self.client.write_some(&self.down.rest()[..self.down_passed]) {
                Ok((n, blocked)) => {
                    self.down.consume(n);
                    self.down_passed -= n;
                    self.down_blocked = blocked.then(|| self.down_blocked.unwrap_or_else(Instant::now));
                }
                Err(_) => return self.reset_both(end(Outcome::Cancelled, "client-reset")),
            }
            if finished {
                return self.move_away();
            }
            if let Some((words, end)) = self.over.take() {
                return self.leave(words, end);
            }
            if self.down_blocked.is_some() || fresh == 0 {
                return;
            }
        }
    }

    /// The client has its final answer.
    fn answered(&mut self, served: bool) {
        self.answer_by = None;
        match (&self.account, served) {
            (Some(Account { tally: Some(tally), .. }), true) => tally.passed(),
            (_, true) => {}
            (_, false) => drop(self.core.metrics.xmpp.sasl_failures.fetch_add(1, Relaxed)),
        }
    }

    /// Asks the client to come again, between two units, then ends both sides.
    fn move_away(&mut self) {
        let Some(backend) = &self.backend else { return };
        let metrics = &self.core.metrics.xmpp;
        if backend.passage.half() {
            metrics.cut.fetch_add(1, Relaxed);
        }
        if !backend.passage.portable() {
            metrics.moved.fetch_add(1, Relaxed);
        }
        self.leave(backend.passage.words(Away::Moved), end(Outcome::Cancelled, "moved"));
    }

    /// The connection is to be moved: once the backend has finished, or its time for that is up.
    fn depart(&mut self, now: Micros) {
        let Some(backend) = &mut self.backend else { return };
        if let Some(by) = self.finish_by.filter(|by| self.parting || now >= *by) {
            if now >= by {
                self.move_away();
            }
            return;
        }
        match backend.passage.part() {
            Parting::Now => self.move_away(),
            Parting::Later(within) => drop(self.finish_by.get_or_insert(now + within)),
            Parting::Finish { words, within } => {
                // Half a unit of the client's is not on its way: nothing of it went on.
                self.up.replace_tail(self.up_passed, &words);
                self.up_passed += words.len();
                (self.parting, self.finish_by) = (true, Some(now + within));
                self.flush_up();
            }
        }
    }

    /// Sends the client away with these words, after what may go on to it, then ends both sides.
    fn leave(&mut self, words: Vec<u8>, end: End) {
        self.last = words;
        self.part(end, false);
    }

    /// Ends the backend's side; the client gets what has come from there, then the last words.
    fn part(&mut self, end: End, rest: bool) {
        let rest = rest && self.backend.as_ref().is_some_and(|b| b.passage.mirrors_end());
        let to = if rest { self.down.rest().len() } else { self.down_passed };
        let mut last = self.down.rest()[..to].to_vec();
        last.append(&mut self.last);
        self.last = last;
        if let Some(backend) = &self.backend {
            let _ = backend.link.socket.shutdown(Shutdown::Both);
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
        reset(&self.client.socket);
        if let Some(backend) = &self.backend {
            reset(&backend.link.socket);
        }
        self.report(end);
        self.phase = Phase::Done;
    }

    /// Tells the decisions and the log how the connection ended, and lets go of its backend.
    fn report(&mut self, end: End) {
        if let Some(Backend { link, id, passage, .. }) = self.backend.take() {
            self.session.release();
            drop(link);
            if !passage.portable() {
                self.core.metrics.xmpp.sessions.fetch_sub(1, Relaxed);
            }
            self.core.decisions.end(id, end.outcome, end.report);
        }
        if let Some(account) = self.account.take() {
            // It was owed an answer, and what it has had now was a failure's.
            if self.answer_by.take().is_some() && self.client_ended.is_none() {
                account.tally.iter().for_each(|tally| tally.failed());
            }
            account.log(end.reason);
        }
    }

    /// Throws away what a client sends that has had its last words.
    fn discard(&mut self) {
        match (&*self.client.socket).read(&mut [0; PIECE]) {
            Ok(PIECE) => self.flooded = true,
            Ok(n) if n > 0 => {}
            Err(e) if timed_out(&e) || e.kind() == ErrorKind::Interrupted => {}
            _ => self.phase = Phase::Done,
        }
    }

    fn silent(&self) -> Micros {
        self.backend.as_ref().map_or(Micros::MAX, |b| b.passage.silent())
    }

    /// What only time shows.
    fn look(&mut self) {
        let now = self.core.decisions.now();
        if let Some(backend) = self.backend.as_mut().filter(|b| !b.passage.portable()) {
            self.up.rest_room();
            self.down.rest_room();
            backend.passage.rest();
        }
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
            // A machine that vanished says nothing and keeps its connections open: only what stays unanswered
            // shows it.
            Phase::Up if self.asked.is_some_and(|at| now.saturating_sub(at) > self.silent()) => {
                let words = self.backend.as_ref().map(|b| b.passage.words(Away::Gone));
                self.leave(words.unwrap_or_default(), end(Outcome::Reset, "backend-silent"));
            }
            // Two looks before it is due: the next one might be too late.
            Phase::Up if self.answer_by.is_some_and(|by| now + 2 * LOOK.as_micros() as Micros >= by) => {
                let late = if self.asked.is_some() { Outcome::Timeout } else { Outcome::Cancelled };
                let words = self.backend.as_ref().map(|b| b.passage.words(Away::Late));
                self.leave(words.unwrap_or_default(), end(late, "answer-late"));
            }
            Phase::Up if self.session.departs() => self.depart(now),
            _ => {}
        }
    }
}
