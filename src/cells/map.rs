//! The map of cells: looked up for each placement, made anew at each reload.

use crate::config::operator::{self, OperatorError, OperatorFile};
use crate::decisions::api::{EndpointId, EndpointState, ListedEndpoint};
use std::collections::BTreeMap;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Slots of the table of sites: at 64 cells a cell's share is off by at most an eighth or so, and the table is 8 KiB.
const SLOTS: usize = 4096;
/// The most cells: a balancer each, and the table's entries are small.
pub const MOST: usize = 64;
/// The heaviest weight: a draw of the hash for each unit.
const HEAVIEST: u32 = 16;

/// What becomes of a site whose cell has no server that can take it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoServer {
    /// It is refused.
    Refuse,
    /// It goes to the next cell of its order, as long as that cell has no more borrowed sessions than this.
    Borrow(u32),
}

/// One cell.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Cell {
    name: String,
    weight: u32,
    apart: bool,
}

/// Why a site is where it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Home {
    /// By its hash.
    Hash,
    /// The operator file says so.
    Pinned,
}

/// Where a site's new connection goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placed {
    /// To its own cell.
    At(usize),
    /// To another one, for want of a server.
    Borrowed(usize),
    /// Nowhere.
    Refused,
}

/// What is wrong with the cells of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Fewer servers than the file wants.
    Small(String, usize),
    /// More servers than the file wants.
    Large(String, usize),
    /// All of its servers are in one zone, and the list has several.
    OneZone(String, u16),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Small(cell, n) => write!(f, "cell {cell} has {n} servers, fewer than it should"),
            Fault::Large(cell, n) => write!(f, "cell {cell} has {n} servers, more than it should"),
            Fault::OneZone(cell, zone) => {
                write!(f, "cell {cell} has all its servers in zone {zone}")
            }
        }
    }
}

/// The map.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellMap {
    cells: Vec<Cell>,
    /// The cell of each slot of sites.
    slots: Vec<u8>,
    pins: BTreeMap<u64, usize>,
    named: BTreeMap<EndpointId, usize>,
    no_server: NoServer,
    least: usize,
    most: usize,
}

/// The key of a site as it is written: the hexadecimal key that line clients send, or the words of an XMPP group,
/// such as `site7@hazri1.example.org`. 0 means none.
pub fn site_key(text: &str) -> u64 {
    let hexadecimal = (1..=16).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_hexdigit());
    match u64::from_str_radix(text, 16) {
        Ok(key) if hexadecimal => key,
        _ if text.is_empty() => 0,
        _ => xxh3_64_with_seed(text.as_bytes(), 0).max(1),
    }
}

/// How high a cell stands for something: the best of a draw for each unit of its weight.
fn score(cell: &Cell, of: u64) -> u64 {
    (0..cell.weight)
        .map(|n| xxh3_64_with_seed(cell.name.as_bytes(), of ^ (u64::from(n) << 56)))
        .max()
        .unwrap_or(0)
}

impl Default for CellMap {
    /// One cell that has everything.
    fn default() -> Self {
        let cell = Cell {
            name: "all".into(),
            weight: 1,
            apart: false,
        };
        CellMap::new(vec![cell], NoServer::Refuse, 0, usize::MAX)
    }
}

impl CellMap {
    fn new(cells: Vec<Cell>, no_server: NoServer, least: usize, most: usize) -> CellMap {
        let (pins, named) = (BTreeMap::new(), BTreeMap::new());
        let mut map = CellMap {
            cells,
            slots: Vec::new(),
            pins,
            named,
            no_server,
            least,
            most,
        };
        map.slots = (0..SLOTS as u64)
            .map(|slot| map.order(slot).next().unwrap_or(0) as u8)
            .collect();
        map
    }

    /// So many cells of one weight and nothing else set, for experiments; at least one and at most [`MOST`].
    pub fn of_hash(cells: usize) -> CellMap {
        let cell = |n| Cell {
            name: format!("c{n}"),
            weight: 1,
            apart: false,
        };
        CellMap::new(
            (0..cells.clamp(1, MOST)).map(cell).collect(),
            NoServer::Refuse,
            0,
            usize::MAX,
        )
    }

