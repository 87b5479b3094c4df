//! Members that were lost with the receipts that they held.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// A member that was lost with the receipts that it held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLoss {
    /// The lost member.
    pub member: Member,
    /// How long ago.
    #[serde(rename = "ago")]
    pub elapsed: Duration,
}
