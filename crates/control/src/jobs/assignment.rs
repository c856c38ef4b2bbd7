//! Job assignments: which relay owns each job of the fleet, as the replicated log records it.
//!
//! Input: [`JobChange`] entries of the log, in order. Output: the state [`Jobs`], the same on every
//! voter, and the proposals of the leader for the next entries ([`Jobs::assignments`],
//! [`Jobs::excess_jobs`]).
//!
//! Each job has at most one owner. Every assignment takes a fencing token from one counter that
//! only grows; the owner's commands carry the token, and receivers reject tokens older than the
//! highest that they know (`fence.rs`).
//!
//! Guards against: an owner that was paused and resumes after its lease expired (receivers fence
//! its commands), stale entries of an earlier owner or leader (each names the token that it refers
//! to), and flapping (rendezvous hashing with a bounded share, so that a relay that joins or leaves
//! moves few jobs).

use crate::relay::{JobCapabilities, RelayId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

#[cfg(test)]
mod tests;

/// Fencing token of an assignment. Grows with each assignment of any job; 0 means that there was
/// none yet.
pub type FencingToken = u64;

/// Maximum number of jobs. All of them are part of each snapshot of the log.
pub const MAX_JOBS: usize = 16_384;
/// Maximum length of a job's name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Maximum size of a job's checkpoint, in bytes.
const MAX_CHECKPOINT_BYTES: usize = 1024;
/// Maximum number of jobs that one [`JobChange`] of the leader assigns, revokes or releases.
pub const MAX_JOBS_PER_CHANGE: usize = 256;
/// Maximum number of jobs of one relay, relative to an even share. Above 1, so that a relay that
/// joins or leaves moves few jobs.
const MAX_SHARE_FACTOR: f64 = 1.25;

/// State of one job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Job {
    /// Token of the latest assignment; 0 before the first.
    pub token: FencingToken,
    /// The relay that owns the job, if any.
    pub owner: Option<RelayId>,
    /// Set while the job is being revoked: the owner has stopped once it reports this version of
    /// [`Jobs`] or a later one.
    #[serde(rename = "yields")]
    pub revoked_at: Option<u64>,
    /// Whether operators hold the job. A held job is not assigned.
    #[serde(rename = "held")]
    pub is_held: bool,
    /// Name of the relay that the job was last revoked from, and the reason. This includes jobs
    /// that the owner relinquished. Other relays are preferred for the next assignment.
    #[serde(rename = "gave_up")]
    pub last_revocation: Option<(String, String)>,
    /// Step of the latest checkpoint, which grows by one with each; 0 before the first.
    #[serde(rename = "step")]
    pub checkpoint_step: u64,
    /// Content of the latest checkpoint, which only this kind of job interprets.
    #[serde(with = "serde_bytes")]
    pub checkpoint: Vec<u8>,
}

/// State of all jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Jobs {
    /// The latest fencing token that was issued.
    #[serde(rename = "last")]
    pub last_token: FencingToken,
    /// Version of the job list; grows with each change of an owner.
    pub version: u64,
    /// The jobs by name.
    #[serde(rename = "of")]
    pub by_name: BTreeMap<String, Job>,
}

/// A change of the jobs, as an entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobChange {
    /// Creates the jobs with these names.
    Open(Vec<String>),
    /// Deletes a job that has no owner.
    Close(String),
    /// Assigns each job to a relay, under a new token.
    #[serde(rename = "Give")]
    Assign(Vec<(String, RelayId)>),
    /// Revokes each job (name, token) from its owner, which must stop, with the reason.
    #[serde(rename = "Yield")]
    Revoke(Vec<(String, FencingToken, String)>),
    /// Releases each job (name, token) from its owner, which has stopped or can no longer act on
    /// it.
    #[serde(rename = "Free")]
    Release(Vec<(String, FencingToken)>),
    /// Stores a checkpoint of the owner: name of the job, token, step and content.
    Checkpoint(String, FencingToken, u64, Vec<u8>),
    /// Holds a job (true), so that it is not assigned, or ends that (false).
    Hold(String, bool),
}

