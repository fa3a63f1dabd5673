//! Outlier detection: a backend that fails, is slow or does not respond is picked less often or
//! ejected for a while.
//!
//! Several rules depend on the request interval: the mean time between two requests of this proxy
//! to the same backend.

use super::BackendTable;
use crate::estimation::{LatencyEstimates, EPSILON};
use crate::random::Rng;
use crate::requests::InFlightAttempt;
use crate::{AttemptEnd, BackendId, Micros, Outcome, Time};

/// A backend is ejected above this error rate. At short request intervals, two consecutive errors
/// exceed it; at request intervals above 2.4 s, a single error does.
const ERROR_RATE_LIMIT: f64 = 0.3;
/// After a rejection, a backend is ejected above this error rate. The limit is higher than
/// [`ERROR_RATE_LIMIT`] because a backend that accepts only some requests can still serve those.
const REJECTION_RATE_LIMIT: f64 = 0.7;
/// Minimum weight of the newest outcome in a backend's error rate. The weight grows with the
/// request interval.
const MIN_OUTCOME_WEIGHT: f64 = 0.2;
/// Maximum weight of the newest outcome in a backend's error rate. It keeps a single rejection
/// below [`REJECTION_RATE_LIMIT`].
const MAX_OUTCOME_WEIGHT: f64 = 0.6;
/// Age from which an outcome no longer says anything about the backend, in seconds: faults appear
/// and disappear within this time.
const OUTCOME_MEMORY_SECS: f64 = 8.0;
/// Multiple of the typical latency of its class after which an attempt in flight marks its backend
/// as unresponsive, if the backend has not responded to anything since the dispatch.
const UNRESPONSIVE_LATENCY_MULTIPLE: f64 = 6.0;
/// An attempt makes its backend suspect if it takes longer than the latency of an unloaded response
/// plus this fraction of the time from there to the latency objective. The backend is then slow, or
/// so overloaded that it stays slow until all proxies avoid it. The rule applies only if the
/// request interval is known and long enough to matter; see [`OutlierDetector::request_interval`].
const SLOW_FRACTION: f64 = 0.5;
/// Minimum duration of a first ejection before jitter, in seconds. It applies at short request
/// intervals.
const BASE_EJECTION_SECS: f64 = 1.0;
/// Minimum duration of a first ejection before jitter, in request intervals. Every return of a
/// faulty backend costs a request, so at long request intervals an ejected backend must return
/// later than its next request would have been sent without the ejection.
const BASE_EJECTION_INTERVALS: f64 = 1.5;
/// Minimum of the random factor on the duration of an ejection. The jitter makes backends that were
/// ejected together return one after the other.
const MIN_EJECTION_JITTER: f64 = 0.75;
/// Width of the range of the random factor on the duration of an ejection.
const EJECTION_JITTER_RANGE: f64 = 0.5;

/// Finds faulty backends.
///
/// It owns the request interval and the list of unresponsive backends. What it learns about a
/// backend is stored in that backend's [`BackendHealth`](super::health::BackendHealth).
#[derive(Default)]
pub(crate) struct OutlierDetector {
    /// Mean time between two requests of this proxy to the same backend, in seconds, at most
    /// [`OUTCOME_MEMORY_SECS`]. It is 0 while the request rate is unknown, and if few proxies share
    /// each backend and therefore send to it often. At 0, slow backends are not marked as suspect
    /// and each outcome has the minimum weight.
    request_interval: f64,
    /// The backends whose unresponsive mark [`clear_unresponsive`](Self::clear_unresponsive) has to
    /// remove. A backend is listed once for each overdue attempt, and may have lost its mark
    /// already because its process restarted.
    unresponsive: Vec<BackendId>,
}

impl OutlierDetector {
    /// Computes the request interval. `rate` is the requests per second of this proxy to all
    /// backends together, `None` if it is unknown or if few proxies share each backend.
    pub fn update_request_interval(&mut self, ready_backends: usize, rate: Option<f64>) {
        let interval = match rate {
            Some(rate) => ready_backends as f64 / rate.max(EPSILON),
            None => 0.0,
        };
        self.request_interval = interval.min(OUTCOME_MEMORY_SECS);
    }

