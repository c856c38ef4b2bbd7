//! The fleet's moves of standing connections to their sites' new cells: one owner paces them for all relays.
//!
//! Each relay says how many of its connections wait to be moved and how many it has moved since its start. The owner
//! permits each relay a number of moves since that start, which only grows: a word that comes late or twice permits
//! nothing more. A relay without a word moves nobody.
//!
//! Guards against: more moves a second than the policy allows for the whole fleet, also over a change of owner (a new one
//! begins with what relays say to be permitted and without credit), and a relay that has gone (it is given nothing).

use crate::wire::relay::Relay;
use crate::{wire, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The kind of this job, which is its name, too.
pub const KIND: &str = "moves";
/// A relay that has said nothing for so long is given nothing.
const SILENT: Micros = 3_000_000;
/// Permits are given so often.
const TURN: Micros = 250_000;
/// Credit at most, in time: what nobody asked for is not saved up.
const SAVED: Micros = 1_000_000;

/// What a relay says of its moves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Moving {
    /// Connections that wait to be moved.
    pub waiting: u64,
    /// Moved since its start.
    pub made: u64,
    /// Permitted since its start.
    pub permitted: u64,
}

impl Moving {
    /// As it is said.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(self)
    }
}

/// What the owner tells: how many moves each relay may have made since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Permits {
    /// See there.
    pub of: Vec<(Relay, u64)>,
}

impl Permits {
    /// As it is told.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(self)
    }

    /// As it was told; none where it is nothing of the kind.
    pub fn decode(bytes: &[u8]) -> Option<Permits> {
        wire::decode(bytes)
    }

    /// What this process may have made.
    pub fn for_relay(&self, relay: &Relay) -> Option<u64> {
        self.of.iter().find(|(of, _)| of == relay).map(|(_, upto)| *upto)
    }
}

struct Known {
    said: Moving,
    at: Micros,
    upto: u64,
}

/// See the module's text.
#[derive(Default)]
pub struct Mover {
    relays: BTreeMap<Relay, Known>,
    last: Option<Micros>,
    /// In moves times microseconds a second.
    credit: u64,
    given: u64,
}

impl Mover {
    /// One that goes on where the last checkpoint says.
    pub fn resume(checkpoint: &[u8]) -> Mover {
        Mover { given: checkpoint.try_into().map_or(0, u64::from_be_bytes), ..Mover::default() }
    }

    /// How far it is, for the log.
    pub fn checkpoint(&self) -> Vec<u8> {
        self.given.to_be_bytes().to_vec()
    }

    /// Moves that were permitted since the job began, by all its owners.
    pub fn given(&self) -> u64 {
        self.given
    }

    /// When permits are given next.
    pub fn due(&self) -> Micros {
        self.last.map_or(0, |last| last + TURN)
    }

    /// A relay has said how its moves are. What it said before that comes later changes nothing.
    pub fn heard(&mut self, at: Micros, relay: Relay, said: &[u8]) {
        let Some(said) = wire::decode::<Moving>(said) else { return };
        let known = self.relays.entry(relay).or_insert(Known { said, at, upto: said.permitted });
        if said.made >= known.said.made && at >= known.at {
            (known.said, known.at, known.upto) = (said, at, known.upto.max(said.permitted));
        }
    }

    /// Time has passed: what is permitted now, at so many moves a second for the whole fleet. Those that wait with most go
    /// first.
    pub fn turn(&mut self, now: Micros, per_second: u64) -> Option<Permits> {
        let last = *self.last.get_or_insert(now);
        if now < last + TURN {
            return None;
        }
        let second = 1_000_000;
        self.credit = (self.credit + (now - last).min(SAVED) * per_second).min(per_second.max(1) * SAVED);
        self.last = Some(now);
        self.relays.retain(|_, known| now < known.at + SILENT);
        let wants = |known: &Known| (known.said.made + known.said.waiting).saturating_sub(known.upto);
        let mut gave = false;
        while self.credit >= second {
            let Some(known) = self.relays.values_mut().max_by_key(|known| wants(known)) else { break };
            if wants(known) == 0 {
                break;
            }
            known.upto += 1;
            (self.credit, self.given, gave) = (self.credit - second, self.given + 1, true);
        }
        // Said again while somebody waits for it: a word may be lost.
        let waits = self.relays.values().any(|known| known.said.permitted < known.upto);
        let of = self.relays.iter().filter(|(_, known)| known.upto > 0).map(|(r, k)| (r.clone(), k.upto));
        (gave || waits).then(|| Permits { of: of.collect() })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn relay(n: usize) -> Relay {
        Relay { name: format!("n{n}"), start: 9 }
    }

    fn says(mover: &mut Mover, at: Micros, n: usize, waiting: u64, made: u64, permitted: u64) {
        mover.heard(at, relay(n), &Moving { waiting, made, permitted }.encode());
    }

    #[test]
    fn no_more_are_permitted_than_the_rate_whoever_owns_the_job() {
        let (mut mover, mut permitted) = (Mover::default(), [0u64; 3]);
        let mut total = 0;
        for turn in 0..40u64 {
            let now = turn * TURN;
            // Half-way another owner goes on, by what the relays say and the checkpoint.
            if turn == 20 {
                mover = Mover::resume(&mover.checkpoint());
            }
            for (n, permitted) in permitted.iter().enumerate() {
                says(&mut mover, now, n, 100 - permitted, *permitted, *permitted);
            }
            if let Some(permits) = mover.turn(now, 8) {
                let permits = Permits::decode(&permits.encode()).unwrap();
                for (n, permitted) in permitted.iter_mut().enumerate() {
                    *permitted = permits.for_relay(&relay(n)).unwrap_or(0).max(*permitted);
                }
            }
            total = permitted.iter().sum();
            assert!(total <= turn * 2, "{total} after {turn} turns of a quarter second, at 8 a second");
        }
        assert!(total >= 74, "{total}");
        assert_eq!(mover.given(), total);
        assert!(permitted.iter().max().unwrap() - permitted.iter().min().unwrap() <= 1, "{permitted:?}");
    }

    #[test]
    fn who_waits_for_nothing_or_is_silent_is_given_nothing_and_nothing_is_saved_up() {
        let mut mover = Mover::default();
        says(&mut mover, 0, 0, 0, 5, 5);
        mover.turn(0, 100);
        for turn in 1..40 {
            says(&mut mover, turn * TURN, 0, 0, 5, 5);
            assert_eq!(mover.turn(turn * TURN, 100), None);
        }
        says(&mut mover, 40 * TURN, 0, 1_000, 5, 5);
        let permits = mover.turn(40 * TURN, 100).unwrap();
        assert_eq!(permits.for_relay(&relay(0)), Some(5 + 100), "a second's worth");
        // Late words of before change nothing.
        says(&mut mover, 30 * TURN, 0, 9_000, 2, 0);
        assert_eq!(mover.turn(41 * TURN + SILENT + 40 * TURN, 100), None, "it fell silent");
        mover.heard(0, relay(1), b"what is this");
    }
}
