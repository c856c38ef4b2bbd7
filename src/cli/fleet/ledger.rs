//! `fleet init|join`: create the ledger of a voter on the relay's own disk, without contacting the
//! fleet.

use crate::cli::Failure;
use argh::FromArgs;
use jaspermoor::config::operator::{OperatorError, OperatorFile};
use jaspermoor::net::fleet::{random_u64, FleetSettings};
use jaspermoor::platform::ledger::Ledger;

/// Creates the ledger of a voter of a new fleet: once, before its first start. Never use it to
/// replace a lost ledger.
#[derive(FromArgs)]
#[argh(subcommand, name = "init")]
pub struct Init {}

/// Creates the ledger of a voter that will join a running fleet, with a number never used before.
#[derive(FromArgs)]
#[argh(subcommand, name = "join")]
pub struct Join {}

/// Creates the ledger of a founding voter.
pub fn init(file: &OperatorFile, settings: &FleetSettings) -> Result<(), Failure> {
    let voter = configured_voter(file, settings)?;
    Ledger::create_for_new_fleet(
        &settings.directory,
        &settings.ledger_owner(),
        &settings.voter_numbers(),
        new_incarnation(),
    )?;
    print_created(voter, settings);
    Ok(())
}

/// Creates the ledger of a voter that will join a running fleet.
pub fn join(file: &OperatorFile, settings: &FleetSettings) -> Result<(), Failure> {
    let voter = configured_voter(file, settings)?;
    Ledger::create_for_joining_voter(
        &settings.directory,
        &settings.ledger_owner(),
        new_incarnation(),
    )?;
    print_created(voter, settings);
    println!(
        "start this relay, then run: jaspermoor fleet --operator FILE add {voter} --address ADDRESS"
    );
    Ok(())
}

fn configured_voter(file: &OperatorFile, settings: &FleetSettings) -> Result<u64, OperatorError> {
    let problem = "is missing: a relay that does not vote needs no ledger";
    settings
        .fleet
        .voter
        .ok_or_else(|| file.error("fleet.voter", problem))
}

/// A random incarnation. Never 0, which stands for an unknown incarnation.
fn new_incarnation() -> u64 {
    random_u64().max(1)
}

fn print_created(voter: u64, settings: &FleetSettings) {
    println!(
        "created the ledger of voter {voter} of the fleet '{}' in {}",
        settings.fleet.id,
        settings.directory.display()
    );
}
