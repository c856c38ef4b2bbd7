//! Client of the discovery service: one long-lived HTTP request (a watch) that delivers updates of
//! the endpoint list.
//!
//! Guards against: a watch that goes silent or sends single bytes for ever; a request or a
//! relocation that arrives while the watch thread is busy (the desired state is kept as one value,
//! not as a queue of events); and calls that together take longer than the time within which the
//! relay must know a change.

use crate::config::endpoint_list::{check_nesting, parse_list_update, BackendAddress};
use crate::config::Names;
use crate::decision_service::DecisionService;
use crate::decisions::api::{EndpointListKind, ListedEndpoint};
use crate::log::log;
use crate::platform::directory::Directory;
use crate::platform::discovery_response::{ResponseItem, ResponseParser};
use crate::sys::{lock, timed_out};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The platform's rule: the relay must know a change at the latest this long after discovery had it
/// and was reachable, whichever calls failed meanwhile. The timeouts below and the backoff of the
/// decisions (`discovery_max_backoff_us`, `discovery_max_backoff_after_timeout_us`) add up to less;
/// a test checks the sums.
pub const MAX_UPDATE_DELAY: Duration = Duration::from_millis(6_000);
/// The longest wait for a connection to discovery.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The longest wait for the first whole object or heartbeat, from the start of the connection
/// attempt. An overloaded service queues calls for up to 3 s and then answers that they failed.
pub const FIRST_ITEM_TIMEOUT: Duration = Duration::from_millis(3_200);
/// The liveness timeout: a watch without a whole object or heartbeat for this long is dead, even if
/// single bytes arrive. A heartbeat is due every 2 s.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(3_200);
/// The time that remains for the call that succeeds.
pub const RESPONSE_ALLOWANCE: Duration = Duration::from_millis(1_800);
/// Growth of the pause before a continuous watch is reopened, per failure in a row. A watch that
/// has delivered anything is reopened at once.
const REOPEN_PAUSE_STEP: Duration = Duration::from_millis(25);
/// The longest pause before a continuous watch is reopened. The platform takes what its agent has
/// as known to the relay, so this is less than the shortest time after which a drain must be
/// observed. The agent runs on the same machine.
const MAX_REOPEN_PAUSE: Duration = Duration::from_millis(100);
/// How many entries of an update are logged by name.
const MAX_LOGGED_ENTRIES: usize = 16;

/// When discovery is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// Each call is requested by the decisions: all relays share one service.
    OnRequest,
    /// The platform pushes its lists: a watch is kept open at all times.
    Continuous,
}

/// The address of discovery, and whether a watch is wanted. Other threads change them here; the
/// watch thread reads them before each call, and waits here between calls.
pub struct WatchControl {
    mode: WatchMode,
    state: Mutex<WatchState>,
    changed: Condvar,
}

struct WatchState {
    addr: SocketAddr,
    /// How often `addr` has changed.
    relocations: u64,
    wanted: bool,
    /// How many calls have been requested.
    requests: u64,
    /// How many of them have been started, or were satisfied by a watch that was open.
    satisfied_requests: u64,
    /// The open watch at `addr`.
    stream: Option<Arc<TcpStream>>,
}

/// A call to discovery.
struct Call {
    addr: SocketAddr,
    /// [`WatchState::relocations`] when the call was started.
    relocations: u64,
}

/// Why a watch has ended.
#[derive(Debug, PartialEq, Eq)]
enum WatchEnd {
    Failed,
    Relocated,
    Unwanted,
}

