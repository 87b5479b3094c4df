//! Hosts as the host list contains them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// An entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Name of the host.
    pub id: HostId,
    /// Pool that the platform set the host up for, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<PoolId>,
    /// Availability zone.
    pub zone: ZoneId,
    /// Rack.
    pub rack: RackId,
    /// Address that the host listens on.
    pub addr: SocketAddr,
    /// Kind of the host.
    pub kind: HostKind,
    /// Whether the host is leaving.
    #[serde(default)]
    pub state: HostState,
}

/// Kind of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostKind {
    /// The host answers calls.
    Endpoint,
    /// The host runs tasks.
    Worker,
}

/// Whether a host is leaving.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is not leaving.
    #[default]
    Live,
    /// The host is leaving and accepts no new work.
    Leaving,
}

/// Response to `GET /hosts`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostsResponse {
    /// Revision of the list, which increases with each change.
    pub revision: Revision,
    /// The hosts, sorted by name.
    pub hosts: Vec<Host>,
}
