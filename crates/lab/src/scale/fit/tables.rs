//! The tables of the page on capacity, as Markdown, from results alone.

use super::figures::{Figure, Unit, PER_CHANGE, STEADY, TIMES};
use super::line::{relative_error, Line};
use super::{target, FORETOLD_FROM};
use crate::scale::record::{
    DeliveryRecord, Origin, Record, ScaleRecord, SetUpRecord, StandingRecord,
};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

/// A cell that has no value.
const NONE: &str = "–";

/// All tables: those of each label's runs, and those of the data path.
pub fn markdown(records: &[Record]) -> String {
    let mut text = String::new();
    let runs: Vec<&ScaleRecord> = records.iter().filter_map(as_scale).collect();
    let labels: BTreeSet<&str> = runs.iter().map(|run| run.origin.label.as_str()).collect();
    for label in labels {
        let own: Vec<&ScaleRecord> = runs
            .iter()
            .copied()
            .filter(|run| run.origin.label == label)
            .collect();
        section_of_runs(&mut text, label, &own);
    }
    standing(
        &mut text,
        &pick(records, |record| match record {
            Record::Standing(standing) => Some(standing),
            _ => None,
        }),
    );
    deliveries(
        &mut text,
        &pick(records, |record| match record {
            Record::Deliveries(deliveries) => Some(deliveries),
            _ => None,
        }),
    );
    set_ups(
        &mut text,
        &pick(records, |record| match record {
            Record::SetUps(set_ups) => Some(set_ups),
            _ => None,
        }),
    );
    text
}

fn as_scale(record: &Record) -> Option<&ScaleRecord> {
    match record {
        Record::Scale(run) => Some(run),
        _ => None,
    }
}

fn pick<'a, T>(records: &'a [Record], of: impl Fn(&'a Record) -> Option<&'a T>) -> Vec<&'a T> {
    records.iter().filter_map(of).collect()
}

fn section_of_runs(text: &mut String, label: &str, runs: &[&ScaleRecord]) {
    let Some(origin) = runs.first().map(|run| &run.origin) else {
        return;
    };
    heading(
        text,
        &format!(
            "Runs: {}",
            if label.is_empty() {
                "without a label"
            } else {
                label
            }
        ),
    );
    text.push_str(&measured_on(origin, runs.len()));
    table(
        text,
        &MEASURED_HEAD,
        runs.iter().map(|run| measured_row(run)),
    );
    let jobs: BTreeSet<usize> = runs.iter().map(|run| run.plan.jobs).collect();
    for jobs in jobs {
        let own =
            |run: &&ScaleRecord| run.plan.jobs == jobs && run.plan.relays as f64 <= target::RELAYS;
        by_relays(
            text,
            jobs,
            &runs.iter().copied().filter(own).collect::<Vec<_>>(),
        );
    }
    by_jobs(text, runs);
    at_target(text, runs);
    faults(text, runs);
    traffic_by_type(text, runs);
}

fn measured_on(origin: &Origin, runs: usize) -> String {
    format!(
        "{runs} runs on a machine of {} processors and {:.0} GB, ledgers in {}.\n\n",
        origin.processors,
        origin.memory_bytes as f64 / 1e9,
        origin.ledgers
    )
}

const MEASURED_HEAD: [&str; 12] = [
    "relays",
    "jobs",
    "changes",
    "relay, mean KB/s",
    "busiest KB/s",
    "busiest % core",
    "process MB",
    "voter KB/s",
    "% core",
    "MB",
    "in force p50 / worst ms",
    "closed p50 / worst ms",
];

fn measured_row(run: &ScaleRecord) -> Vec<String> {
    let steady = &run.steady;
    vec![
        run.plan.relays.to_string(),
        run.plan.jobs.to_string(),
        run.changes.len().to_string(),
        number(Unit::BytesPerSecond.scaled(steady.hollow_mean.per_second.bytes())),
        number(Unit::BytesPerSecond.scaled(steady.relay_bytes())),
        number(Unit::Core.scaled(steady.relay_core())),
        number(Unit::Memory.scaled(steady.relay_memory())),
        number(Unit::BytesPerSecond.scaled(steady.voter_bytes())),
        number(Unit::Core.scaled(steady.voter_core())),
        number(Unit::Memory.scaled(steady.voter_memory())),
        format!("{:.0} / {:.0}", run.in_force.p50_ms, run.in_force.worst_ms),
        format!("{:.0} / {:.0}", run.closed.p50_ms, run.closed.worst_ms),
    ]
}

/// Points of relays and value.
fn points(runs: &[&ScaleRecord], figure: &Figure) -> Vec<(f64, f64)> {
    runs.iter()
        .map(|run| (run.plan.relays as f64, (figure.value)(run)))
        .collect()
}

