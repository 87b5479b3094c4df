//! Ranks the candidates for a free slot, and keeps the virtual times that the ranks
//! use.

use vg_base::prelude::*;

use super::Scheduler;
use crate::candidate::{Candidate, Rank};

/// Bounds on the typical run time, which is charged in advance for each running
/// item.
const TYPICAL_RUN_RANGE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_secs(2));
/// Time before its latest start from which urgent work may go ahead of its team's
/// share. With a longer window, teams deviate from their shares without need; with
/// a shorter one, too few slots become free for a burst before it is too late.
const URGENT_WINDOW: Duration = Duration::from_millis(250);

impl Scheduler {
    /// Fills the list of candidates, best rank first.
    pub(super) fn rank(&mut self, now: Instant) {
        let typical_run = self.typical_run();
        self.advance_virtual(typical_run);
        let floor_slots = (self.slots.get() * self.floor_percent).div_ceil(100) as usize;
        let below_floor = self.running_background < floor_slots;
        let bounds = self.bounds;
        let virtual_time = self.virtual_time;
        let window_end = now + URGENT_WINDOW;
        for (key, team) in &mut self.teams {
            team.asked = false;
            if team.waiting == 0 {
                continue;
            }
            let urgent = team.first_urgent();
            let background = team.first_background(typical_run);
            let mut push = |rank, (_, ticket)| {
                self.candidates.push(Candidate { rank, team: key, ticket });
            };
            if let (true, Some(waiting)) = (below_floor, background) {
                push(Rank::BackgroundFloor(team.background_position(typical_run)), waiting);
            }
            let position = team.position(typical_run);
            let ahead = (position - virtual_time) * team.weight();
            let within_credit = ahead <= bounds.max_ahead;
            if let Some(waiting) =
                urgent.filter(|(order, _)| within_credit && order.start_by <= window_end)
            {
                push(Rank::Urgent(waiting.0.start_by), waiting);
            }
            if let Some(waiting) = urgent.or(background) {
                push(Rank::Fair(position), waiting);
            }
        }
        self.candidates.sort_unstable_by(|a, b| a.rank.compare(&b.rank));
    }

    /// Advances the pool's virtual times to the least position of a waiting team,
    /// and moves each waiting team's position into the bounds around them.
    fn advance_virtual(&mut self, typical_run: f64) {
        let ready = self.teams.values().filter(|team| team.waiting > 0 && !team.no_permit);
        let least = ready.clone().map(|team| team.position(typical_run)).min_by(f64::total_cmp);
        self.virtual_time = self.virtual_time.max(least.unwrap_or(self.virtual_time));
        let least = ready.filter(|team| team.has_background());
        let least = least.map(|team| team.background_position(typical_run)).min_by(f64::total_cmp);
        self.background_time = self.background_time.max(least.unwrap_or(self.background_time));
        for team in self.teams.values_mut().filter(|team| team.waiting > 0) {
            team.clamp_position(self.virtual_time, self.background_time, typical_run, self.bounds);
        }
    }

    /// Returns the pool's typical run time in seconds.
    fn typical_run(&self) -> f64 {
        let mean = self.run_times.mean(TYPICAL_RUN_RANGE.0);
        mean.clamp(TYPICAL_RUN_RANGE.0, TYPICAL_RUN_RANGE.1).as_secs_f64()
    }
}
