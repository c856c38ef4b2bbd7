//! The decisions of jaspermoor. Their interface (settings, events, actions) is in src/decisions/api.rs.
//! The rule is RJ-CH, "Revisiting Consistent Hashing with Bounded Loads" (Chen, Coleman, Shrivastava):
//! a key goes to the owner of slot h(key, 0), then h(key, 1), and so on, until a server is under its cap.

pub mod api;
pub mod parameters;
pub mod random;
pub mod ring;

use api::{
    Action, Class, DeduplicationScope, EndpointId, EndpointListKind, EndpointState,
    EndpointWeights, Event, Idempotency, ListedEndpoint, Micros, Outcome, ReportColumn, Request,
    RequestId, Settings, UnknownId, SECOND,
};
use random::Random;
use ring::{fraction, home_key, own_key, Ring};
use std::collections::{BTreeMap, BTreeSet};

crate::parameters! { Parameters {
/// Points of a server of usual size: they even out the arcs (the virtual bins); headroom over the mean
/// (ε) of the own counts: they are small, and groups sit together; bound on the jumps of one placement.
points: f32 = 48.0; epsilon: f32 = 2.0; jumps: u32 = 16;
/// What a group costs each server that holds any of it, in connections; headroom (ε) of the plan of groups.
group_cost: f32 = 2.0; plan_epsilon: f32 = 0.25;
/// Fewer arrivals say nothing of shares: all go by the same jumps; a plan is made anew at such growth.
/// Arrivals remembered, then all counts are halved; and those that count as seen before any.
plan_least: u32 = 32; plan_growth: f32 = 1.15; seen_most: u32 = 1024; seen_prior: f32 = 8.0;
/// Slow start: a cold server gets this share of what the rule allows; where no report tells how much that is,
/// it fills at this multiple of the mean load over the warm-up.
slow_start: f32 = 1.5; slow_fill: f32 = 0.8;
/// Time in which a cap that was cut grows back to its whole (additive increase). Outlier ejection after so
/// many failures in a row; the first time, doubled up to eight times, and jittered.
recover: Micros = 12 * SECOND; strikes: u32 = 3; eject: Micros = 4 * SECOND;
/// Shares of the shortest message aim from which a delay note cuts a server's cap, and moves connections:
/// this share of the own ones a second, times delay over aim.
delay_sign: f32 = 0.4; delay_move: f32 = 0.6; move_share: f32 = 0.25;
/// The fleet probes each server this often for its load over its capacity, which counts until it is stale.
probe_every: Micros = SECOND / 2; report_stale: Micros = 5 * SECOND;
/// A request looks for room along its first LOOK_AT servers, LOOK_BOTH at a time: a load told longer than
/// LOOK_STALE ago is probed anew, for no longer than LOOK_WAIT. The fallback samples LOOK_AT of all.
look_at: usize = 8; look_both: usize = 2; look_stale: Micros = 1_500_000; look_wait: Micros = SECOND / 10;
/// A server takes keys of its own zone first up to NEAR_LOAD of its capacity, all keys up to FULL_LOAD;
/// where little is known, keys share by their hashes what is left from SOFT under BRIM on.
near_load: f32 = 0.6; full_load: f32 = 0.9; brim: f32 = 1.0; soft: f32 = 0.3;
/// From MOVE_FROM on it gives some away, down to MOVE_TO, while the fleet's mean is under MOVE_ROOM.
move_from: f32 = 0.9; move_to: f32 = 0.75; move_room: f32 = 0.7;
/// Weight of a home in the own zone against one elsewhere: nearly always first, and no home more. Share of
/// late servers among those in use from which a group stays with its strained homes.
near: f32 = 10.0; stay_from: f32 = 0.15;
/// Load shedding (AIMD): with messages late at more than SHED_FROM of the servers in use, SHED_STEP fewer
/// clients are admitted a second, by their hashes, down to SHED_LEAST; under half that, SHED_BACK more.
shed_from: f32 = 0.4; shed_step: f32 = 0.3; shed_least: f32 = 0.3; shed_back: f32 = 0.06;
/// Share of the set-up aim given to an attempt while further ones are allowed. Retry budget: further attempts
/// that a request earns for all, and how many may be saved up.
attempt_share: f32 = 0.6; retry_share: f32 = 0.3; retry_saved: f32 = 4.0;
/// Advised wait of a refused client, give or take a half: long enough that its next try meets other counts.
retry_after: Micros = SECOND * 2 / 5;
/// Backoff of a failed call for the list, at least so much a balancer of the fleet, doubled up to eight times
/// this and jittered; the first call comes within one share: the service takes few calls a second. At most
/// ASK_MOST, or ASK_SOON after a timeout: a change counts as told 6 s after it could be had.
ask_backoff: Micros = SECOND / 4; ask_share: Micros = SECOND / 20;
ask_most: Micros = 4 * SECOND; ask_soon: Micros = SECOND * 9 / 10;
/// A server called back by hand is used again within this; one that drains or is full is left over that.
back_within: Micros = 3 * SECOND; move_span: Micros = 2 * SECOND;
}}

const TIMER_DEADLINE: u64 = 1 << 32;
const TIMER_HOLD: u64 = 2 << 32;
const TIMER_MOVE: u64 = 3 << 32;
const TIMER_ASK: u64 = 4 << 32;
const TIMER_PROBE: u64 = 5 << 32;
const SHED_SALT: u64 = 1;
const GOLDEN_RATIO: f32 = 0.618_034;

type Out = Vec<Action>;
/// Each group's servers in the order of its jumps, with the share of all connections meant for each.
type Homes = BTreeMap<u64, Vec<(usize, f32)>>;

