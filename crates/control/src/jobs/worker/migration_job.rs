//! Migration job that this relay owns: paces the fleet's migrations and publishes permits.

use super::JobTick;
use crate::broadcast::message::MigrationSummary;
use crate::broadcast::subscriber::UpdateId;
use crate::jobs::moves::MigrationPacer;
use crate::wire::message::RelayId;
use crate::Micros;

/// Interval between two checkpoints.
const CHECKPOINT_INTERVAL: Micros = 1_000_000;
/// Interval between two submissions. A submission gives a voter its allowance, and the receipt
/// returns the voter's summary.
const SUBMISSION_INTERVAL: Micros = 500_000;

/// State of the owned migration job.
pub(super) struct MigrationJob {
    pacer: MigrationPacer,
    checkpointed_at: Micros,
    submitted_at: Micros,
}

impl MigrationJob {
    /// Creates the state of a job that resumes from a checkpoint.
    pub(super) fn new(now: Micros, checkpoint: &[u8]) -> MigrationJob {
        MigrationJob {
            pacer: MigrationPacer::resume(checkpoint),
            checkpointed_at: now,
            submitted_at: 0,
        }
    }

    /// Distributes permits, and submits a checkpoint if one is due.
    pub(super) fn tick(&mut self, mut tick: JobTick<'_>) {
        if tick.now < self.pacer.next_tick() {
            return;
        }
        let Some((_, rate)) = (tick.context.migration_status)() else {
            return;
        };
        self.publish(&mut tick, rate);
        let needs_checkpoint = tick.now >= self.checkpointed_at + CHECKPOINT_INTERVAL;
        if self.pacer.permitted_total() > 0
            && needs_checkpoint
            && tick.owner.checkpoint(tick.name, self.pacer.checkpoint())
        {
            self.checkpointed_at = tick.now;
        }
    }

    /// Distributes permits at this rate per second, and sends them to the voters.
    fn publish(&mut self, tick: &mut JobTick<'_>, rate: u64) {
        let permits = self.pacer.tick(tick.now, rate);
        let id = UpdateId {
            job: tick.name,
            token: tick.token,
            sequence: tick.subscriber.next_sequence(),
        };
        let mut messages = Vec::new();
        if tick.now >= self.submitted_at + SUBMISSION_INTERVAL {
            self.submitted_at = tick.now;
            messages = tick.subscriber.submit(tick.now, id, |voter, submission| {
                submission.allowance = self.pacer.allowance(voter);
            });
        }
        if let Some(permits) = permits {
            messages.extend(tick.subscriber.publish(tick.now, id, &permits.encode()));
        }
        tick.send_as_owner(messages);
    }

    /// Handles a relay's report; see [`MigrationPacer::handle_report`].
    pub(super) fn handle_report(&mut self, valid_since: Micros, relay: RelayId, report: &[u8]) {
        self.pacer.handle_report(valid_since, relay, report);
    }

    /// Handles a voter's summary.
    pub(super) fn handle_summary(&mut self, now: Micros, voter: u64, summary: MigrationSummary) {
        self.pacer.handle_summary(now, voter, summary);
    }

    pub(super) fn next_tick(&self) -> Micros {
        self.pacer.next_tick()
    }
}
