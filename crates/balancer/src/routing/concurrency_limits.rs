//! The limits on what this proxy has in flight on all backends together.

use crate::admission::{Priority, LOW_PRIORITY_CAPACITY_FRACTION};
use crate::backends::{Backend, BackendTable};
use crate::estimation::TimeWeightedMean;
use crate::peers::Peers;
use crate::requests::RequestTable;
use crate::Time;

/// The momentary limit's allowance for chance, in standard deviations of a random count with its
/// mean.
const CHANCE_ALLOWANCE: f64 = 1.5;
/// What a proxy may have in flight for longer than a moment, in multiples of its part of the
/// target. Chance gives one proxy more at times; if all had more at once, every backend would be
/// overloaded for long.
const SUSTAINED_FACTOR: f64 = 1.5;

/// How many attempts this proxy may have in flight.
///
/// It owns the limits and the recent mean of what is in flight. The attempts themselves are passed
/// in as a count.
pub(crate) struct ConcurrencyLimits {
    /// How many it may have in flight for a moment.
    momentary: f64,
    /// How many it may have in flight for longer than a moment.
    sustained: f64,
    /// How many it had in flight over the last moments.
    recent: TimeWeightedMean,
}

impl ConcurrencyLimits {
    /// Limits that allow nothing until they are first updated.
    pub fn new() -> ConcurrencyLimits {
        ConcurrencyLimits {
            momentary: 0.0,
            sustained: f64::INFINITY,
            recent: TimeWeightedMean::default(),
        }
    }

    /// Records how many attempts counted since the last call.
    pub fn record_in_flight(&mut self, now: Time, in_flight: f64) {
        self.recent.advance(now, in_flight);
    }

    /// Computes the limits for backends of that total readiness.
    pub fn update(&mut self, readiness: f64, peers: Peers) {
        let own_part = peers.own_concurrency(readiness);
        self.momentary = own_part + CHANCE_ALLOWANCE * own_part.sqrt() + 1.0;
        self.sustained = if peers.are_few() {
            f64::INFINITY
        } else {
            own_part * SUSTAINED_FACTOR
        };
    }

    /// Whether one more attempt may be sent while `in_flight` count.
    pub fn allow(&self, in_flight: f64, priority: Priority) -> bool {
        let limit = match priority {
            Priority::Normal => self.momentary,
            Priority::Low => self.momentary * LOW_PRIORITY_CAPACITY_FRACTION,
        };
        let is_high_for_long = self.recent.value() > self.sustained && in_flight >= self.sustained;
        in_flight < limit && !is_high_for_long
    }
}

/// Attempts that count against the limits of this proxy. If few proxies share a backend, all count.
/// Otherwise only those on usable backends count: an attempt on another backend may stay in flight
/// until its deadline, and would take capacity that the usable backends have.
pub(crate) fn count_in_flight(
    requests: &RequestTable,
    backends: &BackendTable,
    peers: Peers,
) -> f64 {
    if peers.are_few() {
        return requests.in_flight_count() as f64;
    }
    let mut count = 0;
    for attempt in requests.in_flight() {
        let backend = backends.get(attempt.backend);
        if backend.is_some_and(Backend::is_usable) {
            count += 1;
        }
    }
    f64::from(count)
}

#[cfg(test)]
mod tests;
