//! The admin address, where operators and scrapers reach this process: HTTP/1.1, one request per
//! connection.
//!
//! One thread serves all callers without blocking. A caller that hangs occupies a place and costs
//! no time; places are few, and when all are taken a connection is closed to make room: the oldest
//! that has its answer, or else the oldest.

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

/// The most callers at a time; their file descriptors are reserved in [`crate::net::admission`].
pub const MAX_CALLERS: usize = 12;
/// The longest time that a caller's connection stays open.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection is kept open after its response: a close with unread input would reset it,
/// and the response could be lost.
const LINGER: Duration = Duration::from_secs(1);
/// The longest request line and header fields.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// How often the ejections of other processes are read, and the longest wait for callers.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Whether this process accepts clients.
    Ready,
    /// The metrics.
    Metrics,
    /// To eject the backend with this id.
    EjectBackend(String),
    /// To end the manual ejection of the backend with this id.
    RestoreBackend(String),
}

/// A response: its status and its body.
type Response = (u16, String);

fn response(status: u16, text: &str) -> Response {
    (status, format!("{text}\n"))
}

/// Parses the head of a request; none while it is incomplete.
pub fn parse_request(head: &[u8]) -> Option<Result<AdminRequest, Response>> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(head) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) if head.len() < MAX_HEAD_BYTES => return None,
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Some(Err(response(431, "the head is too long")))
        }
        Err(e) => return Some(Err(response(400, &format!("not an HTTP request: {e}")))),
    }
    let target = request.path.unwrap_or_default();
    let path = target.split_once('?').map_or(target, |(path, _)| path);
    let (method, admin_request) = match path {
        "/control/ready" => ("GET", AdminRequest::Ready),
        "/control/counters" => ("GET", AdminRequest::Metrics),
        _ => match ejection_request(path) {
            Some(ejection) => ("POST", ejection),
            None => return Some(Err(response(404, "no such path"))),
        },
    };
    Some(match request.method {
        Some(m) if m == method => Ok(admin_request),
        _ => Err(response(405, &format!("this path requires {method}"))),
    })
}

/// The request of a path below `/control/backends/`.
fn ejection_request(path: &str) -> Option<AdminRequest> {
    let (id, verb) = path.strip_prefix("/control/backends/")?.split_once('/')?;
    let id = percent_decode_str(id)
        .decode_utf8()
        .ok()
        .filter(|id| !id.is_empty())?;
    match verb {
        "offline" => Some(AdminRequest::EjectBackend(id.into_owned())),
        "online" => Some(AdminRequest::RestoreBackend(id.into_owned())),
        _ => None,
    }
}

/// The bytes of a response.
fn encode((status, body): &Response) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Internal Server Error",
    };
    let length = body.len();
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
    .into_bytes()
}

struct Caller {
    stream: TcpStream,
    connected_at: Instant,
    head: Vec<u8>,
    /// The part of the response that is not sent yet; none while the request is incomplete.
    unsent: Option<Vec<u8>>,
    /// When the whole response was sent.
    answered_at: Option<Instant>,
}

impl Caller {
    /// A caller that has just connected.
    fn new(stream: TcpStream) -> Caller {
        Caller {
            stream,
            connected_at: Instant::now(),
            head: Vec::new(),
            unsent: None,
            answered_at: None,
        }
    }

