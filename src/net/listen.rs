//! The socket at which clients come in: one that this process opens, or one that the platform holds and
//! every process of the relay shares. It never blocks, so a process can stop taking clients at once: a blocked
//! `accept` would take one more.

use listenfd::ListenFd;
use rustix::fd::{AsFd, BorrowedFd};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A listening socket.
pub struct Listener {
    socket: TcpListener,
    /// Whether the platform holds the socket: other processes listen there too, now or later.
    pub inherited: bool,
}

impl Listener {
    /// Opens a socket at this address.
    pub fn open(addr: SocketAddr) -> io::Result<Listener> {
        Listener::new(TcpListener::bind(addr)?, false)
    }

    /// Opens a socket at an address that several processes of a relay listen at during an upgrade, each with a
    /// socket of its own.
    pub fn open_reuse_port(addr: SocketAddr) -> io::Result<Listener> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(true)?;
        socket.bind(&addr.into())?;
        socket.listen(1024)?;
        Listener::new(socket.into(), false)
    }

    /// Takes the socket that this process has inherited as that descriptor. Call it before any thread is
    /// started: the descriptor's number goes through the environment.
    pub fn inherit(fd: u16) -> io::Result<Listener> {
        std::env::set_var("LISTEN_FDS", "1");
        std::env::set_var("LISTEN_FDS_FIRST_FD", fd.to_string());
        std::env::remove_var("LISTEN_PID");
        let listener = ListenFd::from_env().take_tcp_listener(0)?;
        Listener::new(listener.ok_or(io::ErrorKind::NotFound)?, true)
    }

    fn new(listener: TcpListener, inherited: bool) -> io::Result<Listener> {
        // The flag is common to all processes that share the socket; none of them waits in `accept`. It is
        // never shut down here: that would end it for the others too.
        listener.set_nonblocking(true)?;
        Ok(Listener {
            socket: listener,
            inherited,
        })
    }

    /// Where it listens.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// The next client that waits; an error of the kind "would block" where none does, also where another process
    /// was faster.
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
