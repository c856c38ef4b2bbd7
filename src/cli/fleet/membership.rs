//! `fleet voters|add|remove|replace`: lists the voters and changes the membership, one change at a
//! time.

use super::POLL_INTERVAL;
use crate::cli::operator_client::{ClientError, OperatorClient};
use crate::cli::output::{json_object, OutputFormat, Progress};
use crate::cli::Failure;
use argh::FromArgs;
use jaspermoor_control::log::membership::MembershipChange;
use jaspermoor_control::wire::message::{OperatorRequest, OperatorResponse};
use std::net::SocketAddr;

/// Lists the voters: state, address, and how many log entries each is behind.
#[derive(FromArgs)]
#[argh(subcommand, name = "voters")]
pub struct ListVoters {}

/// Adds a running voter whose ledger was created with 'join'; it votes once it has caught up.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
pub struct AddVoter {
    /// the voter's number, higher than any that was ever used
    #[argh(positional)]
    number: u64,
    /// the address at which the other relays reach the voter
    #[argh(option)]
    address: SocketAddr,
}

/// Removes a voter for good. A voter that still runs after its removal does no harm.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub struct RemoveVoter {
    /// the voter's number
    #[argh(positional)]
    number: u64,
}

/// Adds a voter and, once it votes, removes the one that it replaces.
#[derive(FromArgs)]
#[argh(subcommand, name = "replace")]
pub struct ReplaceVoter {
    /// the number of the voter to remove
    #[argh(positional)]
    old: u64,
    /// the number of the voter to add
    #[argh(option)]
    by: u64,
    /// the address at which the other relays reach the voter
    #[argh(option)]
    address: SocketAddr,
}

impl AddVoter {
    /// Adds the voter, and waits until it votes.
    pub fn run(self, client: &mut OperatorClient, format: OutputFormat) -> Result<(), Failure> {
        add(client, self.number, self.address, format)
    }
}

impl RemoveVoter {
    /// Removes the voter, and waits until the change is committed.
    pub fn run(self, client: &mut OperatorClient, format: OutputFormat) -> Result<(), Failure> {
        apply(client, MembershipChange::Remove(self.number), format)
    }
}

impl ReplaceVoter {
    /// Adds the new voter before removing the old one, so that the fleet never has fewer voters.
    pub fn run(self, client: &mut OperatorClient, format: OutputFormat) -> Result<(), Failure> {
        add(client, self.by, self.address, format)?;
        apply(client, MembershipChange::Remove(self.old), format)
    }
}

fn add(
    client: &mut OperatorClient,
    number: u64,
    address: SocketAddr,
    format: OutputFormat,
) -> Result<(), Failure> {
    let incarnation = await_incarnation(client, number, address)?;
    let change = MembershipChange::Add(number, address.to_string(), incarnation);
    apply(client, change, format)
}

/// Asks the new voter for its number and incarnation until it answers. This detects a wrong address
/// or number before the membership changes.
fn await_incarnation(
    client: &OperatorClient,
    number: u64,
    address: SocketAddr,
) -> Result<u64, Failure> {
    loop {
        let problem = match client.request_from(address, &OperatorRequest::Identity) {
            Ok(OperatorResponse::Identity(found, incarnation)) if found == number => {
                return Ok(incarnation);
            }
            Ok(OperatorResponse::Identity(found, _)) => {
                return Err(
                    format!("the voter at {address} is number {found}, not {number}").into(),
                );
            }
            Ok(other) => ClientError::unexpected(other),
            Err(e) => e,
        };
        if client.deadline_passed() {
            return Err(format!(
                "voter {number} at {address}: {problem}; is it running, with a ledger created by 'fleet join'?"
            )
            .into());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Sends a change until it is committed. Repeated requests are idempotent.
fn apply(
    client: &mut OperatorClient,
    change: MembershipChange,
    format: OutputFormat,
) -> Result<(), Failure> {
    let (number, final_state) = match &change {
        MembershipChange::Add(number, ..) | MembershipChange::Promote(number) => (*number, "votes"),
        MembershipChange::Remove(number) => (*number, "is removed"),
    };
    let request = OperatorRequest::Member(change);
    let mut progress = Progress::new(format!("voter {number}"), format, "");
    loop {
        match client.request(&request)? {
            OperatorResponse::Member(Ok(())) => break,
            OperatorResponse::Member(Err(reason)) => {
                return Err(format!("voter {number}: {reason}").into());
            }
            OperatorResponse::InProgress(step, _) => progress.report(step),
            other => return Err(ClientError::unexpected(other).into()),
        }
        if client.deadline_passed() {
            let remedy =
                "run the same command again to continue; 'fleet voters' shows the progress";
            return Err(format!(
                "voter {number}: timed out; last state: {}; {remedy}",
                progress.state()
            )
            .into());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    print_change(number, final_state, format);
    Ok(())
}

fn print_change(number: u64, state: &str, format: OutputFormat) {
    if format.is_json() {
        let fields = [("voter", number.to_string()), ("state", state.into())];
        println!("{}", json_object(&fields));
    } else {
        println!("voter {number} {state}");
    }
}

/// Lists the voters as the leader sees them.
pub fn list(client: &mut OperatorClient, format: OutputFormat) -> Result<(), Failure> {
    let status = client.status()?;
    let membership = &status.state.membership;
    for (number, active, behind) in &status.voters {
        let member = membership.members.get(number).cloned().unwrap_or_default();
        let is_leader = *number == status.leader;
        let state = match (is_leader, member.is_voter, active) {
            (true, ..) => "leads",
            (_, _, false) => "does not answer",
            (_, true, true) => "votes",
            (_, false, true) => "learns the log",
        };
        let address = if member.address.is_empty() {
            "as in the operator file"
        } else {
            &member.address
        };
        if format.is_json() {
            let fields = [
                ("voter", number.to_string()),
                ("state", state.into()),
                ("behind", behind.to_string()),
                ("address", address.into()),
            ];
            println!("{}", json_object(&fields));
        } else {
            println!("voter {number:<4} {state:<16} {behind:>6} entries behind  {address}");
        }
    }
    if !format.is_json() {
        println!("the next unused number is {}", membership.highest_id + 1);
    }
    Ok(())
}
