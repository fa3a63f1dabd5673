//! The wait of a watch on the central service: how often a proxy asks for an answer.

use std::ops::RangeInclusive;
use std::time::Duration;

/// The range of the mean wait, in seconds. Only an answer confirms the list, for 6 s. The shortest
/// mean lets a proxy notice a watch that has fallen silent, and get the answer to another call even
/// if that waits in the service's queue, before then. The longest one is for a service that cannot
/// answer so often; its proxies cannot use their lists all the time.
const MEAN_WAIT_SECS: RangeInclusive<f64> = 2.5..=20.0;
/// The largest part of the mean by which a wait is shorter or longer. Waits are random because a
/// change of the list ends the calls of all proxies, which then start their next calls together.
/// With equal waits these calls would also end together.
const JITTER_FRACTION: f64 = 0.2;
/// An answer that comes later than this after the end of its wait shows that the service is busy.
const MAX_DELAY: Duration = Duration::from_millis(250);
/// The factor by which the mean grows when the service is busy.
const INCREASE_FACTOR: f64 = 1.5;
/// The time by which the mean shrinks with each prompt answer, in seconds.
const DECREASE_SECS: f64 = 0.25;

/// The wait of the next watch, which follows the delay of the answers.
pub struct WatchWait {
    mean_secs: f64,
}

impl WatchWait {
    /// The shortest wait.
    pub fn new() -> WatchWait {
        WatchWait {
            mean_secs: *MEAN_WAIT_SECS.start(),
        }
    }

    /// The wait of the next watch. `fraction` is a random number from 0 to 1.
    pub fn next(&self, fraction: f64) -> Duration {
        let factor = 1.0 + JITTER_FRACTION * (2.0 * fraction - 1.0);
        Duration::from_millis((self.mean_secs * factor * 1000.0) as u64)
    }

    /// Records how long after the end of its wait a watch without changes was answered.
    pub fn record_answer(&mut self, delay: Duration) {
        if delay > MAX_DELAY {
            self.record_busy();
        } else {
            self.mean_secs = (self.mean_secs - DECREASE_SECS).max(*MEAN_WAIT_SECS.start());
        }
    }

    /// Records that a watch was not answered in time.
    pub fn record_busy(&mut self) {
        self.mean_secs = (self.mean_secs * INCREASE_FACTOR).min(*MEAN_WAIT_SECS.end());
    }
}

#[cfg(test)]
mod tests;
