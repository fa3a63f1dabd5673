//! Running estimates of means, rates and fractions.

use crate::Time;

/// Samples that a running mean or fraction covers: its error is then about a tenth of the samples'
/// spread.
pub(crate) const SAMPLE_MEMORY: f64 = 100.0;
/// Time that a rate estimate covers, 2 s. It is long enough for some hundred arrivals, and short
/// compared with a slow start or a failure.
pub(crate) const RATE_MEMORY: f64 = 2.0;
/// Observed time from which a rate is known, 0.1 s.
const MIN_OBSERVED_SECS: f64 = RATE_MEMORY / 20.0;
/// Time that a time-weighted mean covers, 1 s. It is long enough for some tens of requests, and
/// shorter than the time in which a backend becomes overloaded.
const TIME_WEIGHTED_MEMORY: f64 = 1.0;

/// Smallest divisor: keeps quotients of estimates finite.
pub(crate) const EPSILON: f64 = 1e-9;

/// A mean over about the last [`SAMPLE_MEMORY`] samples.
///
/// It owns the mean and the number of samples. It takes the samples as arguments.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningMean {
    value: f64,
    count: f64,
}

impl RunningMean {
    /// Takes in a sample: the mean of all samples up to [`SAMPLE_MEMORY`], from then on an
    /// exponentially weighted mean.
    pub fn add(&mut self, sample: f64) {
        self.count = (self.count + 1.0).min(SAMPLE_MEMORY);
        self.value += (sample - self.value) / self.count;
    }

    /// The mean; 0 before the first sample.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Number of samples in the mean, [`SAMPLE_MEMORY`] at most.
    pub fn count(&self) -> f64 {
        self.count
    }

    /// The mean; `None` before the first sample.
    pub fn get(&self) -> Option<f64> {
        (self.count() > 0.0).then_some(self.value())
    }
}

/// Updates the fraction of about the last [`SAMPLE_MEMORY`] samples that were hits.
pub(crate) fn update_fraction(fraction: &mut f64, hit: bool) {
    *fraction += (f64::from(hit) - *fraction) / SAMPLE_MEMORY;
}

/// Events per second over about the last [`RATE_MEMORY`] seconds. The estimate has no bias while
/// less time than that has been observed.
///
/// It owns the counts and the time of the last update. It takes the time and the events as
/// arguments.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateEstimator {
    /// Events counted; older ones count less.
    events: f64,
    /// Seconds observed; older ones count less.
    observed_secs: f64,
    updated_at: Option<Time>,
}

impl RateEstimator {
    /// Counts `events` at `now`; zero events just let time pass.
    pub fn add(&mut self, now: Time, events: f64) {
        let elapsed_secs = match self.updated_at {
            Some(updated_at) => (now - updated_at).secs(),
            None => 0.0,
        };
        let kept_fraction = (-elapsed_secs / RATE_MEMORY).exp();
        let newly_observed_secs = (1.0 - kept_fraction) * RATE_MEMORY;
        self.events = self.events * kept_fraction + events;
        self.observed_secs = self.observed_secs * kept_fraction + newly_observed_secs;
        self.updated_at = Some(now);
    }

    /// Events per second; `None` until a twentieth of [`RATE_MEMORY`] has been observed.
    pub fn per_s(&self) -> Option<f64> {
        if self.observed_secs <= MIN_OBSERVED_SECS {
            return None;
        }
        Some(self.events / self.observed_secs)
    }
}

/// The mean of a count over about the last second, weighted by time.
///
/// It owns the mean and the time of the last update. It takes the time and the count as arguments.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TimeWeightedMean {
    value: f64,
    updated_at: Time,
}

impl TimeWeightedMean {
    /// Takes in that the count has been `count` from the last update until `now`.
    pub fn advance(&mut self, now: Time, count: f64) {
        let elapsed_secs = (now - self.updated_at).secs();
        let kept_fraction = (-elapsed_secs / TIME_WEIGHTED_MEMORY).exp();
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
