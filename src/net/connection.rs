//! One client's connection, from the accept to the close. It is a state machine that the event loop
//! calls when one of its sockets is ready, when its timer expires, or when the decisions have an
//! update for it; it never blocks.
//!
//! It passes through the phases of [`Phase`] in their order. `handshake` reads the request,
//! `placement` has it placed, and `forward` passes bytes on and ends the connection.

use crate::decision_service::PendingDecision;
use crate::decisions::api::{EndpointId, Idempotency, Micros, Outcome, Request, RequestId};
use crate::net::admission::{WaitingConnection, DISMISS_GRACE, MIN_LINGER};
use crate::net::attempt::Attempt;
use crate::net::link::Link;
use crate::net::poll::{Interest, Poller, Ready};
use crate::net::session::{ConnectionRecord, Session};
use crate::net::shared::SharedState;
use crate::protocol::buffer::Buffer;
use crate::protocol::{ClientRequest, FailureCause, FinalAnswer, Forwarder, RequestReader};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

/// How long a client that was sent its last bytes may keep the connection open, in microseconds.
/// Closing a socket with unread input resets the connection, and the reset can destroy an answer
/// that the client has not read yet.
pub(super) const LINGER: Micros = 1_000_000;
/// The same for a dismissed connection, whose descriptor others wait for.
pub(super) const DISMISSED_LINGER: Micros = MIN_LINGER.as_micros() as Micros;

/// The backend's side of an established connection.
pub(super) struct BackendSide {
    pub link: Link,
    /// The connection's id for the decisions.
    pub id: RequestId,
    pub endpoint_id: EndpointId,
    pub forwarder: Box<dyn Forwarder>,
}

/// The end of an established connection: its outcome, the backend's last load report, and the
/// reason code for the log.
pub(super) struct ConnectionEnd {
    pub outcome: Outcome,
    pub report: Vec<f32>,
    pub reason: &'static str,
}

impl ConnectionEnd {
    /// An end without a load report.
    pub fn new(outcome: Outcome, reason: &'static str) -> ConnectionEnd {
        ConnectionEnd {
            outcome,
            report: Vec::new(),
            reason,
        }
    }
}

/// The phases of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// The client has not sent a request yet.
    Handshake,
    /// The request waits for its answer, and so does the client.
    Pending,
    /// The backend has accepted the connection.
    Established,
    /// The client is sent its last bytes. The time is when this began or, once all bytes were sent
    /// (true), when that was.
    Closing(Micros, bool),
    Closed,
}

/// The state of a connection in [`Phase::Handshake`].
pub(super) struct Handshake {
    pub waiting: WaitingConnection,
    pub reader: Box<dyn RequestReader>,
    /// Whether a TLS handshake is in progress.
    pub in_tls_handshake: bool,
    /// Whether the reader is told when the TLS handshake is complete.
    pub reports_tls: bool,
    /// Bytes that are still to be sent to the client.
    pub unsent: Vec<u8>,
    /// Since when the client accepts none of the unsent bytes.
    pub blocked_since: Option<Micros>,
}

/// Why the relay stops working on a request that has no answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Withdrawal {
    /// The client has left: it gets no answer.
    ClientLeft,
    /// The client did not wait for its answer: it gets an error.
    EarlyInput,
}

/// The state of a connection in [`Phase::Pending`].
pub(super) struct PendingRequest {
    pub client_request: Box<dyn ClientRequest>,
    /// The idempotency of its class in the settings under which it arrived.
    pub idempotency: Idempotency,
    pub id: RequestId,
    /// The stream of decisions; none where the connection was established before this process
    /// started.
    pub decision: Option<PendingDecision>,
    /// The attempt in progress.
    pub attempt: Option<Attempt>,
    /// The endpoint of the latest attempt.
    pub endpoint_id: EndpointId,
    /// Why the latest attempt failed.
    pub failure_cause: FailureCause,
    /// The time by which the client must have its final answer.
    pub answer_deadline: Micros,
    /// Why the request was withdrawn, if it was.
    pub withdrawal: Option<Withdrawal>,
}

