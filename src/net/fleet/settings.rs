//! The section `[fleet]` of the operator file, checked, and the keys that it names.
//!
//! Guards against: keys that can be guessed, a lease too short to renew or too long to wait for,
//! and voters whose numbers are ambiguous. Each error names file, line and key.

use crate::config::operator::{self, OperatorError, OperatorFile};
use crate::platform::ledger;
use jaspermoor_control::FleetTiming;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use xxhash_rust::xxh3::xxh3_64;

/// The shortest key, in bytes, because shorter ones can be guessed.
pub(super) const MIN_KEY_BYTES: usize = 32;
/// Permitted durations of a lease, in milliseconds.
const LEASE_MS: RangeInclusive<u64> = 200..=60_000;
/// The most voters: a majority of seven survives the loss of three.
const MAX_VOTERS: usize = 7;
/// Renewals that a relay asks for within the duration of one lease.
const RENEWALS_PER_LEASE: u64 = 4;
const MICROS_PER_MS: u64 = 1_000;

/// A relay's settings for its fleet.
#[derive(Clone)]
pub struct FleetSettings {
    /// The section as it is in the file.
    pub fleet: operator::Fleet,
    /// The keys of the key file. The first one authenticates sent messages; received ones may use
    /// any.
    pub keys: Vec<Vec<u8>>,
    /// The ledger's directory, resolved against that of the operator file.
    pub directory: PathBuf,
}

impl FleetSettings {
    /// Checks `[fleet]` and reads its key file; none if the operator file has no such section.
    ///
    /// # Errors
    ///
    /// Fails for a value out of its range, a voter's number that is 0, unknown or ambiguous, and a
    /// key file that cannot be used.
    pub fn from_operator_file(file: &OperatorFile) -> Result<Option<FleetSettings>, OperatorError> {
        let Some(fleet) = file.operator.fleet.clone() else {
            return Ok(None);
        };
        check_voters(file, &fleet)?;
        if !LEASE_MS.contains(&fleet.lease_ms) {
            let problem = format!(
                "is {}, outside {} to {}",
                fleet.lease_ms,
                LEASE_MS.start(),
                LEASE_MS.end()
            );
            return Err(file.error("fleet.lease_ms", problem));
        }
        let keys = read_keys(file, &fleet)?;
        let directory = file.resolve(&fleet.directory);
        Ok(Some(FleetSettings {
            fleet,
            keys,
            directory,
        }))
    }

    /// The hash of the fleet's id that peers exchange when they open a session.
    pub fn wire_id(&self) -> u64 {
        xxh3_64(self.fleet.id.as_bytes())
    }

    /// The owner that this relay's ledger must have.
    pub fn ledger_owner(&self) -> ledger::Owner {
        ledger::Owner {
            fleet: self.fleet.id.clone(),
            voter: self.fleet.voter.unwrap_or(0),
        }
    }

    /// The numbers of the voters in the operator file.
    pub fn voter_numbers(&self) -> Vec<u64> {
        self.fleet.voters.iter().map(|voter| voter.number).collect()
    }

    /// Durations of the protocol, in microseconds. Several renewals fit into a lease, so that some
    /// may be lost.
    pub fn timing(&self) -> FleetTiming {
        let lease_duration = self.fleet.lease_ms * MICROS_PER_MS;
        FleetTiming {
            lease_duration,
            renew_interval: lease_duration / RENEWALS_PER_LEASE,
            proposal_timeout: self.fleet.patience_ms * MICROS_PER_MS,
            ..FleetTiming::default()
        }
    }
}

fn check_voters(file: &OperatorFile, fleet: &operator::Fleet) -> Result<(), OperatorError> {
    if fleet.voters.is_empty() || fleet.voters.len() > MAX_VOTERS {
        let problem = "needs one to seven voters; three tolerate the loss of one, five of two";
        return Err(file.error("fleet.voters", problem));
    }
    for (index, voter) in fleet.voters.iter().enumerate() {
        let key = format!("fleet.voters[{index}].number");
        if voter.number == 0 {
            return Err(file.error(&key, "is 0; numbers begin with 1"));
        }
        if fleet.voters[..index]
            .iter()
            .any(|other| other.number == voter.number)
        {
            return Err(file.error(&key, format!("{} is used twice", voter.number)));
        }
    }
    check_own_number(file, fleet)
}

/// A relay that votes must be among the voters.
fn check_own_number(file: &OperatorFile, fleet: &operator::Fleet) -> Result<(), OperatorError> {
    let Some(own_number) = fleet.voter else {
        return Ok(());
    };
    if fleet.voters.iter().any(|voter| voter.number == own_number) {
        return Ok(());
    }
    let problem = format!("no voter has the number {own_number}");
    Err(file.error("fleet.voter", problem))
}

/// Reads the key file: one key per line, empty lines ignored.
fn read_keys(file: &OperatorFile, fleet: &operator::Fleet) -> Result<Vec<Vec<u8>>, OperatorError> {
    let path = file.resolve(&fleet.keys);
    let text = std::fs::read_to_string(&path).map_err(|e| {
        file.error(
            "fleet.keys",
            format!("{} cannot be read: {e}", path.display()),
        )
    })?;
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    let keys: Vec<Vec<u8>> = lines.map(|line| line.as_bytes().to_vec()).collect();
    if keys.is_empty() || keys.iter().any(|key| key.len() < MIN_KEY_BYTES) {
        let problem = format!(
            "{} must have keys of at least {MIN_KEY_BYTES} characters, one per line",
            path.display()
        );
        return Err(file.error("fleet.keys", problem));
    }
    Ok(keys)
}
