//! The side of the clients: accepting, a request's answer, its connection, and its end.

use crate::api::{Outcome, Request};
use crate::config::listing::server_id;
use crate::config::Config;
use crate::decide::{Decisions, Flow, Verdict};
use crate::front::line::Greeting;
use crate::front::xmpp::greeting;
use crate::front::{Answer, Cause, Greeter, Order};
use crate::log::log;
use crate::net::admit::{Denied, Guest};
use crate::net::attempt::{self, Attempt};
use crate::net::core::Core;
use crate::net::forward::Forwarder;
use crate::net::greet::{hear, part, say, secure};
use crate::net::link::Link;
use crate::net::listen::Door;
use crate::net::session::{Account, Session};
use crate::platform::directory::Directory;
use crate::platform::takeover::{Parcel, Successor};
use crate::sys::{spawn_with, timed_out, STACK};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long connections go on coming after the signal to stop.
const STILL_COMING: Duration = Duration::from_millis(450);
/// The longest deadline that the platform waits for before it kills, and what it adds.
const KILL_DEADLINE: Duration = Duration::from_secs(3);
const KILL_AFTER: Duration = Duration::from_millis(700);

/// Stack of a thread that may have a TLS handshake to do.
const TLS_STACK: usize = 512 * 1024;

/// What is spoken at a door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speaks {
    /// The line protocol.
    Line,
    /// XMPP that begins in clear.
    Xmpp,
    /// XMPP that begins with TLS.
    XmppTls,
}

impl Speaks {
    fn front(self) -> &'static str {
        if self == Speaks::Line {
            "line"
        } else {
            "xmpp"
        }
    }
}

/// A relay: what its connections share, and those that are up.
pub struct Relay {
    /// What all connections share.
    pub core: Arc<Core>,
    /// The connections that are up.
    pub forwarder: Forwarder,
}

impl Relay {
    /// A relay with this configuration, within its limits.
    pub fn new(
        config: &Config,
        decisions: Arc<Decisions>,
        directory: Arc<Directory>,
    ) -> std::io::Result<Arc<Self>> {
        let core = Core::new(config, decisions, directory);
        Ok(Arc::new(Relay { forwarder: Forwarder::new(core.clone())?, core }))
    }

    /// Takes in connections until the door is closed.
    pub fn accept(self: &Arc<Self>, door: &Door, speaks: Speaks) {
        if speaks == Speaks::Line {
            self.core.open.store(true, Relaxed);
        }
        loop {
            // What cannot be taken in now waits in the listener's queue.
            if !self.core.admission.room() {
                if door.pause(Duration::from_millis(1)) {
                    break;
                }
                continue;
            }
            let Some(client) = door.next() else { break };
            self.take_in(client, speaks);
        }
        if speaks == Speaks::Line {
            return self.core.open.store(false, Relaxed);
        }
        // This socket is the process's own, and goes with it.
        while let Some(client) = door.left().filter(|_| self.core.admission.room()) {
            self.take_in(client, speaks);
        }
    }

    fn take_in(self: &Arc<Self>, client: TcpStream, speaks: Speaks) {
        let stack = if speaks == Speaks::Line { STACK } else { TLS_STACK };
        let (relay, guest) = (self.clone(), self.core.admission.guest(client));
        if let Err(e) = spawn_with(stack, "session", move || serve(&relay, guest, speaks)) {
            log(&format!("accept: no thread: {e}"));
        }
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
        let longest = Duration::from_micros(self.core.terms().rules.classes.longest());
        let kill = longest.min(KILL_DEADLINE) + KILL_AFTER;
        let step = Duration::from_millis(25);
        // All told to move by then: time enough for the ends and for answers that are still owed.
        let moved_by = kill.mul_f32(0.6).max(still_coming + step);
        while start.elapsed() + Duration::from_millis(200) < kill {
            sleep(step);
            let now = start.elapsed();
            let standing = self.core.sessions.live().into_iter().filter(|s| s.stands());
            // What cannot change process is moved, whoever takes over.
            let (mut standing, fixed): (Vec<_>, Vec<_>) = standing.partition(|s| s.portable());
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
            standing.extend(fixed);
            let share = (standing.len() as f32 / steps).ceil() as usize;
            standing.iter().take(share).for_each(|s| s.relocate());
            // Those that have yet to ask are waited for where nobody else would hear them.
            let last = match door.held {
                true => !self.core.open.load(Relaxed) && self.core.admission.guests() == 0,
                false => now > 2 * STILL_COMING,
            };
            if last && self.core.admission.requests() == 0 {
                return;
            }
        }
    }
}

