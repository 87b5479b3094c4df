//! The configuration of a pool of hosts.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// Desired state of a pool: a section `[pool NAME]` of the list `uses`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the pool.
    pub id: PoolId,
    /// Desired number of hosts.
    pub hosts: u32,
    /// Availability zones that the hosts may be in; empty allows any zone.
    pub zones: Vec<ZoneId>,
    /// Availability budget: the number of hosts that may be unavailable at once,
    /// for whatever reason. Less than `hosts`.
    pub budget: u32,
    /// Whether the budget reserves capacity for the loss of a whole zone, and not
    /// only of a rack.
    pub zone_spare: bool,
    /// Time in which each host is maintained once.
    pub period: Duration,
    /// Whether hosts of this pool may be lent to other pools.
    pub spare: bool,
    /// Whether maintenance and moves of the hosts of this pool are paused.
    pub hold: bool,
}
