//! The side of the clients: accepting, a request's answer, its connection, and its end.

use crate::api::{Micros, Outcome, Request, RequestId};
use crate::config::{Classes, Config, Names};
use crate::decide::{Decisions, Flow, Verdict};
use crate::net::admit::{Admission, Denied, Guest, Place};
use crate::net::backend::{self, Attempt};
use crate::net::discovery::Directory;
use crate::net::forward::Forwarder;
use crate::net::greet::{first_line, part, say};
use crate::net::line::Open;
use crate::net::listen::Door;
use crate::net::metrics::{Metrics, Tally};
use crate::net::note::Notes;
use crate::net::takeover::{Parcel, Successor};
use crate::net::{log, spawn, timed_out};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long connections go on coming after the signal to stop.
const STILL_COMING: Duration = Duration::from_millis(450);
/// The longest deadline that the platform waits for before it kills, and what it adds.
const KILL_DEADLINE: Duration = Duration::from_secs(3);
const KILL_AFTER: Duration = Duration::from_millis(700);

/// What the network takes from the settings, all of it at once.
pub struct Terms {
    /// The classes of requests.
    pub classes: Classes,
    /// The longest dial.
    pub dial_timeout: Duration,
    /// The longest wait that a refused client obeys.
    max_retry_after: Micros,
}

impl Terms {
    fn of(config: &Config) -> Terms {
        Terms {
            classes: config.classes.clone(),
            dial_timeout: Duration::from_micros(config.settings.dial_timeout),
            max_retry_after: config.settings.max_retry_after,
        }
    }
}

/// What all connections share.
pub struct Relay {
    /// The decisions.
    pub decisions: Arc<Decisions>,
    /// The backends' addresses.
    pub directory: Arc<Directory>,
    /// Names of zones and columns.
    pub names: Names,
    terms: Mutex<Arc<Terms>>,
    /// What backends told lately.
    pub notes: Notes,
    /// Who may come in.
    pub admission: Arc<Admission>,
    /// The connections that are up.
    pub forwarder: Forwarder,
    /// What is counted.
    pub metrics: Arc<Metrics>,
    open: AtomicBool,
    sessions: Mutex<BTreeMap<u64, Weak<Session>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    /// A relay with this configuration, within its limits.
    pub fn new(
        config: &Config,
        decisions: Arc<Decisions>,
        directory: Arc<Directory>,
    ) -> std::io::Result<Arc<Self>> {
        let metrics = Arc::new(Metrics::default());
        metrics.show(&config.classes.names());
        Ok(Arc::new(Relay {
            decisions,
            directory,
            names: config.names.clone(),
            terms: Mutex::new(Arc::new(Terms::of(config))),
            notes: Notes::default(),
            admission: Admission::new(&config.limits, config.admin.is_some(), config.accept_fd.is_some()),
            forwarder: Forwarder::new()?,
            metrics,
            open: AtomicBool::new(false),
            sessions: Mutex::default(),
        }))
    }

    /// What the settings in force say.
    pub fn terms(&self) -> Arc<Terms> {
        lock(&self.terms).clone()
    }

    /// New settings hold from now on. The decisions first: a class must mean something to them before a
    /// client can ask for it.
    pub fn adopt_settings(&self, config: &Config) {
        self.metrics.show(&config.classes.names());
        self.decisions.settings(config.settings.clone());
        *lock(&self.terms) = Arc::new(Terms::of(config));
    }

    /// Whether this process takes clients.
    pub fn takes_clients(&self) -> bool {
        self.open.load(Relaxed)
    }

    /// Takes in connections until the door is closed.
    pub fn accept(self: &Arc<Self>, door: &Door) {
        self.open.store(true, Relaxed);
        loop {
            // What cannot be taken in now waits in the listener's queue.
            if !self.admission.room() {
                if door.pause(Duration::from_millis(1)) {
                    break;
                }
                continue;
            }
            let Some(client) = door.next() else { break };
            let (relay, guest) = (self.clone(), self.admission.guest(client));
            if let Err(e) = spawn("session", move || serve(&relay, guest)) {
                log(&format!("accept: no thread: {e}"));
            }
        }
        self.open.store(false, Relaxed);
    }

