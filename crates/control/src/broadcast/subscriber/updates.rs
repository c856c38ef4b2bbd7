//! Handling of received updates: fencing, deduplication, tables and acknowledgement.

use super::Subscriber;
use crate::broadcast::message::{DeliveredUpdate, Delivery, VERSION};
use crate::broadcast::stream::HeldVersion;
use crate::broadcast::table::{Checks, Table, TableError};
use crate::jobs::assignment::FencingToken;
use crate::jobs::fence::FenceDecision;
use crate::wire::message::{RelayId, Report, Update, Updates};
use crate::{max_elapsed, min_elapsed, Micros};

/// An accepted update, to be executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerCommand {
    /// Name of the job.
    pub job: String,
    /// Fencing token of the job's owner.
    pub token: FencingToken,
    /// Earliest time, by the local clock, at which the update was valid.
    pub valid_since: Micros,
    /// Content of the update.
    pub payload: CommandBody,
    /// Whether the update is the first one that was accepted under this token.
    pub is_first: bool,
}

/// Content of an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandBody {
    /// A full update, which only this kind of job interprets.
    Full(Vec<u8>),
    /// The job's table has changed; see [`Subscriber::table`].
    Table,
    /// Number of migrations that this relay is permitted, counted since its start.
    PermittedMigrations(u64),
}

/// Reports of one relay, for the owner of jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayReports {
    /// The relay that reports.
    pub relay: RelayId,
    /// Earliest time, by the local clock, at which the reports were valid.
    pub valid_since: Micros,
    /// One report for each kind of job.
    pub reports: Vec<Report>,
}

/// Content of a received message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedUpdates {
    /// Updates to execute, in this order.
    pub commands: Vec<OwnerCommand>,
    /// Reports of relays for the kinds of jobs that this relay owns.
    pub reports: Vec<RelayReports>,
    /// Number of updates that were rejected because a former owner sent them.
    pub rejected: usize,
    /// Jobs whose current token must be requested before their updates are accepted. The caller
    /// passes the answer to [`Subscriber::learn_token`].
    pub unknown_tokens: Vec<String>,
}

/// Identifies the request that a response answers.
struct ResponseId {
    incarnation: u64,
    sequence: u64,
}

/// Which updates of a delivery were accepted, ordered from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Acceptance {
    /// All updates that are needed.
    Complete,
    /// An update was not accepted because the current token of its job is not known yet.
    UnknownToken,
    /// Changes of a table were not accepted because they do not fit the version that this relay
    /// has.
    MissingVersion,
}

impl Subscriber {
    /// Handles a voter's response to a subscription, which starts a stream of deliveries if the
    /// voter supports them, or full updates of an older build. `last_token` is the latest token
    /// that the fleet has issued, if this process knows it.
    pub fn handle_updates(
        &mut self,
        now: Micros,
        voter: u64,
        voters: &[u64],
        last_token: Option<FencingToken>,
        updates: Updates,
    ) -> ReceivedUpdates {
        let mut received = ReceivedUpdates::default();
        let response = ResponseId {
            incarnation: updates.incarnation,
            sequence: updates.sequence,
        };
        let Some(sent_at) = self.match_response(now, voter, voters, response, updates.request_age)
        else {
            return received;
        };
        let supports_deliveries = updates.version >= VERSION && !self.is_older_build;
        let state = self.voters.entry(voter).or_default();
        state.set_clock(now, updates.stamp);
        state.set_supports_deliveries(now, supports_deliveries);
        let is_followed = self.followed_voter(voters) == Some(voter);
        if supports_deliveries && is_followed && updates.sequence == self.received.stream {
            self.stream_voter = Some(voter);
            self.acknowledged_reports = self.subscribed_reports;
        }
        self.set_token_floor(last_token);
        for update in updates.updates {
            match self.fence.check(&update.job, update.token) {
                FenceDecision::Accept => {
                    received.commands.extend(self.accept_full(sent_at, update));
                }
                FenceDecision::Stale(_) => received.rejected += 1,
                // The voter repeats the update in its response to the next request.
                FenceDecision::Unknown => received.unknown_tokens.push(update.job),
            }
        }
        received.reports = updates
            .reports
            .into_iter()
            .map(|(relay, age, reports)| RelayReports {
                relay,
                valid_since: sent_at.saturating_sub(max_elapsed(age)),
                reports,
            })
            .collect();
        received
    }

    /// Handles a delivery of a voter. `last_token` is the latest token that the fleet has issued,
    /// if this process knows it.
    pub fn handle_delivery(
        &mut self,
        now: Micros,
        voter: u64,
        voters: &[u64],
        last_token: Option<FencingToken>,
        delivery: Delivery,
    ) -> ReceivedUpdates {
        let mut received = ReceivedUpdates::default();
        if self.is_older_build {
            return received;
        }
        let response = ResponseId {
            incarnation: delivery.incarnation,
            sequence: delivery.request_sequence,
        };
        let request_age = delivery.request_age_ms.saturating_mul(1_000);
        let Some(sent_at) = self.match_response(now, voter, voters, response, request_age) else {
            return received;
        };
        let state = self.voters.entry(voter).or_default();
        state.set_supports_deliveries(now, true);
        let is_current_stream =
            self.stream_voter == Some(voter) && delivery.stream == self.received.stream;
        if delivery.must_resubscribe && is_current_stream {
            self.stream_voter = None;
            return received;
        }
        if is_current_stream {
            self.acknowledged_reports = self.acknowledged_reports.max(delivery.reports_version);
        }
        self.set_token_floor(last_token);
        let acceptance = self.accept_all(sent_at, delivery.updates, &mut received);
        if acceptance == Acceptance::MissingVersion && is_current_stream {
            // The voter assumes a newer version than this relay has. The next subscription reports
            // the versions that it has.
            self.stream_voter = None;
        }
        // An incomplete delivery is not acknowledged, so that the voter repeats it.
        if acceptance == Acceptance::Complete {
            self.received.add(delivery.stream, delivery.sequence);
        }
        received
    }

