//! Members that were lost with the receipts that they held.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// A member that was lost with the receipts that it held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The lost member.
    pub member: Member,
    /// How long ago.
    pub ago: Duration,
}
