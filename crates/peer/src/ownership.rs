//! The ownership of a pool.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// The owner of a pool: the only member that dispatches the pool's work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// The member that owns the pool.
    pub owner: Member,
    /// Epoch of the cluster state in which the member became the owner. It is the
    /// fencing token of the owner's writes.
    pub epoch: Epoch,
    /// The member that gets the pool as soon as the owner has stopped
    /// dispatching its work.
    #[serde(rename = "next")]
    pub successor: Option<Member>,
}
