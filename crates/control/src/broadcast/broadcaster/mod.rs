//! Broadcaster: the voter's end of the broadcast of reports and updates. It stores the newest update of each job, sends it
//! to the relays that follow this voter, and sends owners a summary of what those relays report.
//!
//! Input: the time, messages of relays and owners, and the jobs as this voter's log has them. Output: messages to send.
//!
//! Clocks are never compared: each update carries an upper bound of its age, derived from a request and its response, so
//! an update that was delayed on its way counts as that much older. A load table is encoded once for all relays that have
//! the same version. Relays and owners of older builds get full updates, and the reports of each relay.
//!
//! Guards against: an update under a stale token (it is rejected with the newer token, which stops the sender), an owner
//! that is cut off (its updates age, and relays see how old they are), a relay that is silent (it is sent nothing more), a
//! slow relay (only the newest update of each job is sent, at a limited rate), and updates of jobs that do not exist (they
//! are dropped).

mod publications;
mod subscriptions;

#[cfg(test)]
mod tests;

use super::allowance::AllowancePool;
use super::feed::Feed;
use super::subscription::Subscription;
use crate::wire::message::ReplyAddress;
#[cfg(feature = "injected-bugs")]
use crate::InjectedBugs;
use crate::Micros;
use std::collections::BTreeMap;

/// State of the broadcast at one voter.
#[derive(Default)]
pub struct Broadcaster {
    subscriptions: BTreeMap<ReplyAddress, Subscription>,
    feed: Feed,
    /// This voter's share of the fleet's migrations.
    pool: AllowancePool,
    /// Whether to behave as builds before deliveries did.
    is_older_build: bool,
}

impl Broadcaster {
    /// The broadcaster of a process. `incarnation` identifies the process: no earlier process of this voter had it.
    pub fn new(incarnation: u64) -> Broadcaster {
        Broadcaster {
            pool: AllowancePool::new(incarnation),
            ..Broadcaster::default()
        }
    }

    /// Injects a fault, for tests of the checkers.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(mut self, injected: InjectedBugs) -> Broadcaster {
        self.feed.injected = injected;
        self
    }

    /// Behaves as builds before deliveries did, for tests of fleets with two builds. Default: off.
    #[cfg(feature = "injected-bugs")]
    pub fn of_older_build(self) -> Broadcaster {
        Broadcaster {
            is_older_build: true,
            ..self
        }
    }

    /// Ends the subscription of a link that was closed.
    pub fn disconnected(&mut self, from: ReplyAddress) {
        self.subscriptions.remove(&from);
    }

    /// Number of subscriptions, silent ones included.
    pub fn subscription_count(&self) -> usize {
        self.subscriptions.len()
    }
}

/// Subscriptions of relays that are not silent.
fn live_subscriptions(
    subscriptions: &mut BTreeMap<ReplyAddress, Subscription>,
    now: Micros,
) -> impl Iterator<Item = (ReplyAddress, &mut Subscription)> {
    subscriptions
        .iter_mut()
        .filter(move |(_, subscription)| !subscription.is_silent(now))
        .map(|(from, subscription)| (*from, subscription))
}
