//! The second address, at which staff and scrapers ask this process: HTTP/1.1, one call a connection.
//!
//! One thread waits for all callers. A caller that hangs costs it a place and no time: places are few, and
//! when all are taken the caller that has had one for longest gives it up.

use crate::config::endpoint_list::endpoint_id;
use crate::decision_service::DecisionService;
use crate::log::log;
use crate::ops::manual_ejections::ManualEjections;
use crate::ops::metrics::{Gauges, Metrics};
use crate::platform::directory::Directory;
use crate::sys::timed_out;
use percent_encoding::percent_decode_str;
use rustix::event::{poll, PollFd, PollFlags};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The most callers at a time; their descriptors are set aside in [`crate::net::admission`].
pub const MAX_CALLERS: usize = 12;
/// A caller's whole time, up to its leave.
const LIMIT: Duration = Duration::from_secs(5);
/// How long one that has its answer may stay: to close with input unread could destroy the answer.
const LINGER: Duration = Duration::from_secs(1);
/// The longest head of a call.
const MAX_HEAD: usize = 8 * 1024;
/// The longest wait for callers.
const LOOK: Duration = Duration::from_millis(50);

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process takes clients.
    Ready,
    /// The figures.
    Counters,
    /// To take the backend of that id out of use (true), or to call it back.
    Backend(String, bool),
}

/// An answer: its status, and what it says.
type Answer = (u16, String);

fn answer(status: u16, text: &str) -> Answer {
    (status, format!("{text}\n"))
}

/// Reads the head of a call; none where it is not whole yet.
pub fn call(head: &[u8]) -> Option<Result<Call, Answer>> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(head) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) if head.len() < MAX_HEAD => return None,
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Some(Err(answer(431, "the head is too long")))
        }
        Err(e) => return Some(Err(answer(400, &format!("not a call: {e}")))),
    }
    let target = request.path.unwrap_or_default();
    let path = target.split_once('?').map_or(target, |(path, _)| path);
    let (method, call) = match path {
        "/control/ready" => ("GET", Call::Ready),
        "/control/counters" => ("GET", Call::Counters),
        _ => match by_hand(path) {
            Some(call) => ("POST", call),
            None => return Some(Err(answer(404, "no such call"))),
        },
    };
    Some(match request.method {
        Some(m) if m == method => Ok(call),
        _ => Err(answer(405, &format!("this is asked by {method}"))),
    })
}

/// What a path asks about a backend.
fn by_hand(path: &str) -> Option<Call> {
    let (id, verb) = path.strip_prefix("/control/backends/")?.split_once('/')?;
    let id = percent_decode_str(id)
        .decode_utf8()
        .ok()
        .filter(|id| !id.is_empty())?;
    match verb {
        "offline" => Some(Call::Backend(id.into_owned(), true)),
        "online" => Some(Call::Backend(id.into_owned(), false)),
        _ => None,
    }
}

/// The whole answer as it goes out.
fn written((status, text): &Answer) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Internal Server Error",
    };
    let length = text.len();
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{text}"
    )
    .into_bytes()
}

struct Caller {
    stream: TcpStream,
    since: Instant,
    head: Vec<u8>,
    /// What is still to be sent; none while the call is not whole.
    rest: Option<Vec<u8>>,
    /// When all was sent.
    answered: Option<Instant>,
}

