//! What a run is to do, and the bounds that it keeps to.

use super::error::ScaleError;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Voters at most: as many as an operator file takes.
const MOST_VOTERS: usize = 7;
/// Relays with a process of their own at most, so that the run starts no more than a few dozen processes.
const MOST_REAL: usize = 50;
/// Relays at most.
const MOST_RELAYS: usize = 2_000;
/// Changes at most: each has a backend of its own, by which it is told apart.
const MOST_CHANGES: usize = 100;
/// Seconds of the steady part at most.
const MOST_SECONDS: u64 = 600;
/// Jobs at most: the load watch of each zone, and the paced moves.
pub const MOST_JOBS: usize = ZONES.len() + 1;
/// The zones.
pub const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Restarts of a rolling restart: those of a day.
pub const DAILY_RESTARTS: usize = 64;
/// Hollow relays of one process at most.
pub const RELAYS_PER_HOST: usize = 120;
/// Memory that a hollow relay may take, in bytes, for the estimate before a run: several times what one does take.
const HOLLOW_MEMORY: u64 = 6 * 1024 * 1024;
/// The same for a relay with a process of its own.
const REAL_MEMORY: u64 = 48 * 1024 * 1024;

/// What is done to the fleet after the steady part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Nothing.
    #[default]
    None,
    /// The voter that leads is killed, and started again.
    LeaderKilled,
    /// Relays are restarted one after the other, as many as on a day.
    RollingRestart,
    /// All relays of one zone, a fifth, are killed at once, and started again.
    ZoneLost,
}

impl FaultKind {
    /// All of them.
    pub const ALL: [FaultKind; 4] = [
        FaultKind::None,
        FaultKind::LeaderKilled,
        FaultKind::RollingRestart,
        FaultKind::ZoneLost,
    ];

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            FaultKind::None => "none",
            FaultKind::LeaderKilled => "leader-killed",
            FaultKind::RollingRestart => "rolling-restart",
            FaultKind::ZoneLost => "zone-lost",
        }
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for FaultKind {
    type Err = ScaleError;

    fn from_str(text: &str) -> Result<FaultKind, ScaleError> {
        let found = FaultKind::ALL.into_iter().find(|kind| kind.name() == text);
        found.ok_or_else(|| {
            let names = FaultKind::ALL.map(FaultKind::name).join(", ");
            ScaleError::Option {
                option: "--faults",
                what: format!("'{text}' is none of {names}"),
            }
        })
    }
}

/// What a run is to do.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Relays in all: voters, those with a process of their own, and hollow ones.
    pub relays: usize,
    /// Relays with a process of their own that have no vote.
    pub real: usize,
    /// Voters, each with a process of its own.
    pub voters: usize,
    /// Jobs: the load watch of so many zones, and the paced moves where there is one more.
    pub jobs: usize,
    /// Policy changes, one after the other, after the steady part.
    pub changes: usize,
    /// Seconds of the steady part.
    pub seconds: u64,
    /// What is done to the fleet then.
    pub faults: FaultKind,
    /// What is drawn is drawn by it.
    pub seed: u64,
    /// Backends on the list.
    pub backends: usize,
}

impl Plan {
    /// Hollow relays.
    pub fn hollow(&self) -> usize {
        self.relays.saturating_sub(self.voters + self.real)
    }

    /// Zones whose load is watched.
    pub fn watched_zones(&self) -> &'static [&'static str] {
        &ZONES[..self.jobs.min(ZONES.len())]
    }

    /// Whether moves are paced.
    pub fn paces_moves(&self) -> bool {
        self.jobs > ZONES.len()
    }

    /// Refuses what cannot be run, or not within the bounds, with half of this much memory of the machine.
    pub fn check(&self, machine_memory: u64) -> Result<(), ScaleError> {
        let refuse = |option, what: String| Err(ScaleError::Option { option, what });
        if !(1..=MOST_VOTERS).contains(&self.voters) {
            return refuse(
                "--voters",
                format!("is {}, outside 1 to {MOST_VOTERS}", self.voters),
            );
        }
        if self.real > MOST_REAL {
            return refuse("--real", format!("is {}, above {MOST_REAL}", self.real));
        }
        if self.relays < self.voters + self.real {
            let (voters, real) = (self.voters, self.real);
            let what = format!(
                "is {}, below {voters} voters and {real} real relays together",
                self.relays
            );
            return refuse("--relays", what);
        }
        if self.relays > MOST_RELAYS {
            return refuse(
                "--relays",
                format!("is {}, above {MOST_RELAYS}", self.relays),
            );
        }
        if self.jobs > MOST_JOBS {
            return refuse("--jobs", format!("is {}, above {MOST_JOBS}", self.jobs));
        }
        if self.changes > MOST_CHANGES {
            return refuse(
                "--changes",
                format!("is {}, above {MOST_CHANGES}", self.changes),
            );
        }
        if !(1..=MOST_SECONDS).contains(&self.seconds) {
            return refuse(
                "--seconds",
                format!("is {}, outside 1 to {MOST_SECONDS}", self.seconds),
            );
        }
        if !(ZONES.len()..=1_000).contains(&self.backends) {
            let what = format!("is {}, outside {} to 1000", self.backends, ZONES.len());
            return refuse("--backends", what);
        }
        if self.faults != FaultKind::None
            && self.hollow() < ZONES.len()
            && self.faults != FaultKind::LeaderKilled
        {
            let what = format!(
                "'{}' wants at least {} hollow relays",
                self.faults,
                ZONES.len()
            );
            return refuse("--faults", what);
        }
        let wanted =
            self.hollow() as u64 * HOLLOW_MEMORY + (self.voters + self.real) as u64 * REAL_MEMORY;
        if wanted > machine_memory / 2 {
            let (wanted, half) = (wanted >> 20, machine_memory >> 21);
            let what = format!(
                "is {}, which may take {wanted} MB, more than half of the machine's memory, {half} MB",
                self.relays
            );
            return refuse("--relays", what);
        }
        Ok(())
    }
}
