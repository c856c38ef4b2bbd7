//! One link to another process of the fleet: its socket, its authenticated session and its outbound
//! queue.
//!
//! Guards against: a peer that accepts no bytes (the queue is bounded, and replaceable messages are
//! dropped first), and one that sends without pause (the size of a read is bounded).

use crate::decisions::api::Micros;
use crate::net::poll::{Interest, Poller};
use crate::ops::traffic::{Direction, Traffic};
use crate::sys::{boottime, timed_out};
use jaspermoor_control::wire::frame::{FrameError, FrameSession, FRAME_OVERHEAD, HELLO_BYTES};
use jaspermoor_control::wire::message::Message;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Identifies a link for as long as the process runs; also its token in the poller.
pub(super) type LinkId = u64;
/// The listening socket's token in the poller.
pub(super) const LISTENER: u64 = 1;
/// The id of the first link.
pub(super) const FIRST_LINK: LinkId = 16;

/// The most messages in the outbound queue of a link; beyond that, replaceable ones are dropped.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Unsent bytes of a link from which messages stay in the queue, where they can still be dropped.
const MAX_UNSENT_BYTES: usize = 1024 * 1024;
/// Bytes read from a link at once, so that a fast sender does not starve the other links.
const READ_BYTES: usize = 64 * 1024;

/// The message type of a session's hello in the metrics.
const HELLO_KIND: &str = "hello";

/// Waits for received bytes, not for space to send.
pub(super) const READ_ONLY: Interest = Interest {
    read: true,
    write: false,
};
/// Waits for the end of a dial.
const WRITE_ONLY: Interest = Interest {
    read: false,
    write: true,
};
/// Waits for received bytes and for space to send.
const READ_WRITE: Interest = Interest {
    read: true,
    write: true,
};

/// The reason why a link was closed.
#[derive(Debug)]
pub(super) enum CloseReason {
    /// The peer closed it.
    ClosedByPeer,
    /// A read or a write failed.
    Broken,
    /// The peer sent bytes that are not a valid frame of this fleet.
    InvalidFrame(FrameError),
    /// The queue is full of messages that must not be dropped.
    QueueFull,
    /// The peer accepted no bytes for too long.
    Stuck,
    /// The dial failed.
    Unreachable,
}

/// A link to another process of the fleet.
pub(super) struct Link {
    pub(super) socket: TcpStream,
    session: FrameSession,
    /// The number of the voter that was dialled; none for an accepted link.
    pub(super) dialled_voter: Option<u64>,
    /// Whether the dial is in progress.
    connecting: bool,
    /// The events that the poller watches the socket for.
    watched: Interest,
    queue: VecDeque<Message>,
    /// Since when the peer has accepted none of the unsent bytes; none without unsent bytes.
    blocked_since: Option<Micros>,
}

impl Link {
    /// A link to a voter whose dial has begun.
    pub(super) fn dialled(socket: TcpStream, session: FrameSession, voter: u64) -> Link {
        Link {
            dialled_voter: Some(voter),
            connecting: true,
            ..Link::new(socket, session, WRITE_ONLY)
        }
    }

    /// A link that another process has dialled.
    pub(super) fn accepted(socket: TcpStream, session: FrameSession) -> Link {
        Link::new(socket, session, READ_ONLY)
    }

    fn new(socket: TcpStream, session: FrameSession, watched: Interest) -> Link {
        Link {
            socket,
            session,
            dialled_voter: None,
            connecting: false,
            watched,
            queue: VecDeque::new(),
            blocked_since: None,
        }
    }

    /// Registers the socket with the poller.
    pub(super) fn watch(&self, poller: &Poller, id: LinkId) -> io::Result<()> {
        poller.watch(&self.socket, id, None, Some(self.watched))
    }

    /// Whether the dial is in progress.
    pub(super) fn is_connecting(&self) -> bool {
        self.connecting
    }

    /// Ends the dial. The link is connected if the socket is writable and has no error.
    pub(super) fn finish_connecting(&mut self, writable: bool) -> Result<(), CloseReason> {
        if !matches!(self.socket.take_error(), Ok(None)) || !writable {
            return Err(CloseReason::Unreachable);
        }
        self.connecting = false;
        Ok(())
    }