/// The line of a figure over relays; none where the runs have one size only.
fn line_by_relays(runs: &[&ScaleRecord], figure: &Figure) -> Option<Line> {
    Line::through(&points(runs, figure))
}

/// Lines through runs of up to the size to reckon for: larger ones stand among what was measured only.
fn by_relays(text: &mut String, jobs: usize, runs: &[&ScaleRecord]) {
    let figures = STEADY.iter().chain(&TIMES);
    let rows: Vec<Vec<String>> = figures
        .filter_map(|figure| Some(row_by_relays(runs, figure, line_by_relays(runs, figure)?)))
        .collect();
    if rows.is_empty() {
        return;
    }
    subheading(
        text,
        &format!("Over relays, with {jobs} jobs: fixed + slope × relays"),
    );
    let head = [
        "figure",
        "unit",
        "fixed",
        "per relay",
        "worst residual",
        "at 550",
        "budget",
        "of budget",
        "550 foretold from ≤ 300",
        "measured",
        "off by",
        "may be off by",
    ];
    table(text, &head, rows);
}

fn row_by_relays(runs: &[&ScaleRecord], figure: &Figure, line: Line) -> Vec<String> {
    let at_target = line.at(target::RELAYS);
    let mut row = vec![
        figure.name.to_string(),
        figure.unit.name().to_string(),
        number(figure.unit.scaled(line.fixed)),
        number(figure.unit.scaled(line.slope)),
        percent(line.worst_residual),
        number(figure.unit.scaled(at_target)),
    ];
    row.extend(budget_cells(figure, at_target));
    match figure
        .tolerance
        .and_then(|tolerance| Some((tolerance, foretell(runs, figure)?)))
    {
        None => row.extend([NONE; 4].map(String::from)),
        Some((tolerance, foretold)) => row.extend([
            number(figure.unit.scaled(foretold.foretold)),
            number(figure.unit.scaled(foretold.measured)),
            signed_percent(foretold.error()),
            percent(tolerance),
        ]),
    }
    row
}

fn budget_cells(figure: &Figure, value: f64) -> [String; 2] {
    match figure.budget {
        None => [NONE, NONE].map(String::from),
        Some(budget) => [
            number(figure.unit.scaled(budget)),
            format!("{:.2}", value / budget),
        ],
    }
}

/// What smaller fleets foretell of the size to reckon for, and what was measured there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Foretold {
    /// By the line through runs of up to [`FORETOLD_FROM`] relays.
    pub foretold: f64,
    /// The mean of the runs at [`target::RELAYS`].
    pub measured: f64,
}

impl Foretold {
    /// How far off it is, as a fraction of what was measured.
    pub fn error(&self) -> f64 {
        relative_error(self.foretold, self.measured)
    }
}

/// See [`Foretold`]; none where there are not two smaller sizes and a run at the size itself.
pub fn foretell(runs: &[&ScaleRecord], figure: &Figure) -> Option<Foretold> {
    let points = points(runs, figure);
    let small: Vec<(f64, f64)> = points
        .iter()
        .copied()
        .filter(|(relays, _)| *relays <= FORETOLD_FROM as f64)
        .collect();
    let at: Vec<f64> = points
        .iter()
        .filter(|(relays, _)| *relays == target::RELAYS)
        .map(|(_, value)| *value)
        .collect();
    let foretold = Line::through(&small)?.at(target::RELAYS);
    (!at.is_empty()).then(|| Foretold {
        foretold,
        measured: at.iter().sum::<f64>() / at.len() as f64,
    })
}

/// What a job adds, at each size that has runs with several numbers of jobs.
fn by_jobs(text: &mut String, runs: &[&ScaleRecord]) {
    let sizes: BTreeSet<usize> = runs.iter().map(|run| run.plan.relays).collect();
    let mut rows = Vec::new();
    for size in sizes {
        let own: Vec<&ScaleRecord> = runs
            .iter()
            .copied()
            .filter(|run| run.plan.relays == size)
            .collect();
        for figure in &STEADY {
            let points: Vec<(f64, f64)> = own
                .iter()
                .map(|run| (run.plan.jobs as f64, (figure.value)(run)))
                .collect();
            let Some(line) = Line::through(&points) else {
                continue;
            };
            rows.push(vec![
                size.to_string(),
                figure.name.to_string(),
                figure.unit.name().to_string(),
                number(figure.unit.scaled(line.fixed)),
                number(figure.unit.scaled(line.slope)),
                percent(line.worst_residual),
            ]);
        }
    }
    if !rows.is_empty() {
        subheading(text, "Over jobs, at each size: fixed + slope × jobs");
        table(
            text,
            &[
                "relays",
                "figure",
                "unit",
                "fixed",
                "per job",
                "worst residual",
            ],
            rows,
        );
    }
}

