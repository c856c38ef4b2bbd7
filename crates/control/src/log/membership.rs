//! The members of the log: which voters there are, by number, and which changes of them are allowed.
//!
//! Members change one at a time, by entries of the log, so that any two successive majorities have a voter in common. A
//! newcomer first learns the log without a vote (a learner), and is promoted once it has caught up.
//!
//! Guards against: a voter whose disk was lost and that returns under its number without what it had acknowledged (each disk
//! has a random number, which the log knows, and a number is given only once), and the removal of a voter without
//! which no majority answers.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// A voter's number, never given twice.
pub type VoterId = u64;

/// The longest address of a member, in bytes: a host name of 253 bytes, and a port.
const MAX_ADDRESS_BYTES: usize = 264;
/// The most members, learners included.
const MAX_MEMBERS: usize = 8;

/// A member of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Member {
    /// The address where it can be reached; empty for a founder, which every operator file names.
    pub address: String,
    /// Random number of its disk; 0 for a founder until the founding is complete.
    #[serde(rename = "incarnation")]
    pub disk_id: u64,
    /// Whether it votes; a learner otherwise.
    #[serde(rename = "votes")]
    pub is_voter: bool,
}

/// All members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Membership {
    /// Grows by one with each change.
    pub version: u64,
    /// The highest number that was ever given.
    #[serde(rename = "highest")]
    pub highest_id: VoterId,
    /// The members by number.
    #[serde(rename = "of")]
    pub members: BTreeMap<VoterId, Member>,
}

/// A change of the members, as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a learner: its number, its address, and the number of its disk.
    Add(VoterId, String, u64),
    /// Gives a learner its vote. Proposed by a leader only, never requested.
    Promote(VoterId),
    /// Removes a member for good.
    Remove(VoterId),
}

/// Whether a requested change may be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeDecision {
    /// It is made already.
    Done,
    /// The voter of this number was added and is still a learner.
    Learning(VoterId),
    /// It may be made now.
    Allowed,
    /// It may not be made.
    Rejected(MembershipError),
}

/// Why a change of the members is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// Promotions are the leader's, not the operators'.
    #[error("a vote is given by the leader, once its voter has caught up")]
    PromotionRequested,
    /// The number belongs to a member with another disk.
    #[error("voter {0} has another disk: a lost one's place is taken under a new number")]
    OtherDisk(VoterId),
    /// The number was given before.
    #[error("the number {number} was given before; the next is {next}")]
    NumberTaken {
        /// The number that was asked for.
        number: VoterId,
        /// The lowest number that is free.
        next: VoterId,
    },
    /// The address is empty or too long.
    #[error("the address has {bytes} bytes, 1 to {MAX_ADDRESS_BYTES} are wanted")]
    AddressLength {
        /// Its length.
        bytes: usize,
    },
    /// There are as many members as there may be.
    #[error("there are {MAX_MEMBERS} members already; remove one first")]
    TooManyMembers,
    /// Another newcomer has no vote yet.
    #[error("voter {0} is learning the log: one change at a time, or remove {0}")]
    LearnerExists(VoterId),
    /// Without the voter, fewer than a majority of the others answer.
    #[error("of the {remaining} that would be left {active} answer, no majority: add one first, or bring one back")]
    NoMajorityLeft {
        /// Voters that would remain.
        remaining: usize,
        /// Those of them that have answered lately.
        active: usize,
    },
}

impl Membership {
    /// The members of a new fleet.
    pub fn for_new_fleet(numbers: &[VoterId]) -> Membership {
        let founder = Member {
            is_voter: true,
            ..Member::default()
        };
        Membership {
            version: 1,
            highest_id: numbers.iter().copied().max().unwrap_or(0),
            members: numbers
                .iter()
                .map(|number| (*number, founder.clone()))
                .collect(),
        }
    }

    /// Applies a change that is committed in the log.
    pub fn apply(&mut self, change: &MembershipChange) {
        self.version += 1;
        match change {
            MembershipChange::Add(number, address, disk_id) => {
                self.highest_id = self.highest_id.max(*number);
                let learner = Member {
                    address: address.clone(),
                    disk_id: *disk_id,
                    is_voter: false,
                };
                self.members.insert(*number, learner);
            }
            MembershipChange::Promote(number) => {
                if let Some(member) = self.members.get_mut(number) {
                    member.is_voter = true;
                }
            }
            MembershipChange::Remove(number) => {
                self.members.remove(number);
            }
        }
    }

