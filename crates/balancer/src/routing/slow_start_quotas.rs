//! Slow-start quotas: how much work this proxy may send to a backend in slow start.
//!
//! A backend that has just started fails if it receives too much work. The proxies do not
//! communicate, so each one computes a quota such that the quotas of all proxies together stay
//! within the backend's overload limit.

use crate::backends::{warmup_fraction, Backend, MachineType};
use crate::estimation::{ASSUMED_RATE, EPSILON};
use crate::peers::Peers;
use crate::{BackendId, Config, Micros, Time};

/// Fraction of the overload limit that is divided among the proxies. The rest is a reserve for
/// requests with much work and for errors of the speed estimate.
const DIVIDED_LIMIT_FRACTION: f64 = 0.8;
/// Greatest fraction of its quota that a proxy plans to use. To use all of it, a request would have
/// to be waiting whenever the quota allows one.
const MAX_PLANNED_QUOTA_USE: f64 = 0.65;
/// Assumed speed of a backend whose machine type has served nothing yet, as a fraction of an even
/// share of the traffic of all proxies. It is below 1 because the measured rate may be that of a
/// burst.
const UNKNOWN_SPEED_FRACTION: f64 = 0.5;
/// Fraction of a backend's capacity that is divided evenly among the proxies. The rest is divided
/// in proportion to the zone factors.
const EVENLY_DIVIDED_FRACTION: f64 = 0.5;
/// The fractional part of the golden ratio, multiplied by 2^64.
const GOLDEN_RATIO_BITS: u64 = 0x9e37_79b9_7f4a_7c15;
/// The fractional part of the square root of two, multiplied by 2^64.
const SQRT_2_BITS: u64 = 0x6a09_e667_f3bc_c909;
/// Low bits of a 64-bit number that do not fit into the 53-bit significand of an `f64`.
const DISCARDED_BITS: u32 = 11;
/// Number of values that 53 bits can represent.
const FRACTION_STEPS: f64 = (1u64 << 53) as f64;

/// What this proxy may send to a backend in slow start.
pub(crate) struct SlowStartQuota {
    /// Most work in any overload window, in multiples of a mean request; infinite after slow start.
    pub work: f64,
    /// Fraction of the traffic of all proxies that the backend gets within their quotas.
    pub planned_share: f64,
    /// Fraction of this proxy's traffic that the backend gets. If only some proxies have a quota,
    /// their local share exceeds the planned share to make up for the proxies without one.
    pub local_share: f64,
}

/// The inputs of the slow-start quotas that are the same for all backends.
pub(crate) struct SlowStartPlan<'a> {
    /// The time of the computation.
    pub now: Time,
    /// The balancer's configuration.
    pub config: &'a Config,
    /// The number of proxies that share each backend.
    pub peers: Peers,
    /// This proxy's index among the proxies that use the same backends, from 0.
    pub replica_index: u64,
    /// Number of backends that this proxy uses, including removed backends with attempts in
    /// flight.
    pub backend_count: usize,
    /// Requests per second that this proxy admits, if known.
    pub own_rate: Option<f64>,
    /// Time that this proxy has been running, as a fraction of the overload window, at most 1. A
    /// restarted proxy does not know what it sent before, so its quotas grow over one window.
    pub window_fraction: f64,
}

