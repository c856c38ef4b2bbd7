//! A relay as the others know it: which process it is, and what it can do for the fleet.

use super::message::is_default;
use serde::{Deserialize, Serialize};

/// A relay's process: its name, and a number that each start makes anew.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(default)]
pub struct Relay {
    /// Its name, the same after a restart.
    pub name: String,
    /// Which start it is.
    pub start: u64,
}

/// Which jobs a relay can do.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Skills {
    /// Kinds of jobs: the part of their names in front of the first `/`. None at all: any.
    #[serde(skip_serializing_if = "is_default")]
    pub kinds: Vec<String>,
    /// Jobs that there are to be, as far as this relay knows.
    #[serde(skip_serializing_if = "is_default")]
    pub opens: Vec<String>,
    /// Where it stands: jobs named `KIND/ZONE` go to relays of that zone first.
    #[serde(skip_serializing_if = "is_default")]
    pub zone: String,
}

impl Skills {
    /// Whether it can do a job of that name.
    pub fn can(&self, name: &str) -> bool {
        self.kinds.is_empty() || self.kinds.iter().any(|kind| kind == kind_of(name))
    }

    /// Whether a job of that name is of its own zone.
    pub fn near(&self, name: &str) -> bool {
        name.split_once('/')
            .is_some_and(|(_, zone)| zone == self.zone)
    }
}

/// The kind of a job of that name.
pub fn kind_of(name: &str) -> &str {
    name.split('/').next().unwrap_or(name)
}
