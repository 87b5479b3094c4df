//! Lost members, whose receipts are lost too.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// A member that was lost together with the receipts that it held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLoss {
    /// The lost member.
    pub member: Member,
    /// Time since the member was lost.
    #[serde(rename = "ago")]
    pub elapsed: Duration,
}
