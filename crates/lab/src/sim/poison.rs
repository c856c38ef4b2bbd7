//! The experiment for which cells are made: one site's connections turn heavy for a while. How far does it reach, and
//! what does the confinement cost where nothing is wrong?

use super::simulation::{Plan, Report, Served, World};
use jaspermoor::cells::CellMap;
use jaspermoor::decisions::api::SECOND;
use std::fmt::Write;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Mutex;
use xxhash_rust::xxh3::Xxh3;

/// What is tried.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// The first seed, and how many.
    pub seed: u64,
    /// See `seed`.
    pub seeds: u64,
    /// Servers.
    pub backends: usize,
    /// Relays.
    pub relays: usize,
    /// Servers of a cell in the variant with cells.
    pub backends_per_cell: usize,
    /// Sites for each server.
    pub groups_per_backend: usize,
    /// Mean load.
    pub load: f64,
    /// How many times heavier.
    pub load_factor: f64,
    /// Threads.
    pub jobs: usize,
}

/// The variants, by the number of their cells.
fn variants(e: &Experiment) -> Vec<(&'static str, usize)> {
    let most = jaspermoor::cells::MAX_CELLS;
    let cells = (e.backends / e.backends_per_cell.max(1)).clamp(1, most);
    vec![
        ("one fleet (RJ-CH alone)", 1),
        ("cells", cells),
        (
            "a shard for each two servers",
            (e.backends / 2).clamp(1, most),
        ),
    ]
}

/// Of a run.
struct Figures {
    /// The share of the seconds asked for that each site was served in; none where nothing was asked.
    sites: Vec<Option<f64>>,
    service: f64,
    falls: f64,
    reach: f64,
    spread: f64,
}

fn figures(report: &Report, poisoned: usize) -> Figures {
    let others = || {
        report
            .sites
            .iter()
            .enumerate()
            .filter(|(n, s)| *n != poisoned && s.asked > 0.0)
            .map(|(_, s)| s)
    };
    let (asked, served) = others().fold((0.0, 0.0), |(a, b), s| (a + s.asked, b + s.served));
    let spread =
        others().map(|s| s.servers.len() as f64).sum::<f64>() / others().count().max(1) as f64;
    let share =
        |(n, s): (usize, &Served)| (n != poisoned && s.asked > 0.0).then(|| s.served / s.asked);
    let sites = report.sites.iter().enumerate().map(share).collect();
    Figures {
        sites,
        service: served / asked,
        falls: report.falls as f64,
        reach: report.reach,
        spread,
    }
}

/// The share of the other sites that had less than 19 in 20 of what they have on the same day without the poison.
fn harmed(calm: &Figures, poisoned: &Figures) -> f64 {
    let pairs: Vec<(f64, f64)> = calm
        .sites
        .iter()
        .zip(&poisoned.sites)
        .filter_map(|(a, b)| Some(((*a)?, (*b)?)))
        .collect();
    let less = pairs
        .iter()
        .filter(|(calm, poisoned)| *poisoned < 0.95 * calm)
        .count();
    less as f64 / pairs.len().max(1) as f64
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Runs all variants on all seeds, calm and poisoned, and writes a table and one digest over all runs.
pub fn run(e: &Experiment) -> String {
    let variants = variants(e);
    let mut runs = Vec::new();
    for n in 0..e.seeds {
        for (variant, (_, cells)) in variants.iter().enumerate() {
            for poisoned in [false, true] {
                // A site of middling size: large ones are seen coming.
                let site = 3;
                let poison = poisoned.then_some((site, e.load_factor, 40 * SECOND, 70 * SECOND));
                let plan = Plan {
                    seed: e.seed + n,
                    servers: e.backends,
                    relays: e.relays,
                    sites: e.backends * e.groups_per_backend.max(1),
                    skew: 0.7,
                    load: e.load,
                    length: 100 * SECOND,
                    poison,
                    cells: CellMap::with_equal_cells(*cells),
                    list_delay: 3 * SECOND,
                };
                runs.push((variant, poisoned, site, plan));
            }
        }
    }
    let (next, results) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..e.jobs.max(1) {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Relaxed);
                let Some((variant, poisoned, site, plan)) = runs.get(at) else {
                    return;
                };
                let report = World::new(plan.clone()).run();
                let row = (
                    at,
                    *variant,
                    *poisoned,
                    figures(&report, *site),
                    report.digest,
                    report.events,
                );
                results.lock().unwrap_or_else(|e| e.into_inner()).push(row);
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(|e| e.into_inner());
    // In the order of the plan, whoever was faster.
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
        let of = |poisoned: bool, figure: fn(&Figures) -> f64| {
            median(runs(poisoned).map(figure).collect())
        };
        let harm = median(
            runs(false)
                .zip(runs(true))
                .map(|(calm, poisoned)| harmed(calm, poisoned))
                .collect(),
        );
        // Writing to a text cannot fail.
        let _ = writeln!(
            out,
            "{name:30} {cells:6} {:8.3} {:9.3} {:6.1}% {:6.0} {:6.1}% {:9.1}",
            of(false, |f| f.service),
            of(true, |f| f.service),
            100.0 * harm,
            of(true, |f| f.falls),
            100.0 * of(true, |f| f.reach),
            of(false, |f| f.spread),
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
    fn one_seed_is_one_run_on_any_number_of_threads() {
        let (one, four, other) = (small(1, 5), small(4, 5), small(4, 6));
        assert_eq!(one, four);
        assert_ne!(one.lines().last(), other.lines().last());
    }

    #[test]
    fn a_poisoned_site_stays_in_its_cell() {
        let plan = |cells| Plan {
            seed: 9,
            servers: 12,
            relays: 2,
            sites: 60,
            skew: 0.7,
            load: 0.5,
            length: 60 * SECOND,
            poison: Some((3, 12.0, 25 * SECOND, 50 * SECOND)),
            cells: CellMap::with_equal_cells(cells),
            list_delay: SECOND,
        };
        let (plain, cells) = (World::new(plan(1)).run(), World::new(plan(4)).run());
        let map = CellMap::with_equal_cells(4);
        let home = map.home(4).0;
        // Sites of other cells share no server with it.
        let held = &cells.sites[3].servers;
        for (n, site) in cells
            .sites
            .iter()
            .enumerate()
            .filter(|(n, _)| map.home(*n as u64 + 1).0 != home)
        {
            assert!(
                site.servers.is_disjoint(held),
                "site {n} met the poisoned one"
            );
        }
        assert!(
            cells.reach <= plain.reach,
            "{} and {}",
            cells.reach,
            plain.reach
        );
        assert!(plain.events > 1_000 && cells.falls < 12);
    }
}
