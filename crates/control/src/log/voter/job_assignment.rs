//! Assignment of jobs by the leader: which relay owns which job, and when a job is revoked and released.
//!
//! A relay owns a job by an entry of the log and acts on it while its lease on its jobs runs. A job is revoked by one entry
//! and released by a later one, after its owner has confirmed that it stopped, or its lease cannot run any more.
//!
//! Guards against: two owners of one job, and jobs that move whenever a relay restarts.

use super::leadership::{AssignmentRun, Leadership, RelayProgress};
use super::Voter;
use crate::jobs::assignment::{FencingToken, Job, JobChange, MAX_JOBS_PER_CHANGE};
use crate::jobs::owner::RELAY_STOPS;
use crate::log::state::Command;
use crate::relay::{job_kind, JobCapabilities, RelayId};
use crate::wire::message::OperatorResponse;
use crate::{InjectedBug, Micros};

/// Time between two runs of the assignment where the jobs have not changed, in microseconds: bounds how late an expired
/// lease is noticed.
const ASSIGNMENT_INTERVAL: Micros = 200_000;
/// The shortest time between two revocations for balance, in microseconds: a relay that restarts moves no jobs.
const REBALANCE_INTERVAL: Micros = 10_000_000;

impl Leadership {
    /// Counts the jobs among these that owners have relinquished because they could not do them.
    pub(super) fn record_relinquished(&mut self, assignments: &[JobChange], now: Micros) {
        for assignment in assignments {
            let JobChange::Revoke(jobs) = assignment else {
                continue;
            };
            for (name, _, _) in jobs.iter().filter(|(.., reason)| reason != RELAY_STOPS) {
                let backoff = self.relinquished.entry(name.clone()).or_default();
                backoff.record(now);
            }
        }
    }

    fn backs_off(&self, job: &str, now: Micros) -> bool {
        self.relinquished
            .get(job)
            .is_some_and(|backoff| backoff.is_active(now))
    }

    /// Relays that do jobs and may act on them now.
    fn workers(&self, may_act: impl Fn(&RelayId) -> bool) -> Vec<(RelayId, JobCapabilities)> {
        self.relays
            .iter()
            .filter(|(relay, progress)| progress.jobs_version.is_some() && may_act(relay))
            .map(|(relay, progress)| (relay.clone(), progress.capabilities.clone()))
            .collect()
    }

    /// Whether a job's owner has confirmed that it stopped, by reporting the version of the jobs that revokes it.
    fn has_stopped(&self, owner: &RelayId, job: &Job) -> bool {
        let confirmed = self.relays.get(owner).and_then(|relay| relay.jobs_version);
        match (job.revoked_at, confirmed) {
            (Some(revoked_at), Some(version)) => version >= revoked_at,
            _ => false,
        }
    }
}

/// The next changes of the jobs' owners.
#[derive(Default)]
struct AssignmentPlan {
    /// Jobs whose owners have stopped, or cannot act any more.
    release: Vec<(String, FencingToken)>,
    /// Jobs to assign, to which relays.
    assign: Vec<(String, RelayId)>,
    /// Jobs to revoke from their owners, and why.
    revoke: Vec<(String, FencingToken, String)>,
}

impl AssignmentPlan {
    /// The entries of the log, in the order in which they are proposed.
    fn into_assignments(self) -> impl Iterator<Item = JobChange> {
        let entries = [
            (!self.release.is_empty()).then_some(JobChange::Release(self.release)),
            (!self.assign.is_empty()).then_some(JobChange::Assign(self.assign)),
            (!self.revoke.is_empty()).then_some(JobChange::Revoke(self.revoke)),
        ];
        entries.into_iter().flatten()
    }
}

impl Voter {
    /// Releases jobs whose owners cannot act on them any more, assigns those without an owner, and revokes some where a relay
    /// owns more than its share.
    pub(super) fn assign_jobs(&mut self) {
        let (now, jobs_version) = (self.now, self.state.jobs.version);
        let Some(leadership) = &self.leadership else {
            return;
        };
        let is_due = leadership.last_assignment.is_none_or(|last| {
            last.jobs_version != jobs_version || now >= last.at + ASSIGNMENT_INTERVAL
        });
        if self.state.jobs.by_name.is_empty() || !is_due {
            return;
        }
        let plan = self.plan_assignments(leadership);
        let revokes = !plan.revoke.is_empty();
        for assignment in plan.into_assignments() {
            self.propose(&Command::ChangeJobs(assignment));
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.last_assignment = Some(AssignmentRun {
                jobs_version,
                at: now,
            });
            if revokes {
                leadership.rebalanced_at = now;
            }
        }
    }

    fn plan_assignments(&self, leadership: &Leadership) -> AssignmentPlan {
        let (now, jobs) = (self.now, &self.state.jobs);
        let is_settled = self.previous_leases_expired(leadership);
        // Before that, a relay that is not known here may hold a lease of the previous leader.
        let may_act = |relay: &RelayId| !is_settled || self.may_hold_jobs_lease(leadership, relay);
        let mut plan = self.plan_revocations(leadership, may_act);
        // Only then have all relays renewed: otherwise the first one would be assigned all jobs.
        if !is_settled {
            return plan;
        }
        let workers = leadership.workers(may_act);
        if plan.revoke.is_empty() && now >= leadership.rebalanced_at + REBALANCE_INTERVAL {
            plan.revoke = jobs.excess_jobs(workers.len());
        }
        plan.assign = jobs.assignments(&workers, |name| leadership.backs_off(name, now));
        plan
    }

