//! Subscriber: the relay's end of the broadcast of reports and updates.
//!
//! It follows one voter, reports to it, and receives the updates of job owners from it. As the owner of a job it sends
//! its own updates to every voter. A voter that has shown that it supports deliveries gets polls, which acknowledge what
//! was received, and submissions; any other voter gets the messages of older builds.
//!
//! Input: the time, the voters, received messages, and this relay's reports. Output: messages to voters, and updates to
//! execute, each with a lower bound of the time at which it was valid.
//!
//! Guards against: an update that was delayed in transit (its age counts from this relay's own request), one of a former
//! owner (`jobs/fence.rs`), duplicates and reordering (sequence numbers and versions only grow under a token), changes
//! of a table with a gap before them (the relay subscribes again and says which version it has), a voter that is silent
//! (the next one is followed) or has lost the subscription, and a response to this relay's previous process.

mod publishing;
mod requests;
mod updates;
mod voter;

#[cfg(test)]
mod tests;

pub use publishing::UpdateId;
pub use updates::{CommandBody, OwnerCommand, ReceivedUpdates, RelayReports};

use super::stream::{HeldVersion, ReceivedSequences};
use super::table::{Checks, Table};
use crate::jobs::assignment::FencingToken;
use crate::jobs::fence::Fence;
use crate::wire::message::{RelayId, Report};
#[cfg(feature = "injected-bugs")]
use crate::InjectedBugs;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};
use voter::VoterState;
use xxhash_rust::xxh3::xxh3_64;

/// Interval between two polls of the followed voter. The voter sends new updates without waiting for a poll.
pub const POLL_INTERVAL: Micros = 500_000;

/// State of a relay's subscription, and of its publications as an owner.
pub struct Subscriber {
    relay: RelayId,
    /// Zone of this relay; empty if it has none.
    zone: String,
    /// Sequence number of the latest request.
    sequence: u64,
    next_poll: Micros,
    /// The followed voter, as an index into the list of voters, modulo its length.
    voter_index: usize,
    /// When the followed voter last responded, or was selected; 0 before the first.
    last_contact: Micros,
    voters: BTreeMap<u64, VoterState>,
    /// The voter that has a stream of deliveries for this relay.
    stream_voter: Option<u64>,
    /// Acknowledgement of that stream.
    received: ReceivedSequences,
    reports: Vec<Report>,
    /// Grows with each change of `reports`.
    reports_version: u64,
    /// The version that the followed voter has acknowledged.
    acknowledged_reports: u64,
    /// The version that was sent with the latest subscription.
    subscribed_reports: u64,
    fence: Fence,
    checks: Checks,
    /// Newest update of each job that was accepted.
    accepted: BTreeMap<String, HeldVersion>,
    tables: BTreeMap<String, Table>,
    /// Last sequence number that this relay used as an owner.
    last_sequence: u64,
    /// Whether to behave as builds before deliveries did.
    is_older_build: bool,
}

impl Subscriber {
    /// The subscriber of a process that has just started. It accepts no update before it knows the fleet's last token.
    pub fn new(relay: RelayId) -> Subscriber {
        Subscriber {
            voter_index: xxh3_64(relay.name.as_bytes()) as usize,
            relay,
            zone: String::new(),
            sequence: 0,
            next_poll: 0,
            last_contact: 0,
            voters: BTreeMap::new(),
            stream_voter: None,
            received: ReceivedSequences::default(),
            reports: Vec::new(),
            reports_version: 0,
            acknowledged_reports: 0,
            subscribed_reports: 0,
            fence: Fence::default(),
            checks: Checks::ALL,
            accepted: BTreeMap::new(),
            tables: BTreeMap::new(),
            last_sequence: 0,
            is_older_build: false,
        }
    }

    /// Receives and publishes only full updates, as builds before deliveries did. Default: off.
    pub fn with_full_updates(self) -> Subscriber {
        Subscriber {
            is_older_build: true,
            ..self
        }
    }

    /// Sets the zone of this relay: voters deliver updates of that zone's jobs first. Default: none.
    pub fn in_zone(self, zone: &str) -> Subscriber {
        Subscriber {
            zone: zone.into(),
            ..self
        }
    }

    /// Injects a fault, for tests of the checkers.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(mut self, injected: InjectedBugs) -> Subscriber {
        use crate::InjectedBug::{ApplyOlderVersion, ApplyWithGap};
        self.fence = Fence::with_injected(injected);
        self.checks = Checks {
            old: !injected.is(ApplyOlderVersion),
            gap: !injected.is(ApplyWithGap),
        };
        self
    }

    /// The voter that this relay follows; none if there are no voters.
    fn followed_voter(&self, voters: &[u64]) -> Option<u64> {
        let index = self.voter_index % voters.len().max(1);
        voters.get(index).copied()
    }

    /// Records the current token of a job, as the leader answered.
    pub fn learn_token(&mut self, job: &str, token: FencingToken) {
        self.fence.learn_token(job, token);
    }

    /// The table of a job as this relay received it.
    pub fn table(&self, job: &str) -> Option<&Table> {
        self.tables.get(job)
    }

    /// When [`Subscriber::tick`] has something to do next.
    pub fn next_tick(&self) -> Micros {
        self.next_poll
    }

    /// Names of the jobs of which an update was accepted.
    pub fn accepted_jobs(&self) -> BTreeSet<&str> {
        self.accepted.keys().map(String::as_str).collect()
    }
}
