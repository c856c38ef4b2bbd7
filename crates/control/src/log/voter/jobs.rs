//! Who has which job, as the leader decides it.

use super::{Known, Leadership, ReplyAddress, Voter};
use crate::jobs::assignment::{
    is_valid_job_name, Assignment, Jobs, MAX_ASSIGNMENTS_PER_BATCH, MAX_JOBS,
};
use crate::jobs::owner::RELAY_STOPS;
use crate::log::state::Command;
use crate::wire::message::{
    job_kind, AssignedJobs, JobCapabilities, Message, OperatorResponse, Poll, Publish, RelayId,
    RenewRequest, RenewResponse, Submission, Subscribe,
};
use crate::{InjectedBug, Micros};

/// Who has which job is looked at so often where nothing has changed: a lease that has run out is seen no later. What is
/// handed to the log twice by that changes nothing.
const DEAL: Micros = 200_000;
/// Jobs are taken back for balance after such a pause: a relay that comes and goes moves none.
const BALANCE: Micros = 10_000_000;
/// A job that was given up by its owners' own measure twice within that time rests so long before somebody else has it,
/// and longer each time, up to the last. Where nobody can do it, it goes round no faster.
const WITHIN: Micros = 60_000_000;
const REST: Micros = 5_000_000;
const RESTS: u32 = 4;

/// How often a job was given up lately, and when last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Resting {
    times: u32,
    last: Micros,
}

impl Resting {
    fn again(&mut self, now: Micros) {
        self.times = if now < self.last + WITHIN {
            self.times + 1
        } else {
            1
        };
        self.last = now;
    }

    fn rests(&self, now: Micros) -> bool {
        self.times > 1 && now < self.last + (REST << (self.times - 2).min(RESTS - 1))
    }
}

/// A relay has renewed its lease on its jobs: what it is told of them, and what the log is to be told by it.
pub(super) fn renewed(
    jobs: &Jobs,
    known: &mut Known,
    renew: &RenewRequest,
    reply: &mut RenewResponse,
    now: Micros,
) -> Vec<Assignment> {
    reply.last_token = Some(jobs.last_token);
    known.jobs = renew.jobs_version;
    let mut assignments = Vec::new();
    if let Some(version) = renew.jobs_version {
        known.leased = Some(now);
        if version < jobs.version {
            let checkpoint = |(name, token): (String, u64)| {
                let job = jobs.by_name.get(&name).cloned().unwrap_or_default();
                (name, token, job.checkpoint_step, job.checkpoint)
            };
            let of = jobs
                .of_relay(&renew.relay)
                .into_iter()
                .map(checkpoint)
                .collect();
            reply.jobs = Some(AssignedJobs {
                version: jobs.version,
                jobs: of,
            });
        }
        let new = |(name, token, _): &(String, u64, String)| {
            jobs.by_name
                .get(name)
                .is_some_and(|job| job.token == *token && job.revoked_at.is_none())
        };
        let gives_up: Vec<_> = renew
            .relinquished
            .iter()
            .filter(|gone| new(gone))
            .cloned()
            .collect();
        if !gives_up.is_empty() {
            assignments.push(Assignment::Revoke(gives_up));
        }
        let opens = &renew.capabilities.expected_jobs;
        // One that can never be opened would be handed to the log with each question.
        let new = opens
            .iter()
            .filter(|name| is_valid_job_name(name) && !jobs.by_name.contains_key(*name));
        let new: Vec<String> = new.cloned().collect();
        if !new.is_empty() && jobs.by_name.len() + new.len() <= MAX_JOBS {
            assignments.push(Assignment::Open(new));
        }
        known.skills = renew.capabilities.clone();
        for (name, token, step, bytes) in &renew.checkpoints {
            let at = jobs.by_name.get(name).map_or(0, |job| job.checkpoint_step);
            if at + 1 == *step {
                assignments.push(Assignment::Checkpoint(
                    name.clone(),
                    *token,
                    *step,
                    bytes.clone(),
                ));
            }
            reply.checkpoint_steps.push((name.clone(), at));
        }
    }
    assignments
}

