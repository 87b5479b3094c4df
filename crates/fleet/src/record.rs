//! The record of a host.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::{HostState, Stamp};

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
    /// Grows by one with each change; reports name it.
    pub version: u64,
    /// Start of the host before it was ordered to reboot.
    pub boot: Incarnation,
    /// When it came into its state.
    pub since: Stamp,
    /// When it was last maintained.
    pub maintained: Stamp,
}

impl HostRecord {
    /// Whether the host serves another pool than its own.
    pub fn is_lent(&self) -> bool {
        self.pool != self.home
    }

    /// Returns when it has to be maintained again.
    pub fn deadline(&self, period: Duration) -> Stamp {
        self.maintained.after(period)
    }
}
