//! Messages that have come, and the voter's work that follows.

use super::{Fleet, LOCAL};
use crate::config::policy;
use crate::log::log;
use crate::platform::ledger::LedgerError;
use crate::sys::boottime;
use jaspermoor_control::log::storage::Stored;
use jaspermoor_control::wire::message::{Answer, Message, Reply};
use std::path::Path;

impl Fleet {
    /// Takes what has come, and does what follows, until nothing does.
    pub(super) fn work(&mut self) {
        loop {
            match self.inbox.pop_front() {
                Some((from, message)) => self.take(from, message),
                None if self.work_of_voter() => {}
                None => return,
            }
        }
    }

    /// Takes one message. One for a voter that this relay is none of is left aside.
    fn take(&mut self, from: u64, message: Message) {
        match message {
            Message::Reply(reply) => self.take_reply(reply),
            Message::Updates(_) | Message::Delivery(_) | Message::Receipt(_) => {
                self.hear_updates(from, message)
            }
            Message::Stale(job, token) => self.take_stale(&job, token),
            Message::Answer(_, Answer::Token(job, token)) => {
                if let Some((worker, _)) = &mut self.work {
                    worker.known(&job, token);
                }
            }
            message => self.take_for_voter(from, message),
        }
    }

    fn take_reply(&mut self, reply: Reply) {
        let check = |text: &str| {
            policy::read(Path::new("policy"), text)
                .map(drop)
                .map_err(|e| e.to_string())
        };
        let effects = self.lease_client.heard(boottime(), reply, check);
        self.carry_out(effects);
        self.publish();
    }

    fn take_stale(&mut self, job: &str, token: u64) {
        if let Some((worker, _)) = &mut self.work {
            log(&format!(
                "fleet: {job} has token {token} by now: it acts on it no more"
            ));
            worker.stale(boottime(), &mut self.lease_client, job, token);
        }
    }

    fn take_for_voter(&mut self, from: u64, message: Message) {
        let now = boottime();
        let Some(voter) = &mut self.voter else { return };
        match message {
            Message::Founding(number, incarnation) => voter.founder(now, from, number, incarnation),
            Message::Gone(number, incarnation)
                if number == voter.id() && incarnation == voter.incarnation() =>
            {
                let remedy = "another under a new number may take its place";
                self.end_vote(&format!(
                    "this voter was removed, or its ledger made anew: {remedy}"
                ));
            }
            Message::Log(incarnation, bytes) => {
                if let Err(damaged) = voter.step(now, from, incarnation, &bytes) {
                    let remedy =
                        "its disk must be replaced, and a voter of a new number take its place";
                    self.give_up_vote(&format!("the ledger: {}: {remedy}", damaged.0));
                }
            }
            Message::Renew(renew) => voter.renew(now, from, renew),
            Message::Ask(number, ask) => voter.ask(now, from, number, ask),
            Message::Subscribe(subscribe) => voter.subscribe(now, from, subscribe),
            Message::Publish(publish) => voter.publish(now, from, publish),
            Message::Poll(poll) => voter.poll(now, from, poll),
            Message::Submission(submission) => voter.submit(now, from, submission),
            _ => {}
        }
    }

    /// Does what this relay's voter wants done: stores first, then sends. False where there is nothing to do.
    fn work_of_voter(&mut self) -> bool {
        let Some(voter) = &mut self.voter else {
            return false;
        };
        let work = voter.work(boottime());
        if let Some(why) = voter.ended() {
            self.end_vote(why.0);
            return false;
        }
        if work.is_empty() {
            return false;
        }
        if let Err(e) = self.store(&work.store) {
            self.give_up_vote(&e.to_string());
            return false;
        }
        for (voter, message) in work.to_voters {
            self.send_to_voter(voter, message);
        }
        for (to, message) in work.answers {
            if to == LOCAL {
                self.inbox.push_back((LOCAL, message));
            } else {
                self.send(to, message);
            }
        }
        true
    }

    fn store(&self, stored: &Stored) -> Result<(), LedgerError> {
        #[cfg(feature = "injected-bugs")]
        if super::injected().is(jaspermoor_control::InjectedBug::SkipStore) {
            return Ok(());
        }
        match &self.ledger {
            Some(ledger) if !stored.is_empty() => ledger.store(stored),
            _ => Ok(()),
        }
    }
}
