//! Established connections: forwards bytes both ways, migrates and hands over connections, and ends
//! them.
//!
//! There is no thread per direction. With two threads per connection that block in reads, all of
//! them wake each time that the platform stops and continues a process over its processor share.
//! With 300 threads the wake-ups alone kept the process over its share, and lines were delayed by
//! seconds.

use crate::decisions::api::{Micros, Outcome};
use crate::log::log;
use crate::net::attempt::reset_on_close;
use crate::net::connection::{BackendSide, Connection, ConnectionEnd, Phase, Withdrawal, LINGER};
use crate::net::session::{ConnectionRecord, Session};
use crate::platform::takeover::{self, Handover, Successor};
use crate::protocol::buffer::Buffer;
use crate::protocol::{BackendEvent, CloseReason, MigrationReadiness};
use crate::sys::timed_out;
use std::io::{self, ErrorKind, Read};
use std::net::Shutdown;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;

/// The interval of the checks for timeouts of connections, in microseconds.
pub const CHECK_INTERVAL: Micros = 200_000;
/// The longest wait for a client that accepts no bytes, in microseconds.
const STUCK_CLIENT_TIMEOUT: Micros = 5_000_000;
/// Bytes that are discarded at once from a client that was sent its last bytes. More input waits
/// for the next periodic check, so that a client that sends at full speed does not use up the
/// processor.
const DISCARD_BYTES: usize = 8192;

impl Connection {
    /// The memory that its buffers hold, in bytes, as far as the budget of all connections counts it:
    /// those of the line protocol are small and not counted.
    fn budgeted_bytes(&self) -> usize {
        if let Some(attempt) = self.pending.as_ref().and_then(|p| p.attempt.as_ref()) {
            return attempt.excess_buffered_bytes();
        }
        match &self.backend {
            Some(backend) if !backend.forwarder.supports_takeover() => {
                self.to_backend.allocated()
                    + self.to_client.allocated()
                    + self.client.buffered_tls_bytes()
                    + backend.link.buffered_tls_bytes()
            }
            _ => 0,
        }
    }

    /// Updates the memory that its buffers hold in the budget of all connections. An established
    /// connection that exceeds the budget is ended, and so is an attempt.
    pub fn update_memory_budget(&mut self) {
        if self.count_memory() {
            return;
        }
        match self.phase {
            Phase::Established => self.close_out_of_memory(),
            Phase::Pending => self.fail_attempt_out_of_memory(),
            Phase::Handshake | Phase::Closing(..) | Phase::Closed => return,
        }
        self.count_memory();
    }

    /// Updates its part of the budget; false where the budget is exceeded.
    fn count_memory(&mut self) -> bool {
        let now = self.budgeted_bytes();
        let before = std::mem::replace(&mut self.counted_memory, now);
        self.shared.long_unit_memory.replace(before, now)
    }

    fn close_out_of_memory(&mut self) {
        let message = self
            .backend
            .as_ref()
            .map(|b| b.forwarder.closing_message(CloseReason::OutOfMemory));
        self.close_with(
            message.unwrap_or_default(),
            ConnectionEnd::new(Outcome::Cancelled, "no-memory"),
        );
    }

    fn fail_attempt_out_of_memory(&mut self) {
        let attempt = self.pending.as_mut().and_then(|p| p.attempt.as_mut());
        if let Some(attempt) = attempt {
            attempt.end_out_of_memory();
            self.advance_request(false);
        }
    }

