//! The decisions in blocking style: `pick` a server, `report` how the attempt ended, `tick` the
//! timers. One lock owns the balancer, its clock and its timers. What stands before it (the line
//! protocol today) sees neither events nor actions, and nothing here knows what that is.

use crate::cells::{Cells, Placed};
use crate::decisions::api::{
    Action, EndpointId, EndpointListKind, EndpointState, Event, ListedEndpoint, Micros, Outcome,
    Request, RequestId, Settings, SECOND,
};
use crate::decisions::{Balancer, Parameters};
use crate::sys::{boottime, Wake};
use crossbeam_channel::{bounded, Receiver, Sender, TryRecvError};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest sleep between two looks at the timers.
const IDLE: Duration = Duration::from_secs(1);
/// Verdicts that a request can have before it reads one: an attempt, and the end that overtakes it.
const MAILBOX: usize = 4;

/// What is to be done next for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Make this attempt, and stop waiting for it at the stated time.
    Attempt {
        /// Where to.
        endpoint: EndpointId,
        /// When to stop waiting.
        give_up_at: Micros,
        /// Which attempt of the request it is, from 0.
        number: u16,
    },
    /// Final: a further try is harmless after this wait (0: no advice).
    Reject(Micros),
    /// Final: failed, nothing is promised.
    Fail,
    /// Nothing is owed any more.
    Withdrawn,
}

/// What the decisions can ask of a request or connection that is under way. Called with no lock
/// held; must not block.
pub trait RequestHandle: Send + Sync {
    /// A verdict waits on its pick. Who blocks there need not hear of it.
    fn decision_ready(&self) {}
    /// Stop waiting for this attempt.
    fn cancel_attempt(&self, attempt: u16);
    /// End the open connection politely.
    fn migrate(&self);
}

/// News of an open connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionSample {
    /// Its load now: work in microseconds a second.
    Load(f32),
    /// How long messages take at its server.
    Delay(Micros),
}

/// Where orders go that concern no single request. Neither may block.
pub struct Hooks {
    /// Subscribe to the list of servers, once more after each that failed, or stop. Called with the lock held.
    pub watch_endpoint_list: Box<dyn Fn(bool) + Send>,
    /// Probe this server.
    pub check_health: Sender<EndpointId>,
}

/// What is counted of one cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellMetrics {
    /// Its name.
    pub name: String,
    /// Its listed servers, and whether one of them may be sent anything.
    pub endpoints: usize,
    /// See `servers`.
    pub usable: bool,
    /// Requests and connections that it has.
    pub in_flight: u32,
    /// Those of them that it lends room to.
    pub borrowed: u32,
    /// Requests that came up, were refused, and have failed since the start.
    pub connected: u64,
    /// See `up`.
    pub rejected: u64,
    /// See `up`.
    pub failed: u64,
}

struct Entry {
    /// Its balancer, and what it asked for.
    at: usize,
    request: Request,
    borrowed: bool,
    verdicts: Sender<Decision>,
    flow: Arc<dyn RequestHandle>,
    server: EndpointId,
    attempts: u16,
    answered: bool,
}

/// The balancer of a cell, and what is counted of it. It knows the cell's servers only.
struct Part {
    name: String,
    balancer: Balancer,
    figures: CellMetrics,
}

/// The timer that is no balancer's: the next move of a connection whose site has another cell.
const MOVES: usize = usize::MAX;

struct Inner {
    /// By name: a cell that has gone keeps its place for what stands there.
    parts: Vec<Part>,
    /// The part of each cell of the map.
    by_cell: Vec<usize>,
    cells: Cells,
    seed: u64,
    settings: Settings,
    tuning: Parameters,
    /// The list as last told, with the part of each server.
    members: BTreeMap<EndpointId, (ListedEndpoint, usize)>,
    by_hand: BTreeSet<EndpointId>,
    /// Connections that are to be moved to their site's new cell, and whether a timer is set for the next.
    moves: VecDeque<RequestId>,
    moving: bool,
    /// How many moves were made since the start, and how many may be, where the fleet paces them.
    made: u64,
    permitted: Option<u64>,
    last: Micros,
    next_id: u32,
    entries: BTreeMap<RequestId, Entry>,
    timers: BinaryHeap<Reverse<(Micros, usize, u64)>>,
    actions: Vec<Action>,
    orders: Hooks,
}

