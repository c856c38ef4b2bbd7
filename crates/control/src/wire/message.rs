//! What relays say to each other.

pub use crate::broadcast::message::{Delivery, Poll, Receipt, Submission};
use crate::jobs::assignment::{Assignment, Token};
use crate::log::membership::{Change, Membership, Number};
use crate::log::state::{Outcome, Policy, Proposal, ProposalId, State};
pub use crate::wire::relay::{kind_of, Relay, Skills};
use crate::{wire, Micros};
use serde::{Deserialize, Serialize};

/// Whether a part has the value that it has where it is left out: builds before read it so, too.
pub(crate) fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Where an answer goes: whatever the driver made of the sender.
pub type From = u64;

/// A relay asks for its lease, and says how far it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Renew {
    /// Who asks.
    pub relay: Relay,
    /// Grows with each: an answer to an earlier one counts for nothing.
    pub number: u64,
    /// The last of its questions to which it has heard a leader's answer.
    #[serde(skip_serializing_if = "is_default")]
    pub heard: u64,
    /// The policy that it would admit clients under.
    #[serde(skip_serializing_if = "is_default")]
    pub epoch: u64,
    /// The proposal that it has checked and stored.
    #[serde(skip_serializing_if = "is_default")]
    pub prepared: Option<ProposalId>,
    /// The proposal that it refuses, and why.
    #[serde(skip_serializing_if = "is_default")]
    pub refused: Option<(ProposalId, String)>,
    /// The proposal for which it has stopped admitting under the old policy.
    #[serde(rename = "yielded", skip_serializing_if = "is_default")]
    pub revoked: Option<ProposalId>,
    /// The version of the membership that it knows.
    #[serde(rename = "seats", skip_serializing_if = "is_default")]
    pub membership: u64,
    /// The version of its jobs that it knows, and acts by; none where it does no jobs.
    #[serde(skip_serializing_if = "is_default")]
    pub jobs: Option<u64>,
    /// Jobs that it gives up, and why: it does not act on them any more.
    #[serde(skip_serializing_if = "is_default")]
    pub gives_up: Vec<(String, Token, String)>,
    /// How far its jobs are: name, token, number and what it says.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: Vec<(String, Token, u64, Vec<u8>)>,
    /// What it can do, where it does jobs.
    #[serde(skip_serializing_if = "is_default")]
    pub skills: Skills,
}

/// A relay follows a voter's updates, and says what owners of jobs have to know of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Subscribe {
    /// Who follows.
    pub relay: Relay,
    /// Grows with each.
    pub number: u64,
    /// The newest that it has of each job: token and number.
    pub knows: Vec<(String, Token, u64)>,
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
    pub tables: Vec<(String, Token, u64)>,
    /// The version of its reports.
    #[serde(skip_serializing_if = "is_default")]
    pub reports_version: u64,
    /// An owner that follows another voter asks for the clock of this one.
    #[serde(skip_serializing_if = "is_default")]
    pub asks_only: bool,
}

/// What a relay says to the owners of jobs of a kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// The kind.
    pub kind: String,
    /// What it says, as that kind of job reads it.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// What an owner says to all relays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Update {
    /// The job, and the token under which it is said.
    pub job: String,
    /// See `job`.
    pub token: Token,
    /// Grows with each under one token.
    pub number: u64,
    /// At most so old when it was sent on.
    pub age: Micros,
    /// What it says, as that kind of job reads it.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
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
    pub since: Micros,
}

/// What a voter tells a relay that follows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Updates {
    /// The start of the process that it is for: numbers begin anew with each.
    pub start: u64,
    /// The last question that it heard of the relay, and how long ago.
    pub number: u64,
    /// See `number`.
    pub since: Micros,
    /// The voter's clock.
    pub stamp: Micros,
    /// What owners say.
    #[serde(rename = "items")]
    pub updates: Vec<Update>,
    /// For owners: what relays say to their kinds of jobs, and how old that is at most.
    #[serde(rename = "facts")]
    pub reports: Vec<(Relay, Micros, Vec<Report>)>,
    /// The protocol of updates that the voter speaks; zero for builds that know no deliveries.
    #[serde(skip_serializing_if = "is_default")]
    pub version: u32,
}

