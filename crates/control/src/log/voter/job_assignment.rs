//! Assignment of jobs by the leader: which relay owns which job, and when a job is revoked and
//! released.
//!
//! An entry of the log makes a relay the owner of a job, and the relay acts on it while its lease
//! on its jobs is valid. One entry revokes a job, and a later one releases it, after its owner has
//! confirmed that it stopped or its lease has expired.
//!
//! Guards against: two owners of one job, and jobs that move each time a relay restarts.

use super::leadership::{AssignmentRun, Leadership, RelayProgress};
use super::Voter;
use crate::jobs::assignment::{FencingToken, Job, JobChange, MAX_JOBS_PER_CHANGE};
use crate::jobs::owner::RELAY_STOPS;
use crate::log::state::Command;
use crate::relay::{job_kind, JobCapabilities, RelayId};
use crate::wire::message::OperatorResponse;
use crate::{InjectedBug, Micros};

/// Interval between two runs of the assignment while the jobs do not change, in microseconds.
/// Limits how late an expired lease is noticed.
const ASSIGNMENT_INTERVAL: Micros = 200_000;
/// Minimum time from any revocation to the next one for balance, in microseconds, so that a restart
/// of a relay does not move jobs.
const REBALANCE_INTERVAL: Micros = 10_000_000;

impl Leadership {
    /// Records in `relinquished` the jobs that owners relinquish by these changes because they
    /// cannot do them.
    pub(super) fn record_relinquished(&mut self, changes: &[JobChange], now: Micros) {
        for change in changes {
            let JobChange::Revoke(jobs) = change else {
                continue;
            };
            for (name, _, _) in jobs.iter().filter(|(.., reason)| reason != RELAY_STOPS) {
                let backoff = self.relinquished.entry(name.clone()).or_default();
                backoff.record(now);
            }
        }
    }

    fn is_backing_off(&self, job: &str, now: Micros) -> bool {
        self.relinquished
            .get(job)
            .is_some_and(|backoff| backoff.is_active(now))
    }

    /// Relays that do jobs and for which `may_act` holds.
    fn workers(&self, may_act: impl Fn(&RelayId) -> bool) -> Vec<(RelayId, JobCapabilities)> {
        self.relays
            .iter()
            .filter(|(relay, progress)| progress.jobs_version.is_some() && may_act(relay))
            .map(|(relay, progress)| (relay.clone(), progress.capabilities.clone()))
            .collect()
    }

    /// Whether the owner of a revoked job has confirmed that it stopped, by reporting that it
    /// applied the job list of the revocation or a later one.
    fn has_stopped(&self, owner: &RelayId, job: &Job) -> bool {
        let confirmed = self.relays.get(owner).and_then(|relay| relay.jobs_version);
        match (job.revoked_at, confirmed) {
            (Some(revoked_at), Some(version)) => version >= revoked_at,
            _ => false,
        }
    }
}

/// Changes of the owners of jobs to propose next.
#[derive(Default)]
struct AssignmentPlan {
    /// Jobs to release because their owners have stopped or can no longer act.
    release: Vec<(String, FencingToken)>,
    /// Jobs to assign, and the relay for each.
    assign: Vec<(String, RelayId)>,
    /// Jobs to revoke from their owners, with token and reason.
    revoke: Vec<(String, FencingToken, String)>,
}

impl AssignmentPlan {
    /// The changes as entries of the log, in the order in which they are proposed.
    fn into_changes(self) -> impl Iterator<Item = JobChange> {
        let entries = [
            (!self.release.is_empty()).then_some(JobChange::Release(self.release)),
            (!self.assign.is_empty()).then_some(JobChange::Assign(self.assign)),
            (!self.revoke.is_empty()).then_some(JobChange::Revoke(self.revoke)),
        ];
        entries.into_iter().flatten()
    }
}

