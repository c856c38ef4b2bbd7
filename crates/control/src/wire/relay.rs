//! A relay as the others know it: which process it is, and what it can do for the fleet.

use super::message::is_default;
use serde::{Deserialize, Serialize};

/// A relay's process: its name, and a number that each start makes anew.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(default)]
pub struct RelayId {
    /// Its name, the same after a restart.
    pub name: String,
    /// Which start it is.
    #[serde(rename = "start")]
    pub incarnation: u64,
}

/// Which jobs a relay can do.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobCapabilities {
    /// Kinds of jobs: the part of their names in front of the first `/`. None at all: any.
    #[serde(skip_serializing_if = "is_default")]
    pub kinds: Vec<String>,
    /// Jobs that there are to be, as far as this relay knows.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "opens")]
    pub expected_jobs: Vec<String>,
    /// Where it stands: jobs named `KIND/ZONE` go to relays of that zone first.
    #[serde(skip_serializing_if = "is_default")]
    pub zone: String,
}

impl JobCapabilities {
    /// Whether it can do a job of that name.
    pub fn supports(&self, name: &str) -> bool {
        self.kinds.is_empty() || self.kinds.iter().any(|kind| kind == job_kind(name))
    }

    /// Whether a job of that name is of its own zone.
    pub fn is_local(&self, name: &str) -> bool {
        name.split_once('/')
            .is_some_and(|(_, zone)| zone == self.zone)
    }
}

/// The kind of a job of that name.
pub fn job_kind(name: &str) -> &str {
    name.split('/').next().unwrap_or(name)
}
