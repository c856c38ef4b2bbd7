//! Job ownership on a relay: which jobs it owns, and until when it may act on them.
//!
//! Input: responses of the leader to lease renewals. Output: the owned jobs while the lease is
//! valid, and the job fields of the next renewal request.
//!
//! Guards against: acting after the lease has expired (each check compares it with the time),
//! acting on a job that the newest list no longer contains (the relay stops before it reports that
//! it applied the list), acting after a receiver has reported a newer token, and an older list that
//! arrives late (ignored by its version).

use crate::jobs::assignment::FencingToken;
use crate::wire::message::{AssignedJobs, JobCapabilities, RenewRequest, RenewResponse};
use crate::{FleetTiming, InjectedBug, InjectedBugs, Micros};
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Reason with which a stopping relay relinquishes its jobs. Such a job is not backed off. The text
/// is sent to leaders of other builds, which compare it.
pub const RELAY_STOPS: &str = "its relay stops";

/// Maximum number of expected jobs that one renewal request names, so that requests stay short.
const MAX_EXPECTED_JOBS_PER_REQUEST: usize = 2;

/// A job that this relay owns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnedJob {
    /// Fencing token, to be sent with each command.
    pub token: FencingToken,
    /// Step of the latest checkpoint in the log; 0 if there is none.
    pub checkpoint_step: u64,
    /// Content of the latest checkpoint in the log, from which the job resumes.
    pub checkpoint: Vec<u8>,
    /// A checkpoint that the log does not contain yet.
    pending_checkpoint: Option<Vec<u8>>,
}

/// The jobs that this relay owns, and the lease under which it may act on them.
#[derive(Clone, Debug, Default)]
pub struct JobOwner {
    injected: InjectedBugs,
    /// Version of the newest list that was applied.
    version: u64,
    jobs: BTreeMap<String, OwnedJob>,
    /// Assignments that this relay relinquished, with the reason, until a list no longer contains
    /// them.
    relinquished: BTreeMap<(String, FencingToken), String>,
    /// When the lease expires, by the local clock.
    lease_expiry: Micros,
    capabilities: JobCapabilities,
    /// Whether the relay is stopping and accepts no more jobs.
    is_stopping: bool,
}

