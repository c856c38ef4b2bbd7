//! A relay's side of what owners of jobs tell all relays: it follows one voter's news (an owner: all voters'), obeys no
//! word of an owner of before, and knows how old each word is at most.
//!
//! Guards against: a word that was held back on its way (its age is reckoned from this relay's own question), a word
//! of an owner of before (`fence.rs`), one that comes twice or late (numbers only grow under a token), a voter that has
//! fallen silent (the next one is followed), and an answer to the process before this one.

use crate::fence::{Fence, Verdict};
use crate::message::{Fact, Follow, Item, Message, News, Publish, Relay};
use crate::owners::Token;
#[cfg(feature = "plants")]
use crate::Planted;
use crate::{at_least, at_most, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

/// A relay asks its voter so often what is new; what an owner says meanwhile is told at once.
pub const PACE: Micros = 500_000;
/// A voter that has told nothing for so long is left for the next one: three questions are without an answer.
const SILENT: Micros = 3 * PACE;
/// Questions to a voter whose answers may still come.
const ASKED: usize = 16;

/// A word that it obeys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The job, and the token under which it was said.
    pub job: String,
    /// See `job`.
    pub token: Token,
    /// When it was true, at the earliest, by this relay's clock.
    pub at: Micros,
    /// What it says.
    pub body: Vec<u8>,
    /// Whether it is the first that it obeys under this token.
    pub first: bool,
}

/// What news has brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// Words to be obeyed.
    pub orders: Vec<Order>,
    /// What relays say to this owner's kinds of jobs, and since when that has been so at the earliest.
    pub facts: Vec<(Relay, Micros, Vec<Fact>)>,
    /// Words of owners of before that were refused.
    pub refused: usize,
    /// Jobs whose token has to be asked for before anybody is obeyed; [`Follower::known`] takes the answer.
    pub ask: Vec<String>,
}

/// See the module's text.
pub struct Follower {
    relay: Relay,
    number: u64,
    next: Micros,
    /// Which voter it follows, as a place among all.
    at: usize,
    /// When it last heard of that one, or turned to it.
    since: Micros,
    asked: BTreeMap<u64, VecDeque<(u64, Micros)>>,
    /// Each voter's clock as it was told last, and when that was here.
    stamps: BTreeMap<u64, (Micros, Micros)>,
    fence: Fence,
    known: BTreeMap<String, (Token, u64)>,
    published: u64,
}

impl Follower {
    /// A relay that has just started: it obeys nobody before it knows how far the tokens are.
    pub fn new(relay: Relay) -> Follower {
        Follower {
            at: xxh3_64(relay.name.as_bytes()) as usize,
            relay,
            number: 0,
            next: 0,
            since: 0,
            asked: BTreeMap::new(),
            stamps: BTreeMap::new(),
            fence: Fence::default(),
            known: BTreeMap::new(),
            published: 0,
        }
    }

    /// The same with a fault in it: for tests of the checkers.
    #[cfg(feature = "plants")]
    pub fn planted(mut self, planted: Planted) -> Follower {
        self.fence = Fence::planted(planted);
        self
    }

    /// Time has passed: what it asks, and of whom. Whoever owns follows all, since all are to hear what it says.
    pub fn tick(
        &mut self,
        now: Micros,
        voters: &[u64],
        owns: bool,
        facts: impl FnOnce() -> Vec<Fact>,
    ) -> Vec<(u64, Message)> {
        if now < self.next || voters.is_empty() {
            return Vec::new();
        }
        self.next = now + PACE;
        if now >= self.since + SILENT {
            // The first time it is the one that its name chose.
            self.at = if self.since == 0 { self.at } else { self.at.wrapping_add(1) };
            self.since = now;
        }
        self.asked.retain(|voter, _| voters.contains(voter));
        self.stamps.retain(|voter, _| voters.contains(voter));
        self.number += 1;
        let own = voters[self.at % voters.len()];
        let of = |voter: &&u64| owns || **voter == own;
        let to: Vec<u64> = voters.iter().filter(of).copied().collect();
        let facts = facts();
        to.into_iter().map(|voter| (voter, Message::Follow(self.ask(now, voter, &facts)))).collect()
    }

