//! Subscriber: the relay's side of the broadcast.
//!
//! A relay follows one voter: it sends reports to it, and receives the updates of job owners from
//! it. As the owner of a job it sends its own updates to every voter. A voter that supports
//! deliveries gets polls, which acknowledge received updates, and submissions. Any other voter gets
//! the messages of older builds.
//!
//! Input: the time, the voters, received messages, and this relay's reports. Output: messages to
//! voters, and updates to execute, each with the earliest time at which it was valid.
//!
//! Guards against: an update that was delayed in transit (its age counts from this relay's own
//! request), an update of a former owner (see `jobs/fence.rs`), duplicates and reordering (sequence
//! numbers and versions only grow under a token), changes of a table with a gap before them (the
//! relay subscribes again and reports its version), a silent voter (the next one is followed), a
//! voter that has lost the subscription (the relay subscribes again), and a response to this
//! relay's previous process (ignored).

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

/// Interval between two polls of the followed voter. The voter sends new updates without waiting
/// for a poll.
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
    /// Voter that has a stream of deliveries for this relay.
    stream_voter: Option<u64>,
    /// Deliveries of that stream that were received.
    received: ReceivedSequences,
    reports: Vec<Report>,
    /// Grows with each change of `reports`.
    reports_version: u64,
    /// Version of the reports that the followed voter has acknowledged.
    acknowledged_reports: u64,
    /// Version of the reports that was sent with the latest subscription.
    subscribed_reports: u64,
    fence: Fence,
    checks: Checks,
    /// Newest accepted update of each job.
    accepted: BTreeMap<String, HeldVersion>,
    tables: BTreeMap<String, Table>,
    /// Last sequence number that this relay used as an owner.
    last_sequence: u64,
    /// Whether to behave like builds that do not support deliveries.
    is_older_build: bool,
}

impl Subscriber {
    /// Creates the subscriber of a process that has just started. It accepts no updates until it
    /// knows the fleet's latest token.
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

    /// Receives and publishes only full updates, like builds that do not support deliveries.
    /// Default: off.
    pub fn with_full_updates(self) -> Subscriber {
        Subscriber {
            is_older_build: true,
            ..self
        }
    }

    /// Sets the zone of this relay: voters deliver updates of that zone's jobs first. Default:
    /// none.
    pub fn in_zone(self, zone: &str) -> Subscriber {
        Subscriber {
            zone: zone.into(),
            ..self
        }
    }

    /// Injects a bug, for tests of the checkers.
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

    /// The voter that this relay follows; `None` if there are no voters.
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

    /// When [`Subscriber::tick`] must be called next.
    pub fn next_tick(&self) -> Micros {
        self.next_poll
    }

    /// Names of the jobs of which updates were accepted.
    pub fn accepted_jobs(&self) -> BTreeSet<&str> {
        self.accepted.keys().map(String::as_str).collect()
    }
}
