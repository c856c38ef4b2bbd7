//! Admission of connections and requests within the limits of the process.
//!
//! Descriptors, memory and connection ids are assigned here. Connections without a request and
//! connections with one have separate limits, so that clients which request nothing cannot exhaust
//! the descriptors of those that do. The same holds for memory: what connections without a request
//! buffer is limited, and those that buffer the most are ended where it is exceeded.
//!
//! A connection that was sent its last bytes lingers for a while, so that a reset does not destroy
//! them. It is counted apart, as closing: it needs its descriptor, but cannot be dismissed, and its
//! id is free. Guards against clients that never close: while others wait, the time for which
//! closing connections linger is cut to [`MIN_LINGER`].

mod repeated_ids;
mod shared_ids;

use crate::config::Limits;
use crate::ops::admin::MAX_CALLERS;
use crate::platform::health_check::MAX_HEALTH_CHECKS;
use crate::platform::id_exchange::IdChange;
use repeated_ids::RepeatedIds;
use shared_ids::{ended, SharedIds};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// Descriptors that no client may use: standard streams, listener, signals, discovery, the
/// configuration while it is read, and the health checks that may be in progress.
const RESERVED_DESCRIPTORS: usize = 15 + MAX_HEALTH_CHECKS;
/// Memory for a connection with a request: the used part of two stacks, and two buffers.
const BYTES_PER_REQUEST: usize = 48 * 1024;
/// Memory for a connection without a request, in the mean.
const BYTES_PER_WAITING: usize = 24 * 1024;
/// The part of it that the connection may buffer: a request, or a TLS handshake message. The rest is
/// the state of the connection and of TLS.
const BUFFERED_BYTES_PER_WAITING: usize = 8 * 1024;
/// The lowest limit of connections without a request.
const MIN_WAITING: usize = 16;
/// A connection is not dismissed for this time after it was accepted: its first line may be on the
/// way.
pub const DISMISS_GRACE: Duration = Duration::from_millis(100);
/// A closing connection lingers for at least this time, also while others wait for its descriptor.
/// Longer than a round trip.
pub const MIN_LINGER: Duration = Duration::from_millis(50);
/// Descriptors of a request: those of its client and of its backend.
const DESCRIPTORS_PER_REQUEST: usize = 2;
/// The fraction of a limit that is freed at once, as a divisor.
const BATCH_DIVISOR: usize = 8;

/// The state of a connection without a request.
struct WaitingState {
    /// Whether the client has sent anything that the relay answered, such as `PING`.
    active: bool,
    /// Time of the last such message, or of the accept.
    since: Instant,
    /// Whether the connection was dismissed, so that others can be accepted.
    dismissed: bool,
    /// The memory that it buffers input in, in bytes.
    buffered_bytes: usize,
}

/// The limit that the descriptor of a closing connection counts against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pool {
    /// Connections without a request.
    Waiting,
    /// Connections with a request.
    Requests,
}

/// The state of a connection that is sent its last bytes, or lingers after them.
struct ClosingState {
    pool: Pool,
    /// Whether it was dismissed.
    dismissed: bool,
    /// From when on it may be ended to make room; none while its last bytes are not sent yet.
    expires_at: Option<Instant>,
}

#[derive(Default)]
struct Inner {
    waiting: BTreeMap<u64, WaitingState>,
    /// The sum of what these buffer.
    buffered_bytes: usize,
    /// The numbers of the connections with a request, by the ids that their clients have chosen.
    requests: BTreeMap<String, u64>,
    closing: BTreeMap<u64, ClosingState>,
    /// Ids of ended requests that must not be executed again.
    repeated_ids: RepeatedIds,
    /// Ids of another process of this relay.
    shared_ids: SharedIds,
}

impl Inner {
    fn closing_in(&self, pool: Pool) -> impl Iterator<Item = (u64, &ClosingState)> {
        let closing = self
            .closing
            .iter()
            .map(|(number, closing)| (*number, closing));
        closing.filter(move |(_, closing)| closing.pool == pool)
    }

    /// Descriptors of connections without a request, closing ones included.
    fn waiting_descriptors(&self) -> usize {
        self.waiting.len() + self.closing_in(Pool::Waiting).count()
    }

