//! A customer's plan.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::lists::KeyDigest;

/// What one team may use, a section `[plan NAME]` of the list `plans`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Name of the plan.
    pub id: PlanId,
    /// The team whose plan it is.
    pub team: TeamId,
    /// Digests of the keys in force; none: the team is shut out.
    pub keys: Vec<KeyDigest>,
    /// Weight against other teams when a pool is full, at least 1.
    pub share: Share,
    /// Most calls and job slots that the team may run at once, fleet-wide.
    pub limit: Permits,
}
