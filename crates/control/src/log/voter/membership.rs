//! Changes of the membership, one at a time, through entries of the log: a new member first
//! receives the log as a learner, is promoted by the leader once it has caught up, and can be
//! removed if a majority that answers remains.

use super::Voter;
use crate::log::error::LogError;
use crate::log::membership::{ChangeDecision, MembershipChange};
use crate::wire;
use crate::wire::message::OperatorResponse;
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, Entry};

/// Maximum number of entries by which a learner may lag behind the commit index to count as caught
/// up, since some entries are always in flight.
const MAX_LEARNER_LAG: u64 = 8;

/// Replication progress of a member, as the leader knows it.
pub(super) struct MemberProgress {
    /// Number of the member.
    pub number: u64,
    /// Whether the member has answered within the last election timeout.
    pub is_active: bool,
    /// Number of entries of the leader's log that the member lacks.
    pub entries_behind: u64,
}

impl Voter {
    /// Whether a change of the membership may be proposed now: only by a leader with a committed
    /// entry of its own term, as raft requires for changes of a single member, and at most once per
    /// tick.
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

    /// Replication progress of all members.
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

    /// Makes a change that an operator requests, if it is allowed.
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
                    "the voter to be removed is the leader and transfers the leadership first"
                        .into(),
                    Vec::new(),
                )
            }
            ChangeDecision::Allowed => {
                if self.may_propose_membership() {
                    self.propose_membership(change);
                }
                OperatorResponse::InProgress("proposed to the log".into(), Vec::new())
            }
        }
    }

    /// Transfers the leadership to the active voter that lacks the fewest entries. A leader that is
    /// to be removed does this first, and its successor removes it. Otherwise it would lead a
    /// membership that it is not part of.
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

    /// Proposes a change of the membership. The raft library rejects it while another one is in
    /// progress.
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

    /// Proposes to promote the learner once it has caught up.
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

    /// Applies an entry that changes the membership.
    pub(super) fn apply_membership_change(&mut self, entry: &Entry) {
        let Ok(conf_change) = ConfChange::parse_from_bytes(&entry.data) else {
            return;
        };
        let Some(change) = wire::decode::<MembershipChange>(&entry.context) else {
            self.log_error = Some(LogError::UnsupportedVersion);
            return;
        };
        if self.node.apply_conf_change(&conf_change).is_ok() {
            self.state.membership.apply(&change);
            self.membership_changed = true;
        }
    }
}
