//! A voter's share of the fleet's migrations: distributes the owner's allowance among the relays that follow the voter.
//!
//! Input: allowances of the owner of migrations, and reports of relays. Output: permits for each relay, and one summary
//! of all of them for the owner.
//!
//! Two counters that only grow bound the migrations: the allowance of a voter's process, which the owner raises, and the
//! permits of a relay's process since its start, which its voter raises. Each increment is paid for: by the owner from
//! its token bucket, by the voter from its allowance. A new owner, or a new voter of the same relay, continues from the
//! value that the other side reports, which was paid for. So no counter exceeds what was paid for it, whatever messages
//! are lost, late or duplicated.
//!
//! Guards against: an allowance for the voter's previous process (it names the process), one for relays that no longer
//! wait (the unused rest expires when the next one arrives), and a relay that claims to wait for more than anyone has.

use super::message::{Allowance, MigrationSummary};
use crate::jobs::moves::MigrationStatus;

#[cfg(test)]
mod tests;

/// Maximum number of permits that one call distributes.
const MAX_PERMITS_PER_CALL: u64 = 4_096;

/// What one relay reports of its migrations, and what it is permitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayMigrations {
    reported: MigrationStatus,
    /// Migrations that the relay may have made since its start.
    permitted: u64,
}

impl RelayMigrations {
    /// Records a report. Permits given before remain.
    pub fn report(&mut self, reported: MigrationStatus) {
        self.reported = reported;
        self.permitted = self.permitted.max(reported.permitted);
    }

    /// Raises the permits to a number that an owner of an older build gave, and paid for, directly.
    pub fn permit(&mut self, permitted: u64) {
        self.permitted = self.permitted.max(permitted);
    }

    /// The permitted number of migrations, if the relay does not know it yet.
    pub fn unreported_permits(&self) -> Option<u64> {
        (self.permitted > self.reported.permitted).then_some(self.permitted)
    }

    /// Number of waiting connections without a permit.
    fn unmet_demand(&self) -> u64 {
        self.reported
            .completed
            .saturating_add(self.reported.waiting)
            .saturating_sub(self.permitted)
    }
}

/// The allowance of this voter's process.
#[derive(Clone, Copy, Debug, Default)]
pub struct AllowancePool {
    /// Identifies this process.
    incarnation: u64,
    /// Highest allowance that the owner gave.
    allowed: u64,
    /// Part of it that was distributed or has expired.
    used: u64,
}

impl AllowancePool {
    /// The pool of a process that has just started.
    pub fn new(incarnation: u64) -> AllowancePool {
        AllowancePool {
            incarnation,
            ..AllowancePool::default()
        }
    }

    /// Takes an allowance of the owner. The unused rest of the previous one expires, so that none accumulates here. An
    /// allowance for another process, or a lower one, changes nothing.
    pub fn allow(&mut self, allowance: Allowance) {
        if allowance.incarnation == self.incarnation && allowance.permitted >= self.allowed {
            self.used = self.allowed;
            self.allowed = allowance.permitted;
        }
    }

    /// Distributes the unused allowance, each permit to the relay with the largest unmet demand. Returns the indexes of
    /// the relays whose permits grew.
    pub fn distribute(&mut self, relays: &mut [&mut RelayMigrations]) -> Vec<usize> {
        let mut raised = Vec::new();
        let available = self.allowed - self.used;
        for _ in 0..available.min(MAX_PERMITS_PER_CALL) {
            let neediest = relays
                .iter_mut()
                .enumerate()
                .max_by_key(|(_, relay)| relay.unmet_demand());
            let Some((index, relay)) = neediest.filter(|(_, relay)| relay.unmet_demand() > 0)
            else {
                break;
            };
            relay.permitted += 1;
            self.used += 1;
            raised.push(index);
        }
        raised.sort_unstable();
        raised.dedup();
        raised
    }

    /// Summary of this pool and these relays for the owner.
    pub fn summary<'a>(
        &self,
        relays: impl Iterator<Item = &'a RelayMigrations>,
    ) -> MigrationSummary {
        let mut summary = MigrationSummary {
            incarnation: self.incarnation,
            allowed: self.allowed,
            used: self.used,
            ..MigrationSummary::default()
        };
        for relay in relays {
            summary.relays += 1;
            summary.waiting = summary.waiting.saturating_add(relay.reported.waiting);
            summary.completed = summary.completed.saturating_add(relay.reported.completed);
            summary.permitted = summary.permitted.saturating_add(relay.permitted);
            summary.unmet_demand = summary.unmet_demand.saturating_add(relay.unmet_demand());
        }
        summary
    }
}
