//! Cells: the endpoints and the groups are divided into cells, so that a harmful group or a faulty
//! release affects one cell only. The operator file calls a group a site.
//!
//! Inputs: the operator file and the endpoint list. There is no I/O and no clock: all relays with
//! the same file and the same list compute the same cells. A group whose cell has no usable
//! endpoint is rejected or borrows within a limit, and is never admitted to all cells. The cell of
//! an endpoint does not change when another endpoint is removed.

#![warn(unreachable_pub, rust_2018_idioms)]
#![warn(clippy::too_many_lines, clippy::many_single_char_names)]

mod faults;
mod map;
mod operator_file;
mod reports;
#[cfg(test)]
mod tests;

pub use faults::CellFault;
pub use map::{group_key, CellMap, HomeReason, NoEndpointPolicy, Placement, MAX_CELLS};

use crate::config::operator::{OperatorError, OperatorFile};
use crate::decisions::api::{Micros, SECOND};
use std::sync::Arc;

/// The most connections that may be migrated per second.
const MAX_MIGRATIONS_PER_SECOND: u32 = 1_000;
/// The longest Retry-After of a client that no cell can take, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 600_000;
const MICROS_PER_MILLI: Micros = 1_000;

/// The cell map, and the limits that apply under it.
#[derive(Clone, Debug)]
pub struct Cells {
    /// The cells of the groups and endpoints.
    pub map: Arc<CellMap>,
    /// Retry-After of a client that no cell can take, in microseconds; 1 s by default.
    pub retry_after: Micros,
    /// Time between two migrations of connections whose group has another cell, in microseconds;
    /// 200 ms by default.
    pub migration_interval: Micros,
}

impl Default for Cells {
    /// A single cell.
    fn default() -> Self {
        Cells {
            map: Arc::default(),
            retry_after: SECOND,
            migration_interval: SECOND / 5,
        }
    }
}

impl Cells {
    /// The cells that `[cells]` of the operator file sets; a single cell if the file has no such
    /// section.
    ///
    /// # Errors
    ///
    /// The first key with a value that is out of range or contradicts another one.
    pub fn from_operator_file(file: &OperatorFile) -> Result<Cells, OperatorError> {
        let Some(settings) = &file.operator.cells else {
            return Ok(Cells::default());
        };
        let map = Arc::new(CellMap::from_operator_file(file, settings)?);
        let migrations_per_second = settings.moves_per_second;
        if !(1..=MAX_MIGRATIONS_PER_SECOND).contains(&migrations_per_second) {
            let problem =
                format!("is {migrations_per_second}, outside 1 to {MAX_MIGRATIONS_PER_SECOND}");
            return Err(file.error("cells.moves_per_second", problem));
        }
        let retry_after_ms = settings.retry_after_ms;
        if retry_after_ms > MAX_RETRY_AFTER_MS {
            let problem = format!("is {retry_after_ms}, more than {MAX_RETRY_AFTER_MS}");
            return Err(file.error("cells.retry_after_ms", problem));
        }
        Ok(Cells {
            map,
            retry_after: retry_after_ms * MICROS_PER_MILLI,
            migration_interval: SECOND / Micros::from(migrations_per_second),
        })
    }
}
