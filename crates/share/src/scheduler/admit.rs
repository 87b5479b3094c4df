//! Admission of offered work, and estimates of waiting times.

use vg_base::prelude::*;
use vg_conf::Class;

use super::Scheduler;
use crate::team::{Team, TeamKey};
use crate::{Refusal, WorkItem};

/// Shortest time after which a refused sender is told to retry.
pub(super) const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// Longest time after which a refused sender is told to retry.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
/// Factor by which a team's urgent work may be served faster than by its share.
/// Work that would still wait too long at that rate is refused. The factor is above
/// one because other teams may stop sending, and because urgent work may be served
/// ahead of its team's share.
const URGENT_SPEED: f64 = 2.0;
/// The same factor for background work. It is nearer to one, so that work that
/// would only wait until it is too late is refused on arrival.
const BACKGROUND_SPEED: f64 = 1.2;

impl Scheduler {
    /// Returns the latest start of an offered item, or the reason to refuse the item.
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
        if !queue.has_capacity(team.waiting_in(&item.queue, item.class)) {
            return Err(Refusal::QueueFull { retry_after: self.retry_after(team) });
        }
        let left = item.deadline.saturating_duration_since(now);
        let cannot_meet = || Refusal::CannotMeetDeadline { retry_after: self.retry_after(team) };
        let max_wait = queue.max_wait(left, item.expected).ok_or_else(cannot_meet)?;
        let wait = match item.class {
            Class::Urgent => self.expected_wait(team, team.waiting_urgent(), URGENT_SPEED),
            Class::Background => self.expected_wait(team, team.waiting, BACKGROUND_SPEED),
        };
        if wait > max_wait {
            return Err(cannot_meet());
        }
        Ok(now + max_wait)
    }

    /// Returns how long a team's next item waits behind `ahead` other items of the
    /// team, if the team is served `speed` times as fast as by its share.
    fn expected_wait(&self, team: &Team, ahead: usize, speed: f64) -> Duration {
        let others = self.teams.values().filter(|each| each.waiting > 0 && each.id != team.id);
        let weights: f64 = others.map(Team::weight).sum::<f64>() + team.weight();
        let slots = f64::from(self.slots.get().max(1));
        let rate = (slots * speed * team.weight() / weights).min(slots);
        let work = ahead as f64 * self.run_times.mean(Duration::ZERO).as_secs_f64();
        Duration::try_from_secs_f64(work / rate).unwrap_or(RETRY_AFTER_MAX)
    }

    /// Returns the time after which a refused sender of a team should retry: the time
    /// in which the team's waiting items start at the rate of its share, within
    /// [`RETRY_AFTER_MIN`] and [`RETRY_AFTER_MAX`].
    pub(super) fn retry_after(&self, team: &Team) -> Duration {
        self.expected_wait(team, team.waiting, 1.0).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }
}
