//! The random numbers of a balancer, which its seed determines.

use oorandom::Rand64;
use std::ops::Range;

/// A source of random numbers.
pub struct Random(Rand64);

impl Random {
    /// Creates a source with this seed.
    pub fn new(seed: u64) -> Random {
        Random(Rand64::new(u128::from(seed)))
    }

    /// A number in this range, which must not be empty.
    pub fn range(&mut self, range: Range<u64>) -> u64 {
        self.0.rand_range(range)
    }

    /// A number from 0 up to 1.
    pub fn float(&mut self) -> f32 {
        self.0.rand_float() as f32
    }
}

impl Default for Random {
    fn default() -> Self {
        Random::new(0)
    }
}