#[derive(Default)]
struct Server {
    id: EndpointId,
    zone: u16,
    cell: u16,
    size: f32,
    listed: bool,
    ready: bool,
    gone: bool,
    told: Micros,
    started: Option<Micros>,
    back: Option<Micros>,
    due: Option<Micros>,
    credit: f32,
    credit_at: Micros,
    held: u32,
    /// Its points on the rings of ready servers and of known ones.
    points: (u32, u32),
    strikes: u32,
    ejections: u32,
    ejected_until: Micros,
    cut_at: Option<Micros>,
    /// Load over capacity and connections as last reported, when, and own sends that are not yet in it.
    load: f32,
    active: f32,
    load_at: Option<Micros>,
    since: f32,
    /// When a request last had it probed, and when a probe last ended.
    looked_at: Option<Micros>,
    probed_at: Option<Micros>,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum Phase {
    #[default]
    Held,
    Out,
    Up,
}

#[derive(Default)]
struct Pending {
    request: Request,
    class: Class,
    deadline: Micros,
    phase: Phase,
    answered: bool,
    moving: bool,
    server: EndpointId,
    sent_at: Micros,
    tried: Vec<EndpointId>,
    wakes: Micros,
    /// Whether an attempt has begun; the first that may have run: when it was sent, to which zone and cell.
    begun: bool,
    ran: Option<(Micros, u16, u16)>,
}

/// One proxy's decisions. It knows only what its own events said.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    /// Its parameters.
    t: Parameters,
    rng: Random,
    now: Micros,
    servers: Vec<Server>,
    index: BTreeMap<EndpointId, usize>,
    ready: Vec<usize>,
    by_hand: BTreeSet<EndpointId>,
    ready_ring: Ring,
    known_ring: Ring,
    sizes: f32,
    held: u32,
    pending: BTreeMap<RequestId, Pending>,
    seen: BTreeMap<u64, u32>,
    seen_all: u32,
    planned_at: u32,
    homes: Homes,
    admitted: f32,
    late_notes: u32,
    late_share: f32,
    second: Micros,
    retries: f32,
    watching: bool,
    ask_failures: u32,
    /// Mean load of the servers, and the work of a connection there.
    mean_load: f32,
    unit: f32,
    probes: usize,
}

