use super::map::Cell;
use super::*;
use crate::decisions::api::{EndpointId, EndpointState, ListedEndpoint};

/// Name and weight of a cell, and whether it is a quarantine.
type CellSpec = (&'static str, u32, bool);

const A: CellSpec = ("a", 1, false);
const B: CellSpec = ("b", 1, false);
const C: CellSpec = ("c", 1, false);
const D: CellSpec = ("d", 1, false);
const QUARANTINE: CellSpec = ("q", 1, true);
const ALL_USABLE: [bool; 4] = [true; 4];
const NONE_BORROWED: [u32; 4] = [0; 4];

/// A map whose cells have a fault unless they have 2 to 60 endpoints.
fn cell_map(specs: &[CellSpec], no_endpoint: NoEndpointPolicy) -> CellMap {
    let cells = specs
        .iter()
        .map(|&(name, weight, quarantine)| Cell {
            name: name.into(),
            weight,
            quarantine,
        })
        .collect();
    CellMap::new(cells, no_endpoint, 2, 60)
}

fn rejecting_map(specs: &[CellSpec]) -> CellMap {
    cell_map(specs, NoEndpointPolicy::Reject)
}

fn lending_map(specs: &[CellSpec], max_borrowed: u32) -> CellMap {
    cell_map(specs, NoEndpointPolicy::Borrow { max_borrowed })
}

fn ready_endpoint(id: u64, zone: u16) -> ListedEndpoint {
    ListedEndpoint {
        id: EndpointId(id),
        zone,
        cell: 0,
        state: EndpointState::Ready,
        size: 1.0,
        started_at: None,
    }
}

/// Names an endpoint for a cell, as the operator file can.
fn name_endpoint(map: &mut CellMap, endpoint: EndpointId, cell: usize) {
    map.named_endpoints.insert(endpoint, cell);
}

#[test]
fn a_new_cell_takes_its_fraction_and_no_group_changes_between_the_others() {
    let three = rejecting_map(&[A, B, C]);
    let four = rejecting_map(&[A, B, C, D]);
    let mut moved = 0;
    for group in 0..10_000 {
        let from = three.home(group).0;
        let to = four.home(group).0;
        assert!(
            from == to || to == 3,
            "group {group} changed from {from} to {to}"
        );
        moved += u32::from(from != to);
    }
    assert!((1_700..3_300).contains(&moved), "{moved} of 10000");
    for endpoint in (0..1_000).map(EndpointId) {
        let from = three.cell_of_endpoint(endpoint);
        let to = four.cell_of_endpoint(endpoint);
        assert!(from == to || to == 3);
    }
}

#[test]
fn groups_are_spread_by_weight_and_none_is_hashed_into_quarantine() {
    let map = rejecting_map(&[("a", 1, false), ("b", 3, false), ("q", 4, true)]);
    let mut groups = [0u32; 3];
    for group in 0..20_000 {
        groups[map.home(group).0] += 1;
    }
    assert_eq!(groups[2], 0);
    let ratio = f64::from(groups[1]) / f64::from(groups[0]);
    assert!((2.4..3.7).contains(&ratio), "{groups:?}");
    assert!((0..100).any(|endpoint| map.cell_of_endpoint(EndpointId(endpoint)) == 2));
}

#[test]
fn a_group_without_a_usable_endpoint_is_rejected_or_borrows_up_to_the_limit() {
    let cells = [A, B, C, QUARANTINE];
    let rejecting = rejecting_map(&cells);
    let group = (0..).find(|group| rejecting.home(*group).0 == 0).unwrap();
    let home_down = [false, true, true, true];
    assert_eq!(
        rejecting.place(group, &home_down, &NONE_BORROWED),
        Placement::Rejected
    );

    let lending = lending_map(&cells, 5);
    assert_eq!(
        lending.place(group, &ALL_USABLE, &NONE_BORROWED),
        Placement::Home(0)
    );
    let Placement::Borrowed(first) = lending.place(group, &home_down, &NONE_BORROWED) else {
        panic!("nothing borrowed though two cells are usable")
    };
    assert!(first == 1 || first == 2, "never from quarantine");
    let mut first_full = NONE_BORROWED;
    first_full[first] = 5;
    assert_eq!(
        lending.place(group, &home_down, &first_full),
        Placement::Borrowed(3 - first)
    );
    assert_eq!(
        lending.place(group, &home_down, &[5; 4]),
        Placement::Rejected
    );
    assert_eq!(
        lending.place(group, &[false; 4], &NONE_BORROWED),
        Placement::Rejected
    );
}

#[test]
fn a_group_in_quarantine_borrows_from_no_cell() {
    let mut map = lending_map(&[A, B, C, QUARANTINE], 5);
    map.pinned_groups.insert(7, 3);
    let quarantine_down = [true, true, true, false];
    assert_eq!(
        map.place(7, &quarantine_down, &NONE_BORROWED),
        Placement::Rejected
    );
    assert_eq!(map.home(7), (3, HomeReason::Pinned));
}

#[test]
fn cells_that_are_too_small_too_large_or_in_one_zone_are_faults() {
    let mut map = rejecting_map(&[A, B]);
    for endpoint in 0..5 {
        name_endpoint(&mut map, EndpointId(endpoint), usize::from(endpoint > 0));
    }
    let listed: Vec<ListedEndpoint> = (0..5)
        .map(|endpoint| ready_endpoint(endpoint, u16::from(endpoint == 0)))
        .collect();
    let too_few = CellFault::TooFewEndpoints {
        cell: "a".into(),
        count: 1,
    };
    let single_zone = CellFault::SingleZone {
        cell: "b".into(),
        zone: 0,
    };
    assert_eq!(map.faults(&listed), [too_few, single_zone]);
    map.max_endpoints = 3;
    assert!(map.faults(&listed).contains(&CellFault::TooManyEndpoints {
        cell: "b".into(),
        count: 4,
    }));
}

#[test]
fn changes_are_listed_by_name_and_an_explanation_gives_the_reason() {
    let old = lending_map(&[A, B, C], 4);
    let mut new = old.clone();
    let group = 0x5c;
    let endpoint = EndpointId(9);
    let to = (old.home(group).0 + 1) % 3;
    new.pinned_groups.insert(group, to);
    name_endpoint(&mut new, endpoint, (old.cell_of_endpoint(endpoint) + 1) % 3);
    let listed: Vec<(String, ListedEndpoint)> = (0..12)
        .map(|n| (format!("s-{n}"), ready_endpoint(n, (n % 3) as u16)))
        .collect();
    let changes = old.describe_changes(&new, &listed).join("\n");
    assert!(
        changes.contains("sites: 0.0%") && changes.contains("server s-9: "),
        "{changes}"
    );
    assert!(changes.contains(&format!(
        "site 000000000000005c: {} to {}",
        old.name(old.home(group).0),
        new.name(to)
    )));
    assert!(new.explain(group, &listed)[0].contains("pins it there"));
    assert!(old
        .explain(group, &listed)
        .iter()
        .any(|line| line.contains("lends to 4 sessions")));
    let unchanged = old.describe_changes(&old, &listed);
    assert!(
        unchanged[1..]
            .iter()
            .all(|line| line.starts_with("fault: ")),
        "{unchanged:?}"
    );
}
