//! Warm-up: the capacity of a backend in slow start, by the time since its start. What proxies may
//! send it in that time is computed in `routing/slow_start_quotas.rs`.

use crate::{Config, Endpoint, Time};

/// Shortest slow start that is computed with, s: it keeps the division finite.
const MIN_DURATION: f64 = 1e-6;

/// The fraction of its capacity that a backend has at `now` if it needs `duration_fraction` of the
/// configured slow start.
pub(crate) fn warmup_fraction(
    now: Time,
    config: &Config,
    endpoint: &Endpoint,
    duration_fraction: f64,
) -> f64 {
    let duration = config.slow_start_duration.secs() * duration_fraction;
    let progress = match endpoint.started_at {
        Some(started_at) => (now - started_at).secs() / duration.max(MIN_DURATION),
        None => 1.0,
    };
    let floor = config.slow_start_floor;
    floor + (1.0 - floor) * progress.min(1.0)
}
