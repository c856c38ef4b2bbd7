//! One attempt to open a connection at a backend: dial, TLS, and the exchange up to the backend's
//! answer. It is a state machine that the event loop advances when its socket is ready or its timer
//! expires; it never blocks.
//!
//! Guards against: two attempts of one request at the same time (the socket is closed before the
//! outcome is reported), a byte of the request that is written after the reasons for the attempt have
//! gone (its deduplication window has ended, its backend has left the endpoint list), and a silent
//! backend, or one that sends without pause, that delays all others.

mod exchange;

use crate::config::endpoint_list::BackendAddress;
use crate::decisions::api::{EndpointId, Micros, Outcome, RequestId};
use crate::decisions::send_check::SendRefusal;
use crate::log::log;
use crate::net::link::Link;
use crate::net::poll::{dial, is_local_failure, Interest};
use crate::net::session::Session;
use crate::net::shared::SharedState;
use crate::protocol::buffer::Buffer;
use crate::protocol::{AttemptProtocol, ClientRequest, Forwarder};
use socket2::SockRef;
use std::net::TcpStream;
use std::sync::Arc;

/// The longest wait for the `UP` of a connection that was established before this process started.
pub const ADOPT_TIMEOUT: Micros = 35_000_000;
/// The longest wait for the dial of such a connection.
const ADOPT_DIAL_TIMEOUT: Micros = 2_000_000;
/// The pause after the first failed dial of such a connection; each further one is twice as long.
const MIN_ADOPT_BACKOFF: Micros = 100_000;
/// The longest such pause.
const MAX_ADOPT_BACKOFF: Micros = 2_000_000;

/// The memory in which an attempt may buffer what its backend sends without being counted, in bytes:
/// more than any line, or the features of a usual XMPP server.
const USUAL_BUFFERED_BYTES: usize = 8 * 1024;

/// Reads of the backend's socket in one turn, so that a backend that sends without pause does not
/// delay other connections. What it has sent beyond that is read in the next turn.
const MAX_READS_PER_TURN: usize = 16;

/// The outcome of a failed attempt, and the load report that the backend sent with it; empty if
/// none.
pub type AttemptFailure = (Outcome, Vec<f32>);

/// How an attempt ended.
type AttemptResult = Result<EstablishedBackend, AttemptFailure>;

fn failed(outcome: Outcome) -> Option<AttemptResult> {
    Some(Err((outcome, Vec::new())))
}

/// The backend's side of a connection that was just established.
pub struct EstablishedBackend {
    /// The socket of the backend.
    pub link: Link,
    /// Received bytes that are for the client.
    pub inbox: Buffer,
    /// The protocol's state machine of the established connection.
    pub forwarder: Box<dyn Forwarder>,
}

/// The request that an attempt belongs to, and the state that it needs.
#[derive(Clone, Copy)]
pub struct AttemptContext<'a> {
    /// State that all connections share.
    pub shared: &'a SharedState,
    /// The client's session.
    pub session: &'a Session,
    /// The client's request.
    pub client_request: &'a dyn ClientRequest,
    /// The id of the request for the decisions.
    pub id: RequestId,
}

#[derive(Clone, Copy, PartialEq)]
enum AttemptState {
    /// The dial is due at this time.
    Backoff(Micros),
    /// The endpoint list does not name the backend yet.
    AwaitingAddress,
    /// The dial is in progress, until its own deadline.
    Dialling(Micros),
    /// The TLS handshake is in progress.
    TlsHandshake,
    /// The protocol's exchange is in progress.
    Exchanging,
    /// The attempt has ended.
    Over,
}

/// One attempt of a request.
pub struct Attempt {
    endpoint_id: EndpointId,
    /// The time at which the attempt is given up.
    deadline: Micros,
    /// The number of the attempt within its request.
    pub number: u16,
    /// The time at which the attempt was issued: decided on, before anything was sent.
    pub issued_at: Micros,
    /// The time from which on no byte of the request may be written, if there is one. Read from the
    /// decisions until the request is sent.
    send_deadline: Option<Micros>,
    /// The backend's name and address; none until it is dialled.
    backend: Option<BackendAddress>,
    state: AttemptState,
    link: Option<Link>,
    protocol: Option<Box<dyn AttemptProtocol>>,
    inbox: Buffer,
    /// Bytes that are still to be sent.
    unsent: Vec<u8>,
    /// Whether the socket accepts no more bytes for now.
    blocked: bool,
    /// Whether the unsent bytes are the request.
    sending_request: bool,
    /// Whether the last byte of the request was sent: from then on it may have run.
    request_sent: bool,
    /// Whether anything was sent.
    anything_sent: bool,
    /// Whether it is to end because its buffers exceed the memory budget.
    out_of_memory: bool,
}

