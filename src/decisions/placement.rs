//! Placement: the endpoint that a request goes to.
//!
//! Consistent hashing with bounded loads (RJ-CH): a request goes to the first endpoint along the
//! jumps of its key that is under its cap. The home endpoints of its group come before the jumps.
//! Inputs: the group plan, the ring, reported loads, connection counts. Output: an endpoint, or
//! none if the request has to wait.
//!
//! Placement keeps endpoints under their caps, does not spread a group over further endpoints while
//! its homes are overloaded, and varies caps by client, so that balancers do not all choose the
//! same endpoint at once.

use super::endpoints::{Endpoint, EndpointIndex};
use super::group_plan::Home;
use super::requests::PendingRequest;
use super::ring::{client_key, fraction, placement_key};
use super::Balancer;
use std::cmp::Ordering;

/// Lower bound of the cap fraction by which the fallback divides loads.
const MIN_CAP_FRACTION: f32 = 0.05;

/// Endpoints that are eligible for a request, in order of preference.
pub(super) struct Candidates {
    /// The home endpoints of its group, then the owners along its jumps.
    pub endpoints: Vec<EndpointIndex>,
    /// How many of them are homes.
    home_count: usize,
}

impl Candidates {
    fn homes(&self) -> &[EndpointIndex] {
        &self.endpoints[..self.home_count]
    }
}

impl Balancer {
    /// The endpoint that a request goes to. The first step that finds one decides.
    pub(super) fn place(&mut self, pending: &PendingRequest) -> Option<EndpointIndex> {
        if let Some(endpoint) = self.owner_of_established_connection(pending) {
            return Some(endpoint);
        }
        if let Some(endpoint) = self.endpoint_due_for_first_request(pending) {
            return Some(endpoint);
        }
        let candidates = self.candidates(pending);
        let client = client_key(&pending.request);
        let chosen = self
            .in_own_zone_with_spare_capacity(&candidates, client)
            .or_else(|| self.home_under_cap(&candidates, client))
            .or_else(|| self.any_with_spare_capacity(&candidates, client))
            .or_else(|| self.first_during_overload(&candidates))
            .or_else(|| self.any_under_cap(&candidates, client));
        if chosen.is_some() {
            return chosen;
        }
        if self.waits_for_capacity(pending, &candidates) {
            return None;
        }
        self.fallback(client, pending)
    }

    /// Eligible endpoints for a request.
    pub(super) fn candidates(&mut self, pending: &PendingRequest) -> Candidates {
        let client = client_key(&pending.request);
        let key = placement_key(&pending.request);
        let mut endpoints = self.homes_in_client_order(key, client);
        endpoints.retain(|&index| self.is_eligible(index, pending));
        let home_count = endpoints.len();
        for jump in 0..self.parameters.max_jumps {
            let Some(owner) = self.endpoints.owner(key, jump) else {
                break;
            };
            if !endpoints.contains(&owner) && self.is_eligible(owner, pending) {
                endpoints.push(owner);
            }
        }
        Candidates {
            endpoints,
            home_count,
        }
    }

    /// Step: packets of an established connection go to the endpoint that has it, as far as the
    /// group plan and the ring tell which one that is.
    fn owner_of_established_connection(
        &mut self,
        pending: &PendingRequest,
    ) -> Option<EndpointIndex> {
        if !pending.request.established || !pending.attempted.is_empty() {
            return None;
        }
        let client = client_key(&pending.request);
        let key = placement_key(&pending.request);
        let mut owners = self.homes_in_client_order(key, client);
        owners.extend(self.endpoints.owner_of_established(key));
        owners
            .into_iter()
            .find(|&index| self.accepts_established(index))
    }

    fn accepts_established(&mut self, index: EndpointIndex) -> bool {
        let availability = &self.endpoints[index].availability;
        let since = availability.unavailable_since;
        let in_grace = since > 0 && self.now < since + self.settings.drain_grace;
        // Slow start counts them as requests: in a burst, most of the connections are new to the
        // endpoint.
        (availability.ready || in_grace) && self.slow_start_admits(index)
    }

