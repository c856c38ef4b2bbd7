//! A voter's side of the spread of reports and updates: it keeps the newest update of each job, hands it on to the relays
//! that follow it, and hands owners one summary of what those relays report.
//!
//! No clock is compared with another: each update bears how old it is at most, reckoned from a question and its answer. One
//! that was held back on its way is as old as it is when it comes.
//!
//! A load watch's updates are changes of a table ([`super::table`]), encoded once for all relays that have the same version.
//! Relays and owners of builds before those are served as they were: with whole updates, and with the reports of each
//! relay.
//!
//! Guards against: an update under an old token (it is refused with the newer one, which stops its sender), an owner that
//! answers nobody (its updates grow old, and relays see how old), a relay that fell silent (it is told nothing more), a
//! relay that is slow (only the newest of each job is sent, and so many bytes a second), and updates of jobs that there are
//! not (they are not kept).

use super::allowance::{AllowancePool, RelayMoves};
use super::channel::Channel;
use super::feed::{Feed, Why};
use super::message::{Delivery, Poll, Receipt, Reports, Submission, VERSION};
use super::stream::ReceivedSequences;
use super::subscription::Subscription;
use crate::jobs::assignment::{FencingToken, Job, Jobs};
use crate::jobs::moves::{self, MigrationPermits};
use crate::wire::message::{job_kind, Message, Publish, RelayId, ReplyAddress, Report, Subscribe};
#[cfg(feature = "injected-bugs")]
use crate::InjectedBugs;
use crate::{max_elapsed, min_elapsed, InjectedBug, Micros};
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Relays that follow one voter at most: beyond that they are told nothing, and follow another.
const SUBSCRIBERS: usize = 4096;
/// The longest update, in bytes.
const MOST_BODY: usize = 64 * 1024;

/// See the module's text.
#[derive(Default)]
pub struct Broadcaster {
    subscriptions: BTreeMap<ReplyAddress, Subscription>,
    feed: Feed,
    /// The voter's share of the fleet's moves.
    pool: AllowancePool,
    /// It acts as builds did that knew no deliveries.
    is_older: bool,
}

impl Broadcaster {
    /// Of a process that bears this number, which no process of this voter before had.
    pub fn new(instance: u64) -> Broadcaster {
        Broadcaster {
            pool: AllowancePool::new(instance),
            ..Broadcaster::default()
        }
    }

