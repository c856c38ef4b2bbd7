//! Exchange of the ids of requests with another process of this relay, during an upgrade.
//!
//! Guards against an id that is attempted by both processes. What a client sends to one process in
//! the moment in which the same id is admitted by the other is not covered: a change is sent at the
//! end of the turn.

use super::{other_token, EventLoop, READ};
use crate::log::log;
use crate::platform::id_exchange::{self, IdChange};
use crate::platform::takeover::Predecessor;
use std::path::Path;

impl EventLoop {
    /// Asks the process that serves in this directory for its ids, if there is one, and keeps the
    /// link for later changes.
    pub(super) fn request_ids(&mut self, dir: &Path) {
        let Some(link) = Predecessor::connect(dir) else {
            return;
        };
        let empty = id_exchange::encode(&[]);
        match link.send_ids(&empty).and_then(|()| link.await_reply()) {
            Ok(true) => {}
            // An earlier build.
            Ok(false) => return,
            Err(e) => return log(&format!("takeover: ids are not exchanged: {e}")),
        }
        let n = self.next_predecessor;
        self.next_predecessor += 1;
        let watched = self.poller.watch(&link, other_token(n), None, Some(READ));
        if watched.is_ok() {
            self.predecessors.insert(n, link);
            self.receive_handovers(n);
        }
    }

    /// Applies the changes of the other process. The first ones are answered with the ids that are
    /// open here.
    pub(super) fn apply_id_changes(&mut self, n: u64, changes: Vec<IdChange>) {
        self.shared.admission.apply_id_changes(changes);
        if self.id_peers.insert(n) {
            self.count_processes();
            let open = self.shared.admission.share_ids();
            self.send_ids(n, &open);
        }
    }

    /// Reads what the other process has told, before clients are read that it may concern.
    pub(super) fn read_id_changes(&mut self) {
        let peers: Vec<u64> = self.id_peers.iter().copied().collect();
        peers.into_iter().for_each(|n| self.receive_handovers(n));
    }

    /// Tells the other process what has changed in this turn.
    pub(super) fn send_id_changes(&mut self) {
        if self.id_peers.is_empty() {
            return;
        }
        let changes = self.shared.admission.take_id_changes();
        if changes.is_empty() {
            return;
        }
        let peers: Vec<u64> = self.id_peers.iter().copied().collect();
        peers.into_iter().for_each(|n| self.send_ids(n, &changes));
    }

    fn send_ids(&mut self, n: u64, changes: &[IdChange]) {
        let Some(link) = self.predecessors.get(&n) else {
            return;
        };
        if let Err(e) = link.send_ids(&id_exchange::encode(changes)) {
            log(&format!("takeover: ids are not exchanged any more: {e}"));
            self.predecessors.remove(&n);
            self.end_id_exchange(n);
        }
    }

    /// Forgets the ids of a process whose link has ended.
    pub(super) fn end_id_exchange(&mut self, n: u64) {
        if !self.id_peers.remove(&n) {
            return;
        }
        self.count_processes();
        if self.id_peers.is_empty() {
            self.shared.admission.stop_sharing_ids();
        }
    }

    /// Tells the decisions how many processes serve beside this one: together they are one relay.
    fn count_processes(&self) {
        let others = self.id_peers.len() as u32;
        self.shared.decisions.set_other_processes(others);
        log(&format!("takeover: processes beside this one: {others}"));
    }
}
