//! Calls to a callee that handles one at a time, also those that were given up.

use vg_base::prelude::*;
use vg_call::{Call, CallKey, CallKind, CallWindow, Failure, Permit, RetryTokens};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn admit(window: &mut CallWindow, cost: u64, kind: CallKind, now: Instant) -> Option<Permit> {
    window.admit(Call { cost: ms(cost), kind }, now)
}

fn open_call(window: &mut CallWindow, now: Instant) -> CallKey {
    admit(window, 500, CallKind::First, now).expect("the window is open").key()
}

/// Guards against calls that wait with the callee and not with the caller.
#[test]
fn calls_in_flight_are_bounded() {
    let now = Instant::now();
    let mut window = CallWindow::new(2);
    let first = open_call(&mut window, now);
    open_call(&mut window, now);
    assert!(admit(&mut window, 500, CallKind::First, now).is_none());
    window.answered(first, now + ms(500));
    assert!(admit(&mut window, 500, CallKind::First, now + ms(500)).is_some());
}

/// Guards against a call that is given up although the callee has only had time for the one
/// before it.
#[test]
fn the_timeout_counts_the_calls_before() {
    let now = Instant::now();
    let mut window = CallWindow::new(2);
    let first = admit(&mut window, 2000, CallKind::First, now).unwrap();
    let second = admit(&mut window, 100, CallKind::First, now).unwrap();
    assert!(first.timeout() > ms(2000));
    assert!(second.timeout() > ms(2100));
}

/// Guards against a callee that is kept busy with calls that were given up: their time is
/// not free before the callee is done with them.
#[test]
fn a_call_that_was_given_up_stays_in_flight() {
    let now = Instant::now();
    let mut window = CallWindow::new(1);
    let permit = admit(&mut window, 500, CallKind::First, now).unwrap();
    let later = now + permit.timeout();
    window.failed(permit.key(), Failure::Unanswered, later);
    assert!(!window.is_open(later + ms(499)));
    assert!(window.is_open(later + ms(3000)));
    // One that the callee has refused is over.
    let refused = open_call(&mut window, later + ms(3000));
    window.failed(refused, Failure::Refused, later + ms(3000));
    assert!(window.is_open(later + ms(3500)));
}

/// Guards against a window that stays closed because nothing is reported of a call.
#[test]
fn a_call_of_which_nothing_is_reported_ends() {
    let now = Instant::now();
    let mut window = CallWindow::new(1);
    let permit = admit(&mut window, 500, CallKind::First, now).unwrap();
    let later = now + permit.timeout() + ms(500);
    assert!(window.is_awaited(permit.key()));
    assert!(window.is_open(later));
    assert!(!window.is_awaited(permit.key()));
}

/// Guards against a callee that is slower than it says, so that each call is given up.
#[test]
fn timeouts_follow_a_callee_that_is_slower_than_it_says() {
    let mut now = Instant::now();
    let mut window = CallWindow::new(2);
    let takes = ms(3500);
    for _ in 0..20 {
        while !window.is_open(now) {
            now += ms(10);
        }
        let permit = admit(&mut window, 500, CallKind::First, now).unwrap();
        if permit.timeout() >= takes {
            return;
        }
        now += permit.timeout();
        window.failed(permit.key(), Failure::Unanswered, now);
    }
    panic!("each call was given up");
}

/// Guards against retries that are the only load: a callee that fails all calls gets few.
#[test]
fn retries_of_failing_calls_are_few() {
    let start = Instant::now();
    let mut window = CallWindow::new(2);
    let mut calls = 0;
    for step in 0..6000 {
        let now = start + ms(step * 10);
        if let Some(permit) = admit(&mut window, 20, CallKind::Retry, now) {
            calls += 1;
            window.failed(permit.key(), Failure::Refused, now);
        }
    }
    // The tokens that were there at first, and one for every two of the sixty seconds.
    assert!((20..=35).contains(&calls), "{calls}");
}

/// Guards against retries without bound where most calls succeed.
#[test]
fn retries_are_a_share_of_the_successes() {
    let now = Instant::now();
    let mut tokens = RetryTokens::default();
    while tokens.take(now) {}
    for _ in 0..100 {
        tokens.record_success(now);
    }
    let taken = (0..100).filter(|_| tokens.take(now)).count();
    assert!((9..=10).contains(&taken), "{taken}");
}
