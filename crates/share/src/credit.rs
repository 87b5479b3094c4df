//! How far a team's use may run ahead of, or stay behind, its share.

use vg_base::prelude::*;

/// Time for which the whole pool may serve a team ahead of others when it comes
/// back from idling.
const IDLE_CREDIT: Duration = Duration::from_millis(150);

/// Bounds on the distance between a team's clock and the pool's, in
/// slot-seconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Credit {
    /// Furthest that urgent work may run ahead.
    pub(crate) ahead: f64,
    /// Most that an idle team keeps.
    pub(crate) behind: f64,
    /// Largest debt that is remembered.
    pub(crate) debt: f64,
}

impl Credit {
    /// Makes the bounds for a pool of `slots`, of which urgent work may use all
    /// ahead of its team's share for the time `urgent`.
    pub(crate) fn of_pool(slots: Slots, urgent: Duration) -> Credit {
        let slots = f64::from(slots.get());
        let ahead = slots * urgent.as_secs_f64();
        let behind = slots * IDLE_CREDIT.as_secs_f64();
        Credit { ahead, behind, debt: ahead + behind }
    }
}
