//! Runs, the work that uses permits.

use vg_base::prelude::*;

slotmap::new_key_type! {
    /// Identifies one run at its member.
    pub struct RunKey;
}

/// Work that uses permits until it is finished.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The team whose permits the run uses.
    pub team: TeamId,
    /// Permits used by the run: one for each call or job slot.
    pub weight: Permits,
}
