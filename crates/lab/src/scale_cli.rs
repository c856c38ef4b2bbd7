//! `jaspermoor-lab scale`: runs of a whole fleet, and what follows from their figures, from the command line.

use argh::FromArgs;
use jaspermoor_lab::scale::error::ScaleError;
use jaspermoor_lab::scale::fit::page::Page;
use jaspermoor_lab::scale::fit::{read_all, tables};
use jaspermoor_lab::scale::plan::{FaultKind, Plan};
use jaspermoor_lab::scale::record::{append, read, Record};
use jaspermoor_lab::scale::{self, guard, hollow, summary};
use std::error::Error;
use std::path::{Path, PathBuf};

type Failure = Box<dyn Error>;

/// Runs a fleet at the size of an installation, and fits lines through the figures of such runs.
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
pub struct Scale {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(Run),
    Fit(Fit),
    Host(Host),
    Guard(GuardOf),
}

/// Runs a fleet of voters, relays and hollow relays, and measures it. Exit code 1 where a rule is broken, 2 for bad input.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// relays in all (default 50)
    #[argh(option, default = "50")]
    relays: usize,
    /// relays with a process of their own that have no vote (default 4)
    #[argh(option, default = "4")]
    real: usize,
    /// voters, each with a process of its own (default 5)
    #[argh(option, default = "5")]
    voters: usize,
    /// jobs: the load watch of so many zones, and with 6 the paced moves, too (default 6)
    #[argh(option, default = "6")]
    jobs: usize,
    /// policy changes after the steady part, one after the other (default 5)
    #[argh(option, default = "5")]
    changes: usize,
    /// seconds of the steady part (default 20)
    #[argh(option, default = "20")]
    seconds: u64,
    /// what is done to the fleet then: none (default), leader-killed, rolling-restart or zone-lost
    #[argh(option, default = "FaultKind::None", from_str_fn(fault))]
    faults: FaultKind,
    /// what is drawn is drawn by it (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// backends on the list (default 30)
    #[argh(option, default = "30")]
    backends: usize,
    /// what distinguishes this result from others
    #[argh(option, default = "String::new()")]
    label: String,
    /// the file that the result is appended to, as a line of JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

fn fault(text: &str) -> Result<FaultKind, String> {
    text.parse().map_err(|e: ScaleError| e.to_string())
}

/// Internal: a process of hollow relays, which a run starts.
#[derive(FromArgs)]
#[argh(subcommand, name = "host")]
struct Host {}

/// Internal: ends what a run has left, which starts it.
#[derive(FromArgs)]
#[argh(subcommand, name = "guard")]
struct GuardOf {
    /// the run's directory
    #[argh(positional)]
    directory: PathBuf,
}

/// Fits lines through results, and writes the tables of the page on capacity.
#[derive(FromArgs)]
#[argh(subcommand, name = "fit")]
struct Fit {
    /// files with results, as lines of JSON
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// where the tables go (default: the standard output)
    #[argh(option)]
    markdown: Option<PathBuf>,
    /// a page whose part between the markers is replaced by the tables
    #[argh(option)]
    page: Option<PathBuf>,
    /// replace nothing: exit code 1 where the page's part differs from the tables
    #[argh(switch)]
    check: bool,
}

/// Runs it; false where a check has found something.
pub fn run(scale: Scale) -> Result<bool, Failure> {
    match scale.command {
        Command::Run(run) => run_fleet(&run),
        Command::Fit(fit) => run_fit(&fit),
        Command::Host(Host {}) => hollow::process::run(),
        Command::Guard(of) => Ok(guard::run(&of.directory).map(|()| true)?),
    }
}

fn run_fleet(run: &Run) -> Result<bool, Failure> {
    let plan = Plan {
        relays: run.relays,
        real: run.real,
        voters: run.voters,
        jobs: run.jobs,
        changes: run.changes,
        seconds: run.seconds,
        faults: run.faults,
        seed: run.seed,
        backends: run.backends,
    };
    if let Some(file) = &run.json {
        // Found before the run and not after it.
        read_if_there(file)?;
    }
    let record = scale::run::run(&plan, &run.label)?;
    for broken in &record.broken {
        eprintln!("broken: {broken}");
    }
    let (line, sound) = (summary::line(&record), record.broken.is_empty());
    if let Some(file) = &run.json {
        append(file, &Record::Scale(Box::new(record)))?;
    }
    println!("{line}");
    Ok(sound)
}

/// Refuses a file that results cannot be appended to, or that has other things than results.
fn read_if_there(file: &Path) -> Result<(), ScaleError> {
    match file.try_exists() {
        Ok(false) => Ok(()),
        _ => read(file).map(drop),
    }
}

fn run_fit(fit: &Fit) -> Result<bool, Failure> {
    let refuse = |option, what: &str| {
        Err(ScaleError::Option {
            option,
            what: what.into(),
        }
        .into())
    };
    if fit.files.is_empty() {
        return refuse("FILE", "at least one file with results is wanted");
    }
    if fit.check && fit.page.is_none() {
        return refuse("--check", "--page must say what is compared");
    }
    let text = tables::markdown(&read_all(&fit.files)?);
    if let Some(file) = &fit.markdown {
        std::fs::write(file, &text).map_err(|e| ScaleError::File {
            file: file.clone(),
            line: None,
            what: format!("cannot be written: {e}"),
        })?;
    }
    match &fit.page {
        Some(file) => {
            let page = Page::read(file)?;
            if fit.check {
                return Ok(check(&page, file, &text));
            }
            page.replace(&text)?;
        }
        None if fit.markdown.is_none() => print!("{text}"),
        None => {}
    }
    Ok(true)
}

fn check(page: &Page, file: &Path, text: &str) -> bool {
    let same = page.is(text);
    if !same {
        eprintln!(
            "jaspermoor-lab: {}: its part between the markers is not what the results say",
            file.display()
        );
    }
    same
}
