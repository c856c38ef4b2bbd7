//! One link to another process of the fleet: its socket, its session, and the messages that wait for it.

use crate::decisions::api::Micros;
use crate::net::poll::{Interest, Poller};
use crate::ops::traffic::{Direction, Traffic};
use crate::sys::{boottime, timed_out};
use jaspermoor_control::wire::mac::{FrameError, FrameSession, FRAME_OVERHEAD, HELLO_BYTES};
use jaspermoor_control::wire::message::Message;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Messages that wait for one link: beyond that the replaceable are left out.
const QUEUE: usize = 256;
/// Bytes that a link has not taken: as long as there are more, messages wait.
const UNSENT: usize = 1024 * 1024;
/// Bytes read of a link in a turn: one that sends at full speed must not hold up the others.
const PIECE: usize = 64 * 1024;

/// What each side says first, in the figures.
const HELLO_KIND: &str = "hello";

/// Why a link is of no use any more.
#[derive(Debug)]
pub(super) enum LinkEnd {
    /// The other side has ended it.
    Ended,
    /// It broke.
    Broke,
    /// What came is not a message of this fleet.
    FrameError(FrameError),
    /// Its queue is full of what must not be left out.
    QueueFull,
    /// It stood, but took nothing.
    Stuck,
    /// The voter could not be reached.
    Unreachable,
}

/// See the module's text.
pub(super) struct Link {
    pub(super) socket: TcpStream,
    session: FrameSession,
    /// The voter that was dialled; none for a link that came in.
    pub(super) voter: Option<u64>,
    connecting: bool,
    /// What the poller watches its socket for.
    watched: Interest,
    queue: VecDeque<Message>,
    /// Since when it has taken nothing of what waits.
    blocked: Option<Micros>,
}

impl Link {
    /// One whose dial has begun.
    pub(super) fn dialled(socket: TcpStream, session: FrameSession, voter: u64) -> Link {
        let watched = Interest {
            read: false,
            write: true,
            end: false,
        };
        Link {
            voter: Some(voter),
            connecting: true,
            ..Link::new(socket, session, watched)
        }
    }

    /// One that came in.
    pub(super) fn accepted(socket: TcpStream, session: FrameSession) -> Link {
        Link::new(
            socket,
            session,
            Interest {
                read: true,
                write: false,
                end: false,
            },
        )
    }

    fn new(socket: TcpStream, session: FrameSession, watched: Interest) -> Link {
        let (queue, blocked) = (VecDeque::new(), None);
        Link {
            socket,
            session,
            voter: None,
            connecting: false,
            watched,
            queue,
            blocked,
        }
    }

    /// Begins to be watched under this token.
    pub(super) fn watch(&self, poller: &Poller, token: u64) -> io::Result<()> {
        poller.watch(&self.socket, token, None, Some(self.watched))
    }

    /// Whether its dial has not ended yet.
    pub(super) fn is_connecting(&self) -> bool {
        self.connecting
    }

    /// Its dial has ended: it stands where the socket takes bytes and has no error.
    pub(super) fn connected(&mut self, writable: bool) -> Result<(), LinkEnd> {
        if !matches!(self.socket.take_error(), Ok(None)) || !writable {
            return Err(LinkEnd::Unreachable);
        }
        self.connecting = false;
        Ok(())
    }

    /// Whether it has taken nothing since that moment.
    pub(super) fn blocked_since(&self, moment: Micros) -> bool {
        self.blocked.is_some_and(|since| since <= moment)
    }

    /// Lets a message wait for the link. Where too many do, the oldest that a later one makes needless is left out.
    pub(super) fn push(&mut self, message: Message) -> Result<(), LinkEnd> {
        if self.queue.len() >= QUEUE {
            match self.queue.iter().position(Message::replaceable) {
                Some(at) => drop(self.queue.remove(at)),
                None => return Err(LinkEnd::QueueFull),
            }
        }
        self.queue.push_back(message);
        Ok(())
    }

    /// Writes what waits, as far as the socket takes it.
    pub(super) fn flush(
        &mut self,
        poller: &Poller,
        token: u64,
        traffic: &Traffic,
    ) -> Result<(), LinkEnd> {
        if self.connecting {
            return Ok(());
        }
        while self.session.is_established() && self.session.outgoing().len() < UNSENT {
            let Some(message) = self.queue.pop_front() else {
                break;
            };
            let bytes = message.encode();
            if self.session.send(&bytes) {
                traffic.count(
                    Direction::Sent,
                    message.kind(),
                    bytes.len() + FRAME_OVERHEAD,
                );
            }
        }
        let written = self.write()?;
        let waits = !self.session.outgoing().is_empty();
        self.blocked = match (waits, written) {
            (false, _) => None,
            (true, 0) => self.blocked.or_else(|| Some(boottime())),
            (true, _) => Some(boottime()),
        };
        let wanted = Interest {
            read: true,
            write: waits,
            end: false,
        };
        if wanted != self.watched {
            let _ = poller.watch(&self.socket, token, Some(self.watched), Some(wanted));
            self.watched = wanted;
        }
        Ok(())
    }

    /// Writes bytes until the socket takes no more; how many it took.
    fn write(&mut self) -> Result<usize, LinkEnd> {
        let out = self.session.outgoing();
        let mut written = 0;
        while written < out.len() {
            match (&self.socket).write(&out[written..]) {
                Ok(n) if n > 0 => written += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if timed_out(&e) => break,
                _ => return Err(LinkEnd::Broke),
            }
        }
        out.drain(..written);
        Ok(written)
    }

    /// Reads what has come; the messages in it that this build knows.
    pub(super) fn read(&mut self, traffic: &Traffic) -> Result<Vec<Message>, LinkEnd> {
        let mut piece = vec![0; PIECE];
        let n = match (&self.socket).read(&mut piece) {
            Ok(0) => return Err(LinkEnd::Ended),
            Ok(n) => n,
            Err(e) if timed_out(&e) || e.kind() == io::ErrorKind::Interrupted => {
                return Ok(Vec::new())
            }
            Err(_) => return Err(LinkEnd::Broke),
        };
        let knew = self.session.is_established();
        let frames = self
            .session
            .feed(&piece[..n])
            .map_err(LinkEnd::FrameError)?;
        if !knew && self.session.is_established() {
            traffic.count(Direction::Sent, HELLO_KIND, HELLO_BYTES);
            traffic.count(Direction::Received, HELLO_KIND, HELLO_BYTES);
        }
        let decoded = |bytes: &Vec<u8>| {
            let message = Message::decode(bytes)?;
            traffic.count(
                Direction::Received,
                message.kind(),
                bytes.len() + FRAME_OVERHEAD,
            );
            Some(message)
        };
        Ok(frames.iter().filter_map(decoded).collect())
    }
}
