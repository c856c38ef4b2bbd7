//! Cells: which servers and which sites belong together. Decides, does no I/O and reads no clock; all relays that
//! have the same file and the same list come to the same answers.
//!
//! Guards against: one site's or one release's harm reaching all servers, a site that is quietly let in everywhere
//! when its own cell is gone, a server's going that moves others.

pub mod map;

pub use map::{site_key, CellMap, Fault, Home, NoServer, Placed};

use crate::config::operator::{OperatorError, OperatorFile};
use crate::decisions::api::{Micros, SECOND};
use std::sync::Arc;

/// The most connections that may be moved a second: more than any fleet of these bears.
const FASTEST: u32 = 1_000;
/// The longest time to come again that a client without a cell is told, in milliseconds.
const LONGEST_WAIT: u64 = 600_000;

/// How cells are served.
#[derive(Clone, Debug)]
pub struct Cells {
    /// The map.
    pub map: Arc<CellMap>,
    /// When a client that is refused for want of a cell may come again.
    pub retry_after: Micros,
    /// The pause between two moves of connections whose site has another cell.
    pub move_pause: Micros,
}

impl Default for Cells {
    /// One cell.
    fn default() -> Self {
        Cells {
            map: Arc::default(),
            retry_after: SECOND,
            move_pause: SECOND / 5,
        }
    }
}

impl Cells {
    /// What `[cells]` sets, checked; one cell where the file does not have it.
    pub fn of(file: &OperatorFile) -> Result<Cells, OperatorError> {
        let Some(c) = &file.operator.cells else {
            return Ok(Cells::default());
        };
        let map = Arc::new(CellMap::of(file, c)?);
        if !(1..=FASTEST).contains(&c.moves_per_second) {
            let what = format!("is {}, outside 1 to {FASTEST}", c.moves_per_second);
            return Err(file.error("cells.moves_per_second", what));
        }
        if c.retry_after_ms > LONGEST_WAIT {
            let what = format!("is {}, more than {LONGEST_WAIT}", c.retry_after_ms);
            return Err(file.error("cells.retry_after_ms", what));
        }
        let (retry_after, move_pause) = (
            c.retry_after_ms * 1_000,
            SECOND / Micros::from(c.moves_per_second),
        );
        Ok(Cells {
            map,
            retry_after,
            move_pause,
        })
    }
}
