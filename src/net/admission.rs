//! Who may come in. Descriptors, memory and ids are given out here, so that connections which ask for
//! nothing never take the room of those that do.

use crate::config::Limits;
use crate::ops::admin::CALLERS;
use crate::platform::probe::PROBES;
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Descriptors for all that is no client's: standard streams, listener, signals, discovery, the
/// configuration while it is read, and the probes that may be out.
const RESERVED_DESCRIPTORS: usize = 15 + PROBES;
/// Memory that a connection may need that is served: two stacks as far as they are used, two buffers.
const BYTES_PER_REQUEST: usize = 48 * 1024;
/// The same for one that has not asked yet: one of each.
const BYTES_PER_WAITING: usize = 24 * 1024;
/// The fewest connections that may wait to be heard.
const MIN_WAITING: usize = 16;
/// One that has just come is not sent away unheard: its first line may be under way.
pub const DISMISS_GRACE: Duration = Duration::from_millis(100);

/// A connection whose first line has not come yet.
struct WaitingState {
    /// Whether it has ever asked something.
    active: bool,
    /// When it last did, or came.
    since: Instant,
    dismissed: bool,
}

#[derive(Default)]
struct Inner {
    waiting: BTreeMap<u64, WaitingState>,
    request_ids: BTreeSet<String>,
}

/// The room there is, and who has it.
pub struct Admission {
    max_waiting: usize,
    max_requests: usize,
    next: AtomicU64,
    inner: Mutex<Inner>,
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// Another open connection has its id.
    IdInUse,
    /// No descriptors or no memory are left for it.
    NoCapacity,
}

impl Admission {
    /// The room within these limits. Clients with requests hold at most a third of the descriptors, and
    /// each needs a second one for its backend; what is left is for those that have not asked yet.
    ///
    /// Where the platform holds the listening socket, two processes share all of it during an upgrade. Of
    /// the clients with requests there are no more than before; the rest is halved for good.
    pub fn new(limits: &Limits, admin: bool, inherited: bool) -> Arc<Admission> {
        let (sockets, memory) = (
            limits.sockets as usize,
            limits.memory_mb as usize * 1024 * 1024,
        );
        let processes = if inherited { 2 } else { 1 };
        let reserved = RESERVED_DESCRIPTORS + if admin { CALLERS + 1 } else { 0 };
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

    /// Whether one more connection can be taken in. If not, these are to be sent away: those that have asked for
    /// nothing, the ones that have done so for longest first; it takes them a moment to go.
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
        // Several at a time: a crowd must not hold up the clients that come with it.
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

    /// Takes in a connection.
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

    /// How many connections have not asked yet.
    pub fn waiting_count(&self) -> usize {
        self.lock().waiting.len()
    }

    /// How many requests and connections are under way.
    pub fn request_count(&self) -> usize {
        self.lock().request_ids.len()
    }

    /// The most requests and the most connections without one.
    pub fn limits(&self) -> (usize, usize) {
        (self.max_requests, self.max_waiting)
    }
}

/// A connection that has not asked for anything yet; leaves when it is dropped.
pub struct WaitingConnection {
    admission: Arc<Admission>,
    number: u64,
    /// Its socket.
    pub stream: Arc<TcpStream>,
}

impl WaitingConnection {
    /// The connection's number.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// It has asked something.
    pub fn record_activity(&self) {
        if let Some(w) = self.admission.lock().waiting.get_mut(&self.number) {
            (w.active, w.since) = (true, Instant::now());
        }
    }

    /// Lets in its request, with the id that the client gave it.
    pub fn admit_request(&self, id: &str) -> Result<RequestSlot, AdmissionError> {
        let mut inner = self.admission.lock();
        // Two of one id could not be told apart by a backend: the second is no request of its own.
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

/// The room that a request has until this is dropped.
pub struct RequestSlot {
    admission: Arc<Admission>,
    /// The connection's number.
    pub number: u64,
    /// Its id.
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
    fn the_room_follows_the_limits() {
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

    /// During an upgrade two processes share the limits; callers at the second address need their part.
    #[test]
    fn two_processes_and_their_callers_stay_within_the_limits() {
        for (sockets, memory_mb) in [(256, 32), (384, 48), (1024, 192)] {
            let limits = Limits {
                cores: 1.0,
                memory_mb,
                sockets,
            };
            for (inherited, processes) in [(false, 1), (true, 2)] {
                let (requests, waiting) = Admission::new(&limits, true, inherited).limits();
                let all = 2 * requests + processes * (waiting + RESERVED_DESCRIPTORS + CALLERS + 1);
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

    /// Connections that said nothing once filled the relay, and clients with requests were refused.
    #[test]
    fn the_silent_make_room_and_those_that_asked_stay_longer() {
        let admission = admission(128, 16);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (mut far, mut waiting) = (Vec::new(), Vec::new());
        for _ in 0..admission.limits().1 {
            assert!(admission.check_capacity().is_ok());
            far.push(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
            waiting.push(admission.register(listener.accept().unwrap().0));
        }
        waiting[0].record_activity();
        std::thread::sleep(DISMISS_GRACE);
        // The second has to go, the first and the last stay.
        let gone = admission.check_capacity().unwrap_err();
        assert!(
            gone.contains(&waiting[1].number()) && gone.len() < far.len() / 2,
            "{gone:?}"
        );
        for n in [0, far.len() - 1] {
            assert!(!gone.contains(&waiting[n].number()));
        }
        // No more are sent away before those have gone.
        assert_eq!(admission.check_capacity(), Err(Vec::new()));
        waiting.remove(1);
        assert!(admission.check_capacity().is_ok());
        // A request takes no room from the others that wait.
        let slot = waiting[0].admit_request("01").unwrap();
        assert_eq!(
            waiting[1].admit_request("01").err(),
            Some(AdmissionError::IdInUse)
        );
        drop(slot);
        assert!(waiting[1].admit_request("01").is_ok());
    }
}
