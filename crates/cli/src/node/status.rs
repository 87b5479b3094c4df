//! The status that an entry host reports.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// The fields of the answer to `GET /v1/status` that commands use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Status {
    /// Name of the entry host.
    pub(crate) node: NodeId,
    /// Incarnation of its process.
    pub(crate) incarnation: Incarnation,
    /// Revision of the lists that is in force on this entry host.
    pub(crate) revision: Revision,
    /// Whether this entry host knows that a majority of the members has this revision.
    #[serde(default)]
    pub(crate) accepted: bool,
    /// `serving`, `stale` or `stopping`.
    pub(crate) state: SmolStr,
    /// All entry hosts that this one knows, including itself.
    #[serde(default)]
    pub(crate) members: Vec<KnownMember>,
}

impl Status {
    /// Returns the members whose leases are not known to have expired.
    pub(crate) fn live(&self) -> impl Iterator<Item = &KnownMember> {
        self.members.iter().filter(|member| member.state != "lost")
    }
}

/// A member of the cluster as an entry host knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KnownMember {
    /// Name of the entry host.
    pub(crate) node: NodeId,
    /// Callers' address of the member.
    #[serde(default)]
    pub(crate) call_addr: Option<SocketAddr>,
    /// `live`, `leaving` or `lost`.
    pub(crate) state: SmolStr,
}