/// What is left to do once the lock is free.
enum Call {
    Decision(Arc<dyn RequestHandle>),
    GiveUp(Arc<dyn RequestHandle>, u16),
    Relocate(Arc<dyn RequestHandle>),
    Log(String),
}

/// The one owner of the balancer.
pub struct DecisionService {
    inner: Mutex<Inner>,
    sooner: Condvar,
    /// Called where the first timer has become another one.
    wake: OnceLock<Wake>,
    started: Instant,
    epoch: Micros,
    /// Up to when clients may be admitted, by [`boottime`]; see [`DecisionService::lease`].
    lease: AtomicU64,
}

/// A lease without an end: no fleet has a say.
const FOREVER: Micros = Micros::MAX;
/// What a client is told that comes while no lease runs: it is renewed or another policy is in force within that.
const NO_LEASE_RETRY_AFTER: Micros = SECOND / 4;

impl DecisionService {
    /// Decisions with these settings; `cached` is the list as last known.
    pub fn new(
        settings: Settings,
        seed: u64,
        cached: Vec<ListedEndpoint>,
        orders: Hooks,
    ) -> Arc<Self> {
        let epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let decisions = Arc::new(DecisionService {
            inner: Mutex::new(Inner {
                parts: vec![Part::new(
                    Cells::default().map.name(0),
                    settings.clone(),
                    seed,
                )],
                by_cell: vec![0],
                cells: Cells::default(),
                seed,
                settings,
                tuning: Parameters::default(),
                members: BTreeMap::new(),
                by_hand: BTreeSet::new(),
                moves: VecDeque::new(),
                moving: false,
                made: 0,
                permitted: None,
                last: 0,
                next_id: 0,
                entries: BTreeMap::new(),
                timers: BinaryHeap::new(),
                actions: Vec::new(),
                orders,
            }),
            sooner: Condvar::new(),
            wake: OnceLock::new(),
            started: Instant::now(),
            epoch: epoch.as_micros() as Micros,
            lease: AtomicU64::new(FOREVER),
        });
        decisions.update_endpoints(EndpointListKind::Cached, cached);
        decisions
    }

    /// From now on this is called where an earlier timer is set: for a driver that waits elsewhere than in
    /// [`DecisionService::tick`]. Once.
    pub fn set_waker(&self, wake: Wake) {
        let _ = self.wake.set(wake);
    }

    /// Microseconds of Unix time, steady within a process: what lists say of starts can be compared.
    pub fn now(&self) -> Micros {
        self.epoch + self.started.elapsed().as_micros() as Micros
    }

    /// Time left until a moment.
    pub fn time_until(&self, until: Micros) -> Duration {
        Duration::from_micros(until.saturating_sub(self.now()))
    }

    /// New clients are admitted up to that moment of [`boottime`], which counts the time that the machine slept.
    pub fn set_admission_lease(&self, until: Micros) {
        self.lease.store(until, SeqCst);
    }

    /// Whether a new client may be placed at this moment: looked at right before each placement, and before the first
    /// byte of each attempt, so that a process which was stopped meanwhile sends nothing under a policy of before.
    pub fn may_admit(&self) -> bool {
        let until = self.lease.load(SeqCst);
        until == FOREVER || boottime() < until
    }

