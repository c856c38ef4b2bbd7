//! `policy propose|rollback|outcome`: proposes a policy, and shows the outcome of a proposal.
//!
//! Each proposal has a unique name. After a lost response the same proposal can be sent again under
//! its name without taking effect twice.

use super::{load, proposal_name};
use crate::cli::operator_client::OperatorClient;
use crate::cli::output::{json_object, OutputFormat, Progress};
use crate::cli::{env, Failure};
use argh::FromArgs;
use jaspermoor::net::fleet::random_number;
use jaspermoor_control::log::state::{Proposal, ProposalId, ProposalOutcome};
use jaspermoor_control::wire::message::{OperatorRequest, OperatorResponse};
use std::fmt::Display;
use std::path::PathBuf;
use std::time::Duration;

/// Pause between two requests for an outcome. It is short because a change takes only a few round
/// trips.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Proposes a policy, and waits for the outcome.
#[derive(FromArgs)]
#[argh(subcommand, name = "propose")]
pub struct Propose {
    /// the policy file
    #[argh(positional)]
    file: PathBuf,
    /// the reason, in one sentence, which the history shows
    #[argh(option)]
    why: String,
    /// the author (default: the user's name)
    #[argh(option)]
    who: Option<String>,
    /// propose only if this epoch is in force
    #[argh(option, default = "0")]
    base: u64,
    /// the proposal's name, 32 hexadecimal digits, to send an earlier proposal again (default: a
    /// new name)
    #[argh(option)]
    id: Option<String>,
}

/// Proposes an earlier policy again.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct Rollback {
    /// the epoch of the earlier policy
    #[argh(positional)]
    epoch: u64,
    /// the reason, in one sentence
    #[argh(option)]
    why: String,
}

/// Shows the outcome of a proposal.
#[derive(FromArgs)]
#[argh(subcommand, name = "outcome")]
pub struct ShowOutcome {
    /// the name of the proposal, 32 hexadecimal digits
    #[argh(positional)]
    id: String,
}

impl Propose {
    /// Proposes the file's policy, and waits for the outcome.
    pub fn run(self, client: &mut OperatorClient, format: OutputFormat) -> Result<(), Failure> {
        let text = load(&self.file)?;
        let id = match &self.id {
            Some(name) => parse_proposal_name(name)?,
            None => new_proposal_id(),
        };
        let proposal = Proposal {
            id,
            base_epoch: self.base,
            text,
            author: self.who.unwrap_or_else(user_name),
            reason: self.why,
        };
        propose(client, proposal, format)
    }
}

impl Rollback {
    /// Proposes an earlier policy under a new epoch, and waits for the outcome.
    pub fn run(self, client: &mut OperatorClient, format: OutputFormat) -> Result<(), Failure> {
        let state = client.status()?.state;
        let earlier = state
            .history
            .iter()
            .find(|policy| policy.epoch == self.epoch)
            .ok_or_else(|| {
                format!(
                    "epoch {} is not in the history; see 'policy history'",
                    self.epoch
                )
            })?;
        let proposal = Proposal {
            id: new_proposal_id(),
            // The rollback replaces only the policy that is in force now, not one that takes effect
            // in between.
            base_epoch: state.policy.epoch,
            text: earlier.text.clone(),
            author: user_name(),
            reason: format!("back to epoch {}: {}", self.epoch, self.why),
        };
        propose(client, proposal, format)
    }
}

impl ShowOutcome {
    /// Shows the outcome of a proposal, or its progress.
    pub fn run(self, client: &mut OperatorClient, format: OutputFormat) -> Result<(), Failure> {
        let id = parse_proposal_name(&self.id)?;
        match client.request(&OperatorRequest::Outcome(id))? {
            OperatorResponse::Outcome(outcome) => report_outcome(id, &outcome, format),
            OperatorResponse::InProgress(step, relays) => {
                println!(
                    "{}: in progress, {step}; waiting for: {}",
                    proposal_name(id),
                    relays.join(", ")
                );
                Ok(())
            }
            _ => Err(format!(
                "{}: unknown to the fleet; it can be proposed again under this name",
                proposal_name(id)
            )
            .into()),
        }
    }
}

fn new_proposal_id() -> ProposalId {
    ProposalId::from_be_bytes(random_number())
}

fn user_name() -> String {
    env("USER").unwrap_or_else(|| "unknown".into())
}

fn parse_proposal_name(name: &str) -> Result<ProposalId, Failure> {
    ProposalId::from_str_radix(name, 16).map_err(|_| {
        format!("'{name}' is not a proposal's name, which has 32 hexadecimal digits").into()
    })
}

/// Sends the proposal until its outcome is known. Once the proposal is in the log, the same request
/// returns its progress.
fn propose(
    client: &mut OperatorClient,
    proposal: Proposal,
    format: OutputFormat,
) -> Result<(), Failure> {
    let id = proposal.id;
    let request = OperatorRequest::Propose(proposal);
    let mut progress = Progress::new(proposal_name(id), format, "not in the log yet");
    loop {
        if client.deadline_passed() {
            let state = progress.state();
            let reason = format!("timed out; last state: {state}");
            return Err(unknown_outcome(id, &reason));
        }
        let response = client
            .request(&request)
            .map_err(|e| unknown_outcome(id, &e))?;
        match response {
            OperatorResponse::Outcome(outcome) => return report_outcome(id, &outcome, format),
            OperatorResponse::InProgress(step, relays) if relays.is_empty() => {
                progress.report(step);
            }
            OperatorResponse::InProgress(step, relays) => {
                progress.report(format!("{step}; waiting for: {}", relays.join(", ")));
            }
            // Not in the log yet, or lost when its leader failed: sent again under the same name.
            _ => {}
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// The error for a proposal that may still take effect; it tells how to ask for the outcome.
fn unknown_outcome(id: ProposalId, reason: &impl Display) -> Failure {
    let name = proposal_name(id);
    let remedy = format!("ask with 'policy outcome {name}', or propose again with --id {name}");
    format!("the outcome is unknown: {reason}; {remedy}").into()
}

/// Prints an outcome. The command fails unless the proposal is in force.
fn report_outcome(
    id: ProposalId,
    outcome: &ProposalOutcome,
    format: OutputFormat,
) -> Result<(), Failure> {
    let name = proposal_name(id);
    let text = outcome_text(outcome);
    let in_force = matches!(outcome, ProposalOutcome::InForce(_));
    if format.is_json() {
        let fields = [
            ("id", name.clone()),
            ("outcome", outcome_code(outcome).into()),
            ("text", text.clone()),
        ];
        println!("{}", json_object(&fields));
    } else if in_force {
        println!("{name}: {text}");
    }
    if in_force {
        Ok(())
    } else {
        Err(format!("{name}: {text}").into())
    }
}

/// The value of the field `outcome` in JSON output.
fn outcome_code(outcome: &ProposalOutcome) -> &'static str {
    match outcome {
        ProposalOutcome::InForce(_) => "in-force",
        ProposalOutcome::Rejected(..) => "refused",
        ProposalOutcome::TimedOut(_) => "given-up",
    }
}

fn outcome_text(outcome: &ProposalOutcome) -> String {
    match outcome {
        ProposalOutcome::InForce(epoch) => format!("in force, epoch {epoch}"),
        ProposalOutcome::Rejected(relay, reason) => format!("refused by {relay}: {reason}"),
        ProposalOutcome::TimedOut(relays) => {
            format!("given up; no answer from {}", relays.join(", "))
        }
    }
}
