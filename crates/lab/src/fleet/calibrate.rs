//! Calibration: compares days recorded in the journal's JSON entries with days of the same kind
//! and size played by the emulator.

use super::days::Day;
use super::experiment::{metric_index, Cell, Experiment, NamedVariant};
use super::policy::Policy;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

/// A recorded day.
#[derive(Clone, Debug)]
pub struct Recorded {
    /// Its kind: the name of a built-in day.
    pub kind: String,
    /// Name of the journal entry.
    pub entry: String,
    /// Numbers of relays and backends.
    pub size: (usize, usize),
    /// Its metrics, by the emulator's names.
    pub metrics: BTreeMap<&'static str, f64>,
}

/// Compared metrics: name in the emulator, key in a journal entry (in `signature` or in the day),
/// and bound. A bound of 1 or more limits the ratio of the two values, a smaller one their
/// difference.
pub const COMPARED: [(&str, &str, f64); 7] = [
    ("G", "G", 0.12),
    ("whole", "served", 0.12),
    ("same_zone_share", "same_zone_share", 1.5),
    ("attempts", "attempts", 1.5),
    ("moves_per_try", "moves_per_try", 1.5),
    ("probes_per_try", "probes_per_try", 1.5),
    ("refused_share", "refused_share", 0.15),
];

/// Reads the recorded days of full fleets (at least 200 relays) from a journal's folder, from
/// entries whose name sorts at or after `since`.
pub fn read(folder: &Path, since: &str) -> std::io::Result<Vec<Recorded>> {
    let mut paths: Vec<_> = std::fs::read_dir(folder)?
        .filter_map(|e| Some(e.ok()?.path()))
        .collect();
    paths.retain(|p| p.extension().is_some_and(|e| e == "json"));
    paths.sort();
    let mut all = Vec::new();
    for path in paths {
        let name = path
            .file_stem()
            .map_or(String::new(), |s| s.to_string_lossy().into_owned());
        if name.as_str() < since {
            continue;
        }
        // Entries of other formats are skipped.
        let Some(entry) = std::fs::read(&path)
            .ok()
            .and_then(|b| serde_json::from_slice::<Value>(&b).ok())
        else {
            continue;
        };
        for day in entry["days"].as_array().into_iter().flatten() {
            let Some(kind) = day["name"].as_str().and_then(|n| n.strip_suffix("+mass")) else {
                continue;
            };
            let size = (
                day["balancers"].as_u64().unwrap_or(0) as usize,
                day["servers"].as_u64().unwrap_or(0) as usize,
            );
            let mut metrics = BTreeMap::new();
            for (name, recorded_name, _) in COMPARED {
                let value = day["signature"][recorded_name]
                    .as_f64()
                    .or_else(|| day[recorded_name].as_f64());
                if let Some(value) = value {
                    metrics.insert(name, value);
                }
            }
            if size.0 >= 200 && !metrics.is_empty() {
                all.push(Recorded {
                    kind: kind.into(),
                    entry: name.clone(),
                    size,
                    metrics,
                });
            }
        }
    }
    Ok(all)
}

/// Returns the ranks of values; equal values share their mean rank.
fn ranks(values: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..values.len()).collect();
    order.sort_by(|&a, &b| values[a].total_cmp(&values[b]));
    let mut ranks = vec![0.0; values.len()];
    let mut n = 0;
    while n < order.len() {
        let same = (n..order.len())
            .take_while(|&k| values[order[k]] == values[order[n]])
            .count();
        let rank = n as f64 + (same as f64 - 1.0) / 2.0;
        order[n..n + same].iter().for_each(|&k| ranks[k] = rank);
        n += same;
    }
    ranks
}

/// Spearman's rank correlation; `None` if all values of one side are equal.
pub fn rank_correlation(a: &[f64], b: &[f64]) -> Option<f64> {
    let (a, b) = (ranks(a), ranks(b));
    let mean = |v: &[f64]| v.iter().sum::<f64>() / v.len().max(1) as f64;
    let (ma, mb) = (mean(&a), mean(&b));
    let (mut ab, mut aa, mut bb) = (0.0, 0.0, 0.0);
    for (x, y) in a.iter().zip(&b) {
        ab += (x - ma) * (y - mb);
        aa += (x - ma) * (x - ma);
        bb += (y - mb) * (y - mb);
    }
    (aa > 0.0 && bb > 0.0).then(|| ab / (aa * bb).sqrt())
}

