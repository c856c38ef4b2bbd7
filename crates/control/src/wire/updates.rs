//! Updates of job owners to all relays and reports of relays to job owners, both forwarded by the
//! voters. The compact messages are in [`crate::broadcast::message`].

use crate::jobs::assignment::FencingToken;
use crate::relay::RelayId;
use crate::serialization::is_default;
use crate::Micros;
use serde::{Deserialize, Serialize};

/// Subscription of a relay to a voter's updates, with its reports to the owners of jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Subscribe {
    /// Relay that subscribes.
    pub relay: RelayId,
    /// Sequence number; grows with each request of a process.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Newest update of each job that the relay has: job, token and sequence number.
    #[serde(rename = "knows")]
    pub known_updates: Vec<(String, FencingToken, u64)>,
    /// Reports of the relay.
    #[serde(rename = "facts")]
    pub reports: Vec<Report>,
    /// Version of the broadcast protocol that the relay supports; 0 for builds that do not support
    /// deliveries.
    #[serde(skip_serializing_if = "is_default")]
    pub version: u32,
    /// Zone of the relay. Updates of that zone's jobs are sent to it first.
    #[serde(skip_serializing_if = "is_default")]
    pub zone: String,
    /// Tables that the relay has: job, token and version.
    #[serde(skip_serializing_if = "is_default")]
    pub tables: Vec<(String, FencingToken, u64)>,
    /// Version of the reports.
    #[serde(skip_serializing_if = "is_default")]
    pub reports_version: u64,
    /// Set by an owner that follows another voter and only needs this voter's clock.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "asks_only")]
    pub clock_only: bool,
}

/// Report of a relay to the owners of one kind of jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Kind of the jobs.
    pub kind: String,
    /// Content, in the encoding of that kind.
    #[serde(with = "serde_bytes")]
    #[serde(rename = "body")]
    pub payload: Vec<u8>,
}

/// Update of a job's owner for all relays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Update {
    /// Name of the job.
    pub job: String,
    /// Fencing token of the owner.
    pub token: FencingToken,
    /// Sequence number; grows with each update under one token.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Upper bound of the age at the time of sending, in microseconds.
    pub age: Micros,
    /// Content, in the encoding of that kind of job.
    #[serde(with = "serde_bytes")]
    #[serde(rename = "body")]
    pub payload: Vec<u8>,
}

/// Message of an owner that publishes a full update at a voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Publish {
    /// Update to publish.
    #[serde(rename = "item")]
    pub update: Update,
    /// Latest time of the voter's clock that the owner has received from it.
    pub stamp: Micros,
    /// How long ago the owner received that time, by its own clock, in microseconds.
    #[serde(rename = "since")]
    pub stamp_age: Micros,
}

/// Response of a voter to a subscription, or full updates for a relay of an older build.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Updates {
    /// Incarnation of the subscribed process. Each process starts its sequence numbers over.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// Sequence number of the latest request that the voter received from that process.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Age of that request when this message was sent, in microseconds.
    #[serde(rename = "since")]
    pub request_age: Micros,
    /// Time of the voter's clock.
    pub stamp: Micros,
    /// Updates that the relay lacks.
    #[serde(rename = "items")]
    pub updates: Vec<Update>,
    /// For owners of older builds: the reports of relays to their kinds of jobs, each with the time
    /// since the voter received it, in microseconds.
    #[serde(rename = "facts")]
    pub reports: Vec<(RelayId, Micros, Vec<Report>)>,
    /// Version of the broadcast protocol that the voter supports; 0 for builds that do not support
    /// deliveries.
    #[serde(skip_serializing_if = "is_default")]
    pub version: u32,
}