impl Jobs {
    /// Applies an entry of the log. A part that does not match the current state comes from a
    /// former leader or owner and is ignored.
    pub fn apply(&mut self, change: JobChange) {
        match change {
            JobChange::Open(names) => {
                for name in names {
                    self.open(name);
                }
            }
            JobChange::Close(name) => self.close(&name),
            JobChange::Assign(assignments) => {
                for (name, relay) in assignments {
                    self.assign(&name, relay);
                }
            }
            JobChange::Revoke(revocations) => {
                for (name, token, reason) in revocations {
                    self.revoke(&name, token, reason);
                }
            }
            JobChange::Release(releases) => {
                for (name, token) in releases {
                    self.release(&name, token);
                }
            }
            JobChange::Checkpoint(name, token, step, content) => {
                self.store_checkpoint(&name, token, step, content);
            }
            JobChange::Hold(name, is_held) => {
                if let Some(job) = self.by_name.get_mut(&name) {
                    job.is_held = is_held;
                }
            }
        }
    }

    fn open(&mut self, name: String) {
        if is_valid_job_name(&name) && self.by_name.len() < MAX_JOBS {
            self.by_name.entry(name).or_default();
        }
    }

    /// Deletes a job, unless it has an owner, which must stop first.
    fn close(&mut self, name: &str) {
        let has_no_owner = |job: &Job| job.owner.is_none();
        if self.by_name.get(name).is_some_and(has_no_owner) {
            self.by_name.remove(name);
        }
    }

    fn assign(&mut self, name: &str, relay: RelayId) {
        let Some(job) = self.by_name.get_mut(name).filter(|job| job.is_assignable()) else {
            return;
        };
        self.last_token += 1;
        self.version += 1;
        job.token = self.last_token;
        job.owner = Some(relay);
        job.revoked_at = None;
    }

    fn revoke(&mut self, name: &str, token: FencingToken, reason: String) {
        let version = self.version + 1;
        let Some(job) = self
            .owned_job(name, token)
            .filter(|job| job.revoked_at.is_none())
        else {
            return;
        };
        job.last_revocation = job.owner.as_ref().map(|owner| (owner.name.clone(), reason));
        job.revoked_at = Some(version);
        self.version = version;
    }

    fn release(&mut self, name: &str, token: FencingToken) {
        let Some(job) = self.owned_job(name, token) else {
            return;
        };
        job.owner = None;
        job.revoked_at = None;
        self.version += 1;
    }

    fn store_checkpoint(&mut self, name: &str, token: FencingToken, step: u64, content: Vec<u8>) {
        let Some(job) = self.owned_job(name, token) else {
            return;
        };
        if step == job.checkpoint_step + 1 && content.len() <= MAX_CHECKPOINT_BYTES {
            job.checkpoint_step = step;
            job.checkpoint = content;
        }
    }

    /// The job, if it is owned under this token.
    fn owned_job(&mut self, name: &str, token: FencingToken) -> Option<&mut Job> {
        self.by_name
            .get_mut(name)
            .filter(|job| job.token == token && job.owner.is_some())
    }

    /// Names and tokens of the jobs that a relay's process owns, without those that are being
    /// revoked.
    pub fn owned_by(&self, relay: &RelayId) -> Vec<(String, FencingToken)> {
        self.by_name
            .iter()
            .filter(|(_, job)| job.owner.as_ref() == Some(relay) && job.revoked_at.is_none())
            .map(|(name, job)| (name.clone(), job.token))
            .collect()
    }

