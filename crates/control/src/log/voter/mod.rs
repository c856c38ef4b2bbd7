//! Voter: replicates the log with the other voters and, while it leads, grants leases, assigns jobs
//! and advances policy proposals through their phases.
//!
//! Input: messages, the time and the stored log. Output: a [`Ready`] with changes to persist and
//! messages to send afterwards.
//!
//! A lease is granted only after a majority has confirmed, later than the relay's request arrived,
//! that this voter still leads. The lease starts when the relay sent the request. A new leader
//! therefore does not need to know the leases of its predecessor: one lease duration after its
//! election all of them have expired.
//!
//! Guards against: a leader that was paused and continues to grant leases when it resumes (no
//! majority confirms it), a relay that is down or cut off (its lease expires), and a relay that
//! never prepares a proposal (the proposal times out and its outcome names the relay).

mod broadcast;
mod founding;
mod job_assignment;
mod job_leases;
mod leadership;
mod leases;
mod membership;
mod operator;
mod proposals;
mod read_confirmation;
mod ready;
mod relinquish_backoff;
mod snapshots;

use crate::broadcast::broadcaster::Broadcaster;
use crate::log::error::LogError;
use crate::log::state::{Command, FleetState};
use crate::log::storage::{PersistBatch, PersistedLog, RaftLog};
use crate::wire;
use crate::wire::message::Message;
pub use crate::wire::message::ReplyAddress;
use crate::{FleetTiming, InjectedBug, InjectedBugs, Micros};
use founding::Founding;
use leadership::Leadership;
use protobuf::Message as _;
use raft::eraftpb::MessageType;
use raft::{Config, RawNode, StateRole};
use read_confirmation::ReadConfirmations;
pub use ready::Ready;
use std::collections::BTreeMap;

/// Number of ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// Election timeout of the voter with the shortest one, in ticks.
const ELECTION_TICKS: usize = 10;
/// Number of ticks by which the election timeout grows with the voter's number, so that two voters
/// rarely start an election at the same time.
const ELECTION_TICKS_STEP: usize = 3;
/// Number of different election timeouts. Voters whose numbers differ by a multiple of it have the
/// same.
const ELECTION_TIMEOUTS: usize = 8;
/// Maximum number of messages with entries in flight to one voter.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// Maximum size of the entries in one message to a voter, in bytes.
const MAX_MESSAGE_BYTES: u64 = 64 * 1024;
/// Maximum number of ticks that a voter catches up on after a pause. More could trigger an election
/// while messages of the leader are still unread.
const MAX_TICKS_BEHIND: u64 = 3;
/// Time after which a command that did not enter the log is proposed again, or a snapshot that was
/// not acknowledged is sent again, in microseconds.
const RESEND_INTERVAL: Micros = 1_000_000;

/// Voting member of the replicated log, or learner. While it leads, it grants leases, assigns jobs
/// and advances proposals.
pub struct Voter {
    node: RawNode<RaftLog>,
    /// Random number of this voter's disk.
    disk_id: u64,
    timing: FleetTiming,
    injected: InjectedBugs,
    /// State that results from the applied entries.
    state: FleetState,
    /// State of this voter's leadership; `None` while it does not lead.
    leadership: Option<Leadership>,
    /// Time up to which the raft library has received its ticks.
    last_tick_at: Micros,
    confirmations: ReadConfirmations,
    /// Replies to senders of requests, for the next [`Ready`].
    replies: Vec<(ReplyAddress, Message)>,
    /// Whether the membership has changed since the latest snapshot. A new member does not accept a
    /// snapshot whose membership lacks it.
    membership_changed: bool,
    /// For each member that has not acknowledged a snapshot yet: when this leader first noticed it,
    /// or last reported the snapshot as lost.
    snapshots_sent_at: BTreeMap<u64, Micros>,
    /// Progress of the founding; `None` once it is complete.
    founding: Option<Founding>,
    /// Result of the founding, to be persisted with the next [`Ready`].
    founding_batch: Option<PersistBatch>,
    /// When each founder was last answered after this voter had completed the founding.
    introduced_at: BTreeMap<u64, Micros>,
    /// Set if the log has content that this build cannot read. This voter must then stop voting,
    /// and its state must not replace entries in a snapshot.
    log_error: Option<LogError>,
    /// Distributes the updates of job owners to relays.
    broadcaster: Broadcaster,
    now: Micros,
}

/// Identifies this process of the voter. Differs from those of earlier processes, since each
/// started at another time of the clock.
fn process_incarnation(disk_id: u64, now: Micros) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&[disk_id.to_be_bytes(), now.to_be_bytes()].concat())
}

fn raft_config(id: u64, applied: u64) -> Config {
    let election_ticks = ELECTION_TICKS + ELECTION_TICKS_STEP * (id as usize % ELECTION_TIMEOUTS);
    Config {
        id,
        applied,
        election_tick: election_ticks,
        min_election_tick: election_ticks,
        max_election_tick: election_ticks + 1,
        heartbeat_tick: HEARTBEAT_TICKS,
        pre_vote: true,
        check_quorum: true,
        max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        ..Config::default()
    }
}