    /// Another policy holds from now on, as one: no placement falls between its parts.
    pub fn apply_policy(&self, cells: Cells, tuning: Parameters) {
        self.act(self.lock(), |inner, now, calls| {
            inner.tuning = tuning;
            inner
                .parts
                .iter_mut()
                .for_each(|part| part.balancer.set_parameters(tuning));
            inner.adopt_cells(cells, now, calls);
        });
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Feeds one event to a cell's balancer and carries out what it brings.
    fn feed(&self, inner: MutexGuard<'_, Inner>, at: usize, event: Event) {
        self.act(inner, |inner, now, calls| {
            inner.handle(at, now, event, calls)
        });
    }

    /// Does something under the lock; calls to flows are made after it is free.
    fn act(
        &self,
        mut inner: MutexGuard<'_, Inner>,
        what: impl FnOnce(&mut Inner, Micros, &mut Vec<Call>),
    ) {
        let mut calls = Vec::new();
        let now = self.now().max(inner.last);
        inner.last = now;
        let first = inner.timers.peek().map(|t| t.0 .0);
        what(&mut inner, now, &mut calls);
        // The ticker sleeps until the first timer: it must hear of an earlier one.
        let sooner = inner.timers.peek().map(|t| t.0 .0) != first;
        if sooner {
            self.sooner.notify_one();
        }
        drop(inner);
        self.wake
            .get()
            .filter(|_| sooner)
            .iter()
            .for_each(|wake| wake());
        for call in calls {
            match call {
                Call::Decision(flow) => flow.decision_ready(),
                Call::GiveUp(flow, attempt) => flow.cancel_attempt(attempt),
                Call::Relocate(flow) => flow.migrate(),
                Call::Log(line) => crate::log::log(&line),
            }
        }
    }

    /// Takes a request (its id is given here) and blocks until it is known what to do with it. The
    /// id is handed to `taken` before the wait, so that the request can be called off meanwhile.
    pub fn submit(
        &self,
        request: Request,
        flow: Arc<dyn RequestHandle>,
        taken: impl FnOnce(RequestId),
    ) -> PendingDecision {
        let mut inner = self.lock();
        let placed = if self.may_admit() {
            Some(inner.place(request.group))
        } else {
            None
        };
        let (at, borrowed) = match placed {
            Some(Placed::At(cell)) => (Some(inner.by_cell[cell]), false),
            Some(Placed::Borrowed(cell)) => (Some(inner.by_cell[cell]), true),
            Some(Placed::Refused) | None => (None, false),
        };
        let home = inner.by_cell[inner.cells.map.home(request.group).0];
        let (id, verdicts) = inner.admit(
            flow,
            EndpointId::default(),
            false,
            at.unwrap_or(home),
            &request,
        );
        taken(id);
        match at {
            Some(at) => {
                if let Some(entry) = inner.entries.get_mut(&id).filter(|_| borrowed) {
                    entry.borrowed = true;
                    inner.parts[at].figures.borrowed += 1;
                }
                self.feed(inner, at, Event::Request(Request { id, ..request }));
            }
            // No balancer hears of it: its cell has nobody, or no lease runs.
            None => self.act(inner, |inner, _, calls| {
                let wait = if placed.is_some() {
                    inner.cells.retry_after
                } else {
                    NO_LEASE_RETRY_AFTER
                };
                inner.finish(id, Decision::Reject(wait), calls);
            }),
        }
        PendingDecision { id, verdicts }
    }

    /// Takes a connection that was open at a server before this process started.
    pub fn adopt_connection(
        &self,
        request: Request,
        server: EndpointId,
        flow: Arc<dyn RequestHandle>,
    ) -> RequestId {
        let mut inner = self.lock();
        let at = inner.part_of(server);
        let (id, _) = inner.admit(flow, server, true, at, &request);
        if inner.by_cell[inner.cells.map.home(request.group).0] != at && !inner.cells.map.is_empty()
        {
            // Its site was being moved when another process had it: this one goes on with that.
            inner.moves.push_back(id);
        }
        self.act(inner, |inner, now, calls| {
            inner.next_move(now);
            inner.handle(
                at,
                now,
                Event::Adopted {
                    request: Request { id, ..request },
                    endpoint: server,
                },
                calls,
            );
        });
        id
    }

    /// The attempt's connection is up. False if the request has had its final answer meanwhile: the
    /// attempt must then be dropped.
    pub fn connected(&self, id: RequestId, took: Micros) -> bool {
        let mut inner = self.lock();
        let Some(entry) = inner.entries.get_mut(&id).filter(|e| !e.answered) else {
            return false;
        };
        entry.answered = true;
        let (server, at) = (entry.server, entry.at);
        inner.parts[at].figures.connected += 1;
        self.feed(
            inner,
            at,
            Event::Connected {
                id,
                endpoint: server,
                elapsed: took,
            },
        );
        true
    }

    /// Reports how an attempt ended that did not come up; its verdict follows on the pick.
    pub fn attempt_failed(&self, id: RequestId, outcome: Outcome, report: Vec<f32>) {
        let inner = self.lock();
        let Some(entry) = inner.entries.get(&id) else {
            return;
        };
        let (server, last, at) = (entry.server, entry.answered, entry.at);
        self.feed(
            inner,
            at,
            Event::AttemptEnded {
                id,
                endpoint: server,
                outcome,
                request_finished: last,
                report,
            },
        );
    }

    /// Reports the end of a connection that was up; nothing more follows.
    pub fn connection_ended(&self, id: RequestId, outcome: Outcome, report: Vec<f32>) {
        let mut inner = self.lock();
        let Some(entry) = inner.dismiss(id) else {
            return;
        };
        self.feed(
            inner,
            entry.at,
            Event::AttemptEnded {
                id,
                endpoint: entry.server,
                outcome,
                request_finished: true,
                report,
            },
        );
    }

    /// The client has left before its answer. Nothing more is owed; an attempt still out must be
    /// reported all the same.
    pub fn client_disconnected(&self, id: RequestId) {
        let mut inner = self.lock();
        let Some(entry) = inner.entries.get_mut(&id).filter(|e| !e.answered) else {
            return;
        };
        entry.answered = true;
        let _ = entry.verdicts.try_send(Decision::Withdrawn);
        let (at, flow) = (entry.at, entry.flow.clone());
        self.act(inner, |inner, now, calls| {
            calls.push(Call::Decision(flow));
            inner.handle(at, now, Event::ClientDisconnected(id), calls);
        });
    }

    /// Whether a request is still owed its answer.
    pub fn awaits_answer(&self, id: RequestId) -> bool {
        self.lock().entries.get(&id).is_some_and(|e| !e.answered)
    }

    /// A request's answer is owed by then, where it was owed later: this process stops.
    pub fn shorten_deadline(&self, id: RequestId, by: Micros) {
        let inner = self.lock();
        let Some(at) = inner.entries.get(&id).filter(|e| !e.answered).map(|e| e.at) else {
            return;
        };
        self.feed(inner, at, Event::ShortenDeadline { id, deadline: by });
    }

    /// How many listed servers are avoided now.
    pub fn unavailable_endpoints(&self) -> usize {
        let now = self.now();
        self.lock()
            .parts
            .iter()
            .map(|part| part.balancer.unavailable_endpoints(now))
            .sum()
    }

    /// Forgets a request that has had its final verdict.
    pub fn remove(&self, id: RequestId) {
        self.lock().dismiss(id);
    }

    /// Passes on news of an open connection.
    pub fn record_sample(&self, id: RequestId, note: ConnectionSample) {
        let inner = self.lock();
        let Some(entry) = inner.entries.get(&id) else {
            return;
        };
        let at = entry.at;
        let event = match note {
            ConnectionSample::Load(load) => Event::LoadSample {
                id,
                endpoint: entry.server,
                load,
            },
            ConnectionSample::Delay(took) => Event::DelaySample {
                id,
                endpoint: entry.server,
                delay: took,
            },
        };
        self.feed(inner, at, event);
    }

    /// Passes on what a probe found.
    pub fn health_checked(&self, server: EndpointId, outcome: Outcome, report: Vec<f32>) {
        let inner = self.lock();
        let at = inner.part_of(server);
        self.feed(
            inner,
            at,
            Event::HealthCheck {
                endpoint: server,
                outcome,
                report,
            },
        );
    }

    /// Passes on news of the fleet: to each cell those of its own servers.
    pub fn update_endpoints(&self, kind: EndpointListKind, members: Vec<ListedEndpoint>) {
        self.act(self.lock(), |inner, now, calls| {
            inner.list(kind, members, now, calls)
        });
    }

    /// New settings hold from now on.
    pub fn update_settings(&self, settings: Settings) {
        self.act(self.lock(), |inner, now, calls| {
            inner.settings = settings.clone();
            for at in 0..inner.parts.len() {
                inner.handle(at, now, Event::Settings(settings.clone()), calls);
            }
        });
    }

    /// Staff have taken a server out, or called it back.
    pub fn set_manual_ejection(&self, server: EndpointId, out_of_use: bool) {
        let mut inner = self.lock();
        if out_of_use {
            inner.by_hand.insert(server);
        } else {
            inner.by_hand.remove(&server);
        }
        inner.count_servers();
        let at = inner.part_of(server);
        self.feed(
            inner,
            at,
            Event::ManualEjection {
                endpoint: server,
                ejected: out_of_use,
            },
        );
    }

    /// Other cells hold from now on. Servers that change theirs drain in the old one; connections whose site has
    /// another are moved little by little, each once.
    pub fn update_cells(&self, cells: Cells) {
        self.act(self.lock(), |inner, now, calls| {
            inner.adopt_cells(cells, now, calls)
        });
    }

    /// From now on a connection is moved to its site's new cell only where the fleet has permitted one more.
    pub fn pace_migrations(&self) {
        self.lock().permitted.get_or_insert(0);
    }

    /// So many moves may have been made since the start. A lower number than before changes nothing.
    pub fn permit_migrations(&self, upto: u64) {
        self.act(self.lock(), |inner, now, _| {
            inner.permitted = inner.permitted.map(|before| before.max(upto));
            inner.next_move(now);
        });
    }

    /// How the fleet's moves are here, where it paces them: connections that wait, moves made and permitted since the
    /// start, and how many a second the whole fleet may make.
    pub fn migration_status(&self) -> Option<(u64, u64, u64, u64)> {
        let inner = self.lock();
        let rate = SECOND / inner.cells.move_pause.max(1);
        inner
            .permitted
            .map(|permitted| (inner.moves.len() as u64, inner.made, permitted, rate))
    }

    /// What is counted of each cell, and how many connections still wait to be moved to another one.
    pub fn cell_metrics(&self) -> (Vec<CellMetrics>, usize) {
        let mut inner = self.lock();
        inner.count_servers();
        let figures = inner
            .by_cell
            .iter()
            .map(|at| inner.parts[*at].figures.clone())
            .collect();
        (figures, inner.moves.len())
    }

    /// Fires the timers that are due and sleeps until the next one, or until an earlier one is set.
    pub fn fire_timers_and_sleep(&self) {
        let (inner, due) = self.fired();
        let wait = due.map_or(IDLE, |at| {
            Duration::from_micros(at.saturating_sub(self.now())).min(IDLE)
        });
        drop(self.sooner.wait_timeout(inner, wait));
    }

    /// Fires the timers that are due; when the next one is.
    pub fn fire_timers(&self) -> Option<Micros> {
        self.fired().1
    }

    fn fired(&self) -> (MutexGuard<'_, Inner>, Option<Micros>) {
        loop {
            let mut inner = self.lock();
            let due = inner.timers.peek().map(|t| t.0 .0);
            if due.is_none_or(|at| at > self.now()) {
                return (inner, due);
            }
            let (at, token) = inner.timers.pop().map_or((0, 0), |t| (t.0 .1, t.0 .2));
            match at {
                MOVES => self.act(inner, Inner::move_one),
                at => self.feed(inner, at, Event::Timer(token)),
            }
        }
    }
}

/// A request that waits for its verdicts.
pub struct PendingDecision {
    /// The request's id.
    pub id: RequestId,
    verdicts: Receiver<Decision>,
}

impl PendingDecision {
    /// Blocks until the next verdict.
    pub fn wait(&self) -> Decision {
        self.verdicts.recv().unwrap_or(Decision::Withdrawn)
    }

