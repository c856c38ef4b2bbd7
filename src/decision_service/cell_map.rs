//! Applies another cell map: adds balancers for its cells, reassigns endpoints and connections to
//! balancers, and reapplies manual ejections.
//!
//! An endpoint that changes its cell drains in the old one. A connection to it is reassigned to the
//! endpoint's new cell, and kept, if that is now the cell of its group too. All other displaced
//! connections are queued for migration.

use super::callbacks::Callback;
use super::cell_balancer::CellBalancer;
use super::in_flight::InFlight;
use super::state::ServiceState;
use crate::cells::Cells;
use crate::decisions::api::{
    EndpointId, EndpointListKind, EndpointState, Event, ListedEndpoint, Micros, Outcome, RequestId,
};
use std::collections::BTreeSet;

/// A connection that changes its balancer but not its endpoint.
struct Reassignment {
    id: RequestId,
    new_balancer: usize,
}

/// A manual ejection, and the balancer that it was given to.
struct AppliedEjection {
    balancer: usize,
    endpoint: EndpointId,
}

impl ServiceState {
    /// Applies a cell map and its limits.
    pub(super) fn adopt_cells(&mut self, cells: Cells, now: Micros, callbacks: &mut Vec<Callback>) {
        if cells.map == self.cells.map {
            self.cells = cells;
            return;
        }
        let known_balancers = self.balancers.len();
        let ejections = self.balancers_of_ejections();
        self.balancer_of_cell = (0..cells.map.cell_count())
            .map(|cell| self.find_or_add_balancer(cells.map.name(cell)))
            .collect();
        self.cells = cells;
        self.map_version += 1;
        let reassigned = self.release_reassigned_connections(now, callbacks);
        self.reassign_endpoints(known_balancers, now, callbacks);
        self.reapply_manual_ejections(ejections, now, callbacks);
        for id in reassigned {
            self.adopt_connection(id, now, callbacks);
        }
        self.queue_displaced_connections(now);
    }

    /// Index of the balancer of the cell with this name, which is added if there is none.
    fn find_or_add_balancer(&mut self, cell_name: &str) -> usize {
        let count = self.balancers.len();
        let existing = self
            .balancers
            .iter()
            .position(|cell| cell.metrics.name == cell_name);
        existing.unwrap_or_else(|| {
            let seed = self.seed ^ (count as u64).rotate_left(32);
            let settings = self.settings.clone();
            let mut cell = CellBalancer::new(cell_name, settings, self.parameters, seed);
            cell.balancer.set_other_processes(self.other_processes);
            self.balancers.push(cell);
            count
        })
    }

    /// Ends, in their old balancers, the connections that are reassigned with their endpoint.
    /// Without the reassignment, a process that takes connections over before it knows the fleet's
    /// map would migrate all of them once it gets that map.
    fn release_reassigned_connections(
        &mut self,
        now: Micros,
        callbacks: &mut Vec<Callback>,
    ) -> Vec<RequestId> {
        let reassignments: Vec<Reassignment> = self
            .in_flight
            .iter()
            .filter_map(|(id, entry)| {
                let new_balancer = self.reassignment_target(entry)?;
                Some(Reassignment { id, new_balancer })
            })
            .collect();
        for reassignment in &reassignments {
            self.release_connection(reassignment, now, callbacks);
        }
        reassignments
            .into_iter()
            .map(|reassignment| reassignment.id)
            .collect()
    }

    /// Index of the balancer to which a connection is reassigned: that of its endpoint's new cell,
    /// if this is its group's cell too.
    fn reassignment_target(&self, entry: &InFlight) -> Option<usize> {
        let target = self.mapped_balancer(entry.endpoint);
        let listed = self.endpoints.contains_key(&entry.endpoint);
        let changes = target != entry.balancer;
        let at_home = target == self.home_balancer(entry.request.group);
        (entry.answered && listed && changes && at_home).then_some(target)
    }

    fn release_connection(
        &mut self,
        reassignment: &Reassignment,
        now: Micros,
        callbacks: &mut Vec<Callback>,
    ) {
        let Some(entry) = self.in_flight.get_mut(reassignment.id) else {
            return;
        };
        let endpoint = entry.endpoint;
        let old_balancer = std::mem::replace(&mut entry.balancer, reassignment.new_balancer);
        let was_borrowed = std::mem::take(&mut entry.borrowed);
        let old_metrics = &mut self.balancers[old_balancer].metrics;
        old_metrics.in_flight -= 1;
        old_metrics.borrowed -= u32::from(was_borrowed);
        self.balancers[reassignment.new_balancer].metrics.in_flight += 1;
        let event = Event::AttemptEnded {
            id: reassignment.id,
            endpoint,
            outcome: Outcome::Cancelled,
            request_finished: true,
            report: Vec::new(),
        };
        self.dispatch(old_balancer, now, event, callbacks);
    }

    /// Assigns each listed endpoint to the balancer of its cell in the map. A new balancer gets its
    /// full list, the others get the changes.
    fn reassign_endpoints(
        &mut self,
        known_balancers: usize,
        now: Micros,
        callbacks: &mut Vec<Callback>,
    ) {
        let mut updates = self.empty_updates();
        let endpoints: Vec<EndpointId> = self.endpoints.keys().copied().collect();
        for endpoint in endpoints {
            let new_balancer = self.mapped_balancer(endpoint);
            let Some(known) = self.endpoints.get_mut(&endpoint) else {
                continue;
            };
            if new_balancer == known.balancer {
                continue;
            }
            let old_balancer = std::mem::replace(&mut known.balancer, new_balancer);
            // A cell without connections has nothing to drain.
            let state = if self.balancers[old_balancer].metrics.in_flight > 0 {
                EndpointState::Draining
            } else {
                EndpointState::Removed
            };
            updates[old_balancer].push(ListedEndpoint {
                state,
                ..known.listed.clone()
            });
            updates[new_balancer].push(known.listed.clone());
        }
        self.recount_endpoints();
        for (balancer, endpoints) in updates.into_iter().enumerate() {
            let kind = if balancer < known_balancers {
                EndpointListKind::Delta
            } else if self.has_complete_list {
                EndpointListKind::Full
            } else {
                EndpointListKind::Cached
            };
            let event = Event::EndpointList { kind, endpoints };
            self.dispatch(balancer, now, event, callbacks);
        }
    }

