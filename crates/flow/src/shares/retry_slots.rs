//! Times at which callers of rejected jobs are told to send them again.
//!
//! Load that this module handles: many jobs of a team are rejected within a short
//! time, and each is sent again up to four times. If all came back when the team has
//! capacity again, most would be rejected once more. So each gets its own time, and the
//! times follow each other as fast as the team's allocation takes the work.

use std::collections::HashMap;

use vg_base::prelude::*;

use crate::shares::admission::Rejection;

/// Longest time after which a caller is told to retry.
pub const RETRY_MAX: Duration = Duration::from_secs(60);
/// Number of teams whose times are kept; beyond it, those that are over are dropped.
const MAX_SLOTS: usize = 1024;

/// A team in a pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PoolTeam {
    /// The pool.
    pub pool: PoolId,
    /// The team; `None` stands for all jobs without one.
    pub team: Option<TeamId>,
}

/// Until when the capacity of each team is promised to retries that this host has
/// caused.
#[derive(Debug, Default)]
pub struct RetrySlots {
    taken_until: HashMap<PoolTeam, Instant>,
}

impl RetrySlots {
    /// Returns after what time the caller of a rejected job should retry. Each of `hosts`
    /// hosts promises an equal part of the team's allocation. `random` is from 0 to 1.
    pub fn next_delay(
        &mut self,
        team: PoolTeam,
        rejection: &Rejection,
        hosts: usize,
        random: f64,
        now: Instant,
    ) -> Duration {
        self.drop_past(now);
        let free = now + rejection.backlog.min(RETRY_MAX);
        let start = self.taken_until.get(&team).map_or(free, |&until| until.max(free));
        let length = rejection.own.saturating_mul(hosts.max(1) as u32).min(RETRY_MAX);
        let end = start + length;
        let latest = now + RETRY_MAX;
        if end > latest {
            // More is rejected than the team can take within the longest delay: all
            // later retries are spread over the time that is left.
            self.taken_until.insert(team, latest);
            let window = RETRY_MAX.saturating_sub(rejection.backlog).max(RETRY_MAX / 2);
            return RETRY_MAX - window.mul_f64(random);
        }
        self.taken_until.insert(team, end);
        start.saturating_duration_since(now) + length.mul_f64(random)
    }

    fn drop_past(&mut self, now: Instant) {
        if self.taken_until.len() >= MAX_SLOTS {
            self.taken_until.retain(|_, until| *until > now);
        }
    }
}
