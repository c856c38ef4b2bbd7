//! `fleet voters|add|remove|replace`: lists the voters and changes which there are, one change at a time.

use super::POLL_INTERVAL;
use crate::cli::operator_client::{ClientError, OperatorClient};
use crate::cli::output::{json_object, OutputFormat, Progress};
use crate::cli::Failure;
use argh::FromArgs;
use jaspermoor_control::log::membership::MembershipChange;
use jaspermoor_control::wire::message::{OperatorRequest, OperatorResponse};
use std::net::SocketAddr;

/// Lists the voters: who leads, who answers, how far each is behind.
#[derive(FromArgs)]
#[argh(subcommand, name = "voters")]
pub struct ListVoters {}

/// Adds a voter that runs and has its ledger made with 'join'; it votes once it has learnt the log.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
pub struct AddVoter {
    /// its number, higher than any that was ever given
    #[argh(positional)]
    number: u64,
    /// where the other relays reach it
    #[argh(option)]
    address: SocketAddr,
}

/// Removes a voter for good. One that still runs does no harm.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub struct RemoveVoter {
    /// its number
    #[argh(positional)]
    number: u64,
}

/// Adds a voter, and once it votes removes the one whose place it takes.
#[derive(FromArgs)]
#[argh(subcommand, name = "replace")]
pub struct ReplaceVoter {
    /// the number of the one that goes
    #[argh(positional)]
    old: u64,
    /// the number of the one that comes
    #[argh(option)]
    by: u64,
    /// where the other relays reach it
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
    /// Removes the voter, and waits until that is committed.
    pub fn run(self, client: &mut OperatorClient, format: OutputFormat) -> Result<(), Failure> {
        apply(client, MembershipChange::Remove(self.number), format)
    }
}

impl ReplaceVoter {
    /// Adds the new voter first: the fleet never has fewer voters than before.
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

/// The incarnation that the new voter itself reports. A wrong address or number is found before anything is changed.
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
                return Err(format!("at {address} is voter {found}, not {number}").into());
            }
            Ok(other) => ClientError::unexpected(other),
            Err(e) => e,
        };
        if client.deadline_passed() {
            return Err(format!(
                "voter {number} at {address}: {problem}; is it started, with its ledger made by 'fleet join'?"
            )
            .into());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Requests a change until it is committed. Repeating a request changes nothing twice.
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
            let remedy = "the same call goes on with it, 'fleet voters' shows how far it is";
            return Err(format!(
                "voter {number}: the time to wait is up, and at last {}; {remedy}",
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

/// Lists the voters, as the leader sees them.
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
        println!("the next number to give is {}", membership.highest_id + 1);
    }
    Ok(())
}