    /// Descriptors of requests, and of connections that are closing after one.
    fn request_descriptors(&self) -> usize {
        DESCRIPTORS_PER_REQUEST * self.requests.len() + self.closing_in(Pool::Requests).count()
    }

    /// The closing connections of a pool that have lingered for long enough, at most `limit`, the
    /// earliest first.
    fn expired(&self, pool: Pool, now: Instant, limit: usize) -> Vec<u64> {
        let expiry = |(number, closing): (u64, &ClosingState)| Some((closing.expires_at?, number));
        let mut expired: Vec<(Instant, u64)> = self.closing_in(pool).filter_map(expiry).collect();
        expired.retain(|(expires_at, _)| *expires_at <= now);
        expired.sort_unstable();
        let numbers = expired.into_iter().map(|(_, number)| number);
        numbers.take(limit).collect()
    }

    /// Forgets a connection without a request: it has one now, is closing, or is closed.
    fn remove_waiting(&mut self, number: u64) -> Option<WaitingState> {
        let waiting = self.waiting.remove(&number)?;
        self.buffered_bytes -= waiting.buffered_bytes;
        Some(waiting)
    }

    /// Dismissed connections that are not closed yet.
    fn dismissals_in_progress(&self) -> usize {
        let closing = self.closing.values().filter(|c| c.dismissed).count();
        closing + self.waiting.values().filter(|w| w.dismissed).count()
    }

    /// Marks connections whose grace is over as dismissed, at most `limit`: first those that never
    /// sent anything, and of these the longest waiting first.
    fn dismiss(&mut self, now: Instant, limit: usize) -> Vec<u64> {
        let mut waiting: Vec<_> = self.waiting.iter_mut().collect();
        waiting.retain(|(_, w)| !w.dismissed && now.duration_since(w.since) >= DISMISS_GRACE);
        waiting.sort_by_key(|(_, w)| (w.active, w.since));
        let dismissed = waiting.into_iter().take(limit).map(|(number, waiting)| {
            waiting.dismissed = true;
            *number
        });
        dismissed.collect()
    }

    /// Begins to count a connection as closing, from `now` on.
    fn begin_closing(&mut self, number: u64, now: Instant) {
        if let Some(waiting) = self.remove_waiting(number) {
            // Its last bytes are few. A client that does not read them may not keep the place.
            let closing = ClosingState {
                pool: Pool::Waiting,
                dismissed: waiting.dismissed,
                expires_at: Some(now + MIN_LINGER),
            };
            self.closing.insert(number, closing);
        }
    }

    /// Records for another process that a request has ended, and what is remembered of its id.
    fn record_ended(&mut self, id: &str, now: Instant) {
        let harmful_from = self.repeated_ids.harmful_from(id, now);
        if harmful_from.is_none_or(|harmful_from| harmful_from > now) {
            self.shared_ids.record(|| IdChange::Ended(id.to_string()));
        }
        if let Some(harmful_from) = harmful_from {
            self.shared_ids.record(|| ended(id, harmful_from, now));
        }
    }

    /// Frees a request's id, unless repeating it does harm, and counts its connection as closing.
    fn end_request(&mut self, id: &str, number: u64, harmful_from: Option<Instant>) {
        if self.requests.get(id) == Some(&number) {
            self.requests.remove(id);
            let now = Instant::now();
            if let Some(harmful_from) = harmful_from {
                self.repeated_ids.insert(id, harmful_from, now);
            }
            self.record_ended(id, now);
            let closing = ClosingState {
                pool: Pool::Requests,
                dismissed: false,
                expires_at: None,
            };
            self.closing.insert(number, closing);
        }
    }
}

