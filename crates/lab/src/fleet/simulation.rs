//! Discrete-event simulation of a fleet: relays that run the production balancer, backends,
//! clients, discovery and the network between them, on a virtual clock. It reads and writes no
//! files.
//!
//! Time is in whole microseconds. Events with the same time are handled in the order in which they
//! were scheduled, so a run gives the same result on any machine and with any number of threads.
//! Every 100 ms the statistics are updated and the backends' work is settled.

use super::backend::{Backend, BackendState, LoadReport};
use super::policy::{Decider, Policy};
use super::rules::{RuleChecker, Violation};
use super::scenario::{draw_speed, micros, spread, DrawnTrouble, Scenario};
use super::stats::{Loss, Stats, Step};
use jaspermoor::cells::{CellMap, Placement};
use jaspermoor::decisions::api::{
    Action, EndpointId, EndpointListKind, EndpointState, Event, ListedEndpoint, Micros, Outcome,
    Request, RequestId, SECOND,
};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use xxhash_rust::xxh3::Xxh3;

/// Interval of the statistics; short compared with every window of the rules and the goal.
pub const STEP: Micros = SECOND / 10;
/// The relay closes a connection without traffic from its backend after this time, and the client
/// reconnects.
const SILENCE_LIMIT: Micros = 5 * SECOND;
/// Shutdown of a relay, from the order to stop: its connections are migrated at times spread from
/// `DRAIN_MIGRATES_FROM` to `DRAIN_MIGRATES_UNTIL`, and its process ends at `DRAIN_EXITS_AT`.
const DRAIN_MIGRATES_FROM: Micros = 450_000;
const DRAIN_MIGRATES_UNTIL: Micros = 2_220_000;
const DRAIN_EXITS_AT: Micros = 3_700_000;
/// Delay before a client reconnects after the load balancer in front of the relays sent it to a
/// stopped relay, which refuses the connection at once.
const DEAD_RELAY_RETRY: Micros = 100_000;
/// Messages are reported as slow from this share of the shortest message objective on, once a
/// second for each relay and backend.
const SLOW_MESSAGE_SHARE: f64 = 1.0 / 3.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientState {
    /// It has not connected yet, or has left for good.
    Inactive,
    /// Its next connection to a relay is scheduled.
    Waiting,
    /// Its request is pending: relay, request id (0 until the request has arrived).
    Requesting(usize, u32),
    /// It has an established connection: relay, request id, backend.
    Established(usize, u32, usize),
}

struct Client {
    group: usize,
    zone: usize,
    class: usize,
    key: u64,
    /// Current load; it varies around `base_load`.
    load: f64,
    base_load: f64,
    next_load_change: Micros,
    state: ClientState,
    /// Number of its current try to get a connection; events of an earlier try are ignored.
    try_number: u64,
    /// When it leaves for good.
    leaves_at: Micros,
    failures: u32,
    returning: bool,
    /// Why it has no connection.
    loss: Loss,
    requested_at: Micros,
    /// Since when its backend is unreachable from its relay.
    cut_since: Option<Micros>,
}

struct Pending {
    client: usize,
    try_number: u64,
    cell: usize,
    arrived_at: Micros,
    /// The attempt in progress: its number, its backend, the backend's incarnation.
    current_attempt: Option<(u32, usize, u32)>,
    attempts: u32,
    answered: bool,
    established: bool,
}

struct Relay {
    zone: usize,
    alive: bool,
    /// Whether the load balancer in front sends clients here.
    in_rotation: bool,
    stopping: bool,
    incarnation: u32,
    balancers: Vec<Decider>,
    pending: HashMap<u32, Pending>,
    last_request_id: u32,
    /// Length of `Simulation::list_log` up to which it knows the endpoint list.
    list_version: usize,
    watches_list: bool,
    delta_scheduled: bool,
    list_heard_at: Micros,
    /// State of each backend in its endpoint list.
    list: Vec<Option<EndpointState>>,
    /// When it last reported slow messages of a backend.
    slow_noted_at: HashMap<usize, Micros>,
}

enum SimEvent {
    ClientConnects(usize, u64),
    RequestArrives(usize, u64),
    ClientTimeout(usize, u64),
    ClientLeaves(usize),
    Timer {
        relay: usize,
        incarnation: u32,
        cell: usize,
        token: u64,
    },
    DialEnded {
        relay: usize,
        incarnation: u32,
        id: u32,
        attempt: u32,
        backend: usize,
        backend_incarnation: u32,
    },
    SetupDone {
        backend: usize,
        backend_incarnation: u32,
        relay: usize,
        incarnation: u32,
        id: u32,
        attempt: u32,
    },
    AttemptAnswered {
        relay: usize,
        incarnation: u32,
        id: u32,
        attempt: u32,
        outcome: Option<Outcome>,
    },
    AttemptTimeout {
        relay: usize,
        incarnation: u32,
        id: u32,
        attempt: u32,
    },
    ClientAnswered {
        client: usize,
        try_number: u64,
        wait: Option<Micros>,
    },
    ProbeEnded {
        relay: usize,
        incarnation: u32,
        cell: usize,
        backend: usize,
        backend_incarnation: u32,
        sent: Micros,
    },
    SharedReport {
        relay: usize,
        incarnation: u32,
        cell: usize,
        backend: usize,
    },
    LoadWatchRound(usize),
    ListDelta {
        relay: usize,
        incarnation: u32,
    },
    ListCallEnded {
        relay: usize,
        incarnation: u32,
        ok: bool,
    },
    ListChange(usize, EndpointState),
    TroubleStarts(usize),
    TroubleEnds(usize),
    ReplaceBackends(Vec<usize>, Micros),
    BackendGone(usize),
    ConnectionEnds(usize, u64),
    RelayDrains(usize),
    RelayMigrates(usize, u32, u32),
    RelayExits(usize, Micros),
    RelayRestarts(usize),
    FrontRotation(usize, u32, bool),
    Step,
}

/// The balancing policy under test and how groups are confined to cells.
#[derive(Clone, Debug)]
pub struct Variant {
    /// The balancing policy.
    pub policy: Policy,
    /// The cells; without any, all backends form one.
    pub cells: CellMap,
    /// Whether one relay per zone probes the zone's backends for all relays (the job `load/ZONE`).
    pub load_watch: bool,
}

/// The load watch of a zone (the job `load/ZONE`).
#[derive(Default)]
struct LoadWatch {
    /// The relay that owns the job and its incarnation.
    owner: Option<(usize, u32)>,
    /// When that owner begins to probe.
    active_from: Micros,
    /// Last load report of each backend, and when it was read.
    reports: HashMap<usize, (Micros, Vec<f32>)>,
}

/// Interval between the rounds of a load watch, the age up to which its report replaces a probe,
/// and the processing time of a report on its way from relay to voter to relay, without network
/// delays. The values are those of the relay.
const WATCH_ROUND: Micros = 500_000;
const REPORT_MAX_AGE: Micros = 1_000_000;
const REPORT_FORWARD_TIME: Micros = 2_000;
/// Time without an owner after the owner's relay has died: the median of 20 plays of the virtual
/// fleet.
const OWNER_GAP: Micros = 3_070_000;

/// Results of a run.
pub struct Outcomes {
    /// The statistics.
    pub stats: Stats,
    /// The first rule violations.
    pub violations: Vec<Violation>,
    /// Hash over all events.
    pub digest: u64,
    /// Number of events handled.
    pub events: u64,
    /// Trace lines of the selected client.
    pub trace: Vec<String>,
    /// By group: worth-seconds asked and served, and number of backends that ever served it.
    pub groups: Vec<(f64, f64, usize)>,
}

/// State of one run.
pub struct Simulation {
    scenario: Scenario,
    variant: Variant,
    rng: ChaCha8Rng,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    scheduled: HashMap<u64, SimEvent>,
    last_event: u64,
    handled: u64,
    backends: Vec<Backend>,
    backend_by_id: BTreeMap<EndpointId, usize>,
    clients: Vec<Client>,
    relays: Vec<Relay>,
    group_keys: Vec<u64>,
    group_weights: Vec<f64>,
    /// State of each backend in discovery's endpoint list.
    discovery_list: Vec<Option<EndpointState>>,
    /// The load watch of each zone.
    watches: Vec<LoadWatch>,
    /// Backends whose entry in the list changed, in order.
    list_log: Vec<usize>,
    next_call_at: Micros,
    call_rate: f64,
    delayed_changes: Vec<(usize, EndpointState)>,
    lists_delayed: bool,
    cut_zone: Option<usize>,
    answer_loss: f64,
    arrival_factor: f64,
    zone_shift: Option<(usize, f64)>,
    hot_group: Option<(usize, f64)>,
    arrival_rate: f64,
    arrivals_due: f64,
    /// Backends or clients that each trouble affects; needed to undo it at its end.
    affected: Vec<Vec<usize>>,
    last_try: u64,
    stats: Stats,
    current_step: Step,
    calls_second: (Micros, u64),
    rules: RuleChecker,
    digest: Xxh3,
    traced_client: Option<usize>,
    trace: Vec<String>,
    group_service: Vec<(f64, f64)>,
    group_backends: Vec<std::collections::BTreeSet<usize>>,
    actions: Vec<Action>,
}

