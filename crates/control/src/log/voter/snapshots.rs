//! Snapshots: when one replaces the log's entries, and when one that was lost on its way is sent again.

use super::{Ready, Voter, RESEND_INTERVAL};
use crate::wire;

/// Entries after which a snapshot takes their place.
const MAX_LOG_ENTRIES: usize = 256;

impl Voter {
    /// Replaces the applied entries by a snapshot where there are many, or where the members have changed.
    pub(super) fn compact_log(&mut self, output: &mut Ready) {
        let wanted = self.membership_changed || self.node.store().len() > MAX_LOG_ENTRIES;
        if !wanted || self.fault.is_some() || output.persist.snapshot.is_some() {
            return;
        }
        let applied = self.node.raft.raft_log.applied;
        let voters = self.node.raft.prs().conf().to_conf_state();
        let state = wire::encode(&self.state);
        let batch = self.node.mut_store().compact(applied, &voters, state);
        output.persist.snapshot = batch.snapshot;
        output.persist.compact_to = batch.compact_to;
        self.membership_changed = false;
    }

    /// Reports snapshots that were not acknowledged in time as lost, so that the raft library sends them again: by itself it
    /// would wait for good, and send that voter nothing else. Also done before an entry of the leader's own term is
    /// committed, for which that very voter's acknowledgement may be needed.
    pub(super) fn resend_lost_snapshots(&mut self) {
        if self.leader_term().is_none() {
            return;
        }
        let waiting: Vec<u64> = self
            .node
            .raft
            .prs()
            .iter()
            .filter(|(_, progress)| progress.state == raft::ProgressState::Snapshot)
            .map(|(number, _)| *number)
            .collect();
        let now = self.now;
        self.snapshots_sent_at
            .retain(|number, _| waiting.contains(number));
        for number in waiting {
            let sent_at = *self.snapshots_sent_at.entry(number).or_insert(now);
            if now >= sent_at + RESEND_INTERVAL {
                self.snapshots_sent_at.remove(&number);
                self.node
                    .report_snapshot(number, raft::SnapshotStatus::Failure);
            }
        }
    }
}
