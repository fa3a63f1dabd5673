//! Readiness: the fraction of its capacity, from 0 to 1, that a backend can be given. It is the
//! product of three factors: health, slow start and reported load.

use super::warmup::warmup_fraction;
use super::Backend;
use crate::estimation::EPSILON;
use crate::peers::TARGET_CONCURRENCY;
use crate::{Config, Endpoint, Time};

/// Fraction of the configured slow-start duration that a backend probably needs. The configured
/// duration is the longest of all machine types.
const LIKELY_SLOW_START_FRACTION: f64 = 0.7;

/// Returns the readiness of a backend. `idle_weight` is the weight that the endpoint list gives an
/// idle backend of the same machine type. In panic mode (`is_panic`), ejected backends are used as
/// well.
pub(super) fn readiness(
    now: Time,
    config: &Config,
    backend: &Backend,
    idle_weight: f64,
    is_panic: bool,
) -> f64 {
    let endpoint = backend.endpoint();
    let warmup = warmup_fraction(now, config, endpoint, LIKELY_SLOW_START_FRACTION);
    health_factor(backend, is_panic) * warmup * load_factor(config, endpoint, idle_weight)
}

/// Returns the factor that follows from the backend's state in the endpoint list and from outlier
/// detection.
fn health_factor(backend: &Backend, is_panic: bool) -> f64 {
    let health = backend.health();
    if !backend.is_listed_as_ready() {
        0.0
    } else if health.is_ejected() {
        f64::from(is_panic)
    } else {
        1.0 - health.error_rate()
    }
}

/// Returns the fraction of its even share that a backend keeps under its reported load. It is 1
/// unless the weights of the endpoint list are load reports ([`Config::live_weights`]).
///
/// A backend keeps its full share up to a load of half of [`TARGET_CONCURRENCY`] per core, and
/// little of it at a much higher load, so that overloaded, slowed or unresponsive backends recover.
/// A backend with less load gets no more than its even share: all proxies see the same delayed
/// weights, so all of them would shift their traffic to the least loaded backend at the same time.
fn load_factor(config: &Config, endpoint: &Endpoint, idle_weight: f64) -> f64 {
    if !config.live_weights {
        return 1.0;
    }
    // 1 / (1 + requests in flight per core)
    let relative_weight = endpoint.weight / idle_weight.max(EPSILON);
    let factor = relative_weight * (1.0 + TARGET_CONCURRENCY / 2.0);
    factor.clamp(0.0, 1.0).powi(2)
}
