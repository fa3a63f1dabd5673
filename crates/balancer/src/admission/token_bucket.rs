//! The token bucket that measures a tenant's traffic against its quota.

use crate::estimation::RATE_MEMORY;
use crate::Time;

/// Fewest tokens that a bucket can hold: with less than one, no request would ever get a token.
const MIN_CAPACITY: f64 = 1.0;
/// Tokens that one request takes.
const TOKENS_PER_REQUEST: f64 = 1.0;

/// A token bucket. It starts full and holds the tokens of [`RATE_MEMORY`] seconds, one at least.
///
/// It owns its tokens and the time of the last refill. It takes the time and the rate at which
/// tokens are added as arguments.
#[derive(Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    /// When tokens were last added; `None` until the bucket has been filled for the first time.
    refilled_at: Option<Time>,
}

impl TokenBucket {
    /// Takes a token, if there is one, from a bucket that gains `rate` tokens per second.
    pub fn take(&mut self, now: Time, rate: f64) -> bool {
        self.refill(now, rate);
        if self.tokens < TOKENS_PER_REQUEST {
            return false;
        }
        self.tokens -= TOKENS_PER_REQUEST;
        true
    }

    /// Adds the tokens since the last refill, up to the capacity.
    fn refill(&mut self, now: Time, rate: f64) {
        let elapsed_secs = match self.refilled_at {
            Some(refilled_at) => (now - refilled_at).secs(),
            None => f64::MAX,
        };
        let capacity = (rate * RATE_MEMORY).max(MIN_CAPACITY);
        self.tokens = (self.tokens + rate * elapsed_secs).min(capacity);
        self.refilled_at = Some(now);
    }
}

#[cfg(test)]
mod tests;
