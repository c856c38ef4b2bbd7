//! What one relay was sent and has received: a voter's account of it, and the relay's own.
//!
//! Deliveries of a stream bear sequence numbers. A relay says with each poll which of the last ones it has. The voter
//! writes changes from the version that it sent last, and from the one that was acknowledged where that is lost. A relay
//! that lacks what changes start from refuses them, and follows anew.
//!
//! Guards against: a slow relay (only the newest version of each job is ever sent; nothing queues here), a burst (a bucket of
//! bytes bounds what a relay is sent; what it needs most goes first, then what it has waited for longest), and
//! acknowledgements of a stream of before.

use crate::jobs::assignment::FencingToken;
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

#[cfg(test)]
mod tests;

/// Deliveries whose acknowledgement may still come.
const IN_FLIGHT: usize = 33;
/// A delivery that is not acknowledged by then is taken for lost.
const LOST_AFTER: Micros = 1_000_000;
/// Bytes that a bucket holds at most, and owes at most, in milliseconds of its rate.
const BURST_MS: u64 = 1_000;

/// Token and version of what somebody has of a job. Tokens of owners only grow, and versions under a token.
pub type HeldVersion = (FencingToken, u64);

/// The relay's side: which deliveries came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReceivedSequences {
    /// The number of the `Follow` with which the stream began.
    pub stream: u64,
    /// See [`super::message::Poll::highest`].
    pub highest: u64,
    /// See [`super::message::Poll::before`].
    pub before: u32,
}

impl ReceivedSequences {
    /// A delivery was taken.
    pub fn add(&mut self, stream: u64, sequence: u64) {
        if stream != self.stream || sequence == 0 {
            return;
        }
        if sequence > self.highest {
            let by = sequence - self.highest;
            let shifted = if by < 32 { self.before << by } else { 0 };
            let last = if self.highest > 0 && by <= 32 {
                1 << (by - 1)
            } else {
                0
            };
            (self.highest, self.before) = (sequence, shifted | last);
        } else if sequence < self.highest && self.highest - sequence <= 32 {
            self.before |= 1 << (self.highest - sequence - 1);
        }
    }

    fn has(&self, sequence: u64) -> bool {
        let behind = self.highest.wrapping_sub(sequence);
        behind == 0
            || (sequence < self.highest && behind <= 32 && self.before & 1 << (behind - 1) != 0)
    }
}

/// A bucket of bytes that fills at a rate. What must go out may leave it in debt.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// In thousandths of a byte.
    level: i64,
    at: Micros,
}

impl TokenBucket {
    /// One that begins to fill.
    pub fn new(now: Micros) -> TokenBucket {
        TokenBucket { level: 0, at: now }
    }

    /// Time has passed; whether there is anything in it.
    pub fn fill(&mut self, now: Micros, bytes_a_second: u64) -> bool {
        let most = (bytes_a_second * BURST_MS) as i64;
        let ms = (now.saturating_sub(self.at) / 1_000).min(2 * BURST_MS);
        if ms > 0 {
            self.level = (self.level + (ms * bytes_a_second) as i64).min(most);
            self.at += now.saturating_sub(self.at) / 1_000 * 1_000;
        }
        self.level > 0
    }

    /// So many bytes go out.
    pub fn take(&mut self, bytes: usize, bytes_a_second: u64) {
        let least = -((bytes_a_second * BURST_MS) as i64);
        self.level = (self.level - bytes as i64 * 1_000).max(least);
    }

    /// Whether there is anything in it.
    pub fn has_any(&self) -> bool {
        self.level > 0
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct JobState {
    acknowledged: HeldVersion,
    sent: HeldVersion,
    sent_at: Micros,
}

struct Sent {
    sequence: u64,
    at: Micros,
    of: Vec<(String, HeldVersion)>,
}

/// The voter's side.
pub struct Stream {
    /// The number of the `Follow` with which it began.
    pub number: u64,
    sequence: u64,
    jobs: BTreeMap<String, JobState>,
    in_flight: VecDeque<Sent>,
}

impl Stream {
    /// A relay follows, and has these.
    pub fn new(number: u64, has: impl IntoIterator<Item = (String, HeldVersion)>) -> Stream {
        let state = |(job, have)| {
            (
                job,
                JobState {
                    acknowledged: have,
                    sent: have,
                    sent_at: 0,
                },
            )
        };
        Stream {
            number,
            sequence: 0,
            jobs: has.into_iter().map(state).collect(),
            in_flight: VecDeque::new(),
        }
    }

    /// A poll says what was received.
    pub fn acknowledged(&mut self, now: Micros, received: ReceivedSequences) {
        if received.stream != self.number {
            return;
        }
        let lost = |sent: &Sent| sent.sequence < received.highest || now >= sent.at + LOST_AFTER;
        for sent in std::mem::take(&mut self.in_flight) {
            let has = received.has(sent.sequence);
            for (job, have) in &sent.of {
                let state = self.jobs.entry(job.clone()).or_default();
                if has {
                    state.acknowledged = state.acknowledged.max(*have);
                    state.sent = state.sent.max(state.acknowledged);
                } else if lost(&sent) && state.sent == *have {
                    // It is sent again, as if it never had been.
                    state.sent = state.acknowledged;
                }
            }
            if !has && now < sent.at + LOST_AFTER {
                self.in_flight.push_back(sent);
            }
        }
    }

    /// Whether a job's newest version has not been sent.
    pub fn lacks(&self, job: &str, newest: HeldVersion) -> bool {
        self.sent(job) < newest
    }

    /// What the relay was sent of a job, whether it came or not.
    pub fn sent(&self, job: &str) -> HeldVersion {
        self.jobs.get(job).map_or((0, 0), |state| state.sent)
    }

    /// When a job's last version was sent.
    pub fn sent_at(&self, job: &str) -> Micros {
        self.jobs.get(job).map_or(0, |state| state.sent_at)
    }

    /// A delivery goes out with these versions; its sequence number.
    pub fn send(&mut self, now: Micros, of: Vec<(String, HeldVersion)>) -> u64 {
        self.sequence += 1;
        for (job, have) in &of {
            let state = self.jobs.entry(job.clone()).or_default();
            (state.sent, state.sent_at) = (*have, now);
        }
        if self.in_flight.len() == IN_FLIGHT {
            if let Some(oldest) = self.in_flight.pop_front() {
                for (job, have) in oldest.of {
                    let state = self.jobs.entry(job).or_default();
                    if state.sent == have {
                        state.sent = state.acknowledged;
                    }
                }
            }
        }
        self.in_flight.push_back(Sent {
            sequence: self.sequence,
            at: now,
            of,
        });
        self.sequence
    }

    /// Forgets jobs that there are no more.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.jobs.retain(|job, _| exists(job));
    }
}
