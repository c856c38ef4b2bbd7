//! Counters of the messages and bytes on the links between the relays of a fleet, by direction and
//! message type.
//!
//! One thread counts; others read. The message types are few and known at compile time, so the
//! number of counters needs no limit.

use crate::sys::lock;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// The direction of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// Sent to another process.
    Sent,
    /// Received from another process.
    Received,
}

/// The messages of one type in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageCount {
    /// Their direction.
    pub direction: Direction,
    /// Their type.
    pub kind: &'static str,
    /// Their number.
    pub messages: u64,
    /// Their size in bytes, including framing and authentication.
    pub bytes: u64,
}

#[derive(Clone, Copy, Default)]
struct Totals {
    messages: u64,
    bytes: u64,
}

type TotalsByKind = BTreeMap<(Direction, &'static str), Totals>;

/// Message counters since the start of the process.
#[derive(Default)]
pub struct Traffic {
    totals: Mutex<TotalsByKind>,
}

impl Traffic {
    /// Counts a message.
    pub fn count(&self, direction: Direction, kind: &'static str, bytes: usize) {
        let mut totals = lock(&self.totals);
        let total = totals.entry((direction, kind)).or_default();
        total.messages += 1;
        total.bytes += bytes as u64;
    }

    /// The counts by direction and type.
    pub fn counts(&self) -> Vec<MessageCount> {
        let count =
            |((direction, kind), total): (&(Direction, &'static str), &Totals)| MessageCount {
                direction: *direction,
                kind,
                messages: total.messages,
                bytes: total.bytes,
            };
        lock(&self.totals).iter().map(count).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_are_counted_by_direction_and_type() {
        let traffic = Traffic::default();
        traffic.count(Direction::Sent, "renew", 100);
        traffic.count(Direction::Sent, "renew", 20);
        traffic.count(Direction::Received, "reply", 7);
        let count = |direction, kind, messages, bytes| MessageCount {
            direction,
            kind,
            messages,
            bytes,
        };
        assert_eq!(
            traffic.counts(),
            [
                count(Direction::Sent, "renew", 2, 120),
                count(Direction::Received, "reply", 1, 7)
            ]
        );
    }
}
