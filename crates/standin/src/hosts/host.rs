//! A host of the list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// A host as the platform lists it.
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
    /// Address that it serves.
    pub addr: SocketAddr,
    /// What it is.
    pub kind: HostKind,
    /// Whether it leaves.
    #[serde(default)]
    pub state: HostState,
}

/// What a host is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostKind {
    /// It answers calls.
    Endpoint,
    /// It runs tasks.
    Worker,
}

/// Whether a host leaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// It stays.
    #[default]
    Live,
    /// It leaves and takes no new work.
    Leaving,
}

/// `GET /hosts`
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostsResponse {
    /// Grows with each change of the list.
    pub revision: Revision,
    /// The hosts in the order of their names.
    pub hosts: Vec<Host>,
}
