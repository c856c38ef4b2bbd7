//! Stand-ins for all that the relay talks to, scripted peers, and the rigs that put them round a relay. All of it
//! stays on loopback, takes free ports, and is bounded in time.

pub mod bench;
pub mod certs;
pub mod demo;
pub mod discovery;
pub mod faults;
pub mod fleet;
pub mod line;
pub mod relay;
pub mod rules;
pub mod scale;
pub mod scram;
pub mod sim;
pub mod stream;
pub mod xmpp_client;
pub mod xmpp_server;

use std::time::{Duration, Instant};

/// The longest wait for anything: far more than it takes, so that a slow machine changes no verdict.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Looks until something is there.
///
/// # Panics
/// After [`PATIENCE`], naming what was waited for.
pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < end, "waited in vain for {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
