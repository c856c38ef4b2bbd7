//! The figures of a run that lines are put through, each with its unit and its budget.

use super::{target, CORE_TOLERANCE, TRAFFIC_TOLERANCE};
use crate::scale::record::{ScaleRecord, Window};

/// What a figure is counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Bytes a second, written as thousands.
    BytesPerSecond,
    /// Messages a second.
    MessagesPerSecond,
    /// A part of a processor, written in hundredths.
    Core,
    /// Bytes, written as millions.
    Memory,
    /// Milliseconds.
    Milliseconds,
}

impl Unit {
    /// As it is written behind a number.
    pub fn name(self) -> &'static str {
        match self {
            Unit::BytesPerSecond => "KB/s",
            Unit::MessagesPerSecond => "messages/s",
            Unit::Core => "% of a core",
            Unit::Memory => "MB",
            Unit::Milliseconds => "ms",
        }
    }

    /// A value of the figure as the unit has it.
    pub fn scaled(self, value: f64) -> f64 {
        match self {
            Unit::BytesPerSecond => value / 1e3,
            Unit::Core => value * 100.0,
            Unit::Memory => value / 1e6,
            Unit::MessagesPerSecond | Unit::Milliseconds => value,
        }
    }
}

/// One figure of a run.
#[derive(Clone, Copy)]
pub struct Figure {
    /// Its name.
    pub name: &'static str,
    /// Its unit.
    pub unit: Unit,
    /// Its value in a run.
    pub value: fn(&ScaleRecord) -> f64,
    /// How much it may be at the size to reckon for.
    pub budget: Option<f64>,
    /// How far it may be off where runs of smaller fleets foretell it.
    pub tolerance: Option<f64>,
}

/// Figures of the steady part.
pub const STEADY: [Figure; 12] = [
    figure("mean relay, traffic", Unit::BytesPerSecond, |run| {
        run.steady.hollow_mean.per_second.bytes()
    })
    .budget(target::RELAY_BYTES),
    figure("mean relay, messages", Unit::MessagesPerSecond, |run| {
        run.steady.relay_mean_messages()
    }),
    // Owners are few whatever the size, so it is the sum that grows with relays and not the mean.
    figure(
        "hollow relays together, traffic",
        Unit::BytesPerSecond,
        |run| run.steady.hollow_mean.per_second.bytes() * run.plan.hollow() as f64,
    )
    .foretold(TRAFFIC_TOLERANCE),
    figure(
        "hollow relays together, messages",
        Unit::MessagesPerSecond,
        |run| run.steady.relay_mean_messages() * run.plan.hollow() as f64,
    )
    .foretold(TRAFFIC_TOLERANCE),
    figure("busiest relay, traffic", Unit::BytesPerSecond, |run| {
        run.steady.relay_bytes()
    })
    .budget(target::RELAY_BYTES)
    .foretold(TRAFFIC_TOLERANCE),
    figure("mean relay, processor", Unit::Core, |run| {
        run.steady.hollow_mean.control_core
    })
    .budget(target::RELAY_CORE)
    .foretold(CORE_TOLERANCE),
    figure("busiest relay, processor", Unit::Core, |run| {
        run.steady.relay_core()
    })
    .budget(target::RELAY_CORE)
    .foretold(CORE_TOLERANCE),
    figure("relay, memory of the whole process", Unit::Memory, |run| {
        run.steady.relay_memory()
    })
    .budget(target::RELAY_MEMORY),
    figure("busiest voter, traffic", Unit::BytesPerSecond, |run| {
        run.steady.voter_bytes()
    })
    .foretold(TRAFFIC_TOLERANCE),
    figure("busiest voter, messages", Unit::MessagesPerSecond, |run| {
        run.steady.voter_messages()
    })
    .foretold(TRAFFIC_TOLERANCE),
    figure("busiest voter, processor", Unit::Core, |run| {
        run.steady.voter_core()
    })
    .foretold(CORE_TOLERANCE),
    figure("busiest voter, memory", Unit::Memory, |run| {
        run.steady.voter_memory()
    }),
];

/// What one policy change adds to the steady part.
pub const PER_CHANGE: [Figure; 4] = [
    figure("mean relay, bytes a change", Unit::BytesPerSecond, |run| {
        per_change(run, |window| window.hollow_mean.per_second.bytes())
    }),
    figure(
        "mean relay, processor seconds a change",
        Unit::Core,
        |run| per_change(run, |window| window.hollow_mean.control_core),
    ),
    figure(
        "busiest voter, bytes a change",
        Unit::BytesPerSecond,
        |run| per_change(run, Window::voter_bytes),
    ),
    figure(
        "busiest voter, processor seconds a change",
        Unit::Core,
        |run| per_change(run, Window::voter_core),
    ),
];

/// Times of a change.
pub const TIMES: [Figure; 4] = [
    figure("in force, median", Unit::Milliseconds, |run| {
        run.in_force.p50_ms
    })
    .budget(target::IN_FORCE_MS),
    figure("in force, worst", Unit::Milliseconds, |run| {
        run.in_force.worst_ms
    })
    .budget(target::IN_FORCE_MS),
    figure("without admission, median", Unit::Milliseconds, |run| {
        run.closed.p50_ms
    }),
    figure("without admission, worst", Unit::Milliseconds, |run| {
        run.closed.worst_ms
    }),
];

const fn figure(name: &'static str, unit: Unit, value: fn(&ScaleRecord) -> f64) -> Figure {
    Figure {
        name,
        unit,
        value,
        budget: None,
        tolerance: None,
    }
}

impl Figure {
    const fn budget(self, budget: f64) -> Figure {
        Figure {
            budget: Some(budget),
            ..self
        }
    }

    const fn foretold(self, tolerance: f64) -> Figure {
        Figure {
            tolerance: Some(tolerance),
            ..self
        }
    }
}

/// What a change adds: the rate with changes over that without, times the time with changes, for each of them.
fn per_change(run: &ScaleRecord, rate: impl Fn(&Window) -> f64) -> f64 {
    match run.changes.len() {
        0 => 0.0,
        changes => {
            (rate(&run.changing) - rate(&run.steady)) * run.changing.seconds / changes as f64
        }
    }
}
