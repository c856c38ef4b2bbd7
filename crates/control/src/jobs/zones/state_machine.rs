//! State machine of one zone: from healthy over suspect to ejected, and back by steps.

use super::evidence::Evidence;
use super::{ZoneState, ZoneStatus, SECOND};
use crate::Micros;

/// A zone is ejected after it was observed as bad for this time without a break. With detection before and rollout after,
/// that is within two seconds of a zone's failure.
const SUSPECT_DURATION: Micros = SECOND;
/// Minimum duration of an ejection. It doubles with each relapse.
const MIN_EJECTION: Micros = 10 * SECOND;
/// Upper limit of that minimum.
const MAX_MIN_EJECTION: Micros = 320 * SECOND;
/// Shares of the steps of a return, in percent.
const RETURN_SHARES: [u8; 6] = [1, 5, 10, 25, 50, 100];
/// Minimum duration of a step. After a relapse it is doubled once per relapse.
const STEP_DURATION: Micros = 5 * SECOND;
/// Maximum number of times that a duration is doubled.
const MAX_DOUBLINGS: u32 = 5;
/// A returning zone relapses if its failure rate exceeds that of the others by more than this.
const FAILURE_RATE_MARGIN: f64 = 0.05;
/// Relapses are forgotten after a zone has been healthy for this time.
const RELAPSE_MEMORY: Micros = 600 * SECOND;

/// What a zone's next state depends on.
pub(super) struct Situation<'a> {
    pub now: Micros,
    pub evidence: &'a Evidence,
    /// Whether most zones fail, so that the fault is not this zone's.
    pub is_common_fault: bool,
    /// Mean failure rate of the other zones, from 0 to 1.
    pub failure_rate_elsewhere: f64,
    /// Another zone that is ejected or has not returned completely.
    pub other_ejected_zone: Option<String>,
    /// Share that this zone must keep because the others have no capacity for it, in percent.
    pub required_share: u8,
    /// Whether the other zones are at their peak load.
    pub is_peak_elsewhere: bool,
}

