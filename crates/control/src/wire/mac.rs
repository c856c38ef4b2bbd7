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
pub const FORMAT: u8 = 2;
/// The longest frame, in bytes: a policy of the longest text, or a piece of the log, and some.
pub const MOST: usize = 512 * 1024;
const MAGIC: [u8; 3] = *b"JFC";
const NUMBER: usize = 16;
const TAG: usize = 32;
const LENGTH: usize = 4;
/// What a frame has beside its message, in bytes.
pub const FRAME: usize = LENGTH + TAG;
/// What each side says first, in bytes: magic, format, fleet, number.
pub const HELLO: usize = 3 + 1 + 8 + NUMBER + TAG;

type Hash = Hmac<Sha256>;

/// Why a connection cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It speaks something else.
    Magic,
    /// It speaks another format.
    Format(u8),
    /// It is of another fleet.
    Fleet,
    /// It has none of the keys, or what it sends was changed, doubled or left out.
    Key,
    /// A frame is longer than any may be.
    Length,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::Magic => write!(f, "does not speak the fleet's protocol"),
            Fault::Format(n) => write!(
                f,
                "speaks format {n}, this build {FORMAT}: upgrade the older one"
            ),
            Fault::Fleet => write!(f, "is of another fleet: compare fleet.id"),
            Fault::Key => {
                write!(f, "has none of this relay's keys, or sends what is not its own: compare fleet.keys")
            }
            Fault::Length => write!(f, "sends a frame longer than {MOST} bytes"),
        }
    }
}

/// One side of a connection.
pub struct Session {
    keys: Vec<Vec<u8>>,
    key: usize,
    fleet: u64,
    dials: bool,
    mine: [u8; NUMBER],
    theirs: Option<[u8; NUMBER]>,
    sent: u64,
    got: u64,
    inbox: Vec<u8>,
    out: Vec<u8>,
}

impl Session {
    /// The side that dials, or the one that is dialled. The first key seals, each opens; `number` must be random.
    pub fn new(dials: bool, keys: Vec<Vec<u8>>, fleet: u64, number: [u8; NUMBER]) -> Session {
        let (inbox, out) = (Vec::new(), Vec::new());
        let mut session = Session {
            keys,
            key: 0,
            fleet,
            dials,
            mine: number,
            theirs: None,
            sent: 0,
            got: 0,
            inbox,
            out,
        };
        if dials {
            session.hello();
        }
        session
    }

    /// Whether frames can be sent.
    pub fn ready(&self) -> bool {
        self.theirs.is_some()
    }

    /// What is to be written to the socket.
    pub fn out(&mut self) -> &mut Vec<u8> {
        &mut self.out
    }

    fn hash(&self, key: usize) -> Hash {
        // Any length of key will do: this cannot fail.
        Hash::new_from_slice(&self.keys[key]).unwrap_or_else(|_| unreachable!())
    }

    fn hello(&mut self) {
        let mut hello = MAGIC.to_vec();
        hello.push(FORMAT);
        hello.extend_from_slice(&self.fleet.to_be_bytes());
        hello.extend_from_slice(&self.mine);
        let mut hash = self.hash(self.key);
        hash.update(&hello);
        // Who answers shows that it has heard the number of whoever dialled.
        hash.update(&self.theirs.unwrap_or_default());
        hello.extend_from_slice(&hash.finalize().into_bytes());
        self.out.extend_from_slice(&hello);
    }

    fn heard(&mut self, hello: &[u8]) -> Result<(), Fault> {
        if hello[..3] != MAGIC {
            return Err(Fault::Magic);
        }
        if hello[3] != FORMAT {
            return Err(Fault::Format(hello[3]));
        }
        if hello[4..12] != self.fleet.to_be_bytes() {
            return Err(Fault::Fleet);
        }
        let (said, tag) = hello.split_at(HELLO - TAG);
        let knows = |key: &usize| {
            let mut hash = self.hash(*key);
            hash.update(said);
            hash.update(&if self.dials { self.mine } else { [0; NUMBER] });
            hash.verify_slice(tag).is_ok()
        };
        self.key = (0..self.keys.len()).find(knows).ok_or(Fault::Key)?;
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
        if self.theirs.is_none() || body.len() + TAG > MOST {
            return false;
        }
        let tag = self
            .tag(self.dials, self.sent, body)
            .finalize()
            .into_bytes();
        self.sent += 1;
        self.out
            .extend_from_slice(&((body.len() + TAG) as u32).to_be_bytes());
        self.out.extend_from_slice(body);
        self.out.extend_from_slice(&tag);
        true
    }

