//! Time to read a pool back, against its open jobs.

use std::io::Write;

use vg_base::prelude::*;
use vg_jobs::{Class, JobSpec, Limits, Now, Resources, Shard, recover};

use super::quarantine::Turns;
use super::site::{PoolSite, name};
use super::work::{Arrival, Truth};
use crate::Error;
use crate::report::Table;

/// Open jobs of each measurement.
const OPEN: [usize; 4] = [100, 1_000, 10_000, 100_000];

/// Times recoveries and prints a table.
pub(super) fn report(_seed: u64, out: &mut impl Write) -> Result<(), Error> {
    writeln!(out, "\nrecovery: reading the values of one pool and making its shard, wall time;")?;
    writeln!(out, "payloads of 200 bytes")?;
    let mut table = Table::new(&["open jobs", "values", "KB held", "ms", "microseconds a job"]);
    for open in OPEN {
        let pool = PoolSite { name: name("pool"), hosts: Vec::new(), first_team: 0 };
        let mut turns = Turns::new(&pool, Limits::default());
        turns.offer(&(0..open).map(job).collect::<Vec<Arrival>>());
        let values = turns.store.range();
        let time = read(&pool, &values, open);
        let micros = time.as_secs_f64() * 1e6 / open as f64;
        table.row(&[
            &open,
            &values.len(),
            &(turns.store.held_bytes() / 1024),
            &format!("{:.1}", time.as_secs_f64() * 1000.0),
            &format!("{micros:.1}"),
        ]);
    }
    table.write(out)?;
    Ok(())
}

fn read(pool: &PoolSite, values: &[vg_jobs::Stored], open: usize) -> Duration {
    let member = Member { node: name("n1"), incarnation: Incarnation(1) };
    let now = Now { mono: Instant::now(), wall: SystemTime::UNIX_EPOCH };
    let before = Instant::now();
    let recovered = recover(&pool.name, &member, values);
    let shard = recovered.map(|recovered| Shard::restore(recovered, Limits::default(), now));
    let time = before.elapsed();
    let found = shard.map_or(0, |shard| shard.open_jobs());
    assert_eq!(found, open, "jobs were lost");
    time
}

fn job(number: usize) -> Arrival {
    let size = Resources::new(1000, 1 << 30, 0);
    let spec = JobSpec {
        queue: name("feeds"),
        team: name(&format!("team{}", number % 65)),
        class: Class::Background,
        idempotent: true,
        size,
        run_time: None,
        start_by: None,
        payload: vec![0; 200].into(),
    };
    let truth = Truth { size, run_millis: 1000 };
    Arrival { at_millis: 0, job: JobId::new(number as u128 + 1), spec, truth }
}