    /// Updates the health of a backend by the outcome of an attempt; returns whether the backend
    /// was ejected.
    pub fn record_outcome(
        &mut self,
        now: Time,
        attempt: &InFlightAttempt,
        end: &AttemptEnd,
        backends: &mut BackendTable,
        latencies: &LatencyEstimates,
        rng: &mut Rng,
    ) -> bool {
        let weight = self.outcome_weight();
        let is_success = end.outcome == Outcome::Success;
        let is_slow = is_success && self.is_slow(attempt, end.latency, backends, latencies);
        let Some(backend) = backends.process_of_mut(attempt) else {
            return false;
        };
        let health = backend.health_mut();
        match end.outcome {
            Outcome::Success => {
                health.record_success(now, weight);
                if is_slow {
                    health.mark_suspect();
                }
                false
            }
            Outcome::Cancelled | Outcome::NotSent => false,
            // The backend has responded since the dispatch, so it is probably not faulty: the
            // request was heavy.
            Outcome::TimedOut if health.last_response_at() >= attempt.sent_at => false,
            Outcome::Error | Outcome::Rejected | Outcome::Reset => {
                health.record_error(now, weight);
                let exceeds_limit = health.error_rate() > error_rate_limit(end.outcome);
                exceeds_limit && self.eject(now, attempt.backend, backends, rng)
            }
            Outcome::TimedOut | Outcome::ConnectFailed => {
                self.eject(now, attempt.backend, backends, rng)
            }
        }
    }

    /// Returns the weight of the newest outcome in a backend's error rate.
    fn outcome_weight(&self) -> f64 {
        (self.request_interval / OUTCOME_MEMORY_SECS).clamp(MIN_OUTCOME_WEIGHT, MAX_OUTCOME_WEIGHT)
    }

    /// Whether a served attempt that took `elapsed` makes its backend suspect; see
    /// [`SLOW_FRACTION`].
    fn is_slow(
        &self,
        attempt: &InFlightAttempt,
        elapsed: Micros,
        backends: &BackendTable,
        latencies: &LatencyEstimates,
    ) -> bool {
        if self.request_interval == 0.0 {
            return false;
        }
        let baseline = backends.baseline_latency(attempt.backend);
        elapsed > latencies.latency_within_objective(baseline, attempt.class, SLOW_FRACTION)
    }

    /// Ejects a backend unless its previous ejection is still in effect; returns whether a new
    /// ejection has begun.
    fn eject(&self, now: Time, id: BackendId, backends: &mut BackendTable, rng: &mut Rng) -> bool {
        let jitter = MIN_EJECTION_JITTER + EJECTION_JITTER_RANGE * rng.unit();
        let base_duration = BASE_EJECTION_SECS.max(self.request_interval * BASE_EJECTION_INTERVALS);
        let Some(backend) = backends.get_mut(id) else {
            return false;
        };
        let is_ejected = backend.health_mut().eject(now, base_duration * jitter);
        if is_ejected {
            backend.stop_using();
        }
        is_ejected
    }

    /// Removes the marks of the unresponsive backends; returns whether there were any.
    pub fn clear_unresponsive(&mut self, backends: &mut BackendTable) -> bool {
        let marked = std::mem::take(&mut self.unresponsive);
        for id in &marked {
            if let Some(backend) = backends.get_mut(*id) {
                backend.health_mut().set_unresponsive(false);
            }
        }
        !marked.is_empty()
    }

    /// Marks the backend of an attempt in flight as suspect or unresponsive if the attempt has
    /// taken too long. Returns the time at which the attempt has to be checked again.
    pub fn check_attempt(
        &mut self,
        now: Time,
        attempt: &InFlightAttempt,
        backends: &mut BackendTable,
        latencies: &LatencyEstimates,
    ) -> Time {
        let baseline = backends.baseline_latency(attempt.backend);
        let slow_after = latencies.latency_within_objective(baseline, attempt.class, SLOW_FRACTION);
        let typical = latencies.typical(attempt.class);
        let overdue_at = attempt.sent_at + typical.times(UNRESPONSIVE_LATENCY_MULTIPLE);
        let is_watched_for_slowness = self.request_interval > 0.0;
        if let Some(backend) = backends.process_of_mut(attempt) {
            let health = backend.health_mut();
            if is_watched_for_slowness && now - attempt.sent_at > slow_after {
                health.mark_suspect();
            }
            let has_responded_since = health.last_response_at() > attempt.sent_at;
            if now >= overdue_at && !has_responded_since {
                health.set_unresponsive(true);
                self.unresponsive.push(attempt.backend);
            }
        }
        let next_check = if now < overdue_at {
            overdue_at
        } else {
            now + typical
        };
        let slow_at = attempt.sent_at + slow_after;
        if is_watched_for_slowness && now < slow_at {
            slow_at.min(next_check)
        } else {
            next_check
        }
    }
}

/// Returns the error rate above which a backend is ejected after an attempt with this outcome.
fn error_rate_limit(outcome: Outcome) -> f64 {
    if outcome == Outcome::Rejected {
        REJECTION_RATE_LIMIT
    } else {
        ERROR_RATE_LIMIT
    }
}

#[cfg(test)]
mod tests;
