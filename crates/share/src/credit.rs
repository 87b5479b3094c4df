//! How far a team's use may run ahead of, or stay behind, its share.

use vg_base::prelude::*;

/// Time for which the whole pool may serve one team's urgent work ahead of the
/// team's share, and for which a team that was idle may be served ahead of
/// others.
///
/// It bounds what urgent marks can gain: work served ahead is paid back from
/// the team's later turns.
const WINDOW: Duration = Duration::from_millis(150);

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
    /// Makes the bounds for a pool of `slots`.
    pub(crate) fn of_pool(slots: Slots) -> Credit {
        let window = f64::from(slots.get()) * WINDOW.as_secs_f64();
        Credit { ahead: window, behind: window, debt: 2.0 * window }
    }
}
