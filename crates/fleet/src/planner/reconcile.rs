//! Compares the host list with the records.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_conf::Pool;

use super::{Planner, Scene};
use crate::faults::FleetFaults;
use crate::{Adoption, Change, Discrepancy, HostRecord, HostState, ListedHost, Records, WallTime};

impl<F: FleetFaults> Planner<F> {
    pub(super) fn reconcile(&mut self, scene: &Scene<'_, F>, records: &mut Records, now: WallTime) {
        for listed in scene.listed.values() {
            if !records.hosts().contains_key(&listed.host) {
                self.adopt(scene, records, listed, now);
            }
        }
        let known: Vec<HostRecord> = records.hosts().values().cloned().collect();
        self.away.retain(|host, _| records.hosts().contains_key(host));
        self.unlisted.retain(|host, _| records.hosts().contains_key(host));
        for record in &known {
            self.compare(scene, record);
            self.watch(scene, record, now);
            self.lose_or_find(scene, records, record, now);
        }
    }

    fn adopt(
        &mut self,
        scene: &Scene<'_, F>,
        records: &mut Records,
        listed: &ListedHost,
        now: WallTime,
    ) {
        if listed.leaving {
            return;
        }
        let host = listed.host.clone();
        self.notices.insert(Discrepancy::Unrecorded { host: host.clone() });
        let homes = self.count_homes(records, now);
        match choose_pool(scene, &homes, listed) {
            Some(pool) => {
                let adoption = Adoption::new(listed, pool);
                self.stage(records, &host, Change::Adopt(adoption), now);
            }
            None => {
                self.notices.insert(Discrepancy::Unassigned { host });
            }
        }
    }

    fn compare(&mut self, scene: &Scene<'_, F>, record: &HostRecord) {
        let host = record.host.clone();
        if !scene.pools.contains_key(&record.pool) {
            let pool = record.pool.clone();
            self.notices.insert(Discrepancy::UnknownPool { host: host.clone(), pool });
        }
        let Some(listed) = scene.listed.get(&record.host) else {
            self.notices.insert(Discrepancy::Unlisted { host });
            return;
        };
        if let Some(pool) = listed.pool.as_ref().filter(|pool| **pool != record.home) {
            let (recorded, listed) = (record.home.clone(), pool.clone());
            self.notices.insert(Discrepancy::PoolMismatch { host: host.clone(), recorded, listed });
        }
        if listed.zone != record.zone || listed.rack != record.rack {
            self.notices.insert(Discrepancy::LocationMismatch { host });
        }
    }

    fn watch(&mut self, scene: &Scene<'_, F>, record: &HostRecord, now: WallTime) {
        if scene.is_present(&record.host) {
            self.away.remove(&record.host);
        } else {
            self.away.entry(record.host.clone()).or_insert(now);
        }
        if scene.listed.contains_key(&record.host) {
            self.unlisted.remove(&record.host);
        } else {
            self.unlisted.entry(record.host.clone()).or_insert(now);
        }
    }

    fn lose_or_find(
        &mut self,
        scene: &Scene<'_, F>,
        records: &mut Records,
        record: &HostRecord,
        now: WallTime,
    ) {
        if record.state == HostState::Lost {
            if scene.is_present(&record.host) {
                self.stage(records, &record.host, found::<F>(scene, record), now);
            } else if self.is_gone(&record.host, now) {
                self.stage(records, &record.host, Change::Forget, now);
            }
            return;
        }
        // A reboot and a move have a time limit of their own.
        if matches!(record.state, HostState::Rebooting | HostState::Moving) {
            return;
        }
        let away = self.away.get(&record.host).map_or(Duration::ZERO, |since| now.since(*since));
        if away >= self.limits.lost_after {
            self.rates.fail(1, now);
            self.stage(records, &record.host, Change::MarkLost, now);
        }
    }

    fn is_gone(&self, host: &HostId, now: WallTime) -> bool {
        let since = if F::FORGET_LISTED { self.away.get(host) } else { self.unlisted.get(host) };
        since.is_some_and(|since| now.since(*since) >= self.limits.forget_after)
    }
}

/// Returns what follows when a lost host is seen again.
///
/// An order to reboot may still be on its way to a host that never carried it
/// out, so such a host has to reboot before it takes work.
fn found<F: FleetFaults>(scene: &Scene<'_, F>, record: &HostRecord) -> Change {
    let report = scene.reports.get(&record.host);
    let same = report.is_some_and(|report| report.boot == record.boot);
    if same && !F::SKIP_REBOOT { Change::Reboot(record.boot) } else { Change::Probe }
}

/// Returns the pool that a new host goes to: the one that the platform names if
/// it lacks hosts, or else the one that lacks most, the one named, a spare one.
///
/// A host that comes new costs no drain, so it goes where one is missing.
fn choose_pool<F: FleetFaults>(
    scene: &Scene<'_, F>,
    homes: &BTreeMap<PoolId, i64>,
    listed: &ListedHost,
) -> Option<PoolId> {
    let allows = |pool: &&&Pool| pool.zones.is_empty() || pool.zones.contains(&listed.zone);
    let lacks = scene.pools.values().filter(allows).filter_map(|pool| {
        let lack = i64::from(pool.hosts) - homes.get(&pool.id).copied().unwrap_or(0);
        let named = listed.pool.as_ref() == Some(&pool.id);
        (lack > 0).then_some((named, lack, &pool.id))
    });
    let lacking = lacks.max().map(|(_, _, pool)| pool);
    let named = || listed.pool.as_ref().filter(|pool| scene.pools.contains_key(pool));
    let spare = || scene.pools.values().filter(allows).find(|pool| pool.spare).map(|pool| &pool.id);
    lacking.or_else(named).or_else(spare).cloned()
}
