//! Retries while a service browns out.

use std::collections::BTreeMap;
use std::io::Write;

use vg_base::prelude::*;
use vg_route::{RetryBudget, RetryDecision, RetryRequest};

use super::draw::Draw;
use crate::Error;
use crate::report::{Table, percent};

/// Length of a run, in steps of 100 ms.
const STEPS: u64 = 1_200;
/// When the service answers little.
const BROWNOUT: std::ops::Range<u64> = 200..600;
/// Calls that come in a step.
const ARRIVALS: f64 = 80.0;
/// Calls that the service answers in a step.
const CAPACITY: f64 = 120.0;
/// Calls that it answers in a step while it browns out.
const REDUCED: f64 = 30.0;
/// Part of the service's time for a call that a failed try costs it.
const FAILURE_COST: f64 = 0.3;
/// Time from a call's coming to its deadline, in steps.
const DEADLINE_STEPS: u64 = 30;
/// Tries without a budget.
const TRIES: u32 = 10;

/// What a run counted.
#[derive(Debug, Default)]
struct Tally {
    calls: u64,
    answered: u64,
    brownout_calls: u64,
    brownout_tries: u64,
    brownout_answered: u64,
    recovered_after: Option<u64>,
}

/// Runs both ways and prints a table.
pub(super) fn report(seed: u64, out: &mut impl Write) -> Result<(), Error> {
    writeln!(out, "\nretries: a service answers 300 of 800 idempotent calls a second for 40 s")?;
    let mut table = Table::new(&[
        "retries",
        "calls",
        "answered",
        "tries a call in the brown-out",
        "answered in the brown-out",
        "back to normal after, s",
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
            &format!("{:.2}", tally.brownout_tries as f64 / tally.brownout_calls.max(1) as f64),
            &percent(tally.brownout_answered as f64 / tally.brownout_calls.max(1) as f64),
            &after,
        ]);
    }
    table.write(out)?;
    Ok(())
}

fn unbounded(request: &RetryRequest) -> RetryDecision {
    if request.attempts < TRIES {
        RetryDecision::After(Duration::from_millis(20))
    } else {
        RetryDecision::AttemptsExhausted
    }
}

fn run(
    seed: u64,
    decide: impl Fn(&mut RetryBudget, &RetryRequest, Instant) -> RetryDecision,
) -> Tally {
    let start = Instant::now();
    let at = |step: u64| start + Duration::from_millis(step * 100);
    let mut draw = Draw::new(seed);
    let mut budget = RetryBudget::new();
    let mut tally = Tally::default();
    // Tries by the step that they come in: the call's first step, and its number of tries.
    let mut tries: BTreeMap<u64, Vec<(u64, u32)>> = BTreeMap::new();
    let mut arrival = draw.pause(ARRIVALS);
    let mut answered_lately = 0.0;
    for step in 0..STEPS {
        let brownout = BROWNOUT.contains(&step);
        while arrival < step as f64 {
            tries.entry(step).or_default().push((step, 1));
            tally.calls += 1;
            tally.brownout_calls += u64::from(brownout);
            arrival += draw.pause(ARRIVALS);
        }
        let now = at(step);
        let due = tries.remove(&step).unwrap_or_default();
        let capacity = if brownout { REDUCED } else { CAPACITY };
        // Failed tries cost the service, too, so that a storm feeds itself.
        let load = due.len() as f64;
        let surplus = (load - capacity).max(0.0);
        let useful = (capacity - surplus * FAILURE_COST).max(0.0);
        let chance = if load > 0.0 { (useful / load).min(1.0) } else { 1.0 };
        let mut answered = 0;
        for (since, count) in due {
            tally.brownout_tries += u64::from(brownout);
            if draw.unit() < chance {
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
                tries.entry(step + steps).or_default().push((since, count + 1));
            }
        }
        tally.answered += answered;
        answered_lately += 0.1 * (answered as f64 - answered_lately);
        let normal = answered_lately > 0.95 * ARRIVALS;
        if step >= BROWNOUT.end && normal && tally.recovered_after.is_none() {
            tally.recovered_after = Some(step - BROWNOUT.end);
        }
    }
    tally
}