impl PendingRequest {
    /// The final answer of a withdrawn request, if it gets one, and the reason for the log.
    pub fn withdrawn_answer(&self) -> (Option<FinalAnswer>, &'static str) {
        match self.withdrawal {
            Some(Withdrawal::EarlyInput) => (
                Some(FinalAnswer::EarlyInput),
                self.client_request.early_input_reason(),
            ),
            Some(Withdrawal::ClientLeft) | None => (None, "client-gave-up"),
        }
    }
}

/// A client's connection.
pub(super) struct Connection {
    pub shared: Arc<SharedState>,
    pub number: u64,
    pub client: Link,
    pub phase: Phase,
    pub handshake: Option<Box<Handshake>>,
    pub pending: Option<Box<PendingRequest>>,
    /// None before the request is admitted.
    pub session: Option<Arc<Session>>,
    /// The slot of a client without a request that is being closed; see
    /// [`Connection::hold_closing_slot`].
    pub waiting: Option<WaitingConnection>,
    /// The record for the log; none once its line was written.
    pub record: Option<ConnectionRecord>,
    pub backend: Option<BackendSide>,
    /// Bytes from the client to the backend.
    pub to_backend: Buffer,
    /// Bytes from the backend to the client.
    pub to_client: Buffer,
    /// The number of bytes at the front of `to_backend` that may be forwarded.
    pub to_backend_ready: usize,
    /// The number of bytes at the front of `to_client` that may be forwarded.
    pub to_client_ready: usize,
    /// Whether the backend must answer the bytes in `to_backend` that may be forwarded.
    pub expects_answer: bool,
    /// The time by which the client must have its final answer; none once it has it.
    pub answer_deadline: Option<Micros>,
    /// The time at which the connection is migrated even if the backend has not finished, or the
    /// client has not been answered.
    pub finish_deadline: Option<Micros>,
    /// Whether the backend was told to finish.
    pub finishing: bool,
    /// How long a client that was sent its last bytes may keep the connection open.
    pub linger: Micros,
    /// The memory of the buffers that is counted in the budget of all connections.
    pub counted_memory: usize,
    /// The end of the connection after all bytes that may be forwarded were sent: the last bytes
    /// for the client, and how it ends.
    pub end_after_flush: Option<(Vec<u8>, ConnectionEnd)>,
    /// The last bytes for the client.
    pub last_bytes: Vec<u8>,
    /// The end that the backend has announced, for when it closes its side.
    pub announced_end: Option<ConnectionEnd>,
    /// When the oldest unanswered line of the client was forwarded.
    pub unanswered_since: Option<Micros>,
    /// When the backend last sent something.
    pub last_heard: Micros,
    /// When the client closed its side.
    pub client_ended_at: Option<Micros>,
    /// Whether the backend's socket accepts no more bytes for now.
    pub to_backend_blocked: bool,
    /// Since when the client's socket accepts no bytes.
    pub to_client_blocked_since: Option<Micros>,
    /// Whether the client's input is read again only at the next periodic check; see
    /// [`Connection::discard_input`].
    pub discard_paused: bool,
    /// The token and the events that each socket is watched for; none where it is not watched.
    watched: [Option<(u64, Interest)>; 2],
    /// The time at which the connection must be called even if nothing happens.
    pub timer: Option<Micros>,
}

/// Bits of a token below the connection's number: the side, then the number of the attempt. An
/// event of a socket that was closed meanwhile is thereby not taken for one of the next attempt's
/// socket.
const SIDE_BITS: u32 = 2;
const ATTEMPT_BITS: u32 = 6;
/// The position of the connection's number in a token.
pub(super) const NUMBER_SHIFT: u32 = SIDE_BITS + ATTEMPT_BITS;
/// The client's side in a token. Values above [`BACKEND`] are used by the event loop.
pub(super) const CLIENT: u64 = 0;
/// The backend's side in a token.
pub(super) const BACKEND: u64 = 1;

