//! The slot array of RJ-CH and its hashes, which never change: all balancers must agree.

use crate::decisions::api::{EndpointId, Request};
use std::collections::BTreeMap;

/// Slots of the array (m): the points of a thousand servers seldom collide.
pub const SLOTS: usize = 1 << 15;

/// Mixes a word (SplitMix64 finaliser).
pub fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// h(key, attempt): the attempt scatters what overflows.
pub fn hash(key: u64, attempt: u32) -> u64 {
    mix(mix(key) ^ u64::from(attempt))
}

/// The slot of h(key, attempt).
pub fn slot(key: u64, attempt: u32) -> usize {
    hash(key, attempt) as usize % SLOTS
}

/// A fraction in [0, 1) from two words: where a key stands among those that share something.
pub fn fraction(a: u64, b: u64) -> f32 {
    (mix(mix(a) ^ b) >> 40) as f32 / (1u64 << 24) as f32
}

/// What tells a client from others of its group.
pub fn own_key(q: &Request) -> u64 {
    match q.client_key {
        0 => u64::from(q.id.0) | 1 << 63,
        key => key,
    }
}

/// What the home of a request hashes by: its group, or itself where it has none.
pub fn home_key(q: &Request) -> u64 {
    Some(q.group)
        .filter(|&group| group != 0)
        .unwrap_or_else(|| own_key(q))
}

/// The owners of the slots: each slot is the nearest server's clockwise. Where two points share a slot it is
/// the server's that hashes lower, so that the order of the list does not matter. A server's coming or going
/// touches its own points and no others, whatever the size of the fleet.
#[derive(Default)]
pub struct Ring(BTreeMap<(usize, u64, u32), EndpointId>);

impl Ring {
    /// Gives a server `to` points in place of `from`.
    pub fn lay(&mut self, id: EndpointId, from: u32, to: u32) {
        // Inverted: a key that equals a server's id must not jump along that server's own points.
        let place = |point: u32| (slot(!id.0, point), mix(id.0), point);
        (to..from).for_each(|point| _ = self.0.remove(&place(point)));
        (from..to).for_each(|point| _ = self.0.insert(place(point), id));
    }

    /// The owner of the slot of h(key, jump).
    pub fn owner(&self, key: u64, jump: u32) -> Option<EndpointId> {
        let next = self.0.range((slot(key, jump), 0, 0)..).next();
        next.or_else(|| self.0.first_key_value()).map(|(_, id)| *id)
    }
}
