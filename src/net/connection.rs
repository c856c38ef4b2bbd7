//! One client's connection, from its first byte to its last: a machine that is called when one of its sockets is
//! ready, when its time is up and when the decisions have news of it, and never waits.
//!
//! It passes through the phases below in their order. What it does in each is in a file of its own: `greet` hears the
//! request, `client` has it placed, `forward` passes on what comes once it is up, `part` ends it.

use crate::decision_service::PendingDecision;
use crate::decisions::api::{EndpointId, Micros, Outcome, Request, RequestId};
use crate::net::admission::{WaitingConnection, DISMISS_GRACE};
use crate::net::attempt::Attempt;
use crate::net::link::Link;
use crate::net::poll::{Interest, Poller, Ready};
use crate::net::session::{ConnectionRecord, Session};
use crate::net::shared::SharedState;
use crate::protocol::buffer::{Buffer, MAX_LINE};
use crate::protocol::{Cause, Greeter, Order, Passage};
use std::net::TcpStream;
use std::sync::Arc;

/// How long a client that has had its last word may go on before it is cut off, in microseconds. To close a socket
/// with input unread would reset the connection, and the reset can destroy an answer that is not read yet.
pub(super) const LINGER: Micros = 1_000_000;
/// The same for one that rested and is sent away: others wait for its room. More than the way there and back takes.
pub(super) const DISMISSED_LINGER: Micros = 50_000;

/// The backend's side of a connection that is up.
pub(super) struct BackendSide {
    pub link: Link,
    /// The connection as the decisions know it.
    pub id: RequestId,
    pub endpoint_id: EndpointId,
    pub passage: Box<dyn Passage>,
}

/// How a connection that was up has ended.
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

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// The client has not asked for anything yet.
    Handshake,
    /// The request waits for its answer; what the client sends waits too.
    Pending,
    /// The connection is up.
    Established,
    /// The client gets its last words since then; true once it has them.
    Closing(Micros, bool),
    Closed,
}

/// A client that is heard.
pub(super) struct Handshake {
    pub waiting: WaitingConnection,
    pub greeter: Box<dyn Greeter>,
    /// Whether TLS is negotiated, and whether the greeter is to hear of its end.
    pub in_tls_handshake: bool,
    pub reports_tls: bool,
    /// What is still to be sent, and since when the client takes none of it.
    pub unsent: Vec<u8>,
    pub blocked_since: Option<Micros>,
}

/// A request that is placed.
pub(super) struct PendingRequest {
    pub order: Box<dyn Order>,
    pub id: RequestId,
    /// The decisions' verdicts; none where the connection was open before the start.
    pub decision: Option<PendingDecision>,
    pub attempt: Option<Attempt>,
    pub endpoint_id: EndpointId,
    /// What it has failed of.
    pub failure_cause: Cause,
    /// When the client is owed its answer.
    pub answer_deadline: Micros,
}

/// A client's connection.
pub(super) struct Connection {
    pub shared: Arc<SharedState>,
    pub number: u64,
    pub client: Link,
    pub phase: Phase,
    pub handshake: Option<Box<Handshake>>,
    pub pending: Option<Box<PendingRequest>>,
    /// None before the request is let in.
    pub session: Option<Arc<Session>>,
    /// The room of a client that was turned away, until it has gone.
    pub waiting: Option<WaitingConnection>,
    pub record: Option<ConnectionRecord>,
    pub backend: Option<BackendSide>,
    /// From the client to the backend, and the other way.
    pub to_backend: Buffer,
    pub to_client: Buffer,
    /// How many bytes at the front of either may go on.
    pub to_backend_ready: usize,
    pub to_client_ready: usize,
    /// Whether the backend owes an answer to what is to go on.
    pub expects_answer: bool,
    /// By when the client is owed its final answer; none once it has it.
    pub answer_deadline: Option<Micros>,
    /// Up to when the backend may finish what it sends, or its client be answered, before it is moved.
    pub finish_deadline: Option<Micros>,
    /// Whether the backend was told to finish.
    pub finishing: bool,
    /// How long a client that has had its last word may go on.
    pub linger: Micros,
    /// Memory of its buffers that is counted with that of all.
    pub counted_memory: usize,
    /// How it ends once what may go on has gone on, and the last words.
    pub end_after_flush: Option<(Vec<u8>, ConnectionEnd)>,
    /// Last words for the client.
    pub last_words: Vec<u8>,
    pub announced_end: Option<ConnectionEnd>,
    /// When the oldest unanswered line of the client was passed on.
    pub unanswered_since: Option<Micros>,
    /// When the backend last brought something back.
    pub last_heard: Micros,
    pub client_ended_at: Option<Micros>,
    pub to_backend_blocked: bool,
    pub to_client_blocked_since: Option<Micros>,
    pub discard_paused: bool,
    /// What is waited for on either socket, and under which token; none once it is not watched.
    watched: [Option<(u64, Interest)>; 2],
    /// When it is to be called next though nothing happens.
    pub timer: Option<Micros>,
}

