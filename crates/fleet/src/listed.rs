//! Hosts in the host list.

use vg_base::prelude::*;

/// A host in the host list, which may lag behind the real state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// The host.
    pub host: HostId,
    /// The pool for which the platform set the host up, if any.
    pub pool: Option<PoolId>,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Rack of the host.
    pub rack: RackId,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
}
