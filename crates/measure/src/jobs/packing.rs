//! Measures how full the workers get under several packing policies.

use std::io::Write;

use vg_jobs::{Class, Limits, Resources, Start};

use super::quarantine::RoundDriver;
use super::site::{PoolSite, Site};
use super::work::{Arrival, arrivals};
use crate::Error;
use crate::report::{Table, percent};

/// Simulated seconds of submissions, which fill a pool several times.
const SECONDS: u64 = 600;

/// Fills the last pool with background jobs under each policy.
pub(super) fn report(site: &Site, seed: u64, out: &mut impl Write) -> Result<(), Error> {
    let Some(pool) = site.pools.last() else { return Ok(()) };
    let mut jobs = arrivals(site, pool, seed, SECONDS);
    jobs.retain(|job| job.spec.class == Class::Background);
    writeln!(
        out,
        "\npacking: background jobs are submitted until none fits; fractions of the cores and of the"
    )?;
    writeln!(out, "memory that the placed jobs declare or actually use")?;
    let mut table = Table::new(&[
        "policy",
        "jobs",
        "declared cores",
        "actual cores",
        "actual memory",
        "overloaded hosts",
    ]);
    add_row(&mut table, "best fit, learned sizes", pool, &learned(pool, &jobs));
    add_row(&mut table, "best fit, declared sizes", pool, &declared(pool, &jobs));
    add_row(&mut table, "first fit, declared sizes", pool, &first_fit(pool, &jobs));
    table.write(out)?;
    Ok(())
}

/// Placed jobs with the index of their worker.
type Placements<'a> = Vec<(usize, &'a Arrival)>;

/// Places the second half of the jobs after the first half has run, so that the shard
/// estimates sizes from measured use.
fn learned<'a>(pool: &PoolSite, jobs: &'a [Arrival]) -> Placements<'a> {
    let mut driver = RoundDriver::new(pool, Limits::default());
    // The first jobs run and end, so that the use of their lanes is known.
    let (first_half, rest) = jobs.split_at(jobs.len() / 2);
    for part in first_half.chunks(64) {
        driver.submit(part);
        driver.run_all();
    }
    driver.submit(rest);
    place_all(pool, &mut driver, rest)
}

/// Places the second half of the jobs by their declared sizes.
fn declared<'a>(pool: &PoolSite, jobs: &'a [Arrival]) -> Placements<'a> {
    let mut driver = RoundDriver::new(pool, Limits::default());
    let rest = &jobs[jobs.len() / 2..];
    driver.submit(rest);
    place_all(pool, &mut driver, rest)
}

/// Places the second half of the jobs, each on the first worker with room for its declared
/// size.
fn first_fit<'a>(pool: &PoolSite, jobs: &'a [Arrival]) -> Placements<'a> {
    let mut free: Vec<Resources> = pool.hosts.iter().map(|host| host.capacity).collect();
    let mut placed = Vec::new();
    for job in &jobs[jobs.len() / 2..] {
        let Some(host) = free.iter().position(|free| job.spec.size.fits(free)) else { continue };
        free[host] = free[host].minus(&job.spec.size);
        placed.push((host, job));
    }
    placed
}

/// Adds the row of one policy.
fn add_row(table: &mut Table, policy: &str, pool: &PoolSite, placed: &Placements<'_>) {
    let total = |amount: fn(&Resources) -> f64| -> f64 {
        pool.hosts.iter().map(|host| amount(&host.capacity)).sum()
    };
    let cores = |size: &Resources| f64::from(size.cores.0);
    let memory = |size: &Resources| size.memory.0 as f64;
    let sum = |amount: &dyn Fn(&Arrival) -> f64| -> f64 {
        placed.iter().map(|(_, job)| amount(job)).sum()
    };
    let mut used = vec![Resources::ZERO; pool.hosts.len()];
    for (host, job) in placed {
        used[*host] = used[*host].plus(&job.actual.size);
    }
    let overloaded = used.iter().zip(&pool.hosts).filter(|(used, host)| !used.fits(&host.capacity));
    table.row(&[
        &policy,
        &placed.len(),
        &percent(sum(&|job| cores(&job.spec.size)) / total(cores)),
        &percent(sum(&|job| cores(&job.actual.size)) / total(cores)),
        &percent(sum(&|job| memory(&job.actual.size)) / total(memory)),
        &format!("{} of {}", overloaded.count(), pool.hosts.len()),
    ]);
}

/// Places as many of the submitted jobs as fit, and returns the placements.
fn place_all<'a>(
    pool: &PoolSite,
    driver: &mut RoundDriver<'_>,
    jobs: &'a [Arrival],
) -> Placements<'a> {
    let placement = |start: &Start| {
        let host = pool.hosts.iter().position(|host| host.host == start.task.instance.worker)?;
        let job = jobs.iter().find(|job| job.job == start.task.job)?;
        Some((host, job))
    };
    driver.starts().iter().filter_map(placement).collect()
}
