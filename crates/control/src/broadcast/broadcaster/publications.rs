//! Handling of messages of job owners: submissions, and full updates of owners of older builds.

use super::{live_subscriptions, Broadcaster};
use crate::broadcast::allowance::RelayMigrations;
use crate::broadcast::channel::Channel;
use crate::broadcast::message::{Receipt, Submission};
use crate::broadcast::stream::HeldVersion;
use crate::jobs::assignment::{FencingToken, Jobs};
use crate::jobs::moves::{self, MigrationPermits};
use crate::wire::message::{Message, Publish, ReplyAddress, Update};
use crate::{max_elapsed, min_elapsed, InjectedBug, Micros};

/// Maximum size of an update, in bytes. Longer ones are dropped.
const MAX_UPDATE_BYTES: usize = 64 * 1024;

/// Reason for rejecting an owner's update.
enum Rejection {
    /// The job does not exist.
    UnknownJob,
    /// A newer token of the job is known, which is this one.
    StaleToken(FencingToken),
}

impl Rejection {
    /// The answer to the owner; empty if there is none.
    fn into_messages(self, from: ReplyAddress, job: &str) -> Vec<(ReplyAddress, Message)> {
        match self {
            Rejection::UnknownJob => Vec::new(),
            Rejection::StaleToken(newest) => vec![(from, Message::StaleToken(job.into(), newest))],
        }
    }
}

impl Broadcaster {
    /// Handles a full update of an owner of an older build. Returns the messages to the sender or
    /// to relays.
    pub fn handle_publish(
        &mut self,
        now: Micros,
        from: ReplyAddress,
        publish: Publish,
        jobs: &Jobs,
    ) -> Vec<(ReplyAddress, Message)> {
        let update = publish.update;
        if let Err(rejection) = self.check_token(&update.job, update.token, jobs) {
            return rejection.into_messages(from, &update.job);
        }
        let Some(sent_at) = sent_at(now, publish.stamp, publish.stamp_age) else {
            return Vec::new();
        };
        if update.payload.len() > MAX_UPDATE_BYTES {
            return Vec::new();
        }
        let name = update.job.clone();
        if name == moves::KIND && !self.is_older_build {
            self.store_permits(&update);
        } else {
            let valid_since = sent_at.saturating_sub(max_elapsed(update.age));
            let injected_no_fence = self.feed.injected.is(InjectedBug::NoFence);
            let channel = self.feed.channels.entry(name.clone()).or_default();
            if !channel.store_full(valid_since, update, injected_no_fence) {
                return Vec::new();
            }
        }
        self.notify_subscribers(now, &name, jobs)
    }

    /// Records the permits that an owner of an older build gives to single relays.
    fn store_permits(&mut self, update: &Update) {
        let permits = MigrationPermits::decode(&update.payload).unwrap_or_default();
        let version = HeldVersion::new(update.token, update.sequence);
        self.feed.migrations = self.feed.migrations.max(version);
        for (relay, permitted) in permits.by_relay {
            self.subscriptions
                .values_mut()
                .filter(|subscription| subscription.relay == relay)
                .filter_map(|subscription| subscription.migrations.as_mut())
                .for_each(|migrations| migrations.permit(permitted));
        }
    }

    /// Handles a submission, with changes or an allowance. Returns the messages to relays, followed
    /// by the receipt, which has the version of the table that this voter has and, for migrations,
    /// a summary of the relays' reports.
    pub fn handle_submission(
        &mut self,
        now: Micros,
        from: ReplyAddress,
        submission: Submission,
        jobs: &Jobs,
    ) -> Vec<(ReplyAddress, Message)> {
        if self.is_older_build {
            return Vec::new();
        }
        let job = submission.job.clone();
        let token = submission.token;
        if let Err(rejection) = self.check_token(&job, token, jobs) {
            return rejection.into_messages(from, &job);
        }
        let mut messages = self.apply_submitted_changes(now, &submission, jobs);
        let mut receipt = Receipt {
            incarnation: submission.incarnation,
            sequence: submission.sequence,
            version: self
                .feed
                .channels
                .get(&job)
                .map_or(0, |channel| channel.version(token)),
            job,
            stamp: now,
            migrations: None,
        };
        if receipt.job == moves::KIND {
            let version = HeldVersion::new(token, submission.sequence);
            self.feed.migrations = self.feed.migrations.max(version);
            if let Some(allowance) = submission.allowance {
                self.pool.allow(allowance);
            }
            messages.extend(self.distribute_allowance(now, jobs));
            let migrations = live_subscriptions(&mut self.subscriptions, now)
                .filter_map(|(_, subscription)| subscription.migrations.as_ref());
            receipt.migrations = Some(self.pool.summary(migrations));
        }
        messages.push((from, Message::Receipt(receipt)));
        messages
    }

