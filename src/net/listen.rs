//! The socket at which clients come in: one that this process opens, or one that the platform holds and
//! every process of the relay shares. It is waited for with a wake-up beside it, so that a process can stop
//! taking clients at once: a blocked `accept` would take one more.

use crate::log::log;
use listenfd::ListenFd;
use rustix::event::{eventfd, poll, EventfdFlags, PollFd, PollFlags};
use rustix::fd::OwnedFd;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A listening socket and the means to stop waiting for it.
pub struct Door {
    listener: TcpListener,
    wake: OwnedFd,
    /// Whether the platform holds the socket: other processes listen there too, now or later.
    pub held: bool,
}

impl Door {
    /// Opens a socket at this address.
    pub fn open(addr: SocketAddr) -> io::Result<Door> {
        Door::new(TcpListener::bind(addr)?, false)
    }

    /// Opens a socket at an address that several processes of a relay listen at during an upgrade, each with a
    /// socket of its own.
    pub fn open_beside(addr: SocketAddr) -> io::Result<Door> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(true)?;
        socket.bind(&addr.into())?;
        socket.listen(1024)?;
        Door::new(socket.into(), false)
    }

    /// Takes the socket that this process has inherited as that descriptor. Call it before any thread is
    /// started: the descriptor's number goes through the environment.
    pub fn inherit(fd: u16) -> io::Result<Door> {
        std::env::set_var("LISTEN_FDS", "1");
        std::env::set_var("LISTEN_FDS_FIRST_FD", fd.to_string());
        std::env::remove_var("LISTEN_PID");
        let listener = ListenFd::from_env().take_tcp_listener(0)?;
        Door::new(listener.ok_or(io::ErrorKind::NotFound)?, true)
    }

    fn new(listener: TcpListener, held: bool) -> io::Result<Door> {
        // The flag is common to all processes that share the socket; all of them wait with `poll`. It is
        // never shut down here: that would end it for the others too.
        listener.set_nonblocking(true)?;
        Ok(Door { listener, wake: eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?, held })
    }

    /// Where it listens.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// The next client; none once this process takes no more.
    pub fn next(&self) -> Option<TcpStream> {
        loop {
            let mut fds =
                [PollFd::new(&self.wake, PollFlags::IN), PollFd::new(&self.listener, PollFlags::IN)];
            let waited = poll(&mut fds, -1);
            if !fds[0].revents().is_empty() {
                return None;
            }
            let accepted = match waited {
                Ok(_) => self.listener.accept(),
                Err(e) => Err(e.into()),
            };
            match accepted {
                Ok((client, _)) => return Some(client),
                // Another process was faster.
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    log(&format!("accept: {e}"));
                    if self.pause(Duration::from_millis(5)) {
                        return None;
                    }
                }
            }
        }
    }

    /// A client that waits at a door that is closed: with the socket it would be reset.
    pub fn left(&self) -> Option<TcpStream> {
        self.listener.accept().ok().map(|(client, _)| client)
    }

    /// Waits without taking anyone; true if this process takes no more.
    pub fn pause(&self, limit: Duration) -> bool {
        let mut fds = [PollFd::new(&self.wake, PollFlags::IN)];
        let _ = poll(&mut fds, limit.as_millis() as i32);
        !fds[0].revents().is_empty()
    }

    /// From now on this process takes no one.
    pub fn close(&self) {
        // It stays readable: nobody reads it.
        let _ = rustix::io::write(&self.wake, &1u64.to_ne_bytes());
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::Arc;

    /// A blocked `accept` would take one more after the stop, and nobody would answer it.
    #[test]
    fn a_door_that_is_closed_leaves_the_next_client_to_others() {
        let old = Arc::new(Door::open("127.0.0.1:0".parse().unwrap()).unwrap());
        let new = Door::new(old.listener.try_clone().unwrap(), true).unwrap();
        let first = TcpStream::connect(old.addr().unwrap()).unwrap();
        assert_eq!(old.next().unwrap().peer_addr().unwrap(), first.local_addr().unwrap());
        let waiting = old.clone();
        let waits = std::thread::spawn(move || waiting.next().is_none());
        assert!(!old.pause(Duration::ZERO));
        old.close();
        assert!(waits.join().unwrap());
        let second = TcpStream::connect(old.addr().unwrap()).unwrap();
        assert!(old.next().is_none() && old.pause(Duration::from_secs(60)));
        // The socket is open all the same, for whoever shares it.
        assert_eq!(new.next().unwrap().peer_addr().unwrap(), second.local_addr().unwrap());
    }
}
