//! Changes by a host list.

use vg_base::prelude::*;

/// Result of applying a host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListUpdate {
    /// The list is not newer than the current one and was ignored.
    Stale,
    /// The list is now the current one, with these changes.
    Applied(Vec<EndpointChange>),
}

/// A change of one endpoint by a host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointChange {
    /// The endpoint is new in the list.
    Joined(HostId),
    /// The endpoint is leaving: it gets no new calls, and running calls finish.
    Leaving(HostId),
    /// The endpoint was leaving and gets calls again.
    Resumed(HostId),
    /// The endpoint is no longer in the list.
    Removed(HostId),
}