    fn live(&self) -> Vec<Arc<Session>> {
        lock(&self.sessions).values().filter_map(Weak::upgrade).collect()
    }

    /// Moves the standing connections in a paced way and returns once none is left, or when the platform is
    /// about to kill. Where the platform holds the listening socket, new clients are left to the process
    /// that takes over; elsewhere they are served as long as they come.
    pub fn drain(&self, door: &Door, shared: Option<&Path>) {
        let start = Instant::now();
        if door.held {
            door.close();
        }
        let mut successor = shared.filter(|_| door.held).and_then(Successor::find);
        let still_coming = if door.held { Duration::ZERO } else { STILL_COMING };
        let longest = Duration::from_micros(self.terms().classes.longest());
        let kill = longest.min(KILL_DEADLINE) + KILL_AFTER;
        let step = Duration::from_millis(25);
        // All told to move by then: time enough for the ends and for answers that are still owed.
        let moved_by = kill.mul_f32(0.6).max(still_coming + step);
        while start.elapsed() + Duration::from_millis(200) < kill {
            sleep(step);
            let now = start.elapsed();
            let mut standing: Vec<_> = self.live().into_iter().filter(|s| s.stands()).collect();
            if let Some(to) = &successor {
                match standing.iter().try_for_each(|s| self.forwarder.hand_over(s.number(), to)) {
                    // What could not be given away right now is tried again, up to half the time.
                    Ok(()) if now < kill / 2 => standing.clear(),
                    Ok(()) => {}
                    Err(e) if timed_out(&e) && now < kill / 2 => standing.clear(),
                    Err(e) => {
                        log(&format!("takeover: the successor takes no more: {e}"));
                        successor = None;
                    }
                }
            }
            if now < still_coming {
                continue;
            }
            let steps = (moved_by.saturating_sub(now).as_secs_f32() / step.as_secs_f32()).max(1.0);
            let share = (standing.len() as f32 / steps).ceil() as usize;
            standing.iter().take(share).for_each(|s| s.relocate());
            // Those that have yet to ask are waited for where nobody else would hear them.
            let last = match door.held {
                true => !self.takes_clients() && self.admission.guests() == 0,
                false => now > 2 * STILL_COMING,
            };
            if last && self.admission.requests() == 0 {
                return;
            }
        }
    }
}

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

/// One client's connection. Whoever works on it shares its sockets: no descriptor is doubled.
pub struct Session {
    /// What it shares with all others.
    pub relay: Arc<Relay>,
    /// The client's socket.
    pub client: Arc<TcpStream>,
    /// The keys of the client and of its group.
    pub keys: (u64, u64),
    state: Mutex<State>,
    /// Given back last, when the sockets are closed.
    place: Place,
}

impl Drop for Session {
    fn drop(&mut self) {
        lock(&self.relay.sessions).remove(&self.place.number);
    }
}

impl Flow for Session {
    fn give_up(&self, attempt: u16) {
        let mut state = lock(&self.state);
        state.called_off = state.called_off.max(attempt + 1);
        if let (false, Some(backend)) = (state.up, &state.backend) {
            let _ = backend.shutdown(Shutdown::Both);
        }
    }

    fn relocate(&self) {
        let mut state = lock(&self.state);
        if let (true, Some(backend)) = (state.up && !state.moving, &state.backend) {
            // Wakes the forwarder, which first passes on what has come.
            let _ = backend.shutdown(Shutdown::Read);
            state.moving = true;
        }
    }
}

impl Session {
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

    fn stands(&self) -> bool {
        let state = lock(&self.state);
        state.up && !state.moving
    }

    /// Whether the client is to be moved.
    pub fn moving(&self) -> bool {
        lock(&self.state).moving
    }

