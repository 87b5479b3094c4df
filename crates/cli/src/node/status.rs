//! What an entry host says about itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// The answer to `GET /v1/status`, as far as it concerns the command line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Status {
    /// The entry host.
    pub(crate) node: NodeId,
    /// The start of its process.
    pub(crate) incarnation: Incarnation,
    /// The revision of the lists that is in force on it.
    pub(crate) revision: Revision,
    /// Whether it knows a majority of the members to have this revision.
    #[serde(default)]
    pub(crate) accepted: bool,
    /// `serving`, `stale` or `stopping`.
    pub(crate) state: SmolStr,
    /// Entry hosts that it knows, itself among them.
    #[serde(default)]
    pub(crate) members: Vec<KnownMember>,
}

impl Status {
    /// Returns the members whose leases are not known to have lapsed.
    pub(crate) fn live(&self) -> impl Iterator<Item = &KnownMember> {
        self.members.iter().filter(|member| member.state != "lost")
    }
}

/// A member as another one knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KnownMember {
    /// The entry host.
    pub(crate) node: NodeId,
    /// Its callers' address.
    #[serde(default)]
    pub(crate) call_addr: Option<SocketAddr>,
    /// `live`, `leaving` or `lost`.
    pub(crate) state: SmolStr,
}
