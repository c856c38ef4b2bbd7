//! `jaspermoor-lab faults`: fleets of processes under faults, from the command line.

use argh::FromArgs;
use indicatif::{ProgressBar, ProgressStyle};
use jaspermoor_control::InjectedBug;
use jaspermoor_lab::faults::figures::ProcessTraffic;
use jaspermoor_lab::faults::harness::{play, write_history, Ground, Played};
use jaspermoor_lab::faults::plot;
use jaspermoor_lab::faults::scenario::{Harm, Scenario, NAMED};
use jaspermoor_lab::faults::virtual_fleet;
use jaspermoor_lab::relay;
use std::collections::BTreeMap;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

type Failure = Box<dyn Error>;

/// Starts fleets of relays, does harm to them, and looks whether the rules held.
#[derive(FromArgs)]
#[argh(subcommand, name = "faults")]
pub struct Faults {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(Run),
    List(List),
    Replay(Replay),
    Shrink(Shrink),
    Sim(Sim),
}

/// Plays a scenario with real processes: exit code 1 where a rule is broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// a scenario's name, a file, or 'policy' or 'owners' for random plays
    #[argh(positional)]
    what: String,
    /// the seed of the first random play (default 1); each further one has the next
    #[argh(option, default = "1")]
    seed: u64,
    /// how many plays (default 1)
    #[argh(option, default = "1")]
    plays: u64,
    /// a injected fault, or 'list' for their names
    #[argh(option)]
    bug: Option<String>,
    /// where history, scenarios and pictures go (default: faults-out)
    #[argh(option, default = "PathBuf::from(\"faults-out\")")]
    out: PathBuf,
    /// keep history and picture of each play, not only of those that broke a rule
    #[argh(switch)]
    keep: bool,
    /// one JSON object a play
    #[argh(switch)]
    json: bool,
}

/// Names the scenarios and the injected faults.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// Plays the scenario of a saved history, or of a file, again.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
struct Replay {
    /// the history or scenario
    #[argh(positional)]
    file: PathBuf,
    /// a injected fault
    #[argh(option)]
    bug: Option<String>,
    /// where history and picture go (default: faults-out)
    #[argh(option, default = "PathBuf::from(\"faults-out\")")]
    out: PathBuf,
}

/// Leaves out of a scenario what is not needed for a rule to break, and prints the rest.
#[derive(FromArgs)]
#[argh(subcommand, name = "shrink")]
struct Shrink {
    /// the history or scenario
    #[argh(positional)]
    file: PathBuf,
    /// a injected fault
    #[argh(option)]
    bug: Option<String>,
    /// plays of each shortened scenario before it counts as sound (default 2)
    #[argh(option, default = "2")]
    tries: u32,
}

/// The second from which traffic counts: before it the fleet comes together.
const WARM_UP: usize = 5;

/// Plays fleets in one process, on a virtual network, disk and clock.
#[derive(FromArgs)]
#[argh(subcommand, name = "sim")]
struct Sim {
    /// the first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// how many (default 1000)
    #[argh(option, default = "1000")]
    plays: u64,
    /// voters, and relays beside them (default 3 and 3)
    #[argh(option, default = "3")]
    voters: usize,
    /// see --voters
    #[argh(option, default = "3")]
    observers: usize,
    /// a injected fault
    #[argh(option)]
    bug: Option<String>,
    /// no faults: what the fleet costs, in time and bytes
    #[argh(switch)]
    calm: bool,
    /// jobs that the fleet has owners for (default 6)
    #[argh(option, default = "6")]
    jobs: usize,
    /// zones whose backends' loads are watched, and backends of each (default 1 and 6)
    #[argh(option, default = "1")]
    zones: usize,
    /// see --zones
    #[argh(option, default = "6")]
    backends: usize,
    /// every so many-th process is of a build that knows no deliveries (default 0: none)
    #[argh(option, default = "0")]
    older: usize,
    /// all processes are started anew one after the other, voters first
    #[argh(switch)]
    rolling: bool,
    /// no drawn faults: owners of jobs are killed, stopped and relieved, and the time without an owner is printed
    #[argh(switch)]
    owners_fail: bool,
    /// where the history of the last play goes, as lines of JSON
    #[argh(option)]
    history: Option<PathBuf>,
}

