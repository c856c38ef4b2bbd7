//! Load reports: the loads that endpoints report, their age, and the health checks that request
//! them.
//!
//! Inputs: results of health checks. Outputs: an estimate of an endpoint's load, the mean load of
//! all, and the work of a connection. Reports that are too old are ignored; requests sent since a
//! report are added to it; and each balancer checks less often the more balancers there are, so
//! that the checks do not grow with their number.

use super::api::{Action, EndpointId, Micros, Outcome, ReportColumn};
use super::endpoints::{Endpoint, EndpointIndex};
use super::timers::Timer;
use super::Balancer;

/// With fewer balancers than this, each sends health checks as rarely as if there were this many.
const MIN_CHECKING_BALANCERS: u32 = 3;
/// Divisor in the estimate of the requests that all balancers have sent to an endpoint since its
/// report: own requests times the number of balancers, divided by this.
const UNREPORTED_REQUESTS_DIVISOR: f32 = 3.0;

/// The last load report of an endpoint, and the requests sent to it since.
#[derive(Default)]
pub(super) struct LoadEstimate {
    /// Load over capacity, as last reported.
    load: f32,
    /// Requests and connections of all balancers, as last reported.
    active: f32,
    reported_at: Option<Micros>,
    /// Own requests that the report is not expected to include.
    unreported_requests: f32,
    /// When the last health check ended.
    pub checked_at: Option<Micros>,
    /// When a load lookup last sent a health check.
    pub lookup_sent_at: Option<Micros>,
}

impl LoadEstimate {
    /// Forgets the report of an endpoint that cannot be reached.
    pub(super) fn forget_report(&mut self) {
        self.reported_at = None;
    }

    /// Counts a request that is sent to the endpoint.
    pub(super) fn record_request(&mut self) {
        self.unreported_requests += 1.0;
    }

    /// Whether the last report, however old, showed a load below this.
    pub(super) fn was_reported_below(&self, load: f32) -> bool {
        self.reported_at.is_some() && self.load < load
    }

    /// Stores a report. Returns whether it differs from the last one.
    fn record_report(&mut self, load: f32, active: f32, now: Micros) -> bool {
        // A report that repeats the last load is taken for the same report. A new report that the
        // fleet distributes differs slightly from the one before.
        let changed = load != self.load || self.reported_at.is_none();
        if changed {
            // The report was made some time ago: half of the requests since the last one are
            // assumed not to be in it.
            self.unreported_requests /= 2.0;
        }
        self.load = load;
        self.active = active;
        self.reported_at = Some(now);
        changed
    }
}

/// Load of all endpoints together.
#[derive(Default)]
pub(super) struct FleetLoad {
    /// Mean load over capacity.
    pub mean_load: f32,
    /// Capacity that a connection takes at an endpoint of size 1; 0 while unknown.
    pub work_per_connection: f32,
}

impl Balancer {
    /// Whether endpoints report their load to health checks.
    pub(super) fn has_load_reports(&self) -> bool {
        self.settings.may_check_health && self.settings.report_columns.contains(&ReportColumn::Load)
    }

    /// Estimated load of an endpoint: its report, and the requests that all balancers are assumed
    /// to have sent since. None without a fresh report.
    pub(super) fn estimated_load(&self, endpoint: &Endpoint) -> Option<f32> {
        let expiry = self.parameters.load_report_expiry_us;
        let report = &endpoint.load;
        if report.reported_at.is_none_or(|at| self.now >= at + expiry) {
            return None;
        }
        let requests_per_own_request =
            (self.settings.balancer_count as f32 / UNREPORTED_REQUESTS_DIVISOR).max(1.0);
        let unreported = report.unreported_requests
            * requests_per_own_request
            * self.fleet_load.work_per_connection
            / endpoint.size
            / self.warm_fraction(endpoint);
        Some(report.load + unreported)
    }

    /// Whether an endpoint is known to have spare capacity.
    pub(super) fn has_spare_capacity(&self, endpoint: &Endpoint) -> bool {
        self.estimated_load(endpoint)
            .is_some_and(|load| load < self.parameters.spare_capacity_load)
    }

    /// Starts the periodic health checks, unless they have been started.
    pub(super) fn start_health_checks(&mut self, actions: &mut Vec<Action>) {
        if self.health_checks_sent == 0 {
            self.check_next_endpoint(actions);
        }
    }

    /// Sends a health check to the next endpoint and sets the timer of the following one, so that
    /// all balancers together check each endpoint once per interval.
    pub(super) fn check_next_endpoint(&mut self, actions: &mut Vec<Action>) {
        if !self.has_load_reports() {
            return;
        }
        let ready = self.endpoints.ready();
        let endpoint_count = ready.len().max(1);
        self.health_checks_sent += 1;
        if let Some(&index) = ready.get(self.health_checks_sent % endpoint_count) {
            actions.push(Action::CheckHealth(self.endpoints[index].id));
        }
        let balancers = u64::from(self.settings.balancer_count.max(MIN_CHECKING_BALANCERS));
        let interval = self.parameters.health_check_interval_us * balancers / endpoint_count as u64;
        let at = self.now + interval / 2 + self.random.range(0..interval);
        self.set_timer(at, Timer::HealthCheck, actions);
    }

    /// Handles the result of a health check. Requests that wait for a load lookup are placed again.
    pub(super) fn health_check_ended(
        &mut self,
        id: EndpointId,
        outcome: Outcome,
        report: &[f32],
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.endpoints.find(id) else {
            return;
        };
        self.endpoints[index].load.checked_at = Some(self.now);
        if matches!(outcome, Outcome::ConnectFailed | Outcome::Timeout) {
            self.record_failure(index, outcome);
        }
        self.record_load_report(index, report, actions);
        for request in self.requests_awaiting_first_attempt() {
            self.retry_placement(request, actions);
        }
    }

    fn record_load_report(
        &mut self,
        index: EndpointIndex,
        report: &[f32],
        actions: &mut Vec<Action>,
    ) {
        let Some(load) = self.report_value(report, ReportColumn::Load) else {
            return;
        };
        let active = self
            .report_value(report, ReportColumn::Active)
            .unwrap_or(0.0);
        let changed = self.endpoints[index]
            .load
            .record_report(load, active, self.now);
        self.update_fleet_load();
        if changed {
            self.migrate_from_overloaded(index, load, actions);
        }
    }

    fn report_value(&self, report: &[f32], column: ReportColumn) -> Option<f32> {
        let columns = &self.settings.report_columns;
        let position = columns.iter().position(|&known| known == column)?;
        report.get(position).copied()
    }

    /// Computes the mean load and the work of a connection from the last reports.
    fn update_fleet_load(&mut self) {
        let mut work = 0.0;
        let mut capacity = f32::MIN_POSITIVE;
        let mut warm_work = 0.0;
        let mut warm_active = 0.0;
        for &index in self.endpoints.ready() {
            let endpoint = &self.endpoints[index];
            let report = &endpoint.load;
            if report.reported_at.is_none() {
                continue;
            }
            let warm_fraction = self.warm_fraction(endpoint);
            let current_capacity = endpoint.size * warm_fraction;
            work += report.load * current_capacity;
            capacity += current_capacity;
            // New connections do not cause their full work yet, so that a warming endpoint would
            // lower the estimate.
            let is_warm = f32::from(warm_fraction >= 1.0);
            warm_work += is_warm * report.load * current_capacity;
            warm_active += is_warm * report.active;
        }
        self.fleet_load.mean_load = work / capacity;
        if warm_active > 0.0 {
            self.fleet_load.work_per_connection = warm_work / warm_active.max(1.0);
        }
    }
}
