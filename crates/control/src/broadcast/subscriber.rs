//! A relay's side of the spread of reports and updates: it follows one voter, obeys no update of an owner of before, and
//! knows how old each update is at most. As an owner it hands its updates to every voter.
//!
//! To a voter that has shown that it knows deliveries it sends polls, which say what it received, and as an owner
//! submissions; to any other what builds before those understand.
//!
//! Guards against: an update that was held back on its way (its age is reckoned from this relay's own question), one of
//! an owner of before (`fence.rs`), one that comes twice or late (numbers and versions only grow under a token), changes
//! without those before them (it follows anew, and says what it has), a voter that has fallen silent (the next one is
//! followed) or has forgotten it, and an answer to the process before this one.

use super::message::{Delivered, Delivery, Poll, Receipt, Reports, Submission, VERSION};
use super::stream::{HeldVersion, ReceivedSequences};
use super::table::{Checks, Table, TableError};
use crate::jobs::assignment::FencingToken;
use crate::jobs::fence::{Fence, FenceDecision};
use crate::wire::message::{Message, Publish, RelayId, Report, Subscribe, Update, Updates};
#[cfg(feature = "injected-bugs")]
use crate::InjectedBugs;
use crate::{max_elapsed, min_elapsed, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

#[cfg(test)]
mod tests;

/// A relay asks its voter so often what is new; what an owner says meanwhile is told at once.
pub const POLL_INTERVAL: Micros = 500_000;
/// A voter that has told nothing for so long is left for the next one: three questions are without an answer.
const SILENT: Micros = 3 * POLL_INTERVAL;
/// A voter that has not shown for so long that it knows deliveries may be of an older build by now.
const FORGOTTEN: Micros = 3_000_000;
/// A voter's clock that was told longer ago would make what is said by it too old: clocks drift.
const STAMP_LASTS: Micros = 10_000_000;
/// Questions to a voter whose answers may still come.
const ASKED: usize = 16;

/// An update that it obeys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerCommand {
    /// The job, and the token under which it was said.
    pub job: String,
    /// See `job`.
    pub token: FencingToken,
    /// When it was true, at the earliest, by this relay's clock.
    pub valid_since: Micros,
    /// What it says.
    pub payload: CommandBody,
    /// Whether it is the first that it obeys under this token.
    pub is_first: bool,
}

/// What an update says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandBody {
    /// A whole update, as that kind of job reads it.
    Full(Vec<u8>),
    /// The job's table has changed: see [`Subscriber::table`].
    Table,
    /// So many moves may have been made since the start.
    PermittedMigrations(u64),
}

/// What a message has brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedUpdates {
    /// Updates to be obeyed.
    pub commands: Vec<OwnerCommand>,
    /// What relays report to this owner's kinds of jobs, and since when that has been so at the earliest.
    pub reports: Vec<(RelayId, Micros, Vec<Report>)>,
    /// Updates of owners of before that were refused.
    pub rejected: usize,
    /// Jobs whose token has to be asked for before anybody is obeyed; [`Subscriber::known`] takes the answer.
    pub unknown_tokens: Vec<String>,
}

/// What a relay knows of a voter.
#[derive(Default)]
struct Voter {
    /// Questions whose answers may still come, and when each was asked.
    asked: VecDeque<(u64, Micros)>,
    /// Its clock as it was told last, and when that was here.
    stamp: Option<(Micros, Micros)>,
    /// When it last showed that it knows deliveries.
    compact: Option<Micros>,
}

impl Voter {
    fn is_compact(&self, now: Micros) -> bool {
        self.compact.is_some_and(|at| now < at + FORGOTTEN)
    }

    fn record_request(&mut self, now: Micros, number: u64) {
        if self.asked.len() == ASKED {
            self.asked.pop_front();
        }
        self.asked.push_back((number, now));
    }

    fn asked_at(&self, number: u64) -> Option<Micros> {
        self.asked
            .iter()
            .find(|(asked, _)| *asked == number)
            .map(|(_, at)| *at)
    }
}