impl Caller {
    /// Goes on as far as the socket allows; false once it can be let go of.
    fn go_on(&mut self, serve: &mut dyn FnMut(Call) -> Answer) -> bool {
        let mut piece = [0; 2048];
        loop {
            match self.stream.read(&mut piece) {
                // One that only ends its sending is owed its answer; one that has it is gone.
                Ok(0) => return self.rest.as_ref().is_some_and(|rest| !rest.is_empty()),
                Ok(_) if self.rest.is_some() => break,
                Ok(n) => {
                    self.head.extend_from_slice(&piece[..n]);
                    let Some(call) = call(&self.head) else {
                        continue;
                    };
                    self.rest = Some(written(&call.map_or_else(|refused| refused, &mut *serve)));
                    return self.send();
                }
                Err(e) if timed_out(&e) => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        self.send()
    }

    fn send(&mut self) -> bool {
        let Some(rest) = &mut self.rest else {
            return true;
        };
        while !rest.is_empty() {
            match self.stream.write(rest) {
                Ok(n) => drop(rest.drain(..n)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return timed_out(&e),
            }
        }
        if self.answered.is_none() {
            self.answered = Some(Instant::now());
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        true
    }

    fn over(&self) -> bool {
        self.since.elapsed() > LIMIT || self.answered.is_some_and(|at| at.elapsed() > LINGER)
    }
}

/// The second address of a relay.
pub struct Admin {
    listener: TcpListener,
    context: AdminContext,
    ejections: ManualEjections,
}

/// What staff ask about and act on.
pub struct AdminContext {
    /// The decisions.
    pub decisions: Arc<DecisionService>,
    /// The backends' addresses.
    pub directory: Arc<Directory>,
    /// What is counted.
    pub metrics: Arc<Metrics>,
    /// Whether this process takes clients.
    pub open: Arc<AtomicBool>,
}

impl Admin {
    /// Listens at this address, with the ejections that are in force already.
    pub fn open(
        addr: SocketAddr,
        context: AdminContext,
        ejections: ManualEjections,
    ) -> io::Result<Admin> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let mut admin = Admin {
            listener,
            context,
            ejections,
        };
        admin.follow();
        Ok(admin)
    }

    /// Takes over what another process of this relay was told.
    fn follow(&mut self) {
        for (id, out_of_use) in self.ejections.take_changes() {
            self.apply(&id, out_of_use);
        }
    }

    /// Tells the network first: it checks right before a first byte goes out.
    fn apply(&self, id: &str, out_of_use: bool) {
        log(&format!(
            "admin: backend {id} is {} by hand",
            if out_of_use { "out" } else { "back" }
        ));
        self.context
            .directory
            .set_manual_ejection(endpoint_id(id), out_of_use);
        self.context
            .decisions
            .set_manual_ejection(endpoint_id(id), out_of_use);
    }

    /// Takes a backend out, or calls it back. Two calls for the same are one.
    fn by_hand(&mut self, id: &str, out_of_use: bool) -> Answer {
        if !self.ejections.contains(id)
            && self
                .context
                .directory
                .backend_address(endpoint_id(id))
                .is_none()
        {
            return answer(404, "no backend has this id");
        }
        if self.ejections.contains(id) != out_of_use {
            // A ban binds this process even if the others cannot be told of it.
            if out_of_use {
                self.apply(id, true);
            }
            if let Err(e) = self.ejections.set(id, out_of_use) {
                log(&format!(
                    "admin: backend {id}: cannot be noted for other processes: {e}"
                ));
                return answer(500, "cannot be noted for other processes of this relay");
            }
            if !out_of_use {
                self.apply(id, false);
            }
        }
        answer(200, if out_of_use { "out" } else { "back" })
    }

    /// Where it listens.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Answers callers for good.
    pub fn run(mut self) -> ! {
        let mut callers: Vec<Caller> = Vec::new();
        let mut looked = Instant::now();
        loop {
            if looked.elapsed() >= LOOK {
                looked = Instant::now();
                self.follow();
            }
            let mut fds = vec![PollFd::new(&self.listener, PollFlags::IN)];
            fds.extend(callers.iter().map(|caller| {
                let blocked = caller.rest.as_ref().is_some_and(|rest| !rest.is_empty());
                PollFd::new(
                    &caller.stream,
                    if blocked {
                        PollFlags::OUT
                    } else {
                        PollFlags::IN
                    },
                )
            }));
            if let Err(e) = poll(&mut fds, LOOK.as_millis() as i32) {
                if e != rustix::io::Errno::INTR {
                    log(&format!("admin: {e}"));
                    std::thread::sleep(LOOK);
                }
                continue;
            }
            let ready: Vec<bool> = fds.iter().map(|fd| !fd.revents().is_empty()).collect();
            let mut turn = ready[1..].iter();
            callers.retain_mut(|caller| {
                let moves = turn.next() == Some(&true);
                (!moves || caller.go_on(&mut |call| self.serve(&call))) && !caller.over()
            });
            if ready[0] {
                self.take_in(&mut callers);
            }
        }
    }

    /// Takes in the callers that wait, at most as many as there are places, so that each of them is heard
    /// once before it has to make room.
    fn take_in(&self, callers: &mut Vec<Caller>) {
        for _ in 0..MAX_CALLERS / 2 {
            match self.listener.accept() {
                Ok((stream, _)) if stream.set_nonblocking(true).is_ok() => {
                    if callers.len() >= MAX_CALLERS {
                        callers.remove(0);
                    }
                    let (since, head) = (Instant::now(), Vec::new());
                    callers.push(Caller {
                        stream,
                        since,
                        head,
                        rest: None,
                        answered: None,
                    });
                }
                Ok(_) => {}
                Err(e) if timed_out(&e) => return,
                Err(e) => {
                    log(&format!("admin: {e}"));
                    return std::thread::sleep(Duration::from_millis(5));
                }
            }
        }
    }

    fn serve(&mut self, call: &Call) -> Answer {
        match call {
            // Whoever may admit nobody is not ready: a front must not send its clients there.
            Call::Ready
                if self.context.open.load(Relaxed) && self.context.decisions.may_admit() =>
            {
                answer(200, "ready")
            }
            Call::Ready => answer(503, "takes no clients"),
            Call::Backend(id, out_of_use) => self.by_hand(id, *out_of_use),
            Call::Counters => {
                let (cells, moves) = self.context.decisions.cell_metrics();
                let (known, skipped) = (
                    self.context.directory.backend_count(),
                    self.context.decisions.unavailable_endpoints(),
                );
                let gauges = Gauges {
                    known,
                    skipped,
                    cells,
                    moves,
                };
                (200, self.context.metrics.render(&gauges))
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_is_read_once_its_head_is_whole() {
        let many = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(65));
        let long = format!("GET / HTTP/1.1\r\na: {}", "b".repeat(MAX_HEAD));
        // (the head, the call or the status of the refusal)
        let cases: &[(&str, Result<Call, u16>)] = &[
            (
                "GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n",
                Ok(Call::Ready),
            ),
            (
                "GET /control/counters?all=1 HTTP/1.1\r\n\r\n",
                Ok(Call::Counters),
            ),
            (
                "POST /control/backends/s-1/offline HTTP/1.1\r\n\r\n",
                Ok(Call::Backend("s-1".into(), true)),
            ),
            (
                "POST /control/backends/s%2F1/online HTTP/1.1\r\n\r\n",
                Ok(Call::Backend("s/1".into(), false)),
            ),
            (
                "GET /control/backends/s-1/offline HTTP/1.1\r\n\r\n",
                Err(405),
            ),
            ("POST /control/backends/s-1/away HTTP/1.1\r\n\r\n", Err(404)),
            ("POST /control/backends//online HTTP/1.1\r\n\r\n", Err(404)),
            (
                "POST /control/backends/%ff/online HTTP/1.1\r\n\r\n",
                Err(404),
            ),
            ("POST /control/ready HTTP/1.1\r\n\r\n", Err(405)),
            ("GET /control HTTP/1.1\r\n\r\n", Err(404)),
            ("GET /control/ready/ HTTP/1.1\r\n\r\n", Err(404)),
            ("nonsense\r\n\r\n", Err(400)),
            ("\u{0}\r\n", Err(400)),
            (&many, Err(431)),
            (&long, Err(431)),
        ];
        for (head, expected) in cases {
            let read = call(head.as_bytes()).unwrap().map_err(|(status, _)| status);
            assert_eq!(&read, expected, "{head}");
        }
        for part in [
            "",
            "GET",
            "GET /control/ready HTTP/1.1\r\n",
            "GET /control/ready HTTP/1.1\r\nHost: x\r\n",
        ] {
            assert_eq!(call(part.as_bytes()), None, "{part}");
        }
    }
}