impl Connection {
    /// A connection of a client that was just accepted.
    pub fn new(shared: &Arc<SharedState>, number: u64, socket: Arc<TcpStream>) -> Connection {
        Connection {
            shared: shared.clone(),
            number,
            client: Link::plain(socket),
            phase: Phase::Handshake,
            handshake: None,
            pending: None,
            session: None,
            waiting: None,
            record: None,
            backend: None,
            to_backend: Buffer::default(),
            to_client: Buffer::default(),
            to_backend_ready: 0,
            to_client_ready: 0,
            expects_answer: false,
            answer_deadline: None,
            finish_deadline: None,
            finishing: false,
            linger: LINGER,
            counted_memory: 0,
            end_after_flush: None,
            last_bytes: Vec::new(),
            announced_end: None,
            unanswered_since: None,
            last_heard: 0,
            client_ended_at: None,
            to_backend_blocked: false,
            to_client_blocked_since: None,
            discard_paused: false,
            watched: [None, None],
            timer: None,
        }
    }

    /// The current time of the decisions' clock.
    pub fn now(&self) -> Micros {
        self.shared.decisions.now()
    }

    /// The id that the client gave the connection, for the log; empty before it has one.
    pub fn connection_id(&self) -> &str {
        self.session
            .as_ref()
            .map_or("", |session| session.connection_id())
    }

    /// Whether the client is to be migrated.
    pub fn is_migrating(&self) -> bool {
        self.session
            .as_ref()
            .is_some_and(|session| session.is_migrating())
    }

    /// The request of a connection that was established in another process.
    pub fn request_of_established(class: usize, (key, group): (u64, u64)) -> Request {
        Request {
            class,
            client_key: key,
            group,
            ..Request::default()
        }
    }

    /// Handles an event of one of its sockets.
    pub fn handle_ready(&mut self, Ready { token, read, write }: Ready) {
        let side = token & (BACKEND | CLIENT);
        if self.watched[side as usize].is_none_or(|(now, _)| now != token) {
            // The socket that this event is for was closed meanwhile.
            return;
        }
        match (self.phase, side) {
            (Phase::Handshake, _) => self.continue_handshake(),
            (Phase::Pending, BACKEND) => self.advance_request(true),
            (_, BACKEND) => self.backend_ready(read, write),
            (Phase::Pending, _) => self.pending_client_ready(),
            _ => self.client_ready(read, write),
        }
    }

    /// Handles an update from the decisions.
    pub fn handle_update(&mut self) {
        self.session
            .iter()
            .for_each(|session| session.clear_notification());
        if self.phase == Phase::Pending {
            self.advance_request(false);
        }
    }

    /// Handles its timer.
    pub fn handle_timer(&mut self) {
        match self.phase {
            Phase::Handshake => self.continue_handshake(),
            Phase::Pending => self.advance_request(false),
            _ => self.check_timeouts(),
        }
    }

    /// Whether it may be dismissed: nothing of a request was received, nothing is being sent, and
    /// its grace period is over.
    pub fn may_be_dismissed(&self) -> bool {
        let handshake = self
            .handshake
            .as_ref()
            .filter(|_| self.phase == Phase::Handshake);
        let grace_over = self
            .record
            .as_ref()
            .is_none_or(|record| record.started_at.elapsed() >= DISMISS_GRACE);
        grace_over
            && handshake.is_some_and(|h| {
                self.to_backend.unread().is_empty() && h.unsent.is_empty() && !h.in_tls_handshake
            })
    }

    /// Holds the slot of a client without a request until the connection is closed. It counts as
    /// closing from here on.
    pub fn hold_closing_slot(&mut self, waiting: WaitingConnection) {
        waiting.begin_closing(Instant::now());
        self.waiting = Some(waiting);
    }

    /// Logs that the connection ends with the process.
    pub fn log_cut_off(&mut self) {
        self.record
            .take()
            .iter()
            .for_each(|record| record.log_end("cut-off"));
    }

    /// Whether it waits for an endpoint list that names its backend.
    pub fn awaits_address(&self) -> bool {
        self.pending
            .as_ref()
            .and_then(|p| p.attempt.as_ref())
            .is_some_and(Attempt::awaits_address)
    }

