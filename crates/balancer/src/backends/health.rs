//! The health of one backend: its error rate, its ejections and whether it responds.

use crate::{Acceptance, Micros, Time};

/// Error rate to which that of a slow backend is raised. It is picked less then, and its next error
/// ejects it; successes lower the rate again.
const SUSPECT_ERROR_RATE: f64 = 0.7;
/// An ejection lasts twice as long as the one before it, so many times at most.
const MAX_EJECTION_DOUBLINGS: i32 = 2;

/// What outlier detection knows of one backend.
///
/// It owns these observations; [`OutlierDetector`](super::OutlierDetector) decides what they lead
/// to.
#[derive(Default)]
pub(crate) struct BackendHealth {
    /// Weighted fraction of recent outcomes that were errors, from 0 to 1; a slow backend has
    /// [`SUSPECT_ERROR_RATE`] at least.
    error_rate: f64,
    /// When it last responded in any way; `Time(0)` if it never did.
    last_response_at: Time,
    /// The newest request that it served.
    last_acceptance: Option<Acceptance>,
    /// A response is suspiciously long overdue.
    unresponsive: bool,
    /// It is ejected, until this time at least.
    ejected_until: Option<Time>,
    /// Ejections without a success between them.
    consecutive_ejections: i32,
}

impl BackendHealth {
    /// Weighted fraction of recent outcomes that were errors, from 0 to 1.
    pub fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// When it last responded in any way; `Time(0)` if it never did.
    pub fn last_response_at(&self) -> Time {
        self.last_response_at
    }

    /// The newest request that it served.
    pub fn last_acceptance(&self) -> Option<Acceptance> {
        self.last_acceptance
    }

    /// Whether a response is suspiciously long overdue.
    pub fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }

    /// Whether it is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether attempts in flight on this backend will probably get no response, because it is
    /// ejected or unresponsive.
    pub fn is_probably_down(&self) -> bool {
        self.is_unresponsive() || self.is_ejected()
    }

    /// Records that it served a request. `weight` is that of this outcome in the error rate.
    pub fn record_success(&mut self, now: Time, weight: f64) {
        self.last_response_at = now;
        self.error_rate *= 1.0 - weight;
        self.consecutive_ejections = 0;
    }

    /// Records which request it served.
    pub fn record_acceptance(&mut self, acceptance: Acceptance) {
        let is_newer = |last: Acceptance| acceptance.sent_at >= last.sent_at;
        if self.last_acceptance.is_none_or(is_newer) {
            self.last_acceptance = Some(acceptance);
        }
    }

    /// Records that it responded with an error. `weight` is that of this outcome in the error rate.
    pub fn record_error(&mut self, now: Time, weight: f64) {
        self.last_response_at = now;
        self.error_rate += (1.0 - self.error_rate) * weight;
    }

    /// Records that it is slow: it is picked less, and its next error ejects it.
    pub fn mark_suspect(&mut self) {
        self.error_rate = self.error_rate.max(SUSPECT_ERROR_RATE);
    }

    /// Records whether a response is suspiciously long overdue.
    pub fn set_unresponsive(&mut self, unresponsive: bool) {
        self.unresponsive = unresponsive;
    }

    /// Ejects it unless an ejection is under way; returns whether it did. The first ejection lasts
    /// `duration` seconds, each further one twice as long as the one before, up to a limit.
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

    /// Ends an ejection whose time is over. The count of consecutive ejections stays: the next
    /// ejection lasts longer.
    pub fn end_ejection_if_due(&mut self, now: Time) {
        if self.ejected_until.is_some_and(|until| now >= until) {
            self.ejected_until = None;
            self.error_rate = 0.0;
        }
    }
}

#[cfg(test)]
mod tests;