    /// Applies the changes of a submission, if the time of sending can be bounded. Returns the
    /// messages to relays.
    fn apply_submitted_changes(
        &mut self,
        now: Micros,
        submission: &Submission,
        jobs: &Jobs,
    ) -> Vec<(ReplyAddress, Message)> {
        let sent_at = sent_at(now, submission.stamp, submission.stamp_age);
        let (Some(changes), Some(sent_at)) = (&submission.changes, sent_at) else {
            return Vec::new();
        };
        if changes.len() > MAX_UPDATE_BYTES {
            return Vec::new();
        }
        let channel = self
            .feed
            .channels
            .entry(submission.job.clone())
            .or_default();
        if !channel.apply_changes(sent_at, submission.token, changes) {
            return Vec::new();
        }
        self.notify_subscribers(now, &submission.job, jobs)
    }

    /// Checks that the job exists and that no newer token of it is known. This voter's log may lag
    /// behind, so a higher token than in the log is accepted.
    fn check_token(&self, job: &str, token: FencingToken, jobs: &Jobs) -> Result<(), Rejection> {
        let Some(assigned) = jobs.by_name.get(job) else {
            return Err(Rejection::UnknownJob);
        };
        let channel_token = self.feed.channels.get(job).map_or(0, Channel::token);
        let migrations_token = if job == moves::KIND {
            self.feed.migrations.token
        } else {
            0
        };
        let newest = channel_token.max(migrations_token).max(assigned.token);
        if token < newest && !self.feed.injected.is(InjectedBug::NoFence) {
            return Err(Rejection::StaleToken(newest));
        }
        Ok(())
    }

    /// The messages to relays after an update of this job.
    fn notify_subscribers(
        &mut self,
        now: Micros,
        job: &str,
        jobs: &Jobs,
    ) -> Vec<(ReplyAddress, Message)> {
        self.feed.retain(now, jobs);
        let mut messages = Vec::new();
        for (from, subscription) in live_subscriptions(&mut self.subscriptions, now) {
            let message = self.feed.notify(now, subscription, jobs, job);
            messages.extend(message.map(|message| (from, message)));
        }
        messages
    }

    /// Distributes the allowance. Returns the messages to the relays that have new permits.
    fn distribute_allowance(&mut self, now: Micros, jobs: &Jobs) -> Vec<(ReplyAddress, Message)> {
        let (addresses, mut migrations): (Vec<ReplyAddress>, Vec<&mut RelayMigrations>) =
            live_subscriptions(&mut self.subscriptions, now)
                .filter_map(|(from, subscription)| Some((from, subscription.migrations.as_mut()?)))
                .unzip();
        let changed = self.pool.distribute(&mut migrations);
        let mut messages = Vec::new();
        for from in changed.into_iter().filter_map(|index| addresses.get(index)) {
            let Some(subscription) = self.subscriptions.get_mut(from) else {
                continue;
            };
            let message = self.feed.notify(now, subscription, jobs, moves::KIND);
            messages.extend(message.map(|message| (*from, message)));
        }
        messages
    }
}

/// Earliest time, by this voter's clock, at which an owner sent a message, derived from the latest
/// time of this clock that the owner had received. `None` if it had received none, or if the result
/// is in the future.
fn sent_at(now: Micros, stamp: Micros, stamp_age: Micros) -> Option<Micros> {
    let sent_at = stamp.saturating_add(min_elapsed(stamp_age));
    (stamp > 0 && sent_at <= now).then_some(sent_at)
}
