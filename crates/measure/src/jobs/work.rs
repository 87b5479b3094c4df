//! The jobs that teams send, with what they really take.

use vg_base::prelude::*;
use vg_jobs::{Class, JobSpec, Resources};

use super::site::{PoolSite, Site, name};
use crate::calls::draw::Draw;

/// Teams that use one pool.
const POOL_TEAMS: usize = 6;

/// Part of a pool's cores that urgent jobs take on average.
const URGENT_PART: f64 = 0.15;

/// Part of a pool's cores that background jobs would take.
const BACKGROUND_PART: f64 = 0.95;

/// Mean run times in seconds.
const URGENT_SECONDS: f64 = 4.0;
const BACKGROUND_SECONDS: f64 = 60.0;

/// A minute has a spike of this length in seconds.
const SPIKE_SECONDS: u64 = 5;

/// Mean cores of a job.
const MEAN_CORES: f64 = 1.5;

/// Part of the jobs that need an accelerator, where there are any.
const SPECIAL_PART: f64 = 0.3;

/// What a job really takes.
#[derive(Debug, Clone, Copy)]
pub(super) struct Truth {
    pub(super) size: Resources,
    pub(super) run_millis: u64,
}

/// A job to submit.
#[derive(Debug, Clone)]
pub(super) struct Arrival {
    pub(super) at_millis: u64,
    pub(super) job: JobId,
    pub(super) spec: JobSpec,
    pub(super) truth: Truth,
}

/// Draws the jobs of one pool in the order of their arrival.
pub(super) fn arrivals(site: &Site, pool: &PoolSite, seed: u64, seconds: u64) -> Vec<Arrival> {
    let mut draw = Draw::new(seed);
    let cores: f64 = pool.hosts.iter().map(|host| f64::from(host.capacity.cores.0)).sum();
    let cores = cores / 1000.0;
    let urgent = cores * URGENT_PART / (MEAN_CORES * URGENT_SECONDS);
    let background = cores * BACKGROUND_PART / (MEAN_CORES * BACKGROUND_SECONDS);
    let mut arrivals = Vec::new();
    for (class, rate) in [(Class::Urgent, urgent), (Class::Background, background)] {
        let mut at = 0.0;
        while at < seconds as f64 {
            at += draw.pause(rate * spike(class, at));
            arrivals.push(arrival(site, pool, &mut draw, class, at));
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_millis);
    for (number, arrival) in arrivals.iter_mut().enumerate() {
        arrival.job = JobId::new(number as u128 + 1);
    }
    arrivals
}

/// Five times the mean in a spike; outside it the rest of the mean.
fn spike(class: Class, at: f64) -> f64 {
    let within = (at as u64 % 60) < SPIKE_SECONDS;
    match class {
        Class::Urgent if within => 5.0,
        Class::Urgent => (60.0 - 5.0 * SPIKE_SECONDS as f64) / (60.0 - SPIKE_SECONDS as f64),
        Class::Background => 1.0,
    }
}

fn arrival(site: &Site, pool: &PoolSite, draw: &mut Draw, class: Class, at: f64) -> Arrival {
    let at_millis = (at * 1000.0) as u64;
    let special = pool.hosts.iter().any(|host| host.capacity.accelerators.0 > 0);
    let accelerators = u16::from(special && draw.unit() < SPECIAL_PART);
    let cores = (MEAN_CORES * (0.4 + 1.2 * draw.unit()) * 1000.0) as u32;
    let memory = ((0.5 + 2.5 * draw.unit()) * (1_u64 << 30) as f64) as u64;
    let mean = if class == Class::Urgent { URGENT_SECONDS } else { BACKGROUND_SECONDS };
    let run_millis = (draw.service(mean) * 1000.0).max(50.0) as u64;
    // Teams declare several times what they need, some less than that.
    let wrong = (draw.declared(1.0) * 2.0).clamp(0.5, 6.0);
    let declared = |real: f64, most: f64| (real * wrong).min(most);
    let size = Resources::new(
        declared(f64::from(cores), 16_000.0) as u32,
        declared(memory as f64, (16_u64 << 30) as f64) as u64,
        accelerators,
    );
    let team = (pool.first_team + draw.index(&[1.0; POOL_TEAMS])) % site.teams;
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
    let truth = Truth { size: Resources::new(cores, memory, accelerators), run_millis };
    Arrival { at_millis, job: JobId::new(0), spec, truth }
}
