//! Connection rate: how often attempts connect, at all endpoints together.
//!
//! Input: the times of the connections. Output: their mean rate over the last period, by a sliding
//! window of two counts. The period is long, also for a balancer that has just started: when many
//! clients connect at once, the rate of these moments is no measure of what endpoints can carry.

use super::api::{Micros, SECOND};

/// Time over which the rate is averaged.
const PERIOD: Micros = 30 * SECOND;

/// Connections within the present period and the one before.
#[derive(Clone, Copy, Default)]
pub(super) struct ConnectionRate {
    period_started_at: Micros,
    in_period: u32,
    in_previous_period: u32,
}

impl ConnectionRate {
    /// Counts a connection.
    pub(super) fn record(&mut self, now: Micros) {
        *self = self.advanced_to(now);
        self.in_period += 1;
    }

    /// Connections per microsecond. The previous period counts with the part of it that lies less
    /// than a period ago.
    pub(super) fn per_microsecond(&self, now: Micros) -> f32 {
        let counts = self.advanced_to(now);
        let elapsed = now.saturating_sub(counts.period_started_at) as f32 / PERIOD as f32;
        let previous = counts.in_previous_period as f32 * (1.0 - elapsed);
        (previous + counts.in_period as f32) / PERIOD as f32
    }

    /// The counts at a later time.
    fn advanced_to(&self, now: Micros) -> ConnectionRate {
        let periods = now.saturating_sub(self.period_started_at) / PERIOD;
        let (in_period, in_previous_period) = match periods {
            0 => (self.in_period, self.in_previous_period),
            1 => (0, self.in_period),
            _ => (0, 0),
        };
        ConnectionRate {
            period_started_at: self.period_started_at + periods * PERIOD,
            in_period,
            in_previous_period,
        }
    }
}