/// Relays that do jobs and may act on them now.
fn workers(
    leadership: &Leadership,
    may_act: impl Fn(&RelayId) -> bool,
) -> Vec<(RelayId, JobCapabilities)> {
    let works = |(relay, known): &(&RelayId, &Known)| known.jobs.is_some() && may_act(relay);
    let relays = leadership.relays.iter().filter(works);
    relays
        .map(|(relay, known)| (relay.clone(), known.skills.clone()))
        .collect()
}

impl Voter {
    /// A relay follows this voter's updates.
    pub fn handle_subscribe(&mut self, now: Micros, from: ReplyAddress, follow: Subscribe) {
        self.now = now;
        let told = self
            .broadcaster
            .handle_subscribe(now, from, follow, &self.state.jobs);
        self.answers
            .extend(told.into_iter().map(|message| (from, message)));
    }

    /// A relay that follows asks what is new.
    pub fn handle_poll(&mut self, now: Micros, from: ReplyAddress, poll: Poll) {
        self.now = now;
        let delivery = self
            .broadcaster
            .handle_poll(now, from, poll, &self.state.jobs);
        self.answers
            .extend(delivery.map(|delivery| (from, Message::Delivery(delivery))));
    }

    /// An owner of an older build has an update for all relays.
    pub fn handle_publish(&mut self, now: Micros, from: ReplyAddress, publish: Publish) {
        self.now = now;
        let told: Vec<(ReplyAddress, Message)> =
            self.broadcaster
                .handle_publish(now, from, publish, &self.state.jobs);
        self.answers.extend(told);
    }

    /// An owner has an update for all relays.
    pub fn handle_submission(&mut self, now: Micros, from: ReplyAddress, submission: Submission) {
        self.now = now;
        let told: Vec<(ReplyAddress, Message)> =
            self.broadcaster
                .handle_submission(now, from, submission, &self.state.jobs);
        self.answers.extend(told);
    }

    /// A link has ended.
    pub fn disconnected(&mut self, from: ReplyAddress) {
        self.broadcaster.disconnected(from);
    }

    /// Owners have given these up by their own measure.
    pub(super) fn tire(&mut self, assignments: &[Assignment]) {
        let (now, Some(leadership)) = (self.now, &mut self.leadership) else {
            return;
        };
        for assignment in assignments {
            let Assignment::Revoke(names) = assignment else {
                continue;
            };
            for (name, _, _) in names.iter().filter(|(.., why)| why != RELAY_STOPS) {
                leadership
                    .resting
                    .entry(name.clone())
                    .or_default()
                    .again(now);
            }
        }
    }

    /// Jobs that nobody may act on just now, and why.
    pub(super) fn idle(&self) -> Vec<(String, String)> {
        let (now, Some(leadership)) = (self.now, &self.leadership) else {
            return Vec::new();
        };
        let settled = self.settled(leadership);
        let leased = |relay: &RelayId| {
            let leased = leadership.relays.get(relay).and_then(|known| known.leased);
            leased.is_some_and(|at| now < self.times.lease_expired_by(at))
        };
        let workers = workers(leadership, leased);
        let mut idle = Vec::new();
        for (name, job) in &self.state.jobs.by_name {
            let gave_up = || {
                job.relinquished_by
                    .as_ref()
                    .map_or(String::new(), |(by, why)| format!("; {by}: {why}"))
            };
            let why = match &job.owner {
                Some(owner) if leased(owner) && job.revoked_at.is_none() => continue,
                Some(owner) if job.revoked_at.is_some() => {
                    format!(
                        "it is taken back from {}, whose lease may still run{}",
                        owner.name,
                        gave_up()
                    )
                }
                Some(owner) => format!(
                    "nothing is heard of {}, whose lease may still run",
                    owner.name
                ),
                None if job.paused => "it is held: 'fleet release' gives it free".into(),
                None if !settled => "the leader is new and waits for leases of before".into(),
                None if !workers.iter().any(|(_, skills)| skills.supports(name)) => {
                    format!(
                        "no relay that answers does jobs of kind '{}'",
                        job_kind(name)
                    )
                }
                None if leadership
                    .resting
                    .get(name)
                    .is_some_and(|resting| resting.rests(now)) =>
                {
                    format!(
                        "it rests, since it was given up again and again{}",
                        gave_up()
                    )
                }
                None => format!("it is about to be given{}", gave_up()),
            };
            idle.push((name.clone(), why));
        }
        idle
    }

