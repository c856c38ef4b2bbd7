//! A request or connection under way, as those see it who may end it from another thread: the decisions, which may
//! have an attempt given up or a client moved. What they say is kept here, and the thread that serves is woken.

use crate::decision_service::RequestHandle;
use crate::decisions::api::RequestId;
use crate::net::admission::RequestSlot;
use crate::ops::metrics::Tally;
use crate::sys::{lock, Wake};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::AcqRel};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

#[derive(Default)]
struct State {
    backend: Option<Arc<TcpStream>>,
    /// Attempts below this number are called off.
    cancelled_below: u16,
    established: bool,
    migrating: bool,
    /// Whether the client left before its answer.
    client_gone: bool,
    /// Its id for the decisions.
    request_id: Option<RequestId>,
}

/// The connections for which there is news, each once, for the thread that serves.
#[derive(Default)]
pub struct WakeQueue {
    numbers: Mutex<Vec<u64>>,
    wake: OnceLock<Wake>,
}

impl WakeQueue {
    /// From now on this is called with each news. Once.
    pub fn set_waker(&self, wake: Wake) {
        let _ = self.wake.set(wake);
    }

    fn push(&self, number: u64) {
        lock(&self.numbers).push(number);
        self.wake.get().iter().for_each(|wake| wake());
    }

    /// Takes them all.
    pub fn take(&self) -> Vec<u64> {
        std::mem::take(&mut *lock(&self.numbers))
    }
}

/// One client's connection. Whoever works on it shares its sockets: no descriptor is doubled.
pub struct Session {
    wake_queue: Arc<WakeQueue>,
    /// Whether it is among the woken.
    notified: AtomicBool,
    /// The keys of the client and of its group.
    pub keys: (u64, u64),
    state: Mutex<State>,
    /// Whether its backend finishes what it sends before it is moved: the forwarder sees to that.
    backend_finishes_first: bool,
    /// Given back last, when the sockets are closed.
    slot: RequestSlot,
}

impl RequestHandle for Session {
    fn decision_ready(&self) {
        self.notify();
    }

    fn cancel_attempt(&self, attempt: u16) {
        {
            let mut state = lock(&self.state);
            state.cancelled_below = state.cancelled_below.max(attempt + 1);
        }
        self.notify();
    }

    fn migrate(&self) {
        let mut state = lock(&self.state);
        if let (true, Some(backend)) = (state.established && !state.migrating, &state.backend) {
            if !self.backend_finishes_first {
                // Wakes the forwarder, which first passes on what has come.
                let _ = backend.shutdown(Shutdown::Read);
            }
            state.migrating = true;
        }
    }
}

impl Session {
    /// A session of that client; `standing` is the backend's socket where it is up already.
    pub fn new(
        wake_queue: &Arc<WakeQueue>,
        keys: (u64, u64),
        slot: RequestSlot,
        backend_finishes_first: bool,
        established_backend: Option<Arc<TcpStream>>,
    ) -> Arc<Session> {
        let state = State {
            established: established_backend.is_some(),
            backend: established_backend,
            ..State::default()
        };
        let state = Mutex::new(state);
        let (wake_queue, notified) = (wake_queue.clone(), AtomicBool::new(false));
        Arc::new(Session {
            wake_queue,
            notified,
            keys,
            state,
            backend_finishes_first,
            slot,
        })
    }

    fn notify(&self) {
        if !self.notified.swap(true, AcqRel) {
            self.wake_queue.push(self.number());
        }
    }

    /// Its news are about to be looked at: what comes from now on wakes anew.
    pub fn clear_notification(&self) {
        // Swapped, not stored: what was said before is seen after it.
        self.notified.swap(false, AcqRel);
    }

    /// Takes the socket of an attempt; false if the attempt is called off.
    pub fn attach_backend(&self, backend: &Arc<TcpStream>, attempt: u16) -> bool {
        let mut state = lock(&self.state);
        if state.cancelled_below > attempt || state.client_gone {
            return false;
        }
        state.backend = Some(backend.clone());
        true
    }

    /// Gives a connection that is up away to another process: from here on nothing of this one touches its
    /// sockets, which both share. False if it is about to be moved.
    pub fn begin_handover(&self) -> bool {
        let mut state = lock(&self.state);
        let may_migrate = state.established && !state.migrating;
        if may_migrate {
            (state.established, state.backend) = (false, None);
        }
        may_migrate
    }

    /// Takes a connection back that could not be given away.
    pub fn undo_handover(&self, backend: &Arc<TcpStream>) {
        let mut state = lock(&self.state);
        (state.established, state.backend) = (true, Some(backend.clone()));
    }

    /// Lets go of the socket of an attempt.
    pub fn detach_backend(&self) {
        lock(&self.state).backend = None;
    }

    /// Whether an attempt is called off, or its client has left.
    pub fn is_cancelled(&self, attempt: u16) -> bool {
        let state = lock(&self.state);
        state.cancelled_below > attempt || state.client_gone
    }

    /// The connection's own id.
    pub fn connection_id(&self) -> &str {
        &self.slot.id
    }

    /// Whether it is up and not about to be moved.
    pub fn may_migrate(&self) -> bool {
        let state = lock(&self.state);
        state.established && !state.migrating
    }

    /// Whether the client is to be moved.
    pub fn is_migrating(&self) -> bool {
        lock(&self.state).migrating
    }

    /// Whether the client is to be moved once its backend has finished.
    pub fn finishes_before_migration(&self) -> bool {
        self.backend_finishes_first && self.is_migrating()
    }

    /// Whether it may go on in another process.
    pub fn is_portable(&self) -> bool {
        !self.backend_finishes_first
    }

    /// The connection's number.
    pub fn number(&self) -> u64 {
        self.slot.number
    }

    /// The decisions know it by this id.
    pub fn set_request_id(&self, id: RequestId) {
        lock(&self.state).request_id = Some(id);
    }

    /// The client has left before its answer: an attempt that is out ends. Its id, where it has one yet.
    pub fn client_gone(&self) -> Option<RequestId> {
        let mut state = lock(&self.state);
        state.client_gone = true;
        state.request_id
    }

    /// Whether the connection is up.
    pub fn set_established(&self, established: bool) {
        lock(&self.state).established = established;
    }
}

/// What the log says of a connection that has ended.
pub struct ConnectionRecord {
    /// Its protocol.
    pub front: &'static str,
    /// The connection's own id.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its backend.
    pub backend: String,
    /// How many attempts were made.
    pub attempts: u16,
    /// When it started_at.
    pub started_at: Instant,
    /// Its part in the figures; none before its class is known.
    pub tally: Option<Tally>,
}

impl ConnectionRecord {
    /// One of a client that has just come.
    pub fn new(front: &'static str) -> ConnectionRecord {
        let (id, class, backend) = (String::new(), String::new(), String::new());
        ConnectionRecord {
            front,
            id,
            class,
            backend,
            attempts: 0,
            started_at: Instant::now(),
            tally: None,
        }
    }

    /// Writes the connection's one line.
    pub fn log_end(&self, reason: &str) {
        let ConnectionRecord {
            front,
            id,
            class,
            backend,
            attempts,
            started_at,
            ..
        } = self;
        let ms = started_at.elapsed().as_millis() as u64;
        tracing::info!(id = %id, class, backend, attempts, ms, reason, front, "end");
    }
}
