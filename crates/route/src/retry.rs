//! A bound on retries, in proportion to successes.

use vg_base::prelude::*;

/// Retries earned by each answered call.
const EARNED: f64 = 0.1;
/// Retries earned by each second, so that a quiet queue may retry at all.
const EARNED_EACH_SECOND: f64 = 0.5;
/// Most retries that can be saved up.
const SAVED_MAX: f64 = 20.0;
/// Retries that a new budget holds.
const SAVED_AT_START: f64 = 5.0;
/// Tries of one request in all.
const TRIES_MAX: u32 = 4;
/// Pause before the first retry; each further one doubles it.
const PAUSE_MIN: Duration = Duration::from_millis(20);
/// Longest pause before a retry.
const PAUSE_MAX: Duration = Duration::from_secs(1);

/// A request whose last try did not answer it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRequest {
    /// How the last try ended.
    pub outcome: Outcome,
    /// Whether the work may run more than once without harm.
    pub idempotent: bool,
    /// Tries so far.
    pub attempts: u32,
    /// When the answer must have ended.
    pub deadline: Instant,
    /// Time that the work usually takes.
    pub typical_run: Duration,
    /// A random number from 0 to 1 that spreads retries over time.
    pub jitter: f64,
}

/// Whether a request is tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after this pause.
    After(Duration),
    /// It was answered, or may have run and must not run twice.
    Forbidden,
    /// It was tried often enough.
    AttemptsExhausted,
    /// It could not end by its deadline.
    TooLate,
    /// Too many retries for the successes that there are.
    BudgetExhausted,
}

/// A token bucket that successes fill and retries empty.
///
/// When a service browns out, successes stop and so do retries: at most a
/// tenth of load is added to what callers send.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
    since: Option<Instant>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved: SAVED_AT_START, since: None }
    }
}

impl RetryBudget {
    /// Makes a budget that holds a few retries.
    pub fn new() -> RetryBudget {
        RetryBudget::default()
    }

    /// Notes an answered call.
    pub fn record_success(&mut self, now: Instant) {
        self.earn(now);
        self.saved = (self.saved + EARNED).min(SAVED_MAX);
    }

    /// Decides on a retry, and pays for it if it is granted.
    pub fn try_retry(&mut self, request: &RetryRequest, now: Instant) -> RetryDecision {
        self.earn(now);
        let allowed = match request.outcome {
            Outcome::NotRun => true,
            Outcome::Unknown => request.idempotent,
            Outcome::Answered => false,
        };
        if !allowed {
            return RetryDecision::Forbidden;
        }
        if request.attempts >= TRIES_MAX {
            return RetryDecision::AttemptsExhausted;
        }
        let pause = pause(request);
        if now + pause + request.typical_run > request.deadline {
            return RetryDecision::TooLate;
        }
        if self.saved < 1.0 {
            return RetryDecision::BudgetExhausted;
        }
        self.saved -= 1.0;
        RetryDecision::After(pause)
    }

    /// Returns the retries that are saved up.
    pub fn available(&self) -> f64 {
        self.saved
    }

    fn earn(&mut self, now: Instant) {
        let since = self.since.unwrap_or(now);
        let secs = now.saturating_duration_since(since).as_secs_f64();
        self.saved = (self.saved + secs * EARNED_EACH_SECOND).min(SAVED_MAX);
        self.since = Some(now.max(since));
    }
}

/// Half of the pause is fixed and half is random, so that retries of calls
/// that failed together do not come together.
fn pause(request: &RetryRequest) -> Duration {
    let doublings = request.attempts.saturating_sub(1).min(TRIES_MAX);
    let most = (PAUSE_MIN * 2u32.pow(doublings)).min(PAUSE_MAX);
    most.mul_f64(0.5 + 0.5 * request.jitter.clamp(0.0, 1.0))
}
