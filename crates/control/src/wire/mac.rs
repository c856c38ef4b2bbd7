//! One connection between two processes of a fleet: frames with a length and a keyed hash.
//!
//! Both sides first say a number that they have drawn; every frame's hash covers both numbers, its direction and its
//! place. So what was recorded on one connection is worth nothing on another, or later on the same.
//!
//! Guards against: processes without the key, of another fleet or of another format, frames that are replayed, reordered
//! or cut, and lengths that would fill the memory.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Format of the frames and messages. Fleets of two formats do not talk; the log says which relay is the other.
pub const FRAME_FORMAT: u8 = 2;
/// The longest frame, in bytes: a policy of the longest text, or a piece of the log, and some.
pub const MAX_FRAME_BYTES: usize = 512 * 1024;
const MAGIC: [u8; 3] = *b"JFC";
const NUMBER: usize = 16;
const TAG: usize = 32;
const LENGTH: usize = 4;
/// What a frame has beside its message, in bytes.
pub const FRAME_OVERHEAD: usize = LENGTH + TAG;
/// What each side says first, in bytes: magic, format, fleet, number.
pub const HELLO_BYTES: usize = 3 + 1 + 8 + NUMBER + TAG;

type Hash = Hmac<Sha256>;

/// Why a connection cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// It speaks something else.
    WrongProtocol,
    /// It speaks another format.
    WrongFormat(u8),
    /// It is of another fleet.
    WrongFleet,
    /// It has none of the keys, or what it sends was changed, doubled or left out.
    WrongKey,
    /// A frame is longer than any may be.
    TooLong,
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FrameError::WrongProtocol => write!(f, "does not speak the fleet's protocol"),
            FrameError::WrongFormat(n) => write!(
                f,
                "speaks format {n}, this build {FRAME_FORMAT}: upgrade the older one"
            ),
            FrameError::WrongFleet => write!(f, "is of another fleet: compare fleet.id"),
            FrameError::WrongKey => {
                write!(f, "has none of this relay's keys, or sends what is not its own: compare fleet.keys")
            }
            FrameError::TooLong => write!(f, "sends a frame longer than {MAX_FRAME_BYTES} bytes"),
        }
    }
}

/// One side of a connection.
pub struct FrameSession {
    keys: Vec<Vec<u8>>,
    key: usize,
    fleet: u64,
    dials: bool,
    mine: [u8; NUMBER],
    theirs: Option<[u8; NUMBER]>,
    sent: u64,
    got: u64,
    inbox: Vec<u8>,
    outgoing: Vec<u8>,
}

impl FrameSession {
    /// The side that dials, or the one that is dialled. The first key seals, each opens; `number` must be random.
    pub fn new(dials: bool, keys: Vec<Vec<u8>>, fleet: u64, number: [u8; NUMBER]) -> FrameSession {
        let (inbox, out) = (Vec::new(), Vec::new());
        let mut session = FrameSession {
            keys,
            key: 0,
            fleet,
            dials,
            mine: number,
            theirs: None,
            sent: 0,
            got: 0,
            inbox,
            outgoing: out,
        };
        if dials {
            session.hello();
        }
        session
    }

    /// Whether frames can be sent.
    pub fn is_established(&self) -> bool {
        self.theirs.is_some()
    }

    /// What is to be written to the socket.
    pub fn outgoing(&mut self) -> &mut Vec<u8> {
        &mut self.outgoing
    }

    fn hash(&self, key: usize) -> Hash {
        // Any length of key will do: this cannot fail.
        Hash::new_from_slice(&self.keys[key]).unwrap_or_else(|_| unreachable!())
    }

    fn hello(&mut self) {
        let mut hello = MAGIC.to_vec();
        hello.push(FRAME_FORMAT);
        hello.extend_from_slice(&self.fleet.to_be_bytes());
        hello.extend_from_slice(&self.mine);
        let mut hash = self.hash(self.key);
        hash.update(&hello);
        // Who answers shows that it has heard the number of whoever dialled.
        hash.update(&self.theirs.unwrap_or_default());
        hello.extend_from_slice(&hash.finalize().into_bytes());
        self.outgoing.extend_from_slice(&hello);
    }

