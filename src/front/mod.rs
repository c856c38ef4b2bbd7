//! What clients and backends speak, as machines that do no I/O and read no clock: bytes and time go in;
//! bytes, requests, answers and the places where a connection may be cut come out. What stands outside
//! (sockets, threads, epoll) is the same for every protocol and lives in [`crate::net`].
//!
//! A connection passes through three machines, each made by the one before it:
//!
//! 1. a [`Greeter`] hears a client up to its request;
//! 2. the request is an [`Order`]; the decisions place it, and each attempt at a backend is an [`Exchange`],
//!    made anew for every attempt;
//! 3. an exchange that came up turns into a [`Passage`], which says how far what comes may go on and between
//!    which bytes the connection may end or move.
//!
//! The shape is that of `quinn-proto` and `rustls`: the protocol drives nothing and is driven by tables in its
//! tests.

pub mod buffer;
pub mod line;

use crate::api::{Micros, Outcome, Request};
use crate::config::{Classes, Names};
use buffer::Buffer;
use std::sync::Arc;

/// What the settings in force say to the fronts, all of it at once.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// The classes of requests.
    pub classes: Classes,
    /// Names of zones and columns.
    pub names: Names,
}

/// What a greeter wants done next.
pub enum Next {
    /// Wait for more bytes, up to [`Greeter::until`].
    Read,
    /// Send this and go on.
    Say(Vec<u8>),
    /// Have this placed. What is left in the buffer came after it.
    Place(Box<dyn Order>),
    /// End the connection with these last words, for the reason that the log names.
    End(Vec<u8>, &'static str),
}

/// Why a client is heard no further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Short {
    /// Its time is up.
    Late,
    /// It has ended its sending, or the connection broke.
    Ended,
}

/// Hears a client up to its request.
pub trait Greeter: Send {
    /// Goes on with what has come.
    fn next(&mut self, inbox: &mut Buffer, now: Micros, rules: &Arc<Rules>) -> Next;

    /// When the client must have said what comes next.
    fn until(&self) -> Micros;

    /// The last words and the reason for the log where no more comes; no reason where the log need not know.
    fn cut_short(&mut self, inbox: &Buffer, why: Short) -> (Vec<u8>, &'static str);
}

/// A final answer that is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A further try is harmless after this wait (0: no advice).
    Refused(Micros),
    /// Nothing is promised.
    Failed,
    /// Another open connection has its id.
    IdInUse,
}

/// A client's request for a connection.
pub trait Order: Send + Sync {
    /// The connection's own id, which no other open connection may have.
    fn name(&self) -> &str;

    /// The request as the decisions see it.
    fn request(&self) -> &Request;

    /// The backend at which the connection was open before the start, if it was.
    fn at(&self) -> Option<&str>;

    /// The machine of one attempt.
    fn exchange(&self) -> Box<dyn Exchange>;

    /// The words of a final answer.
    fn words(&self, answer: Answer) -> Vec<u8>;
}

/// What an exchange wants done next.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// Wait for more bytes.
    Read,
    /// Send the request: once its last byte is out it may have run.
    Ask(Vec<u8>),
    /// The connection is up. What is left in the buffer is for the client.
    Up,
    /// It will not come up: the outcome, and a load report where one came.
    Not(Outcome, Vec<f32>),
    /// What came is no answer: for the log.
    Nonsense(String),
}

/// One attempt at a backend.
pub trait Exchange: Send {
    /// Goes on with what has come; the attempt is given up after `left`.
    fn step(&mut self, inbox: &mut Buffer, left: Micros) -> Step;

    /// The passage of the connection that came up.
    fn passage(self: Box<Self>) -> Box<dyn Passage>;
}

/// News in what a backend sends.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// `LOAD X`: see [`line::note`].
    Load(f32),
    /// How the connection ends, once the backend ends it: the outcome, a load report where one came, and the
    /// reason for the log.
    Farewell(Outcome, Vec<f32>, &'static str),
}

/// What comes cannot go on, and the connection is ended by the relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// What is wrong, for the log.
    pub what: &'static str,
    /// The reason for the log line of the connection's end.
    pub reason: &'static str,
    /// The last words to the client.
    pub words: Vec<u8>,
}

/// What may go on of a client's bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Passed {
    /// How many of the bytes.
    pub bytes: usize,
    /// Whether the backend owes an answer to them at once: one that gives none is lost.
    pub asks: bool,
}

/// A connection that is up. Each call of [`up`](Passage::up) and [`down`](Passage::down) is given the bytes
/// behind those that were let through before: the same as in the last call, and what has come since.
pub trait Passage: Send {
    /// How many bytes of the client may go on to the backend.
    fn up(&mut self, fresh: &[u8]) -> Result<Passed, Fault>;

    /// How many bytes of the backend may go on to the client, and what they mean.
    fn down(&mut self, fresh: &[u8], rules: &Rules, news: &mut Vec<News>) -> Result<usize, Fault>;

    /// The last words to a client that is asked to come again.
    fn come_again(&self) -> Vec<u8>;
}