    /// Hands the connection over to another process, with both sockets, and closes it here. A
    /// connection that cannot be handed over now is left as it is. Neither side is told, so nothing
    /// may be shut down here after that.
    pub fn hand_over(&mut self, to: &Successor) -> io::Result<()> {
        let (Phase::Established, None, None) =
            (self.phase, self.client_ended_at, &self.announced_end)
        else {
            return Ok(());
        };
        let (Some(backend), Some(record)) = (&self.backend, &self.record) else {
            return Ok(());
        };
        let (backend, id) = (backend.link.socket.clone(), backend.id);
        if !self
            .backend
            .as_ref()
            .is_some_and(|b| b.forwarder.supports_takeover())
        {
            return Ok(());
        }
        let Some(session) = &self.session else {
            return Ok(());
        };
        let bytes = self.to_backend.unread().len() + self.to_client.unread().len();
        if bytes > takeover::MAX_BUFFERED_BYTES || !session.begin_handover() {
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
            asked_ms: self
                .unanswered_since
                .map(|at| now.saturating_sub(at) / 1_000),
            heard_ms: Some(now.saturating_sub(self.last_heard) / 1_000),
            seen: self.to_client_ready,
            up: self.to_backend.unread().to_vec(),
            down: self.to_client.unread().to_vec(),
        };
        if let Err(e) = to.send(&handover, &self.client.socket, &backend) {
            session.undo_handover(&backend);
            return Err(e);
        }
        session.complete_handover();
        record.log_end("handed-over");
        self.record = None;
        // This value keeps the sockets until `update_interest` has ended the watch on them: they
        // stay open in the other process, so the kernel would continue to report their events here.
        self.phase = Phase::Closed;
        self.shared
            .decisions
            .connection_ended(id, Outcome::Cancelled, Vec::new());
        Ok(())
    }

    /// Continues a connection that another process has handed over.
    pub fn take_over(
        &mut self,
        record: ConnectionRecord,
        session: Arc<Session>,
        backend: BackendSide,
        handover: Handover,
    ) {
        let now = self.now();
        let ago = |ms: u64| now.saturating_sub(ms.saturating_mul(1_000));
        self.unanswered_since = handover.asked_ms.map(ago);
        let heard_at = handover.heard_ms.map(ago);
        self.last_heard = heard_at.or(self.unanswered_since).unwrap_or(now);
        self.to_backend = Buffer::from_bytes(handover.up);
        (self.to_client, self.to_client_ready) = (Buffer::from_bytes(handover.down), handover.seen);
        (self.session, self.record) = (Some(session), Some(record));
        (self.backend, self.phase) = (Some(backend), Phase::Established);
        self.flush_to_client();
        self.flush_to_backend();
    }

    /// Handles an event of the client's socket.
    pub fn client_ready(&mut self, read: bool, write: bool) {
        if write && self.to_client_blocked_since.is_some() {
            self.flush_to_client();
        }
        if read {
            match self.phase {
                Phase::Established => self.read_client(),
                Phase::Closing(..) => self.discard_input(),
                Phase::Handshake | Phase::Pending | Phase::Closed => {}
            }
        }
    }

    /// Handles an event of the backend's socket.
    pub fn backend_ready(&mut self, read: bool, write: bool) {
        if self.phase == Phase::Established && self.to_backend_blocked && write {
            self.flush_to_backend();
        }
        if self.phase == Phase::Established && read {
            self.read_backend();
        }
    }

    fn read_client(&mut self) {
        let ended = match self.client.read_into(&mut self.to_backend) {
            Ok(n) if n > 0 => return self.flush_to_backend(),
            Err(e) if timed_out(&e) => return,
            ended => ended,
        };
        self.client_ended_at = Some(self.now());
        match ended {
            Ok(_) => self.flush_to_backend(),
            Err(_) => self.reset_both(ConnectionEnd::new(Outcome::Cancelled, "client-reset")),
        }
    }

    /// Withdraws a request: nothing more begins for it, and the attempt in progress is cancelled.
    /// [`Connection::advance_request`] then ends it.
    fn withdraw_request(&mut self, why: Withdrawal) {
        tracing::debug!(id = %self.connection_id(), ?why, "withdrawn");
        if let Some(pending) = &mut self.pending {
            pending.withdrawal.get_or_insert(why);
        }
        if let Some(id) = self
            .session
            .as_ref()
            .and_then(|session| session.set_client_gone())
        {
            self.shared.decisions.client_disconnected(id);
        }
    }

    /// Handles an event of the socket of a client whose request is pending.
    pub fn pending_client_ready(&mut self) {
        self.check_client_waits();
        self.advance_request(false);
    }

