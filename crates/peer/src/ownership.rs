//! Who dispatches a pool's work.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// The owner of a pool, the one member that dispatches its work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// The owner.
    pub owner: Member,
    /// Epoch of the book in which it became the owner; a fence for its writes.
    pub epoch: Epoch,
    /// The member to hand the pool over to, once the owner has stopped
    /// dispatching it.
    #[serde(rename = "next")]
    pub successor: Option<Member>,
}
