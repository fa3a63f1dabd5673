//! The speed of a machine type, estimated from the latency of its responses and from its load.

use crate::estimation::RunningMean;
use crate::peers::TARGET_CONCURRENCY;

/// Memory of the speed, s: a machine's speed changes seldom, the rate from which it is computed
/// changes all the time.
const SPEED_MEMORY: f64 = 10.0;
/// Multiple of the mean latency up to which one response counts.
const LATENCY_CLIP: f64 = 3.0;
/// Below this many responses a new speed replaces the old one. From then on it is smoothed over
/// [`SPEED_MEMORY`].
const MIN_SAMPLES_TO_SMOOTH: f64 = 10.0;
/// Relative rise of the baseline latency and of the proven speed, per second. A mean that is taken
/// over at once may be that of an overloaded start.
const RISE_PER_SECOND: f64 = 0.03;

/// The latency and the speed of the backends of one machine type.
///
/// It owns the estimates. The traffic that goes to each backend is passed in.
#[derive(Default)]
pub(crate) struct SpeedEstimate {
    /// Seconds from dispatch to response, of served requests only, with the class mix taken out.
    latency: RunningMean,
    /// Lowest recent mean latency, s: that of an unloaded backend.
    baseline_latency: Option<f64>,
    /// Requests per second that one backend could serve; 0 while nothing is known.
    speed: f64,
    /// Like `speed`, but it rises slowly. A sudden rise of the rate, or backends that leave, make
    /// no backend faster.
    proven_speed: f64,
}

impl SpeedEstimate {
    /// Requests per second that one backend could serve; 0 while nothing is known.
    pub fn speed(&self) -> f64 {
        self.speed
    }

    /// Lowest recent mean latency, s, as that of an unloaded backend.
    pub fn baseline_latency(&self) -> Option<f64> {
        self.baseline_latency
    }

    /// A conservative estimate of the requests per second that one backend can serve; `None` before
    /// any response.
    ///
    /// The estimate of speed includes the traffic per backend, which is too high while few backends
    /// are ready. A backend with at most [`TARGET_CONCURRENCY`] requests in flight beside a new one
    /// cannot be faster than that concurrency divided by its latency (Little's law).
    pub fn safe_speed(&self) -> Option<f64> {
        let latency = self.latency.get()?;
        let speed_at_target = (1.0 + TARGET_CONCURRENCY) / latency;
        Some(self.proven_speed.min(speed_at_target))
    }

    /// Learns from the latency of a served request, s, with the class mix taken out.
    pub fn record_latency(&mut self, seconds: f64) {
        // Faulty backends respond late. A few such responses must not make the whole machine type
        // look slow.
        let longest_counted = self.latency.get().unwrap_or(seconds) * LATENCY_CLIP;
        self.latency.add(seconds.min(longest_counted));
    }

    /// Lets the baseline follow a lower mean at once and rise slowly towards a higher one.
    /// `assumed_latency`, s, is the baseline before any response.
    pub fn update_baseline(&mut self, elapsed: f64, assumed_latency: f64) {
        let risen = match self.baseline_latency {
            Some(baseline) => baseline * (1.0 + RISE_PER_SECOND * elapsed),
            None => assumed_latency,
        };
        let lowest = match self.latency.get() {
            Some(mean) => mean.min(risen),
            None => risen,
        };
        self.baseline_latency = Some(lowest);
    }

    /// Learns the speed from the latency and from `flow`, the requests per second that all proxies
    /// send to each backend. A processor that is shared by its requests (M/G/1/PS) responds after
    /// T = 1 / (speed - flow), so that speed = 1 / T + flow.
    pub fn update_speed(&mut self, elapsed: f64, flow: f64) {
        let speed = match self.latency.get() {
            Some(mean) => 1.0 / mean + flow,
            None => 0.0,
        };
        // The estimate is smoothed, because the flow is only this proxy's own view of it. Without
        // smoothing, a machine type with a large share would look ever faster, and the proxies
        // would oscillate together.
        let weight = if self.latency.count() < MIN_SAMPLES_TO_SMOOTH {
            1.0
        } else {
            (elapsed / SPEED_MEMORY).min(1.0)
        };
        self.speed += (speed - self.speed) * weight;
        let is_first = weight == 1.0 || self.proven_speed == 0.0;
        let smoothed = self.proven_speed + (speed - self.proven_speed) * weight;
        let risen = self.proven_speed * (1.0 + RISE_PER_SECOND * elapsed);
        self.proven_speed = if is_first { speed } else { smoothed.min(risen) };
    }

    /// Assumes a speed where nothing is known.
    pub fn assume_speed(&mut self, speed: f64) {
        if self.speed == 0.0 {
            self.speed = speed;
        }
    }
}

#[cfg(test)]
mod tests;
