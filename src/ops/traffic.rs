//! Messages and bytes of the links of the control, by direction and type of message.
//!
//! One thread counts; others read. Types are few and known when the program is built, so there is no bound to keep to.

use crate::sys::lock;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// Which way a message went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// To another process.
    Sent,
    /// From another process.
    Received,
}

/// Messages of one type in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Count {
    /// Which way they went.
    pub direction: Direction,
    /// Their type.
    pub kind: &'static str,
    /// How many there were.
    pub messages: u64,
    /// Their bytes, with what frames and seals them.
    pub bytes: u64,
}

#[derive(Clone, Copy, Default)]
struct Sum {
    messages: u64,
    bytes: u64,
}

type ByKind = BTreeMap<(Direction, &'static str), Sum>;

/// See the module's text.
#[derive(Default)]
pub struct Traffic {
    counts: Mutex<ByKind>,
}

impl Traffic {
    /// A message has gone that way.
    pub fn count(&self, direction: Direction, kind: &'static str, bytes: usize) {
        let mut counts = lock(&self.counts);
        let sum = counts.entry((direction, kind)).or_default();
        sum.messages += 1;
        sum.bytes += bytes as u64;
    }

    /// All that went, since the start of the process.
    pub fn counts(&self) -> Vec<Count> {
        let count = |((direction, kind), sum): (&(Direction, &'static str), &Sum)| Count {
            direction: *direction,
            kind,
            messages: sum.messages,
            bytes: sum.bytes,
        };
        lock(&self.counts).iter().map(count).collect()
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
        let count = |direction, kind, messages, bytes| Count {
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
