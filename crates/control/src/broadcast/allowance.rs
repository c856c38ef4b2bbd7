//! Allowance of a voter: the share of the fleet's migrations that the owner gives it, distributed
//! among the relays that follow it.
//!
//! Input: allowances from the owner of migrations, and reports of relays. Output: permits for each
//! relay, and one summary of all relays for the owner.
//!
//! Two counters that only grow bound the migrations: the allowance of a voter's process, which the
//! owner raises, and the permits of a relay's process since its start, which its voter raises. The
//! owner pays for each increment of an allowance from its token bucket, and the voter pays for each
//! permit from its allowance. A new owner, or a new voter of the same relay, continues from the
//! value that the other side reports, which was paid for. So no counter exceeds what was paid for
//! it, no matter which messages are lost, late or duplicated.
//!
//! Guards against: an allowance for the voter's previous process (the allowance names the process),
//! an accumulated allowance that no relay needs (the unused rest expires when the next one
//! arrives), and a relay that reports an excessive number of waiting connections (the allowance
//! limits its permits).

use super::message::{Allowance, MigrationSummary};
use crate::jobs::moves::MigrationStatus;

#[cfg(test)]
mod tests;

/// Maximum number of permits that one call distributes.
const MAX_PERMITS_PER_CALL: u64 = 4_096;

/// Migrations of one relay: its latest report, and its permits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayMigrations {
    reported: MigrationStatus,
    /// Permitted number of migrations since the relay's start.
    permitted: u64,
}

impl RelayMigrations {
    /// Records a report. Permits given before remain.
    pub fn report(&mut self, reported: MigrationStatus) {
        self.reported = reported;
        self.permitted = self.permitted.max(reported.permitted);
    }

    /// Raises the permits to a total that an owner of an older build gave directly and has paid
    /// for.
    pub fn permit(&mut self, permitted: u64) {
        self.permitted = self.permitted.max(permitted);
    }

    /// Permitted number of migrations, if the relay has not reported yet that it knows it.
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

/// Allowance of this voter's process.
#[derive(Clone, Copy, Debug, Default)]
pub struct AllowancePool {
    /// Incarnation of this process.
    incarnation: u64,
    /// Highest allowance received from the owner.
    allowed: u64,
    /// Part of the allowance that was distributed or has expired.
    used: u64,
}

impl AllowancePool {
    /// Creates the pool of a process that has just started.
    pub fn new(incarnation: u64) -> AllowancePool {
        AllowancePool {
            incarnation,
            ..AllowancePool::default()
        }
    }

    /// Handles an allowance from the owner. The unused rest of the previous one expires, so that
    /// allowances do not accumulate. An allowance for another process, or a lower one, changes
    /// nothing.
    pub fn allow(&mut self, allowance: Allowance) {
        if allowance.incarnation == self.incarnation && allowance.permitted >= self.allowed {
            self.used = self.allowed;
            self.allowed = allowance.permitted;
        }
    }

    /// Distributes the unused allowance, each permit to the relay with the largest unmet demand.
    /// Returns the indexes of the relays that got new permits.
    pub fn distribute(&mut self, relays: &mut [&mut RelayMigrations]) -> Vec<usize> {
        let mut changed = Vec::new();
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
            changed.push(index);
        }
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    /// Summary of this pool and these relays, for the owner.
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