    /// Records the disk numbers of the founders, once the founders have met.
    pub fn record_founders(&mut self, disk_ids: &BTreeMap<VoterId, u64>) {
        for (number, member) in &mut self.members {
            member.disk_id = disk_ids.get(number).copied().unwrap_or_default();
        }
    }

    /// Whether the founders have yet to meet.
    pub fn is_founding(&self) -> bool {
        self.members.values().any(|member| member.disk_id == 0)
    }

    /// Whether a voter of this number, with this disk, is no member: it was removed, or its disk replaced.
    pub fn is_removed_or_replaced(&self, number: VoterId, disk_id: u64) -> bool {
        match self.members.get(&number) {
            Some(member) => member.disk_id != disk_id,
            // One with a higher number may have been added by entries that are not applied here yet.
            None => number <= self.highest_id,
        }
    }

    /// The numbers of the members that vote.
    pub fn voters(&self) -> impl Iterator<Item = VoterId> + '_ {
        self.members
            .iter()
            .filter(|(_, member)| member.is_voter)
            .map(|(number, _)| *number)
    }

    /// The member that has no vote yet. There is at most one.
    pub(crate) fn learner(&self) -> Option<VoterId> {
        self.members
            .iter()
            .find(|(_, member)| !member.is_voter)
            .map(|(number, _)| *number)
    }

    /// Whether a requested change may be made; `active` are the members that the leader has had answers from lately.
    pub fn check(&self, change: &MembershipChange, active: &[VoterId]) -> ChangeDecision {
        match change {
            MembershipChange::Add(number, address, disk_id) => {
                self.check_addition(*number, address, *disk_id)
            }
            MembershipChange::Promote(_) => {
                ChangeDecision::Rejected(MembershipError::PromotionRequested)
            }
            MembershipChange::Remove(number) => self.check_removal(*number, active),
        }
    }

    fn check_addition(&self, number: VoterId, address: &str, disk_id: u64) -> ChangeDecision {
        if let Some(member) = self.members.get(&number) {
            if member.disk_id != disk_id {
                return ChangeDecision::Rejected(MembershipError::OtherDisk(number));
            }
            if member.is_voter {
                return ChangeDecision::Done;
            }
            return ChangeDecision::Learning(number);
        }
        match self.check_new_member(number, address) {
            Ok(()) => ChangeDecision::Allowed,
            Err(error) => ChangeDecision::Rejected(error),
        }
    }

    fn check_new_member(&self, number: VoterId, address: &str) -> Result<(), MembershipError> {
        if number <= self.highest_id {
            let next = self.highest_id + 1;
            return Err(MembershipError::NumberTaken { number, next });
        }
        if address.is_empty() || address.len() > MAX_ADDRESS_BYTES {
            let bytes = address.len();
            return Err(MembershipError::AddressLength { bytes });
        }
        if self.members.len() >= MAX_MEMBERS {
            return Err(MembershipError::TooManyMembers);
        }
        match self.learner() {
            Some(learner) => Err(MembershipError::LearnerExists(learner)),
            None => Ok(()),
        }
    }

    fn check_removal(&self, number: VoterId, active: &[VoterId]) -> ChangeDecision {
        let Some(member) = self.members.get(&number) else {
            return ChangeDecision::Done;
        };
        let remaining: Vec<VoterId> = self.voters().filter(|voter| *voter != number).collect();
        let active_voters = remaining
            .iter()
            .filter(|voter| active.contains(voter))
            .count();
        // A learner has no vote: its removal changes no majority.
        if !member.is_voter || active_voters > remaining.len() / 2 {
            return ChangeDecision::Allowed;
        }
        ChangeDecision::Rejected(MembershipError::NoMajorityLeft {
            remaining: remaining.len(),
            active: active_voters,
        })
    }
}

#[cfg(test)]
mod tests;
