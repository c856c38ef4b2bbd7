//! The relay's socket to one peer, a client or a backend, with or without TLS.

use crate::protocol::buffer::Buffer;
use crate::sys::timed_out;
use rustls::Connection;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;

/// A socket to one peer, with its TLS state. The socket itself is shared with the session, so that
/// other threads can shut it down.
pub struct Link {
    /// The socket.
    pub socket: Arc<TcpStream>,
    tls: Option<Box<Connection>>,
}

impl Link {
    /// A link without TLS.
    pub fn plain(socket: Arc<TcpStream>) -> Link {
        Link { socket, tls: None }
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
            match read_tls_records(tls, &self.socket) {
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
                return Ok(total);
            }
            read_tls_records(tls, &self.socket)?;
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
                    written += tls.writer().write(&bytes[written..])?;
                }
                if !tls.wants_write() && written == bytes.len() {
                    return Ok((written, false));
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
fn read_tls_records(tls: &mut Connection, mut socket: &TcpStream) -> io::Result<()> {
    loop {
        match tls.read_tls(&mut socket as &mut dyn Read) {
            Ok(0) if tls.is_handshaking() => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => break,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    if let Err(e) = tls.process_new_packets() {
        let _ = tls.write_tls(&mut socket);
        return Err(io::Error::new(ErrorKind::InvalidData, e));
    }
    Ok(())
}
