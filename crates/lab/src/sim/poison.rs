//! Experiment on the confinement by cells: the connections of one group (a "site" in the output)
//! become heavier for a while. It measures how many other groups are harmed, and what the cells
//! cost on a calm day.

use super::simulation::{GroupService, Plan, Report, Simulation};
use jaspermoor::cells::CellMap;
use jaspermoor::decisions::api::SECOND;
use std::fmt::Write;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Mutex;
use xxhash_rust::xxh3::Xxh3;

/// Parameters of the experiment.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// The first seed, and the number of seeds.
    pub seed: u64,
    /// See `seed`.
    pub seeds: u64,
    /// Number of backends.
    pub backends: usize,
    /// Number of relays.
    pub relays: usize,
    /// Backends per cell in the variant with cells.
    pub backends_per_cell: usize,
    /// Groups per backend.
    pub groups_per_backend: usize,
    /// Mean load divided by the total capacity.
    pub load: f64,
    /// Factor by which the poisoned group's connections become heavier.
    pub load_factor: f64,
    /// Number of threads.
    pub jobs: usize,
}

/// The variants with their numbers of cells.
fn variants(e: &Experiment) -> Vec<(&'static str, usize)> {
    let max_cells = jaspermoor::cells::MAX_CELLS;
    let cells = (e.backends / e.backends_per_cell.max(1)).clamp(1, max_cells);
    vec![
        ("one fleet (RJ-CH alone)", 1),
        ("cells", cells),
        (
            "a shard for each two servers",
            (e.backends / 2).clamp(1, max_cells),
        ),
    ]
}

/// Metrics of one run.
struct RunMetrics {
    /// By group: served share of the seconds asked for; `None` for the poisoned group and where
    /// nothing was asked.
    group_service: Vec<Option<f64>>,
    service: f64,
    crashes: f64,
    reach: f64,
    backends_per_group: f64,
}

fn run_metrics(report: &Report, poisoned: usize) -> RunMetrics {
    let others = || {
        report
            .groups
            .iter()
            .enumerate()
            .filter(|(n, s)| *n != poisoned && s.asked > 0.0)
            .map(|(_, s)| s)
    };
    let (asked, served) = others().fold((0.0, 0.0), |(a, b), s| (a + s.asked, b + s.served));
    let backends_per_group =
        others().map(|s| s.backends.len() as f64).sum::<f64>() / others().count().max(1) as f64;
    let group_share = |(n, s): (usize, &GroupService)| {
        (n != poisoned && s.asked > 0.0).then(|| s.served / s.asked)
    };
    let group_service = report.groups.iter().enumerate().map(group_share).collect();
    RunMetrics {
        group_service,
        service: served / asked,
        crashes: report.crashes as f64,
        reach: report.reach,
        backends_per_group,
    }
}

