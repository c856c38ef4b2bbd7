//! Passes lines on, both ways, and ends connections: what a connection does once it is up.
//!
//! Threads that wait in reads were measured here first, two for each connection. The platform stops and
//! continues a process that is over its share of the processor, and each time all of them wake: with 300
//! threads the waking alone kept the process over its share for good, and lines were held back for seconds.

use crate::decisions::api::{Micros, Outcome};
use crate::log::log;
use crate::net::attempt::reset;
use crate::net::connection::{end, Backend, Conn, End, Phase, LINGER};
use crate::net::poll::peer_closed;
use crate::net::session::{ConnectionRecord, Session};
use crate::platform::takeover::{self, Handover, Successor};
use crate::protocol::buffer::{Buffer, MAX_LINE};
use crate::protocol::{Away, News, Parting};
use crate::sys::timed_out;
use std::io::{self, ErrorKind, Read};
use std::net::Shutdown;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;

/// How often connections on which nothing happens are looked at, in microseconds.
pub const LOOK: Micros = 200_000;
/// The longest wait for a client that takes no bytes, in microseconds.
const STUCK: Micros = 5_000_000;
/// What is thrown away at a time of a client that has had its last word; more waits for the next look, so
/// that one that sends at full speed does not take the processor from the others.
const PIECE: usize = 8192;

impl Conn {
    /// Counts what its buffers hold; whoever asks for more when there is none left gives up its place. Lines are
    /// short and not counted.
    pub fn count_memory(&mut self) {
        let lines = self.backend.as_ref().is_none_or(|b| b.passage.portable());
        let now = if lines {
            0
        } else {
            self.up.room() + self.down.room()
        };
        let before = std::mem::replace(&mut self.held, now);
        if !self.shared.long_unit_memory.replace(before, now) && self.phase == Phase::Up {
            let words = self.backend.as_ref().map(|b| b.passage.words(Away::NoRoom));
            self.leave(
                words.unwrap_or_default(),
                end(Outcome::Cancelled, "no-memory"),
            );
            self.count_memory();
        }
    }

    /// The connection as another process needs it, with both sockets; here it is done then. It goes on
    /// without a word to either side: nothing may be shut down here after that.
    pub fn hand_over(&mut self, to: &Successor) -> io::Result<()> {
        let (Phase::Up, None, None) = (self.phase, self.client_ended, &self.farewell) else {
            return Ok(());
        };
        let (Some(backend), Some(record)) = (&self.backend, &self.record) else {
            return Ok(());
        };
        let (backend, id) = (backend.link.socket.clone(), backend.id);
        if !self.backend.as_ref().is_some_and(|b| b.passage.portable()) {
            return Ok(());
        }
        let Some(session) = &self.session else {
            return Ok(());
        };
        let bytes = self.up.rest().len() + self.down.rest().len();
        if bytes > takeover::MAX_BYTES || !session.begin_handover() {
            return Ok(());
        }
        let now = self.now();
        let handover = Handover {
            name: record.id.clone(),
            class: record.class.clone(),
            backend: record.backend.clone(),
            key: session.keys.0,
            group: session.keys.1,
            attempts: record.attempts,
            age_ms: record.started_at.elapsed().as_millis() as u64,
            asked_ms: self.asked.map(|at| now.saturating_sub(at) / 1_000),
            seen: self.down_passed,
            up: self.up.rest().to_vec(),
            down: self.down.rest().to_vec(),
        };
        if let Err(e) = to.send(&handover, &self.client.socket, &backend) {
            session.undo_handover(&backend);
            return Err(e);
        }
        record.log_end("handed-over");
        self.record = None;
        // The sockets stay with this value until they are no longer waited for (see `settle`): they live on
        // in the other process, and would go on waking this one.
        self.phase = Phase::Done;
        self.shared
            .decisions
            .connection_ended(id, Outcome::Cancelled, Vec::new());
        Ok(())
    }

