//! The states of a host.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// Why a host is drained.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
pub enum DrainPurpose {
    /// To be rebooted.
    #[display("maintenance")]
    Maintain,
    /// To serve another pool for a while; its home stays.
    #[display("lent to {_0}")]
    Lend(PoolId),
    /// To go back to its home.
    #[display("return home")]
    Return,
    /// To belong to another pool from now on.
    #[display("moved to {_0}")]
    Rehome(PoolId),
}

/// Where a host stands.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
pub enum HostState {
    /// It takes work.
    #[display("active")]
    Active,
    /// It takes no new work and finishes what runs.
    #[display("draining ({_0})")]
    Draining(DrainPurpose),
    /// It runs nothing, and no dispatcher will start anything on it.
    #[display("empty ({_0})")]
    Empty(DrainPurpose),
    /// It was ordered to reboot.
    #[display("rebooting")]
    Rebooting,
    /// It is set up for the pool of its record.
    #[display("moving")]
    Moving,
    /// It is up but not proved.
    #[display("probation")]
    Probation,
    /// It was away for too long.
    #[display("lost")]
    Lost,
}

impl HostState {
    /// Whether the host is away because the planner wants it so.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            HostState::Draining(_) | HostState::Empty(_) | HostState::Rebooting | HostState::Moving
        )
    }
}
