//! A load balancer in front of the entry hosts, in place of the platform's.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use vg_base::prelude::*;

/// Distributes requests over the entry hosts that were added. Clones share one table.
#[derive(Debug, Clone, Default)]
pub struct Balancer {
    addrs: Arc<RwLock<BTreeMap<NodeId, SocketAddr>>>,
}

impl Balancer {
    /// Returns a balancer that sends all requests to one address.
    pub fn single(addr: SocketAddr) -> Balancer {
        let balancer = Balancer::default();
        balancer.add(super::node_id(0), addr);
        balancer
    }

    /// Adds an entry host, which receives requests from now on.
    pub fn add(&self, node: NodeId, addr: SocketAddr) {
        self.addrs.write().unwrap_or_else(PoisonError::into_inner).insert(node, addr);
    }

    /// Removes an entry host, which receives no more requests.
    pub fn remove(&self, node: &NodeId) {
        self.addrs.write().unwrap_or_else(PoisonError::into_inner).remove(node);
    }

    /// Returns the address of the entry host for request number `turn`, round robin.
    /// Returns `None` if there are no entry hosts.
    pub fn pick(&self, turn: usize) -> Option<SocketAddr> {
        let addrs = self.addrs.read().unwrap_or_else(PoisonError::into_inner);
        let count = addrs.len();
        if count == 0 { None } else { addrs.values().nth(turn % count).copied() }
    }
}
