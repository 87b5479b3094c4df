//! Limits retries in proportion to successes.

use vg_base::prelude::*;
use vg_call::RetryTokens;

/// Largest number of attempts of one request, including the first.
const MAX_ATTEMPTS: u32 = 4;
/// Longest backoff before the first retry. It doubles with each further retry.
const BACKOFF_INITIAL: Duration = Duration::from_millis(20);
/// Longest backoff before any retry.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// A request whose last attempt failed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRequest {
    /// Outcome of the last attempt.
    pub outcome: Outcome,
    /// Whether the request may run more than once without harm.
    pub idempotent: bool,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Time by which the answer must have ended.
    pub deadline: Instant,
    /// Time that a run of the request usually takes.
    pub typical_run: Duration,
    /// A random number from 0 to 1 that spreads retries over time.
    pub jitter: f64,
}

/// Whether a request is retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request is retried after this backoff.
    After(Duration),
    /// The request was answered, or it may have run and must not run twice.
    Forbidden,
    /// The request has had all of its attempts.
    AttemptsExhausted,
    /// A retry could not end by the deadline.
    TooLate,
    /// There were too many retries in proportion to successes.
    BudgetExhausted,
}

/// Retries of requests to one service, in proportion to its answers ([`RetryTokens`]).
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    tokens: RetryTokens,
}

impl RetryBudget {
    /// Makes a budget with a few retries.
    pub fn new() -> RetryBudget {
        RetryBudget::default()
    }

    /// Records an answered call, which adds to the budget.
    pub fn record_success(&mut self, now: Instant) {
        self.tokens.record_success(now);
    }

    /// Decides whether a request is retried, and takes the retry from the budget if
    /// it is.
    pub fn try_retry(&mut self, request: &RetryRequest, now: Instant) -> RetryDecision {
        let allowed = match request.outcome {
            Outcome::NotRun => true,
            Outcome::Unknown => request.idempotent,
            Outcome::Answered => false,
        };
        if !allowed {
            return RetryDecision::Forbidden;
        }
        if request.attempts >= MAX_ATTEMPTS {
            return RetryDecision::AttemptsExhausted;
        }
        let backoff = backoff(request);
        if now + backoff + request.typical_run > request.deadline {
            return RetryDecision::TooLate;
        }
        match self.tokens.take(now) {
            true => RetryDecision::After(backoff),
            false => RetryDecision::BudgetExhausted,
        }
    }

    /// Returns the number of retries in the budget.
    pub fn available(&self) -> f64 {
        self.tokens.available()
    }
}

/// Returns the backoff before the next attempt. Its upper bound doubles with each
/// retry, up to [`BACKOFF_MAX`].
///
/// Half of the backoff is fixed and half is random, so that calls that failed
/// together are not retried together.
fn backoff(request: &RetryRequest) -> Duration {
    let doublings = request.attempts.saturating_sub(1).min(MAX_ATTEMPTS);
    let longest = (BACKOFF_INITIAL * 2u32.pow(doublings)).min(BACKOFF_MAX);
    longest.mul_f64(0.5 + 0.5 * request.jitter.clamp(0.0, 1.0))
}
