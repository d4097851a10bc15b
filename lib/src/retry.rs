//! Retry budget and jittered backoff.
//!
//! The budget is a share of ordinary requests, so that retries cannot multiply the load when many
//! endpoints fail at once.

use std::time::Duration;

use rand::Rng;

/// Retries earned by one ordinary request.
pub const BUDGET_SHARE: f64 = 0.2;

/// Retries that may be saved up; it lets a small entry retry all requests of one crashed endpoint.
pub const BUDGET_BURST: f64 = 20.0;

/// Backoff before the second retry; the first is immediate because it goes to another endpoint.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(50);

/// Longest backoff.
pub const LONGEST_BACKOFF: Duration = Duration::from_secs(2);

/// Retries that are allowed at present.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: f64,
    burst: f64,
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(BUDGET_SHARE, BUDGET_BURST)
    }
}

impl RetryBudget {
    /// Creates a full budget that earns `share` retries with each request and saves up to `burst`.
    pub fn new(share: f64, burst: f64) -> Self {
        Self {
            share,
            burst,
            tokens: burst,
        }
    }

    /// Counts an ordinary request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Takes one retry and tells whether there was one.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Returns the wait before a retry, counted from 1, drawn evenly up to the doubled limit.
pub fn backoff(retry: u32, rng: &mut impl Rng) -> Duration {
    if retry <= 1 {
        return Duration::ZERO;
    }
    let factor = 1u32 << (retry - 2).min(16);
    let limit = (FIRST_BACKOFF * factor).min(LONGEST_BACKOFF);
    limit.mul_f64(rng.random_range(0.5..=1.0))
}
