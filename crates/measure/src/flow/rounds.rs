//! Time of a round of decisions in full pools.

use std::io::Write;

use super::arrivals::{Arrival, ArrivalStep, Workload};
use super::simulation::{ROUND_MS, Simulation, parse};
use crate::Error;
use crate::calls::draw::Draw;

const WORKERS: usize = 3000;
const QUEUES: usize = 4;
const ACCOUNTS: usize = 200;
const WAITING_TASKS: u64 = 5000;
/// Tasks of a job; ten of them fit on a worker.
const TASKS: usize = 8;
const MILLICORES: u32 = 3000;
/// Rounds until the pools are full, and rounds that are measured.
const FILL_ROUNDS: u64 = 250;
const ROUNDS: u64 = 500;

/// Measures rounds in which tasks end and as many jobs arrive, and prints their times.
///
/// # Errors
///
/// If the report cannot be written.
pub fn report(seed: u64, out: &mut impl Write) -> Result<(), Error> {
    let mut draw = Draw::new(seed);
    let arrivals = (0..QUEUES).map(|at| job(at, &mut draw)).collect();
    let pool_workers = WORKERS / QUEUES;
    let shares = (0..ACCOUNTS).map(|at| (parse(&format!("t{at}")), 1.0)).collect();
    let mut simulation = Simulation::new(&Workload { pool_workers, shares, arrivals });
    let (mut jobs, mut next) = (0, 0);
    for _ in 0..FILL_ROUNDS + ROUNDS {
        simulation.advance();
        while jobs * TASKS as u64 - simulation.scheduler.counts().starts < WAITING_TASKS {
            simulation.submit(Arrival { at_ms: simulation.ms, ..job(next, &mut draw) });
            (jobs, next) = (jobs + 1, (next + 1) % QUEUES);
        }
        simulation.decide();
    }
    let mut times = simulation.rounds.split_off(FILL_ROUNDS as usize);
    times.sort_unstable();
    let millis = |part: f64| times[((times.len() - 1) as f64 * part) as usize].as_secs_f64() * 1e3;
    let counts = simulation.scheduler.counts();
    writeln!(
        out,
        "rounds: {} workers, {} running and {} waiting tasks, {ACCOUNTS} accounts; {ROUNDS} rounds, each after {ROUND_MS} ms",
        counts.workers,
        counts.attempts,
        jobs * TASKS as u64 - counts.starts,
    )?;
    writeln!(
        out,
        "  median {:.2} ms, 90th percentile {:.2} ms, 99th {:.2} ms, longest {:.2} ms (bound: 10 ms)",
        millis(0.5),
        millis(0.9),
        millis(0.99),
        millis(1.0)
    )?;
    Ok(())
}

/// Draws a job of one step.
fn job(queue: usize, draw: &mut Draw) -> Arrival {
    let account = (draw.unit() * ACCOUNTS as f64) as usize;
    let task_ms = (0..TASKS).map(|_| 2000 + (draw.unit() * 4000.0) as u64).collect();
    Arrival {
        at_ms: 0,
        queue: parse(&format!("q{queue}")),
        account: parse(&format!("t{account}")),
        steps: vec![ArrivalStep { millicores: MILLICORES, estimate_ms: 4000, task_ms }],
        objective_ms: None,
    }
}
