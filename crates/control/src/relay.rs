//! How other processes identify a relay, and which jobs it can do for the fleet.

use crate::serialization::is_default;
use serde::{Deserialize, Serialize};

/// One process of a relay.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(default)]
pub struct RelayId {
    /// The relay's name, the same after a restart.
    pub name: String,
    /// A random number of this process, another one after each restart.
    #[serde(rename = "start")]
    pub incarnation: u64,
}

/// Which jobs a relay can do.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobCapabilities {
    /// Kinds of jobs, see [`job_kind`]. Empty: all kinds.
    #[serde(skip_serializing_if = "is_default")]
    pub kinds: Vec<String>,
    /// Jobs that the relay expects to exist: the leader creates those that do not.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "opens")]
    pub expected_jobs: Vec<String>,
    /// The relay's zone: a job named `KIND/ZONE` is assigned to relays of that zone first.
    #[serde(skip_serializing_if = "is_default")]
    pub zone: String,
}

impl JobCapabilities {
    /// Whether the relay can do a job of this name.
    pub fn supports(&self, name: &str) -> bool {
        self.kinds.is_empty() || self.kinds.iter().any(|kind| kind == job_kind(name))
    }

    /// Whether a job of this name belongs to the relay's zone.
    pub fn is_local(&self, name: &str) -> bool {
        name.split_once('/')
            .is_some_and(|(_, zone)| zone == self.zone)
    }
}

/// The kind of a job: the part of its name before the first `/`.
pub fn job_kind(name: &str) -> &str {
    name.split('/').next().unwrap_or(name)
}
