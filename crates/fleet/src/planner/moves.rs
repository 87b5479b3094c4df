//! Moves hosts between pools, permanently or as loans.
//!
//! Only changes of the lists and persistent failures move hosts. Load does not: a
//! load spike of a few seconds ends before a host could be drained and set up.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_conf::Pool;

use super::{Planner, Snapshot};
use crate::faults::FleetFaults;
use crate::{Change, DrainPurpose, HostRecord, HostState, Records, WallTime};

impl<F: FleetFaults> Planner<F> {
    /// Stages the drains of hosts that have to move to another pool. Nothing is
    /// drained during a mass failure.
    pub(super) fn plan_moves(
        &mut self,
        snapshot: &Snapshot<'_, F>,
        records: &mut Records,
        now: WallTime,
    ) {
        if self.mass_failure(records).is_some() {
            return;
        }
        self.plan_rehoming(snapshot, records, now);
        for pool in snapshot.pools.values().filter(|pool| !pool.hold) {
            self.plan_loan(snapshot, records, pool, now);
            self.return_loan(snapshot, records, pool, now);
        }
        self.leave_removed_pools(snapshot, records, now);
    }

    /// Moves hosts permanently from pools that have too many hosts to pools that
    /// have too few, once the shortage has lasted for `move_after`.
    fn plan_rehoming(&mut self, snapshot: &Snapshot<'_, F>, records: &mut Records, now: WallTime) {
        let homes = self.count_homes(records, now);
        let excess = |pool: &PoolId| {
            let count = homes.get(pool).copied().unwrap_or(0);
            count - snapshot.pools.get(pool).map_or(0, |pool| i64::from(pool.hosts))
        };
        let mut excesses: BTreeMap<PoolId, i64> = BTreeMap::new();
        for pool in homes.keys().chain(snapshot.pools.keys().copied()) {
            excesses.insert(pool.clone(), excess(pool));
        }
        for pool in snapshot.pools.values().filter(|pool| !pool.hold) {
            let shortage = -excesses.get(&pool.id).copied().unwrap_or(0);
            if !holds_for(
                &mut self.shortage_since,
                &pool.id,
                shortage > 0,
                now,
                self.limits.move_after,
            ) {
                continue;
            }
            for _ in 0..shortage {
                let Some((donor, host)) = self.find_donor(snapshot, records, pool, &excesses)
                else {
                    break;
                };
                let change = Change::Drain(DrainPurpose::Rehome(pool.id.clone()));
                if self.stage(records, &host, change, now) {
                    *excesses.entry(donor).or_default() -= 1;
                }
            }
        }
    }

    /// Counts the hosts that belong to each pool, including hosts that are about to
    /// move to it permanently.
    ///
    /// A lost host still counts until `replace_after` has passed or it is missing in
    /// the host list. Most lost hosts come back, and a move to replace such a host
    /// would have to be reversed.
    pub(super) fn count_homes(&self, records: &Records, now: WallTime) -> BTreeMap<PoolId, i64> {
        let mut homes = BTreeMap::new();
        for record in records.hosts().values() {
            let home = match &record.state {
                HostState::Draining(DrainPurpose::Rehome(to))
                | HostState::Empty(DrainPurpose::Rehome(to)) => to,
                HostState::Lost if self.needs_replacement(record, now) => continue,
                _ => &record.home,
            };
            *homes.entry(home.clone()).or_default() += 1;
        }
        homes
    }

    /// Returns whether a lost host no longer counts as a host of its pool.
    fn needs_replacement(&self, record: &HostRecord, now: WallTime) -> bool {
        let expired = now.since(record.since) >= self.limits.replace_after;
        expired || self.unlisted_since.contains_key(&record.host)
    }

    /// Returns a pool that has too many hosts and one of its hosts that the pool
    /// `to` can take. The pool with the largest excess is tried first.
    fn find_donor(
        &self,
        snapshot: &Snapshot<'_, F>,
        records: &Records,
        to: &Pool,
        excesses: &BTreeMap<PoolId, i64>,
    ) -> Option<(PoolId, HostId)> {
        let mut donors: Vec<_> = excesses.iter().filter(|(_, excess)| **excess > 0).collect();
        donors.sort_by_key(|(_, excess)| -**excess);
        donors.into_iter().find_map(|(donor, _)| {
            let host = self.find_spare_host(snapshot, records, donor, to, None)?;
            Some((donor.clone(), host))
        })
    }

    /// Returns the host of the pool `donor` that is the best host to move to the
    /// pool `to`, if the budget of `donor` allows a move. A donor that is not in the
    /// lists has no budget to keep. `failures` is the number of failures to reserve
    /// hosts for; `None` stands for the number that `donor` has to expect.
    fn find_spare_host(
        &self,
        snapshot: &Snapshot<'_, F>,
        records: &Records,
        donor: &PoolId,
        to: &Pool,
        failures: Option<u32>,
    ) -> Option<HostId> {
        let serving = snapshot.serving(records, donor);
        let eligible = |each: &&&HostRecord| {
            let at_home = each.home == *donor && each.state == HostState::Active;
            at_home && (to.zones.is_empty() || to.zones.contains(&each.zone))
        };
        let mut hosts: Vec<&HostRecord> = serving.iter().filter(eligible).copied().collect();
        let receivers = snapshot.serving(records, &to.id);
        hosts.sort_by_key(|each| {
            // A host in a rack and zone in which the receiving pool has few hosts
            // adds most to the margin of that pool.
            let racks = receivers.iter().filter(|other| other.rack == each.rack).count();
            let zones = receivers.iter().filter(|other| other.zone == each.zone).count();
            (racks, zones, snapshot.remaining(&each.host))
        });
        hosts.into_iter().find_map(|host| {
            let Some(pool) = snapshot.pools.get(donor) else { return Some(host.host.clone()) };
            let rest: Vec<&HostRecord> =
                serving.iter().filter(|each| each.host != host.host).copied().collect();
            let failures = failures.unwrap_or_else(|| self.failures(pool, records));
            let spare = !pool.hold && snapshot.budget(pool, &rest, failures).margin() >= 0;
            spare.then(|| host.host.clone())
        })
    }

