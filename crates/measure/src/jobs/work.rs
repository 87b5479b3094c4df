//! Draws the jobs that teams submit, with their actual resource use and run time.

use vg_base::prelude::*;
use vg_jobs::{Class, JobSpec, Resources};

use super::site::{PoolSite, Site, name};
use crate::calls::draw::Draw;

/// Number of teams that use one pool.
const TEAMS_PER_POOL: usize = 6;

/// Fraction of a pool's cores that urgent jobs use on average.
const URGENT_FRACTION: f64 = 0.15;

/// Fraction of a pool's cores that background jobs would use on average if none had to wait.
const BACKGROUND_FRACTION: f64 = 0.95;

/// Mean run time of an urgent job in seconds.
const URGENT_SECONDS: f64 = 4.0;
/// Mean run time of a background job in seconds.
const BACKGROUND_SECONDS: f64 = 60.0;

/// Length of the spike at the start of each minute, in seconds.
const SPIKE_SECONDS: u64 = 5;

/// Mean number of cores that a job uses.
const MEAN_CORES: f64 = 1.5;

/// Fraction of the jobs that need an accelerator, in pools that have any.
const ACCELERATOR_FRACTION: f64 = 0.3;

/// The actual resource use and run time of a job, which may differ from what it declares.
#[derive(Debug, Clone, Copy)]
pub(super) struct ActualUse {
    pub(super) size: Resources,
    pub(super) run_millis: u64,
}

/// A job with the time of its submission.
#[derive(Debug, Clone)]
pub(super) struct Arrival {
    pub(super) at_millis: u64,
    pub(super) job: JobId,
    pub(super) spec: JobSpec,
    pub(super) actual: ActualUse,
}

/// Draws the jobs of one pool for `seconds`, in the order of their submission.
pub(super) fn arrivals(site: &Site, pool: &PoolSite, seed: u64, seconds: u64) -> Vec<Arrival> {
    let mut draw = Draw::new(seed);
    let cores: f64 = pool.hosts.iter().map(|host| f64::from(host.capacity.cores.0)).sum();
    let cores = cores / 1000.0;
    let urgent = cores * URGENT_FRACTION / (MEAN_CORES * URGENT_SECONDS);
    let background = cores * BACKGROUND_FRACTION / (MEAN_CORES * BACKGROUND_SECONDS);
    let mut arrivals = Vec::new();
    for (class, rate) in [(Class::Urgent, urgent), (Class::Background, background)] {
        let mut at = 0.0;
        while at < seconds as f64 {
            at += draw.pause(rate * rate_factor(class, at));
            arrivals.push(draw_arrival(site, pool, &mut draw, class, at));
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_millis);
    for (number, arrival) in arrivals.iter_mut().enumerate() {
        arrival.job = JobId::new(number as u128 + 1);
    }
    arrivals
}

/// Returns the rate at `at` seconds as a multiple of the mean rate. Urgent jobs come at
/// five times their mean rate in a spike, and outside it at the rate that keeps the mean.
fn rate_factor(class: Class, at: f64) -> f64 {
    let in_spike = (at as u64 % 60) < SPIKE_SECONDS;
    match class {
        Class::Urgent if in_spike => 5.0,
        Class::Urgent => (60.0 - 5.0 * SPIKE_SECONDS as f64) / (60.0 - SPIKE_SECONDS as f64),
        Class::Background => 1.0,
    }
}

/// Draws one job that is submitted at `at` seconds.
fn draw_arrival(site: &Site, pool: &PoolSite, draw: &mut Draw, class: Class, at: f64) -> Arrival {
    let at_millis = (at * 1000.0) as u64;
    let has_accelerators = pool.hosts.iter().any(|host| host.capacity.accelerators.0 > 0);
    let accelerators = u16::from(has_accelerators && draw.unit() < ACCELERATOR_FRACTION);
    let cores = (MEAN_CORES * (0.4 + 1.2 * draw.unit()) * 1000.0) as u32;
    let memory = ((0.5 + 2.5 * draw.unit()) * (1_u64 << 30) as f64) as u64;
    let mean = if class == Class::Urgent { URGENT_SECONDS } else { BACKGROUND_SECONDS };
    let run_millis = (draw.service(mean) * 1000.0).max(50.0) as u64;
    // Most teams declare several times what their jobs need, some less than the need.
    let declared_factor = (draw.declared(1.0) * 2.0).clamp(0.5, 6.0);
    let declared = |actual: f64, max: f64| (actual * declared_factor).min(max);
    let size = Resources::new(
        declared(f64::from(cores), 16_000.0) as u32,
        declared(memory as f64, (16_u64 << 30) as f64) as u64,
        accelerators,
    );
    let team = (pool.first_team + draw.index(&[1.0; TEAMS_PER_POOL])) % site.teams;
    let spec = JobSpec {
        queue: name(if class == Class::Urgent { "notices" } else { "feeds" }),
        team: name(&format!("team{team}")),
        class,
        idempotent: draw.unit() < 0.7,
        size,
        run_time: None,
        start_by: None,
        payload: vec![0; 200].into(),
    };
    let actual = ActualUse { size: Resources::new(cores, memory, accelerators), run_millis };
    Arrival { at_millis, job: JobId::new(0), spec, actual }
}
