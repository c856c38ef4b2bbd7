//! Runs of a whole fleet at the size of an installation, and what follows from their figures.
//!
//! Voters and some relays are processes of the program. The other relays are hollow: the program's own code of the control
//! over real sockets, hundreds to a process, with the data path left out.

pub mod admissions;
pub mod error;
pub mod fit;
pub mod guard;
pub mod hollow;
pub mod plan;
pub mod process;
pub mod record;
pub mod run;
pub mod summary;

use record::Origin;
use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

/// What a result says of where and when it was measured.
pub fn origin(label: &str, ledgers: &str) -> io::Result<Origin> {
    Ok(Origin {
        unix_seconds: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs(),
        label: label.into(),
        processors: std::thread::available_parallelism()?.get(),
        memory_bytes: process::machine_memory()?,
        ledgers: ledgers.into(),
    })
}
