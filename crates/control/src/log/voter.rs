//! A voter: it keeps the log with the others, and while it leads it grants leases and carries proposals through.
//!
//! A lease is granted only once a majority has confirmed, after the relay asked, that this voter still leads. It runs
//! from when the relay asked. So when another leader takes leadership, no lease that its predecessor gave can run for longer
//! than one lease from then on, and the new one need know nothing of them but that.
//!
//! Guards against: a leader that was stopped and grants on when it wakes (the majority does not confirm), a relay that
//! is down or cut off (its lease runs out), and one that never answers (the proposal is given up, and says for whom).

mod jobs;
mod members;

use crate::broadcast::broadcaster::Broadcaster;
use crate::log::state::{Command, FleetState, ProposalId, ProposalPhase};
use crate::log::storage::{bytes, CorruptLog, PersistBatch, PersistedLog, RaftLog};
use crate::wire;
pub use crate::wire::message::ReplyAddress;
use crate::wire::message::{
    FleetStatus, JobCapabilities, Message, OperatorRequest, OperatorResponse, RelayId,
    RenewRequest, RenewResponse,
};
use crate::{FleetTiming, InjectedBug, InjectedBugs, Micros};
use members::Founding;
use protobuf::Message as _;
use raft::eraftpb::{Entry, EntryType, MessageType};
use raft::{Config, RawNode, StateRole};
use std::collections::BTreeMap;

/// Beats between two signs of life of a leader, and ticks without one before an election; each voter waits for some
/// more than the one before it, so that they seldom stand at once, and the same each time.
const HEARTBEAT: usize = 2;
const ELECTION: usize = 10;
const ELECTION_STEP: usize = 3;
/// Entries after which a snapshot takes their place.
const COMPACT: usize = 256;
/// Renewals and questions that wait for one confirmation, and relays that a leader remembers: more are told to come
/// again.
const WAITING: usize = 8192;
/// A proposal that the log has not taken is handed to it again after so long.
const AGAIN: Micros = 1_000_000;

/// An entry or a state that this build cannot read.
const LATER: CorruptLog = CorruptLog(
    "the log has what this build cannot read: it is of a later build (upgrade this relay), or damaged",
);

/// What is to be done, in this order: store, then send.
#[derive(Debug, Default)]
pub struct Ready {
    /// To be stored before anything is sent.
    pub persist: PersistBatch,
    /// To other voters, by their numbers.
    pub voter_messages: Vec<(u64, Message)>,
    /// To whoever asked.
    pub replies: Vec<(ReplyAddress, Message)>,
}

impl Ready {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.persist.is_empty() && self.voter_messages.is_empty() && self.replies.is_empty()
    }
}

/// What a leader knows of a relay.
#[derive(Clone, Debug, Default)]
struct Known {
    /// When it was last granted a lease, by this leader's clock.
    granted: Option<Micros>,
    epoch: u64,
    prepared: Option<ProposalId>,
    revoked: Option<ProposalId>,
    /// The version of the jobs that it knows, where it does any, and when its lease on its jobs was last granted.
    jobs: Option<u64>,
    leased: Option<Micros>,
    skills: JobCapabilities,
    /// The first question that it was answered and has not said to have heard the answer to, and when that was.
    unheard: Option<(u64, Micros)>,
    seen: Micros,
}

/// The time in leadership of a leader.
#[derive(Debug, Default)]
struct Leadership {
    term: u64,
    since: Micros,
    relays: BTreeMap<RelayId, Known>,
    /// Since when the proposal is prepared, or closed, here.
    step: Option<(ProposalId, bool, Micros)>,
    /// When its next step was last handed to the log.
    asked: Option<Micros>,
    /// When a change of the membership was.
    learn_membership: Option<Micros>,
    /// When who has which job was last looked at, at which version, and when jobs were last taken back for balance.
    assigned: Option<(u64, Micros)>,
    balanced: Micros,
    /// Jobs that owners have given up lately.
    resting: BTreeMap<String, jobs::Resting>,
}

