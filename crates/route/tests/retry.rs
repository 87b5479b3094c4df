//! Retries: only what cannot have run twice, and in proportion to successes.

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

#[test]
fn only_proved_or_harmless_tries_are_repeated() {
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

#[test]
fn a_brown_out_spends_the_budget() {
    let mut now = Instant::now();
    let mut budget = RetryBudget::new();
    for _ in 0..1000 {
        budget.record_success(now);
    }
    let mut granted = 0;
    for _ in 0..1000 {
        now += Duration::from_millis(10);
        let answer = budget.try_retry(&request(Outcome::NotRun, true, now), now);
        granted += usize::from(matches!(answer, RetryDecision::After(_)));
    }
    // 20 saved up, and one for every two seconds of ten.
    assert!((20..=25).contains(&granted), "{granted}");
}

#[test]
fn no_retry_goes_past_the_deadline_or_the_tries() {
    let now = Instant::now();
    let mut budget = RetryBudget::new();
    let good = request(Outcome::NotRun, true, now);
    let late = RetryRequest { deadline: now + Duration::from_millis(50), ..good };
    assert_eq!(budget.try_retry(&late, now), RetryDecision::TooLate);
    let tried = RetryRequest { attempts: 4, ..good };
    assert_eq!(budget.try_retry(&tried, now), RetryDecision::AttemptsExhausted);
    let before = budget.available();
    assert!(
        matches!(budget.try_retry(&good, now), RetryDecision::After(pause) if pause < Duration::from_millis(21))
    );
    assert_eq!(budget.available(), before - 1.0);
}
