//! Output of the command `cells`, line by line: the cells of a map, the reason why a group is in
//! its cell, and the changes that another map would make. As in the operator file, the output calls
//! a group a site and an endpoint a server.

use super::map::{CellMap, HomeReason, NoEndpointPolicy, SLOT_COUNT};
use crate::decisions::api::{EndpointState, ListedEndpoint};

/// A listed endpoint with the name under which operators know it.
pub(super) type NamedEndpoint = (String, ListedEndpoint);

impl CellMap {
    /// Describes all cells with their groups and endpoints, and the faults of this list.
    pub fn describe(&self, listed: &[NamedEndpoint]) -> Vec<String> {
        let mut lines: Vec<String> = (0..self.cells.len())
            .map(|cell| self.describe_cell(cell, listed))
            .collect();
        lines.extend(self.fault_lines(listed));
        lines
    }

    fn describe_cell(&self, cell: usize, listed: &[NamedEndpoint]) -> String {
        let endpoints: Vec<&str> = listed
            .iter()
            .filter(|(_, endpoint)| self.cell_of_endpoint(endpoint.id) == cell)
            .map(|(name, _)| name.as_str())
            .collect();
        let slots = self
            .slots
            .iter()
            .filter(|owner| usize::from(**owner) == cell)
            .count();
        let pinned = self
            .pinned_groups
            .values()
            .filter(|owner| **owner == cell)
            .count();
        let quarantine = if self.cells[cell].quarantine {
            ", quarantine"
        } else {
            ""
        };
        format!(
            "cell {}: {:.1}% of sites by hash, {pinned} pinned, {} servers{quarantine}: {}",
            self.name(cell),
            percent_of_slots(slots),
            endpoints.len(),
            endpoints.join(" ")
        )
    }

    /// Explains why a group is in its cell, and where its connections go while that cell has no
    /// usable endpoint.
    pub fn explain(&self, group: u64, listed: &[NamedEndpoint]) -> Vec<String> {
        let (cell, reason) = self.home(group);
        let name = self.name(cell);
        let mut lines = vec![match reason {
            HomeReason::Pinned => {
                format!("site {group:016x} is in cell {name}: the operator file pins it there")
            }
            HomeReason::Hash => format!(
                "site {group:016x} is in cell {name}: its slot {} of {SLOT_COUNT} is that cell's",
                CellMap::slot(group)
            ),
        }];
        if self.cells[cell].quarantine {
            lines.push(format!(
                "cell {name} is for quarantine: only sites that are pinned to it belong to it"
            ));
        }
        let endpoints: Vec<&str> = listed
            .iter()
            .filter(|(_, endpoint)| endpoint.state != EndpointState::Removed)
            .filter(|(_, endpoint)| self.cell_of_endpoint(endpoint.id) == cell)
            .map(|(name, _)| name.as_str())
            .collect();
        lines.push(format!(
            "cell {name} has {} servers: {}",
            endpoints.len(),
            endpoints.join(" ")
        ));
        lines.push(self.explain_fallback(group, cell));
        lines
    }

    fn explain_fallback(&self, group: u64, home: usize) -> String {
        match self.no_endpoint {
            NoEndpointPolicy::Borrow { max_borrowed } if !self.cells[home].quarantine => {
                let lender = self
                    .cells_in_order(CellMap::slot(group) as u64)
                    .find(|cell| *cell != home)
                    .map_or("none", |cell| self.name(cell));
                format!(
                    "without a usable server there it borrows, first at {lender}, \
                     which lends to {max_borrowed} sessions at most"
                )
            }
            NoEndpointPolicy::Borrow { .. } | NoEndpointPolicy::Reject => {
                "without a usable server there it is refused".into()
            }
        }
    }

    /// Describes the changes that another map would make: the percentage of groups by hash, each
    /// endpoint and pinned group, and the faults of this list under it.
    pub fn describe_changes(&self, new: &CellMap, listed: &[NamedEndpoint]) -> Vec<String> {
        let changed_slots = (0..SLOT_COUNT)
            .filter(|slot| self.name(self.slots[*slot].into()) != new.name(new.slots[*slot].into()))
            .count();
        let mut lines = vec![format!(
            "sites: {:.1}% of those placed by hash change their cell",
            percent_of_slots(changed_slots)
        )];
        for (name, endpoint) in listed {
            let from = self.name(self.cell_of_endpoint(endpoint.id));
            let to = new.name(new.cell_of_endpoint(endpoint.id));
            if from != to {
                lines.push(format!("server {name}: {from} to {to}"));
            }
        }
        let newly_pinned = new
            .pinned_groups
            .keys()
            .filter(|group| !self.pinned_groups.contains_key(group));
        for group in self.pinned_groups.keys().chain(newly_pinned) {
            let from = self.name(self.home(*group).0);
            let to = new.name(new.home(*group).0);
            if from != to {
                lines.push(format!("site {group:016x}: {from} to {to}"));
            }
        }
        lines.extend(new.fault_lines(listed));
        lines
    }

    fn fault_lines(&self, listed: &[NamedEndpoint]) -> Vec<String> {
        let endpoints: Vec<ListedEndpoint> = listed
            .iter()
            .map(|(_, endpoint)| endpoint.clone())
            .collect();
        self.faults(&endpoints)
            .iter()
            .map(|fault| format!("fault: {fault}"))
            .collect()
    }
}

/// The percentage of all slots that this number is.
fn percent_of_slots(slots: usize) -> f64 {
    100.0 * slots as f64 / SLOT_COUNT as f64
}
