//! Commands that follow from durable records.

use super::Records;
use crate::{HostCommand, HostRecord, HostState};

impl Records {
    /// Returns the commands for hosts and dispatchers. They follow from the durable
    /// records alone, so a new planner continues with the same commands.
    pub fn commands(&self) -> Vec<HostCommand> {
        self.durable.values().filter_map(command).collect()
    }
}

fn command(record: &HostRecord) -> Option<HostCommand> {
    let HostRecord { host, epoch, version, boot, pool, state, .. } = record.clone();
    match state {
        HostState::Draining(_) | HostState::Empty(_) => Some(HostCommand::Close { host, version }),
        HostState::Rebooting => Some(HostCommand::Reboot { host, epoch, version, boot }),
        HostState::Moving => Some(HostCommand::SetUp { host, version, pool }),
        HostState::Probation => Some(HostCommand::Probe { host }),
        HostState::Active | HostState::Lost => None,
    }
}
