//! Listening sockets for clients: opened by this process, or inherited from the platform and shared
//! by all processes of the relay. They never block, so that a process can stop accepting at once; a
//! blocked `accept` would accept one more client.

use listenfd::ListenFd;
use rustix::fd::{AsFd, BorrowedFd};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A listening socket.
pub struct Listener {
    socket: TcpListener,
    /// Whether the socket is inherited from the platform, so that other processes of this relay
    /// listen on it too.
    pub inherited: bool,
}

impl Listener {
    /// Opens a socket on this address.
    pub fn open(addr: SocketAddr) -> io::Result<Listener> {
        Listener::new(TcpListener::bind(addr)?, false)
    }

    /// Opens a socket with `SO_REUSEPORT`, for an address on which several processes of a relay
    /// listen during an upgrade, each with its own socket.
    pub fn open_reuse_port(addr: SocketAddr) -> io::Result<Listener> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(true)?;
        socket.bind(&addr.into())?;
        socket.listen(1024)?;
        Listener::new(socket.into(), false)
    }

    /// Uses the socket that this process has inherited under this descriptor. Must be called before
    /// any thread is started, because it sets environment variables.
    pub fn inherit(fd: u16) -> io::Result<Listener> {
        std::env::set_var("LISTEN_FDS", "1");
        std::env::set_var("LISTEN_FDS_FIRST_FD", fd.to_string());
        std::env::remove_var("LISTEN_PID");
        let listener = ListenFd::from_env().take_tcp_listener(0)?;
        Listener::new(listener.ok_or(io::ErrorKind::NotFound)?, true)
    }

    fn new(listener: TcpListener, inherited: bool) -> io::Result<Listener> {
        // The flag applies to all processes that share the socket; none of them blocks in `accept`.
        // The socket is never shut down here, because that would end it for the others too.
        listener.set_nonblocking(true)?;
        Ok(Listener {
            socket: listener,
            inherited,
        })
    }

    /// The address that it listens on.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Accepts a client. The error is of the kind `WouldBlock` where no client waits, or another
    /// process was faster.
    pub fn accept(&self) -> io::Result<TcpStream> {
        loop {
            match self.socket.accept() {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                accepted => return accepted.map(|(client, _)| client),
            }
        }
    }
}

impl AsFd for Listener {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }
}
