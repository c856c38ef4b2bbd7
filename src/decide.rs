//! The decisions in blocking style: `pick` a server, `report` how the attempt ended, `tick` the
//! timers. One lock owns the balancer, its clock and its timers. What stands before it (the line
//! protocol today) sees neither events nor actions, and nothing here knows what that is.

use crate::api::{
    Action, Event, ListKind, Member, Micros, Outcome, Request, RequestId, ServerId, Settings, SECOND,
};
use crate::logic::Balancer;
use crossbeam_channel::{bounded, Receiver, Sender};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest sleep between two looks at the timers.
const IDLE: Duration = Duration::from_secs(1);
/// Verdicts that a request can have before it reads one: an attempt, and the end that overtakes it.
const MAILBOX: usize = 4;

/// What is to be done next for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Make this attempt, and stop waiting for it at the stated time.
    Attempt {
        /// Where to.
        server: ServerId,
        /// When to stop waiting.
        until: Micros,
        /// Which attempt of the request it is, from 0.
        number: u16,
    },
    /// Final: a further try is harmless after this wait (0: no advice).
    Refuse(Micros),
    /// Final: failed, nothing is promised.
    Fail,
    /// Nothing is owed any more.
    Gone,
}

/// What the decisions can ask of a request or connection that is under way. Called with no lock
/// held; must not block.
pub trait Flow: Send + Sync {
    /// Stop waiting for this attempt.
    fn give_up(&self, attempt: u16);
    /// End the open connection politely.
    fn relocate(&self);
}

/// News of an open connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Its load now: work in microseconds a second.
    Load(f32),
    /// How long messages take at its server.
    Delay(Micros),
}

/// Where orders go that concern no single request. Both are bounded and never waited for.
pub struct Orders {
    /// Subscribe to the list of servers, or stop.
    pub watch: Sender<bool>,
    /// Probe this server.
    pub probe: Sender<ServerId>,
}

struct Entry {
    verdicts: Sender<Verdict>,
    flow: Arc<dyn Flow>,
    server: ServerId,
    attempts: u16,
    answered: bool,
}

struct Inner {
    balancer: Balancer,
    last: Micros,
    next_id: u32,
    entries: BTreeMap<RequestId, Entry>,
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    actions: Vec<Action>,
    orders: Orders,
}

/// What is left to do once the lock is free.
enum Call {
    GiveUp(Arc<dyn Flow>, u16),
    Relocate(Arc<dyn Flow>),
    Log(String),
}

/// The one owner of the balancer.
pub struct Decisions {
    inner: Mutex<Inner>,
    sooner: Condvar,
    started: Instant,
    epoch: Micros,
}

impl Decisions {
    /// Decisions with these settings; `cached` is the list as last known.
    pub fn new(settings: Settings, seed: u64, cached: Vec<Member>, orders: Orders) -> Arc<Self> {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let decisions = Arc::new(Decisions {
            inner: Mutex::new(Inner {
                balancer: Balancer::new(settings, seed),
                last: 0,
                next_id: 0,
                entries: BTreeMap::new(),
                timers: BinaryHeap::new(),
                actions: Vec::new(),
                orders,
            }),
            sooner: Condvar::new(),
            started: Instant::now(),
            epoch: epoch.as_micros() as Micros,
        });
        decisions.members(ListKind::Cached, cached);
        decisions
    }

    /// Microseconds of Unix time, steady within a process: what lists say of starts can be compared.
    pub fn now(&self) -> Micros {
        self.epoch + self.started.elapsed().as_micros() as Micros
    }

