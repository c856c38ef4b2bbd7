//! Experiments as TOML: days, seeds, sizes and variants. Each combination is a cell. Cells are
//! played independently on any number of threads, and a cell's metrics depend on the cell alone.

use super::days::{Day, DayError};
use super::policy::Policy;
use super::scenario::Scenario;
use super::simulation::{Outcomes, Simulation, Variant, STEP};
use super::stats::METRIC_NAMES;
use jaspermoor::cells::CellMap;
use jaspermoor::Parameters;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Mutex;

/// Seeds: a count (seeds 1 to n) or a list.
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

/// A variant as written in the file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct VariantSpec {
    name: String,
    /// `own` (the relay's balancer) or `chance` (random placement).
    policy: Option<String>,
    /// Whether one relay per zone probes for all relays.
    #[serde(default)]
    load_watch: bool,
    /// Balancer parameters by name.
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
    variant: Vec<VariantSpec>,
    /// Parameters with lists of values; each combination becomes a variant.
    #[serde(default)]
    grid: BTreeMap<String, Vec<f64>>,
}

/// An invalid experiment file: its path and the error, with the line if the TOML parser gives it.
#[derive(Debug)]
pub struct ExperimentError(String);

impl fmt::Display for ExperimentError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ExperimentError {}

impl From<DayError> for ExperimentError {
    fn from(e: DayError) -> Self {
        ExperimentError(e.to_string())
    }
}

/// A variant with its name.
#[derive(Clone, Debug)]
pub struct NamedVariant {
    /// Unique name in the results.
    pub name: String,
    /// Its balancing policy.
    pub policy: Policy,
    /// Whether one relay per zone probes for all relays.
    pub load_watch: bool,
}

/// One combination of day, variant, seed and size.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cell {
    /// The day's name.
    pub day: String,
    /// The variant's name.
    pub variant: String,
    /// The seed.
    pub seed: u64,
    /// Numbers of relays and backends; `None` if the day draws them.
    pub size: Option<(usize, usize)>,
}

/// Results of a cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The cell.
    pub cell: Cell,
    /// Its metrics, in the order of [`METRIC_NAMES`].
    pub metrics: Vec<f64>,
    /// Numbers of relays and backends.
    pub size: (usize, usize),
    /// Hash over all events of the run.
    pub digest: u64,
    /// Number of events handled, and duration of the run in seconds.
    pub events: u64,
    /// See `events`.
    pub seconds: f64,
    /// The first rule violation; empty if there was none.
    pub first_violation: String,
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
    /// Numbers of relays and backends; `None` if the day draws them.
    pub sizes: Vec<Option<(usize, usize)>>,
    /// The variants; the first one is the default baseline of the report.
    pub variants: Vec<NamedVariant>,
}

/// Builds balancer parameters from values by name; the others keep their defaults.
pub fn parameters(set: &BTreeMap<String, f64>) -> Result<Parameters, String> {
    let mut parameters = Parameters::default();
    for (name, value) in set {
        if parameters.get(name).is_none() {
            return Err(format!(
                "'{name}' is not a parameter; the parameters are {}",
                Parameters::NAMES.join(", ")
            ));
        }
        if parameters.set(name, *value).is_err() {
            return Err(format!("{name}: {value} is not a valid value"));
        }
    }
    Ok(parameters)
}

