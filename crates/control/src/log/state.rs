//! The state that the log's entries come to: the policy in force, the proposal under way, the outcomes of earlier ones, the
//! members and the jobs. Every voter comes to the same state from the same entries.
//!
//! Guards against: two proposals at once (the second is rejected), a proposal made for a policy that is no longer in force,
//! a proposal that is sent twice (it has one outcome), and entries of a deposed leader (each names its proposal and takes
//! effect in one phase only).

use crate::jobs::assignment::{JobChange, Jobs};
use crate::log::membership::Membership;
use crate::wire;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Identifies a proposal for good. Random, so that a repeated request is recognised.
pub type ProposalId = u128;

/// The most outcomes, and the most earlier policies, that the state keeps.
const MAX_HISTORY: usize = 64;
/// Stands for the relay's name where the log itself rejects a proposal.
const REJECTED_BY_FLEET: &str = "the fleet";
/// The longest text of a policy, in bytes: it has to fit a frame, and people have to read it.
pub const MAX_POLICY_BYTES: usize = 64 * 1024;

/// What decides behaviour beyond the platform's settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Policy {
    /// Its number, one more than that of the policy before.
    pub epoch: u64,
    /// The text of its file.
    pub text: String,
    /// Who proposed it.
    #[serde(rename = "who")]
    pub author: String,
    /// Why it was proposed.
    #[serde(rename = "why")]
    pub reason: String,
    /// Its proposal; 0 for the empty policy that a fleet begins with.
    pub proposal: ProposalId,
}

/// A proposed policy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Proposal {
    /// Identifies it.
    pub id: ProposalId,
    /// The epoch in force that it was made for; 0 for any.
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

/// The phase of the proposal under way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalPhase {
    /// None is under way.
    #[default]
    #[serde(rename = "Rest")]
    Idle,
    /// Each relay checks and stores it. All admit clients under the policy in force.
    Preparing(Proposal),
    /// No lease is granted. Once no relay can hold one, the proposal takes force; it cannot be rejected any more.
    #[serde(rename = "Closing")]
    Sealed(Proposal),
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// It is or was in force under this epoch.
    InForce(u64),
    /// It was rejected: by which relay, and why.
    #[serde(rename = "Refused")]
    Rejected(String, String),
    /// These relays did not answer in time.
    #[serde(rename = "GivenUp")]
    TimedOut(Vec<String>),
}

/// Why the log rejects a proposal. The text is stored with the outcome.
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
    /// Begins with a proposal.
    Propose(Proposal),
    /// A relay rejects the proposal that is being prepared: its name, and why.
    #[serde(rename = "Refuse")]
    Reject(ProposalId, String, String),
    /// These relays have not prepared the proposal in time.
    #[serde(rename = "GiveUp")]
    TimeOut(ProposalId, Vec<String>),
    /// All relays have prepared the proposal: no lease is granted on the policy in force any more.
    #[serde(rename = "Close")]
    Seal(ProposalId),
    /// No lease on the policy in force runs any more: the sealed proposal takes its place.
    Commit(ProposalId),
    /// Changes the jobs.
    #[serde(rename = "Deal")]
    ChangeJobs(JobChange),
}

/// The state of the fleet, as it stands in snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetState {
    /// The policy in force.
    pub policy: Policy,
    /// The phase of the proposal under way.
    pub phase: ProposalPhase,
    /// Outcomes of the last proposals, the newest last.
    pub outcomes: Vec<(ProposalId, ProposalOutcome)>,
    /// Policies that were in force before, the newest last.
    pub history: Vec<Policy>,
    /// The members of the log.
    #[serde(rename = "seats")]
    pub membership: Membership,
    /// The jobs of the fleet.
    pub jobs: Jobs,
    /// The lowest [`STATE_VERSION`] of a build that can read this state without loss: 0, or 1 once there has been a job.
    #[serde(rename = "needs")]
    pub required_version: u32,
}

/// The version of the state that this build knows, see [`FleetState::required_version`].
pub const STATE_VERSION: u32 = 1;

impl FleetState {
    /// The state in a snapshot; none where it is damaged or requires a later build.
    pub fn decode(bytes: &[u8]) -> Option<FleetState> {
        wire::decode(bytes).filter(|state: &FleetState| state.required_version <= STATE_VERSION)
    }

    /// Applies the next entry. One that does not fit the phase is of a deposed leader, and changes nothing.
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

    /// The proposal under way.
    pub fn pending_proposal(&self) -> Option<&Proposal> {
        match &self.phase {
            ProposalPhase::Idle => None,
            ProposalPhase::Preparing(proposal) | ProposalPhase::Sealed(proposal) => Some(proposal),
        }
    }

    /// What became of a proposal; none where it is under way, unknown, or older than the outcomes that are kept.
    pub fn outcome(&self, id: ProposalId) -> Option<&ProposalOutcome> {
        self.outcomes
            .iter()
            .rev()
            .find(|(proposal, _)| *proposal == id)
            .map(|(_, outcome)| outcome)
    }
}

/// Removes the oldest of `items`, which come first, down to `count`.
fn keep_newest<T>(items: &mut Vec<T>, count: usize) {
    let excess = items.len().saturating_sub(count);
    items.drain(..excess);
}

#[cfg(test)]
mod tests;
