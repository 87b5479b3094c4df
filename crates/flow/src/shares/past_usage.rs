//! Past usage and past wants of teams in a pool that is contended.
//!
//! Load that this module handles: a team fills a pool just before others need it, or
//! some teams want more than their allocation for the whole peak. What counts is the
//! usage over some seconds, so that a team with one large job is not cut into parts.
//! Only contended rounds count: usage that hurt nobody is not charged, and an idle
//! team gets no credit.

use vg_base::prelude::*;

/// Time constant with which the past decays. Tasks take about a second: a longer one
/// would punish a team after the peak that it caused.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Part of a pool below which the past is dropped.
const NEGLIGIBLE: f64 = 1e-4;

/// Usage and wants of a team as parts of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct TeamUsage {
    /// What its attempts and possible attempts use.
    pub(crate) used: f64,
    /// What it uses and wants.
    pub(crate) wanted: f64,
    /// What it is entitled to.
    pub(crate) allocated: f64,
}

/// Decayed averages of the teams of one pool, by team index.
#[derive(Debug, Default)]
pub(crate) struct PastUsage {
    teams: Vec<TeamUsage>,
    updated: Option<Instant>,
}

impl PastUsage {
    /// Returns the averages of the team at a position in the list of teams.
    pub(crate) fn of(&self, position: usize) -> TeamUsage {
        self.teams.get(position).copied().unwrap_or_default()
    }

    /// Averages in what each team uses, wants and gets now: nothing if the pool is not
    /// contended.
    pub(crate) fn update(&mut self, current: &[TeamUsage], now: Instant) {
        let kept = decay(&mut self.updated, DECAY_TIME, now);
        let count = self.teams.len().max(current.len());
        self.teams.resize(count, TeamUsage::default());
        for (at, team) in self.teams.iter_mut().enumerate() {
            let current = current.get(at).copied().unwrap_or_default();
            let average = |past: f64, current: f64| past * kept + current * (1.0 - kept);
            team.used = average(team.used, current.used);
            team.wanted = average(team.wanted, current.wanted);
            team.allocated = average(team.allocated, current.allocated);
        }
    }

    /// Whether there is nothing left of the past.
    pub(crate) fn is_negligible(&self) -> bool {
        self.teams.iter().all(|team| team.used.max(team.wanted) < NEGLIGIBLE)
    }
}

/// Returns the part that is left of a value that decays with a time constant since it
/// was last `updated`; it is updated now.
pub(crate) fn decay(updated: &mut Option<Instant>, time_constant: Duration, now: Instant) -> f64 {
    let passed = updated.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
    *updated = Some(now);
    (-passed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
