//! Pools that come to this node and go from it.

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

/// Takes up pools that the book gives to this member, and hands over those
/// that others shall have. `before` is the book known until now.
pub(super) fn refresh<P: Platform>(node: &Node<P>, before: &ClusterState) {
    let membership = node.membership.lock();
    let me = membership.me().clone();
    let owners = membership.cluster_state().owners.clone();
    let releases = membership.view().pools_to_release();
    drop(membership);
    for (pool, held) in &owners {
        let mine = held.owner == me && !releases.contains(pool);
        if mine && node.pools.claim(pool, held.epoch) {
            take_up(node, pool, held, before.owners.get(pool));
        }
    }
    for pool in node.pools.names() {
        let mine = owners.get(&pool).is_some_and(|held| held.owner == me);
        if !mine || releases.contains(&pool) {
            node.pools.retire(&pool);
            node.jobs.retire(&pool);
        }
    }
    for pool in &releases {
        // Dispatch has stopped: the release is proposed with the next changes.
        node.membership.lock().stop_dispatch(pool);
        node.due.notify_one();
    }
}

/// Begins to dispatch a pool.
fn take_up<P: Platform>(
    node: &Node<P>,
    pool: &PoolId,
    held: &Ownership,
    earlier: Option<&Ownership>,
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
    let earlier = earlier.map(|earlier| earlier.owner.clone());
    let fields = [
        Field::new("pool", pool),
        Field::new("epoch", held.epoch),
        Field::new("earlier", earlier.as_ref().map(Member::to_string).unwrap_or_default()),
    ];
    node.events.record(Code::OwnerChanged, fields);
    let jobs = Arc::new(PoolJobs::new(pool.clone()));
    node.jobs.add(Arc::clone(&jobs));
    tokio::spawn(jobs::keep(node.clone(), jobs, held.epoch, earlier.clone()));
    match earlier {
        Some(earlier) => {
            let node = node.clone();
            let epoch = held.epoch;
            tokio::spawn(async move { takeover::run(&node, dispatch, &earlier, epoch).await });
        }
        // Nobody has run anything of this pool before.
        None => node.pools.add(dispatch, held.epoch),
    }
}
