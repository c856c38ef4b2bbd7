//! Discovery: the list of backends as it is written to this relay, and the watch that brings it.
//!
//! Guards against: a watch that falls silent or dribbles, an order or a move that comes while the thread is busy
//! elsewhere (the wanted state is one value, not a queue of edges), and calls that together take longer than the time
//! after which a change counts as told.

use crate::config::endpoint_list::{check_nesting, parse_list_update, BackendAddress};
use crate::config::Names;
use crate::decision_service::DecisionService;
use crate::decisions::api::{EndpointListKind, ListedEndpoint};
use crate::log::log;
use crate::platform::directory::Directory;
use crate::platform::discovery_response::{Answer, Piece};
use crate::sys::{lock, timed_out};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A change counts as told so long after discovery had it and could be reached, whatever call has failed meanwhile
/// (the platform's term). What follows, with the pauses of the decisions (`ask_most`, `ask_soon`), adds up to less: a
/// test holds the sums.
pub const TOLD: Duration = Duration::from_millis(6_000);
/// The longest wait for a connection to discovery.
pub const DIAL: Duration = Duration::from_millis(1_000);
/// The longest wait, from the dial on, for the first whole object or beat: a crowded service has calls wait in line
/// for up to 3 s, and then says that they have failed.
pub const CALL: Duration = Duration::from_millis(3_200);
/// The liveness timeout: a watch that brings no whole object or beat for so long is dead, whatever bytes it brings. A
/// beat is due every 2 s.
pub const SILENT: Duration = Duration::from_millis(3_200);
/// What is left of the time for the call that succeeds.
pub const ANSWER: Duration = Duration::from_millis(1_800);
/// Pauses before a watch that the platform pushes on is opened anew, the first at once: what its agent has counts as
/// told, so they stay under the least time after which a drain must be kept. The agent is this machine's own.
const AGAIN: Duration = Duration::from_millis(25);
const AGAIN_MOST: Duration = Duration::from_millis(100);
/// Entries of a change that the log names.
const NAMED: usize = 16;

/// Who says when discovery is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// The decisions, each time anew: all relays share one service.
    OnRequest,
    /// Nobody: the platform pushes its lists, and the watch is to stand at all times.
    Continuous,
}

/// Where discovery is, and what is wanted of it. Whoever changes either does it here; the thread of the watch looks
/// here before each call, and sleeps here between two.
pub struct WatchControl {
    mode: WatchMode,
    wanted: Mutex<Wanted>,
    changed: Condvar,
}

struct Wanted {
    addr: SocketAddr,
    /// How often the place has moved.
    moves: u64,
    /// Whether a watch is wanted, and how many calls have been asked for.
    on: bool,
    orders: u64,
    /// The calls among them that were begun, or stood for by a watch that was open.
    begun: u64,
    /// The watch that is open at that place.
    open: Option<Arc<TcpStream>>,
}

/// A call that is to be made.
struct Call {
    addr: SocketAddr,
    moves: u64,
}

/// How a watch has ended.
#[derive(Debug, PartialEq, Eq)]
enum End {
    Failed,
    Moved,
    Unwanted,
}

