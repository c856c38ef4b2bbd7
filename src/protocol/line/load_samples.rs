//! Classifies the load samples of a backend: `LOAD X` carries either the load of a connection or
//! the backend's message delay, and nothing in the line says which.
//!
//! Measured on a day with a congested backend: `LOAD` carried the loads of the connections
//! (microseconds of work per second, sent whenever one changes), and also the time that messages
//! take at the backend (milliseconds), once a second on one connection of each relay for as long as
//! the congestion lasted: 502.3, 556.4, 526.0 ..., within half a millisecond of the full second.
//! Echoed lines do not show this delay: they came back at once all the while. So only the period of
//! one second tells a delay from a load.

use crate::decision_service::ConnectionSample;
use crate::decisions::api::{EndpointId, Micros, RequestId, SECOND};
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// The largest deviation of a delay's period from one second.
const PERIOD_TOLERANCE: Micros = 10_000;
/// The longest delay that a backend reports, in milliseconds; most loads are greater. With 10 s,
/// two loads that happened to be one second apart were classified as a delay of 8.3 s.
const MAX_DELAY_MS: f32 = 5_000.0;
/// The largest ratio of two successive delays.
const MAX_DELAY_RATIO: f32 = 4.0;
/// The most samples kept for a backend; they cover little more than a second.
const MAX_SAMPLES: usize = 64;

struct Sample {
    received_at: Micros,
    connection: RequestId,
    value: f32,
    is_delay: bool,
}

/// Classifies load samples by those that this relay has recently received from the same backend.
#[derive(Default)]
pub struct SampleClassifier {
    recent: Mutex<BTreeMap<EndpointId, Vec<Sample>>>,
}

impl SampleClassifier {
    /// Classifies `LOAD value`, received from `endpoint` at `now` on this connection.
    pub fn classify(
        &self,
        endpoint: EndpointId,
        connection: RequestId,
        now: Micros,
        value: f32,
    ) -> ConnectionSample {
        if value > MAX_DELAY_MS {
            return ConnectionSample::Load(value);
        }
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.retain(|_, samples| {
            samples.retain(|s| now.saturating_sub(s.received_at) <= SECOND + PERIOD_TOLERANCE);
            !samples.is_empty()
        });
        let samples = recent.entry(endpoint).or_default();
        // The delays may continue on another connection, but only once one was recognized as a
        // delay.
        let is_delay = samples.iter().any(|s| {
            now.saturating_sub(s.received_at) + PERIOD_TOLERANCE >= SECOND
                && (s.connection == connection || s.is_delay)
                && value <= s.value * MAX_DELAY_RATIO
                && s.value <= value * MAX_DELAY_RATIO
        });
        if samples.len() < MAX_SAMPLES {
            samples.push(Sample {
                received_at: now,
                connection,
                value,
                is_delay,
            });
        }
        if is_delay {
            ConnectionSample::Delay((value * 1000.0) as Micros)
        } else {
            ConnectionSample::Load(value)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against delays that are recorded as loads: the decisions then never learned of a
    /// congested backend, and half the connections of such a day were reset, again and again.
    #[test]
    fn samples_with_a_period_of_one_second_are_delays_and_all_others_are_loads() {
        let ms = |x: u64| x * 1_000;
        // (time in ms, connection, value, whether it is a delay)
        let cases: &[&[(u64, u32, f32, bool)]] = &[
            &[
                (0, 1, 502.3, false),
                (1_000, 1, 556.4, true),
                (2_001, 1, 526.0, true),
            ],
            // The delays continue on another connection of the backend.
            &[
                (0, 1, 502.3, false),
                (1_000, 1, 556.4, true),
                (2_000, 2, 395.1, true),
            ],
            // Two loads that are one second apart, on different connections.
            &[(0, 1, 502.3, false), (1_000, 2, 556.4, false)],
            // Not one second apart, too different, or too large for a delay.
            &[(0, 1, 502.3, false), (930, 1, 556.4, false)],
            &[(0, 1, 502.3, false), (1_000, 1, 4_000.0, false)],
            &[(0, 1, 8_262.4, false), (1_000, 1, 8_262.4, false)],
            // A load in between does not interrupt the delays.
            &[
                (0, 1, 502.3, false),
                (400, 1, 3_125.2, false),
                (1_000, 1, 556.4, true),
            ],
        ];
        for case in cases {
            let classifier = SampleClassifier::default();
            for &(at, connection, value, is_delay) in *case {
                let now = ms(50_000 + at);
                let sample = classifier.classify(EndpointId(9), RequestId(connection), now, value);
                let expected = if is_delay {
                    ConnectionSample::Delay((value * 1000.0) as Micros)
                } else {
                    ConnectionSample::Load(value)
                };
                assert_eq!(sample, expected, "{case:?} at {at}");
            }
        }
    }
}
