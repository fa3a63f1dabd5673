//! The token bucket that measures a tenant's traffic against its quota.

use crate::estimation::RATE_MEMORY_SECS;
use crate::Time;

/// Minimum capacity of a bucket, in tokens. With a capacity below one, no request would ever get a
/// token.
const MIN_CAPACITY: f64 = 1.0;
/// Tokens that each request takes.
const TOKENS_PER_REQUEST: f64 = 1.0;

/// A token bucket. It starts full. Its capacity is the number of tokens that are added in
/// [`RATE_MEMORY_SECS`], but at least one.
///
/// It owns its tokens and the time of the last refill. The caller passes in the current time and
/// the rate at which tokens are added.
#[derive(Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    /// When tokens were last added; `None` before the bucket is first used.
    refilled_at: Option<Time>,
}

impl TokenBucket {
    /// Refills the bucket at `rate` tokens per second, then takes a token. Returns `false` if there
    /// is none.
    pub fn take(&mut self, now: Time, rate: f64) -> bool {
        self.refill(now, rate);
        if self.tokens < TOKENS_PER_REQUEST {
            return false;
        }
        self.tokens -= TOKENS_PER_REQUEST;
        true
    }

    /// Adds the tokens for the time since the last refill, up to the capacity.
    fn refill(&mut self, now: Time, rate: f64) {
        let elapsed_secs = match self.refilled_at {
            Some(refilled_at) => (now - refilled_at).secs(),
            None => f64::MAX,
        };
        let capacity = (rate * RATE_MEMORY_SECS).max(MIN_CAPACITY);
        self.tokens = (self.tokens + rate * elapsed_secs).min(capacity);
        self.refilled_at = Some(now);
    }
}

#[cfg(test)]
mod tests;
