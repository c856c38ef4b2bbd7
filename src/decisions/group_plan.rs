//! The group plan: home endpoints of the groups, by RJ-CH for the traffic of all balancers, which
//! each balancer estimates from its own arrivals.
//!
//! Inputs: the arrivals of each group here, the endpoints' sizes and warm-up. Output: for each
//! group its home endpoints in the order of its jumps, each with its fraction of all connections.
//! Groups are placed along the jumps of their keys on endpoints under the cap. A group that is too
//! large for one endpoint gets several homes; since it costs each endpoint that serves any of it,
//! it gets no more than it needs. Small changes of the estimates change few homes.

use super::endpoints::{EndpointIndex, EndpointTable};
use super::parameters::Parameters;
use super::Balancer;
use std::collections::BTreeMap;

/// An endpoint that serves connections of a group.
#[derive(Clone, Copy)]
pub(super) struct Home {
    pub endpoint: EndpointIndex,
    /// Fraction of all connections that are of this group and planned here; greater than 0.
    pub fraction: f32,
}

/// Home endpoints by group.
type Homes = BTreeMap<u64, Vec<Home>>;

/// Arrivals by group, and the plan made from them.
#[derive(Default)]
pub(super) struct GroupPlan {
    arrivals: BTreeMap<u64, u32>,
    total_arrivals: u32,
    /// Total arrivals when the plan was made.
    planned_at: u32,
    homes: Homes,
}

impl GroupPlan {
    /// Home endpoints of a group, in the order of its jumps.
    pub(super) fn homes(&self, group: u64) -> Option<&[Home]> {
        self.homes.get(&group).map(Vec::as_slice)
    }

    /// Counts an arrival. Returns whether the plan has to be made again.
    fn record_arrival(&mut self, group: u64, parameters: &Parameters) -> bool {
        let count = self.arrivals.entry(group).or_insert(0);
        *count += 1;
        let is_first = *count == 1;
        self.total_arrivals += 1;
        if self.total_arrivals >= parameters.max_remembered_arrivals {
            self.halve_arrivals();
        }
        let growth_limit = self.planned_at as f32 * parameters.group_plan_growth_factor;
        is_first || self.total_arrivals as f32 > growth_limit
    }

    fn halve_arrivals(&mut self) {
        for count in self.arrivals.values_mut() {
            *count /= 2;
        }
        self.arrivals.retain(|_, count| *count > 0);
        self.total_arrivals = self.arrivals.values().sum();
        self.planned_at = self.total_arrivals;
    }

    /// All groups, each with its fraction of all arrivals.
    fn groups_to_place(&self, parameters: &Parameters) -> Vec<UnplacedGroup> {
        let total = self.total_arrivals as f32 + parameters.prior_arrivals;
        let unplaced = |(&key, &count): (&u64, &u32)| UnplacedGroup {
            key,
            fraction: count as f32 / total,
            next_jump: 0,
        };
        self.arrivals.iter().map(unplaced).collect()
    }
}

/// The rest of a group that has no home yet while the plan is made.
struct UnplacedGroup {
    key: u64,
    /// Fraction of all connections that has no home yet.
    fraction: f32,
    next_jump: u32,
}

/// Result of a search for the next home of a group.
enum Candidate {
    /// The ring has no endpoint at all.
    NoEndpoints,
    /// All jumps lead to endpoints that are homes of the group already.
    AllTaken,
    /// An endpoint, and its spare fraction of all connections after the cost of the group.
    Found { endpoint: EndpointIndex, spare: f32 },
}

/// Capacities while the plan is made, as fractions of all connections. The vectors are indexed as
/// the endpoint table.
struct Capacities<'a> {
    endpoints: &'a EndpointTable,
    max_jumps: u32,
    /// Size times warm-up of each endpoint.
    current: Vec<f32>,
    /// Spare capacity of each endpoint.
    spare: Vec<f32>,
    /// Cap of an endpoint of size 1.
    cap: f32,
    /// Cost of a group to each endpoint that serves any of it.
    group_cost: f32,
}

