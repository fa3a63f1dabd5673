//! The token bucket that measures a tenant's traffic against its quota.

use crate::estimation::RATE_MEMORY;
use crate::Time;

/// A token bucket. It starts full and holds the tokens of [`RATE_MEMORY`] seconds, one at least.
#[derive(Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Option<Time>,
}

impl TokenBucket {
    /// Takes a token, if there is one, from a bucket that gains `rate` tokens per second.
    pub fn take(&mut self, now: Time, rate: f64) -> bool {
        let elapsed = self.refilled_at.map_or(f64::MAX, |at| (now - at).secs());
        let capacity = (rate * RATE_MEMORY).max(1.0);
        self.tokens = (self.tokens + rate * elapsed).min(capacity);
        self.refilled_at = Some(now);
        let taken = self.tokens >= 1.0;
        self.tokens -= f64::from(taken);
        taken
    }
}
