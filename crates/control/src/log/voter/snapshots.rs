//! Snapshots: compaction of the log, and repetition of snapshots that were lost in transit.

use super::{Ready, Voter, RESEND_INTERVAL};
use crate::wire;

/// Number of entries above which the log is compacted.
const MAX_LOG_ENTRIES: usize = 256;

impl Voter {
    /// Replaces the applied entries with a snapshot if there are many, or if the membership has
    /// changed.
    pub(super) fn compact_log(&mut self, output: &mut Ready) {
        let needs_compaction = self.membership_changed || self.node.store().len() > MAX_LOG_ENTRIES;
        if !needs_compaction || self.log_error.is_some() || output.persist.snapshot.is_some() {
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

    /// Reports snapshots that were not acknowledged in time as lost, so that the raft library sends
    /// them again. Otherwise it would wait forever and send nothing else to that voter. This is
    /// also done before an entry of the leader's own term is committed, since that may require the
    /// acknowledgement of that voter.
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
