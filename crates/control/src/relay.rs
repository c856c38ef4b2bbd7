//! Identity of a relay, and the jobs that it can do for the fleet.

use crate::serialization::is_default;
use serde::{Deserialize, Serialize};

/// Identifies one process of a relay.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(default)]
pub struct RelayId {
    /// Name of the relay; unchanged by a restart.
    pub name: String,
    /// Random number that identifies the process; a restart changes it.
    #[serde(rename = "start")]
    pub incarnation: u64,
}

/// Jobs that a relay can do.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobCapabilities {
    /// Supported kinds of jobs, see [`job_kind`]; empty for all kinds.
    #[serde(skip_serializing_if = "is_default")]
    pub kinds: Vec<String>,
    /// Jobs that the relay expects to exist. The leader creates missing ones.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "opens")]
    pub expected_jobs: Vec<String>,
    /// Zone of the relay. A job named `KIND/ZONE` is preferably assigned to a relay of that zone.
    #[serde(skip_serializing_if = "is_default")]
    pub zone: String,
}

impl JobCapabilities {
    /// Whether the relay can do the job with this name.
    pub fn supports(&self, name: &str) -> bool {
        self.kinds.is_empty() || self.kinds.iter().any(|kind| kind == job_kind(name))
    }

    /// Whether the job with this name belongs to the relay's zone.
    pub fn is_local(&self, name: &str) -> bool {
        name.split_once('/')
            .is_some_and(|(_, zone)| zone == self.zone)
    }
}

/// Kind of a job: the part of its name before the first `/`.
pub fn job_kind(name: &str) -> &str {
    name.split('/').next().unwrap_or(name)
}
