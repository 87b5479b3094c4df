//! Orders that follow from durable records.

use super::Records;
use crate::{HostCommand, HostRecord, HostState};

impl Records {
    /// Returns what hosts and dispatchers have to be told, from durable records
    /// alone; a new planner goes on with the same orders.
    pub fn commands(&self) -> Vec<HostCommand> {
        self.durable.values().filter_map(order).collect()
    }
}

fn order(record: &HostRecord) -> Option<HostCommand> {
    let HostRecord { host, epoch, version, boot, pool, state, .. } = record.clone();
    match state {
        HostState::Draining(_) | HostState::Empty(_) => Some(HostCommand::Close { host, version }),
        HostState::Rebooting => Some(HostCommand::Reboot { host, epoch, version, boot }),
        HostState::Moving => Some(HostCommand::SetUp { host, version, pool }),
        HostState::Probation => Some(HostCommand::Probe { host }),
        HostState::Active | HostState::Lost => None,
    }
}
