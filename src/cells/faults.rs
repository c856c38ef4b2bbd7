//! Checks the cells of an endpoint list for faults: too few or too many endpoints, or a single
//! zone.

use super::map::{Cell, CellMap};
use crate::decisions::api::{EndpointState, ListedEndpoint};
use std::fmt;

/// A fault of a cell of an endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellFault {
    /// It has fewer endpoints than the operator file requires.
    TooFewEndpoints {
        /// The cell's name.
        cell: String,
        /// Endpoints that it has.
        count: usize,
    },
    /// It has more endpoints than the operator file allows.
    TooManyEndpoints {
        /// The cell's name.
        cell: String,
        /// Endpoints that it has.
        count: usize,
    },
    /// All of its endpoints are in one zone, though the list has several.
    SingleZone {
        /// The cell's name.
        cell: String,
        /// The zone.
        zone: u16,
    },
}

impl fmt::Display for CellFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CellFault::TooFewEndpoints { cell, count } => {
                write!(
                    f,
                    "cell {cell} has {count} servers, fewer than least_servers"
                )
            }
            CellFault::TooManyEndpoints { cell, count } => {
                write!(f, "cell {cell} has {count} servers, more than most_servers")
            }
            CellFault::SingleZone { cell, zone } => {
                write!(f, "cell {cell} has all its servers in zone {zone}")
            }
        }
    }
}

impl CellMap {
    /// The faults of all cells of this endpoint list, in the order of the cells.
    pub fn faults(&self, listed: &[ListedEndpoint]) -> Vec<CellFault> {
        let several_zones = listed.iter().any(|e| e.zone != listed[0].zone);
        let mut faults = Vec::new();
        for (index, cell) in self.cells.iter().enumerate() {
            let endpoints: Vec<&ListedEndpoint> = listed
                .iter()
                .filter(|e| e.state != EndpointState::Removed)
                .filter(|e| self.cell_of_endpoint(e.id) == index)
                .collect();
            faults.extend(self.size_fault(cell, endpoints.len()));
            if several_zones {
                faults.extend(zone_fault(cell, &endpoints));
            }
        }
        faults
    }

    fn size_fault(&self, cell: &Cell, count: usize) -> Option<CellFault> {
        let cell = cell.name.clone();
        if count < self.min_endpoints {
            Some(CellFault::TooFewEndpoints { cell, count })
        } else if count > self.max_endpoints {
            Some(CellFault::TooManyEndpoints { cell, count })
        } else {
            None
        }
    }
}

/// The fault of a cell with all of its endpoints in one zone. A single endpoint is no fault.
fn zone_fault(cell: &Cell, endpoints: &[&ListedEndpoint]) -> Option<CellFault> {
    let zone = endpoints.first()?.zone;
    let single = endpoints.len() > 1 && endpoints.iter().all(|e| e.zone == zone);
    single.then(|| CellFault::SingleZone {
        cell: cell.name.clone(),
        zone,
    })
}
