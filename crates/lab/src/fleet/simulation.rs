//! The fleet on a virtual clock: relays with their own decisions, backends, clients, discovery and the network between
//! them, as discrete events. It knows no file and no report.
//!
//! Time is whole microseconds; events of one moment are handled in the order in which they were made, so a run is the
//! same on any machine and for any number of jobs. Every 100 ms the books are written and backends' work is settled.

use super::backend::{Backend, Runs, Told};
use super::policy::{Decider, Policy};
use super::rules::{Break, Watchdog};
use super::scenario::{micros, speed, spread, Event as Trouble, Scene};
use super::stats::{Books, Loss, Step};
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

/// The step of accounting: short against every window of the rules and the goal.
pub const STEP: Micros = SECOND / 10;
/// A connection that brings nothing for so long is given up by its relay and its client is moved.
const SILENT: Micros = 5 * SECOND;
/// How long a relay that was told to stop takes in clients, and by when it has moved what stands, and is gone.
const STOP_OPEN: Micros = 450_000;
const STOP_MOVED: Micros = 2_220_000;
const STOP_GONE: Micros = 3_700_000;
/// A front's try at a relay that is gone: it is refused at once, and the client comes again.
const KNOCK: Micros = 100_000;
/// Notes of slow messages: from this share of the shortest aim on, once a second for each relay and backend.
const NOTE_FROM: f64 = 1.0 / 3.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Not come yet, or its time is over.
    Away,
    /// It will come again.
    Waiting,
    /// Its request is at that relay, under that id.
    Asking(usize, u32),
    /// It is up through that relay at that backend.
    Up(usize, u32, usize),
}

struct Client {
    group: usize,
    zone: usize,
    sort: usize,
    key: u64,
    /// Its load now, and around what it swings.
    load: f64,
    usual: f64,
    change: Micros,
    state: State,
    /// Which of its tries this is: what belongs to an older one is void.
    turn: u64,
    /// When its time is over.
    leaves: Micros,
    failures: u32,
    again: bool,
    why: Loss,
    asked_at: Micros,
    /// Since when its backend is cut off from its relay.
    cut: Option<Micros>,
}

struct Pending {
    client: usize,
    turn: u64,
    part: usize,
    sent: Micros,
    /// The attempt that is out: its number, its backend, the backend's life.
    out: Option<(u32, usize, u32)>,
    attempts: u32,
    answered: bool,
    up: bool,
}

struct Relay {
    zone: usize,
    alive: bool,
    /// Whether the front sends clients here, and whether it takes them.
    fronted: bool,
    stopping: bool,
    life: u32,
    parts: Vec<Decider>,
    pending: HashMap<u32, Pending>,
    next: u32,
    /// The version of the list that it has, whether it watches, and when it heard last.
    version: usize,
    watching: bool,
    telling: bool,
    heard: Micros,
    /// What its list says of each backend.
    list: Vec<Option<EndpointState>>,
    noted: HashMap<usize, Micros>,
}

enum Ev {
    Come(usize, u64),
    Knock(usize, u64),
    GiveUp(usize, u64),
    Leave(usize),
    Timer {
        relay: usize,
        life: u32,
        part: usize,
        token: u64,
    },
    Dialled {
        relay: usize,
        life: u32,
        id: u32,
        number: u32,
        backend: usize,
        backend_life: u32,
    },
    Through {
        backend: usize,
        backend_life: u32,
        relay: usize,
        life: u32,
        id: u32,
        number: u32,
    },
    Answer {
        relay: usize,
        life: u32,
        id: u32,
        number: u32,
        outcome: Option<Outcome>,
    },
    Until {
        relay: usize,
        life: u32,
        id: u32,
        number: u32,
    },
    Answered {
        client: usize,
        turn: u64,
        wait: Option<Micros>,
    },
    Probed {
        relay: usize,
        life: u32,
        part: usize,
        backend: usize,
        backend_life: u32,
        sent: Micros,
    },
    Told {
        relay: usize,
        life: u32,
        part: usize,
        backend: usize,
    },
    Watch(usize),
    Tell {
        relay: usize,
        life: u32,
    },
    Called {
        relay: usize,
        life: u32,
        ok: bool,
    },
    Listed(usize, EndpointState),
    Trouble(usize),
    Over(usize),
    Replace(Vec<usize>, Micros),
    Gone(usize),
    SendAway(usize, u64),
    RelayStops(usize),
    RelayMove(usize, u32, u32),
    RelayGone(usize, Micros),
    RelayBack(usize),
    Fronted(usize, u32, bool),
    Step,
}

/// Who decides, and how sites are confined.
#[derive(Clone, Debug)]
pub struct Variant {
    /// The decisions.
    pub policy: Policy,
    /// The cells; one for all where there are none.
    pub cells: CellMap,
    /// Whether one relay a zone probes the zone's backends and tells all others (the job `load/ZONE`).
    pub load_watch: bool,
}

/// The load watch of a zone, as its job does it.
#[derive(Default)]
struct Watch {
    /// Its owner's process, and from when on that acts.
    owner: Option<(usize, u32)>,
    from: Micros,
    /// What it found last of each backend, and when.
    told: HashMap<usize, (Micros, Vec<f32>)>,
}

/// The pace of the watch's rounds, how long a report stands for a probe, and the longest that it may take from a relay by a
/// voter to another beside the ways: as in the relay.
const ROUND: Micros = 500_000;
const FRESH: Micros = 1_000_000;
const HANDLED: Micros = 2_000;
/// How long a job is without an owner whose relay died: measured in the virtual fleet, median of 20 plays.
const OWNERLESS: Micros = 3_070_000;

/// What a run came to.
pub struct Outcomes {
    /// The books.
    pub books: Books,
    /// Rules that were broken, the first ones.
    pub breaks: Vec<Break>,
    /// Over all that happened.
    pub digest: u64,
    /// Events handled.
    pub events: u64,
    /// What was asked to be traced.
    pub trace: Vec<String>,
    /// By group: worth-seconds asked and served, and backends that ever held it.
    pub groups: Vec<(f64, f64, usize)>,
}

/// A run.
pub struct World {
    scene: Scene,
    variant: Variant,
    rng: ChaCha8Rng,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: HashMap<u64, Ev>,
    made: u64,
    handled: u64,
    backends: Vec<Backend>,
    by_id: BTreeMap<EndpointId, usize>,
    clients: Vec<Client>,
    relays: Vec<Relay>,
    group_keys: Vec<u64>,
    group_weights: Vec<f64>,
    /// What discovery shows, in the order of its changes.
    shown: Vec<Option<EndpointState>>,
    /// Of each zone, where the fleet has load watches.
    watches: Vec<Watch>,
    log: Vec<usize>,
    call_free: Micros,
    call_rate: f64,
    held_news: Vec<(usize, EndpointState)>,
    late_lists: bool,
    cut: Option<usize>,
    lost_answers: f64,
    burst: f64,
    shift: Option<(usize, f64)>,
    hot: Option<(usize, f64)>,
    arrivals: f64,
    owed: f64,
    /// What each trouble has touched, for its end.
    touched: Vec<Vec<usize>>,
    turns: u64,
    books: Books,
    tick: Step,
    calls_second: (Micros, u64),
    watchdog: Watchdog,
    digest: Xxh3,
    follow: Option<usize>,
    trace: Vec<String>,
    group_books: Vec<(f64, f64)>,
    group_seen: Vec<std::collections::BTreeSet<usize>>,
    actions: Vec<Action>,
}

