//! The first words of a connection, up to the request.
//!
//! Guards against: a client that says nothing, half a line, or floods; a TLS handshake that stalls. Each costs a
//! place and no thread, and holds up nobody.

use crate::decisions::api::Micros;
use crate::log::log;
use crate::net::admission::WaitingConnection;
use crate::net::connection::{Connection, Handshake, Phase, DISMISSED_LINGER};
use crate::net::session::ConnectionRecord;
use crate::net::shared::SharedState;
use crate::protocol::line::Greeting;
use crate::protocol::xmpp::greeting;
use crate::protocol::{Greeter, Next, Short};
use crate::sys::timed_out;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;

/// The longest wait for a client to take its answer, in microseconds.
const WRITE_TIMEOUT: Micros = 1_000_000;

/// What is spoken at a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerProtocol {
    /// The line protocol.
    Line,
    /// XMPP that begins in clear.
    Xmpp,
    /// XMPP that begins with TLS.
    XmppTls,
}

impl ListenerProtocol {
    fn front(self) -> &'static str {
        if self == ListenerProtocol::Line {
            "line"
        } else {
            "xmpp"
        }
    }
}

/// The machine that hears a client of this listener; none where the front has gone meanwhile.
fn greeter(shared: &SharedState, protocol: ListenerProtocol) -> Option<Box<dyn Greeter>> {
    let now = shared.decisions.now();
    if protocol == ListenerProtocol::Line {
        return Some(Box::new(Greeting::new(now)));
    }
    let mut ids = [0; 3];
    for id in &mut ids {
        *id = getrandom::u64()
            .inspect_err(|e| log(&format!("xmpp: no random numbers: {e}")))
            .ok()?;
    }
    let terms = shared.xmpp()?.terms.clone();
    Some(Box::new(greeting::Greeting::new(
        terms,
        ids,
        protocol == ListenerProtocol::XmppTls,
        now,
    )))
}

impl Handshake {
    /// When it must be called though nothing has come.
    pub fn next_timer(&self) -> Micros {
        let deadline = self.greeter.until();
        self.blocked_since
            .map_or(deadline, |since| deadline.min(since + WRITE_TIMEOUT))
    }
}

impl Connection {
    /// The connection of a client that has just come to this listener; none where there is nobody to hear it.
    pub fn accept(
        shared: &Arc<SharedState>,
        waiting: WaitingConnection,
        protocol: ListenerProtocol,
    ) -> Option<Connection> {
        let greeter = greeter(shared, protocol)?;
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
            greeter,
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

    /// Puts the client's link under TLS with the certificate of that domain; false where there is none.
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

    /// Ends a connection that rests, whose room is needed, or whose process stops: with an answer, since a request may
    /// be on its way at this moment. One that has come by now is heard as ever.
    pub fn dismiss(&mut self) {
        if self.phase == Phase::Handshake {
            self.continue_handshake();
        }
        let Some(mut handshake) = self.handshake.take() else {
            return;
        };
        let (last_words, reason) = handshake
            .greeter
            .cut_short(&self.to_backend, Short::Dismissed);
        self.waiting = Some(handshake.waiting);
        self.linger = DISMISSED_LINGER;
        // Behind what is still to be said, or in place of it: half a word would garble the answer.
        let whole = handshake.unsent.is_empty() && !handshake.in_tls_handshake;
        self.reject(if whole { last_words } else { Vec::new() }, reason);
    }

    /// It is closed with no word more.
    fn close_silently(&mut self, reason: &str) {
        if let Some(record) = self.record.take().filter(|_| !reason.is_empty()) {
            record.log_end(reason);
        }
        self.phase = Phase::Closed;
    }

    /// Hears the client as far as it has spoken.
    pub fn continue_handshake(&mut self) {
        let Some(mut handshake) = self.handshake.take() else {
            return;
        };
        if self.drive_handshake(&mut handshake) {
            self.handshake = Some(handshake);
        } else if self.phase != Phase::Closed && self.session.is_none() {
            // Its room is its own until it has gone.
            self.waiting = Some(handshake.waiting);
        }
    }

    /// True while it is to be heard further.
    fn drive_handshake(&mut self, h: &mut Handshake) -> bool {
        // A turn takes in once what has come: one that sends at full speed must not hold up the others.
        let mut filled = false;
        loop {
            let now = self.now();
            if h.in_tls_handshake {
                match self.client.continue_tls_handshake() {
                    Ok(true) => {
                        // What came right behind the handshake is TLS's now: no socket tells of it.
                        (h.in_tls_handshake, filled) = (false, false);
                        if h.reports_tls {
                            h.greeter.secured(self.now());
                        }
                    }
                    Ok(false) if now < h.greeter.until() => return true,
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
            match h.greeter.next(&mut self.to_backend, now, &rules) {
                Next::Read => {}
                Next::Say(bytes) => {
                    h.waiting.record_activity();
                    h.unsent = bytes;
                    continue;
                }
                Next::Secure(domain) => {
                    if !self.start_client_tls(h, Some(&domain), true) {
                        return false;
                    }
                    continue;
                }
                Next::Place(order) => {
                    self.admit(&h.waiting, order);
                    return false;
                }
                Next::End(last_words, reason) => {
                    self.reject(last_words, reason);
                    return false;
                }
            }
            if now >= h.greeter.until() {
                let (mut last_words, mut reason) =
                    h.greeter.cut_short(&self.to_backend, Short::Late);
                if last_words.is_empty() && reason.is_empty() {
                    // It has rested for too long. Its request may be on its way just now.
                    (last_words, reason) = h.greeter.cut_short(&self.to_backend, Short::Dismissed);
                    self.linger = DISMISSED_LINGER;
                }
                self.reject(last_words, reason);
                return false;
            }
            if std::mem::replace(&mut filled, true) {
                return true;
            }
            match self.client.read_into(&mut self.to_backend) {
                Ok(n) if n > 0 => {}
                Err(e) if timed_out(&e) => return true,
                _ => {
                    let reason = h.greeter.cut_short(&self.to_backend, Short::Ended).1;
                    self.close_silently(reason);
                    return false;
                }
            }
        }
    }

    /// Ends a connection that asked for nothing sensible, or for nothing.
    fn reject(&mut self, last_words: Vec<u8>, reason: &'static str) {
        if let Some(record) = self.record.take().filter(|_| !reason.is_empty()) {
            record.log_end(reason);
        }
        self.last_words = last_words;
        self.close();
    }
}
