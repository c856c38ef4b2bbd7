//! What clients and backends speak, as machines that do no I/O and read no clock: bytes and time go in;
//! bytes, requests, answers and the places where a connection may be cut come out. What stands outside
//! (sockets, threads, epoll) is the same for every protocol and lives in [`crate::net`].
//!
//! A connection passes through three machines, each made by the one before it:
//!
//! 1. a [`RequestReader`] hears a client up to its request;
//! 2. the request is an [`ClientRequest`]; the decisions place it, and each attempt at a backend is an [`AttemptProtocol`],
//!    made anew for every attempt;
//! 3. an exchange that came up turns into a [`Forwarder`], which says how far what comes may go on and between
//!    which bytes the connection may end or move.
//!
//! The shape is that of `quinn-proto` and `rustls`: the protocol drives nothing and is driven by tables in its
//! tests.

pub mod buffer;
pub mod line;
pub mod xmpp;

use crate::config::{Classes, Names};
use crate::decisions::api::{Micros, Outcome, Request};
use buffer::Buffer;
use std::sync::Arc;

/// What the settings in force say to the fronts, all of it at once.
#[derive(Clone, Debug, Default)]
pub struct FrontSettings {
    /// The classes of requests.
    pub classes: Classes,
    /// Names of zones and columns.
    pub names: Names,
}

/// What a greeter wants done next.
pub enum ReaderAction {
    /// Wait for more bytes, up to [`RequestReader::until`].
    Read,
    /// Send this and go on.
    Send(Vec<u8>),
    /// Put the link under TLS with the certificate of this domain; then [`RequestReader::secured`].
    StartTls(String),
    /// Have this placed. What is left in the buffer came after it.
    Request(Box<dyn ClientRequest>),
    /// End the connection with these last words, for the reason that the log names.
    Close(Vec<u8>, &'static str),
}

/// Why a client is heard no further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// Its time is up.
    TimedOut,
    /// It has ended its sending, or the connection broke.
    Disconnected,
    /// The relay ends a connection that rests: its room is needed, it has rested for too long, or the process stops. A
    /// request may be on its way at this moment, so the last words must do as its answer.
    Dismissed,
}

/// Hears a client up to its request.
pub trait RequestReader: Send {
    /// Goes on with what has come.
    fn next_action(
        &mut self,
        inbox: &mut Buffer,
        now: Micros,
        rules: &Arc<FrontSettings>,
    ) -> ReaderAction;

    /// TLS stands.
    fn tls_established(&mut self, now: Micros) {
        let _ = now;
    }

    /// When the client must have said what comes next.
    fn deadline(&self) -> Micros;

    /// The last words and the reason for the log where no more comes; no reason where the log need not know.
    fn interrupt(&mut self, inbox: &Buffer, why: Interruption) -> (Vec<u8>, &'static str);
}

/// What a request has failed of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// A backend did not answer in time.
    Timeout,
    /// A backend could not be reached, broke off, or answered with an error.
    BackendFailed,
}

/// A final answer that is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// A further try is harmless after this wait (0: no advice).
    Rejected(Micros),
    /// Nothing is promised.
    Failed(FailureCause),
    /// Another open connection has its id.
    IdInUse,
}

/// A client's request for a connection.
pub trait ClientRequest: Send + Sync {
    /// The name of its protocol, for the log.
    fn front(&self) -> &'static str;

    /// The connection's own id, which no other open connection may have.
    fn connection_id(&self) -> &str;

    /// The request as the decisions see it.
    fn request(&self) -> &Request;

    /// The backend at which the connection was open before the start, if it was.
    fn adopted_backend(&self) -> Option<&str>;

    /// Whether its backend finishes what it sends before the connection is moved ([`Forwarder::part`]).
    fn backend_finishes_first(&self) -> bool {
        false
    }

    /// The machine of one attempt.
    fn start_attempt(&self) -> Box<dyn AttemptProtocol>;

    /// The words of a final answer.
    fn encode_answer(&self, answer: FinalAnswer) -> Vec<u8>;
}

/// What an exchange wants done next.
#[derive(Debug, PartialEq)]
pub enum AttemptAction {
    /// Wait for more bytes.
    Read,
    /// Send this; nothing can have run by it.
    Send(Vec<u8>),
    /// Put the link under TLS with a server of this name.
    StartTls(String),
    /// Send the request: once its last byte is out it may have run.
    SendRequest(Vec<u8>),
    /// The connection is up. What is left in the buffer is for the client.
    Established,
    /// It will not come up: the outcome, and a load report where one came.
    Failed(Outcome, Vec<f32>),
    /// What came is no answer: for the log.
    UnexpectedReply(String),
}

