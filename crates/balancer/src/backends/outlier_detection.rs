//! Outlier detection: a backend that fails, is slow or does not respond is picked less or ejected
//! for a while.

use super::BackendTable;
use crate::estimation::{LatencyEstimates, EPSILON};
use crate::random::Rng;
use crate::requests::InFlightAttempt;
use crate::{AttemptEnd, BackendId, Micros, Outcome, Time};

/// A backend is ejected above this error rate. Where visits are frequent, two consecutive errors
/// exceed it; where they are more than 2.4 s apart, one does.
const ERROR_RATE_LIMIT: f64 = 0.3;
/// The same where the newest attempt was rejected: a backend that takes some requests is used for
/// those.
const REJECTION_RATE_LIMIT: f64 = 0.7;
/// Least weight of the newest outcome in a backend's error rate: the rarer the visits, the more it
/// weighs.
const MIN_OUTCOME_WEIGHT: f64 = 0.2;
/// Greatest weight of the newest outcome: one rejection alone stays under [`REJECTION_RATE_LIMIT`].
const MAX_OUTCOME_WEIGHT: f64 = 0.6;
/// Age at which an outcome says nothing more of a backend, s: faults come and go within that.
const OUTCOME_MEMORY: f64 = 8.0;
/// An attempt this many times older than usual, with no later response, marks its backend as
/// unresponsive.
const UNRESPONSIVE_AFTER: f64 = 6.0;
/// A seldom visited backend is suspect once an attempt has taken this fraction of the time from an
/// unloaded response to the objective. It is slow then, or so overloaded that it stays slow until
/// all proxies avoid it.
const SLOW_FRACTION: f64 = 0.5;
/// Duration of a first ejection before jitter, s, where visits are frequent.
const BASE_EJECTION_SECONDS: f64 = 1.0;
/// Lower bound of that duration, in visit intervals. A return costs a request, so where visits are
/// rare it must come later than the next visit.
const BASE_EJECTION_VISITS: f64 = 1.5;
/// Smallest random factor on the duration of an ejection: backends that were ejected together
/// return one after the other.
const MIN_EJECTION_JITTER: f64 = 0.75;
/// Width of the range of that factor.
const EJECTION_JITTER_RANGE: f64 = 0.5;

/// Finds faulty backends.
///
/// It owns the time between two visits and the list of unresponsive backends. What it learns of a
/// backend is kept in that backend's [`BackendHealth`](super::health::BackendHealth).
#[derive(Default)]
pub(crate) struct OutlierDetector {
    /// Seconds between two requests of this proxy to the same backend, on average. It is 0 while
    /// the rate is not known, and where few proxies share each backend and visit it often: then
    /// slow backends are not marked, and each outcome has the least weight.
    visit_interval: f64,
    /// The backends whose mark [`clear_unresponsive`](Self::clear_unresponsive) has to take off.
    /// One occurs for each overdue attempt, and may have lost its mark by a restart.
    unresponsive: Vec<BackendId>,
}

impl OutlierDetector {
    /// Computes the time between two visits to a backend from the rate of this proxy's requests;
    /// `None` if the rate is not known, or if few proxies share each backend.
    pub fn update_visit_interval(&mut self, ready_backends: usize, rate: Option<f64>) {
        let interval = match rate {
            Some(rate) => ready_backends as f64 / rate.max(EPSILON),
            None => 0.0,
        };
        self.visit_interval = interval.min(OUTCOME_MEMORY);
    }

    /// Learns from the outcome of an attempt about its backend; returns whether that was ejected.
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
        let Some(backend) = backends.get_mut(attempt.backend) else {
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
            // Other responses came meanwhile: the request was heavy rather than the backend faulty.
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

    /// The weight of the newest outcome in a backend's error rate.
    fn outcome_weight(&self) -> f64 {
        (self.visit_interval / OUTCOME_MEMORY).clamp(MIN_OUTCOME_WEIGHT, MAX_OUTCOME_WEIGHT)
    }

    /// Whether an attempt that has taken `elapsed` makes its backend suspect.
    fn is_slow(
        &self,
        attempt: &InFlightAttempt,
        elapsed: Micros,
        backends: &BackendTable,
        latencies: &LatencyEstimates,
    ) -> bool {
        if self.visit_interval == 0.0 {
            return false;
        }
        let baseline = backends.baseline_latency(attempt.backend);
        elapsed > latencies.latency_within_objective(baseline, attempt.class, SLOW_FRACTION)
    }

    /// Ejects a backend unless an ejection is under way; returns whether it did.
    fn eject(&self, now: Time, id: BackendId, backends: &mut BackendTable, rng: &mut Rng) -> bool {
        let jitter = MIN_EJECTION_JITTER + EJECTION_JITTER_RANGE * rng.unit();
        let base_duration = BASE_EJECTION_SECONDS.max(self.visit_interval * BASE_EJECTION_VISITS);
        let Some(backend) = backends.get_mut(id) else {
            return false;
        };
        let is_ejected = backend.health_mut().eject(now, base_duration * jitter);
        if is_ejected {
            backend.stop_using();
        }
        is_ejected
    }

    /// Takes the marks off the unresponsive backends; returns whether there were any.
    pub fn clear_unresponsive(&mut self, backends: &mut BackendTable) -> bool {
        let marked = std::mem::take(&mut self.unresponsive);
        for id in &marked {
            if let Some(backend) = backends.get_mut(*id) {
                backend.health_mut().set_unresponsive(false);
            }
        }
        !marked.is_empty()
    }

    /// Judges a backend by an attempt that is in flight on it; returns when that has to be done
    /// again.
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
        let overdue_at = attempt.sent_at + typical.times(UNRESPONSIVE_AFTER);
        let is_watched_for_slowness = self.visit_interval > 0.0;
        if let Some(backend) = backends.get_mut(attempt.backend) {
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

/// Error rate from which a backend is ejected after an attempt with this outcome.
fn error_rate_limit(outcome: Outcome) -> f64 {
    if outcome == Outcome::Rejected {
        REJECTION_RATE_LIMIT
    } else {
        ERROR_RATE_LIMIT
    }
}

#[cfg(test)]
mod tests;
