//! The stored record of a host.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::{HostState, WallTime};

/// The record of a host in the store.
///
/// The pool is a single field, so a host can't be in two pools.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The host.
    pub host: HostId,
    /// The pool that the host serves.
    pub pool: PoolId,
    /// The pool that the host belongs to. It differs from `pool` while the host is
    /// lent.
    pub home: PoolId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Rack of the host.
    pub rack: RackId,
    /// State of the host.
    pub state: HostState,
    /// Epoch of the planner that wrote the record.
    pub epoch: Epoch,
    /// Number of the batch that wrote the record. Reports refer to this number. It
    /// increases even if the record is removed and the host gets a new record, so a
    /// report about an earlier state is never mistaken for a report about this state.
    pub version: u64,
    /// The incarnation of the host that the last reboot command ends, or zero if
    /// there was none.
    pub boot: Incarnation,
    /// The time at which the host entered its state.
    pub since: WallTime,
    /// The time of the last maintenance, or of the first record.
    pub maintained: WallTime,
}

impl HostRecord {
    /// Returns whether the host serves another pool than its home.
    pub fn is_lent(&self) -> bool {
        self.pool != self.home
    }

    /// Returns the time by which the host has to be maintained again.
    pub fn deadline(&self, period: Duration) -> WallTime {
        self.maintained.after(period)
    }
}
