//! Warm-up: the capacity of a backend in slow start, computed from the time since its process
//! started. How much work the proxies may send to it meanwhile is computed in
//! `routing/slow_start_quotas.rs`.

use crate::{Config, Endpoint, Time};

/// Lower bound of the slow-start duration, in seconds. It avoids a division by zero.
const MIN_DURATION_SECS: f64 = 1e-6;

/// Returns the fraction of its full capacity that a backend has at `now`, assuming that it needs
/// `duration_fraction` of the configured slow-start duration to warm up.
///
/// The fraction rises linearly from [`Config::slow_start_floor`] to 1. It is 1 if the start of the
/// process is unknown, because such a process started long ago.
pub(crate) fn warmup_fraction(
    now: Time,
    config: &Config,
    endpoint: &Endpoint,
    duration_fraction: f64,
) -> f64 {
    let duration = config.slow_start_duration.secs() * duration_fraction;
    let progress = match endpoint.started_at {
        Some(started_at) => (now - started_at).secs() / duration.max(MIN_DURATION_SECS),
        None => 1.0,
    };
    let floor = config.slow_start_floor;
    floor + (1.0 - floor) * progress.min(1.0)
}