impl Voter {
    /// Releases jobs whose owners can no longer act on them, assigns jobs without an owner, and
    /// revokes jobs of relays that own more than their share.
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
        for change in plan.into_changes() {
            self.propose(&Command::ChangeJobs(change));
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.last_assignment = Some(AssignmentRun {
                jobs_version,
                at: now,
            });
            if revokes {
                leadership.last_revocation_at = now;
            }
        }
    }

    fn plan_assignments(&self, leadership: &Leadership) -> AssignmentPlan {
        let (now, jobs) = (self.now, &self.state.jobs);
        let is_settled = self.previous_leases_expired(leadership);
        // Until then, a relay that is unknown to this leader may hold a lease of the previous one.
        let may_act = |relay: &RelayId| !is_settled || self.may_hold_jobs_lease(leadership, relay);
        let mut plan = self.plan_revocations(leadership, may_act);
        // Until then, not all relays have renewed, and the first ones to do so would be assigned
        // all jobs.
        if !is_settled {
            return plan;
        }
        let workers = leadership.workers(may_act);
        if plan.revoke.is_empty() && now >= leadership.last_revocation_at + REBALANCE_INTERVAL {
            plan.revoke = jobs.excess_jobs(workers.len());
        }
        plan.assign = jobs.assignments(&workers, |name| leadership.is_backing_off(name, now));
        plan
    }

    /// Jobs to revoke because their owner cannot act on them or operators hold them, and revoked
    /// jobs to release.
    ///
    /// Revocation and release are always separate entries. Once the revocation is in the log, an
    /// owner that renews its lease learns of it in the same response, so a decision made here that
    /// the owner cannot act remains true until the release is in the log.
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
            } else if cannot_act || job.is_held {
                let reason = if cannot_act {
                    "the lease of its relay has expired"
                } else {
                    "operators hold it"
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

    /// Whether the injected bug treats an owner as having no lease because its renewal is late.
    fn injected_early_release(&self, leadership: &Leadership, owner: &RelayId) -> bool {
        let is_late =
            |relay: &RelayProgress| self.now >= relay.last_seen + self.timing.renew_interval;
        self.injected.is(InjectedBug::ReleaseEarly)
            && leadership.relays.get(owner).is_none_or(is_late)
    }

    /// Jobs that no relay may act on now, and the reason for each.
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

    /// Reason why the owner of a job may not act on it; `None` if it may.
    fn owned_idle_reason(
        &self,
        leadership: &Leadership,
        owner: &RelayId,
        job: &Job,
    ) -> Option<String> {
        let owner_name = &owner.name;
        if job.revoked_at.is_some() {
            let revocation = last_revocation_suffix(job);
            return Some(format!(
                "it is being revoked from {owner_name}, whose lease may still be valid{revocation}"
            ));
        }
        let may_act = self.may_hold_jobs_lease(leadership, owner);
        (!may_act)
            .then(|| format!("{owner_name} does not renew its lease, which may still be valid"))
    }

    /// Reason why a job has no owner.
    fn unowned_reason(
        &self,
        leadership: &Leadership,
        name: &str,
        job: &Job,
        workers: &[(RelayId, JobCapabilities)],
    ) -> String {
        if job.is_held {
            return "operators hold it: 'fleet release' allows its assignment".into();
        }
        if !self.previous_leases_expired(leadership) {
            return "the leader is new and waits for leases of its predecessor to expire".into();
        }
        if !workers
            .iter()
            .any(|(_, capabilities)| capabilities.supports(name))
        {
            let kind = job_kind(name);
            return format!("no relay with a valid lease does jobs of kind '{kind}'");
        }
        let revocation = last_revocation_suffix(job);
        if leadership.is_backing_off(name, self.now) {
            return format!(
                "its assignment is delayed, because owners relinquished it repeatedly{revocation}"
            );
        }
        format!("it is about to be assigned{revocation}")
    }

    /// Makes a change of the jobs that an operator requests. A change that was made before is
    /// answered as done.
    pub(super) fn change_jobs(&mut self, change: JobChange) -> OperatorResponse {
        let jobs = &self.state.jobs.by_name;
        let is_revoked = |name: &String, token: FencingToken| {
            jobs.get(name).is_none_or(|job| {
                job.token != token || job.revoked_at.is_some() || job.owner.is_none()
            })
        };
        let is_done = match &change {
            JobChange::Open(names) => names.iter().all(|name| jobs.contains_key(name)),
            JobChange::Close(name) => !jobs.contains_key(name),
            JobChange::Hold(name, is_held) => match jobs.get(name) {
                Some(job) => job.is_held == *is_held,
                None => return OperatorResponse::Job(Err(format!("there is no job '{name}'"))),
            },
            JobChange::Revoke(revoked) => revoked
                .iter()
                .all(|(name, token, _)| is_revoked(name, *token)),
            JobChange::Assign(_) | JobChange::Release(_) | JobChange::Checkpoint(..) => {
                return OperatorResponse::Job(Err(
                    "only the leader or an owner makes this change".into()
                ))
            }
        };
        if is_done {
            return OperatorResponse::Job(Ok(()));
        }
        self.propose(&Command::ChangeJobs(change));
        OperatorResponse::InProgress("proposed to the log".into(), Vec::new())
    }
}

/// The relay that a job was last revoked from and the reason, as the end of a sentence; empty if it
/// was never revoked.
fn last_revocation_suffix(job: &Job) -> String {
    match &job.last_revocation {
        Some((relay, reason)) => format!("; {relay}: {reason}"),
        None => String::new(),
    }
}