    /// The next verdict, where there is one.
    pub fn try_next(&self) -> Option<Decision> {
        match self.verdicts.try_recv() {
            Ok(verdict) => Some(verdict),
            Err(TryRecvError::Empty) => None,
            Err(TryRecvError::Disconnected) => Some(Decision::Withdrawn),
        }
    }
}

impl Part {
    fn new(name: &str, settings: Settings, seed: u64) -> Part {
        let figures = CellMetrics {
            name: name.into(),
            ..CellMetrics::default()
        };
        Part {
            name: name.into(),
            balancer: Balancer::new(settings, seed),
            figures,
        }
    }
}

impl Inner {
    fn admit(
        &mut self,
        flow: Arc<dyn RequestHandle>,
        server: EndpointId,
        answered: bool,
        at: usize,
        request: &Request,
    ) -> (RequestId, Receiver<Decision>) {
        let (verdicts, mailbox) = bounded(MAILBOX);
        self.next_id = self.next_id.wrapping_add(1);
        while self.entries.contains_key(&RequestId(self.next_id)) {
            self.next_id = self.next_id.wrapping_add(1);
        }
        let id = RequestId(self.next_id);
        let borrowed = false;
        let request = Request {
            id,
            ..request.clone()
        };
        self.entries.insert(
            id,
            Entry {
                at,
                request,
                borrowed,
                verdicts,
                flow,
                server,
                attempts: 0,
                answered,
            },
        );
        self.parts[at].figures.in_flight += 1;
        (id, mailbox)
    }