    /// The map that `[cells]` sets, checked.
    pub fn of(file: &OperatorFile, c: &operator::Cells) -> Result<CellMap, OperatorError> {
        let error = |key: String, what: String| Err(file.error(&format!("cells.{key}"), what));
        if c.cell.is_empty() || c.cell.len() > MOST {
            return error(
                "cell".into(),
                format!("has {} cells, outside 1 to {MOST}", c.cell.len()),
            );
        }
        let mut cells: Vec<Cell> = Vec::new();
        for (n, cell) in c.cell.iter().enumerate() {
            if cell.name.is_empty() || cells.iter().any(|other| other.name == cell.name) {
                return error(
                    format!("cell[{n}].name"),
                    format!("'{}' is empty or there twice", cell.name),
                );
            }
            if !(1..=HEAVIEST).contains(&cell.weight) {
                return error(
                    format!("cell[{n}].weight"),
                    format!("is {}, outside 1 to {HEAVIEST}", cell.weight),
                );
            }
            let (name, weight) = (cell.name.clone(), cell.weight);
            cells.push(Cell {
                name,
                weight,
                apart: cell.quarantine,
            });
        }
        if cells.iter().all(|cell| cell.apart) {
            return error(
                "cell".into(),
                "each is for quarantine: sites would have no home".into(),
            );
        }
        if c.least_servers > c.most_servers {
            return error(
                "least_servers".into(),
                format!("is {}, more than most_servers", c.least_servers),
            );
        }
        let no_server = match c.no_server {
            operator::NoServer::Refuse => NoServer::Refuse,
            operator::NoServer::Borrow => NoServer::Borrow(c.borrow_most),
        };
        let mut map = CellMap::new(cells, no_server, c.least_servers, c.most_servers);
        for (n, cell) in c.cell.iter().enumerate() {
            for (i, name) in cell.servers.iter().enumerate() {
                let server = crate::config::listing::server_id(name);
                if map.named.insert(server, n).is_some_and(|other| other != n) {
                    return error(
                        format!("cell[{n}].servers[{i}]"),
                        format!("'{name}' is named for two cells"),
                    );
                }
            }
        }
        for (n, site) in c.site.iter().enumerate() {
            let key = site_key(&site.key);
            if key == 0 {
                return error(
                    format!("site[{n}].key"),
                    "is empty or 0, which means no site".into(),
                );
            }
            let Some(cell) = map.find(&site.cell) else {
                return error(
                    format!("site[{n}].cell"),
                    format!("'{}' is no cell", site.cell),
                );
            };
            if map.pins.insert(key, cell).is_some() {
                return error(
                    format!("site[{n}].key"),
                    format!("'{}' is there twice", site.key),
                );
            }
        }
        Ok(map)
    }

    /// How many cells there are.
    pub fn len(&self) -> usize {
        self.cells.len()
    }

    /// Whether all is one cell.
    pub fn is_empty(&self) -> bool {
        self.cells.len() <= 1
    }

