//! Model of backends with speeds, warm-up, group costs and crashes; an endpoint list that is
//! seconds late; clients that connect, stay, retry and reconnect; and relays that share no state.

use jaspermoor::cells::{CellMap, Placement};
use jaspermoor::decisions::api::{
    Action, Class, EndpointId, EndpointListKind, EndpointState, Event, Idempotency, ListedEndpoint,
    Micros, Outcome, ReportColumn, Request, RequestId, Settings, SECOND,
};
use jaspermoor::Balancer;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::Xxh3;

/// Interval of the statistics.
const STEP: Micros = SECOND / 5;
/// Cost to a backend of each group with a connection to it, in mean loads (the operators' value).
const GROUP_COST: f64 = 3.0;
/// A backend whose load exceeds its current capacity by this factor ...
const OVERLOAD_FACTOR: f64 = 2.5;
/// ... for this time crashes ...
const OVERLOAD_WINDOW: Micros = 3 * SECOND;
/// ... and restarts cold after this time.
const DOWNTIME: Micros = 12 * SECOND;
/// Share of its capacity with which a cold backend starts, and time until it has all of it.
const INITIAL_WARMTH: f64 = 0.13;
const WARM_UP_TIME: Micros = 23 * SECOND;
/// Mean lifetime of a connection, in seconds.
const MEAN_LIFE_S: f64 = 40.0;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of backends; they are spread over three zones.
    pub backends: usize,
    /// Number of relays.
    pub relays: usize,
    /// Number of groups. The size of a group is proportional to rank^-`size_exponent`.
    pub groups: usize,
    /// See `groups`.
    pub size_exponent: f64,
    /// Mean load divided by the capacity of all backends.
    pub load: f64,
    /// Length of the run.
    pub length: Micros,
    /// The poisoned group: its number, the factor by which its connections become heavier, and the
    /// start and end of that time.
    pub poison: Option<(usize, f64, Micros, Micros)>,
    /// The cells.
    pub cells: CellMap,
    /// Longest delay of the endpoint list.
    pub list_delay: Micros,
}

/// Statistics of a group.
#[derive(Clone, Debug, Default)]
pub struct GroupService {
    /// Seconds of service that its clients asked for and got, without those of the start of the
    /// run.
    pub asked: f64,
    /// See `asked`.
    pub served: f64,
    /// Backends that ever had a connection of the group.
    pub backends: BTreeSet<usize>,
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Statistics by group.
    pub groups: Vec<GroupService>,
    /// Number of crashes of overloaded backends.
    pub crashes: usize,
    /// Number of rejected requests.
    pub rejected: u64,
    /// Share of the backends that ever had a connection of the poisoned group.
    pub reach: f64,
    /// Number of events handled.
    pub events: u64,
    /// Hash over all events.
    pub digest: u64,
}

struct Backend {
    id: EndpointId,
    zone: u16,
    /// Capacity when warm, in mean loads.
    capacity: f64,
    /// When it last started; `None` while it is down.
    up_since: Option<Micros>,
    /// When it last started cold; `None` if it has been warm since before the run.
    cold_start_at: Option<Micros>,
    overloaded_since: Option<Micros>,
    clients: BTreeSet<usize>,
    /// Connections by group; a group's cost counts once.
    groups: BTreeMap<usize, usize>,
    load: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Disconnected,
    Requesting,
    Established(usize),
}

struct Client {
    group: usize,
    load: f64,
    phase: Phase,
    /// Relay, cell and id of its current request or connection.
    request_at: (usize, usize, RequestId),
    /// Number of its current try or connection; events of an earlier one are ignored.
    try_number: u32,
    failed_tries: u32,
    returning: bool,
}

struct Relay {
    balancers: Vec<Balancer>,
    usable_cells: Vec<bool>,
    /// Requests and connections by cell whose group has its home in another cell.
    borrowed: Vec<u32>,
    requests: BTreeMap<RequestId, usize>,
    last_request_id: u32,
}

