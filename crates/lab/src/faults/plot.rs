//! A play as a picture: a row for each relay, epochs as colours where its clients were admitted, faults as bars above.

use super::history::{Fact, Line};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;

/// Pixels of the picture, and of a relay's row.
const WIDTH: u32 = 1400;
const ROW: u32 = 36;
/// The least width of what happened at one moment, in seconds, so that it can be seen.
const LEAST: f64 = 0.004;

/// Draws it.
pub fn draw(path: &Path, title: &str, history: &[Line]) -> Result<(), String> {
    draw_all(path, title, history).map_err(|e| format!("{}: cannot be drawn: {e}", path.display()))
}

fn draw_all(path: &Path, title: &str, history: &[Line]) -> Result<(), Box<dyn std::error::Error>> {
    let seconds = |at: u64| at as f64 / 1e6;
    let mut rows: BTreeMap<&str, usize> = BTreeMap::new();
    for line in history {
        if let Fact::Admitted { relay, .. } | Fact::Spoilt { relay, .. } = &line.fact {
            rows.insert(relay, 0);
        }
    }
    for (n, row) in rows.values_mut().enumerate() {
        *row = n;
    }
    let last = |line: &Line| matches!(line.fact, Fact::Admitted { .. }).then_some(line.at);
    let end = seconds(history.iter().filter_map(last).max().unwrap_or(1_000_000));
    let area =
        SVGBackend::new(path, (WIDTH, 90 + ROW * rows.len().max(1) as u32)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(34)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..end, 0.0..rows.len().max(1) as f64)?;
    let names: Vec<&str> = rows.keys().copied().collect();
    chart
        .configure_mesh()
        .disable_y_mesh()
        .x_desc("seconds since the begin; grey: something is done to the relay; colours: the epoch that clients were admitted under")
        .y_labels(rows.len() + 1)
        .y_label_formatter(&|y| names.get(*y as usize).map_or(String::new(), |name| (*name).to_string()))
        .draw()?;
    let mut bars = Vec::new();
    for line in history {
        if let Fact::Spoilt { relay, until } = &line.fact {
            let y = rows[relay.as_str()] as f64;
            let style = RGBColor(205, 205, 205).filled();
            bars.push(Rectangle::new(
                [
                    (seconds(line.at), y + 0.02),
                    (seconds(*until).min(end), y + 0.98),
                ],
                style,
            ));
        }
    }
    for line in history {
        if let Fact::Admitted {
            relay,
            epoch,
            asked,
        } = &line.fact
        {
            let y = rows[relay.as_str()] as f64;
            let style = Palette99::pick(*epoch as usize).filled();
            let right = seconds(line.at).max(seconds(*asked) + LEAST);
            bars.push(Rectangle::new(
                [(seconds(*asked), y + 0.2), (right, y + 0.8)],
                style,
            ));
        }
    }
    chart.draw_series(bars)?;
    area.present()?;
    Ok(())
}
