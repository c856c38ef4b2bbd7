//! The slots of RJ-CH (random-jump consistent hashing), their owners and their hashes.
//!
//! The balancers of all relays, also of different releases, must compute the same owners, so these
//! functions must never change.

use super::api::{EndpointId, Request};
use std::collections::BTreeMap;

/// Slots of the ring (m in the paper): enough that the points of a thousand endpoints seldom
/// collide.
pub const SLOTS: usize = 1 << 15;

/// Bit that is set in the key made for a client without one, so that it equals no client's own key.
const KEYLESS_CLIENT: u64 = 1 << 63;

/// Mixes a word (finaliser of SplitMix64).
pub fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// h(key, jump). Jumps hash independently: keys that overflow from the same slot go to different
/// slots at the next jump.
pub fn hash(key: u64, jump: u32) -> u64 {
    mix(mix(key) ^ u64::from(jump))
}

/// The slot of h(key, jump).
pub fn slot(key: u64, jump: u32) -> usize {
    hash(key, jump) as usize % SLOTS
}

/// A hash in [0, 1): ranks a key among all keys that are hashed with the same salt.
pub fn fraction(key: u64, salt: u64) -> f32 {
    (mix(mix(key) ^ salt) >> 40) as f32 / (1u64 << 24) as f32
}

/// Key that distinguishes a client from the others of its group.
pub fn client_key(request: &Request) -> u64 {
    match request.client_key {
        0 => u64::from(request.id.0) | KEYLESS_CLIENT,
        key => key,
    }
}

/// Key by which a request is placed: that of its group, or of the client where it has none.
pub fn placement_key(request: &Request) -> u64 {
    match request.group {
        0 => client_key(request),
        group => group,
    }
}

/// Position of a point: its slot, then the hash of its endpoint and its number, which order points
/// that share a slot independently of the order of the endpoint list.
type Point = (usize, u64, u32);

/// Owners of the slots: each slot belongs to the next point clockwise. Adding or removing an
/// endpoint touches its own points only.
#[derive(Default)]
pub struct Ring(BTreeMap<Point, EndpointId>);

impl Ring {
    /// Changes the number of points of an endpoint from `from` to `to`.
    pub fn set_points(&mut self, id: EndpointId, from: u32, to: u32) {
        for number in to..from {
            self.0.remove(&Ring::point(id, number));
        }
        for number in from..to {
            self.0.insert(Ring::point(id, number), id);
        }
    }

    /// Owner of the slot of h(key, jump); none for a ring without points.
    pub fn owner(&self, key: u64, jump: u32) -> Option<EndpointId> {
        let next = self.0.range((slot(key, jump), 0, 0)..).next();
        next.or_else(|| self.0.first_key_value()).map(|(_, id)| *id)
    }

    fn point(id: EndpointId, number: u32) -> Point {
        // Inverted, so that a key equal to an endpoint's id does not jump along that endpoint's own
        // points.
        (slot(!id.0, number), mix(id.0), number)
    }
}