enum SimEvent {
    ClientConnects(usize, u32),
    AttemptArrives {
        relay: usize,
        cell: usize,
        id: RequestId,
        backend: usize,
    },
    AttemptAnswered {
        relay: usize,
        cell: usize,
        id: RequestId,
        backend: usize,
        up: bool,
    },
    Timer(usize, usize, u64),
    ClientLeaves(usize, u32),
    ListUpdate(usize),
    ProbeArrives {
        relay: usize,
        cell: usize,
        backend: usize,
    },
    PoisonChanges(bool),
    BackendRestarts(usize),
    Step,
}

/// State of one run.
pub struct Simulation {
    plan: Plan,
    rng: ChaCha8Rng,
    now: Micros,
    queue: BTreeMap<(Micros, u64), SimEvent>,
    last_event: u64,
    backends: Vec<Backend>,
    backend_by_id: BTreeMap<EndpointId, usize>,
    clients: Vec<Client>,
    relays: Vec<Relay>,
    group_service: Vec<GroupService>,
    poisoned: bool,
    crashes: usize,
    rejected: u64,
    events: u64,
    digest: Xxh3,
}

fn settings(relays: usize) -> Settings {
    let class = Class {
        setup_objective: SECOND / 2,
        deadline: 2 * SECOND,
        idempotency: Idempotency::Idempotent,
        message_objective: SECOND / 10,
    };
    Settings {
        balancer_count: relays as u32,
        classes: vec![class],
        may_check_health: true,
        max_attempts: 6,
        max_retry_after: SECOND,
        report_columns: vec![ReportColumn::Load],
        drain_grace: SECOND / 4,
        initial_capacity: INITIAL_WARMTH as f32,
        warm_up_time: WARM_UP_TIME,
        overload_factor: OVERLOAD_FACTOR as f32,
        overload_window: OVERLOAD_WINDOW,
        ..Settings::default()
    }
}

