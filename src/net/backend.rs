//! The side of the backends: one attempt at a time, and the relaying both ways once one is up.

use crate::api::{Micros, Outcome, RequestId, ServerId};
use crate::decide::Flow;
use crate::net::client::{Relay, Session};
use crate::net::greet::{part, LINGER};
use crate::net::line::{told, trim, LineBuffer, Open, Told};
use crate::net::{log, timed_out};
use crossbeam_channel::Receiver;
use socket2::SockRef;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// How often a quiet connection is looked at.
pub const LOOK: Duration = Duration::from_secs(1);
/// A backend that leaves a client's line unanswered for so long counts as lost: clients give up on a
/// connection after 7 s, and a crowded backend may take about 3 s.
const SILENT: Micros = 5_000_000;
/// The longest wait for a client or backend that takes no bytes.
const STUCK: Duration = Duration::from_secs(5);
/// The longest wait for the `UP` of a connection that was open before the run.
pub const ADOPT: Micros = 35_000_000;
/// The longest wait for the dial of such a connection.
const ADOPT_DIAL: Duration = Duration::from_secs(2);

/// An attempt that did not come up: its outcome, and a load report where one came.
pub type Failed = (Outcome, Vec<f32>);

fn failed<T>(outcome: Outcome) -> Result<T, Failed> {
    Err((outcome, Vec::new()))
}

/// One attempt of a session's request.
pub struct Attempt<'a> {
    /// Whose it is.
    pub session: &'a Session,
    /// What the client asked for.
    pub open: &'a Open,
    /// The request.
    pub id: RequestId,
    /// Where to.
    pub server: ServerId,
    /// When to stop waiting.
    pub until: Micros,
    /// Whether the connection was open there before the run.
    pub adopted: bool,
    /// Its number among those of the request.
    pub number: u16,
}

/// A connection that is up: its socket, and what came on it so far, `UP` first.
pub type Up = (Arc<TcpStream>, LineBuffer);

/// Makes one attempt. When it has failed, its socket is closed before this returns.
pub fn attempt(a: &Attempt) -> Result<Up, Failed> {
    let result = dial_and_wait(a);
    if result.is_err() {
        a.session.release();
    }
    result
}

fn dial_and_wait(a: &Attempt) -> Result<Up, Failed> {
    let Attempt { session, open, id, .. } = *a;
    let relay = &session.relay;
    let left = || relay.decisions.left(a.until);
    let endpoint = match a.adopted {
        false => relay.directory.endpoint(a.server),
        true => relay.directory.await_endpoint(a.server, left()),
    };
    let Some(endpoint) = endpoint else { return failed(Outcome::Moot) };
    let dial = if a.adopted { ADOPT_DIAL } else { relay.dial_timeout }.min(left());
    if dial.is_zero() {
        return failed(Outcome::Moot);
    }
    // The dial has its own limit; a connection that comes up after it is closed unused.
    let Ok(stream) = TcpStream::connect_timeout(&endpoint.addr, dial) else {
        return failed(Outcome::ConnectFailed);
    };
    let stream = Arc::new(stream);
    if !session.hold(&stream, a.number) {
        return failed(Outcome::Cancelled);
    }
    // During the dial the backend may have left, or the request may have been answered: once more,
    // right before the first byte.
    if !a.adopted && (!relay.directory.takes_new(a.server) || !relay.decisions.owed(id)) {
        return failed(Outcome::Moot);
    }
    let wait = left();
    if wait.is_zero() {
        return failed(Outcome::Moot);
    }
    let line = open.forward((!a.adopted).then_some(wait.as_micros() as Micros));
    let sent = stream
        .set_nodelay(true)
        .and_then(|()| stream.set_write_timeout(Some(wait)))
        .and_then(|()| (&*stream).write_all(line.as_bytes()));
    if sent.is_err() {
        return failed(if session.called_off(a.number) {
            Outcome::Cancelled
        } else {
            Outcome::ConnectFailed
        });
    }
    let mut buffer = LineBuffer::default();
    loop {
        let wait = left();
        if wait.is_zero() {
            return failed(Outcome::Timeout);
        }
        let read = stream.set_read_timeout(Some(wait)).and_then(|()| buffer.fill(&mut &*stream));
        match read {
            Err(e) if timed_out(&e) => continue,
            Ok(n) if n > 0 => {}
            _ if session.called_off(a.number) => return failed(Outcome::Cancelled),
            _ => return failed(Outcome::Reset),
        }
        let Ok(line) = buffer.peek() else { return failed(Outcome::Error) };
        let Some(line) = line else { continue };
        return match told(trim(line), &relay.names) {
            Told::Up => Ok((stream, buffer)),
            Told::Busy(report) => Err((Outcome::Full, report)),
            Told::Err(report) => Err((Outcome::Error, report)),
            Told::Move => failed(Outcome::Cancelled),
            other => {
                log(&format!("backend {}: {other:?} in place of an answer", endpoint.name));
                failed(Outcome::Error)
            }
        };
    }
}

/// How a connection that was up has ended.
pub struct End {
    /// For the decisions.
    pub outcome: Outcome,
    /// A load report, where one came with the end.
    pub report: Vec<f32>,
    /// The code for the log.
    pub reason: &'static str,
}

fn end(outcome: Outcome, reason: &'static str) -> End {
    End { outcome, report: Vec::new(), reason }
}

