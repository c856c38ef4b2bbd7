//! The endpoint table: which endpoints there are, which of them take new requests, and what is
//! known of each.
//!
//! Inputs are updates of the endpoint list and manual ejections. Guards against: a removed endpoint
//! that is forgotten while requests are in flight there, a restarted process that is judged by the
//! past of the one before, and an endpoint that an operator ejected and a list makes available
//! again.

use super::api::{
    Action, EndpointId, EndpointListKind, EndpointState, EndpointWeights, ListedEndpoint, Micros,
    Settings,
};
use super::load_reports::LoadEstimate;
use super::outlier::Health;
use super::parameters::Parameters;
use super::ring::{fraction, Ring};
use super::slow_start::SlowStart;
use super::Balancer;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

/// An endpoint never has more than this multiple of the usual number of ring points.
const MAX_RING_POINTS_FACTOR: f32 = 8.0;
/// Multiples of it are spread evenly over [0, 1) modulo 1.
const GOLDEN_RATIO: f32 = 0.618_034;

/// Place of an endpoint in the table; holds until the next update of the list.
pub(super) type EndpointIndex = usize;

/// What is known of an endpoint.
#[derive(Default)]
pub(super) struct Endpoint {
    pub id: EndpointId,
    pub zone: u16,
    pub cell: u16,
    /// Relative to other endpoints; greater than 0.
    pub size: f32,
    pub availability: Availability,
    /// Own requests and connections there.
    pub in_flight: u32,
    pub ring_points: RingPoints,
    pub slow_start: SlowStart,
    pub health: Health,
    pub load: LoadEstimate,
}

/// Whether an endpoint takes new requests, and since when.
#[derive(Clone, Copy, Default)]
pub(super) struct Availability {
    /// Ready according to the endpoint list.
    pub listed_ready: bool,
    /// Ready according to the list, and not ejected by an operator.
    pub ready: bool,
    /// Removed from the list, or never in it.
    pub removed: bool,
    /// When it last ceased to be ready; 0 if it never did.
    pub unavailable_since: Micros,
    /// When its process started, according to the list.
    pub started_at: Option<Micros>,
    /// When its manual ejection ended, unless the list shows a later start.
    pub returned_at: Option<Micros>,
    /// When it is to get a first request after its manual ejection.
    pub return_due: Option<Micros>,
}

/// Points of an endpoint on the two rings.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) struct RingPoints {
    ready: u32,
    known: u32,
}

/// All endpoints, with the rings over them.
#[derive(Default)]
pub(super) struct EndpointTable {
    entries: Vec<Endpoint>,
    by_id: BTreeMap<EndpointId, EndpointIndex>,
    /// Those that take new requests, in the order of the table.
    ready: Vec<EndpointIndex>,
    /// Sum of the sizes of those.
    ready_size: f32,
    manually_ejected: BTreeSet<EndpointId>,
    ready_ring: Ring,
    /// Of all endpoints that are not removed; empty unless packets are forwarded.
    known_ring: Ring,
    /// Own requests and connections at all endpoints.
    in_flight: u32,
}

impl Index<EndpointIndex> for EndpointTable {
    type Output = Endpoint;

    fn index(&self, index: EndpointIndex) -> &Endpoint {
        &self.entries[index]
    }
}

impl IndexMut<EndpointIndex> for EndpointTable {
    fn index_mut(&mut self, index: EndpointIndex) -> &mut Endpoint {
        &mut self.entries[index]
    }
}

impl EndpointTable {
    /// Place of a known endpoint.
    pub(super) fn find(&self, id: EndpointId) -> Option<EndpointIndex> {
        self.by_id.get(&id).copied()
    }

    /// Place of an endpoint; one that no list has named is added as removed.
    pub(super) fn find_or_insert(&mut self, id: EndpointId) -> EndpointIndex {
        let next = self.entries.len();
        let index = *self.by_id.entry(id).or_insert(next);
        if index == next {
            let availability = Availability {
                removed: true,
                ..Availability::default()
            };
            self.entries.push(Endpoint {
                id,
                size: 1.0,
                availability,
                ..Endpoint::default()
            });
        }
        index
    }