fn serve(relay: &Arc<Relay>, guest: Guest, speaks: Speaks) {
    let core = &relay.core;
    let mut link = Link::plain(guest.stream.clone());
    let mut account = Account::new(speaks.front());
    let Some(mut greeter) = greeter(core, speaks) else { return };
    let heard = match speaks {
        Speaks::XmppTls => secure(&mut link, core, None, greeter.until()),
        Speaks::Line | Speaks::Xmpp => Ok(()),
    };
    let (order, rest) = match heard.and_then(|()| hear(&guest, &mut link, &mut *greeter, core)) {
        Ok(asked) => asked,
        Err("") => return,
        Err(reason) => return account.log(reason),
    };
    drop(greeter);
    account.name = order.name().to_string();
    account.class = core.terms().rules.classes.name(order.request().class).to_string();
    account.tally = Some(core.metrics.begin(&account.class));
    let (answer, reason) = match guest.request(order.name()) {
        Ok(place) => {
            let keys = (order.request().key, order.request().group);
            let session =
                Session::new(&core.sessions, guest.stream.clone(), keys, place, order.finishes(), None);
            drop(guest);
            relay.forwarder.watch(&session, link, rest);
            return self::place(relay, &session, &*order, account);
        }
        // Nothing was sent, so a refusal promises nothing false.
        Err(Denied::Full) => (Answer::Refused(core.terms().max_retry_after / 2), "no-descriptors"),
        Err(Denied::IdInUse) => (Answer::IdInUse, "id-in-use"),
    };
    account.log(reason);
    count(&account, answer);
    drop(account);
    say(&mut link, &order.words(answer));
    part(&guest.stream);
}

/// The machine that hears a client of this door; none where the front has gone meanwhile.
fn greeter(core: &Core, speaks: Speaks) -> Option<Box<dyn Greeter>> {
    let now = core.decisions.now();
    if speaks == Speaks::Line {
        return Some(Box::new(Greeting::new(now)));
    }
    let mut ids = [0; 3];
    for id in &mut ids {
        *id = getrandom::u64().inspect_err(|e| log(&format!("xmpp: no random numbers: {e}"))).ok()?;
    }
    let terms = core.xmpp()?.terms.clone();
    Some(Box::new(greeting::Greeting::new(terms, ids, speaks == Speaks::XmppTls, now)))
}

/// Counts a connection by its final answer.
fn count(account: &Account, answer: Answer) {
    match (&account.tally, answer) {
        (Some(tally), Answer::Refused(_)) => tally.dropped(),
        (Some(tally), Answer::Failed(_) | Answer::IdInUse) => tally.failed(),
        (None, _) => {}
    }
}

