//! The speed of a machine type: the requests per second that one of its backends can serve. It is
//! estimated from the latency of responses and from the traffic to each backend.

use crate::estimation::RunningMean;
use crate::peers::TARGET_CONCURRENCY;

/// Time over which the speed is smoothed, in seconds. The speed of a machine rarely changes, but
/// the request rate from which it is computed changes all the time.
const SPEED_MEMORY_SECS: f64 = 10.0;
/// Multiple of the mean latency to which the latency of a single response is clipped.
const LATENCY_CLIP_MULTIPLE: f64 = 3.0;
/// Number of responses from which the speed is smoothed over [`SPEED_MEMORY_SECS`]. With fewer
/// responses, or if the previous estimate is older than that time, the new estimate replaces it.
const MIN_SAMPLES_TO_SMOOTH: f64 = 10.0;
/// Maximum relative rise per second of the baseline latency and of the rise-limited speed. If the
/// baseline adopted a higher mean immediately, that mean could come from a start under overload.
const MAX_RISE_PER_SECOND: f64 = 0.03;

/// Estimates of the latency and the speed of the backends of one machine type.
///
/// It owns the estimates. The caller passes in the traffic to each backend.
#[derive(Default)]
pub(crate) struct SpeedEstimate {
    /// Mean time from dispatch to response in seconds, of served requests only. Each sample is
    /// normalized to a mean request, so that the mix of classes has no effect.
    latency: RunningMean,
    /// Lowest recent mean latency in seconds, taken as the latency of an unloaded backend.
    baseline_latency: Option<f64>,
    /// Requests per second that one backend can serve; 0 while unknown.
    speed: f64,
    /// Like `speed`, but once `speed` is smoothed, it rises by at most [`MAX_RISE_PER_SECOND`]. A
    /// sudden rise of the request rate and the removal of backends both raise the traffic to each
    /// backend, and with it `speed`, although no backend has become faster.
    rise_limited_speed: f64,
}

impl SpeedEstimate {
    /// Returns the requests per second that one backend can serve; 0 while unknown.
    pub fn speed(&self) -> f64 {
        self.speed
    }

    /// Returns the lowest recent mean latency in seconds, taken as that of an unloaded backend.
    /// `None` before the first [`update_baseline`](Self::update_baseline).
    pub fn baseline_latency(&self) -> Option<f64> {
        self.baseline_latency
    }

    /// Returns a conservative estimate of the requests per second that one backend can serve;
    /// `None` before the first response.
    ///
    /// The speed estimate includes the traffic to each backend, which is too high while few
    /// backends are ready. It is therefore capped by Little's law: a backend that has at most
    /// [`TARGET_CONCURRENCY`] other requests in flight when a new one arrives cannot serve more
    /// than (1 + [`TARGET_CONCURRENCY`]) / latency requests per second.
    pub fn safe_speed(&self) -> Option<f64> {
        let latency = self.latency.get()?;
        let speed_at_target = (1.0 + TARGET_CONCURRENCY) / latency;
        Some(self.rise_limited_speed.min(speed_at_target))
    }

    /// Records the latency of a served request in seconds, normalized to a mean request.
    pub fn record_latency(&mut self, seconds: f64) {
        // A faulty backend responds late. The samples are clipped so that a few late responses do
        // not make the entire machine type look slow.
        let longest_counted = self.latency.get().unwrap_or(seconds) * LATENCY_CLIP_MULTIPLE;
        self.latency.add(seconds.min(longest_counted));
    }

    /// Updates the baseline latency: it follows a lower mean immediately and rises slowly towards a
    /// higher one. `elapsed` is the time since the last update in seconds; `assumed_latency` is the
    /// baseline before any response, in seconds.
    pub fn update_baseline(&mut self, elapsed: f64, assumed_latency: f64) {
        let risen = match self.baseline_latency {
            Some(baseline) => baseline * (1.0 + MAX_RISE_PER_SECOND * elapsed),
            None => assumed_latency,
        };
        let lowest = match self.latency.get() {
            Some(mean) => mean.min(risen),
            None => risen,
        };
        self.baseline_latency = Some(lowest);
    }

    /// Estimates the speed from the mean latency T and from `flow`, the requests per second that
    /// all proxies together send to each backend. `elapsed` is the time since the last estimate in
    /// seconds.
    ///
    /// The model is a processor that its requests share equally (M/G/1/PS). Its mean latency is
    /// T = 1 / (speed - flow), hence speed = 1 / T + flow.
    pub fn update_speed(&mut self, elapsed: f64, flow: f64) {
        let speed = match self.latency.get() {
            Some(mean) => 1.0 / mean + flow,
            None => 0.0,
        };
        // The estimate is smoothed because `flow` is only this proxy's own estimate of the traffic.
        // Without smoothing, a machine type with a large share would look faster and faster, and
        // the shares of all proxies would oscillate in step.
        let weight = if self.latency.count() < MIN_SAMPLES_TO_SMOOTH {
            1.0
        } else {
            (elapsed / SPEED_MEMORY_SECS).min(1.0)
        };
        self.speed += (speed - self.speed) * weight;
        let is_first = weight == 1.0 || self.rise_limited_speed == 0.0;
        let smoothed = self.rise_limited_speed + (speed - self.rise_limited_speed) * weight;
        let risen = self.rise_limited_speed * (1.0 + MAX_RISE_PER_SECOND * elapsed);
        self.rise_limited_speed = if is_first { speed } else { smoothed.min(risen) };
    }

    /// Sets the speed to an assumed value, in requests per second, if it is unknown.
    pub fn assume_speed(&mut self, speed: f64) {
        if self.speed == 0.0 {
            self.speed = speed;
        }
    }
}

#[cfg(test)]
mod tests;
