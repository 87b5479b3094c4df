//! Time of a round of placement, against workers and queue length.

use std::io::Write;

use vg_base::prelude::*;
use vg_jobs::{Class, JobSpec, Limits, Resources, WorkerSpec};

use super::quarantine::Turns;
use super::site::{PoolSite, name};
use super::work::{Arrival, Truth};
use crate::Error;
use crate::calls::draw::Draw;
use crate::report::Table;

/// Teams of the largest fleet that is planned for.
const TEAMS: usize = 65;

/// Workers and waiting jobs of each measurement.
const SIZES: [(usize, usize); 7] = [
    (75, 10_000),
    (150, 10_000),
    (300, 10_000),
    (600, 10_000),
    (600, 1_000),
    (600, 30_000),
    (600, 100_000),
];

/// Times rounds and prints a table.
pub(super) fn report(seed: u64, out: &mut impl Write) -> Result<(), Error> {
    writeln!(
        out,
        "\nrounds: one round over one empty pool, then one over the full pool, wall time"
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
        let row = time(seed, workers, waiting);
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

fn millis(time: Duration) -> String {
    format!("{:.1}", time.as_secs_f64() * 1000.0)
}

struct Row {
    placed: usize,
    first: Duration,
    next: Duration,
}

fn time(seed: u64, workers: usize, waiting: usize) -> Row {
    let pool = PoolSite { name: name("pool"), hosts: hosts(workers), first_team: 0 };
    let limits = Limits { staged_bytes: usize::MAX, ..Limits::default() };
    let mut turns = Turns::new(&pool, limits);
    turns.offer(&jobs(seed, waiting));
    let before = Instant::now();
    let placed = turns.place().placed;
    let first = before.elapsed();
    turns.commit();
    let before = Instant::now();
    turns.place();
    Row { placed, first, next: before.elapsed() }
}

fn hosts(count: usize) -> Vec<WorkerSpec> {
    let host = |at: usize| WorkerSpec {
        host: name(&format!("w{at}")),
        rack: name(&format!("r{}", at / 4)),
        zone: name(&format!("z{}", at / 4 % 5)),
        // 350 of 600 have 4 accelerators: 1,400 in all.
        capacity: Resources::new(16_000, 64 << 30, if at % 12 < 7 { 4 } else { 0 }),
        leaving: false,
    };
    (0..count).map(host).collect()
}

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
        let truth = Truth { size, run_millis: 1000 };
        Arrival { at_millis: 0, job: JobId::new(number as u128 + 1), spec, truth }
    };
    (0..count).map(&mut job).collect()
}
