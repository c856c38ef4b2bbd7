//! Admission of connections and requests within the limits of the process.
//!
//! Descriptors, memory and connection ids are assigned here. Connections without a request and
//! connections with one have separate limits, so that clients which request nothing cannot exhaust
//! the descriptors of those that do.

use crate::config::Limits;
use crate::ops::admin::MAX_CALLERS;
use crate::platform::health_check::MAX_HEALTH_CHECKS;
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Descriptors that no client may use: standard streams, listener, signals, discovery, the
/// configuration while it is read, and the health checks that may be in progress.
const RESERVED_DESCRIPTORS: usize = 15 + MAX_HEALTH_CHECKS;
/// Memory for a connection with a request: the used part of two stacks, and two buffers.
const BYTES_PER_REQUEST: usize = 48 * 1024;
/// Memory for a connection without a request: the used part of one stack, and one buffer.
const BYTES_PER_WAITING: usize = 24 * 1024;
/// The lowest limit of connections without a request.
const MIN_WAITING: usize = 16;
/// A connection is not dismissed for this time after it was accepted: its first line may be on the
/// way.
pub const DISMISS_GRACE: Duration = Duration::from_millis(100);

/// The state of a connection without a request.
struct WaitingState {
    /// Whether the client has sent anything that the relay answered, such as `PING`.
    active: bool,
    /// Time of the last such message, or of the accept.
    since: Instant,
    /// Whether the connection was told to end, to make room for others.
    dismissed: bool,
}

#[derive(Default)]
struct Inner {
    waiting: BTreeMap<u64, WaitingState>,
    request_ids: BTreeSet<String>,
}

/// The limits of the process, and the connections and requests that count against them.
pub struct Admission {
    max_waiting: usize,
    max_requests: usize,
    next: AtomicU64,
    inner: Mutex<Inner>,
}

/// The reason why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// Another open connection has the same id.
    IdInUse,
    /// No descriptors or no memory are left for the request.
    NoCapacity,
}

