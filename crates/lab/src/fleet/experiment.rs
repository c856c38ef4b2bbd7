//! Experiments as TOML: days, seeds, sizes and variants. Each combination is a cell that is played by itself, on as many
//! threads as one likes; its figures depend on nothing but the cell.

use super::days::{BadDay, Day};
use super::policy::Policy;
use super::scenario::Scene;
use super::simulation::{Outcomes, Variant, World, STEP};
use super::stats::FIGURES;
use jaspermoor::cells::CellMap;
use jaspermoor::Parameters;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Mutex;

/// Seeds: so many from 1 on, or a list.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum Seeds {
    Many(u64),
    These(Vec<u64>),
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Size {
    relays: usize,
    backends: usize,
}

/// A variant as the file has it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Choice {
    name: String,
    /// `own` (the relay's decisions) or `chance`.
    policy: Option<String>,
    /// Whether one relay a zone probes for all.
    #[serde(default)]
    load_watch: bool,
    /// Parameters by name.
    #[serde(default)]
    set: BTreeMap<String, f64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    days: Vec<String>,
    seeds: Seeds,
    #[serde(default)]
    size: Vec<Size>,
    #[serde(default)]
    variant: Vec<Choice>,
    /// Parameters with their values: a variant for each combination.
    #[serde(default)]
    grid: BTreeMap<String, Vec<f64>>,
}

/// What is wrong with an experiment, with its file and, where the library tells it, the line.
#[derive(Debug)]
pub struct BadExperiment(String);

impl fmt::Display for BadExperiment {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for BadExperiment {}

impl From<BadDay> for BadExperiment {
    fn from(e: BadDay) -> Self {
        BadExperiment(e.to_string())
    }
}

/// A variant with its name.
#[derive(Clone, Debug)]
pub struct Named {
    /// The name, by which results are told apart.
    pub name: String,
    /// Its decisions.
    pub policy: Policy,
    /// Whether one relay a zone probes for all.
    pub load_watch: bool,
}

/// One combination.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cell {
    /// The day's name.
    pub day: String,
    /// The variant's name.
    pub variant: String,
    /// The seed.
    pub seed: u64,
    /// The size; none as the day draws it.
    pub size: Option<(usize, usize)>,
}

/// A cell that was played.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Which.
    pub cell: Cell,
    /// Its figures, as [`FIGURES`] names them.
    pub figures: Vec<f64>,
    /// Relays and backends.
    pub size: (usize, usize),
    /// Over all that happened.
    pub digest: u64,
    /// Events handled, and seconds that it took.
    pub events: u64,
    /// See `events`.
    pub seconds: f64,
    /// The first broken rule.
    pub broken: String,
}

/// An experiment.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// The days.
    pub days: Vec<Day>,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// The sizes; none as the days draw them.
    pub sizes: Vec<Option<(usize, usize)>>,
    /// The variants, the first of which others are held against.
    pub variants: Vec<Named>,
}

/// Parameters set by name.
pub fn parameters(set: &BTreeMap<String, f64>) -> Result<Parameters, String> {
    let mut parameters = Parameters::default();
    for (name, value) in set {
        if parameters.get(name).is_none() {
            return Err(format!(
                "'{name}' is no parameter; there are {}",
                Parameters::NAMES.join(", ")
            ));
        }
        if parameters.set(name, *value).is_err() {
            return Err(format!("{name} cannot be {value}"));
        }
    }
    Ok(parameters)
}

