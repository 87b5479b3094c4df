//! Orders that follow from durable records.

use super::Records;
use crate::{HostRecord, HostState, Order};

impl Records {
    /// Returns what hosts and dispatchers have to be told, from durable records
    /// alone; a new planner goes on with the same orders.
    pub fn orders(&self) -> Vec<Order> {
        self.durable.values().filter_map(order).collect()
    }
}

fn order(record: &HostRecord) -> Option<Order> {
    let HostRecord { host, epoch, version, boot, pool, state, .. } = record.clone();
    match state {
        HostState::Draining(_) | HostState::Empty(_) => Some(Order::Close { host, version }),
        HostState::Rebooting => Some(Order::Reboot { host, epoch, version, boot }),
        HostState::Moving => Some(Order::SetUp { host, version, pool }),
        HostState::Probation => Some(Order::Probe { host }),
        HostState::Active | HostState::Lost => None,
    }
}
