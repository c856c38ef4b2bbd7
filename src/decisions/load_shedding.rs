//! Load shedding: the fraction of the clients that is admitted while the endpoints cannot serve all
//! (AIMD: additive increase, multiplicative decrease).
//!
//! Inputs: messages that missed their latency objective, and the mean load. Output: whether a
//! request is shed. Clients are shed by their hashes, so all balancers reject the same ones and the
//! others are served well. Without shedding, overload would sustain itself: it ends only when the
//! load becomes less.

use super::api::{Micros, Request, SECOND};
use super::parameters::Parameters;
use super::ring::{client_key, fraction};
use super::Balancer;

/// Salt of the hash by which clients are shed.
const SHEDDING_SALT: u64 = 1;
/// Interval of updates.
const UPDATE_INTERVAL: Micros = SECOND;
/// Upper bound of the time between two updates, in seconds.
const MAX_ELAPSED_SECONDS: f32 = 30.0;

/// State of the load shedding.
pub(super) struct LoadShedding {
    /// Fraction of the clients that is admitted.
    admitted_fraction: f32,
    /// Messages since the last update that missed their latency objective.
    late_messages: u32,
    /// Late messages per update and endpoint in use, averaged over the updates.
    late_messages_per_endpoint: f32,
    updated_at: Micros,
}

impl Default for LoadShedding {
    fn default() -> Self {
        LoadShedding {
            admitted_fraction: 1.0,
            late_messages: 0,
            late_messages_per_endpoint: 0.0,
            updated_at: 0,
        }
    }
}

impl LoadShedding {
    /// Counts a message that missed its latency objective.
    pub(super) fn record_late_message(&mut self) {
        self.late_messages += 1;
    }

    /// Late messages per update and endpoint in use, averaged over the updates.
    pub(super) fn late_messages_per_endpoint(&self) -> f32 {
        self.late_messages_per_endpoint
    }

    /// Whether a request is rejected to shed load.
    pub(super) fn is_shed(&self, request: &Request) -> bool {
        self.admitted_fraction < 1.0
            && fraction(client_key(request), SHEDDING_SALT) >= self.admitted_fraction
    }

    fn update(
        &mut self,
        now: Micros,
        endpoints_in_use: usize,
        capacity_may_be_short: bool,
        parameters: &Parameters,
    ) {
        let elapsed = (now - self.updated_at) as f32 / SECOND as f32;
        let elapsed_seconds = elapsed.min(MAX_ELAPSED_SECONDS);
        // Averaged, so that one short pause of many endpoints does not look like overload.
        let newest = self.late_messages as f32 / endpoints_in_use as f32;
        self.late_messages_per_endpoint = (self.late_messages_per_endpoint + newest) / 2.0;
        self.late_messages = 0;
        self.updated_at = now;
        let threshold = parameters.shedding_late_messages;
        if self.late_messages_per_endpoint > threshold && capacity_may_be_short {
            let decrease = parameters.shedding_decrease * self.late_messages_per_endpoint.min(1.0);
            self.admitted_fraction =
                (self.admitted_fraction * (1.0 - decrease)).max(parameters.min_admitted_fraction);
        } else if self.late_messages_per_endpoint < threshold / 2.0 {
            let increase = parameters.shedding_increase * elapsed_seconds;
            self.admitted_fraction = (self.admitted_fraction + increase).min(1.0);
        }
    }
}

impl Balancer {
    /// Updates the admitted fraction if an update is due.
    pub(super) fn update_load_shedding(&mut self) {
        if self.now < self.load_shedding.updated_at + UPDATE_INTERVAL {
            return;
        }
        let in_use = self.endpoints.iter().filter(|e| e.in_flight > 0).count();
        // Late messages of endpoints that report spare capacity are no reason to shed load.
        let load_is_unknown = self.fleet_load.work_per_connection == 0.0;
        let is_loaded = self.fleet_load.mean_load > self.parameters.migration_max_mean_load;
        self.load_shedding.update(
            self.now,
            in_use.max(1),
            load_is_unknown || is_loaded,
            &self.parameters,
        );
    }
}
