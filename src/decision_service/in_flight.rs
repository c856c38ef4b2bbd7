//! Requests and connections in flight, and the mailbox in which a request receives its decisions.

use super::api::{Decision, RequestHandle};
use crate::decisions::api::{EndpointId, Request, RequestId};
use crossbeam_channel::{bounded, Receiver, Sender, TryRecvError};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Decisions that may be unread at one time: an attempt, and the final answer that overtakes it,
/// with some to spare.
const MAILBOX_CAPACITY: usize = 4;

/// A request that awaits its decisions.
pub struct PendingDecision {
    /// The request's id.
    pub id: RequestId,
    decisions: Receiver<Decision>,
}

impl PendingDecision {
    /// Creates the receiving end of a request's mailbox.
    pub(super) fn new(id: RequestId, decisions: Receiver<Decision>) -> Self {
        PendingDecision { id, decisions }
    }

    /// Blocks until the next decision. [`Decision::Withdrawn`] once the service has removed the
    /// request.
    pub fn wait(&self) -> Decision {
        self.decisions.recv().unwrap_or(Decision::Withdrawn)
    }

    /// The next decision, if there is one yet. [`Decision::Withdrawn`] once the service has removed
    /// the request.
    pub fn try_next(&self) -> Option<Decision> {
        match self.decisions.try_recv() {
            Ok(decision) => Some(decision),
            Err(TryRecvError::Empty) => None,
            Err(TryRecvError::Disconnected) => Some(Decision::Withdrawn),
        }
    }
}

/// A request, or the connection that it became.
pub(super) struct InFlight {
    /// Index of the cell balancer that decides for it.
    pub balancer: usize,
    /// The request; the table assigns its id.
    pub request: Request,
    /// Whether it belongs to the group of another cell and is borrowed by this one.
    pub borrowed: bool,
    /// The version of the cell map under which it was registered.
    pub map_version: u64,
    /// The endpoint of its last attempt or of its connection.
    pub endpoint: EndpointId,
    /// Attempts so far.
    pub attempts: u16,
    /// Whether it has had its final answer, or is connected.
    pub answered: bool,
    /// The handle through which the service calls its user.
    pub handle: Arc<dyn RequestHandle>,
    decisions: Sender<Decision>,
}

impl InFlight {
    /// Creates the entry of a request that awaits its decisions, and the receiver of these.
    pub(super) fn awaiting(
        request: &Request,
        balancer: usize,
        handle: Arc<dyn RequestHandle>,
    ) -> (Self, Receiver<Decision>) {
        let (decisions, mailbox) = bounded(MAILBOX_CAPACITY);
        let entry = InFlight {
            balancer,
            request: request.clone(),
            borrowed: false,
            map_version: 0,
            endpoint: EndpointId::default(),
            attempts: 0,
            answered: false,
            handle,
            decisions,
        };
        (entry, mailbox)
    }

    /// Creates the entry of a connection that another process established. It awaits no decision.
    pub(super) fn established(
        request: &Request,
        balancer: usize,
        endpoint: EndpointId,
        handle: Arc<dyn RequestHandle>,
    ) -> Self {
        let (entry, _) = InFlight::awaiting(request, balancer, handle);
        InFlight {
            endpoint,
            answered: true,
            ..entry
        }
    }

    /// Puts a decision into the mailbox, or drops it if the receiver is gone. The mailbox has room
    /// for an attempt and the decisions that may overtake it, so it is never full.
    pub(super) fn send(&self, decision: Decision) {
        let _ = self.decisions.try_send(decision);
    }
}

/// All requests and connections in flight, by id.
#[derive(Default)]
pub(super) struct InFlightTable {
    last_id: u32,
    entries: BTreeMap<RequestId, InFlight>,
}

impl InFlightTable {
    /// Adds a request or connection under an id that no other one has.
    pub(super) fn insert(&mut self, mut entry: InFlight) -> RequestId {
        let id = self.next_id();
        entry.request.id = id;
        self.entries.insert(id, entry);
        id
    }

    fn next_id(&mut self) -> RequestId {
        self.last_id = self.last_id.wrapping_add(1);
        while self.entries.contains_key(&RequestId(self.last_id)) {
            self.last_id = self.last_id.wrapping_add(1);
        }
        RequestId(self.last_id)
    }

    /// The request or connection with this id.
    pub(super) fn get(&self, id: RequestId) -> Option<&InFlight> {
        self.entries.get(&id)
    }

    /// The request or connection with this id, mutable.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut InFlight> {
        self.entries.get_mut(&id)
    }

    /// The request with this id, if it awaits its final answer.
    pub(super) fn unanswered(&self, id: RequestId) -> Option<&InFlight> {
        self.get(id).filter(|entry| !entry.answered)
    }

    /// The request with this id, mutable, if it awaits its final answer.
    pub(super) fn unanswered_mut(&mut self, id: RequestId) -> Option<&mut InFlight> {
        self.get_mut(id).filter(|entry| !entry.answered)
    }

    /// Removes a request or connection.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<InFlight> {
        self.entries.remove(&id)
    }

    /// All requests and connections, by ascending id.
    pub(super) fn iter(&self) -> impl Iterator<Item = (RequestId, &InFlight)> {
        self.entries.iter().map(|(id, entry)| (*id, entry))
    }
}
