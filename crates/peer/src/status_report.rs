//! What a member states of itself to one peer.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// What a member states of itself to one peer, as of the message's making.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Whether the store has answered lately.
    #[serde(rename = "c")]
    pub store_contact: bool,
    /// Whether this counts as the node's vote: it has read the book from the
    /// store since it started, and the book doesn't fence the peer.
    #[serde(rename = "v")]
    pub vote: bool,
    /// Epoch of the book that it knows.
    #[serde(rename = "b")]
    pub state_epoch: Epoch,
    /// Epoch of the voters that it knows.
    #[serde(rename = "e")]
    pub voters_epoch: Epoch,
    /// Revision of the lists that it has in force.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Milliseconds since that revision was confirmed to be the latest.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u32>,
}

impl StatusReport {
    /// Whether it lets the peer go on without the store, if a majority does.
    pub fn supports_peer(&self) -> bool {
        !self.store_contact && self.vote
    }
}