enum Waiting {
    RenewRequest(ReplyAddress, Box<RenewRequest>),
    OperatorRequest(ReplyAddress, u64, OperatorRequest),
}

/// See the module's text.
pub struct Voter {
    raw: RawNode<RaftLog>,
    /// Of its disk.
    incarnation: u64,
    times: FleetTiming,
    injected: InjectedBugs,
    state: FleetState,
    leadership: Option<Leadership>,
    tick: Micros,
    reads: u64,
    /// When a confirmation was last asked for.
    read_at: Micros,
    /// What waits for the next confirmation, and what waits for one that is under way.
    next: Vec<Waiting>,
    under_way: BTreeMap<u64, Vec<Waiting>>,
    answers: Vec<(ReplyAddress, Message)>,
    /// The membership have changed, and a snapshot has to say so: a newcomer takes none that does not know it.
    membership_changed: bool,
    /// When each voter that a snapshot is on its way to was sent it.
    snapshots: BTreeMap<u64, Micros>,
    /// Founders meet before they vote; what they know then is stored first.
    founding: Option<Founding>,
    met: Option<PersistBatch>,
    /// When each founder was last told who this voter is, past the founding.
    introduced: BTreeMap<u64, Micros>,
    /// The log has what this build cannot read: it must neither vote nor let its state stand for the log.
    fault: Option<CorruptLog>,
    /// What owners of jobs tell all relays.
    broadcaster: Broadcaster,
    now: Micros,
}

/// A number that no process of this voter before had: none before it started at this moment of its clock.
fn instance(incarnation: u64, now: Micros) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&[incarnation.to_be_bytes(), now.to_be_bytes()].concat())
}

