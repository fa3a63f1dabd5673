//! The limits on the attempts that this proxy has in flight on all backends together.

use crate::admission::{Priority, LOW_PRIORITY_CAPACITY_FRACTION};
use crate::backends::{Backend, BackendTable};
use crate::estimation::TimeWeightedMean;
use crate::peers::Peers;
use crate::requests::RequestTable;
use crate::Time;

/// The momentary limit exceeds this proxy's part of the target ([`Peers::own_concurrency`]) by this
/// many standard deviations plus one attempt. The number in flight is taken to be Poisson
/// distributed: its variance equals its mean.
const MOMENTARY_LIMIT_DEVIATIONS: f64 = 1.5;
/// The sustained limit in multiples of this proxy's part of the target. At any time some proxies
/// exceed their part by chance; if all proxies did so together, every backend would stay
/// overloaded.
const SUSTAINED_LIMIT_FACTOR: f64 = 1.5;

/// Limits how many attempts this proxy may have in flight.
///
/// It owns the limits and the recent mean of the attempts in flight. The caller counts the attempts
/// and passes their number.
pub(crate) struct ConcurrencyLimits {
    /// Most attempts in flight at any time.
    momentary: f64,
    /// Most attempts in flight on average over about a second; infinite if few proxies share each
    /// backend.
    sustained: f64,
    /// Mean number of attempts in flight over about the last second.
    recent: TimeWeightedMean,
}

impl ConcurrencyLimits {
    /// Creates limits that allow no attempt until the first [`update`](Self::update).
    pub fn new() -> ConcurrencyLimits {
        ConcurrencyLimits {
            momentary: 0.0,
            sustained: f64::INFINITY,
            recent: TimeWeightedMean::default(),
        }
    }

    /// Records that `in_flight` attempts counted against the limits since the last call.
    pub fn record_in_flight(&mut self, now: Time, in_flight: f64) {
        self.recent.advance(now, in_flight);
    }

    /// Computes the limits for backends whose readiness adds up to `readiness`.
    pub fn update(&mut self, readiness: f64, peers: Peers) {
        let own_concurrency = peers.own_concurrency(readiness);
        self.momentary =
            own_concurrency + MOMENTARY_LIMIT_DEVIATIONS * own_concurrency.sqrt() + 1.0;
        self.sustained = if peers.are_few() {
            f64::INFINITY
        } else {
            own_concurrency * SUSTAINED_LIMIT_FACTOR
        };
    }

    /// Whether one more attempt may be sent while `in_flight` attempts count against the limits.
    /// The sustained limit rejects an attempt only if the recent mean exceeds it and `in_flight`
    /// has reached it.
    pub fn allow(&self, in_flight: f64, priority: Priority) -> bool {
        let limit = match priority {
            Priority::Normal => self.momentary,
            Priority::Low => self.momentary * LOW_PRIORITY_CAPACITY_FRACTION,
        };
        let exceeds_sustained_limit =
            self.recent.value() > self.sustained && in_flight >= self.sustained;
        in_flight < limit && !exceeds_sustained_limit
    }
}

/// Counts the attempts that count against the limits of this proxy.
///
/// Only attempts count that a backend still works on. If few proxies share a backend, all of these
/// count. Otherwise only those on usable backends count: an attempt on an unusable backend may stay
/// in flight until its deadline, and would meanwhile take up capacity of the usable backends.
pub(crate) fn count_in_flight(
    requests: &RequestTable,
    backends: &BackendTable,
    peers: Peers,
) -> f64 {
    if peers.are_few() {
        return requests.in_progress().count() as f64;
    }
    let mut count = 0;
    for attempt in requests.in_progress() {
        let backend = backends.get(attempt.backend);
        if backend.is_some_and(Backend::is_usable) {
            count += 1;
        }
    }
    f64::from(count)
}

#[cfg(test)]
mod tests;