    /// Time left until a moment.
    pub fn left(&self, until: Micros) -> Duration {
        Duration::from_micros(until.saturating_sub(self.now()))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Feeds one event and carries out what it brings; calls to flows are made after the lock is free.
    fn feed(&self, mut inner: MutexGuard<'_, Inner>, event: Event) {
        let mut calls = Vec::new();
        let now = self.now().max(inner.last);
        inner.last = now;
        let first = inner.timers.peek().map(|t| t.0 .0);
        inner.handle(now, event, &mut calls);
        // The ticker sleeps until the first timer: it must hear of an earlier one.
        if inner.timers.peek().map(|t| t.0 .0) != first {
            self.sooner.notify_one();
        }
        drop(inner);
        for call in calls {
            match call {
                Call::GiveUp(flow, attempt) => flow.give_up(attempt),
                Call::Relocate(flow) => flow.relocate(),
                Call::Log(line) => crate::log::log(&line),
            }
        }
    }

    /// Takes a request (its id is given here) and blocks until it is known what to do with it. The
    /// id is handed to `taken` before the wait, so that the request can be called off meanwhile.
    pub fn pick(&self, request: Request, flow: Arc<dyn Flow>, taken: impl FnOnce(RequestId)) -> Pick {
        let mut inner = self.lock();
        let (id, verdicts) = inner.admit(flow, ServerId::default(), false);
        taken(id);
        self.feed(inner, Event::Request(Request { id, ..request }));
        Pick { id, verdicts }
    }

    /// Takes a connection that was open at a server before this process started.
    pub fn adopt(&self, request: Request, server: ServerId, flow: Arc<dyn Flow>) -> RequestId {
        let mut inner = self.lock();
        let (id, _) = inner.admit(flow, server, true);
        self.feed(inner, Event::Open(Request { id, ..request }, server));
        id
    }

    /// The attempt's connection is up. False if the request has had its final answer meanwhile: the
    /// attempt must then be dropped.
    pub fn up(&self, id: RequestId, took: Micros) -> bool {
        let mut inner = self.lock();
        let Some(entry) = inner.entries.get_mut(&id).filter(|e| !e.answered) else { return false };
        entry.answered = true;
        let server = entry.server;
        self.feed(inner, Event::First { id, server, took });
        true
    }

    /// Reports how an attempt ended that did not come up; its verdict follows on the pick.
    pub fn report(&self, id: RequestId, outcome: Outcome, report: Vec<f32>) {
        let inner = self.lock();
        let Some(entry) = inner.entries.get(&id) else { return };
        let (server, last) = (entry.server, entry.answered);
        self.feed(inner, Event::Outcome { id, server, outcome, last, report });
    }

    /// Reports the end of a connection that was up; nothing more follows.
    pub fn end(&self, id: RequestId, outcome: Outcome, report: Vec<f32>) {
        let mut inner = self.lock();
        let Some(entry) = inner.entries.remove(&id) else { return };
        self.feed(inner, Event::Outcome { id, server: entry.server, outcome, last: true, report });
    }

    /// The client has left before its answer. Nothing more is owed; an attempt still out must be
    /// reported all the same.
    pub fn vanish(&self, id: RequestId) {
        let mut inner = self.lock();
        let Some(entry) = inner.entries.get_mut(&id).filter(|e| !e.answered) else { return };
        entry.answered = true;
        let _ = entry.verdicts.try_send(Verdict::Gone);
        self.feed(inner, Event::Vanished(id));
    }

    /// Whether a request is still owed its answer.
    pub fn owed(&self, id: RequestId) -> bool {
        self.lock().entries.get(&id).is_some_and(|e| !e.answered)
    }

    /// How many listed servers are avoided now.
    pub fn avoided(&self) -> usize {
        let now = self.now();
        self.lock().balancer.avoided(now)
    }

    /// Forgets a request that has had its final verdict.
    pub fn forget(&self, id: RequestId) {
        self.lock().entries.remove(&id);
    }

    /// Passes on news of an open connection.
    pub fn note(&self, id: RequestId, note: Note) {
        let inner = self.lock();
        let Some(entry) = inner.entries.get(&id) else { return };
        let event = match note {
            Note::Load(load) => Event::LoadNote(id, entry.server, load),
            Note::Delay(took) => Event::DelayNote(id, entry.server, took),
        };
        self.feed(inner, event);
    }

    /// Passes on what a probe found.
    pub fn probed(&self, server: ServerId, outcome: Outcome, report: Vec<f32>) {
        self.feed(self.lock(), Event::Probed { server, outcome, report });
    }

    /// Passes on news of the fleet.
    pub fn members(&self, kind: ListKind, members: Vec<Member>) {
        self.feed(self.lock(), Event::Members { kind, members });
    }

    /// New settings hold from now on.
    pub fn settings(&self, settings: Settings) {
        self.feed(self.lock(), Event::Settings(settings));
    }

    /// Staff have taken a server out, or called it back.
    pub fn by_hand(&self, server: ServerId, out_of_use: bool) {
        self.feed(self.lock(), Event::ByHand(server, out_of_use));
    }

    /// Fires the timers that are due and sleeps until the next one, or until an earlier one is set.
    pub fn tick(&self) {
        loop {
            let mut inner = self.lock();
            let now = self.now();
            let due = inner.timers.peek().map(|t| t.0 .0);
            if due.is_some_and(|at| at <= now) {
                let token = inner.timers.pop().map_or(0, |t| t.0 .1);
                self.feed(inner, Event::Timer(token));
                continue;
            }
            let wait = due.map_or(IDLE, |at| Duration::from_micros(at - now).min(IDLE));
            drop(self.sooner.wait_timeout(inner, wait));
            return;
        }
    }
}

/// A request that waits for its verdicts.
pub struct Pick {
    /// The request's id.
    pub id: RequestId,
    verdicts: Receiver<Verdict>,
}

impl Pick {
    /// Blocks until the next verdict.
    pub fn verdict(&self) -> Verdict {
        self.verdicts.recv().unwrap_or(Verdict::Gone)
    }
}

impl Inner {
    fn admit(
        &mut self,
        flow: Arc<dyn Flow>,
        server: ServerId,
        answered: bool,
    ) -> (RequestId, Receiver<Verdict>) {
        let (verdicts, mailbox) = bounded(MAILBOX);
        self.next_id = self.next_id.wrapping_add(1);
        while self.entries.contains_key(&RequestId(self.next_id)) {
            self.next_id = self.next_id.wrapping_add(1);
        }
        let id = RequestId(self.next_id);
        self.entries.insert(id, Entry { verdicts, flow, server, attempts: 0, answered });
        (id, mailbox)
    }