impl JobOwner {
    /// Creates an owner with an injected bug, for tests of the checkers.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(injected: InjectedBugs) -> JobOwner {
        JobOwner {
            injected,
            ..JobOwner::default()
        }
    }

    /// Sets which jobs this relay supports. Default: all kinds.
    pub fn with_capabilities(self, capabilities: JobCapabilities) -> JobOwner {
        JobOwner {
            capabilities,
            ..self
        }
    }

    /// Relinquishes all jobs and accepts no more, because the relay stops.
    pub fn relinquish_all(&mut self) {
        self.is_stopping = true;
        for name in self.jobs.keys().cloned().collect::<Vec<_>>() {
            self.relinquish(&name, RELAY_STOPS);
        }
    }

    /// The job, if this relay may act on it now. Must be checked right before each command is sent.
    pub fn may_act(&self, now: Micros, name: &str) -> Option<&OwnedJob> {
        let injected_act_after_lease =
            self.injected.is(InjectedBug::ActAfterLease) && self.lease_expiry > 0;
        let is_lease_valid = now < self.lease_expiry || injected_act_after_lease;
        self.jobs.get(name).filter(|_| is_lease_valid)
    }

    /// Names of the owned jobs, whether the lease is valid or not.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.jobs.keys().map(String::as_str)
    }

    /// Stops acting on a job and reports this with the reason in the next renewals. The relay
    /// accepts the job again only under a new token.
    pub fn relinquish(&mut self, name: &str, reason: &str) {
        if let Some(job) = self.jobs.remove(name) {
            self.relinquished
                .insert((name.into(), job.token), reason.into());
        }
    }

    /// Submits a checkpoint of an owned job. Returns false, and does nothing, if an earlier one is
    /// pending or the job is not owned.
    pub fn checkpoint(&mut self, name: &str, content: Vec<u8>) -> bool {
        let Some(job) = self
            .jobs
            .get_mut(name)
            .filter(|job| job.pending_checkpoint.is_none())
        else {
            return false;
        };
        job.pending_checkpoint = Some(content);
        true
    }

    /// The expected jobs that the request with this sequence number names. Successive requests go
    /// through all of them in turn.
    fn expected_jobs(&self, sequence: u64) -> Vec<String> {
        let all = &self.capabilities.expected_jobs;
        let first = sequence as usize * MAX_EXPECTED_JOBS_PER_REQUEST % all.len().max(1);
        all.iter()
            .cycle()
            .skip(first)
            .take(MAX_EXPECTED_JOBS_PER_REQUEST.min(all.len()))
            .cloned()
            .collect()
    }

    /// Fills the job fields of a renewal request, whose sequence number is set already.
    pub fn fill_request(&self, renew: &mut RenewRequest) {
        renew.jobs_version = Some(self.version);
        renew.capabilities = self.advertised_capabilities(renew.sequence);
        renew.relinquished = self
            .relinquished
            .iter()
            .map(|((name, token), reason)| (name.clone(), *token, reason.clone()))
            .collect();
        renew.checkpoints = self
            .jobs
            .iter()
            .filter_map(|(name, job)| {
                let content = job.pending_checkpoint.clone()?;
                Some((name.clone(), job.token, job.checkpoint_step + 1, content))
            })
            .collect();
    }

    fn advertised_capabilities(&self, sequence: u64) -> JobCapabilities {
        if self.is_stopping {
            // No job has this kind, so this relay supports none. An empty list would mean all
            // kinds.
            return JobCapabilities {
                kinds: vec![String::new()],
                ..JobCapabilities::default()
            };
        }
        JobCapabilities {
            expected_jobs: self.expected_jobs(sequence),
            ..self.capabilities.clone()
        }
    }

    /// Handles a response to the request that was sent at `requested_at` of the local clock. A
    /// leader responds only after a majority has confirmed its leadership. A response without the
    /// latest token has no renewal of the lease and is ignored.
    pub fn handle_response(
        &mut self,
        requested_at: Micros,
        response: &RenewResponse,
        timing: FleetTiming,
    ) {
        if response.last_token.is_none() {
            return;
        }
        if let Some(list) = &response.jobs {
            if list.version > self.version {
                self.apply_list(list);
            }
        }
        for (name, step) in &response.checkpoint_steps {
            self.confirm_checkpoint(name, *step);
        }
        self.lease_expiry = self.lease_expiry.max(requested_at + timing.lease_duration);
    }

    /// Records that the log contains the checkpoint with this step.
    fn confirm_checkpoint(&mut self, name: &str, step: u64) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        if job.checkpoint_step + 1 != step {
            return;
        }
        if let Some(content) = job.pending_checkpoint.take() {
            job.checkpoint_step = step;
            job.checkpoint = content;
        }
    }

    fn apply_list(&mut self, list: &AssignedJobs) {
        let listed: BTreeSet<(&str, FencingToken)> = list
            .jobs
            .iter()
            .map(|(name, token, ..)| (name.as_str(), *token))
            .collect();
        self.relinquished
            .retain(|(name, token), _| listed.contains(&(name.as_str(), *token)));
        if !self.injected.is(InjectedBug::ActAfterStop) {
            self.jobs
                .retain(|name, job| listed.contains(&(name.as_str(), job.token)));
        }
        for (name, token, step, checkpoint) in &list.jobs {
            let is_relinquished = self.relinquished.contains_key(&(name.clone(), *token));
            let is_known = self.jobs.get(name).is_some_and(|job| job.token == *token);
            if is_relinquished || is_known {
                continue;
            }
            let job = OwnedJob {
                token: *token,
                checkpoint_step: *step,
                checkpoint: checkpoint.clone(),
                pending_checkpoint: None,
            };
            self.jobs.insert(name.clone(), job);
        }
        self.version = list.version;
        if self.is_stopping {
            self.relinquish_all();
        }
    }
}
