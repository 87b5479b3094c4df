//! One start of one entry host.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Incarnation, NodeId};

/// An entry host together with its incarnation.
///
/// A restarted process is another member: rights of the earlier one do not
/// pass to it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display)]
#[display("{node}/{incarnation}")]
pub struct Member {
    /// The entry host.
    pub node: NodeId,
    /// The start of its process.
    pub incarnation: Incarnation,
}