/// See the module's text.
pub struct Subscriber {
    relay: RelayId,
    zone: String,
    number: u64,
    next: Micros,
    /// Which voter it follows, as a place among all.
    at: usize,
    /// When it last heard of that one, or turned to it.
    since: Micros,
    voters: BTreeMap<u64, Voter>,
    /// The voter that has a stream of deliveries for it, and what came of that.
    streams_from: Option<u64>,
    received: ReceivedSequences,
    /// Its reports, their version, and the version that the voter has.
    reports: Vec<Report>,
    reports_version: u64,
    reports_known: u64,
    /// The version of its reports that went with its last `Follow`.
    reports_subscribed: u64,
    fence: Fence,
    checks: Checks,
    learn_token: BTreeMap<String, HeldVersion>,
    tables: BTreeMap<String, Table>,
    published: u64,
    /// It acts as builds did that knew no deliveries.
    is_older: bool,
}

impl Subscriber {
    /// A relay that has just started: it obeys nobody before it knows how far the tokens are.
    pub fn new(relay: RelayId) -> Subscriber {
        Subscriber {
            at: xxh3_64(relay.name.as_bytes()) as usize,
            relay,
            zone: String::new(),
            number: 0,
            next: 0,
            since: 0,
            voters: BTreeMap::new(),
            streams_from: None,
            received: ReceivedSequences::default(),
            reports: Vec::new(),
            reports_version: 0,
            reports_known: 0,
            reports_subscribed: 0,
            fence: Fence::default(),
            checks: Checks::ALL,
            learn_token: BTreeMap::new(),
            tables: BTreeMap::new(),
            published: 0,
            is_older: false,
        }
    }

    /// One that takes and publishes each update whole, as builds did that knew no deliveries.
    pub fn with_whole_updates(self) -> Subscriber {
        Subscriber {
            is_older: true,
            ..self
        }
    }

    /// It stands in that zone, and needs the updates of its jobs most.
    pub fn in_zone(self, zone: &str) -> Subscriber {
        Subscriber {
            zone: zone.into(),
            ..self
        }
    }