/// State of one zone.
#[derive(Clone, Debug, Default)]
pub(super) struct Zone {
    state: ZoneState,
    /// Share of its traffic, in percent.
    share: u8,
    /// Start of the state's duration. After a relapse it is in the future, which makes the step last longer.
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
            reason: "it takes its part".into(),
            ..Zone::default()
        }
    }

    /// A zone with this status, whose duration starts now. A suspect one starts as healthy.
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

    /// Whether the zone is ejected, or has not returned completely.
    pub(super) fn is_ejected(&self) -> bool {
        let is_ejected = matches!(self.state, ZoneState::Ejected | ZoneState::Returning);
        is_ejected && self.share < 100
    }

    /// Sets the share that operators want, in percent.
    pub(super) fn set_manual(&mut self, now: Micros, share: u8) {
        let reason = "operators hold it".into();
        self.enter(now, ZoneState::Manual, share.min(100), reason);
    }

    /// Leaves the manual state: the zone returns by steps from its share.
    pub(super) fn clear_manual(&mut self, now: Micros) {
        let reason = "operators let it go: it returns by steps".into();
        self.enter(now, ZoneState::Ejected, self.share, reason);
    }

    /// Makes the transition that the situation requires, if any.
    pub(super) fn tick(&mut self, situation: Situation<'_>) {
        let elapsed = situation.now.saturating_sub(self.since);
        match self.state {
            ZoneState::Manual => {}
            ZoneState::Healthy => self.tick_healthy(situation, elapsed),
            ZoneState::Suspect => self.tick_suspect(situation, elapsed),
            ZoneState::Ejected => self.tick_ejected(situation, elapsed),
            ZoneState::Returning => self.tick_returning(situation, elapsed),
        }
    }

    fn tick_healthy(&mut self, situation: Situation<'_>, elapsed: Micros) {
        if situation.evidence.is_bad {
            let reason = situation.evidence.description.clone();
            self.enter(situation.now, ZoneState::Suspect, self.share, reason);
        } else if elapsed >= RELAPSE_MEMORY {
            self.relapses = 0;
        }
    }

    fn tick_suspect(&mut self, situation: Situation<'_>, elapsed: Micros) {
        let Situation { now, evidence, .. } = situation;
        let description = &evidence.description;
        if !evidence.is_bad {
            let reason = "it was suspect for a moment".into();
            self.enter(now, ZoneState::Healthy, self.share, reason);
            return;
        }
        if elapsed < SUSPECT_DURATION {
            return;
        }
        if situation.is_common_fault {
            self.reason =
                "most zones fail alike: that is no zone's fault, and nobody leaves".into();
        } else if let Some(other) = situation.other_ejected_zone {
            self.reason =
                format!("{description}; the fleet is away from {other}: one zone at a time");
        } else if situation.required_share >= 100 {
            self.reason = format!("{description}; the others have no room for what it bears");
        } else if situation.required_share > 0 {
            let reason = format!("{description}; the others have room for a part only");
            self.enter(now, ZoneState::Ejected, situation.required_share, reason);
        } else {
            self.enter(now, ZoneState::Ejected, 0, description.clone());
        }
    }

    fn tick_ejected(&mut self, situation: Situation<'_>, elapsed: Micros) {
        let min_ejection = MIN_EJECTION << self.relapses.min(MAX_DOUBLINGS);
        if elapsed < min_ejection.min(MAX_MIN_EJECTION) {
            return;
        }
        if situation.is_peak_elsewhere {
            self.reason = "the others are at their peak: it waits".into();
            return;
        }
        // A zone that was ejected in part continues from its share.
        self.step = step_of_share(self.share);
        let share = RETURN_SHARES[self.step].max(self.share);
        let reason = format!("tried with {share} in a hundred");
        self.enter(situation.now, ZoneState::Returning, share, reason);
    }

    fn tick_returning(&mut self, situation: Situation<'_>, elapsed: Micros) {
        let max_failure_rate = situation.failure_rate_elsewhere + FAILURE_RATE_MARGIN;
        let failure_rate = situation.evidence.failure_rate;
        let is_worse = failure_rate.is_some_and(|rate| rate > max_failure_rate);
        let is_step_over = elapsed >= STEP_DURATION;
        if situation.evidence.is_bad || (is_worse && elapsed >= SUSPECT_DURATION) {
            self.relapse(situation.now);
        } else if is_step_over && situation.is_peak_elsewhere {
            self.reason = "the others are at their peak: no further step".into();
        } else if is_step_over && failure_rate.is_some() {
            self.advance(situation.now);
        }
    }

    /// Goes back one step for a longer time, or to the ejected state from the first step.
    fn relapse(&mut self, now: Micros) {
        self.relapses += 1;
        if self.step == 0 {
            self.enter(now, ZoneState::Ejected, 0, "the trial failed".into());
            return;
        }
        self.step -= 1;
        let share = RETURN_SHARES[self.step];
        let duration = STEP_DURATION << self.relapses.min(MAX_DOUBLINGS);
        let since = now + duration - STEP_DURATION;
        let reason = format!("it fails more than the others: back to {share} in a hundred");
        self.enter(since, ZoneState::Returning, share, reason);
    }

    /// Goes to the next step, or to the healthy state after the last.
    fn advance(&mut self, now: Micros) {
        let completed_share = RETURN_SHARES[self.step];
        self.step += 1;
        match RETURN_SHARES.get(self.step) {
            Some(100) | None => self.enter(now, ZoneState::Healthy, 100, "it is back".into()),
            Some(share) => {
                let reason = format!("as good as the others at {completed_share} in a hundred");
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

/// Index of the highest step whose share is not above this one; the first if there is none.
fn step_of_share(share: u8) -> usize {
    RETURN_SHARES
        .iter()
        .rposition(|step_share| *step_share <= share)
        .unwrap_or(0)
}
