//! Publishes the state of a relay in its fleet: metrics, and a log line at each change.

use super::Fleet;
use crate::log::log;
use crate::sys::boottime;
use jaspermoor_control::log::voter::Voter;
use std::sync::atomic::Ordering::Relaxed;

/// The state that was last logged.
#[derive(Default)]
pub(super) struct Status {
    /// Whether clients are admitted.
    admits: bool,
    /// Founding voters that have not sent a message yet; only on a voter of a new fleet.
    missing_founders: Vec<u64>,
    /// The term in which this relay's voter leads; none while it does not.
    leader_term: Option<u64>,
}

impl Fleet {
    /// Hands the admission lease to the decisions, then updates metrics and log lines that depend
    /// on it.
    pub(super) fn publish_status(&mut self) {
        let now = boottime();
        let admit_until = self.admit_until(now);
        self.decisions.set_admission_lease(admit_until);
        let admits = now < admit_until;
        self.log_admission(admits);
        self.log_missing_founders();
        let leader_term = self.voter.as_ref().and_then(Voter::leader_term);
        self.update_metrics(admits, leader_term);
        self.log_leadership(leader_term);
    }

    fn log_admission(&mut self, admits: bool) {
        if self.status.admits == admits {
            return;
        }
        self.status.admits = admits;
        let epoch = self.lease_client.policy().epoch;
        let admission = if admits {
            "clients are admitted"
        } else {
            "no lease: new clients are refused"
        };
        log(&format!("fleet: {admission}, policy of epoch {epoch}"));
    }

    fn log_missing_founders(&mut self) {
        let missing_founders = self
            .voter
            .as_ref()
            .map(Voter::missing_founders)
            .unwrap_or_default();
        if missing_founders == self.status.missing_founders {
            return;
        }
        if !missing_founders.is_empty() {
            let numbers: Vec<String> = missing_founders.iter().map(u64::to_string).collect();
            log(&format!(
                "fleet: founders {} have not been heard yet",
                numbers.join(", ")
            ));
        }
        self.status.missing_founders = missing_founders;
    }

    fn update_metrics(&self, admits: bool, leader_term: Option<u64>) {
        let metrics = &self.metrics.fleet;
        metrics
            .epoch
            .store(self.lease_client.policy().epoch, Relaxed);
        let votes = self.voter.is_some() && self.status.missing_founders.is_empty();
        metrics.is_voting.store(votes, Relaxed);
        metrics.leader_term.store(leader_term.unwrap_or(0), Relaxed);
        let admitted_before = metrics.admitting.swap(admits, Relaxed);
        if admitted_before && !admits {
            metrics.lease_losses.fetch_add(1, Relaxed);
        }
    }

    fn log_leadership(&mut self, leader_term: Option<u64>) {
        if self.status.leader_term == leader_term {
            return;
        }
        self.status.leader_term = leader_term;
        match leader_term {
            Some(term) => log(&format!("fleet: leads in term {term}")),
            None => log("fleet: no longer leads"),
        }
    }
}
