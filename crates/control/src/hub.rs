//! A voter's side of what owners of jobs tell all relays: it keeps the newest word of each job, hands it on to the relays
//! that follow it, and hands owners what relays say to their kinds of jobs.
//!
//! No clock is compared with another: each word bears how old it is at most, reckoned from a question and its answer. A
//! word that was held back on its way is as old as it is when it comes.
//!
//! Guards against: a word under an old token (it is refused with the newer one, which stops its sender), an owner that
//! answers nobody (its words grow old, and relays see how old), a relay that fell silent (it is told nothing more), and
//! words of jobs that there are not (they are not kept).

use crate::message::{kind_of, Fact, Follow, From, Item, Message, News, Publish, Relay};
use crate::owners::{Job, Jobs, Token};
use crate::{at_least, at_most, Micros, Plant, Planted};
use std::collections::BTreeMap;

/// Relays that follow one voter at most: beyond that they are told nothing, and follow another.
const FOLLOWERS: usize = 4096;
/// Who has not asked for so long follows no more.
const SILENT: Micros = 3_000_000;
/// The longest word, and the longest fact of a relay, in bytes; kinds of facts of one relay.
const MOST_BODY: usize = 64 * 1024;
const MOST_FACT: usize = 1024;
const MOST_FACTS: usize = 8;
/// A word older than that is not handed on: whoever could use it asks for itself.
const OLD: Micros = 30_000_000;

struct Follower {
    relay: Relay,
    number: u64,
    heard: Micros,
    knows: BTreeMap<String, (Token, u64)>,
    facts: Vec<Fact>,
}

struct Kept {
    item: Item,
    /// When it was true, at the earliest, by this voter's clock.
    at: Micros,
}

/// See the module's text.
#[derive(Default)]
pub struct Hub {
    planted: Planted,
    followers: BTreeMap<From, Follower>,
    newest: BTreeMap<String, Kept>,
}

impl Hub {
    /// One with a fault in it: for tests of the checkers.
    #[cfg(feature = "plants")]
    pub fn planted(planted: Planted) -> Hub {
        Hub { planted, ..Hub::default() }
    }

    /// A relay follows. It is told what it does not have, and, as an owner, what others say to its jobs.
    pub fn follow(&mut self, now: Micros, from: From, follow: Follow, jobs: &Jobs) -> Option<Message> {
        self.followers.retain(|_, follower| now < follower.heard + SILENT);
        if !self.followers.contains_key(&from) && self.followers.len() >= FOLLOWERS {
            return None;
        }
        let mut facts = follow.facts;
        facts.retain(|fact| fact.body.len() <= MOST_FACT);
        facts.truncate(MOST_FACTS);
        let knows = follow.knows.into_iter().map(|(job, token, number)| (job, (token, number))).collect();
        let follower = Follower { relay: follow.relay, number: follow.number, heard: now, knows, facts };
        let mut news = self.news(now, &follower);
        let owns = |kind: &str| {
            let own = |(name, job): (&String, &Job)| {
                kind_of(name) == kind && job.owner.as_ref() == Some(&follower.relay)
            };
            jobs.of.iter().any(own)
        };
        for other in self.followers.values().chain([&follower]) {
            let facts: Vec<Fact> = other.facts.iter().filter(|fact| owns(&fact.kind)).cloned().collect();
            if !facts.is_empty() {
                news.facts.push((other.relay.clone(), now - other.heard, facts));
            }
        }
        news.items = self.newest.values().filter_map(|kept| self.word(now, kept, &follower)).collect();
        self.followers.insert(from, follower);
        Some(Message::News(news))
    }

    /// An owner has a word for all. What comes of it goes to whoever it is for.
    pub fn publish(
        &mut self,
        now: Micros,
        from: From,
        publish: Publish,
        jobs: &Jobs,
    ) -> Vec<(From, Message)> {
        let Publish { item, stamp, since } = publish;
        let Some(job) = jobs.of.get(&item.job) else { return Vec::new() };
        // What the log here says may lag behind, so a higher token is one that this voter has yet to hear of.
        let highest = self.newest.get(&item.job).map_or(0, |kept| kept.item.token).max(job.token);
        if item.token < highest && !self.planted.is(Plant::NoFence) {
            return vec![(from, Message::Stale(item.job, highest))];
        }
        let newer = self.newest.get(&item.job).is_none_or(|kept| {
            (item.token, item.number) > (kept.item.token, kept.item.number) || self.planted.is(Plant::NoFence)
        });
        // It was sent after this voter had told its clock: without that its age is not known.
        let sent = stamp.saturating_add(at_least(since));
        if !newer || stamp == 0 || sent > now || item.body.len() > MOST_BODY {
            return Vec::new();
        }
        let (name, at) = (item.job.clone(), sent.saturating_sub(at_most(item.age)));
        self.newest.insert(name.clone(), Kept { item, at });
        self.newest.retain(|name, kept| jobs.of.contains_key(name) && now < kept.at + OLD);
        let Some(kept) = self.newest.get(&name) else { return Vec::new() };
        let mut out = Vec::new();
        for (to, follower) in &self.followers {
            if now >= follower.heard + SILENT {
                continue;
            }
            if let Some(item) = self.word(now, kept, follower) {
                let news = News { items: vec![item], ..self.news(now, follower) };
                out.push((*to, Message::News(news)));
            }
        }
        out
    }

    /// A link has ended.
    pub fn gone(&mut self, from: From) {
        self.followers.remove(&from);
    }