impl Simulation {
    /// Prepares a run.
    pub fn new(plan: Plan) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let backends: Vec<Backend> = (0..plan.backends)
            .map(|n| Backend {
                id: EndpointId(rng.random()),
                zone: (n % 3) as u16,
                capacity: 4.0 * rng.random_range(0.9..1.6) * 17.0,
                up_since: Some(0),
                cold_start_at: None,
                overloaded_since: None,
                clients: BTreeSet::new(),
                groups: BTreeMap::new(),
                load: 0.0,
            })
            .collect();
        let backend_by_id = backends
            .iter()
            .enumerate()
            .map(|(n, b)| (b.id, n))
            .collect();
        // As many clients as give the load, in groups of decreasing size.
        let target_load: f64 = backends.iter().map(|b| b.capacity).sum::<f64>() * plan.load;
        let weights: Vec<f64> = (0..plan.groups)
            .map(|n| ((n + 1) as f64).powf(-plan.size_exponent))
            .collect();
        let total_weight: f64 = weights.iter().sum();
        let mut clients = Vec::new();
        for (group, weight) in weights.iter().enumerate() {
            // A group's cost is part of its load.
            let client_count =
                ((target_load * weight / total_weight - GROUP_COST).round() as usize).max(1);
            for _ in 0..client_count {
                let load = rng.random_range(0.5..1.5);
                let request_at = (0, 0, RequestId(0));
                clients.push(Client {
                    group,
                    load,
                    phase: Phase::Disconnected,
                    request_at,
                    try_number: 0,
                    failed_tries: 0,
                    returning: false,
                });
            }
        }
        let cells = plan.cells.cell_count();
        let relays = (0..plan.relays)
            .map(|_| Relay {
                balancers: (0..cells)
                    .map(|_| Balancer::new(settings(plan.relays), rng.random()))
                    .collect(),
                usable_cells: vec![false; cells],
                borrowed: vec![0; cells],
                requests: BTreeMap::new(),
                last_request_id: 0,
            })
            .collect();
        let group_service = vec![GroupService::default(); plan.groups];
        let queue = BTreeMap::new();
        let mut simulation = Simulation {
            plan,
            rng,
            now: 0,
            queue,
            last_event: 0,
            backends,
            backend_by_id,
            clients,
            relays,
            group_service,
            poisoned: false,
            crashes: 0,
            rejected: 0,
            events: 0,
            digest: Xxh3::new(),
        };
        for relay in 0..simulation.relays.len() {
            simulation.send_list(relay);
        }
        for client in 0..simulation.clients.len() {
            let at = simulation.rng.random_range(0..8 * SECOND);
            simulation.schedule_in(at, SimEvent::ClientConnects(client, 0));
        }
        simulation.schedule_in(STEP, SimEvent::Step);
        if let Some((_, _, from, to)) = simulation.plan.poison {
            simulation.schedule_in(from, SimEvent::PoisonChanges(true));
            simulation.schedule_in(to, SimEvent::PoisonChanges(false));
        }
        simulation
    }

    fn schedule_in(&mut self, after: Micros, event: SimEvent) {
        self.last_event += 1;
        self.queue
            .insert((self.now + after, self.last_event), event);
    }

    /// Handles events until the end of the run.
    pub fn run(mut self) -> Report {
        while let Some(((at, sequence), event)) = self.queue.pop_first() {
            if at > self.plan.length {
                break;
            }
            (self.now, self.events) = (at, self.events + 1);
            self.digest.update(&at.to_le_bytes());
            self.digest.update(&sequence.to_le_bytes());
            self.handle(event);
        }
        let poisoned_backends = self
            .plan
            .poison
            .map(|(group, ..)| self.group_service[group].backends.len())
            .unwrap_or(0);
        Report {
            reach: poisoned_backends as f64 / self.backends.len() as f64,
            groups: self.group_service,
            crashes: self.crashes,
            rejected: self.rejected,
            events: self.events,
            digest: self.digest.digest(),
        }
    }

    fn listed_endpoint(&self, backend: usize) -> ListedEndpoint {
        let b = &self.backends[backend];
        let state = if b.up_since.is_some() {
            EndpointState::Ready
        } else {
            EndpointState::Removed
        };
        ListedEndpoint {
            id: b.id,
            zone: b.zone,
            cell: 0,
            state,
            size: 1.0,
            started_at: b.cold_start_at,
        }
    }

    /// Gives a relay the current endpoint list.
    fn send_list(&mut self, relay: usize) {
        let all: Vec<ListedEndpoint> = (0..self.backends.len())
            .map(|n| self.listed_endpoint(n))
            .collect();
        for cell in 0..self.relays[relay].balancers.len() {
            let in_cell = |e: &&ListedEndpoint| {
                e.state == EndpointState::Ready && self.plan.cells.cell_of_endpoint(e.id) == cell
            };
            let endpoints: Vec<ListedEndpoint> = all.iter().filter(in_cell).cloned().collect();
            self.relays[relay].usable_cells[cell] = !endpoints.is_empty();
            self.deliver(
                relay,
                cell,
                Event::EndpointList {
                    kind: EndpointListKind::Full,
                    endpoints,
                },
            );
        }
    }

    /// Passes an event to a balancer and carries out the actions it returns.
    fn deliver(&mut self, relay: usize, cell: usize, event: Event) {
        let mut actions = Vec::new();
        // Errors are ignored: they concern requests that have already ended.
        let _ = self.relays[relay].balancers[cell].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Attempt { id, endpoint, .. } => {
                    let backend = self.backend_by_id[&endpoint];
                    let delay = self.rng.random_range(300..900);
                    self.schedule_in(
                        delay,
                        SimEvent::AttemptArrives {
                            relay,
                            cell,
                            id,
                            backend,
                        },
                    );
                }
                Action::Reject { id, retry_after } => self.reject(relay, cell, id, retry_after),
                Action::Fail(id) => self.reject(relay, cell, id, 0),
                Action::Migrate(id) => self.migrate(relay, id),
                Action::SetTimer { at, token } => {
                    let after = at.saturating_sub(self.now).max(1);
                    self.schedule_in(after, SimEvent::Timer(relay, cell, token));
                }
                Action::CheckHealth(endpoint) => {
                    let backend = self.backend_by_id[&endpoint];
                    let delay = self.rng.random_range(1_000..3_000);
                    self.schedule_in(
                        delay,
                        SimEvent::ProbeArrives {
                            relay,
                            cell,
                            backend,
                        },
                    );
                }
                Action::CancelAttempt { .. } | Action::WatchEndpointList(_) | Action::Log(_) => {}
            }
        }
    }

    /// Removes a request or connection that has ended and returns its client.
    fn finish_request(&mut self, relay: usize, cell: usize, id: RequestId) -> Option<usize> {
        let client = self.relays[relay].requests.remove(&id)?;
        let home = self
            .plan
            .cells
            .home(self.clients[client].group as u64 + 1)
            .0;
        self.relays[relay].borrowed[cell] -= u32::from(home != cell);
        Some(client)
    }

    fn reject(&mut self, relay: usize, cell: usize, id: RequestId, wait: Micros) {
        let Some(client) = self.finish_request(relay, cell, id) else {
            return;
        };
        self.rejected += 1;
        self.reconnect_later(client, wait);
    }

    /// Schedules a rejected client's next try; after three failures in a row it pauses for longer.
    fn reconnect_later(&mut self, client: usize, wait: Micros) {
        let pause = self.rng.random_range(2 * SECOND..6 * SECOND);
        let jitter = self.rng.random_range(50_000..400_000);
        let c = &mut self.clients[client];
        (c.phase, c.try_number, c.failed_tries) =
            (Phase::Disconnected, c.try_number + 1, c.failed_tries + 1);
        let (try_number, pauses) = (c.try_number, c.failed_tries > 2);
        if pauses {
            c.failed_tries = 0;
        }
        self.schedule_in(
            if pauses { pause } else { wait + jitter },
            SimEvent::ClientConnects(client, try_number),
        );
    }

    fn migrate(&mut self, relay: usize, id: RequestId) {
        let Some(client) = self.relays[relay].requests.get(&id).copied() else {
            return;
        };
        self.end_connection(client, Outcome::Cancelled);
        let c = &mut self.clients[client];
        c.returning = true;
        let try_number = c.try_number;
        let delay = self.rng.random_range(94_000..1_800_000);
        self.schedule_in(delay, SimEvent::ClientConnects(client, try_number));
    }

    /// Ends an established connection.
    fn end_connection(&mut self, client: usize, outcome: Outcome) {
        let Phase::Established(backend) = self.clients[client].phase else {
            return;
        };
        let (relay, cell, id) = self.clients[client].request_at;
        let c = &mut self.clients[client];
        (c.phase, c.try_number, c.failed_tries) = (Phase::Disconnected, c.try_number + 1, 0);
        let (group, b) = (c.group, &mut self.backends[backend]);
        b.clients.remove(&client);
        if let Some(n) = b.groups.get_mut(&group) {
            *n -= 1;
            if *n == 0 {
                b.groups.remove(&group);
            }
        }
        self.finish_request(relay, cell, id);
        let endpoint = self.backends[backend].id;
        self.deliver(
            relay,
            cell,
            Event::AttemptEnded {
                id,
                endpoint,
                outcome,
                request_finished: true,
                report: Vec::new(),
            },
        );
    }

    fn connection_load(&self, client: usize) -> f64 {
        let c = &self.clients[client];
        let poison = self
            .plan
            .poison
            .filter(|(group, ..)| self.poisoned && *group == c.group);
        c.load * poison.map_or(1.0, |(_, factor, ..)| factor)
    }

    fn warmth(&self, backend: usize) -> f64 {
        let b = &self.backends[backend];
        match (b.up_since, b.cold_start_at) {
            (None, _) => 0.0,
            (Some(_), None) => 1.0,
            (Some(up), Some(_)) => {
                let share = (self.now - up) as f64 / WARM_UP_TIME as f64;
                (INITIAL_WARMTH + (1.0 - INITIAL_WARMTH) * share).min(1.0)
            }
        }
    }

    /// Load of a backend divided by its current capacity.
    fn utilization(&self, backend: usize) -> f64 {
        let b = &self.backends[backend];
        b.load / (b.capacity * self.warmth(backend)).max(0.1)
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::ClientConnects(client, try_number) => {
                self.client_connects(client, try_number)
            }
            SimEvent::AttemptArrives {
                relay,
                cell,
                id,
                backend,
            } => {
                // A stopped backend refuses the connection; a heavily overloaded one rejects it.
                let up = self.backends[backend].up_since.is_some();
                if up && self.utilization(backend) > 3.0 {
                    let (endpoint, report) = (
                        self.backends[backend].id,
                        vec![self.utilization(backend) as f32],
                    );
                    return self.deliver(
                        relay,
                        cell,
                        Event::AttemptEnded {
                            id,
                            endpoint,
                            outcome: Outcome::Rejected,
                            request_finished: false,
                            report,
                        },
                    );
                }
                let delay = (self.utilization(backend).max(1.0) * 4_000.0) as Micros;
                self.schedule_in(
                    delay,
                    SimEvent::AttemptAnswered {
                        relay,
                        cell,
                        id,
                        backend,
                        up,
                    },
                );
            }
            SimEvent::AttemptAnswered {
                relay,
                cell,
                id,
                backend,
                up,
            } => self.attempt_answered(relay, cell, id, backend, up),
            SimEvent::Timer(relay, cell, token) => self.deliver(relay, cell, Event::Timer(token)),
            SimEvent::ClientLeaves(client, try_number) => {
                if self.clients[client].try_number == try_number {
                    self.end_connection(client, Outcome::Success);
                    let pause = self.rng.random_range(50_000..SECOND);
                    let try_number = self.clients[client].try_number;
                    self.schedule_in(pause, SimEvent::ClientConnects(client, try_number));
                }
            }
            SimEvent::ListUpdate(relay) => self.send_list(relay),
            SimEvent::ProbeArrives {
                relay,
                cell,
                backend,
            } => {
                let endpoint = self.backends[backend].id;
                let noise = self.rng.random_range(0.92..1.08);
                let (outcome, report) = match self.backends[backend].up_since {
                    Some(_) => (
                        Outcome::Success,
                        vec![(self.utilization(backend) * noise) as f32],
                    ),
                    None => (Outcome::ConnectFailed, Vec::new()),
                };
                self.deliver(
                    relay,
                    cell,
                    Event::HealthCheck {
                        endpoint,
                        outcome,
                        report,
                    },
                );
            }
            SimEvent::PoisonChanges(on) => {
                self.poisoned = on;
                let group = self.plan.poison.map(|(group, ..)| group);
                let connected: Vec<usize> = (0..self.clients.len())
                    .filter(|c| {
                        Some(self.clients[*c].group) == group
                            && matches!(self.clients[*c].phase, Phase::Established(_))
                    })
                    .collect();
                connected
                    .into_iter()
                    .for_each(|client| self.send_load_sample(client));
            }
            SimEvent::BackendRestarts(backend) => {
                let b = &mut self.backends[backend];
                (b.up_since, b.cold_start_at, b.overloaded_since) =
                    (Some(self.now), Some(self.now.max(1)), None);
                self.announce_list_change();
            }
            SimEvent::Step => self.settle_step(),
        }
    }

    /// Schedules the updated list for all relays, each after a delay of its own.
    fn announce_list_change(&mut self) {
        for relay in 0..self.relays.len() {
            let delay =
                self.plan.list_delay / 2 + self.rng.random_range(0..=self.plan.list_delay / 2);
            self.schedule_in(delay, SimEvent::ListUpdate(relay));
        }
    }

    fn client_connects(&mut self, client: usize, try_number: u32) {
        if self.clients[client].try_number != try_number
            || self.clients[client].phase != Phase::Disconnected
        {
            return;
        }
        let relay = self.rng.random_range(0..self.relays.len());
        let group = self.clients[client].group as u64 + 1;
        let r = &mut self.relays[relay];
        let (cell, borrowed) = match self.plan.cells.place(group, &r.usable_cells, &r.borrowed) {
            Placement::Home(cell) => (cell, false),
            Placement::Borrowed(cell) => (cell, true),
            Placement::Rejected => {
                self.rejected += 1;
                return self.reconnect_later(client, SECOND);
            }
        };
        r.borrowed[cell] += u32::from(borrowed);
        r.last_request_id += 1;
        let id = RequestId(r.last_request_id);
        r.requests.insert(id, client);
        let c = &mut self.clients[client];
        (c.phase, c.request_at) = (Phase::Requesting, (relay, cell, id));
        let returning = std::mem::take(&mut c.returning) || c.failed_tries > 0;
        let request = Request {
            id,
            class: 0,
            client_key: client as u64 + 1,
            group,
            time_left: 2 * SECOND,
            returning,
            ..Request::default()
        };
        self.deliver(relay, cell, Event::Request(request));
    }

    fn attempt_answered(
        &mut self,
        relay: usize,
        cell: usize,
        id: RequestId,
        backend: usize,
        up: bool,
    ) {
        let endpoint = self.backends[backend].id;
        let Some(client) = self.relays[relay]
            .requests
            .get(&id)
            .copied()
            .filter(|c| self.clients[*c].phase == Phase::Requesting)
        else {
            // The request already has its final answer, so the attempt is cancelled.
            return self.deliver(
                relay,
                cell,
                Event::AttemptEnded {
                    id,
                    endpoint,
                    outcome: Outcome::Cancelled,
                    request_finished: true,
                    report: Vec::new(),
                },
            );
        };
        if !up || self.backends[backend].up_since.is_none() {
            return self.deliver(
                relay,
                cell,
                Event::AttemptEnded {
                    id,
                    endpoint,
                    outcome: Outcome::ConnectFailed,
                    request_finished: false,
                    report: Vec::new(),
                },
            );
        }
        let c = &mut self.clients[client];
        (c.phase, c.failed_tries) = (Phase::Established(backend), 0);
        let (group, try_number) = (c.group, c.try_number);
        self.backends[backend].clients.insert(client);
        *self.backends[backend].groups.entry(group).or_default() += 1;
        self.group_service[group].backends.insert(backend);
        let life_s = -self.rng.random::<f64>().max(1e-9).ln() * MEAN_LIFE_S;
        self.schedule_in(
            (life_s * SECOND as f64) as Micros + 1,
            SimEvent::ClientLeaves(client, try_number),
        );
        self.deliver(
            relay,
            cell,
            Event::Connected {
                id,
                endpoint,
                elapsed: 4_000,
            },
        );
        self.send_load_sample(client);
    }

    fn send_load_sample(&mut self, client: usize) {
        let Phase::Established(backend) = self.clients[client].phase else {
            return;
        };
        let (relay, cell, id) = self.clients[client].request_at;
        // A core has the capacity of 17 mean loads.
        let load = (self.connection_load(client) * SECOND as f64 / 17.0) as f32;
        let endpoint = self.backends[backend].id;
        self.deliver(relay, cell, Event::LoadSample { id, endpoint, load });
    }

    /// Updates loads, service and crashes, five times a second.
    fn settle_step(&mut self) {
        let seconds = STEP as f64 / SECOND as f64;
        for backend in 0..self.backends.len() {
            let b = &self.backends[backend];
            let load: f64 = b
                .clients
                .iter()
                .map(|client| self.connection_load(*client))
                .sum();
            self.backends[backend].load =
                load + GROUP_COST * self.backends[backend].groups.len() as f64;
        }
        // The first 15 seconds, in which the clients connect, do not count.
        let is_counted = self.now > 15 * SECOND;
        for client in 0..self
            .clients
            .len()
            .min(if is_counted { usize::MAX } else { 0 })
        {
            let share_served = match self.clients[client].phase {
                Phase::Established(backend) => (1.0 / self.utilization(backend)).min(1.0),
                _ => 0.0,
            };
            let group = &mut self.group_service[self.clients[client].group];
            group.asked += seconds;
            group.served += share_served * seconds;
        }
        for backend in 0..self.backends.len() {
            if self.backends[backend].up_since.is_none() {
                continue;
            }
            let overloaded = self.utilization(backend) > OVERLOAD_FACTOR;
            let since = match (overloaded, self.backends[backend].overloaded_since) {
                (true, since) => Some(since.unwrap_or(self.now)),
                (false, _) => None,
            };
            self.backends[backend].overloaded_since = since;
            if since.is_some_and(|since| self.now - since >= OVERLOAD_WINDOW) {
                self.crash(backend);
            }
        }
        self.schedule_in(STEP, SimEvent::Step);
    }

    fn crash(&mut self, backend: usize) {
        self.crashes += 1;
        self.backends[backend].up_since = None;
        let clients: Vec<usize> = self.backends[backend].clients.iter().copied().collect();
        for client in clients {
            self.end_connection(client, Outcome::Reset);
            let c = &mut self.clients[client];
            c.returning = true;
            let try_number = c.try_number;
            let delay = self.rng.random_range(94_000..1_800_000);
            self.schedule_in(delay, SimEvent::ClientConnects(client, try_number));
        }
        self.announce_list_change();
        self.schedule_in(DOWNTIME, SimEvent::BackendRestarts(backend));
    }
}
