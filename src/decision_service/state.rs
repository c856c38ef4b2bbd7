//! The state that the lock protects: the cell balancers, the endpoint list, the requests and
//! connections in flight, timers and migrations.
//!
//! A cell has two indices: its *cell index* in the present map, and its *balancer index* in
//! [`ServiceState::balancers`]. The two can differ after a change of the map: a balancer whose cell
//! is no longer in the map keeps its index, because connections of that cell may still exist.

use super::api::{CellMetrics, Hooks};
use super::cell_balancer::CellBalancer;
use super::in_flight::{InFlight, InFlightTable};
use super::migration_queue::MigrationQueue;
use super::timers::TimerQueue;
use crate::cells::{Cells, Placement};
use crate::decisions::api::{
    Action, EndpointId, EndpointState, ListedEndpoint, Micros, RequestId, Settings,
};
use crate::decisions::Parameters;
use std::collections::{BTreeMap, BTreeSet};

/// An endpoint of the list, and the cell balancer that it is assigned to.
pub(super) struct KnownEndpoint {
    /// As last listed.
    pub listed: ListedEndpoint,
    /// Index of that cell balancer.
    pub balancer: usize,
}

/// The state of the service, protected by its lock.
pub(super) struct ServiceState {
    /// The balancers of all cells, also of those that are no longer in the map. None is removed.
    pub balancers: Vec<CellBalancer>,
    /// Balancer index by cell index.
    pub balancer_of_cell: Vec<usize>,
    /// The present cell map and its limits.
    pub cells: Cells,
    /// The balancers' seeds are derived from it.
    pub seed: u64,
    /// Settings of all balancers.
    pub settings: Settings,
    /// Parameters of all balancers.
    pub parameters: Parameters,
    /// Processes of this relay that serve beside this one.
    pub other_processes: u32,
    /// Number of changes of the cell map so far.
    pub map_version: u64,
    /// The endpoint list.
    pub endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    /// Whether a complete list has arrived since the start; the cached one may be stale.
    pub has_complete_list: bool,
    /// Endpoints that an operator has ejected, listed or not.
    pub manually_ejected: BTreeSet<EndpointId>,
    /// Connections that are not in the cell of their group.
    pub migrations: MigrationQueue,
    /// Time of the last event. No later event gets an earlier time.
    pub last_event_at: Micros,
    /// Requests and connections in flight.
    pub in_flight: InFlightTable,
    /// Timers that are set.
    pub timers: TimerQueue,
    /// Empty; its capacity is used again for the actions of each event.
    pub action_buffer: Vec<Action>,
    /// Receivers of actions that concern no single request.
    pub hooks: Hooks,
}

impl ServiceState {
    /// Creates the state of one cell without endpoints.
    pub(super) fn new(settings: Settings, seed: u64, hooks: Hooks) -> Self {
        let cells = Cells::default();
        let parameters = Parameters::default();
        let balancer = CellBalancer::new(cells.map.name(0), settings.clone(), parameters, seed);
        ServiceState {
            balancers: vec![balancer],
            balancer_of_cell: vec![0],
            cells,
            seed,
            settings,
            parameters,
            other_processes: 0,
            map_version: 0,
            endpoints: BTreeMap::new(),
            has_complete_list: false,
            manually_ejected: BTreeSet::new(),
            migrations: MigrationQueue::default(),
            last_event_at: 0,
            in_flight: InFlightTable::default(),
            timers: TimerQueue::default(),
            action_buffer: Vec::new(),
            hooks,
        }
    }

    /// Tells all balancers how many processes of this relay serve beside this one.
    pub(super) fn set_other_processes(&mut self, count: u32) {
        self.other_processes = count;
        for cell in &mut self.balancers {
            cell.balancer.set_other_processes(count);
        }
    }

    /// Adds a request or connection and counts it.
    pub(super) fn register(&mut self, mut entry: InFlight) -> RequestId {
        entry.map_version = self.map_version;
        let metrics = &mut self.balancers[entry.balancer].metrics;
        metrics.in_flight += 1;
        metrics.borrowed += u32::from(entry.borrowed);
        self.in_flight.insert(entry)
    }

    /// Removes a request or connection from the table and the metrics.
    pub(super) fn deregister(&mut self, id: RequestId) -> Option<InFlight> {
        let entry = self.in_flight.remove(id)?;
        let metrics = &mut self.balancers[entry.balancer].metrics;
        metrics.in_flight -= 1;
        metrics.borrowed -= u32::from(entry.borrowed);
        Some(entry)
    }

    /// Places a new request of a group in a cell of the present map.
    pub(super) fn place(&self, group: u64) -> Placement {
        // A single cell takes every request: its balancer answers if no endpoint is usable.
        if self.cells.map.is_single() {
            return Placement::Home(0);
        }
        let (home, _) = self.cells.map.home(group);
        // In the common case, one cell is looked up, however many there are.
        if self.cell_metrics(home).usable {
            return Placement::Home(home);
        }
        let cell_count = self.balancer_of_cell.len();
        let usable: Vec<bool> = (0..cell_count)
            .map(|cell| self.cell_metrics(cell).usable)
            .collect();
        let borrowed: Vec<u32> = (0..cell_count)
            .map(|cell| self.cell_metrics(cell).borrowed)
            .collect();
        self.cells.map.place(group, &usable, &borrowed)
    }

    /// The metrics of a cell of the present map.
    pub(super) fn cell_metrics(&self, cell: usize) -> &CellMetrics {
        &self.balancers[self.balancer_of_cell[cell]].metrics
    }

    /// Index of the balancer of a group's own cell.
    pub(super) fn home_balancer(&self, group: u64) -> usize {
        let (cell, _) = self.cells.map.home(group);
        self.balancer_of_cell[cell]
    }

    /// Index of the balancer of the cell to which the present map assigns an endpoint.
    pub(super) fn mapped_balancer(&self, endpoint: EndpointId) -> usize {
        self.balancer_of_cell[self.cells.map.cell_of_endpoint(endpoint)]
    }

    /// Index of the balancer that an endpoint is assigned to; by the map if it is not listed.
    pub(super) fn balancer_of_endpoint(&self, endpoint: EndpointId) -> usize {
        match self.endpoints.get(&endpoint) {
            Some(known) => known.balancer,
            None => self.mapped_balancer(endpoint),
        }
    }

    /// Recounts the endpoints of each cell in the metrics.
    pub(super) fn recount_endpoints(&mut self) {
        for cell in &mut self.balancers {
            cell.metrics.endpoints = 0;
            cell.metrics.usable = false;
        }
        for (endpoint, known) in &self.endpoints {
            let ready = known.listed.state == EndpointState::Ready;
            let metrics = &mut self.balancers[known.balancer].metrics;
            metrics.endpoints += 1;
            metrics.usable |= ready && !self.manually_ejected.contains(endpoint);
        }
    }
}
