//! Migrates connections that are not in the cell of their group: one at a time, each once.

use super::callbacks::Callback;
use super::state::ServiceState;
use super::timers::TimerOwner;
use crate::decisions::api::{Micros, RequestId};

/// The next step for a connection that is first in the queue of migrations.
enum MigrationStep {
    /// Remove it from the queue: it has ended, or is in its group's cell again.
    Skip,
    /// Queue it again: the cell to which it should go has no usable endpoint.
    Postpone,
    /// Migrate it now.
    Migrate(Callback),
}

impl ServiceState {
    /// Sets the timer of the next migration if a connection waits, the fleet permits one, and no
    /// timer is set.
    pub(super) fn schedule_migration(&mut self, now: Micros) {
        if self.migrations.needs_timer() {
            let deadline = now + self.cells.migration_interval;
            self.timers.set(deadline, TimerOwner::Migration);
        }
    }

    /// Migrates the next connection that is still displaced.
    pub(super) fn migrate_next(&mut self, now: Micros, callbacks: &mut Vec<Callback>) {
        self.migrations.timer_fired();
        while let Some(id) = self.migrations.pop() {
            match self.migration_step(id) {
                MigrationStep::Skip => continue,
                MigrationStep::Postpone => self.migrations.push(id),
                MigrationStep::Migrate(callback) => {
                    self.migrations.record_completed();
                    callbacks.push(callback);
                }
            }
            break;
        }
        self.schedule_migration(now);
    }

    fn migration_step(&self, id: RequestId) -> MigrationStep {
        let Some(entry) = self.in_flight.get(id) else {
            return MigrationStep::Skip;
        };
        let home = self.home_balancer(entry.request.group);
        if home == entry.balancer {
            return MigrationStep::Skip;
        }
        if !self.balancers[home].metrics.usable {
            return MigrationStep::Postpone;
        }
        MigrationStep::Migrate(Callback::Migrate(entry.handle.clone()))
    }
}
