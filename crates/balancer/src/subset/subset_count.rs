//! The number of subsets that the endpoint list is divided into.

use crate::{Micros, Time};

/// Smallest intended number of backends in a subset. A proxy that sends about ten requests per
/// second uses each backend of such a subset every half minute. The subset keeps enough backends if
/// a rack or a tenth of the fleet fails, and in a large fleet it has backends of all zones and
/// machine types.
pub(super) const MIN_SUBSET_SIZE: f64 = 240.0;
/// Fewest proxies that use each backend of a divided list. With fewer, a backend's load would
/// depend too much on the traffic of single proxies.
const MIN_PROXIES_PER_BACKEND: u32 = 8;
/// The time for which the number of subsets is kept while the size of the subsets is tolerated,
/// 300 s. Without it, a fleet whose size is near a limit would alternate between two numbers, and
/// each change replaces most connections. If it were longer, proxies that started at different
/// times would use different numbers for longer.
pub(super) const MIN_COUNT_CHANGE_INTERVAL: Micros = Micros(300_000_000);
/// The factor by which the size of the subsets may exceed or fall below its range during
/// [`MIN_COUNT_CHANGE_INTERVAL`].
const SIZE_TOLERANCE: f64 = 1.25;
/// The factor between two successive numbers of subsets. The largest intended size of a subset is
/// [`MIN_SUBSET_SIZE`] multiplied by the same factor.
const COUNT_FACTOR: u32 = 2;

/// The number of subsets: a power of two, and 1 while the list is not divided.
///
/// It owns the number and the time of its last change.
pub(super) struct SubsetCount {
    current: u32,
    changed_at: Time,
}

impl SubsetCount {
    pub fn new() -> SubsetCount {
        SubsetCount {
            current: 1,
            changed_at: Time(0),
        }
    }

    pub fn get(&self) -> u32 {
        self.current
    }

    /// Adapts the number of subsets to the size of the fleet; returns whether it has changed.
    pub fn update(&mut self, now: Time, backend_count: usize, proxy_count: u32) -> bool {
        let backend_count = backend_count as f64;
        if self.must_be_kept(now, backend_count) {
            return false;
        }
        let best = best_subset_count(backend_count, proxy_count);
        if best == self.current {
            return false;
        }
        self.current = best;
        self.changed_at = now;
        true
    }

    /// Whether the number of subsets changed recently and the size of the subsets is tolerated, so
    /// that the number stays.
    fn must_be_kept(&self, now: Time, backend_count: f64) -> bool {
        let min_size = MIN_SUBSET_SIZE / SIZE_TOLERANCE;
        let max_size = MIN_SUBSET_SIZE * f64::from(COUNT_FACTOR) * SIZE_TOLERANCE;
        let size = backend_count / f64::from(self.current);
        let is_tolerated = (min_size..max_size).contains(&size);
        let is_recent = now - self.changed_at < MIN_COUNT_CHANGE_INTERVAL;
        self.current > 1 && is_tolerated && is_recent
    }
}

/// The largest number of subsets for which there are enough proxies and backends. Proxies with the
/// same endpoint list compute the same number.
fn best_subset_count(backend_count: f64, proxy_count: u32) -> u32 {
    let mut best = 1;
    loop {
        let next = best * COUNT_FACTOR;
        let has_enough_proxies = next * MIN_PROXIES_PER_BACKEND <= proxy_count;
        let has_enough_backends = backend_count / f64::from(next) >= MIN_SUBSET_SIZE;
        if !has_enough_proxies || !has_enough_backends {
            return best;
        }
        best = next;
    }
}

#[cfg(test)]
mod tests;
