//! Work that is done once for the whole fleet: jobs by name, each with one owner at a time, in the replicated log.
//!
//! An owner has its job by an entry of the log, and acts only while its lease runs; one renewal a relay stands for all
//! its jobs. Each time that a job is given it gets a token from one counter, which only grows. An order to anybody bears
//! name and token, and whoever receives it obeys no older token than the highest it knows (`fence.rs`).
//!
//! Guards against: an owner that was stopped and wakes late (its lease has run out; what it sent before is fenced), one
//! that is alive but cut off (its job is given away once its lease cannot run any more), flapping (a job is moved for
//! balance only after a pause, and never by a lost message), and a checkpoint of an owner of before (it bears its token).

use crate::relay::{JobCapabilities, RelayId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Grows with each giving of any job.
pub type FencingToken = u64;

/// Jobs at most, and the longest name and checkpoint, in bytes: they are in each snapshot.
pub const MAX_JOBS: usize = 16_384;
const MOST_NAME: usize = 64;
const MOST_CHECKPOINT: usize = 1024;
/// Jobs that one entry of the log gives, frees or takes back.
pub const MAX_ASSIGNMENTS_PER_BATCH: usize = 256;
/// A relay's part is its even share and a quarter more, so that a relay's coming or going moves few jobs.
const PART: f64 = 1.25;

/// A job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Job {
    /// Of the last giving; 0 before the first.
    pub token: FencingToken,
    /// Who has it.
    pub owner: Option<RelayId>,
    /// It is taken back: its owner has it no more once it knows this version of the jobs.
    #[serde(rename = "yields")]
    pub revoked_at: Option<u64>,
    /// Operators want nobody to have it.
    #[serde(rename = "held")]
    pub paused: bool,
    /// Whoever gave it up last, and why: another gets it where there is one.
    #[serde(rename = "gave_up")]
    pub relinquished_by: Option<(String, String)>,
    /// How far it is: the number of the last checkpoint, and what it says.
    #[serde(rename = "step")]
    pub checkpoint_step: u64,
    /// See `step`.
    #[serde(with = "serde_bytes")]
    pub checkpoint: Vec<u8>,
}

/// All of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Jobs {
    /// The last token that was given.
    #[serde(rename = "last")]
    pub last_token: FencingToken,
    /// Grows with each change of who has what.
    pub version: u64,
    /// By name.
    #[serde(rename = "of")]
    pub by_name: BTreeMap<String, Job>,
}

/// A change of them, as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Assignment {
    /// These jobs exist.
    Open(Vec<String>),
    /// This one exists no more.
    Close(String),
    /// Each goes to that relay.
    #[serde(rename = "Give")]
    Assign(Vec<(String, RelayId)>),
    /// Each is taken back from its owner, with why.
    #[serde(rename = "Yield")]
    Revoke(Vec<(String, FencingToken, String)>),
    /// No owner acts on these any more.
    #[serde(rename = "Free")]
    Release(Vec<(String, FencingToken)>),
    /// The owner is so far.
    Checkpoint(String, FencingToken, u64, Vec<u8>),
    /// Nobody is to have it, or somebody again.
    Hold(String, bool),
}

impl Jobs {
    /// Takes a change that the log has. What does not fit how things stand is of a leader or owner of before, and changes
    /// nothing.
    pub fn apply(&mut self, assignment: Assignment) {
        match assignment {
            Assignment::Open(names) => {
                for name in names {
                    if is_valid_job_name(&name) && self.by_name.len() < MAX_JOBS {
                        self.by_name.entry(name).or_default();
                    }
                }
            }
            Assignment::Close(name) => {
                // Its owner first has to know.
                if self
                    .by_name
                    .get(&name)
                    .is_some_and(|job| job.owner.is_none())
                {
                    self.by_name.remove(&name);
                }
            }
            Assignment::Assign(assignments) => {
                for (name, relay) in assignments {
                    let Some(job) = self
                        .by_name
                        .get_mut(&name)
                        .filter(|job| job.owner.is_none() && !job.paused)
                    else {
                        continue;
                    };
                    self.last_token += 1;
                    self.version += 1;
                    (job.token, job.owner, job.revoked_at) = (self.last_token, Some(relay), None);
                }
            }
            Assignment::Revoke(names) => {
                for (name, token, why) in names {
                    let version = self.version + 1;
                    if let Some(job) = self
                        .with(&name, token)
                        .filter(|job| job.revoked_at.is_none())
                    {
                        job.relinquished_by =
                            job.owner.as_ref().map(|owner| (owner.name.clone(), why));
                        job.revoked_at = Some(version);
                        self.version = version;
                    }
                }
            }
            Assignment::Release(names) => {
                for (name, token) in names {
                    if let Some(job) = self.with(&name, token) {
                        (job.owner, job.revoked_at) = (None, None);
                        self.version += 1;
                    }
                }
            }
            Assignment::Checkpoint(name, token, step, bytes) => {
                if let Some(job) = self.with(&name, token) {
                    if step == job.checkpoint_step + 1 && bytes.len() <= MOST_CHECKPOINT {
                        (job.checkpoint_step, job.checkpoint) = (step, bytes);
                    }
                }
            }
            Assignment::Hold(name, held) => {
                if let Some(job) = self.by_name.get_mut(&name) {
                    job.paused = held;
                }
            }
        }
    }