/// Connections that the event loop ends so that others can be accepted.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Eviction {
    /// Closing connections that have lingered for long enough: they are closed at once.
    pub close: Vec<u64>,
    /// Connections without a request: they are dismissed, with an answer.
    pub dismiss: Vec<u64>,
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
    /// Another open connection has the same id, here or at another process of this relay, or an
    /// ended one whose request must not be executed again.
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

    /// Whether one more connection can be accepted.
    pub fn has_capacity(&self) -> bool {
        self.lock().waiting_descriptors() < self.max_waiting
    }

    /// The connections to end so that one more can be accepted: closing ones whose linger is over,
    /// or else connections that have sent no request. Several at a time, so that a burst of silent
    /// connections does not delay the clients that arrive with it, and no more than that are
    /// dismissed at once.
    pub fn evict_waiting(&self, now: Instant) -> Eviction {
        let mut inner = self.lock();
        let batch = self.max_waiting.div_ceil(BATCH_DIVISOR);
        let close = inner.expired(Pool::Waiting, now, batch);
        if !close.is_empty() {
            return Eviction {
                close,
                ..Eviction::default()
            };
        }
        let limit = batch.saturating_sub(inner.dismissals_in_progress());
        let dismiss = inner.dismiss(now, limit);
        Eviction { close, dismiss }
    }

    /// The connections to close so that the next requests can be admitted: those that are closing
    /// after a request and whose linger is over, as long as they occupy descriptors of requests
    /// that the limit allows.
    pub fn evict_after_requests(&self, now: Instant) -> Vec<u64> {
        let inner = self.lock();
        inner.expired(
            Pool::Requests,
            now,
            self.missing_request_descriptors(&inner),
        )
    }

    /// Whether [`Admission::evict_after_requests`] would close connections whose linger is over.
    pub fn is_short_of_request_descriptors(&self) -> bool {
        self.missing_request_descriptors(&self.lock()) > 0
    }

    /// How many of the descriptors for the next requests closing connections occupy.
    fn missing_request_descriptors(&self, inner: &Inner) -> usize {
        let admissible = self.max_requests.saturating_sub(inner.requests.len());
        let batch = admissible.min(self.max_requests.div_ceil(BATCH_DIVISOR));
        (DESCRIPTORS_PER_REQUEST * batch).saturating_sub(self.request_descriptors_left(inner))
    }

    fn request_descriptors_left(&self, inner: &Inner) -> usize {
        (DESCRIPTORS_PER_REQUEST * self.max_requests).saturating_sub(inner.request_descriptors())
    }

    /// The connections to end because those without a request buffer more than they may: the fewest
    /// that make up for it, so that a client that buffers little is never among them.
    pub fn evict_for_memory(&self) -> Vec<u64> {
        let inner = self.lock();
        let max_buffered = self.max_waiting * BUFFERED_BYTES_PER_WAITING;
        let mut excess = inner.buffered_bytes.saturating_sub(max_buffered);
        if excess == 0 {
            return Vec::new();
        }
        let sizes = inner.waiting.iter();
        let mut largest: Vec<_> = sizes.map(|(n, w)| (w.buffered_bytes, *n)).collect();
        largest.sort_unstable_by_key(|&(bytes, number)| (Reverse(bytes), number));
        let evicted = largest.into_iter().take_while(|(bytes, _)| {
            let evict = excess > 0;
            excess = excess.saturating_sub(*bytes);
            evict
        });
        evicted.map(|(_, number)| number).collect()
    }

    /// Registers an accepted connection.
    pub fn register(self: &Arc<Self>, stream: TcpStream) -> WaitingConnection {
        let (number, stream) = (self.next.fetch_add(1, Ordering::Relaxed), Arc::new(stream));
        let waiting = WaitingState {
            active: false,
            since: Instant::now(),
            dismissed: false,
            buffered_bytes: 0,
        };
        self.lock().waiting.insert(number, waiting);
        WaitingConnection {
            admission: self.clone(),
            number,
            stream,
        }
    }

    /// The number of connections without a request that are not closing.
    pub fn waiting_count(&self) -> usize {
        self.lock().waiting.len()
    }

    /// The number of closing connections that had no request.
    pub fn closing_count(&self) -> usize {
        self.lock().closing_in(Pool::Waiting).count()
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

    /// Sets the memory that the connection buffers input in, in bytes.
    pub fn set_buffered_bytes(&self, bytes: usize) {
        let mut inner = self.admission.lock();
        let Some(waiting) = inner.waiting.get_mut(&self.number) else {
            return;
        };
        let before = std::mem::replace(&mut waiting.buffered_bytes, bytes);
        inner.buffered_bytes = inner.buffered_bytes - before + bytes;
    }

    /// Counts the connection as closing from `now` on: it is sent its last bytes.
    pub fn begin_closing(&self, now: Instant) {
        self.admission.lock().begin_closing(self.number, now);
    }

    /// Admits a connection that another process hands over with its id. It is established, so that
    /// nothing is executed again.
    pub fn admit_handed_over(&self, id: &str) -> Result<RequestSlot, AdmissionError> {
        let mut inner = self.admission.lock();
        inner.shared_ids.remove_foreign(id);
        self.admit(&mut inner, id, None)
    }

    /// Admits the connection's request under the id that the client has chosen.
    pub fn admit_request(&self, id: &str) -> Result<RequestSlot, AdmissionError> {
        let mut inner = self.admission.lock();
        let now = Instant::now();
        let harmful_from = inner.repeated_ids.harmful_from(id, now);
        if harmful_from.is_some_and(|harmful_from| now >= harmful_from) {
            return Err(AdmissionError::IdInUse);
        }
        self.admit(&mut inner, id, harmful_from)
    }

    fn admit(
        &self,
        inner: &mut Inner,
        id: &str,
        deduplicated_until: Option<Instant>,
    ) -> Result<RequestSlot, AdmissionError> {
        // A backend could not tell two connections with the same id apart.
        if inner.requests.contains_key(id) || inner.shared_ids.is_foreign(id) {
            return Err(AdmissionError::IdInUse);
        }
        if self.admission.request_descriptors_left(inner) < DESCRIPTORS_PER_REQUEST {
            return Err(AdmissionError::NoCapacity);
        }
        inner.requests.insert(id.to_string(), self.number);
        inner.remove_waiting(self.number);
        inner.shared_ids.record(|| IdChange::Opened(id.to_string()));
        Ok(RequestSlot {
            admission: self.admission.clone(),
            number: self.number,
            id: id.to_string(),
            deduplicated_until,
            harmful_from: OnceLock::new(),
            handed_over: AtomicBool::new(false),
        })
    }
}