/// Takes a connection over that has come up in another process of this relay.
pub fn adopt_standing(relay: &Relay, parcel: Parcel, client: TcpStream, backend: TcpStream) {
    let core = &relay.core;
    let guest = core.admission.guest(client);
    let (client, backend) = (guest.stream.clone(), Arc::new(backend));
    let classes = &core.terms().rules.classes;
    let account = Account {
        front: "line",
        name: parcel.name.clone(),
        class: parcel.class.clone(),
        backend: parcel.backend.clone(),
        attempts: parcel.attempts,
        began: Instant::now().checked_sub(Duration::from_millis(parcel.age_ms)).unwrap_or_else(Instant::now),
        tally: Some(core.metrics.begin(&parcel.class)),
    };
    let place = match guest.request(&parcel.name) {
        Ok(place) => place,
        Err(_) => {
            let whole = parcel.down.iter().rposition(|&b| b == b'\n').map_or(0, |at| at + 1);
            say(&mut Link::plain(client), &[&parcel.down[..whole], b"MOVE\r\n"].concat());
            return account.log("no-descriptors");
        }
    };
    drop(guest);
    let keys = (parcel.key, parcel.group);
    let session = Session::new(&core.sessions, client, keys, place, false, Some(backend.clone()));
    let request = Request {
        // One that has vanished here goes on under any: the decisions look at nothing but its aims.
        class: classes.index(&parcel.class).unwrap_or(0),
        key: parcel.key,
        group: parcel.group,
        ..Request::default()
    };
    let server = server_id(&parcel.backend);
    let id = core.decisions.adopt(request, server, session.clone());
    relay.forwarder.take_over(&session, account, (backend, id, server), parcel);
}

/// Has a request placed; its connection, or its answer, then goes to the forwarder.
fn place(relay: &Relay, session: &Arc<Session>, order: &dyn Order, mut account: Account) {
    if let Some(at) = order.at() {
        return adopt(relay, session, order, at, account);
    }
    let core = &*relay.core;
    // Whoever waits is owed its answer by then; what went before the request is the client's own time.
    let answer_by = core.decisions.now() + order.request().left;
    let mut cause = Cause::Broke;
    let flow: Arc<dyn Flow> = session.clone();
    let pick = core.decisions.pick(order.request().clone(), flow, |id| session.takes_id(id));
    let id = pick.id;
    let asked = order.request();
    tracing::debug!(id = %session.name(), group = asked.group, key = asked.key, again = asked.again, "request");
    // It may have left before its id was known.
    if session.client_ended() {
        core.decisions.vanish(id);
    }
    let (answer, reason) = loop {
        match pick.verdict() {
            Verdict::Attempt { server, until, number } => {
                account.attempts += 1;
                account.backend = core.directory.endpoint(server).map_or(String::new(), |e| e.name);
                let began = core.decisions.now();
                let result = attempt::attempt(&Attempt { core, session, order, id, server, until, number });
                // Before the decisions hear of it: they may ask for a move at once.
                session.is_up(result.is_ok());
                match result {
                    Ok(up) if core.decisions.up(id, core.decisions.now() - began) => {
                        return relay.forwarder.stand(session, account, (id, server), up, answer_by);
                    }
                    Ok(up) => {
                        // Answered meanwhile: the attempt is closed before anything else happens.
                        drop(up);
                        session.release();
                        session.is_up(false);
                        core.decisions.report(id, Outcome::Cancelled, Vec::new());
                    }
                    Err((outcome, report)) => {
                        cause = if outcome == Outcome::Timeout { Cause::Late } else { Cause::Broke };
                        core.decisions.report(id, outcome, report);
                    }
                }
            }
            Verdict::Refuse(wait) => {
                break (Some(Answer::Refused(wait.min(core.terms().max_retry_after))), "refused")
            }
            Verdict::Fail => break (Some(Answer::Failed(cause)), "failed"),
            Verdict::Gone => break (None, "client-gave-up"),
        }
    };
    core.decisions.forget(id);
    if let Some(answer) = answer {
        count(&account, answer);
    }
    let words = answer.map_or(Vec::new(), |answer| order.words(answer));
    relay.forwarder.answer(session, account, words, reason);
}

