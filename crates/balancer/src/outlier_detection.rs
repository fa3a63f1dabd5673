//! Outlier detection: a backend that fails, is slow or does not respond is drawn less or ejected
//! for a while.

use crate::{records::InFlightAttempt, *};

/// Error rate from which a backend is ejected: two errors close together reach it.
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
pub(crate) const OUTCOME_MEMORY: f64 = 8.0;
/// An attempt this many times older than usual, with no later response, marks its backend as
/// unresponsive.
const UNRESPONSIVE_AFTER: f64 = 6.0;
/// A seldom visited backend is suspect once an attempt has taken this fraction of the time from an
/// unloaded response to the objective: it is slow, or so overloaded that it slows down until all
/// avoid it.
const SLOW_FRACTION: f64 = 0.5;
/// Least error rate of a suspect backend: it is drawn less until it responds in time.
const SUSPECT_ERROR_RATE: f64 = 0.7;
/// Length of the first ejection, s; it doubles with each failed return, up to a limit.
const EJECTION_TIME: f64 = 1.0;
const MAX_EJECTION_DOUBLINGS: i32 = 2;
/// Least length in visits: a return costs a request, so it must come later than the next of rare
/// visits.
const EJECTION_VISITS: f64 = 1.5;

impl Balancer {
    /// Learns from an attempt's outcome about the backend, its kind and its class.
    pub(crate) fn record_outcome(
        &mut self,
        now: Time,
        attempt: &InFlightAttempt,
        end: &AttemptEnd,
    ) {
        let weight =
            (self.visit_interval / OUTCOME_MEMORY).clamp(MIN_OUTCOME_WEIGHT, MAX_OUTCOME_WEIGHT);
        let Some(backend) = self.backends.get_mut(&attempt.backend) else {
            return;
        };
        backend.in_flight = backend.in_flight.saturating_sub(1);
        match end.outcome {
            Outcome::Success => {
                backend.last_response_at = now;
                backend.last_accepted_at = backend.last_accepted_at.max(attempt.sent_at);
                backend.error_rate *= 1.0 - weight;
                backend.consecutive_ejections = 0;
                if self.is_slow(attempt, end.latency) {
                    self.mark_suspect(attempt.backend);
                }
                self.record_latency(attempt.backend, attempt.class, end.latency);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
            // The request was heavy rather than the backend faulty: other responses came meanwhile.
            Outcome::TimedOut if backend.last_response_at >= attempt.sent_at => {}
            Outcome::Error | Outcome::Rejected | Outcome::Reset => {
                backend.last_response_at = now;
                backend.error_rate += (1.0 - backend.error_rate) * weight;
                let rejected = end.outcome == Outcome::Rejected;
                if backend.error_rate
                    > if rejected {
                        REJECTION_RATE_LIMIT
                    } else {
                        ERROR_RATE_LIMIT
                    }
                {
                    self.eject(now, attempt.backend, end.outcome);
                }
            }
            Outcome::TimedOut | Outcome::ConnectFailed => {
                self.eject(now, attempt.backend, end.outcome);
            }
        }
    }

    fn mark_suspect(&mut self, id: BackendId) {
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.error_rate = backend.error_rate.max(SUSPECT_ERROR_RATE);
        }
    }

    fn is_slow(&self, attempt: &InFlightAttempt, elapsed: Micros) -> bool {
        self.visit_interval > 0.0
            && elapsed > self.latency_at(attempt.backend, attempt.class, SLOW_FRACTION)
    }

    fn eject(&mut self, now: Time, id: BackendId, reason: Outcome) {
        let jitter = 0.75 + 0.5 * self.rng.unit();
        let time = EJECTION_TIME.max(self.visit_interval * EJECTION_VISITS) * jitter;
        let Some(backend) = self.backends.get_mut(&id) else {
            return;
        };
        if backend.ejected_until.is_none_or(|until| now >= until) {
            let doublings = backend.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
            backend.ejected_until =
                Some(now + Micros::from_secs(time * f64::from(doublings).exp2()));
            backend.consecutive_ejections += 1;
            backend.readiness = 0.0;
            self.wake_by(now + self.config.tick);
            self.log(
                now,
                LogEvent::BackendEjected {
                    backend: id,
                    outcome: reason,
                },
            );
        }
    }

    /// Finds the backends whose responses are long overdue.
    pub(crate) fn check_attempts(&mut self, now: Time) {
        if self.clear_unresponsive() {
            self.blocked_below_weight = 0.0; // one that has responded has capacity again
        }
        let mut attempts = std::mem::take(&mut self.in_flight_attempts);
        attempts
            .values_mut()
            .for_each(|attempt| self.check_attempt(now, attempt));
        self.in_flight_attempts = attempts;
    }

    fn check_attempt(&mut self, now: Time, attempt: &mut InFlightAttempt) {
        let InFlightAttempt {
            backend: id,
            class,
            sent_at,
            ..
        } = *attempt;
        if self.is_slow(attempt, now - sent_at) {
            self.mark_suspect(id);
        }
        // Lateness is known once the time is up: an overloaded backend responds only much later.
        let late_at = sent_at + self.prompt_latency(id, class);
        if !attempt.late && now >= late_at {
            attempt.late = true;
            self.adjust_admission(false);
        }
        let typical = self.typical_latency(class);
        let overdue_at = sent_at + typical.times(UNRESPONSIVE_AFTER);
        let next_check = if now < overdue_at {
            overdue_at
        } else {
            now + typical
        };
        self.wake_by(if attempt.late {
            next_check
        } else {
            next_check.min(late_at)
        });
        let slow_at = sent_at + self.latency_at(id, class, SLOW_FRACTION);
        self.wake_by(if self.visit_interval > 0.0 && now < slow_at {
            slow_at
        } else {
            next_check
        });
        let backend = self
            .backends
            .get_mut(&id)
            .filter(|backend| backend.last_response_at <= sent_at);
        if let Some(backend) = backend.filter(|_| now >= overdue_at) {
            backend.unresponsive = true;
            self.unresponsive.push(id);
        }
    }
}
