//! The model: servers with speeds, warm-up, group costs and ends; a list that is seconds late; clients that come,
//! stay, retry and come back; relays that share nothing.

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

/// The model's step of accounting.
const STEP: Micros = SECOND / 5;
/// What a server pays for each group that it holds any of, in mean loads (the operators' figure).
const GROUP_COST: f64 = 3.0;
/// A server that is sent so many times what it can do at that moment ...
const OVERLOAD: f64 = 2.5;
/// ... for so long falls over ...
const FALL: Micros = 3 * SECOND;
/// ... and is back, cold, after this.
const DOWN: Micros = 12 * SECOND;
/// A cold server begins with this share of its capacity, and is warm after this.
const COLD: f64 = 0.13;
const WARM_WITHIN: Micros = 23 * SECOND;
/// Mean life of a connection.
const LIFE: f64 = 40.0;

/// What a run is like.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all its random numbers.
    pub seed: u64,
    /// Servers, spread over three zones.
    pub servers: usize,
    /// Relays.
    pub relays: usize,
    /// Sites, whose sizes fall off as 1 over their rank to the power of this.
    pub sites: usize,
    /// See `sites`.
    pub skew: f64,
    /// Mean load asked over what all servers can do.
    pub load: f64,
    /// How long it lasts.
    pub length: Micros,
    /// A site whose connections become so many times heavier, from when to when.
    pub poison: Option<(usize, f64, Micros, Micros)>,
    /// The cells.
    pub cells: CellMap,
    /// How late the list is.
    pub list_delay: Micros,
}

/// What is counted of a site.
#[derive(Clone, Debug, Default)]
pub struct Served {
    /// Seconds that its clients asked for, and those in which they were served, while it mattered.
    pub asked: f64,
    /// See `asked`.
    pub served: f64,
    /// Servers that ever held it.
    pub servers: BTreeSet<usize>,
}

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Report {
    /// By site.
    pub sites: Vec<Served>,
    /// Servers that fell over.
    pub falls: usize,
    /// Refusals.
    pub refused: u64,
    /// The share of servers that held the poisoned site.
    pub reach: f64,
    /// Events handled.
    pub events: u64,
    /// Over all that happened.
    pub digest: u64,
}

struct Server {
    id: EndpointId,
    zone: u16,
    /// Mean loads that it bears when warm.
    capacity: f64,
    /// When it last came up; none while it is down.
    up: Option<Micros>,
    started: Option<Micros>,
    over_since: Option<Micros>,
    holds: BTreeSet<usize>,
    /// By site: how many, so that a group's cost is paid once.
    groups: BTreeMap<usize, usize>,
    load: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Away,
    Asking,
    Up(usize),
}

struct Client {
    site: usize,
    load: f64,
    phase: Phase,
    /// Its relay, the relay's part, and its request there.
    at: (usize, usize, RequestId),
    /// Which of its tries and connections this is: what belongs to an older one is void.
    turn: u32,
    tries: u32,
    again: bool,
}

struct Relay {
    parts: Vec<Balancer>,
    usable: Vec<bool>,
    borrowed: Vec<u32>,
    requests: BTreeMap<RequestId, usize>,
    next: u32,
}

enum Ev {
    Come(usize, u32),
    Attempt {
        relay: usize,
        part: usize,
        id: RequestId,
        server: usize,
    },
    Answer {
        relay: usize,
        part: usize,
        id: RequestId,
        server: usize,
        up: bool,
    },
    Timer(usize, usize, u64),
    Leave(usize, u32),
    List(usize),
    Probe {
        relay: usize,
        part: usize,
        server: usize,
    },
    Poison(bool),
    Return(usize),
    Step,
}

/// A run.
pub struct World {
    plan: Plan,
    rng: ChaCha8Rng,
    now: Micros,
    queue: BTreeMap<(Micros, u64), Ev>,
    made: u64,
    servers: Vec<Server>,
    by_id: BTreeMap<EndpointId, usize>,
    clients: Vec<Client>,
    relays: Vec<Relay>,
    sites: Vec<Served>,
    poisoned: bool,
    falls: usize,
    refused: u64,
    events: u64,
    trace: Xxh3,
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
        initial_capacity: COLD as f32,
        warm_up_time: WARM_WITHIN,
        overload_factor: OVERLOAD as f32,
        overload_window: FALL,
        ..Settings::default()
    }
}