    fn heard(&mut self, hello: &[u8]) -> Result<(), FrameError> {
        if hello[..3] != MAGIC {
            return Err(FrameError::WrongProtocol);
        }
        if hello[3] != FRAME_FORMAT {
            return Err(FrameError::WrongFormat(hello[3]));
        }
        if hello[4..12] != self.fleet.to_be_bytes() {
            return Err(FrameError::WrongFleet);
        }
        let (said, tag) = hello.split_at(HELLO_BYTES - TAG);
        let knows = |key: &usize| {
            let mut hash = self.hash(*key);
            hash.update(said);
            hash.update(&if self.dials { self.mine } else { [0; NUMBER] });
            hash.verify_slice(tag).is_ok()
        };
        self.key = (0..self.keys.len())
            .find(knows)
            .ok_or(FrameError::WrongKey)?;
        let mut theirs = [0; NUMBER];
        theirs.copy_from_slice(&said[12..]);
        self.theirs = Some(theirs);
        if !self.dials {
            self.hello();
        }
        Ok(())
    }

    fn tag(&self, by_dialler: bool, place: u64, body: &[u8]) -> Hash {
        let (a, b) = (self.mine, self.theirs.unwrap_or_default());
        let (first, second) = if self.dials { (a, b) } else { (b, a) };
        let mut hash = self.hash(self.key);
        hash.update(&first);
        hash.update(&second);
        hash.update(&[u8::from(by_dialler)]);
        hash.update(&place.to_be_bytes());
        hash.update(body);
        hash
    }

    /// Puts a message into a frame. False where it is too long for one, or the other side has not answered yet.
    pub fn send(&mut self, body: &[u8]) -> bool {
        if self.theirs.is_none() || body.len() + TAG > MAX_FRAME_BYTES {
            return false;
        }
        let tag = self
            .tag(self.dials, self.sent, body)
            .finalize()
            .into_bytes();
        self.sent += 1;
        self.outgoing
            .extend_from_slice(&((body.len() + TAG) as u32).to_be_bytes());
        self.outgoing.extend_from_slice(body);
        self.outgoing.extend_from_slice(&tag);
        true
    }

    /// Takes what has come; the messages in it.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Vec<u8>>, FrameError> {
        self.inbox.extend_from_slice(bytes);
        let (mut at, mut messages) = (0, Vec::new());
        if self.theirs.is_none() {
            // Said as soon as it can be seen, not after a wait for the rest.
            if self.inbox.iter().zip(&MAGIC).any(|(a, b)| a != b) {
                return Err(FrameError::WrongProtocol);
            }
            if self.inbox.len() < HELLO_BYTES {
                return Ok(messages);
            }
            let hello: Vec<u8> = self.inbox.drain(..HELLO_BYTES).collect();
            self.heard(&hello)?;
        }
        loop {
            let rest = &self.inbox[at..];
            let Some(length) = rest
                .first_chunk::<LENGTH>()
                .map(|b| u32::from_be_bytes(*b) as usize)
            else {
                break;
            };
            if !(TAG..=MAX_FRAME_BYTES).contains(&length) {
                return Err(FrameError::TooLong);
            }
            let Some(frame) = rest.get(LENGTH..LENGTH + length) else {
                break;
            };
            let (body, tag) = frame.split_at(length - TAG);
            self.tag(!self.dials, self.got, body)
                .verify_slice(tag)
                .map_err(|_| FrameError::WrongKey)?;
            self.got += 1;
            messages.push(body.to_vec());
            at += LENGTH + length;
        }
        self.inbox.drain(..at);
        Ok(messages)
    }
}

#[cfg(test)]
mod tests;