    /// One with a fault in it: for tests of the checkers.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(mut self, injected: InjectedBugs) -> Broadcaster {
        self.feed.injected = injected;
        self
    }

    /// One that acts as builds did that knew no deliveries: for tests of fleets of two builds.
    #[cfg(feature = "injected-bugs")]
    pub fn of_older_build(self) -> Broadcaster {
        Broadcaster {
            is_older: true,
            ..self
        }
    }

    /// A relay follows. It is told what it does not have; an owner of an older build is told what others report to its
    /// jobs.
    pub fn handle_subscribe(
        &mut self,
        now: Micros,
        from: ReplyAddress,
        mut follow: Subscribe,
        jobs: &Jobs,
    ) -> Vec<Message> {
        self.subscriptions
            .retain(|_, subscription| !subscription.is_silent(now));
        if !self.subscriptions.contains_key(&from) && self.subscriptions.len() >= SUBSCRIBERS {
            return Vec::new();
        }
        if self.is_older {
            (follow.version, follow.clock_only) = (0, false);
        }
        if follow.clock_only && follow.version >= VERSION {
            // An owner wants to know this voter's clock, and follows another.
            return vec![Message::Updates(
                Subscription::new(now, follow, None).answer(now),
            )];
        }
        let mut subscription = Subscription::new(now, follow, self.subscriptions.get(&from));
        let mut answer = subscription.answer(now);
        let mut out = Vec::new();
        if subscription.compact.is_some() {
            out.push(Message::Updates(answer));
            out.extend(
                self.feed
                    .deliver(now, &mut subscription, jobs, Why::Answer)
                    .map(Message::Delivery),
            );
        } else {
            answer.reports = self.reports_for(now, &subscription, jobs);
            answer.updates = self.feed.whole_updates(now, &subscription, None);
            out.push(Message::Updates(answer));
        }
        self.subscriptions.insert(from, subscription);
        out
    }

    /// What the relays report to an owner of an older build: to its kinds of jobs, relay by relay.
    fn reports_for(
        &self,
        now: Micros,
        owner: &Subscription,
        jobs: &Jobs,
    ) -> Vec<(RelayId, Micros, Vec<Report>)> {
        let own = |job: &Job| job.owner.as_ref() == Some(&owner.relay);
        let kinds: BTreeSet<&str> = jobs
            .by_name
            .iter()
            .filter(|(_, job)| own(job))
            .map(|(name, _)| job_kind(name))
            .collect();
        let mut all = Vec::new();
        for other in self
            .subscriptions
            .values()
            .chain([owner])
            .filter(|_| !kinds.is_empty())
        {
            let to_it = |report: &&Report| kinds.contains(report.kind.as_str());
            let reports: Vec<Report> = other.reports.iter().filter(to_it).cloned().collect();
            if !reports.is_empty() {
                all.push((other.relay.clone(), now - other.heard, reports));
            }
        }
        all
    }

    /// A relay that follows asks what is new.
    pub fn handle_poll(
        &mut self,
        now: Micros,
        from: ReplyAddress,
        poll: Poll,
        jobs: &Jobs,
    ) -> Option<Delivery> {
        if self.is_older {
            return None;
        }
        Some(self.polled(now, from, poll, jobs))
    }

    fn polled(&mut self, now: Micros, from: ReplyAddress, poll: Poll, jobs: &Jobs) -> Delivery {
        let Poll {
            incarnation: start,
            sequence: number,
            stream,
            highest,
            received_bitmap: before,
            reports,
        } = poll;
        let unknown = Delivery {
            incarnation: start,
            request_sequence: number,
            stream,
            must_resubscribe: true,
            ..Delivery::default()
        };
        let Some(subscription) = self.subscriptions.get_mut(&from) else {
            return unknown;
        };
        if subscription.relay.incarnation != start || subscription.is_silent(now) {
            return unknown;
        }
        let Some(compact) = subscription
            .compact
            .as_mut()
            .filter(|of| of.stream.number == stream)
        else {
            return unknown;
        };
        compact.stream.acknowledged(
            now,
            ReceivedSequences {
                stream,
                highest,
                before,
            },
        );
        // One that is overtaken by a later one says nothing new.
        if number >= subscription.number {
            (subscription.number, subscription.heard) = (number, now);
        }
        if let Some(Reports {
            version,
            reports: of,
        }) = reports.filter(|of| of.version > subscription.reports_version)
        {
            let report = |(kind, body): (String, serde_bytes::ByteBuf)| Report {
                kind,
                payload: body.into_vec(),
            };
            subscription.take_reports(of.into_iter().map(report).collect());
            subscription.reports_version = version;
        }
        self.feed
            .deliver(now, subscription, jobs, Why::Answer)
            .unwrap_or(unknown)
    }

    /// An owner of an older build has an update for all. What comes of it goes to whoever it is for.
    pub fn handle_publish(
        &mut self,
        now: Micros,
        from: ReplyAddress,
        publish: Publish,
        jobs: &Jobs,
    ) -> Vec<(ReplyAddress, Message)> {
        let Publish {
            update,
            stamp,
            stamp_age: since,
        } = publish;
        if let Some(refused) = self.refuse(from, &update.job, update.token, jobs) {
            return refused;
        }
        let Some(sent) = sent_at(now, stamp, since).filter(|_| update.payload.len() <= MOST_BODY)
        else {
            return Vec::new();
        };
        let name = update.job.clone();
        if name == moves::KIND && !self.is_older {
            let permits = MigrationPermits::decode(&update.payload).unwrap_or_default();
            self.feed.moves = self.feed.moves.max((update.token, update.sequence));
            for (relay, upto) in permits.by_relay {
                let of = self
                    .subscriptions
                    .values_mut()
                    .filter(|subscription| subscription.relay == relay);
                of.filter_map(|subscription| subscription.moves.as_mut())
                    .for_each(|moves| moves.permit(upto));
            }
        } else {
            let at = sent.saturating_sub(max_elapsed(update.age));
            let channel = self.feed.channels.entry(name.clone()).or_default();
            if !channel.take_whole(at, update, self.feed.injected.is(InjectedBug::NoFence)) {
                return Vec::new();
            }
        }
        self.spread(now, &name, jobs)
    }

    /// An owner has changes or an allowance; it is told what this voter has, and what relays report.
    pub fn handle_submission(
        &mut self,
        now: Micros,
        from: ReplyAddress,
        submission: Submission,
        jobs: &Jobs,
    ) -> Vec<(ReplyAddress, Message)> {
        if self.is_older {
            return Vec::new();
        }
        let Submission {
            incarnation: start,
            sequence: number,
            job,
            token,
            stamp,
            stamp_age: since,
            changes,
            allowance,
        } = submission;
        if let Some(refused) = self.refuse(from, &job, token, jobs) {
            return refused;
        }
        let sent = sent_at(now, stamp, since);
        let mut out = Vec::new();
        if let (Some(changes), Some(sent)) = (changes.filter(|of| of.len() <= MOST_BODY), sent) {
            let channel = self.feed.channels.entry(job.clone()).or_default();
            if channel.take_changes(sent, token, &changes) {
                out = self.spread(now, &job, jobs);
            }
        }
        let mut receipt = Receipt {
            start,
            number,
            job,
            stamp: now,
            ..Receipt::default()
        };
        receipt.version = self
            .feed
            .channels
            .get(&receipt.job)
            .map_or(0, |channel| channel.version(token));
        if receipt.job == moves::KIND {
            self.feed.moves = self.feed.moves.max((token, number));
            allowance
                .iter()
                .for_each(|allowance| self.pool.allow(*allowance));
            out.extend(self.permit(now, jobs));
            let live = self
                .subscriptions
                .values()
                .filter(|subscription| !subscription.is_silent(now));
            receipt.moves = Some(self.pool.summary(live.filter_map(|of| of.moves.as_ref())));
        }
        out.push((from, Message::Receipt(receipt)));
        out
    }

    /// What an owner is told whose token is not the newest, or whose job there is not.
    fn refuse(
        &self,
        from: ReplyAddress,
        job: &str,
        token: FencingToken,
        jobs: &Jobs,
    ) -> Option<Vec<(ReplyAddress, Message)>> {
        let Some(known) = jobs.by_name.get(job) else {
            return Some(Vec::new());
        };
        // What the log here says may lag behind, so a higher token is one that this voter has yet to hear of.
        let seen = self.feed.channels.get(job).map_or(0, Channel::token);
        let seen = if job == moves::KIND {
            seen.max(self.feed.moves.0)
        } else {
            seen
        };
        let highest = seen.max(known.token);
        let stale = token < highest && !self.feed.injected.is(InjectedBug::NoFence);
        stale.then(|| vec![(from, Message::StaleToken(job.into(), highest))])
    }

    /// A job has a new update: who follows is told, as far as it may be told now.
    fn spread(&mut self, now: Micros, job: &str, jobs: &Jobs) -> Vec<(ReplyAddress, Message)> {
        self.feed.retain(now, jobs);
        let mut out = Vec::new();
        for (from, subscription) in self
            .subscriptions
            .iter_mut()
            .filter(|(_, of)| !of.is_silent(now))
        {
            let message = self.feed.tell(now, subscription, jobs, job);
            out.extend(message.map(|message| (*from, message)));
        }
        out
    }

    /// Divides the allowance; who is permitted more is told.
    fn permit(&mut self, now: Micros, jobs: &Jobs) -> Vec<(ReplyAddress, Message)> {
        let live = self
            .subscriptions
            .iter_mut()
            .filter(|(_, subscription)| !subscription.is_silent(now));
        let (of, mut moves): (Vec<ReplyAddress>, Vec<&mut RelayMoves>) = live
            .filter_map(|(from, subscription)| Some((*from, subscription.moves.as_mut()?)))
            .unzip();
        let raised = self.pool.divide(&mut moves);
        let mut out = Vec::new();
        for from in raised.into_iter().filter_map(|place| of.get(place)) {
            let Some(subscription) = self.subscriptions.get_mut(from) else {
                continue;
            };
            let message = self.feed.tell(now, subscription, jobs, moves::KIND);
            out.extend(message.map(|message| (*from, message)));
        }
        out
    }

    /// A link has ended.
    pub fn disconnected(&mut self, from: ReplyAddress) {
        self.subscriptions.remove(&from);
    }

    /// Relays that follow.
    pub fn subscribers(&self) -> usize {
        self.subscriptions.len()
    }
}

/// When an owner sent something, at the earliest, by this voter's clock: after the voter had told it that clock. Without
/// that, the age of what it says is not known.
fn sent_at(now: Micros, stamp: Micros, since: Micros) -> Option<Micros> {
    let sent = stamp.saturating_add(min_elapsed(since));
    (stamp > 0 && sent <= now).then_some(sent)
}
