//! Slow-start quotas: a backend that has just started fails under too much work, and the proxies,
//! which do not communicate, must keep to its limit together.

use crate::backends::{warmup_fraction, Backend, MachineType};
use crate::estimation::{ASSUMED_RATE, EPSILON};
use crate::peers::Peers;
use crate::{BackendId, Config, Micros, Time};

/// Fraction of the overload limit that proxies divide: the rest is for heavy work and errors of the
/// estimate.
const DIVIDED_FRACTION: f64 = 0.8;
/// Fraction of its quota that a proxy plans to use: a quota is used up completely only if a request
/// waits for it at every moment.
const MAX_PLANNED_USE: f64 = 0.65;
/// Speed of a backend of an unknown machine type, as a fraction of an even share of the traffic:
/// the rate may be that of a burst.
const UNKNOWN_SPEED: f64 = 0.5;
/// Fraction of a capacity that is divided evenly; the rest follows the factors of the zones.
const EVEN_FRACTION: f64 = 0.5;
/// The golden ratio as a fraction of 2^64.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
/// The square root of two as a fraction of 2^64.
const ROOT_OF_TWO: u64 = 0x6a09_e667_f3bc_c909;
/// Low bits of a mixed number that a fraction of 53 bits has no room for.
const SURPLUS_BITS: u32 = 11;
/// Number of values that a fraction of 53 bits can have.
const FRACTION_STEPS: f64 = (1u64 << 53) as f64;

/// What this proxy may send to a backend in slow start.
pub(crate) struct SlowStartQuota {
    /// Work in any overload window, in multiples of a mean request; infinite after slow start.
    pub work: f64,
    /// Fraction of the fleet's traffic that the quotas of all proxies let the backend take.
    pub planned_share: f64,
    /// Fraction of this proxy's traffic with which it picks the backend. Proxies with a quota pick
    /// it more often than the planned share, because others have none.
    pub local_share: f64,
}

/// Inputs of the slow-start quotas that are the same for all backends.
pub(crate) struct SlowStartPlan<'a> {
    /// The time of the computation.
    pub now: Time,
    /// The balancer's configuration.
    pub config: &'a Config,
    /// The proxies that share each backend.
    pub peers: Peers,
    /// This proxy's number among them.
    pub replica_index: u64,
    /// Number of backends that this proxy uses, with removed ones that have attempts in flight.
    pub backend_count: usize,
    /// Requests per second that this proxy admits, if known.
    pub own_rate: Option<f64>,
    /// Fraction of an overload window that this proxy has been running. A proxy does not know what
    /// it sent before a restart, so its quotas grow over one window.
    pub window_fraction: f64,
}

impl SlowStartPlan<'_> {
    /// The quota of a backend. `fair_share` is the fraction of the traffic that it would get
    /// without a quota, `zone_factor` the factor on the shares of its zone.
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
        let mean_part =
            limit * DIVIDED_FRACTION / self.peers.per_backend * half_by_zone(zone_factor);
        self.divide(mean_part, self.rank(id), fair_share)
    }

    /// Work that all proxies together may send to a backend in an overload window; infinite after
    /// slow start.
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

    /// The speed of a backend of a machine type that has served nothing yet, requests per second.
    fn unknown_speed(&self) -> f64 {
        let fleet_rate = self.own_rate.unwrap_or(ASSUMED_RATE) * self.peers.per_backend;
        fleet_rate / self.backend_count as f64 * UNKNOWN_SPEED
    }

    /// This proxy's quota if the mean over all proxies is `mean_part`, in multiples of a mean
    /// request.
    ///
    /// The mean is mostly below one request. Rounded by rank, the quota is one request for some
    /// proxies and none for others. So all of them together keep to the limit whatever comes, even
    /// at an unknown rate and with retries. Those that have a quota pick the backend that much
    /// more.
    fn divide(&self, mean_part: f64, rank: f64, fair_share: f64) -> SlowStartQuota {
        let requests_per_window = self.requests_per_window();
        let usable_share = MAX_PLANNED_USE * mean_part / requests_per_window.max(EPSILON);
        let planned_share = fair_share.min(usable_share);
        let work = (mean_part * self.window_fraction + rank).floor();
        // One request uses a small quota up, which closes the backend until the window is over.
        // Larger quotas last.
        let used_fraction = planned_share * requests_per_window / mean_part.max(EPSILON);
        let closed_fraction = used_fraction * (1.0 - mean_part).max(0.0);
        let local_share = if work > 0.0 {
            planned_share * work / mean_part / (1.0 - closed_fraction)
        } else {
            0.0
        };
        SlowStartQuota {
            work,
            planned_share,
            local_share,
        }
    }

    /// Requests that come to this proxy in an overload window.
    fn requests_per_window(&self) -> f64 {
        self.own_rate.unwrap_or(0.0) * self.config.overload_window.secs()
    }

    /// This proxy's rank for a backend among the proxies that share it, from 0 to 1. Multiples of
    /// irrational numbers spread evenly over all proxies, over those of one zone or release, and
    /// over the backends of one proxy.
    fn rank(&self, id: BackendId) -> f64 {
        let by_replica = self.replica_index.wrapping_mul(GOLDEN_RATIO);
        let by_backend = id.0.wrapping_mul(ROOT_OF_TWO);
        let mixed = by_replica.wrapping_add(by_backend);
        (mixed >> SURPLUS_BITS) as f64 / FRACTION_STEPS
    }
}

/// The factor on a capacity of which half goes by the zone's factor and half evenly.
pub(super) fn half_by_zone(zone_factor: f64) -> f64 {
    EVEN_FRACTION + (1.0 - EVEN_FRACTION) * zone_factor
}

#[cfg(test)]
mod tests;
