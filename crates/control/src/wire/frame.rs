//! Authenticated connection between two processes of a fleet: frames with a length and an
//! authentication tag (HMAC-SHA256).
//!
//! Each side first sends a hello with a nonce. The tag of a frame covers both nonces, the direction
//! and the sequence number of the frame, so a recorded frame is invalid on any other connection and
//! at any other position of the same connection.
//!
//! Guards against: processes without the key, of another fleet or with another format, frames that
//! are replayed, reordered or truncated, and lengths that would exhaust memory.
//!
//! ```text
//! hello: magic (3)  format (1)  fleet (8)  nonce (16)  tag (32)
//! frame: length of body and tag (4)  body  tag (32)
//! ```

use hmac::{Hmac, Mac};
use sha2::Sha256;
use thiserror::Error;

/// Format of frames and messages. Processes with different formats reject each other's connections.
pub const FRAME_FORMAT: u8 = 2;
/// Maximum length of the body and tag of a frame, in bytes. Large enough for the longest policy or
/// a batch of log entries.
pub const MAX_FRAME_BYTES: usize = 512 * 1024;
/// First bytes of a hello.
const MAGIC: [u8; 3] = *b"JFC";
const FORMAT_BYTES: usize = 1;
const FLEET_BYTES: usize = 8;
const NONCE_BYTES: usize = 16;
const TAG_BYTES: usize = 32;
const LENGTH_BYTES: usize = 4;
/// Number of bytes that a frame adds to its body.
pub const FRAME_OVERHEAD: usize = LENGTH_BYTES + TAG_BYTES;
/// Length of a hello, in bytes.
pub const HELLO_BYTES: usize = NONCE_OFFSET + NONCE_BYTES + TAG_BYTES;
const FORMAT_OFFSET: usize = MAGIC.len();
const FLEET_OFFSET: usize = FORMAT_OFFSET + FORMAT_BYTES;
const NONCE_OFFSET: usize = FLEET_OFFSET + FLEET_BYTES;

type Hash = Hmac<Sha256>;

/// Error because of which a connection must be closed. The text continues a sentence that starts
/// with the peer's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The peer uses another protocol.
    #[error("does not speak the fleet's protocol")]
    WrongProtocol,
    /// The peer uses another format of this protocol.
    #[error("speaks format {0}, this build {FRAME_FORMAT}: upgrade the older one")]
    WrongFormat(u8),
    /// The peer belongs to another fleet.
    #[error("is of another fleet: compare fleet.id")]
    WrongFleet,
    /// The peer has none of the keys, or a frame was altered, replayed or dropped.
    #[error("has none of this relay's keys, or a frame was altered, replayed or dropped: compare fleet.keys")]
    WrongKey,
    /// The peer sent a frame that is longer than [`MAX_FRAME_BYTES`], or too short for its tag.
    #[error("sent a frame whose length is not between {TAG_BYTES} and {MAX_FRAME_BYTES} bytes")]
    InvalidLength,
}

/// One side of a connection. Converts bytes from the socket into messages, and messages into bytes
/// for the socket.
pub struct FrameSession {
    keys: Vec<Vec<u8>>,
    /// Index of the key in use.
    key_index: usize,
    fleet: u64,
    is_dialler: bool,
    own_nonce: [u8; NONCE_BYTES],
    /// Nonce of the peer; `None` until its hello has arrived.
    peer_nonce: Option<[u8; NONCE_BYTES]>,
    sent_frames: u64,
    received_frames: u64,
    /// Received bytes that do not form a complete hello or frame yet.
    incoming: Vec<u8>,
    outgoing: Vec<u8>,
}

impl FrameSession {
    /// Creates the dialling or the accepting side. The dialling side uses the first key; the
    /// accepting side accepts any of its keys and uses the one that the peer used. `nonce` must be
    /// random.
    pub fn new(
        is_dialler: bool,
        keys: Vec<Vec<u8>>,
        fleet: u64,
        nonce: [u8; NONCE_BYTES],
    ) -> FrameSession {
        let mut session = FrameSession {
            keys,
            key_index: 0,
            fleet,
            is_dialler,
            own_nonce: nonce,
            peer_nonce: None,
            sent_frames: 0,
            received_frames: 0,
            incoming: Vec::new(),
            outgoing: Vec::new(),
        };
        if is_dialler {
            session.send_hello();
        }
        session
    }

    /// Whether the peer's hello has arrived, so that frames can be sent.
    pub fn is_established(&self) -> bool {
        self.peer_nonce.is_some()
    }

    /// Bytes to write to the socket. The caller removes the bytes that it has written.
    pub fn outgoing(&mut self) -> &mut Vec<u8> {
        &mut self.outgoing
    }

    fn new_hash(&self, key_index: usize) -> Hash {
        // HMAC accepts keys of any length, so this cannot fail.
        Hash::new_from_slice(&self.keys[key_index]).unwrap_or_else(|_| unreachable!())
    }

