//! One side of a connection: its socket, and what stands between the socket and the protocol.

use crate::front::buffer::Buffer;
use crate::sys::timed_out;
use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A side of a connection. Whoever drives it owns it; the socket is shared with those who may end it.
pub struct Link {
    /// The socket.
    pub socket: Arc<TcpStream>,
}

impl Link {
    /// A side without protection.
    pub fn plain(socket: Arc<TcpStream>) -> Link {
        Link { socket }
    }

    /// Reads once; 0 is the end of the stream.
    pub fn fill(&mut self, inbox: &mut Buffer) -> io::Result<usize> {
        inbox.fill(&mut &*self.socket)
    }

    /// Writes as much as goes; the number of bytes, and whether the socket takes no more for now.
    pub fn write_some(&mut self, bytes: &[u8]) -> io::Result<(usize, bool)> {
        let mut done = 0;
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
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    /// The longest wait of a read, on a socket that blocks.
    pub fn set_read_timeout(&self, limit: Duration) -> io::Result<()> {
        self.socket.set_read_timeout(Some(limit))
    }
}
