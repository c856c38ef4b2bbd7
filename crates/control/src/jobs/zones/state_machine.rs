//! State machine of one zone: from healthy to suspect to ejected, and back to healthy in steps.

use super::evidence::Evidence;
use super::{ZoneState, ZoneStatus, SECOND};
use crate::Micros;

/// A zone is ejected after it was continuously observed as bad for this time. Including detection
/// and rollout, this is within two seconds of the failure.
const SUSPECT_DURATION: Micros = SECOND;
/// Minimum duration of an ejection, which doubles with each relapse.
const MIN_EJECTION: Micros = 10 * SECOND;
/// Upper limit of the minimum duration of an ejection.
const MAX_MIN_EJECTION: Micros = 320 * SECOND;
/// Traffic shares of the steps of a return, in percent.
const RETURN_SHARES: [u8; 6] = [1, 5, 10, 25, 50, 100];
/// Minimum duration of a step. The step after a relapse lasts longer: its duration is doubled once
/// for each relapse so far.
const STEP_DURATION: Micros = 5 * SECOND;
/// Maximum number of times that a duration is doubled.
const MAX_DOUBLINGS: u32 = 5;
/// A returning zone relapses if its failure rate exceeds that of the others by more than this.
const FAILURE_RATE_MARGIN: f64 = 0.05;
/// Relapses are forgotten after a zone has been healthy for this time.
const RELAPSE_MEMORY: Micros = 600 * SECOND;

/// Conditions on which a zone's next state depends.
pub(super) struct TransitionInput<'a> {
    pub now: Micros,
    pub evidence: &'a Evidence,
    /// Whether most zones fail, so that the fault is not specific to this zone.
    pub is_common_fault: bool,
    /// Mean failure rate of the other zones, from 0 to 1.
    pub failure_rate_elsewhere: f64,
    /// Name of another zone that was ejected and has not returned completely.
    pub other_ejected_zone: Option<String>,
    /// Share of its traffic that this zone must keep, in percent, because the others have no
    /// capacity for it.
    pub required_share: u8,
    /// Whether the other zones are too heavily loaded for this zone to return further.
    pub is_peak_elsewhere: bool,
}

/// State of one zone.
#[derive(Clone, Debug, Default)]
pub(super) struct Zone {
    state: ZoneState,
    /// Share of its traffic, in percent.
    share: u8,
    /// Start of the current state. After a relapse this is in the future, which makes the step last
    /// longer.
    since: Micros,
    /// Index of the current step of a return.
    step: usize,
    relapses: u32,
    reason: String,
}

impl Zone {
    pub(super) fn healthy() -> Zone {
        Zone {
            share: 100,
            reason: "it is healthy".into(),
            ..Zone::default()
        }
    }

    /// Creates a zone with this status, whose duration starts now. A suspect zone starts as
    /// healthy.
    pub(super) fn resume(now: Micros, status: &ZoneStatus) -> Zone {
        let state = match status.state {
            ZoneState::Suspect => ZoneState::Healthy,
            state => state,
        };
        Zone {
            state,
            share: status.share,
            since: now,
            step: step_of_share(status.share),
            relapses: 0,
            reason: status.reason.clone(),
        }
    }

    pub(super) fn status(&self) -> ZoneStatus {
        ZoneStatus {
            state: self.state,
            share: self.share,
            reason: self.reason.clone(),
        }
    }

    pub(super) fn share(&self) -> u8 {
        self.share
    }

    pub(super) fn is_manual(&self) -> bool {
        self.state == ZoneState::Manual
    }

    /// Whether the zone was ejected and has not returned completely.
    pub(super) fn is_ejected(&self) -> bool {
        let is_ejected = matches!(self.state, ZoneState::Ejected | ZoneState::Returning);
        is_ejected && self.share < 100
    }

    /// Sets the share to a value of operators, in percent.
    pub(super) fn set_manual(&mut self, now: Micros, share: u8) {
        let reason = "operators set its share".into();
        self.enter(now, ZoneState::Manual, share.min(100), reason);
    }

    /// Leaves the manual state. The zone returns in steps from its current share.
    pub(super) fn clear_manual(&mut self, now: Micros) {
        let reason = "operators cleared its share: it returns in steps".into();
        self.enter(now, ZoneState::Ejected, self.share, reason);
    }

    /// Makes the transition that the input requires, if any.
    pub(super) fn tick(&mut self, input: TransitionInput<'_>) {
        let elapsed = input.now.saturating_sub(self.since);
        match self.state {
            ZoneState::Manual => {}
            ZoneState::Healthy => self.tick_healthy(input, elapsed),
            ZoneState::Suspect => self.tick_suspect(input, elapsed),
            ZoneState::Ejected => self.tick_ejected(input, elapsed),
            ZoneState::Returning => self.tick_returning(input, elapsed),
        }
    }

