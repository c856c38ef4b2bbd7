//! The side of the backends: one attempt at a time, up to the answer.

use crate::api::{Micros, Outcome, RequestId, ServerId};
use crate::front::buffer::Buffer;
use crate::front::{Exchange, Order, Passage, Step};
use crate::log::log;
use crate::net::core::Core;
use crate::net::link::Link;
use crate::net::session::Session;
use crate::sys::timed_out;
use socket2::SockRef;
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
    /// What all connections share.
    pub core: &'a Core,
    /// Whose it is.
    pub session: &'a Session,
    /// What the client asked for.
    pub order: &'a dyn Order,
    /// The request.
    pub id: RequestId,
    /// Where to.
    pub server: ServerId,
    /// When to stop waiting.
    pub until: Micros,
    /// Its number among those of the request.
    pub number: u16,
}

/// A connection that is up: the backend's side, what came on it so far, and the machine that goes on.
pub struct Up {
    /// The backend's side.
    pub link: Link,
    /// What has come for the client.
    pub inbox: Buffer,
    /// What may go on.
    pub passage: Box<dyn Passage>,
}

/// Makes one attempt. When it has failed, its socket is closed before this returns.
pub fn attempt(a: &Attempt) -> Result<Up, Failed> {
    let began = a.core.decisions.now();
    let result = dial_and_wait(a);
    let ms = (a.core.decisions.now() - began) / 1_000;
    match &result {
        Ok(_) => tracing::debug!(id = %a.session.name(), server = a.server.0, ms, "attempt is up"),
        Err((outcome, _)) => {
            tracing::debug!(id = %a.session.name(), server = a.server.0, ms, ?outcome, "attempt failed");
            a.session.release();
        }
    }
    result
}

fn dial_and_wait(a: &Attempt) -> Result<Up, Failed> {
    let Attempt { core, session, order, id, .. } = *a;
    let left = || core.decisions.left(a.until);
    let adopted = order.at().is_some();
    let endpoint = match adopted {
        false => core.directory.endpoint(a.server),
        true => core.directory.await_endpoint(a.server, left()),
    };
    let Some(endpoint) = endpoint else { return failed(Outcome::Moot) };
    let dial = if adopted { ADOPT_DIAL } else { core.terms().dial_timeout }.min(left());
    if dial.is_zero() {
        return failed(Outcome::Moot);
    }
    // The dial has its own limit; a connection that comes up after it is closed unused.
    let mut addr = endpoint.addr;
    if let Some(port) = core.port(order.front()) {
        addr.set_port(port);
    }
    let Ok(stream) = TcpStream::connect_timeout(&addr, dial) else {
        return failed(Outcome::ConnectFailed);
    };
    let stream = Arc::new(stream);
    if !session.hold(&stream, a.number) {
        return failed(Outcome::Cancelled);
    }
    let mut link = Link::plain(stream.clone());
    let mut exchange: Box<dyn Exchange> = order.exchange();
    let mut inbox = Buffer::default();
    // Whether the request's last byte is out, and whether anything is.
    let (mut asked, mut said) = (false, false);
    // Before the request's last byte nothing can have run, whatever happens.
    let broke = |asked: bool| match (asked, session.called_off(a.number)) {
        (_, true) => failed(Outcome::Cancelled),
        (true, false) => failed(Outcome::Reset),
        (false, false) => failed(Outcome::ConnectFailed),
    };
    loop {
        let wait = left();
        if wait.is_zero() {
            return failed(match (asked, said) {
                (true, _) => Outcome::Timeout,
                (false, true) => Outcome::ConnectFailed,
                (false, false) => Outcome::Moot,
            });
        }
        let step = exchange.step(&mut inbox, wait.as_micros() as Micros);
        // During the dial, or a negotiation, the backend may have left, or the request may have been
        // answered: once more, right before each first byte of something new.
        let new = matches!(step, Step::Ask(_) | Step::Say(_) | Step::Secure(_));
        if new && !adopted && (!core.directory.takes_new(a.server) || !core.decisions.owed(id)) {
            return failed(Outcome::Moot);
        }
        match step {
            Step::Read => {}
            Step::Say(bytes) => {
                said = true;
                if send(&mut link, &bytes, wait).is_err() {
                    return broke(false);
                }
            }
            Step::Ask(bytes) => {
                if send(&mut link, &bytes, wait).is_err() {
                    return broke(false);
                }
                core.metrics.tries.fetch_add(1, Relaxed);
                asked = true;
            }
            Step::Secure(domain) => {
                said = true;
                let Some(tls) = core.xmpp().and_then(|xmpp| xmpp.tls.client(&domain)) else {
                    return failed(Outcome::Moot);
                };
                if let Err(e) = stream.set_nodelay(true).and_then(|()| link.secure(tls, left)) {
                    log(&format!("backend {}: no TLS for {domain}: {e}", endpoint.name));
                    return broke(false);
                }
                continue;
            }
            Step::Up => return Ok(Up { link, inbox, passage: exchange.passage() }),
            Step::Not(Outcome::Error | Outcome::Reset, _) if !asked => return broke(false),
            Step::Not(outcome, report) => return Err((outcome, report)),
            Step::Nonsense(what) => {
                log(&format!("backend {}: {what} in place of an answer", endpoint.name));
                return failed(if asked { Outcome::Error } else { Outcome::ConnectFailed });
            }
        }
        let wait = left();
        if wait.is_zero() {
            continue;
        }
        match link.set_read_timeout(wait).and_then(|()| link.fill(&mut inbox)) {
            Err(e) if timed_out(&e) => {}
            Ok(n) if n > 0 => {}
            _ => return broke(asked),
        }
    }
}

fn send(link: &mut Link, bytes: &[u8], wait: Duration) -> std::io::Result<()> {
    link.socket.set_nodelay(true)?;
    link.socket.set_write_timeout(Some(wait))?;
    link.write_all(bytes)
}

/// Makes the closing of a socket a reset.
pub fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
