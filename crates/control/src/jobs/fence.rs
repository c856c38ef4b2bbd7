//! Fencing: rejects commands that a former owner of a job sent.
//!
//! Input: the fencing tokens of commands, the latest token of the fleet when this receiver started,
//! and the leader's answers about the token of a single job. Output: a [`FenceDecision`] for each
//! command.
//!
//! Guards against: a command that was delayed in a socket or in a paused process while its job was
//! assigned to another relay, and a receiver that restarted without stored state. Such a receiver
//! accepts no command for a job until it knows either the fleet's latest token or, from the leader,
//! the token of that job.

use crate::jobs::assignment::FencingToken;
use crate::{InjectedBug, InjectedBugs};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Decision of a receiver about a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceDecision {
    /// Execute it.
    Accept,
    /// Reject it and answer with this token, the highest known one of the job, so that the sender
    /// stops.
    Stale(FencingToken),
    /// Ask the leader for the job's token, pass the answer to [`Fence::learn_token`], and check the
    /// command again.
    Unknown,
}

/// The highest fencing token of each job that this receiver knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fence {
    injected: InjectedBugs,
    /// Latest token of the fleet when this receiver started; `None` until it is known. Tokens above
    /// it are of later assignments.
    floor: Option<FencingToken>,
    /// Highest known token by job.
    highest: BTreeMap<String, FencingToken>,
}

impl Fence {
    /// Creates a fence with an injected bug, to test that the rule checkers of the fault tests find
    /// it.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected(injected: InjectedBugs) -> Fence {
        Fence {
            injected,
            ..Fence::default()
        }
    }

    /// Sets the latest token that the fleet has issued. Only the first call has an effect: later
    /// tokens arrive with commands.
    pub fn set_floor(&mut self, last_token: FencingToken) {
        self.floor.get_or_insert(last_token);
    }

    /// Records the current token of a job, as the leader answered. A token older than the known one
    /// changes nothing.
    pub fn learn_token(&mut self, name: &str, token: FencingToken) {
        let highest = self.highest.entry(name.into()).or_insert(token);
        *highest = token.max(*highest);
    }

    /// Decides about a command for this job with this token, and records the token if it is
    /// accepted.
    pub fn check(&mut self, name: &str, token: FencingToken) -> FenceDecision {
        match (self.highest.get(name), self.floor) {
            _ if self.injected.is(InjectedBug::NoFence) => FenceDecision::Accept,
            (None, _) if self.injected.is(InjectedBug::AcceptBeforeTokens) => {
                self.accept(name, token)
            }
            (Some(highest), _) if token < *highest => FenceDecision::Stale(*highest),
            (Some(_), _) => self.accept(name, token),
            // The token was issued after this receiver started, so it is newer than that of any
            // owner before.
            (None, Some(floor)) if token > floor => self.accept(name, token),
            (None, _) => FenceDecision::Unknown,
        }
    }

    fn accept(&mut self, name: &str, token: FencingToken) -> FenceDecision {
        self.learn_token(name, token);
        FenceDecision::Accept
    }
}
