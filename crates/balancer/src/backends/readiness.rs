//! Readiness: how much of its capacity a backend can be given, from 0 to 1, by its health, its slow
//! start and its reported load.

use super::warmup::warmup_fraction;
use super::Backend;
use crate::estimation::EPSILON;
use crate::peers::TARGET_CONCURRENCY;
use crate::{Config, Endpoint, Time};

/// Fraction of the configured slow start that a backend likely needs: the configured time is the
/// longest of all machine types.
const LIKELY_SLOW_START: f64 = 0.7;

/// The readiness of a backend. `idle_weight` is the weight of an idle backend of its machine type;
/// in a panic ejected backends are used as well.
pub(super) fn readiness(
    now: Time,
    config: &Config,
    backend: &Backend,
    idle_weight: f64,
    is_panic: bool,
) -> f64 {
    let endpoint = backend.endpoint();
    let warmup = warmup_fraction(now, config, endpoint, LIKELY_SLOW_START);
    health_factor(backend, is_panic) * warmup * load_factor(config, endpoint, idle_weight)
}

/// The factor that follows from the endpoint list and from outlier detection.
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

/// Where the list's weights are live, the fraction of its even share that a loaded backend keeps.
/// It keeps all of it up to half of the target concurrency and little beyond that, so that
/// overloaded, slowed or unresponsive backends recover. Backends with less load gain nothing: all
/// proxies see the same late weights and would all turn to the least loaded one.
fn load_factor(config: &Config, endpoint: &Endpoint, idle_weight: f64) -> f64 {
    if !config.live_weights {
        return 1.0;
    }
    let idle_part = endpoint.weight / idle_weight.max(EPSILON);
    let factor = idle_part * (1.0 + TARGET_CONCURRENCY / 2.0);
    factor.clamp(0.0, 1.0).powi(2)
}