    fn tick_healthy(&mut self, input: TransitionInput<'_>, elapsed: Micros) {
        if input.evidence.is_bad {
            let reason = input.evidence.description.clone();
            self.enter(input.now, ZoneState::Suspect, self.share, reason);
        } else if elapsed >= RELAPSE_MEMORY {
            self.relapses = 0;
        }
    }

    fn tick_suspect(&mut self, input: TransitionInput<'_>, elapsed: Micros) {
        let TransitionInput { now, evidence, .. } = input;
        let description = &evidence.description;
        if !evidence.is_bad {
            let reason = "it fails no longer".into();
            self.enter(now, ZoneState::Healthy, self.share, reason);
            return;
        }
        if elapsed < SUSPECT_DURATION {
            return;
        }
        if input.is_common_fault {
            self.reason =
                "most zones fail, so the fault is not in one zone: no zone is ejected".into();
        } else if let Some(other) = input.other_ejected_zone {
            self.reason =
                format!("{description}; zone {other} is ejected, and only one zone may be");
        } else if input.required_share >= 100 {
            self.reason = format!("{description}; the other zones have no capacity for its load");
        } else if input.required_share > 0 {
            let reason =
                format!("{description}; the other zones have capacity for only a part of its load");
            self.enter(now, ZoneState::Ejected, input.required_share, reason);
        } else {
            self.enter(now, ZoneState::Ejected, 0, description.clone());
        }
    }

    fn tick_ejected(&mut self, input: TransitionInput<'_>, elapsed: Micros) {
        let min_ejection = MIN_EJECTION << self.relapses.min(MAX_DOUBLINGS);
        if elapsed < min_ejection.min(MAX_MIN_EJECTION) {
            return;
        }
        if input.is_peak_elsewhere {
            self.reason = "the other zones are at peak load: its return is delayed".into();
            return;
        }
        // A zone that was ejected in part returns from its current share.
        self.step = step_of_share(self.share);
        let share = RETURN_SHARES[self.step].max(self.share);
        let reason = format!("it returns with {share}% of its traffic");
        self.enter(input.now, ZoneState::Returning, share, reason);
    }

    fn tick_returning(&mut self, input: TransitionInput<'_>, elapsed: Micros) {
        let max_failure_rate = input.failure_rate_elsewhere + FAILURE_RATE_MARGIN;
        let failure_rate = input.evidence.failure_rate;
        let is_worse = failure_rate.is_some_and(|rate| rate > max_failure_rate);
        let is_step_over = elapsed >= STEP_DURATION;
        if input.evidence.is_bad || (is_worse && elapsed >= SUSPECT_DURATION) {
            self.relapse(input.now);
        } else if is_step_over && input.is_peak_elsewhere {
            self.reason = "the other zones are at peak load: its return does not advance".into();
        } else if is_step_over && failure_rate.is_some() {
            self.advance(input.now);
        }
    }

    /// Goes back by one step, which then lasts longer, or from the first step to the ejected state.
    fn relapse(&mut self, now: Micros) {
        self.relapses += 1;
        if self.step == 0 {
            self.enter(
                now,
                ZoneState::Ejected,
                0,
                "it failed again at the first step of its return".into(),
            );
            return;
        }
        self.step -= 1;
        let share = RETURN_SHARES[self.step];
        let duration = STEP_DURATION << self.relapses.min(MAX_DOUBLINGS);
        let since = now + duration - STEP_DURATION;
        let reason =
            format!("it fails more often than the other zones: back to {share}% of its traffic");
        self.enter(since, ZoneState::Returning, share, reason);
    }

    /// Goes to the next step, or from the last one to the healthy state.
    fn advance(&mut self, now: Micros) {
        let completed_share = RETURN_SHARES[self.step];
        self.step += 1;
        match RETURN_SHARES.get(self.step) {
            Some(100) | None => self.enter(now, ZoneState::Healthy, 100, "it has returned".into()),
            Some(share) => {
                let reason = format!(
                    "it fails no more than the other zones at {completed_share}% of its traffic"
                );
                self.enter(now, ZoneState::Returning, *share, reason);
            }
        }
    }

    fn enter(&mut self, since: Micros, state: ZoneState, share: u8, reason: String) {
        self.state = state;
        self.share = share;
        self.since = since;
        self.reason = reason;
    }
}

/// Index of the highest step whose share does not exceed this one; that of the first step if there
/// is none.
fn step_of_share(share: u8) -> usize {
    RETURN_SHARES
        .iter()
        .rposition(|step_share| *step_share <= share)
        .unwrap_or(0)
}
