//! Independent checks of the planner's guarantees, which use none of its code.

use std::collections::{BTreeMap, BTreeSet};

use vg_base::prelude::*;
use vg_conf::Pool;
use vg_fleet::{HostRecord, HostReport, HostState, ListedHost};

pub(crate) type Violation = String;

/// The host list and the reports that the planner got in one round.
pub(crate) struct PlannerInput<'a> {
    pub(crate) listed: &'a [ListedHost],
    pub(crate) reports: &'a [HostReport],
}

impl PlannerInput<'_> {
    pub(crate) fn is_listed(&self, host: &HostId) -> bool {
        self.listed.iter().any(|each| each.host == *host)
    }

    pub(crate) fn is_present(&self, host: &HostId) -> bool {
        let up = self.reports.iter().any(|each| each.host == *host && each.up);
        up && self.listed.iter().any(|each| each.host == *host && !each.leaving)
    }

    /// Returns the number of hosts that the pool may lose in addition to the next
    /// loss of a rack, or of an availability zone if the pool sets `zone_spare`.
    pub(crate) fn margin(&self, hosts: &BTreeMap<HostId, HostRecord>, pool: &Pool) -> i64 {
        let serves = |each: &&HostRecord| {
            each.pool == pool.id && each.state == HostState::Active && self.is_present(&each.host)
        };
        let serving: Vec<&HostRecord> = hosts.values().filter(serves).collect();
        let zones: BTreeSet<&ZoneId> = serving.iter().map(|each| &each.zone).collect();
        let racks: BTreeSet<&RackId> = serving.iter().map(|each| &each.rack).collect();
        let in_rack = |rack: &&RackId| serving.iter().filter(|each| each.rack == **rack).count();
        let in_zone = |zone: &&ZoneId| serving.iter().filter(|each| each.zone == **zone).count();
        let rack_hosts = racks.iter().map(in_rack).max().unwrap_or(0);
        let zone_hosts = zones.iter().map(in_zone).max().unwrap_or(0);
        let next_loss = if pool.zone_spare { zone_hosts } else { rack_hosts };
        serving.len() as i64
            - next_loss as i64
            - i64::from(pool.hosts - pool.budget.min(pool.hosts))
    }
}
