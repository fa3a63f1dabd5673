//! The number of subsets that the endpoint list is divided into.

use crate::{Micros, Time};

/// Fewest backends in a subset. A proxy that sends about ten requests a second uses each of them
/// every half minute. A subset of this size keeps enough backends if a rack or a tenth of the
/// fleet fails, and in a large fleet it has backends of all zones and machine types.
pub(super) const MIN_SUBSET_SIZE: f64 = 240.0;
/// Fewest proxies that use each backend. With fewer, a backend's load would depend on which of the
/// proxies have much traffic.
const MIN_PROXIES_PER_BACKEND: u32 = 8;
/// How long the number of subsets is kept while their size is tolerated, 300 s. A fleet near a
/// limit would otherwise alternate between two numbers, and each change replaces most connections.
/// With a longer time, proxies that started at different times would use different numbers for
/// longer.
pub(super) const MIN_RESHARD_INTERVAL: Micros = Micros(300_000_000);
/// Factor by which the size of the subsets may leave its range during that time.
const SIZE_TOLERANCE: f64 = 1.25;
/// The factor between two successive numbers of subsets. The sizes of the subsets have a range of
/// the same factor.
const COUNT_STEP: u32 = 2;

/// The number of subsets: a power of two, and 1 while the list is not divided.
///
/// It owns the number and the time of its last change. It takes the time, the number of backends
/// and that of proxies as arguments.
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

    /// Adapts the number to the size of the fleet; returns whether it has changed.
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

    /// Whether the number changed so recently that it stays as long as the size is tolerated.
    fn must_be_kept(&self, now: Time, backend_count: f64) -> bool {
        let min_size = MIN_SUBSET_SIZE / SIZE_TOLERANCE;
        let max_size = MIN_SUBSET_SIZE * f64::from(COUNT_STEP) * SIZE_TOLERANCE;
        let size = backend_count / f64::from(self.current);
        let is_tolerated = (min_size..max_size).contains(&size);
        let is_recent = now - self.changed_at < MIN_RESHARD_INTERVAL;
        self.current > 1 && is_tolerated && is_recent
    }
}

/// The largest number of subsets for which there are enough proxies and backends. Proxies that
/// know the same list get the same number.
fn best_subset_count(backend_count: f64, proxy_count: u32) -> u32 {
    let mut best = 1;
    loop {
        let next = best * COUNT_STEP;
        let has_proxies = next * MIN_PROXIES_PER_BACKEND <= proxy_count;
        let has_backends = backend_count / f64::from(next) >= MIN_SUBSET_SIZE;
        if !has_proxies || !has_backends {
            return best;
        }
        best = next;
    }
}

#[cfg(test)]
mod tests;
