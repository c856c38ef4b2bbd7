//! Compact messages of the broadcast. They are sent only to a peer that supports them, as shown by
//! the version in its `Subscribe` message or in its response to one.
//!
//! Names on the wire have one letter, since these messages are most of the traffic of a fleet.
//! Fields with their default value are left out, and unknown fields are ignored.

use super::table::Version;
use crate::jobs::assignment::FencingToken;
use crate::serialization::is_default;
use crate::Micros;
use serde::{Deserialize, Serialize};

/// Version of the broadcast protocol that this build supports. A peer with this version or a higher
/// one supports these messages.
pub const VERSION: u32 = 1;

/// Request of a subscribed relay for new updates, which also acknowledges received ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Poll {
    /// Incarnation of the relay's process.
    #[serde(rename = "s")]
    pub incarnation: u64,
    /// Sequence number; grows with each poll and each subscription of that process.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Sequence number of the subscription that started the stream of deliveries.
    #[serde(rename = "q")]
    pub stream: u64,
    /// Highest sequence number that was received in the stream; 0 if there is none.
    #[serde(rename = "h", skip_serializing_if = "is_default")]
    pub highest: u64,
    /// Bitmap of the 32 sequence numbers below the highest that were received; bit 0 is the one
    /// right below it.
    #[serde(rename = "m", skip_serializing_if = "is_default")]
    pub received_bitmap: u32,
    /// Reports of the relay; `None` if the voter has acknowledged their current version.
    #[serde(rename = "r", skip_serializing_if = "is_default")]
    pub reports: Option<Reports>,
}

/// Reports of a relay to the owners of jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Reports {
    /// Version; grows with each change.
    #[serde(rename = "v")]
    pub version: u64,
    /// Kind of job and content of each report.
    #[serde(rename = "o")]
    pub reports: Vec<(String, serde_bytes::ByteBuf)>,
}

/// Updates that a voter sends to a subscribed relay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Delivery {
    /// Incarnation of the relay's process.
    #[serde(rename = "s")]
    pub incarnation: u64,
    /// Sequence number of the last request that the voter received from that process.
    #[serde(rename = "n")]
    pub request_sequence: u64,
    /// Age of that request when the delivery was sent, in milliseconds, rounded down.
    #[serde(rename = "a", skip_serializing_if = "is_default")]
    pub request_age_ms: u64,
    /// Sequence number of the subscription that started the stream of deliveries.
    #[serde(rename = "q")]
    pub stream: u64,
    /// Sequence number in the stream, from 1; 0 for a delivery that needs no acknowledgement.
    #[serde(rename = "h", skip_serializing_if = "is_default")]
    pub sequence: u64,
    /// Version of the relay's reports that the voter has.
    #[serde(rename = "v", skip_serializing_if = "is_default")]
    pub reports_version: u64,
    /// Set if the voter does not know the stream, so that the relay must subscribe again.
    #[serde(rename = "u", skip_serializing_if = "is_default")]
    pub must_resubscribe: bool,
    /// Updates of jobs.
    #[serde(rename = "i", skip_serializing_if = "is_default")]
    pub updates: Vec<DeliveredUpdate>,
}

/// An update of one job, with one of `changes`, `full` and `permitted`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeliveredUpdate {
    /// Name of the job.
    #[serde(rename = "j")]
    pub job: String,
    /// Fencing token of the job's owner.
    #[serde(rename = "t")]
    pub token: FencingToken,
    /// Sequence number of a full update.
    #[serde(rename = "n", skip_serializing_if = "is_default")]
    pub sequence: u64,
    /// Upper bound of the age at the time of sending, in milliseconds, rounded up.
    #[serde(rename = "a", skip_serializing_if = "is_default")]
    pub age_ms: u64,
    /// Changes of the job's table.
    #[serde(rename = "c", skip_serializing_if = "Option::is_none")]
    pub changes: Option<serde_bytes::ByteBuf>,
    /// A full update, as owners of older builds publish it.
    #[serde(rename = "w", skip_serializing_if = "Option::is_none")]
    pub full: Option<serde_bytes::ByteBuf>,
    /// Number of migrations that this relay is permitted since its start.
    #[serde(rename = "p", skip_serializing_if = "is_default")]
    pub permitted: u64,
}

/// Update that an owner sends to a voter for its subscribers. The voter answers with a [`Receipt`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Submission {
    /// Incarnation of the owner's process.
    #[serde(rename = "s")]
    pub incarnation: u64,
    /// Sequence number; grows with each submission. The receipt repeats it.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Name of the job.
    #[serde(rename = "j")]
    pub job: String,
    /// Fencing token of the owner.
    #[serde(rename = "t")]
    pub token: FencingToken,
    /// Latest time of the voter's clock that the owner has received; 0 if there is none.
    #[serde(rename = "k")]
    pub stamp: Micros,
    /// How long ago the owner received that time, by its own clock, in microseconds.
    #[serde(rename = "e")]
    pub stamp_age: Micros,
    /// Changes of the job's table, starting from a version that the voter has acknowledged.
    #[serde(rename = "c", skip_serializing_if = "Option::is_none")]
    pub changes: Option<serde_bytes::ByteBuf>,
    /// Allowance of migrations for the voter.
    #[serde(rename = "m", skip_serializing_if = "Option::is_none")]
    pub allowance: Option<Allowance>,
}

/// Number of migrations that a voter may permit to the relays that follow it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Allowance {
    /// Incarnation of the voter's process that the allowance is for. Any other ignores it.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Total number of migrations since that process started. It only grows.
    #[serde(rename = "u")]
    pub permitted: u64,
}

/// Answer of a voter to a submission.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Receipt {
    /// Incarnation of the owner's process.
    #[serde(rename = "s")]
    pub incarnation: u64,
    /// Sequence number of the submission.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Name of the job.
    #[serde(rename = "j")]
    pub job: String,
    /// Version of the job's table that the voter has under this owner's token; 0 if it has none.
    #[serde(rename = "v", skip_serializing_if = "is_default")]
    pub version: Version,
    /// Time of the voter's clock.
    #[serde(rename = "k")]
    pub stamp: Micros,
    /// For the owner of migrations: summary of the relays that follow the voter.
    #[serde(rename = "m", skip_serializing_if = "Option::is_none")]
    pub migrations: Option<MigrationSummary>,
}

/// Summary of the migrations of all relays that follow a voter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct MigrationSummary {
    /// Incarnation of the voter's process.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Highest allowance that the voter received.
    #[serde(rename = "u")]
    pub allowed: u64,
    /// Part of the allowance that was distributed or has expired.
    #[serde(rename = "g")]
    pub used: u64,
    /// Number of relays that report migrations.
    #[serde(rename = "n", skip_serializing_if = "is_default")]
    pub relays: u64,
    /// Sum over the relays: connections that wait to be migrated.
    #[serde(rename = "w", skip_serializing_if = "is_default")]
    pub waiting: u64,
    /// Sum over the relays: migrations made since their start.
    #[serde(rename = "d", skip_serializing_if = "is_default")]
    pub completed: u64,
    /// Sum over the relays: migrations permitted since their start.
    #[serde(rename = "p", skip_serializing_if = "is_default")]
    pub permitted: u64,
    /// Sum over the relays: waiting connections without a permit.
    #[serde(rename = "l", skip_serializing_if = "is_default")]
    pub unmet_demand: u64,
}
