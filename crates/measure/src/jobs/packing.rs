//! How full hosts get, against a bound.

use std::io::Write;

use vg_jobs::{Class, Limits, Resources, Start};

use super::quarantine::Turns;
use super::site::{PoolSite, Site};
use super::work::{Arrival, arrivals};
use crate::Error;
use crate::report::{Table, percent};

/// Seconds of arrivals that fill a pool several times.
const SECONDS: u64 = 600;

/// Fills the first pool with background jobs of known kinds.
pub(super) fn report(site: &Site, seed: u64, out: &mut impl Write) -> Result<(), Error> {
    let Some(pool) = site.pools.last() else { return Ok(()) };
    let mut jobs = arrivals(site, pool, seed, SECONDS);
    jobs.retain(|job| job.spec.class == Class::Background);
    writeln!(
        out,
        "\npacking: background jobs offered until none fits; parts of the cores and the"
    )?;
    writeln!(out, "memory that the jobs placed declare or really use")?;
    let mut table = Table::new(&[
        "policy",
        "jobs",
        "declared cores",
        "real cores",
        "real memory",
        "hosts over",
    ]);
    add(&mut table, "best fit, learned sizes", pool, &learned(pool, &jobs));
    add(&mut table, "best fit, declared sizes", pool, &declared(pool, &jobs));
    add(&mut table, "first fit, declared sizes", pool, &first_fit(pool, &jobs));
    table.write(out)?;
    Ok(())
}

type Placed<'a> = Vec<(usize, &'a Arrival)>;

fn learned<'a>(pool: &PoolSite, jobs: &'a [Arrival]) -> Placed<'a> {
    let mut turns = Turns::new(pool, Limits::default());
    // The first jobs run and end, so that their lanes are known.
    let (known, rest) = jobs.split_at(jobs.len() / 2);
    for part in known.chunks(64) {
        turns.offer(part);
        turns.run_all();
    }
    turns.offer(rest);
    placed(pool, &mut turns, rest)
}

fn declared<'a>(pool: &PoolSite, jobs: &'a [Arrival]) -> Placed<'a> {
    let mut turns = Turns::new(pool, Limits::default());
    let rest = &jobs[jobs.len() / 2..];
    turns.offer(rest);
    placed(pool, &mut turns, rest)
}

fn first_fit<'a>(pool: &PoolSite, jobs: &'a [Arrival]) -> Placed<'a> {
    let mut room: Vec<Resources> = pool.hosts.iter().map(|host| host.capacity).collect();
    let mut placed = Vec::new();
    for job in &jobs[jobs.len() / 2..] {
        let Some(host) = room.iter().position(|room| job.spec.size.fits(room)) else { continue };
        room[host] = room[host].minus(&job.spec.size);
        placed.push((host, job));
    }
    placed
}

fn add(table: &mut Table, policy: &str, pool: &PoolSite, placed: &Placed<'_>) {
    let whole = |part: fn(&Resources) -> f64| -> f64 {
        pool.hosts.iter().map(|host| part(&host.capacity)).sum()
    };
    let cores = |size: &Resources| f64::from(size.cores.0);
    let memory = |size: &Resources| size.memory.0 as f64;
    let sum =
        |part: &dyn Fn(&Arrival) -> f64| -> f64 { placed.iter().map(|(_, job)| part(job)).sum() };
    let mut used = vec![Resources::ZERO; pool.hosts.len()];
    for (host, job) in placed {
        used[*host] = used[*host].plus(&job.truth.size);
    }
    let over = used.iter().zip(&pool.hosts).filter(|(used, host)| !used.fits(&host.capacity));
    table.row(&[
        &policy,
        &placed.len(),
        &percent(sum(&|job| cores(&job.spec.size)) / whole(cores)),
        &percent(sum(&|job| cores(&job.truth.size)) / whole(cores)),
        &percent(sum(&|job| memory(&job.truth.size)) / whole(memory)),
        &format!("{} of {}", over.count(), pool.hosts.len()),
    ]);
}

/// Places as many of the jobs as the shard finds room for.
fn placed<'a>(pool: &PoolSite, turns: &mut Turns<'_>, jobs: &'a [Arrival]) -> Placed<'a> {
    let at = |start: &Start| {
        let host = pool.hosts.iter().position(|host| host.host == start.task.instance.worker)?;
        let job = jobs.iter().find(|job| job.job == start.task.job)?;
        Some((host, job))
    };
    turns.starts().iter().filter_map(at).collect()
}