    /// Checks whether the client of a pending request is there and waits, and withdraws its request
    /// otherwise. Called when its socket is ready, and right before anything is sent on its behalf:
    /// its end or its input may be later in the same batch of events, or behind the timer that woke
    /// this connection.
    ///
    /// Input is never left unread meanwhile, since the end of the client would be hidden behind it.
    /// Each call reads once, so that a client that sends without pause cannot occupy the thread.
    pub fn check_client_waits(&mut self) {
        if self.client_ended_at.is_some() {
            return;
        }
        match self.client.read_into(&mut self.to_backend) {
            Ok(n) if n > 0 => {
                self.to_backend.clear();
                self.withdraw_request(Withdrawal::EarlyInput);
            }
            Err(e) if timed_out(&e) => {}
            _ => {
                self.client_ended_at = Some(self.now());
                self.withdraw_request(Withdrawal::ClientLeft);
            }
        }
    }

    fn read_backend(&mut self) {
        let Some(backend) = &mut self.backend else {
            return;
        };
        match backend.link.read_into(&mut self.to_client) {
            Ok(0) => self.backend_ended(),
            Ok(_) => {
                if !backend.forwarder.reports_responses() {
                    self.record_backend_activity();
                }
                self.flush_to_client();
            }
            Err(e) if timed_out(&e) => {}
            Err(_) if !backend.forwarder.mirrors_end() => self.backend_ended(),
            Err(_) => {
                // A reset is passed on to the client as a reset.
                let end = self
                    .announced_end
                    .take()
                    .unwrap_or(ConnectionEnd::new(Outcome::Reset, "backend-reset"));
                self.reset_both(end);
            }
        }
    }

    /// Handles a backend that has closed its side.
    fn backend_ended(&mut self) {
        let Some(backend) = &self.backend else { return };
        let mirrors = backend.forwarder.mirrors_end();
        let unannounced = match self.client_ended_at {
            Some(_) => ConnectionEnd::new(Outcome::Cancelled, "client-left"),
            None => ConnectionEnd::new(Outcome::Reset, "backend-ended"),
        };
        match self.announced_end.take() {
            Some(announced) if !self.finishing => self.end_backend(announced, true),
            _ if self.finishing || self.is_migrating() => self.migrate_now(),
            None if !mirrors && self.client_ended_at.is_none() => {
                let message = backend.forwarder.closing_message(CloseReason::BackendLost);
                self.close_with(message, unannounced);
            }
            announced => self.end_backend(announced.unwrap_or(unannounced), true),
        }
    }

    /// Forwards to the backend what the client has sent.
    pub fn flush_to_backend(&mut self) {
        let Some(backend) = &mut self.backend else {
            return;
        };
        let mut blocked = std::mem::take(&mut self.to_backend_blocked);
        loop {
            let mut fresh = 0;
            match backend
                .forwarder
                .on_client_data(&self.to_backend.unread()[self.to_backend_ready..])
            {
                Ok(passed) => {
                    fresh = passed.bytes;
                    self.expects_answer |= passed.expects_response;
                }
                // The bytes before the invalid ones are forwarded first.
                Err(_) if self.to_backend_ready > 0 => {}
                Err(violation) => {
                    log(&format!(
                        "client {}: {}",
                        self.connection_id(),
                        violation.description
                    ));
                    return self.close_with(
                        violation.closing_message,
                        ConnectionEnd::new(Outcome::Cancelled, violation.reason),
                    );
                }
            }
            self.to_backend_ready += fresh;
            if self.to_backend_ready == 0 && !blocked {
                break;
            }
            if self.expects_answer {
                self.unanswered_since
                    .get_or_insert(self.shared.decisions.now());
            }
            match backend
                .link
                .write_available(&self.to_backend.unread()[..self.to_backend_ready])
            {
                Ok((n, is_blocked)) => {
                    self.to_backend.consume(n);
                    self.to_backend_ready -= n;
                    blocked = is_blocked;
                }
                // A backend that is gone is handled when its socket is read.
                Err(_) => {
                    self.to_backend.clear();
                    (self.to_backend_ready, blocked) = (0, false);
                }
            }
            self.expects_answer &= self.to_backend_ready > 0;
            if blocked || fresh == 0 {
                break;
            }
        }
        self.to_backend_blocked = blocked;
        if self.client_ended_at.is_some() && !self.to_backend_blocked {
            backend.link.shutdown_write();
        }
    }

