//! Takes drains back when a pool's margin is gone.

use std::cmp::Reverse;

use vg_base::prelude::*;
use vg_conf::Pool;

use super::{Planner, Scene};
use crate::faults::FleetFaults;
use crate::{Change, HostRecord, HostState, Records, WallTime};

impl<F: FleetFaults> Planner<F> {
    pub(super) fn return_drains(
        &mut self,
        scene: &Scene<'_, F>,
        records: &mut Records,
        now: WallTime,
    ) {
        for pool in scene.pools.values() {
            let serving = scene.serving(records, &pool.id);
            let budget = scene.budget(pool, &serving, self.failures(pool, records));
            if !F::KEEP_DRAINS && (budget.margin() < 0 || pool.hold) {
                self.return_pool(scene, records, pool, now);
            }
        }
    }

    fn return_pool(
        &mut self,
        scene: &Scene<'_, F>,
        records: &mut Records,
        pool: &Pool,
        now: WallTime,
    ) {
        for host in returnable(scene, records, &pool.id) {
            let serving = scene.serving(records, &pool.id);
            let budget = scene.budget(pool, &serving, self.failures(pool, records));
            if budget.margin() >= 0 && !pool.hold {
                return;
            }
            self.stage(records, &host, Change::CancelDrain, now);
        }
    }
}

/// Returns the hosts that can take work again at once, first those that would
/// need longest to get empty.
fn returnable<F: FleetFaults>(
    scene: &Scene<'_, F>,
    records: &Records,
    pool: &PoolId,
) -> Vec<HostId> {
    let open = |each: &&HostRecord| {
        matches!(each.state, HostState::Draining(_) | HostState::Empty(_)) && each.pool == *pool
    };
    let present = |each: &&HostRecord| scene.is_present(&each.host);
    let hosts = records.hosts().values().filter(open).filter(present);
    let mut hosts: Vec<HostId> = hosts.map(|each| each.host.clone()).collect();
    hosts.sort_by_key(|host| Reverse(scene.remaining(host)));
    hosts
}
