//! What relays say to each other.

pub use crate::broadcast::message::{Delivery, Poll, Receipt, Submission};
use crate::jobs::assignment::{Assignment, FencingToken};
use crate::log::membership::{Membership, MembershipChange, VoterId};
use crate::log::state::{FleetState, Policy, Proposal, ProposalId, ProposalOutcome};
pub use crate::relay::{job_kind, JobCapabilities, RelayId};
use crate::serialization::is_default;
use crate::{wire, Micros};
use serde::{Deserialize, Serialize};

/// Where an answer goes: whatever the driver made of the sender.
pub type ReplyAddress = u64;

/// A relay asks for its lease, and says how far it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RenewRequest {
    /// Who asks.
    pub relay: RelayId,
    /// Grows with each: an answer to an earlier one counts for nothing.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The last of its questions to which it has heard a leader's answer.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "heard")]
    pub last_seen_response: u64,
    /// The policy that it would admit clients under.
    #[serde(skip_serializing_if = "is_default")]
    pub epoch: u64,
    /// The proposal that it has checked and stored.
    #[serde(skip_serializing_if = "is_default")]
    pub prepared: Option<ProposalId>,
    /// The proposal that it refuses, and why.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "refused")]
    pub rejected: Option<(ProposalId, String)>,
    /// The proposal for which it has stopped admitting under the old policy.
    #[serde(rename = "yielded", skip_serializing_if = "is_default")]
    pub revoked: Option<ProposalId>,
    /// The version of the membership that it knows.
    #[serde(rename = "seats", skip_serializing_if = "is_default")]
    pub membership_version: u64,
    /// The version of its jobs that it knows, and acts by; none where it does no jobs.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "jobs")]
    pub jobs_version: Option<u64>,
    /// Jobs that it gives up, and why: it does not act on them any more.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "gives_up")]
    pub relinquished: Vec<(String, FencingToken, String)>,
    /// How far its jobs are: name, token, number and what it says.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: Vec<(String, FencingToken, u64, Vec<u8>)>,
    /// What it can do, where it does jobs.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "skills")]
    pub capabilities: JobCapabilities,
}

/// A relay follows a voter's updates, and says what owners of jobs have to know of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Subscribe {
    /// Who follows.
    pub relay: RelayId,
    /// Grows with each.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The newest that it has of each job: token and number.
    #[serde(rename = "knows")]
    pub known_updates: Vec<(String, FencingToken, u64)>,
    /// What owners of jobs of a kind have to know of it.
    #[serde(rename = "facts")]
    pub reports: Vec<Report>,
    /// The protocol of updates that it speaks; zero for builds that know no deliveries.
    #[serde(skip_serializing_if = "is_default")]
    pub version: u32,
    /// Where it stands: it needs the updates of jobs of that zone most.
    #[serde(skip_serializing_if = "is_default")]
    pub zone: String,
    /// The tables that it has: job, token and version.
    #[serde(skip_serializing_if = "is_default")]
    pub tables: Vec<(String, FencingToken, u64)>,
    /// The version of its reports.
    #[serde(skip_serializing_if = "is_default")]
    pub reports_version: u64,
    /// An owner that follows another voter asks for the clock of this one.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "asks_only")]
    pub clock_only: bool,
}

/// What a relay says to the owners of jobs of a kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// The kind.
    pub kind: String,
    /// What it says, as that kind of job reads it.
    #[serde(with = "serde_bytes")]
    #[serde(rename = "body")]
    pub payload: Vec<u8>,
}

/// What an owner says to all relays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Update {
    /// The job, and the token under which it is said.
    pub job: String,
    /// See `job`.
    pub token: FencingToken,
    /// Grows with each under one token.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// At most so old when it was sent on.
    pub age: Micros,
    /// What it says, as that kind of job reads it.
    #[serde(with = "serde_bytes")]
    #[serde(rename = "body")]
    pub payload: Vec<u8>,
}

/// An owner hands a voter what is to be told to all relays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Publish {
    /// What it says.
    #[serde(rename = "item")]
    pub update: Update,
    /// The last moment of the voter's clock that the voter has told this owner, and how long ago that was here.
    pub stamp: Micros,
    /// See `stamp`.
    #[serde(rename = "since")]
    pub stamp_age: Micros,
}