impl Drop for WaitingConnection {
    fn drop(&mut self) {
        let mut inner = self.admission.lock();
        inner.remove_waiting(self.number);
        // A connection whose request was admitted may be closing too: its request slot counts it.
        let closing = inner.closing.get(&self.number);
        if closing.is_some_and(|closing| closing.pool == Pool::Waiting) {
            inner.closing.remove(&self.number);
        }
    }
}

/// The capacity and the id that a request holds until it ends or this value is dropped.
pub struct RequestSlot {
    admission: Arc<Admission>,
    /// The connection's number.
    pub number: u64,
    /// The connection's id.
    pub id: String,
    /// The time until which backends drop duplicates of an earlier request under the same id, if one
    /// may have been executed.
    pub deduplicated_until: Option<Instant>,
    /// From when on a repetition of the request does harm; unset if it never does.
    harmful_from: OnceLock<Instant>,
    /// Whether the connection goes on in another process, with its id.
    handed_over: AtomicBool,
}

impl RequestSlot {
    /// Records that the connection goes on in another process: its id may be admitted there.
    pub fn hand_over(&self) {
        self.handed_over.store(true, Ordering::Relaxed);
    }

    /// From when on another request under the id must not be admitted.
    fn refused_from(&self) -> Option<Instant> {
        let goes_on = self.handed_over.load(Ordering::Relaxed);
        self.harmful_from.get().copied().filter(|_| !goes_on)
    }

    /// Records that a repetition of the request does harm from this time on. Only the first call
    /// has an effect: later executions were repetitions themselves.
    pub fn set_harmful_from(&self, time: Instant) {
        let _ = self.harmful_from.set(time);
    }

    /// Ends the request: it has its final answer, or its connection has ended, and its backend's
    /// socket is closed. The id is free, and the connection counts as closing.
    pub fn end_request(&self) {
        let harmful_from = self.refused_from();
        self.admission
            .lock()
            .end_request(&self.id, self.number, harmful_from);
    }

    /// Records that the client was sent its last bytes by `now`.
    pub fn last_bytes_sent(&self, now: Instant) {
        if let Some(closing) = self.admission.lock().closing.get_mut(&self.number) {
            closing.expires_at = Some(now + MIN_LINGER);
        }
    }
}

impl Drop for RequestSlot {
    fn drop(&mut self) {
        let mut inner = self.admission.lock();
        let harmful_from = self.refused_from();
        inner.end_request(&self.id, self.number, harmful_from);
        inner.closing.remove(&self.number);
    }
}

#[cfg(test)]
mod tests;
