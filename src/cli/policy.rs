//! `policy`: what a fleet's policy is, and how it is changed.

use super::voters::Voters;
use super::Failure;
use argh::FromArgs;
use jaspermoor::config::operator::OperatorFile;
use jaspermoor::config::policy;
use jaspermoor::net::fleet::{random_number, FleetSettings};
use jaspermoor_control::log::state::{
    Policy, Proposal, ProposalId, ProposalOutcome, ProposalPhase,
};
use jaspermoor_control::wire::message::{OperatorRequest, OperatorResponse};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Pause between two questions for an outcome: a change takes some round trips.
const ASK_AGAIN: Duration = Duration::from_millis(50);
/// Shows and changes what all relays of the fleet serve under.
#[derive(FromArgs)]
#[argh(subcommand, name = "policy")]
pub struct PolicyOf {
    /// the operator file, whose [fleet] says where the voters are
    #[argh(option)]
    operator: PathBuf,
    /// how long to wait for an outcome, in seconds (default 30)
    #[argh(option, default = "30")]
    wait: u64,
    /// answers as JSON, one object
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    what: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
    Check(Check),
    Diff(Diff),
    Propose(Propose),
    Status(StatusOf),
    History(History),
    Rollback(Rollback),
    ProposalOutcome(OutcomeOf),
}

/// Checks a policy's file as this build does, without asking anybody.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the file
    #[argh(positional)]
    file: PathBuf,
}

/// Shows what a file would change in the policy in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct Diff {
    /// the file
    #[argh(positional)]
    file: PathBuf,
}

/// Proposes a policy, and waits for what becomes of it.
#[derive(FromArgs)]
#[argh(subcommand, name = "propose")]
struct Propose {
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

/// Shows the policy in force, the change under way, and the relays.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusOf {}

/// Lists the policies that were in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct History {}

/// Proposes an earlier policy again.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
struct Rollback {
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
struct OutcomeOf {
    /// its name, 32 hexadecimal digits
    #[argh(positional)]
    id: String,
}

/// Proposes, then asks until it is decided. Says what is waited for.
fn propose(voters: &mut Voters, proposal: Proposal, json: bool) -> Result<(), Failure> {
    let (id, mut said) = (proposal.id, String::from("nobody has heard of it"));
    let ask = OperatorRequest::Propose(proposal);
    loop {
        let unknown = |why: &str| -> Failure {
            let id = name(id);
            let remedy = format!("ask with 'policy outcome {id}', or propose again with --id {id}");
            format!("unknown whether it takes hold: {why}; {remedy}").into()
        };
        if Instant::now() >= voters.until {
            return Err(unknown(&format!(
                "the time to wait is up, and at last {said}"
            )));
        }
        match voters.ask(&ask).map_err(|e| unknown(&e.to_string()))? {
            OperatorResponse::Outcome(outcome) => return report(id, &outcome, json),
            OperatorResponse::InProgress(step, relays) => {
                let news = match relays.as_slice() {
                    [] => step,
                    relays => format!("{step}; waited for: {}", relays.join(", ")),
                };
                if news != said && !json {
                    eprintln!("{}: {news}", name(id));
                }
                said = news;
            }
            // The log has not taken it yet, or lost it with its leader: the same again changes nothing twice.
            _ => {}
        }
        // Once it is known, the same call is answered like a question for its outcome.
        std::thread::sleep(ASK_AGAIN);
    }
}

fn name(id: ProposalId) -> String {
    format!("{id:032x}")
}

fn read_name(text: &str) -> Result<ProposalId, Failure> {
    ProposalId::from_str_radix(text, 16)
        .map_err(|_| format!("'{text}' is no proposal's name: 32 hexadecimal digits").into())
}

/// Says what became of a proposal. What did not take hold is a failure.
fn report(id: ProposalId, outcome: &ProposalOutcome, json: bool) -> Result<(), Failure> {
    let (word, text) = match outcome {
        ProposalOutcome::InForce(epoch) => ("in-force", format!("in force, epoch {epoch}")),
        ProposalOutcome::Rejected(by, why) => ("refused", format!("refused by {by}: {why}")),
        ProposalOutcome::TimedOut(relays) => (
            "given-up",
            format!("given up; no answer of {}", relays.join(", ")),
        ),
    };
    if json {
        println!(
            "{}",
            json_object(&[
                ("id", name(id)),
                ("outcome", word.into()),
                ("text", text.clone())
            ])
        );
    } else if word == "in-force" {
        println!("{}: {text}", name(id));
    }
    if word == "in-force" {
        Ok(())
    } else {
        Err(format!("{}: {text}", name(id)).into())
    }
}

pub(super) fn json_object(fields: &[(&str, String)]) -> String {
    let quoted = |text: &str| simd_json::to_string(&text).unwrap_or_default();
    let fields: Vec<String> = fields
        .iter()
        .map(|(key, value)| format!("{}:{}", quoted(key), quoted(value)))
        .collect();
    format!("{{{}}}", fields.join(","))
}

fn line(policy: &Policy) -> String {
    let digest = policy::digest(&policy.text);
    format!(
        "epoch {:<4} {digest}  {:<12} {}",
        policy.epoch, policy.author, policy.reason
    )
}

fn load(file: &PathBuf) -> Result<String, Failure> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| format!("{}: cannot be read: {e}", file.display()))?;
    policy::read(file, &text)?;
    Ok(text)
}

