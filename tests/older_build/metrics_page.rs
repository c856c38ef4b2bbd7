//! The metrics page: names, labels, types and help texts are those of an older build, in the same
//! order.

use super::process::{endpoint, free_address, RelayProcess};

const WITH_CELLS: &str = include_str!("../data/older_build/metrics_cells.txt");
const WITH_FLEET: &str = include_str!("../data/older_build/metrics_fleet.txt");

const CELLS: &str =
    "[cells]\nno_server = \"refuse\"\nretry_after_ms = 700\nmoves_per_second = 20\n\
    [[cells.cell]]\nname = \"a\"\nservers = [\"s-1\", \"s-2\"]\n\
    [[cells.cell]]\nname = \"b\"\nservers = [\"s-3\"]\n\
    [[cells.site]]\nkey = \"5\"\ncell = \"a\"\n\
    [[cells.site]]\nkey = \"6\"\ncell = \"b\"\n";

/// The metrics page of a relay with this operator file; values are masked.
fn page(operator: &str) -> String {
    let endpoints = ["s-1", "s-2", "s-3"].map(|name| endpoint(name, free_address()));
    let relay = RelayProcess::start(&endpoints, operator);
    let (status, page) = relay.get("/control/counters");
    assert_eq!(status, 200);
    page.lines().map(masked).collect()
}

/// Masks the value of a line; comments are left as they are.
fn masked(line: &str) -> String {
    match line.rsplit_once(' ') {
        Some((name, _)) if !line.starts_with('#') => format!("{name} VALUE\n"),
        _ => format!("{line}\n"),
    }
}

fn single_voter_fleet() -> String {
    format!(
        "[fleet]\nid = \"one\"\ndirectory = \"ledger\"\nkeys = \"fleet.key\"\nvoter = 1\n\
         [[fleet.voters]]\nnumber = 1\naddress = \"{}\"\n",
        free_address()
    )
}

#[test]
fn a_relay_with_cells_shows_the_metrics_of_an_older_build() {
    assert_eq!(page(CELLS), WITH_CELLS);
}

#[test]
fn a_relay_of_a_fleet_shows_the_metrics_of_an_older_build() {
    assert_eq!(page(&single_voter_fleet()), WITH_FLEET);
}
