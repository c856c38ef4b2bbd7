//! `fleet jobs|owner|hand-over|hold|release`: shows the fleet's jobs and changes their owners.

use super::POLL_INTERVAL;
use crate::cli::operator_client::{ClientError, OperatorClient};
use crate::cli::output::{json_object, OutputFormat, Progress};
use crate::cli::Failure;
use argh::FromArgs;
use jaspermoor_control::jobs::assignment::{Job, JobChange};
use jaspermoor_control::wire::message::{FleetStatus, OperatorRequest, OperatorResponse};

/// The reason that the log records when an operator revokes a job.
const MANUAL_HAND_OVER: &str = "handed over by hand";

/// Lists the fleet's jobs: owner, token, progress, and the reason if a job has no owner.
#[derive(FromArgs)]
#[argh(subcommand, name = "jobs")]
pub struct ListJobs {}

/// Shows the owner of one job.
#[derive(FromArgs)]
#[argh(subcommand, name = "owner")]
pub struct ShowOwner {
    /// the job's name, such as load/saddar
    #[argh(positional)]
    name: String,
}

/// Takes a job from its owner and gives it to another relay, if there is one that can do it.
#[derive(FromArgs)]
#[argh(subcommand, name = "hand-over")]
pub struct HandOver {
    /// the job's name
    #[argh(positional)]
    name: String,
}

/// Takes a job from its owner and leaves it without one until it is released.
#[derive(FromArgs)]
#[argh(subcommand, name = "hold")]
pub struct Hold {
    /// the job's name
    #[argh(positional)]
    name: String,
}

/// Ends the hold on a job, so that it gets an owner again.
#[derive(FromArgs)]
#[argh(subcommand, name = "release")]
pub struct Release {
    /// the job's name
    #[argh(positional)]
    name: String,
}

/// Lists all jobs.
pub fn list(client: &mut OperatorClient, format: OutputFormat) -> Result<(), Failure> {
    let status = client.status()?;
    let jobs = &status.state.jobs.by_name;
    for (name, job) in jobs {
        print_job(name, job, &status, format);
    }
    if jobs.is_empty() && !format.is_json() {
        println!("the fleet has no jobs; [fleet.jobs] in the relays' operator files enables them");
    }
    Ok(())
}

impl ShowOwner {
    /// Shows one job.
    pub fn run(self, client: &mut OperatorClient, format: OutputFormat) -> Result<(), Failure> {
        let status = client.status()?;
        let job = find_job(&status, &self.name)?;
        print_job(&self.name, job, &status, format);
        Ok(())
    }
}

impl HandOver {
    /// Revokes the job from its owner, and waits until there is an owner with a newer token.
    pub fn run(self, client: &mut OperatorClient, format: OutputFormat) -> Result<(), Failure> {
        let status = client.status()?;
        let job = find_job(&status, &self.name)?;
        let old_token = job.token;
        if job.is_held {
            let name = &self.name;
            return Err(format!("{name} is held; run 'fleet release {name}' first").into());
        }
        if job.owner.is_some() {
            let revoked = (self.name.clone(), old_token, MANUAL_HAND_OVER.into());
            assign(client, JobChange::Revoke(vec![revoked]))?;
        }
        await_job(client, &self.name, format, |job| {
            job.token > old_token && job.owner.is_some()
        })
    }
}

impl Hold {
    /// Holds the job, and waits until it has no owner.
    pub fn run(self, client: &mut OperatorClient, format: OutputFormat) -> Result<(), Failure> {
        find_job(&client.status()?, &self.name)?;
        assign(client, JobChange::Hold(self.name.clone(), true))?;
        await_job(client, &self.name, format, |job| {
            job.is_held && job.owner.is_none()
        })
    }
}

impl Release {
    /// Releases the job, and waits until it has an owner.
    pub fn run(self, client: &mut OperatorClient, format: OutputFormat) -> Result<(), Failure> {
        find_job(&client.status()?, &self.name)?;
        assign(client, JobChange::Hold(self.name.clone(), false))?;
        await_job(client, &self.name, format, |job| {
            !job.is_held && job.owner.is_some()
        })
    }
}

/// The job with that name; the error lists the names of all jobs.
fn find_job<'a>(status: &'a FleetStatus, name: &str) -> Result<&'a Job, Failure> {
    let jobs = &status.state.jobs.by_name;
    jobs.get(name).ok_or_else(|| {
        let names: Vec<&str> = jobs.keys().map(String::as_str).collect();
        let existing = if names.is_empty() {
            "none".into()
        } else {
            names.join(", ")
        };
        format!("there is no job '{name}'; the fleet's jobs: {existing}").into()
    })
}

/// The reason why a job has no owner; empty if it has one.
fn unassigned_reason(name: &str, status: &FleetStatus) -> String {
    status
        .idle_jobs
        .iter()
        .find(|(job, _)| job == name)
        .map(|(_, reason)| reason.clone())
        .unwrap_or_default()
}

fn print_job(name: &str, job: &Job, status: &FleetStatus, format: OutputFormat) {
    let owner = job.owner.as_ref().map(|owner| owner.name.as_str());
    let reason = unassigned_reason(name, status);
    if format.is_json() {
        let fields = [
            ("job", name.to_string()),
            ("owner", owner.unwrap_or_default().to_string()),
            ("token", job.token.to_string()),
            ("step", job.checkpoint_step.to_string()),
            ("held", job.is_held.to_string()),
            ("why", reason),
        ];
        println!("{}", json_object(&fields));
        return;
    }
    let owner = owner.filter(|name| !name.is_empty()).unwrap_or("nobody");
    let suffix = if reason.is_empty() {
        reason
    } else {
        format!("  {reason}")
    };
    println!(
        "{name:<24} {owner:<20} token {:<6} step {:<6}{suffix}",
        job.token, job.checkpoint_step
    );
}

/// Sends a change of a job's assignment until it is committed.
fn assign(client: &mut OperatorClient, change: JobChange) -> Result<(), Failure> {
    let request = OperatorRequest::Job(change);
    loop {
        match client.request(&request)? {
            OperatorResponse::Job(Ok(())) => return Ok(()),
            OperatorResponse::Job(Err(reason)) => return Err(reason.into()),
            OperatorResponse::InProgress(..) => {}
            other => return Err(ClientError::unexpected(other).into()),
        }
        if client.deadline_passed() {
            return Err("timed out; run the same command again to continue".into());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Waits until a job satisfies the condition, and prints it. Meanwhile reports why the job has no
/// owner.
fn await_job(
    client: &mut OperatorClient,
    name: &str,
    format: OutputFormat,
    is_done: impl Fn(&Job) -> bool,
) -> Result<(), Failure> {
    let mut progress = Progress::new(name.to_string(), format, "");
    loop {
        let status = client.status()?;
        let job = find_job(&status, name)?;
        if is_done(job) {
            print_job(name, job, &status, format);
            return Ok(());
        }
        progress.report(unassigned_reason(name, &status));
        if client.deadline_passed() {
            let state = progress.state();
            return Err(format!("{name}: timed out; last state: {state}").into());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