impl Attempt {
    /// An attempt that was not dialled yet.
    pub fn new(
        client_request: &dyn ClientRequest,
        endpoint_id: EndpointId,
        deadline: Micros,
        number: u16,
        issued_at: Micros,
    ) -> Attempt {
        Attempt {
            endpoint_id,
            deadline,
            number,
            issued_at,
            send_deadline: None,
            backend: None,
            state: AttemptState::AwaitingAddress,
            link: None,
            protocol: Some(client_request.start_attempt()),
            inbox: Buffer::default(),
            unsent: Vec::new(),
            blocked: false,
            sending_request: false,
            request_sent: false,
            anything_sent: false,
            out_of_memory: false,
        }
    }

    /// The attempt that follows attempt `number` of a connection that was established before this
    /// process started, if its failure proves that the backend did not get the request. Such a
    /// connection can go to no other backend.
    pub fn retry_adoption(
        client_request: &dyn ClientRequest,
        endpoint_id: EndpointId,
        deadline: Micros,
        (number, outcome): (u16, Outcome),
        now: Micros,
    ) -> Option<Attempt> {
        let backoff = (MIN_ADOPT_BACKOFF << number.min(8)).min(MAX_ADOPT_BACKOFF);
        let not_sent = matches!(outcome, Outcome::ConnectFailed | Outcome::NotAttempted);
        if !not_sent || now + backoff >= deadline {
            return None;
        }
        let next = Attempt::new(client_request, endpoint_id, deadline, number + 1, now);
        Some(Attempt {
            state: AttemptState::Backoff(now + backoff),
            ..next
        })
    }

    /// The backend's socket, and the events to wait for on it.
    pub fn interest(&self) -> Option<(&Arc<TcpStream>, Interest)> {
        let socket = &self.link.as_ref()?.socket;
        let unsent_tls = self.link.as_ref().is_some_and(Link::has_unsent_tls);
        let interest = match self.state {
            AttemptState::Dialling(_) => Interest {
                read: false,
                write: true,
            },
            _ => Interest {
                read: true,
                write: self.blocked || unsent_tls,
            },
        };
        Some((socket, interest))
    }

    /// Whether the next call of [`Attempt::advance`] may dial, or send something, up to the last
    /// byte of the request. Until then the client has to be there.
    pub fn may_dial_or_send(&self, ready: bool) -> bool {
        match self.state {
            AttemptState::Backoff(_) | AttemptState::AwaitingAddress => true,
            AttemptState::Dialling(_) => ready,
            AttemptState::TlsHandshake | AttemptState::Exchanging => !self.request_sent,
            AttemptState::Over => false,
        }
    }

    /// Whether its request may have been executed, given its outcome; none is success.
    pub fn may_have_executed(&self, failure: Option<Outcome>) -> bool {
        self.request_sent && !failure.is_some_and(Outcome::proves_not_executed)
    }

    /// The memory in which it buffers what its backend sends, in bytes, beyond that of a usual answer.
    /// A backend that sends little is thus not affected by what others send.
    pub fn excess_buffered_bytes(&self) -> usize {
        let tls = self.link.as_ref().map_or(0, Link::buffered_tls_bytes);
        let protocol = self.protocol.as_ref().map_or(0, |p| p.buffered_bytes());
        (self.inbox.allocated() + tls + protocol).saturating_sub(USUAL_BUFFERED_BYTES)
    }

    /// Ends it at the next call of [`Attempt::advance`], as where its connection breaks.
    pub fn end_out_of_memory(&mut self) {
        self.out_of_memory = true;
    }

    /// Lowers the deadline to this time.
    pub fn shorten_deadline(&mut self, by: Micros) {
        self.deadline = self.deadline.min(by);
    }

    /// Whether it waits for an endpoint list that names its backend.
    pub fn awaits_address(&self) -> bool {
        self.state == AttemptState::AwaitingAddress
    }

    /// The time at which it must be advanced even if its socket is not ready.
    pub fn next_timer(&self) -> Micros {
        let end = match self.send_deadline {
            Some(send_deadline) if !self.request_sent => self.deadline.min(send_deadline),
            _ => self.deadline,
        };
        match self.state {
            AttemptState::Backoff(by) | AttemptState::Dialling(by) => by.min(end),
            _ => end,
        }
    }

    /// Continues as far as is possible without blocking; `ready` says whether the socket is ready.
    /// Returns none while the attempt is in progress. The socket of a failed attempt is closed
    /// before this returns.
    pub fn advance(&mut self, context: AttemptContext<'_>, ready: bool) -> Option<AttemptResult> {
        let result = self.advance_state(context, ready)?;
        let (id, server, now) = (
            context.session.connection_id(),
            self.endpoint_id.0,
            context.shared.decisions.now(),
        );
        let ms = now.saturating_sub(self.issued_at) / 1_000;
        self.state = AttemptState::Over;
        match &result {
            Ok(_) => tracing::debug!(%id, server, ms, "attempt is up"),
            Err((outcome, _)) => {
                tracing::debug!(%id, server, ms, ?outcome, "attempt failed");
                self.link = None;
                context.session.detach_backend();
            }
        }
        Some(result)
    }

