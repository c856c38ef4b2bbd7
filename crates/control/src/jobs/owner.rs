//! A relay's side of the jobs: what it has, and up to when it may act on it.
//!
//! Guards against: acting after the lease has run out (each look takes the time), after a list that no longer has the job
//! (it stops before it says that it knows the list), after a receiver has said that another has the job, and an older
//! list that comes late (versions only grow).

use crate::jobs::assignment::FencingToken;
use crate::wire::message::{AssignedJobs, JobCapabilities, RenewRequest, RenewResponse};
use crate::{FleetTiming, InjectedBug, InjectedBugs, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Why a relay gives its jobs up that is told to stop. It says nothing of the job.
pub const RELAY_STOPS: &str = "its relay stops";

/// Jobs that one question says there are to be, at most.
const OPENS: usize = 2;

/// A job that it has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnedJob {
    /// Goes with each order.
    pub token: FencingToken,
    /// The last checkpoint that the log has: where to go on.
    pub checkpoint_step: u64,
    /// See `step`.
    pub checkpoint: Vec<u8>,
    /// The next one, not in the log yet.
    next: Option<Vec<u8>>,
}

/// See the module's text.
#[derive(Clone, Debug, Default)]
pub struct JobOwner {
    injected: InjectedBugs,
    version: u64,
    jobs: BTreeMap<String, OwnedJob>,
    /// What it acts on no more, whatever an older list says, and why.
    gave_up: BTreeMap<(String, FencingToken), String>,
    /// Up to when it may act.
    lease: Micros,
    skills: JobCapabilities,
    /// It wants no more jobs.
    stops: bool,
}