    /// Step: an endpoint that has come back gets its first request once that is due and slow start
    /// has a token for it, whatever the key of the request. Of several, the one whose token expires
    /// first.
    fn endpoint_due_for_first_request(
        &mut self,
        pending: &PendingRequest,
    ) -> Option<EndpointIndex> {
        let is_due = |endpoint: &Endpoint| {
            let due = endpoint.availability.first_request_due;
            endpoint.in_flight == 0 && due.is_some_and(|at| at <= self.now)
        };
        let ready = self.endpoints.ready().iter().copied();
        let mut due: Vec<EndpointIndex> = ready
            .filter(|&index| is_due(&self.endpoints[index]))
            .collect();
        due.retain(|&index| self.is_eligible(index, pending) && self.has_token(index));
        let tokens = |&index: &EndpointIndex| self.endpoints[index].slow_start.tokens();
        due.into_iter()
            .max_by(|one, other| tokens(one).total_cmp(&tokens(other)))
    }

    /// Step: a candidate in the balancer's own zone that has spare capacity.
    fn in_own_zone_with_spare_capacity(
        &self,
        candidates: &Candidates,
        client: u64,
    ) -> Option<EndpointIndex> {
        if !self.has_own_estimates() {
            return None;
        }
        let own_zone = self.settings.zone;
        self.first_candidate(&candidates.endpoints, |index, endpoint| {
            endpoint.zone == own_zone
                && self.has_spare_capacity(endpoint)
                && self.is_under_cap(index, client)
        })
    }

    /// Step: a home endpoint of the group that is under its cap.
    fn home_under_cap(&self, candidates: &Candidates, client: u64) -> Option<EndpointIndex> {
        self.first_candidate(candidates.homes(), |index, _| {
            self.is_under_cap(index, client)
        })
    }

    /// Step: any candidate with spare capacity.
    fn any_with_spare_capacity(
        &self,
        candidates: &Candidates,
        client: u64,
    ) -> Option<EndpointIndex> {
        self.first_candidate(&candidates.endpoints, |index, endpoint| {
            self.has_spare_capacity(endpoint) && self.is_under_cap(index, client)
        })
    }

    /// Step: while messages are late at many endpoints, the first candidate whatever its load: a
    /// home of the group, if it has one that is eligible. Any other endpoint would bear the cost of
    /// the group in addition, and the overload would grow.
    fn first_during_overload(&self, candidates: &Candidates) -> Option<EndpointIndex> {
        let is_overloaded =
            self.load_shedding.late_messages_per_endpoint() >= self.parameters.stay_late_messages;
        if !self.has_own_estimates() || !is_overloaded {
            return None;
        }
        candidates.endpoints.first().copied()
    }

    /// Step: any candidate under its cap.
    fn any_under_cap(&self, candidates: &Candidates, client: u64) -> Option<EndpointIndex> {
        self.first_candidate(&candidates.endpoints, |index, _| {
            self.is_under_cap(index, client)
        })
    }

    /// Whether a request waits instead of going to an endpoint that is no candidate: the candidates
    /// of its group are known to be full, and the cost of the group at another endpoint would add
    /// to the overload.
    fn waits_for_capacity(&self, pending: &PendingRequest, candidates: &Candidates) -> bool {
        let load_is_known = |&index: &EndpointIndex| {
            let endpoint = &self.endpoints[index];
            self.estimated_load(endpoint).is_some()
        };
        pending.request.group != 0
            && !self.has_own_estimates()
            && candidates.endpoints.iter().any(load_is_known)
    }

    fn first_candidate(
        &self,
        candidates: &[EndpointIndex],
        is_suitable: impl Fn(EndpointIndex, &Endpoint) -> bool,
    ) -> Option<EndpointIndex> {
        let mut candidates = candidates.iter().copied();
        candidates.find(|&index| is_suitable(index, &self.endpoints[index]))
    }

    /// Home endpoints of a group in the order of one client, by weighted rendezvous hashing: a home
    /// that is added changes the first home only of the clients that it gets.
    fn homes_in_client_order(&self, group: u64, client: u64) -> Vec<EndpointIndex> {
        if !self.has_own_estimates() {
            return Vec::new();
        }
        let homes = self.group_plan.homes(group).unwrap_or_default();
        let mut scored: Vec<(f32, EndpointIndex)> = homes
            .iter()
            .map(|home| (self.rendezvous_score(home, client), home.endpoint))
            .collect();
        scored.sort_by(|one, other| one.0.total_cmp(&other.0));
        scored.into_iter().map(|(_, index)| index).collect()
    }

    /// The score of a home for a client; the lowest comes first. An exponential variable from the
    /// hash of client and endpoint, divided by the home's weight.
    fn rendezvous_score(&self, home: &Home, client: u64) -> f32 {
        let endpoint = &self.endpoints[home.endpoint];
        let zone_weight = if endpoint.zone == self.settings.zone {
            self.parameters.local_zone_weight
        } else {
            1.0
        };
        -(1.0 - fraction(client, endpoint.id.0)).ln() / home.fraction / zone_weight
    }