impl SlowStartPlan<'_> {
    /// The quota of a backend. `fair_share` is the fraction of the traffic that the backend would
    /// get without a quota. `zone_factor` is the factor of its zone from
    /// [`ZoneFactors`](super::ZoneFactors).
    pub fn quota(
        &self,
        id: BackendId,
        backend: &Backend,
        machine_type: &MachineType,
        fair_share: f64,
        zone_factor: f64,
    ) -> SlowStartQuota {
        let limit = self.overload_limit(backend, machine_type);
        if limit == f64::INFINITY {
            return SlowStartQuota {
                work: limit,
                planned_share: fair_share,
                local_share: fair_share,
            };
        }
        let mean_quota = limit * DIVIDED_LIMIT_FRACTION / self.peers.per_backend
            * damped_zone_factor(zone_factor);
        self.quota_by_rank(mean_quota, self.rank(id), fair_share)
    }

    /// The work, in multiples of a mean request, that all proxies together may send to a backend in
    /// an overload window. Infinite after slow start, or if no overload window is configured.
    fn overload_limit(&self, backend: &Backend, machine_type: &MachineType) -> f64 {
        let window = self.config.overload_window;
        let warmup = warmup_fraction(self.now, self.config, backend.endpoint(), 1.0);
        if warmup >= 1.0 || window == Micros(0) {
            return f64::INFINITY;
        }
        let speed = match machine_type.speed().safe_speed() {
            Some(speed) => speed,
            None => self.unknown_speed(),
        };
        self.config.overload_multiple * warmup * speed * window.secs()
    }

    /// The assumed speed of a backend whose machine type has served nothing yet, in requests per
    /// second.
    fn unknown_speed(&self) -> f64 {
        let fleet_rate = self.own_rate.unwrap_or(ASSUMED_RATE) * self.peers.per_backend;
        fleet_rate / self.backend_count as f64 * UNKNOWN_SPEED_FRACTION
    }

    /// This proxy's quota if the mean over all proxies is `mean_quota`, in multiples of a mean
    /// request.
    ///
    /// The mean is usually below one request. It is rounded up or down by the proxy's rank, so that
    /// some proxies have a quota of one request and the others have none. The sum over all proxies
    /// then stays within the limit whatever traffic arrives, even if the rate is unknown or
    /// requests are retried. Proxies that have a quota pick the backend correspondingly more
    /// often.
    fn quota_by_rank(&self, mean_quota: f64, rank: f64, fair_share: f64) -> SlowStartQuota {
        let requests_per_window = self.requests_per_window();
        let max_planned_share =
            MAX_PLANNED_QUOTA_USE * mean_quota / requests_per_window.max(EPSILON);
        let planned_share = fair_share.min(max_planned_share);
        let work = (mean_quota * self.window_fraction + rank).floor();
        // One request uses up a small quota, and the backend is then unavailable to this proxy for
        // the rest of the window. The local share makes up for that time. A mean quota of at least
        // one request needs no such correction.
        let used_fraction = planned_share * requests_per_window / mean_quota.max(EPSILON);
        let unavailable_fraction = used_fraction * (1.0 - mean_quota).max(0.0);
        let local_share = if work > 0.0 {
            planned_share * work / mean_quota / (1.0 - unavailable_fraction)
        } else {
            0.0
        };
        SlowStartQuota {
            work,
            planned_share,
            local_share,
        }
    }

    /// Requests that this proxy admits in an overload window; 0 if the rate is unknown.
    fn requests_per_window(&self) -> f64 {
        self.own_rate.unwrap_or(0.0) * self.config.overload_window.secs()
    }

    /// This proxy's rank for a backend among the proxies that share it, from 0 to 1.
    ///
    /// The fractional parts of the multiples of an irrational number are evenly distributed. So the
    /// ranks are evenly distributed over all proxies, over the proxies of one zone or one release,
    /// and over the backends of one proxy.
    fn rank(&self, id: BackendId) -> f64 {
        let by_replica = self.replica_index.wrapping_mul(GOLDEN_RATIO_BITS);
        let by_backend = id.0.wrapping_mul(SQRT_2_BITS);
        let mixed = by_replica.wrapping_add(by_backend);
        (mixed >> DISCARDED_BITS) as f64 / FRACTION_STEPS
    }
}

/// The factor on a proxy's part of a backend's capacity, of which half is divided by the zone
/// factors and half evenly.
pub(super) fn damped_zone_factor(zone_factor: f64) -> f64 {
    EVENLY_DIVIDED_FRACTION + (1.0 - EVENLY_DIVIDED_FRACTION) * zone_factor
}

#[cfg(test)]
mod tests;
