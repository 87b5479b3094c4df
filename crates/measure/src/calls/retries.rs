//! Measures retries while a service has reduced capacity (a brown-out).

use std::collections::BTreeMap;
use std::io::Write;

use vg_base::prelude::*;
use vg_route::{RetryBudget, RetryDecision, RetryRequest};

use super::draw::Draw;
use crate::Error;
use crate::report::{Table, percent};

/// Length of a run, in steps of 100 ms.
const STEPS: u64 = 1_200;
/// Steps during which the service has reduced capacity.
const BROWNOUT: std::ops::Range<u64> = 200..600;
/// Mean number of calls that arrive per step.
const ARRIVALS: f64 = 80.0;
/// Number of calls that the service answers per step.
const CAPACITY: f64 = 120.0;
/// Number of calls that the service answers per step in the brown-out.
const REDUCED_CAPACITY: f64 = 30.0;
/// Cost of a failed attempt for the service, as a fraction of the cost of an answered call.
const FAILURE_COST: f64 = 0.3;
/// Time from the arrival of a call to its deadline, in steps.
const DEADLINE_STEPS: u64 = 30;
/// Largest number of attempts without a retry budget.
const MAX_ATTEMPTS: u32 = 10;

/// The figures of one run.
#[derive(Debug, Default)]
struct Tally {
    calls: u64,
    answered: u64,
    /// Calls that arrived in the brown-out.
    brownout_calls: u64,
    /// Attempts in the brown-out.
    brownout_attempts: u64,
    /// Calls that arrived in the brown-out and were answered.
    brownout_answered: u64,
    /// Steps from the end of the brown-out until the smoothed rate of answers exceeds 95% of
    /// the rate of arrivals, or `None` if it never does.
    recovered_after: Option<u64>,
}

/// Runs each retry policy and prints a table.
pub(super) fn report(seed: u64, out: &mut impl Write) -> Result<(), Error> {
    writeln!(out, "\nretries: a service answers 300 of 800 idempotent calls per second for 40 s")?;
    let mut table = Table::new(&[
        "retries",
        "calls",
        "answered",
        "attempts per call in the brown-out",
        "answered in the brown-out",
        "recovered after, s",
    ]);
    let runs = [
        ("none", run(seed, |_, _, _| RetryDecision::Forbidden)),
        ("verbenagap", run(seed, |budget, request, now| budget.try_retry(request, now))),
        ("unbounded", run(seed, |_, request, _| unbounded(request))),
    ];
    for (name, tally) in runs {
        let after = tally
            .recovered_after
            .map_or("never".to_owned(), |steps| format!("{:.1}", steps as f64 / 10.0));
        table.row(&[
            &name,
            &tally.calls,
            &percent(tally.answered as f64 / tally.calls.max(1) as f64),
            &format!("{:.2}", tally.brownout_attempts as f64 / tally.brownout_calls.max(1) as f64),
            &percent(tally.brownout_answered as f64 / tally.brownout_calls.max(1) as f64),
            &after,
        ]);
    }
    table.write(out)?;
    Ok(())
}

/// Allows retries up to a fixed number of attempts, without a budget.
fn unbounded(request: &RetryRequest) -> RetryDecision {
    if request.attempts < MAX_ATTEMPTS {
        RetryDecision::After(Duration::from_millis(20))
    } else {
        RetryDecision::AttemptsExhausted
    }
}

/// Simulates the service with the retry policy `decide`.
fn run(
    seed: u64,
    decide: impl Fn(&mut RetryBudget, &RetryRequest, Instant) -> RetryDecision,
) -> Tally {
    let start = Instant::now();
    let at = |step: u64| start + Duration::from_millis(step * 100);
    let mut draw = Draw::new(seed);
    let mut budget = RetryBudget::new();
    let mut tally = Tally::default();
    // Attempts by the step in which they arrive, each with the arrival step of its call and
    // its number.
    let mut attempts: BTreeMap<u64, Vec<(u64, u32)>> = BTreeMap::new();
    let mut arrival = draw.pause(ARRIVALS);
    // Number of answers per step, smoothed exponentially.
    let mut recent_answers = 0.0;
    for step in 0..STEPS {
        let brownout = BROWNOUT.contains(&step);
        while arrival < step as f64 {
            attempts.entry(step).or_default().push((step, 1));
            tally.calls += 1;
            tally.brownout_calls += u64::from(brownout);
            arrival += draw.pause(ARRIVALS);
        }
        let now = at(step);
        let due = attempts.remove(&step).unwrap_or_default();
        let capacity = if brownout { REDUCED_CAPACITY } else { CAPACITY };
        // Failed attempts cost capacity too, so a retry storm reduces the capacity further.
        let load = due.len() as f64;
        let excess = (load - capacity).max(0.0);
        let useful = (capacity - excess * FAILURE_COST).max(0.0);
        let success_rate = if load > 0.0 { (useful / load).min(1.0) } else { 1.0 };
        let mut answered = 0;
        for (since, count) in due {
            tally.brownout_attempts += u64::from(brownout);
            if draw.unit() < success_rate {
                answered += 1;
                budget.record_success(now);
                tally.brownout_answered += u64::from(BROWNOUT.contains(&since));
                continue;
            }
            let request = RetryRequest {
                outcome: Outcome::NotRun,
                idempotent: true,
                attempts: count,
                deadline: at(since + DEADLINE_STEPS),
                typical_run: Duration::from_millis(10),
                jitter: draw.unit(),
            };
            if let RetryDecision::After(pause) = decide(&mut budget, &request, now) {
                let steps = (pause.as_millis() as u64).div_ceil(100).max(1);
                attempts.entry(step + steps).or_default().push((since, count + 1));
            }
        }
        tally.answered += answered;
        recent_answers += 0.1 * (answered as f64 - recent_answers);
        let recovered = recent_answers > 0.95 * ARRIVALS;
        if step >= BROWNOUT.end && recovered && tally.recovered_after.is_none() {
            tally.recovered_after = Some(step - BROWNOUT.end);
        }
    }
    tally
}