/// What a voter tells a relay that follows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Updates {
    /// The start of the process that it is for: numbers begin anew with each.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// The last question that it heard of the relay, and how long ago.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// See `number`.
    #[serde(rename = "since")]
    pub request_age: Micros,
    /// The voter's clock.
    pub stamp: Micros,
    /// What owners say.
    #[serde(rename = "items")]
    pub updates: Vec<Update>,
    /// For owners: what relays say to their kinds of jobs, and how old that is at most.
    #[serde(rename = "facts")]
    pub reports: Vec<(RelayId, Micros, Vec<Report>)>,
    /// The protocol of updates that the voter speaks; zero for builds that know no deliveries.
    #[serde(skip_serializing_if = "is_default")]
    pub version: u32,
}

/// What a voter says to that.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RenewResponse {
    /// The start of the process that it answers: numbers begin anew with each.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// The number of what it answers.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Where the leader is thought to be, where this voter is none; nothing else is said then.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "elsewhere")]
    pub redirect: Option<Option<u64>>,
    /// The lease: admit clients under this epoch.
    #[serde(skip_serializing_if = "is_default")]
    pub grant: Option<u64>,
    /// The policy in force, where the relay has another.
    #[serde(skip_serializing_if = "is_default")]
    pub policy: Option<Policy>,
    /// Check and store this.
    #[serde(skip_serializing_if = "is_default")]
    pub prepare: Option<Proposal>,
    /// Stop admitting clients under the policy that you have, for this proposal's sake.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "close")]
    pub revoke: Option<ProposalId>,
    /// Who votes, where the relay knows an older version.
    #[serde(rename = "seats", skip_serializing_if = "is_default")]
    pub membership: Option<Membership>,
    /// The relay's jobs, where it knows another version of them.
    #[serde(skip_serializing_if = "is_default")]
    pub jobs: Option<AssignedJobs>,
    /// The number of the last checkpoint that the log has of each job that the question bears one of.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "steps")]
    pub checkpoint_steps: Vec<(String, u64)>,
    /// The last token that was given; none where the voter does not lead.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "last")]
    pub last_token: Option<FencingToken>,
}

/// What a relay has to do for the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AssignedJobs {
    /// Of all jobs.
    pub version: u64,
    /// Each with its token, and the number and text of its last checkpoint.
    #[serde(rename = "of")]
    pub jobs: Vec<(String, FencingToken, u64, Vec<u8>)>,
}

impl RenewResponse {
    /// One that says nothing yet.
    pub fn for_request(renew: &RenewRequest) -> RenewResponse {
        RenewResponse {
            incarnation: renew.relay.incarnation,
            sequence: renew.sequence,
            ..RenewResponse::default()
        }
    }
}

/// What operators ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// Begin with this proposal, unless it is known already.
    Propose(Proposal),
    /// What became of it.
    Outcome(ProposalId),
    /// How things stand.
    Status,
    /// Change who votes.
    #[serde(rename = "Seat")]
    Member(MembershipChange),
    /// Change the jobs; what only a leader decides is refused.
    Job(Assignment),
    /// The token that a job has now.
    Token(String),
    /// Which voter this is, and the incarnation of its disk. Answered by any.
    #[serde(rename = "Who")]
    Identity,
}

/// What they are told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorResponse {
    /// Ask this voter, at that address where no operator file may name it; none where there is no leader just now.
    #[serde(rename = "Elsewhere")]
    Redirect(Option<(VoterId, String)>),
    /// It is under way: how far, and which relays are waited for.
    #[serde(rename = "UnderWay")]
    InProgress(String, Vec<String>),
    /// What became of it.
    Outcome(ProposalOutcome),
    /// Nobody has heard of it.
    Unknown,
    /// How things stand.
    Status(Box<FleetStatus>),
    /// Who votes is as it was asked for, or why it cannot be.
    #[serde(rename = "Seat")]
    Member(Result<(), String>),
    /// See [`OperatorRequest::Who`].
    #[serde(rename = "Who")]
    Identity(VoterId, u64),
    /// The job's name and the token that it has now; 0 for one that was never given.
    Token(String, FencingToken),
    /// The change is in the log, or was refused.
    Job(Result<(), String>),
}

