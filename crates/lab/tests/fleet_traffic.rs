//! What a fleet of 550 relays sends and receives, and how old its updates are: the budgets of `docs/design/broadcast.md`.

use jaspermoor_control::InjectedBug;
use jaspermoor_lab::faults::figures::ProcessTraffic;
use jaspermoor_lab::faults::virtual_fleet::{run, Play};

/// Bytes a second that a relay may send and receive together, over any ten seconds.
const RELAY_BUDGET: f64 = 4_000.0;
/// The second from which traffic counts: before it the fleet comes together.
const WARM_UP: usize = 8;
/// The 99th percentile of the ages of what relays knew before updates were changes, with 50 relays: the worst of 12 plays
/// of 70 s, in milliseconds. One backend in a hundred answers neither of two probes, so it is 1.1 s and not less.
const AGE_BEFORE: u64 = 1_150;
/// A policy is in force everywhere within so long, in microseconds.
const POLICY: u64 = 4_000_000;

fn worst(of: &[ProcessTraffic]) -> f64 {
    of.iter()
        .map(|of| of.worst_window(WARM_UP))
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
    let seen = run(play);
    assert!(seen.broken.is_empty(), "{}", seen.broken[0]);
    let (_, relays) = seen.traffic.of.split_at(voters);
    assert!(
        worst(relays) <= RELAY_BUDGET,
        "a relay had {} bytes a second",
        worst(relays)
    );
    assert!(
        seen.took.iter().all(|took| *took <= POLICY),
        "{:?}",
        seen.took
    );
}

/// In a long play: in a short one the last hundredth rests on a few dozen probes.
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
    let seen = run(play);
    assert!(seen.broken.is_empty(), "{}", seen.broken[0]);
    let age = seen.ages.percentile(99);
    assert!(
        age <= AGE_BEFORE,
        "loads were {age} ms old at the 99th percentile"
    );
}

/// Builds that know deliveries and builds that do not, in one fleet, whoever votes and whoever owns.
#[test]
fn builds_of_two_ages_spread_updates_and_moves_in_one_fleet() {
    for (seed, older) in [(1, 2), (2, 2), (3, 3), (4, 3)] {
        let play = Play {
            seed,
            older,
            voters: 5,
            observers: 4,
            ..Play::default()
        };
        let seen = run(play);
        assert!(seen.broken.is_empty(), "seed {seed}: {}", seen.broken[0]);
        assert!(
            seen.words > 1_000,
            "seed {seed}: {} loads were told",
            seen.words
        );
        assert!(
            seen.moves > 100,
            "seed {seed}: {} moves were made",
            seen.moves
        );
    }
}

#[test]
fn changes_that_are_lost_and_versions_that_go_back_are_found() {
    for bug in [InjectedBug::ApplyWithGap, InjectedBug::ApplyOlderVersion] {
        let found = (1..=40).find(|&seed| {
            let seen = run(Play {
                seed,
                bug: Some(bug),
                ..Play::default()
            });
            let rules = ["tables are their owners'", "versions only grow"];
            seen.broken
                .iter()
                .any(|broken| rules.contains(&broken.rule))
        });
        assert!(found.is_some(), "{bug:?} was not found in 40 plays");
    }
}
