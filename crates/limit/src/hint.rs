//! What members tell each other of a team.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// A member's idle and wanted units of a team. Advice: it may be stale.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitHint {
    /// The team.
    #[serde(rename = "t")]
    pub team: TeamId,
    /// Units held that run nothing.
    #[serde(rename = "f")]
    pub idle: Units,
    /// Units that waiting work would use at once.
    #[serde(rename = "w")]
    pub wanted: Units,
}
