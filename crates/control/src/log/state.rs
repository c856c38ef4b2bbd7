//! Replicated state machine: the policy in force, the pending proposal, the outcomes of earlier
//! ones, the membership and the jobs. Every voter computes the same state from the same entries of
//! the log.
//!
//! Guards against: two proposals at once (the second is rejected), a proposal for a policy that is
//! no longer in force (rejected), a proposal that is sent twice (it has one outcome), and entries
//! of a deposed leader (each names its proposal and takes effect in one phase only).

use crate::jobs::assignment::{JobChange, Jobs};
use crate::log::membership::Membership;
use crate::wire;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Identifies a proposal permanently. Random, so that a repeated request is recognised.
pub type ProposalId = u128;

/// Maximum number of outcomes, and of earlier policies, that the state keeps.
const MAX_HISTORY: usize = 64;
/// Takes the place of a relay's name in the outcome of a proposal that the state machine rejects.
/// Part of the replicated state.
const REJECTED_BY_FLEET: &str = "the fleet";
/// Maximum length of a policy's text, in bytes. It must fit into a frame and remain readable.
pub const MAX_POLICY_BYTES: usize = 64 * 1024;

/// Policy of the fleet: the part of the configuration that all relays must change together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Policy {
    /// Epoch of the policy, one more than that of its predecessor.
    pub epoch: u64,
    /// Text of the policy file.
    pub text: String,
    /// Name of the person or team that proposed it.
    #[serde(rename = "who")]
    pub author: String,
    /// Reason that the author gave for it.
    #[serde(rename = "why")]
    pub reason: String,
    /// Proposal that introduced it; 0 for the empty policy of a new fleet.
    pub proposal: ProposalId,
}

/// A proposed policy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Proposal {
    /// Identifies the proposal.
    pub id: ProposalId,
    /// Epoch that must be in force for the proposal to be accepted; 0 for any.
    #[serde(rename = "base")]
    pub base_epoch: u64,
    /// See [`Policy::text`].
    pub text: String,
    /// See [`Policy::author`].
    #[serde(rename = "who")]
    pub author: String,
    /// See [`Policy::reason`].
    #[serde(rename = "why")]
    pub reason: String,
}

/// Phase of the pending proposal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalPhase {
    /// No proposal is pending.
    #[default]
    #[serde(rename = "Rest")]
    Idle,
    /// Each relay checks and stores the proposal, and continues to admit clients under the policy
    /// in force.
    Preparing(Proposal),
    /// No leases are granted, and the proposal can no longer be rejected. It takes force once no
    /// relay can hold a lease on the old policy.
    #[serde(rename = "Closing")]
    Sealed(Proposal),
}

/// Outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// The proposal is or was in force under this epoch.
    InForce(u64),
    /// The proposal was rejected, by the relay with this name, for this reason.
    #[serde(rename = "Refused")]
    Rejected(String, String),
    /// The proposal was not prepared in time. The list has the names of the relays that did not
    /// prepare it, and possibly a text about leases of the previous leader.
    #[serde(rename = "GivenUp")]
    TimedOut(Vec<String>),
}

/// Reason for which the state machine rejects a proposal. Each voter computes the text itself and
/// stores it with the outcome, so it must not differ between builds.
#[derive(Debug, Error)]
enum ProposalError {
    #[error("another change is under way, by {author}: ask for its outcome and propose again")]
    AnotherPending { author: String },
    #[error("it was made for epoch {base}, in force is {current}")]
    StaleEpoch { base: u64, current: u64 },
    #[error("its text has {bytes} bytes, {MAX_POLICY_BYTES} at most")]
    TextTooLong { bytes: usize },
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Starts a proposal.
    Propose(Proposal),
    /// The relay with this name rejects the proposal that is being prepared, for this reason.
    #[serde(rename = "Refuse")]
    Reject(ProposalId, String, String),
    /// The proposal was not prepared in time; see [`ProposalOutcome::TimedOut`] for the list.
    #[serde(rename = "GiveUp")]
    TimeOut(ProposalId, Vec<String>),
    /// All relays that may hold a lease have prepared the proposal. From now on no lease is granted
    /// on the policy in force.
    #[serde(rename = "Close")]
    Seal(ProposalId),
    /// No lease on the policy in force can be valid any more. The sealed proposal replaces it.
    Commit(ProposalId),
    /// Changes the jobs.
    #[serde(rename = "Deal")]
    ChangeJobs(JobChange),
}

/// Replicated state of the fleet, as stored in snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetState {
    /// Policy in force.
    pub policy: Policy,
    /// Phase of the pending proposal.
    pub phase: ProposalPhase,
    /// Outcomes of the latest proposals, the newest last.
    pub outcomes: Vec<(ProposalId, ProposalOutcome)>,
    /// Policies that were in force before the current one, the newest last.
    pub history: Vec<Policy>,
    /// Members of the log.
    #[serde(rename = "seats")]
    pub membership: Membership,
    /// Jobs of the fleet.
    pub jobs: Jobs,
    /// Lowest [`STATE_VERSION`] of a build that can read this state without loss: 0, or 1 once the
    /// jobs have been changed.
    #[serde(rename = "needs")]
    pub required_version: u32,
}

