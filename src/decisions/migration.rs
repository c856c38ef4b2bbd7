//! Migration: which established connections are moved to another endpoint, and when. A migrated
//! client is asked to connect again.
//!
//! Inputs: endpoints that drain or are removed, reported overload, late messages. Output: the
//! connections to migrate, spread over time so that the clients of an endpoint do not all connect
//! again at once. In large fleets, returning clients stay at an overloaded endpoint, because they
//! would otherwise be migrated from one overloaded endpoint to the next.

use super::api::{Action, EndpointId, Micros, Request, RequestId};
use super::endpoints::EndpointIndex;
use super::requests::{PendingRequest, Phase};
use super::ring::{client_key, fraction};
use super::timers::Timer;
use super::Balancer;

impl Balancer {
    /// Migrates all connections of an endpoint that leaves.
    pub(super) fn migrate_all(&mut self, id: EndpointId, actions: &mut Vec<Action>) {
        for (request, at) in self.draw_migration_times(id) {
            self.set_timer(at, Timer::Migration(request), actions);
        }
    }

    /// Migrates some connections of an endpoint that reports overload, down to the target load,
    /// while the mean load shows that others can take them.
    pub(super) fn migrate_from_overloaded(
        &mut self,
        index: EndpointIndex,
        load: f32,
        actions: &mut Vec<Action>,
    ) {
        let others_can_take = self.fleet_load.mean_load < self.parameters.migration_max_mean_load;
        let is_overloaded = load > self.parameters.migration_start_load;
        if !is_overloaded || !others_can_take {
            return;
        }
        let excess = (load - self.parameters.migration_target_load) / load;
        let id = self.endpoints[index].id;
        for (request, at) in self.draw_migration_times(id) {
            let pending = &self.requests[&request];
            let is_drawn = fraction(client_key(&pending.request), at) < excess;
            if excess >= 1.0 || (self.may_migrate_for_load(&pending.request) && is_drawn) {
                self.set_timer(at, Timer::Migration(request), actions);
            }
        }
    }

    /// Established connections of an endpoint, each with a random time within the spread.
    fn draw_migration_times(&mut self, id: EndpointId) -> Vec<(RequestId, Micros)> {
        let spread = self.parameters.migration_spread_us;
        let connections = self.requests.values();
        let established = connections.filter(|p| p.endpoint == id && p.phase == Phase::Established);
        established
            .map(|pending| {
                let at = self.now + self.random.range(0..spread);
                (pending.request.id, at)
            })
            .collect()
    }

    /// Migrates a connection that is new here, like the others at its endpoint, if that leaves.
    pub(super) fn migrate_if_leaving(
        &mut self,
        index: EndpointIndex,
        request: RequestId,
        actions: &mut Vec<Action>,
    ) {
        if self.endpoints.is_leaving(index) && !self.settings.forwards_packets {
            let spread = self.parameters.migration_spread_us;
            let at = self.now + self.random.range(0..spread);
            self.set_timer(at, Timer::Migration(request), actions);
        }
    }

    /// Requests the migration of an established connection, once.
    pub(super) fn migrate(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        if pending.phase == Phase::Established && !pending.migrating {
            pending.migrating = true;
            actions.push(Action::Migrate(id));
        }
    }

    /// The connection to migrate from an overloaded endpoint: one whose client is shed now or whose
    /// group has its homes elsewhere, else the one whose message was late.
    pub(super) fn connection_to_migrate(
        &self,
        index: EndpointIndex,
        late: RequestId,
    ) -> Option<RequestId> {
        let endpoint = self.endpoints[index].id;
        let is_there = |pending: &PendingRequest| {
            pending.endpoint == endpoint
                && pending.phase == Phase::Established
                && !pending.migrating
        };
        let displaced = self.requests.values().find(|pending| {
            is_there(pending)
                && self.may_migrate_for_load(&pending.request)
                && (self.load_shedding.is_shed(&pending.request)
                    || self.is_displaced(&pending.request, index))
        });
        let late = self.requests.get(&late);
        displaced
            .or_else(|| late.filter(|pending| self.may_migrate_for_load(&pending.request)))
            .map(|pending| pending.request.id)
    }

    /// Whether the homes of a connection's group are all elsewhere.
    fn is_displaced(&self, request: &Request, index: EndpointIndex) -> bool {
        let homes = self.group_plan.homes(request.group);
        homes.is_some_and(|homes| homes.iter().all(|home| home.endpoint != index))
    }

    /// Whether a connection may be migrated because its endpoint is overloaded. That of a returning
    /// client stays if the balancer has no estimates of its own: migrated again and again, it would
    /// overload one endpoint after the other.
    fn may_migrate_for_load(&self, request: &Request) -> bool {
        self.has_own_estimates() || !request.returning
    }
}
