//! A run of a whole fleet: starts it, measures its steady part, changes its policy, does harm to it, and ends it.

mod clients;
mod control;
mod faults;
mod fleet;
mod host;
mod member;
mod policy;
mod reading;
mod staff;

use super::admissions::{broken_rules, Moment, RelayHistory};
use super::error::ScaleError;
use super::plan::{FaultKind, Plan};
use super::process::{machine_memory, raise_descriptor_limit};
use super::record::{ChangeRecord, ScaleRecord, Times};
use control::Control;
use fleet::{Change, Fleet};
use indicatif::{ProgressBar, ProgressStyle};
use jaspermoor::sys::boottime;
use std::time::Duration;

/// How long the fleet is left alone before its steady part.
const SETTLES: Duration = Duration::from_secs(3);
/// The pause after each change: what it has led to is over by then.
const AFTER_CHANGE: Duration = Duration::from_millis(500);
/// Bounds of a run's time: for its start and end, for each change, and for a fault.
const START_LIMIT: Duration = Duration::from_secs(240);
const CHANGE_LIMIT: Duration = Duration::from_secs(15);
const FAULT_LIMIT: Duration = Duration::from_secs(400);

/// Runs it to its end. Whatever it started has ended when this returns.
pub fn run(plan: &Plan, label: &str) -> Result<ScaleRecord, ScaleError> {
    plan.check(machine_memory()?)?;
    raise_descriptor_limit();
    let control = Control::start(limit(plan))?;
    let bar = progress(plan);
    let record = measure(plan, label, &control, &bar);
    bar.finish_and_clear();
    record
}

fn limit(plan: &Plan) -> Duration {
    let changes = CHANGE_LIMIT * plan.changes as u32;
    let fault = if plan.faults == FaultKind::None {
        Duration::ZERO
    } else {
        FAULT_LIMIT
    };
    START_LIMIT + Duration::from_secs(plan.seconds) + changes + fault
}

fn progress(plan: &Plan) -> ProgressBar {
    let bar = ProgressBar::new(plan.changes as u64 + 4);
    let style = ProgressStyle::with_template("{bar:30} {pos}/{len} {msg} {elapsed}");
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn measure(
    plan: &Plan,
    label: &str,
    control: &Control,
    bar: &ProgressBar,
) -> Result<ScaleRecord, ScaleError> {
    let step = |what: &str| {
        bar.inc(1);
        bar.set_message(what.to_string());
    };
    step("starts");
    let begun = boottime();
    let mut fleet = Fleet::start(plan, control)?;
    let mut record = ScaleRecord {
        origin: super::origin(label, &fleet.ledgers())?,
        plan: plan.clone(),
        ..ScaleRecord::default()
    };
    // The first change is not measured: leases that were never asked for before are, too.
    fleet.change()?;
    record.start_ms = (boottime() - begun) as f64 / 1e3;
    fleet.wait_for_owners()?;
    fleet
        .members
        .iter()
        .for_each(|member| member.client.eager(false));
    control.pause(SETTLES)?;

    step("steady");
    let before = fleet.reading()?;
    control.pause(Duration::from_secs(plan.seconds))?;
    let steady = fleet.reading()?;
    record.steady = reading::window(&before, &steady);

    let mut changes = Vec::new();
    for number in 0..plan.changes {
        step(&format!("change {}", number + 1));
        changes.push(fleet.change()?);
        control.pause(AFTER_CHANGE)?;
    }
    if !changes.is_empty() {
        record.changing = reading::window(&steady, &fleet.reading()?);
    }
    let histories = fleet.histories()?;
    record.changes = changes
        .iter()
        .map(|change| change_record(change, &histories))
        .collect();
    record.in_force = times(
        record
            .changes
            .iter()
            .map(|change| change.in_force_ms)
            .collect(),
    );
    record.closed = times(
        changes
            .iter()
            .flat_map(|change| closed(change, &histories))
            .collect(),
    );

    step("fault");
    record.fault = faults::run(&mut fleet, bar)?;
    record.broken = broken_rules(&fleet.histories()?);
    Ok(record)
}

fn change_record(change: &Change, histories: &[RelayHistory]) -> ChangeRecord {
    let closed = times(closed(change, histories));
    let outcome = &change.outcome;
    ChangeRecord {
        epoch: change.epoch,
        in_force_ms: in_force_ms(histories.iter(), outcome.proposed, change.epoch),
        outcome_ms: outcome.known.saturating_sub(outcome.proposed) as f64 / 1e3,
        closed_p50_ms: closed.p50_ms,
        closed_worst_ms: closed.worst_ms,
    }
}

/// Milliseconds from the proposal until the last of these relays admitted under that epoch.
fn in_force_ms<'a>(
    histories: impl Iterator<Item = &'a RelayHistory>,
    proposed: Moment,
    epoch: u64,
) -> f64 {
    let last = histories.filter_map(|history| history.under(epoch));
    last.max()
        .map_or(0.0, |last| last.saturating_sub(proposed) as f64 / 1e3)
}

/// Milliseconds without admission before a change took hold, of each relay that is looked at directly.
fn closed(change: &Change, histories: &[RelayHistory]) -> Vec<f64> {
    let direct = histories.iter().filter(|history| history.is_direct);
    direct
        .filter_map(|history| history.admissions.closed_before(change.epoch))
        .collect()
}

/// The median and the worst.
fn times(mut all: Vec<f64>) -> Times {
    all.sort_by(f64::total_cmp);
    let at = |place: usize| all.get(place).copied().unwrap_or(0.0);
    Times {
        p50_ms: at(all.len() / 2),
        worst_ms: at(all.len().saturating_sub(1)),
    }
}
