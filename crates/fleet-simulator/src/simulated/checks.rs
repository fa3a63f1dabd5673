//! The checks that the results of every fleet have to pass.

use super::results::{Check, FleetResults};

/// The smallest fraction of the requests that has to be served.
const MIN_SERVED_FRACTION: f64 = 0.98;
/// The largest excess spread of the loads of a machine type: their standard deviation without the
/// part that random choices cause, as a fraction of their mean.
const MAX_EXCESS_SPREAD: f64 = 0.2;
/// The check of the excess spread ignores machine types with a lower mean load, in attempts per
/// backend.
const MIN_MEAN_LOAD: f64 = 1.0;

/// Runs all checks on the results of a run.
pub fn checks(results: &FleetResults) -> Vec<Check> {
    vec![
        Check::at_most(
            "requests without exactly one outcome",
            miscounted_requests(results) as f64,
            0.0,
        ),
        Check::at_least(
            "fraction of requests that were served",
            results.served_fraction(),
            MIN_SERVED_FRACTION,
        ),
        Check::at_most(
            "attempts on unavailable backends later than 0.5 s after notification",
            results.late_attempts.after_notification as f64,
            0.0,
        ),
        Check::at_most(
            "attempts on unavailable backends later than 0.5 s after the notification deadline",
            results.late_attempts.after_deadline as f64,
            0.0,
        ),
        Check::at_most(
            "notifications later than the deadline of 6 s",
            results.discovery.propagation.after_deadline as f64,
            0.0,
        ),
        Check::at_most(
            "attempts on backends in slow start beyond their bound",
            results.cold_starts.attempts_over_bound as f64,
            0.0,
        ),
        Check::at_most(
            "excess spread of load within a machine type",
            largest_excess_spread(results),
            MAX_EXCESS_SPREAD,
        ),
    ]
}

/// The difference between the number of requests that arrived and the number of those that ended or
/// are still open.
fn miscounted_requests(results: &FleetResults) -> u64 {
    let counts = &results.requests;
    let ended =
        counts.served + counts.rejected + counts.failed + counts.unanswered + counts.interrupted;
    counts.arrived.abs_diff(ended + results.open_at_end)
}

/// The largest excess spread of all machine types with at least [`MIN_MEAN_LOAD`].
fn largest_excess_spread(results: &FleetResults) -> f64 {
    let machine_types = results.load.machine_types.iter();
    machine_types
        .filter(|load| load.mean >= MIN_MEAN_LOAD)
        .map(|load| load.excess_spread)
        .fold(0.0, f64::max)
}
