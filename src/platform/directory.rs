//! The listed backends: their addresses, zones and states. Looked up before each attempt.

use crate::config::endpoint_list::BackendAddress;
use crate::decisions::api::{EndpointId, EndpointState, ListedEndpoint};
use crate::sys::{lock, Wake};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

/// A listed backend: its address, and its entry in the list.
type Entry = (BackendAddress, ListedEndpoint);

/// The endpoint list, for another process of this relay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListSnapshot {
    /// The version of the list; 0 if it has none.
    pub version: u64,
    /// The discovery address that the version is of.
    pub discovery: Option<SocketAddr>,
    /// All listed backends.
    pub entries: Vec<(BackendAddress, ListedEndpoint)>,
}

/// Where the list is from.
#[derive(Clone, Copy, Default)]
struct ListSource {
    version: u64,
    discovery: Option<SocketAddr>,
}

/// The listed backends, and which of them accept new requests.
#[derive(Default)]
pub struct Directory {
    backends: Mutex<BTreeMap<EndpointId, Entry>>,
    /// Backends that an operator has ejected, listed or not.
    manually_ejected: Mutex<BTreeSet<EndpointId>>,
    /// The number of list updates so far.
    version: AtomicU64,
    source: Mutex<ListSource>,
    on_change: OnceLock<Wake>,
}

impl Directory {
    fn lock_backends(&self) -> MutexGuard<'_, BTreeMap<EndpointId, Entry>> {
        self.backends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_manually_ejected(&self) -> MutexGuard<'_, BTreeSet<EndpointId>> {
        self.manually_ejected
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Ejects a backend on an operator's order, or ends that ejection.
    pub fn set_manual_ejection(&self, endpoint: EndpointId, ejected: bool) {
        if ejected {
            self.lock_manually_ejected().insert(endpoint);
        } else {
            self.lock_manually_ejected().remove(&endpoint);
        }
    }

    /// Applies a list update. Removed backends are forgotten: a replaced machine has a new id.
    pub fn update(&self, full: bool, entries: &[(BackendAddress, ListedEndpoint)]) {
        let mut backends = self.lock_backends();
        if full {
            backends.clear();
        }
        for (address, listed) in entries {
            match listed.state {
                EndpointState::Removed => drop(backends.remove(&listed.id)),
                _ => drop(backends.insert(listed.id, (address.clone(), listed.clone()))),
            }
        }
        drop(backends);
        self.version.fetch_add(1, Relaxed);
        self.on_change.get().iter().for_each(|wake| wake());
    }

    /// Records the version of the list after an update, and the discovery address that it is of.
    pub fn set_source(&self, version: u64, discovery: SocketAddr) {
        *lock(&self.source) = ListSource {
            version,
            discovery: Some(discovery),
        };
    }

    /// The list. The version is read first: entries may be newer, and are then updated twice.
    pub fn snapshot(&self) -> ListSnapshot {
        let ListSource { version, discovery } = *lock(&self.source);
        ListSnapshot {
            version,
            discovery,
            entries: self.lock_backends().values().cloned().collect(),
        }
    }

    /// The name and address of a listed backend.
    pub fn backend_address(&self, endpoint: EndpointId) -> Option<BackendAddress> {
        self.lock_backends()
            .get(&endpoint)
            .map(|(address, ..)| address.clone())
    }

    /// The number of listed backends.
    pub fn backend_count(&self) -> usize {
        self.lock_backends().len()
    }

    /// Whether the backend accepts new requests: listed as ready, and not manually ejected.
    pub fn is_available(&self, endpoint: EndpointId) -> bool {
        let ready = self
            .lock_backends()
            .get(&endpoint)
            .is_some_and(|(_, listed)| listed.state == EndpointState::Ready);
        ready && !self.lock_manually_ejected().contains(&endpoint)
    }

    /// The available backends of a zone, given by its index in the settings.
    pub fn available_in_zone(&self, zone: u16) -> Vec<EndpointId> {
        let ejected = self.lock_manually_ejected().clone();
        let is_ready_in_zone =
            |(_, listed): &Entry| listed.state == EndpointState::Ready && listed.zone == zone;
        let backends = self.lock_backends();
        let available = backends
            .iter()
            .filter(|(endpoint, entry)| is_ready_in_zone(entry) && !ejected.contains(endpoint));
        available.map(|(endpoint, _)| *endpoint).collect()
    }

    /// Sets the callback that is called after each list update. Only the first call has an effect.
    pub fn on_change(&self, wake: Wake) {
        let _ = self.on_change.set(wake);
    }

    /// The number of list updates so far. The list that a relay starts with may be stale, so a
    /// client whose backend is not listed yet waits until this number changes.
    pub fn version(&self) -> u64 {
        self.version.load(Relaxed)
    }
}
