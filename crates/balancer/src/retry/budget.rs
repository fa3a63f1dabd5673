//! The retry budget: it bounds the work that retries and hedged requests add to that of the
//! clients.

use crate::estimation::SAMPLE_MEMORY;

/// Tokens that each request adds. A tenth is usual; twice that covers the time until a failure is
/// noticed.
const TOKENS_PER_REQUEST: f64 = 0.2;
/// Most tokens in the budget: what some hundred requests add.
const MAX_TOKENS: f64 = TOKENS_PER_REQUEST * SAMPLE_MEMORY;
/// Tokens that one retry or hedged request takes.
const RETRY_COST: f64 = 1.0;

/// The retries and hedged requests that may be sent now.
///
/// It owns the tokens. Its caller decides which attempts need one.
#[derive(Default)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Adds what one arriving request adds.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Whether one more attempt may be sent.
    pub fn is_available(&self) -> bool {
        self.tokens >= RETRY_COST
    }

    /// Takes the tokens of one attempt.
    pub fn withdraw(&mut self) {
        self.tokens -= RETRY_COST;
    }
}

#[cfg(test)]
mod tests;
