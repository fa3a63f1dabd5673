//! The health of one backend: its error rate, its ejections and whether it responds.

use crate::{Micros, Time};

/// Minimum error rate of a backend that is suspect because it is slow. At this rate the backend is
/// picked less often and its next error ejects it. Successes lower the rate again.
const SUSPECT_ERROR_RATE: f64 = 0.7;
/// Each ejection lasts twice as long as the previous one, up to this number of doublings.
const MAX_EJECTION_DOUBLINGS: i32 = 2;

/// The health of one backend, as observed by outlier detection.
///
/// This type only stores the observations. [`OutlierDetector`](super::OutlierDetector) decides when
/// they make the backend suspect, unresponsive or ejected.
#[derive(Default)]
pub(crate) struct BackendHealth {
    /// Weighted fraction of recent outcomes that were errors, from 0 to 1. A slow backend is raised
    /// to at least [`SUSPECT_ERROR_RATE`].
    error_rate: f64,
    /// When the backend last responded, with a success or an error; `Time(0)` if it never did.
    last_response_at: Time,
    /// Whether a response is long overdue.
    unresponsive: bool,
    /// The earliest time at which the ejection ends; `None` if the backend is not ejected.
    ejected_until: Option<Time>,
    /// Number of ejections since the last success.
    consecutive_ejections: i32,
}

impl BackendHealth {
    /// Returns the weighted fraction of recent outcomes that were errors, from 0 to 1.
    pub fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// Returns when the backend last responded, with a success or an error; `Time(0)` if it never
    /// did.
    pub fn last_response_at(&self) -> Time {
        self.last_response_at
    }

    /// Whether a response of the backend is long overdue.
    pub fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }

    /// Whether the backend is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether attempts in flight on this backend will probably get no response, because the
    /// backend is ejected or unresponsive.
    pub fn is_probably_down(&self) -> bool {
        self.is_unresponsive() || self.is_ejected()
    }

    /// Records that the backend served a request. `weight` is the weight of this outcome in the
    /// error rate, from 0 to 1.
    pub fn record_success(&mut self, now: Time, weight: f64) {
        self.last_response_at = now;
        self.error_rate *= 1.0 - weight;
        self.consecutive_ejections = 0;
    }

    /// Records an error, a rejection or a reset connection, which all count as responses. `weight`
    /// is the weight of this outcome in the error rate, from 0 to 1.
    pub fn record_error(&mut self, now: Time, weight: f64) {
        self.last_response_at = now;
        self.error_rate += (1.0 - self.error_rate) * weight;
    }

    /// Records that the backend is slow: it is picked less often, and its next error ejects it.
    pub fn mark_suspect(&mut self) {
        self.error_rate = self.error_rate.max(SUSPECT_ERROR_RATE);
    }

    /// Records whether a response of the backend is long overdue.
    pub fn set_unresponsive(&mut self, unresponsive: bool) {
        self.unresponsive = unresponsive;
    }

    /// Ejects the backend unless its previous ejection is still in effect; returns whether a new
    /// ejection has begun. The first ejection lasts `duration` seconds. Each further one lasts
    /// twice as long as the previous one, up to [`MAX_EJECTION_DOUBLINGS`], until the backend
    /// serves a request.
    pub fn eject(&mut self, now: Time, duration: f64) -> bool {
        let is_under_way = self.ejected_until.is_some_and(|until| now < until);
        if is_under_way {
            return false;
        }
        let doublings = self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        let duration = Micros::from_secs(duration * f64::from(doublings).exp2());
        self.ejected_until = Some(now + duration);
        self.consecutive_ejections += 1;
        true
    }

    /// Ends an ejection whose time is over and resets the error rate. The count of consecutive
    /// ejections is kept, so that the next ejection lasts longer.
    pub fn end_ejection_if_due(&mut self, now: Time) {
        if self.ejected_until.is_some_and(|until| now >= until) {
            self.ejected_until = None;
            self.error_rate = 0.0;
        }
    }
}

#[cfg(test)]
mod tests;
