//! Who may come in. Descriptors, memory and ids are given out here, so that connections which ask for
//! nothing never take the room of those that do.

use crate::config::Limits;
use crate::ops::admin::MAX_CALLERS;
use crate::platform::health_check::MAX_HEALTH_CHECKS;
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Descriptors for all that is no client's: standard streams, listener, signals, discovery, the
/// configuration while it is read, and the probes that may be out.
const RESERVE: usize = 15 + MAX_HEALTH_CHECKS;
/// Memory that a connection may need that is served: two stacks as far as they are used, two buffers.
const PER_REQUEST: usize = 48 * 1024;
/// The same for one that has not asked yet: one of each.
const PER_IDLE: usize = 24 * 1024;
/// The fewest connections that may wait to be heard.
const IDLE_LEAST: usize = 16;
/// One that has just come is not sent away unheard: its first line may be under way.
pub const GRACE: Duration = Duration::from_millis(100);

/// A connection whose first line has not come yet.
struct Waiting {
    /// Whether it has ever asked something.
    asked: bool,
    /// When it last did, or came.
    since: Instant,
    sent_away: bool,
}

#[derive(Default)]
struct Inner {
    waiting: BTreeMap<u64, Waiting>,
    open: BTreeSet<String>,
}

/// The room there is, and who has it.
pub struct Admission {
    idle_most: usize,
    requests_most: usize,
    next: AtomicU64,
    inner: Mutex<Inner>,
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// Another open connection has its id.
    IdInUse,
    /// No descriptors or no memory are left for it.
    Full,
}

