//! The identity of one process of an entry host.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Incarnation, NodeId};

/// An entry host together with its incarnation.
///
/// A restarted process is a new member. It does not inherit the rights of the
/// earlier process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display)]
#[display("{node}/{incarnation}")]
pub struct Member {
    /// The entry host.
    pub node: NodeId,
    /// Incarnation of the entry host's process.
    pub incarnation: Incarnation,
}