/// Runs it.
pub fn run(asked: PolicyOf) -> Result<(), Failure> {
    if let What::Check(check) = &asked.what {
        load(&check.file)?;
        println!(
            "{}: a policy that this build understands",
            check.file.display()
        );
        return Ok(());
    }
    let file = OperatorFile::load(&asked.operator)?;
    let Some(setup) = FleetSettings::from_operator_file(&file)? else {
        return Err(file
            .error("fleet", "is missing: this relay is in no fleet")
            .into());
    };
    let mut voters = Voters::new(setup, Duration::from_secs(asked.wait));
    let made = |text: String,
                who: Option<String>,
                why: String,
                base: u64,
                id: Option<&str>|
     -> Result<_, Failure> {
        let id = match id {
            Some(id) => read_name(id)?,
            None => ProposalId::from_be_bytes(random_number()),
        };
        let who = who
            .or_else(|| super::env("USER"))
            .unwrap_or_else(|| "unknown".into());
        Ok(Proposal {
            id,
            base_epoch: base,
            text,
            author: who,
            reason: why,
        })
    };
    match asked.what {
        What::Check(_) => Ok(()),
        What::Diff(diff) => {
            let new = load(&diff.file)?;
            policy::diff(&voters.status()?.state.policy.text, &new)
                .iter()
                .for_each(|line| println!("{line}"));
            Ok(())
        }
        What::Propose(p) => {
            let proposal = made(load(&p.file)?, p.who, p.why, p.base, p.id.as_deref())?;
            propose(&mut voters, proposal, asked.json)
        }
        What::Rollback(r) => {
            let state = voters.status()?.state;
            let old = state.history.iter().find(|policy| policy.epoch == r.epoch);
            let old = old.ok_or_else(|| {
                format!(
                    "epoch {} is not in the history; see 'policy history'",
                    r.epoch
                )
            })?;
            let why = format!("back to epoch {}: {}", r.epoch, r.why);
            let proposal = made(old.text.clone(), None, why, state.policy.epoch, None)?;
            propose(&mut voters, proposal, asked.json)
        }
        What::ProposalOutcome(of) => {
            let id = read_name(&of.id)?;
            match voters.ask(&OperatorRequest::Outcome(id))? {
                OperatorResponse::Outcome(outcome) => report(id, &outcome, asked.json),
                OperatorResponse::InProgress(step, relays) => {
                    println!(
                        "{}: under way, {step}; waited for: {}",
                        name(id),
                        relays.join(", ")
                    );
                    Ok(())
                }
                _ => Err(format!(
                    "{}: nobody has heard of it; it may be proposed again under this name",
                    name(id)
                )
                .into()),
            }
        }
        What::History(_) => {
            let state = voters.status()?.state;
            state
                .history
                .iter()
                .chain([&state.policy])
                .for_each(|policy| println!("{}", line(policy)));
            Ok(())
        }
        What::Status(_) => {
            let status = voters.status()?;
            if asked.json {
                let relays: Vec<String> = status
                    .relays
                    .iter()
                    .map(|(r, runs, epoch)| format!("{}:{runs}:{epoch}", r.name))
                    .collect();
                let fields = [
                    ("leader", status.leader.to_string()),
                    ("term", status.term.to_string()),
                    ("epoch", status.state.policy.epoch.to_string()),
                    ("digest", policy::digest(&status.state.policy.text)),
                    ("relays", relays.join(" ")),
                ];
                println!("{}", json_object(&fields));
                return Ok(());
            }
            println!("{}", line(&status.state.policy));
            match &status.state.phase {
                ProposalPhase::Idle => println!("no change under way"),
                ProposalPhase::Preparing(p) => {
                    println!(
                        "under way: {} by {}: each relay checks and stores it",
                        name(p.id),
                        p.author
                    )
                }
                ProposalPhase::Sealed(p) => {
                    println!(
                        "under way: {} by {}: waits until no lease runs",
                        name(p.id),
                        p.author
                    )
                }
            }
            println!("voter {} leads in term {}", status.leader, status.term);
            for (relay, runs, epoch) in &status.relays {
                println!(
                    "{:<16} epoch {epoch:<4} {}",
                    relay.name,
                    if *runs { "admits clients" } else { "no lease" }
                );
            }
            Ok(())
        }
    }
}
