//! The endpoint table: the known endpoints, whether they take new requests, and the state that the
//! other rules keep of each.
//!
//! Inputs: updates of the endpoint list, and manual ejections (`manual_ejection.rs`). A removed
//! endpoint stays in the table while requests are in flight there. A restarted process loses the
//! health, load and slow-start state of the former one.

use super::api::{
    Action, EndpointId, EndpointListKind, EndpointState, EndpointWeights, ListedEndpoint, Micros,
    Settings,
};
use super::load_reports::LoadEstimate;
use super::outlier::Health;
use super::parameters::Parameters;
use super::ring::Ring;
use super::slow_start::SlowStart;
use super::Balancer;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

/// The most ring points of an endpoint, as a multiple of the usual number.
const MAX_RING_POINTS_FACTOR: f32 = 8.0;

/// Index of an endpoint in the table; valid until the next update of the list.
pub(super) type EndpointIndex = usize;

/// An endpoint and the state that the rules keep of it.
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
    /// Whether a list has reported its state: one that names it, or a complete one that does not.
    pub is_reported: bool,
    /// When it last ceased to be ready; 0 if it never did.
    pub unavailable_since: Micros,
    /// When its process started, according to the list.
    pub started_at: Option<Micros>,
    /// When its manual ejection ended, unless the list shows a later start.
    pub returned_at: Option<Micros>,
    /// When its first request is due: after its manual ejection, or after its start where no load
    /// is reported. None if it has had one since.
    pub first_request_due: Option<Micros>,
}