/// What a voter says to that.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Reply {
    /// The start of the process that it answers: numbers begin anew with each.
    pub start: u64,
    /// The number of what it answers.
    pub number: u64,
    /// Where the leader is thought to be, where this voter is none; nothing else is said then.
    #[serde(skip_serializing_if = "is_default")]
    pub elsewhere: Option<Option<u64>>,
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
    pub close: Option<ProposalId>,
    /// Who votes, where the relay knows an older version.
    #[serde(rename = "seats", skip_serializing_if = "is_default")]
    pub membership: Option<Membership>,
    /// The relay's jobs, where it knows another version of them.
    #[serde(skip_serializing_if = "is_default")]
    pub jobs: Option<OwnJobs>,
    /// The number of the last checkpoint that the log has of each job that the question bears one of.
    #[serde(skip_serializing_if = "is_default")]
    pub steps: Vec<(String, u64)>,
    /// The last token that was given; none where the voter does not lead.
    #[serde(skip_serializing_if = "is_default")]
    pub last: Option<Token>,
}

/// What a relay has to do for the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OwnJobs {
    /// Of all jobs.
    pub version: u64,
    /// Each with its token, and the number and text of its last checkpoint.
    pub of: Vec<(String, Token, u64, Vec<u8>)>,
}

impl Reply {
    /// One that says nothing yet.
    pub fn to(renew: &Renew) -> Reply {
        Reply {
            start: renew.relay.start,
            number: renew.number,
            ..Reply::default()
        }
    }
}

/// What operators ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// Begin with this proposal, unless it is known already.
    Propose(Proposal),
    /// What became of it.
    Outcome(ProposalId),
    /// How things stand.
    Status,
    /// Change who votes.
    #[serde(rename = "Seat")]
    Member(Change),
    /// Change the jobs; what only a leader decides is refused.
    Job(Assignment),
    /// The token that a job has now.
    Token(String),
    /// Which voter this is, and the incarnation of its disk. Answered by any.
    Who,
}

/// What they are told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Ask this voter, at that address where no operator file may name it; none where there is no leader just now.
    Elsewhere(Option<(Number, String)>),
    /// It is under way: how far, and which relays are waited for.
    UnderWay(String, Vec<String>),
    /// What became of it.
    Outcome(Outcome),
    /// Nobody has heard of it.
    Unknown,
    /// How things stand.
    Status(Box<Status>),
    /// Who votes is as it was asked for, or why it cannot be.
    #[serde(rename = "Seat")]
    Member(Result<(), String>),
    /// See [`Ask::Who`].
    Who(Number, u64),
    /// The job's name and the token that it has now; 0 for one that was never given.
    Token(String, Token),
    /// The change is in the log, or was refused.
    Job(Result<(), String>),
}

/// How things stand with the fleet, as its leader knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// The leader, and its term.
    pub leader: u64,
    /// See `leader`.
    pub term: u64,
    /// What the log says.
    pub state: State,
    /// Relays that have asked for a lease of this leader: whether it still runs, their epoch, and what they refuse.
    pub relays: Vec<(Relay, bool, u64)>,
    /// Each member's number, whether it was heard of lately, and how many entries it is behind.
    #[serde(rename = "seats")]
    pub membership: Vec<(Number, bool, u64)>,
    /// Jobs that nobody may act on just now, and why.
    pub idle: Vec<(String, String)>,
}

/// Anything that one process says to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The log's own, as its library writes it, with the incarnation of the sender's disk.
    Log(u64, #[serde(with = "serde_bytes")] Vec<u8>),
    /// A founder, and the incarnation of its disk: each has to have heard all others before it votes.
    Founding(Number, u64),
    /// Who says to be this voter, with a disk of that incarnation, is none (any more).
    Gone(Number, u64),
    /// See [`Renew`].
    Renew(Renew),
    /// See [`Reply`].
    Reply(Reply),
    /// See [`Ask`]; the number comes back with the answer.
    Ask(u64, Ask),
    /// See [`Answer`].
    Answer(u64, Answer),
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
    Stale(String, Token),
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
            Message::Gone(..) => "gone",
            Message::Renew(_) => "renew",
            Message::Reply(_) => "reply",
            Message::Ask(..) => "ask",
            Message::Answer(..) => "answer",
            Message::Subscribe(_) => "subscribe",
            Message::Updates(_) => "updates",
            Message::Publish(_) => "publish",
            Message::Stale(..) => "stale",
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
                | Message::Renew(_)
                | Message::Reply(_)
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
