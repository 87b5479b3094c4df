//! The simulated deployments.

use std::str::FromStr;

use vg_base::prelude::*;
use vg_conf::Pool;

/// Time within which each host must be maintained once.
pub(crate) const PERIOD: Duration = Duration::from_secs(42 * 24 * 60 * 60);
/// Number of hosts in a rack.
pub(crate) const HOSTS_PER_RACK: usize = 4;

/// A deployment: the number of hosts and zones, and the pools.
#[derive(Debug, Clone)]
pub(crate) struct Site {
    pub(crate) hosts: usize,
    pub(crate) zones: usize,
    pub(crate) pools: Vec<Pool>,
}

impl Site {
    /// Returns the deployment of a name.
    pub(crate) fn named(name: &str) -> Option<Site> {
        match name {
            "recall" => Some(Site::new(50, 3, 4, 1, 0)),
            "signbridge" => Some(Site::new(50, 4, 4, 1, 0)),
            "target" => Some(Site::target(600)),
            _ => None,
        }
    }

    /// Returns the largest planned fleet, scaled to a number of hosts.
    pub(crate) fn target(hosts: usize) -> Site {
        let pools = hosts * 54 / 600;
        let spares = (pools / 27).max(1);
        Site::new(hosts, 5, pools - spares, spares, pools / 9)
    }

    /// Returns a deployment. `spares` pools hold spare hosts, and the first `zonal` pools keep
    /// capacity to survive the loss of a zone.
    fn new(hosts: usize, zones: usize, pools: usize, spares: usize, zonal: usize) -> Site {
        let all = pools + spares;
        let pool = |index: usize| {
            let count = (hosts - index).div_ceil(all) as u32;
            Pool {
                id: name(&format!("p{index:02}")),
                hosts: count,
                zones: Vec::new(),
                budget: if index >= pools { 4 } else { 3 },
                zone_spare: index < zonal,
                period: PERIOD,
                spare: index >= pools,
                hold: false,
            }
        };
        Site { hosts, zones, pools: (0..all).map(pool).collect() }
    }

    /// Returns the pool that a host belongs to at first.
    pub(crate) fn pool_of(&self, host: usize) -> PoolId {
        self.pools[host % self.pools.len()].id.clone()
    }

    /// Returns the rack of a host.
    pub(crate) fn rack_of(&self, host: usize) -> RackId {
        name(&format!("r{:03}", host / HOSTS_PER_RACK))
    }

    /// Returns the zone of a host.
    pub(crate) fn zone_of(&self, host: usize) -> ZoneId {
        name(&format!("z{}", host / HOSTS_PER_RACK % self.zones))
    }
}

/// Parses a name that is known to be valid.
pub(crate) fn name<T: FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("names of the simulation are valid")
}