impl WatchControl {
    /// For discovery at this address.
    pub fn new(addr: SocketAddr, mode: WatchMode) -> Arc<WatchControl> {
        let state = WatchState {
            addr,
            relocations: 0,
            wanted: mode == WatchMode::Continuous,
            requests: 0,
            satisfied_requests: 0,
            stream: None,
        };
        Arc::new(WatchControl {
            mode,
            state: Mutex::new(state),
            changed: Condvar::new(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, WatchState> {
        lock(&self.state)
    }

    /// Requests a call to discovery, or ends the watch. An open watch satisfies a request.
    pub fn request_watch(&self, wanted: bool) {
        let mut state = self.lock();
        state.wanted = wanted;
        if wanted {
            state.requests += 1;
        } else {
            state.close_stream();
        }
        self.changed.notify_all();
    }

    /// Changes the address of discovery and ends a watch at the old one. Returns false if the
    /// address is the same.
    pub fn relocate(&self, addr: SocketAddr) -> bool {
        let mut state = self.lock();
        if state.addr == addr {
            return false;
        }
        (state.addr, state.relocations) = (addr, state.relocations + 1);
        state.close_stream();
        self.changed.notify_all();
        true
    }

    /// Waits until a call is due. In [`WatchMode::Continuous`] that is after `pause` at the latest,
    /// and at once if discovery has been relocated since `relocations`.
    fn next_call(&self, pause: Duration, relocations: u64) -> Call {
        let mut state = self.lock();
        let deadline = Instant::now() + pause;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let due = match self.mode {
                WatchMode::OnRequest => state.wanted && state.requests != state.satisfied_requests,
                WatchMode::Continuous => state.relocations != relocations || left.is_zero(),
            };
            if due {
                state.satisfied_requests = state.requests;
                return Call {
                    addr: state.addr,
                    relocations: state.relocations,
                };
            }
            state = match self.mode {
                WatchMode::OnRequest => self
                    .changed
                    .wait(state)
                    .unwrap_or_else(PoisonError::into_inner),
                WatchMode::Continuous => {
                    self.changed
                        .wait_timeout(state, left)
                        .unwrap_or_else(PoisonError::into_inner)
                        .0
                }
            };
        }
    }

    /// Registers the socket of a call, so that other threads can close it. Returns false if the
    /// call is no longer wanted.
    fn register_stream(&self, stream: &Arc<TcpStream>, call: &Call) -> bool {
        let mut state = self.lock();
        let still_wanted = state.wanted && state.relocations == call.relocations;
        if still_wanted {
            state.stream = Some(stream.clone());
        }
        still_wanted
    }

    /// Ends a call or its watch, and returns why it ended. In the same step the requests that it
    /// stood for count as satisfied.
    fn finish_call(&self, call: &Call) -> WatchEnd {
        let mut state = self.lock();
        state.stream = None;
        if state.relocations != call.relocations {
            return WatchEnd::Relocated;
        }
        state.satisfied_requests = state.requests;
        if state.wanted {
            WatchEnd::Failed
        } else {
            WatchEnd::Unwanted
        }
    }
}

impl WatchState {
    /// Shuts the open watch down, which wakes the thread that reads from it.
    fn close_stream(&mut self) {
        if let Some(stream) = self.stream.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// The watch thread's state.
pub struct Watcher<'a> {
    /// The address of discovery and whether a watch is wanted.
    pub control: &'a WatchControl,
    /// Names of the zones.
    pub names: &'a Names,
    /// The backends as the network code sees them; updated by each list update.
    pub directory: &'a Directory,
    /// Gets each list update after `directory`.
    pub decisions: &'a DecisionService,
    /// The version of the current list; 0 if there is none.
    pub version: u64,
}

/// The failure of a call or of its watch.
struct WatchError {
    message: String,
    /// Whether it was noticed only by a timeout.
    by_timeout: bool,
}

impl From<String> for WatchError {
    fn from(message: String) -> WatchError {
        WatchError {
            message,
            by_timeout: false,
        }
    }
}

impl From<&str> for WatchError {
    fn from(message: &str) -> WatchError {
        message.to_string().into()
    }
}

impl From<std::io::Error> for WatchError {
    fn from(e: std::io::Error) -> WatchError {
        match timed_out(&e) {
            true => WatchError {
                message: "timed out".into(),
                by_timeout: true,
            },
            false => e.to_string().into(),
        }
    }
}

impl Watcher<'_> {
    /// Runs the watch thread. In [`WatchMode::OnRequest`] a failed watch is reported to the
    /// decisions, which choose when to retry, and with what jitter.
    pub fn run(mut self) {
        let (mut relocations, mut failures) = (0, 0);
        loop {
            let max_steps =
                MAX_REOPEN_PAUSE.as_millis() as u32 / REOPEN_PAUSE_STEP.as_millis() as u32;
            let pause = REOPEN_PAUSE_STEP * failures.min(max_steps);
            let call = self.control.next_call(pause, relocations);
            if call.relocations != relocations {
                // Versions of one address mean nothing at another: request the whole list there.
                (relocations, self.version) = (call.relocations, 0);
            }
            let mut received = false;
            let Err(error) = self.watch(&call, &mut received);
            failures = if received { 0 } else { failures + 1 };
            match self.control.finish_call(&call) {
                WatchEnd::Relocated => log(&format!("discovery: moved from {}", call.addr)),
                WatchEnd::Unwanted => log("discovery: the watch was ended as asked"),
                WatchEnd::Failed => {
                    let on_request = self.control.mode == WatchMode::OnRequest;
                    // A continuous watch is retried many times a second: log the first failure
                    // only.
                    if received || failures == 1 || on_request {
                        log(&format!("discovery: the watch failed: {}", error.message));
                    }
                    if on_request {
                        let kind = if error.by_timeout {
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

    /// Calls discovery and applies its updates until the watch ends. Sets `received` once a whole
    /// object or heartbeat has come.
    fn watch(
        &mut self,
        call: &Call,
        received: &mut bool,
    ) -> Result<std::convert::Infallible, WatchError> {
        let mut deadline = Instant::now() + FIRST_ITEM_TIMEOUT;
        let shared = Arc::new(TcpStream::connect_timeout(&call.addr, CONNECT_TIMEOUT)?);
        if !self.control.register_stream(&shared, call) {
            return Err("no longer wanted at this address".into());
        }
        let mut stream = &*shared;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(CONNECT_TIMEOUT))?;
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
        let mut response = ResponseParser::default();
        let mut buffer = [0; 4096];
        loop {
            // Read before judging the deadline: a process that was stopped may find its deadline
            // past and a whole list in the socket's buffer.
            let left = deadline.saturating_duration_since(Instant::now());
            stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
            let n = match stream.read(&mut buffer) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                read => read?,
            };
            if n == 0 {
                return Err("discovery closed the connection".into());
            }
            response.feed(&buffer[..n])?;
            let mut item_received = false;
            while let Some(item) = response.next_item()? {
                item_received = true;
                if let ResponseItem::Object(mut object) = item {
                    self.apply_object(&mut object, call.addr)?;
                }
            }
            if item_received {
                (*received, deadline) = (true, Instant::now() + LIVENESS_TIMEOUT);
            } else if left.is_zero() {
                // Bytes alone prove no liveness: part of a header, a chunk or an object may trickle
                // in for ever.
                return Err(WatchError {
                    message: "no whole object or heartbeat in time".into(),
                    by_timeout: true,
                });
            }
            if response.is_complete() {
                return Err("discovery ended the response".into());
            }
        }
    }

    /// Applies one JSON object of the response.
    fn apply_object(&mut self, object: &mut [u8], discovery: SocketAddr) -> Result<(), String> {
        let parsed = check_nesting(object).and_then(|()| {
            let value = simd_json::to_owned_value(object).map_err(|e| format!("not JSON: {e}"))?;
            parse_list_update(&value, &self.names.zones)
        });
        let update = parsed.inspect_err(|_| {
            // What this object would have changed is unknown: the next watch requests the whole
            // list.
            self.version = 0;
        })?;
        for problem in &update.problems {
            log(&format!("discovery: an entry was left out: {problem}"));
        }
        let (version, count) = (update.version, update.entries.len());
        let describe = |(address, listed): &(BackendAddress, ListedEndpoint)| {
            format!("{} {:?}", address.name, listed.state)
        };
        let described: Vec<String> = update
            .entries
            .iter()
            .take(MAX_LOGGED_ENTRIES)
            .map(describe)
            .collect();
        log(&format!(
            "discovery: version {version}, {count} entries: {}",
            described.join(", ")
        ));
        self.version = update.version;
        // The directory first: the network code checks it again right before it sends the first
        // byte to a backend.
        self.directory.update(update.full, &update.entries);
        self.directory.set_source(version, discovery);
        let kind = if update.full {
            EndpointListKind::Full
        } else {
            EndpointListKind::Delta
        };
        self.decisions.update_endpoints(
            kind,
            update
                .entries
                .into_iter()
                .map(|(_, listed)| listed)
                .collect(),
        );
        Ok(())
    }
}
