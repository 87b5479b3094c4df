//! What an entry host says about itself.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// The answer to `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Status {
    /// The entry host.
    pub(crate) node: NodeId,
    /// The start of its process.
    pub(crate) incarnation: Incarnation,
    /// The revision of the lists that is in force on it.
    pub(crate) revision: Revision,
    /// `serving`, `stale` or `stopping`.
    pub(crate) state: SmolStr,
    /// Entry hosts whose leases it holds to be in force, itself among them.
    #[serde(default)]
    pub(crate) members: Vec<MemberName>,
}

/// A member, as `node/incarnation` or as an object with the key `node`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub(crate) enum MemberName {
    /// As text.
    Text(SmolStr),
    /// As an object.
    Object {
        /// The entry host.
        node: SmolStr,
    },
}

impl MemberName {
    /// Returns the entry host's name.
    pub(crate) fn node(&self) -> &str {
        let (MemberName::Text(text) | MemberName::Object { node: text }) = self;
        text.split('/').next().unwrap_or(text)
    }
}
