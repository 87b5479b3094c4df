//! States of hosts and purposes of drains.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// The purpose of a drain.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
pub enum DrainPurpose {
    /// The host will be rebooted.
    #[display("maintenance")]
    Maintain,
    /// The host will serve another pool temporarily. Its home does not change.
    #[display("lent to {_0}")]
    Lend(PoolId),
    /// The host will return to its home.
    #[display("return home")]
    Return,
    /// The host will belong to another pool permanently.
    #[display("moved to {_0}")]
    Rehome(PoolId),
}

/// The state of a host.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
pub enum HostState {
    /// The host accepts work.
    #[display("active")]
    Active,
    /// The host accepts no new work and finishes its running work.
    #[display("draining ({_0})")]
    Draining(DrainPurpose),
    /// The host runs no work, and no dispatcher will start any on it.
    #[display("empty ({_0})")]
    Empty(DrainPurpose),
    /// The host has been commanded to reboot.
    #[display("rebooting")]
    Rebooting,
    /// The host is being set up for the pool of its record.
    #[display("moving")]
    Moving,
    /// The host is reachable but has not passed its probes.
    #[display("probation")]
    Probation,
    /// The host was absent for too long.
    #[display("lost")]
    Lost,
}

impl HostState {
    /// Returns whether the host is away by decision of the planner.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            HostState::Draining(_) | HostState::Empty(_) | HostState::Rebooting | HostState::Moving
        )
    }
}