    /// The connection's number.
    pub fn number(&self) -> u64 {
        self.place.number
    }

    fn takes_id(&self, id: RequestId) {
        lock(&self.state).id = Some(id);
    }

    /// The client has left before its answer: an attempt that is out ends. Its id, where it has one yet.
    pub fn client_has_ended(&self) -> Option<RequestId> {
        let mut state = lock(&self.state);
        state.client_ended = true;
        if let (false, Some(backend)) = (state.up, &state.backend) {
            let _ = backend.shutdown(Shutdown::Both);
        }
        state.id
    }

    fn client_ended(&self) -> bool {
        lock(&self.state).client_ended
    }

    fn is_up(&self, up: bool) {
        lock(&self.state).up = up;
    }
}

/// What the log says of a connection that has ended.
pub struct Account {
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
    tally: Option<Tally>,
}

impl Account {
    /// Counts it as brought up.
    pub fn passed(&self) {
        self.tally.iter().for_each(Tally::passed);
    }

    /// Counts it by its final answer, if it was given one.
    pub fn answered(&self, answer: &str) {
        match &self.tally {
            Some(tally) if answer.starts_with("BUSY") => tally.dropped(),
            Some(tally) if !answer.is_empty() => tally.failed(),
            _ => {}
        }
    }

    /// Writes the connection's one line.
    pub fn log(&self, reason: &str) {
        let Account { name, class, backend, attempts, began, .. } = self;
        let ms = began.elapsed().as_millis();
        log(&format!(
            "end id={name} class={class} backend={backend} attempts={attempts} ms={ms} reason={reason}"
        ));
    }
}

fn serve(relay: &Arc<Relay>, guest: Guest) {
    let (name, class, backend) = (String::new(), String::new(), String::new());
    let mut account = Account { name, class, backend, attempts: 0, began: Instant::now(), tally: None };
    let (open, rest) = match first_line(&guest, relay) {
        Ok(asked) => asked,
        // The health checks of the front come and go; they are no connections.
        Err("") => return,
        Err(reason) => return account.log(reason),
    };
    account.name = open.name.clone();
    account.class = relay.terms().classes.name(open.request.class).to_string();
    account.tally = Some(relay.metrics.begin(&account.class));
    let (answer, reason) = match guest.request(&open.name) {
        Ok(room) => {
            let (relay, client, state) = (relay.clone(), guest.stream.clone(), Mutex::default());
            let keys = (open.request.key, open.request.group);
            let session = Arc::new(Session { relay, client, keys, state, place: room });
            drop(guest);
            lock(&session.relay.sessions).insert(session.number(), Arc::downgrade(&session));
            session.relay.forwarder.watch(&session, rest);
            return place(&session, &open, account);
        }
        // Nothing was sent, so a refusal promises nothing false.
        Err(Denied::Full) => (refusal(relay.terms().max_retry_after / 2), "no-descriptors"),
        Err(Denied::IdInUse) => ("ERR id-in-use".to_string(), "id-in-use"),
    };
    account.log(reason);
    account.answered(&answer);
    drop(account);
    say(&guest.stream, &answer);
    part(&guest.stream);
}

