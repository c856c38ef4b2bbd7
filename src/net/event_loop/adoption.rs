//! Adoption of connections that another process of this relay hands over.

use super::{other_token, EventLoop, MAX_PER_TURN, READ};
use crate::config::endpoint_list::endpoint_id;
use crate::log::log;
use crate::net::connection::{BackendSide, Connection};
use crate::net::link::Link;
use crate::net::session::{ConnectionRecord, Session};
use crate::platform::list_transfer;
use crate::platform::takeover::{HandedOver, LinkState, Message, Predecessor};
use crate::protocol::line::LineForwarder;
use crate::sys::timed_out;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

impl EventLoop {
    /// Accepts a link from a process that hands over its connections.
    pub(super) fn accept_predecessor(&mut self) {
        let Some(takeover_listener) = &self.takeover_listener else {
            return;
        };
        match takeover_listener.accept() {
            Ok(predecessor) => {
                let n = self.next_predecessor;
                self.next_predecessor += 1;
                if self
                    .poller
                    .watch(&predecessor, other_token(n), None, Some(READ))
                    .is_ok()
                {
                    self.predecessors.insert(n, predecessor);
                }
            }
            Err(e) if timed_out(&e) || e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => log(&format!("takeover: {e}")),
        }
    }

    /// Takes over the connections that have arrived on a link.
    pub(super) fn receive_handovers(&mut self, n: u64) {
        let Some(mut predecessor) = self.predecessors.remove(&n) else {
            return;
        };
        let (mut handovers, mut list_requested, mut id_changes) = (Vec::new(), false, None);
        let state = predecessor.receive(MAX_PER_TURN, &mut |message| match message {
            Message::Connection(handover) => handovers.push(handover),
            Message::ListRequest => list_requested = true,
            Message::IdChanges(changes) => id_changes.get_or_insert_with(Vec::new).extend(changes),
        });
        if list_requested {
            self.send_list(&predecessor);
        }
        if state == LinkState::Open {
            self.predecessors.insert(n, predecessor);
        }
        if let Some(changes) = id_changes {
            self.apply_id_changes(n, changes);
        }
        if state == LinkState::Closed {
            self.end_id_exchange(n);
        }
        handovers
            .into_iter()
            .for_each(|handover| self.adopt_connection(handover));
    }

    /// Sends the endpoint list to a process that has started beside this one.
    fn send_list(&self, to: &Predecessor) {
        let snapshot = self.shared.directory.snapshot();
        let list = list_transfer::encode(&snapshot, &self.names.zones);
        if let Err(e) = to.send_list(&list) {
            log(&format!("takeover: the endpoint list was not sent: {e}"));
        }
    }

    /// Takes over a connection that was established in another process of this relay.
    fn adopt_connection(&mut self, (handover, client, backend): HandedOver) {
        let shared = self.shared.clone();
        let set = client
            .set_nonblocking(true)
            .and_then(|()| backend.set_nonblocking(true));
        if let Err(e) = set {
            return log(&format!("takeover: {e}"));
        }
        let waiting = shared.admission.register(client);
        let mut conn = Connection::new(&shared, waiting.number(), waiting.stream.clone());
        let record = ConnectionRecord {
            front: "line",
            id: handover.name.clone(),
            class: handover.class.clone(),
            backend: handover.backend.clone(),
            attempts: handover.attempts,
            started_at: Instant::now()
                .checked_sub(Duration::from_millis(handover.age_ms))
                .unwrap_or_else(Instant::now),
            tally: Some(shared.metrics.begin_request(&handover.class)),
        };
        let Ok(slot) = waiting.admit_handed_over(&handover.name) else {
            let whole_lines = handover
                .down
                .iter()
                .rposition(|&b| b == b'\n')
                .map_or(0, |at| at + 1);
            conn.last_bytes = [&handover.down[..whole_lines], b"MOVE\r\n"].concat();
            conn.hold_closing_slot(waiting);
            conn.close();
            record.log_end("no-descriptors");
            return self.add_connection(conn);
        };
        let (keys, backend) = ((handover.key, handover.group), Arc::new(backend));
        let session = Session::new(&shared.wake_queue, keys, slot, false, Some(backend.clone()));
        drop(waiting);
        // Any class will do where this process does not know it: of an established connection the
        // decisions use only the latency objectives of its class.
        let class = shared
            .settings()
            .rules
            .classes
            .find_including_removed(&handover.class)
            .unwrap_or(0);
        let idempotency = shared.settings().idempotency(class);
        session.record_possible_execution(idempotency, Duration::from_millis(handover.age_ms));
        let endpoint_id = endpoint_id(&handover.backend);
        let id = shared.decisions.adopt_connection(
            Connection::request_of_established(class, keys),
            endpoint_id,
            session.clone(),
        );
        // Only connections of the line protocol are handed over.
        let backend = BackendSide {
            link: Link::plain(backend),
            id,
            endpoint_id,
            forwarder: Box::new(LineForwarder),
        };
        conn.take_over(record, session, backend, handover);
        self.add_connection(conn);
    }
}
