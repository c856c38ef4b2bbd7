//! The protocols that clients and backends speak, as state machines that do no I/O and read no
//! clock: they are given bytes and the time, and return bytes to send, requests, answers and the
//! positions at which a connection may be cut. Sockets, threads and epoll are the same for every
//! protocol and live in [`crate::net`].
//!
//! A connection passes through three state machines, each created by the one before it:
//!
//! 1. A [`RequestReader`] reads the client's input up to its request.
//! 2. The request is a [`ClientRequest`]. The decisions place it, and each attempt at a backend
//!    runs an [`AttemptProtocol`] of its own.
//! 3. An attempt that has established its connection turns into a [`Forwarder`], which says how
//!    many of the received bytes may be forwarded and between which of them the connection may end
//!    or migrate.
//!
//! The shape is that of `quinn-proto` and `rustls`: the caller drives the protocol, and so do
//! tables in its tests.

pub mod buffer;
pub mod line;
pub mod xmpp;

use crate::config::{Classes, Names};
use crate::decisions::api::{Micros, Outcome, Request};
use buffer::Buffer;
use std::sync::Arc;

/// The settings in force that the fronts need, replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct FrontSettings {
    /// The classes of requests.
    pub classes: Classes,
    /// Names of zones and of the columns of load reports.
    pub names: Names,
}

/// The next step that a [`RequestReader`] asks of its caller.
pub enum ReaderAction {
    /// Wait for more bytes, up to [`RequestReader::deadline`].
    Read,
    /// Send these bytes and continue.
    Send(Vec<u8>),
    /// Start TLS with the certificate of this domain, then call [`RequestReader::tls_established`].
    StartTls(String),
    /// The request is complete and is to be placed. Nothing was received after it: a client has to
    /// wait for its answer.
    Request(Box<dyn ClientRequest>),
    /// Send this final message and close the connection; the log gives the reason.
    Close(Vec<u8>, &'static str),
}

/// The event that ends the reading of a client's request early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The client has not sent its next input by the deadline.
    TimedOut,
    /// The client has ended its sending, or the connection broke.
    Disconnected,
    /// The relay closes a connection without a request: its place is needed, it has been idle for
    /// too long, or the process stops. A request may be in flight at this moment, so the final
    /// message must also be a valid answer to one.
    Dismissed,
}

/// Reads a client's input up to its request.
pub trait RequestReader: Send {
    /// Continues with the bytes received.
    fn next_action(
        &mut self,
        inbox: &mut Buffer,
        now: Micros,
        settings: &Arc<FrontSettings>,
    ) -> ReaderAction;

    /// The TLS handshake that [`ReaderAction::StartTls`] asked for is complete.
    fn tls_established(&mut self, now: Micros) {
        let _ = now;
    }

    /// The time by which the client must have sent its next input.
    fn deadline(&self) -> Micros;

    /// The memory in which it keeps input that is not complete, in bytes; without the buffer that it
    /// reads.
    fn buffered_bytes(&self) -> usize {
        0
    }

    /// The final message and the reason for the log when reading ends early. An empty reason means
    /// that the connection is not logged.
    fn interrupt(&mut self, inbox: &Buffer, why: Interruption) -> (Vec<u8>, &'static str);
}

/// The cause of a failed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// A backend did not answer in time.
    Timeout,
    /// A backend could not be reached, closed the connection, or answered with an error.
    BackendFailed,
}

/// The final answer to a request that gets no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// It is safe to retry after this time (0: no advice).
    Rejected(Micros),
    /// Nothing is promised: the request may have run.
    Failed(FailureCause),
    /// Another open connection has the same id.
    IdInUse,
    /// The client did not wait for its answer: it has sent more after its request.
    EarlyInput,
}

/// A client's request for a connection.
pub trait ClientRequest: Send + Sync {
    /// The name of the front, for the log.
    fn front(&self) -> &'static str;

    /// The id of the connection, which no other open connection may have.
    fn connection_id(&self) -> &str;

    /// The request in the form of the decisions.
    fn request(&self) -> &Request;

    /// The backend at which the connection was open before this process started, if it was.
    fn adopted_backend(&self) -> Option<&str>;

    /// Whether the backend finishes its output before the connection migrates
    /// ([`Forwarder::prepare_migration`]).
    fn backend_finishes_first(&self) -> bool {
        false
    }

    /// Starts the protocol of one attempt.
    fn start_attempt(&self) -> Box<dyn AttemptProtocol>;

    /// Encodes a final answer for the client.
    fn encode_answer(&self, answer: FinalAnswer) -> Vec<u8>;

    /// The reason in the log of a connection whose client did not wait for its answer.
    fn early_input_reason(&self) -> &'static str;
}

/// The next step that an [`AttemptProtocol`] asks of its caller.
#[derive(Debug, PartialEq)]
pub enum AttemptAction {
    /// Wait for more bytes.
    Read,
    /// Send these bytes; the backend cannot have run the request because of them.
    Send(Vec<u8>),
    /// Start TLS with a server of this name.
    StartTls(String),
    /// Send the request: from its last byte on the backend may have run it.
    SendRequest(Vec<u8>),
    /// The connection is established. Bytes left in the buffer are for the client.
    Established,
    /// The attempt has failed with this outcome, and with a load report if the backend sent one.
    Failed(Outcome, Vec<f32>),
    /// The backend's reply is not valid here: a description for the log.
    UnexpectedReply(String),
}