impl World {
    /// Sets a run up; `follow` is the number of a client whose way is written down.
    pub fn new(scene: Scene, variant: Variant, follow: Option<usize>) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(scene.seed ^ 0x6c65_6574);
        let backends: Vec<Backend> = (0..scene.backends)
            .map(|n| backend(&scene, n % scene.zones, &mut rng))
            .collect();
        let by_id = backends
            .iter()
            .enumerate()
            .map(|(n, b)| (b.id, n))
            .collect();
        let mut zones: Vec<usize> = Vec::new();
        for relay in 0..scene.relays {
            // Each zone has a relay at least, and about its share of clients in relays.
            let at = (relay as f64 + 0.5) / scene.relays as f64;
            let mut sum = 0.0;
            let zone = scene.zone_share.iter().position(|share| {
                sum += share;
                at < sum
            });
            zones.push(if relay < scene.zones {
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
                fronted: true,
                stopping: false,
                life: 0,
                parts: Vec::new(),
                pending: HashMap::new(),
                next: 0,
                version: 0,
                watching: false,
                telling: false,
                heard: 0,
                list: vec![Some(EndpointState::Ready); scene.backends],
                noted: HashMap::new(),
            })
            .collect();
        let group_keys = (0..scene.groups).map(|_| rng.random::<u64>() | 1).collect();
        let group_weights: Vec<f64> = (0..scene.groups)
            .map(|n| ((n + 1) as f64).powf(-scene.group_zipf))
            .collect();
        let groups = scene.groups;
        let shown = vec![Some(EndpointState::Ready); scene.backends];
        let (calls, zones_of) = (scene.calls_per_s, scene.zones);
        let sorts = scene.sorts.len();
        let mut world = World {
            touched: vec![Vec::new(); scene.troubles.len()],
            watchdog: Watchdog::new(&scene.site.rules),
            scene,
            variant,
            rng,
            now: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            made: 0,
            handled: 0,
            backends,
            by_id,
            clients: Vec::new(),
            relays,
            group_keys,
            group_weights,
            shown,
            watches: (0..zones_of).map(|_| Watch::default()).collect(),
            log: Vec::new(),
            call_free: 0,
            call_rate: calls,
            held_news: Vec::new(),
            late_lists: false,
            cut: None,
            lost_answers: 0.0,
            burst: 1.0,
            shift: None,
            hot: None,
            arrivals: 0.0,
            owed: 0.0,
            turns: 0,
            books: Books {
                classes: vec![(0.0, 0.0); sorts],
                ..Books::default()
            },
            tick: Step::default(),
            calls_second: (0, 0),
            digest: Xxh3::new(),
            follow,
            trace: Vec::new(),
            group_books: vec![(0.0, 0.0); groups],
            group_seen: vec![Default::default(); groups],
            actions: Vec::new(),
        };
        for relay in 0..world.relays.len() {
            world.start_relay(relay);
        }
        world.fill();
        for n in 0..world.scene.troubles.len() {
            let at = world.scene.troubles[n].0;
            world.at(at, Ev::Trouble(n));
        }
        world.at(STEP, Ev::Step);
        for zone in 0..if world.variant.load_watch {
            zones_of
        } else {
            0
        } {
            // Owners were given their jobs one after the other.
            world.at(
                STEP + ROUND * zone as u64 / zones_of as u64,
                Ev::Watch(zone),
            );
        }
        world
    }

    fn at(&mut self, at: Micros, ev: Ev) {
        self.made += 1;
        self.queue.push(Reverse((at.max(self.now), self.made)));
        self.events.insert(self.made, ev);
    }

    fn later(&mut self, after: Micros, ev: Ev) {
        self.at(self.now + after, ev);
    }

