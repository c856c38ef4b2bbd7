//! Changes of the members, one at a time, by entries of the log: a newcomer learns the log without a vote, gets its vote from
//! the leader once it has caught up, and is removed where a majority that answers is left.

use super::Voter;
use crate::log::error::LogError;
use crate::log::membership::{ChangeDecision, MembershipChange};
use crate::wire;
use crate::wire::message::OperatorResponse;
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, Entry};

/// A learner that is at most so many entries behind the commit index has caught up: the rest is on its way.
const MAX_LEARNER_LAG: u64 = 8;

/// How far a member has come, as its leader knows.
pub(super) struct MemberProgress {
    /// Its number.
    pub number: u64,
    /// Whether it has answered lately.
    pub is_active: bool,
    /// How many entries of the leader's log it lacks.
    pub entries_behind: u64,
}

impl Voter {
    /// Whether a change of the members may be proposed now: by a leader with a committed entry of its own term, as raft's
    /// changes of one member need, and at most once a tick.
    fn may_propose_membership(&mut self) -> bool {
        if !self.node.raft.commit_to_current_term() {
            return false;
        }
        let (now, tick) = (self.now, self.timing.tick);
        let Some(leadership) = self.current_leadership() else {
            return false;
        };
        let is_due = leadership
            .membership_proposed_at
            .is_none_or(|at| now >= at + tick);
        if is_due {
            leadership.membership_proposed_at = Some(now);
        }
        is_due
    }

    /// How far each member has come.
    pub(super) fn member_progress(&self) -> Vec<MemberProgress> {
        let last_index = self.node.raft.raft_log.last_index();
        let own_id = self.id();
        self.node
            .raft
            .prs()
            .iter()
            .map(|(number, progress)| MemberProgress {
                number: *number,
                is_active: *number == own_id || progress.recent_active,
                entries_behind: last_index.saturating_sub(progress.matched),
            })
            .collect()
    }

    /// Makes a change that operators ask for, where it is allowed.
    pub(super) fn change_membership(&mut self, change: &MembershipChange) -> OperatorResponse {
        let active: Vec<u64> = self
            .member_progress()
            .iter()
            .filter(|member| member.is_active)
            .map(|member| member.number)
            .collect();
        match self.state.membership.check(change, &active) {
            ChangeDecision::Done => OperatorResponse::Member(Ok(())),
            ChangeDecision::Rejected(error) => OperatorResponse::Member(Err(error.to_string())),
            ChangeDecision::Learning(number) => {
                OperatorResponse::InProgress(format!("voter {number} learns the log"), Vec::new())
            }
            ChangeDecision::Allowed if *change == MembershipChange::Remove(self.id()) => {
                self.transfer_leadership();
                OperatorResponse::InProgress(
                    "the voter to be removed leads, and hands its leadership over".into(),
                    Vec::new(),
                )
            }
            ChangeDecision::Allowed => {
                if self.may_propose_membership() {
                    self.propose_membership(change);
                }
                OperatorResponse::InProgress("handed to the log".into(), Vec::new())
            }
        }
    }

    /// Hands the leadership to the active voter that lacks the fewest entries. A leader that is to be removed does so before
    /// its successor removes it: it would otherwise lead voters that it is not one of.
    fn transfer_leadership(&mut self) {
        let own_id = self.id();
        let successor = self
            .member_progress()
            .into_iter()
            .filter(|member| member.is_active && member.number != own_id)
            .filter(|member| {
                let mut voters = self.state.membership.voters();
                voters.any(|voter| voter == member.number)
            })
            .min_by_key(|member| member.entries_behind);
        if let Some(successor) = successor {
            self.node.transfer_leader(successor.number);
        }
    }

    /// Proposes a change of the members. The raft library accepts no other while one is under way.
    fn propose_membership(&mut self, change: &MembershipChange) {
        let (change_type, number) = match change {
            MembershipChange::Add(number, ..) => (ConfChangeType::AddLearnerNode, *number),
            MembershipChange::Promote(number) => (ConfChangeType::AddNode, *number),
            MembershipChange::Remove(number) => (ConfChangeType::RemoveNode, *number),
        };
        let mut conf_change = ConfChange {
            node_id: number,
            ..ConfChange::default()
        };
        conf_change.set_change_type(change_type);
        let _ = self
            .node
            .propose_conf_change(wire::encode(change), conf_change);
    }

    /// Gives a learner that has caught up its vote.
    pub(super) fn promote_learner(&mut self) {
        let Some(number) = self.state.membership.learner() else {
            return;
        };
        let committed = self.node.raft.raft_log.committed;
        let has_caught_up = self.node.raft.prs().get(number).is_some_and(|progress| {
            progress.recent_active && progress.matched + MAX_LEARNER_LAG >= committed
        });
        if has_caught_up && self.may_propose_membership() {
            self.propose_membership(&MembershipChange::Promote(number));
        }
    }

    /// Applies an entry that changes the members.
    pub(super) fn apply_membership_change(&mut self, entry: &Entry) {
        let Ok(conf_change) = ConfChange::parse_from_bytes(&entry.data) else {
            return;
        };
        let Some(change) = wire::decode::<MembershipChange>(&entry.context) else {
            self.fault = Some(LogError::UnsupportedVersion);
            return;
        };
        if self.node.apply_conf_change(&conf_change).is_ok() {
            self.state.membership.apply(&change);
            self.membership_changed = true;
        }
    }
}