impl Simulation {
    /// Prepares a run; `traced_client` is the number of a client whose steps are traced.
    pub fn new(scenario: Scenario, variant: Variant, traced_client: Option<usize>) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed ^ 0x6c65_6574);
        let backends: Vec<Backend> = (0..scenario.backends)
            .map(|n| draw_backend(&scenario, n % scenario.zones, &mut rng))
            .collect();
        let backend_by_id = backends
            .iter()
            .enumerate()
            .map(|(n, b)| (b.id, n))
            .collect();
        let mut zones: Vec<usize> = Vec::new();
        for relay in 0..scenario.relays {
            // Each zone has at least one relay, and a share of the relays close to its share of
            // clients.
            let position = (relay as f64 + 0.5) / scenario.relays as f64;
            let mut sum = 0.0;
            let zone = scenario.zone_share.iter().position(|share| {
                sum += share;
                position < sum
            });
            zones.push(if relay < scenario.zones {
                relay
            } else {
                zone.unwrap_or(0)
            });
        }
        let relays = zones
            .into_iter()
            .map(|zone| Relay {
                zone,
                alive: true,
                in_rotation: true,
                stopping: false,
                incarnation: 0,
                balancers: Vec::new(),
                pending: HashMap::new(),
                last_request_id: 0,
                list_version: 0,
                watches_list: false,
                delta_scheduled: false,
                list_heard_at: 0,
                list: vec![Some(EndpointState::Ready); scenario.backends],
                slow_noted_at: HashMap::new(),
            })
            .collect();
        let group_keys = (0..scenario.groups)
            .map(|_| rng.random::<u64>() | 1)
            .collect();
        let group_weights: Vec<f64> = (0..scenario.groups)
            .map(|n| ((n + 1) as f64).powf(-scenario.group_zipf))
            .collect();
        let groups = scenario.groups;
        let discovery_list = vec![Some(EndpointState::Ready); scenario.backends];
        let (calls, zone_count) = (scenario.list_calls_per_s, scenario.zones);
        let class_count = scenario.classes.len();
        let mut simulation = Simulation {
            affected: vec![Vec::new(); scenario.troubles.len()],
            rules: RuleChecker::new(&scenario.site.rules),
            scenario,
            variant,
            rng,
            now: 0,
            queue: BinaryHeap::new(),
            scheduled: HashMap::new(),
            last_event: 0,
            handled: 0,
            backends,
            backend_by_id,
            clients: Vec::new(),
            relays,
            group_keys,
            group_weights,
            discovery_list,
            watches: (0..zone_count).map(|_| LoadWatch::default()).collect(),
            list_log: Vec::new(),
            next_call_at: 0,
            call_rate: calls,
            delayed_changes: Vec::new(),
            lists_delayed: false,
            cut_zone: None,
            answer_loss: 0.0,
            arrival_factor: 1.0,
            zone_shift: None,
            hot_group: None,
            arrival_rate: 0.0,
            arrivals_due: 0.0,
            last_try: 0,
            stats: Stats {
                classes: vec![(0.0, 0.0); class_count],
                ..Stats::default()
            },
            current_step: Step::default(),
            calls_second: (0, 0),
            digest: Xxh3::new(),
            traced_client,
            trace: Vec::new(),
            group_service: vec![(0.0, 0.0); groups],
            group_backends: vec![Default::default(); groups],
            actions: Vec::new(),
        };
        for relay in 0..simulation.relays.len() {
            simulation.start_relay(relay);
        }
        simulation.place_standing_clients();
        for n in 0..simulation.scenario.troubles.len() {
            let starts_at = simulation.scenario.troubles[n].0;
            simulation.schedule_at(starts_at, SimEvent::TroubleStarts(n));
        }
        simulation.schedule_at(STEP, SimEvent::Step);
        for zone in 0..if simulation.variant.load_watch {
            zone_count
        } else {
            0
        } {
            // The jobs of a fleet are granted one after the other, so the rounds are staggered.
            simulation.schedule_at(
                STEP + WATCH_ROUND * zone as u64 / zone_count as u64,
                SimEvent::LoadWatchRound(zone),
            );
        }
        simulation
    }

    fn schedule_at(&mut self, at: Micros, event: SimEvent) {
        self.last_event += 1;
        self.queue
            .push(Reverse((at.max(self.now), self.last_event)));
        self.scheduled.insert(self.last_event, event);
    }

    fn schedule_in(&mut self, after: Micros, event: SimEvent) {
        self.schedule_at(self.now + after, event);
    }

    /// Handles events until the end of the day.
    pub fn run(mut self) -> Outcomes {
        while let Some(Reverse((at, sequence))) = self.queue.pop() {
            if at > self.scenario.length {
                break;
            }
            let Some(event) = self.scheduled.remove(&sequence) else {
                continue;
            };
            (self.now, self.handled) = (at, self.handled + 1);
            self.digest.update(&at.to_le_bytes());
            self.digest.update(&sequence.to_le_bytes());
            self.handle(event);
        }
        self.digest.update(&self.stats.placed.to_le_bytes());
        let groups = self
            .group_service
            .iter()
            .zip(&self.group_backends)
            .map(|(b, s)| (b.0, b.1, s.len()))
            .collect();
        Outcomes {
            stats: self.stats,
            violations: self.rules.violations,
            digest: self.digest.digest(),
            events: self.handled,
            trace: self.trace,
            groups,
        }
    }

    fn trace_client(&mut self, client: usize, describe: impl FnOnce() -> String) {
        if self.traced_client == Some(client) {
            let line = format!("{:9.3} ms  {}", self.now as f64 / 1e3, describe());
            self.trace.push(line);
        }
    }

    // Initial state.

    /// Creates the connections that exist at the start, packed as densely as was observed: each
    /// group on as few backends as have the capacity.
    fn place_standing_clients(&mut self) {
        let capacity: f64 = self
            .backends
            .iter()
            .map(|b| b.compute_power * self.scenario.load_per_core)
            .sum();
        let target_load = capacity * self.scenario.utilization;
        let mut clients = Vec::new();
        let mut load = 0.0;
        while load < target_load && clients.len() < 200_000 {
            let client = self.new_client(0);
            load += self.clients[client].load;
            clients.push(client);
        }
        let mean = self
            .scenario
            .classes
            .iter()
            .map(|s| s.share * s.life_factor)
            .sum::<f64>()
            .max(0.1);
        self.arrival_rate = clients.len() as f64 / (self.scenario.mean_life_s * mean);
        // Largest groups first, as usual in bin packing.
        clients.sort_by_key(|&c| self.clients[c].group);
        let mut free: Vec<f64> = self
            .backends
            .iter()
            .map(|b| b.compute_power * self.scenario.load_per_core * self.scenario.packing_share)
            .collect();
        let mut current: Option<(usize, usize)> = None;
        for client in clients {
            let (group, zone) = (self.clients[client].group, self.clients[client].zone);
            let fits = current.filter(|&(g, b)| g == group && free[b] > 0.0);
            let backend = match fits {
                Some((_, b)) => b,
                None => {
                    let Some(b) = (0..free.len()).max_by(|&a, &b| free[a].total_cmp(&free[b]))
                    else {
                        return;
                    };
                    free[b] -= self.scenario.group_cost;
                    b
                }
            };
            current = Some((group, backend));
            free[backend] -= self.clients[client].load;
            let Some(relay) = self.pick_relay(zone) else {
                continue;
            };
            self.add_standing_connection(client, relay, backend);
        }
    }

    fn add_standing_connection(&mut self, client: usize, relay: usize, backend: usize) {
        self.stats.requests += 1;
        self.stats.standing += 1;
        self.stats.attempts += 1;
        let request = self.request(client, relay);
        let (id, cell) = (request.id, self.cell_of(self.backends[backend].id));
        let try_number = self.clients[client].try_number;
        let arrived_at = self.now;
        let pending = Pending {
            client,
            try_number,
            cell,
            arrived_at,
            current_attempt: None,
            attempts: 1,
            answered: true,
            established: true,
        };
        self.relays[relay].pending.insert(id.0, pending);
        self.establish(client, relay, id.0, backend);
        let endpoint = self.backends[backend].id;
        self.deliver(relay, cell, Event::Adopted { request, endpoint });
    }

    /// Draws a client that first connects at `arrives_at`: group, zone, class, load and lifetime.
    fn new_client(&mut self, arrives_at: Micros) -> usize {
        let hot_group = self.hot_group.filter(|_| arrives_at > 0);
        let group = match hot_group {
            Some((group, factor)) if self.rng.random_bool((factor / (factor + 12.0)).min(0.9)) => {
                group
            }
            _ => weighted(&self.group_weights, &mut self.rng),
        };
        let zone = match self.zone_shift {
            Some((zone, share)) if self.rng.random_bool(share.min(1.0)) => zone,
            _ => weighted(&self.scenario.zone_share, &mut self.rng),
        };
        let shares: Vec<f64> = self.scenario.classes.iter().map(|s| s.share).collect();
        let class = weighted(&shares, &mut self.rng);
        let s = self.scenario.classes[class].clone();
        // In units of the mean load over all classes, in which operators state a core's capacity.
        let mean: f64 = self
            .scenario
            .classes
            .iter()
            .map(|s| s.share * s.mean_load)
            .sum();
        let base_load =
            s.mean_load / mean.max(1e-6) * spread(s.load_sigma, &mut self.rng).min(12.0);
        let life_draw: f64 = Exp1.sample(&mut self.rng);
        let next_load_change = arrives_at + micros(s.load_change_s * self.rng.random::<f64>());
        self.last_try += 1;
        self.clients.push(Client {
            group,
            zone,
            class,
            key: self.rng.random::<u64>() | 1,
            load: base_load,
            base_load,
            next_load_change,
            state: ClientState::Waiting,
            try_number: self.last_try,
            leaves_at: arrives_at
                + micros(life_draw * self.scenario.mean_life_s * s.life_factor).max(SECOND / 2),
            failures: 0,
            returning: false,
            loss: Loss::New,
            requested_at: arrives_at,
            cut_since: None,
        });
        let client = self.clients.len() - 1;
        let leaves_at = self.clients[client].leaves_at;
        self.schedule_at(leaves_at, SimEvent::ClientLeaves(client));
        client
    }

    // Relays.

    fn start_relay(&mut self, relay: usize) {
        let zone = self.relays[relay].zone;
        let settings = self.scenario.settings(zone);
        let balancers: Vec<Decider> = (0..self.variant.cells.cell_count().max(1))
            .map(|_| Decider::new(&self.variant.policy, settings.clone(), self.rng.random()))
            .collect();
        self.relays[relay].balancers = balancers;
        let endpoints: Vec<ListedEndpoint> = (0..self.backends.len())
            .filter_map(|n| self.listed_endpoint(relay, n))
            .collect();
        self.send_list(relay, EndpointListKind::Cached, endpoints);
    }

    /// A backend's entry in a relay's endpoint list.
    fn listed_endpoint(&self, relay: usize, n: usize) -> Option<ListedEndpoint> {
        let state = (*self.relays[relay].list.get(n)?)?;
        let b = &self.backends[n];
        let started = b.started_at;
        Some(ListedEndpoint {
            id: b.id,
            zone: b.zone as u16,
            cell: 0,
            state,
            size: b.listed_size as f32,
            started_at: started,
        })
    }

    /// Returns the cell of a backend.
    fn cell_of(&self, endpoint: EndpointId) -> usize {
        if self.variant.cells.cell_count() <= 1 {
            0
        } else {
            self.variant.cells.cell_of_endpoint(endpoint)
        }
    }

    /// Distributes list entries to the relay's balancers by cell.
    fn send_list(&mut self, relay: usize, kind: EndpointListKind, endpoints: Vec<ListedEndpoint>) {
        let balancers = self.relays[relay].balancers.len();
        let mut by_cell: Vec<Vec<ListedEndpoint>> = vec![Vec::new(); balancers];
        for endpoint in endpoints {
            by_cell[self.cell_of(endpoint.id).min(balancers - 1)].push(endpoint);
        }
        for (cell, endpoints) in by_cell.into_iter().enumerate() {
            self.deliver(relay, cell, Event::EndpointList { kind, endpoints });
        }
    }

    /// Passes an event to a relay's balancer and carries out the actions it returns.
    fn deliver(&mut self, relay: usize, cell: usize, event: Event) {
        if !self.relays[relay].alive {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        let now = self.now;
        if let Some(decider) = self.relays[relay].balancers.get_mut(cell) {
            decider.handle(now, event, &mut actions);
        }
        let mut pending_actions: Vec<Action> = std::mem::take(&mut actions);
        self.actions = actions;
        let incarnation = self.relays[relay].incarnation;
        for action in pending_actions.drain(..) {
            match action {
                Action::Attempt {
                    id,
                    endpoint,
                    give_up_at,
                } => self.start_attempt(relay, id.0, endpoint, give_up_at),
                Action::Reject { id, retry_after } => {
                    self.answer_request(relay, id.0, Some(retry_after))
                }
                Action::Fail(id) => self.answer_request(relay, id.0, None),
                Action::Migrate(id) => self.migrate_client(relay, id.0),
                Action::CancelAttempt { id, attempt: _ } => self.cancel_attempt(relay, id.0),
                Action::SetTimer { at, token } => {
                    let at = at.max(self.now + 1);
                    self.schedule_at(
                        at,
                        SimEvent::Timer {
                            relay,
                            incarnation,
                            cell,
                            token,
                        },
                    );
                }
                Action::CheckHealth(endpoint) => self.start_probe(relay, cell, endpoint),
                // One watch serves all balancers of the relay: only the first one's request
                // counts.
                Action::WatchEndpointList(true) if cell == 0 => self.call_discovery(relay),
                Action::WatchEndpointList(_) | Action::Log(_) => {}
            }
        }
    }

    fn request(&mut self, client: usize, relay: usize) -> Request {
        let r = &mut self.relays[relay];
        r.last_request_id += 1;
        let c = &self.clients[client];
        Request {
            id: RequestId(r.last_request_id),
            class: c.class,
            client_key: c.key,
            group: self.group_keys[c.group],
            time_left: self.scenario.classes[c.class].deadline,
            returning: c.returning,
            ..Request::default()
        }
    }

    /// Picks a relay of a zone as the load balancer in front does, or of any zone if there is
    /// none. The relay may have stopped without the load balancer's knowledge.
    fn pick_relay(&mut self, zone: usize) -> Option<usize> {
        let candidates: Vec<usize> = (0..self.relays.len())
            .filter(|&n| self.relays[n].zone == zone && self.relays[n].in_rotation)
            .collect();
        let candidates = if candidates.is_empty() {
            (0..self.relays.len())
                .filter(|&n| self.relays[n].in_rotation)
                .collect()
        } else {
            candidates
        };
        let weights: Vec<f64> = candidates
            .iter()
            .map(|&n| self.scenario.relay_weight[n])
            .collect();
        (!candidates.is_empty()).then(|| candidates[weighted(&weights, &mut self.rng)])
    }

    // Clients.

    fn link_delay_s(&mut self, from: usize, to: usize) -> f64 {
        let delay_s = if from == to {
            self.scenario.same_zone_delay_s
        } else {
            self.scenario.cross_zone_delay_s
        };
        delay_s * (1.0 + self.scenario.jitter * self.rng.random::<f64>())
    }

    fn client_connects(&mut self, client: usize, try_number: u64) {
        let c = &self.clients[client];
        if c.try_number != try_number || c.state != ClientState::Waiting || self.now >= c.leaves_at
        {
            return;
        }
        let Some(relay) = self.pick_relay(c.zone) else {
            return self.schedule_in(
                DEAD_RELAY_RETRY,
                SimEvent::ClientConnects(client, try_number),
            );
        };
        let c = &mut self.clients[client];
        c.requested_at = self.now;
        let r = &self.relays[relay];
        if !r.alive || r.stopping {
            self.trace_client(client, || format!("relay n{relay} is gone"));
            return self.schedule_in(
                DEAD_RELAY_RETRY,
                SimEvent::ClientConnects(client, try_number),
            );
        }
        let delay =
            self.scenario.client_delay_s * (1.0 + self.scenario.jitter * self.rng.random::<f64>());
        let deadline = self.scenario.classes[self.clients[client].class].deadline;
        self.stats.tries += 1;
        self.count_by_worth(client, |counts| counts.1 += 1);
        self.clients[client].state = ClientState::Requesting(relay, 0);
        self.schedule_in(micros(delay), SimEvent::RequestArrives(client, try_number));
        self.schedule_in(deadline, SimEvent::ClientTimeout(client, try_number));
    }

    fn request_arrives(&mut self, client: usize, try_number: u64) {
        let c = &self.clients[client];
        let (ClientState::Requesting(relay, 0), true) = (c.state, c.try_number == try_number)
        else {
            return;
        };
        if !self.relays[relay].alive {
            return self.reconnect_later(client, Loss::Broken, None);
        }
        let request = self.request(client, relay);
        let id = request.id.0;
        let cell = self.cell_for_group(relay, request.group);
        self.clients[client].state = ClientState::Requesting(relay, id);
        let group = self.clients[client].group;
        self.trace_client(client, || {
            format!("asks relay n{relay} (group {group}) as request {id}")
        });
        let arrived_at = self.now;
        let Some(cell) = cell else {
            return self.reject_without_cell(client, relay, id);
        };
        let pending = Pending {
            client,
            try_number,
            cell,
            arrived_at,
            current_attempt: None,
            attempts: 0,
            answered: false,
            established: false,
        };
        self.relays[relay].pending.insert(id, pending);
        let slack = micros(self.scenario.site.rules.answer_slack_ms / 1_000.0);
        self.rules.expect_answer(
            relay,
            self.relays[relay].incarnation,
            id,
            self.now + request.time_left + slack,
        );
        self.deliver(relay, cell, Event::Request(request));
    }

    /// The cell whose balancer handles a group's request; `None` if its own cell has no usable
    /// backend and no other cell lends one.
    fn cell_for_group(&self, relay: usize, group: u64) -> Option<usize> {
        if self.variant.cells.cell_count() <= 1 {
            return Some(0);
        }
        let usable: Vec<bool> = (0..self.variant.cells.cell_count())
            .map(|cell| {
                let list = &self.relays[relay].list;
                self.backends.iter().enumerate().any(|(n, b)| {
                    self.cell_of(b.id) == cell && list.get(n) == Some(&Some(EndpointState::Ready))
                })
            })
            .collect();
        match self
            .variant
            .cells
            .place(group, &usable, &vec![0; usable.len()])
        {
            Placement::Home(cell) | Placement::Borrowed(cell) => Some(cell),
            Placement::Rejected => None,
        }
    }

    fn reject_without_cell(&mut self, client: usize, relay: usize, id: u32) {
        self.stats.refused += 1;
        self.trace_client(client, || {
            format!("relay n{relay} rejects request {id}: no cell can take it")
        });
        self.reconnect_later(client, Loss::Refused, Some(SECOND));
    }

    /// Ends the client's current try and schedules its next one.
    fn reconnect_later(&mut self, client: usize, loss: Loss, wait: Option<Micros>) {
        let c = &mut self.clients[client];
        let failed = matches!(loss, Loss::Refused | Loss::New)
            || (loss == Loss::Broken && c.state != ClientState::Waiting);
        self.last_try += 1;
        (c.try_number, c.state, c.returning, c.cut_since) =
            (self.last_try, ClientState::Waiting, true, None);
        c.loss = if loss == Loss::New { c.loss } else { loss };
        c.failures = if failed { c.failures + 1 } else { 0 };
        let (try_number, failures) = (c.try_number, c.failures);
        let backoff = self.scenario.backoff << failures.min(3);
        let own_delay = (backoff as f64 * self.rng.random_range(0.5..1.5)) as Micros;
        let (least, most) = self.scenario.rejoin_range;
        let after = match (loss, wait) {
            (Loss::Moved | Loss::Left | Loss::Broken, None) => self.rng.random_range(least..=most),
            (_, Some(wait))
                if wait > 0
                    && self
                        .rng
                        .random_bool(self.scenario.retry_after_compliance.min(1.0)) =>
            {
                wait + own_delay / 4
            }
            _ => own_delay,
        };
        self.schedule_in(after, SimEvent::ClientConnects(client, try_number));
    }

    fn client_times_out(&mut self, client: usize, try_number: u64) {
        let c = &self.clients[client];
        let (ClientState::Requesting(relay, id), true) = (c.state, c.try_number == try_number)
        else {
            return;
        };
        self.trace_client(client, || "gives up: no answer within its deadline".into());
        self.abandon_request(relay, id);
        self.reconnect_later(client, Loss::Refused, None);
    }

    /// The client disconnects from its relay before the final answer.
    fn abandon_request(&mut self, relay: usize, id: u32) {
        let incarnation = self.relays[relay].incarnation;
        self.rules.answer_given(relay, incarnation, id);
        let Some(p) = self.relays[relay].pending.get_mut(&id) else {
            return;
        };
        p.answered = true;
        let (cell, outstanding) = (p.cell, p.current_attempt.take());
        self.deliver(relay, cell, Event::ClientDisconnected(RequestId(id)));
        if let Some((_, backend, _)) = outstanding {
            self.report_end(relay, id, backend, Outcome::Cancelled, true);
        }
        self.relays[relay].pending.remove(&id);
    }

    fn client_leaves(&mut self, client: usize) {
        match self.clients[client].state {
            ClientState::Established(relay, id, backend) => {
                self.release_connection(client, backend);
                self.report_end(relay, id, backend, Outcome::Success, true);
                self.relays[relay].pending.remove(&id);
            }
            ClientState::Requesting(relay, id) if id > 0 => self.abandon_request(relay, id),
            _ => {}
        }
        self.clients[client].state = ClientState::Inactive;
    }

    fn establish(&mut self, client: usize, relay: usize, id: u32, backend: usize) {
        let c = &mut self.clients[client];
        c.state = ClientState::Established(relay, id, backend);
        (c.failures, c.cut_since) = (0, None);
        let (try_number, group, load) = (c.try_number, c.group, c.load);
        self.group_backends[group].insert(backend);
        self.backends[backend].add_client(try_number, client, group, load);
    }

    fn release_connection(&mut self, client: usize, backend: usize) {
        let c = &self.clients[client];
        self.backends[backend].remove_client(c.try_number, c.group, c.load);
    }

    // Attempts.

    fn start_attempt(&mut self, relay: usize, id: u32, endpoint: EndpointId, give_up_at: Micros) {
        let Some(&backend) = self.backend_by_id.get(&endpoint) else {
            return;
        };
        let incarnation = self.relays[relay].incarnation;
        let zone = self.relays[relay].zone;
        let state = self.relays[relay].list[backend];
        let Some(p) = self.relays[relay].pending.get_mut(&id) else {
            return;
        };
        let already_out = p.current_attempt.is_some();
        p.attempts += 1;
        let (client, attempt) = (p.client, p.attempts);
        let b = &self.backends[backend];
        p.current_attempt = Some((attempt, backend, b.incarnation));
        let cold = b.started_at.is_some();
        self.rules
            .attempt_started(self.now, relay, id, already_out, state, backend);
        self.stats.attempts += 1;
        self.current_step.attempts += 1;
        let (backend_zone, backend_incarnation, silent) =
            (b.zone, b.incarnation, b.state == BackendState::Silent);
        let delay_s = self.link_delay_s(zone, backend_zone);
        let reachable = self.is_reachable(zone, backend_zone) && !silent;
        self.trace_client(client, || {
            format!(
                "n{relay} attempt {attempt} at backend {backend}{}",
                if cold { " (started recently)" } else { "" }
            )
        });
        let event = |backend_incarnation| SimEvent::DialEnded {
            relay,
            incarnation,
            id,
            attempt,
            backend,
            backend_incarnation,
        };
        // An unreachable backend is detected only by the dial timeout.
        let after = if reachable {
            micros(delay_s * 2.0 * self.scenario.handshake_rtts)
        } else {
            self.scenario.dial_timeout
        };
        self.schedule_in(
            after.min(self.scenario.dial_timeout),
            event(backend_incarnation),
        );
        self.schedule_at(
            give_up_at,
            SimEvent::AttemptTimeout {
                relay,
                incarnation,
                id,
                attempt,
            },
        );
    }

    fn is_reachable(&self, a: usize, b: usize) -> bool {
        a == b || self.cut_zone.is_none_or(|zone| a != zone && b != zone)
    }

    /// Ends the dial: the request is sent, and the backend queues or rejects it.
    fn dial_ended(
        &mut self,
        relay: usize,
        incarnation: u32,
        id: u32,
        attempt: u32,
        backend: usize,
        backend_incarnation: u32,
    ) {
        if !self.is_current_attempt(relay, incarnation, id, attempt) {
            return;
        }
        let zone = self.relays[relay].zone;
        let b = &self.backends[backend];
        let silent = !self.is_reachable(zone, b.zone) || b.state == BackendState::Silent;
        if silent || b.state == BackendState::Down || b.incarnation != backend_incarnation {
            return self.end_attempt(relay, id, Outcome::ConnectFailed);
        }
        let Some(p) = self.relays[relay].pending.get(&id) else {
            return;
        };
        let class = self.clients[p.client].class;
        let work = self.scenario.classes[class].setup_work_s + self.scenario.handshake_work_s;
        let delay_s = self.link_delay_s(zone, b.zone);
        let b = &self.backends[backend];
        let fails = b.error_rate > 0.0 && self.rng.random_bool(b.error_rate.min(1.0));
        if fails || !self.backends[backend].accepts_setup(&self.scenario) {
            let outcome = Some(if fails {
                Outcome::Error
            } else {
                Outcome::Rejected
            });
            return self.schedule_in(
                micros(delay_s),
                SimEvent::AttemptAnswered {
                    relay,
                    incarnation,
                    id,
                    attempt,
                    outcome,
                },
            );
        }
        let (scenario, now) = (&self.scenario, self.now);
        let done_at = self.backends[backend].enqueue_setup(scenario, work, now);
        self.stats.setup_work += work;
        self.schedule_at(
            done_at,
            SimEvent::SetupDone {
                backend,
                backend_incarnation,
                relay,
                incarnation,
                id,
                attempt,
            },
        );
    }

    /// A backend has finished a connection set-up.
    fn setup_done(&mut self, backend: usize, backend_incarnation: u32, to: (usize, u32, u32, u32)) {
        let (relay, incarnation, id, attempt) = to;
        if self.backends[backend].incarnation != backend_incarnation {
            return;
        }
        self.backends[backend].queued_setups =
            self.backends[backend].queued_setups.saturating_sub(1);
        if !self.is_current_attempt(relay, incarnation, id, attempt) {
            // The attempt has ended meanwhile, so the work was wasted.
            self.stats.wasted_work += self.scenario.classes[0].setup_work_s;
            return;
        }
        let (zone, at) = (self.relays[relay].zone, self.backends[backend].zone);
        if !self.is_reachable(zone, at)
            || (self.answer_loss > 0.0 && self.rng.random_bool(self.answer_loss))
        {
            return;
        }
        let delay_s = self.link_delay_s(zone, at);
        self.schedule_in(
            micros(delay_s),
            SimEvent::AttemptAnswered {
                relay,
                incarnation,
                id,
                attempt,
                outcome: None,
            },
        );
    }

    fn is_current_attempt(&self, relay: usize, incarnation: u32, id: u32, attempt: u32) -> bool {
        let r = &self.relays[relay];
        let outstanding = r.pending.get(&id).and_then(|p| p.current_attempt);
        r.alive && r.incarnation == incarnation && outstanding.is_some_and(|(n, ..)| n == attempt)
    }

    /// The relay receives a backend's answer; `None` means `UP`.
    fn attempt_answered(
        &mut self,
        relay: usize,
        incarnation: u32,
        id: u32,
        attempt: u32,
        outcome: Option<Outcome>,
    ) {
        if !self.is_current_attempt(relay, incarnation, id, attempt) {
            return;
        }
        if let Some(outcome) = outcome {
            return self.end_attempt(relay, id, outcome);
        }
        let Some(p) = self.relays[relay].pending.get_mut(&id) else {
            return;
        };
        let Some((_, backend, backend_incarnation)) = p.current_attempt.take() else {
            return;
        };
        let (client, cell, arrived_at) = (p.client, p.cell, p.arrived_at);
        (p.answered, p.established) = (true, true);
        self.rules.answer_given(relay, incarnation, id);
        if self.backends[backend].incarnation != backend_incarnation {
            self.relays[relay].pending.remove(&id);
            self.report_end(relay, id, backend, Outcome::Reset, true);
            return self.reconnect_later(client, Loss::Broken, None);
        }
        let c = &self.clients[client];
        let serves_group = self.backends[backend].groups.contains_key(&c.group);
        let elapsed = self.now.saturating_sub(c.requested_at);
        self.stats
            .setup_times_us
            .push(elapsed.min(u64::from(u32::MAX)) as u32);
        self.stats.late += u64::from(elapsed > self.scenario.classes[c.class].setup_objective);
        self.stats.placed += 1;
        self.stats.same_zone += u64::from(self.relays[relay].zone == self.backends[backend].zone);
        self.stats.with_group += u64::from(serves_group);
        self.trace_client(client, || {
            format!(
                "up at backend {backend} after {:.1} ms",
                elapsed as f64 / 1e3
            )
        });
        self.establish(client, relay, id, backend);
        let endpoint = self.backends[backend].id;
        let elapsed = self.now.saturating_sub(arrived_at);
        self.deliver(
            relay,
            cell,
            Event::Connected {
                id: RequestId(id),
                endpoint,
                elapsed,
            },
        );
    }

    /// Ends an attempt at the time that the balancer set for it.
    fn attempt_timed_out(&mut self, relay: usize, incarnation: u32, id: u32, attempt: u32) {
        if self.is_current_attempt(relay, incarnation, id, attempt) {
            self.end_attempt(relay, id, Outcome::Timeout);
        }
    }

    fn end_attempt(&mut self, relay: usize, id: u32, outcome: Outcome) {
        let Some(p) = self.relays[relay].pending.get_mut(&id) else {
            return;
        };
        let Some((attempt, backend, _)) = p.current_attempt.take() else {
            return;
        };
        let (client, request_finished) = (p.client, p.answered);
        self.trace_client(client, || {
            format!("n{relay} attempt {attempt} at backend {backend}: {outcome:?}")
        });
        self.report_end(relay, id, backend, outcome, request_finished);
        if request_finished {
            self.relays[relay].pending.remove(&id);
        }
    }

    /// Reports the end of an attempt or a connection to the relay's balancer.
    fn report_end(
        &mut self,
        relay: usize,
        id: u32,
        backend: usize,
        outcome: Outcome,
        request_finished: bool,
    ) {
        let cell = self.relays[relay].pending.get(&id).map_or(0, |p| p.cell);
        let (id, endpoint) = (RequestId(id), self.backends[backend].id);
        self.deliver(
            relay,
            cell,
            Event::AttemptEnded {
                id,
                endpoint,
                outcome,
                request_finished,
                report: Vec::new(),
            },
        );
    }

    fn cancel_attempt(&mut self, relay: usize, id: u32) {
        let Some(p) = self.relays[relay].pending.get_mut(&id) else {
            return;
        };
        if let Some((_, backend, _)) = p.current_attempt.take() {
            let request_finished = p.answered;
            self.report_end(relay, id, backend, Outcome::Cancelled, request_finished);
        }
    }

    /// The relay rejects a request (with `wait`) or fails it (without).
    fn answer_request(&mut self, relay: usize, id: u32, wait: Option<Micros>) {
        let incarnation = self.relays[relay].incarnation;
        let Some(p) = self.relays[relay].pending.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut p.answered, true) {
            return self.rules.second_answer(self.now, relay, id);
        }
        let (client, try_number, outstanding, attempts) = (
            p.client,
            p.try_number,
            p.current_attempt.is_some(),
            p.attempts,
        );
        self.rules.answer_given(relay, incarnation, id);
        if !outstanding {
            self.relays[relay].pending.remove(&id);
        }
        self.current_step.refused += 1;
        self.stats.refused += u64::from(wait.is_some());
        self.stats.failed += u64::from(wait.is_none());
        let late = self.now.saturating_sub(self.clients[client].requested_at)
            > self.scenario.classes[self.clients[client].class].setup_objective;
        self.stats.late_failed += u64::from(wait.is_none() && late);
        self.trace_client(client, || match wait {
            Some(wait) => {
                format!(
                    "n{relay} rejects request {id} after {attempts} attempts, wait {} ms",
                    wait / 1_000
                )
            }
            None => format!("n{relay} fails request {id} after {attempts} attempts"),
        });
        let delay = micros(self.scenario.client_delay_s);
        self.schedule_in(
            delay,
            SimEvent::ClientAnswered {
                client,
                try_number,
                wait,
            },
        );
    }

    fn client_answered(&mut self, client: usize, try_number: u64, wait: Option<Micros>) {
        let c = &self.clients[client];
        if c.try_number != try_number || !matches!(c.state, ClientState::Requesting(..)) {
            return;
        }
        self.count_by_worth(client, |counts| counts.0 += 1);
        self.reconnect_later(client, Loss::Refused, wait);
    }

    /// Counts rejections and tries separately for classes whose worth is above 1.
    fn count_by_worth(&mut self, client: usize, count: impl FnOnce(&mut (u64, u64))) {
        let worth = self.scenario.classes[self.clients[client].class].worth;
        count(if worth > 1.0 {
            &mut self.stats.high_worth
        } else {
            &mut self.stats.low_worth
        });
    }

    fn migrate_client(&mut self, relay: usize, id: u32) {
        let Some(p) = self.relays[relay]
            .pending
            .get(&id)
            .filter(|p| p.established)
        else {
            return;
        };
        let client = p.client;
        let ClientState::Established(_, _, backend) = self.clients[client].state else {
            return;
        };
        self.stats.moves += 1;
        self.current_step.moves += 1;
        self.trace_client(client, || {
            format!("n{relay} migrates it away from backend {backend}")
        });
        self.break_connection(client, Outcome::Cancelled, Loss::Moved);
    }

    /// Ends an established connection early; its client reconnects.
    fn break_connection(&mut self, client: usize, outcome: Outcome, loss: Loss) {
        let ClientState::Established(relay, id, backend) = self.clients[client].state else {
            return;
        };
        self.release_connection(client, backend);
        self.reconnect_later(client, loss, None);
        if self.relays[relay].alive {
            self.report_end(relay, id, backend, outcome, true);
        }
        self.relays[relay].pending.remove(&id);
    }

    // Probes and the endpoint list.

    /// The owner of a zone's load watch probes the zone's backends; another relay becomes the
    /// owner if it has stopped.
    fn run_load_watch_round(&mut self, zone: usize) {
        self.schedule_in(WATCH_ROUND, SimEvent::LoadWatchRound(zone));
        let alive = |n: &usize| self.relays[*n].alive && !self.relays[*n].stopping;
        let owner_alive = self.watches[zone]
            .owner
            .is_some_and(|(n, incarnation)| alive(&n) && self.relays[n].incarnation == incarnation);
        if !owner_alive {
            let next_owner = (0..self.relays.len())
                .filter(alive)
                .find(|n| self.relays[*n].zone == zone);
            let (now, relays) = (self.now, &self.relays);
            let watch = &mut self.watches[zone];
            watch.active_from = if watch.owner.is_some() {
                now + OWNER_GAP
            } else {
                now
            };
            watch.owner = next_owner.map(|n| (n, relays[n].incarnation));
        }
        let Some((owner, _)) = self.watches[zone]
            .owner
            .filter(|_| self.now >= self.watches[zone].active_from)
        else {
            return;
        };
        for backend in 0..self.backends.len() {
            let ready = self.relays[owner].list.get(backend) == Some(&Some(EndpointState::Ready));
            if self.backends[backend].zone != zone || !ready {
                continue;
            }
            self.stats.probes += 1;
            if let Some(report) = self.read_load_report(backend) {
                self.watches[zone]
                    .reports
                    .insert(backend, (self.now, report));
            }
        }
    }

    /// Whether a report of the load watch replaces a probe by this relay: it is fresh enough and
    /// has reached the relay.
    fn has_shared_report(&mut self, relay: usize, backend: usize) -> bool {
        let (backend_zone, zone) = (self.backends[backend].zone, self.relays[relay].zone);
        let delay_s = micros(self.link_delay_s(backend_zone, zone) * 2.0) + REPORT_FORWARD_TIME;
        let Some((at, _)) = self
            .watches
            .get(backend_zone)
            .and_then(|watch| watch.reports.get(&backend))
        else {
            return false;
        };
        self.variant.load_watch
            && self.is_reachable(zone, backend_zone)
            && self.now >= at + delay_s
            && self.now < at + REPORT_MAX_AGE
    }

    /// Returns a backend's load report and charges the backend for the probe; `None` if it is
    /// down.
    fn read_load_report(&mut self, backend: usize) -> Option<Vec<f32>> {
        let b = &mut self.backends[backend];
        if matches!(b.state, BackendState::Down | BackendState::Silent) {
            return None;
        }
        b.overhead_work_s += self.scenario.probe_work_s;
        if self.now >= b.next_report.0 {
            b.report = b.next_report.1;
        }
        let noise = 1.0 + self.scenario.report_noise * self.rng.random_range(-1.7..1.7);
        let load = (b.report.load * noise) as f32;
        Some(vec![0.0, b.report.connections as f32, 0.0, load])
    }

    fn deliver_shared_report(
        &mut self,
        relay: usize,
        incarnation: u32,
        cell: usize,
        backend: usize,
    ) {
        let r = &self.relays[relay];
        if !r.alive || r.incarnation != incarnation {
            return;
        }
        let watch = &self.watches[self.backends[backend].zone];
        let Some((_, report)) = watch.reports.get(&backend).cloned() else {
            return;
        };
        let endpoint = self.backends[backend].id;
        self.deliver(
            relay,
            cell,
            Event::HealthCheck {
                endpoint,
                outcome: Outcome::Success,
                report,
            },
        );
    }

    fn start_probe(&mut self, relay: usize, cell: usize, endpoint: EndpointId) {
        let Some(&backend) = self.backend_by_id.get(&endpoint) else {
            return;
        };
        if self.variant.load_watch && self.has_shared_report(relay, backend) {
            let incarnation = self.relays[relay].incarnation;
            return self.schedule_in(
                1,
                SimEvent::SharedReport {
                    relay,
                    incarnation,
                    cell,
                    backend,
                },
            );
        }
        self.stats.probes += 1;
        let (incarnation, zone, b) = (
            self.relays[relay].incarnation,
            self.relays[relay].zone,
            &self.backends[backend],
        );
        let (backend_incarnation, at) = (b.incarnation, b.zone);
        let reachable = self.is_reachable(zone, at) && b.state != BackendState::Silent;
        let delay_s = self.link_delay_s(zone, at);
        let after = if reachable {
            micros(delay_s * 2.0 * (self.scenario.handshake_rtts + 1.0))
        } else {
            self.scenario.probe_timeout
        };
        let sent = self.now;
        self.schedule_in(
            after,
            SimEvent::ProbeEnded {
                relay,
                incarnation,
                cell,
                backend,
                backend_incarnation,
                sent,
            },
        );
    }

    fn probe_ended(
        &mut self,
        relay: usize,
        incarnation: u32,
        cell: usize,
        backend: usize,
        silent: bool,
    ) {
        let r = &self.relays[relay];
        if !r.alive || r.incarnation != incarnation {
            return;
        }
        let reachable = self.is_reachable(r.zone, self.backends[backend].zone) && !silent;
        let report = if reachable {
            self.read_load_report(backend)
        } else {
            None
        };
        let (outcome, report) = match report {
            Some(report) => (Outcome::Success, report),
            None => (Outcome::ConnectFailed, Vec::new()),
        };
        let endpoint = self.backends[backend].id;
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

    /// A relay requests the endpoint list; discovery answers calls one at a time at its call rate.
    fn call_discovery(&mut self, relay: usize) {
        let incarnation = self.relays[relay].incarnation;
        self.stats.list_calls += 1;
        if self.now >= self.calls_second.0 + SECOND {
            self.calls_second = (self.now, 0);
        }
        self.calls_second.1 += 1;
        self.stats.list_calls_peak = self.stats.list_calls_peak.max(self.calls_second.1);
        let answer_at = self.next_call_at.max(self.now) + micros(1.0 / self.call_rate.max(0.01));
        let wait = answer_at - self.now;
        if wait > self.scenario.list_call_timeout {
            self.stats.list_calls_failed += 1;
            return self.schedule_in(
                self.scenario.list_call_timeout,
                SimEvent::ListCallEnded {
                    relay,
                    incarnation,
                    ok: false,
                },
            );
        }
        self.next_call_at = answer_at;
        self.schedule_in(
            wait,
            SimEvent::ListCallEnded {
                relay,
                incarnation,
                ok: true,
            },
        );
    }

    fn list_call_ended(&mut self, relay: usize, incarnation: u32, ok: bool) {
        let r = &mut self.relays[relay];
        if !r.alive || r.incarnation != incarnation {
            return;
        }
        if !ok {
            return self.send_list(relay, EndpointListKind::WatchFailed, Vec::new());
        }
        (r.watches_list, r.list_version, r.list_heard_at) = (true, self.list_log.len(), self.now);
        r.list = self.discovery_list.clone();
        let endpoints: Vec<ListedEndpoint> = (0..self.backends.len())
            .filter_map(|n| self.listed_endpoint(relay, n))
            .collect();
        self.rules
            .list_received(self.now, relay, &self.relays[relay].list);
        self.send_list(relay, EndpointListKind::Full, endpoints);
    }

    /// Changes a backend's state in the endpoint list and schedules the update of each watching
    /// relay.
    fn list_changed(&mut self, backend: usize, state: EndpointState) {
        if self.lists_delayed {
            return self.delayed_changes.push((backend, state));
        }
        self.discovery_list[backend] = (state != EndpointState::Removed).then_some(state);
        self.list_log.push(backend);
        for relay in 0..self.relays.len() {
            let r = &mut self.relays[relay];
            if r.watches_list && r.alive && !std::mem::replace(&mut r.delta_scheduled, true) {
                let incarnation = r.incarnation;
                let after = self.rng.random_range(0..self.scenario.list_spread.max(1));
                self.schedule_in(after, SimEvent::ListDelta { relay, incarnation });
            }
        }
    }

    fn send_list_delta(&mut self, relay: usize, incarnation: u32) {
        let r = &mut self.relays[relay];
        if !r.alive || r.incarnation != incarnation {
            return;
        }
        r.delta_scheduled = false;
        let mut changed: Vec<usize> = self.list_log[r.list_version..].to_vec();
        (r.list_version, r.list_heard_at) = (self.list_log.len(), self.now);
        changed.sort_unstable();
        changed.dedup();
        r.list.resize(self.discovery_list.len(), None);
        let mut endpoints = Vec::new();
        for n in changed {
            let previous =
                std::mem::replace(&mut self.relays[relay].list[n], self.discovery_list[n]);
            match self.listed_endpoint(relay, n) {
                Some(endpoint) => endpoints.push(endpoint),
                None if previous.is_some() => {
                    let b = &self.backends[n];
                    let (endpoint, zone) = (b.id, b.zone as u16);
                    let state = EndpointState::Removed;
                    endpoints.push(ListedEndpoint {
                        id: endpoint,
                        zone,
                        cell: 0,
                        state,
                        size: 1.0,
                        started_at: b.started_at,
                    });
                }
                None => {}
            }
        }
        self.rules
            .list_received(self.now, relay, &self.relays[relay].list);
        self.send_list(relay, EndpointListKind::Delta, endpoints);
    }

    // Backends.

    /// Stops a backend: `Down` breaks its connections at once, `Silent` leaves them without
    /// traffic.
    fn stop_backend(&mut self, backend: usize, state: BackendState) {
        let clients: Vec<usize> = self.backends[backend].clients.values().copied().collect();
        let silent = state == BackendState::Silent;
        if !silent {
            for client in clients {
                self.break_connection(client, Outcome::Reset, Loss::Broken);
            }
            self.backends[backend].stop(state);
        } else {
            self.backends[backend].state = state;
        }
    }

    fn restart_backend(&mut self, backend: usize) {
        if self.backends[backend].state == BackendState::Silent {
            // Its process ended with its host, so its connections are reset when the host is back.
            self.stop_backend(backend, BackendState::Down);
        }
        let now = self.now;
        self.backends[backend].start_cold(now);
        self.schedule_in(
            self.scenario.list_add_delay,
            SimEvent::ListChange(backend, EndpointState::Ready),
        );
    }

    fn replace_backend(&mut self, old: usize, drain_time: Micros) {
        if self.backends[old].state != BackendState::Up {
            return;
        }
        self.backends[old].state = BackendState::Draining;
        self.list_changed(old, EndpointState::Draining);
        // It closes its connections at times spread over the drain, then exits.
        let clients: Vec<(u64, usize)> = self.backends[old]
            .clients
            .iter()
            .map(|(&try_number, &client)| (try_number, client))
            .collect();
        for (try_number, client) in clients {
            let after = self
                .rng
                .random_range(drain_time / 4..drain_time * 3 / 4 + 1);
            self.schedule_in(after, SimEvent::ConnectionEnds(client, try_number));
        }
        self.schedule_in(drain_time, SimEvent::BackendGone(old));
        let zone = self.backends[old].zone;
        let mut replacement = draw_backend(&self.scenario, zone, &mut self.rng);
        replacement.started_at = Some(self.now);
        self.backend_by_id
            .insert(replacement.id, self.backends.len());
        self.backends.push(replacement);
        self.discovery_list.push(None);
        self.schedule_in(
            self.scenario.list_add_delay,
            SimEvent::ListChange(self.backends.len() - 1, EndpointState::Ready),
        );
    }

    fn end_connection(&mut self, client: usize, try_number: u64) {
        if self.clients[client].try_number == try_number {
            self.break_connection(client, Outcome::Cancelled, Loss::Left);
        }
    }

    // Stops and restarts of relays.

    fn stop_relay(&mut self, relay: usize, downtime: Micros) {
        let r = &mut self.relays[relay];
        if !r.alive {
            return;
        }
        (r.alive, r.watches_list, r.delta_scheduled) = (false, false, false);
        r.incarnation += 1;
        let mut pending: Vec<(u32, Pending)> = r.pending.drain().collect();
        pending.sort_by_key(|(id, _)| *id);
        r.slow_noted_at.clear();
        let incarnation = r.incarnation;
        self.rules.relay_died(relay);
        for (_, p) in pending {
            match self.clients[p.client].state {
                ClientState::Established(at, _, backend) if at == relay => {
                    self.release_connection(p.client, backend);
                    self.reconnect_later(p.client, Loss::Broken, None);
                }
                ClientState::Requesting(at, _) if at == relay => {
                    self.reconnect_later(p.client, Loss::Broken, None)
                }
                _ => {}
            }
        }
        self.schedule_in(
            self.scenario.front_detection_time,
            SimEvent::FrontRotation(relay, incarnation, false),
        );
        self.schedule_in(downtime, SimEvent::RelayRestarts(relay));
    }

    fn restart_relay(&mut self, relay: usize) {
        let r = &mut self.relays[relay];
        (r.alive, r.stopping) = (true, false);
        r.incarnation += 1;
        let incarnation = r.incarnation;
        self.start_relay(relay);
        // The load balancer in front routes to it again after its first answer.
        self.schedule_in(20_000, SimEvent::FrontRotation(relay, incarnation, true));
    }

    fn drain_relay(&mut self, relay: usize) {
        if !self.relays[relay].alive || self.relays[relay].stopping {
            return;
        }
        let incarnation = self.relays[relay].incarnation;
        self.relays[relay].in_rotation = false;
        let mut standing: Vec<u32> = self.relays[relay]
            .pending
            .iter()
            .filter(|(_, p)| p.established)
            .map(|(id, _)| *id)
            .collect();
        standing.sort_unstable();
        for id in standing {
            let at = self
                .rng
                .random_range(DRAIN_MIGRATES_FROM..DRAIN_MIGRATES_UNTIL);
            self.schedule_in(at, SimEvent::RelayMigrates(relay, incarnation, id));
        }
        self.schedule_in(DRAIN_EXITS_AT, SimEvent::RelayExits(relay, SECOND / 2));
    }

    // Troubles.

    fn start_trouble(&mut self, n: usize) {
        let (_, trouble) = self.scenario.troubles[n].clone();
        let serving: Vec<usize> = (0..self.backends.len())
            .filter(|&b| self.backends[b].state == BackendState::Up)
            .collect();
        let pick_backends = |share: f64, rng: &mut ChaCha8Rng| {
            let mut candidates = serving.clone();
            candidates.shuffle(rng);
            candidates.truncate((share * serving.len() as f64).round() as usize);
            candidates
        };
        let now = self.now;
        match trouble {
            DrawnTrouble::Burst { until, factor } => {
                self.arrival_factor = factor;
                self.schedule_in(until.saturating_sub(now), SimEvent::TroubleEnds(n));
            }
            DrawnTrouble::Shift { until, share } => {
                self.zone_shift = Some((self.rng.random_range(0..self.scenario.zones), share));
                self.schedule_in(until.saturating_sub(now), SimEvent::TroubleEnds(n));
            }
            DrawnTrouble::HotCaller { until, factor } => {
                self.hot_group = Some((self.rng.random_range(0..self.scenario.groups), factor));
                self.schedule_in(until.saturating_sub(now), SimEvent::TroubleEnds(n));
            }
            DrawnTrouble::Reconnect { within, share } => {
                for client in 0..self.clients.len() {
                    let c = &self.clients[client];
                    let up = matches!(c.state, ClientState::Established(..));
                    if up && self.rng.random_bool(share.min(1.0)) {
                        let try_number = self.clients[client].try_number;
                        let after = self.rng.random_range(0..within.max(1));
                        self.schedule_in(after, SimEvent::ConnectionEnds(client, try_number));
                    }
                }
            }
            DrawnTrouble::Replace {
                within,
                share,
                drain_time,
            } => {
                let selected = pick_backends(share, &mut self.rng);
                let every = within / selected.len().max(1) as u64;
                // One at a time, evenly spread over the given time.
                for (k, backend) in selected.into_iter().enumerate() {
                    self.schedule_in(
                        every * k as u64,
                        SimEvent::ReplaceBackends(vec![backend], drain_time),
                    );
                }
            }
            DrawnTrouble::RollRelays { every, share } => {
                let mut relays: Vec<usize> = (0..self.relays.len()).collect();
                relays.shuffle(&mut self.rng);
                let at_once = ((share * relays.len() as f64).ceil() as usize).max(1);
                for (k, batch) in relays.chunks(at_once).enumerate() {
                    for &relay in batch {
                        self.schedule_in(every * k as u64, SimEvent::RelayDrains(relay));
                    }
                }
            }
            DrawnTrouble::KillRelays { share, downtime } => {
                let mut relays: Vec<usize> = (0..self.relays.len()).collect();
                relays.shuffle(&mut self.rng);
                relays.truncate((share * self.relays.len() as f64).round() as usize);
                for relay in relays {
                    let after = self.rng.random_range(downtime.0..=downtime.1);
                    self.stop_relay(relay, after);
                }
            }
            DrawnTrouble::BusyDiscovery { until, factor } => {
                self.call_rate = self.scenario.list_calls_per_s * factor;
                self.schedule_in(until.saturating_sub(now), SimEvent::TroubleEnds(n));
            }
            DrawnTrouble::Sick {
                until,
                share,
                speed_factor,
                error_rate,
            } => {
                let selected = pick_backends(share, &mut self.rng);
                for &backend in &selected {
                    (
                        self.backends[backend].speed_factor,
                        self.backends[backend].error_rate,
                    ) = (speed_factor.max(0.01), error_rate);
                }
                self.affected[n] = selected;
                self.schedule_in(until.saturating_sub(now), SimEvent::TroubleEnds(n));
            }
            DrawnTrouble::LoseZone { until, silent } => {
                let zone = self.rng.random_range(0..self.scenario.zones);
                let selected: Vec<usize> = match self.scenario.zones {
                    1 => pick_backends(0.3, &mut self.rng),
                    _ => serving
                        .iter()
                        .copied()
                        .filter(|&b| self.backends[b].zone == zone)
                        .collect(),
                };
                let state = if silent {
                    BackendState::Silent
                } else {
                    BackendState::Down
                };
                let removal_delay = if silent {
                    self.scenario.silent_removal_delay
                } else {
                    self.scenario.removal_delay
                };
                for &backend in &selected {
                    self.stop_backend(backend, state);
                    if removal_delay < until.saturating_sub(now) {
                        self.schedule_in(
                            removal_delay,
                            SimEvent::ListChange(backend, EndpointState::Removed),
                        );
                    }
                }
                self.affected[n] = selected;
                self.schedule_in(until.saturating_sub(now), SimEvent::TroubleEnds(n));
            }
            DrawnTrouble::CutZone { until } => {
                if self.scenario.zones > 1 {
                    self.cut_zone = Some(self.rng.random_range(0..self.scenario.zones));
                } else {
                    let selected = pick_backends(0.2, &mut self.rng);
                    for &backend in &selected {
                        self.stop_backend(backend, BackendState::Silent);
                    }
                    self.affected[n] = selected;
                }
                self.schedule_in(until.saturating_sub(now), SimEvent::TroubleEnds(n));
            }
            DrawnTrouble::LateLists { until } => {
                self.lists_delayed = true;
                self.schedule_in(until.saturating_sub(now), SimEvent::TroubleEnds(n));
            }
            DrawnTrouble::LoseAnswers { until, share } => {
                self.answer_loss = share.min(1.0);
                self.schedule_in(until.saturating_sub(now), SimEvent::TroubleEnds(n));
            }
            DrawnTrouble::Crash { until, share } => {
                let selected = pick_backends(share, &mut self.rng);
                for &backend in &selected {
                    self.stop_backend(backend, BackendState::Down);
                    if self.scenario.removal_delay < until.saturating_sub(now) {
                        self.schedule_in(
                            self.scenario.removal_delay,
                            SimEvent::ListChange(backend, EndpointState::Removed),
                        );
                    }
                }
                self.affected[n] = selected;
                self.schedule_in(until.saturating_sub(now), SimEvent::TroubleEnds(n));
            }
            DrawnTrouble::Heavy {
                until,
                share,
                factor,
            } => {
                let selected: Vec<usize> = (0..self.clients.len())
                    .filter(|&c| {
                        self.clients[c].state != ClientState::Inactive && self.clients[c].class == 0
                    })
                    .filter(|_| self.rng.random_bool(share.min(1.0)))
                    .collect();
                for &client in &selected {
                    self.scale_client_load(client, factor);
                }
                self.affected[n] = selected;
                self.schedule_in(until.saturating_sub(now), SimEvent::TroubleEnds(n));
            }
        }
    }

    fn end_trouble(&mut self, n: usize) {
        let affected = std::mem::take(&mut self.affected[n]);
        match self.scenario.troubles[n].1 {
            DrawnTrouble::Burst { .. } => self.arrival_factor = 1.0,
            DrawnTrouble::Shift { .. } => self.zone_shift = None,
            DrawnTrouble::HotCaller { .. } => self.hot_group = None,
            DrawnTrouble::BusyDiscovery { .. } => self.call_rate = self.scenario.list_calls_per_s,
            DrawnTrouble::Sick { .. } => affected.into_iter().for_each(|b| {
                (self.backends[b].speed_factor, self.backends[b].error_rate) = (1.0, 0.0);
            }),
            DrawnTrouble::LoseZone { .. } | DrawnTrouble::Crash { .. } => {
                affected.into_iter().for_each(|b| self.restart_backend(b))
            }
            DrawnTrouble::CutZone { .. } => {
                self.cut_zone = None;
                for backend in affected {
                    // The backend was only unreachable, so its connections continue.
                    if self.backends[backend].state == BackendState::Silent {
                        self.backends[backend].state = BackendState::Up;
                    }
                }
            }
            DrawnTrouble::LateLists { .. } => {
                self.lists_delayed = false;
                for (backend, state) in std::mem::take(&mut self.delayed_changes) {
                    self.list_changed(backend, state);
                }
            }
            DrawnTrouble::LoseAnswers { .. } => self.answer_loss = 0.0,
            DrawnTrouble::Heavy { factor, .. } => affected
                .into_iter()
                .for_each(|c| self.scale_client_load(c, 1.0 / factor)),
            _ => {}
        }
    }

    /// Multiplies a client's load.
    fn scale_client_load(&mut self, client: usize, factor: f64) {
        let c = &mut self.clients[client];
        let added = c.load * factor - c.load;
        (c.load, c.base_load) = (c.load + added, c.base_load * factor);
        if let ClientState::Established(_, _, backend) = c.state {
            let b = &mut self.backends[backend];
            b.load = (b.load + added).max(0.0);
        }
    }

    // Periodic step.

    fn settle_step(&mut self) {
        let step_s = STEP as f64 / 1e6;
        let now = self.now;
        let mut crashed = Vec::new();
        let mut dropped = Vec::new();
        let (mut loads, mut warm, mut in_use, mut pairs) = (0.0, 0.0, 0, 0);
        for n in 0..self.backends.len() {
            let b = &mut self.backends[n];
            if !matches!(b.state, BackendState::Up | BackendState::Draining) {
                continue;
            }
            if b.step(&self.scenario, now, step_s) {
                crashed.push(n);
            }
            if b.backlog_s > self.scenario.backlog_limit_s {
                // The backlog is over its limit: the backend drops its newest connection.
                dropped.extend(b.clients.values().next_back().copied());
            }
            if !b.clients.is_empty() {
                (loads, warm, in_use) = (loads + b.utilization, warm + b.warmth(now), in_use + 1);
                pairs += b.groups.len() as u32;
            }
            if now >= b.next_report.0 {
                b.report = b.next_report.1;
                let report = LoadReport {
                    connections: b.clients.len() as f64,
                    load: b.utilization,
                };
                // This report becomes visible after the report delay and half a period, and the
                // next one is made then.
                let wait = self.scenario.report_delay.max(1) + self.scenario.report_period / 2;
                b.next_report = (now + wait, report);
            }
        }
        for n in crashed {
            self.stats.falls += 1;
            self.rules.cold_backend_crashed(now, n);
            self.stop_backend(n, BackendState::Down);
            self.schedule_in(
                self.scenario.removal_delay,
                SimEvent::ListChange(n, EndpointState::Removed),
            );
        }
        for client in dropped {
            self.stats.dropped += 1;
            self.break_connection(client, Outcome::Reset, Loss::Broken);
        }
        self.account_clients(step_s);
        let total_list_age: f64 = self
            .relays
            .iter()
            .map(|r| now.saturating_sub(r.list_heard_at) as f64 / 1e6)
            .sum();
        let mut current_step = std::mem::take(&mut self.current_step);
        (current_step.load, current_step.warmth) = (
            loads / f64::from(in_use.max(1)),
            warm / f64::from(in_use.max(1)),
        );
        (current_step.list_age, current_step.pairs) =
            (total_list_age / self.relays.len().max(1) as f64, pairs);
        self.stats.steps.push(current_step);
        self.report_slow_messages();
        self.add_arrivals(step_s);
        self.rules.check_deadlines(now);
        self.schedule_in(STEP, SimEvent::Step);
    }

    /// Accounts this step's service and losses for each client.
    fn account_clients(&mut self, step_s: f64) {
        let mut lost = Vec::new();
        for n in 0..self.clients.len() {
            let c = &mut self.clients[n];
            if c.state == ClientState::Inactive {
                continue;
            }
            let class = &self.scenario.classes[c.class];
            let worth = class.worth * step_s;
            self.current_step.asked += worth;
            self.current_step.wanting_clients += 1;
            self.stats.classes[c.class].0 += worth;
            self.group_service[c.group].0 += worth;
            let ClientState::Established(relay, _, backend) = c.state else {
                let loss = c.loss;
                self.stats.add_loss(loss, worth);
                continue;
            };
            let b = &self.backends[backend];
            let zone = self.relays[relay].zone;
            let reachable =
                zone == b.zone || self.cut_zone.is_none_or(|cut| zone != cut && b.zone != cut);
            self.stats.established += worth;
            if zone != b.zone {
                self.stats.cross_zone += worth;
            }
            if !reachable || b.state == BackendState::Silent {
                self.stats.add_loss(Loss::Cut, worth);
                let since = *c.cut_since.get_or_insert(self.now);
                if self.now >= since + SILENCE_LIMIT {
                    lost.push(n);
                }
                continue;
            }
            c.cut_since = None;
            let share_served = b.share_answered_within(&self.scenario, class.message_objective_s);
            self.current_step.served += worth * share_served;
            self.stats.classes[c.class].1 += worth * share_served;
            self.group_service[c.group].1 += worth * share_served;
            let loss = if b.warmth(self.now) < 1.0 {
                Loss::Cold
            } else {
                Loss::Jam
            };
            self.stats.add_loss(loss, worth * (1.0 - share_served));
            if self.now >= c.next_load_change {
                let s = spread(class.swing_sigma, &mut self.rng).min(6.0);
                let new = c.base_load * s;
                c.next_load_change =
                    self.now + micros(class.load_change_s * self.rng.random_range(0.5..1.5));
                let b = &mut self.backends[backend];
                b.load = (b.load + new - c.load).max(0.0);
                c.load = new;
            }
        }
        for client in lost {
            self.break_connection(client, Outcome::Reset, Loss::Cut);
        }
    }

    /// Sends relays delay samples of slow messages, once a second for each of their backends.
    fn report_slow_messages(&mut self) {
        let objective_s = self
            .scenario
            .classes
            .iter()
            .map(|s| s.message_objective_s)
            .fold(f64::MAX, f64::min);
        let slow_backends: Vec<usize> = (0..self.backends.len())
            .filter(|&n| {
                let b = &self.backends[n];
                !b.clients.is_empty()
                    && matches!(b.state, BackendState::Up | BackendState::Draining)
                    && b.message_seconds(&self.scenario) > objective_s * SLOW_MESSAGE_SHARE
            })
            .collect();
        for backend in slow_backends {
            let clients: Vec<usize> = self.backends[backend].clients.values().copied().collect();
            let elapsed = micros(self.backends[backend].message_seconds(&self.scenario));
            for client in clients {
                let ClientState::Established(relay, id, at) = self.clients[client].state else {
                    continue;
                };
                let r = &mut self.relays[relay];
                let noted = r.slow_noted_at.entry(backend).or_insert(0);
                if at != backend || !r.alive || (*noted > 0 && self.now < *noted + SECOND) {
                    continue;
                }
                *noted = self.now;
                let cell = r.pending.get(&id).map_or(0, |p| p.cell);
                let endpoint = self.backends[backend].id;
                self.deliver(
                    relay,
                    cell,
                    Event::DelaySample {
                        id: RequestId(id),
                        endpoint,
                        delay: elapsed,
                    },
                );
            }
        }
    }

    /// Adds the clients that arrive in this step.
    fn add_arrivals(&mut self, step_s: f64) {
        let phase = self.now as f64 / self.scenario.length.max(1) as f64 * std::f64::consts::TAU;
        let hot_factor = self
            .hot_group
            .map_or(1.0, |(_, factor)| 1.0 + factor / 12.0);
        let rate = self.arrival_rate
            * (1.0 + self.scenario.arrival_swing * phase.sin())
            * self.arrival_factor
            * hot_factor;
        self.arrivals_due += rate * step_s;
        while self.arrivals_due >= 1.0 {
            self.arrivals_due -= 1.0;
            let at = self.now + self.rng.random_range(0..STEP);
            let client = self.new_client(at);
            self.stats.requests += 1;
            let try_number = self.clients[client].try_number;
            self.schedule_at(at, SimEvent::ClientConnects(client, try_number));
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::ClientConnects(client, try_number) => {
                self.client_connects(client, try_number)
            }
            SimEvent::RequestArrives(client, try_number) => {
                self.request_arrives(client, try_number)
            }
            SimEvent::ClientTimeout(client, try_number) => {
                self.client_times_out(client, try_number)
            }
            SimEvent::ClientLeaves(client) => self.client_leaves(client),
            SimEvent::Timer {
                relay,
                incarnation,
                cell,
                token,
            } => {
                if self.relays[relay].incarnation == incarnation {
                    self.deliver(relay, cell, Event::Timer(token));
                }
            }
            SimEvent::DialEnded {
                relay,
                incarnation,
                id,
                attempt,
                backend,
                backend_incarnation,
            } => {
                self.dial_ended(
                    relay,
                    incarnation,
                    id,
                    attempt,
                    backend,
                    backend_incarnation,
                );
            }
            SimEvent::SetupDone {
                backend,
                backend_incarnation,
                relay,
                incarnation,
                id,
                attempt,
            } => {
                self.setup_done(
                    backend,
                    backend_incarnation,
                    (relay, incarnation, id, attempt),
                );
            }
            SimEvent::AttemptAnswered {
                relay,
                incarnation,
                id,
                attempt,
                outcome,
            } => self.attempt_answered(relay, incarnation, id, attempt, outcome),
            SimEvent::AttemptTimeout {
                relay,
                incarnation,
                id,
                attempt,
            } => self.attempt_timed_out(relay, incarnation, id, attempt),
            SimEvent::ClientAnswered {
                client,
                try_number,
                wait,
            } => self.client_answered(client, try_number, wait),
            SimEvent::ProbeEnded {
                relay,
                incarnation,
                cell,
                backend,
                backend_incarnation,
                sent,
            } => {
                let silent = self.now >= sent + self.scenario.probe_timeout
                    || self.backends[backend].incarnation != backend_incarnation
                        && self.backends[backend].state != BackendState::Up;
                self.probe_ended(relay, incarnation, cell, backend, silent);
            }
            SimEvent::SharedReport {
                relay,
                incarnation,
                cell,
                backend,
            } => self.deliver_shared_report(relay, incarnation, cell, backend),
            SimEvent::LoadWatchRound(zone) => self.run_load_watch_round(zone),
            SimEvent::ListDelta { relay, incarnation } => self.send_list_delta(relay, incarnation),
            SimEvent::ListCallEnded {
                relay,
                incarnation,
                ok,
            } => self.list_call_ended(relay, incarnation, ok),
            SimEvent::ListChange(backend, state) => self.list_changed(backend, state),
            SimEvent::TroubleStarts(n) => self.start_trouble(n),
            SimEvent::TroubleEnds(n) => self.end_trouble(n),
            SimEvent::ReplaceBackends(selected, drain_time) => selected
                .into_iter()
                .for_each(|backend| self.replace_backend(backend, drain_time)),
            SimEvent::BackendGone(backend) => {
                self.stop_backend(backend, BackendState::Down);
                self.list_changed(backend, EndpointState::Removed);
            }
            SimEvent::ConnectionEnds(client, try_number) => self.end_connection(client, try_number),
            SimEvent::RelayDrains(relay) => self.drain_relay(relay),
            SimEvent::RelayMigrates(relay, incarnation, id) => {
                if self.relays[relay].incarnation == incarnation {
                    self.migrate_client(relay, id);
                }
            }
            SimEvent::RelayExits(relay, downtime) => self.stop_relay(relay, downtime),
            SimEvent::RelayRestarts(relay) => self.restart_relay(relay),
            SimEvent::FrontRotation(relay, incarnation, on) => {
                if self.relays[relay].incarnation == incarnation {
                    self.relays[relay].in_rotation = on;
                }
            }
            SimEvent::Step => self.settle_step(),
        }
    }
}

/// Draws an index with probabilities proportional to `weights`.
fn weighted(weights: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let total: f64 = weights.iter().sum();
    let mut at = rng.random::<f64>() * total;
    for (n, weight) in weights.iter().enumerate() {
        at -= weight;
        if at < 0.0 {
            return n;
        }
    }
    weights.len().saturating_sub(1)
}

fn draw_backend(scenario: &Scenario, zone: usize, rng: &mut ChaCha8Rng) -> Backend {
    let shares: Vec<f64> = scenario.machines.iter().map(|m| m.share).collect();
    let machine = &scenario.machines[weighted(&shares, rng)];
    let mut b = Backend::new(EndpointId(rng.random()), zone);
    b.cores = machine.cores;
    b.compute_power = machine.cores * draw_speed(machine, rng);
    // Discovery lists the size of the machine kind, not the speed of this machine.
    b.listed_size = machine.cores * machine.speed / 5.0;
    b.queue_per_core = machine.queue_per_core;
    b.initial_warmth = machine.initial_warmth;
    b.warm_up_time = micros(machine.warm_up_s);
    b
}
