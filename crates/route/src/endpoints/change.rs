//! What a host list changed.

use vg_base::prelude::*;

/// Whether a host list was taken in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListUpdate {
    /// The list is not newer than the one in use, and was ignored.
    Stale,
    /// The list is in use now.
    Applied(Vec<EndpointChange>),
}

/// What a host list changed about one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointChange {
    /// It is listed for the first time.
    Joined(HostId),
    /// It gets nothing new; what runs there ends.
    Leaving(HostId),
    /// It was leaving and takes calls again.
    Resumed(HostId),
    /// It is not listed any more.
    Removed(HostId),
}
