//! How the leader carries a policy proposal through its phases: preparing, sealed, in force.
//!
//! A proposal is sealed once each relay that may hold a lease has prepared it, and committed once each of them has revoked
//! its lease on the old policy or that lease has run out.

use super::leadership::{ProposalStep, RelayProgress};
use super::{Voter, RESEND_INTERVAL};
use crate::log::state::{Command, ProposalPhase};
use crate::InjectedBug;

impl Voter {
    /// Proposes the entry for the next step of the proposal under way, where nothing is waited for any more.
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

    /// The entry by which a proposal leaves this step; none while it has to wait.
    fn next_command(&self, step: &ProposalStep) -> Option<Command> {
        let waited_for = self.waited_for();
        if step.is_sealed {
            // Any lease on the old policy was granted before the seal, whatever this leader knows of it.
            let leases_expired = self.now >= self.timing.lease_expired_by(step.since);
            let skips_wait = self.injected.is(InjectedBug::SkipLeaseWait);
            return (waited_for.is_empty() || leases_expired || skips_wait)
                .then_some(Command::Commit(step.id));
        }
        if waited_for.is_empty() {
            return Some(Command::Seal(step.id));
        }
        let timed_out = self.now >= step.since + self.timing.proposal_timeout;
        timed_out.then_some(Command::TimeOut(step.id, waited_for))
    }

    /// Relays that may hold a lease and have not done what the proposal's phase wants of them, by name.
    pub(super) fn waited_for(&self) -> Vec<String> {
        let Some(leadership) = &self.leadership else {
            return Vec::new();
        };
        let is_done = |relay: &RelayProgress| match &self.state.phase {
            ProposalPhase::Idle => true,
            ProposalPhase::Preparing(proposal) => relay.prepared == Some(proposal.id),
            ProposalPhase::Sealed(proposal) => relay.stopped_for == Some(proposal.id),
        };
        let mut names: Vec<String> = leadership
            .relays
            .iter()
            .filter(|(_, relay)| relay.may_hold_lease(self.now, &self.timing) && !is_done(relay))
            .map(|(relay, _)| relay.name.clone())
            .collect();
        if !self.previous_leases_expired(leadership) {
            names.push("leases that the leader before may have given".into());
        }
        names
    }
}
