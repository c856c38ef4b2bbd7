//! The slot array of RJ-CH and its hashes, which never change: all balancers must agree.

use crate::api::{Request, ServerId};

/// Slots of the array (m): the points of a thousand servers seldom collide.
pub const SLOTS: usize = 1 << 15;
/// The owner of a slot where there is none.
pub const NOBODY: u32 = u32::MAX;

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
    match q.key {
        0 => u64::from(q.id.0) | 1 << 63,
        key => key,
    }
}

/// Gives each slot to the nearest server clockwise; a server is its index, its id and how many points it
/// has. A slot that two points share goes to the server that hashes lower, so that the order of the list
/// does not matter.
pub fn lay(slots: &mut [u32], servers: &[(u32, ServerId, u32)]) {
    slots.fill(NOBODY);
    let hashed = |owner: u32| servers.iter().find(|s| s.0 == owner).map(|s| mix(s.1 .0));
    for &(i, id, points) in servers {
        for point in 0..points {
            // Inverted: a key that equals a server's id must not jump along that server's own points.
            let slot = &mut slots[slot(!id.0, point)];
            if *slot == NOBODY || hashed(*slot) > Some(mix(id.0)) {
                *slot = i;
            }
        }
    }
    let Some(mut owner) = slots.iter().copied().find(|&o| o != NOBODY) else { return };
    for slot in slots.iter_mut().rev() {
        if *slot == NOBODY {
            *slot = owner;
        }
        owner = *slot;
    }
}