    /// All endpoints.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.iter()
    }

    /// Places of the endpoints that take new requests.
    pub(super) fn ready(&self) -> &[EndpointIndex] {
        &self.ready
    }

    /// Owner of the slot of h(key, jump) among the ready endpoints.
    pub(super) fn owner(&self, key: u64, jump: u32) -> Option<EndpointIndex> {
        self.find(self.ready_ring.owner(key, jump)?)
    }

    /// Owner of the first slot of a key among all that are not removed, if packets are forwarded.
    pub(super) fn owner_of_established(&self, key: u64) -> Option<EndpointIndex> {
        self.find(self.known_ring.owner(key, 0)?)
    }

    /// Own requests and connections at all endpoints.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Own requests and connections that an endpoint of this size has in the mean.
    pub(super) fn mean_in_flight(&self, size: f32) -> f32 {
        self.in_flight as f32 * size / self.ready_size.max(f32::MIN_POSITIVE)
    }

    /// Counts a request or connection at an endpoint.
    pub(super) fn add_in_flight(&mut self, index: EndpointIndex) {
        self.entries[index].in_flight += 1;
        self.in_flight += 1;
    }

    /// Counts one less.
    pub(super) fn remove_in_flight(&mut self, index: EndpointIndex) {
        self.entries[index].in_flight -= 1;
        self.in_flight -= 1;
    }

    /// Ends the availability of an endpoint. Returns its id if it was ready.
    fn make_unavailable(&mut self, index: EndpointIndex, now: Micros) -> Option<EndpointId> {
        let endpoint = &mut self.entries[index];
        if !endpoint.availability.ready {
            return None;
        }
        endpoint.availability.ready = false;
        endpoint.availability.unavailable_since = now;
        Some(endpoint.id)
    }

    /// Forgets what was learnt about an endpoint's former process. `tokens` is its credit in the
    /// new one's slow start.
    fn reset_process(&mut self, index: EndpointIndex, tokens: f32, now: Micros) {
        let endpoint = &mut self.entries[index];
        endpoint.availability.returned_at = None;
        endpoint.slow_start = SlowStart::new(tokens, now);
        endpoint.health = Health::default();
        endpoint.load = LoadEstimate::default();
    }

    /// Brings the rings, the list of ready endpoints and the sums up to date after a change of
    /// availability or size.
    fn rebuild(&mut self, settings: &Settings, parameters: &Parameters) {
        self.ready_size = self.sum_of_ready_sizes();
        self.lay_out_rings(settings, parameters);
        self.drop_removed();
        self.ready = (0..self.entries.len())
            .filter(|&index| self.entries[index].availability.ready)
            .collect();
    }

    fn sum_of_ready_sizes(&self) -> f32 {
        let ready = self.entries.iter().filter(|e| e.availability.ready);
        ready.fold(0.0, |sum, endpoint| sum + endpoint.size)
    }

    fn lay_out_rings(&mut self, settings: &Settings, parameters: &Parameters) {
        let ready_count = self.entries.iter().filter(|e| e.availability.ready).count();
        // A power of two, so that one endpoint more or less does not change the points of all.
        let mean_size = (self.ready_size / ready_count.max(1) as f32)
            .log2()
            .round()
            .exp2();
        // Live sizes change all the time: homes must not move with them.
        let weighted = settings.weights == EndpointWeights::Nominal;
        for endpoint in &mut self.entries {
            let relative_size = if weighted {
                endpoint.size / mean_size
            } else {
                1.0
            };
            let max_points = MAX_RING_POINTS_FACTOR * parameters.ring_points;
            let points = (parameters.ring_points * relative_size)
                .round()
                .clamp(1.0, max_points) as u32;
            let availability = endpoint.availability;
            // Only forwarded packets arrive established and look for their endpoint.
            let on_known_ring = settings.forwards_packets && !availability.removed;
            let new = RingPoints {
                ready: if availability.ready { points } else { 0 },
                known: if on_known_ring { points } else { 0 },
            };
            let old = endpoint.ring_points;
            self.ready_ring
                .set_points(endpoint.id, old.ready, new.ready);
            self.known_ring
                .set_points(endpoint.id, old.known, new.known);
            endpoint.ring_points = new;
        }
    }

    /// Drops removed endpoints at which nothing is in flight any more.
    fn drop_removed(&mut self) {
        let in_use = |endpoint: &Endpoint| !endpoint.availability.removed || endpoint.in_flight > 0;
        if self.entries.iter().all(in_use) {
            return;
        }
        self.entries.retain(in_use);
        let places = self.entries.iter().enumerate();
        self.by_id = places
            .map(|(index, endpoint)| (endpoint.id, index))
            .collect();
    }
}

