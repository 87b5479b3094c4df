//! Which offers are taken, and how long work waits.

use vg_base::prelude::*;
use vg_conf::Class;

use super::Scheduler;
use crate::team::{Team, TeamKey};
use crate::{Refusal, WorkItem};

/// Shortest time that a refused sender is told to wait.
pub(super) const RETRY_MIN: Duration = Duration::from_millis(100);
/// Longest time that a refused sender is told to wait.
const RETRY_MAX: Duration = Duration::from_secs(30);
/// How much faster than at its share a team's urgent work may be served before
/// an offer counts as impossible: other teams may stop sending, and it may run
/// ahead of its share.
const URGENT_SPEED: f64 = 2.0;
/// The same for background work. Nearer to one, so that work that would only
/// wait until it is too late is refused when it comes.
const BACKGROUND_SPEED: f64 = 1.2;

impl Scheduler {
    /// Returns the latest start of an offer, or refuses it.
    pub(super) fn admit(
        &self,
        item: &WorkItem,
        key: TeamKey,
        now: Instant,
    ) -> Result<Instant, Refusal> {
        let team = self.teams.get(key).filter(|team| team.listed);
        let team = team.ok_or(Refusal::NotConfigured)?;
        let queue = self.queues.get(&item.queue).filter(|queue| queue.listed);
        let queue = queue.ok_or(Refusal::NotConfigured)?;
        if !queue.has_place(team.waiting_in(&item.queue, item.class)) {
            return Err(Refusal::QueueFull { retry_after: self.retry_after(team) });
        }
        let left = item.deadline.saturating_duration_since(now);
        let late = || Refusal::CannotMeetDeadline { retry_after: self.retry_after(team) };
        let within = queue.start_within(left, item.expected).ok_or_else(late)?;
        let wait = match item.class {
            Class::Urgent => self.wait_of(team, team.waiting_urgent(), URGENT_SPEED),
            Class::Background => self.wait_of(team, team.waiting, BACKGROUND_SPEED),
        };
        if wait > within {
            return Err(late());
        }
        Ok(now + within)
    }

    /// Returns how long `ahead` items of a team take when it is served
    /// `speed` times as fast as its share gives.
    fn wait_of(&self, team: &Team, ahead: usize, speed: f64) -> Duration {
        let others = self.teams.values().filter(|each| each.waiting > 0 && each.id != team.id);
        let weights: f64 = others.map(Team::weight).sum::<f64>() + team.weight();
        let slots = f64::from(self.slots.get().max(1));
        let rate = (slots * speed * team.weight() / weights).min(slots);
        let work = ahead as f64 * self.service.mean(Duration::ZERO).as_secs_f64();
        Duration::try_from_secs_f64(work / rate).unwrap_or(RETRY_MAX)
    }

    pub(super) fn retry_after(&self, team: &Team) -> Duration {
        self.wait_of(team, team.waiting, 1.0).clamp(RETRY_MIN, RETRY_MAX)
    }
}