    /// Updates the events that its sockets are watched for, and its timer. Returns false once the
    /// connection is closed.
    pub fn update_interest(&mut self, poller: &Poller) -> bool {
        self.update_handshake_memory();
        self.update_memory_budget();
        let (client, backend) = self.wanted_interest();
        let attempt = self.pending.as_ref().and_then(|p| p.attempt.as_ref());
        let number = attempt.map_or(0, |a| u64::from(a.number));
        let token = |side: u64| {
            (self.number << NUMBER_SHIFT) | ((number % (1 << ATTEMPT_BITS)) << SIDE_BITS) | side
        };
        // An established connection keeps the token of its attempt.
        let attempt_token = self.watched[1]
            .filter(|_| attempt.is_none())
            .map(|(token, _)| token);
        let sockets = [
            (
                self.client.socket.clone(),
                client,
                CLIENT | self.number << NUMBER_SHIFT,
            ),
            match (attempt.and_then(Attempt::interest), &self.backend) {
                (Some((socket, interest)), _) => (socket.clone(), Some(interest), token(BACKEND)),
                (None, Some(b)) => (
                    b.link.socket.clone(),
                    backend,
                    attempt_token.unwrap_or(token(BACKEND)),
                ),
                // The socket was closed, which ended the watch.
                (None, None) => (self.client.socket.clone(), None, 0),
            },
        ];
        let gone = attempt.and_then(Attempt::interest).is_none() && self.backend.is_none();
        for (side, (socket, wanted, token)) in sockets.into_iter().enumerate() {
            let before = self.watched[side]
                .filter(|(now, _)| *now == token)
                .map(|(_, interest)| interest);
            if side == 1 && gone {
                self.watched[1] = None;
                continue;
            }
            match poller.watch(socket, token, before, wanted) {
                Ok(()) => self.watched[side] = wanted.map(|wanted| (token, wanted)),
                Err(e) => crate::log::log(&format!("poll: a socket is not watched: {e}")),
            }
        }
        self.timer = self.next_timer();
        self.phase != Phase::Closed
    }

    /// The time at which it must be called even if nothing happens. Timeouts of established
    /// connections are checked periodically; see [`Connection::check_timeouts`].
    fn next_timer(&self) -> Option<Micros> {
        match self.phase {
            Phase::Handshake => self.handshake.as_ref().map(|h| h.next_timer()),
            Phase::Pending => self
                .pending
                .as_ref()
                .and_then(|p| p.attempt.as_ref())
                .map(Attempt::next_timer),
            Phase::Closing(since, true) => Some(since + self.linger + 1),
            _ => None,
        }
    }

    /// The events to wait for on the client's socket and on the backend's.
    fn wanted_interest(&self) -> (Option<Interest>, Option<Interest>) {
        let unsent_tls = self.client.has_unsent_tls();
        let client_in = self.client_ended_at.is_none()
            && !self.finishing
            && match self.phase {
                Phase::Handshake => self
                    .handshake
                    .as_ref()
                    .is_some_and(|h| h.blocked_since.is_none()),
                Phase::Pending => true,
                Phase::Established => !self.to_backend_blocked,
                Phase::Closing(..) => !self.discard_paused,
                Phase::Closed => false,
            };
        let handshake = self
            .handshake
            .as_ref()
            .is_some_and(|h| h.blocked_since.is_some() || (h.in_tls_handshake && unsent_tls));
        let client_out = self.to_client_blocked_since.is_some();
        // A client that has ended sends nothing more. Its socket is not watched at all, since even
        // without wanted events epoll would report its errors again and again.
        let client = self.phase != Phase::Closed && (self.client_ended_at.is_none() || client_out);
        let client = client.then_some(Interest {
            read: client_in,
            write: client_out || handshake,
        });
        let backend = (self.phase == Phase::Established).then_some(Interest {
            read: !client_out,
            write: self.to_backend_blocked,
        });
        (client, backend)
    }
}
