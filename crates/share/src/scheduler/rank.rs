//! The order in which teams are asked for work, and the clocks behind it.

use vg_base::prelude::*;

use super::Scheduler;
use crate::choice::{Candidate, Rank};

/// Bounds on the typical run time, which a running item stands for.
const TYPICAL_RANGE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_secs(2));
/// Time before its latest start from which urgent work may run ahead of its
/// team's share. Longer, and teams stray from their shares without need;
/// shorter, and a burst finds too few slots before it is too late.
const LAST_CALL: Duration = Duration::from_millis(250);

impl Scheduler {
    /// Fills the candidates, best first.
    pub(super) fn rank(&mut self, now: Instant) {
        let typical = self.typical();
        self.advance_clocks(typical);
        let floor_slots = (self.slots.get() * self.floor_percent).div_ceil(100) as usize;
        let below_floor = self.background < floor_slots;
        let credit = self.credit;
        let clock = self.clock;
        let soon = now + LAST_CALL;
        for (key, team) in &mut self.teams {
            team.asked = false;
            if team.waiting == 0 {
                continue;
            }
            let urgent = team.first_urgent();
            let patient = team.first_patient(typical);
            let mut push = |rank, (_, ticket)| {
                self.candidates.push(Candidate { rank, team: key, ticket });
            };
            if let (true, Some(place)) = (below_floor, patient) {
                push(Rank::Floor(team.floor_position(typical)), place);
            }
            let position = team.position(typical);
            let ahead = (position - clock) * team.weight();
            let may_borrow = ahead <= credit.ahead;
            if let Some(place) = urgent.filter(|(order, _)| may_borrow && order.start_by <= soon) {
                push(Rank::Urgent(place.0.start_by), place);
            }
            if let Some(place) = urgent.or(patient) {
                push(Rank::Fair(position), place);
            }
        }
        self.candidates.sort_unstable_by(|a, b| a.rank.compare(&b.rank));
    }

    /// Moves the pool's clocks up to the least position of a waiting team, and
    /// each waiting team's position into the bounds around them.
    fn advance_clocks(&mut self, typical: f64) {
        let ready = self.teams.values().filter(|team| team.waiting > 0 && !team.blocked);
        let least = ready.clone().map(|team| team.position(typical)).min_by(f64::total_cmp);
        self.clock = self.clock.max(least.unwrap_or(self.clock));
        let least = ready.filter(|team| team.has_patient());
        let least = least.map(|team| team.floor_position(typical)).min_by(f64::total_cmp);
        self.floor = self.floor.max(least.unwrap_or(self.floor));
        for team in self.teams.values_mut().filter(|team| team.waiting > 0) {
            team.bound(self.clock, self.floor, typical, self.credit);
        }
    }

    /// Returns the pool's typical run time in seconds.
    fn typical(&self) -> f64 {
        let mean = self.service.mean(TYPICAL_RANGE.0);
        mean.clamp(TYPICAL_RANGE.0, TYPICAL_RANGE.1).as_secs_f64()
    }
}
