//! A voter's share of the fleet's moves: it divides what the owner of moves allows it among the relays that follow it.
//!
//! Two numbers that only grow bound the moves: the allowance of a voter's process, which the owner raises, and what each
//! relay's process may have made since its start, which its voter raises. Each raise by one is paid for: by the owner with
//! its credit, by the voter with its allowance. Whoever begins anew (another owner, another voter of the same relay)
//! goes on from what the other side says to have, which is a number that was paid for. So no number ever exceeds what
//! was paid for it in all, whatever is lost, late or doubled, and the fleet makes no more moves than owners had credit.
//!
//! Guards against: an allowance for the process before this one (it bears the process), one that was given for relays that
//! do not wait any more (what is left over lapses when the next one comes), and a relay that says to wait for more than
//! anybody has.

use super::message::{Allowance, MovesSummary};
use crate::jobs::moves::MigrationStatus;

#[cfg(test)]
mod tests;

/// Permits that are given at one call, at most.
const AT_ONCE: u64 = 4_096;

/// What a relay has reported of its moves, and what it is permitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayMoves {
    reported: MigrationStatus,
    permitted: u64,
}

impl RelayMoves {
    /// It reports. What it was permitted it keeps.
    pub fn report(&mut self, reported: MigrationStatus) {
        self.reported = reported;
        self.permitted = self.permitted.max(reported.permitted);
    }

    /// An owner of an older build permits it this, and has paid for it.
    pub fn permit(&mut self, upto: u64) {
        self.permitted = self.permitted.max(upto);
    }

    /// What it may have made since its start, where it does not know that.
    pub fn to_be_told(&self) -> Option<u64> {
        (self.permitted > self.reported.permitted).then_some(self.permitted)
    }

    fn lacking(&self) -> u64 {
        self.reported
            .completed
            .saturating_add(self.reported.waiting)
            .saturating_sub(self.permitted)
    }
}

/// See the module's text.
#[derive(Clone, Copy, Debug, Default)]
pub struct AllowancePool {
    /// This process.
    instance: u64,
    allowed: u64,
    used: u64,
}

impl AllowancePool {
    /// Of a process that has just started.
    pub fn new(instance: u64) -> AllowancePool {
        AllowancePool {
            instance,
            ..AllowancePool::default()
        }
    }

    /// The owner has said how much it allows. What is left of the allowance before lapses: nothing is saved up here.
    pub fn allow(&mut self, allowance: Allowance) {
        if allowance.instance == self.instance && allowance.permitted >= self.allowed {
            (self.used, self.allowed) = (self.allowed, allowance.permitted);
        }
    }

    /// Gives what is left to those that lack most; the places of those that are permitted more now.
    pub fn divide(&mut self, relays: &mut [&mut RelayMoves]) -> Vec<usize> {
        let mut raised = Vec::new();
        for _ in 0..(self.allowed - self.used).min(AT_ONCE) {
            let most = relays
                .iter_mut()
                .enumerate()
                .max_by_key(|(_, relay)| relay.lacking());
            let Some((place, relay)) = most.filter(|(_, relay)| relay.lacking() > 0) else {
                break;
            };
            relay.permitted += 1;
            self.used += 1;
            raised.push(place);
        }
        raised.sort_unstable();
        raised.dedup();
        raised
    }

    /// What the owner is told.
    pub fn summary<'a>(&self, relays: impl Iterator<Item = &'a RelayMoves>) -> MovesSummary {
        let mut summary = MovesSummary {
            instance: self.instance,
            allowed: self.allowed,
            used: self.used,
            ..MovesSummary::default()
        };
        for relay in relays {
            summary.relays += 1;
            summary.waiting = summary.waiting.saturating_add(relay.reported.waiting);
            summary.made = summary.made.saturating_add(relay.reported.completed);
            summary.permitted = summary.permitted.saturating_add(relay.permitted);
            summary.lacking = summary.lacking.saturating_add(relay.lacking());
        }
        summary
    }
}