/// The protocol of one attempt to open a connection at a backend.
pub trait AttemptProtocol: Send {
    /// Continues with the bytes received; the attempt is abandoned after `left`.
    fn next_action(&mut self, inbox: &mut Buffer, left: Micros) -> AttemptAction;

    /// The memory in which it keeps input that is not complete, in bytes; without the buffer that it
    /// reads.
    fn buffered_bytes(&self) -> usize {
        0
    }

    /// The forwarder of the connection, once it is established.
    fn into_forwarder(self: Box<Self>) -> Box<dyn Forwarder>;
}

/// An event in the data that a backend sends.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendEvent {
    /// The value of a `LOAD` line: see [`line::load_samples`].
    LoadSample(f32),
    /// A response for the client; only from a forwarder that [reports
    /// them](Forwarder::reports_responses).
    Response,
    /// The client has its final answer: accepted (true), or rejected by the backend.
    Answered(bool),
    /// The backend has announced the end of the connection: the outcome, a load report if it sent
    /// one, and the reason for the log. It takes effect once the backend closes.
    EndAnnounced(Outcome, Vec<f32>, &'static str),
    /// Close the connection once the forwardable bytes are sent, with this final message to the
    /// client.
    CloseAfterForwarding(Vec<u8>, Outcome, &'static str),
    /// A backend that was asked to finish its output has done so.
    Finished,
}

/// When a connection can migrate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MigrationReadiness {
    /// At once: everything forwarded so far ends at a unit boundary.
    Now,
    /// After the backend has finished its output.
    AfterBackendFinishes {
        /// The message that asks the backend to finish.
        message: Vec<u8>,
        /// The longest wait for it.
        timeout: Micros,
    },
    /// Not yet: ask again, and after this time migrate in any case.
    Later(Micros),
}

/// Why the relay closes an established connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client is asked to reconnect, because the connection migrates or this relay drains.
    Migrated,
    /// The backend has closed without a final message, or does not respond.
    BackendLost,
    /// The final answer has not come by its deadline.
    AnswerTimeout,
    /// There is no memory left to buffer data of this connection.
    OutOfMemory,
}

/// Received data that cannot be forwarded, for which the relay closes the connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProtocolViolation {
    /// A description for the log.
    pub description: &'static str,
    /// The reason in the log line of the connection's end.
    pub reason: &'static str,
    /// The final message to the client.
    pub closing_message: Vec<u8>,
}

/// The part of a client's bytes that may be forwarded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Forwardable {
    /// How many bytes.
    pub bytes: usize,
    /// Whether the backend has to respond to them at once: one that does not is considered lost.
    pub expects_response: bool,
}

/// The protocol of an established connection. Each call of
/// [`on_client_data`](Forwarder::on_client_data) and
/// [`on_backend_data`](Forwarder::on_backend_data) is given all bytes after those that earlier
/// calls allowed to be forwarded: the rest of the last call, and the bytes received since.
pub trait Forwarder: Send {
    /// How many bytes from the client may be forwarded to the backend.
    fn on_client_data(&mut self, data: &[u8]) -> Result<Forwardable, ProtocolViolation>;

    /// How many bytes from the backend may be forwarded to the client, and the events in them.
    fn on_backend_data(
        &mut self,
        data: &[u8],
        settings: &FrontSettings,
        events: &mut Vec<BackendEvent>,
    ) -> Result<usize, ProtocolViolation>;

    /// The final message to a client whose connection the relay closes.
    fn closing_message(&self, why: CloseReason) -> Vec<u8>;

    /// Whether the establishment of the connection is the client's final answer. If not,
    /// [`BackendEvent::Answered`] reports it.
    fn established_is_final_answer(&self) -> bool {
        true
    }

    /// Whether another process can take over the connection; it continues there as a
    /// [`line::LineForwarder`].
    fn supports_takeover(&self) -> bool {
        true
    }

    /// Whether the end of the backend's stream is passed on to the client as it is: with the last
    /// bytes, complete or not, and a reset for a reset. If not, the client gets whole units and a
    /// final message.
    fn mirrors_end(&self) -> bool {
        true
    }

    /// Whether the backend counts as lost, given the time since the oldest data that expects a
    /// response and has none (`unanswered`), and the time since the backend's last response.
    fn is_backend_lost(&self, unanswered: Micros, since_response: Micros) -> bool;

    /// Whether [`BackendEvent::Response`] reports responses. If not, any byte from the backend
    /// counts as one.
    fn reports_responses(&self) -> bool {
        false
    }

    /// Prepares for a migration of the connection.
    fn prepare_migration(&mut self) -> MigrationReadiness {
        MigrationReadiness::Now
    }

    /// Frees memory that is needed only while data arrives; called while the connection is idle.
    fn release_idle_memory(&mut self) {}

    /// Whether part of a unit has been received from the backend.
    fn has_partial_unit(&self) -> bool {
        false
    }
}