    /// Takes what has come; the messages in it.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Vec<u8>>, Fault> {
        self.inbox.extend_from_slice(bytes);
        let (mut at, mut messages) = (0, Vec::new());
        if self.theirs.is_none() {
            // Said as soon as it can be seen, not after a wait for the rest.
            if self.inbox.iter().zip(&MAGIC).any(|(a, b)| a != b) {
                return Err(Fault::Magic);
            }
            if self.inbox.len() < HELLO {
                return Ok(messages);
            }
            let hello: Vec<u8> = self.inbox.drain(..HELLO).collect();
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
            if !(TAG..=MOST).contains(&length) {
                return Err(Fault::Length);
            }
            let Some(frame) = rest.get(LENGTH..LENGTH + length) else {
                break;
            };
            let (body, tag) = frame.split_at(length - TAG);
            self.tag(!self.dials, self.got, body)
                .verify_slice(tag)
                .map_err(|_| Fault::Key)?;
            self.got += 1;
            messages.push(body.to_vec());
            at += LENGTH + length;
        }
        self.inbox.drain(..at);
        Ok(messages)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn keys(of: &[&str]) -> Vec<Vec<u8>> {
        of.iter().map(|key| key.as_bytes().to_vec()).collect()
    }

    fn pair(dials: &[&str], answers: &[&str]) -> (Session, Session) {
        (
            Session::new(true, keys(dials), 7, [1; 16]),
            Session::new(false, keys(answers), 7, [2; 16]),
        )
    }

    fn pass(from: &mut Session, to: &mut Session) -> Result<Vec<Vec<u8>>, Fault> {
        let bytes = std::mem::take(from.out());
        to.feed(&bytes)
    }

    fn greet(a: &mut Session, b: &mut Session) -> Result<(), Fault> {
        pass(a, b)?;
        pass(b, a).map(drop)
    }

    #[test]
    fn messages_go_both_ways_in_pieces_and_a_change_of_keys_breaks_nothing() {
        for (dials, answers) in [
            (&["a"][..], &["a"][..]),
            (&["new", "old"], &["old", "new"]),
            (&["old"], &["new", "old"]),
        ] {
            let (mut a, mut b) = pair(dials, answers);
            assert!(!a.send(b"too early"));
            greet(&mut a, &mut b).unwrap();
            assert!(a.ready() && b.ready() && a.send(b"one") && a.send(b"two") && b.send(b""));
            let mut heard = Vec::new();
            for byte in std::mem::take(a.out()) {
                heard.extend(b.feed(&[byte]).unwrap());
            }
            assert_eq!(heard, [b"one", b"two"]);
            assert_eq!(pass(&mut b, &mut a).unwrap(), [b""]);
        }
    }

    #[test]
    fn strangers_are_told_apart() {
        let (mut a, mut b) = pair(&["a"], &["b"]);
        assert_eq!(pass(&mut a, &mut b), Err(Fault::Key));
        let mut other = Session::new(false, keys(&["a"]), 8, [2; 16]);
        let (mut a, _) = pair(&["a"], &["a"]);
        assert_eq!(pass(&mut a, &mut other), Err(Fault::Fleet));
        let (mut a, mut b) = pair(&["a"], &["a"]);
        a.out()[3] = 9;
        assert_eq!(pass(&mut a, &mut b), Err(Fault::Format(9)));
        let (_, mut b) = pair(&["a"], &["a"]);
        assert_eq!(b.feed(b"GET / HTTP"), Err(Fault::Magic));
        let (mut a, mut b) = pair(&["a"], &["a"]);
        greet(&mut a, &mut b).unwrap();
        assert_eq!(b.feed(&u32::MAX.to_be_bytes()), Err(Fault::Length));
    }

    #[test]
    fn what_is_replayed_or_changed_is_refused() {
        let (mut a, mut b) = pair(&["a"], &["a"]);
        greet(&mut a, &mut b).unwrap();
        a.send(b"one");
        let frame = std::mem::take(a.out());
        assert_eq!(b.feed(&frame).unwrap(), [b"one"]);
        assert_eq!(b.feed(&frame), Err(Fault::Key), "the same again");
        // On another connection, with the same hello before it.
        let mut c = Session::new(false, keys(&["a"]), 7, [3; 16]);
        let (mut d, _) = pair(&["a"], &["a"]);
        pass(&mut d, &mut c).unwrap();
        assert_eq!(c.feed(&frame), Err(Fault::Key));
        // One's own words sent back.
        let (mut a, mut b) = pair(&["a"], &["a"]);
        greet(&mut a, &mut b).unwrap();
        a.send(b"one");
        let frame = std::mem::take(a.out());
        assert_eq!(a.feed(&frame), Err(Fault::Key));
    }
}
