//! Counts and usage that the scheduler reports.

use vg_base::prelude::*;

/// Waiting and running work of one pool.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SchedulerStats {
    /// Number of waiting items.
    pub waiting: usize,
    /// Number of running items.
    pub running: usize,
    /// Number of running background items.
    pub running_background: usize,
    /// Counts of each team.
    pub teams: Vec<TeamStats>,
}

/// Waiting and running work of one team.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamStats {
    /// The team.
    pub team: TeamId,
    /// The team's share.
    pub share: Share,
    /// Number of waiting items.
    pub waiting: usize,
    /// Number of running items.
    pub running: usize,
    /// Slot time used since the scheduler was created, in slot-seconds.
    pub used_secs: f64,
}
