//! The record of a host.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::{HostState, WallTime};

/// What the store holds of a host.
///
/// The pool is one field, so a host can't be in two pools.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The host.
    pub host: HostId,
    /// The pool that it serves.
    pub pool: PoolId,
    /// The pool that it belongs to; another one than `pool` while it is lent.
    pub home: PoolId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
    /// Where it stands.
    pub state: HostState,
    /// The planner that wrote it.
    pub epoch: Epoch,
    /// Number of the batch that wrote it. Reports name it; it grows even when a
    /// host is forgotten and comes back, so that no report of an earlier state
    /// passes for one of this.
    pub version: u64,
    /// The start that the last order to reboot ends; zero if there was none.
    pub boot: Incarnation,
    /// When it came into its state.
    pub since: WallTime,
    /// When it was last maintained.
    pub maintained: WallTime,
}

impl HostRecord {
    /// Whether the host serves another pool than its own.
    pub fn is_lent(&self) -> bool {
        self.pool != self.home
    }

    /// Returns when it has to be maintained again.
    pub fn deadline(&self, period: Duration) -> WallTime {
        self.maintained.after(period)
    }
}