    /// Forwards to the client what the backend has sent, and acts on what it means. While the
    /// connection is closing, sends the last bytes instead.
    pub fn flush_to_client(&mut self) {
        if let Phase::Closing(since, false) = self.phase {
            match self.client.write_available(&self.last_bytes) {
                Ok((n, blocked)) => {
                    self.last_bytes.drain(..n);
                    self.to_client_blocked_since = blocked.then_some(since);
                    if !blocked {
                        self.client.shutdown_write();
                        self.phase = Phase::Closing(self.now(), true);
                        self.session
                            .iter()
                            .for_each(|session| session.last_bytes_sent());
                    }
                }
                Err(_) => self.phase = Phase::Closed,
            }
            return;
        }
        let mut finished = false;
        loop {
            let Some(backend) = &mut self.backend else {
                return;
            };
            let (id, endpoint_id) = (backend.id, backend.endpoint_id);
            let (mut fresh, mut events) = (0, Vec::new());
            let unread = &self.to_client.unread()[self.to_client_ready..];
            match backend.forwarder.on_backend_data(
                unread,
                &self.shared.settings().rules,
                &mut events,
            ) {
                Ok(n) => fresh = n,
                Err(_) if self.to_client_ready > 0 => {}
                Err(violation) => {
                    log(&format!(
                        "backend of {}: {}",
                        self.connection_id(),
                        violation.description
                    ));
                    return self.close_with(
                        violation.closing_message,
                        ConnectionEnd::new(Outcome::Reset, violation.reason),
                    );
                }
            }
            self.to_client_ready += fresh;
            for event in events {
                match event {
                    BackendEvent::LoadSample(x) => {
                        let sample = self.shared.load_samples.classify(
                            endpoint_id,
                            id,
                            self.shared.decisions.now(),
                            x,
                        );
                        self.shared.decisions.record_sample(id, sample);
                    }
                    BackendEvent::Response => self.record_backend_activity(),
                    BackendEvent::EndAnnounced(outcome, report, reason) => {
                        self.announced_end = Some(ConnectionEnd {
                            outcome,
                            report,
                            reason,
                        });
                    }
                    BackendEvent::Answered(served) => self.count_final_answer(served),
                    BackendEvent::CloseAfterForwarding(message, outcome, reason) => {
                        self.end_after_flush = Some((message, ConnectionEnd::new(outcome, reason)))
                    }
                    BackendEvent::Finished => finished = true,
                }
            }
            let now = self.shared.decisions.now();
            match self
                .client
                .write_available(&self.to_client.unread()[..self.to_client_ready])
            {
                Ok((n, blocked)) => {
                    self.to_client.consume(n);
                    self.to_client_ready -= n;
                    self.to_client_blocked_since =
                        blocked.then(|| self.to_client_blocked_since.unwrap_or(now));
                }
                Err(_) => {
                    return self.reset_both(ConnectionEnd::new(Outcome::Cancelled, "client-reset"))
                }
            }
            if finished {
                return self.migrate_now();
            }
            if let Some((message, end)) = self.end_after_flush.take() {
                return self.close_with(message, end);
            }
            if self.to_client_blocked_since.is_some() || fresh == 0 {
                return;
            }
        }
    }

    /// Counts the client's final answer in the metrics.
    fn count_final_answer(&mut self, served: bool) {
        self.answer_deadline = None;
        match (&self.record, served) {
            (
                Some(ConnectionRecord {
                    tally: Some(tally), ..
                }),
                true,
            ) => tally.connected(),
            (_, true) => {}
            (_, false) => drop(self.shared.metrics.xmpp.sasl_failures.fetch_add(1, Relaxed)),
        }
    }

