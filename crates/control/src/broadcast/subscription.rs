//! Subscription: a voter's state of one relay that follows it.
//!
//! Guards against: a relay that no longer sends requests (it counts as silent after a timeout), and
//! reports that are too many or too long (they are dropped).

use super::allowance::RelayMigrations;
use super::message::VERSION;
use super::stream::{HeldVersion, Stream};
use super::token_bucket::TokenBucket;
use crate::jobs::assignment::FencingToken;
use crate::jobs::moves::{self, MigrationStatus};
use crate::wire::message::{RelayId, Report, Subscribe, Updates};
use crate::Micros;
use std::collections::BTreeMap;

/// A relay that has not sent a request for this time is silent: it no longer follows the voter.
const SUBSCRIPTION_TIMEOUT: Micros = 3_000_000;
/// Maximum size of a report, in bytes. Longer ones are dropped.
const MAX_REPORT_BYTES: usize = 1024;
/// Maximum number of reports of one relay. Further ones are dropped.
const MAX_REPORTS_PER_RELAY: usize = 8;

/// A relay that follows this voter.
pub(super) struct Subscription {
    pub relay: RelayId,
    /// Sequence number of the latest request.
    pub sequence: u64,
    /// When the latest request arrived.
    pub last_request_at: Micros,
    /// Full updates that the relay has, by job.
    pub known_updates: BTreeMap<String, HeldVersion>,
    pub reports: Vec<Report>,
    pub reports_version: u64,
    /// Migrations of the relay, if it reports any.
    pub migrations: Option<RelayMigrations>,
    /// State of the deliveries; `None` if the relay's build does not support them.
    pub deliveries: Option<DeliveryState>,
}

/// State of the deliveries to a relay.
pub(super) struct DeliveryState {
    pub stream: Stream,
    pub token_bucket: TokenBucket,
    /// Zone of the relay. Updates of this zone's jobs have priority.
    pub zone: String,
}

impl Subscription {
    /// Creates the subscription that a relay requests. Permits and token bucket are taken from the
    /// previous subscription if it is of the same process.
    pub(super) fn new(
        now: Micros,
        request: Subscribe,
        previous: Option<&Subscription>,
    ) -> Subscription {
        let previous = previous.filter(|previous| previous.relay == request.relay);
        let deliveries = (request.version >= VERSION).then(|| DeliveryState {
            stream: Stream::new(request.sequence, held_versions(request.tables)),
            token_bucket: previous
                .and_then(|previous| previous.deliveries.as_ref())
                .map_or(TokenBucket::new(now), |deliveries| deliveries.token_bucket),
            zone: request.zone,
        });
        let mut subscription = Subscription {
            relay: request.relay,
            sequence: request.sequence,
            last_request_at: now,
            known_updates: held_versions(request.known_updates).collect(),
            reports: Vec::new(),
            reports_version: request.reports_version,
            migrations: previous.and_then(|previous| previous.migrations),
            deliveries,
        };
        subscription.set_reports(request.reports);
        subscription
    }

    /// Whether the relay has not sent a request for [`SUBSCRIPTION_TIMEOUT`].
    pub(super) fn is_silent(&self, now: Micros) -> bool {
        now >= self.last_request_at + SUBSCRIPTION_TIMEOUT
    }

    /// Replaces the relay's reports. Reports that are too long or too many are dropped.
    pub(super) fn set_reports(&mut self, reports: Vec<Report>) {
        self.reports = reports;
        self.reports
            .retain(|report| report.payload.len() <= MAX_REPORT_BYTES);
        self.reports.truncate(MAX_REPORTS_PER_RELAY);
        let migration_report = self
            .reports
            .iter()
            .find(|report| report.kind == moves::KIND);
        match migration_report.and_then(|report| MigrationStatus::decode(&report.payload)) {
            Some(status) => self.migrations.get_or_insert_default().report(status),
            None => self.migrations = None,
        }
    }

    /// A response to the latest request, with the voter's clock and without updates.
    pub(super) fn response(&self, now: Micros) -> Updates {
        Updates {
            incarnation: self.relay.incarnation,
            sequence: self.sequence,
            request_age: now - self.last_request_at,
            stamp: now,
            version: if self.deliveries.is_some() {
                VERSION
            } else {
                0
            },
            ..Updates::default()
        }
    }
}

fn held_versions(
    versions: Vec<(String, FencingToken, u64)>,
) -> impl Iterator<Item = (String, HeldVersion)> {
    versions
        .into_iter()
        .map(|(job, token, version)| (job, HeldVersion::new(token, version)))
}
