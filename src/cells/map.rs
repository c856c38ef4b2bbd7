//! The cell map: the cell of each group and of each endpoint, and the cell of a new connection.
//!
//! Built once for each operator file and used for each placement. Groups and endpoints are assigned
//! by weighted rendezvous hashing: a cell that is added gets its fraction of groups and endpoints
//! from all other cells, and no group or endpoint changes between these.

use crate::decisions::api::EndpointId;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Slots of the table of groups. With 64 cells, a cell's fraction of the groups deviates by about
/// an eighth.
pub(super) const SLOT_COUNT: usize = 4096;
/// The most cells of a map. Each cell has a balancer of its own, and the table of groups holds one
/// byte per slot.
pub const MAX_CELLS: usize = 64;

/// The treatment of a new connection whose cell has no usable endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEndpointPolicy {
    /// It is rejected.
    Reject,
    /// It goes to the next usable cell in its group's order.
    Borrow {
        /// The most borrowed connections of a cell; a cell that has this many is skipped.
        max_borrowed: u32,
    },
}

/// One cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Cell {
    pub name: String,
    /// Its weight in the hash, relative to the other cells.
    pub weight: u32,
    /// Whether only groups that are pinned to it belong to it.
    pub quarantine: bool,
}

/// The reason why a group belongs to its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeReason {
    /// By its hash.
    Hash,
    /// The operator file pins it.
    Pinned,
}

/// The cell of a new connection, by its index in the map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The cell of its group.
    Home(usize),
    /// Another cell, because that of its group has no usable endpoint.
    Borrowed(usize),
    /// No cell.
    Rejected,
}

impl Placement {
    /// The cell that the connection goes to.
    pub fn cell(self) -> Option<usize> {
        match self {
            Placement::Home(cell) | Placement::Borrowed(cell) => Some(cell),
            Placement::Rejected => None,
        }
    }
}

/// The cells of all groups and endpoints. Cells have indices from 0, in the order of the operator
/// file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellMap {
    pub(super) cells: Vec<Cell>,
    /// The cell of each slot of groups.
    pub(super) slots: Vec<u8>,
    /// Cells of the groups that the operator file pins.
    pub(super) pinned_groups: BTreeMap<u64, usize>,
    /// Cells of the endpoints that the operator file names.
    pub(super) named_endpoints: BTreeMap<EndpointId, usize>,
    pub(super) no_endpoint: NoEndpointPolicy,
    /// A cell with fewer endpoints is a fault.
    pub(super) min_endpoints: usize,
    /// A cell with more endpoints is a fault.
    pub(super) max_endpoints: usize,
}

/// Parses the key of a group: the hexadecimal key that line clients send, or the name of an XMPP
/// group, such as `site7@hazri1.example.org`, which is hashed. 0 means no group.
pub fn group_key(text: &str) -> u64 {
    let hexadecimal = (1..=16).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_hexdigit());
    match u64::from_str_radix(text, 16) {
        Ok(key) if hexadecimal => key,
        _ if text.is_empty() => 0,
        _ => xxh3_64_with_seed(text.as_bytes(), 0).max(1),
    }
}

/// A cell's score in the rendezvous hash of a key: the highest of one draw for each unit of its
/// weight.
fn rendezvous_score(cell: &Cell, key: u64) -> u64 {
    (0..cell.weight)
        .map(|draw| xxh3_64_with_seed(cell.name.as_bytes(), key ^ (u64::from(draw) << 56)))
        .max()
        .unwrap_or(0)
}

impl Default for CellMap {
    /// A map of a single cell.
    fn default() -> Self {
        let cell = Cell {
            name: "all".into(),
            weight: 1,
            quarantine: false,
        };
        CellMap::new(vec![cell], NoEndpointPolicy::Reject, 0, usize::MAX)
    }
}