    /// Asks the client to reconnect, between two protocol units, then ends both sides.
    pub fn migrate_now(&mut self) {
        let Some(backend) = &self.backend else { return };
        let metrics = &self.shared.metrics.xmpp;
        if backend.forwarder.has_partial_unit() {
            metrics.truncated_stanzas.fetch_add(1, Relaxed);
        }
        if !backend.forwarder.supports_takeover() {
            metrics.migrated.fetch_add(1, Relaxed);
        }
        self.close_with(
            backend.forwarder.closing_message(CloseReason::Migrated),
            ConnectionEnd::new(Outcome::Cancelled, "moved"),
        );
    }

    /// Migrates the connection once the backend has finished, or at the deadline for that.
    fn begin_migration(&mut self, now: Micros) {
        let Some(backend) = &mut self.backend else {
            return;
        };
        if let Some(by) = self
            .finish_deadline
            .filter(|by| self.finishing || now >= *by)
        {
            if now >= by {
                self.migrate_now();
            }
            return;
        }
        match backend.forwarder.prepare_migration() {
            MigrationReadiness::Now => self.migrate_now(),
            MigrationReadiness::Later(timeout) => {
                _ = self.finish_deadline.get_or_insert(now + timeout);
            }
            MigrationReadiness::AfterBackendFinishes { message, timeout } => {
                // A partial unit of the client is replaced: none of its bytes were forwarded.
                self.to_backend
                    .truncate_and_append(self.to_backend_ready, &message);
                self.to_backend_ready += message.len();
                (self.finishing, self.finish_deadline) = (true, Some(now + timeout));
                self.flush_to_backend();
            }
        }
    }

    /// Ends both sides after the client was sent the bytes that may be forwarded, and this message.
    fn close_with(&mut self, message: Vec<u8>, end: ConnectionEnd) {
        self.last_bytes = message;
        self.end_backend(end, false);
    }

    /// Ends the backend's side. The client is sent the bytes that may be forwarded, then the last
    /// bytes. With `partial_unit` it is also sent an incomplete unit of the backend, if the
    /// protocol shows clients the end of their backend as it was.
    fn end_backend(&mut self, end: ConnectionEnd, partial_unit: bool) {
        let partial_unit = partial_unit
            && self
                .backend
                .as_ref()
                .is_some_and(|b| b.forwarder.mirrors_end());
        let length = if partial_unit {
            self.to_client.unread().len()
        } else {
            self.to_client_ready
        };
        let mut bytes = self.to_client.unread()[..length].to_vec();
        bytes.append(&mut self.last_bytes);
        self.last_bytes = bytes;
        if let Some(backend) = &self.backend {
            let _ = backend.link.socket.shutdown(Shutdown::Both);
        }
        self.report_end(end);
        self.close();
    }

    /// Sends the client its last bytes and closes the connection. From here on its request is not
    /// open any more.
    pub fn close(&mut self) {
        self.phase = Phase::Closing(self.now(), false);
        // Nothing but the last bytes is sent from here on.
        (self.to_backend, self.to_client) = (Buffer::default(), Buffer::default());
        self.session
            .iter()
            .for_each(|session| session.end_request());
        if self.client_ended_at.is_some() && self.last_bytes.is_empty() {
            self.phase = Phase::Closed;
        } else {
            self.flush_to_client();
        }
    }

    /// Closes a lingering connection now, because others wait for its descriptor.
    pub fn end_linger(&mut self) {
        if matches!(self.phase, Phase::Closing(..)) {
            self.phase = Phase::Closed;
        }
    }

    /// Closes both sides by a reset.
    fn reset_both(&mut self, end: ConnectionEnd) {
        reset_on_close(&self.client.socket);
        if let Some(backend) = &self.backend {
            reset_on_close(&backend.link.socket);
        }
        self.report_end(end);
        self.phase = Phase::Closed;
    }

