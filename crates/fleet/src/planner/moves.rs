//! Moves hosts between pools: for good, or lent and returned.
//!
//! Only the lists and lasting failures move hosts. Load does not: a spike of a
//! few seconds is over before a host could be drained and set up.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_conf::Pool;

use super::{Planner, Scene};
use crate::faults::FleetFaults;
use crate::{Change, DrainPurpose, HostRecord, HostState, Records, WallTime};

impl<F: FleetFaults> Planner<F> {
    pub(super) fn plan_moves(
        &mut self,
        scene: &Scene<'_, F>,
        records: &mut Records,
        now: WallTime,
    ) {
        if self.brake(records).is_some() {
            return;
        }
        self.rehome(scene, records, now);
        for pool in scene.pools.values().filter(|pool| !pool.hold) {
            self.lend(scene, records, pool, now);
            self.give_back(scene, records, pool, now);
        }
        self.leave_unknown(scene, records, now);
    }

    /// Moves hosts for good from pools that have more than wanted to pools that
    /// lack some.
    fn rehome(&mut self, scene: &Scene<'_, F>, records: &mut Records, now: WallTime) {
        let homes = self.count_homes(records, now);
        let excess = |pool: &PoolId| {
            let have = homes.get(pool).copied().unwrap_or(0);
            have - scene.pools.get(pool).map_or(0, |pool| i64::from(pool.hosts))
        };
        let mut excesses: BTreeMap<PoolId, i64> = BTreeMap::new();
        for pool in homes.keys().chain(scene.pools.keys().copied()) {
            excesses.insert(pool.clone(), excess(pool));
        }
        for pool in scene.pools.values().filter(|pool| !pool.hold) {
            let lack = -excesses.get(&pool.id).copied().unwrap_or(0);
            if !lasts(&mut self.lacks, &pool.id, lack > 0, now, self.limits.move_after) {
                continue;
            }
            for _ in 0..lack {
                let Some((donor, host)) = self.donor(scene, records, pool, &excesses) else {
                    break;
                };
                let change = Change::Drain(DrainPurpose::Rehome(pool.id.clone()));
                if self.stage(records, &host, change, now) {
                    *excesses.entry(donor).or_default() -= 1;
                }
            }
        }
    }

    /// Counts the hosts that belong to each pool, or will when they arrive.
    ///
    /// A lost host counts for a while: most come back, and a move for it would
    /// be followed by one the other way.
    pub(super) fn count_homes(&self, records: &Records, now: WallTime) -> BTreeMap<PoolId, i64> {
        let mut homes = BTreeMap::new();
        for record in records.hosts().values() {
            let home = match &record.state {
                HostState::Draining(DrainPurpose::Rehome(to))
                | HostState::Empty(DrainPurpose::Rehome(to)) => to,
                HostState::Lost if self.is_replaced(record, now) => continue,
                _ => &record.home,
            };
            *homes.entry(home.clone()).or_default() += 1;
        }
        homes
    }

    fn is_replaced(&self, record: &HostRecord, now: WallTime) -> bool {
        let long = now.since(record.since) >= self.limits.replace_after;
        long || self.unlisted.contains_key(&record.host)
    }

    fn donor(
        &self,
        scene: &Scene<'_, F>,
        records: &Records,
        to: &Pool,
        excesses: &BTreeMap<PoolId, i64>,
    ) -> Option<(PoolId, HostId)> {
        let mut donors: Vec<_> = excesses.iter().filter(|(_, excess)| **excess > 0).collect();
        donors.sort_by_key(|(_, excess)| -**excess);
        donors.into_iter().find_map(|(donor, _)| {
            let host = self.spared_host(scene, records, donor, to, None)?;
            Some((donor.clone(), host))
        })
    }

    /// Returns the host that a pool can best do without, if its budget allows.
    fn spared_host(
        &self,
        scene: &Scene<'_, F>,
        records: &Records,
        donor: &PoolId,
        to: &Pool,
        failures: Option<u32>,
    ) -> Option<HostId> {
        let serving = scene.serving(records, donor);
        let fits = |each: &&&HostRecord| {
            let home = each.home == *donor && each.state == HostState::Active;
            home && (to.zones.is_empty() || to.zones.contains(&each.zone))
        };
        let mut hosts: Vec<&HostRecord> = serving.iter().filter(fits).copied().collect();
        let receivers = scene.serving(records, &to.id);
        hosts.sort_by_key(|each| {
            // A host in a rack and zone that the receiver has few of adds most
            // to its margin.
            let racks = receivers.iter().filter(|other| other.rack == each.rack).count();
            let zones = receivers.iter().filter(|other| other.zone == each.zone).count();
            (racks, zones, scene.remaining(&each.host))
        });
        hosts.into_iter().find_map(|host| {
            let Some(pool) = scene.pools.get(donor) else { return Some(host.host.clone()) };
            let rest: Vec<&HostRecord> =
                serving.iter().filter(|each| each.host != host.host).copied().collect();
            let failures = failures.unwrap_or_else(|| self.failures(pool, records));
            let spared = !pool.hold && scene.budget(pool, &rest, failures).margin() >= 0;
            spared.then(|| host.host.clone())
        })
    }

