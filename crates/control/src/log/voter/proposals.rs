//! Phases of a policy proposal, as the leader advances them: preparing, sealed, in force.
//!
//! A proposal is sealed once each relay that may hold a lease has prepared it. It is committed once
//! each of them has stopped admitting clients under the old policy or its lease has expired.

use super::leadership::{ProposalStep, RelayProgress};
use super::{Voter, RESEND_INTERVAL};
use crate::log::state::{Command, ProposalPhase};
use crate::InjectedBug;

impl Voter {
    /// Proposes the entry for the next step of the pending proposal, once the conditions for it are
    /// met.
    pub(super) fn advance_proposal(&mut self) {
        let (id, is_sealed) = match &self.state.phase {
            ProposalPhase::Idle => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.proposal_step = None;
                }
                return;
            }
            ProposalPhase::Preparing(proposal) => (proposal.id, false),
            ProposalPhase::Sealed(proposal) => (proposal.id, true),
        };
        let now = self.now;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let mut step = leadership
            .proposal_step
            .filter(|step| step.id == id && step.is_sealed == is_sealed)
            .unwrap_or(ProposalStep {
                id,
                is_sealed,
                since: now,
                proposed_at: None,
            });
        leadership.proposal_step = Some(step);
        let is_due = step
            .proposed_at
            .is_none_or(|at| now >= at + RESEND_INTERVAL);
        if !is_due {
            return;
        }
        if let Some(command) = self.next_command(&step) {
            self.propose(&command);
            step.proposed_at = Some(now);
            if let Some(leadership) = &mut self.leadership {
                leadership.proposal_step = Some(step);
            }
        }
    }

    /// Entry that ends this step of a proposal; `None` while it must wait.
    fn next_command(&self, step: &ProposalStep) -> Option<Command> {
        let unmet_conditions = self.unmet_conditions();
        if step.is_sealed {
            // All leases on the old policy were granted before the seal, including those that this
            // leader does not know.
            let leases_expired = self.now >= self.timing.lease_expired_by(step.since);
            let injected_skip_wait = self.injected.is(InjectedBug::SkipLeaseWait);
            return (unmet_conditions.is_empty() || leases_expired || injected_skip_wait)
                .then_some(Command::Commit(step.id));
        }
        if unmet_conditions.is_empty() {
            return Some(Command::Seal(step.id));
        }
        let timed_out = self.now >= step.since + self.timing.proposal_timeout;
        timed_out.then_some(Command::TimeOut(step.id, unmet_conditions))
    }

    /// Conditions that the phase of the proposal still waits for, as texts for operators: the name
    /// of each relay that may hold a lease and has not prepared the proposal (or, once it is
    /// sealed, has not stopped), and a text if leases of the previous leader may still be valid.
    pub(super) fn unmet_conditions(&self) -> Vec<String> {
        let Some(leadership) = &self.leadership else {
            return Vec::new();
        };
        let is_done = |relay: &RelayProgress| match &self.state.phase {
            ProposalPhase::Idle => true,
            ProposalPhase::Preparing(proposal) => relay.prepared == Some(proposal.id),
            ProposalPhase::Sealed(proposal) => relay.stopped_for == Some(proposal.id),
        };
        let mut conditions: Vec<String> = leadership
            .relays
            .iter()
            .filter(|(_, relay)| relay.may_hold_lease(self.now, &self.timing) && !is_done(relay))
            .map(|(relay, _)| relay.name.clone())
            .collect();
        if !self.previous_leases_expired(leadership) {
            conditions.push("leases that the previous leader may have granted".into());
        }
        conditions
    }
}
