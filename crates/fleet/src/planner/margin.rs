//! Cancels drains when the margin of a pool is negative.

use std::cmp::Reverse;

use vg_base::prelude::*;
use vg_conf::Pool;

use super::{Planner, Snapshot};
use crate::faults::FleetFaults;
use crate::{Change, HostRecord, HostState, Records, WallTime};

impl<F: FleetFaults> Planner<F> {
    /// Cancels drains in all pools that have a negative margin or are on hold.
    pub(super) fn cancel_drains(
        &mut self,
        snapshot: &Snapshot<'_, F>,
        records: &mut Records,
        now: WallTime,
    ) {
        for pool in snapshot.pools.values() {
            let serving = snapshot.serving(records, &pool.id);
            let budget = snapshot.budget(pool, &serving, self.failures(pool, records));
            if !F::KEEP_DRAINS && (budget.margin() < 0 || pool.hold) {
                self.cancel_pool_drains(snapshot, records, pool, now);
            }
        }
    }

    /// Cancels drains in one pool until its margin is no longer negative, or all
    /// drains if the pool is on hold.
    fn cancel_pool_drains(
        &mut self,
        snapshot: &Snapshot<'_, F>,
        records: &mut Records,
        pool: &Pool,
        now: WallTime,
    ) {
        for host in cancellable_hosts(snapshot, records, &pool.id) {
            let serving = snapshot.serving(records, &pool.id);
            let budget = snapshot.budget(pool, &serving, self.failures(pool, records));
            if budget.margin() >= 0 && !pool.hold {
                return;
            }
            self.stage(records, &host, Change::CancelDrain, now);
        }
    }
}

/// Returns the drained hosts of a pool that can accept work again immediately. The
/// hosts with the longest remaining work come first.
fn cancellable_hosts<F: FleetFaults>(
    snapshot: &Snapshot<'_, F>,
    records: &Records,
    pool: &PoolId,
) -> Vec<HostId> {
    let drained = |each: &&HostRecord| {
        matches!(each.state, HostState::Draining(_) | HostState::Empty(_)) && each.pool == *pool
    };
    let present = |each: &&HostRecord| snapshot.is_present(&each.host);
    let hosts = records.hosts().values().filter(drained).filter(present);
    let mut hosts: Vec<HostId> = hosts.map(|each| each.host.clone()).collect();
    hosts.sort_by_key(|host| Reverse(snapshot.remaining(host)));
    hosts
}
