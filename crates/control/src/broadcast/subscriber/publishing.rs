//! Publication of updates by a relay that owns a job: submissions to voters that support them, full
//! updates to others.

use super::voter::VoterState;
use super::Subscriber;
use crate::broadcast::message::{Receipt, Submission};
use crate::jobs::assignment::FencingToken;
use crate::wire::message::{Message, Publish, Update};
use crate::Micros;

/// Identifies an update of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateId<'a> {
    /// The job.
    pub job: &'a str,
    /// The owner's fencing token.
    pub token: FencingToken,
    /// Sequence number, or version of the job's table; grows under one token.
    pub sequence: u64,
}

impl Subscriber {
    /// Handles a voter's receipt, which has the time of the voter's clock. Returns whether it is
    /// for this process.
    pub fn handle_receipt(&mut self, now: Micros, voter: u64, receipt: &Receipt) -> bool {
        if receipt.incarnation != self.relay.incarnation {
            return false;
        }
        let Some(state) = self.voters.get_mut(&voter) else {
            return false;
        };
        state.set_clock(now, receipt.stamp);
        state.set_supports_deliveries(now, true);
        true
    }

    /// The last sequence number that this relay used as an owner; 0 if there is none.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Records that this relay uses a sequence number, so that later ones are higher.
    pub fn reserve_sequence(&mut self, sequence: u64) {
        self.last_sequence = self.last_sequence.max(sequence);
    }

    /// Takes the next sequence number.
    pub fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// A submission to each voter that supports them, with the content that `fill` sets for that
    /// voter. Without a recent time of the voter's clock, changes of a table would have no age and
    /// are left out; the receipt then returns the time.
    pub fn submit(
        &self,
        now: Micros,
        id: UpdateId<'_>,
        mut fill: impl FnMut(u64, &mut Submission),
    ) -> Vec<(u64, Message)> {
        let mut messages = Vec::new();
        for (voter, state) in &self.voters {
            if !state.supports_deliveries(now) {
                continue;
            }
            let mut submission = Submission {
                incarnation: self.relay.incarnation,
                sequence: id.sequence,
                job: id.job.to_string(),
                token: id.token,
                ..Submission::default()
            };
            fill(*voter, &mut submission);
            match state.recent_clock(now) {
                Some(clock) => {
                    submission.stamp = clock.voter_time;
                    submission.stamp_age = now - clock.received_at;
                }
                None => submission.changes = None,
            }
            messages.push((*voter, Message::Submission(submission)));
        }
        messages
    }

    /// Whether there is a voter that has responded and does not support submissions.
    pub fn has_older_voters(&self, now: Micros) -> bool {
        self.voters
            .values()
            .any(|state| state.clock().is_some() && !state.supports_deliveries(now))
    }

    /// A full update, valid now, to each voter of an older build of whose clock a time is known.
    pub fn publish(&self, now: Micros, id: UpdateId<'_>, payload: &[u8]) -> Vec<(u64, Message)> {
        let update = Update {
            job: id.job.into(),
            token: id.token,
            sequence: id.sequence,
            age: 0,
            payload: payload.to_vec(),
        };
        let publish_to = |(voter, state): (&u64, &VoterState)| {
            let clock = state.clock().filter(|_| !state.supports_deliveries(now))?;
            let publish = Publish {
                update: update.clone(),
                stamp: clock.voter_time,
                stamp_age: now - clock.received_at,
            };
            Some((*voter, Message::Publish(publish)))
        };
        self.voters.iter().filter_map(publish_to).collect()
    }
}