/// Result of a comparison.
pub struct Comparison {
    /// The table.
    pub text: String,
    /// Number of metrics compared, and of those within their bounds.
    pub compared: usize,
    /// See `compared`.
    pub within: usize,
    /// Rank correlation of G over the kinds of day.
    pub correlation: Option<f64>,
}

/// Plays `seeds` seeds of each recorded kind at the recorded sizes and compares the mean metrics.
pub fn compare(
    recorded: &[Recorded],
    seeds: u64,
    jobs: usize,
    policy: Policy,
) -> Result<Comparison, super::days::DayError> {
    let mut by_kind: BTreeMap<&str, Vec<&Recorded>> = BTreeMap::new();
    recorded
        .iter()
        .for_each(|r| by_kind.entry(&r.kind).or_default().push(r));
    let days = by_kind
        .keys()
        .map(|kind| Day::load(kind))
        .collect::<Result<Vec<_>, _>>()?;
    let experiment = Experiment {
        name: "calibration".into(),
        days,
        seeds: (1..=seeds).collect(),
        sizes: vec![None],
        variants: vec![NamedVariant {
            name: "now".into(),
            policy,
            load_watch: false,
        }],
    };
    let mut cells = Vec::new();
    for (kind, days) in &by_kind {
        for seed in 1..=seeds {
            let size = Some(days[seed as usize % days.len()].size);
            cells.push(Cell {
                day: kind.to_string(),
                variant: "now".into(),
                seed,
                size,
            });
        }
    }
    let mut rows = Vec::new();
    experiment.run(&cells, jobs, |row| {
        rows.push(row);
        true
    });
    let (mut text, mut compared, mut within) = (String::new(), 0, 0);
    let mut scores: Vec<(f64, f64)> = Vec::new();
    let _ = writeln!(
        text,
        "{:6} {:18} {:>9} {:>9} {:>7}  days recorded / seeds played",
        "day", "figure", "recorded", "model", "ratio"
    );
    for (kind, days) in &by_kind {
        let played: Vec<_> = rows.iter().filter(|row| row.cell.day == *kind).collect();
        for (name, _, bound) in COMPARED {
            let recorded_values: Vec<f64> = days
                .iter()
                .filter_map(|d| d.metrics.get(name).copied())
                .collect();
            let Some(index) =
                metric_index(name).filter(|_| !recorded_values.is_empty() && !played.is_empty())
            else {
                continue;
            };
            let recorded = recorded_values.iter().sum::<f64>() / recorded_values.len() as f64;
            let model =
                played.iter().map(|row| row.metrics[index]).sum::<f64>() / played.len() as f64;
            let ratio = model / recorded.max(1e-9);
            let is_within = match bound >= 1.0 {
                true => (1.0 / bound..=bound).contains(&ratio),
                false => (model - recorded).abs() <= bound,
            };
            (compared, within) = (compared + 1, within + usize::from(is_within));
            if name == "G" {
                scores.push((recorded, model));
            }
            let _ = writeln!(
                text,
                "{kind:6} {name:18} {recorded:9.3} {model:9.3} {ratio:7.2}{} {} / {}",
                if is_within { "  " } else { " *" },
                recorded_values.len(),
                played.len()
            );
        }
    }
    let (a, b): (Vec<f64>, Vec<f64>) = scores.into_iter().unzip();
    let correlation = rank_correlation(&a, &b);
    let _ = writeln!(
        text,
        "{within} of {compared} figures within their bounds (* is outside); rank correlation of G over kinds: {}",
        correlation.map_or("none".into(), |c| format!("{c:.2}"))
    );
    Ok(Comparison {
        text,
        compared,
        within,
        correlation,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ranks_that_agree_correlate_and_those_that_do_not_vary_have_no_correlation() {
        assert_eq!(
            rank_correlation(&[1.0, 2.0, 3.0], &[10.0, 20.0, 900.0]),
            Some(1.0)
        );
        assert_eq!(
            rank_correlation(&[1.0, 2.0, 3.0], &[3.0, 2.0, 1.0]),
            Some(-1.0)
        );
        assert_eq!(ranks(&[5.0, 1.0, 5.0]), [1.5, 0.0, 1.5]);
        assert_eq!(rank_correlation(&[1.0, 1.0], &[1.0, 2.0]), None);
    }
}
