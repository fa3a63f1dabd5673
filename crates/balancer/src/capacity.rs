//! Capacity: each backend's readiness, its share of this proxy's traffic and its limits, computed
//! regularly.

use crate::{
    estimators::EPSILON, halb::*, outlier_detection::OUTCOME_MEMORY, records::*, slow_start::*, *,
};

/// The remainders of a backend's target pass from proxy to proxy this often, s: long beside any
/// request.
const ROTATION_PERIOD: f64 = 5.0;
/// Ejected backends beyond this fraction of the fleet are used after all: then they are not at
/// fault.
const PANIC_THRESHOLD: f64 = 0.5;
/// The in-flight limit's allowance for chance, in standard deviations of a random count with its
/// mean.
const IN_FLIGHT_MARGIN: f64 = 1.5;
/// What a proxy may have in flight for longer than a moment, in multiples of its part of the
/// target. Chance gives one proxy more at times; all at once would overload every backend for long.
const SUSTAINED_FACTOR: f64 = 1.5;
/// Fraction of the slow start that a backend likely needs: the configured one bounds that of all
/// kinds.
const LIKELY_SLOW_START: f64 = 0.7;
/// Share of a backend by readiness alone: it takes the overflow where all that have a share are
/// full.
const OVERFLOW_SHARE: f64 = 1e-6;

/// Where the list's weights are live, the fraction of its even share that a loaded backend keeps:
/// all of it up to half the target, then little, so that unresponsive, overloaded or slowed ones
/// recover. Lighter ones gain nothing: all proxies see the same late weights and would chase the
/// lightest together.
fn load_factor(config: &Config, endpoint: &Endpoint, idle_weight: f64) -> f64 {
    let idle_part = endpoint.weight / idle_weight.max(EPSILON);
    let factor = if config.live_weights {
        idle_part * (1.0 + TARGET_CONCURRENCY / 2.0)
    } else {
        1.0
    };
    factor.clamp(0.0, 1.0).powi(2)
}

impl Balancer {
    /// Whether so few proxies share each backend that their concurrency limits bound its load.
    pub(crate) fn has_few_peers(&self) -> bool {
        self.proxies_per_backend() <= TARGET_CONCURRENCY
    }

    /// Computes readiness, shares and limits anew.
    pub(crate) fn solve(&mut self, now: Time) {
        let elapsed = (now - self.solved_at).secs();
        self.solved_at = now;
        self.blocked_below_weight = 0.0;
        let ready = self.update_readiness(now);
        self.idle_connections.grow(now, ready);
        self.admitted_rate.add(now, 0.0);
        let own_rate = self.admitted_rate.per_s();
        // Few proxies visit each backend many times a second, except before their traffic comes.
        let visits = own_rate.filter(|_| !self.has_few_peers());
        let interval = visits.map_or(0.0, |rate| ready as f64 / rate.max(EPSILON));
        self.visit_interval = interval.min(OUTCOME_MEMORY);
        let rate = own_rate.map(|rate| rate * self.proxies_per_backend());
        self.estimate_speeds(elapsed, rate);
        let kinds: Vec<(f64, f64)> = self
            .kinds
            .values()
            .map(|kind| (kind.readiness, kind.speed))
            .collect();
        let shares = halb_shares(&kinds, rate.filter(|_| self.overall_latency.count > 0.0));
        self.kinds
            .values_mut()
            .zip(shares)
            .for_each(|(kind, share)| kind.share = share);
        self.allot(now);
    }

    /// Updates the readiness of backends and kinds; returns how many backends are listed as ready.
    fn update_readiness(&mut self, now: Time) -> usize {
        let listed = self
            .backends
            .values()
            .filter(|backend| backend.endpoint.state == BackendState::Ready);
        let ready = listed.clone().count();
        let ejected = listed
            .filter(|backend| backend.ejected_until.is_some())
            .count();
        let panic = ejected as f64 > ready as f64 * PANIC_THRESHOLD;
        self.kinds
            .values_mut()
            .for_each(|kind| kind.readiness = 0.0);
        for backend in self.backends.values_mut() {
            if backend.ejected_until.is_some_and(|until| now >= until) {
                backend.end_ejection(); // on probation: the next failure ejects it for longer
            }
            let endpoint = &backend.endpoint;
            let kind = self.kinds.entry(endpoint.machine_type).or_default();
            kind.idle_weight = kind.idle_weight.max(endpoint.weight);
            let health = match backend.ejected_until {
                _ if endpoint.state != BackendState::Ready => 0.0,
                Some(_) => f64::from(panic),
                None => 1.0 - backend.error_rate,
            };
            let warmup = warmup_fraction(&self.config, now, endpoint, LIKELY_SLOW_START);
            backend.readiness =
                health * warmup * load_factor(&self.config, endpoint, kind.idle_weight);
            kind.readiness += backend.readiness;
        }
        ready
    }

    /// Each backend's limits and its part of this proxy's traffic: its kind's share by readiness
    /// and zone.
    fn allot(&mut self, now: Time) {
        self.update_in_flight_limits();
        let biases = self.zone_biases();
        let terms = self.quota_terms(now);
        let replica = self.subset.replica(&self.config);
        let rotation = now.0 / Micros::from_secs(ROTATION_PERIOD).0;
        let limits: Vec<f64> = self
            .backends
            .values()
            .map(|b| self.overload_limit(now, b))
            .collect();
        self.kinds
            .values_mut()
            .for_each(KindRecord::clear_local_shares);
        self.placeable_fraction = 0.0;
        for ((&id, backend), limit) in self.backends.iter_mut().zip(limits) {
            let kind = self.kinds.entry(backend.endpoint.machine_type).or_default();
            let bias = biases.get(&backend.endpoint.zone).copied().unwrap_or(1.0);
            // Half of the capacity goes by that bias, half evenly. With many proxies a part is
            // below one: taking turns keeps the sum at the target, where one each would overload
            // all backends.
            let turn = id.0.wrapping_add(replica.index).wrapping_add(rotation) % replica.count;
            let rounding = (turn as f64 + 0.5) / replica.count as f64;
            let part = TARGET_CONCURRENCY / terms.proxies_per_backend * backend.readiness;
            backend.concurrency_limit = (part * (0.5 + 0.5 * bias) + rounding).floor().max(1.0);
            let quota = terms.quota(
                quota_rank(replica.index, id),
                limit,
                kind.share_of(backend) * bias,
                bias,
            );
            backend.slow_start_quota = quota.work;
            self.placeable_fraction += quota.planned;
            backend.local_share = quota.share + backend.readiness * OVERFLOW_SHARE;
            if backend.readiness > 0.0 {
                kind.add_local_share(id, backend.local_share);
            }
        }
    }

    /// How many attempts this proxy may have in flight, for a moment and for longer.
    fn update_in_flight_limits(&mut self) {
        let readiness = self.kinds.values().map(|kind| kind.readiness).sum::<f64>();
        let part = TARGET_CONCURRENCY / self.proxies_per_backend() * readiness;
        self.in_flight_limit = part + IN_FLIGHT_MARGIN * part.sqrt() + 1.0;
        self.sustained_limit = if self.has_few_peers() {
            f64::INFINITY
        } else {
            part * SUSTAINED_FACTOR
        };
    }
}
