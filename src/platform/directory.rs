//! Where the backends are, and which of them may be sent something new: looked up before each attempt.

use crate::config::endpoint_list::BackendAddress;
use crate::decisions::api::{EndpointId, EndpointState, ListedEndpoint};
use crate::sys::Wake;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

/// Where the backends are, and which of them may be sent something new.
#[derive(Default)]
pub struct Directory {
    servers: Mutex<BTreeMap<EndpointId, (BackendAddress, EndpointState, u16)>>,
    /// Those that staff have taken out, listed or not.
    by_hand: Mutex<BTreeSet<EndpointId>>,
    /// How often the list has changed.
    version: AtomicU64,
    wake: OnceLock<Wake>,
}

impl Directory {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<EndpointId, (BackendAddress, EndpointState, u16)>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn bans(&self) -> MutexGuard<'_, BTreeSet<EndpointId>> {
        self.by_hand.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Staff have taken a backend out, or called it back.
    pub fn set_manual_ejection(&self, server: EndpointId, out_of_use: bool) {
        if out_of_use {
            self.bans().insert(server);
        } else {
            self.bans().remove(&server);
        }
    }

    /// Takes over a list. What is gone is forgotten: machines that are replaced have new ids.
    pub fn update(&self, full: bool, servers: &[(BackendAddress, ListedEndpoint)]) {
        let mut known = self.lock();
        if full {
            known.clear();
        }
        for (endpoint, member) in servers {
            match member.state {
                EndpointState::Removed => drop(known.remove(&member.id)),
                state => drop(known.insert(member.id, (endpoint.clone(), state, member.zone))),
            }
        }
        drop(known);
        self.version.fetch_add(1, Relaxed);
        self.wake.get().iter().for_each(|wake| wake());
    }

    /// A backend's name and address.
    pub fn backend_address(&self, server: EndpointId) -> Option<BackendAddress> {
        self.lock()
            .get(&server)
            .map(|(endpoint, ..)| endpoint.clone())
    }

    /// How many backends the list has.
    pub fn backend_count(&self) -> usize {
        self.lock().len()
    }

    /// Whether something new may go there.
    pub fn is_available(&self, server: EndpointId) -> bool {
        let ready = self
            .lock()
            .get(&server)
            .is_some_and(|&(_, state, _)| state == EndpointState::Ready);
        ready && !self.bans().contains(&server)
    }

    /// The backends of a zone, by its place in the settings, to which something new may go.
    pub fn available_in_zone(&self, zone: u16) -> Vec<EndpointId> {
        let bans = self.bans().clone();
        let ready = |(_, state, of): &(BackendAddress, EndpointState, u16)| {
            *state == EndpointState::Ready && *of == zone
        };
        let known = self.lock();
        let of = known
            .iter()
            .filter(|(server, entry)| ready(entry) && !bans.contains(server));
        of.map(|(server, _)| *server).collect()
    }

    /// From now on this is called after each change of the list. Once.
    pub fn on_change(&self, wake: Wake) {
        let _ = self.wake.set(wake);
    }

    /// How often the list has changed: the one that a relay starts with may be stale, and what it does not name
    /// yet is waited for.
    pub fn version(&self) -> u64 {
        self.version.load(Relaxed)
    }
}
