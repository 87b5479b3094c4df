//! The platform's balancer in front of the entry hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use vg_base::prelude::*;

/// Knows the entry hosts whose check is green. Clones share what they know.
#[derive(Debug, Clone, Default)]
pub struct Balancer {
    addrs: Arc<RwLock<BTreeMap<NodeId, SocketAddr>>>,
}

impl Balancer {
    /// Makes a balancer that sends all to one address.
    pub fn of(addr: SocketAddr) -> Balancer {
        let balancer = Balancer::default();
        balancer.add(super::node_id(0), addr);
        balancer
    }

    /// Sends calls to an entry host from now on.
    pub fn add(&self, node: NodeId, addr: SocketAddr) {
        self.addrs.write().unwrap_or_else(PoisonError::into_inner).insert(node, addr);
    }

    /// Sends nothing more to an entry host.
    pub fn remove(&self, node: &NodeId) {
        self.addrs.write().unwrap_or_else(PoisonError::into_inner).remove(node);
    }

    /// Returns the entry host whose turn it is.
    pub fn pick(&self, turn: usize) -> Option<SocketAddr> {
        let addrs = self.addrs.read().unwrap_or_else(PoisonError::into_inner);
        let count = addrs.len();
        if count == 0 { None } else { addrs.values().nth(turn % count).copied() }
    }
}
