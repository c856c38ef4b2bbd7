//! The one line that a run ends with.

use super::record::ScaleRecord;

/// See the module's text.
pub fn line(record: &ScaleRecord) -> String {
    let steady = &record.steady;
    format!(
        "scale: relays {}, relay {} KB/s {:.2}% core {} MB, voter {} KB/s {:.1}% core {} MB, in force p50 {} s worst \
         {} s, closed p50 {} s worst {} s, rules broken {}",
        record.plan.relays,
        short(steady.relay_bytes() / 1e3),
        steady.relay_core() * 100.0,
        short(steady.relay_memory() / 1e6),
        short(steady.voter_bytes() / 1e3),
        steady.voter_core() * 100.0,
        short(steady.voter_memory() / 1e6),
        short(record.in_force.p50_ms / 1e3),
        short(record.in_force.worst_ms / 1e3),
        short(record.closed.p50_ms / 1e3),
        short(record.closed.worst_ms / 1e3),
        record.broken.len()
    )
}

/// Two significant digits, and no fewer before the point than there are.
fn short(value: f64) -> String {
    match value.abs() {
        size if size >= 10.0 => format!("{value:.0}"),
        size if size >= 1.0 || size == 0.0 => format!("{value:.1}"),
        _ => format!("{value:.2}"),
    }
}