/// Runs it.
pub fn run(faults: Faults) -> Result<(), Failure> {
    match faults.command {
        Command::List(_) => {
            for (name, text) in NAMED {
                println!("{name:<16} {}", Scenario::read(text)?.about);
            }
            println!(
                "{:<16} random plays of changes, by --seed and --plays",
                "policy"
            );
            println!(
                "{:<16} random plays of jobs whose owners come to harm, by --seed and --plays",
                "owners"
            );
            println!(
                "injected faults: {}",
                InjectedBug::ALL.map(|(name, _)| name).join(" ")
            );
            Ok(())
        }
        Command::Run(run) if run.bug.as_deref() == Some("list") => {
            InjectedBug::ALL
                .iter()
                .for_each(|(name, _)| println!("{name}"));
            Ok(())
        }
        Command::Run(run) => run_plays(&run),
        Command::Replay(replay) => {
            let scenario = read(&replay.file)?;
            let played = one(&scenario, replay.bug.as_deref())?;
            keep(&replay.out, "replay", &scenario, &played)?;
            say(&played);
            closing(1, u64::from(!played.broken.is_empty()))
        }
        Command::Shrink(shrink) => {
            let scenario = read(&shrink.file)?;
            let mut last = None;
            let mut broken = |scenario: &Scenario| {
                (0..shrink.tries).any(|_| match one(scenario, shrink.bug.as_deref()) {
                    Ok(played) => {
                        last = played
                            .broken
                            .first()
                            .map(ToString::to_string)
                            .or(last.take());
                        !played.broken.is_empty()
                    }
                    Err(_) => false,
                })
            };
            if !broken(&scenario) {
                return Err(
                    "the whole scenario breaks no rule: give more --tries, or the --bug it was found with"
                        .into(),
                );
            }
            let least = scenario.shrink(broken);
            eprintln!(
                "{} of {} steps are left; {}",
                least.step.len(),
                scenario.step.len(),
                last.unwrap_or_default()
            );
            println!("{}", least.text());
            Ok(())
        }
        Command::Sim(sim) => run_sim(&sim),
    }
}

fn injected(name: Option<&str>) -> Result<Option<InjectedBug>, Failure> {
    match name {
        None => Ok(None),
        Some(name) => match InjectedBug::by_name(name) {
            Some(bug) => Ok(Some(bug)),
            None => {
                Err(format!("no injected fault is named '{name}'; --bug list names them").into())
            }
        },
    }
}

/// A scenario from its file, or from the first line of a history.
fn read(file: &Path) -> Result<Scenario, Failure> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| format!("{}: cannot be read: {e}", file.display()))?;
    if text.starts_with('{') {
        let first = text.lines().next().unwrap_or_default();
        return Ok(serde_json::from_str(first).map_err(|e| format!("{}:1: {e}", file.display()))?);
    }
    Ok(Scenario::read(&text).map_err(|e| format!("{}: {e}", file.display()))?)
}

fn one(scenario: &Scenario, bug: Option<&str>) -> Result<Played, Failure> {
    injected(bug)?;
    let dir = tempfile::tempdir()?;
    let ground = Ground {
        program: relay::program()?,
        dir: dir.path().into(),
        bug: bug.map(String::from),
    };
    Ok(play(&ground, scenario)?)
}

fn keep(out: &Path, name: &str, scenario: &Scenario, played: &Played) -> Result<(), Failure> {
    std::fs::create_dir_all(out)?;
    write_history(
        &out.join(format!("{name}.jsonl")),
        scenario,
        &played.history,
    )?;
    std::fs::write(out.join(format!("{name}.toml")), scenario.text())?;
    let title = format!("{}: {}", name, scenario.about);
    plot::draw(&out.join(format!("{name}.svg")), &title, &played.history)?;
    Ok(())
}

fn say(played: &Played) {
    for broken in &played.broken {
        eprintln!("broken: {broken}");
    }
}

