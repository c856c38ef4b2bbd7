//! Links to voters, and from others where this relay votes: dialled, accepted, read, written and given up.

use super::link::{Link, LinkEnd};
use super::{random_number, Fleet, LISTEN, LOCAL};
use crate::decisions::api::Micros;
use crate::log::log;
use crate::net::poll::{dial, Ready};
use crate::sys::boottime;
use jaspermoor_control::log::membership::Membership;
use jaspermoor_control::wire::mac::FrameSession;
use jaspermoor_control::wire::message::Message;
use std::net::{SocketAddr, TcpListener};

/// Links from others at most: a fleet of hundreds asks a voter by one each.
const LINKS: usize = 2048;
/// A voter that could not be reached is dialled again after so long.
const REDIAL: Micros = 200_000;
/// A link that stands but takes nothing for so long is given up.
const STUCK: Micros = 5_000_000;

impl Fleet {
    /// Hands a message to a voter, which may be this process.
    pub(super) fn send_to_voter(&mut self, voter: u64, message: Message) {
        if self.setup.fleet.voter == Some(voter) {
            self.inbox.push_back((LOCAL, message));
            return;
        }
        let (link, dialled) = self.voters.get(&voter).copied().unwrap_or((None, 0));
        let token = match link {
            Some(token) => token,
            None if dialled > 0 && boottime() < dialled + REDIAL => return,
            None => {
                let Some(token) = self.dial(voter) else {
                    return;
                };
                token
            }
        };
        self.send(token, message);
    }

    fn dial(&mut self, voter: u64) -> Option<u64> {
        let addr = self.address(voter)?;
        self.voters.insert(voter, (None, boottime()));
        let socket = dial(addr).ok()?;
        let session = self.session(true);
        let token = self.enter(Link::dialled(socket, session, voter))?;
        self.voters.insert(voter, (Some(token), boottime()));
        Some(token)
    }

    fn session(&self, dials: bool) -> FrameSession {
        FrameSession::new(
            dials,
            self.setup.keys.clone(),
            self.setup.id(),
            random_number(),
        )
    }

    /// Where a voter is reached: the operator file's word goes before the log's, for a way of this relay's own.
    fn address(&self, voter: u64) -> Option<SocketAddr> {
        let own = self
            .setup
            .fleet
            .voters
            .iter()
            .find(|v| v.number == voter)
            .map(|v| v.address);
        let seat = |membership: &Membership| {
            membership
                .members
                .get(&voter)
                .and_then(|seat| seat.address.parse().ok())
        };
        own.or_else(|| seat(&self.membership))
            .or_else(|| seat(&self.voter.as_ref()?.state().membership))
    }

    fn enter(&mut self, link: Link) -> Option<u64> {
        let token = self.next_token;
        self.next_token += 1;
        link.watch(&self.poller, token).ok()?;
        self.links.insert(token, link);
        Some(token)
    }

    /// Hands a message to a link.
    pub(super) fn send(&mut self, token: u64, message: Message) {
        let Some(link) = self.links.get_mut(&token) else {
            return;
        };
        match link.push(message) {
            Ok(()) => self.flush(token),
            Err(end) => self.close(token, &end),
        }
    }

    fn flush(&mut self, token: u64) {
        let Some(link) = self.links.get_mut(&token) else {
            return;
        };
        if let Err(end) = link.flush(&self.poller, token, &self.metrics.control.traffic) {
            self.close(token, &end);
        }
    }

    fn close(&mut self, token: u64, end: &LinkEnd) {
        let Some(link) = self.links.remove(&token) else {
            return;
        };
        if let Some(voter) = &mut self.voter {
            voter.disconnected(token);
        }
        if let Some((own, _)) = link.voter.and_then(|voter| self.voters.get_mut(&voter)) {
            *own = None;
        }
        tracing::debug!(voter = ?link.voter, why = ?end, "fleet: a link has ended");
    }

    /// Gives up links that take nothing.
    pub(super) fn close_stuck(&mut self, now: Micros) {
        let stuck = |link: &Link| link.blocked_since(now.saturating_sub(STUCK));
        let stuck: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, link)| stuck(link))
            .map(|(token, _)| *token)
            .collect();
        stuck
            .into_iter()
            .for_each(|token| self.close(token, &LinkEnd::Stuck));
    }

    /// Something can be done on a socket.
    pub(super) fn ready(
        &mut self,
        Ready {
            token, read, write, ..
        }: Ready,
    ) {
        if token == LISTEN {
            return self.accept();
        }
        let Some(link) = self.links.get_mut(&token) else {
            return;
        };
        if link.is_connecting() && (write || read) {
            return match link.connected(write) {
                Ok(()) => self.flush(token),
                Err(end) => self.close(token, &end),
            };
        }
        if read {
            self.read(token);
        }
        if write {
            self.flush(token);
        }
    }

    fn accept(&mut self) {
        while let Some(Ok((socket, _))) = self.listener.as_ref().map(TcpListener::accept) {
            if self.links.len() >= LINKS || socket.set_nonblocking(true).is_err() {
                // Dropped: whoever it was dials again.
                continue;
            }
            let _ = socket.set_nodelay(true);
            let session = self.session(false);
            self.enter(Link::accepted(socket, session));
        }
    }

    fn read(&mut self, token: u64) {
        let Some(link) = self.links.get_mut(&token) else {
            return;
        };
        let messages = match link.read(&self.metrics.control.traffic) {
            Ok(messages) => messages,
            Err(end) => {
                if let LinkEnd::FrameError(fault) = &end {
                    let peer = link
                        .socket
                        .peer_addr()
                        .map_or("a process".into(), |addr| addr.to_string());
                    log(&format!("fleet: {peer} {fault}"));
                }
                return self.close(token, &end);
            }
        };
        self.inbox
            .extend(messages.into_iter().map(|message| (token, message)));
        self.work();
        // The other side's greeting may have come: what has waited for it goes out.
        self.flush(token);
    }
}
