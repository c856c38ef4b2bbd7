//! The first words of a connection, up to the request.
//!
//! Guards against: a client that says nothing, half a line, or floods; a TLS handshake that stalls. Each costs a
//! place and no thread, and holds up nobody.

use crate::decisions::api::Micros;
use crate::log::log;
use crate::net::admission::WaitingConnection;
use crate::net::connection::{Conn, Hearing, Phase, LINGER_SHORT};
use crate::net::session::ConnectionRecord;
use crate::net::shared::SharedState;
use crate::protocol::line::Greeting;
use crate::protocol::xmpp::greeting;
use crate::protocol::{Greeter, Next, Short};
use crate::sys::timed_out;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;

/// The longest wait for a client to take its answer, in microseconds.
const ANSWER: Micros = 1_000_000;

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
fn greeter(shared: &SharedState, speaks: ListenerProtocol) -> Option<Box<dyn Greeter>> {
    let now = shared.decisions.now();
    if speaks == ListenerProtocol::Line {
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
        speaks == ListenerProtocol::XmppTls,
        now,
    )))
}

impl Hearing {
    /// When it must be called though nothing has come.
    pub fn due(&self) -> Micros {
        let until = self.greeter.until();
        self.blocked
            .map_or(until, |since| until.min(since + ANSWER))
    }
}

impl Conn {
    /// The connection of a client that has just come to this listener; none where there is nobody to hear it.
    pub fn greet(
        shared: &Arc<SharedState>,
        idle: WaitingConnection,
        speaks: ListenerProtocol,
    ) -> Option<Conn> {
        let greeter = greeter(shared, speaks)?;
        idle.stream
            .set_nonblocking(true)
            .and_then(|()| idle.stream.set_nodelay(true))
            .ok()?;
        let mut conn = Conn::new(shared, idle.number(), idle.stream.clone());
        conn.record = Some(ConnectionRecord::new(speaks.front()));
        let (out, blocked) = (Vec::new(), None);
        let mut hearing = Hearing {
            idle,
            greeter,
            securing: false,
            tells: false,
            out,
            blocked,
        };
        let secured = speaks != ListenerProtocol::XmppTls || conn.secure(&mut hearing, None, false);
        conn.hearing = Some(Box::new(hearing));
        if secured {
            conn.hear();
        }
        Some(conn)
    }

    /// Puts the client's link under TLS with the certificate of that domain; false where there is none.
    fn secure(&mut self, hearing: &mut Hearing, domain: Option<&str>, tells: bool) -> bool {
        let Some(tls) = self
            .shared
            .xmpp()
            .and_then(|xmpp| xmpp.tls.server_connection(domain))
        else {
            self.unheard("no-tls");
            return false;
        };
        self.client.start_tls(tls);
        (hearing.securing, hearing.tells) = (true, tells);
        true
    }

    /// Ends a connection that rests, whose room is needed, or whose process stops: with an answer, since a request may
    /// be on its way at this moment. One that has come by now is heard as ever.
    pub fn dismiss(&mut self) {
        if self.phase == Phase::Hearing {
            self.hear();
        }
        let Some(mut hearing) = self.hearing.take() else {
            return;
        };
        let (last, reason) = hearing.greeter.cut_short(&self.up, Short::Dismissed);
        self.idle = Some(hearing.idle);
        self.linger = LINGER_SHORT;
        // Behind what is still to be said, or in place of it: half a word would garble the answer.
        let whole = hearing.out.is_empty() && !hearing.securing;
        self.turn_away(if whole { last } else { Vec::new() }, reason);
    }

    /// It is closed with no word more.
    fn unheard(&mut self, reason: &str) {
        if let Some(record) = self.record.take().filter(|_| !reason.is_empty()) {
            record.log_end(reason);
        }
        self.phase = Phase::Done;
    }

    /// Hears the client as far as it has spoken.
    pub fn hear(&mut self) {
        let Some(mut hearing) = self.hearing.take() else {
            return;
        };
        if self.heard(&mut hearing) {
            self.hearing = Some(hearing);
        } else if self.phase != Phase::Done && self.session.is_none() {
            // Its room is its own until it has gone.
            self.idle = Some(hearing.idle);
        }
    }

    /// True while it is to be heard further.
    fn heard(&mut self, h: &mut Hearing) -> bool {
        // A turn takes in once what has come: one that sends at full speed must not hold up the others.
        let mut filled = false;
        loop {
            let now = self.now();
            if h.securing {
                match self.client.continue_handshake() {
                    Ok(true) => {
                        // What came right behind the handshake is TLS's now: no socket tells of it.
                        (h.securing, filled) = (false, false);
                        if h.tells {
                            h.greeter.secured(self.now());
                        }
                    }
                    Ok(false) if now < h.greeter.until() => return true,
                    failed => {
                        self.shared.metrics.xmpp.tls_failures.fetch_add(1, Relaxed);
                        self.unheard(if failed.is_ok() {
                            "tls-late"
                        } else {
                            "tls-failed"
                        });
                        return false;
                    }
                }
            }
            if !h.out.is_empty() || h.blocked.is_some() {
                match self.client.write_available(&h.out) {
                    Ok((n, true)) => {
                        h.out.drain(..n);
                        let since = *h.blocked.get_or_insert(now);
                        if now >= since + ANSWER {
                            self.unheard("");
                        }
                        return self.phase != Phase::Done;
                    }
                    Ok((_, false)) => (h.out, h.blocked) = (Vec::new(), None),
                    Err(_) => {
                        self.unheard("");
                        return false;
                    }
                }
            }
            let rules = self.shared.settings().rules.clone();
            match h.greeter.next(&mut self.up, now, &rules) {
                Next::Read => {}
                Next::Say(bytes) => {
                    h.idle.record_activity();
                    h.out = bytes;
                    continue;
                }
                Next::Secure(domain) => {
                    if !self.secure(h, Some(&domain), true) {
                        return false;
                    }
                    continue;
                }
                Next::Place(order) => {
                    self.let_in(&h.idle, order);
                    return false;
                }
                Next::End(last, reason) => {
                    self.turn_away(last, reason);
                    return false;
                }
            }
            if now >= h.greeter.until() {
                let (mut last, mut reason) = h.greeter.cut_short(&self.up, Short::Late);
                if last.is_empty() && reason.is_empty() {
                    // It has rested for too long. Its request may be on its way just now.
                    (last, reason) = h.greeter.cut_short(&self.up, Short::Dismissed);
                    self.linger = LINGER_SHORT;
                }
                self.turn_away(last, reason);
                return false;
            }
            if std::mem::replace(&mut filled, true) {
                return true;
            }
            match self.client.read_into(&mut self.up) {
                Ok(n) if n > 0 => {}
                Err(e) if timed_out(&e) => return true,
                _ => {
                    let reason = h.greeter.cut_short(&self.up, Short::Ended).1;
                    self.unheard(reason);
                    return false;
                }
            }
        }
    }

    /// Ends a connection that asked for nothing sensible, or for nothing.
    fn turn_away(&mut self, last: Vec<u8>, reason: &'static str) {
        if let Some(record) = self.record.take().filter(|_| !reason.is_empty()) {
            record.log_end(reason);
        }
        self.last = last;
        self.close();
    }
}