    /// Matches a voter's response to its request, which the voter received `request_age` before it
    /// responded. Returns the earliest time, by the local clock, at which the response was sent;
    /// `None` if it does not answer an open request of this process.
    fn match_response(
        &mut self,
        now: Micros,
        voter: u64,
        voters: &[u64],
        response: ResponseId,
        request_age: Micros,
    ) -> Option<Micros> {
        if response.incarnation != self.relay.incarnation {
            return None;
        }
        let requested_at = self
            .voters
            .get(&voter)
            .and_then(|state| state.requested_at(response.sequence))?;
        if self.followed_voter(voters) == Some(voter) {
            self.last_contact = now;
        }
        Some((requested_at + min_elapsed(request_age)).min(now))
    }

    fn set_token_floor(&mut self, last_token: Option<FencingToken>) {
        if let Some(last_token) = last_token {
            self.fence.set_floor(last_token);
        }
    }

    /// Accepts those updates of a delivery whose tokens and versions allow it.
    fn accept_all(
        &mut self,
        sent_at: Micros,
        updates: Vec<DeliveredUpdate>,
        received: &mut ReceivedUpdates,
    ) -> Acceptance {
        let mut acceptance = Acceptance::Complete;
        for update in updates {
            match self.fence.check(&update.job, update.token) {
                FenceDecision::Accept => match self.accept_delivered(sent_at, update) {
                    Ok(command) => received.commands.extend(command),
                    Err(TableError::Old) => {}
                    Err(TableError::Gap | TableError::Damaged) => {
                        acceptance = Acceptance::MissingVersion;
                    }
                },
                FenceDecision::Stale(_) => received.rejected += 1,
                FenceDecision::Unknown => {
                    acceptance = acceptance.max(Acceptance::UnknownToken);
                    received.unknown_tokens.push(update.job);
                }
            }
        }
        acceptance
    }

    /// Accepts an update of a delivery. Returns `None` if it is a duplicate, or of a kind that this
    /// build does not know.
    fn accept_delivered(
        &mut self,
        sent_at: Micros,
        delivered: DeliveredUpdate,
    ) -> Result<Option<OwnerCommand>, TableError> {
        let age = delivered.age_ms.saturating_mul(1_000);
        if let Some(payload) = delivered.full {
            let update = Update {
                job: delivered.job,
                token: delivered.token,
                sequence: delivered.sequence,
                age,
                payload: payload.into_vec(),
            };
            return Ok(self.accept_full(sent_at, update));
        }
        let DeliveredUpdate { job, token, .. } = delivered;
        let valid_since = sent_at.saturating_sub(max_elapsed(age));
        let is_first = self
            .accepted
            .get(&job)
            .is_none_or(|accepted| accepted.token != token);
        let payload = match delivered.changes {
            Some(changes) => {
                self.apply_changes(valid_since, &job, token, &changes)?;
                CommandBody::Table
            }
            None if delivered.permitted > 0 => {
                CommandBody::PermittedMigrations(delivered.permitted)
            }
            None => return Ok(None),
        };
        let version = self
            .tables
            .get(&job)
            .filter(|table| table.token() == token)
            .map_or(0, Table::version);
        let accepted = self.accepted.entry(job.clone()).or_default();
        *accepted = (*accepted).max(HeldVersion::new(token, version));
        Ok(Some(OwnerCommand {
            job,
            token,
            valid_since,
            payload,
            is_first,
        }))
    }

    /// Applies changes to the job's table under this token. The first changes under a new token
    /// start a new table, if they fit.
    fn apply_changes(
        &mut self,
        sent_at: Micros,
        job: &str,
        token: FencingToken,
        changes: &[u8],
    ) -> Result<(), TableError> {
        let current = self.tables.get_mut(job);
        if let Some(table) = current.filter(|table| table.token() == token) {
            return table.apply_checked(sent_at, changes, self.checks);
        }
        let mut table = Table::new(token);
        table.apply_checked(sent_at, changes, Checks::ALL)?;
        self.tables.insert(job.into(), table);
        Ok(())
    }

    /// Accepts a full update, unless it or a newer one under the same token was accepted before.
    fn accept_full(&mut self, sent_at: Micros, update: Update) -> Option<OwnerCommand> {
        let previous = self.accepted.get(&update.job).copied();
        let is_under_same_token = previous.is_some_and(|accepted| accepted.token == update.token);
        let version = HeldVersion::new(update.token, update.sequence);
        if is_under_same_token && previous >= Some(version) {
            return None;
        }
        self.accepted.insert(update.job.clone(), version);
        Some(OwnerCommand {
            job: update.job,
            token: update.token,
            valid_since: sent_at.saturating_sub(max_elapsed(update.age)),
            payload: CommandBody::Full(update.payload),
            is_first: !is_under_same_token,
        })
    }
}
