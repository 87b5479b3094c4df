//! Limits retries in proportion to successes.

use vg_base::prelude::*;

/// Retries added by each answered call.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Retries added in each second, so that a caller with few calls may retry too.
const RETRIES_PER_SECOND: f64 = 0.5;
/// Largest number of retries that are saved.
const MAX_RETRIES: f64 = 20.0;
/// Retries that are there at first.
const INITIAL_RETRIES: f64 = 5.0;

/// A token bucket of retries that successes and time fill.
///
/// When a callee fails most of its calls, successes stop, and with them retries: besides
/// a small constant rate, retries are at most a tenth of the successful calls.
#[derive(Debug, Clone)]
pub struct RetryTokens {
    /// Retries that may be made now.
    tokens: f64,
    /// Time up to which retries were added, `None` before the first use.
    refilled_at: Option<Instant>,
}

impl Default for RetryTokens {
    fn default() -> RetryTokens {
        RetryTokens { tokens: INITIAL_RETRIES, refilled_at: None }
    }
}

impl RetryTokens {
    /// Records an answered call, which adds to the tokens.
    pub fn record_success(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = (self.tokens + RETRIES_PER_SUCCESS).min(MAX_RETRIES);
    }

    /// Takes a token for a retry. Returns whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }

    /// Returns the number of retries that could be made at the last use.
    pub fn available(&self) -> f64 {
        self.tokens
    }

    /// Adds the tokens for the time since the last refill.
    fn refill(&mut self, now: Instant) {
        let since = self.refilled_at.unwrap_or(now);
        let secs = now.saturating_duration_since(since).as_secs_f64();
        self.tokens = (self.tokens + secs * RETRIES_PER_SECOND).min(MAX_RETRIES);
        self.refilled_at = Some(now.max(since));
    }
}
