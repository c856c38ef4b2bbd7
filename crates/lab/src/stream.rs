//! A blocking XML stream for the stand-ins, under TLS or not.

use jaspermoor::protocol::xmpp::frame::{Bounds, Framer, Unit};
use rustls::{ClientConfig, ClientConnection, ServerConfig, ServerConnection, StreamOwned};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

enum Inner {
    Plain(TcpStream),
    Client(Box<StreamOwned<ClientConnection, TcpStream>>),
    Server(Box<StreamOwned<ServerConnection, TcpStream>>),
}

/// One side of an XML stream.
pub struct Stream {
    inner: Option<Inner>,
    framer: Framer,
    held: Vec<u8>,
    /// How much of `held` the framer has read, and where the unit that it reads begins.
    framed: usize,
    began: usize,
}

/// The bounds of a stand-in, wider than those of any relay.
const BOUNDS: Bounds = Bounds {
    header: 64 << 10,
    stanza: 32 << 20,
    depth: 512,
    attributes: 512,
    token: 1 << 20,
    kept_parts: 1 << 20,
};

fn other(e: impl std::fmt::Display) -> io::Error {
    io::Error::other(e.to_string())
}

impl Stream {
    /// A stream on this socket.
    pub fn new(socket: TcpStream) -> Stream {
        let _ = socket.set_nodelay(true);
        let framer = Framer::new(BOUNDS, true);
        Stream {
            inner: Some(Inner::Plain(socket)),
            framer,
            held: Vec::new(),
            framed: 0,
            began: 0,
        }
    }

    /// The socket below.
    pub fn socket(&self) -> &TcpStream {
        match self.inner.as_ref().expect("a stream has a socket") {
            Inner::Plain(socket) => socket,
            Inner::Client(tls) => &tls.sock,
            Inner::Server(tls) => &tls.sock,
        }
    }

    /// Goes under TLS as a client. The handshake is made at once.
    pub fn secure(&mut self, config: &Arc<ClientConfig>, name: &str) -> io::Result<()> {
        let Some(Inner::Plain(mut socket)) = self.inner.take() else {
            return Err(other("TLS stands already"));
        };
        let name = name.to_string().try_into().map_err(other)?;
        let mut tls = ClientConnection::new(config.clone(), name).map_err(other)?;
        while tls.is_handshaking() {
            tls.complete_io(&mut socket)?;
        }
        self.inner = Some(Inner::Client(Box::new(StreamOwned::new(tls, socket))));
        self.restart();
        Ok(())
    }

    /// Goes under TLS as a server.
    pub fn secure_server(&mut self, config: &Arc<ServerConfig>) -> io::Result<()> {
        let Some(Inner::Plain(mut socket)) = self.inner.take() else {
            return Err(other("TLS stands already"));
        };
        let mut tls = ServerConnection::new(config.clone()).map_err(other)?;
        while tls.is_handshaking() {
            tls.complete_io(&mut socket)?;
        }
        self.inner = Some(Inner::Server(Box::new(StreamOwned::new(tls, socket))));
        self.restart();
        Ok(())
    }

    /// A new stream begins on the same link.
    pub fn restart(&mut self) {
        self.framer = Framer::new(BOUNDS, true);
        self.held.drain(..self.began);
        (self.framed, self.began) = (0, 0);
    }

    /// Sends bytes.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.send_bytes(text.as_bytes())
    }

    /// Sends bytes.
    pub fn send_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        match self.inner.as_mut().ok_or(ErrorKind::NotConnected)? {
            Inner::Plain(socket) => socket.write_all(bytes),
            Inner::Client(tls) => tls.write_all(bytes).and_then(|()| tls.flush()),
            Inner::Server(tls) => tls.write_all(bytes).and_then(|()| tls.flush()),
        }
    }

    /// Bytes as they come, past the framer.
    pub fn read(&mut self, piece: &mut [u8]) -> io::Result<usize> {
        match self.inner.as_mut().ok_or(ErrorKind::NotConnected)? {
            Inner::Plain(socket) => socket.read(piece),
            Inner::Client(tls) => tls.read(piece),
            Inner::Server(tls) => tls.read(piece),
        }
    }

    /// The next unit but white space, and its bytes; an error of kind `UnexpectedEof` where none is left.
    pub fn unit(&mut self) -> io::Result<(Unit, Vec<u8>)> {
        let mut piece = [0; 16 * 1024];
        loop {
            while self.framed < self.held.len() {
                let (n, unit) = self
                    .framer
                    .feed(&self.held[self.framed..])
                    .map_err(|c| other(c.name()))?;
                self.framed += n;
                let Some(unit) = unit else { break };
                let bytes = self.held[self.began..self.framed].to_vec();
                self.began = self.framed;
                if self.began == self.held.len() || self.began > 64 * 1024 {
                    self.held.drain(..self.began);
                    (self.framed, self.began) = (0, 0);
                }
                if unit != Unit::Whitespace {
                    return Ok((unit, bytes));
                }
            }
            match self.read(&mut piece) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(n) => self.held.extend_from_slice(&piece[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// The next unit within a time; none where none came.
    pub fn next_within(&mut self, limit: Duration) -> io::Result<Option<(Unit, Vec<u8>)>> {
        let end = Instant::now() + limit;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(None);
            }
            self.socket().set_read_timeout(Some(left))?;
            let result = self.unit();
            let _ = self.socket().set_read_timeout(Some(crate::PATIENCE));
            match result {
                Ok(unit) => return Ok(Some(unit)),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Whether bytes have come that are no whole unit.
    pub fn half(&self) -> bool {
        self.began < self.held.len()
    }

    /// Ends both sides.
    pub fn close(&mut self) {
        match self.inner.as_mut() {
            Some(Inner::Client(tls)) => {
                tls.conn.send_close_notify();
                let _ = tls.flush();
            }
            Some(Inner::Server(tls)) => {
                tls.conn.send_close_notify();
                let _ = tls.flush();
            }
            _ => {}
        }
        let _ = self.socket().shutdown(Shutdown::Both);
    }
}
