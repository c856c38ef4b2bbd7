//! Renewal of leases: request of a relay to the leader, and the response.

use crate::jobs::assignment::FencingToken;
use crate::log::membership::Membership;
use crate::log::state::{Policy, Proposal, ProposalId};
use crate::relay::{JobCapabilities, RelayId};
use crate::serialization::is_default;
use serde::{Deserialize, Serialize};

/// Request of a relay for a lease, with a report of its progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RenewRequest {
    /// Process that requests the lease.
    pub relay: RelayId,
    /// Sequence number; grows by one with each request of a process.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Highest sequence number whose response from a leader has reached the relay.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "heard")]
    pub last_seen_response: u64,
    /// Epoch of the relay's policy.
    #[serde(skip_serializing_if = "is_default")]
    pub epoch: u64,
    /// Proposal that the relay has checked and stored.
    #[serde(skip_serializing_if = "is_default")]
    pub prepared: Option<ProposalId>,
    /// Proposal that the relay rejects, and the reason.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "refused")]
    pub rejected: Option<(ProposalId, String)>,
    /// Sealed proposal for which the relay has stopped admitting clients under the old policy.
    #[serde(rename = "yielded", skip_serializing_if = "is_default")]
    pub stopped_for: Option<ProposalId>,
    /// Version of the membership that the relay knows.
    #[serde(rename = "seats", skip_serializing_if = "is_default")]
    pub membership_version: u64,
    /// Version of the job list that the relay has applied; `None` if it does no jobs.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "jobs")]
    pub jobs_version: Option<u64>,
    /// Jobs that the relay relinquishes: name, token and reason.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "gives_up")]
    pub relinquished: Vec<(String, FencingToken, String)>,
    /// New checkpoints of the relay's jobs: name, token, step and content.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: Vec<(String, FencingToken, u64, Vec<u8>)>,
    /// Jobs that the relay can do.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "skills")]
    pub capabilities: JobCapabilities,
}

/// Response of a voter to a [`RenewRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RenewResponse {
    /// Incarnation of the process that sent the request. Each process starts its sequence numbers
    /// over.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// Sequence number of the request.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Set if this voter does not lead, with the number of the leader if it is known. Of the fields
    /// below only `membership` can be set then.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "elsewhere")]
    pub redirect: Option<Option<u64>>,
    /// Grants a lease on the policy of this epoch, counted from when the request was sent.
    #[serde(skip_serializing_if = "is_default")]
    pub grant: Option<u64>,
    /// Policy in force, if the relay has another.
    #[serde(skip_serializing_if = "is_default")]
    pub policy: Option<Policy>,
    /// Proposal that the relay must check and store.
    #[serde(skip_serializing_if = "is_default")]
    pub prepare: Option<Proposal>,
    /// Sealed proposal for which the relay must stop admitting clients under its policy.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "close")]
    pub sealed: Option<ProposalId>,
    /// Members of the log, if the relay knows an older version.
    #[serde(rename = "seats", skip_serializing_if = "is_default")]
    pub membership: Option<Membership>,
    /// Jobs of the relay, if it has applied an older version of the list.
    #[serde(skip_serializing_if = "is_default")]
    pub jobs: Option<AssignedJobs>,
    /// Step of the latest checkpoint in the log, for each job of which the request has a
    /// checkpoint.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "steps")]
    pub checkpoint_steps: Vec<(String, u64)>,
    /// Latest fencing token that the fleet has issued; `None` if the voter does not lead.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "last")]
    pub last_token: Option<FencingToken>,
}

impl RenewResponse {
    /// Creates an empty response to a request.
    pub fn for_request(request: &RenewRequest) -> RenewResponse {
        RenewResponse {
            incarnation: request.relay.incarnation,
            sequence: request.sequence,
            ..RenewResponse::default()
        }
    }
}

/// Jobs assigned to a relay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AssignedJobs {
    /// Version of [`Jobs`](crate::jobs::assignment::Jobs) from which the list was made.
    pub version: u64,
    /// Name and token of each job, and the step and content of its latest checkpoint.
    #[serde(rename = "of")]
    pub jobs: Vec<(String, FencingToken, u64, Vec<u8>)>,
}