    /// Relays that follow.
    pub fn followers(&self) -> usize {
        self.followers.len()
    }

    fn news(&self, now: Micros, follower: &Follower) -> News {
        News {
            start: follower.relay.start,
            number: follower.number,
            since: now - follower.heard,
            stamp: now,
            ..News::default()
        }
    }

    /// The word as this follower is to be told it; none where it has it, or a newer one.
    fn word(&self, now: Micros, kept: &Kept, follower: &Follower) -> Option<Item> {
        let age = now.saturating_sub(kept.at);
        let own = (kept.item.token, kept.item.number);
        let knows = follower.knows.get(&kept.item.job).is_some_and(|of| *of >= own);
        let tells = !knows || self.planted.is(Plant::NoFence);
        (tells && age < OLD).then(|| Item { age, ..kept.item.clone() })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::owners::Deal;

    fn relay(name: &str) -> Relay {
        Relay { name: name.into(), start: 1 }
    }

    fn jobs(tokens: u64) -> Jobs {
        let mut jobs = Jobs::default();
        jobs.apply(Deal::Open(vec!["load/a".into()]));
        for token in 1..=tokens {
            jobs.apply(Deal::Give(vec![("load/a".into(), relay(&format!("n{token}")))]));
            if token < tokens {
                jobs.apply(Deal::Free(vec![("load/a".into(), token)]));
            }
        }
        jobs
    }

    fn follow(name: &str, number: u64, knows: &[(Token, u64)]) -> Follow {
        let knows = knows.iter().map(|(token, number)| ("load/a".to_string(), *token, *number)).collect();
        let facts = vec![Fact { kind: "load".into(), body: vec![number as u8] }];
        Follow { relay: relay(name), number, knows, facts }
    }

    fn publish(token: Token, number: u64, age: Micros, stamp: Micros, since: Micros) -> Publish {
        let item = Item { job: "load/a".into(), token, number, age, body: vec![token as u8] };
        Publish { item, stamp, since }
    }

    fn news(message: Option<Message>) -> News {
        match message {
            Some(Message::News(news)) => news,
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn a_word_is_as_old_as_it_is_and_one_of_an_owner_of_before_stops_its_sender() {
        let (mut hub, jobs) = (Hub::default(), jobs(2));
        assert_eq!(news(hub.follow(1_000_000, 7, follow("n3", 1, &[]), &jobs)).items, []);
        // Sent 100 ms after the stamp, true 50 ms before that, held back for a second on its way.
        let out = hub.publish(2_100_000, 8, publish(2, 1, 50_000, 1_000_000, 100_000), &jobs);
        let [(7, Message::News(told))] = &out[..] else { panic!("{out:?}") };
        // And a hundredth of each span, by which clocks may differ.
        assert_eq!((told.number, told.since, told.items[0].age), (1, 1_100_000, 1_051_500));
        let stale = hub.publish(2_200_000, 9, publish(1, 9, 0, 2_000_000, 0), &jobs);
        assert_eq!(stale, [(9, Message::Stale("load/a".into(), 2))]);
        // Whoever missed it is told again, whoever has it is not.
        assert_eq!(news(hub.follow(2_300_000, 7, follow("n3", 2, &[]), &jobs)).items.len(), 1);
        assert_eq!(news(hub.follow(2_400_000, 7, follow("n3", 3, &[(2, 1)]), &jobs)).items, []);
        // A token that this voter's log does not have yet is newer than all that it knows.
        assert_eq!(hub.publish(2_500_000, 8, publish(3, 1, 0, 2_400_000, 0), &jobs).len(), 1);
        let stale = hub.publish(2_600_000, 9, publish(2, 2, 0, 2_500_000, 0), &jobs);
        assert_eq!(stale, [(9, Message::Stale("load/a".into(), 3))]);
    }

    #[test]
    fn a_word_without_an_age_or_a_job_is_not_kept_and_who_is_silent_is_told_nothing() {
        let (mut hub, jobs) = (Hub::default(), jobs(1));
        hub.follow(0, 7, follow("n3", 1, &[]), &jobs);
        assert!(hub.publish(1_000, 8, publish(1, 1, 0, 0, 0), &jobs).is_empty(), "no stamp");
        assert!(hub.publish(1_000, 8, publish(1, 1, 0, 900, 300), &jobs).is_empty(), "from the future");
        let mut unknown = publish(1, 1, 0, 1, 0);
        unknown.item.job = "load/b".into();
        assert!(hub.publish(1_000, 8, unknown, &jobs).is_empty());
        assert!(hub.publish(SILENT, 8, publish(1, 1, 0, 1, 0), &jobs).is_empty(), "nobody follows any more");
    }

    #[test]
    fn owners_hear_what_relays_say_to_their_kind_of_jobs() {
        let (mut hub, jobs) = (Hub::default(), jobs(1));
        hub.follow(0, 7, follow("n3", 5, &[]), &jobs);
        assert_eq!(news(hub.follow(10, 8, follow("n4", 1, &[]), &jobs)).facts, [], "it owns nothing");
        let facts = news(hub.follow(20, 9, follow("n1", 2, &[]), &jobs)).facts;
        let seen: Vec<_> =
            facts.iter().map(|(relay, age, of)| (&relay.name[..], *age, of[0].body[0])).collect();
        assert_eq!(seen, [("n3", 20, 5), ("n4", 10, 1), ("n1", 0, 2)]);
    }
}
