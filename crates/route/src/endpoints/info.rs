//! An instance as the platform's host list shows it.

use std::net::SocketAddr;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// Revision of the host list; grows with each change of the list.
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

/// An instance as the platform's host list shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointInfo {
    /// The host that it runs on.
    pub id: HostId,
    /// Where it takes calls.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it is about to stop and must get nothing new.
    pub leaving: bool,
}
