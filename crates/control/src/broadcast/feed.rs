//! What a voter has to tell: the newest update of each job, and who is told what of it.

use super::channel::Channel;
use super::message::{Delivered, Delivery};
use super::stream::HeldVersion;
use super::subscription::{Compact, Subscription};
use crate::jobs::assignment::Jobs;
use crate::jobs::moves::{self, MigrationPermits};
use crate::wire::message::{Message, Update, Updates};
use crate::{InjectedBug, InjectedBugs, Micros};
use std::collections::BTreeMap;

/// Bytes a second of updates that a relay is sent, but for those that it needs most; and a relay that owns a job with
/// updates, which has its own traffic besides.
const RATE: u64 = 1_600;
const RATE_OF_OWNER: u64 = 1_100;
/// What a message and an update in it cost beside the update's body, about.
const MESSAGE_BYTES: usize = 36;
const UPDATE_BYTES: usize = 28;

/// See the module's text.
#[derive(Default)]
pub(super) struct Feed {
    pub injected: InjectedBugs,
    pub channels: BTreeMap<String, Channel>,
    /// The token and number of what the owner of moves said last.
    pub moves: HeldVersion,
}

/// Why a relay is told something.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Why {
    /// It has asked, and is answered also where there is nothing to tell.
    Answer,
    /// A job has a new update.
    Spread,
    /// It is permitted more moves.
    MigrationPermits,
}

/// A job whose update a relay lacks: what is not near goes last, then what was sent last.
type Lacking = (bool, Micros, String);

impl Feed {
    /// Forgets updates of jobs that there are no more, and those that nobody can use.
    pub fn retain(&mut self, now: Micros, jobs: &Jobs) {
        self.channels
            .retain(|name, channel| jobs.by_name.contains_key(name) && !channel.is_old(now));
    }

    /// What a relay is told now of a job, or of all that it lacks.
    pub fn tell(
        &mut self,
        now: Micros,
        subscription: &mut Subscription,
        jobs: &Jobs,
        job: &str,
    ) -> Option<Message> {
        if subscription.compact.is_some() {
            let why = if job == moves::KIND {
                Why::MigrationPermits
            } else {
                Why::Spread
            };
            return self
                .deliver(now, subscription, jobs, why)
                .map(Message::Delivery);
        }
        let updates = self.whole_updates(now, subscription, Some(job));
        (!updates.is_empty()).then(|| {
            Message::Updates(Updates {
                updates,
                ..subscription.answer(now)
            })
        })
    }

    /// What a relay is told now: what it needs most, then what it has waited for longest, as far as its bucket goes. An
    /// answer is told also where it is empty.
    pub fn deliver(
        &mut self,
        now: Micros,
        subscription: &mut Subscription,
        jobs: &Jobs,
        why: Why,
    ) -> Option<Delivery> {
        let (lacking, owns) = self.lacking(now, subscription, jobs);
        let permitted = subscription.moves.and_then(|moves| moves.to_be_told());
        let compact = subscription.compact.as_mut()?;
        let rate = if owns { RATE_OF_OWNER } else { RATE };
        compact.bucket.fill(now, rate);
        let (mut updates, versions) = self.changes(now, compact, lacking, rate);
        // Said again with each answer, until the relay reports that it knows.
        let is_due = why != Why::Spread || !updates.is_empty();
        if let Some(permitted) = permitted.filter(|_| self.moves.0 > 0 && is_due) {
            let (job, (token, _)) = (moves::KIND.to_string(), self.moves);
            updates.push(Delivered {
                job,
                token,
                permitted,
                ..Delivered::default()
            });
        }
        if updates.is_empty() && why != Why::Answer {
            return None;
        }
        compact.bucket.take(MESSAGE_BYTES, rate);
        let sequence = if versions.is_empty() {
            0
        } else {
            compact.stream.send(now, versions)
        };
        Some(Delivery {
            incarnation: subscription.relay.incarnation,
            request_sequence: subscription.number,
            request_age_ms: (now - subscription.heard) / 1_000,
            stream: compact.stream.number,
            sequence,
            reports_version: subscription.reports_version,
            must_resubscribe: false,
            updates,
        })
    }

    /// The jobs whose newest update a relay was not sent, in the order in which it is to be, and whether it owns one that
    /// has updates.
    fn lacking(
        &self,
        now: Micros,
        subscription: &Subscription,
        jobs: &Jobs,
    ) -> (Vec<Lacking>, bool) {
        let owns_moves = jobs
            .by_name
            .get(moves::KIND)
            .is_some_and(|job| job.owner.as_ref() == Some(&subscription.relay));
        let (mut lacking, mut owns_any) = (Vec::new(), owns_moves);
        let Some(Compact { stream, zone, .. }) = &subscription.compact else {
            return (lacking, false);
        };
        for (name, channel) in &self.channels {
            let owner = jobs.by_name.get(name).and_then(|job| job.owner.as_ref());
            let owns = owner == Some(&subscription.relay);
            owns_any |= owns;
            if !owns && !channel.is_old(now) && stream.lacks(name, channel.have()) {
                let near = name.split_once('/').is_some_and(|(_, of)| of == zone);
                lacking.push((!near, stream.sent_at(name), name.clone()));
            }
        }
        lacking.sort_unstable();
        (lacking, owns_any)
    }

    /// Updates of those jobs as far as the bucket goes, and the versions that they lead to.
    fn changes(
        &mut self,
        now: Micros,
        compact: &mut Compact,
        lacking: Vec<Lacking>,
        rate: u64,
    ) -> (Vec<Delivered>, Vec<(String, HeldVersion)>) {
        let (mut updates, mut versions) = (Vec::new(), Vec::new());
        for (far, _, name) in lacking {
            if far && !compact.bucket.has_any() {
                break;
            }
            let Some(channel) = self.channels.get_mut(&name) else {
                continue;
            };
            let (delivered, bytes) = channel.delivered(now, &name, compact.stream.sent(&name));
            compact.bucket.take(bytes + UPDATE_BYTES, rate);
            updates.push(delivered);
            versions.push((name, channel.have()));
        }
        (updates, versions)
    }

    /// Updates that a relay of an older build lacks, of one job or of all.
    pub fn whole_updates(
        &mut self,
        now: Micros,
        subscription: &Subscription,
        job: Option<&str>,
    ) -> Vec<Update> {
        let injected = self.injected;
        let lacks = |name: &str, have: HeldVersion| {
            let wanted = job.is_none_or(|job| job == name);
            let knows = subscription
                .knows
                .get(name)
                .is_some_and(|knows| *knows >= have);
            wanted && (!knows || injected.is(InjectedBug::NoFence))
        };
        let mut updates = Vec::new();
        for (name, channel) in &mut self.channels {
            if lacks(name, channel.have()) && !channel.is_old(now) {
                updates.push(channel.whole(now, name));
            }
        }
        let permitted = subscription.moves.and_then(|moves| moves.to_be_told());
        if let Some(permitted) = permitted.filter(|_| lacks(moves::KIND, self.moves)) {
            let body = MigrationPermits {
                by_relay: vec![(subscription.relay.clone(), permitted)],
            }
            .encode();
            let (job, (token, number)) = (moves::KIND.to_string(), self.moves);
            updates.push(Update {
                job,
                token,
                sequence: number,
                age: 0,
                payload: body,
            });
        }
        updates
    }
}
