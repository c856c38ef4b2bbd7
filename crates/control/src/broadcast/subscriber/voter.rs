//! State of one voter at a subscriber: open requests, its clock, and the messages that it supports.

use crate::Micros;
use std::collections::VecDeque;

/// A voter whose last sign of supporting deliveries is older than this may have been downgraded to
/// an older build.
const DELIVERY_SUPPORT_TIMEOUT: Micros = 3_000_000;
/// Maximum age of a clock sample for submissions. With an older one, the allowance for clock drift
/// would overstate the age of the submission too much.
const MAX_CLOCK_SAMPLE_AGE: Micros = 10_000_000;
/// Maximum number of requests per voter whose responses are still accepted.
const MAX_OPEN_REQUESTS: usize = 16;

/// A request that the voter may still respond to.
struct OpenRequest {
    sequence: u64,
    sent_at: Micros,
}

/// Time of the voter's clock, and when this relay received it.
#[derive(Clone, Copy)]
pub(super) struct ClockSample {
    pub voter_time: Micros,
    pub received_at: Micros,
}

/// State of one voter. By default nothing is known of it.
#[derive(Default)]
pub(super) struct VoterState {
    open_requests: VecDeque<OpenRequest>,
    clock: Option<ClockSample>,
    /// When the voter last showed that it supports deliveries.
    deliveries_supported_at: Option<Micros>,
}

impl VoterState {
    /// Whether deliveries, polls and submissions may be exchanged with this voter.
    pub(super) fn supports_deliveries(&self, now: Micros) -> bool {
        self.deliveries_supported_at
            .is_some_and(|at| now < at + DELIVERY_SUPPORT_TIMEOUT)
    }

    /// Records whether the voter's message showed that it supports deliveries.
    pub(super) fn set_supports_deliveries(&mut self, now: Micros, is_supported: bool) {
        self.deliveries_supported_at = is_supported.then_some(now);
    }

    pub(super) fn set_clock(&mut self, now: Micros, voter_time: Micros) {
        self.clock = Some(ClockSample {
            voter_time,
            received_at: now,
        });
    }

    /// The latest clock sample, of any age.
    pub(super) fn clock(&self) -> Option<ClockSample> {
        self.clock
    }

    /// The latest clock sample, if it is recent enough for a submission.
    pub(super) fn recent_clock(&self, now: Micros) -> Option<ClockSample> {
        self.clock
            .filter(|sample| now < sample.received_at + MAX_CLOCK_SAMPLE_AGE)
    }

    pub(super) fn record_request(&mut self, now: Micros, sequence: u64) {
        if self.open_requests.len() == MAX_OPEN_REQUESTS {
            self.open_requests.pop_front();
        }
        self.open_requests.push_back(OpenRequest {
            sequence,
            sent_at: now,
        });
    }

    /// When the request with this sequence number was sent; `None` if it is not open.
    pub(super) fn requested_at(&self, sequence: u64) -> Option<Micros> {
        self.open_requests
            .iter()
            .find(|request| request.sequence == sequence)
            .map(|request| request.sent_at)
    }
}