impl World {
    /// Sets a run up.
    pub fn new(plan: Plan) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let servers: Vec<Server> = (0..plan.servers)
            .map(|n| Server {
                id: EndpointId(rng.random()),
                zone: (n % 3) as u16,
                capacity: 4.0 * rng.random_range(0.9..1.6) * 17.0,
                up: Some(0),
                started: None,
                over_since: None,
                holds: BTreeSet::new(),
                groups: BTreeMap::new(),
                load: 0.0,
            })
            .collect();
        let by_id = servers.iter().enumerate().map(|(n, s)| (s.id, n)).collect();
        // As many clients as make the load, in sites of falling sizes.
        let room: f64 = servers.iter().map(|s| s.capacity).sum::<f64>() * plan.load;
        let weights: Vec<f64> = (0..plan.sites)
            .map(|n| ((n + 1) as f64).powf(-plan.skew))
            .collect();
        let all: f64 = weights.iter().sum();
        let mut clients = Vec::new();
        for (site, weight) in weights.iter().enumerate() {
            // A site costs its group once at least.
            let many = ((room * weight / all - GROUP_COST).round() as usize).max(1);
            for _ in 0..many {
                let load = rng.random_range(0.5..1.5);
                let at = (0, 0, RequestId(0));
                clients.push(Client {
                    site,
                    load,
                    phase: Phase::Away,
                    at,
                    turn: 0,
                    tries: 0,
                    again: false,
                });
            }
        }
        let cells = plan.cells.cell_count();
        let relays = (0..plan.relays)
            .map(|_| Relay {
                parts: (0..cells)
                    .map(|_| Balancer::new(settings(plan.relays), rng.random()))
                    .collect(),
                usable: vec![false; cells],
                borrowed: vec![0; cells],
                requests: BTreeMap::new(),
                next: 0,
            })
            .collect();
        let sites = vec![Served::default(); plan.sites];
        let queue = BTreeMap::new();
        let mut world = World {
            plan,
            rng,
            now: 0,
            queue,
            made: 0,
            servers,
            by_id,
            clients,
            relays,
            sites,
            poisoned: false,
            falls: 0,
            refused: 0,
            events: 0,
            trace: Xxh3::new(),
        };
        for relay in 0..world.relays.len() {
            world.list(relay);
        }
        for client in 0..world.clients.len() {
            let at = world.rng.random_range(0..8 * SECOND);
            world.later(at, Ev::Come(client, 0));
        }
        world.later(STEP, Ev::Step);
        if let Some((_, _, from, to)) = world.plan.poison {
            world.later(from, Ev::Poison(true));
            world.later(to, Ev::Poison(false));
        }
        world
    }

    fn later(&mut self, after: Micros, ev: Ev) {
        self.made += 1;
        self.queue.insert((self.now + after, self.made), ev);
    }

    /// Runs it to its end.
    pub fn run(mut self) -> Report {
        while let Some(((at, number), ev)) = self.queue.pop_first() {
            if at > self.plan.length {
                break;
            }
            (self.now, self.events) = (at, self.events + 1);
            self.trace.update(&at.to_le_bytes());
            self.trace.update(&number.to_le_bytes());
            self.handle(ev);
        }
        let poisoned = self
            .plan
            .poison
            .map(|(site, ..)| self.sites[site].servers.len())
            .unwrap_or(0);
        Report {
            reach: poisoned as f64 / self.servers.len() as f64,
            sites: self.sites,
            falls: self.falls,
            refused: self.refused,
            events: self.events,
            digest: self.trace.digest(),
        }
    }

    fn member(&self, server: usize) -> ListedEndpoint {
        let s = &self.servers[server];
        let state = if s.up.is_some() {
            EndpointState::Ready
        } else {
            EndpointState::Removed
        };
        ListedEndpoint {
            id: s.id,
            zone: s.zone,
            cell: 0,
            state,
            size: 1.0,
            started_at: s.started,
        }
    }

    /// A relay gets the list as it is.
    fn list(&mut self, relay: usize) {
        let all: Vec<ListedEndpoint> = (0..self.servers.len()).map(|n| self.member(n)).collect();
        for part in 0..self.relays[relay].parts.len() {
            let own = |m: &&ListedEndpoint| {
                m.state == EndpointState::Ready && self.plan.cells.cell_of_endpoint(m.id) == part
            };
            let members: Vec<ListedEndpoint> = all.iter().filter(own).cloned().collect();
            self.relays[relay].usable[part] = !members.is_empty();
            self.tell(
                relay,
                part,
                Event::EndpointList {
                    kind: EndpointListKind::Full,
                    endpoints: members,
                },
            );
        }
    }

    /// Tells a balancer, and does what it asks for.
    fn tell(&mut self, relay: usize, part: usize, event: Event) {
        let mut actions = Vec::new();
        // What it does not know any more is of a request that has ended.
        let _ = self.relays[relay].parts[part].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Attempt {
                    id,
                    endpoint: server,
                    ..
                } => {
                    let server = self.by_id[&server];
                    let delay = self.rng.random_range(300..900);
                    self.later(
                        delay,
                        Ev::Attempt {
                            relay,
                            part,
                            id,
                            server,
                        },
                    );
                }
                Action::Reject {
                    id,
                    retry_after: wait,
                } => self.refuse(relay, part, id, wait),
                Action::Fail(id) => self.refuse(relay, part, id, 0),
                Action::Migrate(id) => self.move_away(relay, part, id),
                Action::SetTimer { at, token } => {
                    let after = at.saturating_sub(self.now).max(1);
                    self.later(after, Ev::Timer(relay, part, token));
                }
                Action::CheckHealth(server) => {
                    let server = self.by_id[&server];
                    let delay = self.rng.random_range(1_000..3_000);
                    self.later(
                        delay,
                        Ev::Probe {
                            relay,
                            part,
                            server,
                        },
                    );
                }
                Action::CancelAttempt { .. } | Action::WatchEndpointList(_) | Action::Log(_) => {}
            }
        }
    }

    /// The client of a request that has its final answer, or has ended.
    fn dismiss(&mut self, relay: usize, part: usize, id: RequestId) -> Option<usize> {
        let client = self.relays[relay].requests.remove(&id)?;
        let home = self.plan.cells.home(self.clients[client].site as u64 + 1).0;
        self.relays[relay].borrowed[part] -= u32::from(home != part);
        Some(client)
    }

    fn refuse(&mut self, relay: usize, part: usize, id: RequestId, wait: Micros) {
        let Some(client) = self.dismiss(relay, part, id) else {
            return;
        };
        self.refused += 1;
        self.come_again(client, wait);
    }

    /// A client tries twice more, then rests.
    fn come_again(&mut self, client: usize, wait: Micros) {
        let rest = self.rng.random_range(2 * SECOND..6 * SECOND);
        let jitter = self.rng.random_range(50_000..400_000);
        let c = &mut self.clients[client];
        (c.phase, c.turn, c.tries) = (Phase::Away, c.turn + 1, c.tries + 1);
        let (turn, given_up) = (c.turn, c.tries > 2);
        if given_up {
            c.tries = 0;
        }
        self.later(
            if given_up { rest } else { wait + jitter },
            Ev::Come(client, turn),
        );
    }

    fn move_away(&mut self, relay: usize, part: usize, id: RequestId) {
        let Some(client) = self.relays[relay].requests.get(&id).copied() else {
            return;
        };
        self.end(client, Outcome::Cancelled);
        let c = &mut self.clients[client];
        c.again = true;
        let turn = c.turn;
        let delay = self.rng.random_range(94_000..1_800_000);
        let _ = part;
        self.later(delay, Ev::Come(client, turn));
    }

    /// A standing connection ends.
    fn end(&mut self, client: usize, outcome: Outcome) {
        let Phase::Up(server) = self.clients[client].phase else {
            return;
        };
        let (relay, part, id) = self.clients[client].at;
        let c = &mut self.clients[client];
        (c.phase, c.turn, c.tries) = (Phase::Away, c.turn + 1, 0);
        let (site, s) = (c.site, &mut self.servers[server]);
        s.holds.remove(&client);
        if let Some(n) = s.groups.get_mut(&site) {
            *n -= 1;
            if *n == 0 {
                s.groups.remove(&site);
            }
        }
        self.dismiss(relay, part, id);
        let server = self.servers[server].id;
        self.tell(
            relay,
            part,
            Event::AttemptEnded {
                id,
                endpoint: server,
                outcome,
                request_finished: true,
                report: Vec::new(),
            },
        );
    }

    fn load_of(&self, client: usize) -> f64 {
        let c = &self.clients[client];
        let heavy = self
            .plan
            .poison
            .filter(|(site, ..)| self.poisoned && *site == c.site);
        c.load * heavy.map_or(1.0, |(_, factor, ..)| factor)
    }

    fn warmth(&self, server: usize) -> f64 {
        let s = &self.servers[server];
        match (s.up, s.started) {
            (None, _) => 0.0,
            (Some(_), None) => 1.0,
            (Some(up), Some(_)) => {
                let share = (self.now - up) as f64 / WARM_WITHIN as f64;
                (COLD + (1.0 - COLD) * share).min(1.0)
            }
        }
    }

    /// Load asked over what it can do now.
    fn ratio(&self, server: usize) -> f64 {
        let s = &self.servers[server];
        s.load / (s.capacity * self.warmth(server)).max(0.1)
    }

    fn handle(&mut self, ev: Ev) {
        match ev {
            Ev::Come(client, turn) => self.come(client, turn),
            Ev::Attempt {
                relay,
                part,
                id,
                server,
            } => {
                // A machine that is down refuses; one that is far over what it can do turns away.
                let up = self.servers[server].up.is_some();
                if up && self.ratio(server) > 3.0 {
                    let (server, report) =
                        (self.servers[server].id, vec![self.ratio(server) as f32]);
                    return self.tell(
                        relay,
                        part,
                        Event::AttemptEnded {
                            id,
                            endpoint: server,
                            outcome: Outcome::Rejected,
                            request_finished: false,
                            report,
                        },
                    );
                }
                let slow = (self.ratio(server).max(1.0) * 4_000.0) as Micros;
                self.later(
                    slow,
                    Ev::Answer {
                        relay,
                        part,
                        id,
                        server,
                        up,
                    },
                );
            }
            Ev::Answer {
                relay,
                part,
                id,
                server,
                up,
            } => self.answer(relay, part, id, server, up),
            Ev::Timer(relay, part, token) => self.tell(relay, part, Event::Timer(token)),
            Ev::Leave(client, turn) => {
                if self.clients[client].turn == turn {
                    self.end(client, Outcome::Success);
                    let rest = self.rng.random_range(50_000..SECOND);
                    let turn = self.clients[client].turn;
                    self.later(rest, Ev::Come(client, turn));
                }
            }
            Ev::List(relay) => self.list(relay),
            Ev::Probe {
                relay,
                part,
                server,
            } => {
                let id = self.servers[server].id;
                let noise = self.rng.random_range(0.92..1.08);
                let (outcome, report) = match self.servers[server].up {
                    Some(_) => (Outcome::Success, vec![(self.ratio(server) * noise) as f32]),
                    None => (Outcome::ConnectFailed, Vec::new()),
                };
                self.tell(
                    relay,
                    part,
                    Event::HealthCheck {
                        endpoint: id,
                        outcome,
                        report,
                    },
                );
            }
            Ev::Poison(on) => {
                self.poisoned = on;
                let site = self.plan.poison.map(|(site, ..)| site);
                let standing: Vec<usize> = (0..self.clients.len())
                    .filter(|c| {
                        Some(self.clients[*c].site) == site
                            && matches!(self.clients[*c].phase, Phase::Up(_))
                    })
                    .collect();
                standing
                    .into_iter()
                    .for_each(|client| self.tell_load(client));
            }
            Ev::Return(server) => {
                let s = &mut self.servers[server];
                (s.up, s.started, s.over_since) = (Some(self.now), Some(self.now.max(1)), None);
                self.tell_all();
            }
            Ev::Step => self.step(),
        }
    }

    /// All relays hear of a change, each after its own while.
    fn tell_all(&mut self) {
        for relay in 0..self.relays.len() {
            let delay =
                self.plan.list_delay / 2 + self.rng.random_range(0..=self.plan.list_delay / 2);
            self.later(delay, Ev::List(relay));
        }
    }

    fn come(&mut self, client: usize, turn: u32) {
        if self.clients[client].turn != turn || self.clients[client].phase != Phase::Away {
            return;
        }
        let relay = self.rng.random_range(0..self.relays.len());
        let site = self.clients[client].site as u64 + 1;
        let r = &mut self.relays[relay];
        let (part, borrowed) = match self.plan.cells.place(site, &r.usable, &r.borrowed) {
            Placement::Home(cell) => (cell, false),
            Placement::Borrowed(cell) => (cell, true),
            Placement::Rejected => {
                self.refused += 1;
                return self.come_again(client, SECOND);
            }
        };
        r.borrowed[part] += u32::from(borrowed);
        r.next += 1;
        let id = RequestId(r.next);
        r.requests.insert(id, client);
        let c = &mut self.clients[client];
        (c.phase, c.at) = (Phase::Asking, (relay, part, id));
        let again = std::mem::take(&mut c.again) || c.tries > 0;
        let request = Request {
            id,
            class: 0,
            client_key: client as u64 + 1,
            group: site,
            time_left: 2 * SECOND,
            returning: again,
            ..Request::default()
        };
        self.tell(relay, part, Event::Request(request));
    }

    fn answer(&mut self, relay: usize, part: usize, id: RequestId, server: usize, up: bool) {
        let to = self.servers[server].id;
        let Some(client) = self.relays[relay]
            .requests
            .get(&id)
            .copied()
            .filter(|c| self.clients[*c].phase == Phase::Asking)
        else {
            // Its client has its answer already: the attempt is called off.
            return self.tell(
                relay,
                part,
                Event::AttemptEnded {
                    id,
                    endpoint: to,
                    outcome: Outcome::Cancelled,
                    request_finished: true,
                    report: Vec::new(),
                },
            );
        };
        if !up || self.servers[server].up.is_none() {
            return self.tell(
                relay,
                part,
                Event::AttemptEnded {
                    id,
                    endpoint: to,
                    outcome: Outcome::ConnectFailed,
                    request_finished: false,
                    report: Vec::new(),
                },
            );
        }
        let c = &mut self.clients[client];
        (c.phase, c.tries) = (Phase::Up(server), 0);
        let (site, turn) = (c.site, c.turn);
        self.servers[server].holds.insert(client);
        *self.servers[server].groups.entry(site).or_default() += 1;
        self.sites[site].servers.insert(server);
        let life = -self.rng.random::<f64>().max(1e-9).ln() * LIFE;
        self.later(
            (life * SECOND as f64) as Micros + 1,
            Ev::Leave(client, turn),
        );
        self.tell(
            relay,
            part,
            Event::Connected {
                id,
                endpoint: to,
                elapsed: 4_000,
            },
        );
        self.tell_load(client);
    }

    fn tell_load(&mut self, client: usize) {
        let Phase::Up(server) = self.clients[client].phase else {
            return;
        };
        let (relay, part, id) = self.clients[client].at;
        // A mean load is a seventeenth of a core.
        let load = (self.load_of(client) * SECOND as f64 / 17.0) as f32;
        let server = self.servers[server].id;
        self.tell(
            relay,
            part,
            Event::LoadSample {
                id,
                endpoint: server,
                load,
            },
        );
    }

    /// Loads, service and falls, five times a second.
    fn step(&mut self) {
        let seconds = STEP as f64 / SECOND as f64;
        for server in 0..self.servers.len() {
            let s = &self.servers[server];
            let own: f64 = s.holds.iter().map(|client| self.load_of(*client)).sum();
            self.servers[server].load = own + GROUP_COST * self.servers[server].groups.len() as f64;
        }
        // The first seconds fill the fleet and are nobody's.
        let counts = self.now > 15 * SECOND;
        for client in 0..self.clients.len().min(if counts { usize::MAX } else { 0 }) {
            let good = match self.clients[client].phase {
                Phase::Up(server) => (1.0 / self.ratio(server)).min(1.0),
                _ => 0.0,
            };
            let site = &mut self.sites[self.clients[client].site];
            site.asked += seconds;
            site.served += good * seconds;
        }
        for server in 0..self.servers.len() {
            if self.servers[server].up.is_none() {
                continue;
            }
            let over = self.ratio(server) > OVERLOAD;
            let since = match (over, self.servers[server].over_since) {
                (true, since) => Some(since.unwrap_or(self.now)),
                (false, _) => None,
            };
            self.servers[server].over_since = since;
            if since.is_some_and(|since| self.now - since >= FALL) {
                self.fall(server);
            }
        }
        self.later(STEP, Ev::Step);
    }

    fn fall(&mut self, server: usize) {
        self.falls += 1;
        self.servers[server].up = None;
        let held: Vec<usize> = self.servers[server].holds.iter().copied().collect();
        for client in held {
            self.end(client, Outcome::Reset);
            let c = &mut self.clients[client];
            c.again = true;
            let turn = c.turn;
            let delay = self.rng.random_range(94_000..1_800_000);
            self.later(delay, Ev::Come(client, turn));
        }
        self.tell_all();
        self.later(DOWN, Ev::Return(server));
    }
}
