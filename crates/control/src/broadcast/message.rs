//! The compact messages of the spread of reports and updates. They go only to a peer that has shown, by [`VERSION`] in its
//! `Follow` or in the answer to one, that it knows them.
//!
//! Names are one letter on the wire, since these messages are most of what a fleet sends; what has its empty value is
//! left out. As everywhere, a part that is not known is passed over.

use super::table::Version;
use crate::jobs::assignment::FencingToken;
use crate::Micros;
use serde::{Deserialize, Serialize};

/// The protocol that this build speaks: what a peer says that knows the messages of this module.
pub const VERSION: u32 = 1;

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A relay that follows a voter asks what is new, and says what it has received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Poll {
    /// The start of the process that asks.
    #[serde(rename = "s")]
    pub incarnation: u64,
    /// Grows with each poll and each `Follow`.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// The number of the `Follow` with which its stream of deliveries began.
    #[serde(rename = "q")]
    pub stream: u64,
    /// The highest sequence number that it received in that stream.
    #[serde(rename = "h", skip_serializing_if = "is_default")]
    pub highest: u64,
    /// Which of the 32 before it were received: bit 0 stands for the one right before.
    #[serde(rename = "m", skip_serializing_if = "is_default")]
    pub received_bitmap: u32,
    /// Its reports, where the voter has not acknowledged this version of them.
    #[serde(rename = "r", skip_serializing_if = "is_default")]
    pub reports: Option<Reports>,
}

/// What a relay reports to the owners of jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Reports {
    /// Grows with each change.
    #[serde(rename = "v")]
    pub version: u64,
    /// Kind and text of each.
    #[serde(rename = "o")]
    pub reports: Vec<(String, serde_bytes::ByteBuf)>,
}

/// What a voter delivers to a relay that follows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Delivery {
    /// The start of the process that it is for.
    #[serde(rename = "s")]
    pub incarnation: u64,
    /// The last question that the voter heard of it.
    #[serde(rename = "n")]
    pub request_sequence: u64,
    /// How long ago that was, in milliseconds, rounded down.
    #[serde(rename = "a", skip_serializing_if = "is_default")]
    pub request_age_ms: u64,
    /// The stream, and the place in it, from one on.
    #[serde(rename = "q")]
    pub stream: u64,
    /// See `stream`.
    #[serde(rename = "h", skip_serializing_if = "is_default")]
    pub sequence: u64,
    /// The version of the relay's reports that the voter has.
    #[serde(rename = "v", skip_serializing_if = "is_default")]
    pub reports_version: u64,
    /// The voter does not know the relay: it must follow anew.
    #[serde(rename = "u", skip_serializing_if = "is_default")]
    pub must_resubscribe: bool,
    /// Updates of jobs.
    #[serde(rename = "i", skip_serializing_if = "is_default")]
    pub updates: Vec<Delivered>,
}

/// An update of one job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Delivered {
    /// The job, and the token of its owner.
    #[serde(rename = "j")]
    pub job: String,
    /// See `job`.
    #[serde(rename = "t")]
    pub token: FencingToken,
    /// The number of the update, where it is a whole one.
    #[serde(rename = "n", skip_serializing_if = "is_default")]
    pub sequence: u64,
    /// At most so old when it was sent on, in milliseconds, rounded up.
    #[serde(rename = "a", skip_serializing_if = "is_default")]
    pub age_ms: u64,
    /// Changes of the job's table.
    #[serde(rename = "c", skip_serializing_if = "Option::is_none")]
    pub changes: Option<serde_bytes::ByteBuf>,
    /// The update as a whole, as an owner of an older build tells it.
    #[serde(rename = "w", skip_serializing_if = "Option::is_none")]
    pub full: Option<serde_bytes::ByteBuf>,
    /// Moves that this relay may have made since its start.
    #[serde(rename = "p", skip_serializing_if = "is_default")]
    pub permitted: u64,
}

/// An owner hands a voter what is to be told to the relays, and asks for the summary of what they report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Submission {
    /// The start of the owner's process.
    #[serde(rename = "s")]
    pub incarnation: u64,
    /// Grows with each; the receipt bears it.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// The job, and the token under which it is said.
    #[serde(rename = "j")]
    pub job: String,
    /// See `job`.
    #[serde(rename = "t")]
    pub token: FencingToken,
    /// The last moment of the voter's clock that the voter has told this owner, and how long ago that was here.
    #[serde(rename = "k")]
    pub stamp: Micros,
    /// See `stamp`.
    #[serde(rename = "e")]
    pub stamp_age: Micros,
    /// Changes of the job's table, from a version that the voter has.
    #[serde(rename = "c", skip_serializing_if = "Option::is_none")]
    pub changes: Option<serde_bytes::ByteBuf>,
    /// The allowance of moves.
    #[serde(rename = "m", skip_serializing_if = "Option::is_none")]
    pub allowance: Option<Allowance>,
}

/// How many moves the relays that follow a voter may be permitted by it, since that voter's process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Allowance {
    /// Which process it is for. None other may use it.
    #[serde(rename = "i")]
    pub instance: u64,
    /// So many. It only grows.
    #[serde(rename = "u")]
    pub permitted: u64,
}

/// What a voter says to a submission.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Receipt {
    /// The start of the process that it is for, and the number of the submission.
    #[serde(rename = "s")]
    pub start: u64,
    /// See `start`.
    #[serde(rename = "n")]
    pub number: u64,
    /// The job.
    #[serde(rename = "j")]
    pub job: String,
    /// The version of the job's table under this owner's token that the voter has.
    #[serde(rename = "v", skip_serializing_if = "is_default")]
    pub version: Version,
    /// The voter's clock.
    #[serde(rename = "k")]
    pub stamp: Micros,
    /// For the owner of moves: what the relays that follow this voter report.
    #[serde(rename = "m", skip_serializing_if = "Option::is_none")]
    pub moves: Option<MovesSummary>,
}

/// What all relays that follow a voter report of their moves, in one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct MovesSummary {
    /// The voter's process.
    #[serde(rename = "i")]
    pub instance: u64,
    /// The highest allowance that it was given, and what it has permitted or let lapse of that.
    #[serde(rename = "u")]
    pub allowed: u64,
    /// See `allowed`.
    #[serde(rename = "g")]
    pub used: u64,
    /// Relays that report moves.
    #[serde(rename = "n", skip_serializing_if = "is_default")]
    pub relays: u64,
    /// Sums over them: connections that wait, that were moved, and moves permitted.
    #[serde(rename = "w", skip_serializing_if = "is_default")]
    pub waiting: u64,
    /// See `waiting`.
    #[serde(rename = "d", skip_serializing_if = "is_default")]
    pub made: u64,
    /// See `waiting`.
    #[serde(rename = "p", skip_serializing_if = "is_default")]
    pub permitted: u64,
    /// Connections that wait and that nothing is permitted for yet.
    #[serde(rename = "l", skip_serializing_if = "is_default")]
    pub lacking: u64,
}