/// What one change adds, and all of it at the size to reckon for.
fn at_target(text: &mut String, runs: &[&ScaleRecord]) {
    let own =
        |run: &&ScaleRecord| !run.changes.is_empty() && run.plan.relays as f64 <= target::RELAYS;
    let changing: Vec<&ScaleRecord> = runs.iter().copied().filter(own).collect();
    let mut rows = Vec::new();
    for figure in &PER_CHANGE {
        let Some(line) = line_by_relays(&changing, figure) else {
            continue;
        };
        let at = line.at(target::RELAYS);
        rows.push(vec![
            figure.name.to_string(),
            number(per_change_scale(figure) * line.fixed),
            number(per_change_scale(figure) * line.slope),
            number(per_change_scale(figure) * at),
            number(figure.unit.scaled(at * target::CHANGES_PER_SECOND)),
            figure.unit.name().to_string(),
        ]);
    }
    if rows.is_empty() {
        return;
    }
    subheading(
        text,
        "One policy change more than the steady part (KB, or ms of a processor)",
    );
    let head = [
        "figure",
        "fixed",
        "per relay",
        "at 550",
        "1,200 a day add",
        "unit",
    ];
    table(text, &head, rows);
}

/// Bytes are written as KB, seconds of a processor as milliseconds.
fn per_change_scale(figure: &Figure) -> f64 {
    match figure.unit {
        Unit::Core => 1e3,
        _ => 1e-3,
    }
}

fn faults(text: &mut String, runs: &[&ScaleRecord]) {
    let rows: Vec<Vec<String>> = runs
        .iter()
        .filter_map(|run| {
            let fault = run.fault.as_ref()?;
            Some(vec![
                fault.kind.clone(),
                run.plan.relays.to_string(),
                run.plan.jobs.to_string(),
                fault.harmed.to_string(),
                format!("{:.0} / {:.0}", fault.lease_p50_ms, fault.lease_worst_ms),
                format!("{:.0}", fault.others_closed_worst_ms),
                format!("{:.0}", fault.change_in_force_ms),
                run.broken.len().to_string(),
            ])
        })
        .collect();
    if rows.is_empty() {
        return;
    }
    subheading(text, "Faults");
    let head = [
        "fault",
        "relays",
        "jobs",
        "harmed",
        "until a lease p50 / worst ms",
        "others without admission, worst ms",
        "a change then, in force ms",
        "rules broken",
    ];
    table(text, &head, rows);
}

/// Bytes by type of message, of the largest run with most jobs.
fn traffic_by_type(text: &mut String, runs: &[&ScaleRecord]) {
    let Some(run) = runs
        .iter()
        .max_by_key(|run| (run.plan.relays, run.plan.jobs))
    else {
        return;
    };
    let relay = &run.steady.hollow_mean.per_second;
    let busiest = run
        .steady
        .voters
        .iter()
        .max_by(|a, b| a.per_second.bytes().total_cmp(&b.per_second.bytes()));
    let Some(voter) = busiest.map(|voter| &voter.per_second) else {
        return;
    };
    let mut kinds: BTreeMap<&str, [f64; 8]> = BTreeMap::new();
    for (at, amounts) in [&relay.sent, &relay.received, &voter.sent, &voter.received]
        .into_iter()
        .enumerate()
    {
        for (kind, amount) in amounts {
            let row = kinds.entry(kind).or_default();
            (row[2 * at], row[2 * at + 1]) = (amount.messages, amount.bytes);
        }
    }
    let (relays, jobs) = (run.plan.relays, run.plan.jobs);
    subheading(
        text,
        &format!("By type of message, {relays} relays and {jobs} jobs, a second"),
    );
    let head = [
        "type",
        "mean relay sent, messages",
        "B",
        "received, messages",
        "B",
        "busiest voter sent, messages",
        "B",
        "received, messages",
        "B",
    ];
    let rows = kinds.into_iter().map(|(kind, row)| {
        [kind.to_string()]
            .into_iter()
            .chain(row.map(number))
            .collect::<Vec<String>>()
    });
    table(text, &head, rows);
}

