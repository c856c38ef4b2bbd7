//! The part of a connection that other threads share. The decisions cancel attempts and request
//! migrations through it; their orders are stored here and the event loop is woken.

use crate::decision_service::RequestHandle;
use crate::decisions::api::{Idempotency, RequestId};
use crate::decisions::idempotency::harmful_repetition_after;
use crate::net::admission::RequestSlot;
use crate::ops::metrics::RequestCounter;
use crate::sys::{lock, Wake};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::AcqRel};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    /// The socket of the attempt in progress, or of the established connection.
    backend: Option<Arc<TcpStream>>,
    /// Attempts with a lower number are cancelled.
    cancelled_below: u16,
    /// Whether the connection is established.
    established: bool,
    /// Whether the client is to be migrated.
    migrating: bool,
    /// Whether it is to be migrated once it is established.
    migration_requested: bool,
    /// Whether the client left before its answer.
    client_gone: bool,
    /// The request's id for the decisions; none until it is submitted.
    request_id: Option<RequestId>,
}

/// The numbers of connections that the decisions have an update for, each at most once. Read by the
/// event loop.
#[derive(Default)]
pub struct WakeQueue {
    numbers: Mutex<Vec<u64>>,
    wake: OnceLock<Wake>,
}

impl WakeQueue {
    /// Sets the function that wakes the event loop. Only the first call has an effect.
    pub fn set_waker(&self, wake: Wake) {
        let _ = self.wake.set(wake);
    }

    fn push(&self, number: u64) {
        lock(&self.numbers).push(number);
        self.wake.get().iter().for_each(|wake| wake());
    }

    /// Takes all numbers.
    pub fn take(&self) -> Vec<u64> {
        std::mem::take(&mut *lock(&self.numbers))
    }
}

/// The shared part of one client's connection. Its sockets are shared, not duplicated, so that a
/// connection needs only two descriptors.
pub struct Session {
    wake_queue: Arc<WakeQueue>,
    /// Whether the connection is in the wake queue.
    notified: AtomicBool,
    /// The keys of the client and of its group.
    pub keys: (u64, u64),
    state: Mutex<State>,
    /// Whether the backend finishes what it sends before a migration; see
    /// [`Order::finishes`](crate::protocol::Order::finishes).
    backend_finishes_first: bool,
    /// The last field, so that it is released after the sockets are closed.
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

    /// A connection of a client that names its earlier backend counts as established for the
    /// decisions from its request on, so that this may come before its backend has accepted it.
    fn migrate(&self) {
        let mut state = lock(&self.state);
        state.migration_requested = true;
        self.migrate_if_established(&mut state);
    }
}

impl Session {
    /// The session of a client with these keys. `established_backend` is the backend's socket of a
    /// connection that was taken over.
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

    /// Begins the migration of an established connection, once.
    fn migrate_if_established(&self, state: &mut State) {
        if let (true, Some(backend)) = (state.established && !state.migrating, &state.backend) {
            if !self.backend_finishes_first {
                // Wakes the event loop with an end of stream, behind the bytes that were received:
                // they are forwarded first.
                let _ = backend.shutdown(Shutdown::Read);
            }
            state.migrating = true;
        }
    }

    fn notify(&self) {
        if !self.notified.swap(true, AcqRel) {
            self.wake_queue.push(self.number());
        }
    }

    /// Lets the next update notify again. Called before the update is handled.
    pub fn clear_notification(&self) {
        // A swap, not a store: it also acquires what was written before the notification.
        self.notified.swap(false, AcqRel);
    }

    /// Stores the socket of an attempt; false if the attempt is cancelled.
    pub fn attach_backend(&self, backend: &Arc<TcpStream>, attempt: u16) -> bool {
        let mut state = lock(&self.state);
        if state.cancelled_below > attempt || state.client_gone {
            return false;
        }
        state.backend = Some(backend.clone());
        true
    }