impl CellMap {
    /// Creates a map that pins no group and names no endpoint.
    pub(super) fn new(
        cells: Vec<Cell>,
        no_endpoint: NoEndpointPolicy,
        min_endpoints: usize,
        max_endpoints: usize,
    ) -> CellMap {
        let mut map = CellMap {
            cells,
            slots: Vec::new(),
            pinned_groups: BTreeMap::new(),
            named_endpoints: BTreeMap::new(),
            no_endpoint,
            min_endpoints,
            max_endpoints,
        };
        map.slots = (0..SLOT_COUNT as u64)
            .map(|slot| map.cells_in_order(slot).next().unwrap_or(0) as u8)
            .collect();
        map
    }

    /// Creates a map of this many cells of equal weight, at least one and at most [`MAX_CELLS`],
    /// for experiments.
    pub fn with_equal_cells(count: usize) -> CellMap {
        let cells = (0..count.clamp(1, MAX_CELLS))
            .map(|index| Cell {
                name: format!("c{index}"),
                weight: 1,
                quarantine: false,
            })
            .collect();
        CellMap::new(cells, NoEndpointPolicy::Reject, 0, usize::MAX)
    }

    /// Number of cells.
    pub fn cell_count(&self) -> usize {
        self.cells.len()
    }

    /// Whether all groups and endpoints belong to one cell.
    pub fn is_single(&self) -> bool {
        self.cells.len() <= 1
    }

    /// The cell with this name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.cells.iter().position(|cell| cell.name == name)
    }

    /// A cell's name; empty if there is no such cell.
    pub fn name(&self, cell: usize) -> &str {
        self.cells.get(cell).map_or("", |cell| &cell.name)
    }

    /// An endpoint's cell. It does not depend on other endpoints.
    pub fn cell_of_endpoint(&self, endpoint: EndpointId) -> usize {
        let by_hash = || {
            (0..self.cells.len())
                .max_by_key(|cell| (rendezvous_score(&self.cells[*cell], endpoint.0), *cell))
                .unwrap_or(0)
        };
        self.named_endpoints
            .get(&endpoint)
            .copied()
            .unwrap_or_else(by_hash)
    }

    /// The cells in order of preference for a slot of groups, the owner first; without those in
    /// quarantine.
    pub(super) fn cells_in_order(&self, slot: u64) -> impl Iterator<Item = usize> {
        // All relays must hash alike, so the input keeps the former name of the group.
        let key = xxh3_64_with_seed(b"site", slot);
        let mut cells: Vec<usize> = (0..self.cells.len())
            .filter(|cell| !self.cells[*cell].quarantine)
            .collect();
        cells.sort_by_key(|cell| Reverse((rendezvous_score(&self.cells[*cell], key), *cell)));
        cells.into_iter()
    }

    /// The slot of a group.
    pub(super) fn slot(group: u64) -> usize {
        (xxh3_64_with_seed(&group.to_le_bytes(), 0) % SLOT_COUNT as u64) as usize
    }

    /// A group's own cell, and the reason. Takes the same time for any number of cells.
    pub fn home(&self, group: u64) -> (usize, HomeReason) {
        match self.pinned_groups.get(&group) {
            Some(cell) => (*cell, HomeReason::Pinned),
            None => (self.slots[CellMap::slot(group)] as usize, HomeReason::Hash),
        }
    }

    /// The cell of a new connection of a group. `usable` says for each cell whether one of its
    /// endpoints may be sent requests; `borrowed` is the number of connections that each cell has
    /// of other cells' groups.
    pub fn place(&self, group: u64, usable: &[bool], borrowed: &[u32]) -> Placement {
        let (home, _) = self.home(group);
        if usable.get(home) == Some(&true) {
            return Placement::Home(home);
        }
        let NoEndpointPolicy::Borrow { max_borrowed } = self.no_endpoint else {
            return Placement::Rejected;
        };
        // Borrowing would let a quarantined group harm another cell.
        if self.cells.get(home).is_some_and(|cell| cell.quarantine) {
            return Placement::Rejected;
        }
        let can_lend = |cell: &usize| {
            let below_limit = borrowed.get(*cell).is_some_and(|n| *n < max_borrowed);
            *cell != home && usable.get(*cell) == Some(&true) && below_limit
        };
        self.cells_in_order(CellMap::slot(group) as u64)
            .find(can_lend)
            .map_or(Placement::Rejected, Placement::Borrowed)
    }
}
