//! Slots that an earlier owner left in use.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// Slots of one endpoint that are in use when a pool changes its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BusySlots {
    /// The endpoint's host.
    pub host: HostId,
    /// How many calls run there.
    pub slots: Slots,
    /// How long after the export they can still run.
    pub remaining: Duration,
}
