//! A pool of hosts.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// What operators want of a pool, a section `[pool NAME]` of the list `uses`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the pool.
    pub id: PoolId,
    /// Hosts wanted.
    pub hosts: u32,
    /// Availability zones that the hosts stand in; empty: any.
    pub zones: Vec<ZoneId>,
    /// Availability budget: most hosts that may be away at once, for whatever
    /// reason.
    pub budget: u32,
    /// Whether the budget leaves room for the loss of a whole zone, not only
    /// of a rack.
    pub zone_spare: bool,
    /// Each host is maintained once in this time.
    pub period: Duration,
    /// Whether hosts of this pool may be lent to others.
    pub spare: bool,
    /// Whether maintenance and moves of this pool are held.
    pub hold: bool,
}
