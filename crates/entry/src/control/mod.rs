//! The node's background tasks for lists, membership, pools, permits and hosts.

mod cluster_state;
mod heartbeats;
mod hosts;
mod keys;
mod lease;
mod lists;
mod ownership;
mod permits;
mod takeover;
mod tick;

pub(crate) use heartbeats::receive;
pub(crate) use takeover::{busy_slots, handover};

use tokio::task::JoinSet;

use crate::node::Node;
use crate::platform::Platform;

/// Starts all background tasks. They end when the returned set is dropped.
pub(crate) fn start<P: Platform>(node: &Node<P>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(lists::run(node.clone()));
    tasks.spawn(lease::run(node.clone()));
    tasks.spawn(cluster_state::run(node.clone()));
    tasks.spawn(heartbeats::run(node.clone()));
    tasks.spawn(permits::run(node.clone()));
    tasks.spawn(hosts::run(node.clone()));
    tasks.spawn(tick::run(node.clone()));
    tasks
}