    /// Goes on with a connection that stood in another process.
    pub fn take_over(
        &mut self,
        record: ConnectionRecord,
        session: Arc<Session>,
        backend: Backend,
        handover: Handover,
    ) {
        let now = self.now();
        self.asked = handover.asked_ms.map(|ms| now.saturating_sub(ms * 1_000));
        self.heard = self.asked.unwrap_or(now);
        self.up = Buffer::holding(handover.up);
        (self.down, self.down_passed) = (Buffer::holding(handover.down), handover.seen);
        (self.session, self.record) = (Some(session), Some(record));
        (self.backend, self.phase) = (Some(backend), Phase::Up);
        self.flush_down();
        self.flush_up();
    }

    /// The client's socket is ready.
    pub fn client_ready(&mut self, read: bool, write: bool) {
        if write && self.down_blocked.is_some() {
            self.flush_down();
        }
        if read {
            match self.phase {
                Phase::Placing | Phase::Up => self.read_client(),
                Phase::Closing(..) => self.discard(),
                Phase::Hearing | Phase::Done => {}
            }
        }
    }

    /// The backend's socket is ready.
    pub fn backend_ready(&mut self, read: bool, write: bool) {
        if self.phase == Phase::Up && self.up_blocked && write {
            self.flush_up();
        }
        if self.phase == Phase::Up && read {
            self.read_backend();
        }
    }

    fn read_client(&mut self) {
        let ended = match self.client.read_into(&mut self.up) {
            Ok(n) if n > 0 => {
                if self.phase == Phase::Up {
                    self.flush_up();
                }
                return;
            }
            Err(e) if timed_out(&e) => return,
            ended => ended,
        };
        match (self.phase, ended) {
            (Phase::Placing, _) => self.client_gone(),
            (_, Err(_)) => {
                self.client_ended = Some(self.now());
                self.reset_both(end(Outcome::Cancelled, "client-reset"))
            }
            _ => {
                self.client_ended = Some(self.now());
                self.flush_up()
            }
        }
    }

    /// It left before its answer. An attempt that is out is ended, and reported.
    pub fn client_gone(&mut self) {
        self.client_ended = Some(self.now());
        if let Some(id) = self
            .session
            .as_ref()
            .and_then(|session| session.client_gone())
        {
            self.shared.decisions.client_disconnected(id);
        }
        self.place(false);
    }

    /// Looks whether the client of a request that waits has left, right before something is begun for it. Its end may
    /// be on its way here behind what woke this connection, in the same batch of events or behind a timer; where it has
    /// sent as much as is read ahead, the end stands behind that.
    pub fn look_for_end(&mut self) {
        while self.client_ended.is_none() && self.up.rest().len() < MAX_LINE {
            match self.client.read_into(&mut self.up) {
                Ok(n) if n > 0 => {}
                Err(e) if timed_out(&e) => return,
                _ => return self.client_gone(),
            }
        }
        if self.client_ended.is_none() && peer_closed(&self.client.socket) {
            self.client_gone();
        }
    }

