//! Measurements of the relay: all variants side by side in one run, medians of several.

use std::error::Error;
use std::path::Path;

/// Measures the XMPP front.
pub fn xmpp(_program: &Path, _dir: &Path, _runs: usize, _idle: usize) -> Result<String, Box<dyn Error>> {
    Err("is not measured yet".into())
}