/// Share of the other groups whose service was below 95% of that on the same day without the
/// poisoned group.
fn harmed_share(calm: &RunMetrics, poisoned: &RunMetrics) -> f64 {
    let pairs: Vec<(f64, f64)> = calm
        .group_service
        .iter()
        .zip(&poisoned.group_service)
        .filter_map(|(a, b)| Some(((*a)?, (*b)?)))
        .collect();
    let harmed_groups = pairs
        .iter()
        .filter(|(calm, poisoned)| *poisoned < 0.95 * calm)
        .count();
    harmed_groups as f64 / pairs.len().max(1) as f64
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Runs all variants on all seeds, calm and poisoned, and returns a table with a digest of all
/// runs.
pub fn run(e: &Experiment) -> String {
    let variants = variants(e);
    let mut runs = Vec::new();
    for n in 0..e.seeds {
        for (variant, (_, cells)) in variants.iter().enumerate() {
            for poisoned in [false, true] {
                // A group of medium size; trouble with a large one is noticed beforehand.
                let group = 3;
                let poison = poisoned.then_some((group, e.load_factor, 40 * SECOND, 70 * SECOND));
                let plan = Plan {
                    seed: e.seed + n,
                    backends: e.backends,
                    relays: e.relays,
                    groups: e.backends * e.groups_per_backend.max(1),
                    size_exponent: 0.7,
                    load: e.load,
                    length: 100 * SECOND,
                    poison,
                    cells: CellMap::with_equal_cells(*cells),
                    list_delay: 3 * SECOND,
                };
                runs.push((variant, poisoned, group, plan));
            }
        }
    }
    let (next, results) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..e.jobs.max(1) {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Relaxed);
                let Some((variant, poisoned, group, plan)) = runs.get(index) else {
                    return;
                };
                let report = Simulation::new(plan.clone()).run();
                let row = (
                    index,
                    *variant,
                    *poisoned,
                    run_metrics(&report, *group),
                    report.digest,
                    report.events,
                );
                results.lock().unwrap_or_else(|e| e.into_inner()).push(row);
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(|e| e.into_inner());
    // In the order of the runs, whichever finished first.
    results.sort_by_key(|row| row.0);
    let mut digest = Xxh3::new();
    results
        .iter()
        .for_each(|row| digest.update(&row.4.to_le_bytes()));
    let events: u64 = results.iter().map(|row| row.5).sum();
    let mut out = format!(
        "{} servers, {} relays, {} sites, load {}, one site {} times heavier for 30 s; medians of {} seeds, {events} \
         events\n\n{:30} {:>6} {:>8} {:>9} {:>7} {:>6} {:>7} {:>9}\n",
        e.backends, e.relays, e.backends * e.groups_per_backend, e.load, e.load_factor, e.seeds, "variant", "cells", "calm", "poisoned",
        "harmed", "falls", "reach", "a site on"
    );
    for (n, (name, cells)) in variants.iter().enumerate() {
        let runs = |poisoned: bool| {
            results
                .iter()
                .filter(move |r| r.1 == n && r.2 == poisoned)
                .map(|r| &r.3)
        };
        let median_of = |poisoned: bool, metric: fn(&RunMetrics) -> f64| {
            median(runs(poisoned).map(metric).collect())
        };
        let harmed_share = median(
            runs(false)
                .zip(runs(true))
                .map(|(calm, poisoned)| harmed_share(calm, poisoned))
                .collect(),
        );
        // Writing to a String cannot fail.
        let _ = writeln!(
            out,
            "{name:30} {cells:6} {:8.3} {:9.3} {:6.1}% {:6.0} {:6.1}% {:9.1}",
            median_of(false, |f| f.service),
            median_of(true, |f| f.service),
            100.0 * harmed_share,
            median_of(true, |f| f.crashes),
            100.0 * median_of(true, |f| f.reach),
            median_of(false, |f| f.backends_per_group),
        );
    }
    let _ = writeln!(
        out,
        "\ncalm, poisoned: service of all other sites; harmed: other sites under 19 in 20 of their calm day;\n\
         reach: servers that held the poisoned site; a site on: servers that hold any of a site in a calm run\n\
         digest {:016x}",
        digest.digest()
    );
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    fn small(jobs: usize, seed: u64) -> String {
        run(&Experiment {
            seed,
            seeds: 2,
            backends: 8,
            relays: 2,
            backends_per_cell: 4,
            groups_per_backend: 3,
            load: 0.6,
            load_factor: 12.0,
            jobs,
        })
    }

    #[test]
    fn results_depend_on_the_seed_and_not_on_the_number_of_threads() {
        let (one, four, other) = (small(1, 5), small(4, 5), small(4, 6));
        assert_eq!(one, four);
        assert_ne!(one.lines().last(), other.lines().last());
    }

    #[test]
    fn a_poisoned_group_stays_in_its_cell() {
        let plan = |cells| Plan {
            seed: 9,
            backends: 12,
            relays: 2,
            groups: 60,
            size_exponent: 0.7,
            load: 0.5,
            length: 60 * SECOND,
            poison: Some((3, 12.0, 25 * SECOND, 50 * SECOND)),
            cells: CellMap::with_equal_cells(cells),
            list_delay: SECOND,
        };
        let (plain, cells) = (
            Simulation::new(plan(1)).run(),
            Simulation::new(plan(4)).run(),
        );
        let map = CellMap::with_equal_cells(4);
        let home = map.home(4).0;
        // Groups of other cells must share no backend with it.
        let held = &cells.groups[3].backends;
        for (n, group) in cells
            .groups
            .iter()
            .enumerate()
            .filter(|(n, _)| map.home(*n as u64 + 1).0 != home)
        {
            assert!(
                group.backends.is_disjoint(held),
                "group {n} shared a backend with the poisoned one"
            );
        }
        assert!(
            cells.reach <= plain.reach,
            "{} and {}",
            cells.reach,
            plain.reach
        );
        assert!(plain.events > 1_000 && cells.crashes < 12);
    }
}
