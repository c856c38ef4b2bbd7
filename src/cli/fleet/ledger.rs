//! `fleet init|join`: create the ledger of a voter, on the relay's own disk. No voter is asked.

use crate::cli::Failure;
use argh::FromArgs;
use jaspermoor::config::operator::{OperatorError, OperatorFile};
use jaspermoor::net::fleet::{random_u64, FleetSettings};
use jaspermoor::platform::ledger::Ledger;

/// Makes the ledger of a voter of a new fleet: once, before its first start. Never to replace one that was lost.
#[derive(FromArgs)]
#[argh(subcommand, name = "init")]
pub struct Init {}

/// Makes the ledger of a voter that is to join a fleet that runs, under a number that was never given.
#[derive(FromArgs)]
#[argh(subcommand, name = "join")]
pub struct Join {}

/// Creates the ledger of a founding voter.
pub fn init(file: &OperatorFile, settings: &FleetSettings) -> Result<(), Failure> {
    let voter = own_number(file, settings)?;
    Ledger::create_for_new_fleet(
        &settings.directory,
        &settings.ledger_owner(),
        &settings.voter_numbers(),
        new_incarnation(),
    )?;
    print_created(voter, settings);
    Ok(())
}

/// Creates the ledger of a voter that joins.
pub fn join(file: &OperatorFile, settings: &FleetSettings) -> Result<(), Failure> {
    let voter = own_number(file, settings)?;
    Ledger::create_for_joining_voter(
        &settings.directory,
        &settings.ledger_owner(),
        new_incarnation(),
    )?;
    print_created(voter, settings);
    println!(
        "start this relay, then: jaspermoor fleet --operator FILE add {voter} --address ADDRESS"
    );
    Ok(())
}

fn own_number(file: &OperatorFile, settings: &FleetSettings) -> Result<u64, OperatorError> {
    let missing = "is missing: a relay without a vote needs no ledger made";
    settings
        .fleet
        .voter
        .ok_or_else(|| file.error("fleet.voter", missing))
}

/// A random incarnation. Never 0, which stands for an unknown one.
fn new_incarnation() -> u64 {
    random_u64().max(1)
}

fn print_created(voter: u64, settings: &FleetSettings) {
    println!(
        "voter {voter} of the fleet '{}' has its ledger in {}",
        settings.fleet.id,
        settings.directory.display()
    );
}