    /// Forgets a request or connection.
    fn dismiss(&mut self, id: RequestId) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        let figures = &mut self.parts[entry.at].figures;
        figures.in_flight -= 1;
        figures.borrowed -= u32::from(entry.borrowed);
        Some(entry)
    }

    /// Where a new request of a group goes. One cell alone asks nobody: its balancer knows better.
    fn place(&self, group: u64) -> Placed {
        if self.cells.map.is_empty() {
            return Placed::At(0);
        }
        let each = |of: fn(&CellMetrics) -> u32| -> Vec<u32> {
            self.by_cell
                .iter()
                .map(|at| of(&self.parts[*at].figures))
                .collect()
        };
        let (home, _) = self.cells.map.home(group);
        // The common case looks at one cell, however many there are.
        if self.parts[self.by_cell[home]].figures.usable {
            return Placed::At(home);
        }
        let usable: Vec<bool> = each(|f| u32::from(f.usable))
            .into_iter()
            .map(|u| u > 0)
            .collect();
        self.cells.map.place(group, &usable, &each(|f| f.borrowed))
    }

    /// A server's part, as listed; as the map has it where it is not.
    fn part_of(&self, server: EndpointId) -> usize {
        let listed = self.members.get(&server).map(|(_, at)| *at);
        listed.unwrap_or_else(|| self.by_cell[self.cells.map.of_server(server)])
    }