impl Voter {
    /// The voter of that number, with a disk of that incarnation and what it has stored. The others are in the log.
    pub fn new(
        id: u64,
        incarnation: u64,
        kept: &PersistedLog,
        times: FleetTiming,
        now: Micros,
    ) -> Result<Voter, CorruptLog> {
        let log = RaftLog::restore(kept)?;
        let applied = raft::Storage::first_index(&log).map_or(0, |first| first - 1);
        let state = match log.state() {
            [] => FleetState::default(),
            bytes => FleetState::decode(bytes).ok_or(LATER)?,
        };
        let election = ELECTION + ELECTION_STEP * (id as usize % 8);
        let config = Config {
            id,
            applied,
            election_tick: election,
            min_election_tick: election,
            max_election_tick: election + 1,
            heartbeat_tick: HEARTBEAT,
            pre_vote: true,
            check_quorum: true,
            max_inflight_msgs: 64,
            max_size_per_msg: 64 * 1024,
            ..Config::default()
        };
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, log, &quiet)
            .map_err(|_| CorruptLog("the log does not fit its voters"))?;
        let founding = state.membership.is_founding();
        let founding = founding.then(|| Founding::new(id, incarnation, now));
        let (tick, injected) = (now, InjectedBugs::default());
        let (next, under_way, answers) = (Vec::new(), BTreeMap::new(), Vec::new());
        Ok(Voter {
            raw,
            incarnation,
            times,
            injected,
            state,
            leadership: None,
            tick,
            reads: 0,
            read_at: 0,
            next,
            under_way,
            answers,
            membership_changed: false,
            snapshots: BTreeMap::new(),
            founding,
            met: None,
            introduced: BTreeMap::new(),
            fault: None,
            broadcaster: Broadcaster::new(instance(incarnation, now)),
            now,
        })
    }

    /// The same with a fault in it: for tests of the checkers.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(mut self, injected: InjectedBugs) -> Voter {
        self.injected = injected;
        self.broadcaster = self.broadcaster.with_injected(injected);
        self
    }

    /// One that hands updates on as builds did that knew no deliveries: for tests of fleets of two builds.
    #[cfg(feature = "injected-bugs")]
    pub fn of_older_build(mut self) -> Voter {
        self.broadcaster = self.broadcaster.of_older_build();
        self
    }

    /// Its number.
    pub fn id(&self) -> u64 {
        self.raw.raft.id
    }

    /// The incarnation of its disk.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether it leads, as far as it knows; and its term.
    pub fn leader_term(&self) -> Option<u64> {
        (self.raw.raft.state == StateRole::Leader).then_some(self.raw.raft.term)
    }

    /// Why it must not vote any more, where the log says so: to be asked before anything that it has to do is done.
    pub fn fatal_error(&self) -> Option<CorruptLog> {
        let gone = self.founding.is_none()
            && self
                .state
                .membership
                .is_replaced(self.id(), self.incarnation);
        self.fault
            .clone()
            .or(gone.then_some(CorruptLog("this voter was removed")))
    }

    /// What it has applied.
    pub fn state(&self) -> &FleetState {
        &self.state
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        self.now = now;
        if self.founding.is_some() {
            self.tick = now;
            return self.meet();
        }
        // One that was stopped for long makes up for a few ticks only: its leader may have been heard of meanwhile,
        // and the messages that say so wait to be read.
        self.tick = self.tick.max(now.saturating_sub(3 * self.times.tick));
        while now >= self.tick + self.times.tick {
            self.tick += self.times.tick;
            self.raw.tick();
        }
        self.resend();
        self.govern();
        self.confirm();
    }

    /// A message of another voter's log. An error is final: this voter's disk has lost what it had answered for, and it
    /// must not vote any more. Who is no voter is told so where the message came from.
    pub fn step(
        &mut self,
        now: Micros,
        from: ReplyAddress,
        incarnation: u64,
        bytes: &[u8],
    ) -> Result<(), CorruptLog> {
        self.now = now;
        let Ok(message) = raft::eraftpb::Message::parse_from_bytes(bytes) else {
            return Ok(());
        };
        if self.founding.is_some() {
            return Ok(());
        }
        if self.state.membership.is_replaced(message.from, incarnation)
            && !self.injected.is(InjectedBug::TrustReborn)
        {
            self.answers
                .push((from, Message::NotAMember(message.from, incarnation)));
            return Ok(());
        }
        let current = message.term >= self.raw.raft.term;
        // A leader tells a voter that entries are committed only as far as that voter has said that it has them.
        if current && message.get_msg_type() == MessageType::MsgHeartbeat {
            let end = raft::Storage::last_index(self.raw.store()).unwrap_or(0);
            if message.commit > end {
                return Err(CorruptLog(
                    "entries that were answered for are not there any more",
                ));
            }
        }
        // What is of an earlier term, or for another, the library leaves aside by itself.
        let _ = self.raw.step(message);
        Ok(())
    }

    /// A relay asks for its lease.
    pub fn handle_renew(&mut self, now: Micros, from: ReplyAddress, renew: RenewRequest) {
        self.now = now;
        self.wait(Waiting::RenewRequest(from, Box::new(renew)));
    }

    /// Operators ask.
    pub fn handle_operator_request(
        &mut self,
        now: Micros,
        from: ReplyAddress,
        number: u64,
        ask: OperatorRequest,
    ) {
        self.now = now;
        if ask == OperatorRequest::Identity {
            let answer = OperatorResponse::Identity(self.id(), self.incarnation);
            return self
                .answers
                .push((from, Message::OperatorResponse(number, answer)));
        }
        self.wait(Waiting::OperatorRequest(from, number, ask));
    }

    fn leader(&self) -> Option<u64> {
        Some(self.raw.raft.leader_id).filter(|id| *id != 0)
    }

    fn wait(&mut self, waiting: Waiting) {
        if self.leader_term().is_some() && self.next.len() < WAITING {
            return self.next.push(waiting);
        }
        self.turn_away(waiting);
    }

    fn turn_away(&mut self, waiting: Waiting) {
        let elsewhere = self.leader().filter(|leader| *leader != self.id());
        self.answers.push(match waiting {
            Waiting::RenewRequest(from, renew) => {
                // With who votes: the leader may be one that the relay's operator file does not name.
                let newer = renew.membership_version < self.state.membership.version;
                let membership = newer.then(|| self.state.membership.clone());
                let reply = RenewResponse {
                    redirect: Some(elsewhere),
                    membership,
                    ..RenewResponse::for_request(&renew)
                };
                (from, Message::RenewResponse(reply))
            }
            Waiting::OperatorRequest(from, number, _) => {
                let member = |number: u64| {
                    let address = self
                        .state
                        .membership
                        .members
                        .get(&number)
                        .map(|member| member.address.clone());
                    (number, address.unwrap_or_default())
                };
                (
                    from,
                    Message::OperatorResponse(
                        number,
                        OperatorResponse::Redirect(elsewhere.map(member)),
                    ),
                )
            }
        });
    }

    /// Has a majority confirm that it still leads, for all that waits.
    fn confirm(&mut self) {
        if self.next.is_empty() {
            return;
        }
        // A leader that has nothing of its own term in the log yet cannot be confirmed.
        if self.leader_term().is_none() || !self.raw.raft.commit_to_current_term() {
            if self.leader_term().is_none() {
                std::mem::take(&mut self.next)
                    .into_iter()
                    .for_each(|waiting| self.turn_away(waiting));
            }
            return;
        }
        // One at a time: what comes meanwhile shares the next, so hundreds of relays cost no more of them than a few. One
        // that was lost on its way is not waited for.
        if !self.under_way.is_empty() && self.now < self.read_at + self.times.tick {
            return;
        }
        (self.reads, self.read_at) = (self.reads + 1, self.now);
        let waiting = std::mem::take(&mut self.next);
        if self.injected.is(InjectedBug::GrantAlone) {
            return waiting.into_iter().for_each(|waiting| self.answer(waiting));
        }
        self.under_way.insert(self.reads, waiting);
        self.raw.read_index(self.reads.to_be_bytes().to_vec());
    }

    /// Answers what was confirmed.
    fn answer(&mut self, waiting: Waiting) {
        if self.leader_term().is_none() {
            return self.turn_away(waiting);
        }
        match waiting {
            Waiting::RenewRequest(from, renew) => {
                let reply = self.grant(*renew);
                self.answers.push((from, Message::RenewResponse(reply)));
            }
            Waiting::OperatorRequest(from, number, ask) => {
                let answer = self.tell(ask);
                self.answers
                    .push((from, Message::OperatorResponse(number, answer)));
            }
        }
    }

    /// What a relay gets. The relay may have refused the proposal, too.
    fn grant(&mut self, renew: RenewRequest) -> RenewResponse {
        let (now, term) = (self.now, self.raw.raft.term);
        let mut reply = RenewResponse::for_request(&renew);
        let Some(leadership) = self
            .leadership
            .as_mut()
            .filter(|leadership| leadership.term == term)
        else {
            reply.redirect = Some(None);
            return reply;
        };
        if !leadership.relays.contains_key(&renew.relay) && leadership.relays.len() >= WAITING {
            reply.redirect = Some(None);
            return reply;
        }
        let known = leadership.relays.entry(renew.relay.clone()).or_default();
        (known.epoch, known.seen) = (renew.epoch, now);
        (known.prepared, known.revoked) = (renew.prepared, renew.revoked);
        // One that is not reached by answers holds no lease, however often it asks: it once kept its jobs for as long as
        // it was deaf, and a change waited for it. From here on it is granted nothing until it has heard that.
        known.unheard = known
            .unheard
            .filter(|(number, _)| *number > renew.last_seen_response);
        let deaf = known
            .unheard
            .is_some_and(|(_, since)| now >= since + self.times.lease_duration);
        known.unheard.get_or_insert((renew.sequence, now));
        let current = renew.epoch == self.state.policy.epoch;
        if !current {
            reply.policy = Some(self.state.policy.clone());
        }
        let assignments = match deaf {
            true => Vec::new(),
            false => jobs::renewed(&self.state.jobs, known, &renew, &mut reply, now),
        };
        self.tire(&assignments);
        let Some(known) = self
            .leadership
            .as_mut()
            .and_then(|leadership| leadership.relays.get_mut(&renew.relay))
        else {
            return reply;
        };
        if renew.membership_version < self.state.membership.version {
            reply.membership = Some(self.state.membership.clone());
        }
        let mut refusal = None;
        match &self.state.phase {
            ProposalPhase::Sealed(p) if !self.injected.is(InjectedBug::GrantClosed) => {
                reply.revoke = Some(p.id)
            }
            ProposalPhase::Preparing(p)
                if renew.rejected.as_ref().is_some_and(|(id, _)| *id == p.id) =>
            {
                let why = renew.rejected.map_or(String::new(), |(_, why)| why);
                refusal = Some(Command::Reject(p.id, renew.relay.name, why));
                reply.grant = current.then_some(renew.epoch);
            }
            phase => {
                reply.grant = current.then_some(renew.epoch);
                if let ProposalPhase::Preparing(p) = phase {
                    reply.prepare = Some(p.clone()).filter(|p| renew.prepared != Some(p.id));
                }
            }
        }
        reply.grant = reply.grant.filter(|_| !deaf);
        if reply.grant.is_some() {
            known.granted = Some(now);
        }
        let assignments = assignments.into_iter().map(Command::Assignment);
        refusal
            .into_iter()
            .chain(assignments)
            .for_each(|command| self.propose(&command));
        reply
    }

    fn tell(&mut self, ask: OperatorRequest) -> OperatorResponse {
        let id = match ask {
            OperatorRequest::Status => {
                let (leader, term, state) = (self.id(), self.raw.raft.term, self.state.clone());
                let runs = |known: &Known| {
                    known
                        .granted
                        .is_some_and(|at| self.now < self.times.lease_expired_by(at))
                };
                let relays = self
                    .leadership
                    .iter()
                    .flat_map(|leadership| &leadership.relays);
                let relays = relays
                    .map(|(relay, known)| (relay.clone(), runs(known), known.epoch))
                    .collect();
                let (membership, idle) = (self.membership(), self.idle());
                return OperatorResponse::Status(Box::new(FleetStatus {
                    leader,
                    term,
                    state,
                    relays,
                    voters: membership,
                    unassigned_jobs: idle,
                }));
            }
            OperatorRequest::Token(name) => {
                let token = self
                    .state
                    .jobs
                    .by_name
                    .get(&name)
                    .map_or(0, |job| job.token);
                return OperatorResponse::Token(name, token);
            }
            OperatorRequest::Job(assignment) => return self.assignment_asked(assignment),
            OperatorRequest::Identity => {
                return OperatorResponse::Identity(self.id(), self.incarnation)
            }
            OperatorRequest::Member(change) => return self.reseat(&change),
            OperatorRequest::Outcome(id) => id,
            OperatorRequest::Propose(proposal) => {
                let id = proposal.id;
                let known = self.state.outcome(id).is_some()
                    || self.state.pending_proposal().is_some_and(|p| p.id == id);
                if !known {
                    self.propose(&Command::Propose(proposal));
                    return OperatorResponse::InProgress("handed to the log".into(), Vec::new());
                }
                id
            }
        };
        if let Some(outcome) = self.state.outcome(id) {
            return OperatorResponse::Outcome(outcome.clone());
        }
        match &self.state.phase {
            ProposalPhase::Preparing(p) if p.id == id => OperatorResponse::InProgress(
                "each relay checks and stores it".into(),
                self.waited_for(),
            ),
            ProposalPhase::Sealed(p) if p.id == id => {
                OperatorResponse::InProgress("waits until no lease runs".into(), self.waited_for())
            }
            _ => OperatorResponse::Unknown,
        }
    }

    /// A snapshot that was lost on its way is sent again: the library waits for it for good, and sends that voter nothing
    /// else. Found by seed 18 of the virtual fleet: a newcomer never learnt the log. Also before it has committed anything
    /// of its term (seed 12345): it may be that very voter whose word is wanted for that.
    fn resend(&mut self) {
        if self.leader_term().is_none() {
            return;
        }
        let waits = |progress: &raft::Progress| progress.state == raft::ProgressState::Snapshot;
        let waiting: Vec<u64> = self
            .raw
            .raft
            .prs()
            .iter()
            .filter(|(_, p)| waits(p))
            .map(|(number, _)| *number)
            .collect();
        let now = self.now;
        self.snapshots.retain(|number, _| waiting.contains(number));
        for number in waiting {
            if now >= *self.snapshots.entry(number).or_insert(now) + AGAIN {
                self.snapshots.remove(&number);
                self.raw
                    .report_snapshot(number, raft::SnapshotStatus::Failure);
            }
        }
    }

    fn propose(&mut self, command: &Command) {
        let _ = self.raw.propose(Vec::new(), wire::encode(command));
    }

    /// Whether all that ran before this leader came into leadership has run out.
    fn settled(&self, leadership: &Leadership) -> bool {
        self.injected.is(InjectedBug::ForgetPredecessor)
            || self.now >= self.times.lease_expired_by(leadership.since)
    }

    /// Relays that may still hold a lease and have not done what the proposal wants of them.
    fn waited_for(&self) -> Vec<String> {
        let Some(leadership) = &self.leadership else {
            return Vec::new();
        };
        let runs = |known: &Known| {
            known
                .granted
                .is_some_and(|at| self.now < self.times.lease_expired_by(at))
        };
        let done = |known: &Known| match &self.state.phase {
            ProposalPhase::Idle => true,
            ProposalPhase::Preparing(p) => known.prepared == Some(p.id),
            ProposalPhase::Sealed(p) => known.revoked == Some(p.id),
        };
        let late = leadership
            .relays
            .iter()
            .filter(|(_, known)| runs(known) && !done(known));
        let mut names: Vec<String> = late.map(|(relay, _)| relay.name.clone()).collect();
        if !self.settled(leadership) {
            names.push("leases that the leader before may have given".into());
        }
        names
    }

    /// Carries the proposal under way a step further, where it leads and nothing is waited for.
    fn govern(&mut self) {
        let Some(term) = self
            .leader_term()
            .filter(|_| self.raw.raft.commit_to_current_term())
        else {
            self.leadership = None;
            return;
        };
        let now = self.now;
        if self
            .leadership
            .as_ref()
            .is_none_or(|leadership| leadership.term != term)
        {
            // Not since it was elected but since it knows that it was: later, and so on the safe side.
            self.leadership = Some(Leadership {
                term,
                since: now,
                ..Leadership::default()
            });
        }
        self.promote();
        self.assignment();
        let at = match &self.state.phase {
            ProposalPhase::Idle => None,
            ProposalPhase::Preparing(p) => Some((p.id, false)),
            ProposalPhase::Sealed(p) => Some((p.id, true)),
        };
        let waited_for = self.waited_for();
        let (times, skip) = (self.times, self.injected.is(InjectedBug::SkipWait));
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        // Relays that are long gone are forgotten: their leases have run out.
        let patience = times.proposal_timeout + times.lease_expired_by(0);
        leadership
            .relays
            .retain(|_, known| now < known.seen + patience);
        let Some((id, closing)) = at else {
            (leadership.step, leadership.asked) = (None, None);
            return;
        };
        if leadership
            .step
            .is_none_or(|(of, closed, _)| (of, closed) != (id, closing))
        {
            (leadership.step, leadership.asked) = (Some((id, closing, now)), None);
        }
        let since = leadership.step.map_or(now, |(_, _, since)| since);
        let command = if closing {
            // Whoever holds a lease got it before it was closed, whatever this leader knows of that.
            let lapsed = now >= times.lease_expired_by(since);
            (waited_for.is_empty() || lapsed || skip).then_some(Command::Commit(id))
        } else if waited_for.is_empty() {
            Some(Command::Seal(id))
        } else if now >= since + times.proposal_timeout {
            Some(Command::TimeOut(id, waited_for))
        } else {
            None
        };
        let due = leadership.asked.is_none_or(|at| now >= at + AGAIN);
        if let Some(command) = command.filter(|_| due) {
            leadership.asked = Some(now);
            self.propose(&command);
        }
    }

    /// What is to be done now. To be called again until there is nothing: each call takes what the last one led to.
    pub fn ready(&mut self, now: Micros) -> Ready {
        self.now = now;
        let mut work = Ready::default();
        if self.founding.is_some() {
            work.voter_messages = self.introduce();
            work.replies.append(&mut self.answers);
            return work;
        }
        work.persist = self.met.take().unwrap_or_default();
        if self.raw.has_ready() {
            self.process_raft_ready(&mut work);
        }
        self.confirm();
        work.replies.append(&mut self.answers);
        work
    }

    fn process_raft_ready(&mut self, work: &mut Ready) {
        let mut ready = self.raw.ready();
        let mut messages = ready.take_messages();
        if *ready.snapshot() != raft::eraftpb::Snapshot::default() {
            let snapshot = ready.snapshot().clone();
            self.raw.mut_store().install(&snapshot);
            work.persist.snapshot = Some(bytes(&snapshot));
            match FleetState::decode(&snapshot.data) {
                Some(state) => self.state = state,
                None => self.fault = Some(LATER),
            }
        }
        self.apply(ready.take_committed_entries());
        if !ready.entries().is_empty() {
            let entries = ready.entries().clone();
            work.persist.entries = entries.iter().map(|e| (e.index, bytes(e))).collect();
            self.raw.mut_store().append(&entries);
        }
        if let Some(vote) = ready.hs() {
            let vote = vote.clone();
            work.persist.hard_state = Some(bytes(&vote));
            self.raw.mut_store().set_vote(&vote);
        }
        let mut confirmed = Vec::new();
        for read in ready.take_read_states() {
            let Ok(number) = read
                .request_ctx
                .as_slice()
                .try_into()
                .map(u64::from_be_bytes)
            else {
                continue;
            };
            // A later confirmation stands for the earlier ones, too; what was lost on its way does not wait for good.
            let later = self.under_way.split_off(&(number + 1));
            confirmed.extend(
                std::mem::replace(&mut self.under_way, later)
                    .into_values()
                    .flatten(),
            );
        }
        messages.extend(ready.take_persisted_messages());
        let mut light = self.raw.advance(ready);
        messages.extend(light.take_messages());
        if let Some(commit) = light.commit_index() {
            let mut vote = raft::Storage::initial_state(self.raw.store())
                .map_or_else(|_| Default::default(), |s| s.hard_state);
            vote.commit = commit;
            self.raw.mut_store().set_vote(&vote);
            work.persist.hard_state = Some(bytes(&vote));
        }
        self.apply(light.take_committed_entries());
        self.raw.advance_apply();
        // Only now: an answer may propose something, and the library wants to hear of nothing while it is advanced.
        confirmed
            .into_iter()
            .for_each(|waiting| self.answer(waiting));
        if self.leader_term().is_none() {
            let lost: Vec<Waiting> = std::mem::take(&mut self.under_way)
                .into_values()
                .flatten()
                .collect();
            lost.into_iter().for_each(|waiting| self.turn_away(waiting));
        }
        if self.fault.is_none()
            && work.persist.snapshot.is_none()
            && (self.membership_changed || self.raw.store().len() > COMPACT)
        {
            self.compact(work);
        }
        work.voter_messages = messages
            .iter()
            .map(|m| (m.to, Message::Log(self.incarnation, bytes(m))))
            .collect();
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match entry.get_entry_type() {
                // An empty entry is a new leader's first.
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => {
                    // Left out, its state would be another than that of the voters that know it.
                    match wire::decode(&entry.data) {
                        Some(command) if self.fault.is_none() => self.state.apply(command),
                        Some(_) => {}
                        None => self.fault = Some(LATER),
                    }
                }
                _ => self.apply_seat(&entry),
            }
        }
    }

    fn compact(&mut self, work: &mut Ready) {
        let applied = self.raw.raft.raft_log.applied;
        let conf = self.raw.raft.prs().conf().to_conf_state();
        let stored = self
            .raw
            .mut_store()
            .compact(applied, &conf, wire::encode(&self.state));
        (work.persist.snapshot, work.persist.compact_to) = (stored.snapshot, stored.compact_to);
        self.membership_changed = false;
    }
}