    /// Whether the peer has accepted no bytes since this time or longer.
    pub(super) fn is_blocked_since(&self, moment: Micros) -> bool {
        self.blocked_since.is_some_and(|since| since <= moment)
    }

    /// Queues a message. If the queue is full, the oldest replaceable message is dropped.
    pub(super) fn enqueue(&mut self, message: Message) -> Result<(), CloseReason> {
        if self.queue.len() >= MAX_QUEUED_MESSAGES {
            match self.queue.iter().position(Message::replaceable) {
                Some(index) => drop(self.queue.remove(index)),
                None => return Err(CloseReason::QueueFull),
            }
        }
        self.queue.push_back(message);
        Ok(())
    }

    /// Sends queued messages if the session is established, as far as the socket accepts bytes.
    pub(super) fn flush(
        &mut self,
        poller: &Poller,
        id: LinkId,
        traffic: &Traffic,
    ) -> Result<(), CloseReason> {
        if self.connecting {
            return Ok(());
        }
        self.frame_queued(traffic);
        let written = self.write()?;
        let unsent = !self.session.outgoing().is_empty();
        self.blocked_since = match (unsent, written) {
            (false, _) => None,
            (true, 0) => self.blocked_since.or_else(|| Some(boottime())),
            (true, _) => Some(boottime()),
        };
        self.set_interest(poller, id, if unsent { READ_WRITE } else { READ_ONLY });
        Ok(())
    }

    /// Moves messages from the queue into frames of the session.
    fn frame_queued(&mut self, traffic: &Traffic) {
        while self.session.is_established() && self.session.outgoing().len() < MAX_UNSENT_BYTES {
            let Some(message) = self.queue.pop_front() else {
                break;
            };
            let bytes = message.encode();
            if self.session.send(&bytes) {
                let frame_bytes = bytes.len() + FRAME_OVERHEAD;
                traffic.count(Direction::Sent, message.kind(), frame_bytes);
            }
        }
    }

    fn set_interest(&mut self, poller: &Poller, id: LinkId, interest: Interest) {
        if interest != self.watched {
            let _ = poller.watch(&self.socket, id, Some(self.watched), Some(interest));
            self.watched = interest;
        }
    }

    /// Writes until the socket accepts no more. Returns the number of bytes that it accepted.
    fn write(&mut self) -> Result<usize, CloseReason> {
        let unsent = self.session.outgoing();
        let mut written = 0;
        while written < unsent.len() {
            match (&self.socket).write(&unsent[written..]) {
                Ok(n) if n > 0 => written += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if timed_out(&e) => break,
                _ => return Err(CloseReason::Broken),
            }
        }
        unsent.drain(..written);
        Ok(written)
    }

    /// Reads received bytes. Returns the messages in them, without those of types that this build
    /// does not know.
    pub(super) fn read(&mut self, traffic: &Traffic) -> Result<Vec<Message>, CloseReason> {
        let mut buffer = vec![0; READ_BYTES];
        let received = match (&self.socket).read(&mut buffer) {
            Ok(0) => return Err(CloseReason::ClosedByPeer),
            Ok(n) => n,
            Err(e) if timed_out(&e) || e.kind() == io::ErrorKind::Interrupted => {
                return Ok(Vec::new())
            }
            Err(_) => return Err(CloseReason::Broken),
        };
        let was_established = self.session.is_established();
        let frames = self
            .session
            .feed(&buffer[..received])
            .map_err(CloseReason::InvalidFrame)?;
        if !was_established && self.session.is_established() {
            traffic.count(Direction::Sent, HELLO_KIND, HELLO_BYTES);
            traffic.count(Direction::Received, HELLO_KIND, HELLO_BYTES);
        }
        let decode = |bytes: &Vec<u8>| {
            let message = Message::decode(bytes)?;
            let frame_bytes = bytes.len() + FRAME_OVERHEAD;
            traffic.count(Direction::Received, message.kind(), frame_bytes);
            Some(message)
        };
        Ok(frames.iter().filter_map(decode).collect())
    }
}