impl Experiment {
    /// Reads a file.
    pub fn load(path: &Path) -> Result<Experiment, BadExperiment> {
        let at = |what: String| BadExperiment(format!("{}: {what}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|e| at(e.to_string()))?;
        let file: File = toml::from_str(&text).map_err(|e| at(e.to_string()))?;
        let beside = path.parent().unwrap_or(Path::new("."));
        let named = |name: &String| match name.ends_with(".toml") && Path::new(name).is_relative() {
            true => Day::load(&beside.join(name).to_string_lossy()),
            false => Day::load(name),
        };
        let days = file.days.iter().map(named).collect::<Result<Vec<_>, _>>()?;
        let seeds = match file.seeds {
            Seeds::Many(n) => (1..=n).collect(),
            Seeds::These(list) => list,
        };
        let mut choices = file.variant;
        for (name, values) in &file.grid {
            let base = if choices.is_empty() {
                vec![Choice {
                    name: "now".into(),
                    ..Choice::default()
                }]
            } else {
                choices
            };
            choices = base
                .into_iter()
                .flat_map(|choice| {
                    values.iter().map(move |value| {
                        let mut more = choice.clone();
                        more.set.insert(name.clone(), *value);
                        more.name = format!("{} {name}={value}", more.name);
                        more
                    })
                })
                .collect();
        }
        if choices.is_empty() {
            choices.push(Choice {
                name: "now".into(),
                ..Choice::default()
            });
        }
        let mut variants: Vec<Named> = Vec::new();
        for choice in &choices {
            let wrong = |what: String| at(format!("variant '{}': {what}", choice.name));
            if variants.iter().any(|v| v.name == choice.name) {
                return Err(wrong("there are two of this name".into()));
            }
            let policy = match choice.policy.as_deref() {
                None | Some("own") => {
                    Policy::Own(Box::new(parameters(&choice.set).map_err(wrong)?))
                }
                Some("chance") if choice.set.is_empty() => Policy::Chance,
                Some("chance") => return Err(wrong("chance has no parameters".into())),
                Some(other) => {
                    return Err(wrong(format!("policy '{other}' is neither own nor chance")))
                }
            };
            variants.push(Named {
                name: choice.name.clone(),
                policy,
                load_watch: choice.load_watch,
            });
        }
        for (what, none) in [("days", days.is_empty()), ("seeds", seeds.is_empty())] {
            if none {
                return Err(at(format!("{what}: at least one is needed")));
            }
        }
        let sizes = match file.size.is_empty() {
            true => vec![None],
            false => file
                .size
                .iter()
                .map(|s| Some((s.relays, s.backends)))
                .collect(),
        };
        Ok(Experiment {
            name: file.name,
            days,
            seeds,
            sizes,
            variants,
        })
    }

    /// All cells, in an order that does not depend on that of the variants' definition.
    pub fn cells(&self) -> Vec<Cell> {
        let mut cells = Vec::new();
        for day in &self.days {
            for &seed in &self.seeds {
                for &size in &self.sizes {
                    for variant in &self.variants {
                        let (day, variant) = (day.name.clone(), variant.name.clone());
                        cells.push(Cell {
                            day,
                            variant,
                            seed,
                            size,
                        });
                    }
                }
            }
        }
        cells.sort();
        cells
    }

    /// Plays a cell.
    pub fn play(&self, cell: &Cell) -> Option<Row> {
        let day = self.days.iter().find(|day| day.name == cell.day)?;
        let variant = self.variants.iter().find(|v| v.name == cell.variant)?;
        let day = day
            .clone()
            .sized(cell.size.map(|s| s.0), cell.size.map(|s| s.1));
        Some(play(&day, variant, cell.seed, cell.clone()))
    }

    /// Plays these cells on so many threads; each row is given to `done` as it comes, one at a time. Cells that were
    /// begun are finished where `done` says that it has had enough.
    pub fn run(&self, cells: &[Cell], jobs: usize, done: impl FnMut(Row) -> bool + Send) {
        let (next, done) = (AtomicUsize::new(0), Mutex::new((done, true)));
        std::thread::scope(|scope| {
            for _ in 0..jobs.max(1) {
                scope.spawn(|| loop {
                    let Some(cell) = cells.get(next.fetch_add(1, Relaxed)) else {
                        return;
                    };
                    let Some(row) = self.play(cell) else { continue };
                    let mut done = done.lock().unwrap_or_else(|e| e.into_inner());
                    if !done.1 {
                        return;
                    }
                    done.1 = (done.0)(row);
                });
            }
        });
    }
}

fn play(day: &Day, variant: &Named, seed: u64, cell: Cell) -> Row {
    let begun = std::time::Instant::now();
    let scene = Scene::draw(day, seed);
    let (relays, backends, groups) = (scene.relays, scene.backends, scene.groups);
    let load_watch = variant.load_watch;
    let variant = Variant {
        policy: variant.policy.clone(),
        cells: CellMap::default(),
        load_watch,
    };
    let mut out = World::new(scene, variant, None).run();
    let figures = figures(&mut out, day, relays, groups);
    let broken = out.breaks.first().map_or(String::new(), |b| b.to_string());
    Row {
        cell,
        figures,
        size: (relays, backends),
        digest: out.digest,
        events: out.events,
        seconds: begun.elapsed().as_secs_f64(),
        broken,
    }
}

/// The figures of a run.
pub fn figures(out: &mut Outcomes, day: &Day, relays: usize, groups: usize) -> Vec<f64> {
    let broken = out.breaks.len();
    let figures = out.books.figures(&day.site, STEP, relays, groups, broken);
    debug_assert_eq!(figures.len(), FIGURES.len());
    figures
}

/// A figure's place.
pub fn figure(name: &str) -> Option<usize> {
    FIGURES.iter().position(|f| *f == name)
}