/// The last line, and the exit code that follows from it.
fn closing(plays: u64, broken: u64) -> Result<(), Failure> {
    println!("plays {plays}, broken {broken}");
    if broken > 0 {
        Err(format!("{broken} of {plays} plays broke a rule").into())
    } else {
        Ok(())
    }
}

fn progress(plays: u64) -> ProgressBar {
    let bar = ProgressBar::new(plays);
    let style = ProgressStyle::with_template("{bar:30} {pos}/{len} {msg} {eta}");
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn run_plays(run: &Run) -> Result<(), Failure> {
    injected(run.bug.as_deref())?;
    let bar = progress(run.plays);
    let (mut broken, mut took, mut admitted): (u64, Vec<Duration>, usize) = (0, Vec::new(), 0);
    let mut taken: BTreeMap<Harm, Vec<Duration>> = BTreeMap::new();
    for n in 0..run.plays {
        let seed = run.seed + n;
        let (name, scenario) = match NAMED.iter().find(|(name, _)| *name == run.what) {
            _ if run.what == "policy" => (format!("policy-{seed}"), Scenario::random(seed)),
            _ if run.what == "owners" => (format!("owners-{seed}"), Scenario::random_owners(seed)),
            Some((name, text)) => (format!("{name}-{n}"), Scenario::read(text)?),
            None => (format!("play-{n}"), read(Path::new(&run.what))?),
        };
        let played = one(&scenario, run.bug.as_deref())?;
        if !played.broken.is_empty() {
            broken += 1;
            bar.suspend(|| {
                eprintln!("{name} (seed {seed}):");
                say(&played);
            });
        }
        if run.keep || !played.broken.is_empty() {
            keep(&run.out, &name, &scenario, &played)?;
        }
        if run.json {
            let line = serde_json::json!({
                "play": name, "seed": seed, "admitted": played.admitted, "refused": played.refused,
                "took_ms": played.took.iter().map(|t| t.as_millis() as u64).collect::<Vec<_>>(),
                "taken_ms": played.taken.iter().map(|(harm, t)| (harm, t.as_millis() as u64)).collect::<Vec<_>>(),
                "probes": played.probes,
                "broken": played.broken.iter().map(ToString::to_string).collect::<Vec<_>>(),
            });
            bar.suspend(|| println!("{line}"));
        }
        admitted += played.admitted;
        took.extend(&played.took);
        for (harm, time) in &played.taken {
            taken.entry(*harm).or_default().push(*time);
        }
        bar.set_message(format!("broken {broken}"));
        bar.inc(1);
    }
    bar.finish_and_clear();
    took.sort();
    if let (Some(median), Some(most)) = (took.get(took.len() / 2), took.last()) {
        let (median, most) = (median.as_millis(), most.as_millis());
        println!(
            "{admitted} clients admitted; {} changes in force, median {median} ms, worst {most} ms",
            took.len()
        );
    }
    for (harm, mut times) in taken {
        times.sort();
        let (median, most) = (
            times[times.len() / 2].as_millis(),
            times[times.len() - 1].as_millis(),
        );
        println!(
            "owner {harm:?}: {} times, until another is obeyed median {median} ms, worst {most} ms",
            times.len()
        );
    }
    closing(run.plays, broken)
}

/// What a play without faults has cost: the traffic of the voter and of the relay that had most, by type of message, and
/// how old the loads were that relays knew.
fn say_cost(sim: &Sim, seen: &virtual_fleet::Seen) {
    let ms = |n: usize| seen.took.get(n).map_or(0.0, |us| *us as f64 / 1e3);
    let (median, most) = (
        ms(seen.took.len() / 2),
        ms(seen.took.len().saturating_sub(1)),
    );
    println!(
        "{} changes; until the last relay has one: median {median:.0} ms, worst {most:.0} ms",
        seen.took.len()
    );
    let rate = |bytes: u64| bytes as f64 * 1e6 / seen.length.max(1) as f64;
    let (voters, others) = seen
        .traffic
        .of
        .split_at(sim.voters.min(seen.traffic.of.len()));
    for (role, of) in [("voter", voters), ("relay", others)] {
        let window = |of: &&ProcessTraffic| of.worst_window(WARM_UP) as u64;
        let Some(most) = of.iter().max_by_key(window) else {
            continue;
        };
        let worst = window(&most);
        println!(
            "the {role} with the worst 10 s: {worst} bytes a second in them; sends {:.0} and receives {:.0} a second",
            rate(most.bytes_sent()),
            rate(most.bytes_received())
        );
        for (way, volumes) in [("sends", &most.sent), ("receives", &most.received)] {
            for (name, volume) in volumes {
                let (bytes, messages) = (rate(volume.bytes), rate(volume.messages));
                println!("  {way} {name}: {bytes:.0} bytes in {messages:.1} messages a second");
            }
        }
    }
    for (what, ages) in [("any zone", &seen.ages), ("the own zone", &seen.ages_near)] {
        let [half, most, worst] = [50, 99, 100].map(|percent| ages.percentile(percent));
        println!(
            "loads of {what}: {} looks; age median {half}, 99th percentile {most}, worst {worst} ms",
            ages.count()
        );
    }
}

fn run_sim(sim: &Sim) -> Result<(), Failure> {
    let bug = injected(sim.bug.as_deref())?;
    let (bar, begin) = (progress(sim.plays), Instant::now());
    let (mut broken, mut epochs, mut faults) = (0, 0, 0);
    let (mut orders, mut checkpoints, mut hands) = ([0, 0], 0, 0);
    let mut ownerless: [Vec<u64>; 3] = Default::default();
    for seed in sim.seed..sim.seed + sim.plays {
        let play = virtual_fleet::Play {
            seed,
            voters: sim.voters,
            observers: sim.observers,
            bug,
            faults: !sim.calm && !sim.owners_fail,
            jobs: sim.jobs,
            zones: sim.zones,
            backends: sim.backends,
            older: sim.older,
            rolling: sim.rolling,
            owners_fail: sim.owners_fail,
            length: if sim.owners_fail {
                60_000_000
            } else {
                virtual_fleet::Play::default().length
            },
            ..virtual_fleet::Play::default()
        };
        let seen = virtual_fleet::run(play);
        (epochs, faults) = (epochs + seen.epoch, faults + seen.faults);
        orders = [orders[0] + seen.orders[0], orders[1] + seen.orders[1]];
        (checkpoints, hands) = (checkpoints + seen.checkpoints, hands + seen.hands);
        (0..3).for_each(|n| ownerless[n].push(seen.ownerless[n]));
        if sim.calm {
            bar.suspend(|| say_cost(sim, &seen));
        }
        if let Some(history) = sim
            .history
            .as_ref()
            .filter(|_| seed + 1 == sim.seed + sim.plays)
        {
            let lines: Result<Vec<String>, _> =
                seen.history.iter().map(serde_json::to_string).collect();
            std::fs::write(history, lines?.join("\n") + "\n")?;
        }
        if let Some(first) = seen.broken.first() {
            broken += 1;
            bar.suspend(|| eprintln!("seed {seed}: {first}"));
            if bug.is_some() {
                bar.finish_and_clear();
                println!("found at seed {seed}, play {}", seed - sim.seed + 1);
                return closing(seed - sim.seed + 1, broken);
            }
        }
        bar.inc(1);
    }
    bar.finish_and_clear();
    if sim.owners_fail {
        for (what, times) in ["killed", "stopped", "handed over"]
            .iter()
            .zip(&mut ownerless)
        {
            times.sort_unstable();
            let ms = |n: usize| times.get(n).map_or(0, |us| us / 1_000);
            let (median, most) = (ms(times.len() / 2), ms(times.len().saturating_sub(1)));
            println!(
                "owner {what}: nobody could act for {median} ms in the median, {most} ms at worst"
            );
        }
    }
    println!(
        "{hands} times a job was given; {} orders obeyed, {} refused by a fence; {checkpoints} checkpoints",
        orders[0], orders[1]
    );
    println!(
        "{epochs} policies came into force, {faults} faults, {:.1} s",
        begin.elapsed().as_secs_f64()
    );
    closing(sim.plays, broken)
}
