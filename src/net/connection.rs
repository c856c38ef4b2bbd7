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
pub(super) const LINGER_SHORT: Micros = 50_000;

/// The backend's side of a connection that is up.
pub(super) struct Backend {
    pub link: Link,
    /// The connection as the decisions know it.
    pub id: RequestId,
    pub server: EndpointId,
    pub passage: Box<dyn Passage>,
}

/// How a connection that was up has ended.
pub(super) struct End {
    pub outcome: Outcome,
    pub report: Vec<f32>,
    pub reason: &'static str,
}

pub(super) fn end(outcome: Outcome, reason: &'static str) -> End {
    End {
        outcome,
        report: Vec::new(),
        reason,
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// The client has not asked for anything yet.
    Hearing,
    /// The request waits for its answer; what the client sends waits too.
    Placing,
    /// The connection is up.
    Up,
    /// The client gets its last words since then; true once it has them.
    Closing(Micros, bool),
    Done,
}

/// A client that is heard.
pub(super) struct Hearing {
    pub idle: WaitingConnection,
    pub greeter: Box<dyn Greeter>,
    /// Whether TLS is negotiated, and whether the greeter is to hear of its end.
    pub securing: bool,
    pub tells: bool,
    /// What is still to be sent, and since when the client takes none of it.
    pub out: Vec<u8>,
    pub blocked: Option<Micros>,
}

/// A request that is placed.
pub(super) struct Placing {
    pub order: Box<dyn Order>,
    pub id: RequestId,
    /// The decisions' verdicts; none where the connection was open before the start.
    pub pick: Option<PendingDecision>,
    pub attempt: Option<Attempt>,
    pub server: EndpointId,
    /// What it has failed of.
    pub cause: Cause,
    /// When the client is owed its answer.
    pub answer_by: Micros,
}

/// A client's connection.
pub(super) struct Conn {
    pub shared: Arc<SharedState>,
    pub number: u64,
    pub client: Link,
    pub phase: Phase,
    pub hearing: Option<Box<Hearing>>,
    pub placing: Option<Box<Placing>>,
    /// None before the request is let in.
    pub session: Option<Arc<Session>>,
    /// The room of a client that was turned away, until it has gone.
    pub idle: Option<WaitingConnection>,
    pub record: Option<ConnectionRecord>,
    pub backend: Option<Backend>,
    /// From the client to the backend, and the other way.
    pub up: Buffer,
    pub down: Buffer,
    /// How many bytes at the front of either may go on.
    pub up_passed: usize,
    pub down_passed: usize,
    /// Whether the backend owes an answer to what is to go on.
    pub asks: bool,
    /// By when the client is owed its final answer; none once it has it.
    pub answer_by: Option<Micros>,
    /// Up to when the backend may finish what it sends, or its client be answered, before it is moved.
    pub finish_by: Option<Micros>,
    /// Whether the backend was told to finish.
    pub parting: bool,
    /// How long a client that has had its last word may go on.
    pub linger: Micros,
    /// Memory of its buffers that is counted with that of all.
    pub held: usize,
    /// How it ends once what may go on has gone on, and the last words.
    pub over: Option<(Vec<u8>, End)>,
    /// Last words for the client.
    pub last: Vec<u8>,
    pub farewell: Option<End>,
    /// When the oldest unanswered line of the client was passed on.
    pub asked: Option<Micros>,
    /// When the backend last brought something back.
    pub heard: Micros,
    pub client_ended: Option<Micros>,
    pub up_blocked: bool,
    pub down_blocked: Option<Micros>,
    pub flooded: bool,
    /// What is waited for on either socket, and under which token; none once it is not watched.
    watched: [Option<(u64, Interest)>; 2],
    /// When it is to be called next though nothing happens.
    pub due: Option<Micros>,
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

impl Conn {
    /// One of a client that has just come, with nothing known of it.
    pub fn new(shared: &Arc<SharedState>, number: u64, socket: Arc<TcpStream>) -> Conn {
        Conn {
            shared: shared.clone(),
            number,
            client: Link::plain(socket),
            phase: Phase::Hearing,
            hearing: None,
            placing: None,
            session: None,
            idle: None,
            record: None,
            backend: None,
            up: Buffer::default(),
            down: Buffer::default(),
            up_passed: 0,
            down_passed: 0,
            asks: false,
            answer_by: None,
            finish_by: None,
            parting: false,
            linger: LINGER,
            held: 0,
            over: None,
            last: Vec::new(),
            farewell: None,
            asked: None,
            heard: 0,
            client_ended: None,
            up_blocked: false,
            down_blocked: None,
            flooded: false,
            watched: [None, None],
            due: None,
        }
    }

    /// The time of all that it does.
    pub fn now(&self) -> Micros {
        self.shared.decisions.now()
    }

    /// Its name for the log.
    pub fn name(&self) -> &str {
        self.session
            .as_ref()
            .map_or("", |session| session.connection_id())
    }

    /// Whether its client is to be moved.
    pub fn moving(&self) -> bool {
        self.session
            .as_ref()
            .is_some_and(|session| session.is_migrating())
    }

    /// The request as the decisions see one that came up in another process, or before the start.
    pub fn standing_request(class: usize, (key, group): (u64, u64)) -> Request {
        Request {
            class,
            client_key: key,
            group,
            ..Request::default()
        }
    }

    /// A socket of its own is ready.
    pub fn ready(
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
            (Phase::Hearing, _) => self.hear(),
            (Phase::Placing, BACKEND) => self.place(true),
            (_, BACKEND) => self.backend_ready(read, write),
            (Phase::Placing, _) if peer_closed && !read => self.client_gone(),
            _ => self.client_ready(read, write),
        }
    }

    /// The decisions have news of it.
    pub fn woken(&mut self) {
        self.session
            .iter()
            .for_each(|session| session.clear_notification());
        if self.phase == Phase::Placing {
            self.place(false);
        }
    }

    /// Its time is up.
    pub fn late(&mut self) {
        match self.phase {
            Phase::Hearing => self.hear(),
            Phase::Placing => self.place(false),
            _ => self.look(),
        }
    }

    /// Whether nothing has been asked for, nor begun, and it has not come just now.
    pub fn rests(&self) -> bool {
        let hearing = self
            .hearing
            .as_ref()
            .filter(|_| self.phase == Phase::Hearing);
        let came = self
            .record
            .as_ref()
            .is_none_or(|record| record.started_at.elapsed() >= DISMISS_GRACE);
        came && hearing
            .is_some_and(|h| self.up.rest().is_empty() && h.out.is_empty() && !h.securing)
    }

    /// The process ends, and it with that.
    pub fn cut_off(&mut self) {
        self.record
            .take()
            .iter()
            .for_each(|record| record.log_end("cut-off"));
    }

    /// Whether it waits for a list that names its backend.
    pub fn seeks(&self) -> bool {
        self.placing
            .as_ref()
            .and_then(|p| p.attempt.as_ref())
            .is_some_and(Attempt::seeks)
    }

    /// Waits for what it now needs. False once it is done.
    pub fn settle(&mut self, poller: &Poller) -> bool {
        self.count_memory();
        let (client, backend) = self.wanted();
        let attempt = self.placing.as_ref().and_then(|p| p.attempt.as_ref());
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
            match (attempt.and_then(Attempt::waits), &self.backend) {
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
        let gone = attempt.and_then(Attempt::waits).is_none() && self.backend.is_none();
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
        self.due = self.next_due();
        self.phase != Phase::Done
    }

    /// When it must be called though nothing happens; what is up is looked at with all others.
    fn next_due(&self) -> Option<Micros> {
        match self.phase {
            Phase::Hearing => self.hearing.as_ref().map(|h| h.due()),
            Phase::Placing => self
                .placing
                .as_ref()
                .and_then(|p| p.attempt.as_ref())
                .map(Attempt::due),
            Phase::Closing(since, true) => Some(since + self.linger + 1),
            _ => None,
        }
    }

    /// What is waited for on the client's socket and the backend's.
    fn wanted(&self) -> (Option<Interest>, Option<Interest>) {
        let held = self.client.has_unsent_tls();
        let client_in = self.client_ended.is_none()
            && !self.parting
            && match self.phase {
                Phase::Hearing => self.hearing.as_ref().is_some_and(|h| h.blocked.is_none()),
                Phase::Placing => self.up.rest().len() < MAX_LINE,
                Phase::Up => !self.up_blocked,
                Phase::Closing(..) => !self.flooded,
                Phase::Done => false,
            };
        let hearing = self
            .hearing
            .as_ref()
            .is_some_and(|h| h.blocked.is_some() || (h.securing && held));
        let client_out = self.down_blocked.is_some();
        // Once a client has ended there is nothing to be heard from it but, with nothing wanted, errors
        // again and again.
        let client = self.phase != Phase::Done && (self.client_ended.is_none() || client_out);
        let client = client.then_some(Interest {
            read: client_in,
            write: client_out || hearing,
            peer_closed: self.phase == Phase::Placing && !client_in,
        });
        let backend = (self.phase == Phase::Up).then_some(Interest {
            read: !client_out,
            write: self.up_blocked,
            peer_closed: false,
        });
        (client, backend)
    }
}
