//! Health checks of backends: started on request of the decisions or of the load watch.

use super::{EventLoop, HEALTH_CHECK, MAX_PER_TURN, READ};
use crate::decisions::api::{EndpointId, Outcome};
use crate::net::connection::NUMBER_SHIFT;
use crate::net::poll::{dial, is_local_failure, Interest};
use crate::platform::health_check::{HealthCheck, MAX_HEALTH_CHECKS};
use crate::sys::boottime;

const WRITE: Interest = Interest {
    read: false,
    write: true,
};

impl EventLoop {
    /// The next endpoint to check, and whether the check is for the load watch. Where the load
    /// watch has a fresh report of an endpoint, the decisions get that report instead.
    fn next_health_check(&mut self) -> Option<(EndpointId, bool)> {
        for _ in 0..MAX_PER_TURN {
            let Ok(endpoint_id) = self.check_requests.try_recv() else {
                break;
            };
            let directory = &self.shared.directory;
            let load_reports = self
                .load_reports
                .as_ref()
                .filter(|_| directory.is_available(endpoint_id));
            match load_reports
                .and_then(|load_reports| load_reports.fresh_report(endpoint_id, boottime()))
            {
                Some(report) => {
                    self.finish_health_check(endpoint_id, false, Outcome::Success, report)
                }
                None => return Some((endpoint_id, false)),
            }
        }
        self.load_reports
            .as_ref()?
            .next_check()
            .map(|endpoint_id| (endpoint_id, true))
    }

    pub(super) fn start_health_checks(&mut self) {
        while self.health_checks.len() < MAX_HEALTH_CHECKS {
            let Some((endpoint_id, watch)) = self.next_health_check() else {
                return;
            };
            // It may have begun to leave since the health check was requested.
            let directory = &self.shared.directory;
            let Some(endpoint) = directory
                .backend_address(endpoint_id)
                .filter(|_| directory.is_available(endpoint_id))
            else {
                self.finish_health_check(endpoint_id, watch, Outcome::NotAttempted, Vec::new());
                continue;
            };
            let now = self.shared.decisions.now();
            let (n, token) = (
                self.next_check_number,
                self.next_check_number << NUMBER_SHIFT | HEALTH_CHECK,
            );
            let begun = dial(endpoint.addr).and_then(|stream| {
                self.poller.watch(&stream, token, None, Some(WRITE))?;
                Ok(HealthCheck::new(
                    endpoint_id,
                    watch,
                    stream,
                    now,
                    self.health_check_timeout,
                ))
            });
            match begun {
                Ok(check) => {
                    self.next_check_number += 1;
                    self.timers.insert((check.step_deadline, token));
                    self.health_checks.insert(n, check);
                }
                // For lack of a descriptor or a port, which says nothing about the backend.
                Err(e) if is_local_failure(&e) => {
                    self.finish_health_check(endpoint_id, watch, Outcome::NotAttempted, Vec::new())
                }
                Err(_) => {
                    self.finish_health_check(endpoint_id, watch, Outcome::ConnectFailed, Vec::new())
                }
            }
        }
    }

    pub(super) fn advance_health_check(&mut self, n: u64, ready: bool) {
        let Some(check) = self.health_checks.get_mut(&n) else {
            return;
        };
        let (before, dialled, token) = (
            check.step_deadline,
            check.is_connecting(),
            n << NUMBER_SHIFT | HEALTH_CHECK,
        );
        let found = check.advance(self.shared.decisions.now(), ready, &self.names);
        self.timers.remove(&(before, token));
        let Some((outcome, report)) = found else {
            self.timers.insert((check.step_deadline, token));
            if dialled != check.is_connecting() {
                let _ = self
                    .poller
                    .watch(&check.stream, token, Some(WRITE), Some(READ));
            }
            return;
        };
        let (endpoint_id, watch) = (check.endpoint, check.for_load_watch);
        self.health_checks.remove(&n);
        self.finish_health_check(endpoint_id, watch, outcome, report);
    }

    fn finish_health_check(
        &self,
        endpoint_id: EndpointId,
        watch: bool,
        outcome: Outcome,
        report: Vec<f32>,
    ) {
        tracing::debug!(server = endpoint_id.0, watch, ?outcome, ?report, "probe");
        if let Some(load_reports) = self.load_reports.as_ref().filter(|_| watch) {
            return load_reports.check_finished(
                endpoint_id,
                boottime(),
                (outcome == Outcome::Success).then_some(report),
            );
        }
        self.shared
            .decisions
            .health_checked(endpoint_id, outcome, report);
    }
}
