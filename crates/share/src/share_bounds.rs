//! Bounds on how far a team's use may be ahead of or behind its share.

use vg_base::prelude::*;

/// Time for which the whole pool may serve a team ahead of others when the team
/// has been idle.
const IDLE_CREDIT: Duration = Duration::from_millis(150);

/// Bounds on the difference between a team's virtual time and the pool's,
/// multiplied by the team's weight, in slot-seconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShareBounds {
    /// How far ahead of its share a team may be for its urgent work to go first.
    pub(crate) max_ahead: f64,
    /// How far behind its share a team counts after it was idle.
    pub(crate) max_behind: f64,
    /// How far ahead of its share a team counts at most.
    pub(crate) max_debt: f64,
}

impl ShareBounds {
    /// Returns the bounds for a pool of `slots`. Urgent work may use all of them
    /// ahead of its team's share for the time `urgent`.
    pub(crate) fn for_pool(slots: Slots, urgent: Duration) -> ShareBounds {
        let slots = f64::from(slots.get());
        let max_ahead = slots * urgent.as_secs_f64();
        let max_behind = slots * IDLE_CREDIT.as_secs_f64();
        ShareBounds { max_ahead, max_behind, max_debt: max_ahead + max_behind }
    }
}
