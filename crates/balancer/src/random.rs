//! The random number generator of the balancer, and weighted random choice.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Number of values that [`Rng::unit`] can return: 2^32.
const UNIT_STEPS: f64 = 4_294_967_296.0;

/// An item with its weight in a random choice.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Weighted<T> {
    /// The item.
    pub item: T,
    /// The weight, at least 0.
    pub weight: f64,
}

/// A random number generator that gives the same sequence on every machine for the same seed.
///
/// Each draw takes exactly one number from the sequence.
pub(crate) struct Rng(Pcg32);

impl Rng {
    /// Creates a generator with a seed.
    pub fn new(seed: u64) -> Rng {
        Rng(Pcg32::seed_from_u64(seed))
    }

    /// Draws a number uniformly from 0 (inclusive) to 1 (exclusive).
    pub fn unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / UNIT_STEPS
    }

    /// Draws one of the items, each with a probability in proportion to its weight. Returns `None`
    /// if there are no items, and the last item if all weights are 0.
    pub fn pick_weighted<T: Copy>(&mut self, items: &[Weighted<T>]) -> Option<T> {
        let total_weight: f64 = items.iter().map(|candidate| candidate.weight).sum();
        let mut remaining = self.unit() * total_weight;
        for candidate in items {
            remaining -= candidate.weight;
            if remaining < 0.0 {
                return Some(candidate.item);
            }
        }
        // All weights are 0, or rounding errors have left a remainder.
        let last = items.last()?;
        Some(last.item)
    }
}

#[cfg(test)]
mod tests;