impl Balancer {
    /// Applies an update of the endpoint list.
    pub(super) fn update_endpoint_list(
        &mut self,
        kind: EndpointListKind,
        endpoints: Vec<ListedEndpoint>,
        actions: &mut Vec<Action>,
    ) {
        if matches!(
            kind,
            EndpointListKind::WatchFailed | EndpointListKind::WatchTimedOut
        ) {
            self.back_off_discovery(kind, actions);
            return;
        }
        self.continue_discovery(kind, endpoints.is_empty(), actions);
        let mut unavailable = Vec::new();
        if matches!(kind, EndpointListKind::Full | EndpointListKind::Cached) {
            unavailable.extend(self.remove_unlisted(&endpoints));
        }
        for listed in endpoints {
            unavailable.extend(self.apply_listed(listed));
        }
        self.rebuild_endpoints();
        for endpoint in unavailable {
            self.migrate_all(endpoint, actions);
        }
        self.start_health_checks(actions);
    }

    /// Marks as removed whatever a complete list does not name. Returns the endpoints that were
    /// ready before.
    fn remove_unlisted(&mut self, endpoints: &[ListedEndpoint]) -> Vec<EndpointId> {
        let listed: BTreeSet<EndpointId> = endpoints.iter().map(|endpoint| endpoint.id).collect();
        let mut unavailable = Vec::new();
        for index in 0..self.endpoints.entries.len() {
            if !listed.contains(&self.endpoints[index].id) {
                unavailable.extend(self.endpoints.make_unavailable(index, self.now));
                self.endpoints[index].availability.removed = true;
            }
        }
        unavailable
    }

    /// Applies one entry of a list. Returns the endpoint if this ends its availability.
    fn apply_listed(&mut self, listed: ListedEndpoint) -> Option<EndpointId> {
        let removed = listed.state == EndpointState::Removed;
        if removed && self.endpoints.find(listed.id).is_none() {
            return None;
        }
        let index = self.endpoints.find_or_insert(listed.id);
        if listed.started_at != self.endpoints[index].availability.started_at {
            // A restarted process is cold. The balancers' first requests there are spread evenly:
            // drawn at random, many would come at once.
            let spread =
                self.settings.balancer_index as f32 * GOLDEN_RATIO + fraction(listed.id.0, 0);
            self.endpoints
                .reset_process(index, spread.fract(), self.now);
        }
        let listed_ready = listed.state == EndpointState::Ready;
        let ready = listed_ready && !self.endpoints.manually_ejected.contains(&listed.id);
        let unavailable = if ready {
            None
        } else {
            self.endpoints.make_unavailable(index, self.now)
        };
        let endpoint = &mut self.endpoints[index];
        endpoint.availability.listed_ready = listed_ready;
        endpoint.availability.ready = ready;
        endpoint.availability.removed = removed;
        endpoint.availability.started_at = listed.started_at;
        endpoint.zone = listed.zone;
        endpoint.cell = listed.cell;
        endpoint.size = if listed.size.is_finite() && listed.size > 0.0 {
            listed.size
        } else {
            1.0
        };
        unavailable
    }

    /// Begins or ends a manual ejection. Repeating it changes nothing.
    pub(super) fn set_manual_ejection(
        &mut self,
        id: EndpointId,
        ejected: bool,
        actions: &mut Vec<Action>,
    ) {
        let changed = if ejected {
            self.endpoints.manually_ejected.insert(id)
        } else {
            self.endpoints.manually_ejected.remove(&id)
        };
        let Some(index) = self.endpoints.find(id).filter(|_| changed) else {
            return;
        };
        if ejected {
            self.endpoints.make_unavailable(index, self.now);
            self.migrate_all(id, actions);
        } else {
            self.end_manual_ejection(index);
        }
        self.rebuild_endpoints();
    }

    /// Operators restart an ejected endpoint, so it returns cold: from the start that the list
    /// shows, or from now. Each balancer uses it soon, and not all at the same moment.
    fn end_manual_ejection(&mut self, index: EndpointIndex) {
        self.endpoints.reset_process(index, 0.0, self.now);
        let delay = self
            .random
            .range(0..self.parameters.manual_return_spread_us);
        let availability = &mut self.endpoints[index].availability;
        availability.ready = availability.listed_ready && !availability.removed;
        availability.return_due = Some(self.now + delay);
        let restarted = availability.started_at > Some(availability.unavailable_since);
        availability.returned_at = if restarted { None } else { Some(self.now) };
    }

    /// To be called after each change of the availability of endpoints.
    fn rebuild_endpoints(&mut self) {
        self.endpoints.rebuild(&self.settings, &self.parameters);
        self.make_group_plan();
    }

    /// Listed endpoints that get nothing new: draining, ejected by an operator, or ejected for
    /// failures.
    pub fn unavailable_endpoints(&self, now: Micros) -> usize {
        let unavailable =
            |endpoint: &Endpoint| !endpoint.availability.ready || endpoint.health.is_ejected(now);
        let listed = self.endpoints.iter().filter(|e| !e.availability.removed);
        listed.filter(|endpoint| unavailable(endpoint)).count()
    }
}
