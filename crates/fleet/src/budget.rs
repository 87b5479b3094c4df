//! The availability budget of a pool.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_conf::Pool;

/// The location of a host that serves a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Rack of the host.
    pub rack: RackId,
}

/// The number of hosts that serve a pool, that must serve it, and that have to be
/// held in reserve for the next failure.
///
/// A host counts as serving only if it is verified, reachable, in the host list
/// and accepts work. All other hosts are away, by plan or because of a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Number of hosts that serve.
    pub serving: u32,
    /// Minimum number of hosts that must serve.
    pub floor: u32,
    /// Number of hosts that the next failure may take away.
    pub reserve: u32,
}

impl Budget {
    /// Computes the budget of `pool` from the locations of the hosts that serve it.
    /// `failures` is the number of single host failures that are likely while a
    /// host is maintained.
    pub fn new(pool: &Pool, serving: &[Location], failures: u32) -> Budget {
        let floor = pool.hosts.saturating_sub(pool.budget);
        let rack_hosts = largest(serving.iter().map(|each| &each.rack));
        let zone_hosts = largest(serving.iter().map(|each| &each.zone));
        let domain_hosts = if pool.zone_spare { zone_hosts.max(rack_hosts) } else { rack_hosts };
        let serving = u32::try_from(serving.len()).unwrap_or(u32::MAX);
        Budget { serving, floor, reserve: domain_hosts.max(failures) }
    }

    /// Returns the number of serving hosts above the floor and the reserve. It is
    /// negative if the next failure would violate the budget.
    pub fn margin(&self) -> i64 {
        i64::from(self.serving) - i64::from(self.floor) - i64::from(self.reserve)
    }

    /// Returns whether fewer hosts serve than the floor.
    pub fn is_violated(&self) -> bool {
        self.serving < self.floor
    }
}

/// Returns the number of hosts in the failure domain that has most of them.
fn largest<T: Ord>(domains: impl Iterator<Item = T>) -> u32 {
    let mut counts = BTreeMap::<T, u32>::new();
    for domain in domains {
        *counts.entry(domain).or_default() += 1;
    }
    counts.into_values().max().unwrap_or(0)
}
