//! Fleets of real processes with faults between them: what must hold does, and planted faults are found.

use jaspermoor_lab::faults::harness::{play, Ground, Played};
use jaspermoor_lab::faults::scenario::{Scenario, NAMED};
use std::path::PathBuf;

fn run(scenario: &Scenario, plant: Option<&str>) -> Played {
    let dir = tempfile::tempdir().unwrap();
    let program = PathBuf::from(env!("CARGO_BIN_EXE_jaspermoor"));
    play(&Ground { program, dir: dir.path().into(), plant: plant.map(String::from) }, scenario).unwrap()
}

fn named(name: &str) -> Scenario {
    Scenario::read(NAMED.iter().find(|(n, _)| *n == name).unwrap().1).unwrap()
}

fn sound(name: &str) -> Played {
    let played = run(&named(name), None);
    assert!(played.broken.is_empty(), "{name}: {}", played.broken[0]);
    played
}

#[test]
fn a_change_takes_hold_everywhere_or_nowhere() {
    let played = sound("change");
    // Two of the five: one of two at once is refused, and what nobody understands is, too.
    assert!(played.admitted > 0 && !played.took.is_empty());
}

#[test]
fn a_leader_that_wakes_late_does_no_harm() {
    sound("leader-stopped");
}

#[test]
fn a_majority_that_was_killed_in_a_change_comes_back_with_it() {
    sound("majority-killed");
}

#[test]
fn a_relay_that_was_away_serves_nobody_before_it_knows_the_policy() {
    sound("observer-away");
}

#[test]
fn a_link_that_is_cut_one_way_leaves_nobody_behind_under_an_old_policy() {
    sound("one-way");
}

/// A relay is cut off all through a change: what keeps it from serving on is taken away, one thing at a time.
#[test]
fn what_is_planted_is_found_in_the_books_of_real_processes() {
    let scenario = |restart: &str| {
        let text = format!(
            "about = 'a relay is cut off through a change'\nvoters = 3\nobservers = 1\n\
             [[step]]\nat_ms = 300\ndo = 'cut'\nrelay = 3\nout = true\nback = true\nheld = true\nfor_ms = 5000\n\
             [[step]]\nat_ms = 400\ndo = 'propose'\n[[step]]\nat_ms = 400\ndo = 'await'\n{restart}"
        );
        Scenario::read(&text).unwrap()
    };
    let restart = "[[step]]\nat_ms = 500\ndo = 'kill'\nrelay = 3\nfor_ms = 100\n";
    assert!(run(&scenario(restart), None).broken.is_empty());
    for (plant, steps) in [("ignore-lease", ""), ("lease-survives-restart", restart)] {
        let played = run(&scenario(steps), Some(plant));
        assert!(played.broken.iter().any(|b| b.rule == "one policy"), "{plant}: {:?}", played.broken);
    }
}