/// Number of points of an endpoint on each of the two rings.
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
    /// Endpoints that take new requests, in the order of the table.
    ready: Vec<EndpointIndex>,
    /// Sum of the sizes of the ready endpoints.
    ready_size: f32,
    manually_ejected: BTreeSet<EndpointId>,
    /// Ring of the ready endpoints.
    ready_ring: Ring,
    /// Ring of all endpoints that are not removed; empty unless packets are forwarded.
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
    /// Index of a known endpoint.
    pub(super) fn find(&self, id: EndpointId) -> Option<EndpointIndex> {
        self.by_id.get(&id).copied()
    }

    /// Index of an endpoint; one that no list has named is added as removed.
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

    /// Indices of the endpoints that take new requests.
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

    /// Mean number of own requests and connections at an endpoint of this size.
    pub(super) fn mean_in_flight(&self, size: f32) -> f32 {
        self.in_flight as f32 * self.fraction_of_ready_size(size)
    }

    /// Fraction of the size of all ready endpoints that is this size.
    pub(super) fn fraction_of_ready_size(&self, size: f32) -> f32 {
        size / self.ready_size.max(f32::MIN_POSITIVE)
    }

    /// Counts a request or connection at an endpoint.
    pub(super) fn add_in_flight(&mut self, index: EndpointIndex) {
        self.entries[index].in_flight += 1;
        self.in_flight += 1;
    }

    /// Counts a request or connection at an endpoint no more.
    pub(super) fn remove_in_flight(&mut self, index: EndpointIndex) {
        self.entries[index].in_flight -= 1;
        self.in_flight -= 1;
    }

    /// Whether the connections of an endpoint have to be migrated: a list has reported that it
    /// takes no new requests, or an operator has ejected it.
    pub(super) fn is_leaving(&self, index: EndpointIndex) -> bool {
        let endpoint = &self.entries[index];
        let availability = &endpoint.availability;
        (availability.is_reported && !availability.ready)
            || self.manually_ejected.contains(&endpoint.id)
    }

    /// Records that an operator has ejected an endpoint, listed or not, or has ended that. Returns
    /// whether that is a change.
    pub(super) fn record_manual_ejection(&mut self, id: EndpointId, ejected: bool) -> bool {
        if ejected {
            self.manually_ejected.insert(id)
        } else {
            self.manually_ejected.remove(&id)
        }
    }

    /// Marks an endpoint as not ready.
    pub(super) fn make_unavailable(&mut self, index: EndpointIndex, now: Micros) {
        let availability = &mut self.entries[index].availability;
        if availability.ready {
            availability.ready = false;
            availability.unavailable_since = now;
        }
    }

    /// Resets the health and the load that were kept of an endpoint's former process.
    pub(super) fn reset_process(&mut self, index: EndpointIndex) {
        let endpoint = &mut self.entries[index];
        endpoint.health = Health::default();
        endpoint.load = LoadEstimate::default();
    }

    /// Brings the rings, the list of ready endpoints and the sums up to date after a change of
    /// availability or size.
    fn rebuild(&mut self, settings: &Settings, parameters: &Parameters) {
        self.ready_size = self.sum_of_ready_sizes();
        self.update_rings(settings, parameters);
        self.drop_removed();
        self.ready = (0..self.entries.len())
            .filter(|&index| self.entries[index].availability.ready)
            .collect();
    }

    fn sum_of_ready_sizes(&self) -> f32 {
        let ready = self.entries.iter().filter(|e| e.availability.ready);
        ready.fold(0.0, |sum, endpoint| sum + endpoint.size)
    }

    fn update_rings(&mut self, settings: &Settings, parameters: &Parameters) {
        let ready_count = self.entries.iter().filter(|e| e.availability.ready).count();
        // Rounded to a power of two: one endpoint more or less does not change the points of all.
        let mean_size = (self.ready_size / ready_count.max(1) as f32)
            .log2()
            .round()
            .exp2();
        // Live sizes change all the time, and the homes of keys must not change with them.
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
            // Only forwarded packets belong to connections whose endpoint has to be found.
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
        let indexed = self.entries.iter().enumerate();
        self.by_id = indexed
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
        let mut leaving = Vec::new();
        if matches!(kind, EndpointListKind::Full | EndpointListKind::Cached) {
            leaving.extend(self.remove_unlisted(kind, &endpoints));
        }
        for listed in endpoints {
            leaving.extend(self.apply_listed(listed));
        }
        self.rebuild_endpoints();
        for endpoint in leaving {
            self.migrate_all(endpoint, actions);
        }
        self.start_health_checks(actions);
    }

    /// Marks as removed the endpoints that a complete list does not name. Returns those that leave
    /// by that. A cached list may be stale: an endpoint that no list has named yet may exist.
    fn remove_unlisted(
        &mut self,
        kind: EndpointListKind,
        endpoints: &[ListedEndpoint],
    ) -> Vec<EndpointId> {
        let listed: BTreeSet<EndpointId> = endpoints.iter().map(|endpoint| endpoint.id).collect();
        let mut leaving = Vec::new();
        for index in 0..self.endpoints.entries.len() {
            let id = self.endpoints[index].id;
            if listed.contains(&id) {
                continue;
            }
            let was_leaving = self.endpoints.is_leaving(index);
            self.endpoints.make_unavailable(index, self.now);
            let availability = &mut self.endpoints[index].availability;
            availability.removed = true;
            availability.is_reported |= kind == EndpointListKind::Full;
            if !was_leaving && self.endpoints.is_leaving(index) {
                leaving.push(id);
            }
        }
        leaving
    }

    /// Applies one entry of a list. Returns the endpoint if it leaves and did not before. It may
    /// have connections although no list has named it: another process established them.
    fn apply_listed(&mut self, listed: ListedEndpoint) -> Option<EndpointId> {
        let removed = listed.state == EndpointState::Removed;
        if removed && self.endpoints.find(listed.id).is_none() {
            return None;
        }
        let index = self.endpoints.find_or_insert(listed.id);
        if !self.endpoints[index].availability.is_reported {
            self.endpoints[index].slow_start = SlowStart::of_unknown_history(self.now);
        }
        if listed.started_at != self.endpoints[index].availability.started_at {
            self.apply_start(index, listed.started_at);
        }
        let was_leaving = self.endpoints.is_leaving(index);
        let listed_ready = listed.state == EndpointState::Ready;
        let ready = listed_ready && !self.endpoints.manually_ejected.contains(&listed.id);
        if !ready {
            self.endpoints.make_unavailable(index, self.now);
        }
        let endpoint = &mut self.endpoints[index];
        if listed_ready && !ready && !endpoint.availability.is_reported {
            // It was ejected before any list named it.
            endpoint.availability.unavailable_since = self.now;
        }
        endpoint.availability.is_reported = true;
        endpoint.availability.listed_ready = listed_ready;
        endpoint.availability.ready = ready;
        endpoint.availability.removed = removed;
        endpoint.zone = listed.zone;
        endpoint.cell = listed.cell;
        endpoint.size = if listed.size.is_finite() && listed.size > 0.0 {
            listed.size
        } else {
            1.0
        };
        let leaves = !was_leaving && self.endpoints.is_leaving(index);
        leaves.then_some(listed.id)
    }

    /// Applies the start of an endpoint's process: while that warms up, it is cold.
    fn apply_start(&mut self, index: EndpointIndex, started_at: Option<Micros>) {
        self.endpoints.reset_process(index);
        let availability = &mut self.endpoints[index].availability;
        availability.returned_at = None;
        availability.started_at = started_at;
        self.start_slowly(index);
        // Where load is reported, placement prefers endpoints with spare capacity.
        let is_cold = self.warm_fraction(&self.endpoints[index]) < 1.0;
        if is_cold && !self.has_load_reports() {
            let now = self.now;
            let availability = &mut self.endpoints[index].availability;
            availability.first_request_due.get_or_insert(now);
        }
    }

    /// Rebuilds the table and the group plan. Must be called after each change of the availability
    /// of endpoints.
    pub(super) fn rebuild_endpoints(&mut self) {
        self.endpoints.rebuild(&self.settings, &self.parameters);
        self.make_group_plan();
    }

    /// Number of listed endpoints that get no new requests: draining, ejected by an operator, or
    /// ejected for failures.
    pub fn unavailable_endpoints(&self, now: Micros) -> usize {
        let unavailable =
            |endpoint: &Endpoint| !endpoint.availability.ready || endpoint.health.is_ejected(now);
        let listed = self.endpoints.iter().filter(|e| !e.availability.removed);
        listed.filter(|endpoint| unavailable(endpoint)).count()
    }
}