    /// What operators want of the jobs. What is so already is done, so the same may be asked again.
    pub(super) fn assignment_asked(&mut self, assignment: Assignment) -> OperatorResponse {
        let of = &self.state.jobs.by_name;
        let done = match &assignment {
            Assignment::Open(names) => names.iter().all(|name| of.contains_key(name)),
            Assignment::Close(name) => !of.contains_key(name),
            Assignment::Hold(name, held) => match of.get(name) {
                Some(job) => job.paused == *held,
                None => return OperatorResponse::Job(Err(format!("there is no job '{name}'"))),
            },
            Assignment::Revoke(names) => names.iter().all(|(name, token, _)| {
                of.get(name).is_none_or(|job| {
                    job.token != *token || job.revoked_at.is_some() || job.owner.is_none()
                })
            }),
            _ => return OperatorResponse::Job(Err("a leader decides that, or an owner".into())),
        };
        if done {
            return OperatorResponse::Job(Ok(()));
        }
        self.propose(&Command::Assignment(assignment));
        OperatorResponse::InProgress("handed to the log".into(), Vec::new())
    }

    /// Frees jobs whose owners cannot act on them any more, gives those that nobody has, and takes some back where a relay
    /// has more than its part.
    pub(super) fn assignment(&mut self) {
        let (now, times, jobs) = (self.now, self.times, &self.state.jobs);
        let early = self.injected.is(InjectedBug::GiveEarly);
        let Some(leadership) = &self.leadership else {
            return;
        };
        let due = leadership
            .assigned
            .is_none_or(|(version, at)| version != jobs.version || now >= at + DEAL);
        if jobs.by_name.is_empty() || !due {
            return;
        }
        let settled = self.settled(leadership);
        let may_act = |relay: &RelayId| {
            let leased = leadership.relays.get(relay).and_then(|known| known.leased);
            !settled || leased.is_some_and(|at| now < times.lease_expired_by(at))
        };
        // Taken back first, freed after: from the entry that takes it back on, whoever renews its lease is told in the same
        // answer that it has the job no more, so what is judged here stays true until the next entry is in the log. Freed
        // at once, a job went to another while its owner had come back and renewed (seed 57 of the virtual fleet).
        let (mut free, mut back) = (Vec::new(), Vec::new());
        for (name, job) in &jobs.by_name {
            let Some(owner) = &job.owner else { continue };
            let known = leadership.relays.get(owner);
            // Whoever has heard of that version has said so after it stopped.
            let stopped = job.revoked_at.is_some_and(|at| {
                known
                    .and_then(|known| known.jobs)
                    .is_some_and(|version| version >= at)
            });
            let silent =
                early && known.is_none_or(|known| now >= known.seen + times.renew_interval);
            let lapsed = silent || !may_act(owner);
            if job.revoked_at.is_some() && (stopped || lapsed) {
                free.push((name.clone(), job.token));
            } else if job.revoked_at.is_none() && (lapsed || job.paused) {
                let why = if lapsed {
                    "nothing is heard of it"
                } else {
                    "it is held"
                };
                back.push((name.clone(), job.token, why.to_string()));
            }
            if free.len().max(back.len()) == MAX_ASSIGNMENTS_PER_BATCH {
                break;
            }
        }
        let workers = workers(leadership, may_act);
        let balance = settled && now >= leadership.balanced + BALANCE;
        if back.is_empty() && balance {
            back = jobs.excess(workers.len());
        }
        // All relays that serve have been heard of by then: the first to ask does not get everything.
        let give = if settled {
            jobs.assignments(&workers, |name| {
                leadership
                    .resting
                    .get(name)
                    .is_some_and(|resting| resting.rests(now))
            })
        } else {
            Vec::new()
        };
        let (version, taken) = (jobs.version, !back.is_empty());
        let assignments = [
            (!free.is_empty()).then_some(Assignment::Release(free)),
            (!give.is_empty()).then_some(Assignment::Assign(give)),
            taken.then_some(Assignment::Revoke(back)),
        ];
        assignments
            .into_iter()
            .flatten()
            .for_each(|assignment| self.propose(&Command::Assignment(assignment)));
        if let Some(leadership) = &mut self.leadership {
            leadership.assigned = Some((version, now));
            if taken {
                leadership.balanced = now;
            }
        }
    }
}
