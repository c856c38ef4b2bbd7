//! The cell map: the cell of each site and of each endpoint, and where a new connection goes.
//!
//! Built for each operator file and looked up for each placement. Both lookups use rendezvous hashing with weights: a
//! cell that is added gets its fraction of sites and endpoints from all other cells, and nothing else changes its cell.

use crate::decisions::api::EndpointId;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Slots of the table of sites. With 64 cells, a cell's fraction of sites is off by an eighth or so.
pub(super) const SLOT_COUNT: usize = 4096;
/// The most cells of a map. Each has a balancer of its own, and the table of sites holds a byte a slot.
pub const MAX_CELLS: usize = 64;

/// What becomes of a new connection whose cell has no usable endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEndpointPolicy {
    /// It is rejected.
    Reject,
    /// It goes to the next usable cell in its site's order.
    Borrow {
        /// The most borrowed connections of a cell; a cell that has this many is passed over.
        max_borrowed: u32,
    },
}

/// One cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Cell {
    pub name: String,
    /// Its weight in the hash, against those of other cells.
    pub weight: u32,
    /// Only sites that are pinned to it belong to it.
    pub quarantine: bool,
}

/// Why a site belongs to its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeReason {
    /// By its hash.
    Hash,
    /// The operator file pins it.
    Pinned,
}

/// Where a new connection of a site goes. Cells are given by their index in the map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// To its own cell.
    Home(usize),
    /// To another cell, because its own one has no usable endpoint.
    Borrowed(usize),
    /// To no cell.
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

/// Which cell each site and each endpoint belongs to. Cells have indices from 0, in the order of the operator file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellMap {
    pub(super) cells: Vec<Cell>,
    /// The cell of each slot of sites.
    pub(super) slots: Vec<u8>,
    /// Cells of the sites that the operator file pins.
    pub(super) pinned_sites: BTreeMap<u64, usize>,
    /// Cells of the endpoints that the operator file names.
    pub(super) named_endpoints: BTreeMap<EndpointId, usize>,
    pub(super) no_endpoint: NoEndpointPolicy,
    /// A cell with fewer endpoints is a fault.
    pub(super) min_endpoints: usize,
    /// A cell with more endpoints is a fault.
    pub(super) max_endpoints: usize,
}

/// The key of a site as it is written: the hexadecimal key that line clients send, or the name of an XMPP group, such as
/// `site7@hazri1.example.org`. 0 means no site.
pub fn group_key(text: &str) -> u64 {
    let hexadecimal = (1..=16).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_hexdigit());
    match u64::from_str_radix(text, 16) {
        Ok(key) if hexadecimal => key,
        _ if text.is_empty() => 0,
        _ => xxh3_64_with_seed(text.as_bytes(), 0).max(1),
    }
}

/// A cell's score in the rendezvous hash of a key: the highest of one draw for each unit of its weight.
fn rendezvous_score(cell: &Cell, key: u64) -> u64 {
    (0..cell.weight)
        .map(|draw| xxh3_64_with_seed(cell.name.as_bytes(), key ^ (u64::from(draw) << 56)))
        .max()
        .unwrap_or(0)
}

impl Default for CellMap {
    /// A single cell.
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
    /// A map that pins no site and names no endpoint.
    pub(super) fn new(
        cells: Vec<Cell>,
        no_endpoint: NoEndpointPolicy,
        min_endpoints: usize,
        max_endpoints: usize,
    ) -> CellMap {
        let mut map = CellMap {
            cells,
            slots: Vec::new(),
            pinned_sites: BTreeMap::new(),
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

    /// This many cells of equal weight, for experiments; at least one and at most [`MAX_CELLS`].
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

    /// How many cells there are.
    pub fn cell_count(&self) -> usize {
        self.cells.len()
    }

    /// Whether everything belongs to one cell.
    pub fn is_single(&self) -> bool {
        self.cells.len() <= 1
    }

    /// The cell of this name.
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

    /// The cells in the order in which they may have a slot of sites, the owner first; without those in quarantine.
    pub(super) fn cells_in_order(&self, slot: u64) -> impl Iterator<Item = usize> {
        let key = xxh3_64_with_seed(b"site", slot);
        let mut cells: Vec<usize> = (0..self.cells.len())
            .filter(|cell| !self.cells[*cell].quarantine)
            .collect();
        cells.sort_by_key(|cell| Reverse((rendezvous_score(&self.cells[*cell], key), *cell)));
        cells.into_iter()
    }

    /// The slot of a site.
    pub(super) fn slot(site: u64) -> usize {
        (xxh3_64_with_seed(&site.to_le_bytes(), 0) % SLOT_COUNT as u64) as usize
    }

    /// A site's own cell, and why. Takes the same time for any number of cells.
    pub fn home(&self, site: u64) -> (usize, HomeReason) {
        match self.pinned_sites.get(&site) {
            Some(cell) => (*cell, HomeReason::Pinned),
            None => (self.slots[CellMap::slot(site)] as usize, HomeReason::Hash),
        }
    }

    /// Where a new connection of a site goes. `usable` says for each cell whether one of its endpoints may be sent
    /// requests, `borrowed` how many connections of other cells' sites it has.
    pub fn place(&self, site: u64, usable: &[bool], borrowed: &[u32]) -> Placement {
        let (home, _) = self.home(site);
        if usable.get(home) == Some(&true) {
            return Placement::Home(home);
        }
        let NoEndpointPolicy::Borrow { max_borrowed } = self.no_endpoint else {
            return Placement::Rejected;
        };
        // Borrowing would carry a quarantined site's harm into another cell.
        if self.cells.get(home).is_some_and(|cell| cell.quarantine) {
            return Placement::Rejected;
        }
        let can_lend = |cell: &usize| {
            let below_limit = borrowed.get(*cell).is_some_and(|n| *n < max_borrowed);
            *cell != home && usable.get(*cell) == Some(&true) && below_limit
        };
        self.cells_in_order(CellMap::slot(site) as u64)
            .find(can_lend)
            .map_or(Placement::Rejected, Placement::Borrowed)
    }
}
