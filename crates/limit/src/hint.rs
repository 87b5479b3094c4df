//! Hints that members send each other about idle and wanted permits.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// A member's idle and wanted permits of one team.
///
/// A hint may be stale, so it only decides which peer to ask; it never grants a
/// permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitHint {
    /// The team.
    #[serde(rename = "t")]
    pub team: TeamId,
    /// Permits held by the member that no run uses.
    #[serde(rename = "f")]
    pub idle: Permits,
    /// Permits that waiting work could use immediately.
    #[serde(rename = "w")]
    pub wanted: Permits,
}