    /// Jobs to revoke because their owner cannot act on them or operators paused them, and revoked jobs to release.
    ///
    /// A job is never released by the entry that revokes it. Once the revocation is in the log, an owner that renews its
    /// lease learns of it in the same response, so that what is decided here stays true until the release is in the log.
    fn plan_revocations(
        &self,
        leadership: &Leadership,
        may_act: impl Fn(&RelayId) -> bool,
    ) -> AssignmentPlan {
        let mut plan = AssignmentPlan::default();
        for (name, job) in &self.state.jobs.by_name {
            let Some(owner) = &job.owner else { continue };
            let cannot_act = !may_act(owner) || self.injected_early_release(leadership, owner);
            if job.revoked_at.is_some() {
                if cannot_act || leadership.has_stopped(owner, job) {
                    plan.release.push((name.clone(), job.token));
                }
            } else if cannot_act || job.paused {
                let reason = if cannot_act {
                    "nothing is heard of it"
                } else {
                    "it is held"
                };
                plan.revoke.push((name.clone(), job.token, reason.into()));
            }
            if plan.release.len().max(plan.revoke.len()) == MAX_JOBS_PER_CHANGE {
                break;
            }
        }
        plan
    }

    fn may_hold_jobs_lease(&self, leadership: &Leadership, relay: &RelayId) -> bool {
        leadership
            .relays
            .get(relay)
            .is_some_and(|progress| progress.may_hold_jobs_lease(self.now, &self.timing))
    }

    /// With the bug injected: whether an owner is late with a renewal, and therefore taken to have no lease.
    fn injected_early_release(&self, leadership: &Leadership, owner: &RelayId) -> bool {
        let is_late =
            |relay: &RelayProgress| self.now >= relay.last_seen + self.timing.renew_interval;
        self.injected.is(InjectedBug::ReleaseEarly)
            && leadership.relays.get(owner).is_none_or(is_late)
    }

    /// Jobs that no relay may act on now, and why.
    pub(super) fn idle_jobs(&self) -> Vec<(String, String)> {
        let Some(leadership) = &self.leadership else {
            return Vec::new();
        };
        let workers = leadership.workers(|relay| self.may_hold_jobs_lease(leadership, relay));
        let jobs = self.state.jobs.by_name.iter();
        jobs.filter_map(|(name, job)| {
            let reason = match &job.owner {
                Some(owner) => self.owned_idle_reason(leadership, owner, job)?,
                None => self.unowned_reason(leadership, name, job, &workers),
            };
            Some((name.clone(), reason))
        })
        .collect()
    }

    /// Why the owner of a job may not act on it; none where it may.
    fn owned_idle_reason(
        &self,
        leadership: &Leadership,
        owner: &RelayId,
        job: &Job,
    ) -> Option<String> {
        let owner_name = &owner.name;
        if job.revoked_at.is_some() {
            let last_owner = last_revocation_suffix(job);
            return Some(format!(
                "it is taken back from {owner_name}, whose lease may still run{last_owner}"
            ));
        }
        let may_act = self.may_hold_jobs_lease(leadership, owner);
        (!may_act).then(|| format!("nothing is heard of {owner_name}, whose lease may still run"))
    }

    /// Why a job has no owner.
    fn unowned_reason(
        &self,
        leadership: &Leadership,
        name: &str,
        job: &Job,
        workers: &[(RelayId, JobCapabilities)],
    ) -> String {
        if job.paused {
            return "it is held: 'fleet release' gives it free".into();
        }
        if !self.previous_leases_expired(leadership) {
            return "the leader is new and waits for leases of before".into();
        }
        if !workers
            .iter()
            .any(|(_, capabilities)| capabilities.supports(name))
        {
            let kind = job_kind(name);
            return format!("no relay that answers does jobs of kind '{kind}'");
        }
        let last_owner = last_revocation_suffix(job);
        if leadership.backs_off(name, self.now) {
            return format!("it rests, since it was given up again and again{last_owner}");
        }
        format!("it is about to be given{last_owner}")
    }

    /// Makes a change of the jobs that operators ask for. One that is made already is answered as done.
    pub(super) fn change_jobs(&mut self, assignment: JobChange) -> OperatorResponse {
        let jobs = &self.state.jobs.by_name;
        let is_revoked = |name: &String, token: FencingToken| {
            jobs.get(name).is_none_or(|job| {
                job.token != token || job.revoked_at.is_some() || job.owner.is_none()
            })
        };
        let is_done = match &assignment {
            JobChange::Open(names) => names.iter().all(|name| jobs.contains_key(name)),
            JobChange::Close(name) => !jobs.contains_key(name),
            JobChange::Hold(name, paused) => match jobs.get(name) {
                Some(job) => job.paused == *paused,
                None => return OperatorResponse::Job(Err(format!("there is no job '{name}'"))),
            },
            JobChange::Revoke(revoked) => revoked
                .iter()
                .all(|(name, token, _)| is_revoked(name, *token)),
            JobChange::Assign(_) | JobChange::Release(_) | JobChange::Checkpoint(..) => {
                return OperatorResponse::Job(Err("a leader decides that, or an owner".into()))
            }
        };
        if is_done {
            return OperatorResponse::Job(Ok(()));
        }
        self.propose(&Command::ChangeJobs(assignment));
        OperatorResponse::InProgress("handed to the log".into(), Vec::new())
    }
}

/// The relay that relinquished a job last, and why, as the end of a sentence; empty where none did.
fn last_revocation_suffix(job: &Job) -> String {
    match &job.last_revocation {
        Some((relay, reason)) => format!("; {relay}: {reason}"),
        None => String::new(),
    }
}
