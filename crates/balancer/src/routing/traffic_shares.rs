//! The regular computation of the shares: each backend's part of this proxy's traffic and its
//! limits.

use super::slow_start_quotas::{half_by_zone, SlowStartPlan};
use super::zone_affinity::ZoneFactors;
use crate::backends::{Allocation, Backend, MachineType};
use crate::peers::Peers;
use crate::random::Rng;
use crate::subset::Replica;
use crate::{BackendId, Config, Micros, Time};

/// Seconds after which the rounding of the concurrency limits moves on to the next proxy: much
/// longer than a request takes.
const ROTATION_PERIOD: f64 = 5.0;
/// Share of a backend by readiness alone: it takes the overflow where all that have a share are
/// full.
const OVERFLOW_SHARE: f64 = 1e-6;
/// A proxy's rounding lies in the middle of its turn's interval.
const MIDDLE_OF_TURN: f64 = 0.5;
/// Smallest concurrency limit of a backend.
const MIN_CONCURRENCY_LIMIT: f64 = 1.0;

/// When the shares are next computed, and the fraction of the traffic that they can place.
///
/// It owns both, and the time of the proxy's first event, from which slow-start quotas grow. The
/// shares themselves are kept with the backends.
pub(crate) struct ShareSchedule {
    /// Shortest time between two regular computations. One is made at the first event after it; a
    /// change of the endpoint list causes another at once.
    interval: Micros,
    /// When they were last computed.
    computed_at: Time,
    /// Fraction of the traffic that the backends may be given.
    placeable_fraction: f64,
    /// When this proxy's first event came.
    started_at: Option<Time>,
}

impl ShareSchedule {
    /// Shares that were never computed.
    pub fn new(config: &Config) -> ShareSchedule {
        // No response is known to be late before a latency objective is over: estimates change no
        // faster.
        let objectives = config.classes.iter().map(|class| class.latency_objective);
        ShareSchedule {
            interval: objectives.min().unwrap_or_default(),
            computed_at: Time(0),
            placeable_fraction: 1.0,
            started_at: None,
        }
    }

    /// Records an event: the first one is this proxy's start.
    pub fn record_event(&mut self, now: Time) {
        self.started_at.get_or_insert(now);
    }

    /// Shortest time between two regular computations: the shortest latency objective.
    pub fn interval(&self) -> Micros {
        self.interval
    }

    /// Whether the shares are to be computed again.
    pub fn are_due(&self, now: Time) -> bool {
        now - self.computed_at >= self.interval
    }

    /// Begins a computation; returns the time since the last one, s. Before the first one, that is
    /// the time since the origin of the host's clock.
    pub fn begin_computation(&mut self, now: Time) -> f64 {
        let elapsed = now - self.computed_at;
        self.computed_at = now;
        elapsed.secs()
    }

    /// Ends a computation with the fraction of the traffic that the backends may be given.
    pub fn end_computation(&mut self, placeable_fraction: f64) {
        self.placeable_fraction = placeable_fraction;
    }

    /// Whether an admitted request can be placed. Where backends in slow start are held to less
    /// than their shares, no other backend can take the rest; chance decides whose requests that
    /// is. If nothing can be placed at all, requests wait in the queue instead.
    pub fn can_place(&self, rng: &mut Rng) -> bool {
        self.placeable_fraction <= 0.0 || rng.unit() <= self.placeable_fraction
    }

    /// The fraction of an overload window that this proxy has been running.
    pub fn window_fraction(&self, now: Time, window: Micros) -> f64 {
        match self.started_at {
            Some(started_at) => ((now - started_at).secs() / window.secs()).min(1.0),
            None => 0.0,
        }
    }
}

/// Inputs of the allocations that are the same for all backends.
pub(crate) struct SharePlan<'a> {
    /// The time of the computation.
    pub now: Time,
    /// The proxies that share each backend.
    pub peers: Peers,
    /// This proxy's place among them.
    pub replica: Replica,
    /// The factors on the shares of each zone.
    pub zone_factors: ZoneFactors,
    /// The quotas of backends in slow start.
    pub slow_start: SlowStartPlan<'a>,
}

impl SharePlan<'_> {
    /// A backend's part of this proxy's traffic and its limits: its machine type's share by
    /// readiness and zone.
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

    /// Attempts of this proxy that a backend may have in flight. Half of the capacity goes by the
    /// zone's factor, half evenly. With many proxies, the part of each is below one attempt. Taking
    /// turns keeps the sum at the target, where one attempt each would overload all backends.
    fn concurrency_limit(&self, id: BackendId, readiness: f64, zone_factor: f64) -> f64 {
        let own_part = self.peers.own_concurrency(readiness);
        let part = own_part * half_by_zone(zone_factor);
        let limit = (part + self.rounding(id)).floor();
        limit.max(MIN_CONCURRENCY_LIMIT)
    }

    /// What is added before a backend's limit is rounded down, from 0 to 1: over all proxies it is
    /// evenly spread, and it passes from proxy to proxy with time.
    fn rounding(&self, id: BackendId) -> f64 {
        let Replica { index, count } = self.replica;
        let rotation = self.now.0 / Micros::from_secs(ROTATION_PERIOD).0;
        let turn = id.0.wrapping_add(index).wrapping_add(rotation) % count;
        (turn as f64 + MIDDLE_OF_TURN) / count as f64
    }
}
