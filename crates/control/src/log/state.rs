//! What the log says, entry by entry: the policy in force, the proposal under way, and what became of earlier ones.
//! Every voter comes to the same state from the same entries.
//!
//! Guards against: two proposals at once (the second is refused), one that was made for another policy than the one in
//! force, one that is proposed twice (the same outcome), and an entry of a leader that has lost its leadership meanwhile
//! (each step names its proposal, and holds in one phase only).

use crate::jobs::assignment::{Assignment, Jobs};
use crate::log::membership::Membership;
use crate::wire;
use serde::{Deserialize, Serialize};

/// Names a proposal for good; random, so that a repeated call is recognised.
pub type ProposalId = u128;

/// Outcomes and policies that are remembered: those asked for are the last few.
const REMEMBERED: usize = 64;
/// The longest text of a policy, in bytes: it has to fit a frame, and a person has to read it.
pub const MAX_POLICY_BYTES: usize = 64 * 1024;

/// What decides behaviour beyond the platform's settings, with its number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Policy {
    /// Its number. It only grows.
    pub epoch: u64,
    /// The text of its file.
    pub text: String,
    /// Who proposed it, and why.
    #[serde(rename = "who")]
    pub author: String,
    /// See `who`.
    #[serde(rename = "why")]
    pub reason: String,
    /// The proposal that it came by; 0 for the empty one that a fleet begins with.
    pub proposal: ProposalId,
}

/// A policy that is proposed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Proposal {
    /// Its name.
    pub id: ProposalId,
    /// The epoch that it was made for; 0 where that does not matter to whoever proposes.
    #[serde(rename = "base")]
    pub base_epoch: u64,
    /// See [`Policy`].
    pub text: String,
    /// See [`Policy`].
    #[serde(rename = "who")]
    pub author: String,
    /// See [`Policy`].
    #[serde(rename = "why")]
    pub reason: String,
}

/// How far the proposal under way has come.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalPhase {
    /// None is under way.
    #[default]
    #[serde(rename = "Rest")]
    Idle,
    /// Each relay checks and stores it; all serve under the old one.
    Preparing(Proposal),
    /// No lease is granted any more; once no relay can hold one, it is in force. There is no way back.
    #[serde(rename = "Closing")]
    Sealed(Proposal),
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// It is, or was, in force under this epoch.
    InForce(u64),
    /// It was refused: by whom, and why.
    #[serde(rename = "Refused")]
    Rejected(String, String),
    /// These relays gave no answer in time.
    #[serde(rename = "GivenUp")]
    TimedOut(Vec<String>),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Begin with this proposal.
    Propose(Proposal),
    /// A relay refuses it.
    #[serde(rename = "Refuse")]
    Reject(ProposalId, String, String),
    /// Relays have not answered.
    #[serde(rename = "GiveUp")]
    TimeOut(ProposalId, Vec<String>),
    /// All have it: grant no lease on the old policy any more.
    #[serde(rename = "Close")]
    Seal(ProposalId),
    /// No lease on the old policy runs any more.
    Commit(ProposalId),
    /// Who does what for the fleet.
    #[serde(rename = "Deal")]
    Assignment(Assignment),
}

/// See the module's text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetState {
    /// The policy in force.
    pub policy: Policy,
    /// The proposal under way.
    pub phase: ProposalPhase,
    /// Outcomes of the last proposals, the newest last.
    pub outcomes: Vec<(ProposalId, ProposalOutcome)>,
    /// Policies that were in force, the newest last, without the present one.
    pub history: Vec<Policy>,
    /// Who votes.
    #[serde(rename = "seats")]
    pub membership: Membership,
    /// Who does what for the fleet.
    pub jobs: Jobs,
    /// The least that a build must know to keep this state: 0, or 1 once there has been a job. One that knows less would
    /// lose part of it.
    #[serde(rename = "needs")]
    pub required_version: u32,
}