    fn with(&mut self, name: &str, token: FencingToken) -> Option<&mut Job> {
        self.by_name
            .get_mut(name)
            .filter(|job| job.token == token && job.owner.is_some())
    }

    /// What a relay's process has, by name and token.
    pub fn of_relay(&self, relay: &RelayId) -> Vec<(String, FencingToken)> {
        let own = |job: &Job| job.owner.as_ref() == Some(relay) && job.revoked_at.is_none();
        self.by_name
            .iter()
            .filter(|(_, job)| own(job))
            .map(|(name, job)| (name.clone(), job.token))
            .collect()
    }

    /// The next jobs to give, to relays that may have some: each job has its own order of the relays that can do it
    /// (those of its zone first, then rendezvous), and goes to the first that has not its part yet. Whoever gave it up last
    /// comes after all others. Jobs that rest are given to nobody.
    pub fn assignments(
        &self,
        workers: &[(RelayId, JobCapabilities)],
        rests: impl Fn(&str) -> bool,
    ) -> Vec<(String, RelayId)> {
        let part = self.part(workers.len());
        let mut has: BTreeMap<&RelayId, usize> =
            workers.iter().map(|(relay, _)| (relay, 0)).collect();
        for owner in self.by_name.values().filter_map(|job| job.owner.as_ref()) {
            if let Some(n) = has.get_mut(owner) {
                *n += 1;
            }
        }
        let mut assignments = Vec::new();
        for (name, job) in self
            .by_name
            .iter()
            .filter(|(_, job)| job.owner.is_none() && !job.paused)
        {
            if rests(name) {
                continue;
            }
            let gave_up = |relay: &RelayId| {
                job.relinquished_by
                    .as_ref()
                    .is_some_and(|(by, _)| *by == relay.name)
            };
            let first = workers
                .iter()
                .filter(|(relay, skills)| {
                    skills.supports(name) && has.get(relay).is_some_and(|n| *n < part)
                })
                .max_by_key(|(relay, skills)| {
                    (!gave_up(relay), skills.is_local(name), weight(name, relay))
                });
            let Some((relay, _)) = first else { continue };
            if let Some(n) = has.get_mut(relay) {
                *n += 1;
            }
            assignments.push((name.clone(), relay.clone()));
            if assignments.len() == MAX_ASSIGNMENTS_PER_BATCH {
                break;
            }
        }
        assignments
    }

    /// Jobs to take back because their owner has more than its part, those first that it is least the relay for.
    pub fn excess(&self, workers: usize) -> Vec<(String, FencingToken, String)> {
        let part = self.part(workers);
        let mut of: BTreeMap<&RelayId, Vec<(u64, &String, FencingToken)>> = BTreeMap::new();
        for (name, job) in self
            .by_name
            .iter()
            .filter(|(_, job)| job.revoked_at.is_none())
        {
            let Some(owner) = &job.owner else { continue };
            of.entry(owner)
                .or_default()
                .push((weight(name, owner), name, job.token));
        }
        let mut excess = Vec::new();
        for (_, mut jobs) in of {
            jobs.sort();
            let over = jobs.len().saturating_sub(part);
            let why = "it has more than its part";
            excess.extend(
                jobs.into_iter()
                    .take(over)
                    .map(|(_, name, token)| (name.clone(), token, why.into())),
            );
        }
        excess.truncate(MAX_ASSIGNMENTS_PER_BATCH);
        excess
    }

    fn part(&self, relays: usize) -> usize {
        (self.by_name.len() as f64 / relays.max(1) as f64 * PART).ceil() as usize
    }
}

/// Whether a job may have this name.
pub fn is_valid_job_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MOST_NAME
}

