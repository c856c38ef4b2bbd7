//! Broadcaster: the voter's side of the broadcast. It stores the newest update of each job, sends
//! it to the relays that follow this voter, and sends owners a summary of the reports of those
//! relays.
//!
//! Input: the time, messages of relays and owners, and the jobs as recorded in this voter's log.
//! Output: messages to send.
//!
//! Clocks of different processes are never compared. Instead each update carries an upper bound of
//! its age, derived from a request and its response, so that a delay in transit adds to the age. A
//! load table is encoded once for all relays that have the same version. Relays of older builds get
//! full updates, and owners of older builds get the individual reports of relays.
//!
//! Guards against: an update under a stale token (it is rejected with the newer token, which stops
//! the sender), an owner that is cut off (relays see how old its updates are), a relay that is
//! silent (it is sent nothing more), a slow relay (only the newest update of each job is sent, at a
//! limited rate), and updates of jobs that do not exist (they are dropped).

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
    /// Whether to behave like builds that do not support deliveries.
    is_older_build: bool,
}

impl Broadcaster {
    /// Creates the broadcaster of a voter's process. `incarnation` must differ from those of
    /// earlier processes of this voter.
    pub fn new(incarnation: u64) -> Broadcaster {
        Broadcaster {
            pool: AllowancePool::new(incarnation),
            ..Broadcaster::default()
        }
    }

    /// Injects a bug, for tests of the checkers.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(mut self, injected: InjectedBugs) -> Broadcaster {
        self.feed.injected = injected;
        self
    }

    /// Behaves like builds that do not support deliveries, for tests of fleets with two builds.
    /// Default: off.
    #[cfg(feature = "injected-bugs")]
    pub fn of_older_build(self) -> Broadcaster {
        Broadcaster {
            is_older_build: true,
            ..self
        }
    }

    /// Ends the subscription of a connection that was closed.
    pub fn disconnected(&mut self, from: ReplyAddress) {
        self.subscriptions.remove(&from);
    }

    /// Number of subscriptions, including silent ones.
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
