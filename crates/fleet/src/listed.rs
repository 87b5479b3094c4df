//! A host as the host list shows it.

use vg_base::prelude::*;

/// A host as the host list shows it, which may lag.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// The host.
    pub host: HostId,
    /// The pool that the platform set it up for, if any.
    pub pool: Option<PoolId>,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
    /// Whether the platform takes it away.
    pub leaving: bool,
}
