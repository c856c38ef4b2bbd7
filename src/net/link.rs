//! The relay's socket to one peer, a client or a backend, with or without TLS.
//!
//! Guards against: a peer that makes TLS buffer much. The TLS library holds an incomplete record or
//! handshake message, and what the peer does not accept, and tells neither size; they are counted
//! here, so that connections can count them in their budgets.

use crate::protocol::buffer::Buffer;
use crate::sys::timed_out;
use rustls::Connection;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;

/// The read buffer of an idle TLS connection, in bytes: that much is part of what each connection
/// costs.
const IDLE_TLS_BUFFER: usize = 4096;
/// The most bytes that a peer may send after its TLS handshake without completing a record with data:
/// the largest record, and session tickets before it. Only a handshake message in parts is longer,
/// and no peer needs a long one any more.
const MAX_INCOMPLETE_TLS: usize = 22 * 1024;
/// The length of a record's header (RFC 8446, 5.1), in bytes.
const RECORD_HEADER: usize = 5;

/// A reader that has no bytes for now.
struct NothingToRead;

impl Read for NothingToRead {
    fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
        Err(ErrorKind::WouldBlock.into())
    }
}

/// Follows the boundaries of the records that a peer sends.
#[derive(Clone, Copy, Debug, Default)]
struct RecordBoundaries {
    header: [u8; RECORD_HEADER],
    /// Bytes received of the present record, its header included.
    received: usize,
}

impl RecordBoundaries {
    /// Takes the next bytes from the peer.
    fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let end = self.record_len().unwrap_or(RECORD_HEADER);
            let n = bytes.len().min(end - self.received);
            if self.received < RECORD_HEADER {
                self.header[self.received..self.received + n].copy_from_slice(&bytes[..n]);
            }
            self.received += n;
            bytes = &bytes[n..];
            if self.record_len() == Some(self.received) {
                self.received = 0;
            }
        }
    }

    /// The length of the present record, header included; none before its header is complete.
    fn record_len(&self) -> Option<usize> {
        let [_, _, _, high, low] = self.header;
        let payload = usize::from(u16::from_be_bytes([high, low]));
        (self.received >= RECORD_HEADER).then_some(RECORD_HEADER + payload)
    }
}

/// The socket of a TLS connection, read for the TLS library.
struct RecordReader<'a> {
    socket: &'a TcpStream,
    records: &'a mut RecordBoundaries,
}

impl Read for RecordReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let n = self.socket.read(buffer)?;
        self.records.feed(&buffer[..n]);
        Ok(n)
    }
}

/// Upper bounds of what a TLS connection buffers, in bytes.
#[derive(Clone, Copy, Debug, Default)]
struct TlsBuffered {
    records: RecordBoundaries,
    /// Received since the last record with data, or the last step of the handshake.
    incomplete: usize,
    /// Encrypted, or to be, and not accepted by the socket.
    unsent: usize,
}

/// A socket to one peer, with its TLS state. The socket itself is shared with the session, so that
/// other threads can shut it down.
pub struct Link {
    /// The socket.
    pub socket: Arc<TcpStream>,
    tls: Option<Box<Connection>>,
    buffered: TlsBuffered,
}

impl Link {
    /// A link without TLS.
    pub fn plain(socket: Arc<TcpStream>) -> Link {
        Link {
            socket,
            tls: None,
            buffered: TlsBuffered::default(),
        }
    }

    /// Starts TLS. Call [`Link::continue_tls_handshake`] until it is established.
    pub fn start_tls(&mut self, tls: Connection) {
        self.tls = Some(Box::new(tls));
    }

