//! What the table of endpoints shows of its state.

use vg_base::prelude::*;

use super::Health;

/// One endpoint as its pool's owner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointStats {
    /// Its host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Slots in use, calls of an earlier owner and lost calls included.
    pub used: Slots,
    /// Open connections.
    pub connections: u32,
    /// Whether it gets nothing new because the list says so.
    pub leaving: bool,
    /// Whether it is out of use after failures.
    pub health: Health,
    /// Part of its recent calls that failed, 0 to 1.
    pub failures: f64,
}
