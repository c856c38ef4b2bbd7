//! `jaspermoor-lab fleet`: commands that play days, run experiments and calibrate the emulator.

use argh::FromArgs;
use jaspermoor_lab::fleet::calibrate;
use jaspermoor_lab::fleet::days::Day;
use jaspermoor_lab::fleet::experiment::{self, metric_index, Experiment};
use jaspermoor_lab::fleet::policy::Policy;
use jaspermoor_lab::fleet::report;
use jaspermoor_lab::fleet::scenario::Scenario;
use jaspermoor_lab::fleet::simulation::{Simulation, Variant};
use jaspermoor_lab::fleet::stats::METRIC_NAMES;
use std::collections::BTreeMap;
use std::error::Error;
use std::path::PathBuf;

type Failure = Box<dyn Error>;

/// Plays a whole fleet on a virtual clock, with the relay's own decisions.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
pub struct Fleet {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Play(Play),
    Calibrate(Calibrate),
    Run(Run),
}

/// Plays an experiment and prints a comparison of each variant with the first one.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// the experiment's file
    #[argh(positional)]
    file: PathBuf,
    /// number of seeds, in place of the file's
    #[argh(option)]
    seeds: Option<u64>,
    /// the variant with which the others are compared (default: the first)
    #[argh(option)]
    base: Option<String>,
    /// threads (default: the number of processors); no result depends on it
    #[argh(option, default = "processors()")]
    jobs: usize,
}

/// Compares the emulator with the days recorded in a journal's entries.
#[derive(FromArgs)]
#[argh(subcommand, name = "calibrate")]
struct Calibrate {
    /// the journal's folder
    #[argh(option, default = "PathBuf::from(\"journal\")")]
    journal: PathBuf,
    /// entries whose name (a time as 20261201T2000) is this or later
    #[argh(option, default = "String::new()")]
    since: String,
    /// seeds of each kind (default 8)
    #[argh(option, default = "8")]
    seeds: u64,
    /// threads (default: the number of processors); no result depends on it
    #[argh(option, default = "processors()")]
    jobs: usize,
    /// a parameter of the decisions as NAME=VALUE; may be repeated
    #[argh(option)]
    set: Vec<String>,
}

fn processors() -> usize {
    std::thread::available_parallelism().map_or(1, |n| n.get())
}