/// Bits of a token below the connection's number: the side, and the number of the attempt, so that what is told of a
/// socket that was closed meanwhile is not taken for the next one's.
const SIDE_BITS: u32 = 2;
const ATTEMPT_BITS: u32 = 6;
/// How far the connection's number stands from the right.
pub(super) const NUMBER_SHIFT: u32 = SIDE_BITS + ATTEMPT_BITS;
/// Sides: the connection's own two, and what is no connection's.
pub(super) const CLIENT: u64 = 0;
pub(super) const BACKEND: u64 = 1;

impl Connection {
    /// One of a client that has just come, with nothing known of it.
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
            last_words: Vec::new(),
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

    /// The time of all that it does.
    pub fn now(&self) -> Micros {
        self.shared.decisions.now()
    }

    /// Its name for the log.
    pub fn connection_id(&self) -> &str {
        self.session
            .as_ref()
            .map_or("", |session| session.connection_id())
    }

    /// Whether its client is to be moved.
    pub fn is_migrating(&self) -> bool {
        self.session
            .as_ref()
            .is_some_and(|session| session.is_migrating())
    }

    /// The request as the decisions see one that came up in another process, or before the start.
    pub fn request_of_established(class: usize, (key, group): (u64, u64)) -> Request {
        Request {
            class,
            client_key: key,
            group,
            ..Request::default()
        }
    }

    /// A socket of its own is ready.
    pub fn handle_ready(
        &mut self,
        Ready {
            token,
            read,
            write,
            peer_closed,
        }: Ready,
    ) {
        let side = token & (BACKEND | CLIENT);
        if self.watched[side as usize].is_none_or(|(now, _)| now != token) {
            // It was closed while this was on its way.
            return;
        }
        match (self.phase, side) {
            (Phase::Handshake, _) => self.continue_handshake(),
            (Phase::Pending, BACKEND) => self.drive_request(true),
            (_, BACKEND) => self.backend_ready(read, write),
            (Phase::Pending, _) if peer_closed && !read => self.client_gone(),
            _ => self.client_ready(read, write),
        }
    }

    /// The decisions have news of it.
    pub fn handle_update(&mut self) {
        self.session
            .iter()
            .for_each(|session| session.clear_notification());
        if self.phase == Phase::Pending {
            self.drive_request(false);
        }
    }

    /// Its time is up.
    pub fn handle_timer(&mut self) {
        match self.phase {
            Phase::Handshake => self.continue_handshake(),
            Phase::Pending => self.drive_request(false),
            _ => self.check_timeouts(),
        }
    }

    /// Whether nothing has been asked for, nor begun, and it has not come just now.
    pub fn is_waiting(&self) -> bool {
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
                self.to_backend.rest().is_empty() && h.unsent.is_empty() && !h.in_tls_handshake
            })
    }

    /// The process ends, and it with that.
    pub fn log_cut_off(&mut self) {
        self.record
            .take()
            .iter()
            .for_each(|record| record.log_end("cut-off"));
    }

    /// Whether it waits for a list that names its backend.
    pub fn awaits_address(&self) -> bool {
        self.pending
            .as_ref()
            .and_then(|p| p.attempt.as_ref())
            .is_some_and(Attempt::awaits_address)
    }

    /// Waits for what it now needs. False once it is done.
    pub fn update_interest(&mut self, poller: &Poller) -> bool {
        self.update_memory_budget();
        let (client, backend) = self.wanted_interest();
        let attempt = self.pending.as_ref().and_then(|p| p.attempt.as_ref());
        let number = attempt.map_or(0, |a| u64::from(a.number));
        let token = |side: u64| {
            (self.number << NUMBER_SHIFT) | ((number % (1 << ATTEMPT_BITS)) << SIDE_BITS) | side
        };
        // One that is up keeps the token of its attempt.
        let same = self.watched[1]
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
                    same.unwrap_or(token(BACKEND)),
                ),
                // A socket that was let go of is closed, and so is no longer watched.
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

    /// When it must be called though nothing happens; what is up is looked at with all others.
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

    /// What is waited for on the client's socket and the backend's.
    fn wanted_interest(&self) -> (Option<Interest>, Option<Interest>) {
        let unsent_tls = self.client.has_unsent_tls();
        let client_in = self.client_ended_at.is_none()
            && !self.finishing
            && match self.phase {
                Phase::Handshake => self
                    .handshake
                    .as_ref()
                    .is_some_and(|h| h.blocked_since.is_none()),
                Phase::Pending => self.to_backend.rest().len() < MAX_LINE,
                Phase::Established => !self.to_backend_blocked,
                Phase::Closing(..) => !self.discard_paused,
                Phase::Closed => false,
            };
        let handshake = self
            .handshake
            .as_ref()
            .is_some_and(|h| h.blocked_since.is_some() || (h.in_tls_handshake && unsent_tls));
        let client_out = self.to_client_blocked_since.is_some();
        // Once a client has ended there is nothing to be heard from it but, with nothing wanted, errors
        // again and again.
        let client = self.phase != Phase::Closed && (self.client_ended_at.is_none() || client_out);
        let client = client.then_some(Interest {
            read: client_in,
            write: client_out || handshake,
            peer_closed: self.phase == Phase::Pending && !client_in,
        });
        let backend = (self.phase == Phase::Established).then_some(Interest {
            read: !client_out,
            write: self.to_backend_blocked,
            peer_closed: false,
        });
        (client, backend)
    }
}