    fn ask(&mut self, now: Micros, voter: u64, facts: &[Fact]) -> Follow {
        let asked = self.asked.entry(voter).or_default();
        if asked.len() == ASKED {
            asked.pop_front();
        }
        asked.push_back((self.number, now));
        let knows = self.known.iter().map(|(job, (token, number))| (job.clone(), *token, *number)).collect();
        Follow { relay: self.relay.clone(), number: self.number, knows, facts: facts.to_vec() }
    }

    /// A voter has told something. `last` is the last token that the fleet has given, as a leader told this process.
    pub fn heard(
        &mut self,
        now: Micros,
        voter: u64,
        voters: &[u64],
        last: Option<Token>,
        news: News,
    ) -> Heard {
        let mut heard = Heard::default();
        if news.start != self.relay.start {
            return heard;
        }
        let asked = self.asked.get(&voter).and_then(|asked| asked.iter().find(|(n, _)| *n == news.number));
        let Some((_, asked)) = asked.copied() else { return heard };
        if voters.get(self.at % voters.len().max(1)) == Some(&voter) {
            self.since = now;
        }
        // It was sent no earlier than that by this relay's clock: so long after the question came there.
        let sent = (asked + at_least(news.since)).min(now);
        self.stamps.insert(voter, (news.stamp, now));
        last.iter().for_each(|last| self.fence.floor(*last));
        for item in news.items {
            match self.fence.take(&item.job, item.token) {
                Verdict::Obey => heard.orders.extend(self.obey(sent, item)),
                Verdict::Stale(_) => heard.refused += 1,
                // It comes again with the answer to the next question.
                Verdict::Ask => heard.ask.push(item.job),
            }
        }
        let told = |(relay, age, facts): (Relay, Micros, Vec<Fact>)| {
            (relay, sent.saturating_sub(at_most(age)), facts)
        };
        heard.facts = news.facts.into_iter().map(told).collect();
        heard
    }

    fn obey(&mut self, sent: Micros, item: Item) -> Option<Order> {
        let before = self.known.get(&item.job).copied();
        if before == Some((item.token, item.number))
            || before.is_some_and(|(t, n)| t == item.token && n > item.number)
        {
            return None;
        }
        self.known.insert(item.job.clone(), (item.token, item.number));
        let first = before.is_none_or(|(token, _)| token != item.token);
        let at = sent.saturating_sub(at_most(item.age));
        Some(Order { job: item.job, token: item.token, at, body: item.body, first })
    }

    /// The token that a job has now, as the leader says.
    pub fn known(&mut self, job: &str, token: Token) {
        self.fence.known(job, token);
    }

    /// What an owner says to all, true so long ago: handed to each voter whose clock it has been told.
    pub fn publish(
        &mut self,
        now: Micros,
        job: &str,
        token: Token,
        age: Micros,
        body: &[u8],
    ) -> Vec<(u64, Message)> {
        self.published += 1;
        let item = Item { job: job.into(), token, number: self.published, age, body: body.to_vec() };
        let to = |(voter, (stamp, at)): (&u64, &(Micros, Micros))| {
            let publish = Publish { item: item.clone(), stamp: *stamp, since: now - at };
            (*voter, Message::Publish(publish))
        };
        self.stamps.iter().map(to).collect()
    }

    /// When it asks next.
    pub fn due(&self) -> Micros {
        self.next
    }

