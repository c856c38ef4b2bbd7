//! Membership of the log: the voters by number, and which changes are allowed.
//!
//! The membership changes by one member at a time, through entries of the log, so that any two
//! successive majorities have a voter in common. A new member first receives the log without a
//! vote, as a learner, and is promoted once it has caught up.
//!
//! Guards against: a voter that returns under its number after its disk was lost, without the
//! entries that it had acknowledged (each disk has a random number, which the log records, and a
//! voter number is never reused), and the removal of a voter after which no majority of the others
//! would answer.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// Number of a voter. A number is never reused.
pub type VoterId = u64;

/// Maximum length of a member's address, in bytes: a host name of 253 bytes, and a port.
const MAX_ADDRESS_BYTES: usize = 264;
/// Maximum number of members, including learners.
const MAX_MEMBERS: usize = 8;

/// A member of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Member {
    /// Address of the member; empty for a founder, whose address is in every operator file.
    pub address: String,
    /// Random number of the member's disk; 0 for a founder until the founding is complete.
    #[serde(rename = "incarnation")]
    pub disk_id: u64,
    /// Whether the member votes. If not, it is a learner.
    #[serde(rename = "votes")]
    pub is_voter: bool,
}

/// All members of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Membership {
    /// Version of the membership; grows by one with each change.
    pub version: u64,
    /// Highest number that was ever given to a member.
    #[serde(rename = "highest")]
    pub highest_id: VoterId,
    /// The members by number.
    #[serde(rename = "of")]
    pub members: BTreeMap<VoterId, Member>,
}

/// Change of the membership, as an entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a learner with this number, address and number of its disk.
    Add(VoterId, String, u64),
    /// Gives a learner a vote. Only the leader proposes this.
    Promote(VoterId),
    /// Removes a member permanently.
    Remove(VoterId),
}

/// Whether a requested change is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeDecision {
    /// The change was made before.
    Done,
    /// The member with this number was added before and is still a learner.
    Learning(VoterId),
    /// The change may be made now.
    Allowed,
    /// The change may not be made.
    Rejected(MembershipError),
}

/// Reason for rejecting a change of the membership.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// An operator requested a promotion, which only the leader makes.
    #[error(
        "operators cannot promote a learner: the leader does it once the learner has caught up"
    )]
    PromotionRequested,
    /// The number belongs to a member with another disk.
    #[error("voter {0} is a member with another disk; to replace a lost disk, add a voter with a new number")]
    OtherDisk(VoterId),
    /// The number was used before.
    #[error("the number {number} was used before; the next is {next}")]
    NumberTaken {
        /// Number that was requested.
        number: VoterId,
        /// Lowest number that was never used.
        next: VoterId,
    },
    /// The address is empty or too long.
    #[error("the address has {bytes} bytes, allowed are 1 to {MAX_ADDRESS_BYTES}")]
    AddressLength {
        /// Length of the address.
        bytes: usize,
    },
    /// The maximum number of members is reached.
    #[error("there are {MAX_MEMBERS} members already; remove one first")]
    TooManyMembers,
    /// Another member is still a learner.
    #[error("voter {0} is still a learner: wait until it votes, or remove it")]
    LearnerExists(VoterId),
    /// Without the voter, no majority of the remaining ones would answer.
    #[error("only {active} of the {remaining} remaining voters answer, which is no majority: add a voter or restart one first")]
    NoMajorityLeft {
        /// Number of voters that would remain.
        remaining: usize,
        /// Number of those that have answered recently.
        active: usize,
    },
}

impl Membership {
    /// Creates the membership of a new fleet with these founders.
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

    /// Applies a committed change.
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

    /// Records the disk numbers of the founders when the founding is complete.
    pub fn record_founders(&mut self, disk_ids: &BTreeMap<VoterId, u64>) {
        for (number, member) in &mut self.members {
            member.disk_id = disk_ids.get(number).copied().unwrap_or_default();
        }
    }

    /// Whether the founding is not complete yet, so that disks of founders are unknown.
    pub fn is_founding(&self) -> bool {
        self.members.values().any(|member| member.disk_id == 0)
    }

    /// Whether the voter with this number and this disk is no longer a member, because it was
    /// removed or its disk was replaced.
    pub fn is_removed_or_replaced(&self, number: VoterId, disk_id: u64) -> bool {
        match self.members.get(&number) {
            Some(member) => member.disk_id != disk_id,
            // A voter with a higher number may have been added by entries that are not applied here
            // yet.
            None => number <= self.highest_id,
        }
    }

    /// Numbers of the members that vote.
    pub fn voters(&self) -> impl Iterator<Item = VoterId> + '_ {
        self.members
            .iter()
            .filter(|(_, member)| member.is_voter)
            .map(|(number, _)| *number)
    }

    /// The learner, if there is one. There is at most one.
    pub(crate) fn learner(&self) -> Option<VoterId> {
        self.members
            .iter()
            .find(|(_, member)| !member.is_voter)
            .map(|(number, _)| *number)
    }

    /// Whether a requested change is allowed. `active` are the members that have answered the
    /// leader recently.
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
        // A learner has no vote, so its removal does not affect the majority.
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
