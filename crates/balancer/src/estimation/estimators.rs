//! Running estimates of means, fractions and rates, which weight older observations exponentially
//! less.

use crate::Time;

/// Number of samples that a running mean or fraction covers. The error of such an estimate is about
/// a tenth of the standard deviation of the samples.
pub(crate) const SAMPLE_MEMORY: f64 = 100.0;
/// Time that a rate estimate covers, in seconds. It is long enough for about a hundred arrivals,
/// and short compared with a slow start or a failure.
pub(crate) const RATE_MEMORY_SECS: f64 = 2.0;
/// A rate is known once more than this time, 0.1 s, has been observed.
const MIN_OBSERVED_SECS: f64 = RATE_MEMORY_SECS / 20.0;
/// Time that a time-weighted mean covers, in seconds. It is long enough for several tens of
/// requests, and shorter than the time in which a backend becomes overloaded.
const TIME_WEIGHTED_MEMORY_SECS: f64 = 1.0;

/// Lower bound of a divisor, which keeps quotients of estimates finite.
pub(crate) const EPSILON: f64 = 1e-9;

/// A mean over about the last [`SAMPLE_MEMORY`] samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningMean {
    value: f64,
    /// Number of samples, at most [`SAMPLE_MEMORY`].
    count: f64,
}

impl RunningMean {
    /// Adds a sample. The value is the plain mean of the first [`SAMPLE_MEMORY`] samples, and an
    /// exponentially weighted mean from then on.
    pub fn add(&mut self, sample: f64) {
        self.count = (self.count + 1.0).min(SAMPLE_MEMORY);
        self.value += (sample - self.value) / self.count;
    }

    /// The mean; 0 before the first sample.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Number of samples in the mean, at most [`SAMPLE_MEMORY`].
    pub fn count(&self) -> f64 {
        self.count
    }

    /// The mean; `None` before the first sample.
    pub fn get(&self) -> Option<f64> {
        (self.count() > 0.0).then_some(self.value())
    }
}

/// Adds a sample to the fraction of hits among about the last [`SAMPLE_MEMORY`] samples.
pub(crate) fn update_fraction(fraction: &mut f64, hit: bool) {
    *fraction += (f64::from(hit) - *fraction) / SAMPLE_MEMORY;
}

/// Events per second over about the last [`RATE_MEMORY_SECS`].
///
/// Events and observed time are weighted in the same way, so the estimate is unbiased even while
/// less than [`RATE_MEMORY_SECS`] has been observed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateEstimator {
    /// Number of events; older events count less.
    events: f64,
    /// Number of seconds observed; older seconds count less.
    observed_secs: f64,
    updated_at: Option<Time>,
}

impl RateEstimator {
    /// Counts `events` at `now`. With zero events, only the time that has passed is taken into
    /// account.
    pub fn add(&mut self, now: Time, events: f64) {
        let elapsed_secs = match self.updated_at {
            Some(updated_at) => (now - updated_at).secs(),
            None => 0.0,
        };
        let kept_fraction = (-elapsed_secs / RATE_MEMORY_SECS).exp();
        let newly_observed_secs = (1.0 - kept_fraction) * RATE_MEMORY_SECS;
        self.events = self.events * kept_fraction + events;
        self.observed_secs = self.observed_secs * kept_fraction + newly_observed_secs;
        self.updated_at = Some(now);
    }

    /// Events per second; `None` until more than [`MIN_OBSERVED_SECS`] have been observed.
    pub fn per_s(&self) -> Option<f64> {
        if self.observed_secs <= MIN_OBSERVED_SECS {
            return None;
        }
        Some(self.events / self.observed_secs)
    }
}

/// The mean of a count over about the last [`TIME_WEIGHTED_MEMORY_SECS`], weighted by time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TimeWeightedMean {
    value: f64,
    updated_at: Time,
}

impl TimeWeightedMean {
    /// Records that the count has been `count` from the last update until `now`.
    pub fn advance(&mut self, now: Time, count: f64) {
        let elapsed_secs = (now - self.updated_at).secs();
        let kept_fraction = (-elapsed_secs / TIME_WEIGHTED_MEMORY_SECS).exp();
        self.value = self.value() * kept_fraction + count * (1.0 - kept_fraction);
        self.updated_at = now;
    }

    /// The mean; 0 before the first update.
    pub fn value(&self) -> f64 {
        self.value
    }
}

#[cfg(test)]
mod tests;