impl Capacities<'_> {
    /// The next endpoint along a group's jumps that has room for the rest of the group, or for half
    /// of the endpoint's cap; if none has, the one with the most room.
    fn next_home(&self, group: &mut UnplacedGroup, homes: &[Home]) -> Candidate {
        let mut best = Candidate::AllTaken;
        for _ in 0..self.max_jumps {
            let Some(owner) = self.endpoints.owner(group.key, group.next_jump) else {
                return Candidate::NoEndpoints;
            };
            group.next_jump += 1;
            if homes.iter().any(|home| home.endpoint == owner) {
                continue;
            }
            let spare = self.spare[owner] - self.group_cost;
            let is_better = match best {
                Candidate::Found { spare: most, .. } => spare > most,
                _ => true,
            };
            if is_better {
                best = Candidate::Found {
                    endpoint: owner,
                    spare,
                };
            }
            let half_of_cap = self.cap * self.current[owner] / 2.0;
            if spare >= group.fraction.min(half_of_cap) {
                break;
            }
        }
        best
    }

    /// Makes an endpoint a home of as much of a group as it has room for, or of all the rest of the
    /// group if it has no room.
    fn place(&mut self, group: &mut UnplacedGroup, endpoint: EndpointIndex, spare: f32) -> Home {
        let placed = if spare > 0.0 {
            group.fraction.min(spare)
        } else {
            group.fraction
        };
        self.spare[endpoint] -= placed + self.group_cost;
        group.fraction -= placed;
        Home {
            endpoint,
            fraction: placed.max(f32::MIN_POSITIVE),
        }
    }
}

impl Balancer {
    /// Whether the balancer has seen enough arrivals to estimate the groups' fractions and the
    /// loads by itself. In a large fleet, where each balancer has little traffic, it has not:
    /// requests are then placed by their jumps and by reported loads alone, which are the same at
    /// all balancers.
    pub(super) fn has_own_estimates(&self) -> bool {
        self.group_plan.total_arrivals >= self.parameters.group_plan_min_arrivals
    }

    /// Counts the arrival of a request or connection of a group.
    pub(super) fn record_arrival(&mut self, group: u64) {
        if group != 0 && self.group_plan.record_arrival(group, &self.parameters) {
            self.make_group_plan();
        }
    }

    /// Makes the plan from the present arrivals and endpoints.
    pub(super) fn make_group_plan(&mut self) {
        self.group_plan.planned_at = self.group_plan.total_arrivals;
        self.group_plan.homes = self.plan_homes();
    }

    /// Assigns the first homes of all groups before any second ones, because first homes hardly
    /// depend on estimates.
    fn plan_homes(&self) -> Homes {
        let mut homes = Homes::new();
        let mut capacities = self.capacities();
        let mut unplaced = self.group_plan.groups_to_place(&self.parameters);
        while !unplaced.is_empty() {
            for group in &mut unplaced {
                let group_homes = homes.entry(group.key).or_default();
                match capacities.next_home(group, group_homes) {
                    Candidate::NoEndpoints => return homes,
                    Candidate::AllTaken => group.fraction = 0.0,
                    Candidate::Found { endpoint, spare } => {
                        group_homes.push(capacities.place(group, endpoint, spare));
                    }
                }
            }
            unplaced.retain(|group| group.fraction > 0.0);
        }
        homes
    }

    fn capacities(&self) -> Capacities<'_> {
        let all_in_flight = self.endpoints.in_flight() as f32 * self.settings.balancer_count as f32;
        let group_cost = self.parameters.group_cost_connections / all_in_flight.max(1.0);
        let ready = self.endpoints.ready();
        let expected_homes = ready.len().max(self.group_plan.arrivals.len()) as f32;
        // A warming endpoint counts with its present capacity: with its full size it would become
        // the home of more groups than it can serve.
        let current: Vec<f32> = self
            .endpoints
            .iter()
            .map(|endpoint| endpoint.size * self.warm_fraction(endpoint))
            .collect();
        let total: f32 = ready.iter().map(|&index| current[index]).sum();
        let headroom = 1.0 + self.parameters.group_plan_epsilon;
        let cap = headroom * (1.0 + group_cost * expected_homes) / total.max(f32::MIN_POSITIVE);
        Capacities {
            endpoints: &self.endpoints,
            max_jumps: self.parameters.max_jumps,
            spare: current.iter().map(|capacity| cap * capacity).collect(),
            current,
            cap,
            group_cost,
        }
    }
}
