//! What every wait of a run looks at: whether it was interrupted, and whether its time is up.

use crate::scale::error::ScaleError;
use signal_hook::consts::{SIGINT, SIGTERM};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The pause between two looks at whatever is waited for.
const LOOK: Duration = Duration::from_millis(10);

/// See the module's text.
#[derive(Clone)]
pub struct Control {
    interrupted: Arc<AtomicBool>,
    deadline: Instant,
}

impl Control {
    /// Hears signals from now on, and lets the run last so long.
    pub fn start(limit: Duration) -> Result<Control, ScaleError> {
        let interrupted = Arc::<AtomicBool>::default();
        for signal in [SIGINT, SIGTERM] {
            signal_hook::flag::register(signal, interrupted.clone())?;
        }
        Ok(Control {
            interrupted,
            deadline: Instant::now() + limit,
        })
    }

    /// Whether the run may go on.
    pub fn check(&self, waited_for: &str) -> Result<(), ScaleError> {
        if self.interrupted.load(Relaxed) {
            return Err(ScaleError::Interrupted);
        }
        if Instant::now() > self.deadline {
            return Err(ScaleError::Run(format!(
                "its time was up while it waited for {waited_for}"
            )));
        }
        Ok(())
    }

    /// Waits so long.
    pub fn pause(&self, length: Duration) -> Result<(), ScaleError> {
        let end = Instant::now() + length;
        while Instant::now() < end {
            self.check("a pause")?;
            thread::sleep(LOOK.min(end.saturating_duration_since(Instant::now())));
        }
        Ok(())
    }

    /// Looks again and again until something is there, for so long at most.
    pub fn wait<T>(
        &self,
        what: &str,
        limit: Duration,
        mut look: impl FnMut() -> Result<Option<T>, ScaleError>,
    ) -> Result<T, ScaleError> {
        let end = Instant::now() + limit;
        loop {
            if let Some(found) = look()? {
                return Ok(found);
            }
            self.check(what)?;
            if Instant::now() > end {
                return Err(ScaleError::Run(format!(
                    "waited {} s in vain for {what}",
                    limit.as_secs()
                )));
            }
            thread::sleep(LOOK);
        }
    }
}