fn weight(name: &str, relay: &RelayId) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64_with_seed(relay.name.as_bytes(), 0))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn relay(n: usize) -> RelayId {
        RelayId {
            name: format!("n{n}"),
            incarnation: 1,
        }
    }

    fn jobs(n: usize) -> Jobs {
        let mut jobs = Jobs::default();
        jobs.apply(Assignment::Open(
            (0..n).map(|n| format!("job-{n}")).collect(),
        ));
        jobs
    }

    fn assignments(jobs: &Jobs, relays: &[RelayId]) -> Vec<(String, RelayId)> {
        let workers: Vec<_> = relays
            .iter()
            .map(|relay| (relay.clone(), JobCapabilities::default()))
            .collect();
        jobs.assignments(&workers, |_| false)
    }

    fn give_all(jobs: &mut Jobs, relays: &[RelayId]) {
        loop {
            let assignments = assignments(jobs, relays);
            if assignments.is_empty() {
                break;
            }
            jobs.apply(Assignment::Assign(assignments));
        }
    }

    #[test]
    fn tokens_only_grow_and_what_an_owner_of_before_says_changes_nothing() {
        let mut jobs = jobs(1);
        let (name, of) = ("job-0".to_string(), |jobs: &Jobs| {
            jobs.by_name["job-0"].clone()
        });
        jobs.apply(Assignment::Assign(vec![(name.clone(), relay(1))]));
        jobs.apply(Assignment::Assign(vec![(name.clone(), relay(2))]));
        assert_eq!(
            (of(&jobs).owner, of(&jobs).token),
            (Some(relay(1)), 1),
            "one owner at a time"
        );
        jobs.apply(Assignment::Checkpoint(name.clone(), 1, 1, vec![7]));
        jobs.apply(Assignment::Checkpoint(name.clone(), 1, 3, vec![9]));
        jobs.apply(Assignment::Revoke(vec![(
            name.clone(),
            1,
            "operators".into(),
        )]));
        assert_eq!(jobs.of_relay(&relay(1)), []);
        jobs.apply(Assignment::Release(vec![(name.clone(), 1)]));
        assert_eq!(
            assignments(&jobs, &[relay(1), relay(2)]),
            [(name.clone(), relay(2))],
            "another gets it"
        );
        jobs.apply(Assignment::Assign(vec![(name.clone(), relay(2))]));
        // Late words of the first.
        jobs.apply(Assignment::Release(vec![(name.clone(), 1)]));
        jobs.apply(Assignment::Checkpoint(name.clone(), 1, 2, vec![8]));
        let job = of(&jobs);
        assert_eq!(
            (job.owner, job.token, job.checkpoint_step, job.checkpoint),
            (Some(relay(2)), 2, 1, vec![7])
        );
        jobs.apply(Assignment::Hold(name.clone(), true));
        jobs.apply(Assignment::Release(vec![(name, 2)]));
        assert_eq!(assignments(&jobs, &[relay(1)]), []);
    }

    #[test]
    fn jobs_are_spread_within_a_part_and_few_move_when_a_relay_comes() {
        let mut jobs = jobs(1_000);
        let relays: Vec<RelayId> = (0..10).map(relay).collect();
        give_all(&mut jobs, &relays[..9]);
        let had = jobs.clone();
        let most = relays
            .iter()
            .map(|relay| jobs.of_relay(relay).len())
            .max()
            .unwrap();
        assert!(most <= 139, "{most} of 1,000 at one of 9 relays");
        // One more: only those are taken back that are over the new part.
        let mut moved = 0;
        loop {
            let excess = jobs.excess(relays.len());
            if excess.is_empty() {
                break;
            }
            moved += excess.len();
            let freed = excess
                .iter()
                .map(|(name, token, _)| (name.clone(), *token))
                .collect();
            jobs.apply(Assignment::Revoke(excess));
            jobs.apply(Assignment::Release(freed));
            give_all(&mut jobs, &relays);
        }
        assert!(moved < 200, "{moved} moved");
        assert!(relays.iter().all(|relay| jobs.of_relay(relay).len() <= 125));
        assert!(
            had.by_name
                .iter()
                .filter(|(name, job)| jobs.by_name[*name].owner == job.owner)
                .count()
                >= 800
        );
    }

    #[test]
    fn a_job_goes_to_whoever_can_do_it_and_to_its_own_zone_first() {
        let mut jobs = Jobs::default();
        jobs.apply(Assignment::Open(vec![
            "load/a".into(),
            "load/b".into(),
            "moves".into(),
        ]));
        let skills = |kinds: &[&str], zone: &str| JobCapabilities {
            kinds: kinds.iter().map(|kind| kind.to_string()).collect(),
            expected_jobs: Vec::new(),
            zone: zone.into(),
        };
        let all: Vec<_> = (0..8)
            .map(|n| (relay(n), skills(&["load"], if n < 4 { "a" } else { "b" })))
            .collect();
        let assignments = jobs.assignments(&all, |_| false);
        let near = |name: &str, assignments: &[(String, RelayId)]| {
            let (_, owner) = assignments.iter().find(|(job, _)| job == name).unwrap();
            all.iter()
                .any(|(relay, skills)| relay == owner && skills.is_local(name))
        };
        assert_eq!(assignments.len(), 2, "nobody can do moves");
        assert!(near("load/a", &assignments) && near("load/b", &assignments));
        // Without one of its zone another does it; one that rests waits.
        assert_eq!(
            jobs.assignments(&all[..4], |name| name == "load/a").len(),
            1
        );
    }
}
