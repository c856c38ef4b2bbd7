//! What the results of runs say about other sizes: lines through measured points, how far off they are, and the values at
//! the size to reckon for.

pub mod figures;
pub mod line;
pub mod page;
pub mod tables;

use super::error::ScaleError;
use super::record::{read, Record};
use std::path::PathBuf;

/// The size to reckon for, and what the control may take there.
pub mod target {
    /// Relays.
    pub const RELAYS: f64 = 550.0;
    /// Jobs: the load watch of each of five zones, and the paced moves.
    pub const JOBS: usize = 6;
    /// Policy changes a second: 1,200 a day.
    pub const CHANGES_PER_SECOND: f64 = 1_200.0 / 86_400.0;
    /// Connections of one relay.
    pub const CONNECTIONS: f64 = 41_800.0;
    /// Deliveries a second of one relay.
    pub const DELIVERIES_PER_SECOND: f64 = 9_100.0;
    /// Milliseconds within which 99 of 100 deliveries are made.
    pub const DELIVERY_MS: f64 = 190.0;
    /// Milliseconds within which a policy change is in force.
    pub const IN_FORCE_MS: f64 = 4_000.0;
    /// The control's part of a processor at a relay.
    pub const RELAY_CORE: f64 = 0.01;
    /// The control's memory at a relay, in bytes.
    pub const RELAY_MEMORY: f64 = 32e6;
    /// The control's bytes a second at a relay, sent and received.
    pub const RELAY_BYTES: f64 = 4e3;
}

/// Runs up to this many relays must foretell those at [`target::RELAYS`].
pub const FORETOLD_FROM: usize = 300;
/// How far a foretold number of bytes or messages may be off.
pub const TRAFFIC_TOLERANCE: f64 = 0.15;
/// How far a foretold time on a processor may be off.
pub const CORE_TOLERANCE: f64 = 0.30;

/// Reads the results of all files.
pub fn read_all(files: &[PathBuf]) -> Result<Vec<Record>, ScaleError> {
    let mut records = Vec::new();
    for file in files {
        let read = read(file)?;
        if read.is_empty() {
            return Err(ScaleError::File {
                file: file.clone(),
                line: None,
                what: "has no results".into(),
            });
        }
        records.extend(read);
    }
    Ok(records)
}
