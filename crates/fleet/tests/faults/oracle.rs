//! Simple statements of what must hold, worked out without the planner.

use std::collections::{BTreeMap, BTreeSet};

use vg_base::prelude::*;
use vg_conf::Pool;
use vg_fleet::{HostRecord, HostReport, HostState, ListedHost};

pub(crate) type Violation = String;

/// What the planner was told in a round.
pub(crate) struct Told<'a> {
    pub(crate) listed: &'a [ListedHost],
    pub(crate) reports: &'a [HostReport],
}

impl Told<'_> {
    pub(crate) fn is_listed(&self, host: &HostId) -> bool {
        self.listed.iter().any(|each| each.host == *host)
    }

    pub(crate) fn is_present(&self, host: &HostId) -> bool {
        let up = self.reports.iter().any(|each| each.host == *host && each.up);
        up && self.listed.iter().any(|each| each.host == *host && !each.leaving)
    }

    /// Hosts that the pool may still lose, with the next rack's (or zone's)
    /// loss counted in.
    pub(crate) fn margin(&self, hosts: &BTreeMap<HostId, HostRecord>, pool: &Pool) -> i64 {
        let serves = |each: &&HostRecord| {
            each.pool == pool.id && each.state == HostState::Active && self.is_present(&each.host)
        };
        let serving: Vec<&HostRecord> = hosts.values().filter(serves).collect();
        let zones: BTreeSet<&ZoneId> = serving.iter().map(|each| &each.zone).collect();
        let racks: BTreeSet<&RackId> = serving.iter().map(|each| &each.rack).collect();
        let in_rack = |rack: &&RackId| serving.iter().filter(|each| each.rack == **rack).count();
        let in_zone = |zone: &&ZoneId| serving.iter().filter(|each| each.zone == **zone).count();
        let rack = racks.iter().map(in_rack).max().unwrap_or(0);
        let zone = zones.iter().map(in_zone).max().unwrap_or(0);
        let next = if pool.zone_spare { zone } else { rack };
        serving.len() as i64 - next as i64 - i64::from(pool.hosts - pool.budget.min(pool.hosts))
    }
}
