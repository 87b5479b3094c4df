//! The simulated deployments.

use std::str::FromStr;

use vg_base::prelude::*;
use vg_jobs::{Resources, WorkerSpec};

/// Number of workers in a rack.
const WORKERS_PER_RACK: usize = 4;

/// Number of accelerators of a worker that has any.
const ACCELERATORS_PER_WORKER: u16 = 4;

/// One pool of workers.
#[derive(Debug, Clone)]
pub(super) struct PoolSite {
    pub(super) name: PoolId,
    pub(super) hosts: Vec<WorkerSpec>,
    /// Index of the first of the teams that use the pool.
    pub(super) first_team: usize,
}

/// A deployment: workers in pools, and the number of teams.
#[derive(Debug, Clone)]
pub(super) struct Site {
    pub(super) pools: Vec<PoolSite>,
    pub(super) teams: usize,
}

impl Site {
    /// Returns the deployment of a name.
    pub(super) fn named(name: &str) -> Option<Site> {
        const GB: u64 = 1 << 30;
        match name {
            "recall" => Some(Site::new(5, 50, 3, 6, 32 * GB, 0)),
            "signbridge" => Some(Site::new(5, 50, 4, 6, 64 * GB, 0)),
            "target" => Some(Site::new(54, 600, 5, 65, 64 * GB, 350)),
            _ => None,
        }
    }

    /// Returns a deployment whose `workers` are spread over the pools in turn. Each worker has
    /// `memory` bytes, and the first `accelerated` workers have accelerators.
    fn new(
        pools: usize,
        workers: usize,
        zones: usize,
        teams: usize,
        memory: u64,
        accelerated: usize,
    ) -> Site {
        let host = |index: usize| {
            let accelerators = if index < accelerated { ACCELERATORS_PER_WORKER } else { 0 };
            let rack = index / WORKERS_PER_RACK;
            WorkerSpec {
                host: name(&format!("w{index}")),
                rack: name(&format!("r{rack}")),
                zone: name(&format!("z{}", rack % zones)),
                capacity: Resources::new(16_000, memory, accelerators),
                leaving: false,
            }
        };
        let pool = |number: usize| PoolSite {
            name: name(&format!("p{number}")),
            hosts: (number..workers).step_by(pools).map(host).collect(),
            first_team: number,
        };
        Site { pools: (0..pools).map(pool).collect(), teams }
    }

    /// Returns the number of workers of all pools.
    pub(super) fn workers(&self) -> usize {
        self.pools.iter().map(|pool| pool.hosts.len()).sum()
    }

    /// Returns the number of accelerators of all pools.
    pub(super) fn accelerators(&self) -> usize {
        let hosts = self.pools.iter().flat_map(|pool| &pool.hosts);
        hosts.map(|host| usize::from(host.capacity.accelerators.0)).sum()
    }
}

/// Parses a name that is known to be valid.
pub(super) fn name<T: FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    match text.parse() {
        Ok(name) => name,
        Err(error) => unreachable!("{text}: {error:?}"),
    }
}
