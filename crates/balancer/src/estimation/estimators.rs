//! Running estimates of means, rates and fractions.

use crate::Time;

/// Samples that a running mean or fraction covers: its error is then about a tenth of the samples'
/// spread.
pub(crate) const SAMPLE_MEMORY: f64 = 100.0;
/// Time that a rate estimate covers, s: some hundred arrivals, yet short beside a slow start or a
/// failure.
pub(crate) const RATE_MEMORY: f64 = 2.0;
/// A rate is known once [`RATE_MEMORY`] divided by this has been observed.
const MEMORY_PER_MIN_OBSERVED: f64 = 20.0;
/// Time that a time-weighted mean covers, s: some tens of requests, yet shorter than it takes to
/// overload a backend.
const LEVEL_MEMORY: f64 = 1.0;

/// Smallest divisor: keeps quotients of estimates finite.
pub(crate) const EPSILON: f64 = 1e-9;

/// A mean over about the last [`SAMPLE_MEMORY`] samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningMean {
    pub value: f64,
    pub count: f64,
}

impl RunningMean {
    pub fn add(&mut self, sample: f64) {
        self.count = (self.count + 1.0).min(SAMPLE_MEMORY);
        self.value += (sample - self.value) / self.count;
    }

    /// `None` until the first sample.
    pub fn get(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value)
    }
}

/// Updates the fraction of about the last [`SAMPLE_MEMORY`] samples that were hits.
pub(crate) fn update_fraction(fraction: &mut f64, hit: bool) {
    *fraction += (f64::from(hit) - *fraction) / SAMPLE_MEMORY;
}

/// Events per second over about the last [`RATE_MEMORY`] seconds, without bias from the start on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateEstimator {
    /// Events counted, fading with time.
    events: f64,
    /// Seconds observed, fading with time.
    observed: f64,
    updated_at: Option<Time>,
}

impl RateEstimator {
    /// Counts `events` at `now`; zero events just let time pass.
    pub fn add(&mut self, now: Time, events: f64) {
        let elapsed = self.updated_at.map_or(0.0, |at| (now - at).secs());
        let fade = (-elapsed / RATE_MEMORY).exp();
        self.events = self.events * fade + events;
        self.observed = self.observed * fade + (1.0 - fade) * RATE_MEMORY;
        self.updated_at = Some(now);
    }

    /// `None` until a twentieth of the memory has passed.
    pub fn per_s(&self) -> Option<f64> {
        (self.observed > RATE_MEMORY / MEMORY_PER_MIN_OBSERVED).then(|| self.events / self.observed)
    }
}

/// The mean of a count over about the last second, weighted by time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TimeWeightedMean {
    pub value: f64,
    updated_at: Time,
}

impl TimeWeightedMean {
    /// Tells that the count has been `count` from the last update until `now`.
    pub fn advance(&mut self, now: Time, count: f64) {
        let fade = (-(now - self.updated_at).secs() / LEVEL_MEMORY).exp();
        self.value = self.value * fade + count * (1.0 - fade);
        self.updated_at = now;
    }
}