impl Voter {
    /// Creates the voter with this number, this disk and this stored log. The log names the other
    /// voters.
    ///
    /// Fails if the stored log is damaged, incomplete or written by a later build.
    pub fn new(
        id: u64,
        disk_id: u64,
        stored: &PersistedLog,
        timing: FleetTiming,
        now: Micros,
    ) -> Result<Voter, LogError> {
        let log = RaftLog::restore(stored)?;
        let applied = raft::Storage::first_index(&log).map_or(0, |first| first - 1);
        let state = match log.state() {
            [] => FleetState::default(),
            bytes => FleetState::decode(bytes).ok_or(LogError::UnsupportedVersion)?,
        };
        let discard = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&raft_config(id, applied), log, &discard)
            .map_err(|_| LogError::VotersMismatch)?;
        let founding = state
            .membership
            .is_founding()
            .then(|| Founding::new(id, disk_id, now));
        Ok(Voter {
            node,
            disk_id,
            timing,
            injected: InjectedBugs::default(),
            state,
            leadership: None,
            last_tick_at: now,
            confirmations: ReadConfirmations::default(),
            replies: Vec::new(),
            membership_changed: false,
            snapshots_sent_at: BTreeMap::new(),
            founding,
            founding_batch: None,
            introduced_at: BTreeMap::new(),
            log_error: None,
            broadcaster: Broadcaster::new(process_incarnation(disk_id, now)),
            now,
        })
    }

    /// Injects a bug, for tests of the checkers.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(mut self, injected: InjectedBugs) -> Voter {
        self.injected = injected;
        self.broadcaster = self.broadcaster.with_injected(injected);
        self
    }

    /// Broadcasts updates as builds without support for deliveries do, for tests of fleets with two
    /// builds.
    #[cfg(feature = "injected-bugs")]
    pub fn of_older_build(mut self) -> Voter {
        self.broadcaster = self.broadcaster.of_older_build();
        self
    }

    /// Number of this voter.
    pub fn id(&self) -> u64 {
        self.node.raft.id
    }

    /// Random number of this voter's disk.
    pub fn disk_id(&self) -> u64 {
        self.disk_id
    }

    /// Term in which this voter leads, as far as it knows; `None` while it does not lead.
    pub fn leader_term(&self) -> Option<u64> {
        (self.node.raft.state == StateRole::Leader).then_some(self.node.raft.term)
    }

    /// Error because of which this voter must stop voting, if any. The caller must check it before
    /// it executes a [`Ready`].
    pub fn fatal_error(&self) -> Option<LogError> {
        let members = &self.state.membership;
        let removed =
            self.founding.is_none() && members.is_removed_or_replaced(self.id(), self.disk_id);
        self.log_error.or(removed.then_some(LogError::Removed))
    }

    /// State that results from the applied entries of the log.
    pub fn state(&self) -> &FleetState {
        &self.state
    }

    /// Advances the time: runs elections and heartbeats, and the periodic work of a leader.
    pub fn tick(&mut self, now: Micros) {
        self.now = now;
        if self.founding.is_some() {
            self.last_tick_at = now;
            self.complete_founding();
            return;
        }
        self.tick_raft();
        self.resend_lost_snapshots();
        if self.update_leadership() {
            self.promote_learner();
            self.assign_jobs();
            self.advance_proposal();
            self.forget_silent_relays();
        }
        self.request_confirmation();
    }

    fn tick_raft(&mut self) {
        let tick = self.timing.tick;
        let oldest = self.now.saturating_sub(MAX_TICKS_BEHIND * tick);
        self.last_tick_at = self.last_tick_at.max(oldest);
        while self.now >= self.last_tick_at + tick {
            self.last_tick_at += tick;
            self.node.tick();
        }
    }

    /// Handles a message of another voter's raft library. A sender that is not a member is
    /// notified.
    ///
    /// Fails if this voter's disk has lost entries that it had acknowledged. The voter must then
    /// stop voting permanently.
    pub fn step(
        &mut self,
        now: Micros,
        from: ReplyAddress,
        disk_id: u64,
        bytes: &[u8],
    ) -> Result<(), LogError> {
        self.now = now;
        let Ok(message) = raft::eraftpb::Message::parse_from_bytes(bytes) else {
            return Ok(());
        };
        if self.founding.is_some() {
            return Ok(());
        }
        if self.is_not_member(message.from, disk_id) {
            self.reply(from, Message::NotAMember(message.from, disk_id));
            return Ok(());
        }
        // The commit index that a leader sends to a voter never exceeds the entries that the voter
        // has acknowledged.
        let is_current = message.term >= self.node.raft.term;
        if is_current && message.get_msg_type() == MessageType::MsgHeartbeat {
            let last_index = raft::Storage::last_index(self.node.store()).unwrap_or(0);
            if message.commit > last_index {
                return Err(LogError::AcknowledgedEntriesLost);
            }
        }
        // The library drops messages of an earlier term or for another voter.
        let _ = self.node.step(message);
        Ok(())
    }

    /// Returns what the caller must do now. The caller repeats the call until the result is empty,
    /// since executing one result can lead to the next.
    pub fn ready(&mut self, now: Micros) -> Ready {
        self.now = now;
        let mut output = Ready::default();
        if self.founding.is_some() {
            output.voter_messages = self.introductions();
            output.replies.append(&mut self.replies);
            return output;
        }
        output.persist = self.founding_batch.take().unwrap_or_default();
        if self.node.has_ready() {
            self.process_raft_ready(&mut output);
        }
        self.request_confirmation();
        output.replies.append(&mut self.replies);
        output
    }

    fn reply(&mut self, to: ReplyAddress, message: Message) {
        self.replies.push((to, message));
    }

    /// Whether a sender with this number and this disk is not a member.
    fn is_not_member(&self, number: u64, disk_id: u64) -> bool {
        let is_not_member = self
            .state
            .membership
            .is_removed_or_replaced(number, disk_id);
        is_not_member && !self.injected.is(InjectedBug::TrustReplacedDisk)
    }

    /// Proposes an entry of the log. If the library rejects it, the caller's condition still holds
    /// and it is proposed again later.
    fn propose(&mut self, command: &Command) {
        let _ = self.node.propose(Vec::new(), wire::encode(command));
    }
}