fn standing(text: &mut String, records: &[&StandingRecord]) {
    let Some(first) = records.first() else { return };
    heading(text, "Data path: standing connections");
    text.push_str(&measured_on(&first.origin, records.len()));
    let rows = records.iter().map(|record| {
        vec![
            record.connections.to_string(),
            number(record.memory_bytes as f64 / 1e6),
            record.descriptors.to_string(),
            number(record.core * 100.0),
        ]
    });
    table(
        text,
        &["connections", "MB", "descriptors", "% core at rest"],
        rows,
    );
    let of = |value: fn(&StandingRecord) -> f64| -> Vec<(f64, f64)> {
        records
            .iter()
            .map(|record| (record.connections as f64, value(record)))
            .collect()
    };
    let figures: [(&str, Vec<(f64, f64)>); 2] = [
        ("memory, KB", of(|record| record.memory_bytes as f64 / 1e3)),
        ("descriptors", of(|record| record.descriptors as f64)),
    ];
    let rows = figures.iter().filter_map(|(name, points)| {
        let line = Line::through(points)?;
        Some(line_row(name, &line, target::CONNECTIONS))
    });
    table(
        text,
        &[
            "figure",
            "fixed",
            "per connection",
            "worst residual",
            "at 41,800",
        ],
        rows.collect::<Vec<_>>(),
    );
}

fn line_row(name: &str, line: &Line, at: f64) -> Vec<String> {
    vec![
        name.into(),
        number(line.fixed),
        number(line.slope),
        percent(line.worst_residual),
        number(line.at(at)),
    ]
}

fn deliveries(text: &mut String, records: &[&DeliveryRecord]) {
    let Some(first) = records.first() else { return };
    heading(
        text,
        &format!(
            "Data path: deliveries of one topic to {} listeners",
            first.listeners
        ),
    );
    text.push_str(&measured_on(&first.origin, records.len()));
    let rows = records.iter().map(|record| {
        vec![
            number(record.asked_per_second),
            number(record.delivered_per_second),
            record.lost.to_string(),
            number(record.core * 100.0),
            number(record.core / record.delivered_per_second.max(1.0) * 1e6),
            number(record.p50_ms),
            number(record.p99_ms),
            number(target::DELIVERY_MS),
        ]
    });
    let head = [
        "asked/s",
        "delivered/s",
        "lost",
        "% core",
        "µs a delivery",
        "p50 ms",
        "p99 ms",
        "p99 may be ms",
    ];
    table(text, &head, rows);
    let points: Vec<(f64, f64)> = records
        .iter()
        .map(|record| (record.delivered_per_second, record.core * 100.0))
        .collect();
    let rows =
        Line::through(&points).map(|line| line_row("% core", &line, target::DELIVERIES_PER_SECOND));
    table(
        text,
        &[
            "figure",
            "fixed",
            "per delivery/s",
            "worst residual",
            "at 9,100/s",
        ],
        rows,
    );
}

fn set_ups(text: &mut String, records: &[&SetUpRecord]) {
    let Some(first) = records.first() else { return };
    heading(text, "Data path: set-ups");
    text.push_str(&measured_on(&first.origin, records.len()));
    let rows = records.iter().map(|record| {
        vec![
            number(record.asked_per_second),
            number(record.made_per_second),
            number(record.core * 100.0),
            number(record.core / record.made_per_second.max(1.0) * 1e6),
            number(record.p50_ms),
            number(record.p99_ms),
        ]
    });
    table(
        text,
        &[
            "asked/s",
            "made/s",
            "% core",
            "µs a set-up",
            "p50 ms",
            "p99 ms",
        ],
        rows,
    );
    let points: Vec<(f64, f64)> = records
        .iter()
        .map(|record| (record.made_per_second, record.core * 100.0))
        .collect();
    let last = records.last().map_or(0.0, |record| record.asked_per_second);
    let rows = Line::through(&points).map(|line| line_row("% core", &line, last));
    let at = format!("at {last:.0}/s");
    table(
        text,
        &["figure", "fixed", "per set-up/s", "worst residual", &at],
        rows,
    );
}

fn heading(text: &mut String, title: &str) {
    // Writing to a text cannot fail.
    let _ = writeln!(text, "### {title}\n");
}

fn subheading(text: &mut String, title: &str) {
    let _ = writeln!(text, "#### {title}\n");
}

fn table(text: &mut String, head: &[&str], rows: impl IntoIterator<Item = Vec<String>>) {
    let _ = writeln!(text, "| {} |", head.join(" | "));
    let _ = writeln!(text, "|{}", " --- |".repeat(head.len()));
    for row in rows {
        let _ = writeln!(text, "| {} |", row.join(" | "));
    }
    text.push('\n');
}

/// Three significant digits, without an exponent.
fn number(value: f64) -> String {
    let size = value.abs();
    if size == 0.0 {
        return "0".into();
    }
    let digits = (2 - size.log10().floor() as i32).clamp(0, 6) as usize;
    format!("{value:.digits$}")
}

fn percent(fraction: f64) -> String {
    format!("{:.1}%", fraction * 100.0)
}

fn signed_percent(fraction: f64) -> String {
    format!("{:+.1}%", fraction * 100.0)
}
