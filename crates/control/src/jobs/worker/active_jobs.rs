//! Start of jobs that this relay was assigned, and stop of those that it may no longer act on.

use super::{ActiveJob, JobState, LoadJob, MigrationJob, Worker, WorkerCommand};
use crate::jobs::assignment::FencingToken;
use crate::jobs::owner::OwnedJob;
use crate::jobs::{load_watch, moves};
use crate::lease::client::LeaseClient;
use crate::relay::job_kind;
use crate::Micros;

impl Worker {
    /// Stops active jobs that this relay may no longer act on, and starts those that it may act on
    /// now.
    pub(super) fn sync_active_jobs(
        &mut self,
        now: Micros,
        lease_client: &LeaseClient,
        commands: &mut Vec<WorkerCommand>,
    ) {
        let Some(owner) = lease_client.owner() else {
            return;
        };
        self.jobs.retain(|name, job| {
            let may_act = owner
                .may_act(now, name)
                .is_some_and(|owned| owned.token == job.token);
            if !may_act {
                commands.push(WorkerCommand::Log(format!(
                    "fleet: acts on {name} no more, token {}",
                    job.token
                )));
            }
            may_act
        });
        for name in owner.names() {
            let Some(owned) = owner.may_act(now, name) else {
                continue;
            };
            if self.jobs.contains_key(name) {
                continue;
            }
            let job = ActiveJob {
                token: owned.token,
                state: self.initial_state(now, name, owned),
            };
            self.jobs.insert(name.into(), job);
            commands.push(WorkerCommand::Log(format!(
                "fleet: acts on {name}, token {}, from step {}",
                owned.token, owned.checkpoint_step
            )));
        }
    }

    fn initial_state(&self, now: Micros, name: &str, owned: &OwnedJob) -> JobState {
        match job_kind(name) {
            load_watch::KIND => {
                let last_sequence = self.subscriber.last_sequence();
                JobState::LoadWatch(Box::new(LoadJob::new(owned.token, last_sequence)))
            }
            moves::KIND => JobState::Migrations(MigrationJob::new(now, &owned.checkpoint)),
            _ => JobState::Idle,
        }
    }

    /// Stops a job for which a voter has reported this token, and relinquishes it if the token is
    /// newer than this relay's.
    pub fn handle_stale_token(
        &mut self,
        now: Micros,
        lease_client: &mut LeaseClient,
        job: &str,
        token: FencingToken,
    ) {
        let Some(owner) = lease_client.owner_mut() else {
            return;
        };
        let is_stale = owner
            .may_act(now, job)
            .is_some_and(|owned| owned.token < token);
        if is_stale {
            owner.relinquish(job, "a voter knows a newer token");
        }
        self.jobs.remove(job);
    }
}