impl JobOwner {
    /// One with a fault in it: for tests of the checkers.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(injected: InjectedBugs) -> JobOwner {
        JobOwner {
            injected,
            ..JobOwner::default()
        }
    }

    /// What it can do.
    pub fn with_capabilities(self, skills: JobCapabilities) -> JobOwner {
        JobOwner { skills, ..self }
    }

    /// Its relay stops: it gives up what it has, and takes nothing more.
    pub fn release_all(&mut self) {
        self.stops = true;
        for name in self.jobs.keys().cloned().collect::<Vec<_>>() {
            self.relinquish(&name, RELAY_STOPS);
        }
    }

    /// The job, where it may be acted on at this moment: to be asked right before each order.
    pub fn may_act(&self, now: Micros, name: &str) -> Option<&OwnedJob> {
        let runs =
            now < self.lease || (self.injected.is(InjectedBug::OwnForever) && self.lease > 0);
        self.jobs.get(name).filter(|_| runs)
    }

    /// Names of the jobs that it has, whether its lease runs or not.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.jobs.keys().map(String::as_str)
    }

    /// Acts on it no more, by its own measure or because a receiver has refused its token.
    pub fn relinquish(&mut self, name: &str, why: &str) {
        if let Some(own) = self.jobs.remove(name) {
            self.gave_up.insert((name.into(), own.token), why.into());
        }
    }

    /// Says how far a job is, once the last checkpoint is in the log; whether it was taken.
    pub fn checkpoint(&mut self, name: &str, bytes: Vec<u8>) -> bool {
        let Some(own) = self.jobs.get_mut(name).filter(|own| own.next.is_none()) else {
            return false;
        };
        own.next = Some(bytes);
        true
    }

    /// Some of the jobs that there are to be. A question names few, so that it stays short; the next one names others.
    fn opens(&self, number: u64) -> Vec<String> {
        let all = &self.skills.expected_jobs;
        let first = number as usize * OPENS % all.len().max(1);
        all.iter()
            .cycle()
            .skip(first)
            .take(OPENS.min(all.len()))
            .cloned()
            .collect()
    }

    /// What it has to say with its next question.
    pub fn fill_request(&self, renew: &mut RenewRequest) {
        renew.jobs_version = Some(self.version);
        renew.capabilities = JobCapabilities {
            expected_jobs: self.opens(renew.sequence),
            ..self.skills.clone()
        };
        if self.stops {
            // A kind that there is not: it can do nothing any more.
            renew.capabilities = JobCapabilities {
                kinds: vec![String::new()],
                ..JobCapabilities::default()
            };
        }
        let gave_up = self
            .gave_up
            .iter()
            .map(|((name, token), why)| (name.clone(), *token, why.clone()));
        renew.relinquished = gave_up.collect();
        let next = self
            .jobs
            .iter()
            .filter_map(|(name, own)| Some((name, own, own.next.as_ref()?)));
        renew.checkpoints = next
            .map(|(name, own, bytes)| {
                (
                    name.clone(),
                    own.token,
                    own.checkpoint_step + 1,
                    bytes.clone(),
                )
            })
            .collect();
    }

    /// An answer of a leader that a majority has confirmed after the question.
    pub fn handle_response(&mut self, asked: Micros, reply: &RenewResponse, times: FleetTiming) {
        if reply.last_token.is_none() {
            return;
        }
        if let Some(list) = reply
            .jobs
            .as_ref()
            .filter(|list| list.version > self.version)
        {
            self.take(list);
        }
        for (name, step) in &reply.checkpoint_steps {
            if let Some(own) = self
                .jobs
                .get_mut(name)
                .filter(|own| own.checkpoint_step + 1 == *step)
            {
                if let Some(bytes) = own.next.take() {
                    (own.checkpoint_step, own.checkpoint) = (*step, bytes);
                }
            }
        }
        self.lease = self.lease.max(asked + times.lease_duration);
    }

    fn take(&mut self, list: &AssignedJobs) {
        let listed: BTreeSet<(&str, FencingToken)> = list
            .jobs
            .iter()
            .map(|(name, token, ..)| (name.as_str(), *token))
            .collect();
        self.gave_up
            .retain(|(name, token), _| listed.contains(&(name.as_str(), *token)));
        if !self.injected.is(InjectedBug::KeepJob) {
            self.jobs
                .retain(|name, own| listed.contains(&(name.as_str(), own.token)));
        }
        for (name, token, step, checkpoint) in &list.jobs {
            if self.gave_up.contains_key(&(name.clone(), *token))
                || self.jobs.get(name).is_some_and(|own| own.token == *token)
            {
                continue;
            }
            let own = OwnedJob {
                token: *token,
                checkpoint_step: *step,
                checkpoint: checkpoint.clone(),
                next: None,
            };
            self.jobs.insert(name.clone(), own);
        }
        self.version = list.version;
        if self.stops {
            self.release_all();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn list(version: u64, jobs: &[(&str, FencingToken)]) -> RenewResponse {
        let of = jobs
            .iter()
            .map(|(name, token)| (name.to_string(), *token, 0, Vec::new()))
            .collect();
        RenewResponse {
            jobs: Some(AssignedJobs { version, jobs: of }),
            last_token: Some(9),
            ..RenewResponse::default()
        }
    }

    #[test]
    fn it_acts_while_its_lease_runs_and_on_what_its_newest_list_has() {
        let (mut owner, times) = (JobOwner::default(), FleetTiming::default());
        owner.handle_response(1_000, &list(3, &[("a", 1), ("b", 2)]), times);
        assert_eq!(
            owner
                .may_act(1_000 + times.lease_duration - 1, "a")
                .map(|own| own.token),
            Some(1)
        );
        assert!(
            owner.may_act(1_000 + times.lease_duration, "a").is_none(),
            "the lease runs from the question"
        );
        owner.handle_response(2_000, &list(5, &[("b", 2)]), times);
        owner.handle_response(2_000, &list(4, &[("a", 1), ("b", 2)]), times);
        assert!(
            owner.may_act(3_000, "a").is_none(),
            "an older list comes late"
        );
        // One that only tells where the leader is renews nothing.
        owner.handle_response(9_000, &RenewResponse::default(), times);
        assert!(owner.may_act(2_000 + times.lease_duration, "b").is_none());
    }

    #[test]
    fn what_it_gave_up_it_takes_again_under_a_new_token_only() {
        let (mut owner, times) = (JobOwner::default(), FleetTiming::default());
        owner.handle_response(0, &list(1, &[("a", 1)]), times);
        owner.relinquish("a", "it reaches no backend");
        owner.handle_response(0, &list(2, &[("a", 1)]), times);
        assert!(owner.may_act(1, "a").is_none());
        let mut renew = RenewRequest::default();
        owner.fill_request(&mut renew);
        assert_eq!(
            (renew.jobs_version, renew.relinquished),
            (
                Some(2),
                vec![("a".into(), 1, "it reaches no backend".into())]
            )
        );
        owner.handle_response(0, &list(4, &[("a", 7)]), times);
        assert_eq!(owner.may_act(1, "a").map(|own| own.token), Some(7));
    }

    #[test]
    fn a_checkpoint_is_said_until_the_log_has_it() {
        let (mut owner, times) = (JobOwner::default(), FleetTiming::default());
        owner.handle_response(0, &list(1, &[("a", 1)]), times);
        assert!(
            owner.checkpoint("a", vec![5]) && !owner.checkpoint("a", vec![6]),
            "one at a time"
        );
        for _ in 0..2 {
            let mut renew = RenewRequest::default();
            owner.fill_request(&mut renew);
            assert_eq!(renew.checkpoints, [("a".to_string(), 1, 1, vec![5])]);
        }
        owner.handle_response(
            0,
            &RenewResponse {
                checkpoint_steps: vec![("a".into(), 1)],
                last_token: Some(1),
                ..RenewResponse::default()
            },
            times,
        );
        assert_eq!(
            owner
                .may_act(1, "a")
                .map(|own| (own.checkpoint_step, own.checkpoint.clone())),
            Some((1, vec![5]))
        );
        assert!(owner.checkpoint("a", vec![6]));
    }
}
