//! The status that a member reports to a peer.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// The status that a member reports to one peer, as of the time at which the message
/// was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Whether the store has answered the member within [`Timing::contact_timeout`].
    ///
    /// [`Timing::contact_timeout`]: crate::Timing::contact_timeout
    #[serde(rename = "c")]
    pub store_contact: bool,
    /// Whether this report counts as the node's vote: the authority of the member is not
    /// revoked, the member has read the cluster state from the store since it started, and
    /// the peer has not lost its rights in that cluster state.
    #[serde(rename = "v")]
    pub vote: bool,
    /// Epoch of the latest cluster state that the member knows.
    #[serde(rename = "b")]
    pub state_epoch: Epoch,
    /// Epoch of the voters in that cluster state.
    #[serde(rename = "e")]
    pub voters_epoch: Epoch,
    /// Revision of the lists that are in force on the member.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Milliseconds since that revision was confirmed to be the latest, if it was.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u32>,
}

impl StatusReport {
    /// Whether the report counts towards the majority that lets the peer act while the
    /// store is out of reach.
    pub fn supports_peer(&self) -> bool {
        !self.store_contact && self.vote
    }
}