/// Takes a connection over that has come up in another process of this relay.
pub fn adopt_standing(relay: &Arc<Relay>, parcel: Parcel, client: TcpStream, backend: TcpStream) {
    let guest = relay.admission.guest(client);
    let (client, backend) = (guest.stream.clone(), Arc::new(backend));
    let classes = &relay.terms().classes;
    let account = Account {
        name: parcel.name.clone(),
        class: parcel.class.clone(),
        backend: parcel.backend.clone(),
        attempts: parcel.attempts,
        began: Instant::now().checked_sub(Duration::from_millis(parcel.age_ms)).unwrap_or_else(Instant::now),
        tally: Some(relay.metrics.begin(&parcel.class)),
    };
    let place = match guest.request(&parcel.name) {
        Ok(place) => place,
        Err(_) => {
            let whole = parcel.down.iter().rposition(|&b| b == b'\n').map_or(0, |at| at + 1);
            let _ = (&*client).write_all(&parcel.down[..whole]);
            say(&client, "MOVE");
            return account.log("no-descriptors");
        }
    };
    drop(guest);
    let state = State { backend: Some(backend.clone()), up: true, ..State::default() };
    let keys = (parcel.key, parcel.group);
    let session = Session { relay: relay.clone(), client, keys, state: Mutex::new(state), place };
    let session = Arc::new(session);
    lock(&relay.sessions).insert(session.number(), Arc::downgrade(&session));
    let request = Request {
        // One that has vanished here goes on under any: the decisions look at nothing but its aims.
        class: classes.index(&parcel.class).unwrap_or(0),
        key: parcel.key,
        group: parcel.group,
        ..Request::default()
    };
    let server = super::discovery::server_id(&parcel.backend);
    let id = relay.decisions.adopt(request, server, session.clone());
    relay.forwarder.take_over(&session, account, (backend, id, server), parcel);
}

/// The words of a refusal, with the time after which to come again.
fn refusal(wait: Micros) -> String {
    if wait == 0 {
        "BUSY".to_string()
    } else {
        format!("BUSY {}", wait.div_ceil(1000))
    }
}

/// Has a request placed; its connection, or its answer, then goes to the forwarder.
fn place(session: &Arc<Session>, open: &Open, mut account: Account) {
    if let Some(at) = &open.at {
        return adopt(session, open, at, account);
    }
    let relay = &session.relay;
    let flow: Arc<dyn Flow> = session.clone();
    let pick = relay.decisions.pick(open.request.clone(), flow, |id| session.takes_id(id));
    let id = pick.id;
    // It may have left before its id was known.
    if session.client_ended() {
        relay.decisions.vanish(id);
    }
    let (answer, reason) = loop {
        match pick.verdict() {
            Verdict::Attempt { server, until, number } => {
                account.attempts += 1;
                account.backend = relay.directory.endpoint(server).map_or(String::new(), |e| e.name);
                let began = relay.decisions.now();
                let adopted = false;
                let result = backend::attempt(&Attempt { session, open, id, server, until, adopted, number });
                // Before the decisions hear of it: they may ask for a move at once.
                session.is_up(result.is_ok());
                match result {
                    Ok(up) if relay.decisions.up(id, relay.decisions.now() - began) => {
                        return relay.forwarder.stand(session, account, id, server, up);
                    }
                    Ok(up) => {
                        // Answered meanwhile: the attempt is closed before anything else happens.
                        drop(up);
                        session.release();
                        session.is_up(false);
                        relay.decisions.report(id, Outcome::Cancelled, Vec::new());
                    }
                    Err((outcome, report)) => relay.decisions.report(id, outcome, report),
                }
            }
            Verdict::Refuse(wait) => break (refusal(wait.min(relay.terms().max_retry_after)), "refused"),
            Verdict::Fail => break ("FAILED".to_string(), "failed"),
            Verdict::Gone => break (String::new(), "client-gave-up"),
        }
    };
    relay.decisions.forget(id);
    relay.forwarder.answer(session, account, &answer, reason);
}

