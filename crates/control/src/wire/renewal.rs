//! Renewal of leases: what a relay reports to the leader, and what the leader answers.

use crate::jobs::assignment::FencingToken;
use crate::log::membership::Membership;
use crate::log::state::{Policy, Proposal, ProposalId};
use crate::relay::{JobCapabilities, RelayId};
use crate::serialization::is_default;
use serde::{Deserialize, Serialize};

/// A relay requests a lease, and reports its progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RenewRequest {
    /// The process that requests it.
    pub relay: RelayId,
    /// Grows by one with each request of a process.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The sequence of the last of its requests that a leader has answered, as far as the relay knows.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "heard")]
    pub last_seen_response: u64,
    /// The epoch of the relay's policy.
    #[serde(skip_serializing_if = "is_default")]
    pub epoch: u64,
    /// The proposal that it has checked and stored.
    #[serde(skip_serializing_if = "is_default")]
    pub prepared: Option<ProposalId>,
    /// The proposal that it rejects, and why.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "refused")]
    pub rejected: Option<(ProposalId, String)>,
    /// The sealed proposal for which it has stopped admitting under the old policy.
    #[serde(rename = "yielded", skip_serializing_if = "is_default")]
    pub stopped_for: Option<ProposalId>,
    /// The version of the members that it knows.
    #[serde(rename = "seats", skip_serializing_if = "is_default")]
    pub membership_version: u64,
    /// The version of its jobs that it acts by; none where it does no jobs.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "jobs")]
    pub jobs_version: Option<u64>,
    /// Jobs that it has stopped acting on, each with its token, and why.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "gives_up")]
    pub relinquished: Vec<(String, FencingToken, String)>,
    /// Checkpoints of its jobs: name, token, step and content.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: Vec<(String, FencingToken, u64, Vec<u8>)>,
    /// Which jobs it can do.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "skills")]
    pub capabilities: JobCapabilities,
}

/// A voter's response to a [`RenewRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RenewResponse {
    /// The incarnation of the process that it answers: sequences start over with each.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// The sequence of the request that it answers.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// This voter does not lead: the number of the leader, as far as it knows. No other field but the members is set then.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "elsewhere")]
    pub redirect: Option<Option<u64>>,
    /// A lease on the policy of this epoch, from when the request was sent.
    #[serde(skip_serializing_if = "is_default")]
    pub grant: Option<u64>,
    /// The policy in force, where the relay has another.
    #[serde(skip_serializing_if = "is_default")]
    pub policy: Option<Policy>,
    /// A proposal to check and store.
    #[serde(skip_serializing_if = "is_default")]
    pub prepare: Option<Proposal>,
    /// The sealed proposal for which the relay has to stop admitting under its policy.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "close")]
    pub sealed: Option<ProposalId>,
    /// The members, where the relay knows an older version.
    #[serde(rename = "seats", skip_serializing_if = "is_default")]
    pub membership: Option<Membership>,
    /// The relay's jobs, where it knows another version of them.
    #[serde(skip_serializing_if = "is_default")]
    pub jobs: Option<AssignedJobs>,
    /// The step of the last checkpoint in the log, for each job of which the request has a checkpoint.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "steps")]
    pub checkpoint_steps: Vec<(String, u64)>,
    /// The last fencing token of the fleet; none where the voter does not lead.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "last")]
    pub last_token: Option<FencingToken>,
}

impl RenewResponse {
    /// A response to a request, with nothing in it yet.
    pub fn for_request(request: &RenewRequest) -> RenewResponse {
        RenewResponse {
            incarnation: request.relay.incarnation,
            sequence: request.sequence,
            ..RenewResponse::default()
        }
    }
}

/// The jobs of a relay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AssignedJobs {
    /// The version of all jobs.
    pub version: u64,
    /// Each job's name and token, and the step and content of its last checkpoint.
    #[serde(rename = "of")]
    pub jobs: Vec<(String, FencingToken, u64, Vec<u8>)>,
}
