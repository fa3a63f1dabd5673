//! Slow start: a backend that has just started fails under too much work, and the proxies share no
//! state.

use crate::{estimators::EPSILON, halb::TARGET_CONCURRENCY, records::*, *};

/// Fraction of the overload limit that proxies divide: the rest is for heavy work and errors of the
/// estimate.
const LIMIT_MARGIN: f64 = 0.8;
/// Fraction of its quota that a proxy plans to use: only unceasing demand would use up the last of
/// it.
const MAX_PLANNED_USE: f64 = 0.65;
/// Speed of a backend of an unknown kind, as a fraction of an even share of the traffic: it may be
/// a burst.
const UNKNOWN_SPEED: f64 = 0.5;
/// The golden ratio and the square root of two, as fractions of 2^64.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
const ROOT_OF_TWO: u64 = 0x6a09_e667_f3bc_c909;

/// The fraction of its capacity that a backend has if it needs `fraction` of the longest slow
/// start.
pub(crate) fn warmup_fraction(
    config: &Config,
    now: Time,
    endpoint: &Endpoint,
    fraction: f64,
) -> f64 {
    let duration = (config.slow_start_duration.secs() * fraction).max(1e-6);
    let age = endpoint
        .started_at
        .map_or(f64::MAX, |started_at| (now - started_at).secs() / duration);
    config.slow_start_floor + (1.0 - config.slow_start_floor) * age.min(1.0)
}

impl Balancer {
    /// Work that all proxies together may send to a backend in an overload window; infinite after
    /// slow start.
    pub(crate) fn overload_limit(&self, now: Time, backend: &BackendRecord) -> f64 {
        let warmup = warmup_fraction(&self.config, now, &backend.endpoint, 1.0);
        if warmup >= 1.0 || self.config.overload_window == Micros(0) {
            return f64::INFINITY;
        }
        // Beside few ready backends the flow overshoots; one with at most the target in flight is
        // no faster.
        let speed_at_target = |latency: f64| (1.0 + TARGET_CONCURRENCY) / latency;
        let kind = self.kinds.get(&backend.endpoint.machine_type);
        let speed =
            kind.and_then(|kind| Some(kind.proven_speed.min(speed_at_target(kind.latency.get()?))));
        let speed = speed.unwrap_or_else(|| {
            let rate = self.admitted_rate.per_s().unwrap_or(1.0) * self.proxies_per_backend();
            rate / self.backends.len() as f64 * UNKNOWN_SPEED
        });
        self.config.overload_multiple * warmup * speed * self.config.overload_window.secs()
    }

    /// Whether a backend's quota allows so much work; one request heavier than the quota may have
    /// all of it.
    pub(crate) fn within_quota(&self, now: Time, backend: &BackendRecord, work: f64) -> bool {
        if backend.slow_start_quota == f64::INFINITY {
            return true;
        }
        let used = backend.work_since(now, self.config.overload_window);
        backend.slow_start_quota - used >= work || (used == 0.0 && backend.slow_start_quota >= 1.0)
    }

    pub(crate) fn quota_terms(&self, now: Time) -> QuotaTerms {
        let window = self.config.overload_window.secs();
        // What it sent before a restart a proxy does not know: its quotas grow over one window.
        let window_fraction = self
            .first_event_at
            .map_or(0.0, |at| ((now - at).secs() / window).min(1.0));
        let requests_per_window = self.admitted_rate.per_s().unwrap_or(0.0) * window;
        QuotaTerms {
            proxies_per_backend: self.proxies_per_backend(),
            window_fraction,
            requests_per_window,
        }
    }
}

impl QuotaTerms {
    /// The quota of a backend that all proxies together may send `limit` work in a window, and
    /// whose fraction of the traffic would be `fair_share`. A proxy's part of the limit is mostly
    /// below one request. Rounded by rank it is one for some proxies and none for others: so all
    /// keep to the limit whatever comes, even at an unknown rate and with retries, and those that
    /// have one draw the backend that much more.
    pub fn quota(&self, rank: f64, limit: f64, fair_share: f64, bias: f64) -> Quota {
        if limit == f64::INFINITY {
            return Quota {
                work: limit,
                planned: fair_share,
                share: fair_share,
            };
        }
        // As with the concurrency limits, half goes by the zone bias, half evenly.
        let mean = limit * LIMIT_MARGIN / self.proxies_per_backend * (0.5 + 0.5 * bias);
        let planned =
            fair_share.min(MAX_PLANNED_USE * mean / self.requests_per_window.max(EPSILON));
        let work = (mean * self.window_fraction + rank).floor();
        // One request uses a small quota up, which closes the backend until the window is over;
        // others last.
        let closed_fraction =
            (planned * self.requests_per_window / mean.max(EPSILON)) * (1.0 - mean).max(0.0);
        let share = if work > 0.0 {
            planned * work / mean / (1.0 - closed_fraction)
        } else {
            0.0
        };
        Quota {
            work,
            planned,
            share,
        }
    }
}

/// This proxy's rank for a backend among the proxies that share it, from 0 to 1, by its replica
/// index. Multiples of irrational numbers spread evenly over all, one zone's or release's, and a
/// proxy's backends.
pub(crate) fn quota_rank(replica_index: u64, id: BackendId) -> f64 {
    let mixed = replica_index
        .wrapping_mul(GOLDEN_RATIO)
        .wrapping_add(id.0.wrapping_mul(ROOT_OF_TWO));
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}