impl Admission {
    /// The room within these limits. Clients with requests hold at most a third of the descriptors, and
    /// each needs a second one for its backend; what is left is for those that have not asked yet.
    ///
    /// Where the platform holds the listening socket, two processes share all of it during an upgrade. Of
    /// the clients with requests there are no more than before; the rest is halved for good.
    pub fn new(limits: &Limits, admin: bool, held: bool) -> Arc<Admission> {
        let (sockets, memory) = (
            limits.sockets as usize,
            limits.memory_mb as usize * 1024 * 1024,
        );
        let processes = if held { 2 } else { 1 };
        let reserve = RESERVE + if admin { MAX_CALLERS + 1 } else { 0 };
        let left = sockets.saturating_sub(processes * (reserve + IDLE_LEAST));
        let requests_most = sockets
            .div_ceil(3)
            .min(left / 2)
            .min(memory / 2 / PER_REQUEST)
            .max(1);
        let idle = (sockets / processes).saturating_sub(reserve + 2 * requests_most / processes);
        let idle = idle.min(memory / processes / 4 / PER_IDLE);
        Arc::new(Admission {
            idle_most: idle.max(IDLE_LEAST),
            requests_most,
            next: AtomicU64::new(0),
            inner: Mutex::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether one more connection can be taken in. If not, these are to be sent away: those that have asked for
    /// nothing, the ones that have done so for longest first; it takes them a moment to go.
    pub fn room(&self) -> Result<(), Vec<u64>> {
        let mut inner = self.lock();
        if inner.waiting.len() < self.idle_most {
            return Ok(());
        }
        let now = Instant::now();
        let mut idle: Vec<_> = inner.waiting.iter_mut().collect();
        if idle.iter().any(|(_, w)| w.sent_away) {
            return Err(Vec::new());
        }
        idle.retain(|(_, w)| now.duration_since(w.since) >= GRACE);
        idle.sort_by_key(|(_, w)| (w.asked, w.since));
        // Several at a time: a crowd must not hold up the clients that come with it.
        let most = self.idle_most.div_ceil(8);
        let leave = |(number, w): (&u64, &mut Waiting)| {
            w.sent_away = true;
            *number
        };
        Err(idle.into_iter().take(most).map(leave).collect())
    }

    /// Takes in a connection.
    pub fn idle(self: &Arc<Self>, stream: TcpStream) -> Idle {
        let (number, stream) = (self.next.fetch_add(1, Ordering::Relaxed), Arc::new(stream));
        let waiting = Waiting {
            asked: false,
            since: Instant::now(),
            sent_away: false,
        };
        self.lock().waiting.insert(number, waiting);
        Idle {
            admission: self.clone(),
            number,
            stream,
        }
    }

    /// How many connections have not asked yet.
    pub fn idle_count(&self) -> usize {
        self.lock().waiting.len()
    }

    /// How many requests and connections are under way.
    pub fn requests(&self) -> usize {
        self.lock().open.len()
    }

    /// The most requests and the most connections without one.
    pub fn most(&self) -> (usize, usize) {
        (self.requests_most, self.idle_most)
    }
}

/// A connection that has not asked for anything yet; leaves when it is dropped.
pub struct Idle {
    admission: Arc<Admission>,
    number: u64,
    /// Its socket.
    pub stream: Arc<TcpStream>,
}

impl Idle {
    /// The connection's number.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// It has asked something.
    pub fn asked(&self) {
        if let Some(w) = self.admission.lock().waiting.get_mut(&self.number) {
            (w.asked, w.since) = (true, Instant::now());
        }
    }

    /// Lets in its request, with the id that the client gave it.
    pub fn request(&self, id: &str) -> Result<Place, Denied> {
        let mut inner = self.admission.lock();
        // Two of one id could not be told apart by a backend: the second is no request of its own.
        if inner.open.contains(id) {
            return Err(Denied::IdInUse);
        }
        if inner.open.len() >= self.admission.requests_most {
            return Err(Denied::Full);
        }
        inner.open.insert(id.to_string());
        inner.waiting.remove(&self.number);
        Ok(Place {
            admission: self.admission.clone(),
            number: self.number,
            id: id.to_string(),
        })
    }
}

impl Drop for Idle {
    fn drop(&mut self) {
        self.admission.lock().waiting.remove(&self.number);
    }
}

/// The room that a request has until this is dropped.
pub struct Place {
    admission: Arc<Admission>,
    /// The connection's number.
    pub number: u64,
    /// Its id.
    pub id: String,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.admission.lock().open.remove(&self.id);
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
            let (requests, idle) = admission(sockets, memory_mb).most();
            let case = format!("{sockets} sockets, {memory_mb} MB: {requests}, {idle}");
            assert!(2 * requests + idle + RESERVE <= sockets as usize, "{case}");
            assert!(
                requests >= (sockets / 3) as usize && idle >= IDLE_LEAST,
                "{case}"
            );
            let memory = requests * PER_REQUEST + idle * PER_IDLE;
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
            for (held, processes) in [(false, 1), (true, 2)] {
                let (requests, idle) = Admission::new(&limits, true, held).most();
                let all = 2 * requests + processes * (idle + RESERVE + MAX_CALLERS + 1);
                assert!(
                    all <= sockets as usize,
                    "{sockets} sockets, held {held}: {requests}, {idle}"
                );
                let memory = requests * PER_REQUEST + processes * idle * PER_IDLE;
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
        let (mut far, mut idle) = (Vec::new(), Vec::new());
        for _ in 0..admission.most().1 {
            assert!(admission.room().is_ok());
            far.push(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
            idle.push(admission.idle(listener.accept().unwrap().0));
        }
        idle[0].asked();
        std::thread::sleep(GRACE);
        // The second has to go, the first and the last stay.
        let gone = admission.room().unwrap_err();
        assert!(
            gone.contains(&idle[1].number()) && gone.len() < far.len() / 2,
            "{gone:?}"
        );
        for n in [0, far.len() - 1] {
            assert!(!gone.contains(&idle[n].number()));
        }
        // No more are sent away before those have gone.
        assert_eq!(admission.room(), Err(Vec::new()));
        idle.remove(1);
        assert!(admission.room().is_ok());
        // A request takes no room from the others that wait.
        let place = idle[0].request("01").unwrap();
        assert_eq!(idle[1].request("01").err(), Some(Denied::IdInUse));
        drop(place);
        assert!(idle[1].request("01").is_ok());
    }
}
