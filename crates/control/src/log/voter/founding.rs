//! Founding a fleet: the founders introduce their disks to each other, and vote only once each knows all others.
//!
//! Guards against: a founder whose disk was lost and replaced. Voters past the founding answer it that it is no member.

use super::Voter;
use crate::wire;
use crate::wire::message::{Message, ReplyAddress};
use crate::Micros;
use std::collections::BTreeMap;

/// Time between two introductions of a founder that does not know all others yet, in microseconds.
const INTRODUCTION_INTERVAL: Micros = 200_000;
/// The shortest time between two answers to one founder after the founding, in microseconds.
const MIN_ANSWER_INTERVAL: Micros = INTRODUCTION_INTERVAL / 2;

/// The exchange of introductions, as one founder sees it.
pub(super) struct Founding {
    /// The disk numbers of the founders that are known so far, this founder's own among them.
    disk_ids: BTreeMap<u64, u64>,
    next_introduction_at: Micros,
}

impl Founding {
    pub(super) fn new(number: u64, disk_id: u64, now: Micros) -> Founding {
        Founding {
            disk_ids: BTreeMap::from([(number, disk_id)]),
            next_introduction_at: now,
        }
    }
}

impl Voter {
    /// A founder introduces its disk. A voter past the founding answers with its own introduction, or that the other is no
    /// member.
    pub fn handle_founding(&mut self, now: Micros, from: ReplyAddress, number: u64, disk_id: u64) {
        self.now = now;
        let Some(founding) = &mut self.founding else {
            self.answer_founder(from, number, disk_id);
            return;
        };
        if self.state.membership.members.contains_key(&number) {
            founding.disk_ids.insert(number, disk_id);
        }
        self.complete_founding();
    }

    /// Answers an introduction after this voter's own founding. Answers to one founder are limited in rate: two voters that
    /// are both past the founding would otherwise answer each other's answers without end.
    fn answer_founder(&mut self, from: ReplyAddress, number: u64, disk_id: u64) {
        if self.is_not_member(number, disk_id) {
            self.reply(from, Message::NotAMember(number, disk_id));
            return;
        }
        let now = self.now;
        self.introduced_at
            .retain(|_, at| now < *at + MIN_ANSWER_INTERVAL);
        if self.introduced_at.contains_key(&number) {
            return;
        }
        self.introduced_at.insert(number, now);
        self.reply(from, Message::Founding(self.id(), self.disk_id));
    }

    /// Ends the founding once all founders are known: each then knows the same of the others, and votes.
    pub(super) fn complete_founding(&mut self) {
        if !self.missing_founders().is_empty() {
            return;
        }
        let Some(founding) = self.founding.take() else {
            return;
        };
        self.state.membership.record_founders(&founding.disk_ids);
        let state = wire::encode(&self.state);
        self.founding_batch = Some(self.node.mut_store().replace_founding_state(state));
    }

    /// The numbers of founders that have not introduced themselves yet; none once the founding is over.
    pub fn missing_founders(&self) -> Vec<u64> {
        let Some(founding) = &self.founding else {
            return Vec::new();
        };
        let members = &self.state.membership.members;
        members
            .keys()
            .filter(|number| !founding.disk_ids.contains_key(number))
            .copied()
            .collect()
    }

    /// Introductions to the other founders, where they are due.
    pub(super) fn introductions(&mut self) -> Vec<(u64, Message)> {
        let (now, own_id) = (self.now, self.id());
        let introduction = Message::Founding(own_id, self.disk_id);
        let founding = self
            .founding
            .as_mut()
            .filter(|founding| now >= founding.next_introduction_at);
        let Some(founding) = founding else {
            return Vec::new();
        };
        founding.next_introduction_at = now + INTRODUCTION_INTERVAL;
        let members = &self.state.membership.members;
        members
            .keys()
            .filter(|number| **number != own_id)
            .map(|number| (*number, introduction.clone()))
            .collect()
    }
}