    /// Reports the end of the connection to the decisions and the log, and closes the backend's
    /// socket.
    fn report_end(&mut self, end: ConnectionEnd) {
        if let Some(BackendSide {
            link,
            id,
            forwarder,
            ..
        }) = self.backend.take()
        {
            self.session
                .iter()
                .for_each(|session| session.detach_backend());
            drop(link);
            if !forwarder.supports_takeover() {
                self.shared.metrics.xmpp.sessions.fetch_sub(1, Relaxed);
            }
            self.shared
                .decisions
                .connection_ended(id, end.outcome, end.report);
        }
        if let Some(record) = self.record.take() {
            // The client had no final answer yet, so it was answered with a failure.
            if self.answer_deadline.take().is_some() && self.client_ended_at.is_none() {
                record.tally.iter().for_each(|tally| tally.failed());
            }
            record.log_end(end.reason);
        }
    }

    /// Discards input of a client that was sent its last bytes.
    fn discard_input(&mut self) {
        match (&*self.client.socket).read(&mut [0; DISCARD_BYTES]) {
            Ok(DISCARD_BYTES) => self.discard_paused = true,
            Ok(n) if n > 0 => {}
            Err(e) if timed_out(&e) || e.kind() == ErrorKind::Interrupted => {}
            _ => self.phase = Phase::Closed,
        }
    }

    /// Whether the backend has been silent for so long that it counts as lost.
    fn backend_is_silent(&self, now: Micros) -> bool {
        let (Some(unanswered_since), Some(backend)) = (self.unanswered_since, &self.backend) else {
            return false;
        };
        backend.forwarder.is_backend_lost(
            now.saturating_sub(unanswered_since),
            now.saturating_sub(self.last_heard),
        )
    }

    /// Records that the backend has sent something.
    fn record_backend_activity(&mut self) {
        (self.unanswered_since, self.last_heard) = (None, self.shared.decisions.now());
    }

    /// Checks timeouts, and releases memory that an idle connection does not need. Called
    /// periodically.
    pub fn check_timeouts(&mut self) {
        let now = self.shared.decisions.now();
        if let Some(backend) = self
            .backend
            .as_mut()
            .filter(|b| !b.forwarder.supports_takeover())
        {
            self.to_backend.shrink_if_empty();
            self.to_client.shrink_if_empty();
            backend.forwarder.release_idle_memory();
        }
        let past = |since: Micros, limit: Micros| now > since + limit;
        let stuck = self
            .to_client_blocked_since
            .is_some_and(|since| past(since, STUCK_CLIENT_TIMEOUT));
        match self.phase {
            Phase::Closing(since, true) if past(since, self.linger) => self.phase = Phase::Closed,
            Phase::Closing(..) if stuck => self.phase = Phase::Closed,
            Phase::Closing(..) if self.discard_paused => {
                self.discard_paused = false;
                self.discard_input();
            }
            Phase::Established if stuck => {
                self.reset_both(ConnectionEnd::new(Outcome::Cancelled, "client-stuck"))
            }
            Phase::Established if self.client_ended_at.is_some_and(|at| past(at, LINGER)) => {
                self.end_backend(ConnectionEnd::new(Outcome::Cancelled, "client-left"), true);
            }
            // A machine that vanished sends nothing and leaves its connections open. Only
            // unanswered lines show it.
            Phase::Established if self.backend_is_silent(now) => {
                let message = self
                    .backend
                    .as_ref()
                    .map(|b| b.forwarder.closing_message(CloseReason::BackendLost));
                self.close_with(
                    message.unwrap_or_default(),
                    ConnectionEnd::new(Outcome::Reset, "backend-silent"),
                );
            }
            // Two intervals before the deadline, since the next check might be too late.
            Phase::Established
                if self
                    .answer_deadline
                    .is_some_and(|by| now + 2 * CHECK_INTERVAL >= by) =>
            {
                let late = if self.unanswered_since.is_some() {
                    Outcome::Timeout
                } else {
                    Outcome::Cancelled
                };
                let message = self
                    .backend
                    .as_ref()
                    .map(|b| b.forwarder.closing_message(CloseReason::AnswerTimeout));
                self.close_with(
                    message.unwrap_or_default(),
                    ConnectionEnd::new(late, "answer-late"),
                );
            }
            Phase::Established
                if self
                    .session
                    .as_ref()
                    .is_some_and(|session| session.finishes_before_migration()) =>
            {
                self.begin_migration(now)
            }
            _ => {}
        }
    }
}
