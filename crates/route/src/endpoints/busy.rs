//! Slots that calls of an earlier owner of the pool use.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// Slots of one endpoint that are in use when the pool gets another owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BusySlots {
    /// The endpoint's host.
    pub host: HostId,
    /// Number of slots in use.
    pub slots: Slots,
    /// Longest time after the export for which the slots stay in use.
    pub remaining: Duration,
}
