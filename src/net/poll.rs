//! Waiting for sockets with epoll, and for other threads with an eventfd. This is the only place
//! that blocks: the code above it is told which sockets are ready, so that a simulation of sockets
//! and time could replace it.
//!
//! Guards against: a lost wake-up between the last check for work and the wait.

use crate::log::log;
use crate::sys::Wake;
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::event::{eventfd, EventfdFlags};
use rustix::fd::{AsFd, OwnedFd};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, OnceLock};
use std::thread::{self, ThreadId};
use std::time::Duration;

/// Pause after a failed wait, so that repeated failures do not use up the processor.
const ERROR_PAUSE: Duration = Duration::from_millis(200);

/// The events to wait for on a socket. Errors are always reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Interest {
    /// Bytes to read, or the end of the stream.
    pub read: bool,
    /// Space to write, or the end of a dial.
    pub write: bool,
}

/// An event of a socket.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// The token that the socket is watched under.
    pub token: u64,
    /// There are bytes to read, the end of the stream, or an error.
    pub read: bool,
    /// The socket accepts bytes.
    pub write: bool,
}

/// The token of the eventfd.
const WAKE_TOKEN: u64 = u64::MAX;

/// Wakes the thread that waits, from any thread.
struct Waker {
    fd: OwnedFd,
    /// Whether a wake-up was sent and not received yet: one is enough.
    pending: AtomicBool,
    /// Whether the thread that waits has given work to itself and must not wait next.
    rescheduled: AtomicBool,
    /// The thread that waits.
    owner: OnceLock<ThreadId>,
}

impl Waker {
    fn wake(&self) {
        if self.owner.get() == Some(&thread::current().id()) {
            self.rescheduled.store(true, SeqCst);
        } else if !self.pending.swap(true, SeqCst) {
            // The write fails only when the counter is full, and then the eventfd is readable
            // anyway.
            let _ = rustix::io::write(&self.fd, &1u64.to_ne_bytes());
        }
    }
}

/// Waits for sockets and wake-ups.
pub struct Poller {
    epoll: OwnedFd,
    waker: Arc<Waker>,
}

/// The buffer for the events of a wait. It belongs to the thread that waits.
pub struct Events(epoll::EventVec);

impl Default for Events {
    fn default() -> Events {
        Events(epoll::EventVec::with_capacity(128))
    }
}

impl Poller {
    /// A poller that watches no socket yet.
    pub fn new() -> io::Result<Poller> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let fd = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        epoll::add(&epoll, &fd, EventData::new_u64(WAKE_TOKEN), EventFlags::IN)?;
        let (pending, rescheduled, owner) = (
            AtomicBool::new(false),
            AtomicBool::new(false),
            OnceLock::new(),
        );
        let waker = Arc::new(Waker {
            fd,
            pending,
            rescheduled,
            owner,
        });
        Ok(Poller { epoll, waker })
    }

    /// A function that wakes the thread that waits.
    pub fn waker(&self) -> Wake {
        let waker = self.waker.clone();
        Arc::new(move || waker.wake())
    }

    /// Declares the calling thread the one that waits: its own wake-ups need no system call.
    pub fn set_owner(&self) {
        let _ = self.waker.owner.set(thread::current().id());
    }

    /// Whether the waiting thread has woken itself since the last call.
    pub fn take_rescheduled(&self) -> bool {
        self.waker.rescheduled.swap(false, SeqCst)
    }

    /// Changes the watch on a socket from the events `from` to `to`; none is no watch. Closing a
    /// socket ends its watch without a call.
    pub fn watch(
        &self,
        socket: impl AsFd,
        token: u64,
        from: Option<Interest>,
        to: Option<Interest>,
    ) -> io::Result<()> {
        let flag = |on: bool, flag: EventFlags| if on { flag } else { EventFlags::empty() };
        let flags = |i: Interest| flag(i.read, EventFlags::IN) | flag(i.write, EventFlags::OUT);
        let data = EventData::new_u64(token);
        match (from, to) {
            (None, Some(to)) => epoll::add(&self.epoll, socket, data, flags(to))?,
            (Some(from), Some(to)) if from != to => {
                epoll::modify(&self.epoll, socket, data, flags(to))?
            }
            (Some(_), None) => epoll::delete(&self.epoll, socket)?,
            _ => {}
        }
        Ok(())
    }

    /// Waits until a socket is ready, a wake-up is received or the limit has passed.
    pub fn wait(&self, limit: Duration, Events(events): &mut Events, ready: &mut Vec<Ready>) {
        // Rounded up, because waits that end too early would be repeated until the time has passed.
        let ms = limit.as_micros().div_ceil(1_000).min(60_000) as i32;
        match epoll::wait(&self.epoll, events, ms) {
            Ok(()) | Err(rustix::io::Errno::INTR) => {}
            Err(e) => {
                log(&format!("poll: {e}"));
                thread::sleep(ERROR_PAUSE);
            }
        }
        for event in events.iter() {
            let (token, flags) = (event.data.u64(), event.flags);
            if token == WAKE_TOKEN {
                // Reset before the caller checks for work, so that later work sends a new wake-up.
                let _ = rustix::io::read(&self.waker.fd, &mut [0; 8]);
                self.waker.pending.store(false, SeqCst);
                continue;
            }
            let read = flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR);
            ready.push(Ready {
                token,
                read,
                write: flags.contains(EventFlags::OUT),
            });
        }
        events.clear();
    }
}

/// Whether a dial failed for lack of a local resource, which says nothing about the backend.
pub fn is_local_failure(e: &io::Error) -> bool {
    use rustix::io::Errno;
    let local = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::ADDRINUSE,
        Errno::AGAIN,
        Errno::ACCESS,
        Errno::PERM,
    ];
    local
        .iter()
        .any(|errno| e.raw_os_error() == Some(errno.raw_os_error()))
}

/// Begins a dial and does not wait for its end. The socket becomes writable, or has an error, when
/// the dial has ended.
pub fn dial(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&addr.into()) {
        Err(e) if e.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {}
        done => done?,
    }
    let stream = TcpStream::from(socket);
    stream.set_nodelay(true)?;
    Ok(stream)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a wake-up between the last check for work and the wait that is lost.
    #[test]
    fn a_wake_up_before_the_wait_ends_it_and_one_of_the_waiting_thread_needs_no_system_call() {
        let (poller, mut events) = (Poller::new().unwrap(), Events::default());
        poller.set_owner();
        let (wake, mut ready) = (poller.waker(), Vec::new());
        let other = wake.clone();
        thread::spawn(move || (other(), other())).join().unwrap();
        // Without the wake-up this would last as long as the longest wait.
        poller.wait(Duration::from_secs(3600), &mut events, &mut ready);
        assert!(ready.is_empty() && !poller.take_rescheduled());
        wake();
        assert!(poller.take_rescheduled() && !poller.take_rescheduled());
        let other = wake.clone();
        thread::spawn(move || other()).join().unwrap();
        poller.wait(Duration::from_secs(3600), &mut events, &mut ready);
        assert!(ready.is_empty());
    }
}
