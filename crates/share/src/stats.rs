//! What the scheduler shows of its state.

use vg_base::prelude::*;

/// A pool's waiting and running work.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SchedulerStats {
    /// Items that wait.
    pub waiting: usize,
    /// Items that run.
    pub running: usize,
    /// Background items that run.
    pub background: usize,
    /// Each team's part, by name.
    pub teams: Vec<TeamStats>,
}

/// One team's part of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamStats {
    /// The team.
    pub team: TeamId,
    /// Its share.
    pub share: Share,
    /// Items that wait.
    pub waiting: usize,
    /// Items that run.
    pub running: usize,
    /// Slot time used since the scheduler was made, in slot-seconds.
    pub used: f64,
}
