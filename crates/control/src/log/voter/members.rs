//! Who votes, as its leader and each voter see it: founders that meet, newcomers that learn, and membership that change.

use super::{ReplyAddress, Voter, LATER};
use crate::log::membership::{ChangeDecision, MembershipChange};
use crate::wire;
use crate::wire::message::{Message, OperatorResponse};
use crate::{InjectedBug, Micros};
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, Entry};
use std::collections::BTreeMap;

/// A founder says so often who it is, until it has heard all others.
const INTRODUCE: Micros = 200_000;
/// A newcomer that is no more entries behind has caught up: the rest is on its way.
const BEHIND: u64 = 8;

/// What a founder has heard of the others, itself among them, and when it says again who it is.
pub(super) struct Founding {
    heard: BTreeMap<u64, u64>,
    next: Micros,
}

impl Founding {
    pub(super) fn new(number: u64, incarnation: u64, now: Micros) -> Founding {
        Founding {
            heard: BTreeMap::from([(number, incarnation)]),
            next: now,
        }
    }
}

impl Voter {
    /// A founder has said which disk it has. Whoever is past the founding tells it the same, or that it is none.
    pub fn handle_founding(
        &mut self,
        now: Micros,
        from: ReplyAddress,
        number: u64,
        incarnation: u64,
    ) {
        self.now = now;
        let Some(founding) = &mut self.founding else {
            return self.answer_founder(from, number, incarnation);
        };
        if self.state.membership.members.contains_key(&number) {
            founding.heard.insert(number, incarnation);
        }
        self.meet();
    }

    /// Past the founding: says which disk this voter has, or that the other is none. Each is told the former once in a
    /// while only: another that is past the founding, too, answers in turn, and they would go on for good.
    fn answer_founder(&mut self, from: ReplyAddress, number: u64, incarnation: u64) {
        let trusts = self.injected.is(InjectedBug::TrustReborn);
        if self.state.membership.is_replaced(number, incarnation) && !trusts {
            return self
                .answers
                .push((from, Message::NotAMember(number, incarnation)));
        }
        let now = self.now;
        self.introduced.retain(|_, at| now < *at + INTRODUCE / 2);
        if self.introduced.contains_key(&number) {
            return;
        }
        self.introduced.insert(number, now);
        self.answers
            .push((from, Message::Founding(self.id(), self.incarnation)));
    }

    /// Once all founders have been heard, what each knows of the others is the same, and it votes.
    pub(super) fn meet(&mut self) {
        let Some(founding) = &self.founding else {
            return;
        };
        if self
            .state
            .membership
            .members
            .keys()
            .any(|number| !founding.heard.contains_key(number))
        {
            return;
        }
        self.state.membership.founders_met(&founding.heard);
        self.founding = None;
        self.met = Some(self.raw.mut_store().met(wire::encode(&self.state)));
    }

    /// Founders that have not been heard yet.
    pub fn missing_founders(&self) -> Vec<u64> {
        let Some(founding) = &self.founding else {
            return Vec::new();
        };
        let missing = self
            .state
            .membership
            .members
            .keys()
            .filter(|number| !founding.heard.contains_key(number));
        missing.copied().collect()
    }

    /// Says to the other founders who it is.
    pub(super) fn introduce(&mut self) -> Vec<(u64, Message)> {
        let (now, own) = (self.now, Message::Founding(self.id(), self.incarnation));
        let Some(founding) = self
            .founding
            .as_mut()
            .filter(|founding| now >= founding.next)
        else {
            return Vec::new();
        };
        founding.next = now + INTRODUCE;
        let others = self
            .state
            .membership
            .members
            .keys()
            .filter(|number| **number != self.raw.raft.id);
        others.map(|number| (*number, own.clone())).collect()
    }

