//! Updates of owners of jobs to all relays, and reports of relays to the owners, both by way of the voters.

use crate::jobs::assignment::FencingToken;
use crate::relay::RelayId;
use crate::serialization::is_default;
use crate::Micros;
use serde::{Deserialize, Serialize};

/// A relay subscribes to a voter's updates, and reports to the owners of jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Subscribe {
    /// The subscriber.
    pub relay: RelayId,
    /// Grows with each request of a process.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The newest update of each job that it has: job, token and sequence.
    #[serde(rename = "knows")]
    pub known_updates: Vec<(String, FencingToken, u64)>,
    /// Its reports.
    #[serde(rename = "facts")]
    pub reports: Vec<Report>,
    /// The version of the updates' protocol that it speaks; 0 for builds that know no deliveries.
    #[serde(skip_serializing_if = "is_default")]
    pub version: u32,
    /// Its zone: updates of that zone's jobs are sent to it first.
    #[serde(skip_serializing_if = "is_default")]
    pub zone: String,
    /// The tables that it has: job, token and version.
    #[serde(skip_serializing_if = "is_default")]
    pub tables: Vec<(String, FencingToken, u64)>,
    /// The version of its reports.
    #[serde(skip_serializing_if = "is_default")]
    pub reports_version: u64,
    /// It wants this voter's clock only: an owner that subscribes to another voter.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "asks_only")]
    pub clock_only: bool,
}

/// A relay's report to the owners of one kind of jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// The kind of jobs.
    pub kind: String,
    /// The content, in the encoding of that kind.
    #[serde(with = "serde_bytes")]
    #[serde(rename = "body")]
    pub payload: Vec<u8>,
}

/// An owner's update for all relays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Update {
    /// The job.
    pub job: String,
    /// The token under which its owner sends it.
    pub token: FencingToken,
    /// Grows with each update under one token.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Its age when it was sent on, in microseconds; an upper bound.
    pub age: Micros,
    /// The content, in the encoding of that kind of job.
    #[serde(with = "serde_bytes")]
    #[serde(rename = "body")]
    pub payload: Vec<u8>,
}

/// An owner publishes an update at a voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Publish {
    /// The update.
    #[serde(rename = "item")]
    pub update: Update,
    /// The last time of the voter's clock that the voter has sent to this owner.
    pub stamp: Micros,
    /// How long ago that arrived, by the owner's clock, in microseconds.
    #[serde(rename = "since")]
    pub stamp_age: Micros,
}

/// A voter's updates for a subscriber.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Updates {
    /// The incarnation of the subscriber's process: sequences begin anew with each.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// The sequence of the subscriber's last request that has arrived.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// How long ago that arrived, in microseconds.
    #[serde(rename = "since")]
    pub request_age: Micros,
    /// The time of the voter's clock.
    pub stamp: Micros,
    /// The updates.
    #[serde(rename = "items")]
    pub updates: Vec<Update>,
    /// For owners: the reports of relays to their kinds of jobs, each with an upper bound of its age in microseconds.
    #[serde(rename = "facts")]
    pub reports: Vec<(RelayId, Micros, Vec<Report>)>,
    /// The version of the updates' protocol that the voter speaks; 0 for builds that know no deliveries.
    #[serde(skip_serializing_if = "is_default")]
    pub version: u32,
}
