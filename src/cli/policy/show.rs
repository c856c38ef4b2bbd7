//! `policy check|diff|history|status`: read-only commands.

use super::{load, proposal_name};
use crate::cli::operator_client::OperatorClient;
use crate::cli::output::{json_object, OutputFormat};
use crate::cli::Failure;
use argh::FromArgs;
use jaspermoor::config::policy;
use jaspermoor_control::log::state::{Policy, ProposalPhase};
use jaspermoor_control::wire::message::FleetStatus;
use std::path::PathBuf;

/// Checks a policy file with the rules of this build, without contacting the fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the policy file
    #[argh(positional)]
    file: PathBuf,
}

/// Shows the differences between the policy in force and a policy file.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// the policy file
    #[argh(positional)]
    file: PathBuf,
}

/// Shows the policy in force, the proposal in progress, and the relays.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct ShowStatus {}

/// Lists earlier policies and the one in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct ShowHistory {}

impl Check {
    /// Checks the file without contacting a voter.
    pub fn run(self) -> Result<(), Failure> {
        load(&self.file)?;
        println!("{}: a valid policy for this build", self.file.display());
        Ok(())
    }
}

impl Diff {
    /// Prints the lines that the file would remove and add.
    pub fn run(self, client: &mut OperatorClient) -> Result<(), Failure> {
        let new_text = load(&self.file)?;
        let status = client.status()?;
        for line in policy::diff(&status.state.policy.text, &new_text) {
            println!("{line}");
        }
        Ok(())
    }
}

/// Lists earlier policies, then the one in force.
pub fn history(client: &mut OperatorClient) -> Result<(), Failure> {
    let state = client.status()?.state;
    for policy in state.history.iter().chain([&state.policy]) {
        println!("{}", policy_line(policy));
    }
    Ok(())
}

/// Shows the policy in force, the proposal in progress, the leader and the relays.
pub fn status(client: &mut OperatorClient, format: OutputFormat) -> Result<(), Failure> {
    let status = client.status()?;
    if format.is_json() {
        print_status_json(&status);
    } else {
        print_status_text(&status);
    }
    Ok(())
}

fn print_status_json(status: &FleetStatus) {
    let relays: Vec<String> = status
        .relays
        .iter()
        .map(|(relay, has_lease, epoch)| format!("{}:{has_lease}:{epoch}", relay.name))
        .collect();
    let fields = [
        ("leader", status.leader.to_string()),
        ("term", status.term.to_string()),
        ("epoch", status.state.policy.epoch.to_string()),
        ("digest", policy::digest(&status.state.policy.text)),
        ("relays", relays.join(" ")),
    ];
    println!("{}", json_object(&fields));
}

fn print_status_text(status: &FleetStatus) {
    println!("{}", policy_line(&status.state.policy));
    match &status.state.phase {
        ProposalPhase::Idle => println!("no change in progress"),
        ProposalPhase::Preparing(proposal) => println!(
            "in progress: {} by {}: each relay checks and stores it",
            proposal_name(proposal.id),
            proposal.author
        ),
        ProposalPhase::Sealed(proposal) => println!(
            "in progress: {} by {}: waits until no lease is valid",
            proposal_name(proposal.id),
            proposal.author
        ),
    }
    println!("voter {} leads in term {}", status.leader, status.term);
    for (relay, has_lease, epoch) in &status.relays {
        let admission = if *has_lease {
            "admits clients"
        } else {
            "no lease"
        };
        println!("{:<16} epoch {epoch:<4} {admission}", relay.name);
    }
}

fn policy_line(policy: &Policy) -> String {
    let digest = policy::digest(&policy.text);
    format!(
        "epoch {:<4} {digest}  {:<12} {}",
        policy.epoch, policy.author, policy.reason
    )
}
