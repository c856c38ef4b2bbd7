//! Loads as levels: numbers so coarse that a level changes only where a decision may change, and so small that a level is
//! one or two bytes.
//!
//! Up to [`LINEAR`] a level is a twentieth wide. All thresholds of the decisions (0.3, 0.4, 0.6, 0.7, 0.75, 0.9 and 1.0 of
//! a backend's capacity) are borders of such levels, and a level stands for its middle, so a load that is told is on the
//! same side of each threshold as the load that was measured. Above that levels grow by a sixteenth of an octave: counts of
//! connections, which the decisions only add up and divide, are within about 2.2% of what was measured.

#[cfg(test)]
mod tests;

/// A load as it is told.
pub type Level = u16;

/// Levels in a load of one.
const PER_UNIT: f32 = 20.0;
/// Levels of equal width: they reach up to a load of 1.6.
const LINEAR: Level = 32;
/// Levels in an octave above that.
const PER_OCTAVE: f32 = 16.0;
/// The highest level: 2^60, more than anything that is counted.
const HIGHEST: f32 = 1_000.0;

/// The level of a load; none for what is no load: a negative or infinite number, or none at all.
pub fn level(load: f32) -> Option<Level> {
    if !load.is_finite() || load < 0.0 {
        return None;
    }
    let border = f32::from(LINEAR) / PER_UNIT;
    if load < border {
        return Some(linear(load));
    }
    let above = ((load / border).log2() * PER_OCTAVE).floor().min(HIGHEST);
    Some(LINEAR + above as Level)
}

/// The level of a load below [`LINEAR`]. A product of floats may fall short of a border that the load has reached.
fn linear(load: f32) -> Level {
    let level = (load * PER_UNIT) as Level;
    let next = f32::from(level + 1) / PER_UNIT;
    let level = if load >= next { level + 1 } else { level };
    if load < f32::from(level) / PER_UNIT {
        level - 1
    } else {
        level
    }
}

/// The load that a level stands for: its middle.
pub fn load(level: Level) -> f32 {
    if level < LINEAR {
        return (f32::from(level) + 0.5) / PER_UNIT;
    }
    let octaves = (f32::from(level - LINEAR) + 0.5) / PER_OCTAVE;
    f32::from(LINEAR) / PER_UNIT * octaves.exp2()
}
