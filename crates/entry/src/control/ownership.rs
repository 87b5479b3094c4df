//! Starts and stops pools as their ownership changes.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_peer::{ClusterState, Ownership};
use vg_share::PoolRules;

use crate::control::{hosts, takeover};
use crate::dispatch::PoolDispatch;
use crate::jobs::{self, PoolJobs};
use crate::node::Node;
use crate::platform::Platform;

/// Starts the pools that the cluster state assigns to this member, and stops those that
/// it assigns to others. `before` is the cluster state that was known until now.
pub(super) fn update_pools<P: Platform>(node: &Node<P>, before: &ClusterState) {
    let membership = node.membership.lock();
    let me = membership.me().clone();
    let owners = membership.cluster_state().owners.clone();
    let releases = membership.view().pools_to_release();
    drop(membership);
    for (pool, ownership) in &owners {
        let mine = ownership.owner == me && !releases.contains(pool);
        if mine && node.pools.claim(pool, ownership.epoch) {
            start_pool(node, pool, ownership, before.owners.get(pool));
        }
    }
    for pool in node.pools.names() {
        let mine = owners.get(&pool).is_some_and(|ownership| ownership.owner == me);
        if !mine || releases.contains(&pool) {
            node.pools.retire(&pool);
            node.jobs.retire(&pool);
        }
    }
    for pool in &releases {
        // Dispatch has stopped, so the release of the pool is proposed with the next
        // changes.
        node.membership.lock().stop_dispatch(pool);
        node.changes_due.notify_one();
    }
}

/// Starts to manage the jobs of a pool and to dispatch its calls. A pool that had another
/// owner is dispatched only after its takeover.
fn start_pool<P: Platform>(
    node: &Node<P>,
    pool: &PoolId,
    ownership: &Ownership,
    previous: Option<&Ownership>,
) {
    let config = node.config.current();
    let rules = PoolRules::from_lists(&config.lists, pool);
    let dispatch = PoolDispatch::new(
        pool.clone(),
        node.options.zone.clone(),
        node.clock.clone(),
        node.membership.clone(),
        node.events.clone(),
        rules,
    );
    let dispatch = Arc::new(dispatch);
    hosts::apply(node, &dispatch);
    let previous = previous.map(|previous| previous.owner.clone());
    let fields = [
        Field::new("pool", pool),
        Field::new("epoch", ownership.epoch),
        Field::new("earlier", previous.as_ref().map(Member::to_string).unwrap_or_default()),
    ];
    node.events.record(Code::OwnerChanged, fields);
    let jobs = Arc::new(PoolJobs::new(pool.clone()));
    node.jobs.add(Arc::clone(&jobs));
    tokio::spawn(jobs::run_controller(node.clone(), jobs, ownership.epoch, previous.clone()));
    match previous {
        Some(previous) => {
            let node = node.clone();
            let epoch = ownership.epoch;
            tokio::spawn(async move { takeover::run(&node, dispatch, &previous, epoch).await });
        }
        // The pool had no owner before, so nothing of it can be running.
        None => node.pools.add(dispatch, ownership.epoch),
    }
}