    /// Jobs that it has obeyed an owner of.
    pub fn obeyed(&self) -> BTreeSet<&str> {
        self.known.keys().map(String::as_str).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn follower() -> Follower {
        Follower::new(Relay { name: "n1".into(), start: 4 })
    }

    fn asks(follower: &mut Follower, now: Micros, owns: bool) -> Vec<(u64, u64)> {
        let said = follower.tick(now, &[1, 2, 3], owns, Vec::new);
        let number = |message: &Message| match message {
            Message::Follow(follow) => follow.number,
            other => panic!("{other:?}"),
        };
        said.iter().map(|(voter, message)| (*voter, number(message))).collect()
    }

    fn news(number: u64, since: Micros, items: &[(Token, u64, Micros)]) -> News {
        let item = |(token, number, age): &(Token, u64, Micros)| Item {
            job: "load/a".into(),
            token: *token,
            number: *number,
            age: *age,
            body: Vec::new(),
        };
        let items = items.iter().map(item).collect();
        News { start: 4, number, since, stamp: 77, items, facts: Vec::new() }
    }

    #[test]
    fn a_word_is_no_younger_than_its_way_was_long_and_none_of_before_is_obeyed() {
        let mut follower = follower();
        let (voter, number) = asks(&mut follower, 1_000_000, false)[0];
        let hears =
            |follower: &mut Follower, now, news| follower.heard(now, voter, &[1, 2, 3], Some(3), news);
        // Sent 200 ms after its question came there, true 100 ms before; here much later.
        let heard = hears(&mut follower, 9_000_000, news(number, 200_000, &[(5, 1, 100_000)]));
        assert_eq!((heard.orders[0].at, heard.orders[0].first), (1_097_000, true));
        let heard =
            hears(&mut follower, 9_100_000, news(number, 200_000, &[(5, 1, 0), (4, 9, 0), (5, 2, 0)]));
        assert_eq!((heard.orders.len(), heard.refused), (1, 1), "once each, and none of before");
        assert!(!heard.orders[0].first);
        // Numbers begin anew with each owner; an answer to the process before this one counts for nothing.
        assert_eq!(hears(&mut follower, 9_200_000, news(number, 0, &[(6, 1, 0)])).orders.len(), 1);
        let other = News { start: 3, ..news(number, 0, &[(7, 1, 0)]) };
        assert_eq!(hears(&mut follower, 9_200_000, other), Heard::default());
        assert_eq!(
            hears(&mut follower, 9_200_000, news(99, 0, &[(7, 1, 0)])),
            Heard::default(),
            "never asked"
        );
    }

    #[test]
    fn one_that_has_just_started_asks_for_the_token_first() {
        let mut follower = follower();
        let (voter, number) = asks(&mut follower, 0, false)[0];
        let said = news(number, 0, &[(3, 1, 0)]);
        let heard = follower.heard(1, voter, &[1, 2, 3], Some(9), said.clone());
        assert_eq!((heard.orders.len(), heard.ask), (0, vec!["load/a".to_string()]));
        follower.known("load/a", 3);
        assert_eq!(follower.heard(2, voter, &[1, 2, 3], Some(9), said).orders.len(), 1);
    }

    #[test]
    fn it_follows_the_next_voter_where_one_is_silent_and_as_an_owner_all() {
        let mut follower = follower();
        let first = asks(&mut follower, 1, false)[0].0;
        assert_eq!(asks(&mut follower, 2, false), [], "not before it is time");
        let mut followed = Vec::new();
        for n in 1..=9 {
            followed.push(asks(&mut follower, 1 + n * PACE, false)[0].0);
        }
        assert_eq!(followed.iter().collect::<BTreeSet<_>>().len(), 3);
        assert_eq!(followed[..2], [first, first]);
        assert_eq!(asks(&mut follower, 20 * PACE, true).len(), 3);
        // Without a voter's clock its words would have no age.
        assert!(follower.publish(20 * PACE, "load/a", 1, 0, &[]).is_empty());
        follower.heard(20 * PACE + 1, 2, &[1, 2, 3], None, news(follower.number, 0, &[]));
        let said = follower.publish(20 * PACE + 5, "load/a", 1, 7, &[]);
        let [(2, Message::Publish(publish))] = &said[..] else { panic!("{said:?}") };
        assert_eq!((publish.stamp, publish.since, publish.item.age), (77, 4, 7));
    }
}
