//! `policy propose|rollback|outcome`: proposes a policy, and finds out what became of a proposal.
//!
//! A proposal has a name of its own, so that it can be proposed again after an answer was lost without taking effect
//! twice.

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

/// Pause between two requests for an outcome: a change takes a few round trips.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Proposes a policy, and waits for what becomes of it.
#[derive(FromArgs)]
#[argh(subcommand, name = "propose")]
pub struct Propose {
    /// the file
    #[argh(positional)]
    file: PathBuf,
    /// why, in one sentence: it stands in the history
    #[argh(option)]
    why: String,
    /// who proposes it (default: the user's name)
    #[argh(option)]
    who: Option<String>,
    /// only if this epoch is in force
    #[argh(option, default = "0")]
    base: u64,
    /// the proposal's name, 32 hexadecimal digits, where a call is repeated
    #[argh(option)]
    id: Option<String>,
}

/// Proposes an earlier policy again.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct Rollback {
    /// its epoch
    #[argh(positional)]
    epoch: u64,
    /// why, in one sentence
    #[argh(option)]
    why: String,
}

/// Says what became of a proposal.
#[derive(FromArgs)]
#[argh(subcommand, name = "outcome")]
pub struct ShowOutcome {
    /// its name, 32 hexadecimal digits
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
            // The operator decided on what was in force just now: nothing later is replaced.
            base_epoch: state.policy.epoch,
            text: earlier.text.clone(),
            author: user_name(),
            reason: format!("back to epoch {}: {}", self.epoch, self.why),
        };
        propose(client, proposal, format)
    }
}

impl ShowOutcome {
    /// Shows the outcome of a proposal, or how far it is.
    pub fn run(self, client: &mut OperatorClient, format: OutputFormat) -> Result<(), Failure> {
        let id = parse_proposal_name(&self.id)?;
        match client.request(&OperatorRequest::Outcome(id))? {
            OperatorResponse::Outcome(outcome) => report_outcome(id, &outcome, format),
            OperatorResponse::InProgress(step, relays) => {
                println!(
                    "{}: under way, {step}; waited for: {}",
                    proposal_name(id),
                    relays.join(", ")
                );
                Ok(())
            }
            _ => Err(format!(
                "{}: nobody has heard of it; it may be proposed again under this name",
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
    ProposalId::from_str_radix(name, 16)
        .map_err(|_| format!("'{name}' is no proposal's name: 32 hexadecimal digits").into())
}

/// Proposes until the outcome is known. Once the proposal is in the log, the same request returns its progress.
fn propose(
    client: &mut OperatorClient,
    proposal: Proposal,
    format: OutputFormat,
) -> Result<(), Failure> {
    let id = proposal.id;
    let request = OperatorRequest::Propose(proposal);
    let mut progress = Progress::new(proposal_name(id), format, "nobody has heard of it");
    loop {
        if client.deadline_passed() {
            let state = progress.state();
            let reason = format!("the time to wait is up, and at last {state}");
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
                progress.report(format!("{step}; waited for: {}", relays.join(", ")));
            }
            // Not in the log yet, or lost with its leader: it is proposed again, under the same name.
            _ => {}
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// The proposal may still take effect: the operator has to ask.
fn unknown_outcome(id: ProposalId, reason: &impl Display) -> Failure {
    let name = proposal_name(id);
    let remedy = format!("ask with 'policy outcome {name}', or propose again with --id {name}");
    format!("unknown whether it takes hold: {reason}; {remedy}").into()
}

/// Prints an outcome. One that leaves the policy in force unchanged is a failure of the command.
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

/// The value of `outcome` in JSON output.
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
            format!("given up; no answer of {}", relays.join(", "))
        }
    }
}