    /// The manual ejections in force, also of endpoints that are not listed, with their balancers.
    fn balancers_of_ejections(&self) -> Vec<AppliedEjection> {
        let ejected = self.manually_ejected.iter();
        let applied = ejected.map(|&endpoint| AppliedEjection {
            balancer: self.balancer_of_endpoint(endpoint),
            endpoint,
        });
        applied.collect()
    }

    /// Moves manual ejections to the new cells of their endpoints. The old cell is not notified
    /// when the operator ends an ejection, so it would keep the endpoint ejected if the endpoint is
    /// assigned to it again.
    fn reapply_manual_ejections(
        &mut self,
        ejections: Vec<AppliedEjection>,
        now: Micros,
        callbacks: &mut Vec<Callback>,
    ) {
        for AppliedEjection { balancer, endpoint } in ejections {
            if balancer != self.balancer_of_endpoint(endpoint) {
                let event = Event::ManualEjection {
                    endpoint,
                    ejected: false,
                };
                self.dispatch(balancer, now, event, callbacks);
            }
        }
        for endpoint in self.manually_ejected.clone() {
            let balancer = self.balancer_of_endpoint(endpoint);
            let event = Event::ManualEjection {
                endpoint,
                ejected: true,
            };
            self.dispatch(balancer, now, event, callbacks);
        }
    }

    /// Reassigns a connection that has come up after a change of the map, or queues it for
    /// migration, as the change did with those that were up then.
    pub(super) fn settle_connection(
        &mut self,
        id: RequestId,
        now: Micros,
        callbacks: &mut Vec<Callback>,
    ) {
        let Some(entry) = self.in_flight.get(id) else {
            return;
        };
        if let Some(new_balancer) = self.reassignment_target(entry) {
            self.release_connection(&Reassignment { id, new_balancer }, now, callbacks);
            self.adopt_connection(id, now, callbacks);
        } else if self.home_balancer(entry.request.group) != entry.balancer {
            self.migrations.push(id);
            self.schedule_migration(now);
        }
    }

    /// Settles the connections at endpoints that a list names for the first time. They were taken
    /// over from another process, and the map may have changed meanwhile: then the balancer that
    /// has such a connection is not the one that gets the endpoint.
    pub(super) fn settle_connections_at(
        &mut self,
        newly_listed: &BTreeSet<EndpointId>,
        now: Micros,
        callbacks: &mut Vec<Callback>,
    ) {
        if self.map_version == 0 || newly_listed.is_empty() {
            return;
        }
        let is_apart = |entry: &InFlight| {
            entry.answered
                && newly_listed.contains(&entry.endpoint)
                && entry.balancer != self.balancer_of_endpoint(entry.endpoint)
        };
        let apart: Vec<RequestId> = self
            .in_flight
            .iter()
            .filter(|(_, entry)| is_apart(entry))
            .map(|(id, _)| id)
            .collect();
        for id in apart {
            let Some(entry) = self.in_flight.get(id) else {
                continue;
            };
            if let Some(new_balancer) = self.reassignment_target(entry) {
                self.release_connection(&Reassignment { id, new_balancer }, now, callbacks);
                self.adopt_connection(id, now, callbacks);
            } else {
                self.drain_in_balancer(entry.balancer, entry.endpoint, now, callbacks);
            }
        }
    }

    /// Tells a balancer that an endpoint of another cell drains, so that it migrates the
    /// connections that it has there.
    fn drain_in_balancer(
        &mut self,
        balancer: usize,
        endpoint: EndpointId,
        now: Micros,
        callbacks: &mut Vec<Callback>,
    ) {
        let Some(known) = self.endpoints.get(&endpoint) else {
            return;
        };
        let draining = ListedEndpoint {
            state: EndpointState::Draining,
            ..known.listed.clone()
        };
        let event = Event::EndpointList {
            kind: EndpointListKind::Delta,
            endpoints: vec![draining],
        };
        self.dispatch(balancer, now, event, callbacks);
    }

    /// Notifies the new balancer of a connection that has been reassigned.
    fn adopt_connection(&mut self, id: RequestId, now: Micros, callbacks: &mut Vec<Callback>) {
        let Some(entry) = self.in_flight.get(id) else {
            return;
        };
        let balancer = entry.balancer;
        let event = Event::Adopted {
            request: entry.request.clone(),
            endpoint: entry.endpoint,
        };
        self.dispatch(balancer, now, event, callbacks);
    }

    /// Queues the connections that are not in their group's present cell, also borrowed ones.
    fn queue_displaced_connections(&mut self, now: Micros) {
        let displaced: Vec<RequestId> = self
            .in_flight
            .iter()
            .filter(|(_, entry)| entry.answered)
            .filter(|(_, entry)| self.home_balancer(entry.request.group) != entry.balancer)
            .map(|(id, _)| id)
            .collect();
        self.migrations.replace(displaced);
        self.schedule_migration(now);
    }
}