/// How things stand with the fleet, as its leader knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetStatus {
    /// The leader, and its term.
    pub leader: u64,
    /// See `leader`.
    pub term: u64,
    /// What the log says.
    pub state: FleetState,
    /// Relays that have asked for a lease of this leader: whether it still runs, their epoch, and what they refuse.
    pub relays: Vec<(RelayId, bool, u64)>,
    /// Each member's number, whether it was heard of lately, and how many entries it is behind.
    #[serde(rename = "seats")]
    pub voters: Vec<(VoterId, bool, u64)>,
    /// Jobs that nobody may act on just now, and why.
    #[serde(rename = "idle")]
    pub unassigned_jobs: Vec<(String, String)>,
}

/// Anything that one process says to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The log's own, as its library writes it, with the incarnation of the sender's disk.
    Log(u64, #[serde(with = "serde_bytes")] Vec<u8>),
    /// A founder, and the incarnation of its disk: each has to have heard all others before it votes.
    Founding(VoterId, u64),
    /// Who says to be this voter, with a disk of that incarnation, is none (any more).
    #[serde(rename = "Gone")]
    NotAMember(VoterId, u64),
    /// See [`RenewRequest`].
    #[serde(rename = "Renew")]
    RenewRequest(RenewRequest),
    /// See [`RenewResponse`].
    #[serde(rename = "Reply")]
    RenewResponse(RenewResponse),
    /// See [`OperatorRequest`]; the number comes back with the answer.
    #[serde(rename = "Ask")]
    OperatorRequest(u64, OperatorRequest),
    /// See [`OperatorResponse`].
    #[serde(rename = "Answer")]
    OperatorResponse(u64, OperatorResponse),
    /// See [`Subscribe`].
    #[serde(rename = "Follow")]
    Subscribe(Subscribe),
    /// See [`Updates`].
    #[serde(rename = "News")]
    Updates(Updates),
    /// See [`Publish`].
    Publish(Publish),
    /// See [`Poll`].
    #[serde(rename = "P")]
    Poll(Poll),
    /// See [`Delivery`].
    #[serde(rename = "D")]
    Delivery(Delivery),
    /// See [`Submission`].
    #[serde(rename = "S")]
    Submission(Submission),
    /// See [`Receipt`].
    #[serde(rename = "R")]
    Receipt(Receipt),
    /// That job has a newer token: whoever published under an older one must stop.
    #[serde(rename = "Stale")]
    StaleToken(String, FencingToken),
}

impl Message {
    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        #[cfg(feature = "injected-bugs")]
        if wire::LATER.load(std::sync::atomic::Ordering::Relaxed) {
            return wire::encode_later(self);
        }
        wire::encode(self)
    }

    /// From bytes; none where they are no message.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        wire::decode(bytes)
    }

    /// The name of its type, for figures.
    pub fn kind(&self) -> &'static str {
        match self {
            Message::Log(..) => "log",
            Message::Founding(..) => "founding",
            Message::NotAMember(..) => "gone",
            Message::RenewRequest(_) => "renew",
            Message::RenewResponse(_) => "reply",
            Message::OperatorRequest(..) => "ask",
            Message::OperatorResponse(..) => "answer",
            Message::Subscribe(_) => "subscribe",
            Message::Updates(_) => "updates",
            Message::Publish(_) => "publish",
            Message::StaleToken(..) => "stale",
            Message::Poll(_) => "poll",
            Message::Delivery(_) => "delivery",
            Message::Submission(_) => "submission",
            Message::Receipt(_) => "receipt",
        }
    }

    /// Whether one that comes later makes it needless: what must go first where a queue is full.
    pub fn replaceable(&self) -> bool {
        matches!(
            self,
            Message::Log(..)
                | Message::RenewRequest(_)
                | Message::RenewResponse(_)
                | Message::Subscribe(_)
                | Message::Updates(_)
                | Message::Publish(_)
                | Message::Poll(_)
                | Message::Delivery(_)
                | Message::Submission(_)
                | Message::Receipt(_)
        )
    }
}
