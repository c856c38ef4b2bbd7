//! A request or connection under way, as those see it who may end it from another thread: the decisions, which may
//! have an attempt given up or a client moved. What they say is kept here, and the thread that serves is woken.

use crate::decision_service::RequestHandle;
use crate::decisions::api::RequestId;
use crate::net::admission::Place;
use crate::ops::metrics::RequestCounter;
use crate::sys::{lock, Wake};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::AcqRel};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

#[derive(Default)]
struct State {
    backend: Option<Arc<TcpStream>>,
    /// Attempts below this number are called off.
    called_off: u16,
    up: bool,
    moving: bool,
    /// Whether the client left before its answer.
    client_ended: bool,
    /// Its id for the decisions.
    id: Option<RequestId>,
}

/// The connections for which there is news, each once, for the thread that serves.
#[derive(Default)]
pub struct Woken {
    numbers: Mutex<Vec<u64>>,
    wake: OnceLock<Wake>,
}

impl Woken {
    /// From now on this is called with each news. Once.
    pub fn wakes(&self, wake: Wake) {
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
    woken: Arc<Woken>,
    /// Whether it is among the woken.
    news: AtomicBool,
    /// The keys of the client and of its group.
    pub keys: (u64, u64),
    state: Mutex<State>,
    /// Whether its backend finishes what it sends before it is moved: the forwarder sees to that.
    finishes: bool,
    /// Given back last, when the sockets are closed.
    place: Place,
}

impl RequestHandle for Session {
    fn decision_ready(&self) {
        self.has_news();
    }

    fn cancel_attempt(&self, attempt: u16) {
        {
            let mut state = lock(&self.state);
            state.called_off = state.called_off.max(attempt + 1);
        }
        self.has_news();
    }

    fn migrate(&self) {
        let mut state = lock(&self.state);
        if let (true, Some(backend)) = (state.up && !state.moving, &state.backend) {
            if !self.finishes {
                // Wakes the forwarder, which first passes on what has come.
                let _ = backend.shutdown(Shutdown::Read);
            }
            state.moving = true;
        }
    }
}

impl Session {
    /// A session of that client; `standing` is the backend's socket where it is up already.
    pub fn new(
        woken: &Arc<Woken>,
        keys: (u64, u64),
        place: Place,
        finishes: bool,
        standing: Option<Arc<TcpStream>>,
    ) -> Arc<Session> {
        let state = State {
            up: standing.is_some(),
            backend: standing,
            ..State::default()
        };
        let state = Mutex::new(state);
        let (woken, news) = (woken.clone(), AtomicBool::new(false));
        Arc::new(Session {
            woken,
            news,
            keys,
            state,
            finishes,
            place,
        })
    }

    fn has_news(&self) {
        if !self.news.swap(true, AcqRel) {
            self.woken.push(self.number());
        }
    }

    /// Its news are about to be looked at: what comes from now on wakes anew.
    pub fn looked_at(&self) {
        // Swapped, not stored: what was said before is seen after it.
        self.news.swap(false, AcqRel);
    }

    /// Takes the socket of an attempt; false if the attempt is called off.
    pub fn hold(&self, backend: &Arc<TcpStream>, attempt: u16) -> bool {
        let mut state = lock(&self.state);
        if state.called_off > attempt || state.client_ended {
            return false;
        }
        state.backend = Some(backend.clone());
        true
    }

    /// Gives a connection that is up away to another process: from here on nothing of this one touches its
    /// sockets, which both share. False if it is about to be moved.
    pub fn give_away(&self) -> bool {
        let mut state = lock(&self.state);
        let stands = state.up && !state.moving;
        if stands {
            (state.up, state.backend) = (false, None);
        }
        stands
    }

    /// Takes a connection back that could not be given away.
    pub fn keep(&self, backend: &Arc<TcpStream>) {
        let mut state = lock(&self.state);
        (state.up, state.backend) = (true, Some(backend.clone()));
    }

    /// Lets go of the socket of an attempt.
    pub fn release(&self) {
        lock(&self.state).backend = None;
    }

    /// Whether an attempt is called off, or its client has left.
    pub fn called_off(&self, attempt: u16) -> bool {
        let state = lock(&self.state);
        state.called_off > attempt || state.client_ended
    }

    /// The connection's own id.
    pub fn name(&self) -> &str {
        &self.place.id
    }

    /// Whether it is up and not about to be moved.
    pub fn stands(&self) -> bool {
        let state = lock(&self.state);
        state.up && !state.moving
    }

    /// Whether the client is to be moved.
    pub fn moving(&self) -> bool {
        lock(&self.state).moving
    }

    /// Whether the client is to be moved once its backend has finished.
    pub fn departs(&self) -> bool {
        self.finishes && self.moving()
    }

    /// Whether it may go on in another process.
    pub fn portable(&self) -> bool {
        !self.finishes
    }

    /// The connection's number.
    pub fn number(&self) -> u64 {
        self.place.number
    }

    /// The decisions know it by this id.
    pub fn takes_id(&self, id: RequestId) {
        lock(&self.state).id = Some(id);
    }

    /// The client has left before its answer: an attempt that is out ends. Its id, where it has one yet.
    pub fn client_has_ended(&self) -> Option<RequestId> {
        let mut state = lock(&self.state);
        state.client_ended = true;
        state.id
    }

    /// Whether the connection is up.
    pub fn is_up(&self, up: bool) {
        lock(&self.state).up = up;
    }
}

/// What the log says of a connection that has ended.
pub struct Account {
    /// Its protocol.
    pub front: &'static str,
    /// The connection's own id.
    pub name: String,
    /// Its class.
    pub class: String,
    /// Its backend.
    pub backend: String,
    /// How many attempts were made.
    pub attempts: u16,
    /// When it began.
    pub began: Instant,
    /// Its part in the figures; none before its class is known.
    pub tally: Option<RequestCounter>,
}

impl Account {
    /// One of a client that has just come.
    pub fn new(front: &'static str) -> Account {
        let (name, class, backend) = (String::new(), String::new(), String::new());
        Account {
            front,
            name,
            class,
            backend,
            attempts: 0,
            began: Instant::now(),
            tally: None,
        }
    }

    /// Writes the connection's one line.
    pub fn log(&self, reason: &str) {
        let Account {
            front,
            name,
            class,
            backend,
            attempts,
            began,
            ..
        } = self;
        let ms = began.elapsed().as_millis() as u64;
        tracing::info!(id = %name, class, backend, attempts, ms, reason, front, "end");
    }
}
