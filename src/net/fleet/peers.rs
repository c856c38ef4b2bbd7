//! Links to the voters and, on a voter, from other relays. Voters are dialled with a pause between
//! two dials; links are accepted up to a limit, read, written and closed.

use super::dispatch::{Inbound, LOCAL};
use super::link::{CloseReason, Link, LinkId, LISTENER};
use super::{random_number, Fleet};
use crate::decisions::api::Micros;
use crate::log::log;
use crate::net::poll::{dial, Ready};
use crate::sys::boottime;
use jaspermoor_control::log::membership::Membership;
use jaspermoor_control::wire::frame::FrameSession;
use jaspermoor_control::wire::message::Message;
use std::net::{SocketAddr, TcpListener};

/// The most links at once, dialled and accepted: a voter of a fleet of hundreds has one from each
/// relay.
const MAX_LINKS: usize = 2048;
/// Pause between two dials of one voter.
const REDIAL_BACKOFF: Micros = 200_000;
/// A link whose peer accepts no bytes for this time is closed.
const STUCK_TIMEOUT: Micros = 5_000_000;

/// A voter that was dialled.
pub(super) struct VoterPeer {
    /// The open link to the voter.
    link: Option<LinkId>,
    /// When the voter was last dialled.
    dialled_at: Micros,
}

impl Fleet {
    /// Sends a message to a voter, which may be this process. The message is dropped if the voter
    /// cannot be dialled now.
    pub(super) fn send_to_voter(&mut self, voter: u64, message: Message) {
        if self.settings.fleet.voter == Some(voter) {
            self.inbox.push_back(Inbound {
                from: LOCAL,
                message,
            });
            return;
        }
        if let Some(id) = self.link_to_voter(voter) {
            self.send(id, message);
        }
    }

    /// The link to a voter. Without a link the voter is dialled, unless that was done a moment ago.
    fn link_to_voter(&mut self, voter: u64) -> Option<LinkId> {
        if let Some(peer) = self.voter_peers.get(&voter) {
            if peer.link.is_some() {
                return peer.link;
            }
            if boottime() < peer.dialled_at + REDIAL_BACKOFF {
                return None;
            }
        }
        self.dial_voter(voter)
    }

    fn dial_voter(&mut self, voter: u64) -> Option<LinkId> {
        let address = self.voter_address(voter)?;
        // Recorded before the dial, so that the pause also follows a dial that fails at once.
        self.record_dial(voter, None);
        let socket = dial(address).ok()?;
        let session = self.new_session(true);
        let id = self.add_link(Link::dialled(socket, session, voter))?;
        self.record_dial(voter, Some(id));
        Some(id)
    }

    fn record_dial(&mut self, voter: u64, link: Option<LinkId>) {
        let dialled_at = boottime();
        self.voter_peers
            .insert(voter, VoterPeer { link, dialled_at });
    }

    fn new_session(&self, dials: bool) -> FrameSession {
        FrameSession::new(
            dials,
            self.settings.keys.clone(),
            self.settings.wire_id(),
            random_number(),
        )
    }

    /// The address of a voter. That of the operator file has priority, since this relay may have
    /// its own route to the voter.
    fn voter_address(&self, voter: u64) -> Option<SocketAddr> {
        let configured = self
            .settings
            .fleet
            .voters
            .iter()
            .find(|entry| entry.number == voter)
            .map(|entry| entry.address);
        configured
            .or_else(|| member_address(&self.membership, voter))
            .or_else(|| member_address(&self.voter.as_ref()?.state().membership, voter))
    }

    fn add_link(&mut self, link: Link) -> Option<LinkId> {
        let id = self.next_link_id;
        self.next_link_id += 1;
        link.watch(&self.poller, id).ok()?;
        self.links.insert(id, link);
        Some(id)
    }

    /// Sends a message on a link; it is dropped if the link is closed.
    pub(super) fn send(&mut self, id: LinkId, message: Message) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        match link.enqueue(message) {
            Ok(()) => self.flush_link(id),
            Err(reason) => self.close_link(id, &reason),
        }
    }

    fn flush_link(&mut self, id: LinkId) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        if let Err(reason) = link.flush(&self.poller, id, &self.metrics.fleet.traffic) {
            self.close_link(id, &reason);
        }
    }

    fn close_link(&mut self, id: LinkId, reason: &CloseReason) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        if let Some(voter) = &mut self.voter {
            voter.disconnected(id);
        }
        let dialled_voter = link.dialled_voter;
        if let Some(peer) = dialled_voter.and_then(|voter| self.voter_peers.get_mut(&voter)) {
            peer.link = None;
        }
        tracing::debug!(voter = ?dialled_voter, why = ?reason, "fleet: a link has ended");
    }

    /// Closes links whose peers accept no bytes.
    pub(super) fn close_stuck_links(&mut self, now: Micros) {
        let deadline = now.saturating_sub(STUCK_TIMEOUT);
        let stuck: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, link)| link.is_blocked_since(deadline))
            .map(|(id, _)| *id)
            .collect();
        for id in stuck {
            self.close_link(id, &CloseReason::Stuck);
        }
    }

    /// Handles an event of a link's socket or of the listener.
    pub(super) fn handle_ready_socket(&mut self, ready: Ready) {
        let id = ready.token;
        if id == LISTENER {
            return self.accept_links();
        }
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        if link.is_connecting() && (ready.write || ready.read) {
            return match link.finish_connecting(ready.write) {
                Ok(()) => self.flush_link(id),
                Err(reason) => self.close_link(id, &reason),
            };
        }
        if ready.read {
            self.read_link(id);
        }
        if ready.write {
            self.flush_link(id);
        }
    }

    fn accept_links(&mut self) {
        while let Some(Ok((socket, _))) = self.listener.as_ref().map(TcpListener::accept) {
            if self.links.len() >= MAX_LINKS || socket.set_nonblocking(true).is_err() {
                // Dropped: the other side dials again.
                continue;
            }
            let _ = socket.set_nodelay(true);
            let session = self.new_session(false);
            self.add_link(Link::accepted(socket, session));
        }
    }

    fn read_link(&mut self, id: LinkId) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let messages = match link.read(&self.metrics.fleet.traffic) {
            Ok(messages) => messages,
            Err(reason) => {
                log_invalid_frame(link, &reason);
                return self.close_link(id, &reason);
            }
        };
        let received = messages
            .into_iter()
            .map(|message| Inbound { from: id, message });
        self.inbox.extend(received);
        self.process_inbox();
        // This read may have established the session, so queued messages can be sent now.
        self.flush_link(id);
    }
}

fn member_address(membership: &Membership, voter: u64) -> Option<SocketAddr> {
    let member = membership.members.get(&voter)?;
    member.address.parse().ok()
}

/// Logs a peer that sent an invalid frame: it may have other keys or belong to another fleet.
fn log_invalid_frame(link: &Link, reason: &CloseReason) {
    let CloseReason::InvalidFrame(error) = reason else {
        return;
    };
    let peer = link
        .socket
        .peer_addr()
        .map_or("a process".into(), |address| address.to_string());
    log(&format!("fleet: {peer} {error}"));
}
