//! Feed: the newest update of each job at a voter, and which of them are sent to a relay.
//!
//! Input: subscriptions, with the versions that the relays have. Output: deliveries, or full
//! updates for relays of older builds.
//!
//! Guards against: a relay that cannot receive as fast as owners publish (a token bucket limits
//! what it is sent; updates of its own zone have priority, then those of which it was sent a
//! version least recently).

use super::channel::Channel;
use super::message::{DeliveredUpdate, Delivery};
use super::stream::HeldVersion;
use super::subscription::{DeliveryState, Subscription};
use crate::jobs::assignment::{Job, Jobs};
use crate::jobs::moves::{self, MigrationPermits};
use crate::wire::message::{Message, Update, Updates};
use crate::{InjectedBug, InjectedBugs, Micros};
use std::collections::BTreeMap;

/// Rate at which a relay is sent updates, in bytes per second. Updates of its own zone are sent
/// even beyond it.
const BYTES_PER_SECOND: u64 = 1_600;
/// The same for a relay that owns a job with updates, which has the traffic of its own updates in
/// addition.
const OWNER_BYTES_PER_SECOND: u64 = 1_100;
/// Approximate overhead of a message, in bytes.
const MESSAGE_OVERHEAD_BYTES: usize = 36;
/// Approximate overhead of an update in a message, in bytes.
const UPDATE_OVERHEAD_BYTES: usize = 28;

/// Updates that a voter has.
#[derive(Default)]
pub(super) struct Feed {
    pub injected: InjectedBugs,
    /// Newest update of each job.
    pub channels: BTreeMap<String, Channel>,
    /// Token and sequence number of the newest update of the owner of migrations.
    pub migrations: HeldVersion,
}

/// Event that causes a delivery.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Trigger {
    /// The relay sent a request. It gets a response even if there are no updates.
    Request,
    /// A job has a new update.
    NewUpdate,
    /// The relay has new permits.
    NewPermits,
}

/// A job whose newest update a relay has not been sent. The order of the fields defines the order
/// of sending.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct MissingUpdate {
    is_of_other_zone: bool,
    last_sent_at: Micros,
    job: String,
}

/// Updates of a delivery, and the versions that they lead to.
#[derive(Default)]
struct Batch {
    updates: Vec<DeliveredUpdate>,
    versions: Vec<(String, HeldVersion)>,
}

impl Feed {
    /// Removes updates that are too old, and those of jobs that no longer exist.
    pub(super) fn retain(&mut self, now: Micros, jobs: &Jobs) {
        self.channels
            .retain(|name, channel| jobs.by_name.contains_key(name) && !channel.is_old(now));
    }

    /// The message to a relay after an update of this job; `None` if there is nothing to send now.
    pub(super) fn notify(
        &mut self,
        now: Micros,
        subscription: &mut Subscription,
        jobs: &Jobs,
        job: &str,
    ) -> Option<Message> {
        if subscription.deliveries.is_some() {
            let trigger = if job == moves::KIND {
                Trigger::NewPermits
            } else {
                Trigger::NewUpdate
            };
            return self
                .deliver(now, subscription, jobs, trigger)
                .map(Message::Delivery);
        }
        let updates = self.full_updates(now, subscription, Some(job));
        (!updates.is_empty()).then(|| {
            Message::Updates(Updates {
                updates,
                ..subscription.response(now)
            })
        })
    }

    /// The delivery to a relay, with as many updates as its token bucket allows. `None` if the
    /// relay does not support deliveries, or if there are no updates and the relay did not send a
    /// request.
    pub(super) fn deliver(
        &mut self,
        now: Micros,
        subscription: &mut Subscription,
        jobs: &Jobs,
        trigger: Trigger,
    ) -> Option<Delivery> {
        let rate = if self.owns_published_job(subscription, jobs) {
            OWNER_BYTES_PER_SECOND
        } else {
            BYTES_PER_SECOND
        };
        let missing = self.missing_updates(now, subscription, jobs);
        let permits = subscription
            .migrations
            .and_then(|migrations| migrations.unreported_permits());
        let deliveries = subscription.deliveries.as_mut()?;
        deliveries.token_bucket.fill(now, rate);
        let mut batch = self.batch(now, deliveries, missing, rate);
        // Permits are repeated in each response until the relay reports that it knows them.
        let may_send_permits = trigger != Trigger::NewUpdate || !batch.updates.is_empty();
        if may_send_permits && self.migrations.token > 0 {
            batch
                .updates
                .extend(permits.map(|permitted| DeliveredUpdate {
                    job: moves::KIND.to_string(),
                    token: self.migrations.token,
                    permitted,
                    ..DeliveredUpdate::default()
                }));
        }
        if batch.updates.is_empty() && trigger != Trigger::Request {
            return None;
        }
        deliveries.token_bucket.take(MESSAGE_OVERHEAD_BYTES, rate);
        let sequence = if batch.versions.is_empty() {
            0
        } else {
            deliveries.stream.send(now, batch.versions)
        };
        Some(Delivery {
            incarnation: subscription.relay.incarnation,
            request_sequence: subscription.sequence,
            request_age_ms: (now - subscription.last_request_at) / 1_000,
            stream: deliveries.stream.id,
            sequence,
            reports_version: subscription.reports_version,
            must_resubscribe: false,
            updates: batch.updates,
        })
    }