    fn send_hello(&mut self) {
        let mut hello = MAGIC.to_vec();
        hello.push(FRAME_FORMAT);
        hello.extend_from_slice(&self.fleet.to_be_bytes());
        hello.extend_from_slice(&self.own_nonce);
        let mut hash = self.new_hash(self.key_index);
        hash.update(&hello);
        // Covers the dialler's nonce, which proves that the acceptor's hello answers this dialler.
        hash.update(&self.peer_nonce.unwrap_or_default());
        hello.extend_from_slice(&hash.finalize().into_bytes());
        self.outgoing.extend_from_slice(&hello);
    }

    /// Checks the peer's hello and selects the key that it uses.
    fn receive_hello(&mut self, hello: &[u8]) -> Result<(), FrameError> {
        if hello[..FORMAT_OFFSET] != MAGIC {
            return Err(FrameError::WrongProtocol);
        }
        let format = hello[FORMAT_OFFSET];
        if format != FRAME_FORMAT {
            return Err(FrameError::WrongFormat(format));
        }
        if hello[FLEET_OFFSET..NONCE_OFFSET] != self.fleet.to_be_bytes() {
            return Err(FrameError::WrongFleet);
        }
        let (content, tag) = hello.split_at(HELLO_BYTES - TAG_BYTES);
        let answered_nonce = if self.is_dialler {
            self.own_nonce
        } else {
            [0; NONCE_BYTES]
        };
        let is_valid_with = |key_index: &usize| {
            let mut hash = self.new_hash(*key_index);
            hash.update(content);
            hash.update(&answered_nonce);
            hash.verify_slice(tag).is_ok()
        };
        self.key_index = (0..self.keys.len())
            .find(is_valid_with)
            .ok_or(FrameError::WrongKey)?;
        let mut peer_nonce = [0; NONCE_BYTES];
        peer_nonce.copy_from_slice(&content[NONCE_OFFSET..]);
        self.peer_nonce = Some(peer_nonce);
        if !self.is_dialler {
            self.send_hello();
        }
        Ok(())
    }

    /// Hash of a frame over both nonces, its direction, its sequence number and its body.
    fn frame_hash(&self, from_dialler: bool, sequence: u64, body: &[u8]) -> Hash {
        let peer_nonce = self.peer_nonce.unwrap_or_default();
        let (dialler_nonce, acceptor_nonce) = if self.is_dialler {
            (self.own_nonce, peer_nonce)
        } else {
            (peer_nonce, self.own_nonce)
        };
        let mut hash = self.new_hash(self.key_index);
        hash.update(&dialler_nonce);
        hash.update(&acceptor_nonce);
        hash.update(&[u8::from(from_dialler)]);
        hash.update(&sequence.to_be_bytes());
        hash.update(body);
        hash
    }

    /// Queues a message as a frame. Returns false if it is too long for a frame or the connection
    /// is not established yet.
    pub fn send(&mut self, body: &[u8]) -> bool {
        let length = body.len() + TAG_BYTES;
        if !self.is_established() || length > MAX_FRAME_BYTES {
            return false;
        }
        let hash = self.frame_hash(self.is_dialler, self.sent_frames, body);
        self.sent_frames += 1;
        self.outgoing
            .extend_from_slice(&(length as u32).to_be_bytes());
        self.outgoing.extend_from_slice(body);
        self.outgoing
            .extend_from_slice(&hash.finalize().into_bytes());
        true
    }

    /// Handles bytes received from the socket. Returns the messages that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Vec<u8>>, FrameError> {
        self.incoming.extend_from_slice(bytes);
        if !self.is_established() {
            // Fails at the first wrong byte instead of waiting for the rest of a hello.
            let starts_as_hello = self.incoming.iter().zip(&MAGIC).all(|(a, b)| a == b);
            if !starts_as_hello {
                return Err(FrameError::WrongProtocol);
            }
            if self.incoming.len() < HELLO_BYTES {
                return Ok(Vec::new());
            }
            let hello: Vec<u8> = self.incoming.drain(..HELLO_BYTES).collect();
            self.receive_hello(&hello)?;
        }
        self.receive_frames()
    }

    /// Removes the complete frames from the received bytes and returns their bodies.
    fn receive_frames(&mut self) -> Result<Vec<Vec<u8>>, FrameError> {
        let mut messages = Vec::new();
        let mut consumed = 0;
        loop {
            let rest = &self.incoming[consumed..];
            let Some(length) = rest.first_chunk::<LENGTH_BYTES>() else {
                break;
            };
            let length = u32::from_be_bytes(*length) as usize;
            if !(TAG_BYTES..=MAX_FRAME_BYTES).contains(&length) {
                return Err(FrameError::InvalidLength);
            }
            let Some(frame) = rest.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
                break;
            };
            let (body, tag) = frame.split_at(length - TAG_BYTES);
            self.frame_hash(!self.is_dialler, self.received_frames, body)
                .verify_slice(tag)
                .map_err(|_| FrameError::WrongKey)?;
            self.received_frames += 1;
            messages.push(body.to_vec());
            consumed += LENGTH_BYTES + length;
        }
        self.incoming.drain(..consumed);
        Ok(messages)
    }
}

#[cfg(test)]
mod tests;