/// Brings a connection back to the backend at which it was open before the run.
fn adopt(session: &Arc<Session>, open: &Open, at: &str, mut account: Account) {
    let relay = &session.relay;
    let server = super::discovery::server_id(at);
    (account.backend, account.attempts) = (at.to_string(), 1);
    let id = relay.decisions.adopt(open.request.clone(), server, session.clone());
    let until = relay.decisions.now() + backend::ADOPT;
    match backend::attempt(&Attempt { session, open, id, server, until, adopted: true, number: 0 }) {
        Ok(up) => {
            session.is_up(true);
            relay.forwarder.stand(session, account, id, server, up);
        }
        Err((outcome, report)) => {
            relay.decisions.end(id, outcome, report);
            relay.forwarder.answer(session, account, "FAILED", "not-adopted");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::{Member, MemberState, ServerId};
    use crate::config::Config;
    use crate::decide::Orders;
    use crate::net::discovery::Endpoint;
    use crate::net::line::{opening, Opening};
    use crossbeam_channel::bounded;
    use std::io::Read;
    use std::net::TcpListener;

    struct Setup {
        listener: TcpListener,
        relay: Arc<Relay>,
        session: Arc<Session>,
        open: Open,
        _front: TcpStream,
    }

    /// A session before a backend in that state; the backend is this test's listener.
    fn setup(state: MemberState) -> Setup {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let text = format!(
            r#"{{"listen":"{addr}","discovery":"{addr}","seed":"1","settings":{}}}"#,
            include_str!("../../tests/data/settings.json")
        );
        let config = Config::parse(text.into_bytes(), &|_| None).unwrap();
        let member = |state| Member { server: SERVER, zone: 0, cell: 0, state, size: 1.0, started: None };
        let ((watch, _), (probe, _)) = (bounded(1), bounded(1));
        let cached = vec![member(MemberState::Ready)];
        let decisions = Decisions::new(config.settings.clone(), 1, cached, Orders { watch, probe });
        let directory = Arc::new(Directory::default());
        directory.update(true, &[(Endpoint { name: "s-1".into(), addr }, member(state))]);
        let relay = Relay::new(&config, decisions, directory).unwrap();
        let guest = relay.admission.guest(TcpStream::connect(addr).unwrap());
        let (_front, _) = listener.accept().unwrap();
        let Ok(Opening::Open(open)) = opening(b"OPEN 1 7f c=one,d=60000", &config.classes) else { panic!() };
        let (client, place) = (guest.stream.clone(), guest.request("1").unwrap());
        let session = Arc::new(Session {
            relay: relay.clone(),
            client,
            keys: (0x7f, 0),
            state: Mutex::default(),
            place,
        });
        Setup { listener, relay, session, open, _front }
    }

    const SERVER: ServerId = ServerId(1);

    /// A backend may leave, and a request may be answered, while the dial is under way: then not one
    /// byte may go out on the new connection.
    #[test]
    fn nothing_is_sent_after_the_dial_to_a_backend_that_leaves_or_for_a_request_that_is_answered() {
        for (state, answered) in [(MemberState::Draining, false), (MemberState::Ready, true)] {
            let Setup { listener, relay, session, open, _front } = setup(state);
            let pick = relay.decisions.pick(open.request.clone(), session.clone(), |_| {});
            if answered {
                relay.decisions.vanish(pick.id);
            }
            let until = relay.decisions.now() + 60_000_000;
            let (session, open, id) = (&*session, &open, pick.id);
            let a = Attempt { session, open, id, server: SERVER, until, adopted: false, number: 0 };
            let result = backend::attempt(&a);
            assert!(matches!(result, Err((Outcome::Moot, _))), "{state:?} {answered}");
            // Its socket is closed by now: the next attempt may begin.
            assert!(lock(&session.state).backend.is_none());
            let mut sent = Vec::new();
            listener.accept().unwrap().0.read_to_end(&mut sent).unwrap();
            assert_eq!(sent, b"", "{state:?} {answered}");
        }
    }

    /// The wait for a connection from before the start once began anew after each silence, for good.
    #[test]
    fn the_wait_for_an_adopted_connection_ends() {
        let Setup { listener: _listener, relay, session, open, _front } = setup(MemberState::Ready);
        let id = relay.decisions.adopt(open.request.clone(), SERVER, session.clone());
        let until = relay.decisions.now() + 300_000;
        let (session, open) = (&*session, &open);
        let a = Attempt { session, open, id, server: SERVER, until, adopted: true, number: 0 };
        assert!(matches!(backend::attempt(&a), Err((Outcome::Timeout, _))));
    }
}