    /// Counts each cell's servers anew.
    fn count_servers(&mut self) {
        for part in &mut self.parts {
            (part.figures.endpoints, part.figures.usable) = (0, false);
        }
        for (server, (member, at)) in &self.members {
            let figures = &mut self.parts[*at].figures;
            figures.endpoints += 1;
            figures.usable |=
                member.state == EndpointState::Ready && !self.by_hand.contains(server);
        }
    }

    fn list(
        &mut self,
        kind: EndpointListKind,
        members: Vec<ListedEndpoint>,
        now: Micros,
        calls: &mut Vec<Call>,
    ) {
        if matches!(kind, EndpointListKind::Full | EndpointListKind::Cached) {
            self.members.clear();
        }
        let mut news: Vec<Vec<ListedEndpoint>> = vec![Vec::new(); self.parts.len()];
        for member in members {
            let at = self.part_of(member.id);
            match member.state {
                EndpointState::Removed => drop(self.members.remove(&member.id)),
                _ => drop(self.members.insert(member.id, (member.clone(), at))),
            }
            news[at].push(member);
        }
        self.count_servers();
        // Each hears of each list, also of one that names none of its servers: that it came is news too.
        for (at, members) in news.into_iter().enumerate() {
            self.handle(
                at,
                now,
                Event::EndpointList {
                    kind,
                    endpoints: members,
                },
                calls,
            );
        }
    }

