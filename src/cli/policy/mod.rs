//! `policy`: shows the policy of a fleet and proposes new ones.

mod propose;
mod show;

use super::operator_client::OperatorClient;
use super::output::OutputFormat;
use super::Failure;
use argh::FromArgs;
use jaspermoor::config::operator::OperatorFile;
use jaspermoor::config::policy;
use jaspermoor::net::fleet::FleetSettings;
use jaspermoor_control::log::state::ProposalId;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Shows and changes the policy that all relays of the fleet share.
#[derive(FromArgs)]
#[argh(subcommand, name = "policy")]
pub struct PolicyCommand {
    /// the operator file, whose [fleet] section has the addresses of the voters
    #[argh(option)]
    operator: PathBuf,
    /// how long to wait for an outcome, in seconds (default 30)
    #[argh(option, default = "30")]
    wait: u64,
    /// print the result as one JSON object
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    subcommand: Subcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Check(show::Check),
    Diff(show::Diff),
    Propose(propose::Propose),
    Status(show::ShowStatus),
    History(show::ShowHistory),
    Rollback(propose::Rollback),
    Outcome(propose::ShowOutcome),
}

/// Runs the sub-command.
pub fn run(command: PolicyCommand) -> Result<(), Failure> {
    // `check` reads neither the operator file nor the fleet's state.
    if let Subcommand::Check(check) = command.subcommand {
        return check.run();
    }
    let file = OperatorFile::load(&command.operator)?;
    let Some(settings) = FleetSettings::from_operator_file(&file)? else {
        let problem = "is missing: this relay is in no fleet";
        return Err(file.error("fleet", problem).into());
    };
    let format = OutputFormat::from_switch(command.json);
    let mut client = OperatorClient::new(settings, Duration::from_secs(command.wait));
    match command.subcommand {
        Subcommand::Check(check) => check.run(),
        Subcommand::Diff(diff) => diff.run(&mut client),
        Subcommand::Propose(propose) => propose.run(&mut client, format),
        Subcommand::Rollback(rollback) => rollback.run(&mut client, format),
        Subcommand::Outcome(outcome) => outcome.run(&mut client, format),
        Subcommand::History(_) => show::history(&mut client),
        Subcommand::Status(_) => show::status(&mut client, format),
    }
}

/// Reads the text of a policy file; an error if this build does not accept the policy.
fn load(file: &Path) -> Result<String, Failure> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| format!("{}: cannot be read: {e}", file.display()))?;
    policy::parse(file, &text)?;
    Ok(text)
}

/// The name of a proposal in commands and their output: 32 hexadecimal digits.
fn proposal_name(id: ProposalId) -> String {
    format!("{id:032x}")
}
