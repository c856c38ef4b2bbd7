//! The side of the backends: one attempt at a time, up to the line that answers it.

use crate::api::{Micros, Outcome, RequestId, ServerId};
use crate::net::client::Session;
use crate::net::line::{told, trim, LineBuffer, Open, Told};
use crate::net::{log, timed_out};
use socket2::SockRef;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;

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
    let dial = if a.adopted { ADOPT_DIAL } else { relay.terms().dial_timeout }.min(left());
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
    relay.metrics.tries.fetch_add(1, Relaxed);
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

/// Makes the closing of a socket a reset.
pub fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
