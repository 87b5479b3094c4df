//! Retries of requests that cannot run twice or may, in proportion to successes.

use vg_base::prelude::*;
use vg_route::{RetryBudget, RetryDecision, RetryRequest};

fn request(outcome: Outcome, idempotent: bool, now: Instant) -> RetryRequest {
    RetryRequest {
        outcome,
        idempotent,
        attempts: 1,
        deadline: now + Duration::from_secs(5),
        typical_run: Duration::from_millis(50),
        jitter: 0.5,
    }
}

/// Guards against requests that run twice: a request that is not idempotent is retried
/// although its last attempt may have run.
#[test]
fn only_harmless_retries_are_granted() {
    let now = Instant::now();
    let mut budget = RetryBudget::new();
    let mut granted = |outcome, idempotent| {
        matches!(budget.try_retry(&request(outcome, idempotent, now), now), RetryDecision::After(_))
    };
    assert!(granted(Outcome::NotRun, false));
    assert!(granted(Outcome::NotRun, true));
    assert!(granted(Outcome::Unknown, true));
    assert!(!granted(Outcome::Unknown, false));
    assert!(!granted(Outcome::Answered, true));
}

/// Guards against retries that add their own load to a service that fails all of its
/// calls.
#[test]
fn failing_calls_use_up_the_budget() {
    let mut now = Instant::now();
    let mut budget = RetryBudget::new();
    for _ in 0..1000 {
        budget.record_success(now);
    }
    let mut granted = 0;
    for _ in 0..1000 {
        now += Duration::from_millis(10);
        let decision = budget.try_retry(&request(Outcome::NotRun, true, now), now);
        granted += usize::from(matches!(decision, RetryDecision::After(_)));
    }
    // 20 retries that the budget held, and one for every two of the ten seconds.
    assert!((20..=25).contains(&granted), "{granted}");
}

/// Guards against retries that cannot end by the deadline, retries without an end, and
/// refused retries that use up the budget.
#[test]
fn no_retry_exceeds_the_deadline_or_the_attempts() {
    let now = Instant::now();
    let mut budget = RetryBudget::new();
    let good = request(Outcome::NotRun, true, now);
    let late = RetryRequest { deadline: now + Duration::from_millis(50), ..good };
    assert_eq!(budget.try_retry(&late, now), RetryDecision::TooLate);
    let exhausted = RetryRequest { attempts: 4, ..good };
    assert_eq!(budget.try_retry(&exhausted, now), RetryDecision::AttemptsExhausted);
    let before = budget.available();
    assert!(
        matches!(budget.try_retry(&good, now), RetryDecision::After(backoff) if backoff < Duration::from_millis(21))
    );
    assert_eq!(budget.available(), before - 1.0);
}
