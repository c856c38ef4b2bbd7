//! Requests of operators, and the responses to them.

use crate::jobs::assignment::{FencingToken, JobChange};
use crate::log::membership::{MembershipChange, VoterId};
use crate::log::state::{FleetState, Proposal, ProposalId, ProposalOutcome};
use crate::relay::RelayId;
use serde::{Deserialize, Serialize};

/// An operator's request. Each may be repeated: one that is done or under way is answered as such.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// Begin with this proposal, unless it is known.
    Propose(Proposal),
    /// The outcome of a proposal.
    Outcome(ProposalId),
    /// The fleet's status.
    Status,
    /// Change the members.
    #[serde(rename = "Seat")]
    Member(MembershipChange),
    /// Change the jobs. Changes that only a leader or an owner makes are rejected.
    Job(JobChange),
    /// The present token of a job.
    Token(String),
    /// The number of the voter that receives this, and the incarnation of its disk. Answered by any voter.
    #[serde(rename = "Who")]
    Identity,
}

/// The response to an [`OperatorRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorResponse {
    /// Ask the leader: its number, and its address where no operator file names it. None where no leader is known.
    #[serde(rename = "Elsewhere")]
    Redirect(Option<(VoterId, String)>),
    /// The request is under way: its step, and the relays that are waited for.
    #[serde(rename = "UnderWay")]
    InProgress(String, Vec<String>),
    /// The outcome of the proposal.
    Outcome(ProposalOutcome),
    /// The proposal is not known.
    Unknown,
    /// The fleet's status.
    Status(Box<FleetStatus>),
    /// The change of the members is made, or why it is rejected.
    #[serde(rename = "Seat")]
    Member(Result<(), String>),
    /// The voter's number, and the incarnation of its disk.
    #[serde(rename = "Who")]
    Identity(VoterId, u64),
    /// A job's name and its present token; 0 for one that was never assigned.
    Token(String, FencingToken),
    /// The change of the jobs is made, or why it is rejected.
    Job(Result<(), String>),
}

/// The status of the fleet, as its leader knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetStatus {
    /// The leader's number.
    pub leader: u64,
    /// Its term.
    pub term: u64,
    /// The state of the log.
    pub state: FleetState,
    /// Relays that have requested a lease of this leader: whether a lease may still run, and their epoch.
    pub relays: Vec<(RelayId, bool, u64)>,
    /// Each member's number, whether it has answered lately, and how many entries of the log it lacks.
    #[serde(rename = "seats")]
    pub voters: Vec<(VoterId, bool, u64)>,
    /// Jobs that no relay may act on now, and why.
    #[serde(rename = "idle")]
    pub idle_jobs: Vec<(String, String)>,
}
