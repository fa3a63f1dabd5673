//! The retry budget limits the work that retries and hedged requests add to the work of the
//! clients' requests.

use crate::estimation::SAMPLE_MEMORY;

/// Tokens that each arriving request adds. Retry budgets are usually 0.1 per request; twice that
/// covers the retries that are needed until a failure is detected.
const TOKENS_PER_REQUEST: f64 = 0.2;
/// Maximum number of tokens in the budget: the tokens that [`SAMPLE_MEMORY`] requests add.
const MAX_TOKENS: f64 = TOKENS_PER_REQUEST * SAMPLE_MEMORY;
/// Tokens that each retry or hedged request takes.
const RETRY_COST: f64 = 1.0;

/// A token bucket for retries and hedged requests.
///
/// It owns the tokens. The caller decides which attempts need one.
#[derive(Default)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Adds the tokens of one arriving request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Whether the budget has the tokens for one retry or hedged request.
    pub fn is_available(&self) -> bool {
        self.tokens >= RETRY_COST
    }

    /// Takes the tokens of one retry or hedged request.
    pub fn withdraw(&mut self) {
        self.tokens -= RETRY_COST;
    }
}

#[cfg(test)]
mod tests;