    /// The next jobs to assign, and the relay for each. `workers` are the relays that may own jobs;
    /// `is_backing_off` says which jobs must not be assigned yet.
    ///
    /// Among the workers that support a job and are below their share, those from which it was not
    /// last revoked are preferred, then those of the job's zone, then the one with the highest
    /// rendezvous weight.
    pub fn assignments(
        &self,
        workers: &[(RelayId, JobCapabilities)],
        is_backing_off: impl Fn(&str) -> bool,
    ) -> Vec<(String, RelayId)> {
        let max_per_relay = self.max_jobs_per_relay(workers.len());
        let mut job_counts = self.job_counts(workers);
        let mut assignments = Vec::new();
        for (name, job) in &self.by_name {
            if !job.is_assignable() || is_backing_off(name) {
                continue;
            }
            let has_capacity = |relay: &RelayId| {
                job_counts
                    .get(relay)
                    .is_some_and(|count| *count < max_per_relay)
            };
            let Some(relay) = job.preferred_worker(name, workers, has_capacity) else {
                continue;
            };
            if let Some(count) = job_counts.get_mut(relay) {
                *count += 1;
            }
            assignments.push((name.clone(), relay.clone()));
            if assignments.len() == MAX_JOBS_PER_CHANGE {
                break;
            }
        }
        assignments
    }

    /// Number of jobs that each of these relays owns.
    fn job_counts<'a>(
        &self,
        workers: &'a [(RelayId, JobCapabilities)],
    ) -> BTreeMap<&'a RelayId, usize> {
        let mut counts: BTreeMap<&RelayId, usize> =
            workers.iter().map(|(relay, _)| (relay, 0)).collect();
        for owner in self.by_name.values().filter_map(|job| job.owner.as_ref()) {
            if let Some(count) = counts.get_mut(owner) {
                *count += 1;
            }
        }
        counts
    }

    /// Jobs to revoke because their owner has more than its share among this number of relays:
    /// name, token and reason. Of one owner, those with the lowest rendezvous weight come first.
    pub fn excess_jobs(&self, relay_count: usize) -> Vec<(String, FencingToken, String)> {
        let max_per_relay = self.max_jobs_per_relay(relay_count);
        let mut by_owner: BTreeMap<&RelayId, Vec<(u64, &String, FencingToken)>> = BTreeMap::new();
        for (name, job) in &self.by_name {
            if job.revoked_at.is_some() {
                continue;
            }
            let Some(owner) = &job.owner else { continue };
            let weight = rendezvous_weight(name, owner);
            by_owner
                .entry(owner)
                .or_default()
                .push((weight, name, job.token));
        }
        let mut excess = Vec::new();
        for mut owned in by_owner.into_values() {
            owned.sort();
            let excess_count = owned.len().saturating_sub(max_per_relay);
            let reason = "its relay has more than its share of jobs";
            excess.extend(
                owned
                    .into_iter()
                    .take(excess_count)
                    .map(|(_, name, token)| (name.clone(), token, reason.into())),
            );
        }
        excess.truncate(MAX_JOBS_PER_CHANGE);
        excess
    }

    fn max_jobs_per_relay(&self, relay_count: usize) -> usize {
        let even_share = self.by_name.len() as f64 / relay_count.max(1) as f64;
        (even_share * MAX_SHARE_FACTOR).ceil() as usize
    }
}

impl Job {
    fn is_assignable(&self) -> bool {
        self.owner.is_none() && !self.is_held
    }

    /// The worker that should own this job, among those that support it and have capacity.
    fn preferred_worker<'a>(
        &self,
        name: &str,
        workers: &'a [(RelayId, JobCapabilities)],
        has_capacity: impl Fn(&RelayId) -> bool,
    ) -> Option<&'a RelayId> {
        let was_revoked_from = |relay: &RelayId| {
            self.last_revocation
                .as_ref()
                .is_some_and(|(former_owner, _)| *former_owner == relay.name)
        };
        workers
            .iter()
            .filter(|(relay, capabilities)| capabilities.supports(name) && has_capacity(relay))
            .max_by_key(|(relay, capabilities)| {
                (
                    !was_revoked_from(relay),
                    capabilities.is_local(name),
                    rendezvous_weight(name, relay),
                )
            })
            .map(|(relay, _)| relay)
    }
}

/// Whether a job may have this name: it must not be empty or longer than 64 bytes.
pub fn is_valid_job_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

fn rendezvous_weight(name: &str, relay: &RelayId) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64_with_seed(relay.name.as_bytes(), 0))
}
