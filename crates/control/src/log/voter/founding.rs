//! Founding of a fleet: the founders exchange the numbers of their disks, and each votes only once
//! it knows those of all others.
//!
//! Guards against: a founder whose disk was lost and replaced. Voters that have completed the
//! founding answer it that it is not a member.

use super::Voter;
use crate::wire;
use crate::wire::message::{Message, ReplyAddress};
use crate::Micros;
use std::collections::BTreeMap;

/// Interval between two introductions of a founder that does not know all others yet, in
/// microseconds.
const INTRODUCTION_INTERVAL: Micros = 200_000;
/// Minimum interval between two answers to one founder after the founding, in microseconds.
const MIN_ANSWER_INTERVAL: Micros = INTRODUCTION_INTERVAL / 2;

/// Progress of the founding at one founder.
pub(super) struct Founding {
    /// Known disk numbers by founder, including this founder's own.
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
    /// Handles the introduction of a founder. A voter that has completed the founding answers with
    /// its own introduction, or that the other is not a member.
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

    /// Answers an introduction after this voter has completed the founding. Answers to one founder
    /// are rate-limited: otherwise two voters that have both completed it would answer each other's
    /// answers endlessly.
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

    /// Completes the founding once all founders are known. This voter starts to vote, and records
    /// the disks, which are the same at all founders.
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

    /// Numbers of the founders that have not introduced themselves yet; empty once the founding is
    /// complete.
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

    /// Introductions to the other founders, if they are due.
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
