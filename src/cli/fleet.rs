//! `fleet`: what a fleet needs before it is one, and who votes in it.

use super::jobs::{HandOver, Hold, JobsOf, OwnerOf, Release};
use super::policy::json_object;
use super::voters::Voters;
use super::Failure;
use argh::FromArgs;
use jaspermoor::config::operator::OperatorFile;
use jaspermoor::net::fleet::{random_u64, FleetSettings};
use jaspermoor::platform::ledger::Ledger;
use jaspermoor_control::log::membership::MembershipChange;
use jaspermoor_control::wire::message::{OperatorRequest, OperatorResponse};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Pause between two looks at how far a change is.
const LOOK: Duration = Duration::from_millis(100);

/// Makes what a fleet needs, changes who votes in it, and who does what for it.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
pub struct FleetOf {
    /// the operator file
    #[argh(option)]
    operator: PathBuf,
    /// how long to wait for a change, in seconds (default 30)
    #[argh(option, default = "30")]
    wait: u64,
    /// answers as JSON, one object a line
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    what: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
    Init(Init),
    Join(Join),
    Voters(VotersOf),
    Add(Add),
    Remove(Remove),
    Replace(Replace),
    Jobs(JobsOf),
    Owner(OwnerOf),
    HandOver(HandOver),
    Hold(Hold),
    Release(Release),
}

/// Makes the ledger of a voter of a new fleet: once, before its first start. Never to replace one that was lost.
#[derive(FromArgs)]
#[argh(subcommand, name = "init")]
struct Init {}

/// Makes the ledger of a voter that is to join a fleet that runs, under a number that was never given.
#[derive(FromArgs)]
#[argh(subcommand, name = "join")]
struct Join {}

/// Lists the voters: who leads, who answers, how far each is behind.
#[derive(FromArgs)]
#[argh(subcommand, name = "voters")]
struct VotersOf {}

