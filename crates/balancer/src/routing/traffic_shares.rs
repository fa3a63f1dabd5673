//! The traffic shares: when they are computed, and the share and the limits that each backend gets.

use super::slow_start_quotas::{damped_zone_factor, SlowStartPlan};
use super::zone_affinity::ZoneFactors;
use crate::backends::{Allocation, Backend, MachineType};
use crate::peers::Peers;
use crate::random::Rng;
use crate::subset::Replica;
use crate::{BackendId, Config, Micros, Time};

/// Seconds after which the rounding offsets of the concurrency limits move on to the next proxy. It
/// is much longer than a request takes.
const ROTATION_PERIOD_SECS: f64 = 5.0;
/// Local share that a fully ready backend gets in addition to its computed share. It lets backends
/// without a computed share take the overflow when all backends with a share are full.
const OVERFLOW_SHARE: f64 = 1e-6;
/// The turns divide the range from 0 to 1 into intervals of equal length. The rounding offset of a
/// proxy is the midpoint of the interval of its turn.
const TURN_MIDPOINT: f64 = 0.5;
/// Smallest concurrency limit of a backend. With a limit of 0, a proxy that is one of many could
/// not use most backends, and would reject requests while they are idle.
const MIN_CONCURRENCY_LIMIT: f64 = 1.0;

/// Decides when the shares are computed and whether an admitted request can be placed.
///
/// It owns the time of the last computation, the fraction of the traffic that the backends may be
/// given, and the time of the proxy's first event, from which slow-start quotas grow. The shares
/// themselves are stored with the backends.
pub(crate) struct ShareSchedule {
    /// Shortest time between two regular computations. The first event after it triggers one. A
    /// change of the endpoint list triggers a computation without waiting for it.
    interval: Micros,
    /// When the shares were last computed; `Time(0)` before the first computation.
    computed_at: Time,
    /// Fraction of this proxy's traffic that the backends may be given.
    placeable_fraction: f64,
    /// When this proxy handled its first event.
    started_at: Option<Time>,
}

impl ShareSchedule {
    /// Creates the schedule of shares that have not been computed yet.
    pub fn new(config: &Config) -> ShareSchedule {
        // A response is known to be late only when its latency objective is over, so the estimates
        // do not change faster than the shortest objective.
        let objectives = config.classes.iter().map(|class| class.latency_objective);
        ShareSchedule {
            interval: objectives.min().unwrap_or_default(),
            computed_at: Time(0),
            placeable_fraction: 1.0,
            started_at: None,
        }
    }

    /// Records an event. The time of the first event counts as the start of this proxy.
    pub fn record_event(&mut self, now: Time) {
        self.started_at.get_or_insert(now);
    }

    /// Shortest time between two regular computations: the shortest latency objective.
    pub fn interval(&self) -> Micros {
        self.interval
    }

    /// Whether a regular computation of the shares is due.
    pub fn are_due(&self, now: Time) -> bool {
        now - self.computed_at >= self.interval
    }

    /// Begins a computation; returns the seconds since the previous one. For the first computation
    /// these are the seconds since the origin of the host's clock.
    pub fn begin_computation(&mut self, now: Time) -> f64 {
        let elapsed = now - self.computed_at;
        self.computed_at = now;
        elapsed.secs()
    }

    /// Ends a computation that found that the backends may be given `placeable_fraction` of the
    /// traffic.
    pub fn end_computation(&mut self, placeable_fraction: f64) {
        self.placeable_fraction = placeable_fraction;
    }

    /// Whether an admitted request can be placed, decided at random with the probability
    /// `placeable_fraction`.
    ///
    /// Where quotas hold backends in slow start below their fair shares, no other backend can take
    /// the difference, so that fraction of the requests cannot be placed. If the backends may be
    /// given no traffic at all, this is true for every request, and the requests wait in the queue.
    pub fn can_place(&self, rng: &mut Rng) -> bool {
        self.placeable_fraction <= 0.0 || rng.unit() <= self.placeable_fraction
    }

    /// Time that this proxy has been running, as a fraction of the overload window, at most 1.
    pub fn window_fraction(&self, now: Time, window: Micros) -> f64 {
        match self.started_at {
            Some(started_at) => ((now - started_at).secs() / window.secs()).min(1.0),
            None => 0.0,
        }
    }
}

/// The inputs of the allocations that are the same for all backends.
pub(crate) struct SharePlan<'a> {
    /// The time of the computation.
    pub now: Time,
    /// The number of proxies that share each backend.
    pub peers: Peers,
    /// This proxy's place among the proxies that use the same backends.
    pub replica: Replica,
    /// The factors on the shares of the backends in each zone.
    pub zone_factors: ZoneFactors,
    /// The quotas of backends in slow start.
    pub slow_start: SlowStartPlan<'a>,
}

impl SharePlan<'_> {
    /// The share and the limits of a backend. Its fair share is its part of the machine type's
    /// share in proportion to its readiness, multiplied by the factor of its zone.
    pub fn allocation(
        &self,
        id: BackendId,
        backend: &Backend,
        machine_type: &MachineType,
    ) -> Allocation {
        let zone_factor = self.zone_factors.get(backend.endpoint().zone);
        let fair_share = machine_type.share_of(backend) * zone_factor;
        let slow_start = &self.slow_start;
        let quota = slow_start.quota(id, backend, machine_type, fair_share, zone_factor);
        Allocation {
            concurrency_limit: self.concurrency_limit(id, backend.readiness(), zone_factor),
            slow_start_quota: quota.work,
            local_share: quota.local_share + backend.readiness() * OVERFLOW_SHARE,
            planned_share: quota.planned_share,
        }
    }

    /// The number of attempts that this proxy may have in flight on a backend: its part of the
    /// target ([`Peers::own_concurrency`]), of which half is divided by the zone factors and half
    /// evenly.
    ///
    /// The part is a fraction, which some proxies round up and others round down. The proxies take
    /// turns, so that the sum over all proxies stays at the target; if all rounded up, the backends
    /// would be overloaded.
    ///
    /// With many proxies the part is below one attempt, and the limit is
    /// [`MIN_CONCURRENCY_LIMIT`]. One attempt of each proxy on each backend would overload all
    /// backends: [`ConcurrencyLimits`](super::ConcurrencyLimits) limits the attempts of each proxy
    /// on all backends together.
    fn concurrency_limit(&self, id: BackendId, readiness: f64, zone_factor: f64) -> f64 {
        let own_concurrency = self.peers.own_concurrency(readiness);
        let fractional_limit = own_concurrency * damped_zone_factor(zone_factor);
        let limit = (fractional_limit + self.rounding_offset(id)).floor();
        limit.max(MIN_CONCURRENCY_LIMIT)
    }

    /// The offset, from 0 to 1, that is added to a backend's limit before it is rounded down. The
    /// offsets of all proxies are evenly distributed, and they move from proxy to proxy every
    /// [`ROTATION_PERIOD_SECS`].
    fn rounding_offset(&self, id: BackendId) -> f64 {
        let Replica { index, count } = self.replica;
        let rotation = self.now.0 / Micros::from_secs(ROTATION_PERIOD_SECS).0;
        let turn = id.0.wrapping_add(index).wrapping_add(rotation) % count;
        (turn as f64 + TURN_MIDPOINT) / count as f64
    }
}
