//! The node's background tasks: lists, membership, pools, units and hosts.

mod book;
mod heartbeats;
mod hosts;
mod keys;
mod lease;
mod lists;
mod ownership;
mod takeover;
mod tick;
mod units;

pub(crate) use heartbeats::receive;
pub(crate) use takeover::{busy, handover};

use tokio::task::JoinSet;

use crate::node::Node;
use crate::platform::Platform;

/// Starts all background tasks. They end when the set is dropped.
pub(crate) fn start<P: Platform>(node: &Node<P>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(lists::run(node.clone()));
    tasks.spawn(lease::run(node.clone()));
    tasks.spawn(book::run(node.clone()));
    tasks.spawn(heartbeats::run(node.clone()));
    tasks.spawn(units::run(node.clone()));
    tasks.spawn(hosts::run(node.clone()));
    tasks.spawn(tick::run(node.clone()));
    tasks
}
