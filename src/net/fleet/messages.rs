//! Messages that have come, and the voter's work that follows.

use super::{Fleet, LOCAL};
use crate::config::policy;
use crate::log::log;
use crate::platform::ledger::LedgerError;
use crate::sys::boottime;
use jaspermoor_control::log::storage::PersistBatch;
use jaspermoor_control::wire::message::{Message, OperatorResponse, RenewResponse};
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
            Message::RenewResponse(reply) => self.take_reply(reply),
            Message::Updates(_) | Message::Delivery(_) | Message::Receipt(_) => {
                self.hear_updates(from, message)
            }
            Message::StaleToken(job, token) => self.take_stale(&job, token),
            Message::OperatorResponse(_, OperatorResponse::Token(job, token)) => {
                if let Some((worker, _)) = &mut self.work {
                    worker.learn_token(&job, token);
                }
            }
            message => self.take_for_voter(from, message),
        }
    }

    fn take_reply(&mut self, reply: RenewResponse) {
        let check = |text: &str| {
            policy::read(Path::new("policy"), text)
                .map(drop)
                .map_err(|e| e.to_string())
        };
        let effects = self.lease_client.handle_response(boottime(), reply, check);
        self.carry_out(effects);
        self.publish();
    }

    fn take_stale(&mut self, job: &str, token: u64) {
        if let Some((worker, _)) = &mut self.work {
            log(&format!(
                "fleet: {job} has token {token} by now: it acts on it no more"
            ));
            worker.handle_stale_token(boottime(), &mut self.lease_client, job, token);
        }
    }

    fn take_for_voter(&mut self, from: u64, message: Message) {
        let now = boottime();
        let Some(voter) = &mut self.voter else { return };
        match message {
            Message::Founding(number, incarnation) => {
                voter.handle_founding(now, from, number, incarnation)
            }
            Message::NotAMember(number, incarnation)
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
            Message::RenewRequest(renew) => voter.handle_renew(now, from, renew),
            Message::OperatorRequest(number, ask) => {
                voter.handle_operator_request(now, from, number, ask)
            }
            Message::Subscribe(subscribe) => voter.handle_subscribe(now, from, subscribe),
            Message::Publish(publish) => voter.handle_publish(now, from, publish),
            Message::Poll(poll) => voter.handle_poll(now, from, poll),
            Message::Submission(submission) => voter.handle_submission(now, from, submission),
            _ => {}
        }
    }

    /// Does what this relay's voter wants done: stores first, then sends. False where there is nothing to do.
    fn work_of_voter(&mut self) -> bool {
        let Some(voter) = &mut self.voter else {
            return false;
        };
        let work = voter.ready(boottime());
        if let Some(why) = voter.fatal_error() {
            self.end_vote(why.0);
            return false;
        }
        if work.is_empty() {
            return false;
        }
        if let Err(e) = self.store(&work.persist) {
            self.give_up_vote(&e.to_string());
            return false;
        }
        for (voter, message) in work.voter_messages {
            self.send_to_voter(voter, message);
        }
        for (to, message) in work.replies {
            if to == LOCAL {
                self.inbox.push_back((LOCAL, message));
            } else {
                self.send(to, message);
            }
        }
        true
    }

    fn store(&self, stored: &PersistBatch) -> Result<(), LedgerError> {
        #[cfg(feature = "injected-bugs")]
        if super::injected().is(jaspermoor_control::InjectedBug::SkipStore) {
            return Ok(());
        }
        match &self.ledger {
            Some(ledger) if !stored.is_empty() => ledger.persist_log(stored),
            _ => Ok(()),
        }
    }
}
