//! `fleet`: what a fleet needs before it is one.

use super::Failure;
use argh::FromArgs;
use jaspermoor::config::operator::OperatorFile;
use jaspermoor::net::fleet::Setup;
use jaspermoor::platform::ledger::Ledger;
use std::path::PathBuf;

/// Makes what a fleet needs.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
pub struct FleetOf {
    /// the operator file
    #[argh(option)]
    operator: PathBuf,
    #[argh(subcommand)]
    what: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
    Init(Init),
}

/// Makes the ledger of a voter of a new fleet: once, before its first start. Never to replace one that was lost.
#[derive(FromArgs)]
#[argh(subcommand, name = "init")]
struct Init {}

/// Runs it.
pub fn run(asked: FleetOf) -> Result<(), Failure> {
    let file = OperatorFile::load(&asked.operator)?;
    let Some(setup) = Setup::of(&file)? else { return Err(file.error("fleet", "is missing").into()) };
    let What::Init(_) = asked.what;
    let Some(voter) = setup.fleet.voter else {
        return Err(file
            .error("fleet.voter", "is missing: a relay without a vote needs no ledger made")
            .into());
    };
    Ledger::found(&setup.directory, &setup.owner(), &setup.numbers())?;
    println!(
        "voter {voter} of the fleet '{}' has its ledger in {}",
        setup.fleet.id,
        setup.directory.display()
    );
    Ok(())
}
