//! The one place that waits: for sockets by epoll, and for other threads by an eventfd among them. What is above it
//! is told what is ready and when to look again, so that a driver of sockets and time which is no system can take
//! its place.
//!
//! Guards against: a wake-up that comes between the last look at what is to be done and the wait.

use crate::log::log;
use crate::sys::Wake;
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::event::{eventfd, poll, EventfdFlags, PollFd, PollFlags};
use rustix::fd::{AsFd, OwnedFd};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, OnceLock};
use std::thread::{self, ThreadId};
use std::time::Duration;

/// Wait after a failure of the wait itself, so that it does not take the processor.
const ERROR_PAUSE: Duration = Duration::from_millis(200);

/// What is waited for on a socket. That it broke is always told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Interest {
    /// Something to read, or the end.
    pub read: bool,
    /// Room to write, or the end of a dial.
    pub write: bool,
    /// That the other side has ended its sending, where nothing is read that would show it.
    pub peer_closed: bool,
}

/// A socket on which something can be done.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// The token under which it is watched.
    pub token: u64,
    /// Something has come, or it has ended or broken.
    pub read: bool,
    /// It takes bytes.
    pub write: bool,
    /// The other side has ended its sending, or it has broken.
    pub peer_closed: bool,
}

/// The token of the wake-up itself.
const WAKE_TOKEN: u64 = u64::MAX;

/// Wakes the thread that waits, from any other.
struct Waker {
    fd: OwnedFd,
    /// Whether a wake-up is under way: one is enough.
    pending: AtomicBool,
    /// Whether the thread that waits has given work to itself: it looks again before it waits.
    rescheduled: AtomicBool,
    owner: OnceLock<ThreadId>,
}

impl Waker {
    fn wake(&self) {
        if self.owner.get() == Some(&thread::current().id()) {
            self.rescheduled.store(true, SeqCst);
        } else if !self.pending.swap(true, SeqCst) {
            // It can fail only when the counter is full, and then it is readable anyway.
            let _ = rustix::io::write(&self.fd, &1u64.to_ne_bytes());
        }
    }
}

/// Waits for sockets and wake-ups.
pub struct Poller {
    epoll: OwnedFd,
    waker: Arc<Waker>,
}

/// Room for what a wait brings; it belongs to the thread that waits.
pub struct Events(epoll::EventVec);

impl Default for Events {
    fn default() -> Events {
        Events(epoll::EventVec::with_capacity(128))
    }
}

impl Poller {
    /// One that watches nothing yet.
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

    /// What wakes the thread that waits here.
    pub fn waker(&self) -> Wake {
        let waker = self.waker.clone();
        Arc::new(move || waker.wake())
    }

    /// This thread is the one that waits: it needs no wake-up from itself.
    pub fn set_owner(&self) {
        let _ = self.waker.owner.set(thread::current().id());
    }

    /// Whether this thread has given itself work since it was last asked.
    pub fn take_rescheduled(&self) -> bool {
        self.waker.rescheduled.swap(false, SeqCst)
    }

    /// Watches a socket for `to` in place of `from`; none is not at all. A socket that is closed needs no call.
    pub fn watch(
        &self,
        socket: impl AsFd,
        token: u64,
        from: Option<Interest>,
        to: Option<Interest>,
    ) -> io::Result<()> {
        let flag = |on: bool, flag: EventFlags| if on { flag } else { EventFlags::empty() };
        let flags = |i: Interest| {
            flag(i.read, EventFlags::IN)
                | flag(i.write, EventFlags::OUT)
                | flag(i.peer_closed, EventFlags::RDHUP)
        };
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

    /// Waits until a socket is ready, a wake-up comes or the time is up, whichever is first.
    pub fn wait(&self, limit: Duration, Events(events): &mut Events, ready: &mut Vec<Ready>) {
        // Rounded up: a wait that ends a moment too early would be begun anew until the moment has passed.
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
                // Before what it was for is looked at: what comes from now on brings a wake-up of its own.
                let _ = rustix::io::read(&self.waker.fd, &mut [0; 8]);
                self.waker.pending.store(false, SeqCst);
                continue;
            }
            let read = flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR);
            let peer_closed =
                flags.intersects(EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR);
            ready.push(Ready {
                token,
                read,
                write: flags.contains(EventFlags::OUT),
                peer_closed,
            });
        }
        events.clear();
    }
}

/// Whether the other side has ended its sending or broken off, also where unread bytes stand before that.
pub fn peer_closed(socket: &TcpStream) -> bool {
    let mut fds = [PollFd::new(socket, PollFlags::RDHUP)];
    poll(&mut fds, 0).is_ok_and(|n| n > 0)
}

/// Whether a dial failed for want of something of this machine's own: it says nothing of the backend.
pub fn is_local_failure(e: &io::Error) -> bool {
    use rustix::io::Errno;
    let own = [
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
    own.iter()
        .any(|errno| e.raw_os_error() == Some(errno.raw_os_error()))
}

/// Begins a dial and does not wait for its end: the socket takes bytes, or has an error, when it is over.
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

    /// A wake-up between the last look and the wait once would have been slept over.
    #[test]
    fn a_wake_up_before_the_wait_ends_it_and_one_of_the_waiting_thread_costs_no_call() {
        let (poller, mut events) = (Poller::new().unwrap(), Events::default());
        poller.set_owner();
        let (wake, mut ready) = (poller.waker(), Vec::new());
        let other = wake.clone();
        thread::spawn(move || (other(), other())).join().unwrap();
        // For as long as the longest wait, if it were not woken.
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
