//! Tells the two notes of a backend apart: both come as `LOAD X`.
//!
//! Measured on a day with a jammed backend: besides the loads of the connections (microseconds of
//! work a second, whenever one changes), `LOAD` also carried how long messages take there
//! (milliseconds), once a second on one connection of each relay for as long as the jam lasted,
//! 502.3, 556.4, 526.0 ... within half a millisecond of the full second. Echoed lines show nothing
//! of it: they came back at once all the while. So the steady beat is what tells a delay from a load.

use crate::decision_service::ConnectionSample;
use crate::decisions::api::{EndpointId, Micros, RequestId, SECOND};
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// How far a beat may lie off the full second.
const OFF_BEAT: Micros = 10_000;
/// The longest delay that a backend tells, in milliseconds; most loads are greater. At 10 s, two loads
/// that happened to lie a second apart were once taken for a delay of 8.3 s.
const LONGEST_DELAY: f32 = 5_000.0;
/// A delay changes by no more than this factor from one beat to the next.
const STEP: f32 = 4.0;
/// Notes remembered for a backend: those of little more than a second.
const REMEMBERED: usize = 64;

struct Heard {
    at: Micros,
    on: RequestId,
    x: f32,
    delay: bool,
}

/// What was heard lately from each backend, by this relay.
#[derive(Default)]
pub struct SampleClassifier {
    heard: Mutex<BTreeMap<EndpointId, Vec<Heard>>>,
}

impl SampleClassifier {
    /// Reads `LOAD x`, heard at `now` on that connection.
    pub fn classify(
        &self,
        server: EndpointId,
        on: RequestId,
        now: Micros,
        x: f32,
    ) -> ConnectionSample {
        if x > LONGEST_DELAY {
            return ConnectionSample::Load(x);
        }
        let mut all = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        all.retain(|_, heard| {
            heard.retain(|h| now.saturating_sub(h.at) <= SECOND + OFF_BEAT);
            !heard.is_empty()
        });
        let heard = all.entry(server).or_default();
        // The beat may pass to another connection, but only once it is known to be one.
        let delay = heard.iter().any(|h| {
            now.saturating_sub(h.at) + OFF_BEAT >= SECOND
                && (h.on == on || h.delay)
                && x <= h.x * STEP
                && h.x <= x * STEP
        });
        if heard.len() < REMEMBERED {
            heard.push(Heard {
                at: now,
                on,
                x,
                delay,
            });
        }
        if delay {
            ConnectionSample::Delay((x * 1000.0) as Micros)
        } else {
            ConnectionSample::Load(x)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Before the two were told apart the decisions never heard of a jam: half the connections of
    /// such a day were reset, again and again.
    #[test]
    fn a_steady_beat_is_a_delay_and_all_else_is_a_load() {
        let ms = |x: u64| x * 1_000;
        // (when in ms, on which connection, what was heard, whether it is a delay)
        let cases: &[&[(u64, u32, f32, bool)]] = &[
            &[
                (0, 1, 502.3, false),
                (1_000, 1, 556.4, true),
                (2_001, 1, 526.0, true),
            ],
            // The beat passes to another connection of the backend.
            &[
                (0, 1, 502.3, false),
                (1_000, 1, 556.4, true),
                (2_000, 2, 395.1, true),
            ],
            // Two loads that are a second apart, on different connections.
            &[(0, 1, 502.3, false), (1_000, 2, 556.4, false)],
            // Off the beat, too much apart, or too large for a delay.
            &[(0, 1, 502.3, false), (930, 1, 556.4, false)],
            &[(0, 1, 502.3, false), (1_000, 1, 4_000.0, false)],
            &[(0, 1, 8_262.4, false), (1_000, 1, 8_262.4, false)],
            // A load in between does not break the beat.
            &[
                (0, 1, 502.3, false),
                (400, 1, 3_125.2, false),
                (1_000, 1, 556.4, true),
            ],
        ];
        for case in cases {
            let notes = SampleClassifier::default();
            for &(at, on, x, delay) in *case {
                let note = notes.classify(EndpointId(9), RequestId(on), ms(50_000 + at), x);
                let expected = if delay {
                    ConnectionSample::Delay((x * 1000.0) as Micros)
                } else {
                    ConnectionSample::Load(x)
                };
                assert_eq!(note, expected, "{case:?} at {at}");
            }
        }
    }
}