    /// Whether a relay owns migrations, or a job that has an update here.
    fn owns_published_job(&self, subscription: &Subscription, jobs: &Jobs) -> bool {
        let is_owner = |name: &str| {
            jobs.by_name
                .get(name)
                .is_some_and(|job| is_owned_by(job, subscription))
        };
        is_owner(moves::KIND) || self.channels.keys().any(|name| is_owner(name))
    }

    /// Jobs of other owners whose newest update a relay has not been sent, in the order of sending.
    fn missing_updates(
        &self,
        now: Micros,
        subscription: &Subscription,
        jobs: &Jobs,
    ) -> Vec<MissingUpdate> {
        let Some(DeliveryState { stream, zone, .. }) = &subscription.deliveries else {
            return Vec::new();
        };
        let mut missing = Vec::new();
        for (name, channel) in &self.channels {
            let is_own = jobs
                .by_name
                .get(name)
                .is_some_and(|job| is_owned_by(job, subscription));
            if is_own || channel.is_old(now) || !stream.lacks(name, channel.held_version()) {
                continue;
            }
            let is_of_zone = name
                .split_once('/')
                .is_some_and(|(_, job_zone)| job_zone == zone);
            missing.push(MissingUpdate {
                is_of_other_zone: !is_of_zone,
                last_sent_at: stream.sent_at(name),
                job: name.clone(),
            });
        }
        missing.sort_unstable();
        missing
    }

    /// The updates that the token bucket allows. Those of the relay's zone are sent even if it is
    /// empty.
    fn batch(
        &mut self,
        now: Micros,
        deliveries: &mut DeliveryState,
        missing: Vec<MissingUpdate>,
        rate: u64,
    ) -> Batch {
        let mut batch = Batch::default();
        for MissingUpdate {
            is_of_other_zone,
            job,
            ..
        } in missing
        {
            if is_of_other_zone && !deliveries.token_bucket.has_bytes() {
                break;
            }
            let Some(channel) = self.channels.get_mut(&job) else {
                continue;
            };
            let (delivered, bytes) = channel.delivered(now, &job, deliveries.stream.sent(&job));
            deliveries
                .token_bucket
                .take(bytes + UPDATE_OVERHEAD_BYTES, rate);
            batch.updates.push(delivered);
            batch.versions.push((job, channel.held_version()));
        }
        batch
    }

    /// Full updates that a relay of an older build lacks, for one job or for all.
    pub(super) fn full_updates(
        &mut self,
        now: Micros,
        subscription: &Subscription,
        job: Option<&str>,
    ) -> Vec<Update> {
        let injected_no_fence = self.injected.is(InjectedBug::NoFence);
        let lacks = |name: &str, newest: HeldVersion| {
            let is_wanted = job.is_none_or(|job| job == name);
            let is_known = subscription
                .known_updates
                .get(name)
                .is_some_and(|known| *known >= newest);
            is_wanted && (!is_known || injected_no_fence)
        };
        let mut updates = Vec::new();
        for (name, channel) in &mut self.channels {
            if lacks(name, channel.held_version()) && !channel.is_old(now) {
                updates.push(channel.full_update(now, name));
            }
        }
        let permits = subscription
            .migrations
            .and_then(|migrations| migrations.unreported_permits());
        if let Some(permitted) = permits.filter(|_| lacks(moves::KIND, self.migrations)) {
            let permits = MigrationPermits {
                by_relay: vec![(subscription.relay.clone(), permitted)],
            };
            updates.push(Update {
                job: moves::KIND.to_string(),
                token: self.migrations.token,
                sequence: self.migrations.version,
                age: 0,
                payload: permits.encode(),
            });
        }
        updates
    }
}

fn is_owned_by(job: &Job, subscription: &Subscription) -> bool {
    job.owner.as_ref() == Some(&subscription.relay)
}