impl WatchControl {
    /// Discovery at this address.
    pub fn new(addr: SocketAddr, mode: WatchMode) -> Arc<WatchControl> {
        let on = mode == WatchMode::Continuous;
        let wanted = Wanted {
            addr,
            moves: 0,
            on,
            orders: 0,
            begun: 0,
            open: None,
        };
        Arc::new(WatchControl {
            mode,
            wanted: Mutex::new(wanted),
            changed: Condvar::new(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Wanted> {
        lock(&self.wanted)
    }

    /// Calls discovery once more, or ends the watch. A watch that is open stands for a call.
    pub fn request_watch(&self, on: bool) {
        let mut wanted = self.lock();
        wanted.on = on;
        if on {
            wanted.orders += 1;
        } else {
            wanted.end_watch();
        }
        self.changed.notify_all();
    }

    /// From now on discovery is at this address: a watch elsewhere is ended. False if it is there already.
    pub fn relocate(&self, addr: SocketAddr) -> bool {
        let mut wanted = self.lock();
        if wanted.addr == addr {
            return false;
        }
        (wanted.addr, wanted.moves) = (addr, wanted.moves + 1);
        wanted.end_watch();
        self.changed.notify_all();
        true
    }

    /// Waits for the next call that is to be made. Where the watch stands by itself, that is after `pause` at the
    /// latest, and at once where discovery has moved since `moves`.
    fn call(&self, pause: Duration, moves: u64) -> Call {
        let mut wanted = self.lock();
        let by = Instant::now() + pause;
        loop {
            let left = by.saturating_duration_since(Instant::now());
            let due = match self.mode {
                WatchMode::OnRequest => wanted.on && wanted.orders != wanted.begun,
                WatchMode::Continuous => wanted.moves != moves || left.is_zero(),
            };
            if due {
                wanted.begun = wanted.orders;
                return Call {
                    addr: wanted.addr,
                    moves: wanted.moves,
                };
            }
            wanted = match self.mode {
                WatchMode::OnRequest => self
                    .changed
                    .wait(wanted)
                    .unwrap_or_else(PoisonError::into_inner),
                WatchMode::Continuous => {
                    self.changed
                        .wait_timeout(wanted, left)
                        .unwrap_or_else(PoisonError::into_inner)
                        .0
                }
            };
        }
    }

    /// Takes the socket of a call; false if it is not wanted any more.
    fn hold(&self, stream: &Arc<TcpStream>, call: &Call) -> bool {
        let mut wanted = self.lock();
        let holds = wanted.on && wanted.moves == call.moves;
        if holds {
            wanted.open = Some(stream.clone());
        }
        holds
    }

    /// A call or its watch is over: why, and in one step with that the orders for which it stood are done.
    fn over(&self, call: &Call) -> End {
        let mut wanted = self.lock();
        wanted.open = None;
        if wanted.moves != call.moves {
            return End::Moved;
        }
        wanted.begun = wanted.orders;
        if wanted.on {
            End::Failed
        } else {
            End::Unwanted
        }
    }
}

impl Wanted {
    /// Wakes the thread that reads there.
    fn end_watch(&mut self) {
        if let Some(open) = self.open.take() {
            let _ = open.shutdown(Shutdown::Both);
        }
    }
}

/// What the thread of the watch works with.
pub struct Watcher<'a> {
    /// Where discovery is.
    pub control: &'a WatchControl,
    /// Names of the zones.
    pub names: &'a Names,
    /// What is told to the network.
    pub directory: &'a Directory,
    /// What is told to the decisions.
    pub decisions: &'a DecisionService,
    /// The version of the list that is held; 0 where none is.
    pub version: u64,
}

/// Why a call or its watch has ended, and whether that took a timeout to see.
struct Fault {
    why: String,
    silent: bool,
}

impl From<String> for Fault {
    fn from(why: String) -> Fault {
        Fault { why, silent: false }
    }
}

impl From<&str> for Fault {
    fn from(why: &str) -> Fault {
        why.to_string().into()
    }
}

impl From<std::io::Error> for Fault {
    fn from(e: std::io::Error) -> Fault {
        match timed_out(&e) {
            true => Fault {
                why: "silent".into(),
                silent: true,
            },
            false => e.to_string().into(),
        }
    }
}

impl Watcher<'_> {
    /// Watches whenever that is wanted. A watch that fails is told to the decisions: when to try again, and with what
    /// jitter, is theirs to say, but where the watch stands by itself.
    pub fn run(mut self) {
        let (mut known, mut failures) = (0, 0);
        loop {
            let pause =
                AGAIN * failures.min(AGAIN_MOST.as_millis() as u32 / AGAIN.as_millis() as u32);
            let call = self.control.call(pause, known);
            if call.moves != known {
                // Versions of one place say nothing at another: its whole list is asked for.
                (known, self.version) = (call.moves, 0);
            }
            let mut heard = false;
            let Err(fault) = self.watch(&call, &mut heard);
            failures = if heard { 0 } else { failures + 1 };
            match self.control.over(&call) {
                End::Moved => log(&format!("discovery: moved from {}", call.addr)),
                End::Unwanted => log("discovery: the watch was ended as asked"),
                End::Failed => {
                    // One that stands is tried again many times a second: the first failure says it all.
                    if heard || failures == 1 || self.control.mode == WatchMode::OnRequest {
                        log(&format!("discovery: the watch failed: {}", fault.why));
                    }
                    if self.control.mode == WatchMode::OnRequest {
                        let kind = if fault.silent {
                            EndpointListKind::WatchTimedOut
                        } else {
                            EndpointListKind::WatchFailed
                        };
                        self.decisions.update_endpoints(kind, Vec::new());
                    }
                }
            }
        }
    }

    fn watch(&mut self, call: &Call, heard: &mut bool) -> Result<std::convert::Infallible, Fault> {
        let mut by = Instant::now() + CALL;
        let shared = Arc::new(TcpStream::connect_timeout(&call.addr, DIAL)?);
        if !self.control.hold(&shared, call) {
            return Err("it moved".into());
        }
        let mut stream = &*shared;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(DIAL))?;
        let after = if self.version > 0 {
            format!("&after={}", self.version)
        } else {
            String::new()
        };
        let request = format!(
            "GET /v1/endpoints?watch=1{after} HTTP/1.1\r\nHost: {}\r\n\r\n",
            call.addr
        );
        stream.write_all(request.as_bytes())?;
        let mut answer = Answer::default();
        let mut piece = [0; 4096];
        loop {
            // What has come is read before it is judged: a process that was stopped finds its time up, and a whole
            // list waiting for it.
            let left = by.saturating_duration_since(Instant::now());
            stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
            let n = match stream.read(&mut piece) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                read => read?,
            };
            if n == 0 {
                return Err("it ended".into());
            }
            answer.take(&piece[..n])?;
            let mut whole = false;
            while let Some(piece) = answer.piece()? {
                whole = true;
                if let Piece::Object(mut object) = piece {
                    self.object(&mut object)?;
                }
            }
            if whole {
                (*heard, by) = (true, Instant::now() + SILENT);
            } else if left.is_zero() {
                // Bytes alone are no life: half a head, half a chunk or half an object may dribble for ever.
                return Err(Fault {
                    why: "nothing whole in time".into(),
                    silent: true,
                });
            }
            if answer.ended() {
                return Err("it ended".into());
            }
        }
    }

