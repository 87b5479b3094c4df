//! Measures the time of a placement round by the number of workers and waiting jobs.

use std::io::Write;

use vg_base::prelude::*;
use vg_jobs::{Class, JobSpec, Limits, Resources, WorkerSpec};

use super::quarantine::RoundDriver;
use super::site::{PoolSite, name};
use super::work::{ActualUse, Arrival};
use crate::Error;
use crate::calls::draw::Draw;
use crate::report::Table;

/// Number of teams of the largest planned fleet.
const TEAMS: usize = 65;

/// Numbers of workers and waiting jobs of the measurements.
const SIZES: [(usize, usize); 7] = [
    (75, 10_000),
    (150, 10_000),
    (300, 10_000),
    (600, 10_000),
    (600, 1_000),
    (600, 30_000),
    (600, 100_000),
];

/// Measures the times of rounds and prints a table.
pub(super) fn report(seed: u64, out: &mut impl Write) -> Result<(), Error> {
    writeln!(
        out,
        "\nrounds: one round with an empty pool, then one with the full pool, real time"
    )?;
    let mut table = Table::new(&[
        "workers",
        "waiting",
        "placed",
        "first round ms",
        "placements/s",
        "next round ms",
    ]);
    for (workers, waiting) in SIZES {
        let row = measure_rounds(seed, workers, waiting);
        table.row(&[
            &workers,
            &waiting,
            &row.placed,
            &millis(row.first),
            &format!("{:.0}", row.placed as f64 / row.first.as_secs_f64()),
            &millis(row.next),
        ]);
    }
    table.write(out)?;
    Ok(())
}

/// Formats a time in milliseconds.
fn millis(time: Duration) -> String {
    format!("{:.1}", time.as_secs_f64() * 1000.0)
}

/// The figures of one measurement.
struct Row {
    placed: usize,
    first: Duration,
    next: Duration,
}

/// Measures the first round, which fills the pool, and the next one.
fn measure_rounds(seed: u64, workers: usize, waiting: usize) -> Row {
    let pool = PoolSite { name: name("pool"), hosts: hosts(workers), first_team: 0 };
    let limits = Limits { max_staged_bytes: usize::MAX, ..Limits::default() };
    let mut driver = RoundDriver::new(&pool, limits);
    driver.submit(&jobs(seed, waiting));
    let started = Instant::now();
    let placed = driver.place().placed;
    let first = started.elapsed();
    driver.commit();
    let started = Instant::now();
    driver.place();
    Row { placed, first, next: started.elapsed() }
}

/// Returns the workers of the pool.
fn hosts(count: usize) -> Vec<WorkerSpec> {
    let host = |index: usize| WorkerSpec {
        host: name(&format!("w{index}")),
        rack: name(&format!("r{}", index / 4)),
        zone: name(&format!("z{}", index / 4 % 5)),
        // Of 600 workers, 350 have 4 accelerators each: 1,400 in all.
        capacity: Resources::new(16_000, 64 << 30, if index % 12 < 7 { 4 } else { 0 }),
        leaving: false,
    };
    (0..count).map(host).collect()
}

/// Draws the waiting jobs.
fn jobs(seed: u64, count: usize) -> Vec<Arrival> {
    let mut draw = Draw::new(seed);
    let mut job = |number: usize| {
        let urgent = draw.unit() < 0.15;
        let cores = 500 + (draw.unit() * 4000.0) as u32;
        let memory = (1 << 30) + (draw.unit() * (12_u64 << 30) as f64) as u64;
        let size = Resources::new(cores, memory, u16::from(draw.unit() < 0.3));
        let spec = JobSpec {
            queue: name(if urgent { "notices" } else { "feeds" }),
            team: name(&format!("team{}", draw.index(&[1.0; TEAMS]))),
            class: if urgent { Class::Urgent } else { Class::Background },
            idempotent: draw.unit() < 0.7,
            size,
            run_time: None,
            start_by: None,
            payload: vec![0; 200].into(),
        };
        let actual = ActualUse { size, run_millis: 1000 };
        Arrival { at_millis: 0, job: JobId::new(number as u128 + 1), spec, actual }
    };
    (0..count).map(&mut job).collect()
}
