//! Plays of a whole fleet in one process: rules hold, and each injected fault is found.

use jaspermoor_control::InjectedBug;
use jaspermoor_lab::faults::virtual_fleet::{run, Play};

#[test]
fn no_rule_is_broken_whatever_fails() {
    let mut in_force = 0;
    for seed in 1..=90 {
        let play = Play {
            seed,
            voters: if seed % 3 == 0 { 5 } else { 3 },
            observers: (seed % 5) as usize,
            ..Play::default()
        };
        let seen = run(play);
        assert!(seen.broken.is_empty(), "seed {seed}: {}", seen.broken[0]);
        in_force += seen.epoch;
    }
    // Plays in which nothing ever takes hold would prove nothing.
    assert!(in_force > 90, "{in_force} policies came into force");
}

/// Seeds that once broke a rule: what each found stands with its mending.
#[test]
fn what_was_found_once_stays_mended() {
    for (seed, voters) in [
        (2102, 3),
        (18, 3),
        (387, 3),
        (365, 3),
        (5915, 3),
        (2147, 3),
        (12345, 3),
        (5331, 3),
    ] {
        let seen = run(Play {
            seed,
            voters,
            ..Play::default()
        });
        assert!(seen.broken.is_empty(), "seed {seed}: {}", seen.broken[0]);
    }
}

#[test]
fn every_planted_fault_is_found() {
    let of_jobs = [
        InjectedBug::ActAfterLease,
        InjectedBug::ReleaseEarly,
        InjectedBug::ActAfterStop,
        InjectedBug::NoFence,
        InjectedBug::AcceptBeforeTokens,
        InjectedBug::ApplyWithGap,
        InjectedBug::ApplyOlderVersion,
    ];
    for (name, bug) in InjectedBug::ALL {
        // Without jobs, where the fault is not one of theirs, a play is short.
        let jobs = if of_jobs.contains(&bug) {
            Play::default().jobs
        } else {
            0
        };
        let play = |seed| Play {
            seed,
            jobs,
            bug: Some(bug),
            ..Play::default()
        };
        let found = (1..=400).find(|&seed| !run(play(seed)).broken.is_empty());
        assert!(found.is_some(), "{name} was not found in 400 plays");
    }
}

#[test]
fn a_seed_gives_the_same_play_each_time() {
    let (one, two) = (
        run(Play {
            seed: 9,
            ..Play::default()
        }),
        run(Play {
            seed: 9,
            ..Play::default()
        }),
    );
    assert_eq!(one.history, two.history);
    assert!(one.faults > 5);
}
