//! Handling of requests of relays: subscriptions and polls.

use super::Broadcaster;
use crate::broadcast::feed::Trigger;
use crate::broadcast::message::{Delivery, Poll, Reports, VERSION};
use crate::broadcast::stream::ReceivedSequences;
use crate::broadcast::subscription::Subscription;
use crate::jobs::assignment::Jobs;
use crate::wire::message::{job_kind, Message, RelayId, ReplyAddress, Report, Subscribe};
use crate::Micros;
use std::collections::BTreeSet;

/// Maximum number of relays that follow one voter. Further ones get no response and follow another.
const MAX_SUBSCRIPTIONS: usize = 4096;

impl Broadcaster {
    /// Handles a subscription. The responses have the updates that the relay lacks and, for an
    /// owner of an older build, the reports of all relays.
    pub fn handle_subscribe(
        &mut self,
        now: Micros,
        from: ReplyAddress,
        mut request: Subscribe,
        jobs: &Jobs,
    ) -> Vec<Message> {
        self.subscriptions
            .retain(|_, subscription| !subscription.is_silent(now));
        let is_known = self.subscriptions.contains_key(&from);
        if !is_known && self.subscriptions.len() >= MAX_SUBSCRIPTIONS {
            return Vec::new();
        }
        if self.is_older_build {
            request.version = 0;
            request.clock_only = false;
        }
        if request.clock_only && request.version >= VERSION {
            // An owner that follows another voter only needs this voter's clock.
            let response = Subscription::new(now, request, None).response(now);
            return vec![Message::Updates(response)];
        }
        let previous = self.subscriptions.get(&from);
        let mut subscription = Subscription::new(now, request, previous);
        let mut response = subscription.response(now);
        let mut messages = Vec::new();
        if subscription.deliveries.is_some() {
            messages.push(Message::Updates(response));
            let delivery = self
                .feed
                .deliver(now, &mut subscription, jobs, Trigger::Request);
            messages.extend(delivery.map(Message::Delivery));
        } else {
            response.reports = self.reports_for(now, &subscription, jobs);
            response.updates = self.feed.full_updates(now, &subscription, None);
            messages.push(Message::Updates(response));
        }
        self.subscriptions.insert(from, subscription);
        messages
    }

    /// Reports of all relays for the kinds of jobs that this relay of an older build owns: relay,
    /// age and reports.
    fn reports_for(
        &self,
        now: Micros,
        owner: &Subscription,
        jobs: &Jobs,
    ) -> Vec<(RelayId, Micros, Vec<Report>)> {
        let owned_kinds: BTreeSet<&str> = jobs
            .by_name
            .iter()
            .filter(|(_, job)| job.owner.as_ref() == Some(&owner.relay))
            .map(|(name, _)| job_kind(name))
            .collect();
        if owned_kinds.is_empty() {
            return Vec::new();
        }
        let mut all_reports = Vec::new();
        for subscription in self.subscriptions.values().chain([owner]) {
            let reports: Vec<Report> = subscription
                .reports
                .iter()
                .filter(|report| owned_kinds.contains(report.kind.as_str()))
                .cloned()
                .collect();
            if !reports.is_empty() {
                let age = now - subscription.last_request_at;
                all_reports.push((subscription.relay.clone(), age, reports));
            }
        }
        all_reports
    }

    /// Handles a poll of a relay. Returns `None` if this voter behaves like an older build.
    pub fn handle_poll(
        &mut self,
        now: Micros,
        from: ReplyAddress,
        poll: Poll,
        jobs: &Jobs,
    ) -> Option<Delivery> {
        if self.is_older_build {
            return None;
        }
        let must_resubscribe = Delivery {
            incarnation: poll.incarnation,
            request_sequence: poll.sequence,
            stream: poll.stream,
            must_resubscribe: true,
            ..Delivery::default()
        };
        let delivery = self.answer_poll(now, from, poll, jobs);
        Some(delivery.unwrap_or(must_resubscribe))
    }

    /// The delivery that answers a poll; `None` if its stream is not known.
    fn answer_poll(
        &mut self,
        now: Micros,
        from: ReplyAddress,
        poll: Poll,
        jobs: &Jobs,
    ) -> Option<Delivery> {
        let subscription = self.subscriptions.get_mut(&from)?;
        if subscription.relay.incarnation != poll.incarnation || subscription.is_silent(now) {
            return None;
        }
        let deliveries = subscription.deliveries.as_mut()?;
        if deliveries.stream.id != poll.stream {
            return None;
        }
        let received = ReceivedSequences {
            stream: poll.stream,
            highest: poll.highest,
            bitmap: poll.received_bitmap,
        };
        deliveries.stream.handle_acknowledgement(now, received);
        // A poll that a later one has overtaken does not show that the relay is still alive.
        if poll.sequence >= subscription.sequence {
            subscription.sequence = poll.sequence;
            subscription.last_request_at = now;
        }
        if let Some(reports) = poll.reports {
            update_reports(subscription, reports);
        }
        self.feed.deliver(now, subscription, jobs, Trigger::Request)
    }
}

/// Stores the reports of a poll, if they are newer.
fn update_reports(subscription: &mut Subscription, reports: Reports) {
    if reports.version <= subscription.reports_version {
        return;
    }
    let decoded = reports
        .reports
        .into_iter()
        .map(|(kind, payload)| Report {
            kind,
            payload: payload.into_vec(),
        })
        .collect();
    subscription.set_reports(decoded);
    subscription.reports_version = reports.version;
}
