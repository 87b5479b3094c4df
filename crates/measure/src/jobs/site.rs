//! The deployments that are modelled.

use std::str::FromStr;

use vg_base::prelude::*;
use vg_jobs::{Resources, WorkerSpec};

/// Workers that share a rack.
const RACK_WORKERS: usize = 4;

/// Accelerators of a worker that has any.
const HOST_ACCELERATORS: u16 = 4;

/// One pool of workers.
#[derive(Debug, Clone)]
pub(super) struct PoolSite {
    pub(super) name: PoolId,
    pub(super) hosts: Vec<WorkerSpec>,
    /// First of the teams that use the pool.
    pub(super) first_team: usize,
}

/// A deployment.
#[derive(Debug, Clone)]
pub(super) struct Site {
    pub(super) pools: Vec<PoolSite>,
    pub(super) teams: usize,
}

impl Site {
    pub(super) fn named(name: &str) -> Option<Site> {
        const GB: u64 = 1 << 30;
        match name {
            "recall" => Some(Site::new(5, 50, 3, 6, 32 * GB, 0)),
            "signbridge" => Some(Site::new(5, 50, 4, 6, 64 * GB, 0)),
            "target" => Some(Site::new(54, 600, 5, 65, 64 * GB, 350)),
            _ => None,
        }
    }

    /// Spreads workers over pools; the first `special` of them have
    /// accelerators.
    fn new(
        pools: usize,
        workers: usize,
        zones: usize,
        teams: usize,
        memory: u64,
        special: usize,
    ) -> Site {
        let host = |at: usize| {
            let accelerators = if at < special { HOST_ACCELERATORS } else { 0 };
            let rack = at / RACK_WORKERS;
            WorkerSpec {
                host: name(&format!("w{at}")),
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

    pub(super) fn workers(&self) -> usize {
        self.pools.iter().map(|pool| pool.hosts.len()).sum()
    }

    pub(super) fn accelerators(&self) -> usize {
        let hosts = self.pools.iter().flat_map(|pool| &pool.hosts);
        hosts.map(|host| usize::from(host.capacity.accelerators.0)).sum()
    }
}

/// Makes a name that is known to be valid.
pub(super) fn name<T: FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    match text.parse() {
        Ok(name) => name,
        Err(error) => unreachable!("{text}: {error:?}"),
    }
}