impl Balancer {
    /// A balancer that knows nothing yet but its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let balancer = Balancer {
            settings,
            rng: Random::new(seed),
            admitted: 1.0,
            ..Balancer::default()
        };
        balancer.with_parameters(Parameters::default())
    }

    /// The same with other parameters: for experiments.
    pub fn with_parameters(self, t: Parameters) -> Self {
        Balancer {
            retries: t.retry_saved,
            t,
            ..self
        }
    }

    /// Other parameters hold from now on.
    pub fn set_parameters(&mut self, t: Parameters) {
        self.t = t;
    }

    /// Takes one event and adds what is to be done. One that names something unknown changes nothing.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Out) -> Result<(), UnknownId> {
        self.now = now;
        match event {
            Event::EndpointList {
                kind,
                endpoints: members,
            } => self.members(kind, members, out),
            Event::Settings(settings) => self.settings = settings,
            Event::ManualEjection {
                endpoint: server,
                ejected: out_of_use,
            } => self.by_hand(server, out_of_use, out),
            Event::Request(request) => self.arrived(request, out),
            Event::Adopted {
                request,
                endpoint: server,
            } => self.open(request, server, out),
            Event::Connected { id, .. } => return self.first(id, out),
            Event::DelaySample {
                id,
                endpoint: server,
                delay: took,
            } => return self.delay(id, server, took, out),
            Event::AttemptEnded {
                id,
                outcome,
                request_finished: last,
                ..
            } => return self.ended(id, outcome, last, out),
            Event::ClientDisconnected(id) => self.vanished(id),
            Event::ShortenDeadline { id, deadline: by } => self.hurry(id, by, out),
            Event::Timer(token) => self.timer(token, out),
            Event::HealthCheck {
                endpoint: server,
                outcome,
                report,
            } => self.probed(server, outcome, &report, out),
            Event::LoadSample { .. } | Event::Gossip { .. } => {}
        }
        Ok(())
    }

    fn class(&self, request: &Request) -> Class {
        self.settings
            .classes
            .get(request.class)
            .or(self.settings.classes.last())
            .copied()
            .unwrap_or_default()
    }

    fn members(&mut self, kind: EndpointListKind, members: Vec<ListedEndpoint>, out: &mut Out) {
        // Who has not asked within `ask_within` counts as told: no turn may be longer.
        let within = self.settings.max_poll_interval.max(2);
        let share = self.t.ask_share * u64::from(self.settings.balancer_count.max(1));
        let share = share.min(within / 2).min(self.t.ask_most);
        if matches!(
            kind,
            EndpointListKind::WatchFailed | EndpointListKind::WatchTimedOut
        ) {
            // A failed call or a dropped subscription: ask anew, and not in step with the others.
            self.watching = false;
            let most = if kind == EndpointListKind::WatchTimedOut {
                self.t.ask_soon
            } else {
                self.t.ask_most
            };
            let wait = (self.t.ask_backoff.max(share) << self.ask_failures.min(3))
                .min(within)
                .min(most)
                .max(8);
            self.ask_failures += 1;
            out.push(Action::SetTimer {
                at: self.now + self.rng.range(wait / 8..wait),
                token: TIMER_ASK,
            });
            return;
        }
        let moved = kind == EndpointListKind::Relocated;
        // A backoff for the old place says nothing of the new one.
        self.watching &= !moved;
        if kind != EndpointListKind::Cached {
            self.ask_failures = 0;
        }
        if moved || (kind == EndpointListKind::Cached && self.settings.polls_endpoint_list) {
            // Who knows no server has nothing to serve from meanwhile.
            let turn = if members.is_empty() && self.ready.is_empty() {
                1
            } else {
                share
            };
            out.push(Action::SetTimer {
                at: self.now + self.rng.range(0..turn),
                token: TIMER_ASK,
            });
        }
        let mut left = Vec::new();
        if matches!(kind, EndpointListKind::Full | EndpointListKind::Cached) {
            let named: BTreeSet<EndpointId> = members.iter().map(|m| m.id).collect();
            for i in 0..self.servers.len() {
                if !named.contains(&self.servers[i].id) {
                    self.leave(i, &mut left);
                    self.servers[i].gone = true;
                }
            }
        }
        members.into_iter().for_each(|m| self.member(m, &mut left));
        self.rebuild();
        left.into_iter()
            .for_each(|server| self.evacuate(server, 1.0, out));
        if self.probes == 0 {
            self.probe(out);
        }
    }

    fn member(&mut self, m: ListedEndpoint, left: &mut Vec<EndpointId>) {
        if m.state == EndpointState::Removed && !self.index.contains_key(&m.id) {
            return;
        }
        let i = self.entry(m.id);
        if m.started_at != self.servers[i].started {
            // The same id with a new start is a cold process: its past says nothing. The balancers' turns
            // there are spread evenly: left to chance, many come at once.
            let turn = self.settings.balancer_index as f32 * GOLDEN_RATIO + fraction(m.id.0, 0);
            self.forget(i, turn.fract());
        }
        let listed = m.state == EndpointState::Ready;
        let ready = listed && !self.by_hand.contains(&m.id);
        if !ready {
            self.leave(i, left);
        }
        let s = &mut self.servers[i];
        (s.listed, s.ready, s.gone) = (listed, ready, m.state == EndpointState::Removed);
        (s.zone, s.cell, s.started) = (m.zone, m.cell, m.started_at);
        s.size = if m.size.is_finite() && m.size > 0.0 {
            m.size
        } else {
            1.0
        };
    }

    fn entry(&mut self, id: EndpointId) -> usize {
        let next = self.servers.len();
        let i = *self.index.entry(id).or_insert(next);
        if i == next {
            self.servers.push(Server {
                id,
                size: 1.0,
                gone: true,
                ..Server::default()
            });
        }
        i
    }

    fn leave(&mut self, i: usize, left: &mut Vec<EndpointId>) {
        let s = &mut self.servers[i];
        if s.ready {
            (s.ready, s.told) = (false, self.now);
            left.push(s.id);
        }
    }

    fn forget(&mut self, i: usize, credit: f32) {
        let Server {
            id,
            zone,
            cell,
            size,
            listed,
            ready,
            gone,
            held,
            points,
            told,
            started,
            due,
            ..
        } = self.servers[i];
        let new = Server {
            credit,
            credit_at: self.now,
            due,
            points,
            ..Server::default()
        };
        self.servers[i] = Server {
            id,
            zone,
            cell,
            size,
            listed,
            ready,
            gone,
            held,
            told,
            started,
            ..new
        };
    }

    /// Staff take a server out, or call it back. They restart it meanwhile, so its past says nothing: it is
    /// cold from the start that the list tells, or from now. Each balancer uses it soon, not all at once.
    fn by_hand(&mut self, server: EndpointId, out_of_use: bool, out: &mut Out) {
        let changed = if out_of_use {
            self.by_hand.insert(server)
        } else {
            self.by_hand.remove(&server)
        };
        let Some(&i) = self.index.get(&server).filter(|_| changed) else {
            return;
        };
        if out_of_use {
            self.leave(i, &mut Vec::new());
            self.evacuate(server, 1.0, out);
        } else {
            self.forget(i, 0.0);
            let due = self.now + self.rng.range(0..self.t.back_within);
            let s = &mut self.servers[i];
            (s.ready, s.due) = (s.listed && !s.gone, Some(due));
            s.back = Some(self.now).filter(|_| s.started <= Some(s.told));
        }
        self.rebuild();
    }

    /// After a change of the list: the rings hear of what has changed, and of nothing else.
    fn rebuild(&mut self) {
        let ready = self.servers.iter().filter(|s| s.ready);
        let (n, sizes) = ready.fold((0, 0.0), |(n, sizes), s| (n + 1, sizes + s.size));
        self.sizes = sizes;
        // The unit is a power of two, so that one server more or less does not change all points.
        let unit = (sizes / n.max(1) as f32).log2().round().exp2();
        // Live sizes change all the time: homes must not move with them.
        let nominal = self.settings.weights == EndpointWeights::Nominal;
        for s in &mut self.servers {
            let size = if nominal { s.size / unit } else { 1.0 };
            let points = (self.t.points * size)
                .round()
                .clamp(1.0, 8.0 * self.t.points) as u32;
            // Only what passes through arrives mid-flow and looks for its holder.
            let known = self.settings.forwards_packets && !s.gone;
            let new = (
                if s.ready { points } else { 0 },
                if known { points } else { 0 },
            );
            self.ready_ring.lay(s.id, s.points.0, new.0);
            self.known_ring.lay(s.id, s.points.1, new.1);
            s.points = new;
        }
        if self.servers.iter().any(|s| s.gone && s.held == 0) {
            self.servers.retain(|s| !s.gone || s.held > 0);
            self.index = self
                .servers
                .iter()
                .enumerate()
                .map(|(i, s)| (s.id, i))
                .collect();
        }
        self.ready = (0..self.servers.len())
            .filter(|&i| self.servers[i].ready)
            .collect();
        (self.planned_at, self.homes) = (self.seen_all, self.plan());
    }

    /// The server at the slot of h(key, jump).
    fn owner(&self, key: u64, jump: u32) -> Option<usize> {
        self.index.get(&self.ready_ring.owner(key, jump)?).copied()
    }

    /// RJ-CH for the whole fleet, as far as one proxy can tell: the groups seen here, by their shares here,
    /// are placed by the jumps of their keys on servers under the cap: one group may outgrow a server, and
    /// each costs its servers anew. First homes come before second ones: they hardly depend on estimates.
    fn plan(&self) -> Homes {
        let mut homes = Homes::new();
        let cost =
            self.t.group_cost / (self.held as f32 * self.settings.balancer_count as f32).max(1.0);
        let groups = self.ready.len().max(self.seen.len()) as f32;
        // A cold server counts for what it can do by now, or it gets more homes than it can take (id5986d).
        let able: Vec<f32> = self
            .servers
            .iter()
            .map(|s| s.size * self.warmth(s))
            .collect();
        let sizes: f32 = self.ready.iter().map(|&i| able[i]).sum();
        let cap =
            (1.0 + self.t.plan_epsilon) * (1.0 + cost * groups) / sizes.max(f32::MIN_POSITIVE);
        let mut room: Vec<f32> = able.iter().map(|able| cap * able).collect();
        let all = self.seen_all as f32 + self.t.seen_prior;
        let mut rest: Vec<_> = self
            .seen
            .iter()
            .map(|(&g, &n)| (g, n as f32 / all, 0))
            .collect();
        while !rest.is_empty() {
            for (group, share, attempt) in &mut rest {
                let own = homes.entry(*group).or_default();
                let mut best: Option<(f32, usize)> = None;
                for _ in 0..self.t.jumps {
                    let Some(owner) = self.owner(*group, *attempt) else {
                        return homes;
                    };
                    *attempt += 1;
                    if own.iter().any(|&(i, _)| i == owner) {
                        continue;
                    }
                    let free = room[owner] - cost;
                    if best.is_none_or(|(most, _)| free > most) {
                        best = Some((free, owner));
                    }
                    if free >= share.min(cap * able[owner] / 2.0) {
                        break;
                    }
                }
                let Some((free, i)) = best else {
                    *share = 0.0;
                    continue;
                };
                let take = if free > 0.0 { share.min(free) } else { *share };
                own.push((i, take.max(f32::MIN_POSITIVE)));
                room[i] -= take + cost;
                *share -= take;
            }
            rest.retain(|&(_, share, _)| share > 0.0);
        }
        homes
    }

    fn count(&mut self, group: u64) {
        if group == 0 {
            return;
        }
        let n = self.seen.entry(group).or_insert(0);
        *n += 1;
        let fresh = *n == 1;
        self.seen_all += 1;
        if self.seen_all >= self.t.seen_most {
            self.seen.values_mut().for_each(|n| *n /= 2);
            self.seen.retain(|_, n| *n > 0);
            self.seen_all = self.seen.values().sum();
            self.planned_at = self.seen_all;
        }
        if fresh || self.seen_all as f32 > self.planned_at as f32 * self.t.plan_growth {
            (self.planned_at, self.homes) = (self.seen_all, self.plan());
        }
    }

    fn mean(&self, size: f32) -> f32 {
        self.held as f32 * size / self.sizes.max(f32::MIN_POSITIVE)
    }

    /// C = ⌈(1 + ε)·n/k⌉, by size, with a floor; below it where the server is cold or shows strain.
    fn cap(&self, s: &Server) -> f32 {
        ((1.0 + self.t.epsilon) * self.mean(s.size)).ceil().max(1.0) * self.scale(s)
    }

    fn scale(&self, s: &Server) -> f32 {
        let whole = s.cut_at.map_or(1.0, |at| {
            self.now.saturating_sub(at) as f32 / self.t.recover as f32
        });
        whole.min(1.0).min(self.warmth(s))
    }

    fn warmth(&self, s: &Server) -> f32 {
        let Some(started) = s.started.max(s.back) else {
            return 1.0;
        };
        let age = self.now.saturating_sub(started) as f32;
        let start = self.settings.initial_capacity;
        (start + (1.0 - start) * age / (self.settings.warm_up_time as f32).max(1.0)).min(1.0)
    }

    /// What the rule lets all balancers send to a cold server within its time, if reports tell; two more are
    /// left to chance. Capacity is a rate: with it a server that warms evenly is full at the end.
    pub fn warm_up_budget(&self, id: EndpointId) -> Option<f32> {
        let s = self.index.get(&id).map(|&i| &self.servers[i])?;
        let fills_in =
            self.settings.warm_up_time as f32 * (1.0 + self.settings.initial_capacity) / 2.0;
        let capacity =
            s.size / self.unit * self.warmth(s) * self.settings.overload_window as f32 / fills_in;
        let allowed = self.settings.overload_factor * capacity;
        (self.unit > 0.0 && self.warmth(s) < 1.0).then(|| allowed + 2.0 * allowed.sqrt())
    }

    /// Whether its warm-up lets a server be sent something: each balancer earns its share.
    fn credited(&mut self, i: usize) -> bool {
        let (warmth, size) = (self.warmth(&self.servers[i]), self.servers[i].size);
        // Half: what is kept from one span of the rule's time is spent together with what the next one earns.
        let share = self.t.slow_fill
            / 2.0
            / self.settings.balancer_count as f32
            / self.settings.overload_window as f32;
        let blind =
            self.t.slow_start * self.mean(size) * warmth / self.settings.warm_up_time as f32;
        let pace = self
            .warm_up_budget(self.servers[i].id)
            .map_or(blind, |budget| share * budget);
        let s = &mut self.servers[i];
        let (earned, keep) = (
            s.credit + self.now.saturating_sub(s.credit_at) as f32 * pace,
            pace * self.settings.overload_window as f32,
        );
        // What is not used within the rule's time is lost: hundreds had saved up one each, and came at once.
        let lapsed = if keep < 1.0 {
            (earned - keep).ceil() - 1.0
        } else {
            earned - 1.0
        };
        (s.credit, s.credit_at) = (earned - lapsed.max(0.0), self.now);
        warmth >= 1.0 || s.credit >= 1.0
    }

    fn failed(&mut self, i: usize, outcome: Outcome) {
        let jitter = self.rng.range(0..self.t.eject);
        let s = &mut self.servers[i];
        if outcome == Outcome::Rejected {
            // Turned away: the cap was too high here, whatever the count says.
            s.cut_at = Some(self.now);
            return;
        }
        s.strikes += 1;
        s.load_at = s.load_at.filter(|_| outcome != Outcome::ConnectFailed);
        if s.strikes >= self.t.strikes || outcome == Outcome::ConnectFailed {
            s.ejected_until =
                self.now + (self.t.eject << s.ejections.min(3)) - self.t.eject / 2 + jitter;
            s.ejections += 1;
            s.strikes = 0;
        }
    }

    fn delay(
        &mut self,
        id: RequestId,
        server: EndpointId,
        took: Micros,
        out: &mut Out,
    ) -> Result<(), UnknownId> {
        let aims = self
            .settings
            .classes
            .iter()
            .map(|c| c.message_objective)
            .filter(|&aim| aim > 0);
        let share = took as f32 / aims.min().unwrap_or(SECOND / 10) as f32;
        let i = *self.index.get(&server).ok_or(UnknownId::Endpoint(server))?;
        self.pending.get(&id).ok_or(UnknownId::Request(id))?;
        // Some are slow without much to do: while there is known to be room, only late messages count.
        let room = self
            .load(&self.servers[i])
            .is_some_and(|load| load < self.t.near_load);
        if share < if room { 1.0 } else { self.t.delay_sign } {
            return Ok(());
        }
        self.servers[i].cut_at = Some(self.now);
        self.late_notes += u32::from(share >= 1.0);
        let moves = self.t.move_share * self.servers[i].held as f32 * share;
        if share >= self.t.delay_move && self.rng.float() < moves {
            self.leaver(i, id)
                .into_iter()
                .for_each(|id| self.relocate(id, out));
        }
        Ok(())
    }

    /// Once a second: how many clients are served when the fleet cannot serve all. A jam ends only with less
    /// load. All proxies turn away the same clients, so those that stay are served well.
    fn pace(&mut self) {
        if self.now < self.second + SECOND {
            return;
        }
        let seconds = ((self.now - self.second) as f32 / SECOND as f32).min(30.0);
        // Averaged, so that one short pause of many servers does not look like a jam.
        let in_use = self.servers.iter().filter(|s| s.held > 0).count().max(1);
        self.late_share = (self.late_share + self.late_notes as f32 / in_use as f32) / 2.0;
        (self.late_notes, self.second) = (0, self.now);
        if self.late_share > self.t.shed_from
            && (self.unit == 0.0 || self.mean_load > self.t.move_room)
        {
            self.admitted = (self.admitted * (1.0 - self.t.shed_step * self.late_share.min(1.0)))
                .max(self.t.shed_least);
        } else if self.late_share < self.t.shed_from / 2.0 {
            self.admitted = (self.admitted + self.t.shed_back * seconds).min(1.0);
        }
    }

    fn shed(&self, q: &Request) -> bool {
        self.admitted < 1.0 && fraction(own_key(q), SHED_SALT) >= self.admitted
    }

    fn probe(&mut self, out: &mut Out) {
        if !self.settings.may_check_health
            || !self.settings.report_columns.contains(&ReportColumn::Load)
        {
            return;
        }
        let n = self.ready.len().max(1);
        self.probes += 1;
        out.extend(
            self.ready
                .get(self.probes % n)
                .map(|&i| Action::CheckHealth(self.servers[i].id)),
        );
        let wait = self.t.probe_every * u64::from(self.settings.balancer_count.max(3)) / n as u64;
        out.push(Action::SetTimer {
            at: self.now + wait / 2 + self.rng.range(0..wait),
            token: TIMER_PROBE,
        });
    }

    fn probed(&mut self, server: EndpointId, outcome: Outcome, report: &[f32], out: &mut Out) {
        let Some(&i) = self.index.get(&server) else {
            return;
        };
        self.servers[i].probed_at = Some(self.now);
        if matches!(outcome, Outcome::ConnectFailed | Outcome::Timeout) {
            self.failed(i, outcome);
        }
        self.reported(i, report, out);
        let looks = |p: &&Pending| p.phase == Phase::Held && p.tried.is_empty();
        let waiting: Vec<_> = self
            .pending
            .values()
            .filter(looks)
            .map(|p| p.request.id)
            .collect();
        waiting
            .into_iter()
            .for_each(|id| self.timer(TIMER_HOLD | u64::from(id.0), out));
    }

    /// Probes those of a request's first servers whose load is not known; whether it waits for the answers.
    fn look(&mut self, p: &Pending, out: &mut Out) -> bool {
        let told = self.settings.may_check_health
            && self.settings.report_columns.contains(&ReportColumn::Load);
        if !told
            || !p.tried.is_empty()
            || self.now + p.request.time_left >= p.deadline + self.t.look_wait
        {
            return false;
        }
        let (mut list, _) = self.jumps(p);
        list.sort_by_key(|&i| !self.planned() || self.servers[i].zone != self.settings.zone);
        let fresh = |s: &Server| {
            s.probed_at
                .is_some_and(|at| self.now < at + self.t.look_stale)
        };
        let room =
            |s: &Server| fresh(s) && self.load(s).is_some_and(|load| load < self.t.near_load);
        let before = list
            .iter()
            .position(|&i| room(&self.servers[i]))
            .unwrap_or(list.len());
        list.truncate(before.min(self.t.look_at));
        list.retain(|&i| !fresh(&self.servers[i]));
        list.truncate(self.t.look_both);
        for &i in &list {
            let s = &mut self.servers[i];
            if s.looked_at
                .is_none_or(|at| self.now >= at + self.t.look_wait)
            {
                s.looked_at = Some(self.now);
                out.push(Action::CheckHealth(s.id));
            }
        }
        !list.is_empty()
    }

    fn reported(&mut self, i: usize, report: &[f32], out: &mut Out) {
        let value = |kind| {
            report
                .get(
                    self.settings
                        .report_columns
                        .iter()
                        .position(|&c| c == kind)?,
                )
                .copied()
        };
        let Some(load) = value(ReportColumn::Load) else {
            return;
        };
        let s = &mut self.servers[i];
        let news = load != s.load || s.load_at.is_none();
        // A report was made some time ago: half of what was sent since the last one is not in it.
        s.since = if news { s.since / 2.0 } else { s.since };
        (s.load, s.active, s.load_at) = (
            load,
            value(ReportColumn::Active).unwrap_or(0.0),
            Some(self.now),
        );
        let (mut work, mut sizes, mut warm_work, mut warm_active) =
            (0.0, f32::MIN_POSITIVE, 0.0, 0.0);
        for s in self
            .ready
            .iter()
            .map(|&i| &self.servers[i])
            .filter(|s| s.load_at.is_some())
        {
            let able = s.size * self.warmth(s);
            (work, sizes) = (work + s.load * able, sizes + able);
            // New connections have yet to show their load: by them a cold server bears far too many.
            let warm = f32::from(self.warmth(s) >= 1.0);
            (warm_work, warm_active) = (
                warm_work + warm * s.load * able,
                warm_active + warm * s.active,
            );
        }
        self.mean_load = work / sizes;
        self.unit = if warm_active > 0.0 {
            warm_work / warm_active.max(1.0)
        } else {
            self.unit
        };
        if news && load > self.t.move_from && self.mean_load < self.t.move_room {
            self.evacuate(self.servers[i].id, (load - self.t.move_to) / load, out);
        }
    }

    fn load(&self, s: &Server) -> Option<f32> {
        let fresh = s
            .load_at
            .is_some_and(|at| self.now < at + self.t.report_stale);
        let all = (self.settings.balancer_count as f32 / 3.0).max(1.0);
        fresh.then(|| s.load + s.since * all * self.unit / s.size / self.warmth(s))
    }

    fn place(&mut self, p: &Pending) -> Option<usize> {
        let (own, key) = (own_key(&p.request), home_key(&p.request));
        let mid_flow = p.request.established && p.tried.is_empty();
        let first = mid_flow
            .then(|| self.holder(key, own))
            .flatten()
            .or_else(|| self.due(p));
        if first.is_some() {
            return first;
        }
        let (list, homes) = self.jumps(p);
        let fits = |i: &&usize| self.under_cap(**i, own);
        let own_zone = |i: &&usize| self.planned() && self.servers[**i].zone == self.settings.zone;
        let room = |i: &&usize| {
            self.load(&self.servers[**i])
                .is_some_and(|load| load < self.t.near_load)
        };
        let near = list.iter().filter(own_zone).filter(room).find(fits);
        let far = list.iter().filter(room).find(fits);
        // Jumping on from strained homes would make further servers pay for the group: a jam feeds itself.
        let stay = list
            .first()
            .filter(|_| self.planned() && self.late_share >= self.t.stay_from);
        let found = near
            .or(list[..homes].iter().find(fits))
            .or(far)
            .or(stay)
            .or(list.iter().find(fits))
            .copied();
        // A group whose servers are told to be full waits: one more that pays for it would feed the jam.
        let told =
            p.request.group != 0 && list.iter().any(|&i| self.load(&self.servers[i]).is_some());
        found.or_else(|| {
            if told && !self.planned() {
                None
            } else {
                self.fallback(own, p)
            }
        })
    }

    /// Whether the own estimates of groups and loads are better than none.
    fn planned(&self) -> bool {
        self.seen_all >= self.t.plan_least
    }

    /// The servers that a request may use: its group's homes, so many, and then as its key jumps.
    fn jumps(&mut self, p: &Pending) -> (Vec<usize>, usize) {
        let (own, key) = (own_key(&p.request), home_key(&p.request));
        let mut list = self.order(key, own);
        list.retain(|&i| self.usable(i, p));
        let homes = list.len();
        for jump in 0..self.t.jumps {
            let Some(owner) = self.owner(key, jump) else {
                break;
            };
            if !list.contains(&owner) && self.usable(owner, p) {
                list.push(owner);
            }
        }
        (list, homes)
    }

    /// A server called back by hand that is to be used again by now; it has earned that whatever its credit.
    fn due(&mut self, p: &Pending) -> Option<usize> {
        let due = |s: &Server| s.held == 0 && s.due.is_some_and(|at| at <= self.now);
        let i = self
            .ready
            .iter()
            .copied()
            .find(|&i| due(&self.servers[i]))?;
        (self.servers[i].credit, self.servers[i].credit_at) = (1.0, self.now);
        Some(i).filter(|&i| self.usable(i, p))
    }

    /// A group's homes in this client's order: weighted rendezvous, so that one more moves only its own.
    fn order(&self, group: u64, own: u64) -> Vec<usize> {
        let Some(list) = self.homes.get(&group).filter(|_| self.planned()) else {
            return Vec::new();
        };
        let near = |i: usize| {
            if self.servers[i].zone == self.settings.zone {
                self.t.near
            } else {
                1.0
            }
        };
        let score = |i: usize, share: f32| {
            -(1.0 - fraction(own, self.servers[i].id.0)).ln() / share / near(i)
        };
        let mut order: Vec<(f32, usize)> = list
            .iter()
            .map(|&(i, share)| (score(i, share), i))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        order.into_iter().map(|(_, i)| i).collect()
    }

    fn holder(&mut self, key: u64, own: u64) -> Option<usize> {
        let mut order = self.order(key, own);
        order.extend(
            self.known_ring
                .owner(key, 0)
                .and_then(|id| self.index.get(&id)),
        );
        order.into_iter().find(|&i| match &self.servers[i] {
            // Most of a burst is set up anew: a cold server takes its share only (one was pushed over).
            s if s.ready => self.credited(i),
            s => s.told > 0 && self.now < s.told + self.settings.drain_grace,
        })
    }

    fn usable(&mut self, i: usize, p: &Pending) -> bool {
        self.now >= self.servers[i].ejected_until && self.lawful(i, p)
    }

    /// Whether a send there is allowed by the list, the warm-up, and what has been tried and may have run.
    fn lawful(&mut self, i: usize, p: &Pending) -> bool {
        let s = &self.servers[i];
        let new = s.ready && !p.tried.contains(&s.id);
        let same = match (p.ran, p.class.idempotency) {
            (None, _)
            | (
                _,
                Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DeduplicationScope::All,
                    ..
                },
            ) => true,
            (
                Some((_, zone, _)),
                Idempotency::Keyed {
                    scope: DeduplicationScope::Zone,
                    ..
                },
            ) => s.zone == zone,
            (
                Some((_, _, cell)),
                Idempotency::Keyed {
                    scope: DeduplicationScope::Cell,
                    ..
                },
            ) => s.cell == cell,
            (Some(_), Idempotency::NonIdempotent) => false,
        };
        new && same && self.credited(i)
    }

    fn under_cap(&self, i: usize, own: u64) -> bool {
        let s = &self.servers[i];
        let share = fraction(own, s.id.0);
        match self.load(s) {
            Some(load) if self.planned() => load < self.t.full_load,
            Some(load) => {
                load + self.t.soft * share < self.t.brim && share * self.warmth(s) < self.scale(s)
            }
            None => s.held as f32 + share < self.cap(s),
        }
    }

    /// The least loaded of a sample, the ejected last: when all seem bad, health says nothing.
    fn fallback(&mut self, own: u64, p: &Pending) -> Option<usize> {
        let n = self.ready.len();
        let pick = |k: usize| {
            if n > self.t.look_at {
                self.rng.range(0..n as u64) as usize
            } else {
                k
            }
        };
        let mut sample: Vec<usize> = (0..self.t.look_at.min(n))
            .map(pick)
            .map(|k| self.ready[k])
            .collect();
        let told = |s: &Server| !self.planned() && self.load(s).is_some();
        sample.retain(|&i| !told(&self.servers[i]) || self.under_cap(i, own));
        sample.retain(|&i| self.lawful(i, p));
        let rank = |i: usize| {
            let s = &self.servers[i];
            // One that fails some is better than one without room, unless it cannot be reached.
            let room = s.load_at.is_some() && s.load < self.t.near_load;
            let over = (self.now < s.ejected_until && !room, !self.under_cap(i, own));
            // A new server counts at the others' mean until it holds something.
            let new = s.held == 0 && s.started.is_some();
            let load = if new {
                self.mean(1.0)
            } else {
                s.held as f32 / s.size
            };
            (over, load / self.scale(s).max(0.05))
        };
        sample.into_iter().min_by(|&a, &b| {
            rank(a)
                .partial_cmp(&rank(b))
                .unwrap_or(std::cmp::Ordering::Equal)
        })
    }

    /// How many listed servers get nothing new now, as the list, hands or their health say.
    pub fn unavailable_endpoints(&self, now: Micros) -> usize {
        self.servers
            .iter()
            .filter(|s| !s.gone && (!s.ready || now < s.ejected_until))
            .count()
    }

    fn arrived(&mut self, request: Request, out: &mut Out) {
        if !request.returning {
            self.count(request.group);
        }
        let deadline = self.now + request.time_left;
        self.owed_by(request.id, deadline, out);
        self.advance(
            Pending {
                class: self.class(&request),
                request,
                deadline,
                ..Pending::default()
            },
            out,
        );
    }

    /// Answered a tick before the client gives up, whatever is out or held then.
    fn owed_by(&self, id: RequestId, deadline: Micros, out: &mut Out) {
        let last = deadline
            .saturating_sub(self.settings.tick)
            .max(self.now + 1);
        out.push(Action::SetTimer {
            at: last,
            token: TIMER_DEADLINE | u64::from(id.0),
        });
    }

    fn hurry(&mut self, id: RequestId, by: Micros, out: &mut Out) {
        let Some(p) = self
            .pending
            .get_mut(&id)
            .filter(|p| !p.answered && p.deadline > by)
        else {
            return;
        };
        p.deadline = by;
        self.owed_by(id, by, out);
    }

    fn stands(&mut self, i: usize, id: RequestId, out: &mut Out) {
        let s = &self.servers[i];
        if !self.settings.forwards_packets && !s.ready && !s.gone {
            let at = self.now + self.rng.range(0..self.t.move_span);
            out.push(Action::SetTimer {
                at,
                token: TIMER_MOVE | u64::from(id.0),
            });
        }
    }

    fn open(&mut self, request: Request, server: EndpointId, out: &mut Out) {
        self.count(request.group);
        let i = self.entry(server);
        self.take(i);
        self.stands(i, request.id, out);
        let (id, deadline, phase, class) =
            (request.id, Micros::MAX, Phase::Up, self.class(&request));
        let p = Pending {
            request,
            class,
            deadline,
            phase,
            answered: true,
            server,
            ..Pending::default()
        };
        self.pending.insert(id, p);
    }

    fn take(&mut self, i: usize) {
        self.servers[i].held += 1;
        self.held += 1;
    }

    fn advance(&mut self, mut p: Pending, out: &mut Out) {
        self.pace();
        // Without a budget, attempts given up and made anew are what jams the servers (incident i056f18):
        // once it is spent, an attempt has all the time there is and is the last.
        let spare = (p.tried.len() as u32 + 1) < self.settings.max_attempts && self.retries >= 2.0;
        // Not so short that a server which is merely slow loses its work, unless it is the last.
        let share = (p.class.setup_objective as f32 * self.t.attempt_share) as Micros;
        let until = if spare {
            p.deadline.min(self.now + share.max(self.settings.tick))
        } else {
            p.deadline
        };
        // The window counts to the first byte: that comes once the dial is over.
        let begins = self.now + self.settings.tick + self.settings.connect_timeout;
        let may_repeat = match (p.ran, p.class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some((sent, ..)), Idempotency::Keyed { window, .. }) => begins < sent + window,
            (Some(_), Idempotency::NonIdempotent) => false,
        };
        let late = self.now >= p.deadline.saturating_sub(self.settings.tick);
        let spent =
            p.tried.len() as u32 >= self.settings.max_attempts || (p.begun && self.retries < 1.0);
        if late || spent || !may_repeat || (self.shed(&p.request) && !p.request.established) {
            return self.answer(&mut p, out);
        }
        let found = if self.look(&p, out) {
            None
        } else {
            self.place(&p)
        };
        if let Some(i) = found {
            self.take(i);
            let earned = if p.tried.is_empty() {
                self.t.retry_share
            } else {
                -f32::from(p.begun)
            };
            self.retries = (self.retries + earned).min(self.t.retry_saved);
            let s = &mut self.servers[i];
            (s.due, s.credit, s.since) = (None, s.credit - 1.0, s.since + 1.0);
            (p.phase, p.server, p.sent_at) = (Phase::Out, s.id, self.now);
            p.tried.push(s.id);
            out.push(Action::Attempt {
                id: p.request.id,
                endpoint: s.id,
                give_up_at: until,
            });
        } else if p.tried.is_empty() {
            // One timer at a time, however many probes let it look again meanwhile.
            if p.wakes <= self.now {
                p.wakes = self.now + self.t.look_wait;
                out.push(Action::SetTimer {
                    at: p.wakes,
                    token: TIMER_HOLD | u64::from(p.request.id.0),
                });
            }
        } else {
            return self.answer(&mut p, out);
        }
        self.pending.insert(p.request.id, p);
    }

    fn answer(&self, p: &mut Pending, out: &mut Out) {
        if std::mem::replace(&mut p.answered, true) {
            return;
        }
        let maybe_ran = p.ran.is_some() || p.phase == Phase::Out;
        let repeats = matches!(
            p.class.idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DeduplicationScope::All,
                    ..
                }
        );
        let id = p.request.id;
        let spread = 0.5 + fraction(own_key(&p.request), self.now);
        let wait =
            ((self.t.retry_after as f32 * spread) as Micros).min(self.settings.max_retry_after);
        out.push(if repeats || !maybe_ran {
            Action::Reject {
                id,
                retry_after: wait,
            }
        } else {
            Action::Fail(id)
        });
    }

    fn first(&mut self, id: RequestId, out: &mut Out) -> Result<(), UnknownId> {
        let p = self.pending.get_mut(&id).ok_or(UnknownId::Request(id))?;
        if p.phase == Phase::Out && !p.answered {
            (p.phase, p.answered) = (Phase::Up, true);
        }
        let server = p.server;
        let i = self.entry(server);
        (self.servers[i].strikes, self.servers[i].ejections) = (0, 0);
        self.stands(i, id, out);
        Ok(())
    }

    fn ended(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        last: bool,
        out: &mut Out,
    ) -> Result<(), UnknownId> {
        let waits = self
            .pending
            .get(&id)
            .is_some_and(|p| p.phase != Phase::Held);
        let Some(mut p) = self.pending.remove(&id).filter(|_| waits) else {
            return Err(UnknownId::Request(id));
        };
        let i = self.entry(p.server);
        self.servers[i].held -= 1;
        self.held -= 1;
        match outcome {
            Outcome::Success => (self.servers[i].strikes, self.servers[i].ejections) = (0, 0),
            Outcome::NotAttempted => {
                self.retries = (self.retries + f32::from(p.begun)).min(self.t.retry_saved)
            }
            Outcome::Cancelled => {}
            Outcome::Reset if p.phase == Phase::Up => self.servers[i].cut_at = Some(self.now),
            _ => self.failed(i, outcome),
        }
        if last || p.answered {
            return Ok(());
        }
        (p.phase, p.begun) = (Phase::Held, p.begun || outcome != Outcome::NotAttempted);
        if !outcome.proves_not_executed() && p.ran.is_none() {
            p.ran = Some((p.sent_at, self.servers[i].zone, self.servers[i].cell));
        }
        match outcome {
            // A broken set-up ends the request; its client comes again.
            Outcome::Reset => out.push(Action::Fail(id)),
            _ => self.advance(p, out),
        }
        Ok(())
    }

    fn vanished(&mut self, id: RequestId) {
        match self.pending.get_mut(&id) {
            Some(p) if p.phase != Phase::Held => p.answered = true,
            _ => drop(self.pending.remove(&id)),
        }
    }

    fn timer(&mut self, token: u64, out: &mut Out) {
        let id = RequestId(token as u32);
        match token & !u64::from(u32::MAX) {
            TIMER_DEADLINE => {
                let Some(mut p) = self.pending.remove(&id) else {
                    return;
                };
                if !p.answered && p.phase == Phase::Out && self.settings.may_cancel {
                    out.push(Action::CancelAttempt {
                        id,
                        attempt: p.tried.len() as u16 - 1,
                    });
                }
                self.answer(&mut p, out);
                if p.phase != Phase::Held {
                    self.pending.insert(id, p);
                }
            }
            TIMER_HOLD
                if self
                    .pending
                    .get(&id)
                    .is_some_and(|p| p.phase == Phase::Held) =>
            {
                self.pending
                    .remove(&id)
                    .into_iter()
                    .for_each(|p| self.advance(p, out))
            }
            TIMER_MOVE => self.relocate(id, out),
            TIMER_ASK if !std::mem::replace(&mut self.watching, true) => {
                out.push(Action::WatchEndpointList(true))
            }
            TIMER_PROBE => self.probe(out),
            _ => {}
        }
    }

    fn relocate(&mut self, id: RequestId, out: &mut Out) {
        let Some(p) = self
            .pending
            .get_mut(&id)
            .filter(|p| p.phase == Phase::Up && !p.moving)
        else {
            return;
        };
        p.moving = true;
        out.push(Action::Migrate(id));
    }

    /// Which connection leaves a strained server: one turned away now, or with its group's homes elsewhere. A
    /// client that has come again stays where little is known: sent round and round, it jams all in turn.
    fn leaver(&self, i: usize, named: RequestId) -> Option<RequestId> {
        let stray = |q: &Request| {
            self.homes
                .get(&q.group)
                .is_some_and(|h| h.iter().all(|&(home, _)| home != i))
        };
        let here =
            |p: &&Pending| p.server == self.servers[i].id && p.phase == Phase::Up && !p.moving;
        let first = |p: &&Pending| self.planned() || !p.request.returning;
        let mut candidates = self.pending.values().filter(here).filter(first);
        let found = candidates.find(|p| self.shed(&p.request) || stray(&p.request));
        found
            .or_else(|| self.pending.get(&named).filter(first))
            .map(|p| p.request.id)
    }

    fn evacuate(&mut self, server: EndpointId, share: f32, out: &mut Out) {
        for p in self
            .pending
            .values()
            .filter(|p| p.server == server && p.phase == Phase::Up)
        {
            let at = self.now + self.rng.range(0..self.t.move_span);
            let first = self.planned() || !p.request.returning;
            if share >= 1.0 || (first && fraction(own_key(&p.request), at) < share) {
                out.push(Action::SetTimer {
                    at,
                    token: TIMER_MOVE | u64::from(p.request.id.0),
                });
            }
        }
    }
}
