//! A relay's side of what owners of jobs tell all relays: it follows one voter's updates (an owner: all voters'), obeys no
//! word of an owner of before, and knows how old each word is at most.
//!
//! Guards against: a word that was held back on its way (its age is reckoned from this relay's own question), a word
//! of an owner of before (`fence.rs`), one that comes twice or late (numbers only grow under a token), a voter that has
//! fallen silent (the next one is followed), and an answer to the process before this one.

use crate::jobs::assignment::Token;
use crate::jobs::fence::{Fence, Verdict};
use crate::wire::message::{Message, Publish, Relay, Report, Subscribe, Update, Updates};
#[cfg(feature = "injected-bugs")]
use crate::InjectedBugs;
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

/// What updates has brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// Words to be obeyed.
    pub orders: Vec<Order>,
    /// What relays say to this owner's kinds of jobs, and since when that has been so at the earliest.
    pub reports: Vec<(Relay, Micros, Vec<Report>)>,
    /// Words of owners of before that were refused.
    pub refused: usize,
    /// Jobs whose token has to be asked for before anybody is obeyed; [`Subscriber::known`] takes the answer.
    pub ask: Vec<String>,
}

/// See the module's text.
pub struct Subscriber {
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

impl Subscriber {
    /// A relay that has just started: it obeys nobody before it knows how far the tokens are.
    pub fn new(relay: Relay) -> Subscriber {
        Subscriber {
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
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(mut self, injected: InjectedBugs) -> Subscriber {
        self.fence = Fence::with_injected(injected);
        self
    }

    /// Time has passed: what it asks, and of whom. Whoever owns follows all, since all are to hear what it says.
    pub fn tick(
        &mut self,
        now: Micros,
        voters: &[u64],
        owns: bool,
        reports: impl FnOnce() -> Vec<Report>,
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
        let reports = reports();
        to.into_iter().map(|voter| (voter, Message::Subscribe(self.ask(now, voter, &reports)))).collect()
    }

    fn ask(&mut self, now: Micros, voter: u64, reports: &[Report]) -> Subscribe {
        let asked = self.asked.entry(voter).or_default();
        if asked.len() == ASKED {
            asked.pop_front();
        }
        asked.push_back((self.number, now));
        let knows = self.known.iter().map(|(job, (token, number))| (job.clone(), *token, *number)).collect();
        Subscribe { relay: self.relay.clone(), number: self.number, knows, reports: reports.to_vec() }
    }

    /// A voter has told something. `last` is the last token that the fleet has given, as a leader told this process.
    pub fn heard(
        &mut self,
        now: Micros,
        voter: u64,
        voters: &[u64],
        last: Option<Token>,
        updates: Updates,
    ) -> Heard {
        let mut heard = Heard::default();
        if updates.start != self.relay.start {
            return heard;
        }
        let asked = self.asked.get(&voter).and_then(|asked| asked.iter().find(|(n, _)| *n == updates.number));
        let Some((_, asked)) = asked.copied() else { return heard };
        if voters.get(self.at % voters.len().max(1)) == Some(&voter) {
            self.since = now;
        }
        // It was sent no earlier than that by this relay's clock: so long after the question came there.
        let sent = (asked + at_least(updates.since)).min(now);
        self.stamps.insert(voter, (updates.stamp, now));
        last.iter().for_each(|last| self.fence.floor(*last));
        for update in updates.updates {
            match self.fence.take(&update.job, update.token) {
                Verdict::Obey => heard.orders.extend(self.obey(sent, update)),
                Verdict::Stale(_) => heard.refused += 1,
                // It comes again with the answer to the next question.
                Verdict::Ask => heard.ask.push(update.job),
            }
        }
        let told = |(relay, age, reports): (Relay, Micros, Vec<Report>)| {
            (relay, sent.saturating_sub(at_most(age)), reports)
        };
        heard.reports = updates.reports.into_iter().map(told).collect();
        heard
    }

    fn obey(&mut self, sent: Micros, update: Update) -> Option<Order> {
        let before = self.known.get(&update.job).copied();
        if before == Some((update.token, update.number))
            || before.is_some_and(|(t, n)| t == update.token && n > update.number)
        {
            return None;
        }
        self.known.insert(update.job.clone(), (update.token, update.number));
        let first = before.is_none_or(|(token, _)| token != update.token);
        let at = sent.saturating_sub(at_most(update.age));
        Some(Order { job: update.job, token: update.token, at, body: update.body, first })
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
        let update = Update { job: job.into(), token, number: self.published, age, body: body.to_vec() };
        let to = |(voter, (stamp, at)): (&u64, &(Micros, Micros))| {
            let publish = Publish { update: update.clone(), stamp: *stamp, since: now - at };
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

    fn subscriber() -> Subscriber {
        Subscriber::new(Relay { name: "n1".into(), start: 4 })
    }

    fn asks(subscriber: &mut Subscriber, now: Micros, owns: bool) -> Vec<(u64, u64)> {
        let said = subscriber.tick(now, &[1, 2, 3], owns, Vec::new);
        let number = |message: &Message| match message {
            Message::Subscribe(follow) => follow.number,
            other => panic!("{other:?}"),
        };
        said.iter().map(|(voter, message)| (*voter, number(message))).collect()
    }

    fn updates(number: u64, since: Micros, updates: &[(Token, u64, Micros)]) -> Updates {
        let update = |(token, number, age): &(Token, u64, Micros)| Update {
            job: "load/a".into(),
            token: *token,
            number: *number,
            age: *age,
            body: Vec::new(),
        };
        let updates = updates.iter().map(update).collect();
        Updates { start: 4, number, since, stamp: 77, updates, reports: Vec::new() }
    }

    #[test]
    fn a_word_is_no_younger_than_its_way_was_long_and_none_of_before_is_obeyed() {
        let mut subscriber = subscriber();
        let (voter, number) = asks(&mut subscriber, 1_000_000, false)[0];
        let hears = |subscriber: &mut Subscriber, now, updates| {
            subscriber.heard(now, voter, &[1, 2, 3], Some(3), updates)
        };
        // Sent 200 ms after its question came there, true 100 ms before; here much later.
        let heard = hears(&mut subscriber, 9_000_000, updates(number, 200_000, &[(5, 1, 100_000)]));
        assert_eq!((heard.orders[0].at, heard.orders[0].first), (1_097_000, true));
        let heard =
            hears(&mut subscriber, 9_100_000, updates(number, 200_000, &[(5, 1, 0), (4, 9, 0), (5, 2, 0)]));
        assert_eq!((heard.orders.len(), heard.refused), (1, 1), "once each, and none of before");
        assert!(!heard.orders[0].first);
        // Numbers begin anew with each owner; an answer to the process before this one counts for nothing.
        assert_eq!(hears(&mut subscriber, 9_200_000, updates(number, 0, &[(6, 1, 0)])).orders.len(), 1);
        let other = Updates { start: 3, ..updates(number, 0, &[(7, 1, 0)]) };
        assert_eq!(hears(&mut subscriber, 9_200_000, other), Heard::default());
        assert_eq!(
            hears(&mut subscriber, 9_200_000, updates(99, 0, &[(7, 1, 0)])),
            Heard::default(),
            "never asked"
        );
    }

    #[test]
    fn one_that_has_just_started_asks_for_the_token_first() {
        let mut subscriber = subscriber();
        let (voter, number) = asks(&mut subscriber, 0, false)[0];
        let said = updates(number, 0, &[(3, 1, 0)]);
        let heard = subscriber.heard(1, voter, &[1, 2, 3], Some(9), said.clone());
        assert_eq!((heard.orders.len(), heard.ask), (0, vec!["load/a".to_string()]));
        subscriber.known("load/a", 3);
        assert_eq!(subscriber.heard(2, voter, &[1, 2, 3], Some(9), said).orders.len(), 1);
    }

    #[test]
    fn it_follows_the_next_voter_where_one_is_silent_and_as_an_owner_all() {
        let mut subscriber = subscriber();
        let first = asks(&mut subscriber, 1, false)[0].0;
        assert_eq!(asks(&mut subscriber, 2, false), [], "not before it is time");
        let mut followed = Vec::new();
        for n in 1..=9 {
            followed.push(asks(&mut subscriber, 1 + n * PACE, false)[0].0);
        }
        assert_eq!(followed.iter().collect::<BTreeSet<_>>().len(), 3);
        assert_eq!(followed[..2], [first, first]);
        assert_eq!(asks(&mut subscriber, 20 * PACE, true).len(), 3);
        // Without a voter's clock its words would have no age.
        assert!(subscriber.publish(20 * PACE, "load/a", 1, 0, &[]).is_empty());
        subscriber.heard(20 * PACE + 1, 2, &[1, 2, 3], None, updates(subscriber.number, 0, &[]));
        let said = subscriber.publish(20 * PACE + 5, "load/a", 1, 7, &[]);
        let [(2, Message::Publish(publish))] = &said[..] else { panic!("{said:?}") };
        assert_eq!((publish.stamp, publish.since, publish.update.age), (77, 4, 7));
    }
}