    /// Whether an endpoint is under its cap for one client. The cap depends on the knowledge of the
    /// balancer:
    ///
    /// - no fresh load report: the bounded load of RJ-CH, in own connections;
    /// - a load report and estimates of its own: `max_load`;
    /// - a load report only: `max_load_without_estimates`, lowered by the client's part of the hash
    ///   band; an endpoint that recovers from overload takes only a fraction of the clients.
    ///
    /// The first and the last differ by client, so that the clients do not all go elsewhere at
    /// once.
    fn is_under_cap(&self, index: EndpointIndex, client: u64) -> bool {
        let endpoint = &self.endpoints[index];
        let client_fraction = fraction(client, endpoint.id.0);
        let Some(load) = self.estimated_load(endpoint) else {
            return endpoint.in_flight as f32 + client_fraction < self.connection_cap(endpoint);
        };
        if self.has_own_estimates() {
            return load < self.parameters.max_load;
        }
        let client_load = load + self.parameters.hash_band_width * client_fraction;
        // After an overload, a fraction of the clients goes elsewhere until the cap has recovered.
        let warming_client = client_fraction * self.warm_fraction(endpoint);
        client_load < self.parameters.max_load_without_estimates
            && warming_client < self.cap_fraction(endpoint)
    }

    /// Own connections that an endpoint may have: C = ⌈(1 + ε)·n/k⌉ by its size, at least 1; less
    /// while it warms up or recovers from overload.
    fn connection_cap(&self, endpoint: &Endpoint) -> f32 {
        let mean = self.endpoints.mean_in_flight(endpoint.size);
        let bounded_load = (1.0 + self.parameters.bounded_load_epsilon) * mean;
        bounded_load.ceil().max(1.0) * self.cap_fraction(endpoint)
    }

    /// The best endpoint of a sample of all, if no candidate can take a request. Ejected ones come
    /// last but are not excluded: if all endpoints fail, the request still goes to one of them.
    fn fallback(&mut self, client: u64, pending: &PendingRequest) -> Option<EndpointIndex> {
        let mut sample = self.sample_of_ready();
        sample.retain(|&index| !self.is_known_to_be_full(index, client));
        sample.retain(|&index| self.is_permitted(index, pending));
        sample.into_iter().min_by(|&one, &other| {
            let one = self.fallback_rank(one, client);
            let other = self.fallback_rank(other, client);
            one.partial_cmp(&other).unwrap_or(Ordering::Equal)
        })
    }

    /// All ready endpoints if they are few, else some drawn at random.
    fn sample_of_ready(&mut self) -> Vec<EndpointIndex> {
        let size = self.parameters.lookup_candidates;
        let ready = self.endpoints.ready();
        if ready.len() <= size {
            return ready.to_vec();
        }
        let count = ready.len() as u64;
        (0..size)
            .map(|_| ready[self.random.range(0..count) as usize])
            .collect()
    }

    fn is_known_to_be_full(&self, index: EndpointIndex, client: u64) -> bool {
        let is_known = self.estimated_load(&self.endpoints[index]).is_some();
        !self.has_own_estimates() && is_known && !self.is_under_cap(index, client)
    }

    fn fallback_rank(&self, index: EndpointIndex, client: u64) -> FallbackRank {
        let endpoint = &self.endpoints[index];
        let spare_load = self.parameters.spare_capacity_load;
        // An endpoint that fails some requests but has reported spare capacity is better than a
        // full one. An unreachable endpoint has no report.
        let failing =
            endpoint.health.is_ejected(self.now) && !endpoint.load.was_reported_below(spare_load);
        // A new endpoint counts with the mean load of the others until it has a connection.
        let is_new = endpoint.in_flight == 0 && endpoint.availability.started_at.is_some();
        let relative_load = if is_new {
            self.endpoints.mean_in_flight(1.0)
        } else {
            endpoint.in_flight as f32 / endpoint.size
        };
        FallbackRank {
            failing,
            over_cap: !self.is_under_cap(index, client),
            relative_load: relative_load / self.cap_fraction(endpoint).max(MIN_CAP_FRACTION),
        }
    }
}

/// Rank of an endpoint for the fallback, compared field by field; the lowest is the best.
#[derive(PartialEq, PartialOrd)]
struct FallbackRank {
    failing: bool,
    over_cap: bool,
    relative_load: f32,
}
