//! Stream of deliveries: which versions a voter has sent to one relay, and which of them the relay
//! has acknowledged.
//!
//! The deliveries of a stream have sequence numbers, and each poll of the relay acknowledges those
//! that arrived. The voter sends changes relative to the version that it sent last, or relative to
//! the acknowledged one if the last was lost. A relay that lacks the version from which changes
//! start rejects them and subscribes again.
//!
//! Guards against: a slow relay (only the newest version of each job is sent, and nothing is
//! queued), lost deliveries (their updates are sent again), and acknowledgements of an earlier
//! stream (ignored).

use crate::jobs::assignment::FencingToken;
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

#[cfg(test)]
mod tests;

/// Number of sequence numbers below the highest that an acknowledgement covers: one per bit of its
/// bitmap.
const BITMAP_BITS: u64 = u32::BITS as u64;
/// Maximum number of unacknowledged deliveries, which is the number that one acknowledgement
/// covers.
const MAX_IN_FLIGHT: usize = 33;
/// A delivery that is not acknowledged after this time counts as lost.
const ACKNOWLEDGEMENT_TIMEOUT: Micros = 1_000_000;

/// Version of a job's update that a process has. Ordered by token, then by version, both of which
/// only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeldVersion {
    /// Fencing token of the owner that published it; 0 if there is none.
    pub token: FencingToken,
    /// Sequence number or table version under that token.
    pub version: u64,
}

impl HeldVersion {
    /// Creates the version with this number under this token.
    pub fn new(token: FencingToken, version: u64) -> HeldVersion {
        HeldVersion { token, version }
    }
}

/// Acknowledgement of a relay: the sequence numbers of a stream that it has received.
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
    /// Records a received delivery. A delivery of another stream, or without a sequence number (0),
    /// changes nothing.
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

    /// Makes a sequence number the highest. Bit 0 of the bitmap represents the one right below the
    /// highest.
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

/// Versions of one job in a stream.
#[derive(Clone, Copy, Debug, Default)]
struct JobVersions {
    /// Newest version that the relay has acknowledged.
    acknowledged: HeldVersion,
    /// Newest version that was sent and is not known to be lost.
    sent: HeldVersion,
    sent_at: Micros,
}

/// A delivery that was sent and is not acknowledged yet.
struct SentDelivery {
    sequence: u64,
    sent_at: Micros,
    versions: Vec<(String, HeldVersion)>,
}

/// State of a stream at the voter.
pub struct Stream {
    /// Sequence number of the subscription that started the stream, which identifies it.
    pub id: u64,
    last_sequence: u64,
    jobs: BTreeMap<String, JobVersions>,
    in_flight: VecDeque<SentDelivery>,
}

impl Stream {
    /// Creates the stream of a subscription with this sequence number, for a relay that has these
    /// versions.
    pub fn new(id: u64, held: impl IntoIterator<Item = (String, HeldVersion)>) -> Stream {
        let job_state = |(job, version)| {
            let state = JobVersions {
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

    /// Handles an acknowledgement. A delivery counts as lost if a later one arrived before it, or
    /// after a timeout. If it still arrives before the timeout, it counts as received.
    pub fn handle_acknowledgement(&mut self, now: Micros, received: ReceivedSequences) {
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

    /// Version of a job that was sent last and is not known to be lost.
    pub fn sent(&self, job: &str) -> HeldVersion {
        self.jobs
            .get(job)
            .map_or(HeldVersion::default(), |state| state.sent)
    }

    /// When a version of a job was sent last; 0 if never.
    pub fn sent_at(&self, job: &str) -> Micros {
        self.jobs.get(job).map_or(0, |state| state.sent_at)
    }

    /// Records a delivery with these versions and returns its sequence number. If too many
    /// deliveries are in flight, the oldest one counts as lost.
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
