//! `fleet`: creates the ledgers of voters, changes the voters, and shows and changes the owners of
//! the fleet's jobs.

mod jobs;
mod ledger;
mod membership;

use super::operator_client::OperatorClient;
use super::output::OutputFormat;
use super::Failure;
use argh::FromArgs;
use jaspermoor::config::operator::OperatorFile;
use jaspermoor::net::fleet::FleetSettings;
use std::path::PathBuf;
use std::time::Duration;

/// Pause between two requests for the progress of a change.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Creates the ledgers of voters, and changes the fleet's voters and the owners of its jobs.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
pub struct FleetCommand {
    /// the operator file
    #[argh(option)]
    operator: PathBuf,
    /// how long to wait for a change, in seconds (default 30)
    #[argh(option, default = "30")]
    wait: u64,
    /// print results as JSON, one object per line
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    subcommand: Subcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Init(ledger::Init),
    Join(ledger::Join),
    Voters(membership::ListVoters),
    Add(membership::AddVoter),
    Remove(membership::RemoveVoter),
    Replace(membership::ReplaceVoter),
    Jobs(jobs::ListJobs),
    Owner(jobs::ShowOwner),
    HandOver(jobs::HandOver),
    Hold(jobs::Hold),
    Release(jobs::Release),
}

/// Runs the sub-command.
pub fn run(command: FleetCommand) -> Result<(), Failure> {
    let file = OperatorFile::load(&command.operator)?;
    let Some(settings) = FleetSettings::from_operator_file(&file)? else {
        return Err(file.error("fleet", "is missing").into());
    };
    let format = OutputFormat::from_switch(command.json);
    let max_wait = Duration::from_secs(command.wait);
    let mut client = OperatorClient::new(settings.clone(), max_wait);
    match command.subcommand {
        Subcommand::Init(_) => ledger::init(&file, &settings),
        Subcommand::Join(_) => ledger::join(&file, &settings),
        Subcommand::Voters(_) => membership::list(&mut client, format),
        Subcommand::Add(add) => add.run(&mut client, format),
        Subcommand::Remove(remove) => remove.run(&mut client, format),
        Subcommand::Replace(replace) => replace.run(&mut client, format),
        Subcommand::Jobs(_) => jobs::list(&mut client, format),
        Subcommand::Owner(owner) => owner.run(&mut client, format),
        Subcommand::HandOver(hand_over) => hand_over.run(&mut client, format),
        Subcommand::Hold(hold) => hold.run(&mut client, format),
        Subcommand::Release(release) => release.run(&mut client, format),
    }
}
