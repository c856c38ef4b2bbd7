//! Output of a voter to its caller, and its derivation from the `Ready` of the raft library.

use super::{ReplyAddress, Voter};
use crate::log::error::LogError;
use crate::log::state::FleetState;
use crate::log::storage::{to_bytes, PersistBatch};
use crate::wire;
use crate::wire::message::Message;
use raft::eraftpb::{Entry, EntryType, HardState, Snapshot};

/// Changes to persist and messages to send. The caller must, in this order:
///
/// 1. Check [`Voter::fatal_error`]. If there is one, skip the following steps and stop this voter.
/// 2. Write [`Ready::persist`] to disk durably. If that fails, send nothing and stop this voter.
/// 3. Send [`Ready::voter_messages`] and [`Ready::replies`], in any order. Messages may be lost.
///
/// The caller then calls [`Voter::ready`] again, until the result is empty.
#[derive(Debug, Default)]
pub struct Ready {
    /// Changes that must be durable before any message of this `Ready` is sent, because messages
    /// may acknowledge them.
    pub persist: PersistBatch,
    /// Messages for other voters, with their numbers.
    pub voter_messages: Vec<(u64, Message)>,
    /// Messages for the senders of earlier requests.
    pub replies: Vec<(ReplyAddress, Message)>,
}

impl Ready {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.persist.is_empty() && self.voter_messages.is_empty() && self.replies.is_empty()
    }
}

impl Voter {
    /// Processes the raft library's `Ready`, in the order that the library requires.
    pub(super) fn process_raft_ready(&mut self, output: &mut Ready) {
        let mut ready = self.node.ready();
        let mut messages = ready.take_messages();
        self.install_snapshot(ready.snapshot(), output);
        self.apply_entries(ready.take_committed_entries());
        self.append_entries(ready.entries(), output);
        if let Some(hard_state) = ready.hs() {
            self.set_hard_state(hard_state.clone(), output);
        }
        let confirmed = self.confirmations.take_confirmed(ready.take_read_states());
        messages.extend(ready.take_persisted_messages());

        let mut light = self.node.advance(ready);
        messages.extend(light.take_messages());
        if let Some(commit) = light.commit_index() {
            self.set_commit_index(commit, output);
        }
        self.apply_entries(light.take_committed_entries());
        self.node.advance_apply();

        // Only after `advance_apply`: an answer may propose an entry, which the library rejects
        // before.
        for request in confirmed {
            self.answer(request);
        }
        self.reject_unconfirmed();
        self.compact_log(output);
        output.voter_messages = messages
            .iter()
            .map(|message| (message.to, Message::Log(self.disk_id, to_bytes(message))))
            .collect();
    }

    fn install_snapshot(&mut self, snapshot: &Snapshot, output: &mut Ready) {
        if *snapshot == Snapshot::default() {
            return;
        }
        self.node.mut_store().install(snapshot);
        output.persist.snapshot = Some(to_bytes(snapshot));
        match FleetState::decode(&snapshot.data) {
            Some(state) => self.state = state,
            None => self.log_error = Some(LogError::UnsupportedVersion),
        }
    }

    fn append_entries(&mut self, entries: &[Entry], output: &mut Ready) {
        if entries.is_empty() {
            return;
        }
        output.persist.entries = entries
            .iter()
            .map(|entry| (entry.index, to_bytes(entry)))
            .collect();
        self.node.mut_store().append(entries);
    }

    fn set_hard_state(&mut self, hard_state: HardState, output: &mut Ready) {
        output.persist.hard_state = Some(to_bytes(&hard_state));
        self.node.mut_store().set_hard_state(hard_state);
    }

    fn set_commit_index(&mut self, commit: u64, output: &mut Ready) {
        let mut hard_state = self.node.store().hard_state().clone();
        hard_state.commit = commit;
        self.set_hard_state(hard_state, output);
    }

    fn apply_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match entry.get_entry_type() {
                // A new leader's first entry is empty.
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => self.apply_command(&entry),
                EntryType::EntryConfChange | EntryType::EntryConfChangeV2 => {
                    self.apply_membership_change(&entry);
                }
            }
        }
    }

    /// Applies a command. After an entry that this build cannot read no later command is applied,
    /// because the state would differ from that of voters that can read the entry.
    fn apply_command(&mut self, entry: &Entry) {
        match wire::decode(&entry.data) {
            Some(command) if self.log_error.is_none() => self.state.apply(command),
            Some(_) => {}
            None => self.log_error = Some(LogError::UnsupportedVersion),
        }
    }
}