/// Relays from the backend to the client until the connection ends; the only writer to the client.
pub fn downstream(relay: &Relay, session: &Session, id: RequestId, server: ServerId, up: Up) -> End {
    let (backend, mut buffer) = up;
    let client: &TcpStream = &session.client;
    let limits = backend.set_read_timeout(Some(LOOK)).and_then(|()| client.set_write_timeout(Some(STUCK)));
    if limits.and_then(|()| backend.set_write_timeout(Some(STUCK))).is_err() {
        return end(Outcome::Reset, "socket-error");
    }
    let mut farewell = None;
    loop {
        let Ok(lines) = buffer.lines() else {
            return leave(session, &backend, Outcome::Reset, "line-too-long");
        };
        if !lines.is_empty() {
            for line in buffer.at(lines.clone()).split_inclusive(|&b| b == b'\n') {
                match told(trim(line), &relay.names) {
                    Told::Load(x) => {
                        let note = relay.notes.read(server, id, relay.decisions.now(), x);
                        relay.decisions.note(id, note);
                    }
                    Told::Bye(report) => farewell = Some(End { report, ..end(Outcome::Ok, "served") }),
                    Told::Move => farewell = Some(end(Outcome::Cancelled, "sent-away")),
                    _ => {}
                }
            }
            if let Err(e) = (&*client).write_all(buffer.at(lines)) {
                // Both sides go as one did, and the other thread must not read on.
                reset(&backend);
                reset(client);
                session.close_client(Shutdown::Read);
                let reason = if timed_out(&e) { "client-stuck" } else { "client-reset" };
                return end(Outcome::Cancelled, reason);
            }
        }
        match buffer.fill(&mut &*backend) {
            Ok(0) => break,
            Ok(_) => session.answered(),
            Err(e) if timed_out(&e) => {
                if session.client_ended_for(LINGER) {
                    let _ = backend.shutdown(Shutdown::Both);
                    return end(Outcome::Cancelled, "client-left");
                }
                // A machine that vanished says nothing and keeps its connections open: only a line
                // that stays unanswered shows it.
                if session.unanswered(relay.decisions.now()) > SILENT {
                    return leave(session, &backend, Outcome::Reset, "backend-silent");
                }
            }
            Err(_) => {
                // Ended by a reset: so is the other side.
                reset(client);
                session.close_client(Shutdown::Read);
                return farewell.unwrap_or(end(Outcome::Reset, "backend-reset"));
            }
        }
    }
    if session.client_was_reset() {
        return end(Outcome::Cancelled, "client-reset");
    }
    if farewell.is_none() && session.moving() {
        return leave(session, &backend, Outcome::Cancelled, "moved");
    }
    let _ = (&*client).write_all(buffer.rest());
    session.close_client(Shutdown::Write);
    let _ = backend.shutdown(Shutdown::Both);
    let gone = if session.client_ended() {
        end(Outcome::Cancelled, "client-left")
    } else {
        end(Outcome::Reset, "backend-ended")
    };
    farewell.unwrap_or(gone)
}

/// Sends the client away between two lines, then ends both sides.
fn leave(session: &Session, backend: &TcpStream, outcome: Outcome, reason: &'static str) -> End {
    let _ = (&*session.client).write_all(b"MOVE\r\n");
    // Only the sending side: to close with a client's line unread would reset the connection, and
    // the reset could overtake `MOVE`. The other thread reads on until the client has ended.
    session.close_client(Shutdown::Write);
    let _ = backend.shutdown(Shutdown::Both);
    end(outcome, reason)
}

/// Makes the closing of a socket a reset.
pub fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Relays from the client to the backend, and notices when the client leaves before that.
pub fn upstream(
    relay: &Relay,
    session: &Session,
    id: &Receiver<RequestId>,
    up: &Receiver<Arc<TcpStream>>,
    mut buffer: LineBuffer,
) {
    let client: &TcpStream = &session.client;
    let mut backend: Option<Arc<TcpStream>> = None;
    let mut garbled = false;
    if client.set_read_timeout(Some(LOOK)).is_err() {
        return;
    }
    loop {
        let read = buffer.fill(&mut &*client);
        if session.closed_for(Duration::ZERO) {
            return match read {
                Ok(0) => {}
                Err(e) if !timed_out(&e) => {}
                _ => part(client),
            };
        }
        match read {
            Ok(n) if n > 0 => {}
            Err(e) if timed_out(&e) => continue,
            ended => {
                session.client_has_ended(ended.is_err());
                if backend.is_none() {
                    if let Ok(id) = id.recv() {
                        relay.decisions.vanish(id);
                    }
                }
                session.end_backend(ended.is_err());
                return;
            }
        }
        if backend.is_none() {
            // A client waits for its answer; what it sends before that waits too.
            match up.recv() {
                Ok(stream) => backend = Some(stream),
                Err(_) => continue,
            }
        }
        let Some(to) = &backend else { continue };
        if garbled {
            buffer.discard();
            continue;
        }
        match buffer.lines() {
            Ok(lines) if lines.is_empty() => {}
            Ok(lines) => {
                session.asked(relay.decisions.now());
                // A backend that takes nothing is noticed by the other thread.
                let _ = (&**to).write_all(buffer.at(lines));
            }
            Err(_) => {
                log(&format!("client {}: a line is longer than allowed", session.name()));
                // What follows may begin inside that line: none of it may reach the backend.
                garbled = true;
                session.relocate();
            }
        }
    }
}
