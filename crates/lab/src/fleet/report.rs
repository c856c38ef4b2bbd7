//! Report of an experiment: paired differences between variants on the same seeds with confidence
//! intervals, and the worst runs with the commands that replay them.

use super::experiment::{metric_index, Cell, Row};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Bootstrap resamples: enough for two digits of a 95% interval.
const RESAMPLES: usize = 2_000;

/// Returns the mean and the bounds of its 95% bootstrap confidence interval.
pub fn interval(differences: &[f64]) -> (f64, f64, f64) {
    let n = differences.len();
    if n == 0 {
        return (0.0, 0.0, 0.0);
    }
    let mean = differences.iter().sum::<f64>() / n as f64;
    // The fixed seed makes reports of the same rows equal.
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            (0..n)
                .map(|_| differences[rng.random_range(0..n)])
                .sum::<f64>()
                / n as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    (
        mean,
        means[RESAMPLES / 40],
        means[RESAMPLES - 1 - RESAMPLES / 40],
    )
}

fn quantile(mut values: Vec<f64>, q: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let n = values.len();
    values
        .get(((n as f64 * q) as usize).min(n.saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

/// Rows of one variant and day, by seed and size.
type Played<'a> = BTreeMap<(u64, Option<(usize, usize)>), &'a Row>;

/// Formats the report; each variant is compared with `base` on the same seeds and sizes.
pub fn text(rows: &[Row], base: &str) -> String {
    let mut by_variant: BTreeMap<(&str, &str), Played> = BTreeMap::new();
    for row in rows {
        let Cell {
            day,
            variant,
            seed,
            size,
        } = &row.cell;
        by_variant
            .entry((day, variant))
            .or_default()
            .insert((*seed, *size), row);
    }
    let value = |row: &Row, name: &str| metric_index(name).map_or(0.0, |index| row.metrics[index]);
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:6} {:28} {:>6} {:>7} {:>6}  {:>7} {:>17}  {:>5} {:>5} {:>6} {:>6} {:>6}  broken",
        "day",
        "variant",
        "seeds",
        "G",
        "worst",
        "differs",
        "95%",
        "pairs",
        "moves",
        "refus.",
        "jam",
        "zone"
    );
    for ((day, variant), played) in &by_variant {
        let values = |name: &str| {
            played
                .values()
                .map(|row| value(row, name))
                .collect::<Vec<_>>()
        };
        let mean = |name: &str| values(name).iter().sum::<f64>() / played.len().max(1) as f64;
        let base_rows = by_variant.get(&(*day, base));
        let differences: Vec<f64> = played
            .iter()
            .filter_map(|(key, row)| Some(value(row, "G") - value(base_rows?.get(key)?, "G")))
            .collect();
        let (mean_difference, least, most) = interval(&differences);
        let broken = played
            .values()
            .filter(|row| !row.first_violation.is_empty())
            .count();
        let _ = writeln!(
            out,
            "{day:6} {variant:28} {:6} {:7.3} {:6.3}  {mean_difference:+7.3} {:>17}  {:5.1} {:5.2} {:6.3} {:6.3} {:6.2}  {broken}",
            played.len(),
            quantile(values("G"), 0.5),
            quantile(values("G"), 0.1),
            format!("[{least:+.3}, {most:+.3}]"),
            mean("pairs_per_group"),
            mean("moves_per_try"),
            mean("refused_share"),
            mean("loss_jam") + mean("loss_cold"),
            mean("same_zone_share"),
        );
    }
    let mut worst: Vec<&Row> = rows.iter().collect();
    worst.sort_by(|a, b| value(a, "G").total_cmp(&value(b, "G")));
    let _ = writeln!(out, "the worst:");
    for row in worst.iter().take(3) {
        let broken = if row.first_violation.is_empty() {
            String::new()
        } else {
            format!(" ({})", row.first_violation)
        };
        let (day, seed, variant) = (&row.cell.day, row.cell.seed, &row.cell.variant);
        let _ = writeln!(
            out,
            "  G {:.3}  fleet play {day} --seed {seed}  [{variant}]{broken}",
            value(row, "G")
        );
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_interval_holds_its_mean_and_one_of_equal_differences_has_no_width() {
        let (mean, least, most) = interval(&[0.1, 0.3, -0.2, 0.4, 0.0]);
        assert!(least < mean && mean < most, "{least} {mean} {most}");
        assert_eq!(interval(&[0.25, 0.25]), (0.25, 0.25, 0.25));
        assert_eq!(interval(&[]), (0.0, 0.0, 0.0));
    }
}
