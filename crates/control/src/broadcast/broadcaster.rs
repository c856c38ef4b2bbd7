//! A voter's side of what owners of jobs tell all relays: it keeps the newest word of each job, hands it on to the relays
//! that follow it, and hands owners what relays say to their kinds of jobs.
//!
//! No clock is compared with another: each word bears how old it is at most, reckoned from a question and its answer. A
//! word that was held back on its way is as old as it is when it comes.
//!
//! Guards against: a word under an old token (it is refused with the newer one, which stops its sender), an owner that
//! answers nobody (its words grow old, and relays see how old), a relay that fell silent (it is told nothing more), and
//! words of jobs that there are not (they are not kept).

use crate::jobs::assignment::{Job, Jobs, Token};
use crate::wire::message::{kind_of, From, Message, Publish, Relay, Report, Subscribe, Update, Updates};
use crate::{at_least, at_most, InjectedBug, InjectedBugs, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Relays that follow one voter at most: beyond that they are told nothing, and follow another.
const FOLLOWERS: usize = 4096;
/// Who has not asked for so long follows no more.
const SILENT: Micros = 3_000_000;
/// The longest word, and the longest report of a relay, in bytes; kinds of reports of one relay.
const MOST_BODY: usize = 64 * 1024;
const MOST_FACT: usize = 1024;
const MOST_FACTS: usize = 8;
/// A word older than that is not handed on: whoever could use it asks for itself.
const OLD: Micros = 30_000_000;

struct Subscriber {
    relay: Relay,
    number: u64,
    heard: Micros,
    knows: BTreeMap<String, (Token, u64)>,
    reports: Vec<Report>,
}

struct Kept {
    update: Update,
    /// When it was true, at the earliest, by this voter's clock.
    at: Micros,
}

/// See the module's text.
#[derive(Default)]
pub struct Broadcaster {
    injected: InjectedBugs,
    subscribers: BTreeMap<From, Subscriber>,
    newest: BTreeMap<String, Kept>,
}

impl Broadcaster {
    /// One with a fault in it: for tests of the checkers.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(injected: InjectedBugs) -> Broadcaster {
        Broadcaster { injected, ..Broadcaster::default() }
    }

    /// A relay follows. It is told what it does not have, and, as an owner, what others say to its jobs.
    pub fn subscribe(&mut self, now: Micros, from: From, follow: Subscribe, jobs: &Jobs) -> Option<Message> {
        self.subscribers.retain(|_, subscriber| now < subscriber.heard + SILENT);
        if !self.subscribers.contains_key(&from) && self.subscribers.len() >= FOLLOWERS {
            return None;
        }
        let mut reports = follow.reports;
        reports.retain(|report| report.body.len() <= MOST_FACT);
        reports.truncate(MOST_FACTS);
        let knows = follow.knows.into_iter().map(|(job, token, number)| (job, (token, number))).collect();
        let subscriber =
            Subscriber { relay: follow.relay, number: follow.number, heard: now, knows, reports };
        let mut updates = self.updates(now, &subscriber);
        // Once for all: there may be thousands of jobs, and hundreds of relays that say something.
        let own = |job: &Job| job.owner.as_ref() == Some(&subscriber.relay);
        let kinds: BTreeSet<&str> =
            jobs.of.iter().filter(|(_, job)| own(job)).map(|(name, _)| kind_of(name)).collect();
        for other in self.subscribers.values().chain([&subscriber]).filter(|_| !kinds.is_empty()) {
            let to_it = |report: &&Report| kinds.contains(report.kind.as_str());
            let reports: Vec<Report> = other.reports.iter().filter(to_it).cloned().collect();
            if !reports.is_empty() {
                updates.reports.push((other.relay.clone(), now - other.heard, reports));
            }
        }
        updates.updates = self.newest.values().filter_map(|kept| self.word(now, kept, &subscriber)).collect();
        self.subscribers.insert(from, subscriber);
        Some(Message::Updates(updates))
    }

    /// An owner has a word for all. What comes of it goes to whoever it is for.
    pub fn publish(
        &mut self,
        now: Micros,
        from: From,
        publish: Publish,
        jobs: &Jobs,
    ) -> Vec<(From, Message)> {
        let Publish { update, stamp, since } = publish;
        let Some(job) = jobs.of.get(&update.job) else { return Vec::new() };
        // What the log here says may lag behind, so a higher token is one that this voter has yet to hear of.
        let highest = self.newest.get(&update.job).map_or(0, |kept| kept.update.token).max(job.token);
        if update.token < highest && !self.injected.is(InjectedBug::NoFence) {
            return vec![(from, Message::Stale(update.job, highest))];
        }
        let newer = self.newest.get(&update.job).is_none_or(|kept| {
            (update.token, update.number) > (kept.update.token, kept.update.number)
                || self.injected.is(InjectedBug::NoFence)
        });
        // It was sent after this voter had told its clock: without that its age is not known.
        let sent = stamp.saturating_add(at_least(since));
        if !newer || stamp == 0 || sent > now || update.body.len() > MOST_BODY {
            return Vec::new();
        }
        let (name, at) = (update.job.clone(), sent.saturating_sub(at_most(update.age)));
        self.newest.insert(name.clone(), Kept { update, at });
        self.newest.retain(|name, kept| jobs.of.contains_key(name) && now < kept.at + OLD);
        let Some(kept) = self.newest.get(&name) else { return Vec::new() };
        let mut out = Vec::new();
        for (to, subscriber) in &self.subscribers {
            if now >= subscriber.heard + SILENT {
                continue;
            }
            if let Some(update) = self.word(now, kept, subscriber) {
                let updates = Updates { updates: vec![update], ..self.updates(now, subscriber) };
                out.push((*to, Message::Updates(updates)));
            }
        }
        out
    }

    /// A link has ended.
    pub fn gone(&mut self, from: From) {
        self.subscribers.remove(&from);
    }

    /// Relays that follow.
    pub fn subscribers(&self) -> usize {
        self.subscribers.len()
    }

    fn updates(&self, now: Micros, subscriber: &Subscriber) -> Updates {
        Updates {
            start: subscriber.relay.start,
            number: subscriber.number,
            since: now - subscriber.heard,
            stamp: now,
            ..Updates::default()
        }
    }

    /// The word as this subscriber is to be told it; none where it has it, or a newer one.
    fn word(&self, now: Micros, kept: &Kept, subscriber: &Subscriber) -> Option<Update> {
        let age = now.saturating_sub(kept.at);
        let own = (kept.update.token, kept.update.number);
        let knows = subscriber.knows.get(&kept.update.job).is_some_and(|of| *of >= own);
        let tells = !knows || self.injected.is(InjectedBug::NoFence);
        (tells && age < OLD).then(|| Update { age, ..kept.update.clone() })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::jobs::assignment::Assignment;

    fn relay(name: &str) -> Relay {
        Relay { name: name.into(), start: 1 }
    }

    fn jobs(tokens: u64) -> Jobs {
        let mut jobs = Jobs::default();
        jobs.apply(Assignment::Open(vec!["load/a".into()]));
        for token in 1..=tokens {
            jobs.apply(Assignment::Assign(vec![("load/a".into(), relay(&format!("n{token}")))]));
            if token < tokens {
                jobs.apply(Assignment::Release(vec![("load/a".into(), token)]));
            }
        }
        jobs
    }

    fn follow(name: &str, number: u64, knows: &[(Token, u64)]) -> Subscribe {
        let knows = knows.iter().map(|(token, number)| ("load/a".to_string(), *token, *number)).collect();
        let reports = vec![Report { kind: "load".into(), body: vec![number as u8] }];
        Subscribe { relay: relay(name), number, knows, reports }
    }

    fn publish(token: Token, number: u64, age: Micros, stamp: Micros, since: Micros) -> Publish {
        let update = Update { job: "load/a".into(), token, number, age, body: vec![token as u8] };
        Publish { update, stamp, since }
    }

    fn updates(message: Option<Message>) -> Updates {
        match message {
            Some(Message::Updates(updates)) => updates,
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn a_word_is_as_old_as_it_is_and_one_of_an_owner_of_before_stops_its_sender() {
        let (mut broadcaster, jobs) = (Broadcaster::default(), jobs(2));
        assert_eq!(updates(broadcaster.subscribe(1_000_000, 7, follow("n3", 1, &[]), &jobs)).updates, []);
        // Sent 100 ms after the stamp, true 50 ms before that, held back for a second on its way.
        let out = broadcaster.publish(2_100_000, 8, publish(2, 1, 50_000, 1_000_000, 100_000), &jobs);
        let [(7, Message::Updates(told))] = &out[..] else { panic!("{out:?}") };
        // And a hundredth of each span, by which clocks may differ.
        assert_eq!((told.number, told.since, told.updates[0].age), (1, 1_100_000, 1_051_500));
        let stale = broadcaster.publish(2_200_000, 9, publish(1, 9, 0, 2_000_000, 0), &jobs);
        assert_eq!(stale, [(9, Message::Stale("load/a".into(), 2))]);
        // Whoever missed it is told again, whoever has it is not.
        assert_eq!(
            updates(broadcaster.subscribe(2_300_000, 7, follow("n3", 2, &[]), &jobs)).updates.len(),
            1
        );
        assert_eq!(
            updates(broadcaster.subscribe(2_400_000, 7, follow("n3", 3, &[(2, 1)]), &jobs)).updates,
            []
        );
        // A token that this voter's log does not have yet is newer than all that it knows.
        assert_eq!(broadcaster.publish(2_500_000, 8, publish(3, 1, 0, 2_400_000, 0), &jobs).len(), 1);
        let stale = broadcaster.publish(2_600_000, 9, publish(2, 2, 0, 2_500_000, 0), &jobs);
        assert_eq!(stale, [(9, Message::Stale("load/a".into(), 3))]);
    }

    #[test]
    fn a_word_without_an_age_or_a_job_is_not_kept_and_who_is_silent_is_told_nothing() {
        let (mut broadcaster, jobs) = (Broadcaster::default(), jobs(1));
        broadcaster.subscribe(0, 7, follow("n3", 1, &[]), &jobs);
        assert!(broadcaster.publish(1_000, 8, publish(1, 1, 0, 0, 0), &jobs).is_empty(), "no stamp");
        assert!(
            broadcaster.publish(1_000, 8, publish(1, 1, 0, 900, 300), &jobs).is_empty(),
            "from the future"
        );
        let mut unknown = publish(1, 1, 0, 1, 0);
        unknown.update.job = "load/b".into();
        assert!(broadcaster.publish(1_000, 8, unknown, &jobs).is_empty());
        assert!(
            broadcaster.publish(SILENT, 8, publish(1, 1, 0, 1, 0), &jobs).is_empty(),
            "nobody follows any more"
        );
    }

    #[test]
    fn owners_hear_what_relays_say_to_their_kind_of_jobs() {
        let (mut broadcaster, jobs) = (Broadcaster::default(), jobs(1));
        broadcaster.subscribe(0, 7, follow("n3", 5, &[]), &jobs);
        assert_eq!(
            updates(broadcaster.subscribe(10, 8, follow("n4", 1, &[]), &jobs)).reports,
            [],
            "it owns nothing"
        );
        let reports = updates(broadcaster.subscribe(20, 9, follow("n1", 2, &[]), &jobs)).reports;
        let seen: Vec<_> =
            reports.iter().map(|(relay, age, of)| (&relay.name[..], *age, of[0].body[0])).collect();
        assert_eq!(seen, [("n3", 20, 5), ("n4", 10, 1), ("n1", 0, 2)]);
    }
}
