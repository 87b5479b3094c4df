//! The deployments that are modelled.

use std::str::FromStr;

use vg_base::prelude::*;
use vg_conf::Pool;

/// Time in which each host is maintained once.
pub(crate) const PERIOD: Duration = Duration::from_secs(42 * 24 * 60 * 60);
/// Hosts of a rack.
pub(crate) const RACK_HOSTS: usize = 4;

/// A deployment.
#[derive(Debug, Clone)]
pub(crate) struct Site {
    pub(crate) hosts: usize,
    pub(crate) zones: usize,
    pub(crate) pools: Vec<Pool>,
}

impl Site {
    /// Returns the site of that name.
    pub(crate) fn named(name: &str) -> Option<Site> {
        match name {
            "recall" => Some(Site::new(50, 3, 4, 1, 0)),
            "signbridge" => Some(Site::new(50, 4, 4, 1, 0)),
            "target" => Some(Site::target(600)),
            _ => None,
        }
    }

    /// Returns the target with another number of hosts.
    pub(crate) fn target(hosts: usize) -> Site {
        let pools = hosts * 54 / 600;
        let spares = (pools / 27).max(1);
        Site::new(hosts, 5, pools - spares, spares, pools / 9)
    }

    fn new(hosts: usize, zones: usize, pools: usize, spares: usize, zonal: usize) -> Site {
        let all = pools + spares;
        let make = |at: usize| {
            let count = (hosts - at).div_ceil(all) as u32;
            Pool {
                id: name(&format!("p{at:02}")),
                hosts: count,
                zones: Vec::new(),
                budget: if at >= pools { 4 } else { 3 },
                zone_spare: at < zonal,
                period: PERIOD,
                spare: at >= pools,
                hold: false,
            }
        };
        Site { hosts, zones, pools: (0..all).map(make).collect() }
    }

    pub(crate) fn pool_of(&self, host: usize) -> PoolId {
        self.pools[host % self.pools.len()].id.clone()
    }

    pub(crate) fn rack_of(&self, host: usize) -> RackId {
        name(&format!("r{:03}", host / RACK_HOSTS))
    }

    pub(crate) fn zone_of(&self, host: usize) -> ZoneId {
        name(&format!("z{}", host / RACK_HOSTS % self.zones))
    }
}

/// Makes a name that is known to be valid.
pub(crate) fn name<T: FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("names of the model are valid")
}
