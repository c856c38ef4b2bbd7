//! What a receiver of orders knows: the highest token of each job. An older order is refused, whenever it comes.
//!
//! Guards against: an order that was in a socket, or in a stopped process, while the job was given to another; and a
//! receiver that has started anew without a disk: it obeys nobody before it knows how far the tokens are, and asks about
//! those that were given before.

use crate::jobs::assignment::FencingToken;
use crate::{InjectedBug, InjectedBugs};
use std::collections::BTreeMap;

/// What becomes of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceDecision {
    /// Obey.
    Accept,
    /// It is of an owner of before: the token that the job has now. The sender must stop.
    Stale(FencingToken),
    /// It may be either: ask the fleet which token the job has now, say so to [`Fence::known`], and look again.
    Unknown,
}

/// See the module's text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fence {
    injected: InjectedBugs,
    /// The last token that was given when this receiver started; none before it was told.
    set_floor: Option<FencingToken>,
    highest: BTreeMap<String, FencingToken>,
}

impl Fence {
    /// One with a fault in it: for tests of the checkers.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(injected: InjectedBugs) -> Fence {
        Fence {
            injected,
            ..Fence::default()
        }
    }

    /// The last token that the fleet has given. What counts is the first word since the start: later tokens are seen
    /// with their orders.
    pub fn set_floor(&mut self, last: FencingToken) {
        self.set_floor.get_or_insert(last);
    }

    /// The token that a job has now.
    pub fn learn_token(&mut self, name: &str, token: FencingToken) {
        let highest = self.highest.entry(name.into()).or_insert(token);
        *highest = token.max(*highest);
    }

    /// What becomes of an order with this token.
    pub fn check(&mut self, name: &str, token: FencingToken) -> FenceDecision {
        match (self.highest.get(name), self.set_floor) {
            _ if self.injected.is(InjectedBug::NoFence) => FenceDecision::Accept,
            (None, _) if self.injected.is(InjectedBug::TrustFirst) => self.obey(name, token),
            (Some(highest), _) if token < *highest => FenceDecision::Stale(*highest),
            (Some(_), _) => self.obey(name, token),
            // Given since this receiver started: any later one has a higher token, and none before has.
            (None, Some(floor)) if token > floor => self.obey(name, token),
            (None, _) => FenceDecision::Unknown,
        }
    }

    fn obey(&mut self, name: &str, token: FencingToken) -> FenceDecision {
        self.learn_token(name, token);
        FenceDecision::Accept
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn none_older_than_the_highest_is_obeyed_also_by_a_receiver_that_has_just_started() {
        let mut fence = Fence::default();
        assert_eq!(
            fence.check("a", 5),
            FenceDecision::Unknown,
            "before it knows how far the tokens are"
        );
        fence.set_floor(5);
        fence.set_floor(9);
        assert_eq!(
            fence.check("a", 5),
            FenceDecision::Unknown,
            "it may be of an owner of before"
        );
        assert_eq!(fence.check("a", 6), FenceDecision::Accept);
        assert_eq!(fence.check("a", 5), FenceDecision::Stale(6));
        assert_eq!(fence.check("a", 6), FenceDecision::Accept);
        fence.learn_token("b", 4);
        assert_eq!(
            (fence.check("b", 3), fence.check("b", 4)),
            (FenceDecision::Stale(4), FenceDecision::Accept)
        );
        fence.learn_token("b", 2);
        assert_eq!(
            fence.check("b", 3),
            FenceDecision::Stale(4),
            "a late word takes nothing back"
        );
    }
}
