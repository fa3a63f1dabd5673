//! Retry safety: whether and to which backends a request may be sent again, and whether its client
//! may be told that a retry is safe.

use crate::requests::{Attempt, Request};
use crate::{Class, Config, Endpoint, Idempotency, KeyScope, Time};

/// The rules for further attempts of one request and for its final response. They follow from the
/// configuration, the idempotency of the request's class and the earlier attempts.
pub(crate) struct RetryPolicy<'a> {
    config: &'a Config,
    request: &'a Request,
    idempotency: Idempotency,
}

impl<'a> RetryPolicy<'a> {
    /// Creates the rules for a request.
    pub fn new(config: &'a Config, request: &'a Request) -> RetryPolicy<'a> {
        let class: &Class = &config.classes[request.class.0];
        RetryPolicy {
            config,
            request,
            idempotency: class.idempotency,
        }
    }

    /// Whether one more attempt is safe and allowed now. Its backend must also satisfy
    /// [`allows_backend`](Self::allows_backend).
    pub fn allows_attempt(&self, now: Time) -> bool {
        let may_run_concurrently = self.config.hedging_allowed || !self.request.is_in_flight();
        let attempts_left = self.request.attempts.len() < self.config.max_attempts as usize;
        let mut attempts = self.request.attempts.iter();
        may_run_concurrently
            && attempts_left
            && attempts.all(|attempt| attempt.not_executed || self.is_repeatable(now, attempt))
    }

    /// Whether the request may be executed again although this attempt may have been executed. An
    /// idempotency key must remain valid for one more tick, within which the next attempt is sent.
    fn is_repeatable(&self, now: Time, attempt: &Attempt) -> bool {
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey { window, .. } => {
                now + self.config.tick < attempt.sent_at + window
            }
            Idempotency::NonIdempotent => false,
        }
    }

    /// Whether a further attempt may go to this backend. It may not if the backend had an attempt
    /// of this request already. If an earlier attempt may have been executed, the backend must also
    /// share the idempotency keys of that attempt's backend; otherwise it would not recognize the
    /// duplicate and would execute the request a second time.
    pub fn allows_backend(&self, endpoint: &Endpoint) -> bool {
        let mut attempts = self.request.attempts.iter();
        attempts.all(|attempt| {
            let is_other_backend = attempt.endpoint.id != endpoint.id;
            is_other_backend
                && (attempt.not_executed || self.may_repeat_on(&attempt.endpoint, endpoint))
        })
    }

    /// Whether the request may be sent to `other` after `first` may have executed it. Only the
    /// scope of idempotency keys restricts this; [`is_repeatable`](Self::is_repeatable) checks the
    /// rest.
    fn may_repeat_on(&self, first: &Endpoint, other: &Endpoint) -> bool {
        match self.idempotency.key_scope() {
            Some(KeyScope::Zone) => first.zone == other.zone,
            Some(KeyScope::Cell) => first.cell == other.cell,
            Some(KeyScope::All) | None => true,
        }
    }

    /// Returns the time before which the host must begin to send the newest attempt; `None` if
    /// there is no limit.
    ///
    /// Backends remember an idempotency key only for its window, which begins with the first
    /// attempt that may have been executed. Establishing a connection can take longer than what
    /// remains of the window.
    pub fn send_by(&self) -> Option<Time> {
        let Idempotency::IdempotencyKey { window, .. } = self.idempotency else {
            return None;
        };
        let (_, earlier) = self.request.attempts.split_last()?;
        let may_have_run = earlier.iter().filter(|attempt| !attempt.not_executed);
        may_have_run.map(|attempt| attempt.sent_at + window).min()
    }

    /// Whether the client may safely send the request again, so that the final response may be a
    /// rejection.
    pub fn is_client_retry_safe(&self) -> bool {
        let mut attempts = self.request.attempts.iter();
        self.idempotency.is_repeatable_anywhere() || attempts.all(|attempt| attempt.not_executed)
    }

    /// Whether an attempt in flight may be cancelled so that another one replaces it. Once it has
    /// ended, [`allows_attempt`](Self::allows_attempt) decides on the other one.
    pub fn allows_replacement(&self) -> bool {
        self.config.cancellation_allowed && self.idempotency != Idempotency::NonIdempotent
    }
}

#[cfg(test)]
mod tests;
