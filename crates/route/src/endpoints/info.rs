//! Entries of the platform's host list.

use std::net::SocketAddr;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// Revision of the host list, which increases with each change of the list.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    From,
)]
pub struct ListRevision(pub u64);

/// Entry of the platform's host list, which describes one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointInfo {
    /// The host on which the instance runs.
    pub id: HostId,
    /// Address to which calls are sent.
    pub addr: SocketAddr,
    /// The instance's availability zone.
    pub zone: ZoneId,
    /// Whether the instance is about to stop and must not get new calls.
    pub leaving: bool,
}
