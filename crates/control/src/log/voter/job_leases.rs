//! Leases on jobs: the job part of the leader's response to a renewal, and the changes of jobs that
//! follow from the request. One lease covers all jobs of a relay.

use super::leadership::RelayProgress;
use crate::jobs::assignment::{is_valid_job_name, FencingToken, JobChange, Jobs, MAX_JOBS};
use crate::relay::RelayId;
use crate::wire::message::{AssignedJobs, RenewRequest, RenewResponse};
use crate::Micros;

/// Renews a relay's lease on its jobs and fills the job fields of the response. Returns the changes
/// of the jobs that follow from the request.
pub(super) fn renew_jobs_lease(
    jobs: &Jobs,
    relay: &mut RelayProgress,
    request: &RenewRequest,
    response: &mut RenewResponse,
    now: Micros,
) -> Vec<JobChange> {
    response.last_token = Some(jobs.last_token);
    relay.jobs_version = request.jobs_version;
    let Some(version) = request.jobs_version else {
        return Vec::new();
    };
    relay.jobs_lease_granted_at = Some(now);
    relay.capabilities = request.capabilities.clone();
    if version < jobs.version {
        response.jobs = Some(assigned_jobs(jobs, &request.relay));
    }
    response.checkpoint_steps = request
        .checkpoints
        .iter()
        .map(|(name, ..)| (name.clone(), checkpoint_step(jobs, name)))
        .collect();
    let mut changes = Vec::new();
    changes.extend(relinquished_jobs(jobs, request));
    changes.extend(jobs_to_open(jobs, request));
    changes.extend(new_checkpoints(jobs, request));
    changes
}

/// Jobs of a relay, each with its token and latest checkpoint.
fn assigned_jobs(jobs: &Jobs, relay: &RelayId) -> AssignedJobs {
    let with_checkpoint = |(name, token): (String, FencingToken)| {
        let job = jobs.by_name.get(&name).cloned().unwrap_or_default();
        (name, token, job.checkpoint_step, job.checkpoint)
    };
    AssignedJobs {
        version: jobs.version,
        jobs: jobs
            .owned_by(relay)
            .into_iter()
            .map(with_checkpoint)
            .collect(),
    }
}

/// Step of a job's latest checkpoint in the log.
fn checkpoint_step(jobs: &Jobs, name: &str) -> u64 {
    jobs.by_name.get(name).map_or(0, |job| job.checkpoint_step)
}

/// The change that revokes the jobs which the relay relinquishes and which are not revoked yet.
fn relinquished_jobs(jobs: &Jobs, request: &RenewRequest) -> Option<JobChange> {
    let is_owned = |(name, token, _): &&(String, FencingToken, String)| {
        jobs.by_name
            .get(name)
            .is_some_and(|job| job.token == *token && job.revoked_at.is_none())
    };
    let relinquished: Vec<_> = request
        .relinquished
        .iter()
        .filter(is_owned)
        .cloned()
        .collect();
    (!relinquished.is_empty()).then_some(JobChange::Revoke(relinquished))
}

/// The change that creates the jobs which the relay expects and which do not exist yet; none if the
/// log has no room for them. Invalid names are left out: the log would reject them, so they would
/// be proposed again with each renewal.
fn jobs_to_open(jobs: &Jobs, request: &RenewRequest) -> Option<JobChange> {
    let new: Vec<String> = request
        .capabilities
        .expected_jobs
        .iter()
        .filter(|name| is_valid_job_name(name) && !jobs.by_name.contains_key(*name))
        .cloned()
        .collect();
    let has_room = jobs.by_name.len() + new.len() <= MAX_JOBS;
    (!new.is_empty() && has_room).then_some(JobChange::Open(new))
}

/// The changes that store the relay's checkpoints. Only a checkpoint whose step directly follows
/// the one in the log is stored.
fn new_checkpoints<'a>(
    jobs: &'a Jobs,
    request: &'a RenewRequest,
) -> impl Iterator<Item = JobChange> + 'a {
    request
        .checkpoints
        .iter()
        .filter(|(name, _, step, _)| checkpoint_step(jobs, name) + 1 == *step)
        .map(|(name, token, step, checkpoint)| {
            JobChange::Checkpoint(name.clone(), *token, *step, checkpoint.clone())
        })
}