    fn object(&mut self, object: &mut [u8]) -> Result<(), String> {
        let read = check_nesting(object).and_then(|()| {
            let value = simd_json::to_owned_value(object).map_err(|e| format!("not JSON: {e}"))?;
            parse_list_update(&value, &self.names.zones)
        });
        let listing = read.inspect_err(|_| {
            // What this object would have changed is not known: the next watch begins with the whole list.
            self.version = 0;
        })?;
        for problem in &listing.problems {
            log(&format!("discovery: an entry was left out: {problem}"));
        }
        let (version, entries) = (listing.version, listing.servers.len());
        let said = |(endpoint, member): &(BackendAddress, ListedEndpoint)| {
            format!("{} {:?}", endpoint.name, member.state)
        };
        let named: Vec<String> = listing.servers.iter().take(NAMED).map(said).collect();
        log(&format!(
            "discovery: version {version}, {entries} entries: {}",
            named.join(", ")
        ));
        self.version = listing.version;
        // The network first: it checks against this list once more, right before a first byte goes out.
        self.directory.update(listing.full, &listing.servers);
        let kind = if listing.full {
            EndpointListKind::Full
        } else {
            EndpointListKind::Delta
        };
        self.decisions.update_endpoints(
            kind,
            listing
                .servers
                .into_iter()
                .map(|(_, member)| member)
                .collect(),
        );
        Ok(())
    }
}