    /// The same with a fault in it: for tests of the checkers.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(mut self, injected: InjectedBugs) -> Subscriber {
        use crate::InjectedBug::{LostChange, VersionBack};
        self.fence = Fence::with_injected(injected);
        self.checks = Checks {
            old: !injected.is(VersionBack),
            gap: !injected.is(LostChange),
        };
        self
    }

    /// Time has passed: what it asks, and of whom. Whoever owns a job with updates asks all voters for their clocks, until
    /// their receipts tell them.
    pub fn tick(
        &mut self,
        now: Micros,
        voters: &[u64],
        owns: bool,
        reports: impl FnOnce() -> Vec<Report>,
    ) -> Vec<(u64, Message)> {
        if now < self.next || voters.is_empty() {
            return Vec::new();
        }
        self.next = now + POLL_INTERVAL;
        if now >= self.since + SILENT {
            // The first time it is the one that its name chose.
            self.at = if self.since == 0 {
                self.at
            } else {
                self.at.wrapping_add(1)
            };
            (self.since, self.streams_from) = (now, None);
        }
        self.voters.retain(|voter, _| voters.contains(voter));
        self.number += 1;
        self.report(reports());
        let own = voters[self.at % voters.len()];
        let mut out = Vec::new();
        for voter in voters {
            let is_compact = self
                .voters
                .get(voter)
                .is_some_and(|known| known.is_compact(now));
            let message = if *voter == own {
                self.ask_own(own, is_compact)
            } else if owns && !is_compact {
                Message::Subscribe(Subscribe {
                    clock_only: !self.is_older,
                    ..self.subscription()
                })
            } else {
                continue;
            };
            self.voters
                .entry(*voter)
                .or_default()
                .record_request(now, self.number);
            out.push((*voter, message));
        }
        out
    }

    fn report(&mut self, reports: Vec<Report>) {
        if self.reports != reports {
            (self.reports, self.reports_version) = (reports, self.reports_version + 1);
        }
    }

    fn ask_own(&mut self, own: u64, is_compact: bool) -> Message {
        if self.streams_from != Some(own) || !is_compact {
            self.streams_from = None;
            self.received = ReceivedSequences {
                stream: self.number,
                ..ReceivedSequences::default()
            };
            self.reports_subscribed = self.reports_version;
            return Message::Subscribe(self.subscription());
        }
        let ReceivedSequences {
            stream,
            highest,
            before,
        } = self.received;
        let report = |report: &Report| {
            (
                report.kind.clone(),
                serde_bytes::ByteBuf::from(report.payload.clone()),
            )
        };
        let reports = (self.reports_known < self.reports_version).then(|| Reports {
            version: self.reports_version,
            reports: self.reports.iter().map(report).collect(),
        });
        Message::Poll(Poll {
            incarnation: self.relay.incarnation,
            sequence: self.number,
            stream,
            highest,
            received_bitmap: before,
            reports,
        })
    }

    fn subscription(&self) -> Subscribe {
        let mut knows = self.learn_token.clone();
        for (job, table) in &self.tables {
            let known = knows.entry(job.clone()).or_default();
            *known = (*known).max((table.token(), table.version()));
        }
        let list = |(job, (token, number)): (String, HeldVersion)| (job, token, number);
        if self.is_older {
            let (relay, knows) = (self.relay.clone(), knows.into_iter().map(list).collect());
            let (number, reports) = (self.number, self.reports.clone());
            return Subscribe {
                relay,
                sequence: number,
                known_updates: knows,
                reports,
                ..Subscribe::default()
            };
        }
        let table = |(job, table): (&String, &Table)| (job.clone(), table.token(), table.version());
        Subscribe {
            relay: self.relay.clone(),
            sequence: self.number,
            known_updates: knows.into_iter().map(list).collect(),
            reports: self.reports.clone(),
            version: VERSION,
            zone: self.zone.clone(),
            tables: self.tables.iter().map(table).collect(),
            reports_version: self.reports_version,
            clock_only: false,
        }
    }

    /// A voter has answered a question; when it did that at the earliest, by this relay's clock. None where it is no
    /// answer to this process.
    fn answered(
        &mut self,
        now: Micros,
        voter: u64,
        voters: &[u64],
        (start, number): (u64, u64),
        since: Micros,
    ) -> Option<Micros> {
        if start != self.relay.incarnation {
            return None;
        }
        let asked = self.voters.get(&voter)?.asked_at(number)?;
        if voters.get(self.at % voters.len().max(1)) == Some(&voter) {
            self.since = now;
        }
        // So long after the question came there.
        Some((asked + min_elapsed(since)).min(now))
    }

    /// A voter has told something. `last` is the last token that the fleet has given, as a leader told this process.
    pub fn handle_updates(
        &mut self,
        now: Micros,
        voter: u64,
        voters: &[u64],
        last: Option<FencingToken>,
        updates: Updates,
    ) -> ReceivedUpdates {
        let mut heard = ReceivedUpdates::default();
        let answers = (updates.incarnation, updates.sequence);
        let Some(sent) = self.answered(now, voter, voters, answers, updates.request_age) else {
            return heard;
        };
        let known = self.voters.entry(voter).or_default();
        known.stamp = Some((updates.stamp, now));
        known.compact = (updates.version >= VERSION && !self.is_older).then_some(now);
        let is_own = voters.get(self.at % voters.len().max(1)) == Some(&voter);
        if known.compact.is_some() && is_own && updates.sequence == self.received.stream {
            (self.streams_from, self.reports_known) = (Some(voter), self.reports_subscribed);
        }
        last.iter().for_each(|last| self.fence.set_floor(*last));
        for update in updates.updates {
            match self.fence.check(&update.job, update.token) {
                FenceDecision::Accept => heard.commands.extend(self.obey(sent, update)),
                FenceDecision::Stale(_) => heard.rejected += 1,
                // It comes again with the answer to the next question.
                FenceDecision::Unknown => heard.unknown_tokens.push(update.job),
            }
        }
        let told = |(relay, age, reports): (RelayId, Micros, Vec<Report>)| {
            (relay, sent.saturating_sub(max_elapsed(age)), reports)
        };
        heard.reports = updates.reports.into_iter().map(told).collect();
        heard
    }

    /// A voter delivers updates.
    pub fn handle_delivery(
        &mut self,
        now: Micros,
        voter: u64,
        voters: &[u64],
        last: Option<FencingToken>,
        delivery: Delivery,
    ) -> ReceivedUpdates {
        let mut heard = ReceivedUpdates::default();
        if self.is_older {
            return heard;
        }
        let Delivery {
            incarnation: start,
            request_sequence: number,
            request_age_ms: since,
            stream,
            sequence,
            reports_version: reports,
            must_resubscribe: unknown,
            updates,
        } = delivery;
        let since = since.saturating_mul(1_000);
        let Some(sent) = self.answered(now, voter, voters, (start, number), since) else {
            return heard;
        };
        self.voters.entry(voter).or_default().compact = Some(now);
        let is_own = self.streams_from == Some(voter) && stream == self.received.stream;
        if unknown && is_own {
            self.streams_from = None;
            return heard;
        }
        if is_own {
            self.reports_known = self.reports_known.max(reports);
        }
        last.iter().for_each(|last| self.fence.set_floor(*last));
        let mut complete = true;
        for update in updates {
            match self.fence.check(&update.job, update.token) {
                FenceDecision::Accept => match self.take(sent, update) {
                    Ok(order) => heard.commands.extend(order),
                    Err(TableError::Old) => {}
                    Err(TableError::Gap | TableError::Damaged) => {
                        // What the voter takes it to have it has not: it follows anew, and says what it has.
                        complete = false;
                        self.streams_from = self.streams_from.filter(|_| !is_own);
                    }
                },
                FenceDecision::Stale(_) => heard.rejected += 1,
                FenceDecision::Unknown => {
                    complete = false;
                    heard.unknown_tokens.push(update.job);
                }
            }
        }
        // Only what it has is acknowledged.
        if complete {
            self.received.add(stream, sequence);
        }
        heard
    }

    fn take(
        &mut self,
        sent: Micros,
        delivered: Delivered,
    ) -> Result<Option<OwnerCommand>, TableError> {
        let Delivered {
            job,
            token,
            sequence: number,
            age_ms: age,
            changes,
            full: whole,
            permitted,
        } = delivered;
        let age = age.saturating_mul(1_000);
        if let Some(body) = whole {
            return Ok(self.obey(
                sent,
                Update {
                    job,
                    token,
                    sequence: number,
                    age,
                    payload: body.into_vec(),
                },
            ));
        }
        let at = sent.saturating_sub(max_elapsed(age));
        let first = self
            .learn_token
            .get(&job)
            .is_none_or(|(known, _)| *known != token);
        let body = match changes {
            Some(changes) => {
                self.take_changes(at, &job, token, &changes)?;
                CommandBody::Table
            }
            None if permitted > 0 => CommandBody::PermittedMigrations(permitted),
            // Of a later build.
            None => return Ok(None),
        };
        let number = self
            .tables
            .get(&job)
            .filter(|of| of.token() == token)
            .map_or(0, Table::version);
        let known = self.learn_token.entry(job.clone()).or_default();
        *known = (*known).max((token, number));
        Ok(Some(OwnerCommand {
            job,
            token,
            valid_since: at,
            payload: body,
            is_first: first,
        }))
    }

    fn take_changes(
        &mut self,
        at: Micros,
        job: &str,
        token: FencingToken,
        changes: &[u8],
    ) -> Result<(), TableError> {
        if let Some(table) = self
            .tables
            .get_mut(job)
            .filter(|table| table.token() == token)
        {
            return table.apply_checked(at, changes, self.checks);
        }
        let mut table = Table::new(token);
        table.apply_checked(at, changes, Checks::ALL)?;
        self.tables.insert(job.into(), table);
        Ok(())
    }

    fn obey(&mut self, sent: Micros, update: Update) -> Option<OwnerCommand> {
        let before = self.learn_token.get(&update.job).copied();
        if before == Some((update.token, update.sequence))
            || before.is_some_and(|(t, n)| t == update.token && n > update.sequence)
        {
            return None;
        }
        self.learn_token
            .insert(update.job.clone(), (update.token, update.sequence));
        let first = before.is_none_or(|(token, _)| token != update.token);
        let at = sent.saturating_sub(max_elapsed(update.age));
        Some(OwnerCommand {
            job: update.job,
            token: update.token,
            valid_since: at,
            payload: CommandBody::Full(update.payload),
            is_first: first,
        })
    }

    /// The token that a job has now, as the leader says.
    pub fn learn_token(&mut self, job: &str, token: FencingToken) {
        self.fence.learn_token(job, token);
    }

    /// A voter has told its clock with a receipt for this process.
    pub fn handle_receipt(&mut self, now: Micros, voter: u64, receipt: &Receipt) -> bool {
        if receipt.start != self.relay.incarnation {
            return false;
        }
        let Some(known) = self.voters.get_mut(&voter) else {
            return false;
        };
        (known.stamp, known.compact) = (Some((receipt.stamp, now)), Some(now));
        true
    }

    /// The last number of what this relay has said as an owner.
    pub fn last_sequence(&self) -> u64 {
        self.published
    }

    /// This relay says something of that number as an owner.
    pub fn reserve_sequence(&mut self, number: u64) {
        self.published = self.published.max(number);
    }

    /// The next number of what this relay says as an owner.
    pub fn next_sequence(&mut self) -> u64 {
        self.published += 1;
        self.published
    }

    /// A submission to each voter that takes them. One whose clock it was not told lately is sent none that has an age: its
    /// receipt tells the clock.
    pub fn submit(
        &self,
        now: Micros,
        (job, token, number): (&str, FencingToken, u64),
        mut fill: impl FnMut(u64, &mut Submission),
    ) -> Vec<(u64, Message)> {
        let mut out = Vec::new();
        for (voter, known) in self
            .voters
            .iter()
            .filter(|(_, known)| known.is_compact(now))
        {
            let (start, job) = (self.relay.incarnation, job.to_string());
            let mut submission = Submission {
                incarnation: start,
                sequence: number,
                job,
                token,
                ..Submission::default()
            };
            fill(*voter, &mut submission);
            match known.stamp.filter(|(_, at)| now < at + STAMP_LASTS) {
                Some((stamp, at)) => (submission.stamp, submission.stamp_age) = (stamp, now - at),
                None => submission.changes = None,
            }
            out.push((*voter, Message::Submission(submission)));
        }
        out
    }

    /// Whether there are voters of older builds, as far as this owner knows.
    pub fn has_older_voters(&self, now: Micros) -> bool {
        self.voters
            .values()
            .any(|known| known.stamp.is_some() && !known.is_compact(now))
    }

    /// What an owner says to all, true now: handed to each voter of an older build whose clock it has been told.
    pub fn publish(
        &self,
        now: Micros,
        (job, token, number): (&str, FencingToken, u64),
        body: &[u8],
    ) -> Vec<(u64, Message)> {
        let update = Update {
            job: job.into(),
            token,
            sequence: number,
            age: 0,
            payload: body.to_vec(),
        };
        let to = |(voter, known): (&u64, &Voter)| {
            let (stamp, at) = known.stamp.filter(|_| !known.is_compact(now))?;
            let publish = Publish {
                update: update.clone(),
                stamp,
                stamp_age: now - at,
            };
            Some((*voter, Message::Publish(publish)))
        };
        self.voters.iter().filter_map(to).collect()
    }

    /// The table of a load watch as this relay knows it.
    pub fn table(&self, job: &str) -> Option<&Table> {
        self.tables.get(job)
    }

    /// When it asks next.
    pub fn next_tick(&self) -> Micros {
        self.next
    }

    /// Jobs that it has obeyed an owner of.
    pub fn accepted_jobs(&self) -> BTreeSet<&str> {
        self.learn_token.keys().map(String::as_str).collect()
    }
}
