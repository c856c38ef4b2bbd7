//! The first phase of a connection: TLS and what the client sends up to and with its request.
//!
//! Guards against: a client that sends nothing, half a line, or without pause, and a TLS handshake
//! that stalls. Each of these occupies a connection slot and no thread, and delays no other client.

use crate::decisions::api::Micros;
use crate::log::log;
use crate::net::admission::WaitingConnection;
use crate::net::connection::{Connection, Handshake, Phase, DISMISSED_LINGER};
use crate::net::session::ConnectionRecord;
use crate::net::shared::SharedState;
use crate::protocol::line::LineRequestReader;
use crate::protocol::xmpp::client_negotiation;
use crate::protocol::{Interruption, ReaderAction, RequestReader};
use crate::sys::timed_out;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;

/// The longest wait for a client to accept the bytes of an answer, in microseconds.
const WRITE_TIMEOUT: Micros = 1_000_000;

/// The protocol of a listener's clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerProtocol {
    /// The line protocol.
    Line,
    /// XMPP that begins unencrypted and offers STARTTLS.
    Xmpp,
    /// XMPP that begins with TLS.
    XmppTls,
}

impl ListenerProtocol {
    /// The name of the front in the log.
    fn front(self) -> &'static str {
        if self == ListenerProtocol::Line {
            "line"
        } else {
            "xmpp"
        }
    }
}

/// The protocol's state machine for a client of this listener; none where a reload has removed the
/// front meanwhile.
fn new_reader(shared: &SharedState, protocol: ListenerProtocol) -> Option<Box<dyn RequestReader>> {
    let now = shared.decisions.now();
    if protocol == ListenerProtocol::Line {
        return Some(Box::new(LineRequestReader::new(now)));
    }
    let mut ids = [0; 3];
    for id in &mut ids {
        *id = getrandom::u64()
            .inspect_err(|e| log(&format!("xmpp: no random numbers: {e}")))
            .ok()?;
    }
    let settings = shared.xmpp()?.settings.clone();
    Some(Box::new(client_negotiation::ClientNegotiation::new(
        settings,
        ids,
        protocol == ListenerProtocol::XmppTls,
        now,
    )))
}

impl Handshake {
    /// The time at which it must be called even if nothing was received.
    pub fn next_timer(&self) -> Micros {
        let deadline = self.reader.deadline();
        self.blocked_since
            .map_or(deadline, |since| deadline.min(since + WRITE_TIMEOUT))
    }
}

impl Connection {
    /// The memory in which a connection without a request buffers input, in bytes.
    fn handshake_bytes(&self, handshake: &Handshake) -> usize {
        self.to_backend.allocated()
            + self.client.buffered_tls_bytes()
            + handshake.reader.buffered_bytes()
    }

    /// Updates the memory that a connection without a request counts with.
    pub fn update_handshake_memory(&self) {
        if let Some(handshake) = &self.handshake {
            let bytes = self.handshake_bytes(handshake);
            handshake.waiting.set_buffered_bytes(bytes);
        }
    }

    /// Ends a connection without a request because of the memory that it takes. The client is sent
    /// an answer where it can read one.
    pub fn end_for_memory(&mut self) {
        let in_tls_handshake = self.handshake.as_ref().is_some_and(|h| h.in_tls_handshake);
        if in_tls_handshake {
            self.handshake = None;
            return self.close_silently("no-memory");
        }
        self.dismiss();
    }

    /// Begins the connection of a client that this listener has accepted; none where it cannot be
    /// served.
    pub fn accept(
        shared: &Arc<SharedState>,
        waiting: WaitingConnection,
        protocol: ListenerProtocol,
    ) -> Option<Connection> {
        let reader = new_reader(shared, protocol)?;
        waiting
            .stream
            .set_nonblocking(true)
            .and_then(|()| waiting.stream.set_nodelay(true))
            .ok()?;
        let mut conn = Connection::new(shared, waiting.number(), waiting.stream.clone());
        conn.record = Some(ConnectionRecord::new(protocol.front()));
        let (unsent, blocked_since) = (Vec::new(), None);
        let mut handshake = Handshake {
            waiting,
            reader,
            in_tls_handshake: false,
            reports_tls: false,
            unsent,
            blocked_since,
        };
        let secured = protocol != ListenerProtocol::XmppTls
            || conn.start_client_tls(&mut handshake, None, false);
        conn.handshake = Some(Box::new(handshake));
        if secured {
            conn.continue_handshake();
        }
        Some(conn)
    }

    /// Starts TLS with the certificate of this domain. Without a certificate the connection is
    /// closed and false is returned.
    fn start_client_tls(
        &mut self,
        handshake: &mut Handshake,
        domain: Option<&str>,
        reports_tls: bool,
    ) -> bool {
        let Some(tls) = self
            .shared
            .xmpp()
            .and_then(|xmpp| xmpp.tls.server_connection(domain))
        else {
            self.close_silently("no-tls");
            return false;
        };
        self.client.start_tls(tls);
        (handshake.in_tls_handshake, handshake.reports_tls) = (true, reports_tls);
        true
    }

