//! The timers of all balancers and of the migrations, in one heap.
//!
//! Timers fire in the order of their deadlines. Of timers with the same deadline, those of
//! balancers come first, ordered by balancer and token.

use crate::decisions::api::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The receiver of a timer. The order of the variants is the order in which timers with the same
/// deadline fire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerOwner {
    /// A cell's balancer, which chose the token.
    Balancer {
        /// Index of the cell balancer.
        balancer: usize,
        /// Identifies the timer to that balancer.
        token: u64,
    },
    /// The next migration of a connection whose group has another cell.
    Migration,
}

/// A timer that is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    deadline: Micros,
    owner: TimerOwner,
}

/// Timers by deadline.
#[derive(Default)]
pub(super) struct TimerQueue {
    timers: BinaryHeap<Reverse<Timer>>,
}

impl TimerQueue {
    /// Sets a timer.
    pub(super) fn set(&mut self, deadline: Micros, owner: TimerOwner) {
        self.timers.push(Reverse(Timer { deadline, owner }));
    }

    /// The deadline of the first timer.
    pub(super) fn next_deadline(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse(timer)| timer.deadline)
    }

    /// Takes the first timer if its deadline has come.
    pub(super) fn pop_expired(&mut self, now: Micros) -> Option<TimerOwner> {
        if self.next_deadline()? > now {
            return None;
        }
        self.timers.pop().map(|Reverse(timer)| timer.owner)
    }
}
