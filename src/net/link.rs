//! One side of a connection: its socket, and TLS where it stands between the socket and the protocol.

use crate::protocol::buffer::Buffer;
use crate::sys::timed_out;
use rustls::Connection;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;

/// A side of a connection. Whoever drives it owns it; the socket is shared with those who may end it.
pub struct Link {
    /// The socket.
    pub socket: Arc<TcpStream>,
    tls: Option<Box<Connection>>,
}

impl Link {
    /// A side without protection.
    pub fn plain(socket: Arc<TcpStream>) -> Link {
        Link { socket, tls: None }
    }

    /// Puts the link under TLS: [`Link::continue_tls_handshake`] goes on until it stands.
    pub fn start_tls(&mut self, tls: Connection) {
        self.tls = Some(Box::new(tls));
    }

    /// Goes on with the handshake as far as the socket allows; true once TLS stands and its last words are out.
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

    /// Whether TLS holds bytes that the socket has not taken yet.
    pub fn has_unsent_tls(&self) -> bool {
        self.tls.as_ref().is_some_and(|tls| tls.wants_write())
    }

    /// Reads what has come; 0 is the end of the stream. Of a link under TLS nothing that has come stays unread.
    pub fn read_into(&mut self, inbox: &mut Buffer) -> io::Result<usize> {
        let Some(tls) = &mut self.tls else {
            return inbox.fill(&mut &*self.socket);
        };
        loop {
            let (mut all, mut ended) = (0, false);
            loop {
                match inbox.fill(&mut tls.reader()) {
                    Ok(0) => {
                        ended = true;
                        break;
                    }
                    Ok(n) => all += n,
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    // The socket has ended and TLS has not.
                    Err(e) if e.kind() == ErrorKind::UnexpectedEof => {
                        ended = true;
                        break;
                    }
                    Err(e) => return Err(e),
                }
            }
            if all > 0 || ended {
                return Ok(all);
            }
            read_tls_records(tls, &self.socket)?;
        }
    }

    /// Writes as much as goes; the number of bytes taken, and whether the socket takes no more for now.
    pub fn write_available(&mut self, bytes: &[u8]) -> io::Result<(usize, bool)> {
        let mut done = 0;
        if let Some(tls) = &mut self.tls {
            loop {
                if done < bytes.len() {
                    // What TLS holds for the socket is bounded by its own limit of 64 KiB.
                    done += tls.writer().write(&bytes[done..])?;
                }
                if !tls.wants_write() && done == bytes.len() {
                    return Ok((done, false));
                }
                match tls.write_tls(&mut &*self.socket) {
                    Ok(_) => {}
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e) if timed_out(&e) => return Ok((done, true)),
                    Err(e) => return Err(e),
                }
            }
        }
        while done < bytes.len() {
            match (&*self.socket).write(&bytes[done..]) {
                Ok(n) => done += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if timed_out(&e) => return Ok((done, true)),
                Err(e) => return Err(e),
            }
        }
        Ok((done, false))
    }

    /// Ends the sending.
    pub fn shutdown_write(&mut self) {
        if let Some(tls) = &mut self.tls {
            tls.send_close_notify();
            let _ = self.write_available(&[]);
        }
        let _ = self.socket.shutdown(Shutdown::Write);
    }
}

/// Takes in records of TLS, once. What breaks TLS is told to the other side and is an error.
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
