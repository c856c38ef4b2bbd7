//! Requests of operators, and the responses to them.

use crate::jobs::assignment::{FencingToken, JobChange};
use crate::log::membership::{MembershipChange, VoterId};
use crate::log::state::{FleetState, Proposal, ProposalId, ProposalOutcome};
use crate::relay::RelayId;
use serde::{Deserialize, Serialize};

/// Request of an operator. A request may be repeated: one that is done or in progress is answered
/// as such.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// Propose a policy, unless the proposal is known already.
    Propose(Proposal),
    /// Return the outcome of a proposal.
    Outcome(ProposalId),
    /// Return the fleet's status.
    Status,
    /// Add or remove a member.
    #[serde(rename = "Seat")]
    Member(MembershipChange),
    /// Change the jobs. Changes that only the leader or an owner may make are rejected.
    Job(JobChange),
    /// Return the current token of a job.
    Token(String),
    /// Return the number of the receiving voter and of its disk. Answered by any voter.
    #[serde(rename = "Who")]
    Identity,
}

/// Response to an [`OperatorRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorResponse {
    /// The request must be sent to the leader: its number, and its address, which is empty if the
    /// operator files name it. `None` if no leader is known.
    #[serde(rename = "Elsewhere")]
    Redirect(Option<(VoterId, String)>),
    /// The request is in progress: the current step, and what it waits for. These are names of
    /// relays, and possibly a text about leases of the previous leader.
    #[serde(rename = "UnderWay")]
    InProgress(String, Vec<String>),
    /// Outcome of the proposal.
    Outcome(ProposalOutcome),
    /// The proposal is not known.
    Unknown,
    /// Status of the fleet.
    Status(Box<FleetStatus>),
    /// The change of the members is done, or the reason why it was rejected.
    #[serde(rename = "Seat")]
    Member(Result<(), String>),
    /// Number of the voter and of its disk.
    #[serde(rename = "Who")]
    Identity(VoterId, u64),
    /// Name of a job and its current token; 0 if it was never assigned or does not exist.
    Token(String, FencingToken),
    /// The change of the jobs is done, or the reason why it was rejected.
    Job(Result<(), String>),
}

/// Status of the fleet as its leader knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetStatus {
    /// Number of the leader.
    pub leader: u64,
    /// Term of the leader.
    pub term: u64,
    /// State that results from the log.
    pub state: FleetState,
    /// Relays that have requested a lease from this leader, whether each may hold a lease, and the
    /// epoch of its policy.
    pub relays: Vec<(RelayId, bool, u64)>,
    /// Number of each member, whether it has answered recently, and how many log entries it lacks.
    #[serde(rename = "seats")]
    pub voters: Vec<(VoterId, bool, u64)>,
    /// Jobs that no relay may act on now, and the reason for each.
    #[serde(rename = "idle")]
    pub idle_jobs: Vec<(String, String)>,
}
