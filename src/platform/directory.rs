//! Where the backends are, and which of them may be sent something new: looked up before each attempt.

use crate::api::{Member, MemberState, ServerId};
use crate::config::listing::Endpoint;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Where the backends are, and which of them may be sent something new.
#[derive(Default)]
pub struct Directory {
    servers: Mutex<BTreeMap<ServerId, (Endpoint, MemberState)>>,
    /// Those that staff have taken out, listed or not.
    by_hand: Mutex<BTreeSet<ServerId>>,
    changed: Condvar,
}

impl Directory {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServerId, (Endpoint, MemberState)>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn bans(&self) -> MutexGuard<'_, BTreeSet<ServerId>> {
        self.by_hand.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Staff have taken a backend out, or called it back.
    pub fn by_hand(&self, server: ServerId, out_of_use: bool) {
        if out_of_use {
            self.bans().insert(server);
        } else {
            self.bans().remove(&server);
        }
    }

    /// Takes over a list. What is gone is forgotten: machines that are replaced have new ids.
    pub fn update(&self, full: bool, servers: &[(Endpoint, Member)]) {
        let mut known = self.lock();
        if full {
            known.clear();
        }
        for (endpoint, member) in servers {
            match member.state {
                MemberState::Gone => drop(known.remove(&member.server)),
                state => drop(known.insert(member.server, (endpoint.clone(), state))),
            }
        }
        self.changed.notify_all();
    }

    /// A backend's name and address.
    pub fn endpoint(&self, server: ServerId) -> Option<Endpoint> {
        self.lock().get(&server).map(|(endpoint, _)| endpoint.clone())
    }

    /// How many backends the list has.
    pub fn known(&self) -> usize {
        self.lock().len()
    }

    /// Whether something new may go there.
    pub fn takes_new(&self, server: ServerId) -> bool {
        let ready = self.lock().get(&server).is_some_and(|&(_, state)| state == MemberState::Ready);
        ready && !self.bans().contains(&server)
    }

    /// Waits until a backend has been named; the list that a relay starts with may be stale.
    pub fn await_endpoint(&self, server: ServerId, limit: Duration) -> Option<Endpoint> {
        let end = Instant::now() + limit;
        let mut known = self.lock();
        loop {
            if let Some((endpoint, _)) = known.get(&server) {
                return Some(endpoint.clone());
            }
            let left = end.checked_duration_since(Instant::now())?;
            known = self.changed.wait_timeout(known, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
