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
pub mod xmpp;

use crate::config::{Classes, Names};
use crate::decisions::api::{Micros, Outcome, Request};
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
    /// Put the link under TLS with the certificate of this domain; then [`Greeter::secured`].
    Secure(String),
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
    /// The relay ends a connection that rests: its room is needed, it has rested for too long, or the process stops. A
    /// request may be on its way at this moment, so the last words must do as its answer.
    Dismissed,
}

/// Hears a client up to its request.
pub trait Greeter: Send {
    /// Goes on with what has come.
    fn next(&mut self, inbox: &mut Buffer, now: Micros, rules: &Arc<Rules>) -> Next;

    /// TLS stands.
    fn secured(&mut self, now: Micros) {
        let _ = now;
    }

    /// When the client must have said what comes next.
    fn until(&self) -> Micros;

    /// The last words and the reason for the log where no more comes; no reason where the log need not know.
    fn cut_short(&mut self, inbox: &Buffer, why: Short) -> (Vec<u8>, &'static str);
}

/// What a request has failed of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A backend did not answer in time.
    Late,
    /// A backend could not be reached, broke off, or answered with an error.
    Broke,
}

/// A final answer that is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A further try is harmless after this wait (0: no advice).
    Refused(Micros),
    /// Nothing is promised.
    Failed(Cause),
    /// Another open connection has its id.
    IdInUse,
}

/// A client's request for a connection.
pub trait Order: Send + Sync {
    /// The name of its protocol, for the log.
    fn front(&self) -> &'static str;

    /// The connection's own id, which no other open connection may have.
    fn name(&self) -> &str;

    /// The request as the decisions see it.
    fn request(&self) -> &Request;

    /// The backend at which the connection was open before the start, if it was.
    fn at(&self) -> Option<&str>;

    /// Whether its backend finishes what it sends before the connection is moved ([`Passage::part`]).
    fn finishes(&self) -> bool {
        false
    }

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
    /// Send this; nothing can have run by it.
    Say(Vec<u8>),
    /// Put the link under TLS with a server of this name.
    Secure(String),
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
    /// Something came back for the client; told by a passage that [marks answers](Passage::marks_answers).
    Heard,
    /// The client has its final answer: it is served (true), or its backend has said no.
    Answered(bool),
    /// How the connection ends, once the backend ends it: the outcome, a load report where one came, and the
    /// reason for the log.
    Farewell(Outcome, Vec<f32>, &'static str),
    /// It is over once what may go on has gone on, with these words to the client.
    Over(Vec<u8>, Outcome, &'static str),
    /// A backend that was asked to finish has done so.
    Finished,
}

/// How a connection may be moved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parting {
    /// At once: all that has come is whole.
    Now,
    /// The backend gets these words and so long to finish what it sends.
    Finish {
        /// The words.
        words: Vec<u8>,
        /// How long it may take.
        within: Micros,
    },
    /// Not yet; after so long at once.
    Later(Micros),
}

/// Why a client is sent away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Away {
    /// It is to come again: its backend leaves, or the relay does.
    Moved,
    /// Its backend has gone without a word, or answers nothing.
    Gone,
    /// Its final answer is due.
    Late,
    /// There is no memory for what it sends or is sent.
    NoRoom,
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

    /// The last words to a client that is sent away.
    fn words(&self, why: Away) -> Vec<u8>;

    /// Whether the client has its final answer once the backend's first words have gone on to it.
    fn answered(&self) -> bool {
        true
    }

    /// Whether the connection may go on in another process, as an adopted one of [`line::Lines`].
    fn portable(&self) -> bool {
        true
    }

    /// Whether a client is shown the end of its backend as it was: what came last, whole or not, and a reset for
    /// a reset. Where not, it gets whole units and last words.
    fn mirrors_end(&self) -> bool {
        true
    }

    /// Whether a backend counts as lost that has left what asks for an answer unanswered for so long, and has
    /// brought nothing back for so long.
    fn lost(&self, unanswered: Micros, unheard: Micros) -> bool;

    /// Whether [`News::Heard`] tells what comes back. Where not, any byte is a sign of life.
    fn marks_answers(&self) -> bool {
        false
    }

    /// The connection is to be moved.
    fn part(&mut self) -> Parting {
        Parting::Now
    }

    /// Nothing has come for a while: memory that is needed only meanwhile can go.
    fn rest(&mut self) {}

    /// Whether half a unit has come from the backend.
    fn half(&self) -> bool {
        false
    }
}