    /// Detaches an established connection that is handed over to another process. Both processes
    /// share its sockets, so from here on this one must not touch them. False if the connection is
    /// about to be migrated.
    pub fn begin_handover(&self) -> bool {
        let mut state = lock(&self.state);
        let may_migrate = state.established && !state.migrating;
        if may_migrate {
            (state.established, state.backend) = (false, None);
        }
        may_migrate
    }

    /// Records that the connection goes on in another process.
    pub fn complete_handover(&self) {
        self.slot.hand_over();
    }

    /// Takes back a connection whose handover failed.
    pub fn undo_handover(&self, backend: &Arc<TcpStream>) {
        let mut state = lock(&self.state);
        (state.established, state.backend) = (true, Some(backend.clone()));
    }

    /// Releases the backend's socket.
    pub fn detach_backend(&self) {
        lock(&self.state).backend = None;
    }

    /// Whether an attempt is cancelled, or its client has left.
    pub fn is_cancelled(&self, attempt: u16) -> bool {
        let state = lock(&self.state);
        state.cancelled_below > attempt || state.client_gone
    }

    /// The id that the client gave the connection.
    pub fn connection_id(&self) -> &str {
        &self.slot.id
    }

    /// Whether it is established and not already migrating.
    pub fn may_migrate(&self) -> bool {
        let state = lock(&self.state);
        state.established && !state.migrating
    }

    /// Whether the client is to be migrated.
    pub fn is_migrating(&self) -> bool {
        lock(&self.state).migrating
    }

    /// Whether the client is to be migrated once its backend has finished.
    pub fn finishes_before_migration(&self) -> bool {
        self.backend_finishes_first && self.is_migrating()
    }

    /// Whether it can be handed over to another process.
    pub fn is_portable(&self) -> bool {
        !self.backend_finishes_first
    }

    /// The connection's number.
    pub fn number(&self) -> u64 {
        self.slot.number
    }

    /// Sets the request's id for the decisions.
    pub fn set_request_id(&self, id: RequestId) {
        lock(&self.state).request_id = Some(id);
    }

    /// Records that the client left before its answer, which cancels the attempt in progress.
    /// Returns the request's id if it was submitted.
    pub fn set_client_gone(&self) -> Option<RequestId> {
        let mut state = lock(&self.state);
        state.client_gone = true;
        state.request_id
    }

    /// Frees the request's id and capacity: its client has its final answer, or its connection has
    /// ended.
    pub fn end_request(&self) {
        self.slot.end_request();
    }

    /// The time until which backends drop duplicates of an earlier request under the same id, if one
    /// may have been executed.
    pub fn deduplicated_until(&self) -> Option<Instant> {
        self.slot.deduplicated_until
    }

    /// Records that an attempt that began this long ago may have executed the request.
    pub fn record_possible_execution(&self, idempotency: Idempotency, began: Duration) {
        if let Some(after) = harmful_repetition_after(idempotency) {
            let now = Instant::now();
            let began_at = now.checked_sub(began).unwrap_or(now);
            self.slot
                .set_harmful_from(began_at + Duration::from_micros(after));
        }
    }

    /// Records that the client was sent its last bytes.
    pub fn last_bytes_sent(&self) {
        self.slot.last_bytes_sent(Instant::now());
    }

    /// Sets whether the connection is established. A migration that was requested before begins.
    pub fn set_established(&self, established: bool) {
        let mut state = lock(&self.state);
        state.established = established;
        if state.migration_requested {
            self.migrate_if_established(&mut state);
        }
    }
}

/// The data of a connection's line in the log, which is written when the connection ends.
pub struct ConnectionRecord {
    /// The client protocol.
    pub front: &'static str,
    /// The id that the client gave the connection.
    pub id: String,
    /// The name of the request's class.
    pub class: String,
    /// The name of the backend.
    pub backend: String,
    /// The number of attempts.
    pub attempts: u16,
    /// The time of the accept.
    pub started_at: Instant,
    /// The connection's part in the metrics; none before its class is known.
    pub tally: Option<RequestCounter>,
}

impl ConnectionRecord {
    /// The record of a connection that was just accepted.
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

    /// Writes the connection's line to the log.
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

#[cfg(test)]
mod tests;