/// Version of the state that this build supports, see [`FleetState::required_version`].
pub const STATE_VERSION: u32 = 1;

impl FleetState {
    /// Decodes the state in a snapshot. Returns `None` if it is damaged or requires a later build.
    pub fn decode(bytes: &[u8]) -> Option<FleetState> {
        wire::decode(bytes).filter(|state: &FleetState| state.required_version <= STATE_VERSION)
    }

    /// Applies the next entry. An entry that does not match the phase comes from a deposed leader
    /// and changes nothing.
    pub fn apply(&mut self, command: Command) {
        match (command, std::mem::take(&mut self.phase)) {
            (Command::Propose(proposal), phase) => {
                self.phase = phase;
                self.propose(proposal);
            }
            (Command::Reject(id, relay, reason), ProposalPhase::Preparing(pending))
                if pending.id == id =>
            {
                self.record_outcome(id, ProposalOutcome::Rejected(relay, reason));
            }
            (Command::TimeOut(id, missing), ProposalPhase::Preparing(pending))
                if pending.id == id =>
            {
                self.record_outcome(id, ProposalOutcome::TimedOut(missing));
            }
            (Command::Seal(id), ProposalPhase::Preparing(pending)) if pending.id == id => {
                self.phase = ProposalPhase::Sealed(pending);
            }
            (Command::Commit(id), ProposalPhase::Sealed(pending)) if pending.id == id => {
                self.put_in_force(pending);
            }
            (Command::ChangeJobs(assignment), phase) => {
                self.phase = phase;
                self.required_version = self.required_version.max(1);
                self.jobs.apply(assignment);
            }
            (_, phase) => self.phase = phase,
        }
        keep_newest(&mut self.outcomes, MAX_HISTORY);
        keep_newest(&mut self.history, MAX_HISTORY);
    }

    fn propose(&mut self, proposal: Proposal) {
        let id = proposal.id;
        let is_pending = self
            .pending_proposal()
            .is_some_and(|pending| pending.id == id);
        if is_pending || self.outcome(id).is_some() {
            return;
        }
        match self.check_proposal(&proposal) {
            Ok(()) => self.phase = ProposalPhase::Preparing(proposal),
            Err(error) => {
                let outcome =
                    ProposalOutcome::Rejected(REJECTED_BY_FLEET.into(), error.to_string());
                self.record_outcome(id, outcome);
            }
        }
    }

    fn check_proposal(&self, proposal: &Proposal) -> Result<(), ProposalError> {
        if let Some(pending) = self.pending_proposal() {
            let author = pending.author.clone();
            return Err(ProposalError::AnotherPending { author });
        }
        let (base, current) = (proposal.base_epoch, self.policy.epoch);
        if base != 0 && base != current {
            return Err(ProposalError::StaleEpoch { base, current });
        }
        let bytes = proposal.text.len();
        if bytes > MAX_POLICY_BYTES {
            return Err(ProposalError::TextTooLong { bytes });
        }
        Ok(())
    }

    fn put_in_force(&mut self, proposal: Proposal) {
        let epoch = self.policy.epoch + 1;
        let policy = Policy {
            epoch,
            text: proposal.text,
            author: proposal.author,
            reason: proposal.reason,
            proposal: proposal.id,
        };
        let previous = std::mem::replace(&mut self.policy, policy);
        self.history.push(previous);
        self.record_outcome(proposal.id, ProposalOutcome::InForce(epoch));
    }

    fn record_outcome(&mut self, id: ProposalId, outcome: ProposalOutcome) {
        self.outcomes.push((id, outcome));
    }

    /// The pending proposal, if there is one.
    pub fn pending_proposal(&self) -> Option<&Proposal> {
        match &self.phase {
            ProposalPhase::Idle => None,
            ProposalPhase::Preparing(proposal) | ProposalPhase::Sealed(proposal) => Some(proposal),
        }
    }

    /// Outcome of a proposal; `None` if it is pending, unknown, or older than the outcomes that are
    /// kept.
    pub fn outcome(&self, id: ProposalId) -> Option<&ProposalOutcome> {
        self.outcomes
            .iter()
            .rev()
            .find(|(proposal, _)| *proposal == id)
            .map(|(_, outcome)| outcome)
    }
}

/// Removes the first, oldest items until at most `count` are left.
fn keep_newest<T>(items: &mut Vec<T>, count: usize) {
    let excess = items.len().saturating_sub(count);
    items.drain(..excess);
}

#[cfg(test)]
mod tests;
