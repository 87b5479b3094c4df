//! Measures the time to recover a pool by the number of its open jobs.

use std::io::Write;

use vg_base::prelude::*;
use vg_jobs::{Class, JobSpec, Limits, Now, Resources, Shard, recover};

use super::quarantine::RoundDriver;
use super::site::{PoolSite, name};
use super::work::{ActualUse, Arrival};
use crate::Error;
use crate::report::Table;

/// Numbers of open jobs of the measurements.
const OPEN_JOBS: [usize; 4] = [100, 1_000, 10_000, 100_000];

/// Measures the times of recoveries and prints a table.
pub(super) fn report(_seed: u64, out: &mut impl Write) -> Result<(), Error> {
    writeln!(
        out,
        "\nrecovery: decoding the values of one pool and restoring its shard, real time;"
    )?;
    writeln!(out, "payloads of 200 bytes")?;
    let mut table = Table::new(&["open jobs", "values", "KB stored", "ms", "microseconds per job"]);
    for open in OPEN_JOBS {
        let pool = PoolSite { name: name("pool"), hosts: Vec::new(), first_team: 0 };
        let mut driver = RoundDriver::new(&pool, Limits::default());
        driver.submit(&(0..open).map(job).collect::<Vec<Arrival>>());
        let values = driver.store.range();
        let time = measure_recovery(&pool, &values, open);
        let micros = time.as_secs_f64() * 1e6 / open as f64;
        table.row(&[
            &open,
            &values.len(),
            &(driver.store.stored_bytes() / 1024),
            &format!("{:.1}", time.as_secs_f64() * 1000.0),
            &format!("{micros:.1}"),
        ]);
    }
    table.write(out)?;
    Ok(())
}

/// Measures the recovery of a pool and checks that all open jobs are restored.
///
/// # Panics
///
/// If the shard does not have `open` jobs.
fn measure_recovery(pool: &PoolSite, values: &[vg_jobs::Stored], open: usize) -> Duration {
    let member = Member { node: name("n1"), incarnation: Incarnation(1) };
    let now = Now { mono: Instant::now(), wall: SystemTime::UNIX_EPOCH };
    let started = Instant::now();
    let recovered = recover(&pool.name, &member, values);
    let shard = recovered.map(|recovered| Shard::restore(recovered, Limits::default(), now));
    let time = started.elapsed();
    let recovered_jobs = shard.map_or(0, |shard| shard.open_jobs());
    assert_eq!(recovered_jobs, open, "jobs were lost in the recovery");
    time
}

/// Returns a job for the pool.
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
    let actual = ActualUse { size, run_millis: 1000 };
    Arrival { at_millis: 0, job: JobId::new(number as u128 + 1), spec, actual }
}