    fn adopt_cells(&mut self, cells: Cells, now: Micros, calls: &mut Vec<Call>) {
        if cells.map == self.cells.map {
            self.cells = cells;
            return;
        }
        let known = self.parts.len();
        self.by_cell = (0..cells.map.len())
            .map(|cell| {
                let name = cells.map.name(cell);
                self.parts
                    .iter()
                    .position(|part| part.name == name)
                    .unwrap_or_else(|| {
                        let seed = self.seed ^ (self.parts.len() as u64).rotate_left(32);
                        self.parts
                            .push(Part::new(name, self.settings.clone(), seed));
                        self.parts
                            .iter_mut()
                            .last()
                            .into_iter()
                            .for_each(|part| part.balancer.set_parameters(self.tuning));
                        self.parts.len() - 1
                    })
            })
            .collect();
        self.cells = cells;
        let stay = self.take_along(now, calls);
        // A new part begins with the list as it is; others hear what has changed.
        let mut news: Vec<Vec<ListedEndpoint>> = vec![Vec::new(); self.parts.len()];
        let mut banned = Vec::new();
        for (server, (member, at)) in &mut self.members {
            let to = self.by_cell[self.cells.map.of_server(*server)];
            if to != *at {
                if self.by_hand.contains(server) {
                    banned.push((*at, *server));
                }
                // Where nothing stands there is nothing to drain.
                let holds = self.parts[*at].figures.in_flight > 0;
                let state = if holds {
                    EndpointState::Draining
                } else {
                    EndpointState::Removed
                };
                news[*at].push(ListedEndpoint {
                    state,
                    ..member.clone()
                });
                news[to].push(member.clone());
                *at = to;
            }
        }
        self.count_servers();
        for (at, members) in news.into_iter().enumerate() {
            let kind = if at < known {
                EndpointListKind::Delta
            } else {
                EndpointListKind::Full
            };
            self.handle(
                at,
                now,
                Event::EndpointList {
                    kind,
                    endpoints: members,
                },
                calls,
            );
        }
        // A ban goes with its server: the call back will not reach the old cell, to which it may come again.
        for (at, server) in banned {
            self.handle(
                at,
                now,
                Event::ManualEjection {
                    endpoint: server,
                    ejected: false,
                },
                calls,
            );
        }
        for server in self.by_hand.clone() {
            let at = self.part_of(server);
            self.handle(
                at,
                now,
                Event::ManualEjection {
                    endpoint: server,
                    ejected: true,
                },
                calls,
            );
        }
        for id in stay {
            let Some(entry) = self.entries.get(&id) else {
                continue;
            };
            let (at, server, request) = (entry.at, entry.server, entry.request.clone());
            self.handle(
                at,
                now,
                Event::Adopted {
                    request,
                    endpoint: server,
                },
                calls,
            );
        }
        // Whoever stands elsewhere than its site lives now. Borrowed ones as well: their time there is over.
        let (map, by_cell) = (&self.cells.map, &self.by_cell);
        let away = |(id, e): (&RequestId, &Entry)| {
            (by_cell[map.home(e.request.group).0] != e.at).then_some(*id)
        };
        self.moves = self
            .entries
            .iter()
            .filter(|(_, e)| e.answered)
            .filter_map(away)
            .collect();
        self.next_move(now);
    }

    /// Connections whose server goes to the cell that their site has now, too: they stand where they belong, and change
    /// the balancer, not the server. Found by the fault laboratory: after an upgrade the new process, which knew no
    /// policy yet, took connections over under one cell, and moved each of them once it had the policy of the fleet.
    fn take_along(&mut self, now: Micros, calls: &mut Vec<Call>) -> Vec<RequestId> {
        let (map, by_cell, members) = (&self.cells.map, &self.by_cell, &self.members);
        let stays = |e: &Entry| {
            let listed = members.contains_key(&e.server);
            let to = by_cell[map.of_server(e.server)];
            (e.answered && listed && to != e.at && to == by_cell[map.home(e.request.group).0])
                .then_some(to)
        };
        let stay: Vec<(RequestId, usize)> = self
            .entries
            .iter()
            .filter_map(|(id, e)| Some((*id, stays(e)?)))
            .collect();
        for (id, to) in &stay {
            let Some(entry) = self.entries.get_mut(id) else {
                continue;
            };
            let (from, server, borrowed) =
                (entry.at, entry.server, std::mem::take(&mut entry.borrowed));
            entry.at = *to;
            self.parts[from].figures.in_flight -= 1;
            self.parts[from].figures.borrowed -= u32::from(borrowed);
            self.parts[*to].figures.in_flight += 1;
            let event = Event::AttemptEnded {
                id: *id,
                endpoint: server,
                outcome: Outcome::Cancelled,
                request_finished: true,
                report: Vec::new(),
            };
            self.handle(from, now, event, calls);
        }
        stay.into_iter().map(|(id, _)| id).collect()
    }

