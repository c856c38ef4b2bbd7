//! A voter: it replicates the log with the other voters and, while it leads, grants leases, assigns jobs and carries policy
//! proposals through their phases.
//!
//! Inputs are messages, the time and what the disk stored; the output is a [`Ready`], to be persisted first and sent
//! afterwards. A lease is granted only after a majority has confirmed, later than the relay's request, that this voter still
//! leads, and it runs from when the relay sent the request. A new leader therefore needs no knowledge of its predecessor's
//! leases: one lease after its election none of them runs any more.
//!
//! Guards against: a leader that was paused and continues to grant when it wakes (no majority confirms it), a relay that
//! is down or cut off (its lease runs out), and a relay that never answers a proposal (the proposal times out and names it).

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

/// Ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// Ticks without a leader before the voter with the lowest number stands for election.
const ELECTION_TICKS: usize = 10;
/// Ticks by which the election timeout of each further number is longer, so that two voters seldom stand at once.
const ELECTION_TICKS_STEP: usize = 3;
/// Numbers after which the election timeouts repeat.
const ELECTION_TIMEOUTS: usize = 8;
/// The most messages with entries in flight to one voter.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// The most bytes of entries in one message to a voter.
const MAX_MESSAGE_BYTES: u64 = 64 * 1024;
/// The most ticks that a voter makes up for after a pause, while messages of the leader may still be unread.
const MAX_TICKS_BEHIND: u64 = 3;
/// Time after which a command that did not enter the log, or a snapshot that was not acknowledged, is sent again, in
/// microseconds.
const RESEND_INTERVAL: Micros = 1_000_000;

/// A voting member of the replicated log; grants leases, assigns jobs and advances proposals while it is leader.
pub struct Voter {
    node: RawNode<RaftLog>,
    /// The number of this voter's disk.
    disk_id: u64,
    timing: FleetTiming,
    injected: InjectedBugs,
    /// What the applied entries come to.
    state: FleetState,
    /// What this voter knows as leader; none while it does not lead.
    leadership: Option<Leadership>,
    /// Up to when ticks were given to the raft library.
    last_tick_at: Micros,
    confirmations: ReadConfirmations,
    /// Messages for whoever sent a request, until the next [`Ready`].
    replies: Vec<(ReplyAddress, Message)>,
    /// The members have changed since the last snapshot. A newcomer takes no snapshot that does not name it.
    membership_changed: bool,
    /// When each voter that has not acknowledged its snapshot yet was first seen to wait for it.
    snapshots_sent_at: BTreeMap<u64, Micros>,
    /// The founders' exchange of introductions, until it is complete.
    founding: Option<Founding>,
    /// What the founders know once they have met, to be persisted with the next [`Ready`].
    founding_batch: Option<PersistBatch>,
    /// When each founder was last answered after this voter's own founding.
    introduced_at: BTreeMap<u64, Micros>,
    /// The log has what this build cannot read: this voter must not vote, nor may its state stand for the log.
    fault: Option<LogError>,
    /// Updates that owners of jobs send to all relays.
    broadcaster: Broadcaster,
    now: Micros,
}

/// A number that no earlier process of this voter had: none of them started at this moment of its clock.
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
    /// The voter with this number, this disk and this stored log. The other voters are in the log.
    ///
    /// Fails where the stored log is damaged, incomplete or of a later build.
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
            fault: None,
            broadcaster: Broadcaster::new(process_incarnation(disk_id, now)),
            now,
        })
    }

    /// The same voter with an injected bug, for tests of the checkers.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(mut self, injected: InjectedBugs) -> Voter {
        self.injected = injected;
        self.broadcaster = self.broadcaster.with_injected(injected);
        self
    }

    /// The same voter, broadcasting updates as builds did that knew no deliveries: for tests of fleets of two builds.
    #[cfg(feature = "injected-bugs")]
    pub fn of_older_build(mut self) -> Voter {
        self.broadcaster = self.broadcaster.of_older_build();
        self
    }

    /// This voter's number.
    pub fn id(&self) -> u64 {
        self.node.raft.id
    }

    /// The number of this voter's disk.
    pub fn disk_id(&self) -> u64 {
        self.disk_id
    }

    /// The term in which this voter leads, as far as it knows; none while it does not lead.
    pub fn leader_term(&self) -> Option<u64> {
        (self.node.raft.state == StateRole::Leader).then_some(self.node.raft.term)
    }

    /// Why this voter must not vote any more. To be checked before a [`Ready`] is carried out.
    pub fn fatal_error(&self) -> Option<LogError> {
        let members = &self.state.membership;
        let removed =
            self.founding.is_none() && members.is_removed_or_replaced(self.id(), self.disk_id);
        self.fault.or(removed.then_some(LogError::Removed))
    }

    /// What the applied entries of the log come to.
    pub fn state(&self) -> &FleetState {
        &self.state
    }

    /// Time has passed: elections, heartbeats, and what a leader does by time.
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

    /// A message of another voter's raft library. A sender that is no member is told so.
    ///
    /// An error is final: this voter's disk has lost entries that it had acknowledged, and it must not vote any more.
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
        // A leader reports entries as committed to a voter only as far as that voter has acknowledged them.
        let is_current = message.term >= self.node.raft.term;
        if is_current && message.get_msg_type() == MessageType::MsgHeartbeat {
            let last_index = raft::Storage::last_index(self.node.store()).unwrap_or(0);
            if message.commit > last_index {
                return Err(LogError::AcknowledgedEntriesLost);
            }
        }
        // The library itself drops messages of an earlier term or for another voter.
        let _ = self.node.step(message);
        Ok(())
    }

    /// What there is to do now. To be called again until it is empty: each call returns what the last one led to.
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

    /// Whether a sender that claims to be this voter, with this disk, is not the member of that number.
    fn is_not_member(&self, number: u64, disk_id: u64) -> bool {
        let replaced = self
            .state
            .membership
            .is_removed_or_replaced(number, disk_id);
        replaced && !self.injected.is(InjectedBug::TrustReplacedDisk)
    }

    /// Proposes an entry of the log. One that the library does not accept is proposed again by the rule that wanted it.
    fn propose(&mut self, command: &Command) {
        let _ = self.node.propose(Vec::new(), wire::encode(command));
    }
}