/// What this build knows: see [`FleetState::needs`].
pub const STATE_VERSION: u32 = 1;

impl FleetState {
    /// As it stands in a snapshot; none where it is damaged or needs a later build.
    pub fn decode(bytes: &[u8]) -> Option<FleetState> {
        wire::decode(bytes).filter(|state: &FleetState| state.required_version <= STATE_VERSION)
    }

    /// Takes the next entry.
    pub fn apply(&mut self, command: Command) {
        match (command, std::mem::take(&mut self.phase)) {
            (Command::Propose(proposal), phase) => {
                self.phase = phase;
                self.propose(proposal);
            }
            (Command::Reject(id, by, why), ProposalPhase::Preparing(p)) if p.id == id => {
                self.remember(id, ProposalOutcome::Rejected(by, why));
            }
            (Command::TimeOut(id, missing), ProposalPhase::Preparing(p)) if p.id == id => {
                self.remember(id, ProposalOutcome::TimedOut(missing));
            }
            (Command::Seal(id), ProposalPhase::Preparing(p)) if p.id == id => {
                self.phase = ProposalPhase::Sealed(p)
            }
            (Command::Commit(id), ProposalPhase::Sealed(p)) if p.id == id => {
                let epoch = self.policy.epoch + 1;
                let new = Policy {
                    epoch,
                    text: p.text,
                    author: p.author,
                    reason: p.reason,
                    proposal: id,
                };
                self.history.push(std::mem::replace(&mut self.policy, new));
                self.remember(id, ProposalOutcome::InForce(epoch));
            }
            (Command::Assignment(assignment), phase) => {
                self.phase = phase;
                self.required_version = self.required_version.max(1);
                self.jobs.apply(assignment);
            }
            // Of a leader that did not know how things stood.
            (_, phase) => self.phase = phase,
        }
        let excess = self.outcomes.len().saturating_sub(REMEMBERED);
        self.outcomes.drain(..excess);
        let excess = self.history.len().saturating_sub(REMEMBERED);
        self.history.drain(..excess);
    }

    fn propose(&mut self, proposal: Proposal) {
        let id = proposal.id;
        if self.outcome(id).is_some() || self.pending_proposal().is_some_and(|p| p.id == id) {
            return;
        }
        let refuse = |why: String| ProposalOutcome::Rejected("the fleet".into(), why);
        if let Some(p) = self.pending_proposal() {
            let why = format!(
                "another change is under way, by {}: ask for its outcome and propose again",
                p.author
            );
            self.remember(id, refuse(why));
        } else if proposal.base_epoch != 0 && proposal.base_epoch != self.policy.epoch {
            let why = format!(
                "it was made for epoch {}, in force is {}",
                proposal.base_epoch, self.policy.epoch
            );
            self.remember(id, refuse(why));
        } else if proposal.text.len() > MAX_POLICY_BYTES {
            let why = format!(
                "its text has {} bytes, {MAX_POLICY_BYTES} at most",
                proposal.text.len()
            );
            self.remember(id, refuse(why));
        } else {
            self.phase = ProposalPhase::Preparing(proposal);
        }
    }

    fn remember(&mut self, id: ProposalId, outcome: ProposalOutcome) {
        self.outcomes.push((id, outcome));
    }

    /// The proposal under way.
    pub fn pending_proposal(&self) -> Option<&Proposal> {
        match &self.phase {
            ProposalPhase::Idle => None,
            ProposalPhase::Preparing(p) | ProposalPhase::Sealed(p) => Some(p),
        }
    }

    /// What became of a proposal; none where it is under way, was never heard of, or is long past.
    pub fn outcome(&self, id: ProposalId) -> Option<&ProposalOutcome> {
        self.outcomes
            .iter()
            .rev()
            .find(|(of, _)| *of == id)
            .map(|(_, outcome)| outcome)
    }
}

#[cfg(test)]
mod tests;