    /// Sets the timer of the next move, where one waits and none is set.
    fn next_move(&mut self, now: Micros) {
        let may = self.permitted.is_none_or(|permitted| self.made < permitted);
        if may && !self.moves.is_empty() && !std::mem::replace(&mut self.moving, true) {
            self.timers
                .push(Reverse((now + self.cells.move_pause, MOVES, 0)));
        }
    }

    /// Moves the next connection whose site has another cell, unless that cell can take nobody: then it waits.
    fn move_one(&mut self, now: Micros, calls: &mut Vec<Call>) {
        self.moving = false;
        while let Some(id) = self.moves.pop_front() {
            let Some(entry) = self.entries.get(&id) else {
                continue;
            };
            let home = self.by_cell[self.cells.map.home(entry.request.group).0];
            if home == entry.at {
                continue;
            }
            if self.parts[home].figures.usable {
                self.made += 1;
                calls.push(Call::Relocate(entry.flow.clone()));
            } else {
                self.moves.push_back(id);
            }
            break;
        }
        self.next_move(now);
    }

    fn handle(&mut self, at: usize, now: Micros, event: Event, calls: &mut Vec<Call>) {
        let mut actions = std::mem::take(&mut self.actions);
        if let Err(unknown) = self.parts[at].balancer.handle(now, event, &mut actions) {
            calls.push(Call::Log(format!("decide: {unknown}")));
        }
        for action in actions.drain(..) {
            self.carry_out(at, action, calls);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, part: usize, action: Action, calls: &mut Vec<Call>) {
        match action {
            Action::Attempt {
                id,
                endpoint: server,
                give_up_at: until,
            } => {
                let cold_budget = self.parts[part].balancer.warm_up_budget(server);
                let listed = self.members.get(&server).map(|(member, _)| member);
                tracing::debug!(server = server.0, ?cold_budget, ?listed, "send");
                let Some(e) = self.entries.get_mut(&id) else {
                    return;
                };
                let number = e.attempts;
                e.attempts += 1;
                e.server = server;
                let _ = e.verdicts.try_send(Decision::Attempt {
                    endpoint: server,
                    give_up_at: until,
                    number,
                });
                calls.push(Call::Decision(e.flow.clone()));
            }
            Action::Reject {
                id,
                retry_after: wait,
            } => self.finish(id, Decision::Reject(wait), calls),
            Action::Fail(id) => self.finish(id, Decision::Fail, calls),
            Action::CancelAttempt { id, attempt } => {
                let flow = self.entries.get(&id).map(|e| e.flow.clone());
                calls.extend(flow.map(|f| Call::GiveUp(f, attempt)));
            }
            Action::Migrate(id) => {
                let flow = self.entries.get(&id).map(|e| e.flow.clone());
                calls.extend(flow.map(Call::Relocate));
            }
            Action::SetTimer { at, token } => self.timers.push(Reverse((at, part, token))),
            // There is one watch; what the first balancer hears of it they all hear, and so it asks for all.
            Action::WatchEndpointList(on) if part == 0 => (self.orders.watch_endpoint_list)(on),
            Action::WatchEndpointList(_) => {}
            Action::CheckHealth(server) => {
                // A prober that is behind must not be waited for: the probe has failed.
                if self.orders.check_health.try_send(server).is_err() {
                    calls.push(Call::Log(
                        "decide: a probe was dropped, the prober is behind".into(),
                    ));
                }
            }
            Action::Log(line) => calls.push(Call::Log(line)),
        }
    }

    fn finish(&mut self, id: RequestId, verdict: Decision, calls: &mut Vec<Call>) {
        let Some(e) = self.entries.get_mut(&id).filter(|e| !e.answered) else {
            return;
        };
        e.answered = true;
        let figures = &mut self.parts[e.at].figures;
        match verdict {
            Decision::Reject(_) => figures.rejected += 1,
            Decision::Fail => figures.failed += 1,
            Decision::Attempt { .. } | Decision::Withdrawn => {}
        }
        let _ = e.verdicts.try_send(verdict);
        calls.push(Call::Decision(e.flow.clone()));
    }
}

/// The longest that a request may ask for.
pub const MAX_REQUEST_DEADLINE: Micros = 3600 * SECOND;
