//! The delay between a failed poll of discovery and the next poll.

use super::polling_load::{must_spread_polls, poll_round_secs};
use crate::{Config, Micros};

/// Shortest backoff after a rejected poll.
const MIN_BACKOFF_SECS: f64 = 0.1;
/// Longest backoff after a rejected poll, and the longest one after the first polls that failed in
/// the service's queue or during an outage. The next poll then comes early enough for an answer
/// while the list may still be used, and soon after the service has returned.
const MAX_BACKOFF_SECS: f64 = 1.0;
/// Factor by which the backoff grows with each failure.
const BACKOFF_MULTIPLIER: f64 = 2.0;
/// Largest fraction of the backoff after a rejected poll that is subtracted at random. A larger
/// fraction would shorten the mean backoff, so that more polls would queue up when the service
/// returns. A small fraction is enough, because rejected polls are already spread over time.
const JITTER_FRACTION: f64 = 0.2;
/// After this number of such failures, the service is probably up and slow.
const MAX_OUTAGE_FAILURES: u32 = 4;

/// The exponential backoff between polls. `random` arguments are random numbers from 0 to 1.
#[derive(Default)]
pub(super) struct PollBackoff {
    /// The latest backoff before its random reduction, in seconds; 0 after a response.
    latest_secs: f64,
    /// Polls that failed in the service's queue or during an outage since the latest response.
    failures_in_queue: u32,
}

impl PollBackoff {
    /// Resets the backoff after a response.
    pub fn reset(&mut self) {
        *self = PollBackoff::default();
    }

    /// The time until the next poll after a poll that failed in the service's queue, or while the
    /// service was down. Such polls are repeated at random times, at first within
    /// [`MAX_BACKOFF_SECS`]. The time then grows up to that in which the queue empties, even if the
    /// list becomes unusable meanwhile: repeated sooner, the polls would keep the queue full.
    pub fn after_queueing(
        &mut self,
        config: &Config,
        service_time: Option<Micros>,
        random: f64,
    ) -> Micros {
        self.failures_in_queue += 1;
        let longest = poll_round_secs(config, service_time);
        let increased = if self.failures_in_queue <= MAX_OUTAGE_FAILURES {
            MAX_BACKOFF_SECS
        } else {
            self.latest_secs * BACKOFF_MULTIPLIER
        };
        self.latest_secs = increased.min(longest).max(MIN_BACKOFF_SECS);
        Micros::from_secs(self.latest_secs * random)
    }

    /// The time until the next poll after a poll that was rejected or did not reach the service.
    /// The first backoff is short, because a single poll may be reset by chance. If there are so
    /// many proxies that they must spread their polls, the second backoff is already the longest
    /// one: if it grew slowly, a service that returns would get more polls per second than it can
    /// process.
    pub fn after_rejection(&mut self, config: &Config, random: f64) -> Micros {
        let has_failed_before = self.latest_secs > 0.0;
        let increased = if has_failed_before && must_spread_polls(config) {
            MAX_BACKOFF_SECS
        } else {
            self.latest_secs * BACKOFF_MULTIPLIER
        };
        self.latest_secs = increased.clamp(MIN_BACKOFF_SECS, MAX_BACKOFF_SECS);
        let remaining_fraction = 1.0 - JITTER_FRACTION * random;
        Micros::from_secs(self.latest_secs * remaining_fraction)
    }
}

#[cfg(test)]
mod tests;
