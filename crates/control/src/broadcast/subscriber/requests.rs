//! Requests of a subscriber: subscriptions and polls, and selection of the voter that it follows.

use super::{Subscriber, POLL_INTERVAL};
use crate::broadcast::message::{Poll, Reports, VERSION};
use crate::broadcast::stream::{HeldVersion, ReceivedSequences};
use crate::broadcast::table::Table;
use crate::wire::message::{Message, Report, Subscribe};
use crate::Micros;

/// If the followed voter has not responded for this time, in which three requests were sent, the
/// subscriber follows the next voter.
const VOTER_TIMEOUT: Micros = 3 * POLL_INTERVAL;

impl Subscriber {
    /// Returns the requests to send now, by voter. `owns_jobs` says whether this relay owns a job
    /// that publishes updates. If so, it also asks the other voters for the time of their clocks,
    /// until their receipts contain it. `reports` returns the current reports of this relay for the
    /// owners of jobs.
    pub fn tick(
        &mut self,
        now: Micros,
        voters: &[u64],
        owns_jobs: bool,
        reports: impl FnOnce() -> Vec<Report>,
    ) -> Vec<(u64, Message)> {
        if now < self.next_poll || voters.is_empty() {
            return Vec::new();
        }
        self.next_poll = now + POLL_INTERVAL;
        self.select_voter(now);
        self.voters.retain(|voter, _| voters.contains(voter));
        self.sequence += 1;
        self.set_reports(reports());
        let followed = self.followed_voter(voters);
        let mut messages = Vec::new();
        for voter in voters {
            let supports_deliveries = self
                .voters
                .get(voter)
                .is_some_and(|state| state.supports_deliveries(now));
            let message = if Some(*voter) == followed {
                self.request_to_followed(*voter, supports_deliveries)
            } else if owns_jobs && !supports_deliveries {
                Message::Subscribe(Subscribe {
                    clock_only: !self.is_older_build,
                    ..self.subscription()
                })
            } else {
                continue;
            };
            self.voters
                .entry(*voter)
                .or_default()
                .record_request(now, self.sequence);
            messages.push((*voter, message));
        }
        messages
    }

    /// Follows the next voter if the followed one is silent. The initial `voter_index` is derived
    /// from this relay's name, so that relays spread over the voters.
    fn select_voter(&mut self, now: Micros) {
        if now < self.last_contact + VOTER_TIMEOUT {
            return;
        }
        let is_first = self.last_contact == 0;
        if !is_first {
            self.voter_index = self.voter_index.wrapping_add(1);
        }
        self.last_contact = now;
        self.stream_voter = None;
    }

    fn set_reports(&mut self, reports: Vec<Report>) {
        if self.reports != reports {
            self.reports = reports;
            self.reports_version += 1;
        }
    }

    /// The request to the followed voter: a poll if it has a stream for this relay, else a
    /// subscription, which starts one.
    fn request_to_followed(&mut self, voter: u64, supports_deliveries: bool) -> Message {
        if self.stream_voter == Some(voter) && supports_deliveries {
            return Message::Poll(self.poll());
        }
        self.stream_voter = None;
        self.received = ReceivedSequences {
            stream: self.sequence,
            ..ReceivedSequences::default()
        };
        self.subscribed_reports = self.reports_version;
        Message::Subscribe(self.subscription())
    }

    fn poll(&self) -> Poll {
        let encode_report = |report: &Report| {
            (
                report.kind.clone(),
                serde_bytes::ByteBuf::from(report.payload.clone()),
            )
        };
        let has_new_reports = self.acknowledged_reports < self.reports_version;
        let reports = has_new_reports.then(|| Reports {
            version: self.reports_version,
            reports: self.reports.iter().map(encode_report).collect(),
        });
        Poll {
            incarnation: self.relay.incarnation,
            sequence: self.sequence,
            stream: self.received.stream,
            highest: self.received.highest,
            received_bitmap: self.received.bitmap,
            reports,
        }
    }

    fn subscription(&self) -> Subscribe {
        let mut known_updates = self.accepted.clone();
        for (job, table) in &self.tables {
            let known = known_updates.entry(job.clone()).or_default();
            *known = (*known).max(HeldVersion::new(table.token(), table.version()));
        }
        let known_updates = known_updates
            .into_iter()
            .map(|(job, known)| (job, known.token, known.version))
            .collect();
        let subscription = Subscribe {
            relay: self.relay.clone(),
            sequence: self.sequence,
            known_updates,
            reports: self.reports.clone(),
            ..Subscribe::default()
        };
        if self.is_older_build {
            return subscription;
        }
        let held_table =
            |(job, table): (&String, &Table)| (job.clone(), table.token(), table.version());
        Subscribe {
            version: VERSION,
            zone: self.zone.clone(),
            tables: self.tables.iter().map(held_table).collect(),
            reports_version: self.reports_version,
            clock_only: false,
            ..subscription
        }
    }
}
