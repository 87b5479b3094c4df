//! Work that runs on units.

use vg_base::prelude::*;

slotmap::new_key_type! {
    /// Names one run of a ledger.
    pub struct RunKey;
}

/// A run that holds units until it is finished.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The team that it runs for.
    pub team: TeamId,
    /// Units that it holds: one for a call, its slots for a job.
    pub weight: Units,
}
