//! Traffic of a fleet of 550 relays and age of its updates, checked against the budgets of
//! `docs/design/broadcast.md`.

use jaspermoor_control::InjectedBug;
use jaspermoor_lab::faults::figures::ProcessTraffic;
use jaspermoor_lab::faults::virtual_fleet::{run, Play};

/// Limit of the bytes per second that a relay sends and receives in total, over any ten seconds.
const RELAY_BYTES_PER_S: f64 = 4_000.0;
/// The second from which traffic counts; before it the fleet is still forming.
const WARM_UP_S: usize = 8;
/// Limit of the 99th percentile of the load reports' age, in milliseconds: the worst of 12 plays
/// of 70 s with 50 relays, from the time when each update carried the whole table. One backend in
/// a hundred answers neither of two probes, so it is 1.1 s and not less.
const MAX_REPORT_AGE_MS: u64 = 1_150;
/// Time within which a policy must be in force on all relays, in microseconds.
const POLICY_IN_FORCE_WITHIN: u64 = 4_000_000;

fn worst_traffic(processes: &[ProcessTraffic]) -> f64 {
    processes
        .iter()
        .map(|process| process.worst_window(WARM_UP_S))
        .fold(0.0, f64::max)
}

#[test]
fn a_fleet_of_550_stays_within_its_budgets() {
    let voters = 5;
    let play = Play {
        voters,
        observers: 545,
        jobs: 1,
        zones: 5,
        backends: 40,
        faults: false,
        length: 10_000_000,
        rest: 10_000_000,
        ..Play::default()
    };
    let result = run(play);
    assert!(result.broken.is_empty(), "{}", result.broken[0]);
    let (_, relays) = result.traffic.of.split_at(voters);
    assert!(
        worst_traffic(relays) <= RELAY_BYTES_PER_S,
        "a relay sent and received {} bytes a second",
        worst_traffic(relays)
    );
    assert!(
        result
            .took
            .iter()
            .all(|took| *took <= POLICY_IN_FORCE_WITHIN),
        "{:?}",
        result.took
    );
}

/// Needs a long play: in a short one the 99th percentile depends on a few dozen probes.
#[test]
fn loads_are_no_older_than_they_were_when_each_update_was_whole() {
    let play = Play {
        voters: 5,
        observers: 95,
        jobs: 1,
        zones: 5,
        backends: 40,
        faults: false,
        ..Play::default()
    };
    let result = run(play);
    assert!(result.broken.is_empty(), "{}", result.broken[0]);
    let age = result.ages.percentile(99);
    assert!(
        age <= MAX_REPORT_AGE_MS,
        "load reports were {age} ms old at the 99th percentile"
    );
}

/// Builds with and without the `Delivery` message work in one fleet, whichever of them vote or own
/// jobs.
#[test]
fn builds_with_and_without_deliveries_spread_updates_and_moves_in_one_fleet() {
    for (seed, older) in [(1, 2), (2, 2), (3, 3), (4, 3)] {
        let play = Play {
            seed,
            older,
            voters: 5,
            observers: 4,
            ..Play::default()
        };
        let result = run(play);
        assert!(
            result.broken.is_empty(),
            "seed {seed}: {}",
            result.broken[0]
        );
        assert!(
            result.words > 1_000,
            "seed {seed}: {} load reports were accepted",
            result.words
        );
        assert!(
            result.moves > 100,
            "seed {seed}: {} migrations were made",
            result.moves
        );
    }
}

#[test]
fn lost_changes_and_decreasing_versions_are_detected() {
    for bug in [InjectedBug::ApplyWithGap, InjectedBug::ApplyOlderVersion] {
        let found = (1..=40).find(|&seed| {
            let result = run(Play {
                seed,
                bug: Some(bug),
                ..Play::default()
            });
            let rules = ["tables are their owners'", "versions only grow"];
            result
                .broken
                .iter()
                .any(|broken| rules.contains(&broken.rule))
        });
        assert!(found.is_some(), "{bug:?} was not found in 40 plays");
    }
}
