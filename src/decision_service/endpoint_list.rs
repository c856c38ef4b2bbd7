//! Routes updates of the endpoint list: each balancer gets the endpoints of its own cell.

use super::callbacks::Callback;
use super::state::{KnownEndpoint, ServiceState};
use crate::decisions::api::{
    EndpointId, EndpointListKind, EndpointState, Event, ListedEndpoint, Micros, Settings,
};
use std::collections::BTreeSet;

impl ServiceState {
    /// Applies an update of the endpoint list. Every balancer gets its part, even if that is empty,
    /// because the update shows how fresh its list is.
    pub(super) fn update_endpoints(
        &mut self,
        kind: EndpointListKind,
        listed: Vec<ListedEndpoint>,
        now: Micros,
        callbacks: &mut Vec<Callback>,
    ) {
        let newly_listed = self.newly_listed(&listed);
        if matches!(kind, EndpointListKind::Full | EndpointListKind::Cached) {
            self.endpoints.clear();
        }
        self.has_complete_list |= kind == EndpointListKind::Full;
        let mut updates = self.empty_updates();
        for endpoint in listed {
            let balancer = self.balancer_of_endpoint(endpoint.id);
            self.record_listed(&endpoint, balancer);
            updates[balancer].push(endpoint);
        }
        self.recount_endpoints();
        for (balancer, endpoints) in updates.into_iter().enumerate() {
            let event = Event::EndpointList { kind, endpoints };
            self.dispatch(balancer, now, event, callbacks);
        }
        self.settle_connections_at(&newly_listed, now, callbacks);
    }

    /// The endpoints of an update that were not listed before.
    fn newly_listed(&self, listed: &[ListedEndpoint]) -> BTreeSet<EndpointId> {
        let new = listed.iter().filter(|endpoint| {
            endpoint.state != EndpointState::Removed && !self.endpoints.contains_key(&endpoint.id)
        });
        new.map(|endpoint| endpoint.id).collect()
    }

    /// An empty list of changes for each balancer.
    pub(super) fn empty_updates(&self) -> Vec<Vec<ListedEndpoint>> {
        vec![Vec::new(); self.balancers.len()]
    }

    fn record_listed(&mut self, endpoint: &ListedEndpoint, balancer: usize) {
        if endpoint.state == EndpointState::Removed {
            self.endpoints.remove(&endpoint.id);
            return;
        }
        let known = KnownEndpoint {
            listed: endpoint.clone(),
            balancer,
        };
        self.endpoints.insert(endpoint.id, known);
    }

    /// Applies other settings in all cells.
    pub(super) fn update_settings(
        &mut self,
        settings: Settings,
        now: Micros,
        callbacks: &mut Vec<Callback>,
    ) {
        self.settings = settings.clone();
        for balancer in 0..self.balancers.len() {
            self.dispatch(balancer, now, Event::Settings(settings.clone()), callbacks);
        }
    }

    /// Records that an operator has ejected an endpoint, or has readmitted it.
    pub(super) fn record_manual_ejection(&mut self, endpoint: EndpointId, ejected: bool) {
        if ejected {
            self.manually_ejected.insert(endpoint);
        } else {
            self.manually_ejected.remove(&endpoint);
        }
        self.recount_endpoints();
    }
}