    fn handle(&mut self, now: Micros, event: Event, calls: &mut Vec<Call>) {
        let mut actions = std::mem::take(&mut self.actions);
        if let Err(unknown) = self.balancer.handle(now, event, &mut actions) {
            calls.push(Call::Log(format!("decide: {unknown}")));
        }
        for action in actions.drain(..) {
            self.carry_out(action, calls);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, action: Action, calls: &mut Vec<Call>) {
        match action {
            Action::Send { id, server, until } => {
                let Some(e) = self.entries.get_mut(&id) else { return };
                let number = e.attempts;
                e.attempts += 1;
                e.server = server;
                let _ = e.verdicts.try_send(Verdict::Attempt { server, until, number });
            }
            Action::Refuse(id, wait) => self.finish(id, Verdict::Refuse(wait)),
            Action::Fail(id) => self.finish(id, Verdict::Fail),
            Action::Cancel(id, attempt) => {
                let flow = self.entries.get(&id).map(|e| e.flow.clone());
                calls.extend(flow.map(|f| Call::GiveUp(f, attempt)));
            }
            Action::Move(id) => {
                let flow = self.entries.get(&id).map(|e| e.flow.clone());
                calls.extend(flow.map(Call::Relocate));
            }
            Action::Timer(at, token) => self.timers.push(Reverse((at, token))),
            Action::Watch(on) => drop(self.orders.watch.try_send(on)),
            Action::Probe(server) => {
                // A prober that is behind must not be waited for: the probe has failed.
                if self.orders.probe.try_send(server).is_err() {
                    calls.push(Call::Log("decide: a probe was dropped, the prober is behind".into()));
                }
            }
            Action::Log(line) => calls.push(Call::Log(line)),
        }
    }

    fn finish(&mut self, id: RequestId, verdict: Verdict) {
        let Some(e) = self.entries.get_mut(&id).filter(|e| !e.answered) else { return };
        e.answered = true;
        let _ = e.verdicts.try_send(verdict);
    }
}

/// Drives the timers for good.
pub fn run_timers(decisions: &Decisions) -> ! {
    loop {
        decisions.tick();
    }
}

/// The longest that a request may ask for.
pub const LONGEST: Micros = 3600 * SECOND;