    /// Runs it to its end.
    pub fn run(mut self) -> Outcomes {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > self.scene.length {
                break;
            }
            let Some(ev) = self.events.remove(&number) else {
                continue;
            };
            (self.now, self.handled) = (at, self.handled + 1);
            self.digest.update(&at.to_le_bytes());
            self.digest.update(&number.to_le_bytes());
            self.handle(ev);
        }
        self.digest.update(&self.books.placed.to_le_bytes());
        let groups = self
            .group_books
            .iter()
            .zip(&self.group_seen)
            .map(|(b, s)| (b.0, b.1, s.len()))
            .collect();
        Outcomes {
            books: self.books,
            breaks: self.watchdog.breaks,
            digest: self.digest.digest(),
            events: self.handled,
            trace: self.trace,
            groups,
        }
    }

    fn say(&mut self, client: usize, what: impl FnOnce() -> String) {
        if self.follow == Some(client) {
            let line = format!("{:9.3} ms  {}", self.now as f64 / 1e3, what());
            self.trace.push(line);
        }
    }

    // The start.

    /// Fills the fleet with standing connections, as packed as they were found: each group on as few backends as bear
    /// it.
    fn fill(&mut self) {
        let capacity: f64 = self
            .backends
            .iter()
            .map(|b| b.power * self.scene.per_core)
            .sum();
        let room = capacity * self.scene.asked;
        let mut clients = Vec::new();
        let mut load = 0.0;
        while load < room && clients.len() < 200_000 {
            let client = self.client(0);
            load += self.clients[client].load;
            clients.push(client);
        }
        let mean = self
            .scene
            .sorts
            .iter()
            .map(|s| s.share * s.life)
            .sum::<f64>()
            .max(0.1);
        self.arrivals = clients.len() as f64 / (self.scene.life_s * mean);
        // The largest groups first, as packers do.
        clients.sort_by_key(|&c| self.clients[c].group);
        let mut free: Vec<f64> = self
            .backends
            .iter()
            .map(|b| b.power * self.scene.per_core * self.scene.packed)
            .collect();
        let mut at: Option<(usize, usize)> = None;
        for client in clients {
            let (group, zone) = (self.clients[client].group, self.clients[client].zone);
            let fits = at.filter(|&(g, b)| g == group && free[b] > 0.0);
            let backend = match fits {
                Some((_, b)) => b,
                None => {
                    let Some(b) = (0..free.len()).max_by(|&a, &b| free[a].total_cmp(&free[b]))
                    else {
                        return;
                    };
                    free[b] -= self.scene.group_cost;
                    b
                }
            };
            at = Some((group, backend));
            free[backend] -= self.clients[client].load;
            let Some(relay) = self.pick_relay(zone) else {
                continue;
            };
            self.adopt(client, relay, backend);
        }
    }

    fn adopt(&mut self, client: usize, relay: usize, backend: usize) {
        self.books.requests += 1;
        self.books.standing += 1;
        self.books.attempts += 1;
        let request = self.request(client, relay);
        let (id, part) = (request.id, self.part_of(self.backends[backend].id));
        let turn = self.clients[client].turn;
        let sent = self.now;
        let pending = Pending {
            client,
            turn,
            part,
            sent,
            out: None,
            attempts: 1,
            answered: true,
            up: true,
        };
        self.relays[relay].pending.insert(id.0, pending);
        self.hold(client, relay, id.0, backend);
        let server = self.backends[backend].id;
        self.tell(
            relay,
            part,
            Event::Adopted {
                request,
                endpoint: server,
            },
        );
    }

    /// A new client that comes now: its group, zone, class, load and life.
    fn client(&mut self, came: Micros) -> usize {
        let hot = self.hot.filter(|_| came > 0);
        let group = match hot {
            Some((group, factor)) if self.rng.random_bool((factor / (factor + 12.0)).min(0.9)) => {
                group
            }
            _ => weighted(&self.group_weights, &mut self.rng),
        };
        let zone = match self.shift {
            Some((zone, share)) if self.rng.random_bool(share.min(1.0)) => zone,
            _ => weighted(&self.scene.zone_share, &mut self.rng),
        };
        let shares: Vec<f64> = self.scene.sorts.iter().map(|s| s.share).collect();
        let sort = weighted(&shares, &mut self.rng);
        let s = self.scene.sorts[sort].clone();
        // In mean loads of all classes: that is the unit in which operators count what fills a core.
        let mean: f64 = self.scene.sorts.iter().map(|s| s.share * s.load).sum();
        let usual = s.load / mean.max(1e-6) * spread(s.load_sigma, &mut self.rng).min(12.0);
        let life: f64 = Exp1.sample(&mut self.rng);
        let change = came + micros(s.change_s * self.rng.random::<f64>());
        self.turns += 1;
        self.clients.push(Client {
            group,
            zone,
            sort,
            key: self.rng.random::<u64>() | 1,
            load: usual,
            usual,
            change,
            state: State::Waiting,
            turn: self.turns,
            leaves: came + micros(life * self.scene.life_s * s.life).max(SECOND / 2),
            failures: 0,
            again: false,
            why: Loss::New,
            asked_at: came,
            cut: None,
        });
        let client = self.clients.len() - 1;
        let leaves = self.clients[client].leaves;
        self.at(leaves, Ev::Leave(client));
        client
    }

    // Relays.

    fn start_relay(&mut self, relay: usize) {
        let zone = self.relays[relay].zone;
        let settings = self.scene.settings(zone);
        let parts: Vec<Decider> = (0..self.variant.cells.cell_count().max(1))
            .map(|_| Decider::new(&self.variant.policy, settings.clone(), self.rng.random()))
            .collect();
        self.relays[relay].parts = parts;
        let members: Vec<ListedEndpoint> = (0..self.backends.len())
            .filter_map(|n| self.member(relay, n))
            .collect();
        self.spread_news(relay, EndpointListKind::Cached, members);
    }

    /// What a relay's list says of a backend.
    fn member(&self, relay: usize, n: usize) -> Option<ListedEndpoint> {
        let state = (*self.relays[relay].list.get(n)?)?;
        let b = &self.backends[n];
        let started = b.started;
        Some(ListedEndpoint {
            id: b.id,
            zone: b.zone as u16,
            cell: 0,
            state,
            size: b.size as f32,
            started_at: started,
        })
    }

    /// The cell of a backend.
    fn part_of(&self, server: EndpointId) -> usize {
        if self.variant.cells.cell_count() <= 1 {
            0
        } else {
            self.variant.cells.cell_of_endpoint(server)
        }
    }

    fn spread_news(&mut self, relay: usize, kind: EndpointListKind, members: Vec<ListedEndpoint>) {
        let parts = self.relays[relay].parts.len();
        let mut news: Vec<Vec<ListedEndpoint>> = vec![Vec::new(); parts];
        for member in members {
            news[self.part_of(member.id).min(parts - 1)].push(member);
        }
        for (part, members) in news.into_iter().enumerate() {
            self.tell(
                relay,
                part,
                Event::EndpointList {
                    kind,
                    endpoints: members,
                },
            );
        }
    }

    fn tell(&mut self, relay: usize, part: usize, event: Event) {
        if !self.relays[relay].alive {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        let now = self.now;
        if let Some(decider) = self.relays[relay].parts.get_mut(part) {
            decider.handle(now, event, &mut actions);
        }
        let mut todo: Vec<Action> = std::mem::take(&mut actions);
        self.actions = actions;
        let life = self.relays[relay].life;
        for action in todo.drain(..) {
            match action {
                Action::Attempt {
                    id,
                    endpoint: server,
                    give_up_at: until,
                } => self.send(relay, id.0, server, until),
                Action::Reject {
                    id,
                    retry_after: wait,
                } => self.answer(relay, id.0, Some(wait)),
                Action::Fail(id) => self.answer(relay, id.0, None),
                Action::Migrate(id) => self.move_client(relay, id.0),
                Action::CancelAttempt { id, attempt: _ } => self.call_off(relay, part, id.0),
                Action::SetTimer { at, token } => {
                    let at = at.max(self.now + 1);
                    self.at(
                        at,
                        Ev::Timer {
                            relay,
                            life,
                            part,
                            token,
                        },
                    );
                }
                Action::CheckHealth(server) => self.probe(relay, part, server),
                // What the first balancer hears of the watch they all hear.
                Action::WatchEndpointList(true) if part == 0 => self.call(relay),
                Action::WatchEndpointList(_) | Action::Log(_) => {}
            }
        }
    }

    fn request(&mut self, client: usize, relay: usize) -> Request {
        let r = &mut self.relays[relay];
        r.next += 1;
        let c = &self.clients[client];
        Request {
            id: RequestId(r.next),
            class: c.sort,
            client_key: c.key,
            group: self.group_keys[c.group],
            time_left: self.scene.sorts[c.sort].deadline,
            returning: c.again,
            ..Request::default()
        }
    }

    /// A relay of that zone, as the front deals them out; it may be dead, and the front not know.
    fn pick_relay(&mut self, zone: usize) -> Option<usize> {
        let of: Vec<usize> = (0..self.relays.len())
            .filter(|&n| self.relays[n].zone == zone && self.relays[n].fronted)
            .collect();
        let of = if of.is_empty() {
            (0..self.relays.len())
                .filter(|&n| self.relays[n].fronted)
                .collect()
        } else {
            of
        };
        let weights: Vec<f64> = of.iter().map(|&n| self.scene.relay_weight[n]).collect();
        (!of.is_empty()).then(|| of[weighted(&weights, &mut self.rng)])
    }

    // Clients.

    fn link(&mut self, from: usize, to: usize) -> f64 {
        let way = if from == to {
            self.scene.same
        } else {
            self.scene.cross
        };
        way * (1.0 + self.scene.jitter * self.rng.random::<f64>())
    }

    fn come(&mut self, client: usize, turn: u64) {
        let c = &self.clients[client];
        if c.turn != turn || c.state != State::Waiting || self.now >= c.leaves {
            return;
        }
        let Some(relay) = self.pick_relay(c.zone) else {
            return self.later(KNOCK, Ev::Come(client, turn));
        };
        let c = &mut self.clients[client];
        c.asked_at = self.now;
        let r = &self.relays[relay];
        if !r.alive || r.stopping {
            self.say(client, || format!("relay n{relay} is gone"));
            return self.later(KNOCK, Ev::Come(client, turn));
        }
        let delay = self.scene.client * (1.0 + self.scene.jitter * self.rng.random::<f64>());
        let deadline = self.scene.sorts[self.clients[client].sort].deadline;
        self.books.tries += 1;
        self.count_worth(client, |side| side.1 += 1);
        self.clients[client].state = State::Asking(relay, 0);
        self.later(micros(delay), Ev::Knock(client, turn));
        self.later(deadline, Ev::GiveUp(client, turn));
    }

    fn knock(&mut self, client: usize, turn: u64) {
        let c = &self.clients[client];
        let (State::Asking(relay, 0), true) = (c.state, c.turn == turn) else {
            return;
        };
        if !self.relays[relay].alive {
            return self.comes_again(client, Loss::Broken, None);
        }
        let request = self.request(client, relay);
        let id = request.id.0;
        let part = self.place_in(relay, request.group);
        self.clients[client].state = State::Asking(relay, id);
        let group = self.clients[client].group;
        self.say(client, || {
            format!("asks relay n{relay} (group {group}) as request {id}")
        });
        let sent = self.now;
        let Some(part) = part else {
            return self.refused_by_cell(client, relay, id);
        };
        let pending = Pending {
            client,
            turn,
            part,
            sent,
            out: None,
            attempts: 0,
            answered: false,
            up: false,
        };
        self.relays[relay].pending.insert(id, pending);
        let slack = micros(self.scene.site.rules.answer_slack_ms / 1_000.0);
        self.watchdog.owes(
            relay,
            self.relays[relay].life,
            id,
            self.now + request.time_left + slack,
        );
        self.tell(relay, part, Event::Request(request));
    }

    /// The part of a relay that places a group; none where its cell has nobody and nobody lends it room.
    fn place_in(&self, relay: usize, group: u64) -> Option<usize> {
        if self.variant.cells.cell_count() <= 1 {
            return Some(0);
        }
        let usable: Vec<bool> = (0..self.variant.cells.cell_count())
            .map(|cell| {
                let list = &self.relays[relay].list;
                self.backends.iter().enumerate().any(|(n, b)| {
                    self.part_of(b.id) == cell && list.get(n) == Some(&Some(EndpointState::Ready))
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

    fn refused_by_cell(&mut self, client: usize, relay: usize, id: u32) {
        self.books.refused += 1;
        self.say(client, || {
            format!("relay n{relay} refuses request {id}: its cell has nobody")
        });
        self.comes_again(client, Loss::Refused, Some(SECOND));
    }

    /// It comes again after a while.
    fn comes_again(&mut self, client: usize, why: Loss, wait: Option<Micros>) {
        let c = &mut self.clients[client];
        let failed = matches!(why, Loss::Refused | Loss::New)
            || (why == Loss::Broken && c.state != State::Waiting);
        self.turns += 1;
        (c.turn, c.state, c.again, c.cut) = (self.turns, State::Waiting, true, None);
        c.why = if why == Loss::New { c.why } else { why };
        c.failures = if failed { c.failures + 1 } else { 0 };
        let (turn, failures) = (c.turn, c.failures);
        let backoff = self.scene.backoff << failures.min(3);
        let own = (backoff as f64 * self.rng.random_range(0.5..1.5)) as Micros;
        let (least, most) = self.scene.rejoin;
        let after = match (why, wait) {
            (Loss::Moved | Loss::Left | Loss::Broken, None) => self.rng.random_range(least..=most),
            (_, Some(wait)) if wait > 0 && self.rng.random_bool(self.scene.honour.min(1.0)) => {
                wait + own / 4
            }
            _ => own,
        };
        self.later(after, Ev::Come(client, turn));
    }

    fn give_up(&mut self, client: usize, turn: u64) {
        let c = &self.clients[client];
        let (State::Asking(relay, id), true) = (c.state, c.turn == turn) else {
            return;
        };
        self.say(client, || "gives up".into());
        self.vanish(relay, id);
        self.comes_again(client, Loss::Refused, None);
    }

    /// A client leaves a relay before its answer.
    fn vanish(&mut self, relay: usize, id: u32) {
        let life = self.relays[relay].life;
        self.watchdog.answered(relay, life, id);
        let Some(p) = self.relays[relay].pending.get_mut(&id) else {
            return;
        };
        p.answered = true;
        let (part, out) = (p.part, p.out.take());
        self.tell(relay, part, Event::ClientDisconnected(RequestId(id)));
        if let Some((_, backend, _)) = out {
            self.ended(relay, id, backend, Outcome::Cancelled, true);
        }
        self.relays[relay].pending.remove(&id);
    }

    fn leave(&mut self, client: usize) {
        match self.clients[client].state {
            State::Up(relay, id, backend) => {
                self.release(client, backend);
                self.ended(relay, id, backend, Outcome::Success, true);
                self.relays[relay].pending.remove(&id);
            }
            State::Asking(relay, id) if id > 0 => self.vanish(relay, id),
            _ => {}
        }
        self.clients[client].state = State::Away;
    }

    fn hold(&mut self, client: usize, relay: usize, id: u32, backend: usize) {
        let c = &mut self.clients[client];
        c.state = State::Up(relay, id, backend);
        (c.failures, c.cut) = (0, None);
        let (turn, group, load) = (c.turn, c.group, c.load);
        self.group_seen[group].insert(backend);
        self.backends[backend].take(turn, client, group, load);
    }

    fn release(&mut self, client: usize, backend: usize) {
        let c = &self.clients[client];
        self.backends[backend].lose(c.turn, c.group, c.load);
    }

    // Attempts.

    fn send(&mut self, relay: usize, id: u32, server: EndpointId, until: Micros) {
        let Some(&backend) = self.by_id.get(&server) else {
            return;
        };
        let life = self.relays[relay].life;
        let zone = self.relays[relay].zone;
        let state = self.relays[relay].list[backend];
        let Some(p) = self.relays[relay].pending.get_mut(&id) else {
            return;
        };
        let two = p.out.is_some();
        p.attempts += 1;
        let (client, number) = (p.client, p.attempts);
        let b = &self.backends[backend];
        p.out = Some((number, backend, b.life));
        let cold = b.started.is_some();
        self.watchdog.sent(self.now, relay, id, two, state, backend);
        self.books.attempts += 1;
        self.tick.attempts += 1;
        let (zone_of, b_life, silent) = (b.zone, b.life, b.runs == Runs::Silent);
        let way = self.link(zone, zone_of);
        let reaches = self.reaches(zone, zone_of) && !silent;
        self.say(client, || {
            format!(
                "n{relay} attempt {number} at backend {backend}{}",
                if cold { " (started lately)" } else { "" }
            )
        });
        let event = |backend_life| Ev::Dialled {
            relay,
            life,
            id,
            number,
            backend,
            backend_life,
        };
        // A silent machine is found out by the dial's own limit.
        let after = if reaches {
            micros(way * 2.0 * self.scene.rtts)
        } else {
            self.scene.dial_timeout
        };
        self.later(after.min(self.scene.dial_timeout), event(b_life));
        self.at(
            until,
            Ev::Until {
                relay,
                life,
                id,
                number,
            },
        );
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        a == b || self.cut.is_none_or(|zone| a != zone && b != zone)
    }

    /// The dial is over: the request is written, and the backend takes it in or not.
    fn dialled(
        &mut self,
        relay: usize,
        life: u32,
        id: u32,
        number: u32,
        backend: usize,
        b_life: u32,
    ) {
        if !self.is_out(relay, life, id, number) {
            return;
        }
        let zone = self.relays[relay].zone;
        let b = &self.backends[backend];
        let silent = !self.reaches(zone, b.zone) || b.runs == Runs::Silent;
        if silent || b.runs == Runs::Down || b.life != b_life {
            return self.attempt_ended(relay, id, Outcome::ConnectFailed);
        }
        let Some(p) = self.relays[relay].pending.get(&id) else {
            return;
        };
        let sort = self.clients[p.client].sort;
        let work = self.scene.sorts[sort].work + self.scene.handshake;
        let way = self.link(zone, b.zone);
        let b = &self.backends[backend];
        let fails = b.errors > 0.0 && self.rng.random_bool(b.errors.min(1.0));
        if fails || !self.backends[backend].room(&self.scene) {
            let outcome = Some(if fails {
                Outcome::Error
            } else {
                Outcome::Rejected
            });
            return self.later(
                micros(way),
                Ev::Answer {
                    relay,
                    life,
                    id,
                    number,
                    outcome,
                },
            );
        }
        let (scene, now) = (&self.scene, self.now);
        let through = self.backends[backend].set_up(scene, work, now);
        self.books.work += work;
        self.at(
            through,
            Ev::Through {
                backend,
                backend_life: b_life,
                relay,
                life,
                id,
                number,
            },
        );
    }

    /// A set-up is through at its backend.
    fn through(&mut self, backend: usize, b_life: u32, to: (usize, u32, u32, u32)) {
        let (relay, life, id, number) = to;
        if self.backends[backend].life != b_life {
            return;
        }
        self.backends[backend].waiting = self.backends[backend].waiting.saturating_sub(1);
        if !self.is_out(relay, life, id, number) {
            // Nobody waits any more: the work was for nothing.
            self.books.waste += self.scene.sorts[0].work;
            return;
        }
        let (zone, at) = (self.relays[relay].zone, self.backends[backend].zone);
        if !self.reaches(zone, at)
            || (self.lost_answers > 0.0 && self.rng.random_bool(self.lost_answers))
        {
            return;
        }
        let way = self.link(zone, at);
        self.later(
            micros(way),
            Ev::Answer {
                relay,
                life,
                id,
                number,
                outcome: None,
            },
        );
    }

    fn is_out(&self, relay: usize, life: u32, id: u32, number: u32) -> bool {
        let r = &self.relays[relay];
        let out = r.pending.get(&id).and_then(|p| p.out);
        r.alive && r.life == life && out.is_some_and(|(n, ..)| n == number)
    }

    /// A backend's answer has come; none is `UP`.
    fn answered(
        &mut self,
        relay: usize,
        life: u32,
        id: u32,
        number: u32,
        outcome: Option<Outcome>,
    ) {
        if !self.is_out(relay, life, id, number) {
            return;
        }
        if let Some(outcome) = outcome {
            return self.attempt_ended(relay, id, outcome);
        }
        let Some(p) = self.relays[relay].pending.get_mut(&id) else {
            return;
        };
        let Some((_, backend, b_life)) = p.out.take() else {
            return;
        };
        let (client, part, sent) = (p.client, p.part, p.sent);
        (p.answered, p.up) = (true, true);
        self.watchdog.answered(relay, life, id);
        if self.backends[backend].life != b_life {
            self.relays[relay].pending.remove(&id);
            self.ended(relay, id, backend, Outcome::Reset, true);
            return self.comes_again(client, Loss::Broken, None);
        }
        let c = &self.clients[client];
        let held_group = self.backends[backend].groups.contains_key(&c.group);
        let took = self.now.saturating_sub(c.asked_at);
        self.books.set_up.push(took.min(u64::from(u32::MAX)) as u32);
        self.books.late += u64::from(took > self.scene.sorts[c.sort].aim);
        self.books.placed += 1;
        self.books.same_zone += u64::from(self.relays[relay].zone == self.backends[backend].zone);
        self.books.with_group += u64::from(held_group);
        self.say(client, || {
            format!("up at backend {backend} after {:.1} ms", took as f64 / 1e3)
        });
        self.hold(client, relay, id, backend);
        let server = self.backends[backend].id;
        let took = self.now.saturating_sub(sent);
        self.tell(
            relay,
            part,
            Event::Connected {
                id: RequestId(id),
                endpoint: server,
                elapsed: took,
            },
        );
    }

    /// The relay stops waiting for an attempt.
    fn until(&mut self, relay: usize, life: u32, id: u32, number: u32) {
        if self.is_out(relay, life, id, number) {
            self.attempt_ended(relay, id, Outcome::Timeout);
        }
    }

    fn attempt_ended(&mut self, relay: usize, id: u32, outcome: Outcome) {
        let Some(p) = self.relays[relay].pending.get_mut(&id) else {
            return;
        };
        let Some((number, backend, _)) = p.out.take() else {
            return;
        };
        let (client, last) = (p.client, p.answered);
        self.say(client, || {
            format!("n{relay} attempt {number} at backend {backend}: {outcome:?}")
        });
        self.ended(relay, id, backend, outcome, last);
        if last {
            self.relays[relay].pending.remove(&id);
        }
    }

    /// Tells a relay how an attempt or a connection ended.
    fn ended(&mut self, relay: usize, id: u32, backend: usize, outcome: Outcome, last: bool) {
        let part = self.relays[relay].pending.get(&id).map_or(0, |p| p.part);
        let (id, server) = (RequestId(id), self.backends[backend].id);
        self.tell(
            relay,
            part,
            Event::AttemptEnded {
                id,
                endpoint: server,
                outcome,
                request_finished: last,
                report: Vec::new(),
            },
        );
    }

    fn call_off(&mut self, relay: usize, _part: usize, id: u32) {
        let Some(p) = self.relays[relay].pending.get_mut(&id) else {
            return;
        };
        if let Some((_, backend, _)) = p.out.take() {
            let last = p.answered;
            self.ended(relay, id, backend, Outcome::Cancelled, last);
        }
    }

    /// A relay's final answer that is no connection.
    fn answer(&mut self, relay: usize, id: u32, wait: Option<Micros>) {
        let life = self.relays[relay].life;
        let Some(p) = self.relays[relay].pending.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut p.answered, true) {
            return self.watchdog.twice(self.now, relay, id);
        }
        let (client, turn, out, attempts) = (p.client, p.turn, p.out.is_some(), p.attempts);
        self.watchdog.answered(relay, life, id);
        if !out {
            self.relays[relay].pending.remove(&id);
        }
        self.tick.refused += 1;
        self.books.refused += u64::from(wait.is_some());
        self.books.failed += u64::from(wait.is_none());
        let late = self.now.saturating_sub(self.clients[client].asked_at)
            > self.scene.sorts[self.clients[client].sort].aim;
        self.books.late_failed += u64::from(wait.is_none() && late);
        self.say(client, || match wait {
            Some(wait) => {
                format!(
                    "n{relay} refuses request {id} after {attempts} attempts, wait {} ms",
                    wait / 1_000
                )
            }
            None => format!("n{relay} fails request {id} after {attempts} attempts"),
        });
        let delay = micros(self.scene.client);
        self.later(delay, Ev::Answered { client, turn, wait });
    }

    fn client_answered(&mut self, client: usize, turn: u64, wait: Option<Micros>) {
        let c = &self.clients[client];
        if c.turn != turn || !matches!(c.state, State::Asking(..)) {
            return;
        }
        self.count_worth(client, |side| side.0 += 1);
        self.comes_again(client, Loss::Refused, wait);
    }

    /// Refusals and tries, by whether the class is worth more than the others.
    fn count_worth(&mut self, client: usize, count: impl FnOnce(&mut (u64, u64))) {
        let worth = self.scene.sorts[self.clients[client].sort].worth;
        count(if worth > 1.0 {
            &mut self.books.high
        } else {
            &mut self.books.low
        });
    }

    fn move_client(&mut self, relay: usize, id: u32) {
        let Some(p) = self.relays[relay].pending.get(&id).filter(|p| p.up) else {
            return;
        };
        let client = p.client;
        let State::Up(_, _, backend) = self.clients[client].state else {
            return;
        };
        self.books.moves += 1;
        self.tick.moves += 1;
        self.say(client, || {
            format!("n{relay} moves it away from backend {backend}")
        });
        self.break_off(client, Outcome::Cancelled, Loss::Moved);
    }

    /// A standing connection ends before its time; its client comes again.
    fn break_off(&mut self, client: usize, outcome: Outcome, why: Loss) {
        let State::Up(relay, id, backend) = self.clients[client].state else {
            return;
        };
        self.release(client, backend);
        self.comes_again(client, why, None);
        if self.relays[relay].alive {
            self.ended(relay, id, backend, outcome, true);
        }
        self.relays[relay].pending.remove(&id);
    }

    // Probes and the list.

    /// A zone's owner probes its backends, round by round; another takes its place where it has died.
    fn watch(&mut self, zone: usize) {
        self.later(ROUND, Ev::Watch(zone));
        let alive = |n: &usize| self.relays[*n].alive && !self.relays[*n].stopping;
        let holds = self.watches[zone]
            .owner
            .is_some_and(|(n, life)| alive(&n) && self.relays[n].life == life);
        if !holds {
            let next = (0..self.relays.len())
                .filter(alive)
                .find(|n| self.relays[*n].zone == zone);
            let (now, relays) = (self.now, &self.relays);
            let watch = &mut self.watches[zone];
            watch.from = if watch.owner.is_some() {
                now + OWNERLESS
            } else {
                now
            };
            watch.owner = next.map(|n| (n, relays[n].life));
        }
        let Some((owner, _)) = self.watches[zone]
            .owner
            .filter(|_| self.now >= self.watches[zone].from)
        else {
            return;
        };
        for backend in 0..self.backends.len() {
            let ready = self.relays[owner].list.get(backend) == Some(&Some(EndpointState::Ready));
            if self.backends[backend].zone != zone || !ready {
                continue;
            }
            self.books.probes += 1;
            if let Some(report) = self.report_of(backend) {
                self.watches[zone].told.insert(backend, (self.now, report));
            }
        }
    }

    /// Whether what the watch told stands for a probe of this relay: young enough, and come to it by now.
    fn is_told(&mut self, relay: usize, backend: usize) -> bool {
        let (from, zone) = (self.backends[backend].zone, self.relays[relay].zone);
        let way = micros(self.link(from, zone) * 2.0) + HANDLED;
        let Some((at, _)) = self
            .watches
            .get(from)
            .and_then(|watch| watch.told.get(&backend))
        else {
            return false;
        };
        self.variant.load_watch
            && self.reaches(zone, from)
            && self.now >= at + way
            && self.now < at + FRESH
    }

    /// What a backend that answers says of its load, and what saying it costs.
    fn report_of(&mut self, backend: usize) -> Option<Vec<f32>> {
        let b = &mut self.backends[backend];
        if matches!(b.runs, Runs::Down | Runs::Silent) {
            return None;
        }
        b.side += self.scene.probe_work;
        if self.now >= b.next_told.0 {
            b.told = b.next_told.1;
        }
        let noise = 1.0 + self.scene.report_noise * self.rng.random_range(-1.7..1.7);
        let load = (b.told.load * noise) as f32;
        Some(vec![0.0, b.told.active as f32, 0.0, load])
    }

    fn told(&mut self, relay: usize, life: u32, part: usize, backend: usize) {
        let r = &self.relays[relay];
        if !r.alive || r.life != life {
            return;
        }
        let watch = &self.watches[self.backends[backend].zone];
        let Some((_, report)) = watch.told.get(&backend).cloned() else {
            return;
        };
        let server = self.backends[backend].id;
        self.tell(
            relay,
            part,
            Event::HealthCheck {
                endpoint: server,
                outcome: Outcome::Success,
                report,
            },
        );
    }

    fn probe(&mut self, relay: usize, part: usize, server: EndpointId) {
        let Some(&backend) = self.by_id.get(&server) else {
            return;
        };
        if self.variant.load_watch && self.is_told(relay, backend) {
            let life = self.relays[relay].life;
            return self.later(
                1,
                Ev::Told {
                    relay,
                    life,
                    part,
                    backend,
                },
            );
        }
        self.books.probes += 1;
        let (life, zone, b) = (
            self.relays[relay].life,
            self.relays[relay].zone,
            &self.backends[backend],
        );
        let (backend_life, at) = (b.life, b.zone);
        let reaches = self.reaches(zone, at) && b.runs != Runs::Silent;
        let way = self.link(zone, at);
        let after = if reaches {
            micros(way * 2.0 * (self.scene.rtts + 1.0))
        } else {
            self.scene.probe_timeout
        };
        let sent = self.now;
        self.later(
            after,
            Ev::Probed {
                relay,
                life,
                part,
                backend,
                backend_life,
                sent,
            },
        );
    }

    fn probed(&mut self, relay: usize, life: u32, part: usize, backend: usize, silent: bool) {
        let r = &self.relays[relay];
        if !r.alive || r.life != life {
            return;
        }
        let reaches = self.reaches(r.zone, self.backends[backend].zone) && !silent;
        let report = if reaches {
            self.report_of(backend)
        } else {
            None
        };
        let (outcome, report) = match report {
            Some(report) => (Outcome::Success, report),
            None => (Outcome::ConnectFailed, Vec::new()),
        };
        let server = self.backends[backend].id;
        self.tell(
            relay,
            part,
            Event::HealthCheck {
                endpoint: server,
                outcome,
                report,
            },
        );
    }

    /// A relay calls for the list.
    fn call(&mut self, relay: usize) {
        let life = self.relays[relay].life;
        self.books.calls += 1;
        if self.now >= self.calls_second.0 + SECOND {
            self.calls_second = (self.now, 0);
        }
        self.calls_second.1 += 1;
        self.books.calls_peak = self.books.calls_peak.max(self.calls_second.1);
        let turn = self.call_free.max(self.now) + micros(1.0 / self.call_rate.max(0.01));
        let waits = turn - self.now;
        if waits > self.scene.call_timeout {
            self.books.calls_failed += 1;
            return self.later(
                self.scene.call_timeout,
                Ev::Called {
                    relay,
                    life,
                    ok: false,
                },
            );
        }
        self.call_free = turn;
        self.later(
            waits,
            Ev::Called {
                relay,
                life,
                ok: true,
            },
        );
    }

    fn called(&mut self, relay: usize, life: u32, ok: bool) {
        let r = &mut self.relays[relay];
        if !r.alive || r.life != life {
            return;
        }
        if !ok {
            return self.spread_news(relay, EndpointListKind::WatchFailed, Vec::new());
        }
        (r.watching, r.version, r.heard) = (true, self.log.len(), self.now);
        r.list = self.shown.clone();
        let members: Vec<ListedEndpoint> = (0..self.backends.len())
            .filter_map(|n| self.member(relay, n))
            .collect();
        self.watchdog
            .listed(self.now, relay, &self.relays[relay].list);
        self.spread_news(relay, EndpointListKind::Full, members);
    }

    /// Discovery learns of a backend; relays that watch hear of it soon.
    fn listed(&mut self, backend: usize, state: EndpointState) {
        if self.late_lists {
            return self.held_news.push((backend, state));
        }
        self.shown[backend] = (state != EndpointState::Removed).then_some(state);
        self.log.push(backend);
        for relay in 0..self.relays.len() {
            let r = &mut self.relays[relay];
            if r.watching && r.alive && !std::mem::replace(&mut r.telling, true) {
                let life = r.life;
                let after = self.rng.random_range(0..self.scene.list_spread.max(1));
                self.later(after, Ev::Tell { relay, life });
            }
        }
    }

    fn tell_list(&mut self, relay: usize, life: u32) {
        let r = &mut self.relays[relay];
        if !r.alive || r.life != life {
            return;
        }
        r.telling = false;
        let mut changed: Vec<usize> = self.log[r.version..].to_vec();
        (r.version, r.heard) = (self.log.len(), self.now);
        changed.sort_unstable();
        changed.dedup();
        r.list.resize(self.shown.len(), None);
        let mut members = Vec::new();
        for n in changed {
            let was = std::mem::replace(&mut self.relays[relay].list[n], self.shown[n]);
            match self.member(relay, n) {
                Some(member) => members.push(member),
                None if was.is_some() => {
                    let b = &self.backends[n];
                    let (server, zone) = (b.id, b.zone as u16);
                    let state = EndpointState::Removed;
                    members.push(ListedEndpoint {
                        id: server,
                        zone,
                        cell: 0,
                        state,
                        size: 1.0,
                        started_at: b.started,
                    });
                }
                None => {}
            }
        }
        self.watchdog
            .listed(self.now, relay, &self.relays[relay].list);
        self.spread_news(relay, EndpointListKind::Delta, members);
    }

    // Backends.

    /// All that a backend holds breaks.
    fn backend_dies(&mut self, backend: usize, runs: Runs) {
        let held: Vec<usize> = self.backends[backend].held.values().copied().collect();
        let silent = runs == Runs::Silent;
        if !silent {
            for client in held {
                self.break_off(client, Outcome::Reset, Loss::Broken);
            }
            self.backends[backend].dies(runs);
        } else {
            self.backends[backend].runs = runs;
        }
    }

    fn backend_back(&mut self, backend: usize) {
        if self.backends[backend].runs == Runs::Silent {
            // Its process was lost with its machine: what it held is reset now that it is back.
            self.backend_dies(backend, Runs::Down);
        }
        let now = self.now;
        self.backends[backend].starts(now);
        self.later(
            self.scene.list_add,
            Ev::Listed(backend, EndpointState::Ready),
        );
    }

    fn replace(&mut self, old: usize, leave: Micros) {
        if self.backends[old].runs != Runs::Up {
            return;
        }
        self.backends[old].runs = Runs::Draining;
        self.listed(old, EndpointState::Draining);
        // It sends its clients away little by little, and is gone then.
        let held: Vec<(u64, usize)> = self.backends[old]
            .held
            .iter()
            .map(|(&turn, &client)| (turn, client))
            .collect();
        for (turn, client) in held {
            let after = self.rng.random_range(leave / 4..leave * 3 / 4 + 1);
            self.later(after, Ev::SendAway(client, turn));
        }
        self.later(leave, Ev::Gone(old));
        let zone = self.backends[old].zone;
        let mut new = backend(&self.scene, zone, &mut self.rng);
        new.started = Some(self.now);
        self.by_id.insert(new.id, self.backends.len());
        self.backends.push(new);
        self.shown.push(None);
        self.later(
            self.scene.list_add,
            Ev::Listed(self.backends.len() - 1, EndpointState::Ready),
        );
    }

    fn send_away(&mut self, client: usize, turn: u64) {
        if self.clients[client].turn == turn {
            self.break_off(client, Outcome::Cancelled, Loss::Left);
        }
    }

    // Relays that come and go.

    fn relay_dies(&mut self, relay: usize, back: Micros) {
        let r = &mut self.relays[relay];
        if !r.alive {
            return;
        }
        (r.alive, r.watching, r.telling) = (false, false, false);
        r.life += 1;
        let mut pending: Vec<(u32, Pending)> = r.pending.drain().collect();
        pending.sort_by_key(|(id, _)| *id);
        r.noted.clear();
        let life = r.life;
        self.watchdog.died(relay);
        for (_, p) in pending {
            match self.clients[p.client].state {
                State::Up(at, _, backend) if at == relay => {
                    self.release(p.client, backend);
                    self.comes_again(p.client, Loss::Broken, None);
                }
                State::Asking(at, _) if at == relay => {
                    self.comes_again(p.client, Loss::Broken, None)
                }
                _ => {}
            }
        }
        self.later(self.scene.notice, Ev::Fronted(relay, life, false));
        self.later(back, Ev::RelayBack(relay));
    }

    fn relay_back(&mut self, relay: usize) {
        let r = &mut self.relays[relay];
        (r.alive, r.stopping) = (true, false);
        r.life += 1;
        let life = r.life;
        self.start_relay(relay);
        // The front takes it in once it has answered.
        self.later(20_000, Ev::Fronted(relay, life, true));
    }

    fn relay_stops(&mut self, relay: usize) {
        if !self.relays[relay].alive || self.relays[relay].stopping {
            return;
        }
        let life = self.relays[relay].life;
        self.relays[relay].fronted = false;
        let mut standing: Vec<u32> = self.relays[relay]
            .pending
            .iter()
            .filter(|(_, p)| p.up)
            .map(|(id, _)| *id)
            .collect();
        standing.sort_unstable();
        for id in standing {
            let at = self.rng.random_range(STOP_OPEN..STOP_MOVED);
            self.later(at, Ev::RelayMove(relay, life, id));
        }
        self.later(STOP_GONE, Ev::RelayGone(relay, SECOND / 2));
    }

    // Troubles.

    fn trouble(&mut self, n: usize) {
        let (_, trouble) = self.scene.troubles[n].clone();
        let serving: Vec<usize> = (0..self.backends.len())
            .filter(|&b| self.backends[b].runs == Runs::Up)
            .collect();
        let some = |share: f64, rng: &mut ChaCha8Rng| {
            let mut of = serving.clone();
            of.shuffle(rng);
            of.truncate((share * serving.len() as f64).round() as usize);
            of
        };
        let now = self.now;
        match trouble {
            Trouble::Burst { until, factor } => {
                self.burst = factor;
                self.later(until.saturating_sub(now), Ev::Over(n));
            }
            Trouble::Shift { until, share } => {
                self.shift = Some((self.rng.random_range(0..self.scene.zones), share));
                self.later(until.saturating_sub(now), Ev::Over(n));
            }
            Trouble::HotCaller { until, factor } => {
                self.hot = Some((self.rng.random_range(0..self.scene.groups), factor));
                self.later(until.saturating_sub(now), Ev::Over(n));
            }
            Trouble::Reconnect { within, share } => {
                for client in 0..self.clients.len() {
                    let c = &self.clients[client];
                    let up = matches!(c.state, State::Up(..));
                    if up && self.rng.random_bool(share.min(1.0)) {
                        let turn = self.clients[client].turn;
                        let after = self.rng.random_range(0..within.max(1));
                        self.later(after, Ev::SendAway(client, turn));
                    }
                }
            }
            Trouble::Replace {
                within,
                share,
                leave,
            } => {
                let all = some(share, &mut self.rng);
                let every = within / all.len().max(1) as u64;
                // In small steps: as many at a time as fit the time.
                for (k, backend) in all.into_iter().enumerate() {
                    self.later(every * k as u64, Ev::Replace(vec![backend], leave));
                }
            }
            Trouble::RollRelays { every, share } => {
                let mut relays: Vec<usize> = (0..self.relays.len()).collect();
                relays.shuffle(&mut self.rng);
                let at_once = ((share * relays.len() as f64).ceil() as usize).max(1);
                for (k, part) in relays.chunks(at_once).enumerate() {
                    for &relay in part {
                        self.later(every * k as u64, Ev::RelayStops(relay));
                    }
                }
            }
            Trouble::KillRelays { share, back } => {
                let mut relays: Vec<usize> = (0..self.relays.len()).collect();
                relays.shuffle(&mut self.rng);
                relays.truncate((share * self.relays.len() as f64).round() as usize);
                for relay in relays {
                    let after = self.rng.random_range(back.0..=back.1);
                    self.relay_dies(relay, after);
                }
            }
            Trouble::BusyDiscovery { until, factor } => {
                self.call_rate = self.scene.calls_per_s * factor;
                self.later(until.saturating_sub(now), Ev::Over(n));
            }
            Trouble::Sick {
                until,
                share,
                slow,
                errors,
            } => {
                let all = some(share, &mut self.rng);
                for &backend in &all {
                    (self.backends[backend].slow, self.backends[backend].errors) =
                        (slow.max(0.01), errors);
                }
                self.touched[n] = all;
                self.later(until.saturating_sub(now), Ev::Over(n));
            }
            Trouble::LoseZone { until, silent } => {
                let zone = self.rng.random_range(0..self.scene.zones);
                let all: Vec<usize> = match self.scene.zones {
                    1 => some(0.3, &mut self.rng),
                    _ => serving
                        .iter()
                        .copied()
                        .filter(|&b| self.backends[b].zone == zone)
                        .collect(),
                };
                let runs = if silent { Runs::Silent } else { Runs::Down };
                let notice = if silent {
                    self.scene.list_silent
                } else {
                    self.scene.list_notice
                };
                for &backend in &all {
                    self.backend_dies(backend, runs);
                    if notice < until.saturating_sub(now) {
                        self.later(notice, Ev::Listed(backend, EndpointState::Removed));
                    }
                }
                self.touched[n] = all;
                self.later(until.saturating_sub(now), Ev::Over(n));
            }
            Trouble::CutZone { until } => {
                if self.scene.zones > 1 {
                    self.cut = Some(self.rng.random_range(0..self.scene.zones));
                } else {
                    let all = some(0.2, &mut self.rng);
                    for &backend in &all {
                        self.backend_dies(backend, Runs::Silent);
                    }
                    self.touched[n] = all;
                }
                self.later(until.saturating_sub(now), Ev::Over(n));
            }
            Trouble::LateLists { until } => {
                self.late_lists = true;
                self.later(until.saturating_sub(now), Ev::Over(n));
            }
            Trouble::LoseAnswers { until, share } => {
                self.lost_answers = share.min(1.0);
                self.later(until.saturating_sub(now), Ev::Over(n));
            }
            Trouble::Crash { until, share } => {
                let all = some(share, &mut self.rng);
                for &backend in &all {
                    self.backend_dies(backend, Runs::Down);
                    if self.scene.list_notice < until.saturating_sub(now) {
                        self.later(
                            self.scene.list_notice,
                            Ev::Listed(backend, EndpointState::Removed),
                        );
                    }
                }
                self.touched[n] = all;
                self.later(until.saturating_sub(now), Ev::Over(n));
            }
            Trouble::Heavy {
                until,
                share,
                factor,
            } => {
                let all: Vec<usize> = (0..self.clients.len())
                    .filter(|&c| self.clients[c].state != State::Away && self.clients[c].sort == 0)
                    .filter(|_| self.rng.random_bool(share.min(1.0)))
                    .collect();
                for &client in &all {
                    self.weigh(client, factor);
                }
                self.touched[n] = all;
                self.later(until.saturating_sub(now), Ev::Over(n));
            }
        }
    }

    fn over(&mut self, n: usize) {
        let touched = std::mem::take(&mut self.touched[n]);
        match self.scene.troubles[n].1 {
            Trouble::Burst { .. } => self.burst = 1.0,
            Trouble::Shift { .. } => self.shift = None,
            Trouble::HotCaller { .. } => self.hot = None,
            Trouble::BusyDiscovery { .. } => self.call_rate = self.scene.calls_per_s,
            Trouble::Sick { .. } => touched.into_iter().for_each(|b| {
                (self.backends[b].slow, self.backends[b].errors) = (1.0, 0.0);
            }),
            Trouble::LoseZone { .. } | Trouble::Crash { .. } => {
                touched.into_iter().for_each(|b| self.backend_back(b))
            }
            Trouble::CutZone { .. } => {
                self.cut = None;
                for backend in touched {
                    // It was silent and is not: what it held goes on.
                    if self.backends[backend].runs == Runs::Silent {
                        self.backends[backend].runs = Runs::Up;
                    }
                }
            }
            Trouble::LateLists { .. } => {
                self.late_lists = false;
                for (backend, state) in std::mem::take(&mut self.held_news) {
                    self.listed(backend, state);
                }
            }
            Trouble::LoseAnswers { .. } => self.lost_answers = 0.0,
            Trouble::Heavy { factor, .. } => touched
                .into_iter()
                .for_each(|c| self.weigh(c, 1.0 / factor)),
            _ => {}
        }
    }

    /// A client's load becomes so many times what it was.
    fn weigh(&mut self, client: usize, factor: f64) {
        let c = &mut self.clients[client];
        let more = c.load * factor - c.load;
        (c.load, c.usual) = (c.load + more, c.usual * factor);
        if let State::Up(_, _, backend) = c.state {
            let b = &mut self.backends[backend];
            b.load = (b.load + more).max(0.0);
        }
    }

    // The step.

    fn step(&mut self) {
        let dt = STEP as f64 / 1e6;
        let now = self.now;
        let mut fallen = Vec::new();
        let mut drops = Vec::new();
        let (mut loads, mut warm, mut in_use, mut pairs) = (0.0, 0.0, 0, 0);
        for n in 0..self.backends.len() {
            let b = &mut self.backends[n];
            if !matches!(b.runs, Runs::Up | Runs::Draining) {
                continue;
            }
            if b.step(&self.scene, now, dt) {
                fallen.push(n);
            }
            if b.piled > self.scene.buffer {
                // Too much is piled up: the newest goes.
                drops.extend(b.held.values().next_back().copied());
            }
            if !b.held.is_empty() {
                (loads, warm, in_use) = (loads + b.asked, warm + b.warmth(now), in_use + 1);
                pairs += b.groups.len() as u32;
            }
            if now >= b.next_told.0 {
                b.told = b.next_told.1;
                let made = Told {
                    active: b.held.len() as f64,
                    load: b.asked,
                };
                // Made now, seen later, and made again after a period.
                let wait = self.scene.report_delay.max(1) + self.scene.report_period / 2;
                b.next_told = (now + wait, made);
            }
        }
        for n in fallen {
            self.books.falls += 1;
            self.watchdog.fell(now, n);
            self.backend_dies(n, Runs::Down);
            self.later(
                self.scene.list_notice,
                Ev::Listed(n, EndpointState::Removed),
            );
        }
        for client in drops {
            self.books.dropped += 1;
            self.break_off(client, Outcome::Reset, Loss::Broken);
        }
        self.count(dt);
        let ages: f64 = self
            .relays
            .iter()
            .map(|r| now.saturating_sub(r.heard) as f64 / 1e6)
            .sum();
        let mut tick = std::mem::take(&mut self.tick);
        (tick.load, tick.warmth) = (
            loads / f64::from(in_use.max(1)),
            warm / f64::from(in_use.max(1)),
        );
        (tick.list_age, tick.pairs) = (ages / self.relays.len().max(1) as f64, pairs);
        self.books.steps.push(tick);
        self.notes();
        self.arrive(dt);
        self.watchdog.due(now);
        self.later(STEP, Ev::Step);
    }

    /// Writes down what each client got in this step.
    fn count(&mut self, dt: f64) {
        let mut lost = Vec::new();
        for n in 0..self.clients.len() {
            let c = &mut self.clients[n];
            if c.state == State::Away {
                continue;
            }
            let sort = &self.scene.sorts[c.sort];
            let worth = sort.worth * dt;
            self.tick.asked += worth;
            self.tick.wanting += 1;
            self.books.classes[c.sort].0 += worth;
            self.group_books[c.group].0 += worth;
            let State::Up(relay, _, backend) = c.state else {
                let why = c.why;
                self.books.lose(why, worth);
                continue;
            };
            let b = &self.backends[backend];
            let zone = self.relays[relay].zone;
            let reaches = zone == b.zone || self.cut.is_none_or(|cut| zone != cut && b.zone != cut);
            self.books.up += worth;
            if zone != b.zone {
                self.books.across += worth;
            }
            if !reaches || b.runs == Runs::Silent {
                self.books.lose(Loss::Cut, worth);
                let since = *c.cut.get_or_insert(self.now);
                if self.now >= since + SILENT {
                    lost.push(n);
                }
                continue;
            }
            c.cut = None;
            let quality = b.quality(&self.scene, sort.message_aim);
            self.tick.served += worth * quality;
            self.books.classes[c.sort].1 += worth * quality;
            self.group_books[c.group].1 += worth * quality;
            let why = if b.warmth(self.now) < 1.0 {
                Loss::Cold
            } else {
                Loss::Jam
            };
            self.books.lose(why, worth * (1.0 - quality));
            if self.now >= c.change {
                let s = spread(sort.swing_sigma, &mut self.rng).min(6.0);
                let new = c.usual * s;
                c.change = self.now + micros(sort.change_s * self.rng.random_range(0.5..1.5));
                let b = &mut self.backends[backend];
                b.load = (b.load + new - c.load).max(0.0);
                c.load = new;
            }
        }
        for client in lost {
            self.break_off(client, Outcome::Reset, Loss::Cut);
        }
    }

    /// Tells relays of slow messages, once a second for each of their backends.
    fn notes(&mut self) {
        let aim = self
            .scene
            .sorts
            .iter()
            .map(|s| s.message_aim)
            .fold(f64::MAX, f64::min);
        let slow: Vec<usize> = (0..self.backends.len())
            .filter(|&n| {
                let b = &self.backends[n];
                !b.held.is_empty()
                    && matches!(b.runs, Runs::Up | Runs::Draining)
                    && b.message(&self.scene) > aim * NOTE_FROM
            })
            .collect();
        for backend in slow {
            let held: Vec<usize> = self.backends[backend].held.values().copied().collect();
            let took = micros(self.backends[backend].message(&self.scene));
            for client in held {
                let State::Up(relay, id, at) = self.clients[client].state else {
                    continue;
                };
                let r = &mut self.relays[relay];
                let noted = r.noted.entry(backend).or_insert(0);
                if at != backend || !r.alive || (*noted > 0 && self.now < *noted + SECOND) {
                    continue;
                }
                *noted = self.now;
                let part = r.pending.get(&id).map_or(0, |p| p.part);
                let server = self.backends[backend].id;
                self.tell(
                    relay,
                    part,
                    Event::DelaySample {
                        id: RequestId(id),
                        endpoint: server,
                        delay: took,
                    },
                );
            }
        }
    }

    /// New clients of this step.
    fn arrive(&mut self, dt: f64) {
        let phase = self.now as f64 / self.scene.length.max(1) as f64 * std::f64::consts::TAU;
        let hot = self.hot.map_or(1.0, |(_, factor)| 1.0 + factor / 12.0);
        let rate = self.arrivals * (1.0 + self.scene.swing * phase.sin()) * self.burst * hot;
        self.owed += rate * dt;
        while self.owed >= 1.0 {
            self.owed -= 1.0;
            let at = self.now + self.rng.random_range(0..STEP);
            let client = self.client(at);
            self.books.requests += 1;
            let turn = self.clients[client].turn;
            self.at(at, Ev::Come(client, turn));
        }
    }

    fn handle(&mut self, ev: Ev) {
        match ev {
            Ev::Come(client, turn) => self.come(client, turn),
            Ev::Knock(client, turn) => self.knock(client, turn),
            Ev::GiveUp(client, turn) => self.give_up(client, turn),
            Ev::Leave(client) => self.leave(client),
            Ev::Timer {
                relay,
                life,
                part,
                token,
            } => {
                if self.relays[relay].life == life {
                    self.tell(relay, part, Event::Timer(token));
                }
            }
            Ev::Dialled {
                relay,
                life,
                id,
                number,
                backend,
                backend_life,
            } => {
                self.dialled(relay, life, id, number, backend, backend_life);
            }
            Ev::Through {
                backend,
                backend_life,
                relay,
                life,
                id,
                number,
            } => {
                self.through(backend, backend_life, (relay, life, id, number));
            }
            Ev::Answer {
                relay,
                life,
                id,
                number,
                outcome,
            } => self.answered(relay, life, id, number, outcome),
            Ev::Until {
                relay,
                life,
                id,
                number,
            } => self.until(relay, life, id, number),
            Ev::Answered { client, turn, wait } => self.client_answered(client, turn, wait),
            Ev::Probed {
                relay,
                life,
                part,
                backend,
                backend_life,
                sent,
            } => {
                let silent = self.now >= sent + self.scene.probe_timeout
                    || self.backends[backend].life != backend_life
                        && self.backends[backend].runs != Runs::Up;
                self.probed(relay, life, part, backend, silent);
            }
            Ev::Told {
                relay,
                life,
                part,
                backend,
            } => self.told(relay, life, part, backend),
            Ev::Watch(zone) => self.watch(zone),
            Ev::Tell { relay, life } => self.tell_list(relay, life),
            Ev::Called { relay, life, ok } => self.called(relay, life, ok),
            Ev::Listed(backend, state) => self.listed(backend, state),
            Ev::Trouble(n) => self.trouble(n),
            Ev::Over(n) => self.over(n),
            Ev::Replace(all, leave) => all
                .into_iter()
                .for_each(|backend| self.replace(backend, leave)),
            Ev::Gone(backend) => {
                self.backend_dies(backend, Runs::Down);
                self.listed(backend, EndpointState::Removed);
            }
            Ev::SendAway(client, turn) => self.send_away(client, turn),
            Ev::RelayStops(relay) => self.relay_stops(relay),
            Ev::RelayMove(relay, life, id) => {
                if self.relays[relay].life == life {
                    self.move_client(relay, id);
                }
            }
            Ev::RelayGone(relay, back) => self.relay_dies(relay, back),
            Ev::RelayBack(relay) => self.relay_back(relay),
            Ev::Fronted(relay, life, on) => {
                if self.relays[relay].life == life {
                    self.relays[relay].fronted = on;
                }
            }
            Ev::Step => self.step(),
        }
    }
}

/// An index with odds as these weights.
fn weighted(weights: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let all: f64 = weights.iter().sum();
    let mut at = rng.random::<f64>() * all;
    for (n, weight) in weights.iter().enumerate() {
        at -= weight;
        if at < 0.0 {
            return n;
        }
    }
    weights.len().saturating_sub(1)
}

fn backend(scene: &Scene, zone: usize, rng: &mut ChaCha8Rng) -> Backend {
    let shares: Vec<f64> = scene.machines.iter().map(|m| m.share).collect();
    let machine = &scene.machines[weighted(&shares, rng)];
    let mut b = Backend::new(EndpointId(rng.random()), zone);
    b.cores = machine.cores;
    b.power = machine.cores * speed(machine, rng);
    // As registered: by its kind, not by what this one machine does.
    b.size = machine.cores * machine.speed / 5.0;
    b.queue = machine.queue;
    b.cold_from = machine.cold_from;
    b.cold_for = micros(machine.cold_s);
    b
}
