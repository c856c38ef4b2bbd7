//! Who votes: membership by number. They change one at a time, by entries of the log, so that any two majorities in a row
//! have a voter in common. A newcomer first learns the log without a vote, and has one once it has caught up.
//!
//! Guards against: a voter whose disk was lost and that comes back under its number without what it had answered for
//! (each disk has a random incarnation, which the log knows; a number is given once and never again), and one that was
//! removed while it could not be told (whoever hears it says so).

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A voter's number, never given twice.
pub type VoterId = u64;

/// The longest address that is taken, in bytes: a host's name has 253 at most.
const MOST_ADDRESS: usize = 264;

/// A place among the voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Member {
    /// Where it can be reached; empty for a founder, which every operator file names.
    pub address: String,
    /// The incarnation of its disk; 0 for a founder that the others have not met yet.
    pub incarnation: u64,
    /// Whether it has its vote yet.
    #[serde(rename = "votes")]
    pub is_voter: bool,
}

/// All of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Membership {
    /// Grows with each change.
    pub version: u64,
    /// The highest number that was ever given.
    #[serde(rename = "highest")]
    pub highest_id: VoterId,
    /// By number.
    #[serde(rename = "of")]
    pub members: BTreeMap<VoterId, Member>,
}

/// One change of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// A newcomer learns the log: its number, where it can be reached, and the incarnation of its disk.
    Add(VoterId, String, u64),
    /// It has its vote from here on. Made by a leader, never asked for.
    Promote(VoterId),
    /// It votes no more, and never will again.
    Remove(VoterId),
}

/// What a change that is asked for comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeDecision {
    /// It is done already.
    Done,
    /// It is on its way: what is waited for.
    InProgress(String),
    /// It may be made.
    Allowed,
    /// It may not, and why.
    Rejected(String),
}

impl Membership {
    /// Those of a new fleet.
    pub fn for_new_fleet(numbers: &[VoterId]) -> Membership {
        let member = |number: &VoterId| {
            (
                *number,
                Member {
                    is_voter: true,
                    ..Member::default()
                },
            )
        };
        let highest = numbers.iter().copied().max().unwrap_or(0);
        Membership {
            version: 1,
            highest_id: highest,
            members: numbers.iter().map(member).collect(),
        }
    }

    /// Takes a change that the log has.
    pub fn apply(&mut self, change: &MembershipChange) {
        self.version += 1;
        match change {
            MembershipChange::Add(number, address, incarnation) => {
                self.highest_id = self.highest_id.max(*number);
                let member = Member {
                    address: address.clone(),
                    incarnation: *incarnation,
                    is_voter: false,
                };
                self.members.insert(*number, member);
            }
            MembershipChange::Promote(number) => {
                if let Some(member) = self.members.get_mut(number) {
                    member.is_voter = true;
                }
            }
            MembershipChange::Remove(number) => drop(self.members.remove(number)),
        }
    }

    /// The founders have met: from here on each is known by its disk.
    pub fn founders_met(&mut self, incarnations: &BTreeMap<VoterId, u64>) {
        for (number, member) in &mut self.members {
            member.incarnation = incarnations.get(number).copied().unwrap_or_default();
        }
    }

    /// Whether founders have yet to meet.
    pub fn is_founding(&self) -> bool {
        self.members.values().any(|member| member.incarnation == 0)
    }

    /// Whether whoever says to be this voter, with a disk of that incarnation, is none (any more).
    pub fn is_replaced(&self, number: VoterId, incarnation: u64) -> bool {
        match self.members.get(&number) {
            Some(member) => member.incarnation != incarnation,
            // One with a higher number may have been added by entries that have not come here yet.
            None => number <= self.highest_id,
        }
    }

    /// Those that vote.
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

    /// What a change that is asked for comes to; `active` are the voters that the leader has heard of lately.
    pub fn check(&self, change: &MembershipChange, active: &[VoterId]) -> ChangeDecision {
        match change {
            MembershipChange::Promote(_) => {
                ChangeDecision::Rejected("a vote is given by the leader, once its voter has caught up".into())
            }
            MembershipChange::Add(number, address, incarnation) => match self.members.get(number) {
                Some(member) if member.incarnation != *incarnation => ChangeDecision::Rejected(format!(
                    "voter {number} has another disk: a lost one's place is taken under a new number"
                )),
                Some(member) if member.is_voter => ChangeDecision::Done,
                Some(_) => ChangeDecision::InProgress(format!("voter {number} learns the log")),
                None if *number <= self.highest_id => ChangeDecision::Rejected(format!(
                    "the number {number} was given before; the next is {}",
                    self.highest_id + 1
                )),
                None if address.is_empty() || address.len() > MOST_ADDRESS => ChangeDecision::Rejected(format!(
                    "the address has {} bytes, 1 to {MOST_ADDRESS} are wanted",
                    address.len()
                )),
                None if self.members.len() >= 8 => {
                    ChangeDecision::Rejected("there are 8 membership already; remove one first".into())
                }
                None => match self.members.iter().find(|(_, member)| !member.is_voter) {
                    Some((other, _)) => ChangeDecision::Rejected(format!(
                        "voter {other} is learning the log: one change at a time, or remove {other}"
                    )),
                    None => ChangeDecision::Allowed,
                },
            },
            MembershipChange::Remove(number) => {
                let Some(member) = self.members.get(number) else { return ChangeDecision::Done };
                let left: Vec<VoterId> = self.voters().filter(|other| other != number).collect();
                let up = left.iter().filter(|other| active.contains(other)).count();
                if !member.is_voter || up > left.len() / 2 {
                    return ChangeDecision::Allowed;
                }
                ChangeDecision::Rejected(format!(
                    "of the {} that would be left {up} answer, no majority: add one first, or bring one back",
                    left.len()
                ))
            }
        }
    }
}

#[cfg(test)]
mod tests;