    /// Ends a connection without a request, to make room or because the process stops. The client
    /// is sent an answer, since its request may be on the way at this moment. A request that has
    /// already arrived is read and admitted as usual.
    pub fn dismiss(&mut self) {
        if self.phase == Phase::Handshake {
            self.continue_handshake();
        }
        let Some(mut handshake) = self.handshake.take() else {
            return;
        };
        let (last_bytes, reason) = handshake
            .reader
            .interrupt(&self.to_backend, Interruption::Dismissed);
        self.hold_closing_slot(handshake.waiting);
        self.linger = DISMISSED_LINGER;
        // Where earlier bytes were sent in part, or TLS is not established, an answer would be
        // garbled, so none is sent.
        let can_answer = handshake.unsent.is_empty() && !handshake.in_tls_handshake;
        self.reject(if can_answer { last_bytes } else { Vec::new() }, reason);
    }

    /// Closes the connection without sending anything more. An empty reason is not logged.
    fn close_silently(&mut self, reason: &str) {
        if let Some(record) = self.record.take().filter(|_| !reason.is_empty()) {
            record.log_end(reason);
        }
        self.phase = Phase::Closed;
    }

    /// Reads what the client has sent and acts on it.
    pub fn continue_handshake(&mut self) {
        let Some(mut handshake) = self.handshake.take() else {
            return;
        };
        if self.advance_handshake(&mut handshake) {
            // A record of TLS may have been long, and the reader keeps what it has read itself.
            self.to_backend.shrink_if_empty();
            self.handshake = Some(handshake);
        } else if self.phase != Phase::Closed && self.session.is_none() {
            self.hold_closing_slot(handshake.waiting);
        }
    }

    /// Continues the handshake; true while it is not complete.
    fn advance_handshake(&mut self, h: &mut Handshake) -> bool {
        // The socket is read once per call, so that a client that sends at full speed does not
        // delay the others.
        let mut has_read = false;
        loop {
            let now = self.now();
            if h.in_tls_handshake {
                match self.client.continue_tls_handshake() {
                    Ok(true) => {
                        // Bytes right after the handshake may be in the TLS buffers already, where
                        // no socket event reports them: read again.
                        (h.in_tls_handshake, has_read) = (false, false);
                        if h.reports_tls {
                            h.reader.tls_established(self.now());
                        }
                    }
                    Ok(false) if now < h.reader.deadline() => return true,
                    failed => {
                        self.shared.metrics.xmpp.tls_failures.fetch_add(1, Relaxed);
                        self.close_silently(if failed.is_ok() {
                            "tls-late"
                        } else {
                            "tls-failed"
                        });
                        return false;
                    }
                }
            }
            if !h.unsent.is_empty() || h.blocked_since.is_some() {
                match self.client.write_available(&h.unsent) {
                    Ok((n, true)) => {
                        h.unsent.drain(..n);
                        let since = *h.blocked_since.get_or_insert(now);
                        if now >= since + WRITE_TIMEOUT {
                            self.close_silently("");
                        }
                        return self.phase != Phase::Closed;
                    }
                    Ok((_, false)) => (h.unsent, h.blocked_since) = (Vec::new(), None),
                    Err(_) => {
                        self.close_silently("");
                        return false;
                    }
                }
            }
            let rules = self.shared.settings().rules.clone();
            match h.reader.next_action(&mut self.to_backend, now, &rules) {
                ReaderAction::Read => {}
                ReaderAction::Send(bytes) => {
                    h.waiting.record_activity();
                    h.unsent = bytes;
                    continue;
                }
                ReaderAction::StartTls(domain) => {
                    if !self.start_client_tls(h, Some(&domain), true) {
                        return false;
                    }
                    continue;
                }
                ReaderAction::Request(client_request) => {
                    self.admit(&h.waiting, client_request);
                    return false;
                }
                ReaderAction::Close(last_bytes, reason) => {
                    self.reject(last_bytes, reason);
                    return false;
                }
            }
            if now >= h.reader.deadline() {
                let (mut last_bytes, mut reason) =
                    h.reader.interrupt(&self.to_backend, Interruption::TimedOut);
                if last_bytes.is_empty() && reason.is_empty() {
                    // The client was silent for too long. Its request may be on the way just now,
                    // so it is sent an answer.
                    (last_bytes, reason) = h
                        .reader
                        .interrupt(&self.to_backend, Interruption::Dismissed);
                    self.linger = DISMISSED_LINGER;
                }
                self.reject(last_bytes, reason);
                return false;
            }
            if std::mem::replace(&mut has_read, true) {
                return true;
            }
            match self.client.read_into(&mut self.to_backend) {
                Ok(n) if n > 0 => {}
                Err(e) if timed_out(&e) => return true,
                _ => {
                    let reason = h
                        .reader
                        .interrupt(&self.to_backend, Interruption::Disconnected)
                        .1;
                    self.close_silently(reason);
                    return false;
                }
            }
        }
    }

    /// Ends a connection whose request is missing or invalid, after these last bytes. An empty
    /// reason is not logged.
    fn reject(&mut self, last_bytes: Vec<u8>, reason: &'static str) {
        if let Some(record) = self.record.take().filter(|_| !reason.is_empty()) {
            record.log_end(reason);
        }
        self.last_bytes = last_bytes;
        self.close();
    }
}
