//! A fleet as the operator file sets it, checked, with its keys read.

use crate::config::operator::{self, OperatorError, OperatorFile};
use crate::platform::ledger;
use jaspermoor_control::FleetTiming;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use xxhash_rust::xxh3::xxh3_64;

/// The least length of a key in bytes: shorter ones can be guessed.
pub(super) const KEY_LEAST: usize = 32;
/// How long a lease may last, in milliseconds.
const LEASE_MS: RangeInclusive<u64> = 200..=60_000;
/// Voters at most: seven bear the loss of three.
const VOTERS_MOST: usize = 7;

/// A fleet as the operator file sets it, checked, with its keys read.
#[derive(Clone)]
pub struct Setup {
    /// See [`operator::Fleet`].
    pub fleet: operator::Fleet,
    /// See [`operator::Fleet`].
    pub keys: Vec<Vec<u8>>,
    /// See [`operator::Fleet`].
    pub directory: PathBuf,
}

impl Setup {
    /// What `[fleet]` sets; none where the file does not have it.
    pub fn of(file: &OperatorFile) -> Result<Option<Setup>, OperatorError> {
        let Some(fleet) = file.operator.fleet.clone() else {
            return Ok(None);
        };
        check_voters(file, &fleet)?;
        if !LEASE_MS.contains(&fleet.lease_ms) {
            let what = format!(
                "is {}, outside {} to {}",
                fleet.lease_ms,
                LEASE_MS.start(),
                LEASE_MS.end()
            );
            return Err(file.error("fleet.lease_ms", what));
        }
        let (keys, directory) = (read_keys(file, &fleet)?, file.resolve(&fleet.directory));
        Ok(Some(Setup {
            fleet,
            keys,
            directory,
        }))
    }

    /// The number that stands for its name on the link.
    pub fn id(&self) -> u64 {
        xxh3_64(self.fleet.id.as_bytes())
    }

    /// Whose ledger it is.
    pub fn owner(&self) -> ledger::Owner {
        ledger::Owner {
            fleet: self.fleet.id.clone(),
            voter: self.fleet.voter.unwrap_or(0),
        }
    }

    /// The numbers of the voters.
    pub fn numbers(&self) -> Vec<u64> {
        self.fleet.voters.iter().map(|voter| voter.number).collect()
    }

    /// Its times.
    pub fn times(&self) -> FleetTiming {
        let lease = self.fleet.lease_ms * 1_000;
        FleetTiming {
            lease_duration: lease,
            renew_interval: lease / 4,
            proposal_timeout: self.fleet.patience_ms * 1_000,
            ..FleetTiming::default()
        }
    }
}

fn check_voters(file: &OperatorFile, fleet: &operator::Fleet) -> Result<(), OperatorError> {
    if fleet.voters.is_empty() || fleet.voters.len() > VOTERS_MOST {
        let what = "one to seven are wanted; three bear the loss of one, five of two";
        return Err(file.error("fleet.voters", what));
    }
    for (i, voter) in fleet.voters.iter().enumerate() {
        let key = format!("fleet.voters[{i}].number");
        if voter.number == 0 {
            return Err(file.error(&key, "is 0; numbers begin with 1"));
        }
        if fleet.voters[..i]
            .iter()
            .any(|other| other.number == voter.number)
        {
            return Err(file.error(&key, format!("{} stands twice", voter.number)));
        }
    }
    match fleet
        .voter
        .filter(|own| fleet.voters.iter().all(|voter| voter.number != *own))
    {
        Some(own) => Err(file.error("fleet.voter", format!("no voter has the number {own}"))),
        None => Ok(()),
    }
}

/// The keys of the key file, one a line.
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
    if keys.is_empty() || keys.iter().any(|key| key.len() < KEY_LEAST) {
        let what = format!(
            "{} wants keys of {KEY_LEAST} characters and more, one a line",
            path.display()
        );
        return Err(file.error("fleet.keys", what));
    }
    Ok(keys)
}
