//! Compares the host list with the records: adds new hosts, and detects lost hosts
//! and discrepancies.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_conf::Pool;

use super::{Planner, Snapshot};
use crate::faults::FleetFaults;
use crate::{Adoption, Change, Discrepancy, HostRecord, HostState, ListedHost, Records, WallTime};

impl<F: FleetFaults> Planner<F> {
    /// Adds records for new hosts, records since when hosts are absent, notes
    /// discrepancies, and marks, recovers or forgets lost hosts.
    pub(super) fn reconcile(
        &mut self,
        snapshot: &Snapshot<'_, F>,
        records: &mut Records,
        now: WallTime,
    ) {
        for listed in snapshot.listed.values() {
            if !records.hosts().contains_key(&listed.host) {
                self.adopt(snapshot, records, listed, now);
            }
        }
        let known: Vec<HostRecord> = records.hosts().values().cloned().collect();
        self.absent_since.retain(|host, _| records.hosts().contains_key(host));
        self.unlisted_since.retain(|host, _| records.hosts().contains_key(host));
        for record in &known {
            self.note_discrepancies(snapshot, record);
            self.track_absence(snapshot, record, now);
            self.update_lost(snapshot, records, record, now);
        }
    }

    /// Stages the first record of a host in the host list, if a pool can take it.
    fn adopt(
        &mut self,
        snapshot: &Snapshot<'_, F>,
        records: &mut Records,
        listed: &ListedHost,
        now: WallTime,
    ) {
        if listed.leaving {
            return;
        }
        let host = listed.host.clone();
        self.discrepancies.insert(Discrepancy::Unrecorded { host: host.clone() });
        let homes = self.count_homes(records, now);
        match choose_pool(snapshot, &homes, listed) {
            Some(pool) => {
                let adoption = Adoption::new(listed, pool);
                self.stage(records, &host, Change::Adopt(adoption), now);
            }
            None => {
                self.discrepancies.insert(Discrepancy::Unassigned { host });
            }
        }
    }

    /// Notes the discrepancies between a record, the host list and the operators'
    /// lists for [`Planner::discrepancies`]. Changes no record.
    fn note_discrepancies(&mut self, snapshot: &Snapshot<'_, F>, record: &HostRecord) {
        let host = record.host.clone();
        // Only the pool that the host serves is looked up in the lists, not its home.
        if !snapshot.pools.contains_key(&record.pool) {
            let pool = record.pool.clone();
            self.discrepancies.insert(Discrepancy::UnknownPool { host: host.clone(), pool });
        }
        let Some(listed) = snapshot.listed.get(&record.host) else {
            self.discrepancies.insert(Discrepancy::Unlisted { host });
            return;
        };
        // The host list names the pool for which the platform set the host up. This is
        // compared with the home, because the pool that the host serves differs from
        // the home while the host is lent.
        if let Some(pool) = listed.pool.as_ref().filter(|pool| **pool != record.home) {
            let (recorded, listed) = (record.home.clone(), pool.clone());
            self.discrepancies.insert(Discrepancy::PoolMismatch {
                host: host.clone(),
                recorded,
                listed,
            });
        }
        if listed.zone != record.zone || listed.rack != record.rack {
            self.discrepancies.insert(Discrepancy::LocationMismatch { host });
        }
    }

    /// Records since when a host has been absent or missing in the host list.
    fn track_absence(&mut self, snapshot: &Snapshot<'_, F>, record: &HostRecord, now: WallTime) {
        if snapshot.is_present(&record.host) {
            self.absent_since.remove(&record.host);
        } else {
            self.absent_since.entry(record.host.clone()).or_insert(now);
        }
        if snapshot.listed.contains_key(&record.host) {
            self.unlisted_since.remove(&record.host);
        } else {
            self.unlisted_since.entry(record.host.clone()).or_insert(now);
        }
    }

    /// Marks a host as lost after it was absent for too long. A lost host that is
    /// present again recovers; the record of a lost host that is no longer in the
    /// host list is removed.
    fn update_lost(
        &mut self,
        snapshot: &Snapshot<'_, F>,
        records: &mut Records,
        record: &HostRecord,
        now: WallTime,
    ) {
        if record.state == HostState::Lost {
            if snapshot.is_present(&record.host) {
                self.stage(records, &record.host, recovery_change::<F>(snapshot, record), now);
            } else if self.can_forget(&record.host, now) {
                self.stage(records, &record.host, Change::Forget, now);
            }
            return;
        }
        // A reboot and a move have their own time limit, `reboot_timeout`.
        if matches!(record.state, HostState::Rebooting | HostState::Moving) {
            return;
        }
        let absence =
            self.absent_since.get(&record.host).map_or(Duration::ZERO, |since| now.since(*since));
        if absence >= self.limits.lost_after {
            self.measurements.record_failures(1, now);
            self.stage(records, &record.host, Change::MarkLost, now);
        }
    }

    /// Returns whether a lost host has been missing in the host list for long
    /// enough to remove its record.
    fn can_forget(&self, host: &HostId, now: WallTime) -> bool {
        let since = if F::FORGET_LISTED {
            self.absent_since.get(host)
        } else {
            self.unlisted_since.get(host)
        };
        since.is_some_and(|since| now.since(*since) >= self.limits.forget_after)
    }
}

/// Returns the change for a lost host that is present again.
///
/// A reboot command may still be on its way to a host that has not executed it. So
/// a host that still has the incarnation that the command ends must reboot before
/// it accepts work.
fn recovery_change<F: FleetFaults>(snapshot: &Snapshot<'_, F>, record: &HostRecord) -> Change {
    let report = snapshot.reports.get(&record.host);
    let not_rebooted = report.is_some_and(|report| report.boot == record.boot);
    if not_rebooted && !F::SKIP_REBOOT { Change::Reboot(record.boot) } else { Change::Probe }
}

/// Returns the pool for a new host. The order of preference is: the pool for which
/// the platform set the host up if it lacks hosts, the pool that lacks most hosts,
/// the pool for which the platform set the host up, a spare pool. All but the third
/// must allow the host's availability zone.
///
/// A new host runs no work and needs no drain, so it goes to a pool that lacks a
/// host.
fn choose_pool<F: FleetFaults>(
    snapshot: &Snapshot<'_, F>,
    homes: &BTreeMap<PoolId, i64>,
    listed: &ListedHost,
) -> Option<PoolId> {
    let allows = |pool: &&&Pool| pool.zones.is_empty() || pool.zones.contains(&listed.zone);
    let shortages = snapshot.pools.values().filter(allows).filter_map(|pool| {
        let shortage = i64::from(pool.hosts) - homes.get(&pool.id).copied().unwrap_or(0);
        let named = listed.pool.as_ref() == Some(&pool.id);
        (shortage > 0).then_some((named, shortage, &pool.id))
    });
    let short_pool = shortages.max().map(|(_, _, pool)| pool);
    let named = || listed.pool.as_ref().filter(|pool| snapshot.pools.contains_key(pool));
    let spare =
        || snapshot.pools.values().filter(allows).find(|pool| pool.spare).map(|pool| &pool.id);
    short_pool.or_else(named).or_else(spare).cloned()
}