impl Experiment {
    /// Reads and checks an experiment's file.
    pub fn load(path: &Path) -> Result<Experiment, ExperimentError> {
        let file_error = |what: String| ExperimentError(format!("{}: {what}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|e| file_error(e.to_string()))?;
        let file: File = toml::from_str(&text).map_err(|e| file_error(e.to_string()))?;
        let folder = path.parent().unwrap_or(Path::new("."));
        let load_day =
            |name: &String| match name.ends_with(".toml") && Path::new(name).is_relative() {
                true => Day::load(&folder.join(name).to_string_lossy()),
                false => Day::load(name),
            };
        let days = file
            .days
            .iter()
            .map(load_day)
            .collect::<Result<Vec<_>, _>>()?;
        let seeds = match file.seeds {
            Seeds::Many(n) => (1..=n).collect(),
            Seeds::These(list) => list,
        };
        let mut specs = file.variant;
        for (name, values) in &file.grid {
            let bases = if specs.is_empty() {
                vec![VariantSpec {
                    name: "now".into(),
                    ..VariantSpec::default()
                }]
            } else {
                specs
            };
            specs = bases
                .into_iter()
                .flat_map(|spec| {
                    values.iter().map(move |value| {
                        let mut extended = spec.clone();
                        extended.set.insert(name.clone(), *value);
                        extended.name = format!("{} {name}={value}", extended.name);
                        extended
                    })
                })
                .collect();
        }
        if specs.is_empty() {
            specs.push(VariantSpec {
                name: "now".into(),
                ..VariantSpec::default()
            });
        }
        let mut variants: Vec<NamedVariant> = Vec::new();
        for spec in &specs {
            let error = |what: String| file_error(format!("variant '{}': {what}", spec.name));
            if variants.iter().any(|v| v.name == spec.name) {
                return Err(error("there are two of this name".into()));
            }
            let policy = match spec.policy.as_deref() {
                None | Some("own") => {
                    Policy::Relay(Box::new(parameters(&spec.set).map_err(error)?))
                }
                Some("chance") if spec.set.is_empty() => Policy::Random,
                Some("chance") => return Err(error("chance has no parameters".into())),
                Some(other) => {
                    return Err(error(format!("policy '{other}' is neither own nor chance")))
                }
            };
            variants.push(NamedVariant {
                name: spec.name.clone(),
                policy,
                load_watch: spec.load_watch,
            });
        }
        for (what, empty) in [("days", days.is_empty()), ("seeds", seeds.is_empty())] {
            if empty {
                return Err(file_error(format!("{what}: at least one is needed")));
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

    /// Lists all cells in an order that is independent of the order of the variants in the file.
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

    /// Plays a cell; `None` if its day or variant is not part of the experiment.
    pub fn play(&self, cell: &Cell) -> Option<Row> {
        let day = self.days.iter().find(|day| day.name == cell.day)?;
        let variant = self.variants.iter().find(|v| v.name == cell.variant)?;
        let day = day
            .clone()
            .with_size(cell.size.map(|s| s.0), cell.size.map(|s| s.1));
        Some(play_day(&day, variant, cell.seed, cell.clone()))
    }

    /// Plays cells on `jobs` threads and passes each row to `on_row`, one at a time and in order
    /// of completion. After `on_row` has returned false, no more rows are passed to it; cells in
    /// progress are still finished.
    pub fn run(&self, cells: &[Cell], jobs: usize, on_row: impl FnMut(Row) -> bool + Send) {
        let (next, on_row) = (AtomicUsize::new(0), Mutex::new((on_row, true)));
        std::thread::scope(|scope| {
            for _ in 0..jobs.max(1) {
                scope.spawn(|| loop {
                    let Some(cell) = cells.get(next.fetch_add(1, Relaxed)) else {
                        return;
                    };
                    let Some(row) = self.play(cell) else { continue };
                    let mut on_row = on_row.lock().unwrap_or_else(|e| e.into_inner());
                    if !on_row.1 {
                        return;
                    }
                    on_row.1 = (on_row.0)(row);
                });
            }
        });
    }
}

fn play_day(day: &Day, variant: &NamedVariant, seed: u64, cell: Cell) -> Row {
    let start = std::time::Instant::now();
    let scenario = Scenario::draw(day, seed);
    let (relays, backends, groups) = (scenario.relays, scenario.backends, scenario.groups);
    let load_watch = variant.load_watch;
    let variant = Variant {
        policy: variant.policy.clone(),
        cells: CellMap::default(),
        load_watch,
    };
    let mut out = Simulation::new(scenario, variant, None).run();
    let metrics = metrics(&mut out, day, relays, groups);
    let first_violation = out
        .violations
        .first()
        .map_or(String::new(), |v| v.to_string());
    Row {
        cell,
        metrics,
        size: (relays, backends),
        digest: out.digest,
        events: out.events,
        seconds: start.elapsed().as_secs_f64(),
        first_violation,
    }
}

/// Computes the metrics of a run.
pub fn metrics(out: &mut Outcomes, day: &Day, relays: usize, groups: usize) -> Vec<f64> {
    let violations = out.violations.len();
    let metrics = out
        .stats
        .metrics(&day.site, STEP, relays, groups, violations);
    debug_assert_eq!(metrics.len(), METRIC_NAMES.len());
    metrics
}

/// Returns the position of a metric in [`METRIC_NAMES`].
pub fn metric_index(name: &str) -> Option<usize> {
    METRIC_NAMES.iter().position(|f| *f == name)
}