    /// A cell by its name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.cells.iter().position(|cell| cell.name == name)
    }

    /// A cell's name.
    pub fn name(&self, cell: usize) -> &str {
        self.cells.get(cell).map_or("", |cell| &cell.name)
    }

    /// A server's cell; no other server changes it.
    pub fn of_server(&self, server: EndpointId) -> usize {
        let by_hash = || {
            (0..self.cells.len())
                .max_by_key(|n| (score(&self.cells[*n], server.0), *n))
                .unwrap_or(0)
        };
        self.named.get(&server).copied().unwrap_or_else(by_hash)
    }

    /// The cells that may have what hashes to this, the first one first; those set apart are left out.
    fn order(&self, of: u64) -> impl Iterator<Item = usize> {
        let of = xxh3_64_with_seed(b"site", of);
        let usable = (0..self.cells.len()).filter(|n| !self.cells[*n].apart);
        let mut cells: Vec<usize> = usable.collect();
        cells.sort_by_key(|n| std::cmp::Reverse((score(&self.cells[*n], of), *n)));
        cells.into_iter()
    }

    fn slot(site: u64) -> usize {
        (xxh3_64_with_seed(&site.to_le_bytes(), 0) % SLOTS as u64) as usize
    }

    /// A site's own cell, and why. The same cost for any number of cells.
    pub fn home(&self, site: u64) -> (usize, Home) {
        match self.pins.get(&site) {
            Some(cell) => (*cell, Home::Pinned),
            None => (self.slots[CellMap::slot(site)] as usize, Home::Hash),
        }
    }

    /// Where a new connection of a site goes. `usable` has for each cell whether a server of it may be sent
    /// anything; `borrowed` how many sessions it holds for others.
    pub fn place(&self, site: u64, usable: &[bool], borrowed: &[u32]) -> Placed {
        let (home, _) = self.home(site);
        if usable.get(home) == Some(&true) {
            return Placed::At(home);
        }
        let NoServer::Borrow(most) = self.no_server else {
            return Placed::Refused;
        };
        // Whoever is set apart borrows nowhere: that is what it is set apart for.
        if self.cells.get(home).is_some_and(|cell| cell.apart) {
            return Placed::Refused;
        }
        let lends = |n: &usize| {
            *n != home
                && usable.get(*n) == Some(&true)
                && borrowed.get(*n).is_some_and(|b| *b < most)
        };
        let lender = self.order(CellMap::slot(site) as u64).find(lends);
        lender.map_or(Placed::Refused, Placed::Borrowed)
    }

    /// What is wrong with the cells of this list.
    pub fn faults(&self, members: &[ListedEndpoint]) -> Vec<Fault> {
        let here = |cell: usize| {
            members
                .iter()
                .filter(move |m| m.state != EndpointState::Removed && self.of_server(m.id) == cell)
        };
        let several = members.iter().any(|m| m.zone != members[0].zone);
        let mut faults = Vec::new();
        for (n, cell) in self.cells.iter().enumerate() {
            let (name, count) = (cell.name.clone(), here(n).count());
            match count {
                n if n < self.least => faults.push(Fault::Small(name.clone(), n)),
                n if n > self.most => faults.push(Fault::Large(name.clone(), n)),
                _ => {}
            }
            if let Some(first) = here(n).next() {
                if several && count > 1 && here(n).all(|m| m.zone == first.zone) {
                    faults.push(Fault::OneZone(name, first.zone));
                }
            }
        }
        faults
    }

    /// All cells, a line each, and what is wrong with them.
    pub fn show(&self, members: &[(String, ListedEndpoint)]) -> Vec<String> {
        let mut lines = Vec::new();
        for (n, cell) in self.cells.iter().enumerate() {
            let servers: Vec<&str> = members
                .iter()
                .filter(|(_, m)| self.of_server(m.id) == n)
                .map(|(id, _)| id.as_str())
                .collect();
            let slots = self
                .slots
                .iter()
                .filter(|slot| usize::from(**slot) == n)
                .count();
            let pins = self.pins.values().filter(|pin| **pin == n).count();
            let apart = if cell.apart { ", set apart" } else { "" };
            lines.push(format!(
                "cell {}: {:.1}% of sites by hash, {pins} pinned, {} servers{apart}: {}",
                cell.name,
                100.0 * slots as f64 / SLOTS as f64,
                servers.len(),
                servers.join(" ")
            ));
        }
        let all: Vec<ListedEndpoint> = members.iter().map(|(_, m)| m.clone()).collect();
        lines.extend(
            self.faults(&all)
                .iter()
                .map(|fault| format!("fault: {fault}")),
        );
        lines
    }

    /// Why a site is where it is, in a few lines.
    pub fn explain(&self, site: u64, members: &[(String, ListedEndpoint)]) -> Vec<String> {
        let (cell, why) = self.home(site);
        let name = self.name(cell);
        let mut lines = vec![match why {
            Home::Pinned => {
                format!("site {site:016x} is in cell {name}: the operator file pins it there")
            }
            Home::Hash => format!(
                "site {site:016x} is in cell {name}: its slot {} of {SLOTS} is that cell's",
                CellMap::slot(site)
            ),
        }];
        if self.cells[cell].apart {
            lines.push(format!(
                "cell {name} is set apart: only sites pinned to it live there"
            ));
        }
        let servers: Vec<&str> = members
            .iter()
            .filter(|(_, m)| m.state != EndpointState::Removed && self.of_server(m.id) == cell)
            .map(|(id, _)| id.as_str())
            .collect();
        lines.push(format!(
            "cell {name} has {} servers: {}",
            servers.len(),
            servers.join(" ")
        ));
        lines.push(match self.no_server {
            NoServer::Refuse => "without a usable server there it is refused".into(),
            NoServer::Borrow(_) if self.cells[cell].apart => "without a usable server there it is refused".into(),
            NoServer::Borrow(most) => {
                let next = self.order(CellMap::slot(site) as u64).find(|n| *n != cell);
                let next = next.map_or("none", |n| self.name(n));
                format!("without a usable server there it borrows, first at {next}, which lends to {most} sessions at most")
            }
        });
        lines
    }

    /// What another map would change: the share of sites by hash, in percent, and each server and pin by name.
    pub fn plan(&self, new: &CellMap, members: &[(String, ListedEndpoint)]) -> Vec<String> {
        let changed = (0..SLOTS)
            .filter(|n| self.name(self.slots[*n].into()) != new.name(new.slots[*n].into()));
        let share = 100.0 * changed.count() as f64 / SLOTS as f64;
        let mut lines = vec![format!(
            "sites: {share:.1}% of those placed by hash change their cell"
        )];
        for (id, member) in members {
            let (from, to) = (
                self.name(self.of_server(member.id)),
                new.name(new.of_server(member.id)),
            );
            if from != to {
                lines.push(format!("server {id}: {from} to {to}"));
            }
        }
        let sites = self
            .pins
            .keys()
            .chain(new.pins.keys().filter(|site| !self.pins.contains_key(site)));
        for site in sites {
            let (from, to) = (self.name(self.home(*site).0), new.name(new.home(*site).0));
            if from != to {
                lines.push(format!("site {site:016x}: {from} to {to}"));
            }
        }
        let all: Vec<ListedEndpoint> = members.iter().map(|(_, m)| m.clone()).collect();
        lines.extend(
            new.faults(&all)
                .iter()
                .map(|fault| format!("fault: {fault}")),
        );
        lines
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn map(names: &[(&str, u32, bool)], no_server: NoServer) -> CellMap {
        let cell = |&(name, weight, apart): &(&str, u32, bool)| Cell {
            name: name.into(),
            weight,
            apart,
        };
        CellMap::new(names.iter().map(cell).collect(), no_server, 2, 60)
    }

    fn member(n: u64, zone: u16) -> ListedEndpoint {
        ListedEndpoint {
            id: EndpointId(n),
            zone,
            cell: 0,
            state: EndpointState::Ready,
            size: 1.0,
            started_at: None,
        }
    }

    const FOUR: [(&str, u32, bool); 4] = [
        ("a", 1, false),
        ("b", 1, false),
        ("c", 1, false),
        ("q", 1, true),
    ];

    #[test]
    fn a_cell_s_coming_takes_its_share_and_moves_nothing_else() {
        let (three, four) = (
            map(&FOUR[..3], NoServer::Refuse),
            map(
                &[FOUR[0], FOUR[1], FOUR[2], ("d", 1, false)],
                NoServer::Refuse,
            ),
        );
        let mut moved = 0;
        for site in 0..10_000 {
            let (from, to) = (three.home(site).0, four.home(site).0);
            assert!(
                from == to || to == 3,
                "site {site} went from {from} to {to}"
            );
            moved += u32::from(from != to);
        }
        assert!((1_700..3_300).contains(&moved), "{moved} of 10000");
        for server in 0..1_000 {
            let (from, to) = (
                three.of_server(EndpointId(server)),
                four.of_server(EndpointId(server)),
            );
            assert!(from == to || to == 3);
        }
    }

    #[test]
    fn weights_give_shares_and_a_cell_set_apart_gets_no_site_by_hash() {
        let map = map(
            &[("a", 1, false), ("b", 3, false), ("q", 4, true)],
            NoServer::Refuse,
        );
        let mut counts = [0u32; 3];
        (0..20_000).for_each(|site| counts[map.home(site).0] += 1);
        assert_eq!(counts[2], 0);
        assert!(
            (2.4..3.7).contains(&(f64::from(counts[1]) / f64::from(counts[0]))),
            "{counts:?}"
        );
        assert!((0..100).any(|server| map.of_server(EndpointId(server)) == 2));
    }

    #[test]
    fn a_site_without_a_server_is_refused_or_borrows_within_the_bound() {
        let site = (0..)
            .find(|site| map(&FOUR, NoServer::Refuse).home(*site).0 == 0)
            .unwrap();
        let down = [false, true, true, true];
        assert_eq!(
            map(&FOUR, NoServer::Refuse).place(site, &down, &[0; 4]),
            Placed::Refused
        );
        let lend = map(&FOUR, NoServer::Borrow(5));
        assert_eq!(lend.place(site, &[true; 4], &[0; 4]), Placed::At(0));
        let Placed::Borrowed(first) = lend.place(site, &down, &[0; 4]) else {
            panic!()
        };
        assert!(first == 1 || first == 2, "never at one set apart");
        let mut full = [0; 4];
        full[first] = 5;
        assert_eq!(lend.place(site, &down, &full), Placed::Borrowed(3 - first));
        assert_eq!(lend.place(site, &down, &[5; 4]), Placed::Refused);
        assert_eq!(lend.place(site, &[false; 4], &[0; 4]), Placed::Refused);
        // A site in quarantine stays there.
        let mut lend = lend;
        lend.pins.insert(7, 3);
        assert_eq!(
            lend.place(7, &[true, true, true, false], &[0; 4]),
            Placed::Refused
        );
        assert_eq!(lend.home(7), (3, Home::Pinned));
    }

    #[test]
    fn cells_too_small_too_large_or_in_one_zone_are_named() {
        let mut map = map(&FOUR[..2], NoServer::Refuse);
        map.named = (0..5)
            .map(|n| (EndpointId(n), usize::from(n > 0)))
            .collect();
        let members: Vec<ListedEndpoint> = (0..5).map(|n| member(n, u16::from(n == 0))).collect();
        assert_eq!(
            map.faults(&members),
            [Fault::Small("a".into(), 1), Fault::OneZone("b".into(), 0)]
        );
        map.most = 3;
        assert!(map.faults(&members).contains(&Fault::Large("b".into(), 4)));
    }

    #[test]
    fn a_plan_names_what_would_move_and_an_explanation_says_why() {
        let old = map(&FOUR[..3], NoServer::Borrow(4));
        let mut new = old.clone();
        let (site, server) = (0x5c, EndpointId(9));
        let to = (old.home(site).0 + 1) % 3;
        new.pins.insert(site, to);
        new.named.insert(server, (old.of_server(server) + 1) % 3);
        let members: Vec<_> = (0..12)
            .map(|n| (format!("s-{n}"), member(n, (n % 3) as u16)))
            .collect();
        let plan = old.plan(&new, &members).join("\n");
        assert!(
            plan.contains("sites: 0.0%") && plan.contains("server s-9: "),
            "{plan}"
        );
        assert!(plan.contains(&format!(
            "site 000000000000005c: {} to {}",
            old.name(old.home(site).0),
            new.name(to)
        )));
        assert!(new.explain(site, &members)[0].contains("pins it there"));
        assert!(old
            .explain(site, &members)
            .iter()
            .any(|l| l.contains("lends to 4 sessions")));
        let unchanged = old.plan(&old, &members);
        assert!(
            unchanged[1..]
                .iter()
                .all(|line| line.starts_with("fault: ")),
            "{unchanged:?}"
        );
    }
}