    fn read_backend(&mut self) {
        let Some(backend) = &mut self.backend else {
            return;
        };
        match backend.link.read_into(&mut self.down) {
            Ok(0) => self.backend_ended(),
            Ok(_) => {
                if !backend.passage.marks_answers() {
                    self.hear_back();
                }
                self.flush_down();
            }
            Err(e) if timed_out(&e) => {}
            Err(_) if !backend.passage.mirrors_end() => self.backend_ended(),
            Err(_) => {
                // Ended by a reset: so is the other side.
                let gone = self
                    .farewell
                    .take()
                    .unwrap_or(end(Outcome::Reset, "backend-reset"));
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
            _ if self.parting || self.moving() => self.move_away(),
            None if !mirrors && self.client_ended.is_none() => {
                let words = backend.passage.words(Away::Gone);
                self.leave(words, gone);
            }
            farewell => self.part(farewell.unwrap_or(gone), true),
        }
    }

    /// Passes on to the backend what the client has sent.
    pub fn flush_up(&mut self) {
        let Some(backend) = &mut self.backend else {
            return;
        };
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
                    log(&format!("client {}: {}", self.name(), fault.what));
                    return self.leave(fault.words, end(Outcome::Cancelled, fault.reason));
                }
            }
            self.up_passed += fresh;
            if self.up_passed == 0 && !blocked {
                break;
            }
            if self.asks {
                self.asked.get_or_insert(self.shared.decisions.now());
            }
            match backend
                .link
                .write_available(&self.up.rest()[..self.up_passed])
            {
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
            backend.link.shutdown_write();
        }
    }

    /// Passes on to the client what the backend has sent, and hears what it means; after the end of the
    /// backend, passes on the last words.
    pub fn flush_down(&mut self) {
        if let Phase::Closing(since, false) = self.phase {
            match self.client.write_available(&self.last) {
                Ok((n, blocked)) => {
                    self.last.drain(..n);
                    self.down_blocked = blocked.then_some(since);
                    if !blocked {
                        self.client.shutdown_write();
                        self.phase = Phase::Closing(self.now(), true);
                    }
                }
                Err(_) => self.phase = Phase::Done,
            }
            return;
        }
        let mut finished = false;
        loop {
            let Some(backend) = &mut self.backend else {
                return;
            };
            let (id, server) = (backend.id, backend.server);
            let (mut fresh, mut news) = (0, Vec::new());
            let unread = &self.down.rest()[self.down_passed..];
            match backend
                .passage
                .down(unread, &self.shared.settings().rules, &mut news)
            {
                Ok(n) => fresh = n,
                Err(_) if self.down_passed > 0 => {}
                Err(fault) => {
                    log(&format!("backend of {}: {}", self.name(), fault.what));
                    return self.leave(fault.words, end(Outcome::Reset, fault.reason));
                }
            }
            self.down_passed += fresh;
            for news in news {
                match news {
                    News::Load(x) => {
                        let note = self.shared.load_samples.read(
                            server,
                            id,
                            self.shared.decisions.now(),
                            x,
                        );
                        self.shared.decisions.record_sample(id, note);
                    }
                    News::Heard => self.hear_back(),
                    News::Farewell(outcome, report, reason) => {
                        self.farewell = Some(End {
                            outcome,
                            report,
                            reason,
                        });
                    }
                    News::Answered(served) => self.answered(served),
                    News::Over(words, outcome, reason) => {
                        self.over = Some((words, end(outcome, reason)))
                    }
                    News::Finished => finished = true,
                }
            }
            let now = self.shared.decisions.now();
            match self
                .client
                .write_available(&self.down.rest()[..self.down_passed])
            {
                Ok((n, blocked)) => {
                    self.down.consume(n);
                    self.down_passed -= n;
                    self.down_blocked = blocked.then(|| self.down_blocked.unwrap_or(now));
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
        match (&self.record, served) {
            (
                Some(ConnectionRecord {
                    tally: Some(tally), ..
                }),
                true,
            ) => tally.passed(),
            (_, true) => {}
            (_, false) => drop(self.shared.metrics.xmpp.sasl_failures.fetch_add(1, Relaxed)),
        }
    }

    /// Asks the client to come again, between two units, then ends both sides.
    fn move_away(&mut self) {
        let Some(backend) = &self.backend else { return };
        let metrics = &self.shared.metrics.xmpp;
        if backend.passage.half() {
            metrics.cut.fetch_add(1, Relaxed);
        }
        if !backend.passage.portable() {
            metrics.moved.fetch_add(1, Relaxed);
        }
        self.leave(
            backend.passage.words(Away::Moved),
            end(Outcome::Cancelled, "moved"),
        );
    }

    /// The connection is to be moved: once the backend has finished, or its time for that is up.
    fn depart(&mut self, now: Micros) {
        let Some(backend) = &mut self.backend else {
            return;
        };
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
        let rest = rest
            && self
                .backend
                .as_ref()
                .is_some_and(|b| b.passage.mirrors_end());
        let to = if rest {
            self.down.rest().len()
        } else {
            self.down_passed
        };
        let mut last = self.down.rest()[..to].to_vec();
        last.append(&mut self.last);
        self.last = last;
        if let Some(backend) = &self.backend {
            let _ = backend.link.socket.shutdown(Shutdown::Both);
        }
        self.report(end);
        self.close();
    }

    /// Gives the client its last words and ends the connection.
    pub fn close(&mut self) {
        self.phase = Phase::Closing(self.now(), false);
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
        if let Some(Backend {
            link, id, passage, ..
        }) = self.backend.take()
        {
            self.session
                .iter()
                .for_each(|session| session.detach_backend());
            drop(link);
            if !passage.portable() {
                self.shared.metrics.xmpp.sessions.fetch_sub(1, Relaxed);
            }
            self.shared
                .decisions
                .connection_ended(id, end.outcome, end.report);
        }
        if let Some(record) = self.record.take() {
            // It was owed an answer, and what it has had now was a failure's.
            if self.answer_by.take().is_some() && self.client_ended.is_none() {
                record.tally.iter().for_each(|tally| tally.failed());
            }
            record.log_end(end.reason);
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

    /// Whether its backend has stopped without a word.
    fn lost(&self, now: Micros) -> bool {
        let (Some(asked), Some(backend)) = (self.asked, &self.backend) else {
            return false;
        };
        backend
            .passage
            .lost(now.saturating_sub(asked), now.saturating_sub(self.heard))
    }

    /// Its backend has brought something back.
    fn hear_back(&mut self) {
        (self.asked, self.heard) = (None, self.shared.decisions.now());
    }

    /// What only time shows.
    pub fn look(&mut self) {
        let now = self.shared.decisions.now();
        if let Some(backend) = self.backend.as_mut().filter(|b| !b.passage.portable()) {
            self.up.rest_room();
            self.down.rest_room();
            backend.passage.rest();
        }
        let past = |since: Micros, limit: Micros| now > since + limit;
        let stuck = self.down_blocked.is_some_and(|since| past(since, STUCK));
        match self.phase {
            Phase::Closing(since, true) if past(since, self.linger) => self.phase = Phase::Done,
            Phase::Closing(..) if stuck => self.phase = Phase::Done,
            Phase::Closing(..) if self.flooded => {
                self.flooded = false;
                self.discard();
            }
            Phase::Up if stuck => self.reset_both(end(Outcome::Cancelled, "client-stuck")),
            Phase::Up if self.client_ended.is_some_and(|at| past(at, LINGER)) => {
                self.part(end(Outcome::Cancelled, "client-left"), true);
            }
            // A machine that vanished says nothing and keeps its connections open: only what stays unanswered
            // shows it.
            Phase::Up if self.lost(now) => {
                let words = self.backend.as_ref().map(|b| b.passage.words(Away::Gone));
                self.leave(
                    words.unwrap_or_default(),
                    end(Outcome::Reset, "backend-silent"),
                );
            }
            // Two looks before it is due: the next one might be too late.
            Phase::Up if self.answer_by.is_some_and(|by| now + 2 * LOOK >= by) => {
                let late = if self.asked.is_some() {
                    Outcome::Timeout
                } else {
                    Outcome::Cancelled
                };
                let words = self.backend.as_ref().map(|b| b.passage.words(Away::Late));
                self.leave(words.unwrap_or_default(), end(late, "answer-late"));
            }
            Phase::Up
                if self
                    .session
                    .as_ref()
                    .is_some_and(|session| session.finishes_before_migration()) =>
            {
                self.depart(now)
            }
            _ => {}
        }
    }
}
