//! `fleet jobs|owner|hand-over|hold|release`: who does what for the fleet, and changes of that by hand.

use super::policy::json_object;
use super::voters::Voters;
use super::Failure;
use argh::FromArgs;
use jaspermoor_control::jobs::assignment::{Assignment, Job};
use jaspermoor_control::wire::message::{FleetStatus, OperatorRequest, OperatorResponse};
use std::time::{Duration, Instant};

/// Pause between two looks at how far a change is.
const LOOK: Duration = Duration::from_millis(100);
/// What is said of a job that staff take from its owner.
const BY_HAND: &str = "handed over by hand";

/// Lists the fleet's jobs: their owners and tokens, how far they are, and why one has no owner.
#[derive(FromArgs)]
#[argh(subcommand, name = "jobs")]
pub struct JobsOf {}

/// Says who has one job.
#[derive(FromArgs)]
#[argh(subcommand, name = "owner")]
pub struct OwnerOf {
    /// the job's name, such as load/saddar
    #[argh(positional)]
    name: String,
}

/// Takes a job from its owner and gives it to another relay, where there is one that can do it.
#[derive(FromArgs)]
#[argh(subcommand, name = "hand-over")]
pub struct HandOver {
    /// the job's name
    #[argh(positional)]
    name: String,
}

/// Takes a job from its owner and gives it to nobody, until it is released.
#[derive(FromArgs)]
#[argh(subcommand, name = "hold")]
pub struct Hold {
    /// the job's name
    #[argh(positional)]
    name: String,
}

/// Lets a job that was held have an owner again.
#[derive(FromArgs)]
#[argh(subcommand, name = "release")]
pub struct Release {
    /// the job's name
    #[argh(positional)]
    name: String,
}

impl JobsOf {
    /// Runs it.
    pub fn run(self, voters: &mut Voters, json: bool) -> Result<(), Failure> {
        let status = voters.status()?;
        status
            .state
            .jobs
            .by_name
            .iter()
            .for_each(|(name, job)| show(name, job, &status, json));
        if status.state.jobs.by_name.is_empty() && !json {
            println!(
                "the fleet has no jobs: [fleet.jobs] in the relays' operator files says which there are"
            );
        }
        Ok(())
    }
}

impl OwnerOf {
    /// Runs it.
    pub fn run(self, voters: &mut Voters, json: bool) -> Result<(), Failure> {
        let status = voters.status()?;
        show(&self.name, known(&status, &self.name)?, &status, json);
        Ok(())
    }
}

impl HandOver {
    /// Runs it.
    pub fn run(self, voters: &mut Voters, json: bool) -> Result<(), Failure> {
        let status = voters.status()?;
        let job = known(&status, &self.name)?;
        let (token, had) = (
            job.token,
            job.owner.as_ref().map(|owner| owner.name.clone()),
        );
        if job.paused {
            return Err(
                format!("{} is held: 'fleet release {}' first", self.name, self.name).into(),
            );
        }
        if had.is_some() {
            deal(
                voters,
                Assignment::Revoke(vec![(self.name.clone(), token, BY_HAND.into())]),
            )?;
        }
        await_job(voters, &self.name, json, |job| {
            job.token > token && job.owner.is_some()
        })
    }
}

impl Hold {
    /// Runs it.
    pub fn run(self, voters: &mut Voters, json: bool) -> Result<(), Failure> {
        known(&voters.status()?, &self.name)?;
        deal(voters, Assignment::Hold(self.name.clone(), true))?;
        await_job(voters, &self.name, json, |job| {
            job.paused && job.owner.is_none()
        })
    }
}

impl Release {
    /// Runs it.
    pub fn run(self, voters: &mut Voters, json: bool) -> Result<(), Failure> {
        known(&voters.status()?, &self.name)?;
        deal(voters, Assignment::Hold(self.name.clone(), false))?;
        await_job(voters, &self.name, json, |job| {
            !job.paused && job.owner.is_some()
        })
    }
}

fn known<'a>(status: &'a FleetStatus, name: &str) -> Result<&'a Job, Failure> {
    let jobs = &status.state.jobs.by_name;
    jobs.get(name).ok_or_else(|| {
        let names: Vec<&str> = jobs.keys().map(String::as_str).collect();
        let there = if names.is_empty() {
            "there is none".into()
        } else {
            names.join(", ")
        };
        format!("there is no job '{name}'; the fleet's jobs: {there}").into()
    })
}

fn why(name: &str, status: &FleetStatus) -> Option<String> {
    status
        .unassigned_jobs
        .iter()
        .find(|(of, _)| of == name)
        .map(|(_, why)| why.clone())
}

fn show(name: &str, job: &Job, status: &FleetStatus, json: bool) {
    let owner = job.owner.as_ref().map_or("", |owner| owner.name.as_str());
    let why = why(name, status).unwrap_or_default();
    if json {
        let fields = [
            ("job", name.to_string()),
            ("owner", owner.to_string()),
            ("token", job.token.to_string()),
            ("step", job.checkpoint_step.to_string()),
            ("held", job.paused.to_string()),
            ("why", why),
        ];
        return println!("{}", json_object(&fields));
    }
    let owner = if owner.is_empty() { "nobody" } else { owner };
    let why = if why.is_empty() {
        why
    } else {
        format!("  {why}")
    };
    println!(
        "{name:<24} {owner:<20} token {:<6} step {:<6}{why}",
        job.token, job.checkpoint_step
    );
}

/// Hands it to the log, and asks until it is there.
fn deal(voters: &mut Voters, deal: Assignment) -> Result<(), Failure> {
    let ask = OperatorRequest::Job(deal);
    loop {
        match voters.ask(&ask)? {
            OperatorResponse::Job(Ok(())) => return Ok(()),
            OperatorResponse::Job(Err(why)) => return Err(why.into()),
            OperatorResponse::InProgress(..) => {}
            other => return Err(format!("an answer to something else: {other:?}").into()),
        }
        if Instant::now() >= voters.until {
            return Err("the time to wait is up; the same call goes on with it".into());
        }
        std::thread::sleep(LOOK);
    }
}

/// Waits until a job is as it was wanted, and says on the way what it waits for.
fn await_job(
    voters: &mut Voters,
    name: &str,
    json: bool,
    done: impl Fn(&Job) -> bool,
) -> Result<(), Failure> {
    let mut said = String::new();
    loop {
        let status = voters.status()?;
        let job = known(&status, name)?;
        if done(job) {
            show(name, job, &status, json);
            return Ok(());
        }
        let news = why(name, &status).unwrap_or_default();
        if news != said && !json {
            eprintln!("{name}: {news}");
        }
        said = news;
        if Instant::now() >= voters.until {
            return Err(format!("{name}: the time to wait is up: {said}").into());
        }
        std::thread::sleep(LOOK);
    }
}
