//! The availability budget of a pool.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_conf::Pool;

/// A host that serves a pool now, by where it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
}

/// How many hosts a pool has, needs and has to keep for the next failure.
///
/// Only hosts that are proved, reachable, listed and taking work count as
/// serving. All others are away, whether planned or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Hosts that serve.
    pub serving: u32,
    /// Fewest hosts that must serve.
    pub floor: u32,
    /// Hosts that the next failure may take.
    pub reserve: u32,
}

impl Budget {
    /// Computes the budget of `pool` with the hosts that serve it, and the
    /// single failures that are likely while a host is maintained.
    pub fn new(pool: &Pool, serving: &[Location], failures: u32) -> Budget {
        let floor = pool.hosts.saturating_sub(pool.budget);
        let racks = largest(serving.iter().map(|each| &each.rack));
        let zones = largest(serving.iter().map(|each| &each.zone));
        let domain = if pool.zone_spare { zones.max(racks) } else { racks };
        let serving = u32::try_from(serving.len()).unwrap_or(u32::MAX);
        Budget { serving, floor, reserve: domain.max(failures) }
    }

    /// Returns the hosts beyond the floor and the reserve; below zero when the
    /// next failure would break the budget.
    pub fn margin(&self) -> i64 {
        i64::from(self.serving) - i64::from(self.floor) - i64::from(self.reserve)
    }

    /// Whether fewer hosts serve than the budget asks for.
    pub fn is_violated(&self) -> bool {
        self.serving < self.floor
    }
}

fn largest<T: Ord>(domains: impl Iterator<Item = T>) -> u32 {
    let mut counts = BTreeMap::<T, u32>::new();
    for domain in domains {
        *counts.entry(domain).or_default() += 1;
    }
    counts.into_values().max().unwrap_or(0)
}
