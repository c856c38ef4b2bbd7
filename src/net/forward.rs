//! Passes lines on, both ways, and ends connections: what a connection does once it is up.
//!
//! Threads that wait in reads were measured here first, two for each connection. The platform stops and
//! continues a process that is over its share of the processor, and each time all of them wake: with 300
//! threads the waking alone kept the process over its share for good, and lines were held back for seconds.

use crate::decisions::api::{Micros, Outcome};
use crate::log::log;
use crate::net::attempt::reset;
use crate::net::connection::{end, Backend, Conn, End, Phase, LINGER};
use crate::net::poll::hung_up;
use crate::net::session::{Account, Session};
use crate::platform::takeover::{self, Handover, Successor};
use crate::protocol::buffer::{Buffer, MAX_LINE};
use crate::protocol::{BackendEvent, CloseReason, MigrationReadiness};
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
        let lines = self
            .backend
            .as_ref()
            .is_none_or(|b| b.passage.supports_takeover());
        let now = if lines {
            0
        } else {
            self.up.allocated() + self.down.allocated()
        };
        let before = std::mem::replace(&mut self.held, now);
        if !self.core.held.change(before, now) && self.phase == Phase::Up {
            let words = self
                .backend
                .as_ref()
                .map(|b| b.passage.closing_message(CloseReason::OutOfMemory));
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
        let (Some(backend), Some(account)) = (&self.backend, &self.account) else {
            return Ok(());
        };
        let (backend, id) = (backend.link.socket.clone(), backend.id);
        if !self
            .backend
            .as_ref()
            .is_some_and(|b| b.passage.supports_takeover())
        {
            return Ok(());
        }
        let Some(session) = &self.session else {
            return Ok(());
        };
        let bytes = self.up.unread().len() + self.down.unread().len();
        if bytes > takeover::MAX_BUFFERED_BYTES || !session.give_away() {
            return Ok(());
        }
        let now = self.now();
        let handover = Handover {
            name: account.name.clone(),
            class: account.class.clone(),
            backend: account.backend.clone(),
            key: session.keys.0,
            group: session.keys.1,
            attempts: account.attempts,
            age_ms: account.began.elapsed().as_millis() as u64,
            asked_ms: self.asked.map(|at| now.saturating_sub(at) / 1_000),
            seen: self.down_passed,
            up: self.up.unread().to_vec(),
            down: self.down.unread().to_vec(),
        };
        if let Err(e) = to.send(&handover, &self.client.socket, &backend) {
            session.keep(&backend);
            return Err(e);
        }
        account.log("handed-over");
        self.account = None;
        // The sockets stay with this value until they are no longer waited for (see `settle`): they live on
        // in the other process, and would go on waking this one.
        self.phase = Phase::Done;
        self.core
            .decisions
            .connection_ended(id, Outcome::Cancelled, Vec::new());
        Ok(())
    }

    /// Goes on with a connection that stood in another process.
    pub fn take_over(
        &mut self,
        account: Account,
        session: Arc<Session>,
        backend: Backend,
        handover: Handover,
    ) {
        let now = self.now();
        self.asked = handover.asked_ms.map(|ms| now.saturating_sub(ms * 1_000));
        self.heard = self.asked.unwrap_or(now);
        self.up = Buffer::from_bytes(handover.up);
        (self.down, self.down_passed) = (Buffer::from_bytes(handover.down), handover.seen);
        (self.session, self.account) = (Some(session), Some(account));
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
            .and_then(|session| session.client_has_ended())
        {
            self.core.decisions.client_disconnected(id);
        }
        self.place(false);
    }

    /// Looks whether the client of a request that waits has left, right before something is begun for it. Its end may
    /// be on its way here behind what woke this connection, in the same batch of events or behind a timer; where it has
    /// sent as much as is read ahead, the end stands behind that.
    pub fn look_for_end(&mut self) {
        while self.client_ended.is_none() && self.up.unread().len() < MAX_LINE {
            match self.client.fill(&mut self.up) {
                Ok(n) if n > 0 => {}
                Err(e) if timed_out(&e) => return,
                _ => return self.client_gone(),
            }
        }
        if self.client_ended.is_none() && hung_up(&self.client.socket) {
            self.client_gone();
        }
    }

    fn read_backend(&mut self) {
        let Some(backend) = &mut self.backend else {
            return;
        };
        match backend.link.fill(&mut self.down) {
            Ok(0) => self.backend_ended(),
            Ok(_) => {
                if !backend.passage.reports_responses() {
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
                let words = backend.passage.closing_message(CloseReason::BackendLost);
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
            match backend
                .passage
                .on_client_data(&self.up.unread()[self.up_passed..])
            {
                Ok(passed) => {
                    fresh = passed.bytes;
                    self.asks |= passed.expects_response;
                }
                // What came before it goes on first.
                Err(_) if self.up_passed > 0 => {}
                Err(fault) => {
                    log(&format!("client {}: {}", self.name(), fault.description));
                    return self
                        .leave(fault.closing_message, end(Outcome::Cancelled, fault.reason));
                }
            }
            self.up_passed += fresh;
            if self.up_passed == 0 && !blocked {
                break;
            }
            if self.asks {
                self.asked.get_or_insert(self.core.decisions.now());
            }
            match backend.link.write_some(&self.up.unread()[..self.up_passed]) {
                Ok((n, full)) => {
                    self.up.consume(n);
                    self.up_passed -= n;
                    blocked = full;
                }
                // That the backend is gone is noticed on its own side.
                Err(_) => {
                    self.up.clear();
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
    pub fn flush_down(&mut self) {
        if let Phase::Closing(since, false) = self.phase {
            match self.client.write_some(&self.last) {
                Ok((n, blocked)) => {
                    self.last.drain(..n);
                    self.down_blocked = blocked.then_some(since);
                    if !blocked {
                        self.client.end_sending();
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
            let unread = &self.down.unread()[self.down_passed..];
            match backend
                .passage
                .on_backend_data(unread, &self.core.terms().rules, &mut news)
            {
                Ok(n) => fresh = n,
                Err(_) if self.down_passed > 0 => {}
                Err(fault) => {
                    log(&format!(
                        "backend of {}: {}",
                        self.name(),
                        fault.description
                    ));
                    return self.leave(fault.closing_message, end(Outcome::Reset, fault.reason));
                }
            }
            self.down_passed += fresh;
            for news in news {
                match news {
                    BackendEvent::LoadSample(x) => {
                        let note =
                            self.core
                                .notes
                                .classify(server, id, self.core.decisions.now(), x);
                        self.core.decisions.record_sample(id, note);
                    }
                    BackendEvent::Response => self.hear_back(),
                    BackendEvent::EndAnnounced(outcome, report, reason) => {
                        self.farewell = Some(End {
                            outcome,
                            report,
                            reason,
                        });
                    }
                    BackendEvent::Answered(served) => self.answered(served),
                    BackendEvent::CloseAfterForwarding(words, outcome, reason) => {
                        self.over = Some((words, end(outcome, reason)))
                    }
                    BackendEvent::Finished => finished = true,
                }
            }
            let now = self.core.decisions.now();
            match self
                .client
                .write_some(&self.down.unread()[..self.down_passed])
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
        match (&self.account, served) {
            (
                Some(Account {
                    tally: Some(tally), ..
                }),
                true,
            ) => tally.connected(),
            (_, true) => {}
            (_, false) => drop(self.core.metrics.xmpp.sasl_failures.fetch_add(1, Relaxed)),
        }
    }

    /// Asks the client to come again, between two units, then ends both sides.
    fn move_away(&mut self) {
        let Some(backend) = &self.backend else { return };
        let metrics = &self.core.metrics.xmpp;
        if backend.passage.has_partial_unit() {
            metrics.truncated_stanzas.fetch_add(1, Relaxed);
        }
        if !backend.passage.supports_takeover() {
            metrics.migrated.fetch_add(1, Relaxed);
        }
        self.leave(
            backend.passage.closing_message(CloseReason::Migrated),
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
        match backend.passage.prepare_migration() {
            MigrationReadiness::Now => self.move_away(),
            MigrationReadiness::Later(within) => drop(self.finish_by.get_or_insert(now + within)),
            MigrationReadiness::AfterBackendFinishes { message, timeout } => {
                // Half a unit of the client's is not on its way: nothing of it went on.
                self.up.truncate_and_append(self.up_passed, &message);
                self.up_passed += message.len();
                (self.parting, self.finish_by) = (true, Some(now + timeout));
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
            self.down.unread().len()
        } else {
            self.down_passed
        };
        let mut last = self.down.unread()[..to].to_vec();
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
            self.session.iter().for_each(|session| session.release());
            drop(link);
            if !passage.supports_takeover() {
                self.core.metrics.xmpp.sessions.fetch_sub(1, Relaxed);
            }
            self.core
                .decisions
                .connection_ended(id, end.outcome, end.report);
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

    /// Whether its backend has stopped without a word.
    fn lost(&self, now: Micros) -> bool {
        let (Some(asked), Some(backend)) = (self.asked, &self.backend) else {
            return false;
        };
        backend
            .passage
            .is_backend_lost(now.saturating_sub(asked), now.saturating_sub(self.heard))
    }

    /// Its backend has brought something back.
    fn hear_back(&mut self) {
        (self.asked, self.heard) = (None, self.core.decisions.now());
    }

    /// What only time shows.
    pub fn look(&mut self) {
        let now = self.core.decisions.now();
        if let Some(backend) = self
            .backend
            .as_mut()
            .filter(|b| !b.passage.supports_takeover())
        {
            self.up.shrink_if_empty();
            self.down.shrink_if_empty();
            backend.passage.release_idle_memory();
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
                let words = self
                    .backend
                    .as_ref()
                    .map(|b| b.passage.closing_message(CloseReason::BackendLost));
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
                let words = self
                    .backend
                    .as_ref()
                    .map(|b| b.passage.closing_message(CloseReason::AnswerTimeout));
                self.leave(words.unwrap_or_default(), end(late, "answer-late"));
            }
            Phase::Up
                if self
                    .session
                    .as_ref()
                    .is_some_and(|session| session.departs()) =>
            {
                self.depart(now)
            }
            _ => {}
        }
    }
}