    /// Lends a host of a spare pool to a pool that is below its floor or that can't
    /// drain any host by itself, once this has lasted for `move_after`.
    ///
    /// A used-up reserve alone is no reason for a loan. Most failed hosts are back
    /// before a loan would be worth its two drains.
    fn plan_loan(
        &mut self,
        snapshot: &Snapshot<'_, F>,
        records: &mut Records,
        pool: &Pool,
        now: WallTime,
    ) {
        let serving = snapshot.serving(records, &pool.id);
        let violated = snapshot.budget(pool, &serving, self.failures(pool, records)).is_violated();
        let members = records.hosts().values().filter(|each| each.pool == pool.id);
        let mut in_progress =
            members.filter(|each| each.state.is_planned() || each.state == HostState::Probation);
        let arriving = records.hosts().values().any(|each| is_lent_to(each, &pool.id));
        let stuck = self.open_waves.contains(&pool.id)
            && !self.candidates(snapshot, records, pool, now).is_empty()
            && in_progress.next().is_none()
            && !self.can_drain(snapshot, records, pool);
        let need = (stuck && pool.budget > 0) || violated;
        let persistent =
            holds_for(&mut self.need_since, &pool.id, need, now, self.limits.move_after);
        if !persistent || arriving || pool.spare {
            return;
        }
        let spare_pools = snapshot.pools.values().filter(|each| each.spare && each.id != pool.id);
        let host = spare_pools
            .into_iter()
            .find_map(|each| self.find_spare_host(snapshot, records, &each.id, pool, None));
        if let Some(host) = host {
            self.stage(records, &host, Change::Drain(DrainPurpose::Lend(pool.id.clone())), now);
        }
    }

    /// Returns whether the budget of a pool allows to drain at least one host.
    fn can_drain(&self, snapshot: &Snapshot<'_, F>, records: &Records, pool: &Pool) -> bool {
        let serving = snapshot.serving(records, &pool.id);
        let failures = self.failures(pool, records);
        serving.iter().any(|host| {
            let rest: Vec<&HostRecord> =
                serving.iter().filter(|each| each.host != host.host).copied().collect();
            snapshot.budget(pool, &rest, failures).margin() >= 0
        })
    }

    /// Returns a lent host to its home once the pool has been able to spare it for
    /// `return_after` and no wave has hosts to drain.
    fn return_loan(
        &mut self,
        snapshot: &Snapshot<'_, F>,
        records: &mut Records,
        pool: &Pool,
        now: WallTime,
    ) {
        let serving = snapshot.serving(records, &pool.id);
        let failures = self.failures(pool, records);
        let wave = self.open_waves.contains(&pool.id)
            && !self.candidates(snapshot, records, pool, now).is_empty();
        let spared = serving.iter().filter(|each| each.is_lent()).find(|host| {
            let rest: Vec<&HostRecord> =
                serving.iter().filter(|each| each.host != host.host).copied().collect();
            snapshot.budget(pool, &rest, failures).margin() >= 0
        });
        let host = spared.filter(|_| !wave).map(|each| each.host.clone());
        let surplus = host.is_some();
        if !holds_for(&mut self.surplus_since, &pool.id, surplus, now, self.limits.return_after) {
            return;
        }
        if let Some(host) = host {
            self.stage(records, &host, Change::Drain(DrainPurpose::Return), now);
        }
    }

    /// Returns lent hosts to their homes from pools that are no longer in the lists.
    fn leave_removed_pools(
        &mut self,
        snapshot: &Snapshot<'_, F>,
        records: &mut Records,
        now: WallTime,
    ) {
        let orphaned = |each: &&HostRecord| {
            each.is_lent()
                && each.state == HostState::Active
                && !snapshot.pools.contains_key(&each.pool)
        };
        let hosts: Vec<HostId> =
            records.hosts().values().filter(orphaned).map(|each| each.host.clone()).collect();
        for host in hosts {
            self.stage(records, &host, Change::Drain(DrainPurpose::Return), now);
        }
    }
}

/// Returns whether a host is on its way to `pool` as a loan.
fn is_lent_to(record: &HostRecord, pool: &PoolId) -> bool {
    match &record.state {
        HostState::Draining(DrainPurpose::Lend(to)) | HostState::Empty(DrainPurpose::Lend(to)) => {
            to == pool
        }
        HostState::Moving | HostState::Probation => record.is_lent() && record.pool == *pool,
        _ => false,
    }
}

/// Returns whether a condition of a pool has held for `duration`. `table` keeps the
/// time since which it holds.
fn holds_for(
    table: &mut BTreeMap<PoolId, WallTime>,
    pool: &PoolId,
    holds: bool,
    now: WallTime,
    duration: Duration,
) -> bool {
    if !holds {
        table.remove(pool);
        return false;
    }
    let since = *table.entry(pool.clone()).or_insert(now);
    now.since(since) >= duration
}
