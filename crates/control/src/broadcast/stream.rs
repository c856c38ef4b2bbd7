//! Streams of deliveries: which versions a voter sent to one relay, and which of them the relay has acknowledged.
//!
//! The deliveries of a stream have sequence numbers, and each poll of the relay acknowledges those that arrived. The
//! voter writes changes from the version that it sent last, or from the acknowledged one if that was lost. A relay that
//! lacks the version that changes start from rejects them and subscribes again.
//!
//! Guards against: a slow relay (only the newest version of each job is ever sent, and nothing is queued), lost
//! deliveries (they are sent again), and acknowledgements of an earlier stream.

use crate::jobs::assignment::FencingToken;
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

#[cfg(test)]
mod tests;

/// Sequence numbers below the highest that an acknowledgement covers: the bits of its bitmap.
const BITMAP_BITS: u64 = u32::BITS as u64;
/// Maximum number of unacknowledged deliveries: those that one acknowledgement can cover.
const MAX_IN_FLIGHT: usize = 33;
/// A delivery that is not acknowledged after this time is lost.
const ACKNOWLEDGEMENT_TIMEOUT: Micros = 1_000_000;

/// Which update of a job someone has. Ordered by token, then by version: both only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeldVersion {
    /// Fencing token of the owner that published it; 0 if there is none.
    pub token: FencingToken,
    /// Sequence number or table version under that token.
    pub version: u64,
}

impl HeldVersion {
    /// The version with this number under this token.
    pub fn new(token: FencingToken, version: u64) -> HeldVersion {
        HeldVersion { token, version }
    }
}

/// The relay's acknowledgement: which deliveries of a stream it has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReceivedSequences {
    /// Sequence number of the subscription that started the stream.
    pub stream: u64,
    /// See [`super::message::Poll::highest`].
    pub highest: u64,
    /// See [`super::message::Poll::received_bitmap`].
    pub bitmap: u32,
}

impl ReceivedSequences {
    /// Records a received delivery. One of another stream, or without a sequence number (0), changes nothing.
    pub fn add(&mut self, stream: u64, sequence: u64) {
        if stream != self.stream || sequence == 0 {
            return;
        }
        if sequence > self.highest {
            self.advance(sequence);
        } else if sequence < self.highest {
            let distance = self.highest - sequence;
            if distance <= BITMAP_BITS {
                self.bitmap |= 1 << (distance - 1);
            }
        }
    }

    /// Makes a sequence number the highest. Bit 0 of the bitmap stands for the one right below the highest.
    fn advance(&mut self, sequence: u64) {
        let distance = sequence - self.highest;
        let shifted = if distance < BITMAP_BITS {
            self.bitmap << distance
        } else {
            0
        };
        let has_former_highest = self.highest > 0 && distance <= BITMAP_BITS;
        let former_highest_bit = if has_former_highest {
            1 << (distance - 1)
        } else {
            0
        };
        self.highest = sequence;
        self.bitmap = shifted | former_highest_bit;
    }

    fn has(&self, sequence: u64) -> bool {
        if sequence >= self.highest {
            return sequence == self.highest;
        }
        let distance = self.highest - sequence;
        distance <= BITMAP_BITS && self.bitmap & 1 << (distance - 1) != 0
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct JobState {
    /// Newest version that the relay has acknowledged.
    acknowledged: HeldVersion,
    /// Newest version that was sent and is not known to be lost.
    sent: HeldVersion,
    sent_at: Micros,
}

struct SentDelivery {
    sequence: u64,
    sent_at: Micros,
    versions: Vec<(String, HeldVersion)>,
}

/// The voter's state of a stream.
pub struct Stream {
    /// Sequence number of the subscription that started the stream; identifies it.
    pub id: u64,
    last_sequence: u64,
    jobs: BTreeMap<String, JobState>,
    in_flight: VecDeque<SentDelivery>,
}

impl Stream {
    /// A stream for a relay that subscribed with this sequence number and has these versions.
    pub fn new(id: u64, held: impl IntoIterator<Item = (String, HeldVersion)>) -> Stream {
        let job_state = |(job, version)| {
            let state = JobState {
                acknowledged: version,
                sent: version,
                sent_at: 0,
            };
            (job, state)
        };
        Stream {
            id,
            last_sequence: 0,
            jobs: held.into_iter().map(job_state).collect(),
            in_flight: VecDeque::new(),
        }
    }

    /// Handles an acknowledgement. A delivery is lost if a later one arrived without it, or after a timeout; one that
    /// arrives late after all still counts until the timeout.
    pub fn acknowledged(&mut self, now: Micros, received: ReceivedSequences) {
        if received.stream != self.id {
            return;
        }
        for delivery in std::mem::take(&mut self.in_flight) {
            let is_timed_out = now >= delivery.sent_at + ACKNOWLEDGEMENT_TIMEOUT;
            if received.has(delivery.sequence) {
                self.confirm(&delivery);
                continue;
            }
            if is_timed_out || delivery.sequence < received.highest {
                self.revert(&delivery);
            }
            if !is_timed_out {
                self.in_flight.push_back(delivery);
            }
        }
    }

    fn confirm(&mut self, delivery: &SentDelivery) {
        for (job, version) in &delivery.versions {
            let state = self.jobs.entry(job.clone()).or_default();
            state.acknowledged = state.acknowledged.max(*version);
            state.sent = state.sent.max(state.acknowledged);
        }
    }

    /// Treats the versions of a lost delivery as not sent.
    fn revert(&mut self, delivery: &SentDelivery) {
        for (job, version) in &delivery.versions {
            let state = self.jobs.entry(job.clone()).or_default();
            if state.sent == *version {
                state.sent = state.acknowledged;
            }
        }
    }

    /// Whether the newest version of a job has not been sent.
    pub fn lacks(&self, job: &str, newest: HeldVersion) -> bool {
        self.sent(job) < newest
    }

    /// The version of a job that was sent last and is not known to be lost.
    pub fn sent(&self, job: &str) -> HeldVersion {
        self.jobs
            .get(job)
            .map_or(HeldVersion::default(), |state| state.sent)
    }

    /// When a version of a job was sent last; 0 if never.
    pub fn sent_at(&self, job: &str) -> Micros {
        self.jobs.get(job).map_or(0, |state| state.sent_at)
    }

    /// Records a delivery with these versions and returns its sequence number. If too many deliveries are in flight, the
    /// oldest counts as lost.
    pub fn send(&mut self, now: Micros, versions: Vec<(String, HeldVersion)>) -> u64 {
        self.last_sequence += 1;
        for (job, version) in &versions {
            let state = self.jobs.entry(job.clone()).or_default();
            state.sent = *version;
            state.sent_at = now;
        }
        if self.in_flight.len() == MAX_IN_FLIGHT {
            if let Some(oldest) = self.in_flight.pop_front() {
                self.revert(&oldest);
            }
        }
        self.in_flight.push_back(SentDelivery {
            sequence: self.last_sequence,
            sent_at: now,
            versions,
        });
        self.last_sequence
    }
}