    /// Whether a change of the membership may be handed to the log now: by a leader that has an entry of its own term, as the
    /// change of one member at a time wants, and not too often.
    pub(super) fn may_reseat(&mut self) -> bool {
        let (now, term) = (self.now, self.raw.raft.term);
        if !self.raw.raft.commit_to_current_term() {
            return false;
        }
        let Some(leadership) = self
            .leadership
            .as_mut()
            .filter(|leadership| leadership.term == term)
        else {
            return false;
        };
        let due = leadership
            .learn_membership
            .is_none_or(|at| now >= at + self.times.tick);
        if due {
            leadership.learn_membership = Some(now);
        }
        due
    }

    /// Each member's number, whether it was heard of lately, and how many entries it is behind.
    pub(super) fn membership(&self) -> Vec<(u64, bool, u64)> {
        let end = self.raw.raft.raft_log.last_index();
        let member = |(number, progress): (&u64, &raft::Progress)| {
            let own = *number == self.id();
            (
                *number,
                own || progress.recent_active,
                end.saturating_sub(progress.matched),
            )
        };
        self.raw.raft.prs().iter().map(member).collect()
    }

    /// Changes who votes, where that can be.
    pub(super) fn reseat(&mut self, change: &MembershipChange) -> OperatorResponse {
        let active: Vec<u64> = self
            .membership()
            .iter()
            .filter(|(_, active, _)| *active)
            .map(|(number, ..)| *number)
            .collect();
        match self.state.membership.check(change, &active) {
            ChangeDecision::Done => OperatorResponse::Member(Ok(())),
            ChangeDecision::Rejected(why) => OperatorResponse::Member(Err(why)),
            ChangeDecision::InProgress(what) => OperatorResponse::InProgress(what, Vec::new()),
            ChangeDecision::Allowed if *change == MembershipChange::Remove(self.id()) => {
                // Its successor removes it: a leader that removes itself would lead voters it is none of.
                let membership = self.membership();
                let others = membership.iter().filter(|(number, active, _)| {
                    *active
                        && *number != self.id()
                        && self.state.membership.voters().any(|voter| voter == *number)
                });
                if let Some((next, ..)) = others.min_by_key(|(_, _, behind)| *behind) {
                    self.raw.transfer_leader(*next);
                }
                OperatorResponse::InProgress(
                    "the voter to be removed leads, and hands its leadership over".into(),
                    Vec::new(),
                )
            }
            ChangeDecision::Allowed => {
                if self.may_reseat() {
                    self.hand_in(change);
                }
                OperatorResponse::InProgress("handed to the log".into(), Vec::new())
            }
        }
    }

    /// Hands a change of the membership to the log. While one is under way the library takes no other.
    pub(super) fn hand_in(&mut self, change: &MembershipChange) {
        let (kind, number) = match change {
            MembershipChange::Add(number, ..) => (ConfChangeType::AddLearnerNode, *number),
            MembershipChange::Promote(number) => (ConfChangeType::AddNode, *number),
            MembershipChange::Remove(number) => (ConfChangeType::RemoveNode, *number),
        };
        let mut conf = ConfChange {
            node_id: number,
            ..ConfChange::default()
        };
        conf.set_change_type(kind);
        let _ = self.raw.propose_conf_change(wire::encode(change), conf);
    }

    /// A newcomer that has caught up gets its vote.
    pub(super) fn promote(&mut self) {
        let learner = self
            .state
            .membership
            .members
            .iter()
            .find(|(_, member)| !member.is_voter)
            .map(|(number, _)| *number);
        let Some(number) = learner else { return };
        let caught_up = self.raw.raft.prs().get(number).is_some_and(|progress| {
            progress.recent_active && progress.matched + BEHIND >= self.raw.raft.raft_log.committed
        });
        if caught_up && self.may_reseat() {
            self.hand_in(&MembershipChange::Promote(number));
        }
    }

    pub(super) fn apply_seat(&mut self, entry: &Entry) {
        let Ok(conf) = ConfChange::parse_from_bytes(&entry.data) else {
            return;
        };
        let Some(change) = wire::decode::<MembershipChange>(&entry.context) else {
            self.fault = Some(LATER);
            return;
        };
        if self.raw.apply_conf_change(&conf).is_ok() {
            self.state.membership.apply(&change);
            self.membership_changed = true;
        }
    }
}
