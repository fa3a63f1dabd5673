//! Retry safety: whether a request may have another attempt, where, and what it may be told.

use crate::requests::{Attempt, Request};
use crate::{Class, Config, Endpoint, Idempotency, KeyScope, Time};

/// Whether and where a request may have its next attempt, and what its client may be told. It reads
/// the configuration and the idempotency of the request's class.
pub(crate) struct RetryPolicy<'a> {
    config: &'a Config,
    request: &'a Request,
    idempotency: Idempotency,
}

impl<'a> RetryPolicy<'a> {
    /// The rules for a request.
    pub fn new(config: &'a Config, request: &'a Request) -> RetryPolicy<'a> {
        let class: &Class = &config.classes[request.class.0];
        RetryPolicy {
            config,
            request,
            idempotency: class.idempotency,
        }
    }

    /// Whether one more attempt is safe and allowed now, wherever it goes.
    pub fn allows_attempt(&self, now: Time) -> bool {
        let may_run_beside = self.config.hedging_allowed || !self.request.is_in_flight();
        let attempts_left = self.request.attempts.len() < self.config.max_attempts as usize;
        let mut attempts = self.request.attempts.iter();
        may_run_beside
            && attempts_left
            && attempts.all(|attempt| attempt.not_executed || self.is_repeatable(now, attempt))
    }

    /// Whether executing the request again does no harm, although this attempt may have run. An
    /// idempotency key has to last for one more tick, in which the next attempt is sent.
    fn is_repeatable(&self, now: Time, attempt: &Attempt) -> bool {
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey { window, .. } => {
                now + self.config.tick < attempt.sent_at + window
            }
            Idempotency::NonIdempotent => false,
        }
    }

    /// Whether a further attempt may go to this backend: to none that had one already, and, if an
    /// earlier attempt may have run, only to one that knows the idempotency keys of that attempt's
    /// backend. A retry with an idempotency key would be executed twice elsewhere.
    pub fn allows_backend(&self, endpoint: &Endpoint) -> bool {
        let mut attempts = self.request.attempts.iter();
        attempts.all(|attempt| {
            let is_other_backend = attempt.endpoint.id != endpoint.id;
            is_other_backend
                && (attempt.not_executed || self.may_repeat_on(&attempt.endpoint, endpoint))
        })
    }

    /// Whether the request may be executed on `other` after `first` may have executed it. Only the
    /// scope of idempotency keys restricts that.
    fn may_repeat_on(&self, first: &Endpoint, other: &Endpoint) -> bool {
        match self.idempotency.key_scope() {
            Some(KeyScope::Zone) => first.zone == other.zone,
            Some(KeyScope::Cell) => first.cell == other.cell,
            Some(KeyScope::All) | None => true,
        }
    }

    /// Until when the newest attempt may begin to be sent. Backends remember an idempotency key for
    /// a while only, counted from the first attempt that may have run, and connecting can take
    /// long.
    pub fn send_by(&self) -> Option<Time> {
        let Idempotency::IdempotencyKey { window, .. } = self.idempotency else {
            return None;
        };
        let (_, earlier) = self.request.attempts.split_last()?;
        let may_have_run = earlier.iter().filter(|attempt| !attempt.not_executed);
        may_have_run.map(|attempt| attempt.sent_at + window).min()
    }

    /// Whether a client that is told that its request was rejected may safely send it again.
    pub fn is_client_retry_safe(&self) -> bool {
        let is_repeatable_anywhere = match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey { scope, .. } => scope == KeyScope::All,
            Idempotency::NonIdempotent => false,
        };
        let mut attempts = self.request.attempts.iter();
        is_repeatable_anywhere || attempts.all(|attempt| attempt.not_executed)
    }

    /// Whether an attempt may be cancelled to make way for another one.
    pub fn allows_replacement(&self) -> bool {
        self.config.cancellation_allowed && self.idempotency != Idempotency::NonIdempotent
    }
}

#[cfg(test)]
mod tests;