/// Adds a voter that runs and has its ledger made with 'join'; it votes once it has learnt the log.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
struct Add {
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
struct Remove {
    /// its number
    #[argh(positional)]
    number: u64,
}

/// Adds a voter, and once it votes removes the one whose place it takes.
#[derive(FromArgs)]
#[argh(subcommand, name = "replace")]
struct Replace {
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

/// Runs it.
pub fn run(asked: FleetOf) -> Result<(), Failure> {
    let file = OperatorFile::load(&asked.operator)?;
    let Some(setup) = FleetSettings::from_operator_file(&file)? else {
        return Err(file.error("fleet", "is missing").into());
    };
    let voter = || {
        setup.fleet.voter.ok_or_else(|| {
            file.error(
                "fleet.voter",
                "is missing: a relay without a vote needs no ledger made",
            )
        })
    };
    let made = |voter: u64| {
        let place = setup.directory.display();
        println!(
            "voter {voter} of the fleet '{}' has its ledger in {place}",
            setup.fleet.id
        );
    };
    // Never 0, which stands for an unknown incarnation.
    let incarnation = random_u64().max(1);
    let mut voters = Voters::new(setup.clone(), Duration::from_secs(asked.wait));
    match asked.what {
        What::Init(_) => {
            let voter = voter()?;
            Ledger::create_for_new_fleet(
                &setup.directory,
                &setup.ledger_owner(),
                &setup.voter_numbers(),
                incarnation,
            )?;
            made(voter);
        }
        What::Join(_) => {
            let voter = voter()?;
            Ledger::create_for_joining_voter(&setup.directory, &setup.ledger_owner(), incarnation)?;
            made(voter);
            println!(
                "start this relay, then: jaspermoor fleet --operator FILE add {voter} --address ADDRESS"
            );
        }
        What::Jobs(jobs) => jobs.run(&mut voters, asked.json)?,
        What::Owner(owner) => owner.run(&mut voters, asked.json)?,
        What::HandOver(over) => over.run(&mut voters, asked.json)?,
        What::Hold(hold) => hold.run(&mut voters, asked.json)?,
        What::Release(release) => release.run(&mut voters, asked.json)?,
        What::Voters(_) => list(&mut voters, asked.json)?,
        What::Add(add) => change(&mut voters, add_of(add.number, add.address), asked.json)?,
        What::Remove(remove) => change(
            &mut voters,
            |_| Ok(MembershipChange::Remove(remove.number)),
            asked.json,
        )?,
        What::Replace(replace) => {
            change(&mut voters, add_of(replace.by, replace.address), asked.json)?;
            change(
                &mut voters,
                |_| Ok(MembershipChange::Remove(replace.old)),
                asked.json,
            )?;
        }
    }
    Ok(())
}

/// The newcomer itself says which disk it has: a wrong address or number is found before anything is changed.
fn add_of(
    number: u64,
    address: SocketAddr,
) -> impl FnOnce(&mut Voters) -> Result<MembershipChange, Failure> {
    move |voters| loop {
        let said = match voters.one(address, &OperatorRequest::Identity) {
            Ok(OperatorResponse::Identity(who, incarnation)) if who == number => {
                return Ok(MembershipChange::Add(
                    number,
                    address.to_string(),
                    incarnation,
                ))
            }
            Ok(OperatorResponse::Identity(who, _)) => {
                return Err(format!("at {address} is voter {who}, not {number}").into())
            }
            Ok(other) => format!("an answer to something else: {other:?}"),
            Err(e) => e.to_string(),
        };
        if Instant::now() >= voters.until {
            return Err(format!(
                "voter {number} at {address}: {said}; is it started, with its ledger made by 'fleet join'?"
            )
            .into());
        }
        std::thread::sleep(LOOK);
    }
}

fn change(
    voters: &mut Voters,
    wanted: impl FnOnce(&mut Voters) -> Result<MembershipChange, Failure>,
    json: bool,
) -> Result<(), Failure> {
    let change = wanted(voters)?;
    let (what, number) = match &change {
        MembershipChange::Add(number, ..) | MembershipChange::Promote(number) => ("votes", *number),
        MembershipChange::Remove(number) => ("is removed", *number),
    };
    let ask = OperatorRequest::Member(change);
    let mut said = String::new();
    loop {
        match voters.ask(&ask)? {
            OperatorResponse::Member(Ok(())) => break,
            OperatorResponse::Member(Err(why)) => {
                return Err(format!("voter {number}: {why}").into())
            }
            OperatorResponse::InProgress(news, _) => {
                if news != said && !json {
                    eprintln!("voter {number}: {news}");
                }
                said = news;
            }
            other => return Err(format!("an answer to something else: {other:?}").into()),
        }
        if Instant::now() >= voters.until {
            let remedy = "the same call goes on with it, 'fleet voters' shows how far it is";
            return Err(format!(
                "voter {number}: the time to wait is up, and at last {said}; {remedy}"
            )
            .into());
        }
        std::thread::sleep(LOOK);
    }
    if json {
        println!(
            "{}",
            json_object(&[("voter", number.to_string()), ("state", what.into())])
        );
    } else {
        println!("voter {number} {what}");
    }
    Ok(())
}

fn list(voters: &mut Voters, json: bool) -> Result<(), Failure> {
    let status = voters.status()?;
    for (number, active, behind) in &status.voters {
        let seat = status
            .state
            .membership
            .members
            .get(number)
            .cloned()
            .unwrap_or_default();
        let state = match (*number == status.leader, seat.is_voter, active) {
            (true, ..) => "leads",
            (_, _, false) => "does not answer",
            (_, true, true) => "votes",
            (_, false, true) => "learns the log",
        };
        let address = if seat.address.is_empty() {
            "as in the operator file"
        } else {
            &seat.address
        };
        if json {
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
    if !json {
        println!(
            "the next number to give is {}",
            status.state.membership.highest_id + 1
        );
    }
    Ok(())
}