    /// Continues the TLS handshake as far as the socket allows. True once TLS is established and
    /// all of the handshake was sent.
    pub fn continue_tls_handshake(&mut self) -> io::Result<bool> {
        let Some(tls) = &mut self.tls else {
            return Ok(true);
        };
        loop {
            while tls.wants_write() {
                match tls.write_tls(&mut &*self.socket) {
                    Ok(_) => {}
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e) if timed_out(&e) => return Ok(false),
                    Err(e) => return Err(e),
                }
            }
            if !tls.is_handshaking() {
                return Ok(true);
            }
            match read_tls_records(tls, &self.socket, &mut self.buffered) {
                Ok(()) => {}
                Err(e) if timed_out(&e) => return Ok(false),
                Err(e) => return Err(e),
            }
        }
    }

    /// Whether TLS holds bytes that the socket has not accepted yet.
    pub fn has_unsent_tls(&self) -> bool {
        self.tls.as_ref().is_some_and(|tls| tls.wants_write())
    }

    /// The bytes that TLS buffers, beyond those of every connection: at most those, and zero without
    /// TLS.
    pub fn buffered_tls_bytes(&self) -> usize {
        let TlsBuffered {
            incomplete, unsent, ..
        } = self.buffered;
        incomplete.saturating_sub(IDLE_TLS_BUFFER) + unsent
    }

    /// Reads received bytes into a buffer; 0 is the end of the stream. With TLS all decrypted bytes
    /// are read, since no socket event would report the rest.
    pub fn read_into(&mut self, inbox: &mut Buffer) -> io::Result<usize> {
        let Some(tls) = &mut self.tls else {
            return inbox.fill(&mut &*self.socket);
        };
        loop {
            let (mut total, mut ended) = (0, false);
            loop {
                match inbox.fill(&mut tls.reader()) {
                    Ok(0) => {
                        ended = true;
                        break;
                    }
                    Ok(n) => total += n,
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    // The socket was closed without a TLS close_notify.
                    Err(e) if e.kind() == ErrorKind::UnexpectedEof => {
                        ended = true;
                        break;
                    }
                    Err(e) => return Err(e),
                }
            }
            if total > 0 || ended {
                // Asked to read, the library frees the space of a long record that it has returned.
                let _ = tls.read_tls(&mut NothingToRead);
                return Ok(total);
            }
            read_tls_records(tls, &self.socket, &mut self.buffered)?;
        }
    }

    /// Writes as many bytes as the socket, or with TLS its output buffer, accepts. Returns their
    /// number, and whether the socket accepts no more for now. With no bytes it only sends what the
    /// TLS output buffer holds.
    pub fn write_available(&mut self, bytes: &[u8]) -> io::Result<(usize, bool)> {
        let mut written = 0;
        if let Some(tls) = &mut self.tls {
            loop {
                if written < bytes.len() {
                    // The TLS output buffer is limited to 64 KiB by rustls.
                    let n = tls.writer().write(&bytes[written..])?;
                    written += n;
                    self.buffered.unsent += n;
                }
                if !tls.wants_write() {
                    self.buffered.unsent = 0;
                    if written == bytes.len() {
                        return Ok((written, false));
                    }
                }
                match tls.write_tls(&mut &*self.socket) {
                    Ok(_) => {}
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e) if timed_out(&e) => return Ok((written, true)),
                    Err(e) => return Err(e),
                }
            }
        }
        while written < bytes.len() {
            match (&*self.socket).write(&bytes[written..]) {
                Ok(n) => written += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if timed_out(&e) => return Ok((written, true)),
                Err(e) => return Err(e),
            }
        }
        Ok((written, false))
    }

    /// Ends the sending side of the connection.
    pub fn shutdown_write(&mut self) {
        if let Some(tls) = &mut self.tls {
            tls.send_close_notify();
            let _ = self.write_available(&[]);
        }
        let _ = self.socket.shutdown(Shutdown::Write);
    }
}

/// Reads the socket once and processes the TLS records received. A violation of TLS is reported to
/// the peer with an alert, and is an error.
fn read_tls_records(
    tls: &mut Connection,
    mut socket: &TcpStream,
    buffered: &mut TlsBuffered,
) -> io::Result<()> {
    let received = loop {
        let records = &mut buffered.records;
        match tls.read_tls(&mut RecordReader { socket, records }) {
            Ok(0) if tls.is_handshaking() => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(n) => break n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    };
    let was_handshaking = tls.is_handshaking();
    match tls.process_new_packets() {
        Ok(state) => {
            let handshake_advanced =
                was_handshaking && (tls.wants_write() || !tls.is_handshaking());
            buffered.incomplete = if state.plaintext_bytes_to_read() > 0 || handshake_advanced {
                buffered.records.received
            } else {
                buffered.incomplete + received
            };
        }
        Err(e) => {
            let _ = tls.write_tls(&mut socket);
            return Err(io::Error::new(ErrorKind::InvalidData, e));
        }
    }
    if !tls.is_handshaking() && buffered.incomplete > MAX_INCOMPLETE_TLS {
        let error = "a TLS handshake message after the handshake is too long";
        return Err(io::Error::new(ErrorKind::InvalidData, error));
    }
    Ok(())
}

#[cfg(test)]
mod tests;