/// Plays one day and prints its figures.
#[derive(FromArgs)]
#[argh(subcommand, name = "play")]
struct Play {
    /// the day: a name (calm, roll, herd, zone, split, join) or the path of a .toml file
    #[argh(positional)]
    day: String,
    /// the seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// relays, in place of what the day draws
    #[argh(option)]
    relays: Option<usize>,
    /// backends, in place of what the day draws
    #[argh(option)]
    backends: Option<usize>,
    /// a parameter of the decisions as NAME=VALUE; may be repeated
    #[argh(option)]
    set: Vec<String>,
    /// place connections at random
    #[argh(switch)]
    chance: bool,
    /// one relay per zone probes for all relays (the job load/ZONE)
    #[argh(switch)]
    load_watch: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

fn policy(set: &[String], chance: bool) -> Result<Policy, Failure> {
    let mut named = BTreeMap::new();
    for text in set {
        let (name, value) = text
            .split_once('=')
            .ok_or(format!("--set {text}: expected NAME=VALUE"))?;
        let value: f64 = value
            .parse()
            .map_err(|_| format!("--set {text}: '{value}' is not a number"))?;
        named.insert(name.to_string(), value);
    }
    if chance {
        return Ok(Policy::Random);
    }
    Ok(Policy::Relay(Box::new(experiment::parameters(&named)?)))
}

/// Runs a command; returns false if a rule was broken.
pub fn run(fleet: Fleet) -> Result<bool, Failure> {
    match fleet.command {
        Command::Play(p) => play(&p),
        Command::Calibrate(c) => run_calibration(&c),
        Command::Run(r) => run_experiment(&r),
    }
}

fn run_experiment(r: &Run) -> Result<bool, Failure> {
    let mut experiment = Experiment::load(&r.file)?;
    if let Some(seeds) = r.seeds {
        experiment.seeds = (1..=seeds).collect();
    }
    let base = r
        .base
        .clone()
        .unwrap_or_else(|| experiment.variants[0].name.clone());
    if !experiment.variants.iter().any(|v| v.name == base) {
        return Err(format!("--base {base}: the experiment has no variant of this name").into());
    }
    let cells = experiment.cells();
    let progress = indicatif::ProgressBar::new(cells.len() as u64);
    let mut rows = Vec::new();
    experiment.run(&cells, r.jobs, |row| {
        rows.push(row);
        progress.inc(1);
        true
    });
    progress.finish_and_clear();
    rows.sort_by(|a, b| a.cell.cmp(&b.cell));
    let digest = rows
        .iter()
        .fold(0u64, |digest, row| digest.rotate_left(5) ^ row.digest);
    print!("{}", report::text(&rows, &base));
    println!("{} cells; digest {digest:016x}", rows.len());
    Ok(rows.iter().all(|row| row.first_violation.is_empty()))
}

fn run_calibration(c: &Calibrate) -> Result<bool, Failure> {
    let recorded = calibrate::read(&c.journal, &c.since)?;
    if recorded.is_empty() {
        return Err(format!(
            "{}: no entry of a full fleet since '{}'",
            c.journal.display(),
            c.since
        )
        .into());
    }
    print!(
        "{}",
        calibrate::compare(&recorded, c.seeds, c.jobs, policy(&c.set, false)?)?.text
    );
    Ok(true)
}

fn play(p: &Play) -> Result<bool, Failure> {
    let day = Day::load(&p.day)?.with_size(p.relays, p.backends);
    let variant = Variant {
        policy: policy(&p.set, p.chance)?,
        cells: Default::default(),
        load_watch: p.load_watch,
    };
    let scenario = Scenario::draw(&day, p.seed);
    let (relays, backends, groups) = (scenario.relays, scenario.backends, scenario.groups);
    let start = std::time::Instant::now();
    let mut out = Simulation::new(scenario, variant, None).run();
    let seconds = start.elapsed().as_secs_f64();
    let metrics = experiment::metrics(&mut out, &day, relays, groups);
    if p.json {
        let named: BTreeMap<&str, f64> = METRIC_NAMES
            .iter()
            .copied()
            .zip(metrics.iter().copied())
            .collect();
        let steps: Vec<_> = out
            .stats
            .steps
            .iter()
            .map(|s| [s.load, f64::from(s.attempts), f64::from(s.refused)])
            .collect();
        let digest = format!("{:016x}", out.digest);
        let violations: Vec<String> = out
            .violations
            .iter()
            .map(|violation| violation.to_string())
            .collect();
        let output = serde_json::json!({ "day": day.name, "seed": p.seed, "relays": relays, "backends": backends,
            "figures": named, "steps": steps, "breaks": violations, "digest": digest, "events": out.events });
        println!("{}", serde_json::to_string_pretty(&output)?);
        return Ok(out.violations.is_empty());
    }
    println!(
        "{} seed {}: {relays} relays, {backends} backends, {groups} groups ({})",
        day.name, p.seed, day.about
    );
    for line in METRIC_NAMES
        .iter()
        .zip(&metrics)
        .collect::<Vec<_>>()
        .chunks(4)
    {
        let cells: Vec<String> = line
            .iter()
            .map(|(name, x)| format!("{name:22} {x:8.3}"))
            .collect();
        println!("  {}", cells.join("  "));
    }
    println!("  second  load  warmth  attempts  refused  moves  pairs  wanting  list age  served");
    for (n, steps) in out.stats.steps.chunks(10).enumerate() {
        let mean = |of: &dyn Fn(&jaspermoor_lab::fleet::stats::Step) -> f64| {
            steps.iter().map(of).sum::<f64>() / steps.len() as f64
        };
        let sum = |of: &dyn Fn(&jaspermoor_lab::fleet::stats::Step) -> u32| {
            steps.iter().map(of).sum::<u32>()
        };
        println!(
            "  {n:6}  {:4.2}  {:6.2}  {:8}  {:7}  {:5}  {:5.0}  {:7.0}  {:8.1}  {:6.3}",
            mean(&|s| s.load),
            mean(&|s| s.warmth),
            sum(&|s| s.attempts),
            sum(&|s| s.refused),
            sum(&|s| s.moves),
            mean(&|s| f64::from(s.pairs)),
            mean(&|s| f64::from(s.wanting_clients)),
            mean(&|s| s.list_age),
            mean(&|s| s.served) / mean(&|s| s.asked).max(1e-9)
        );
    }
    out.violations
        .iter()
        .for_each(|violation| println!("  broken: {violation}"));
    println!(
        "{} events in {seconds:.2} s; G {:.3}; digest {:016x}",
        out.events,
        metrics[metric_index("G").unwrap_or(0)],
        out.digest
    );
    Ok(out.violations.is_empty())
}