/// Brings a connection back to the backend at which it was open before the run.
fn adopt(relay: &Relay, session: &Arc<Session>, order: &dyn Order, at: &str, mut account: Account) {
    let core = &*relay.core;
    let server = server_id(at);
    (account.backend, account.attempts) = (at.to_string(), 1);
    let id = core.decisions.adopt(order.request().clone(), server, session.clone());
    let until = core.decisions.now() + attempt::ADOPT;
    match attempt::attempt(&Attempt { core, session, order, id, server, until, number: 0 }) {
        Ok(up) => {
            session.is_up(true);
            relay.forwarder.stand(session, account, (id, server), up, until);
        }
        Err((outcome, report)) => {
            core.decisions.end(id, outcome, report);
            count(&account, Answer::Failed(Cause::Broke));
            relay.forwarder.answer(
                session,
                account,
                order.words(Answer::Failed(Cause::Broke)),
                "not-adopted",
            );
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::{Member, MemberState, ServerId};
    use crate::config::listing::Endpoint;
    use crate::decide::Orders;
    use crate::front::buffer::Buffer;
    use crate::front::Next;
    use crossbeam_channel::bounded;
    use std::io::Read;
    use std::net::TcpListener;

    struct Setup {
        listener: TcpListener,
        relay: Arc<Relay>,
        session: Arc<Session>,
        order: Box<dyn Order>,
        _front: TcpStream,
    }

    /// A session before a backend in that state; the backend is this test's listener.
    fn setup(state: MemberState, at: &str) -> Setup {
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
        let guest = relay.core.admission.guest(TcpStream::connect(addr).unwrap());
        let (_front, _) = listener.accept().unwrap();
        let mut inbox = Buffer::holding(format!("OPEN 1 7f c=one,d=60000{at}\r\n").into_bytes());
        let rules = relay.core.terms().rules.clone();
        let Next::Place(order) = Greeting::new(0).next(&mut inbox, 0, &rules) else { panic!() };
        let (client, place) = (guest.stream.clone(), guest.request("1").unwrap());
        let session = Session::new(&relay.core.sessions, client, (0x7f, 0), place, false, None);
        Setup { listener, relay, session, order, _front }
    }

    const SERVER: ServerId = ServerId(1);

    /// A backend may leave, and a request may be answered, while the dial is under way: then not one
    /// byte may go out on the new connection.
    #[test]
    fn nothing_is_sent_after_the_dial_to_a_backend_that_leaves_or_for_a_request_that_is_answered() {
        for (state, answered) in [(MemberState::Draining, false), (MemberState::Ready, true)] {
            let Setup { listener, relay, session, order, _front } = setup(state, "");
            let pick = relay.core.decisions.pick(order.request().clone(), session.clone(), |_| {});
            if answered {
                relay.core.decisions.vanish(pick.id);
            }
            let until = relay.core.decisions.now() + 60_000_000;
            let (core, session, order, id) = (&*relay.core, &*session, &*order, pick.id);
            let a = Attempt { core, session, order, id, server: SERVER, until, number: 0 };
            let result = attempt::attempt(&a);
            assert!(matches!(result, Err((Outcome::Moot, _))), "{state:?} {answered}");
            // Its socket is closed by now: the next attempt may begin.
            assert!(!session.holds());
            let mut sent = Vec::new();
            listener.accept().unwrap().0.read_to_end(&mut sent).unwrap();
            assert_eq!(sent, b"", "{state:?} {answered}");
        }
    }

    /// The wait for a connection from before the start once began anew after each silence, for good.
    #[test]
    fn the_wait_for_an_adopted_connection_ends() {
        let Setup { listener: _listener, relay, session, order, _front } =
            setup(MemberState::Ready, ",at=s-1");
        let id = relay.core.decisions.adopt(order.request().clone(), SERVER, session.clone());
        let until = relay.core.decisions.now() + 300_000;
        let (core, session, order) = (&*relay.core, &*session, &*order);
        let a = Attempt { core, session, order, id, server: SERVER, until, number: 0 };
        assert!(matches!(attempt::attempt(&a), Err((Outcome::Timeout, _))));
    }
}