    /// Lends a host to a pool that is below its floor, or can't drain a single
    /// host by itself. A reserve that is used up is left to repairs: most hosts
    /// are back before a loan would have paid for its two drains.
    fn lend(&mut self, scene: &Scene<'_, F>, records: &mut Records, pool: &Pool, now: WallTime) {
        let serving = scene.serving(records, &pool.id);
        let broken = scene.budget(pool, &serving, self.failures(pool, records)).is_violated();
        let members = records.hosts().values().filter(|each| each.pool == pool.id);
        let mut under_way =
            members.filter(|each| each.state.is_planned() || each.state == HostState::Probation);
        let coming = records.hosts().values().any(|each| is_lent_to(each, &pool.id));
        let stuck = self.waves.contains(&pool.id)
            && !self.candidates(scene, records, pool, now).is_empty()
            && under_way.next().is_none()
            && !self.can_drain(scene, records, pool);
        let need = (stuck && pool.budget > 0) || broken;
        let lasting = lasts(&mut self.needs, &pool.id, need, now, self.limits.move_after);
        if !lasting || coming || pool.spare {
            return;
        }
        let spares = scene.pools.values().filter(|each| each.spare && each.id != pool.id);
        let host = spares
            .into_iter()
            .find_map(|each| self.spared_host(scene, records, &each.id, pool, None));
        if let Some(host) = host {
            self.stage(records, &host, Change::Drain(DrainPurpose::Lend(pool.id.clone())), now);
        }
    }

    fn can_drain(&self, scene: &Scene<'_, F>, records: &Records, pool: &Pool) -> bool {
        let serving = scene.serving(records, &pool.id);
        let failures = self.failures(pool, records);
        serving.iter().any(|host| {
            let rest: Vec<&HostRecord> =
                serving.iter().filter(|each| each.host != host.host).copied().collect();
            scene.budget(pool, &rest, failures).margin() >= 0
        })
    }

    /// Sends a lent host home when the pool can spare it.
    fn give_back(
        &mut self,
        scene: &Scene<'_, F>,
        records: &mut Records,
        pool: &Pool,
        now: WallTime,
    ) {
        let serving = scene.serving(records, &pool.id);
        let failures = self.failures(pool, records);
        let wave =
            self.waves.contains(&pool.id) && !self.candidates(scene, records, pool, now).is_empty();
        let spared = serving.iter().filter(|each| each.is_lent()).find(|host| {
            let rest: Vec<&HostRecord> =
                serving.iter().filter(|each| each.host != host.host).copied().collect();
            scene.budget(pool, &rest, failures).margin() >= 0
        });
        let host = spared.filter(|_| !wave).map(|each| each.host.clone());
        let plenty = host.is_some();
        if !lasts(&mut self.plenty, &pool.id, plenty, now, self.limits.return_after) {
            return;
        }
        if let Some(host) = host {
            self.stage(records, &host, Change::Drain(DrainPurpose::Return), now);
        }
    }

    /// Takes lent hosts home from pools that the lists no longer have.
    fn leave_unknown(&mut self, scene: &Scene<'_, F>, records: &mut Records, now: WallTime) {
        let stray = |each: &&HostRecord| {
            each.is_lent()
                && each.state == HostState::Active
                && !scene.pools.contains_key(&each.pool)
        };
        let hosts: Vec<HostId> =
            records.hosts().values().filter(stray).map(|each| each.host.clone()).collect();
        for host in hosts {
            self.stage(records, &host, Change::Drain(DrainPurpose::Return), now);
        }
    }
}

fn is_lent_to(record: &HostRecord, pool: &PoolId) -> bool {
    match &record.state {
        HostState::Draining(DrainPurpose::Lend(to)) | HostState::Empty(DrainPurpose::Lend(to)) => {
            to == pool
        }
        HostState::Moving | HostState::Probation => record.is_lent() && record.pool == *pool,
        _ => false,
    }
}

/// Whether a condition has held for `span`.
fn lasts(
    table: &mut BTreeMap<PoolId, WallTime>,
    pool: &PoolId,
    holds: bool,
    now: WallTime,
    span: Duration,
) -> bool {
    if !holds {
        table.remove(pool);
        return false;
    }
    let since = *table.entry(pool.clone()).or_insert(now);
    now.since(since) >= span
}
