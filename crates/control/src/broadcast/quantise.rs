//! Quantisation of loads into levels. Levels are coarse, so that small changes of a load need not
//! be sent, and a level takes only one or two bytes.
//!
//! Input: a load, in units of an endpoint's capacity or as a count. Output: its level, and the load
//! that a level represents.
//!
//! Below a load of 1.6 a level is 0.05 wide. All thresholds of the decisions (0.3, 0.4, 0.6, 0.7,
//! 0.75, 0.9 and 1.0) are boundaries of levels, and a level represents its midpoint, so a quantised
//! load is on the same side of each threshold as the original. Above 1.6 a level is a sixteenth of
//! an octave wide, so that counts of connections, which the decisions only add and divide, are
//! within about 2.2% of the original.

#[cfg(test)]
mod tests;

/// A quantised load.
pub type Level = u16;

/// Linear levels per unit of load.
const LEVELS_PER_UNIT: f32 = 20.0;
/// Number of linear levels, which cover loads below 1.6.
const LINEAR_LEVELS: Level = 32;
/// Logarithmic levels per octave of load.
const LEVELS_PER_OCTAVE: f32 = 16.0;
/// Highest logarithmic level. It represents a load above 2^60, which exceeds any count.
const MAX_LOGARITHMIC_LEVEL: f32 = 1_000.0;

/// Level of a load; `None` for a negative number, infinity or NaN.
pub fn level(load: f32) -> Option<Level> {
    if !load.is_finite() || load < 0.0 {
        return None;
    }
    let max_linear_load = f32::from(LINEAR_LEVELS) / LEVELS_PER_UNIT;
    if load < max_linear_load {
        return Some(linear_level(load));
    }
    let octaves = (load / max_linear_load).log2();
    let logarithmic_level = (octaves * LEVELS_PER_OCTAVE)
        .floor()
        .min(MAX_LOGARITHMIC_LEVEL);
    Some(LINEAR_LEVELS + logarithmic_level as Level)
}

/// Level of a load in the linear range. Since floating-point multiplication rounds, the level is
/// corrected by comparing the load with the boundaries of the level.
fn linear_level(load: f32) -> Level {
    let product = (load * LEVELS_PER_UNIT) as Level;
    let next_boundary = f32::from(product + 1) / LEVELS_PER_UNIT;
    let level = if load >= next_boundary {
        product + 1
    } else {
        product
    };
    if load < f32::from(level) / LEVELS_PER_UNIT {
        level - 1
    } else {
        level
    }
}

/// Load that a level represents: its midpoint.
pub fn load(level: Level) -> f32 {
    if level < LINEAR_LEVELS {
        return (f32::from(level) + 0.5) / LEVELS_PER_UNIT;
    }
    let octaves = (f32::from(level - LINEAR_LEVELS) + 0.5) / LEVELS_PER_OCTAVE;
    f32::from(LINEAR_LEVELS) / LEVELS_PER_UNIT * octaves.exp2()
}
