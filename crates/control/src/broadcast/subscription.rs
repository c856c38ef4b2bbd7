//! What a voter keeps of a relay that follows it.

use super::allowance::RelayMoves;
use super::message::VERSION;
use super::stream::{HeldVersion, Stream, TokenBucket};
use crate::jobs::assignment::FencingToken;
use crate::jobs::moves::{self, MigrationStatus};
use crate::wire::message::{RelayId, Report, Subscribe, Updates};
use crate::Micros;
use std::collections::BTreeMap;

/// Who has not asked for so long follows no more.
const SILENT: Micros = 3_000_000;
/// The longest report of a relay, in bytes, and kinds of reports of one relay.
const MOST_REPORT: usize = 1024;
const MOST_REPORTS: usize = 8;

/// A relay that follows.
pub(super) struct Subscription {
    pub relay: RelayId,
    /// The last question, and when it came.
    pub number: u64,
    pub heard: Micros,
    /// What it said to have of whole updates.
    pub knows: BTreeMap<String, HeldVersion>,
    pub reports: Vec<Report>,
    pub reports_version: u64,
    pub moves: Option<RelayMoves>,
    /// None where its build knows no deliveries.
    pub compact: Option<Compact>,
}

/// What is kept of a relay that takes deliveries.
pub(super) struct Compact {
    pub stream: Stream,
    pub bucket: TokenBucket,
    /// Where it stands: updates of that zone are what it needs most.
    pub zone: String,
}

impl Subscription {
    /// The subscription that a relay asks for. What it was permitted before it keeps, where it is the same process.
    pub fn new(now: Micros, follow: Subscribe, before: Option<&Subscription>) -> Subscription {
        let before = before.filter(|before| before.relay == follow.relay);
        let of = |of: Vec<(String, FencingToken, u64)>| {
            of.into_iter()
                .map(|(job, token, number)| (job, (token, number)))
        };
        let compact = (follow.version >= VERSION).then(|| Compact {
            stream: Stream::new(follow.sequence, of(follow.tables)),
            bucket: before
                .and_then(|before| Some(before.compact.as_ref()?.bucket))
                .unwrap_or(TokenBucket::new(now)),
            zone: follow.zone,
        });
        let mut subscription = Subscription {
            relay: follow.relay,
            number: follow.sequence,
            heard: now,
            knows: of(follow.known_updates).collect(),
            reports: Vec::new(),
            reports_version: follow.reports_version,
            moves: before.and_then(|before| before.moves),
            compact,
        };
        subscription.take_reports(follow.reports);
        subscription
    }

    /// Whether it follows no more.
    pub fn is_silent(&self, now: Micros) -> bool {
        now >= self.heard + SILENT
    }

    /// It reports anew.
    pub fn take_reports(&mut self, reports: Vec<Report>) {
        self.reports = reports;
        self.reports
            .retain(|report| report.payload.len() <= MOST_REPORT);
        self.reports.truncate(MOST_REPORTS);
        let of_moves = self
            .reports
            .iter()
            .find(|report| report.kind == moves::KIND);
        match of_moves.and_then(|report| MigrationStatus::decode(&report.payload)) {
            Some(moving) => self.moves.get_or_insert_default().report(moving),
            None => self.moves = None,
        }
    }

    /// An answer that says nothing yet but the voter's clock.
    pub fn answer(&self, now: Micros) -> Updates {
        Updates {
            incarnation: self.relay.incarnation,
            sequence: self.number,
            request_age: now - self.heard,
            stamp: now,
            version: if self.compact.is_some() { VERSION } else { 0 },
            ..Updates::default()
        }
    }
}
