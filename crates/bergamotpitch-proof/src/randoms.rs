//! Seeded random numbers.

use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// `Random` is the random source of a fleet.
pub type Random = Xoshiro256PlusPlus;

/// `seeded` makes a random source from a seed.
pub fn seeded(seed: u64) -> Random {
    Random::seed_from_u64(seed)
}

/// `unit` draws a number in [0, 1).
pub fn unit(random: &mut Random) -> f64 {
    (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// `exponential` draws a waiting time with the given mean.
pub fn exponential(random: &mut Random, mean: f64) -> f64 {
    -mean * (1.0 - unit(random)).ln()
}

/// `weighted` draws an index in proportion to weights.
pub fn weighted(random: &mut Random, weights: &[f64]) -> usize {
    let total: f64 = weights.iter().sum();
    let mut left = unit(random) * total;
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
    }
    weights.len().saturating_sub(1)
}
