//! The event loop of the fleet's thread: the steps of a tick in their order, and the wait between
//! ticks.

use super::Fleet;
use crate::decisions::api::{Micros, SECOND};
use crate::net::poll::Events;
use crate::ops::metrics::Metrics;
use crate::sys::boottime;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;

/// The longest wait between two ticks.
const MAX_WAIT: Micros = SECOND;

impl Fleet {
    /// Runs until [`Handle::shutdown`](super::Handle::shutdown), else as long as the process does.
    /// `metrics` are those of the relay.
    pub fn run(mut self, metrics: Arc<Metrics>) {
        self.metrics = metrics;
        self.metrics.fleet.enabled.store(true, Relaxed);
        self.poller.set_owner();
        let mut events = Events::default();
        let mut ready_sockets = Vec::new();
        loop {
            // Read before the tick: the tick after a shutdown still releases the jobs.
            let shutting_down = self.handle.shutdown.load(Relaxed);
            self.tick();
            if shutting_down {
                return;
            }
            let wait = self.next_wait(boottime());
            self.poller.wait(wait, &mut events, &mut ready_sockets);
            for socket in ready_sockets.drain(..) {
                self.handle_ready_socket(socket);
            }
        }
    }

    /// The time until the earliest timer: how long the thread may wait for events.
    fn next_wait(&self, now: Micros) -> Duration {
        let voter_tick = self
            .voter
            .as_ref()
            .map(|_| now + self.settings.timing().tick / 2);
        let worker_tick = self.jobs.as_ref().map(|jobs| jobs.worker.next_tick());
        let timers = [
            Some(self.lease_client.next_tick()),
            voter_tick,
            worker_tick,
            self.ledger_retry_at,
        ];
        let earliest = timers
            .into_iter()
            .flatten()
            .fold(now + MAX_WAIT, Micros::min);
        Duration::from_micros(earliest.saturating_sub(now))
    }

    /// Does one tick. The order matters: the voter's membership before the lease client sends
    /// requests to voters, the lease before jobs that depend on it, and the metrics after all of
    /// them.
    fn tick(&mut self) {
        let now = boottime();
        if self.ledger_retry_at.is_some_and(|at| now >= at) {
            self.retry_ledger(now);
        }
        self.tick_voter(now);
        let renewal = self.lease_client.tick(now);
        self.apply_lease_actions(renewal);
        self.process_inbox();
        self.release_jobs_on_drain(now);
        self.run_jobs();
        self.process_inbox();
        self.publish_status();
        self.close_stuck_links(now);
    }
}
