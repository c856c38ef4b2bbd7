//! `check`: validates a configuration and prints a summary of it.

use super::{env, Failure};
use argh::FromArgs;
use jaspermoor::cells::Cells;
use jaspermoor::config::operator::OperatorFile;
use jaspermoor::config::policy;
use jaspermoor::config::Config;
use jaspermoor::net::fleet::FleetSettings;
use jaspermoor::net::shared::XmppFront;
use std::path::PathBuf;

/// Checks a configuration and prints a summary.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the configuration file (default: the one that BALANCER_CONFIG names)
    #[argh(positional)]
    config: Option<String>,
    /// the operator file to check with it
    #[argh(option)]
    operator: Option<PathBuf>,
}

/// Checks the configuration, and the operator file if one is given.
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
    let Some(path) = check.operator else {
        return Ok(());
    };
    let file = OperatorFile::load(&path)?;
    let map = Cells::from_operator_file(&file)?.map;
    if !map.is_single() {
        println!("{}: {} cells", path.display(), map.cell_count());
    }
    match XmppFront::from_operator_file(&file, &config)? {
        Some(xmpp) => println!(
            "{}: XMPP for {}",
            path.display(),
            xmpp.settings.domains.join(", ")
        ),
        None => println!("{}: no XMPP front", path.display()),
    }
    policy::parameters(&file)?;
    if let Some(settings) = FleetSettings::from_operator_file(&file)? {
        let vote = settings
            .fleet
            .voter
            .map_or("without a vote".into(), |n| format!("as voter {n}"));
        println!(
            "{}: in the fleet '{}' {vote}",
            path.display(),
            settings.fleet.id
        );
    }
    Ok(())
}
