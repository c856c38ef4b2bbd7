//! `check`: reads a configuration and says what is in it.

use super::{env, Failure};
use argh::FromArgs;
use jaspermoor::config::Config;

/// Reads and checks a configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the file; without it, the one that BALANCER_CONFIG names
    #[argh(positional)]
    config: Option<String>,
}

/// Runs it.
pub fn run(check: Check) -> Result<(), Failure> {
    let config = Config::load(&|key| match (key, &check.config) {
        ("BALANCER_CONFIG", Some(path)) => Some(path.clone()),
        _ => env(key),
    })?;
    println!(
        "{}: listens on {}, discovery at {}, {} backends known, {} classes",
        config.name,
        config.listen,
        config.discovery,
        config.known.len(),
        config.classes.names().len()
    );
    Ok(())
}
