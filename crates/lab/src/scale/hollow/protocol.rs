//! What a process of hollow relays is told, and what it answers.

use crate::scale::admissions::{Moment, RelayHistory};
use crate::scale::record::Traffic;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What all hollow relays of a process have in common.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetOptions {
    /// The fleet's id.
    pub id: String,
    /// The key of its links.
    pub key: String,
    /// Where ledgers stand: a directory each.
    pub directory: PathBuf,
    /// Voters by number, and where each is reached.
    pub voters: Vec<(u64, SocketAddr)>,
    /// How long a lease lasts, in milliseconds.
    pub lease_ms: u64,
    /// How long a relay may take to answer a proposal, in milliseconds.
    pub patience_ms: u64,
    /// Zones whose load is watched by an owner.
    pub watched_zones: Vec<String>,
    /// Whether an owner paces moves.
    pub paced_moves: bool,
    /// Backends: id, address, and the place of their zone.
    pub backends: Vec<(String, SocketAddr, u16)>,
}

/// What the process is told. The first line is [`Command::Open`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Open relays of these names.
    Open {
        /// What they have in common.
        options: FleetOptions,
        /// Their names.
        names: Vec<String>,
        /// The place of their zone.
        zone: u16,
    },
    /// Say how many relays admit clients under which policy.
    Status,
    /// Say everything.
    Snapshot,
    /// End the relay of this name, and open it again.
    Restart {
        /// Its name.
        name: String,
    },
}

/// What it answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// It is done; when the relay that was restarted was opened again.
    Done {
        /// See there.
        at: Moment,
    },
    /// See [`Status`].
    Status(Status),
    /// See [`Snapshot`].
    Snapshot(Box<Snapshot>),
    /// It cannot be done, and why.
    Failed {
        /// See there.
        why: String,
    },
}

/// How many relays admit clients.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Relays in all.
    pub relays: usize,
    /// Those that admit clients now, by epoch.
    pub admitting: BTreeMap<u64, usize>,
}

/// Everything about the process and its relays.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// When it was taken.
    pub at: Moment,
    /// Time on a processor of the whole process since its start, in nanoseconds.
    pub cpu_ns: u64,
    /// Resident memory in bytes: now, and before any relay was opened.
    pub memory_bytes: u64,
    /// See `memory_bytes`.
    pub memory_at_start: u64,
    /// Threads.
    pub threads: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Each relay.
    pub relays: Vec<RelaySnapshot>,
}

/// Everything about one hollow relay.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RelaySnapshot {
    /// Time on a processor of its thread, in nanoseconds.
    pub cpu_ns: u64,
    /// Messages and bytes since its start.
    pub traffic: Traffic,
    /// What it has done.
    pub history: RelayHistory,
}