    fn advance_state(&mut self, context: AttemptContext<'_>, ready: bool) -> Option<AttemptResult> {
        if context.session.is_cancelled(self.number) {
            // Nothing was begun before the dial, so the attempt is given back to the retry budget.
            return failed(if self.awaits_address() {
                Outcome::NotAttempted
            } else {
                Outcome::Cancelled
            });
        }
        if self.out_of_memory {
            log(&format!(
                "attempt {} of {}: no memory for what {} sends",
                self.number,
                context.session.connection_id(),
                self.backend_name()
            ));
            return self.link_broken(context);
        }
        let now = context.shared.decisions.now();
        if self.window_has_ended(context, now) {
            return self.refuse_to_send(context, SendRefusal::WindowEnded);
        }
        match self.state {
            AttemptState::Over => None,
            AttemptState::Backoff(until) if now < until => None,
            AttemptState::Backoff(_) => {
                self.state = AttemptState::AwaitingAddress;
                self.dial(context, now)
            }
            AttemptState::AwaitingAddress => self.dial(context, now),
            AttemptState::Dialling(by) => {
                let socket = &self.link.as_ref()?.socket;
                match (ready, socket.take_error()) {
                    // A dial that succeeds after its deadline is closed unused. This also covers a
                    // process that was suspended and learns of success and deadline at once.
                    _ if now >= by => return failed(Outcome::ConnectFailed),
                    (true, Ok(None)) => {}
                    (true, _) => return failed(Outcome::ConnectFailed),
                    (false, _) => return None,
                }
                self.state = AttemptState::Exchanging;
                self.exchange(context)
            }
            AttemptState::TlsHandshake | AttemptState::Exchanging => self.exchange(context),
        }
    }

    /// Dials the backend once its address is known.
    fn dial(&mut self, context: AttemptContext<'_>, now: Micros) -> Option<AttemptResult> {
        let adopted = context.client_request.adopted_backend().is_some();
        let Some(endpoint) = context.shared.directory.backend_address(self.endpoint_id) else {
            // The endpoint list that a relay starts with may be stale, so an adopted connection
            // waits for the next one. A backend that was just chosen and is not listed has left.
            return if adopted && now < self.deadline {
                None
            } else {
                failed(Outcome::NotAttempted)
            };
        };
        let dial_timeout = if adopted {
            ADOPT_DIAL_TIMEOUT
        } else {
            context.shared.settings().dial_timeout.as_micros() as Micros
        };
        if now >= self.deadline || dial_timeout == 0 {
            return failed(Outcome::NotAttempted);
        }
        let mut addr = endpoint.addr;
        if let Some(port) = context.shared.backend_port(context.client_request.front()) {
            addr.set_port(port);
        }
        self.backend = Some(endpoint);
        let stream = match dial(addr) {
            Ok(stream) => stream,
            Err(e) if is_local_failure(&e) => {
                log(&format!(
                    "attempt {} of {}: dial of {}: {e}",
                    self.number,
                    context.session.connection_id(),
                    self.backend_name()
                ));
                return failed(Outcome::NotAttempted);
            }
            Err(_) => return failed(Outcome::ConnectFailed),
        };
        let stream = Arc::new(stream);
        if !context.session.attach_backend(&stream, self.number) {
            return failed(Outcome::Cancelled);
        }
        self.link = Some(Link::plain(stream));
        self.state = AttemptState::Dialling(self.deadline.min(now + dial_timeout));
        let (id, server, attempt) = (
            context.session.connection_id(),
            self.endpoint_id.0,
            self.number,
        );
        tracing::debug!(%id, server, attempt, "attempt begins");
        None
    }

    /// The outcome where the connection breaks. Before the request's last byte was sent it cannot
    /// have run.
    fn link_broken(&self, context: AttemptContext<'_>) -> Option<AttemptResult> {
        failed(
            match (self.request_sent, context.session.is_cancelled(self.number)) {
                (_, true) => Outcome::Cancelled,
                (true, false) => Outcome::Reset,
                (false, false) => Outcome::ConnectFailed,
            },
        )
    }

    fn backend_name(&self) -> &str {
        self.backend.as_ref().map_or("", |endpoint| &endpoint.name)
    }
}

/// Makes the later close of this socket a reset.
pub fn reset_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(std::time::Duration::ZERO));
}

#[cfg(test)]
mod tests;
