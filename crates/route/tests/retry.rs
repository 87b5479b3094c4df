//! Retries: only what cannot have run twice, and in proportion to successes.

use vg_base::prelude::*;
use vg_route::{Retry, RetryBudget, RetryRequest};

fn request(outcome: Outcome, idempotent: bool, now: Instant) -> RetryRequest {
    RetryRequest {
        outcome,
        idempotent,
        tries: 1,
        deadline: now + Duration::from_secs(5),
        usual: Duration::from_millis(50),
        jitter: 0.5,
    }
}

#[test]
fn only_proved_or_harmless_tries_are_repeated() {
    let now = Instant::now();
    let mut budget = RetryBudget::new();
    let mut granted = |outcome, idempotent| {
        matches!(budget.ask(&request(outcome, idempotent, now), now), Retry::After(_))
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
        budget.succeeded(now);
    }
    let mut granted = 0;
    for _ in 0..1000 {
        now += Duration::from_millis(10);
        let answer = budget.ask(&request(Outcome::NotRun, true, now), now);
        granted += usize::from(matches!(answer, Retry::After(_)));
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
    assert_eq!(budget.ask(&late, now), Retry::TooLate);
    let tried = RetryRequest { tries: 4, ..good };
    assert_eq!(budget.ask(&tried, now), Retry::TriesSpent);
    let before = budget.saved();
    assert!(
        matches!(budget.ask(&good, now), Retry::After(pause) if pause < Duration::from_millis(21))
    );
    assert_eq!(budget.saved(), before - 1.0);
}
