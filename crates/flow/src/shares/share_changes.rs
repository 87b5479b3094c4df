//! Changes of teams' positions in contended pools, for the operators.

use std::collections::HashMap;

use vg_base::prelude::*;

use crate::shares::contention::ContendedPool;
use crate::{Scheduler, TeamContention};

/// Minimum time between two reported changes of a team.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A team wants more than its allocation of a contended pool, or does no longer.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareChange {
    /// The pool.
    pub pool: PoolId,
    /// What the team has and wants; `None` if the pool is not contended any more.
    pub now: Option<TeamContention>,
    /// The team; `None` stands for all jobs without a team.
    pub team: Option<TeamId>,
    /// Whether it now wants more than its allocation and has work waiting.
    pub is_above: bool,
}

/// What was reported.
#[derive(Debug, Default)]
pub(crate) struct ReportedShares {
    /// Whether each team was above its allocation, by pool and team index.
    above: HashMap<PoolId, Vec<bool>>,
    /// When the last change of each team was reported.
    last: Vec<Option<Instant>>,
    changes: Vec<ShareChange>,
}

impl ReportedShares {
    /// Whether a change of a team may be reported; notes that it is.
    fn may_report(&mut self, position: usize, now: Instant) -> bool {
        if self.last.len() <= position {
            self.last.resize(position + 1, None);
        }
        let last = &mut self.last[position];
        if last.is_some_and(|at| now.saturating_duration_since(at) < REPORT_INTERVAL) {
            return false;
        }
        *last = Some(now);
        true
    }
}

impl Scheduler {
    /// Returns the changes since the last call, at most one a second for each team.
    pub fn take_share_changes(&mut self) -> Vec<ShareChange> {
        std::mem::take(&mut self.reported_shares.changes)
    }

    /// Notes which teams have come above their allocation or are no longer.
    pub(crate) fn note_share_changes(&mut self, now: Instant) {
        let mut reported = std::mem::take(&mut self.reported_shares);
        for pool in &self.contended {
            if !reported.above.contains_key(&pool.id) {
                reported.above.insert(pool.id.clone(), Vec::new());
            }
        }
        let mut above = std::mem::take(&mut reported.above);
        for (id, teams) in &mut above {
            let pool = self.contended.iter().find(|pool| pool.id == *id);
            self.note_pool(id, pool, teams, &mut reported, now);
        }
        above.retain(|_, teams| teams.contains(&true));
        reported.above = above;
        self.reported_shares = reported;
    }

    fn note_pool(
        &self,
        id: &PoolId,
        pool: Option<&ContendedPool>,
        teams: &mut Vec<bool>,
        reported: &mut ReportedShares,
        now: Instant,
    ) {
        teams.resize(self.teams.ids().len(), false);
        for (at, was_above) in teams.iter_mut().enumerate() {
            let is_above = pool.is_some_and(|pool| pool.is_above(at));
            if is_above != *was_above && reported.may_report(at, now) {
                *was_above = is_above;
                reported.changes.push(ShareChange {
                    pool: id.clone(),
                    now: pool.map(|pool| self.team_contention(pool, at)),
                    team: self.teams.ids()[at].clone(),
                    is_above,
                });
            }
        }
    }
}