impl Admission {
    /// Derives the limits of connections and requests from those of the process. Clients with
    /// requests use at most a third of the descriptors, and each needs a second one for its
    /// backend; the rest is for connections without a request.
    ///
    /// Where the listening socket is `inherited` from the platform, two processes share all limits
    /// during an upgrade. The number of clients with requests does not grow by that; the limit of
    /// connections without a request is always halved.
    pub fn new(limits: &Limits, admin: bool, inherited: bool) -> Arc<Admission> {
        let (sockets, memory) = (
            limits.sockets as usize,
            limits.memory_mb as usize * 1024 * 1024,
        );
        let processes = if inherited { 2 } else { 1 };
        let reserved = RESERVED_DESCRIPTORS + if admin { MAX_CALLERS + 1 } else { 0 };
        let left = sockets.saturating_sub(processes * (reserved + MIN_WAITING));
        let max_requests = sockets
            .div_ceil(3)
            .min(left / 2)
            .min(memory / 2 / BYTES_PER_REQUEST)
            .max(1);
        let waiting = (sockets / processes).saturating_sub(reserved + 2 * max_requests / processes);
        let waiting = waiting.min(memory / processes / 4 / BYTES_PER_WAITING);
        Arc::new(Admission {
            max_waiting: waiting.max(MIN_WAITING),
            max_requests,
            next: AtomicU64::new(0),
            inner: Mutex::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Checks whether one more connection can be accepted. The error lists connections to dismiss:
    /// first those that never sent anything, and of these the longest waiting first. It is empty
    /// while earlier dismissals are still in progress.
    pub fn check_capacity(&self) -> Result<(), Vec<u64>> {
        let mut inner = self.lock();
        if inner.waiting.len() < self.max_waiting {
            return Ok(());
        }
        let now = Instant::now();
        let mut waiting: Vec<_> = inner.waiting.iter_mut().collect();
        if waiting.iter().any(|(_, w)| w.dismissed) {
            return Err(Vec::new());
        }
        waiting.retain(|(_, w)| now.duration_since(w.since) >= DISMISS_GRACE);
        waiting.sort_by_key(|(_, w)| (w.active, w.since));
        // Several at a time, so that a burst of silent connections does not delay the clients that
        // arrive with it.
        let max_dismissed = self.max_waiting.div_ceil(8);
        let dismiss = |(number, w): (&u64, &mut WaitingState)| {
            w.dismissed = true;
            *number
        };
        Err(waiting
            .into_iter()
            .take(max_dismissed)
            .map(dismiss)
            .collect())
    }

    /// Registers an accepted connection.
    pub fn register(self: &Arc<Self>, stream: TcpStream) -> WaitingConnection {
        let (number, stream) = (self.next.fetch_add(1, Ordering::Relaxed), Arc::new(stream));
        let waiting = WaitingState {
            active: false,
            since: Instant::now(),
            dismissed: false,
        };
        self.lock().waiting.insert(number, waiting);
        WaitingConnection {
            admission: self.clone(),
            number,
            stream,
        }
    }

    /// The number of connections without a request.
    pub fn waiting_count(&self) -> usize {
        self.lock().waiting.len()
    }

    /// The number of pending requests and established connections.
    pub fn request_count(&self) -> usize {
        self.lock().request_ids.len()
    }

    /// The limit of requests, and that of connections without a request.
    pub fn limits(&self) -> (usize, usize) {
        (self.max_requests, self.max_waiting)
    }
}

/// An accepted connection without a request. It is deregistered when this value is dropped.
pub struct WaitingConnection {
    admission: Arc<Admission>,
    number: u64,
    /// The client's socket.
    pub stream: Arc<TcpStream>,
}

impl WaitingConnection {
    /// The connection's number.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Records that the client has sent something that the relay answers.
    pub fn record_activity(&self) {
        if let Some(w) = self.admission.lock().waiting.get_mut(&self.number) {
            (w.active, w.since) = (true, Instant::now());
        }
    }

    /// Admits the connection's request under the id that the client has chosen.
    pub fn admit_request(&self, id: &str) -> Result<RequestSlot, AdmissionError> {
        let mut inner = self.admission.lock();
        // A backend could not tell two connections with the same id apart.
        if inner.request_ids.contains(id) {
            return Err(AdmissionError::IdInUse);
        }
        if inner.request_ids.len() >= self.admission.max_requests {
            return Err(AdmissionError::NoCapacity);
        }
        inner.request_ids.insert(id.to_string());
        inner.waiting.remove(&self.number);
        Ok(RequestSlot {
            admission: self.admission.clone(),
            number: self.number,
            id: id.to_string(),
        })
    }
}

impl Drop for WaitingConnection {
    fn drop(&mut self) {
        self.admission.lock().waiting.remove(&self.number);
    }
}

/// The capacity and the id that a request holds until this value is dropped.
pub struct RequestSlot {
    admission: Arc<Admission>,
    /// The connection's number.
    pub number: u64,
    /// The connection's id.
    pub id: String,
}

impl Drop for RequestSlot {
    fn drop(&mut self) {
        self.admission.lock().request_ids.remove(&self.id);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpListener;

    fn admission(sockets: u64, memory_mb: u64) -> Arc<Admission> {
        Admission::new(
            &Limits {
                cores: 1.0,
                memory_mb,
                sockets,
            },
            false,
            false,
        )
    }

    #[test]
    fn the_limits_of_requests_and_connections_follow_those_of_the_process() {
        for (sockets, memory_mb) in [(128, 16), (256, 32), (384, 48), (756, 48), (1024, 192)] {
            let (requests, waiting) = admission(sockets, memory_mb).limits();
            let case = format!("{sockets} sockets, {memory_mb} MB: {requests}, {waiting}");
            assert!(
                2 * requests + waiting + RESERVED_DESCRIPTORS <= sockets as usize,
                "{case}"
            );
            assert!(
                requests >= (sockets / 3) as usize && waiting >= MIN_WAITING,
                "{case}"
            );
            let memory = requests * BYTES_PER_REQUEST + waiting * BYTES_PER_WAITING;
            assert!(memory <= memory_mb as usize * 1024 * 1024 * 3 / 4, "{case}");
        }
    }

    /// During an upgrade two processes share the limits, and callers of the admin address need
    /// descriptors in both.
    #[test]
    fn two_processes_and_their_admin_callers_stay_within_the_limits() {
        for (sockets, memory_mb) in [(256, 32), (384, 48), (1024, 192)] {
            let limits = Limits {
                cores: 1.0,
                memory_mb,
                sockets,
            };
            for (inherited, processes) in [(false, 1), (true, 2)] {
                let (requests, waiting) = Admission::new(&limits, true, inherited).limits();
                let all =
                    2 * requests + processes * (waiting + RESERVED_DESCRIPTORS + MAX_CALLERS + 1);
                assert!(
                    all <= sockets as usize,
                    "{sockets} sockets, inherited {inherited}: {requests}, {waiting}"
                );
                let memory = requests * BYTES_PER_REQUEST + processes * waiting * BYTES_PER_WAITING;
                assert!(memory <= memory_mb as usize * 1024 * 1024 * 3 / 4);
                assert!(requests >= sockets as usize * 3 / 10);
            }
        }
    }

    /// Guards against silent connections that fill the relay, so that clients with requests are
    /// refused.
    #[test]
    fn silent_connections_are_dismissed_before_those_that_sent_something() {
        let admission = admission(128, 16);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (mut clients, mut waiting) = (Vec::new(), Vec::new());
        for _ in 0..admission.limits().1 {
            assert!(admission.check_capacity().is_ok());
            clients.push(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
            waiting.push(admission.register(listener.accept().unwrap().0));
        }
        waiting[0].record_activity();
        std::thread::sleep(DISMISS_GRACE);
        // The second one is dismissed; the first was active and the last waits for the shortest
        // time.
        let dismissed = admission.check_capacity().unwrap_err();
        assert!(
            dismissed.contains(&waiting[1].number()) && dismissed.len() < clients.len() / 2,
            "{dismissed:?}"
        );
        for n in [0, clients.len() - 1] {
            assert!(!dismissed.contains(&waiting[n].number()));
        }
        // No more are dismissed before those have gone.
        assert_eq!(admission.check_capacity(), Err(Vec::new()));
        waiting.remove(1);
        assert!(admission.check_capacity().is_ok());
        // A request does not count against the limit of connections without one.
        let slot = waiting[0].admit_request("01").unwrap();
        assert_eq!(
            waiting[1].admit_request("01").err(),
            Some(AdmissionError::IdInUse)
        );
        drop(slot);
        assert!(waiting[1].admit_request("01").is_ok());
    }
}