    /// Makes what progress the socket allows; returns false if the connection can be closed.
    fn advance(&mut self, serve: &mut dyn FnMut(AdminRequest) -> Response) -> bool {
        let mut buffer = [0; 2048];
        loop {
            match self.stream.read(&mut buffer) {
                // End of input. The caller still gets the rest of its response, if there is one.
                Ok(0) => return self.has_unsent_bytes(),
                Ok(_) if self.unsent.is_some() => break,
                Ok(n) => {
                    self.head.extend_from_slice(&buffer[..n]);
                    let Some(request) = parse_request(&self.head) else {
                        continue;
                    };
                    let response = request.map_or_else(|refusal| refusal, &mut *serve);
                    self.unsent = Some(encode(&response));
                    return self.send();
                }
                Err(e) if timed_out(&e) => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        self.send()
    }

    fn has_unsent_bytes(&self) -> bool {
        self.unsent
            .as_ref()
            .is_some_and(|unsent| !unsent.is_empty())
    }

    /// Sends what the socket accepts of the response; returns false if the connection is broken.
    fn send(&mut self) -> bool {
        let Some(unsent) = &mut self.unsent else {
            return true;
        };
        while !unsent.is_empty() {
            match self.stream.write(unsent) {
                Ok(n) => drop(unsent.drain(..n)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return timed_out(&e),
            }
        }
        if self.answered_at.is_none() {
            self.answered_at = Some(Instant::now());
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        true
    }

    fn has_timed_out(&self) -> bool {
        self.connected_at.elapsed() > CALLER_TIMEOUT
            || self.answered_at.is_some_and(|at| at.elapsed() > LINGER)
    }
}

/// The caller whose place a new one takes: the oldest that has its answer and stays, or else the
/// oldest.
fn place_to_free(callers: &[Caller]) -> usize {
    let answered = |caller: &Caller| caller.answered_at.is_some();
    callers.iter().position(answered).unwrap_or(0)
}

/// The admin address of a relay.
pub struct Admin {
    listener: TcpListener,
    context: AdminContext,
    ejections: ManualEjections,
}

/// The parts of the relay that the admin address reads and controls.
pub struct AdminContext {
    /// The decisions.
    pub decisions: Arc<DecisionService>,
    /// The listed backends.
    pub directory: Arc<Directory>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// Whether this process accepts clients.
    pub open: Arc<AtomicBool>,
}

impl Admin {
    /// Listens at this address, and applies the ejections that are in force already.
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
        admin.apply_shared_changes();
        Ok(admin)
    }

    /// Applies the ejections that other processes of this relay have made or ended.
    fn apply_shared_changes(&mut self) {
        for (id, ejected) in self.ejections.take_changes() {
            self.apply(&id, ejected);
        }
    }

    /// Applies an ejection or its end. The directory first: the network code checks it again right
    /// before it sends the first byte to a backend.
    fn apply(&self, id: &str, ejected: bool) {
        log(&if ejected {
            format!("admin: backend {id} is ejected manually")
        } else {
            format!("admin: backend {id} is no longer ejected manually")
        });
        self.context
            .directory
            .set_manual_ejection(endpoint_id(id), ejected);
        self.context
            .decisions
            .set_manual_ejection(endpoint_id(id), ejected);
    }

    /// Ejects a backend, or ends its manual ejection. Repeated requests have no further effect.
    ///
    /// What other processes have changed before is applied first: a request that repeats one of
    /// this process may undo one of theirs.
    fn set_ejection(&mut self, id: &str, ejected: bool) -> Response {
        self.apply_shared_changes();
        if !self.ejections.contains(id)
            && self
                .context
                .directory
                .backend_address(endpoint_id(id))
                .is_none()
        {
            return response(404, "no backend has this id");
        }
        if self.ejections.contains(id) != ejected {
            // An ejection applies to this process even if it cannot be stored for the others.
            if ejected {
                self.apply(id, true);
            }
            if let Err(e) = self.ejections.set(id, ejected) {
                log(&format!(
                    "admin: backend {id}: the change cannot be stored for other processes: {e}"
                ));
                return response(
                    500,
                    "the change cannot be stored for other processes of this relay",
                );
            }
            if !ejected {
                self.apply(id, false);
            }
        }
        response(200, if ejected { "out" } else { "back" })
    }

    /// The address that it listens at.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves callers until the process ends.
    pub fn run(mut self) -> ! {
        let mut callers: Vec<Caller> = Vec::new();
        let mut last_poll = Instant::now();
        loop {
            if last_poll.elapsed() >= POLL_INTERVAL {
                last_poll = Instant::now();
                self.apply_shared_changes();
            }
            let mut fds = vec![PollFd::new(&self.listener, PollFlags::IN)];
            fds.extend(callers.iter().map(|caller| {
                PollFd::new(
                    &caller.stream,
                    if caller.has_unsent_bytes() {
                        PollFlags::OUT
                    } else {
                        PollFlags::IN
                    },
                )
            }));
            if let Err(e) = poll(&mut fds, POLL_INTERVAL.as_millis() as i32) {
                if e != rustix::io::Errno::INTR {
                    log(&format!("admin: {e}"));
                    std::thread::sleep(POLL_INTERVAL);
                }
                continue;
            }
            let ready: Vec<bool> = fds.iter().map(|fd| !fd.revents().is_empty()).collect();
            let mut caller_ready = ready[1..].iter();
            callers.retain_mut(|caller| {
                let is_ready = caller_ready.next() == Some(&true);
                (!is_ready || caller.advance(&mut |request| self.serve(&request)))
                    && !caller.has_timed_out()
            });
            if ready[0] {
                self.accept(&mut callers);
            }
        }
    }

    /// Accepts waiting callers, at most half as many as there are places: each new connection is
    /// then read at least once before it may be closed to make room.
    fn accept(&self, callers: &mut Vec<Caller>) {
        for _ in 0..MAX_CALLERS / 2 {
            match self.listener.accept() {
                Ok((stream, _)) if stream.set_nonblocking(true).is_ok() => {
                    if callers.len() >= MAX_CALLERS {
                        callers.remove(place_to_free(callers));
                    }
                    callers.push(Caller::new(stream));
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

    fn serve(&mut self, request: &AdminRequest) -> Response {
        match request {
            // A relay that may not admit clients is not ready: a load balancer in front of it must
            // not send it any.
            AdminRequest::Ready
                if self.context.open.load(Relaxed) && self.context.decisions.may_admit() =>
            {
                response(200, "ready")
            }
            AdminRequest::Ready => response(503, "takes no clients"),
            AdminRequest::EjectBackend(id) => self.set_ejection(id, true),
            AdminRequest::RestoreBackend(id) => self.set_ejection(id, false),
            AdminRequest::Metrics => {
                let (cells, waiting_migrations) = self.context.decisions.cell_metrics();
                let gauges = Gauges {
                    listed_backends: self.context.directory.backend_count(),
                    unavailable_backends: self.context.decisions.unavailable_endpoints(),
                    cells,
                    waiting_migrations,
                };
                (200, self.context.metrics.render(&gauges))
            }
        }
    }
}

#[cfg(test)]
mod tests;