/// One attempt at a backend.
pub trait AttemptProtocol: Send {
    /// Goes on with what has come; the attempt is given up after `left`.
    fn next_action(&mut self, inbox: &mut Buffer, left: Micros) -> AttemptAction;

    /// The passage of the connection that came up.
    fn into_forwarder(self: Box<Self>) -> Box<dyn Forwarder>;
}

/// News in what a backend sends.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendEvent {
    /// `LOAD X`: see [`line::load_samples`].
    LoadSample(f32),
    /// Something came back for the client; told by a passage that [marks answers](Passage::marks_answers).
    Response,
    /// The client has its final answer: it is served (true), or its backend has said no.
    Answered(bool),
    /// How the connection ends, once the backend ends it: the outcome, a load report where one came, and the
    /// reason for the log.
    EndAnnounced(Outcome, Vec<f32>, &'static str),
    /// It is over once what may go on has gone on, with these words to the client.
    CloseAfterForwarding(Vec<u8>, Outcome, &'static str),
    /// A backend that was asked to finish has done so.
    Finished,
}

/// How a connection may be moved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MigrationReadiness {
    /// At once: all that has come is whole.
    Now,
    /// The backend gets these words and so long to finish what it sends.
    AfterBackendFinishes {
        /// The words.
        message: Vec<u8>,
        /// How long it may take.
        timeout: Micros,
    },
    /// Not yet; after so long at once.
    Later(Micros),
}

/// Why a client is sent away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It is to come again: its backend leaves, or the relay does.
    Migrated,
    /// Its backend has gone without a word, or answers nothing.
    BackendLost,
    /// Its final answer is due.
    AnswerTimeout,
    /// There is no memory for what it sends or is sent.
    OutOfMemory,
}

/// What comes cannot go on, and the connection is ended by the relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProtocolViolation {
    /// What is wrong, for the log.
    pub description: &'static str,
    /// The reason for the log line of the connection's end.
    pub reason: &'static str,
    /// The last words to the client.
    pub closing_message: Vec<u8>,
}

/// What may go on of a client's bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Forwardable {
    /// How many of the bytes.
    pub bytes: usize,
    /// Whether the backend owes an answer to them at once: one that gives none is lost.
    pub expects_response: bool,
}

/// A connection that is up. Each call of [`up`](Passage::up) and [`down`](Passage::down) is given the bytes
/// behind those that were let through before: the same as in the last call, and what has come since.
pub trait Forwarder: Send {
    /// How many bytes of the client may go on to the backend.
    fn on_client_data(&mut self, fresh: &[u8]) -> Result<Forwardable, ProtocolViolation>;

    /// How many bytes of the backend may go on to the client, and what they mean.
    fn on_backend_data(
        &mut self,
        fresh: &[u8],
        rules: &FrontSettings,
        news: &mut Vec<BackendEvent>,
    ) -> Result<usize, ProtocolViolation>;

    /// The last words to a client that is sent away.
    fn closing_message(&self, why: CloseReason) -> Vec<u8>;

    /// Whether the client has its final answer once the backend's first words have gone on to it.
    fn established_is_final_answer(&self) -> bool {
        true
    }

    /// Whether the connection may go on in another process, as an adopted one of [`line::LineForwarder`].
    fn supports_takeover(&self) -> bool {
        true
    }

    /// Whether a client is shown the end of its backend as it was: what came last, whole or not, and a reset for
    /// a reset. Where not, it gets whole units and last words.
    fn mirrors_end(&self) -> bool {
        true
    }

    /// Whether a backend counts as lost that has left what asks for an answer unanswered for so long, and has
    /// brought nothing back for so long.
    fn is_backend_lost(&self, unanswered: Micros, unheard: Micros) -> bool;

    /// Whether [`BackendEvent::Response`] tells what comes back. Where not, any byte is a sign of life.
    fn reports_responses(&self) -> bool {
        false
    }

    /// The connection is to be moved.
    fn prepare_migration(&mut self) -> MigrationReadiness {
        MigrationReadiness::Now
    }

    /// Nothing has come for a while: memory that is needed only meanwhile can go.
    fn release_idle_memory(&mut self) {}

    /// Whether half a unit has come from the backend.
    fn has_partial_unit(&self) -> bool {
        false
    }
}
