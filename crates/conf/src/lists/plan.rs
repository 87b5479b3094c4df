//! The plan of a team.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::lists::KeyDigest;

/// What one team may use: a section `[plan NAME]` of the list `plans`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Name of the plan.
    pub id: PlanId,
    /// The team that the plan belongs to.
    pub team: TeamId,
    /// Digests of the valid keys. A team without keys can't authenticate.
    pub keys: Vec<KeyDigest>,
    /// Weight of the team against other teams when a pool is full, at least 1.
    pub share: Share,
    /// Number of calls and job slots that the team may use at once, across the
    /// whole fleet.
    pub limit: Permits,
}
