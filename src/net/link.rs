//! One side of a connection: its socket, and TLS where it stands between the socket and the protocol.

use crate::front::buffer::Buffer;
use crate::sys::timed_out;
use rustls::Connection;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::Duration;

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

    /// Puts the link under TLS, on a socket that blocks; `left` is what is left of the time for it.
    pub fn secure(&mut self, mut tls: Connection, left: impl Fn() -> Duration) -> io::Result<()> {
        while tls.is_handshaking() {
            let limit = left();
            if limit.is_zero() {
                return Err(ErrorKind::TimedOut.into());
            }
            self.socket.set_read_timeout(Some(limit))?;
            self.socket.set_write_timeout(Some(limit))?;
            if tls.wants_write() {
                tls.write_tls(&mut &*self.socket)?;
            } else {
                receive(&mut tls, &self.socket)?;
            }
        }
        while tls.wants_write() {
            tls.write_tls(&mut &*self.socket)?;
        }
        self.tls = Some(Box::new(tls));
        Ok(())
    }

    /// Reads what has come; 0 is the end of the stream. Of a link under TLS nothing that has come stays unread.
    pub fn fill(&mut self, inbox: &mut Buffer) -> io::Result<usize> {
        let Some(tls) = &mut self.tls else { return inbox.fill(&mut &*self.socket) };
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
            receive(tls, &self.socket)?;
        }
    }

    /// Writes as much as goes; the number of bytes taken, and whether the socket takes no more for now.
    pub fn write_some(&mut self, bytes: &[u8]) -> io::Result<(usize, bool)> {
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

    /// Writes all of it to a socket that blocks, within the socket's time limit for each write.
    pub fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        match self.write_some(bytes)? {
            (_, false) => Ok(()),
            (_, true) => Err(ErrorKind::TimedOut.into()),
        }
    }

    /// Ends the sending.
    pub fn end_sending(&mut self) {
        if let Some(tls) = &mut self.tls {
            tls.send_close_notify();
            let _ = self.write_some(&[]);
        }
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    /// The longest wait of a read, on a socket that blocks.
    pub fn set_read_timeout(&self, limit: Duration) -> io::Result<()> {
        self.socket.set_read_timeout(Some(limit))
    }
}

/// Takes in records of TLS, once. What breaks TLS is told to the other side and is an error.
fn receive(tls: &mut Connection, mut socket: &TcpStream) -> io::Result<()> {
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
